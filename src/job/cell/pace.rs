//! Pace: the CPU share of fillers that run beside tasks with a latency objective.
//!
//! Fillers use CPU time that other tasks leave unused. They slow those tasks down by amounts that
//! differ by image and change within seconds. When a task comes close to its latency objective, the
//! share of the fillers on its runner is halved, and set to 0 if the task misses the objective. It
//! is raised step by step once the latency is well below.

use {
    super::{Action, Cell, RunnerId},
    crate::job::{
        runner::{Report, Running},
        spec::Step,
    },
    log::info,
    std::{
        rc::Rc,
        time::{Duration, Instant},
    },
};

/// Fraction of the latency objective above which the share is lowered.
const SLOW_ABOVE: f64 = 0.8;
/// Fraction of the latency objective below which the share is raised.
const RAISE_BELOW: f64 = 0.5;
/// Shortest time from a change until the share is lowered.
const SLOW_PAUSE: Duration = Duration::from_millis(500);
/// Shortest time from a change until the share is raised.
const RAISE_PAUSE: Duration = Duration::from_secs(2);
/// Increment by which the share is raised, in percent.
const RAISE_STEP: u32 = 25;
/// Full share, in percent.
pub(super) const FULL_SHARE: u32 = 100;

impl Cell {
    /// Adjusts the share of the fillers on a runner according to its report.
    pub(super) fn adjust_pace(&mut self, now: Instant, runner: &RunnerId, report: &Report) {
        let Some(worker) = self.workers.get(runner).filter(|worker| worker.fillers > 0) else {
            return;
        };
        let (pace, since) = (worker.pace, now.saturating_duration_since(worker.pace_changed));
        let latency_ratios = report.running.iter().filter_map(|row| self.latency_ratio(row));
        let wanted = next_pace(pace, latency_ratios.reduce(f64::max), since);
        if wanted != pace {
            info!("pace: runner={runner} percent={wanted} before={pace}");
            if let Some(worker) = self.workers.get_mut(runner) {
                worker.pace = wanted;
                worker.pace_changed = now;
            }
        }
        for row in report.running.iter().filter(|row| row.percent != wanted) {
            if self.step_of(row).is_some_and(|step| step.filler) {
                let action = Action::Pace(Rc::clone(runner), row.task, row.run, wanted);
                self.actions.push(action);
            }
        }
    }

    fn step_of(&self, row: &Running) -> Option<&Step> {
        self.step(&row.task)
    }

    /// Tail latency of a task as a fraction of its objective; none if it has no objective.
    fn latency_ratio(&self, row: &Running) -> Option<f64> {
        let step =
            self.step_of(row).filter(|step| !step.filler && !step.latency_target.is_zero())?;
        Some(row.usage as f64 / step.latency_target.as_millis().max(1) as f64)
    }
}

/// Next share of the fillers on a runner, if the worst task beside them has the ratio
/// `latency_ratio` and the share was last changed `since` ago.
fn next_pace(pace: u32, latency_ratio: Option<f64>, since: Duration) -> u32 {
    match latency_ratio {
        None => FULL_SHARE,
        Some(worst) if worst > SLOW_ABOVE && since >= SLOW_PAUSE => {
            if worst > 1.0 {
                0
            } else {
                pace / 2
            }
        }
        Some(worst) if worst < RAISE_BELOW && since >= RAISE_PAUSE => {
            (pace + RAISE_STEP).min(FULL_SHARE)
        }
        Some(_) => pace,
    }
}
