//! Estimates how long the requests of a class hold a slot.

use std::time::{Duration, Instant};

/// Inverse weight of the newest run time in the moving averages.
const MEAN_DIVISOR: f64 = 16.0;

/// Moving averages of a class's run times.
pub(super) struct Estimator {
    /// Start of the first run, from which start times are counted.
    origin: Option<Instant>,
    /// Moving average of the run times.
    mean_secs: f64,
    /// Moving average of the run times' absolute deviations from the mean.
    deviation_secs: f64,
    /// Whether a run has been measured.
    measured: bool,
    /// Number of running requests.
    running: u32,
    /// Sum of the running requests' start times, which gives their mean age.
    started_sum_secs: f64,
}

impl Estimator {
    /// Creates an estimate of `first` that holds until a run has been measured.
    pub(super) fn new(first: Duration) -> Self {
        Self {
            origin: None,
            mean_secs: first.as_secs_f64(),
            deviation_secs: first.as_secs_f64() / 2.0,
            measured: false,
            running: 0,
            started_sum_secs: 0.0,
        }
    }

    /// Number of running requests.
    pub(super) fn running(&self) -> u32 {
        self.running
    }

    /// Records the start of a run.
    pub(super) fn start(&mut self, now: Instant) {
        self.started_sum_secs += self.secs(now);
        self.running += 1;
    }

    /// Records the end of a run.
    pub(super) fn finish(&mut self, started: Instant, took: Duration) {
        self.started_sum_secs -= self.secs(started);
        self.running = self.running.saturating_sub(1);
        let took = took.as_secs_f64();
        if !self.measured {
            self.measured = true;
            self.mean_secs = took;
            self.deviation_secs = took / 2.0;
            return;
        }
        let error = took - self.mean_secs;
        self.mean_secs += error / MEAN_DIVISOR;
        self.deviation_secs += (error.abs() - self.deviation_secs) / MEAN_DIVISOR;
    }

    /// Mean run time of finished runs.
    pub(super) fn mean(&self) -> Duration {
        Duration::from_secs_f64(self.mean_secs)
    }

    /// Expected run time: the mean, or half the mean age of the running requests if that is longer.
    pub(super) fn expected(&self, now: Instant) -> Duration {
        let mean_age_secs = match (self.origin, self.running) {
            (Some(origin), 1..) => {
                let now_secs = now.saturating_duration_since(origin).as_secs_f64();
                now_secs - self.started_sum_secs / f64::from(self.running)
            }
            _ => 0.0,
        };
        Duration::from_secs_f64(self.mean_secs.max(mean_age_secs / 2.0))
    }

    /// Time before its deadline by which a request must start to be likely to finish in time: the
    /// mean run time plus two mean deviations.
    pub(super) fn margin(&self) -> Duration {
        Duration::from_secs_f64(self.mean_secs + 2.0 * self.deviation_secs)
    }

    /// Seconds from the first start to `at`.
    fn secs(&mut self, at: Instant) -> f64 {
        let origin = *self.origin.get_or_insert(at);
        at.saturating_duration_since(origin).as_secs_f64()
    }
}
