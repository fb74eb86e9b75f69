//! Availability of endless tasks: whether one may be stopped without leaving its step with fewer
//! tasks at work than it demands.
//!
//! A stop may be carried out seconds after it was sent, also one that was to undo a start without an
//! answer. So every task of the step that is not certainly at work counts as unavailable, and a task
//! is not stopped on a runner that has left calls unanswered lately.

use {
    super::{
        Cell, RunnerId,
        job::{Phase, Placement, Status},
    },
    crate::job::spec::Task,
    std::time::{Duration, Instant},
};

/// Time beyond the longest stop for which a task must have run before it counts as at work: a
/// previous owner may have sent a stop to it just before the takeover.
const STEADY_MARGIN: Duration = Duration::from_millis(600);
/// Time after an unanswered call for which endless tasks are not moved off a runner.
const LOSSY_PERIOD: Duration = Duration::from_secs(3);

impl Cell {
    /// Stops the endless tasks on a runner that their steps may miss now, so that its VM is drained.
    pub(super) fn stop_endless_tasks(&mut self, now: Instant, runner: &RunnerId) {
        let Some(worker) = self.workers.get(runner) else { return };
        if worker.has_lost_call_since(now, LOSSY_PERIOD) {
            return;
        }
        let tasks: Vec<Task> = worker.tasks.keys().copied().collect();
        for task in tasks {
            let endless = self.step(&task).is_some_and(|step| step.endless);
            if endless && self.may_be_unavailable(now, &task) {
                let run = self.task(&task).map(|state| state.run);
                self.stop_run(now, &task, runner, run.unwrap_or_default());
            }
        }
    }

    /// Handles a run whose start got no answer and that its runner did not list in a report, in which its
    /// clock showed `clock_ms`. The start is sent again; once it was sent often enough, the run is stopped,
    /// as a start may still be carried out until the lease that it carries has expired. An endless task
    /// that its step can't miss is not: its stop could end the task once it is at work. It waits until the
    /// start can no longer be carried out, unless the runner has restarted, as its clock began anew.
    pub(super) fn resolve_unconfirmed(
        &mut self,
        now: Instant,
        task: &Task,
        runner: &RunnerId,
        clock_ms: u64,
    ) {
        if self.resend_start(now, runner, task) {
            return;
        }
        let Some(state) = self.task(task) else { return };
        let Status::Placed(placement) = &state.status else { return };
        let (run, is_over) = (state.run, placement.until_ms <= clock_ms);
        let known = self.workers.get(runner).and_then(|worker| worker.incarnation);
        let restarted = placement.sent_to != known;
        let endless = self.step(task).is_some_and(|step| step.endless);
        if !endless || restarted || self.may_be_unavailable(now, task) {
            return self.stop_run(now, task, runner, run);
        }
        if is_over {
            self.cancel_start(now, task, "its start can no longer be carried out");
        }
    }

    /// Whether the step of an endless task can miss it now, besides those that are not certainly at
    /// work.
    fn may_be_unavailable(&self, now: Instant, task: &Task) -> bool {
        let Some(job) = self.jobs.get(&task.job) else { return false };
        let (Some(step), Some(tasks)) = (job.step(task), job.siblings(task)) else { return false };
        let missed = tasks
            .iter()
            .enumerate()
            .filter(|(index, _)| *index != usize::from(task.index))
            .filter(|(_, state)| !self.is_at_work(now, &state.status))
            .count();
        missed < (step.max_unavailable as usize).max(1)
    }

    /// Whether a task is certainly at work.
    fn is_at_work(&self, now: Instant, status: &Status) -> bool {
        let Status::Placed(Placement { runner, phase, since, percent, .. }) = status else {
            return false;
        };
        let worker = self.workers.get(runner);
        let answers =
            worker.is_some_and(|worker| worker.unresponsive_since.is_none() && worker.listed);
        let steady = now.saturating_duration_since(*since) > self.bounds.stop + STEADY_MARGIN;
        answers && steady && *phase == Phase::Running && *percent >= 100
    }
}
