//! Life cycle of runs: stops, and the end, failure or loss of a run.
//!
//! A run is one execution of a task on a runner. Each new run of a task has a higher number, by
//! which late answers and reports about earlier runs are recognized. A run is lost if it certainly
//! has ended and its end was not reported; its task then waits for another run.

use {
    super::{
        Action, Cell, Effect, RunnerId,
        job::{Phase, Status},
        start::placement_in,
    },
    crate::job::{
        ledger::Outcome,
        runner::{Answer, End, Exit, Rejection},
        spec::{self, Task},
    },
    log::{info, warn},
    std::{
        rc::Rc,
        time::{Duration, Instant},
    },
};

/// Number of failed runs on a runner, with none done in between, after which it is quarantined.
const MAX_FAILURES: u32 = 3;
/// Quarantine of a runner after that many failures.
const FAILURE_QUARANTINE: Duration = Duration::from_secs(4);

impl Cell {
    /// Stops a run, unless a stop has been sent already. A run whose start was not sent yet only
    /// goes back to waiting.
    pub(super) fn stop_run(&mut self, now: Instant, task: &Task, runner: &RunnerId, run: u32) {
        let state = self.task_mut(task);
        let Some(state) = state else { return };
        let Status::Placed(placement) = &mut state.status else { return };
        if state.run != run || placement.runner != *runner {
            return;
        }
        match placement.phase {
            Phase::Planned => self.cancel_start(now, task, "it is no longer needed"),
            Phase::Stopping | Phase::Stopped => {}
            _ => {
                placement.phase = Phase::Stopping;
                placement.since = now;
                self.actions.push(Action::Stop(Rc::clone(runner), *task, run));
            }
        }
    }

    /// Handles a runner's answer to a stop.
    pub fn stop_answered(
        &mut self,
        now: Instant,
        runner: &RunnerId,
        task: Task,
        run: u32,
        answer: Answer<u64>,
    ) {
        match answer {
            Answer::Done(_) | Answer::Rejected(Rejection::Old) => {}
            Answer::Rejected(Rejection::Fence) => return self.fence_rejected(now, runner),
            Answer::Rejected(Rejection::Instance) => return self.runner_replaced(now, runner),
            Answer::Rejected(_) => return,
            Answer::Unknown(_) => {
                if let Some(worker) = self.workers.get_mut(runner) {
                    worker.last_call_lost = Some(now);
                }
                return;
            }
        }
        let Some(state) = self.task_mut(&task) else {
            return;
        };
        if let Some(placement) = placement_in(state, run, runner, Phase::Stopping) {
            placement.phase = Phase::Stopped;
            placement.since = now;
            if let Some(worker) = self.workers.get_mut(runner) {
                worker.next_poll = now;
            }
        }
    }

    /// Handles an answer by another incarnation at a runner's address: the runner has ended.
    pub(super) fn runner_replaced(&mut self, now: Instant, runner: &RunnerId) {
        self.runner_crashed(now, runner);
        self.lose_runs(now, runner, "another incarnation answers at its address");
        let newest_fence = self.newest_fence;
        if let Some(worker) = self.workers.get_mut(runner) {
            worker.mark_ended(now, newest_fence);
        }
    }

    /// Handles the end of a run that a runner has reported.
    pub(super) fn run_ended(&mut self, now: Instant, runner: &RunnerId, end: &End) {
        let Some(job) = self.jobs.get_mut(&end.task.job) else { return };
        let Some(step) = job.step(&end.task) else { return };
        let endless = step.endless;
        job.started = true;
        let Some(state) = job.task_mut(&end.task) else { return };
        let is_last = matches!(&state.status, Status::Placed(p) if p.runner == *runner)
            && state.run == end.run;
        if !is_last {
            if end.exit == Exit::Done && !endless && end.run <= state.run {
                self.lost_run_done(now, end.task);
            }
            return;
        }
        if state.succeeded {
            return self.lose_run(now, &end.task);
        }
        if end.exit != Exit::Done || endless {
            info!("end: task={} run={} runner={runner} how={:?}", end.task, end.run, end.exit);
        }
        let took = match &state.status {
            Status::Placed(placement) => now.saturating_duration_since(placement.since),
            _ => Duration::ZERO,
        };
        state.status = Status::Waiting;
        if end.exit == Exit::Failed {
            state.failed_on = Some(Rc::clone(runner));
            job.count_failure(&end.task, end.run);
        }
        job.store_checkpoint(&end.task, &end.checkpoint);
        self.release_room(now, runner, &end.task);
        if end.exit == Exit::Done && !endless {
            self.learn_run_time(end.task, took);
        }
        self.update_quarantine(now, runner, end.exit);
        self.mark_dirty(end.task.job);
        match end.exit {
            Exit::Done if !endless => {
                self.task_done(now, end.task);
                self.finish_gang(now, &end.task, end.run);
            }
            Exit::Failed if !endless => {
                self.stop_gang(now, &end.task);
                self.run_failed(now, end.task);
            }
            _ => {
                self.stop_gang(now, &end.task);
                self.requeue(end.task.job);
            }
        }
    }

