//! Adaptive timeout of calls: a multiple of a moving average of recent answer times.

use std::{
    cell::Cell,
    time::{Duration, Instant},
};

/// Timeout as a multiple of the average answer time.
const FACTOR: u32 = 6;
/// Weight of the newest answer in the exponentially weighted moving average.
const NEWEST_WEIGHT: f64 = 0.2;

/// Timeout that follows how long answers take.
pub struct Timeout {
    min: Duration,
    max: Duration,
    /// Moving average of answer times.
    average: Cell<Duration>,
}

impl Timeout {
    /// Creates a timeout between `min` and `max` that begins at `max`.
    pub fn new(min: Duration, max: Duration) -> Self {
        Self { min, max, average: Cell::new(max / FACTOR) }
    }

    /// Returns the timeout of the next call.
    pub fn get(&self) -> Duration {
        (self.average.get() * FACTOR).clamp(self.min, self.max)
    }

    /// Records a call that began at `begun` with the timeout `timeout`, and whether it was answered. An
    /// unanswered call counts as one that took the whole timeout.
    pub fn record(&self, begun: Instant, timeout: Duration, answered: bool) {
        let newest = if answered { begun.elapsed() } else { timeout };
        self.average
            .set(self.average.get().mul_f64(1.0 - NEWEST_WEIGHT) + newest.mul_f64(NEWEST_WEIGHT));
    }
}
