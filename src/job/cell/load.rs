//! Demand of each service, learned from what callers submit.

use {
    crate::job::spec::Spec,
    indexmap::IndexMap,
    std::time::{Duration, Instant},
};

/// Time over which the rate of submitted work is averaged.
const MEMORY: Duration = Duration::from_millis(700);

/// Demand of each service.
#[derive(Clone, Debug)]
pub struct Load {
    at: Instant,
    fresh: IndexMap<String, f64>,
    rates: IndexMap<String, f64>,
}

impl Load {
    /// No demand yet.
    pub fn new(now: Instant) -> Self {
        Self { at: now, fresh: IndexMap::new(), rates: IndexMap::new() }
    }

    /// Notes a submitted job.
    pub fn submitted(&mut self, service: &str, spec: &Spec) {
        if !spec.endless() {
            *self.fresh.entry(String::from(service)).or_default() += spec.work();
        }
    }

    /// Goes on to `now`.
    pub fn advance(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.at).as_secs_f64();
        if passed <= 0.0 {
            return;
        }
        self.at = now;
        let keep = (-passed / MEMORY.as_secs_f64()).exp();
        for rate in self.rates.values_mut() {
            *rate *= keep;
        }
        for (service, work) in self.fresh.drain(..) {
            *self.rates.entry(service).or_default() += work / MEMORY.as_secs_f64();
        }
    }

    /// Cores that the work submitted to a service lately asks for.
    pub fn cores(&self, service: &str) -> f64 {
        self.rates.get(service).copied().unwrap_or_default()
    }
}
