//! Load of each service: the rate of submitted work, and the learned ratio of run times to
//! estimates.

use {
    crate::job::spec::Spec,
    indexmap::IndexMap,
    std::time::{Duration, Instant},
};

/// Time constant of the exponential average of the rate of submitted work.
const SHORT_AVERAGE: Duration = Duration::from_millis(700);
/// Time constant of the slower average; the difference between both shows whether the rate rises.
const LONG_AVERAGE: Duration = Duration::from_millis(2_000);
/// Weight of one run in the learned ratio of its queue.
const RUN_WEIGHT: f64 = 0.02;
/// Bounds of the ratio of a run time to its estimate.
const RATIO_BOUNDS: (f64, f64) = (0.3, 3.0);

/// Rate of work submitted to a service.
#[derive(Clone, Copy, Debug, Default)]
struct Rate {
    /// Core-seconds of submitted work per second, that is the cores that it keeps busy.
    cores: f64,
    /// The same, averaged over [`LONG_AVERAGE`].
    long_cores: f64,
    /// Number of recently submitted jobs, which decays as the average does.
    jobs: f64,
}

/// Load of each service.
#[derive(Clone, Debug)]
pub struct Load {
    /// Time up to which the averages have decayed.
    at: Instant,
    /// Whether a job was counted.
    started: bool,
    /// Rate of each service.
    rates: IndexMap<String, Rate>,
    /// Learned ratio of run times to estimates of each queue.
    run_time_ratios: IndexMap<String, f64>,
}

impl Load {
    /// Without any submitted job.
    pub fn new(now: Instant) -> Self {
        Self { at: now, started: false, rates: IndexMap::new(), run_time_ratios: IndexMap::new() }
    }

    /// Counts a submitted job; endless and scheduled ones are left out.
    pub fn record_job(&mut self, now: Instant, service: &str, queue: &str, spec: &Spec) {
        if spec.endless() || spec.schedule.is_some() {
            return;
        }
        self.decay(now);
        self.started = true;
        let work = spec.work() * self.run_time_ratio(queue);
        let rate = self.rates.entry(String::from(service)).or_default();
        rate.cores += work / SHORT_AVERAGE.as_secs_f64();
        rate.long_cores += work / LONG_AVERAGE.as_secs_f64();
        rate.jobs += 1.0;
    }

    /// Updates the learned ratio with a run that took `took` and was estimated to take `estimate`.
    pub fn record_run(&mut self, queue: &str, took: Duration, estimate: Duration) {
        if estimate.is_zero() {
            return;
        }
        let ratio =
            (took.as_secs_f64() / estimate.as_secs_f64()).clamp(RATIO_BOUNDS.0, RATIO_BOUNDS.1);
        let learned = self.run_time_ratios.entry(String::from(queue)).or_insert(1.0);
        *learned += RUN_WEIGHT * (ratio - *learned);
    }

    /// Learned ratio of the run time of a queue's tasks to their estimate.
    pub fn run_time_ratio(&self, queue: &str) -> f64 {
        self.run_time_ratios.get(queue).copied().unwrap_or(1.0)
    }

    /// Lets the averages decay until `now`.
    pub fn decay(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.at).as_secs_f64();
        self.at = now;
        let factor = (-passed / SHORT_AVERAGE.as_secs_f64()).exp();
        let long_factor = (-passed / LONG_AVERAGE.as_secs_f64()).exp();
        for rate in self.rates.values_mut() {
            rate.cores *= factor;
            rate.jobs *= factor;
            rate.long_cores *= long_factor;
        }
    }

    /// Cores that the work recently submitted to a service needs.
    pub fn cores(&self, service: &str) -> f64 {
        self.rates.get(service).map_or(0.0, |rate| rate.cores)
    }

    /// Cores that the work of a service will need in `ahead`, extrapolated from the current rise. A
    /// falling rate counts as constant.
    pub fn extrapolated_cores(&self, service: &str, ahead: Duration) -> f64 {
        let Some(rate) = self.rates.get(service) else { return 0.0 };
        let over = (LONG_AVERAGE - SHORT_AVERAGE).as_secs_f64();
        let slope = ((rate.cores - rate.long_cores) / over).max(0.0);
        rate.cores + slope * ahead.as_secs_f64()
    }

    /// Number of jobs recently submitted to a service, with older ones weighing less.
    pub fn recent_jobs(&self, service: &str) -> f64 {
        self.rates.get(service).map_or(0.0, |rate| rate.jobs)
    }

    /// Whether any job that is neither endless nor scheduled was submitted to this owner.
    pub fn has_started(&self) -> bool {
        self.started
    }
}
