//! Demand of each service, learned from what callers submit and from how long runs take.

use {
    crate::job::spec::Spec,
    indexmap::IndexMap,
    std::time::{Duration, Instant},
};

/// Time over which the rate of submitted work is averaged.
const MEMORY: Duration = Duration::from_millis(700);
/// Time over which it is averaged to tell whether it rises.
const LONG_MEMORY: Duration = Duration::from_millis(2_000);
/// Weight of a run in the learned run time of its queue.
const RUN_WEIGHT: f64 = 0.02;
/// Bounds of the learned factor between run times and their estimates.
const FACTORS: (f64, f64) = (0.3, 3.0);

/// Work submitted to a service lately.
#[derive(Clone, Copy, Debug, Default)]
struct Rate {
    /// Cores that it asks for.
    cores: f64,
    /// The same over a longer time.
    long: f64,
    /// Jobs, weighted as the work is.
    jobs: f64,
}

/// Demand of each service.
#[derive(Clone, Debug)]
pub struct Load {
    at: Instant,
    begun: bool,
    rates: IndexMap<String, Rate>,
    factors: IndexMap<String, f64>,
}

impl Load {
    /// No demand yet.
    pub fn new(now: Instant) -> Self {
        Self { at: now, begun: false, rates: IndexMap::new(), factors: IndexMap::new() }
    }

    /// Notes a submitted job.
    pub fn submitted(&mut self, now: Instant, service: &str, queue: &str, spec: &Spec) {
        if spec.endless() || spec.schedule.is_some() {
            return;
        }
        self.advance(now);
        self.begun = true;
        let work = spec.work() * self.factor(queue);
        let rate = self.rates.entry(String::from(service)).or_default();
        rate.cores += work / MEMORY.as_secs_f64();
        rate.long += work / LONG_MEMORY.as_secs_f64();
        rate.jobs += 1.0;
    }

    /// Notes a run of a task that was estimated to take `estimate`.
    pub fn ran(&mut self, queue: &str, took: Duration, estimate: Duration) {
        if estimate.is_zero() {
            return;
        }
        let factor = (took.as_secs_f64() / estimate.as_secs_f64()).clamp(FACTORS.0, FACTORS.1);
        let learned = self.factors.entry(String::from(queue)).or_insert(1.0);
        *learned += RUN_WEIGHT * (factor - *learned);
    }

    /// Run time of a queue's tasks, as a part of their estimate.
    pub fn factor(&self, queue: &str) -> f64 {
        self.factors.get(queue).copied().unwrap_or(1.0)
    }

    /// Goes on to `now`.
    pub fn advance(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.at).as_secs_f64();
        self.at = now;
        let keep = (-passed / MEMORY.as_secs_f64()).exp();
        let keep_long = (-passed / LONG_MEMORY.as_secs_f64()).exp();
        for rate in self.rates.values_mut() {
            rate.cores *= keep;
            rate.jobs *= keep;
            rate.long *= keep_long;
        }
    }

    /// Cores that the work submitted to a service lately asks for.
    pub fn cores(&self, service: &str) -> f64 {
        self.rates.get(service).map_or(0.0, |rate| rate.cores)
    }

    /// Cores that work will ask for after `ahead`, if it goes on rising as it does; if it falls, no less
    /// than now.
    pub fn cores_after(&self, service: &str, ahead: Duration) -> f64 {
        let Some(rate) = self.rates.get(service) else { return 0.0 };
        let over = (LONG_MEMORY - MEMORY).as_secs_f64();
        let slope = ((rate.cores - rate.long) / over).max(0.0);
        rate.cores + slope * ahead.as_secs_f64()
    }

    /// Jobs submitted to a service lately.
    pub fn jobs(&self, service: &str) -> f64 {
        self.rates.get(service).map_or(0.0, |rate| rate.jobs)
    }

    /// Whether any finite job was submitted since the cell was taken over.
    pub fn begun(&self) -> bool {
        self.begun
    }
}
