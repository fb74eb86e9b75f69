//! Answers of runners to starts and stops, and what becomes of the runs.

use {
    super::{
        Action, Cell, Effect, RunnerId,
        job::{Phase, Status},
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

/// Time for which nothing is started on a runner that has no room or is unhealthy.
const SHUN: Duration = Duration::from_millis(1_000);
/// Runs that must fail in a row on a runner, without one done, before it is shunned.
const STRIKES: u32 = 3;
/// Time for which a runner is shunned that fails what it starts.
const SHUN_FAILING: Duration = Duration::from_secs(4);

impl Cell {
    /// A runner answers a start.
    pub fn start_answered(
        &mut self,
        now: Instant,
        runner: &RunnerId,
        task: Task,
        run: u32,
        answer: Answer<u64>,
    ) {
        self.stop_awaiting(runner, !matches!(answer, Answer::Unknown(_)));
        let Answer::Done(clock_ms) = answer else {
            return self.start_failed(now, runner, task, run, answer);
        };
        if let Some(worker) = self.workers.get_mut(runner) {
            worker.clock = Some((now, clock_ms));
            worker.failing = None;
        }
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        job.started = true;
        let Some(state) = job.task_mut(&task) else { return };
        if let Some(placement) = placed(state, run, runner, Phase::Sent) {
            placement.phase = Phase::Running;
            placement.since = now;
        }
    }

    fn start_failed(
        &mut self,
        now: Instant,
        runner: &RunnerId,
        task: Task,
        run: u32,
        answer: Answer<u64>,
    ) {
        let reason = match answer {
            Answer::Rejected(reason) => reason,
            Answer::Unknown(why) => return self.start_unsure(now, runner, task, run, &why),
            Answer::Done(_) => return,
        };
        warn!("start: task={task} run={run} runner={runner} rejected={reason:?}");
        match reason {
            Rejection::Fence => self.deposed = true,
            Rejection::Instance => self.replaced(now, runner),
            Rejection::Ticket => self.drop_ticket(&task, runner),
            Rejection::Room | Rejection::Unhealthy | Rejection::Malformed => {
                if let Some(worker) = self.workers.get_mut(runner) {
                    worker.shunned = Some(now + SHUN);
                }
            }
            Rejection::Late | Rejection::Old => {}
        }
        let job = self.jobs.get_mut(&task.job);
        let state = job.and_then(|job| job.task_mut(&task));
        if state.is_some_and(|state| placed(state, run, runner, Phase::Sent).is_some()) {
            self.unstart(now, &task, "its start was rejected");
        }
    }

    fn start_unsure(&mut self, now: Instant, runner: &RunnerId, task: Task, run: u32, why: &str) {
        warn!("start: task={task} run={run} runner={runner} answer=none why={why:?}");
        self.silence.note_lost(now);
        if let Some(worker) = self.workers.get_mut(runner) {
            worker.failing.get_or_insert(now);
            worker.next_look = now;
        }
        let Some(state) = self.task_mut(&task) else {
            return;
        };
        if let Some(placement) = placed(state, run, runner, Phase::Sent) {
            placement.phase = Phase::Unsure;
            placement.since = now;
        }
    }

    /// Sends a stop, unless one is on its way.
    pub(super) fn stop_run(&mut self, now: Instant, task: &Task, runner: &RunnerId, run: u32) {
        let state = self.task_mut(task);
        let Some(state) = state else { return };
        let Status::Placed(placement) = &mut state.status else { return };
        if state.run != run || placement.runner != *runner {
            return;
        }
        match placement.phase {
            Phase::Planned => self.unstart(now, task, "it is not needed any more"),
            Phase::Stopping | Phase::Stopped => {}
            _ => {
                placement.phase = Phase::Stopping;
                placement.since = now;
                self.actions.push(Action::Stop(Rc::clone(runner), *task, run));
            }
        }
    }

    /// A runner answers a stop.
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
            Answer::Rejected(Rejection::Fence) => self.deposed = true,
            Answer::Rejected(Rejection::Instance) => return self.replaced(now, runner),
            Answer::Rejected(_) | Answer::Unknown(_) => return,
        }
        let Some(state) = self.task_mut(&task) else {
            return;
        };
        if let Some(placement) = placed(state, run, runner, Phase::Stopping) {
            placement.phase = Phase::Stopped;
            placement.since = now;
            if let Some(worker) = self.workers.get_mut(runner) {
                worker.next_look = now;
            }
        }
    }

    /// Another runner answers at a runner's address: that one has ended.
    pub(super) fn replaced(&mut self, now: Instant, runner: &RunnerId) {
        self.lose_all(now, runner, "another one answers at its address");
        if let Some(worker) = self.workers.get_mut(runner) {
            worker.retire(now);
        }
    }

    /// A run has ended.
    pub(super) fn ended(&mut self, now: Instant, runner: &RunnerId, end: &End) {
        let Some(job) = self.jobs.get_mut(&end.task.job) else { return };
        let Some(step) = job.step(&end.task) else { return };
        let endless = step.endless;
        job.started = true;
        let Some(state) = job.task_mut(&end.task) else { return };
        let is_last = matches!(&state.status, Status::Placed(p) if p.runner == *runner)
            && state.run == end.run;
        if !is_last {
            if end.exit == Exit::Done && !endless && end.run <= state.run {
                self.done_before(now, &end.task);
            }
            return;
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
        job.keep_checkpoint(&end.task, &end.checkpoint);
        self.release(now, runner, &end.task);
        if end.exit == Exit::Done && !endless {
            self.learn(end.task, took);
        }
        self.judge(now, runner, end.exit);
        self.mark(end.task.job);
        match end.exit {
            Exit::Done if !endless => {
                self.done(now, end.task);
                self.finish_gang(now, &end.task, end.run);
            }
            Exit::Failed if !endless => {
                self.break_gang(now, &end.task);
                self.failed(now, end.task);
            }
            _ => {
                self.break_gang(now, &end.task);
                self.wait(end.task.job);
            }
        }
    }

    /// Learns from a run that was done how long those of its queue take.
    fn learn(&mut self, task: Task, took: Duration) {
        let Some(job) = self.jobs.get(&task.job) else { return };
        let Some(step) = job.step(&task) else { return };
        self.load.ran(&job.queue, took, step.estimate);
    }

    /// Counts failures on a runner; one that fails several runs in a row gets none for a while.
    fn judge(&mut self, now: Instant, runner: &RunnerId, how: Exit) {
        let Some(worker) = self.workers.get_mut(runner) else { return };
        match how {
            Exit::Done => worker.strikes = 0,
            Exit::Failed => worker.strikes += 1,
            Exit::Stopped => {}
        }
        if worker.strikes >= STRIKES {
            warn!("runner: id={runner} shunned=true failures={}", worker.strikes);
            worker.shunned = Some(now + SHUN_FAILING);
            worker.strikes = STRIKES - 1;
        }
    }

    pub(super) fn done(&mut self, now: Instant, task: Task) {
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        if let Some(state) = job.task_mut(&task) {
            state.status = Status::Done;
            state.checkpoint = String::new();
        }
        if job.count_done(&task) {
            let ms = now.saturating_duration_since(job.since).as_millis();
            let Task { job, occurrence, step, .. } = task;
            info!("step: job={job:016x} occurrence={occurrence} step={step} done=true ms={ms}");
        }
        if job.finished() && job.outcome == Outcome::Open {
            self.finish(now, task.job, Outcome::Complete);
        }
        self.place_due = true;
    }

    /// A run thought lost has ended well: a later one isn't needed.
    fn done_before(&mut self, now: Instant, task: &Task) {
        let Some(state) = self.task_mut(task) else {
            return;
        };
        let run = state.run;
        match state.status.clone() {
            Status::Done => return,
            Status::Waiting => {}
            Status::Placed(placement) => {
                self.stop_run(now, task, &placement.runner, run);
                return;
            }
        }
        self.mark(task.job);
        self.done(now, *task);
    }

    fn failed(&mut self, now: Instant, task: Task) {
        let Some(job) = self.jobs.get(&task.job) else { return };
        let attempts = self.manifest.queue(&job.queue).map_or(1, |queue| queue.attempts);
        let failures = job.failures(&task);
        if failures < attempts || job.outcome != Outcome::Open {
            return self.wait(task.job);
        }
        info!("fail: job={:016x} task={task} failures={failures}", task.job);
        self.finish(now, task.job, Outcome::Failed);
        self.effects.push(Effect::StopAll(task.job));
    }

    fn finish(&mut self, now: Instant, id: spec::Id, outcome: Outcome) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.outcome = outcome;
        let (ms, due_ms) = (
            now.saturating_duration_since(job.since).as_millis(),
            job.due().saturating_duration_since(job.since).as_millis(),
        );
        info!("job: job={id:016x} outcome={outcome:?} ms={ms} due_ms={due_ms}");
        self.waiting.swap_remove(&id);
        self.forget_advice(id);
        self.unplan(now, id);
        self.mark(id);
        self.effects.push(Effect::Show(id));
    }

    fn wait(&mut self, id: spec::Id) {
        if self.jobs.get(&id).is_some_and(|job| job.outcome == Outcome::Open) {
            self.waiting.insert(id);
        }
        self.place_due = true;
    }

    /// Takes back a run that has surely not started.
    pub(super) fn unstart(&mut self, now: Instant, task: &Task, why: &str) {
        let Some(state) = self.task(task) else { return };
        let Status::Placed(placement) = &state.status else { return };
        info!(
            "start: task={task} run={} runner={} taken_back={why:?}",
            state.run, placement.runner
        );
        self.lose(now, task);
    }

    /// Ends every run on a runner, as it has ended or its lease has lapsed.
    pub(super) fn lose_all(&mut self, now: Instant, runner: &str, why: &str) {
        let Some(worker) = self.workers.get(runner) else { return };
        let tasks: Vec<Task> = worker.tasks.keys().copied().collect();
        if !tasks.is_empty() {
            warn!(
                "runner: id={runner} lost={} why={why:?} lapse_ms_ago={}",
                tasks.len(),
                now.saturating_duration_since(worker.lapse).as_millis()
            );
        }
        for task in tasks {
            self.lose(now, &task);
        }
    }

    /// A run has ended without a word: its task waits again.
    pub(super) fn lose(&mut self, now: Instant, task: &Task) {
        let Some(state) = self.task_mut(task) else {
            return;
        };
        let Status::Placed(placement) = &state.status else { return };
        let runner = Rc::clone(&placement.runner);
        state.status = Status::Waiting;
        self.release(now, &runner, task);
        self.mark(task.job);
        self.wait(task.job);
        self.break_gang(now, task);
    }

    /// Gives back the room of a task on a runner.
    pub(super) fn release(&mut self, now: Instant, runner: &str, task: &Task) {
        if let Some(worker) = self.workers.get_mut(runner) {
            worker.remove(now, task);
        }
    }

    /// Removes jobs whose state need not be readable any more.
    pub(super) fn forget_ended(&mut self, now: Instant) {
        while let Some((at, id)) = self.ended.front().copied() {
            if now.saturating_duration_since(at) <= self.bounds.status.mul_f64(1.25) {
                return;
            }
            self.ended.pop_front();
            self.jobs.swap_remove(&id);
            self.removed.push(id);
            self.effects.push(Effect::Show(id));
        }
    }
}

fn placed<'a>(
    state: &'a mut super::job::State,
    run: u32,
    runner: &RunnerId,
    phase: Phase,
) -> Option<&'a mut super::Placement> {
    let Status::Placed(placement) = &mut state.status else { return None };
    let same = state.run == run && placement.runner == *runner && placement.phase == phase;
    same.then_some(placement)
}
