//! Feedback from usage reports and ended attempts: resource estimates, and faulty workers and jobs.

use {
    super::{
        Action, Event, LEASE, NONE, Phase, Scheduler, Verb,
        index::Key,
        task::SUCCESS_AFTER,
        workers::{Level, Status},
    },
    crate::{diagnose::Verdict, job::Size, learn::MARGIN_PERCENT, platform::Usage},
    std::time::Instant,
};

/// Processor use, in percent of the limit, from which a task is assumed to need more.
const AT_LIMIT_PERCENT: u64 = 95;
/// Operation number of a stop for a task that this scheduler doesn't know.
const UNKNOWN_TASK_SERIAL: u32 = u32::MAX;

/// Job and attempt in the platform's name of a task; see [`Action::task`].
fn parse(task: &str) -> Option<(&str, u32)> {
    let (job, attempt) = task.rsplit_once('.')?;
    Some((job, attempt.parse().ok()?))
}

impl Scheduler {
    /// Handles the platform's usage reports, which lag.
    pub fn usage(&mut self, now: Instant, reports: &[Usage]) -> Vec<Action> {
        let mut actions = Vec::new();
        for report in reports {
            let Some((job, attempt)) = parse(&report.task) else { continue };
            if let Some(slot) = self.slot(job, attempt) {
                self.record_usage(now, slot, report);
            }
            if let Some(how) = report.ended {
                actions.extend(self.ended(now, job, attempt, how));
            }
        }
        actions.extend(self.place_waiting(now));
        actions
    }

    /// Returns stops for the running tasks that this scheduler doesn't know. A new controller must
    /// adopt the tasks that it knows from the log before it calls this.
    pub fn stop_unknown(&self, reports: &[Usage]) -> Vec<Action> {
        let running = reports.iter().filter(|report| report.ended.is_none());
        let stops = running.filter_map(|report| {
            let (job, attempt) = parse(&report.task)?;
            self.slot(job, attempt).is_none().then(|| Action {
                job: job.to_owned(),
                attempt,
                serial: UNKNOWN_TASK_SERIAL,
                verb: Verb::Stop,
                read: false,
                worker: report.worker.clone(),
                millicores: 0,
                lease: LEASE,
            })
        });
        stops.collect()
    }

    /// Records a usage report of an attempt. A task at its processor limit is assumed to need half
    /// as much again, and the processor use of a throttled task says nothing of its need.
    fn record_usage(&mut self, now: Instant, slot: u32, report: &Usage) {
        let Some(task) = self.tasks[slot as usize].as_ref() else { return };
        let Some(kind) = self.kinds.get_index(task.kind as usize) else { return };
        if task.worker == NONE {
            return;
        }
        if let Some(key) = self.workers.key(&report.worker).filter(|key| *key != task.worker) {
            self.move_to(slot, key);
            return self.preempt_excess(now, key);
        }
        let limit = u64::from(task.held.millicores);
        let wants_more = report.millicores * 100 >= limit * AT_LIMIT_PERCENT;
        let millicores = if wants_more { report.millicores * 3 / 2 } else { report.millicores };
        let used = Size {
            millicores: if task.throttled { 0 } else { millicores as u32 },
            accelerators: 0,
            memory_bytes: report.memory_bytes,
        };
        self.estimator.record_usage(now, kind, &(task.job.clone(), task.attempt), &used);
        let estimate = self.estimator.size(kind, &task.declared);
        let floor = used.memory_bytes + used.memory_bytes * MARGIN_PERCENT / 100;
        self.resize_memory(now, slot, estimate.memory_bytes.max(floor));
        if self.tasks[slot as usize]
            .as_ref()
            .is_some_and(|task| task.started.is_some_and(|started| now >= started + SUCCESS_AFTER))
        {
            self.record_success(now, slot);
        }
    }

    /// Moves an attempt to the worker that reports it. A previous controller may have started the
    /// attempt there; the start sent by this one then had no effect, because both carry the same
    /// operation ID.
    fn move_to(&mut self, slot: u32, to: Key) {
        let Some(task) = self.tasks[slot as usize].as_mut() else { return };
        let from = std::mem::replace(&mut task.worker, to);
        let (kind, held, preemption) = (task.kind, task.held, task.preemption);
        self.workers.release(from, kind, &held, preemption);
        self.workers.detach(from, slot);
        self.workers.allocate(to, kind, &held, preemption);
        self.workers.attach(to, slot);
        self.changed_pools.insert(self.workers.location(from).pool);
    }

