//! Adaptive timeout of calls: a multiple of a moving average of recent answer times.

use std::{
    cell::Cell,
    time::{Duration, Instant},
};

/// Timeout as a multiple of the average answer time.
const FACTOR: u32 = 6;
/// Weight of the newest answer in the exponentially weighted moving average.
const NEWEST: f64 = 0.2;

/// Timeout that follows how long answers take.
pub struct Limit {
    least: Duration,
    most: Duration,
    takes: Cell<Duration>,
}

impl Limit {
    /// Creates a timeout between `least` and `most` that begins at `most`.
    pub fn new(least: Duration, most: Duration) -> Self {
        Self { least, most, takes: Cell::new(most / FACTOR) }
    }

    /// Returns the timeout of the next call.
    pub fn get(&self) -> Duration {
        (self.takes.get() * FACTOR).clamp(self.least, self.most)
    }

    /// Records a call that began at `begun` with the timeout `limit`, and whether it was answered. An
    /// unanswered call counts as one that took the whole timeout.
    pub fn note(&self, begun: Instant, limit: Duration, answered: bool) {
        let newest = if answered { begun.elapsed() } else { limit };
        self.takes.set(self.takes.get().mul_f64(1.0 - NEWEST) + newest.mul_f64(NEWEST));
    }
}
