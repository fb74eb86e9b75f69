//! How long a call may wait for its answer: a multiple of what the last answers took.

use std::{
    cell::Cell,
    time::{Duration, Instant},
};

/// Time for an answer, as a multiple of what the last ones took.
const FACTOR: u32 = 6;
/// Weight of the newest answer in what answers take.
const NEWEST: f64 = 0.2;

/// Limit that follows how long answers take.
pub struct Limit {
    least: Duration,
    most: Duration,
    takes: Cell<Duration>,
}

impl Limit {
    /// Limit between `least` and `most`, beginning with the latter.
    pub fn new(least: Duration, most: Duration) -> Self {
        Self { least, most, takes: Cell::new(most / FACTOR) }
    }

    /// Time for the next answer.
    pub fn get(&self) -> Duration {
        (self.takes.get() * FACTOR).clamp(self.least, self.most)
    }

    /// Notes a call that began at `begun` under the limit `limit`, and whether it was answered.
    pub fn note(&self, begun: Instant, limit: Duration, answered: bool) {
        let newest = if answered { begun.elapsed() } else { limit };
        self.takes.set(self.takes.get().mul_f64(1.0 - NEWEST) + newest.mul_f64(NEWEST));
    }
}
