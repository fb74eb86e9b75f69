//! What a run adds up to.

use hdrhistogram::Histogram;

pub struct Stats {
    pub burst_wait: Histogram<u64>,
    pub lull_wait: Histogram<u64>,
    pub done_us: u64,
    pub refused: u64,
    pub given_up: u64,
    pub arrived: u64,
    pub ended: u64,
    pub runner_refusals: u64,
    pub messages: u64,
    pub idle_us: f64,
    pub burst_us: f64,
    pub at_once: u32,
}

impl Stats {
    pub fn new() -> Self {
        let histogram = || Histogram::new_with_bounds(1, 60_000_000, 3).expect("three digits");
        Self {
            burst_wait: histogram(),
            lull_wait: histogram(),
            done_us: 0,
            refused: 0,
            given_up: 0,
            arrived: 0,
            ended: 0,
            runner_refusals: 0,
            messages: 0,
            idle_us: 0.0,
            burst_us: 0.0,
            at_once: 0,
        }
    }

    pub fn report(&self, slots: f64, run_part: f64) -> String {
        let capacity = self.burst_us * slots * run_part;
        let percent = |part: f64| 100.0 * part;
        let ms = |us: u64| us as f64 / 1000.0;
        let share = |part: u64| percent(part as f64 / self.arrived as f64);
        let unanswered = self.arrived - self.ended - self.refused - self.given_up;
        format!(
            "{:.1}% | {:.1} | {:.1} | {:.1}% | {:.2}% | {:.2}% | {} | {:.2} | {:.2}% | {} | {:.1}",
            percent(self.done_us as f64 / capacity),
            ms(self.burst_wait.value_at_quantile(0.5)),
            ms(self.burst_wait.value_at_quantile(0.99)),
            share(self.refused),
            share(self.given_up),
            share(unanswered),
            self.runner_refusals,
            self.messages as f64 / self.arrived as f64,
            percent(self.idle_us / (self.burst_us * slots)),
            self.at_once,
            ms(self.lull_wait.value_at_quantile(0.5)),
        )
    }
}
