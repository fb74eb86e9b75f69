//! Demand of each service, learned from what callers submit.

use {
    crate::job::spec::Spec,
    std::{rc::Rc, time::Instant},
};

/// Demand of each service.
#[derive(Clone, Debug)]
pub struct Load {
    at: Instant,
}

impl Load {
    /// No demand yet.
    pub fn new(now: Instant) -> Self {
        Self { at: now }
    }

    /// Notes a submitted job.
    pub fn submitted(&mut self, _service: &str, _spec: &Rc<Spec>) {}

    /// Goes on to `now`.
    pub fn advance(&mut self, now: Instant) {
        self.at = now;
    }
}
