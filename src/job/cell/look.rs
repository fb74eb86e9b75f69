//! Looks at runners: when they are due, and what their reports change.

use {
    super::{
        Action, Cell, Effect, RunnerId,
        job::{Phase, Status},
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

/// Longest time for which a runner may wait for an end before it answers a look.
pub const LOOK_WAIT: Duration = Duration::from_millis(1_000);
/// The same while calls get no answers.
const LOSSY_WAIT: Duration = Duration::from_millis(300);
/// Time between two looks while the ledger has not stored the ends of the last one.
const UNCOMMITTED_PAUSE: Duration = Duration::from_millis(700);
/// Time between two looks at a runner that does not answer.
const FAILING_PAUSE: Duration = Duration::from_millis(250);
/// Ends that a runner lists at once.
const LISTED_ENDS: usize = 500;
/// Time after which a stop without an answer is sent again.
const STOP_AGAIN: Duration = Duration::from_millis(700);

impl Cell {
    /// Sends the looks that are due.
    pub(super) fn look_at_runners(&mut self, now: Instant) {
        let (fence, renews) = (self.fence, self.may_renew(now));
        let longest = if self.silence.is_lossy(now) { LOSSY_WAIT } else { LOOK_WAIT };
        let silent = self.silent_domains();
        let mut looks = Vec::new();
        for (id, worker) in &mut self.workers {
            if worker.looking.is_some() || worker.entry.is_none() {
                continue;
            }
            let busy = !worker.tasks.is_empty();
            let untold = worker.told < worker.forgettable;
            let fresh = !worker.held && worker.listed;
            let stored = worker.uncommitted == 0;
            let due = worker.next_look <= now || stored && worker.failing.is_none();
            let doubted = worker.is_in(&silent);
            if !(due && (busy || untold || fresh || doubted || worker.failing.is_some())) {
                continue;
            }
            let calm = worker.held && stored && busy && worker.failing.is_none();
            let settled = worker.next_look <= now && worker.failing.is_none();
            let wait = if calm && !settled && !doubted { longest } else { Duration::ZERO };
            let extends = busy && renews && worker.failing.is_none();
            let until_ms = if extends { worker.grant(now) } else { None };
            worker.looking = Some(now);
            worker.next_look = now + Duration::from_secs(3_600);
            let seen = worker.forgettable;
            looks.push(Action::Look(
                Rc::clone(id),
                Poll { fence, until_ms, acknowledged: seen, wait },
            ));
        }
        self.actions.append(&mut looks);
    }

    /// A runner answers a look that was sent with `seen` as its last end to forget.
    pub fn look_answered(
        &mut self,
        now: Instant,
        runner: &RunnerId,
        seen: u64,
        answer: Answer<Report>,
    ) {
        let Some(worker) = self.workers.get_mut(runner) else { return };
        let Some(sent) = worker.looking.take() else { return };
        if !matches!(answer, Answer::Unknown(_)) {
            self.note_look(now, runner, sent);
        }
        match answer {
            Answer::Done(report) => self.report(now, runner, sent, seen, &report),
            Answer::Rejected(Rejection::Fence) => {
                warn!("owner: runner={runner} has a newer fence than {}", self.fence);
                self.deposed = true;
            }
            Answer::Rejected(Rejection::Instance) => self.replaced(now, runner),
            Answer::Rejected(reason) => self.look_failed(now, runner, &format!("{reason:?}")),
            Answer::Unknown(why) => self.look_failed(now, runner, &why),
        }
    }

    fn look_failed(&mut self, now: Instant, runner: &RunnerId, why: &str) {
        let Some(worker) = self.workers.get_mut(runner) else { return };
        if worker.failing.is_none() {
            warn!("runner: id={runner} answers=false tasks={} why={why:?}", worker.tasks.len());
        }
        worker.failing.get_or_insert(now);
        worker.next_look = now + FAILING_PAUSE;
        self.silence.note_lost(now);
    }

    fn report(
        &mut self,
        now: Instant,
        runner: &RunnerId,
        sent: Instant,
        seen: u64,
        report: &Report,
    ) {
        let Some(worker) = self.workers.get_mut(runner) else { return };
        let reborn = report.incarnation.is_some()
            && worker.born.is_some()
            && report.incarnation != worker.born;
        if reborn {
            info!("runner: id={runner} reborn=true");
            self.reborn(now, runner, report.incarnation);
        }
        let Some(worker) = self.workers.get_mut(runner) else { return };
        if worker.failing.take().is_some() {
            info!("runner: id={runner} answers=true");
        }
        self.place_due |= !worker.held;
        worker.born = worker.born.or(report.incarnation);
        worker.clock = Some((now, report.clock_ms));
        worker.held = true;
        worker.told = if reborn { 0 } else { worker.told.max(seen) };
        self.read_ends(now, runner, report);
        self.read_running(now, runner, report);
        self.find_lost(now, runner, sent, report);
        self.steer_pace(now, runner, report);
        if let Some(worker) = self.workers.get_mut(runner) {
            worker.next_look = if worker.uncommitted > 0 {
                now + UNCOMMITTED_PAUSE
            } else {
                now + Duration::from_secs(3_600)
            };
        }
        self.clear_leaving(now, runner);
    }

    fn read_ends(&mut self, now: Instant, runner: &RunnerId, report: &Report) {
        let Some(worker) = self.workers.get(runner) else { return };
        let (born, read) = (worker.born, worker.read);
        let Some(newest) = report.ended.iter().map(|end| end.number).max() else { return };
        for end in report.ended.iter().filter(|end| end.number > read) {
            self.ended(now, runner, end);
        }
        if newest <= read {
            return;
        }
        if let Some(worker) = self.workers.get_mut(runner) {
            worker.read = newest;
            worker.uncommitted += 1;
        }
        self.effects.push(Effect::Seen(Rc::clone(runner), born, newest));
    }

    fn read_running(&mut self, now: Instant, runner: &RunnerId, report: &Report) {
        for row in &report.running {
            let job = self.jobs.get_mut(&row.task.job);
            let open = job.as_ref().is_some_and(|job| job.outcome == Outcome::Open);
            let wanted = job.is_some_and(|job| {
                job.started = true;
                let Some(state) = job.task_mut(&row.task) else { return false };
                let run = state.run;
                let Status::Placed(placement) = &mut state.status else { return false };
                if placement.runner != *runner || run != row.run {
                    return false;
                }
                if matches!(placement.phase, Phase::Sent | Phase::Restored | Phase::Unsure) {
                    placement.phase = Phase::Running;
                    placement.since = now;
                }
                placement.percent = row.percent;
                job.keep_checkpoint(&row.task, &row.checkpoint);
                true
            });
            if !wanted {
                self.actions.push(Action::Stop(Rc::clone(runner), row.task, row.run));
            } else if !open {
                self.stop_run(now, &row.task, runner, row.run);
            }
        }
    }

    /// Tasks that should run here but are not listed.
    fn find_lost(&mut self, now: Instant, runner: &RunnerId, sent: Instant, report: &Report) {
        if report.ended.len() >= LISTED_ENDS {
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
            let runs = listed.get(&task) == Some(&run);
            match phase {
                Phase::Restored if !runs => self.lose(now, &task),
                Phase::Running | Phase::Stopped if !runs && since < sent => self.lose(now, &task),
                Phase::Unsure if !runs => self.stop_run(now, &task, runner, run),
                Phase::Stopping if now.saturating_duration_since(since) > STOP_AGAIN => {
                    self.actions.push(Action::Stop(Rc::clone(runner), task, run));
                }
                _ => {}
            }
        }
    }

    /// Stops endless tasks on a runner that leaves, so that they start elsewhere at once.
    fn clear_leaving(&mut self, now: Instant, runner: &RunnerId) {
        let Some(worker) = self.workers.get(runner).filter(|worker| worker.draining()) else {
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
