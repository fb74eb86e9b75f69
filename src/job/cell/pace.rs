//! Pace: the CPU share of fillers that run beside tasks with a latency objective.
//!
//! Fillers use CPU time that other tasks leave. They slow those tasks down by amounts that differ
//! by image and change within seconds. When a task comes close to its latency objective, the share
//! of the fillers on its runner is halved, and set to 0 if the task misses the objective. It is
//! raised step by step once the latency is well below.

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
const NEAR: f64 = 0.8;
/// Fraction of the latency objective below which the share is raised.
const FAR: f64 = 0.5;
/// Shortest time from a change until the share is lowered.
const SLOW_PAUSE: Duration = Duration::from_millis(500);
/// Shortest time from a change until the share is raised.
const RAISE_PAUSE: Duration = Duration::from_secs(2);
/// Increment by which the share is raised, in percent.
const RAISE: u32 = 25;
/// Full share, in percent.
pub(super) const FULL: u32 = 100;

impl Cell {
    /// Adjusts the share of the fillers on a runner according to its report.
    pub(super) fn steer_pace(&mut self, now: Instant, runner: &RunnerId, report: &Report) {
        let Some(worker) = self.workers.get(runner).filter(|worker| worker.filling > 0) else {
            return;
        };
        let (pace, since) = (worker.pace, now.saturating_duration_since(worker.paced));
        let nearness = report.running.iter().filter_map(|row| self.nearness(row));
        let wanted = next_pace(pace, nearness.reduce(f64::max), since);
        if wanted != pace {
            info!("pace: runner={runner} percent={wanted} before={pace}");
            if let Some(worker) = self.workers.get_mut(runner) {
                worker.pace = wanted;
                worker.paced = now;
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
    fn nearness(&self, row: &Running) -> Option<f64> {
        let step =
            self.step_of(row).filter(|step| !step.filler && !step.latency_target.is_zero())?;
        Some(row.usage as f64 / step.latency_target.as_millis().max(1) as f64)
    }
}

/// Next share of the fillers on a runner, if the worst task beside them has `nearness` and the
/// share was last changed `since` ago.
fn next_pace(pace: u32, nearness: Option<f64>, since: Duration) -> u32 {
    match nearness {
        None => FULL,
        Some(worst) if worst > NEAR && since >= SLOW_PAUSE => {
            if worst > 1.0 {
                0
            } else {
                pace / 2
            }
        }
        Some(worst) if worst < FAR && since >= RAISE_PAUSE => (pace + RAISE).min(FULL),
        Some(_) => pace,
    }
}