    /// Updates the learned run time of a queue's tasks by a run that is done.
    fn learn_run_time(&mut self, task: Task, took: Duration) {
        let Some(job) = self.jobs.get(&task.job) else { return };
        let Some(step) = job.step(&task) else { return };
        self.load.record_run(&job.queue, took, step.estimate);
    }

    /// Counts consecutive failures on a runner, and quarantines it after [`MAX_FAILURES`] of them.
    /// Once the quarantine has ended, a single further failure starts a new one.
    fn update_quarantine(&mut self, now: Instant, runner: &RunnerId, exit: Exit) {
        let Some(worker) = self.workers.get_mut(runner) else { return };
        match exit {
            Exit::Done => worker.consecutive_failures = 0,
            Exit::Failed => worker.consecutive_failures += 1,
            Exit::Stopped => {}
        }
        if worker.consecutive_failures >= MAX_FAILURES {
            warn!("runner: id={runner} shunned=true failures={}", worker.consecutive_failures);
            worker.quarantined_until = Some(now + FAILURE_QUARANTINE);
            worker.consecutive_failures = MAX_FAILURES - 1;
        }
    }

    /// Marks a task as done whose run has succeeded and is no longer placed.
    pub(super) fn task_done(&mut self, now: Instant, task: Task) {
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        if let Some(state) = job.task_mut(&task) {
            state.succeeded = true;
            state.end_placement();
            state.checkpoint = String::new();
        }
        self.count_done(now, task);
    }

    /// Counts a task whose run has succeeded, and marks its job as complete if it was the last one.
    fn count_done(&mut self, now: Instant, task: Task) {
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        if job.count_done(&task) {
            let ms = now.saturating_duration_since(job.accepted_at).as_millis();
            let Task { job, occurrence, step, .. } = task;
            info!("step: job={job:016x} occurrence={occurrence} step={step} done=true ms={ms}");
        }
        let finished = job.is_finished() && job.outcome == Outcome::Open;
        self.forget_suspect(task.job);
        if finished {
            self.finish_job(now, task.job, Outcome::Complete);
        }
        self.place_due = true;
    }

    /// Handles the success of a run that was taken for lost: its task is done, or all members of its
    /// gang are.
    pub(super) fn lost_run_done(&mut self, now: Instant, task: Task) {
        if !self.is_gang(&task) {
            return self.lost_task_done(now, task);
        }
        let members =
            self.jobs.get(&task.job).and_then(|job| job.siblings(&task)).map_or(0, Vec::len);
        for index in 0..members as u16 {
            self.lost_task_done(now, Task { index, ..task });
        }
    }

    /// Marks a task as done whose run was taken for lost. If a later run of it is placed, that run is
    /// stopped, and keeps its room until it has ended.
    fn lost_task_done(&mut self, now: Instant, task: Task) {
        let Some(state) = self.task_mut(&task).filter(|state| !state.is_done()) else { return };
        let run = state.run;
        info!("end: task={task} lost_run_done=true last_run={run}");
        state.succeeded = true;
        match state.status.clone() {
            Status::Placed(placement) => self.stop_run(now, &task, &placement.runner, run),
            Status::Waiting | Status::Done => state.end_placement(),
        }
        self.mark_dirty(task.job);
        self.count_done(now, task);
    }

