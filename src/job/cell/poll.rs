//! Polls of runners: when one is due, and what a runner's report changes.
//!
//! A poll renews the runner's lease, lets it discard the ends that the ledger has stored, and
//! returns a report of the running tasks and the other ends. It is a long poll: while all is well,
//! the runner answers as soon as a task ends, or after [`POLL_WAIT`].

use {
    super::{
        Action, Cell, Effect, RunnerId,
        job::{Phase, State, Status},
        workers::SentPoll,
    },
    crate::job::{
        ledger::Outcome,
        runner::{Answer, Poll, Rejection, Report},
        spec::Task,
    },
    indexmap::IndexMap,
    log::{info, warn},
    std::{
        rc::Rc,
        time::{Duration, Instant},
    },
};

/// Longest time for which a runner waits for an end before it answers a poll.
pub const POLL_WAIT: Duration = Duration::from_millis(1_000);
/// The same shortly after a call has got no answer.
const LOSSY_POLL_WAIT: Duration = Duration::from_millis(300);
/// Time between two polls of a runner while the ledger has not stored the ends that it reported
/// last.
const UNSTORED_PAUSE: Duration = Duration::from_millis(700);
/// Time between two polls of a runner that does not answer.
const UNRESPONSIVE_PAUSE: Duration = Duration::from_millis(250);
/// Time between two polls of a runner that answers at once though nothing has ended.
const EARLY_ANSWER_PAUSE: Duration = Duration::from_millis(20);
/// Maximum number of ends in one report. A report with as many may be incomplete, so it says
/// nothing about runs that it does not list.
const MAX_REPORTED_ENDS: usize = 500;
/// Time after which an unanswered stop is sent again.
const STOP_RETRY_DELAY: Duration = Duration::from_millis(700);

impl Cell {
    /// Sends the polls that are due.
    pub(super) fn poll_runners(&mut self, now: Instant) {
        // A new owner polls at once, so that runners receive its fence; a suspected or unresponsive
        // runner is polled without a wait, so that an answer shows soon that it is reachable.
        let (renews, starts) = (self.may_renew(now), self.may_start(now));
        let longest = if self.detector.is_lossy(now) { LOSSY_POLL_WAIT } else { POLL_WAIT };
        let suspected = self.suspected_domains();
        let mut polls = Vec::new();
        for (id, worker) in &mut self.workers {
            if worker.poll_sent.is_some()
                || worker.registration.is_none()
                || worker.defers_poll(now)
            {
                continue;
            }
            let busy = !worker.tasks.is_empty();
            let unacknowledged = worker.has_discardable();
            let new_owner =
                (!worker.fence_accepted || worker.restart_noticed.is_some()) && worker.listed;
            let stored = worker.unstored_reports == 0;
            let paused = worker.polls_paused_until.is_some_and(|until| now < until);
            let follows = stored && worker.unresponsive_since.is_none() && !paused;
            let due = worker.next_poll <= now || follows;
            let is_suspected = worker.is_in(&suspected);
            if !(due
                && (busy
                    || unacknowledged
                    || new_owner
                    || is_suspected
                    || worker.unresponsive_since.is_some()))
            {
                continue;
            }
            let healthy =
                worker.fence_accepted && stored && busy && worker.unresponsive_since.is_none();
            let scheduled = worker.next_poll <= now && worker.unresponsive_since.is_none();
            let wait =
                if healthy && !scheduled && !is_suspected { longest } else { Duration::ZERO };
            // With a start outstanding, it is not certain which incarnation takes the poll.
            let renews = if worker.unanswered_starts.is_empty() { renews } else { starts };
            let extends = busy && renews && worker.unresponsive_since.is_none();
            let until_ms = if extends { worker.lease.grant(now) } else { None };
            let (fence, extends) = (worker.fence, until_ms.is_some());
            worker.poll_deferred = None;
            worker.poll_sent = Some(SentPoll { at: now, fence, wait, extends });
            // The next poll follows the answer to this one, so none is scheduled for some time.
            worker.next_poll = now + Duration::from_secs(3_600);
            let acknowledged = worker.discardable_end(now);
            polls.push(Action::Poll(Rc::clone(id), Poll { fence, until_ms, acknowledged, wait }));
        }
        self.actions.append(&mut polls);
    }

