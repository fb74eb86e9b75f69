//! Learns what kinds of jobs use, from usage reports that lag.
//!
//! Declared sizes and run times are far off in both directions. For each kind the estimator keeps
//! the peaks of past runs as a histogram whose weights halve with age, and reserves a high quantile
//! with a margin. A run counts once it ended; one that exceeds the present estimate counts at once,
//! so that an under-declared kind is corrected while its first runs still go on. Before enough runs
//! are known the declared size stands, unless more was seen.

use {
    crate::job::{JobId, KindId, Size},
    indexmap::IndexMap,
    std::time::{Duration, Instant},
};

/// Time in which the weight of a run halves.
pub const HALF_LIFE: Duration = Duration::from_secs(24 * 3600);
/// Runs below which the declared size is not lowered.
pub const MIN_RUNS: f64 = 3.0;
/// Part of the runs whose peak is covered.
pub const QUANTILE: f64 = 0.95;
/// Added to the quantile, in hundredths of it.
pub const MARGIN_PERCENT: u64 = 5;
/// Steps of the histograms in a doubling; each is about 4 % wide.
const STEPS_PER_DOUBLING: f64 = 16.0;

/// Peaks of past runs in one dimension, by ranges that grow geometrically.
#[derive(Clone, Debug, Default)]
struct Histogram {
    weights: Vec<(u16, f64)>,
}

fn step(value: u64) -> u16 {
    ((value.max(1) as f64).log2() * STEPS_PER_DOUBLING).ceil() as u16
}

fn upper(step: u16) -> u64 {
    (f64::from(step) / STEPS_PER_DOUBLING).exp2().round() as u64
}

impl Histogram {
    fn add(&mut self, value: u64, weight: f64) {
        let step = step(value);
        match self.weights.binary_search_by_key(&step, |(found, _)| *found) {
            Ok(at) => self.weights[at].1 = (self.weights[at].1 + weight).max(0.0),
            Err(at) => self.weights.insert(at, (step, weight.max(0.0))),
        }
    }

    fn fade(&mut self, factor: f64) {
        self.weights.iter_mut().for_each(|(_, weight)| *weight *= factor);
        self.weights.retain(|(_, weight)| *weight > 0.01);
    }

    fn total(&self) -> f64 {
        self.weights.iter().map(|(_, weight)| weight).sum()
    }

    fn quantile(&self, part: f64) -> Option<u64> {
        let mut left = self.total() * part;
        for (step, weight) in &self.weights {
            left -= weight;
            if left <= 1e-9 {
                return Some(upper(*step));
            }
        }
        self.weights.last().map(|(step, _)| upper(*step))
    }
}

#[derive(Clone, Debug, Default)]
struct Profile {
    faded: Option<Instant>,
    millicores: Histogram,
    memory: Histogram,
    seconds: Histogram,
}

impl Profile {
    fn fade(&mut self, now: Instant) {
        let age = now.duration_since(self.faded.unwrap_or(now));
        let factor = (-age.as_secs_f64() / HALF_LIFE.as_secs_f64()).exp2();
        for histogram in [&mut self.millicores, &mut self.memory, &mut self.seconds] {
            histogram.fade(factor);
        }
        self.faded = Some(now);
    }

    fn count(&mut self, peak: &Size, weight: f64) {
        self.millicores.add(u64::from(peak.millicores), weight);
        self.memory.add(peak.memory_bytes, weight);
    }
}

/// A run that goes on.
#[derive(Clone, Debug, Default)]
struct Run {
    peak: Size,
    counted: Option<Size>,
}

/// Estimates for all kinds of jobs.
#[derive(Clone, Debug, Default)]
pub struct Estimator {
    profiles: IndexMap<KindId, Profile>,
    runs: IndexMap<(JobId, u32), Run>,
}

fn estimate(histogram: &Histogram, declared: u64) -> u64 {
    let seen = histogram.quantile(QUANTILE).map_or(0, |q| q + q * MARGIN_PERCENT / 100);
    if histogram.total() < MIN_RUNS { seen.max(declared) } else { seen }
}

impl Estimator {
    /// Size to reserve for a job of this kind.
    pub fn size(&self, kind: &KindId, declared: &Size) -> Size {
        let Some(profile) = self.profiles.get(kind) else { return *declared };
        let millicores = estimate(&profile.millicores, u64::from(declared.millicores));
        Size {
            millicores: millicores.try_into().unwrap_or(u32::MAX),
            accelerators: declared.accelerators,
            memory_bytes: estimate(&profile.memory, declared.memory_bytes),
        }
    }

    /// Run time to expect of a job of this kind.
    pub fn run_time(&self, kind: &KindId, declared: Duration) -> Duration {
        let Some(profile) = self.profiles.get(kind) else { return declared };
        Duration::from_secs(estimate(&profile.seconds, declared.as_secs()))
    }

    /// Takes a report of what a run uses.
    pub fn report(&mut self, now: Instant, kind: &KindId, run: &(JobId, u32), used: &Size) {
        let estimate = self.size(kind, &Size::default());
        let found = self.runs.entry(run.clone()).or_default();
        found.peak.millicores = found.peak.millicores.max(used.millicores);
        found.peak.memory_bytes = found.peak.memory_bytes.max(used.memory_bytes);
        if !estimate.holds(&found.peak) && found.counted != Some(found.peak) {
            let (peak, before) = (found.peak, found.counted.replace(found.peak));
            self.count(now, kind, &peak, before.as_ref());
        }
    }

    /// Takes note that a run ended; `time` is its length if it was not cut short.
    pub fn ended(
        &mut self,
        now: Instant,
        kind: &KindId,
        run: &(JobId, u32),
        time: Option<Duration>,
    ) {
        let Some(found) = self.runs.swap_remove(run) else { return };
        let Some(time) = time else { return };
        if found.peak != Size::default() {
            self.count(now, kind, &found.peak, found.counted.as_ref());
        }
        let profile = self.profiles.entry(kind.clone()).or_default();
        profile.seconds.add(time.as_secs(), 1.0);
    }

    /// Counts a run at its peak, once: an earlier count of the same run is taken back.
    fn count(&mut self, now: Instant, kind: &KindId, peak: &Size, before: Option<&Size>) {
        let profile = self.profiles.entry(kind.clone()).or_default();
        profile.fade(now);
        if let Some(before) = before {
            profile.count(before, -1.0);
        }
        profile.count(peak, 1.0);
    }
}