    /// Retries a task after a failed run, or fails its job if all attempts of its queue are used up. A
    /// job whose queue is not known is not failed.
    fn run_failed(&mut self, now: Instant, task: Task) {
        let Some(job) = self.jobs.get(&task.job) else { return };
        let failures = job.failures(&task);
        let used_up = self.terms(&job.queue).is_some_and(|queue| failures >= queue.attempts);
        if !used_up || job.outcome != Outcome::Open {
            return self.requeue(task.job);
        }
        info!("fail: job={:016x} task={task} failures={failures}", task.job);
        self.fail_job(now, task.job);
    }

    /// Ends a job with an outcome.
    pub(super) fn finish_job(&mut self, now: Instant, id: spec::Id, outcome: Outcome) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.outcome = outcome;
        let (ms, due_ms) = (
            now.saturating_duration_since(job.accepted_at).as_millis(),
            job.due().saturating_duration_since(job.accepted_at).as_millis(),
        );
        info!("job: job={id:016x} outcome={outcome:?} ms={ms} due_ms={due_ms}");
        if let Some(name) = job.organisation.as_ref().filter(|_| outcome == Outcome::Complete) {
            self.accounts.count_completion(name, ms <= due_ms);
        }
        self.waiting.swap_remove(&id);
        self.suspects.swap_remove(&id);
        self.forget_advice(id);
        self.undo_placements(now, id);
        self.mark_dirty(id);
        self.effects.push(Effect::PublishOutcome(id));
    }

    /// Lets placement consider a job again, unless it has ended.
    fn requeue(&mut self, id: spec::Id) {
        if self.jobs.get(&id).is_some_and(|job| job.outcome == Outcome::Open) {
            self.waiting.insert(id);
        }
        self.place_due = true;
    }

    /// Cancels the placed run of a task, which certainly has not started: the task waits again.
    pub(super) fn cancel_start(&mut self, now: Instant, task: &Task, why: &str) {
        let Some(state) = self.task(task) else { return };
        let Status::Placed(placement) = &state.status else { return };
        info!(
            "start: task={task} run={} runner={} taken_back={why:?}",
            state.run, placement.runner
        );
        self.lose_run(now, task);
    }

    /// Marks all runs on a runner as lost, since it has ended.
    pub(super) fn lose_runs(&mut self, now: Instant, runner: &str, why: &str) {
        let Some(worker) = self.workers.get(runner) else { return };
        let tasks: Vec<Task> = worker.tasks.keys().copied().collect();
        self.lose_tasks(now, runner, &tasks, why);
    }

    /// Marks the runs of these tasks on a runner as lost.
    pub(super) fn lose_tasks(&mut self, now: Instant, runner: &str, tasks: &[Task], why: &str) {
        let Some(worker) = self.workers.get(runner).filter(|_| !tasks.is_empty()) else { return };
        warn!(
            "runner: id={runner} lost={} why={why:?} lapse_ms_ago={}",
            tasks.len(),
            now.saturating_duration_since(worker.lease.expiry()).as_millis()
        );
        for task in tasks {
            self.lose_run(now, task);
        }
    }

    /// Marks a run as lost: its task waits again.
    pub(super) fn lose_run(&mut self, now: Instant, task: &Task) {
        let Some(state) = self.task_mut(task) else {
            return;
        };
        let Status::Placed(placement) = &state.status else { return };
        let runner = Rc::clone(&placement.runner);
        state.end_placement();
        let done = state.succeeded;
        self.release_room(now, &runner, task);
        self.mark_dirty(task.job);
        if done {
            self.place_due = true;
            return;
        }
        self.requeue(task.job);
        self.stop_gang(now, task);
    }

    /// Removes ended jobs once their state no longer has to be readable. They are kept for a
    /// quarter longer than the bound demands.
    pub(super) fn remove_ended_jobs(&mut self, now: Instant) {
        while let Some((at, id)) = self.ended_jobs.front().copied() {
            if now.saturating_duration_since(at) <= self.bounds.status.mul_f64(1.25) {
                return;
            }
            self.ended_jobs.pop_front();
            self.jobs.swap_remove(&id);
            self.sizes.remove(id);
            self.removed_jobs.push(id);
            self.effects.push(Effect::PublishOutcome(id));
        }
    }
}
