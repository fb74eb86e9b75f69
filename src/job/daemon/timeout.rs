//! Adaptive timeout of calls: a multiple of a moving average of recent answer times.
//!
//! Calls whose answers are lost say nothing about how long answers take, so only answered calls enter
//! the average. Several unanswered calls in a row may mean that the timeout has become too short, and
//! double it each.

use std::{
    cell::Cell,
    time::{Duration, Instant},
};

/// Timeout as a multiple of the average answer time.
const FACTOR: u32 = 6;
/// Weight of the newest answer in the exponentially weighted moving average.
const NEWEST_WEIGHT: f64 = 0.2;
/// Maximum number of times that the timeout is doubled.
const MAX_DOUBLINGS: u32 = 4;

/// Timeout that follows how long answers take.
pub struct Timeout {
    min: Duration,
    max: Duration,
    /// Moving average of answer times.
    average: Cell<Duration>,
    /// Number of calls since the last one that was answered.
    unanswered: Cell<u32>,
}

impl Timeout {
    /// Creates a timeout between `min` and `max` that begins at `max`.
    pub fn new(min: Duration, max: Duration) -> Self {
        Self { min, max, average: Cell::new(max / FACTOR), unanswered: Cell::new(0) }
    }

    /// Returns the timeout of the next call.
    pub fn get(&self) -> Duration {
        // A single lost answer changes nothing.
        let doublings = self.unanswered.get().saturating_sub(1).min(MAX_DOUBLINGS);
        let timeout = (self.average.get() * FACTOR).max(self.min) * (1 << doublings);
        timeout.min(self.max)
    }

    /// Records a call that began at `begun`, and whether it was answered.
    pub fn record(&self, begun: Instant, answered: bool) {
        if !answered {
            return self.unanswered.set(self.unanswered.get().saturating_add(1));
        }
        self.unanswered.set(0);
        let average = self.average.get().mul_f64(1.0 - NEWEST_WEIGHT);
        self.average.set(average + begun.elapsed().mul_f64(NEWEST_WEIGHT));
    }
}