    /// Adjusts the memory that a running task holds, and preempts other tasks if it no longer fits
    /// on the worker.
    fn resize_memory(&mut self, now: Instant, slot: u32, memory_bytes: u64) {
        let Some(task) = self.task_mut(slot) else { return };
        let (worker, preemption, from) = (task.worker, task.preemption, task.held);
        let to = Size { memory_bytes, ..from };
        if from.memory_bytes.abs_diff(memory_bytes) * 100 <= from.memory_bytes * MARGIN_PERCENT {
            return;
        }
        task.held = to;
        self.workers.resize(worker, &from, &to, preemption);
        if to.memory_bytes < from.memory_bytes {
            self.changed_pools.insert(self.workers.location(worker).pool);
        }
        self.preempt_excess(now, worker);
    }

    /// Preempts tasks of a worker whose tasks hold more than it has.
    fn preempt_excess(&mut self, now: Instant, worker: Key) {
        let Some(victims) = self.victims(worker, &Size::default(), Level::Preemptible) else {
            return;
        };
        for victim in victims {
            self.preempt(now, victim, NONE, Phase::Checkpointing);
        }
    }

    /// Passes the end of an attempt to the estimator, with its run time if it completed.
    pub(super) fn record_end(&mut self, now: Instant, slot: u32, completed: bool) {
        let Some(task) = self.tasks[slot as usize].as_ref() else { return };
        let Some(kind) = self.kinds.get_index(task.kind as usize) else { return };
        let time = task.started.filter(|_| completed).map(|started| now.duration_since(started));
        self.estimator.record_end(now, kind, &(task.job.clone(), task.attempt), time);
    }

    /// Counts an attempt once as a success of its worker and job, and reopens a quarantined worker
    /// whose probe it was.
    pub(super) fn record_success(&mut self, now: Instant, slot: u32) {
        let Some(task) = self.tasks[slot as usize].as_mut() else { return };
        if task.worker == NONE || std::mem::replace(&mut task.counted_success, true) {
            return;
        }
        task.lost_attempts = 0;
        let worker = task.worker;
        if self.classifier.record_success(now, worker, &task.job) {
            self.set_status(worker, Status::Healthy);
            let vm = self.workers.worker(worker).vm.clone();
            self.events.push(Event::Readmitted(vm));
        }
    }

    /// Counts a failure of an attempt against its job and worker, unless the attempt was being
    /// stopped; quarantines the worker if it is found faulty.
    pub(super) fn record_failure(&mut self, now: Instant, slot: u32) -> Verdict {
        let Some(task) = self.tasks[slot as usize].as_ref() else { return Verdict::Retry };
        let being_stopped = matches!(task.phase, Phase::Stopping | Phase::Expired);
        if being_stopped || task.final_outcome.is_some() || task.worker == NONE {
            return Verdict::Retry;
        }
        let worker = task.worker;
        let verdict = self.classifier.record_failure(now, worker, &task.job);
        if self.classifier.quarantine(now, worker) {
            self.set_status(worker, Status::Closed);
            let vm = self.workers.worker(worker).vm.clone();
            self.events.push(Event::Quarantined(vm));
        }
        verdict
    }

    /// Opens quarantined workers whose probe is due.
    pub(super) fn open_due_probes(&mut self, now: Instant) {
        for worker in self.classifier.due_probes(now) {
            self.set_status(worker, Status::Probing);
        }
    }

    /// Opens a worker for another probe if the last one ended without a result.
    pub(super) fn reopen_probe(&mut self, worker: Key) {
        if self.classifier.is_probing(worker) && self.workers.worker(worker).tasks.is_empty() {
            self.set_status(worker, Status::Probing);
        }
    }

    /// Sets the status of a worker unless it is dead.
    fn set_status(&mut self, worker: Key, status: Status) {
        if self.workers.worker(worker).status != Status::Dead {
            self.workers.set_status(worker, status);
            self.changed_pools.insert(self.workers.location(worker).pool);
        }
    }
}
