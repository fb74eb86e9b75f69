//! Estimates the resources and run times of each kind of job from usage reports, which lag.
//!
//! Declared sizes and run times are often far too high or too low. For each kind, the estimator
//! keeps the peaks of past attempts in histograms with exponentially decaying weights, and reserves
//! a high quantile plus a margin. An attempt is counted when it completes; one that exceeds the
//! current estimate is counted at once, so that an under-declared kind is corrected while its first
//! attempts are still running. Until enough attempts are counted, the estimate is at least the
//! declared size.

use {
    crate::job::{JobId, KindId, Size},
    indexmap::IndexMap,
    std::time::{Duration, Instant},
};

/// Half-life of an attempt's weight.
pub const HALF_LIFE: Duration = Duration::from_secs(24 * 3600);
/// Total weight of attempts below which the estimate isn't lower than the declared size.
pub const MIN_ATTEMPTS: f64 = 3.0;
/// Fraction of the attempts whose peak the estimate covers.
pub const QUANTILE: f64 = 0.95;
/// Margin added to the quantile, in percent of it.
pub const MARGIN_PERCENT: u64 = 5;
/// Buckets of a histogram in which the value doubles; each is about 4 % wide.
const BUCKETS_PER_DOUBLING: f64 = 16.0;

/// Histogram of the peaks of past attempts in one dimension, or of their run times, with
/// exponentially growing buckets.
#[derive(Clone, Debug, Default)]
struct Histogram {
    weights: Vec<(u16, f64)>,
}

/// Bucket of a value.
fn bucket(value: u64) -> u16 {
    ((value.max(1) as f64).log2() * BUCKETS_PER_DOUBLING).ceil() as u16
}

/// Upper bound of a bucket.
fn upper_bound(bucket: u16) -> u64 {
    (f64::from(bucket) / BUCKETS_PER_DOUBLING).exp2().round() as u64
}

impl Histogram {
    fn add(&mut self, value: u64, weight: f64) {
        let bucket = bucket(value);
        match self.weights.binary_search_by_key(&bucket, |(found, _)| *found) {
            Ok(at) => self.weights[at].1 = (self.weights[at].1 + weight).max(0.0),
            Err(at) => self.weights.insert(at, (bucket, weight.max(0.0))),
        }
    }

    /// Multiplies all weights by `factor` and drops buckets with a negligible weight.
    fn decay(&mut self, factor: f64) {
        self.weights.iter_mut().for_each(|(_, weight)| *weight *= factor);
        self.weights.retain(|(_, weight)| *weight > 0.01);
    }

    fn total(&self) -> f64 {
        self.weights.iter().map(|(_, weight)| weight).sum()
    }

    /// Upper bound of the bucket that contains the quantile `quantile`.
    fn quantile(&self, quantile: f64) -> Option<u64> {
        let mut left = self.total() * quantile;
        for (bucket, weight) in &self.weights {
            left -= weight;
            if left <= 1e-9 {
                return Some(upper_bound(*bucket));
            }
        }
        self.weights.last().map(|(bucket, _)| upper_bound(*bucket))
    }
}

/// Histograms of one kind.
#[derive(Clone, Debug, Default)]
struct Profile {
    decayed_at: Option<Instant>,
    millicores: Histogram,
    memory: Histogram,
    seconds: Histogram,
}

impl Profile {
    fn decay(&mut self, now: Instant) {
        let age = now.duration_since(self.decayed_at.unwrap_or(now));
        let factor = (-age.as_secs_f64() / HALF_LIFE.as_secs_f64()).exp2();
        for histogram in [&mut self.millicores, &mut self.memory, &mut self.seconds] {
            histogram.decay(factor);
        }
        self.decayed_at = Some(now);
    }

    fn count(&mut self, peak: &Size, weight: f64) {
        self.millicores.add(u64::from(peak.millicores), weight);
        self.memory.add(peak.memory_bytes, weight);
    }
}

/// An attempt in progress: its peak so far, and the peak at which it has been counted, if it has.
#[derive(Clone, Debug, Default)]
struct Attempt {
    peak: Size,
    counted_peak: Option<Size>,
}

/// Estimates resources and run times of all kinds of jobs.
#[derive(Clone, Debug, Default)]
pub struct Estimator {
    profiles: IndexMap<KindId, Profile>,
    attempts: IndexMap<(JobId, u32), Attempt>,
}

fn estimate(histogram: &Histogram, declared: u64) -> u64 {
    let seen = histogram.quantile(QUANTILE).map_or(0, |q| q + q * MARGIN_PERCENT / 100);
    if histogram.total() < MIN_ATTEMPTS { seen.max(declared) } else { seen }
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

    /// Expected run time of a job of this kind.
    pub fn run_time(&self, kind: &KindId, declared: Duration) -> Duration {
        let Some(profile) = self.profiles.get(kind) else { return declared };
        Duration::from_secs(estimate(&profile.seconds, declared.as_secs()))
    }

    /// Records a report of the resources that an attempt uses.
    pub fn record_usage(&mut self, now: Instant, kind: &KindId, id: &(JobId, u32), used: &Size) {
        let estimate = self.size(kind, &Size::default());
        let attempt = self.attempts.entry(id.clone()).or_default();
        attempt.peak.millicores = attempt.peak.millicores.max(used.millicores);
        attempt.peak.memory_bytes = attempt.peak.memory_bytes.max(used.memory_bytes);
        if !estimate.holds(&attempt.peak) && attempt.counted_peak != Some(attempt.peak) {
            let (peak, before) = (attempt.peak, attempt.counted_peak.replace(attempt.peak));
            self.count(now, kind, &peak, before.as_ref());
        }
    }

    /// Records that an attempt ended; `time` is its run time if it completed.
    pub fn record_end(
        &mut self,
        now: Instant,
        kind: &KindId,
        id: &(JobId, u32),
        time: Option<Duration>,
    ) {
        let Some(attempt) = self.attempts.swap_remove(id) else { return };
        let Some(time) = time else { return };
        if attempt.peak != Size::default() {
            self.count(now, kind, &attempt.peak, attempt.counted_peak.as_ref());
        }
        let profile = self.profiles.entry(kind.clone()).or_default();
        profile.decay(now);
        profile.seconds.add(time.as_secs(), 1.0);
    }

    /// Counts an attempt at its peak. Subtracts an earlier count of the same attempt, so that each
    /// attempt is counted once.
    fn count(&mut self, now: Instant, kind: &KindId, peak: &Size, before: Option<&Size>) {
        let profile = self.profiles.entry(kind.clone()).or_default();
        profile.decay(now);
        if let Some(before) = before {
            profile.count(before, -1.0);
        }
        profile.count(peak, 1.0);
    }
}
