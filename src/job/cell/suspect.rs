//! Tasks that are suspected of crashing runners: what a crash adds to their histories, and when a job
//! is given up for them.
//!
//! Histories are stored with the progress of the job, so the next start of a task follows the record of
//! the crash before it. The load that this answers is a job that takes runner after runner down, together
//! with all the work that starts beside it.

use {
    super::{
        Cell, Effect, Worker,
        crash::{Loss, UNKNOWN_AGE_MS},
        job::{Job, State, Status},
    },
    crate::job::{
        ledger::Outcome,
        spec::{self, Task},
        suspicion::History,
    },
    indexmap::IndexMap,
    log::info,
    std::{
        rc::Rc,
        time::{Duration, Instant},
    },
};

/// Longest time for which a suspect waits for the proof that its last runner has ended. A restarted
/// runner registers soon after the lease of the former one has expired.
const PROOF_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time after which placement is tried again for suspects.
pub(super) const SUSPECTS_RETRY_DELAY: Duration = Duration::from_millis(250);
/// Part of a service's runners that are emptied for suspects while other work waits, as a divisor.
const ISOLATION_DIVISOR: usize = 3;

impl State {
    /// Whether the task waits until the cause of its last crash is known.
    fn awaits_proof(&self, now: Instant) -> bool {
        let recent = |at| now.saturating_duration_since(at) < PROOF_TIMEOUT;
        self.history.needs_proof() && self.unproven_since.is_some_and(recent)
    }
}

impl Cell {
    /// Whether a task must run where nothing else is new. All members of a gang start together, so one
    /// that must is enough.
    pub(super) fn is_suspect(&self, task: &Task) -> bool {
        if !self.suspects.contains(&task.job) {
            return false;
        }
        let Some(job) = self.jobs.get(&task.job) else { return false };
        let is_suspect = |state: &State| state.history.is_suspect();
        if self.is_gang(task) {
            return job.siblings(task).into_iter().flatten().any(is_suspect);
        }
        job.task(task).is_some_and(is_suspect)
    }

    /// Holds a loss against its task until it is known whether the runner has ended.
    pub(super) fn suspect(&mut self, now: Instant, loss: &Loss) {
        let is_open = self.jobs.get(&loss.task.job).is_some_and(|job| job.outcome == Outcome::Open);
        let state = self.task_mut(&loss.task);
        let Some(state) = state.filter(|state| is_open && !state.is_done()) else { return };
        state.history.add(loss.run, loss.age_ms);
        state.unproven_since = Some(now);
        self.suspects.insert(loss.task.job);
        self.mark_dirty(loss.task.job);
        self.give_up_culprit(now, &loss.task);
    }

    /// Holds it against a task that its run, which an earlier owner placed, is missing on its runner: the
    /// runner may have restarted under its name meanwhile.
    pub(super) fn suspect_missing(&mut self, now: Instant, task: Task, run: u32) {
        self.suspect(now, &Loss { task, run, age_ms: UNKNOWN_AGE_MS, alone: false });
    }

    /// Takes note that the runner of a loss has certainly ended.
    pub(super) fn confirm_suspicion(&mut self, now: Instant, loss: &Loss) {
        let Some(state) = self.task_mut(&loss.task).filter(|state| !state.is_done()) else {
            return;
        };
        state.unproven_since = None;
        if loss.alone {
            state.history.confirm_alone(loss.run);
        }
        self.place_due = true;
        self.mark_dirty(loss.task.job);
        self.give_up_culprit(now, &loss.task);
    }

    /// Takes back what a loss has added to its task's history: the runner has not ended.
    pub(super) fn withdraw_suspicion(&mut self, loss: &Loss) {
        let Some(state) = self.task_mut(&loss.task).filter(|state| !state.is_done()) else {
            return;
        };
        state.unproven_since = None;
        state.history.withdraw(loss.run);
        self.place_due = true;
        self.review_suspect(&loss.task);
    }

    /// Takes note that a placed run of a suspect is at work, and ends its isolation if that clears it.
    pub(super) fn observe_suspect(&mut self, now: Instant, task: &Task) {
        if !self.suspects.contains(&task.job) {
            return;
        }
        let endless = self.step(task).is_some_and(|step| step.endless);
        let Some(state) = self.task_mut(task).filter(|state| !state.history.is_empty()) else {
            return;
        };
        let Status::Placed(placement) = &state.status else { return };
        let age_ms = placement.time_at_work(now).as_millis() as u32;
        if placement.is_inherited(endless) {
            state.history = History::default();
        } else if !state.history.observe(age_ms) {
            return;
        }
        self.review_suspect(task);
    }

