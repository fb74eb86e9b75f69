//! Demand of each service, learned from what callers submit and from how long runs take.

use {
    crate::job::spec::Spec,
    indexmap::IndexMap,
    std::time::{Duration, Instant},
};

/// Time over which the rate of submitted work is averaged.
const MEMORY: Duration = Duration::from_millis(700);
/// Weight of a run in the learned run time of its queue.
const RUN_WEIGHT: f64 = 0.02;
/// Bounds of the learned factor between run times and their estimates.
const FACTORS: (f64, f64) = (0.3, 3.0);

/// Demand of each service.
#[derive(Clone, Debug)]
pub struct Load {
    at: Instant,
    begun: bool,
    rates: IndexMap<String, f64>,
    factors: IndexMap<String, f64>,
}

impl Load {
    /// No demand yet.
    pub fn new(now: Instant) -> Self {
        Self { at: now, begun: false, rates: IndexMap::new(), factors: IndexMap::new() }
    }

    /// Notes a submitted job; returns its work in core-seconds.
    pub fn submitted(&mut self, now: Instant, service: &str, queue: &str, spec: &Spec) -> f64 {
        if spec.endless() {
            return 0.0;
        }
        self.advance(now);
        self.begun = true;
        let work = spec.work() * self.factor(queue);
        *self.rates.entry(String::from(service)).or_default() += work / MEMORY.as_secs_f64();
        work
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
        for rate in self.rates.values_mut() {
            *rate *= keep;
        }
    }

    /// Cores that the work submitted to a service lately asks for.
    pub fn cores(&self, service: &str) -> f64 {
        self.rates.get(service).copied().unwrap_or_default()
    }

    /// Whether any finite job was submitted since the cell was taken over.
    pub fn begun(&self) -> bool {
        self.begun
    }
}