    /// Handles a runner's answer to a poll that acknowledged its ends up to `acknowledged`.
    pub fn poll_answered(
        &mut self,
        now: Instant,
        runner: &RunnerId,
        acknowledged: u64,
        answer: Answer<Report>,
    ) {
        let Some(worker) = self.workers.get_mut(runner) else { return };
        let Some(sent) = worker.poll_sent.take() else { return };
        let is_outdated = sent.fence < worker.fence;
        match answer {
            Answer::Unknown(_) if sent.extends => worker.lease.lose_answer(now),
            Answer::Unknown(_) => {}
            Answer::Done(_) | Answer::Rejected(_) => self.record_poll_answer(now, runner, sent.at),
        }
        match answer {
            Answer::Done(report) => {
                self.pause_polls(now, runner, sent, &report);
                self.handle_report(now, runner, sent, acknowledged, &report);
            }
            Answer::Rejected(Rejection::Fence) if is_outdated => self.fence_rejected(now, runner),
            Answer::Rejected(Rejection::Fence) => {
                warn!("owner: runner={runner} has a newer fence than {}", sent.fence);
                self.superseded = true;
            }
            Answer::Rejected(Rejection::Instance) => self.runner_replaced(now, runner),
            Answer::Rejected(reason) => self.poll_failed(now, runner, &format!("{reason:?}")),
            Answer::Unknown(why) => self.poll_failed(now, runner, &why),
        }
    }

    /// Has the next poll wait a little if the runner has answered this one at once and without any end:
    /// nothing else would limit the number of polls.
    fn pause_polls(&mut self, now: Instant, runner: &RunnerId, sent: SentPoll, report: &Report) {
        let Some(worker) = self.workers.get_mut(runner) else { return };
        let early = now.saturating_duration_since(sent.at) < sent.wait / 2;
        let pauses = early && report.ended.iter().all(|end| end.number <= worker.processed_end);
        worker.polls_paused_until = pauses.then_some(now + EARLY_ANSWER_PAUSE);
    }

    /// Handles a poll without a usable answer.
    fn poll_failed(&mut self, now: Instant, runner: &RunnerId, why: &str) {
        let Some(worker) = self.workers.get_mut(runner) else { return };
        if worker.unresponsive_since.is_none() {
            warn!("runner: id={runner} answers=false tasks={} why={why:?}", worker.tasks.len());
        }
        worker.unresponsive_since.get_or_insert(now);
        worker.last_call_lost = Some(now);
        worker.next_poll = now + UNRESPONSIVE_PAUSE;
        self.detector.record_timeout(now);
    }

    /// Updates the runner's record and its runs from the report to `poll`, which acknowledged the runner's
    /// ends up to `acknowledged`.
    fn handle_report(
        &mut self,
        now: Instant,
        runner: &RunnerId,
        poll: SentPoll,
        acknowledged: u64,
        report: &Report,
    ) {
        let sent = poll.at;
        let Some(restarted) = self.identify_incarnation(now, runner, sent, report) else { return };
        let Some(worker) = self.workers.get_mut(runner) else { return };
        if worker.unresponsive_since.take().is_some() {
            info!("runner: id={runner} answers=true");
        }
        let first = !worker.fence_accepted;
        self.place_due |= first;
        let vm = String::from(if first { worker.vm() } else { "" });
        worker.observe_clock(now, runner, report.clock_ms);
        worker.alive_at = worker.alive_at.max(Some(sent));
        worker.fence_accepted = poll.fence == worker.fence;
        worker.acknowledged_end =
            if restarted { 0 } else { worker.acknowledged_end.max(acknowledged) };
        self.remove_former_runners(now, runner, &vm);
        if first {
            self.note_incarnation(now, runner);
        }
        self.check_ends(runner, report);
        self.handle_ends(now, runner, report);
        self.handle_running(now, runner, report);
        self.handle_missing(now, runner, sent, report);
        self.adjust_pace(now, runner, report);
        if let Some(worker) = self.workers.get_mut(runner) {
            worker.next_poll = if worker.unstored_reports > 0 {
                now + UNSTORED_PAUSE
            } else {
                now + Duration::from_secs(3_600)
            };
        }
        self.stop_endless_if_draining(now, runner);
    }

