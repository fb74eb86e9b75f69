//! Statistics of a simulation.

use hdrhistogram::Histogram;

/// Counts and times of one simulation.
pub struct Stats {
    /// Time from arrival to run of requests that arrived in bursts, in microseconds.
    pub burst_wait: Histogram<u64>,
    /// Time from arrival to run of requests that arrived between bursts, in microseconds.
    pub off_burst_wait: Histogram<u64>,
    /// Run time, within bursts, of exchanges answered before their deadlines.
    pub goodput_us: u64,
    pub refused: u64,
    /// Requests that expired in a queue.
    pub given_up: u64,
    pub arrived: u64,
    /// Requests that were answered.
    pub ended: u64,
    pub endpoint_refusals: u64,
    /// Messages between entries.
    pub messages: u64,
    /// Slot time in bursts that was idle while requests waited.
    pub idle_us: f64,
    /// Duration of the bursts.
    pub burst_us: f64,
    /// Maximum number of concurrent exchanges at an endpoint, including refused ones.
    pub max_used: u32,
}

impl Stats {
    pub fn new() -> Self {
        let histogram = || Histogram::new_with_bounds(1, 60_000_000, 3).expect("three digits");
        Self {
            burst_wait: histogram(),
            off_burst_wait: histogram(),
            goodput_us: 0,
            refused: 0,
            given_up: 0,
            arrived: 0,
            ended: 0,
            endpoint_refusals: 0,
            messages: 0,
            idle_us: 0.0,
            burst_us: 0.0,
            max_used: 0,
        }
    }

    /// Formats the row of the table; `slots` is the number of slots, `run_share` the share of run
    /// time in the time that an exchange holds a slot.
    pub fn report(&self, slots: f64, run_share: f64) -> String {
        let capacity = self.burst_us * slots * run_share;
        let percent = |ratio: f64| 100.0 * ratio;
        let ms = |us: u64| us as f64 / 1000.0;
        let share = |count: u64| percent(count as f64 / self.arrived as f64);
        let unanswered = self.arrived - self.ended - self.refused - self.given_up;
        format!(
            "{:.1}% | {:.1} | {:.1} | {:.1}% | {:.2}% | {:.2}% | {} | {:.2} | {:.2}% | {} | {:.1}",
            percent(self.goodput_us as f64 / capacity),
            ms(self.burst_wait.value_at_quantile(0.5)),
            ms(self.burst_wait.value_at_quantile(0.99)),
            share(self.refused),
            share(self.given_up),
            share(unanswered),
            self.endpoint_refusals,
            self.messages as f64 / self.arrived as f64,
            percent(self.idle_us / (self.burst_us * slots)),
            self.max_used,
            ms(self.off_burst_wait.value_at_quantile(0.5)),
        )
    }
}
