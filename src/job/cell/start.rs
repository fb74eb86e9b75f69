//! Starts of runs: sending, answers, and what follows when there is none.
//!
//! A start without an answer may have been carried out, or may be carried out seconds later. A runner
//! takes the same run only once, so such a start is sent again to the same runner, after a poll has
//! shown that the runner is reachable and does not list the run. This is quicker than to stop the run
//! and to start the next one elsewhere, since half of the stops may get no answer either. Only after
//! [`MAX_ATTEMPTS`] is the run given up. The load that this answers is a time in which many orders to
//! runners get no answer, while the polls do.

use {
    super::{
        Action, Cell, RunnerId,
        job::{Phase, Placement, Status},
    },
    crate::job::{
        ledger::Outcome,
        runner::{Answer, Rejection, Start},
        spec::Task,
    },
    log::warn,
    std::{
        rc::Rc,
        time::{Duration, Instant},
    },
};

/// Number of times that the start of a run is sent at most.
pub(super) const MAX_ATTEMPTS: u32 = 8;
/// Quarantine of a runner that has rejected a start because it has no room, is unhealthy or found
/// the call malformed.
const REJECTION_QUARANTINE: Duration = Duration::from_millis(1_000);
/// Time for which a task waits after its first start that a runner found malformed. It doubles with each
/// further one.
const MALFORMED_DELAY: Duration = Duration::from_millis(1_000);
/// Number of times that it doubles at most.
const MAX_DOUBLINGS: u32 = 5;

impl Cell {
    /// Sends the start of a run whose placement the ledger has stored, unless the run or its runner
    /// has changed meanwhile, or the ledger's answer has come so late that a new owner may count the
    /// run as ended.
    pub(super) fn send_planned_start(
        &mut self,
        now: Instant,
        runner: &RunnerId,
        task: &Task,
        run: u32,
    ) {
        let state = self.task_mut(task);
        if state.is_none_or(|state| placement_in(state, run, runner, Phase::Planned).is_none()) {
            return;
        }
        if let Err(why) = self.send_start(now, runner, task) {
            self.cancel_start(now, task, why);
        }
    }

    /// Sends the start of a run again that a report of its runner does not list. Returns whether it
    /// did.
    pub(super) fn resend_start(&mut self, now: Instant, runner: &RunnerId, task: &Task) -> bool {
        let Some(Status::Placed(placement)) = self.task(task).map(|state| &state.status) else {
            return false;
        };
        placement.attempts < MAX_ATTEMPTS && self.send_start(now, runner, task).is_ok()
    }