    /// Handles the ends in a report that were not processed yet. The runner may discard them once
    /// the ledger has stored what they change.
    fn handle_ends(&mut self, now: Instant, runner: &RunnerId, report: &Report) {
        let Some(worker) = self.workers.get(runner) else { return };
        let (incarnation, processed_end) = (worker.incarnation, worker.processed_end);
        let Some(newest) = report.ended.iter().map(|end| end.number).max() else { return };
        for end in report.ended.iter().filter(|end| end.number > processed_end) {
            self.run_ended(now, runner, end);
        }
        if newest <= processed_end {
            return;
        }
        if let Some(worker) = self.workers.get_mut(runner) {
            worker.processed_end = newest;
            worker.unstored_reports += 1;
        }
        self.effects.push(Effect::DiscardEnds(Rc::clone(runner), incarnation, newest));
    }

    /// Updates the runs that a report lists as running, and stops those that should not run.
    fn handle_running(&mut self, now: Instant, runner: &RunnerId, report: &Report) {
        for row in &report.running {
            let job = self.jobs.get_mut(&row.task.job);
            let needed = job.as_ref().is_some_and(|job| {
                let done = job.task(&row.task).is_some_and(State::is_done);
                job.outcome == Outcome::Open && !done
            });
            let wanted = job.is_some_and(|job| {
                job.started = true;
                let Some(state) = job.task_mut(&row.task) else { return false };
                let run = state.run;
                let Status::Placed(placement) = &mut state.status else { return false };
                if placement.runner != *runner || run != row.run {
                    return false;
                }
                if matches!(placement.phase, Phase::Sent | Phase::Restored | Phase::Unconfirmed) {
                    placement.phase = Phase::Running;
                    placement.since = now;
                }
                placement.percent = row.percent;
                placement.confirmed = true;
                job.store_checkpoint(&row.task, &row.checkpoint);
                true
            });
            self.observe_suspect(now, &row.task);
            if !wanted {
                self.actions.push(Action::Stop(Rc::clone(runner), row.task, row.run));
            } else if !needed {
                self.stop_run(now, &row.task, runner, row.run);
            }
        }
    }

    /// Handles runs that are placed on a runner but missing in the report to a poll sent at `sent`.
    /// A run that was certainly started before the poll is lost. One whose start got no answer is
    /// stopped, as the start may still arrive. An unanswered stop is sent again.
    fn handle_missing(&mut self, now: Instant, runner: &RunnerId, sent: Instant, report: &Report) {
        if report.ended.len() >= MAX_REPORTED_ENDS {
            return;
        }
        let Some(worker) = self.workers.get(runner) else { return };
        let listed: IndexMap<Task, u32> =
            report.running.iter().map(|row| (row.task, row.run)).collect();
        let tasks: Vec<Task> = worker.tasks.keys().copied().collect();
        for task in tasks {
            let state = self.task(&task);
            let Some(state) = state else { continue };
            let Status::Placed(placement) = &state.status else { continue };
            let (run, phase, since) = (state.run, placement.phase, placement.since);
            let inherited = placement.restored;
            let runs = listed.get(&task) == Some(&run);
            match phase {
                Phase::Restored if !runs => {
                    if inherited {
                        self.suspect_missing(now, task, run);
                    }
                    self.lose_run(now, &task);
                }
                Phase::Running | Phase::Stopped if !runs && since < sent => {
                    self.lose_run(now, &task)
                }
                Phase::Unconfirmed if !runs => {
                    self.resolve_unconfirmed(now, &task, runner, report.clock_ms)
                }
                Phase::Stopping if now.saturating_duration_since(since) > STOP_RETRY_DELAY => {
                    self.actions.push(Action::Stop(Rc::clone(runner), task, run));
                }
                _ => {}
            }
        }
    }

    /// Stops endless tasks on a draining runner, so that they start elsewhere at once.
    fn stop_endless_if_draining(&mut self, now: Instant, runner: &RunnerId) {
        let Some(worker) = self.workers.get(runner).filter(|worker| worker.is_draining()) else {
            return;
        };
        let tasks: Vec<Task> = worker.tasks.keys().copied().collect();
        for task in tasks {
            let Some(job) = self.jobs.get(&task.job) else { continue };
            let endless = job.step(&task).is_some_and(|step| step.endless);
            let run = job.task(&task).map_or(0, |state| state.run);
            if endless {
                self.stop_run(now, &task, runner, run);
            }
        }
    }
}