    /// Ends the isolation of a task against which less is held than before, if it is no suspect now.
    fn review_suspect(&mut self, task: &Task) {
        self.mark_dirty(task.job);
        let Some(state) = self.task(task).filter(|state| !state.history.is_suspect()) else {
            return;
        };
        if let Status::Placed(placement) = &state.status {
            let runner = Rc::clone(&placement.runner);
            if let Some(worker) = self.workers.get_mut(&runner) {
                worker.end_isolation(task);
            }
        }
        self.forget_suspect(task.job);
    }

    /// Drops a job from the suspects once no crash is held against any of its tasks.
    pub(super) fn forget_suspect(&mut self, id: spec::Id) {
        let held = |job: &Job| {
            let mut tasks = job.tasks(id);
            tasks.any(|(_, state)| !state.is_done() && !state.history.is_empty())
        };
        if self.suspects.contains(&id) && !self.jobs.get(&id).is_some_and(held) {
            self.suspects.swap_remove(&id);
        }
    }

    /// Whether a task of a job must run where nothing else is new.
    pub(super) fn has_suspect(&self, id: spec::Id) -> bool {
        if !self.suspects.contains(&id) {
            return false;
        }
        let Some(job) = self.jobs.get(&id) else { return false };
        job.tasks(id).any(|(_, state)| !state.is_done() && state.history.is_suspect())
    }

    /// Fails the job of a task that is the cause of crashes.
    fn give_up_culprit(&mut self, now: Instant, task: &Task) {
        let spontaneous = self.has_spontaneous_crashes(now);
        let Some(job) = self.jobs.get(&task.job).filter(|job| job.outcome == Outcome::Open) else {
            return;
        };
        let Some(state) = job.task(task).filter(|state| state.history.is_culprit(spontaneous))
        else {
            return;
        };
        let crashes = &state.history.crashes;
        let alone = crashes.iter().filter(|crash| crash.alone).count();
        info!("fail: job={:016x} task={task} crashes={} alone={alone}", task.job, crashes.len());
        self.fail_job(now, task.job);
    }

    /// Ends a job as failed, and stops its runs once the ledger has stored that.
    pub(super) fn fail_job(&mut self, now: Instant, id: spec::Id) {
        self.finish_job(now, id, Outcome::Failed);
        self.effects.push(Effect::StopAll(id));
    }

    /// Drops the tasks of a step that wait for the proof of their last crash from `waiting`; returns
    /// whether there were any.
    pub(super) fn hold_unproven(&mut self, now: Instant, waiting: &mut Vec<Task>) -> bool {
        let Some(first) = waiting.first().filter(|task| self.suspects.contains(&task.job)) else {
            return false;
        };
        let Some(job) = self.jobs.get(&first.job) else { return false };
        let before = waiting.len();
        waiting.retain(|task| !job.task(task).is_some_and(|state| state.awaits_proof(now)));
        let held = waiting.len() < before;
        if held {
            self.retry_placement(now + SUSPECTS_RETRY_DELAY);
        }
        held
    }

    /// Number of suspects in each service for which a runner may be emptied now.
    pub(super) fn isolation_quotas(&self) -> IndexMap<Rc<str>, usize> {
        let mut quotas = IndexMap::new();
        for id in &self.suspects {
            let Some(job) = self.jobs.get(id) else { continue };
            if quotas.contains_key(&job.service) {
                continue;
            }
            let of_service = |worker: &&Worker| worker.service() == &*job.service;
            let runners = self.workers.values().filter(of_service);
            let isolated = runners.clone().filter(|worker| worker.isolated_for.is_some()).count();
            let quota = (runners.count() / ISOLATION_DIVISOR).max(1).saturating_sub(isolated);
            quotas.insert(Rc::clone(&job.service), quota);
        }
        quotas
    }

    /// Whether isolation, of the task itself or of one there, allows the task on a runner.
    pub(super) fn isolation_allows(&self, now: Instant, worker: &Worker, task: &Task) -> bool {
        if worker.is_isolated_from(task) {
            return false;
        }
        !self.is_suspect(task) || self.new_tasks_of_others(now, worker, task.job) == 0
    }

    /// Number of tasks of other jobs on a runner that are not established there.
    pub(super) fn new_tasks_of_others(
        &self,
        now: Instant,
        worker: &Worker,
        job: spec::Id,
    ) -> usize {
        let of_others = worker.tasks.keys().filter(|task| task.job != job);
        of_others.filter(|task| !self.is_established(now, task)).count()
    }
}