    /// Sends the start of a task's placed run, or returns why it can't be sent now.
    fn send_start(
        &mut self,
        now: Instant,
        runner: &RunnerId,
        task: &Task,
    ) -> Result<(), &'static str> {
        if !self.may_start(now) {
            return Err("this owner is not confirmed");
        }
        let ticket = self.ticket(now, task, runner).map(String::from);
        if ticket.is_none() && self.needs_ticket(task.job) {
            return Err("its ticket has expired");
        }
        let gone = "its runner can no longer take it";
        if !self.may_start_on_vm(now, runner, task) {
            return Err("its VM is being emptied");
        }
        let job = self.jobs.get_mut(&task.job).filter(|job| job.outcome == Outcome::Open);
        let job = job.ok_or("its job has ended")?;
        let (text, checkpoint) = (job.spec.text.clone(), String::from(job.checkpoint(task)));
        let worker =
            self.workers.get_mut(runner).filter(|worker| worker.can_start()).ok_or(gone)?;
        if !worker.room().holds(&worker.used) {
            return Err("its runner's room has shrunk");
        }
        let until_ms = worker.lease.grant(now).ok_or(gone)?;
        let (sent_to, fence) = (worker.incarnation, worker.fence);
        let state = job.task_mut(task).ok_or(gone)?;
        let Status::Placed(placement) = &mut state.status else { return Err(gone) };
        placement.phase = Phase::Sent;
        placement.since = now;
        placement.attempts += 1;
        placement.until_ms = until_ms;
        placement.sent_to = sent_to;
        let (task, run, ticket) = (*task, state.run, ticket.unwrap_or_default());
        let start = Start { task, run, text, until_ms, fence, checkpoint, ticket };
        self.record_start_sent(now, runner);
        self.actions.push(Action::Start(Rc::clone(runner), start));
        Ok(())
    }

    /// Handles a runner's answer to a start.
    pub fn start_answered(
        &mut self,
        now: Instant,
        runner: &RunnerId,
        task: Task,
        run: u32,
        answer: Answer<u64>,
    ) {
        let sent = self.record_start_done(runner, !matches!(answer, Answer::Unknown(_)));
        let clock_ms = match answer {
            Answer::Done(clock_ms) => clock_ms,
            Answer::Rejected(reason) => {
                return self.start_rejected(now, runner, task, run, reason);
            }
            Answer::Unknown(why) => return self.start_unanswered(now, runner, task, run, &why),
        };
        self.identify_by_clock(now, runner, sent, clock_ms);
        if let Some(worker) = self.workers.get_mut(runner) {
            worker.observe_clock(now, runner, clock_ms);
            worker.unresponsive_since = None;
        }
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        job.started = true;
        let Some(state) = job.task_mut(&task) else { return };
        state.malformed = None;
        if let Some(placement) = placement_in(state, run, runner, Phase::Sent) {
            placement.phase = Phase::Running;
            placement.since = now;
            placement.confirmed = true;
        }
    }

    /// Handles the rejection of a start.
    fn start_rejected(
        &mut self,
        now: Instant,
        runner: &RunnerId,
        task: Task,
        run: u32,
        reason: Rejection,
    ) {
        warn!("start: task={task} run={run} runner={runner} rejected={reason:?}");
        match reason {
            Rejection::Fence => self.fence_rejected(now, runner),
            Rejection::Instance => self.runner_replaced(now, runner),
            Rejection::Ticket => self.drop_ticket(&task, runner),
            Rejection::Room | Rejection::Unhealthy => self.quarantine(now, runner),
            Rejection::Malformed => self.start_malformed(now, runner, &task),
            Rejection::Late | Rejection::Old => {}
        }
        let Some(state) = self.task_mut(&task) else { return };
        let Some(placement) = placement_in(state, run, runner, Phase::Sent) else { return };
        if placement.attempts == 1 && reason != Rejection::Old {
            return self.cancel_start(now, &task, "its start was rejected");
        }
        // An earlier attempt may have been carried out, or may still be. If the run has ended, a report
        // lists its end; otherwise the run has to be stopped first.
        let ended = reason == Rejection::Old;
        placement.phase = if ended { Phase::Stopped } else { Phase::Unconfirmed };
        placement.since = now;
        placement.attempts = MAX_ATTEMPTS;
        if let Some(worker) = self.workers.get_mut(runner) {
            worker.next_poll = now;
        }
    }

    fn quarantine(&mut self, now: Instant, runner: &RunnerId) {
        if let Some(worker) = self.workers.get_mut(runner) {
            worker.quarantined_until = Some(now + REJECTION_QUARANTINE);
        }
    }

    /// Handles a start that a runner found malformed. Either may be the cause: the runner is quarantined
    /// unless another start of the job was found malformed before, and the task waits ever longer.
    fn start_malformed(&mut self, now: Instant, runner: &RunnerId, task: &Task) {
        let job = self.jobs.get(&task.job);
        let is_first =
            job.is_some_and(|job| job.tasks(task.job).all(|(_, state)| state.malformed.is_none()));
        if is_first {
            self.quarantine(now, runner);
        }
        let Some(state) = self.task_mut(task) else { return };
        let count = state.malformed.map_or(0, |(count, _)| count);
        let until = now + MALFORMED_DELAY * (1 << count.min(MAX_DOUBLINGS));
        state.malformed = Some((count + 1, until));
        state.failed_on = Some(Rc::clone(runner));
    }

    /// Drops the tasks of a step that wait after a malformed start from `waiting`; returns whether there
    /// were any.
    pub(super) fn hold_malformed(&mut self, now: Instant, waiting: &mut Vec<Task>) -> bool {
        let held_until = |task: &Task| {
            let until = self.task(task)?.malformed.map(|(_, until)| until);
            until.filter(|until| *until > now)
        };
        let Some(at) = waiting.iter().filter_map(held_until).min() else { return false };
        waiting.retain(|task| held_until(task).is_none());
        self.retry_placement(at);
        true
    }

    /// Handles a start without an answer: the run may exist, which the next report will show.
    fn start_unanswered(
        &mut self,
        now: Instant,
        runner: &RunnerId,
        task: Task,
        run: u32,
        why: &str,
    ) {
        warn!("start: task={task} run={run} runner={runner} answer=none why={why:?}");
        self.detector.record_timeout(now);
        if let Some(worker) = self.workers.get_mut(runner) {
            worker.unresponsive_since.get_or_insert(now);
            worker.last_call_lost = Some(now);
            worker.lease.lose_answer(now);
            worker.next_poll = now;
        }
        let Some(state) = self.task_mut(&task) else { return };
        if let Some(placement) = placement_in(state, run, runner, Phase::Sent) {
            placement.phase = Phase::Unconfirmed;
            placement.since = now;
        }
    }
}

/// Placement of a task's run `run` on `runner`, if it is in `phase`.
pub(super) fn placement_in<'a>(
    state: &'a mut super::job::State,
    run: u32,
    runner: &RunnerId,
    phase: Phase,
) -> Option<&'a mut Placement> {
    let Status::Placed(placement) = &mut state.status else { return None };
    let same = state.run == run && placement.runner == *runner && placement.phase == phase;
    same.then_some(placement)
}
