//! Feedback from usage reports and ended attempts: resource estimates, and faulty workers and jobs.

use {
    super::{
        Action, Event, LEASE, NONE, Phase, Scheduler, Verb,
        index::Key,
        roster::{Level, Status},
        task::PROVEN_AFTER,
    },
    crate::{diagnose::Verdict, job::Size, learn::MARGIN_PERCENT, platform::Usage},
    std::time::Instant,
};

/// Processor use, in percent of the limit, from which a task is assumed to need more.
const AT_LIMIT_PERCENT: u64 = 95;
/// Operation number of a stop for a task that this scheduler doesn't know.
const STRAY_SERIAL: u32 = u32::MAX;

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
                self.measure(now, slot, report);
            }
            if let Some(how) = report.ended {
                actions.extend(self.ended(now, job, attempt, how));
            }
        }
        actions.extend(self.decide(now));
        actions
    }

    /// Returns stops for the running tasks that this scheduler doesn't know. A new controller must
    /// adopt the tasks that it knows from the log before it calls this.
    pub fn strays(&self, reports: &[Usage]) -> Vec<Action> {
        let running = reports.iter().filter(|report| report.ended.is_none());
        let strays = running.filter_map(|report| {
            let (job, attempt) = parse(&report.task)?;
            self.slot(job, attempt).is_none().then(|| Action {
                job: job.to_owned(),
                attempt,
                serial: STRAY_SERIAL,
                verb: Verb::Stop,
                read: false,
                worker: report.worker.clone(),
                millicores: 0,
                lease: LEASE,
            })
        });
        strays.collect()
    }

    fn measure(&mut self, now: Instant, slot: u32, report: &Usage) {
        let Some(task) = self.tasks[slot as usize].as_ref() else { return };
        let Some(kind) = self.kinds.get_index(task.kind as usize) else { return };
        if task.worker == NONE {
            return;
        }
        if let Some(key) = self.roster.key(&report.worker).filter(|key| *key != task.worker) {
            return self.relocate(slot, key);
        }
        let limit = u64::from(task.held.millicores);
        let wants_more = report.millicores * 100 >= limit * AT_LIMIT_PERCENT;
        let millicores = if wants_more { report.millicores * 3 / 2 } else { report.millicores };
        let used = Size {
            millicores: if task.throttled { 0 } else { millicores as u32 },
            accelerators: 0,
            memory_bytes: report.memory_bytes,
        };
        self.estimator.report(now, kind, &(task.job.clone(), task.attempt), &used);
        let estimate = self.estimator.size(kind, &task.declared);
        let floor = used.memory_bytes + used.memory_bytes * MARGIN_PERCENT / 100;
        self.hold_memory(now, slot, estimate.memory_bytes.max(floor));
        if self.tasks[slot as usize]
            .as_ref()
            .is_some_and(|task| task.started.is_some_and(|started| now >= started + PROVEN_AFTER))
        {
            self.prove(now, slot);
        }
    }

    /// Moves an attempt to the worker that reports it. A previous controller may have started the
    /// attempt there; the start sent by this one then had no effect, because both carry the same
    /// operation ID.
    fn relocate(&mut self, slot: u32, to: Key) {
        let Some(task) = self.tasks[slot as usize].as_mut() else { return };
        let from = std::mem::replace(&mut task.worker, to);
        let (kind, held, class) = (task.kind, task.held, task.class);
        self.roster.free(from, kind, &held, class);
        self.roster.detach(from, slot);
        self.roster.hold(to, kind, &held, class);
        self.roster.attach(to, slot);
        self.changed.insert(self.roster.place(from).pool);
    }

    /// Adjusts the memory that a running task holds, and preempts other tasks if it no longer fits
    /// on the worker.
    fn hold_memory(&mut self, now: Instant, slot: u32, memory_bytes: u64) {
        let Some(task) = self.task_mut(slot) else { return };
        let (worker, class, from) = (task.worker, task.class, task.held);
        let to = Size { memory_bytes, ..from };
        if from.memory_bytes.abs_diff(memory_bytes) * 100 <= from.memory_bytes * MARGIN_PERCENT {
            return;
        }
        task.held = to;
        self.roster.resize(worker, &from, &to, class);
        if to.memory_bytes < from.memory_bytes {
            self.changed.insert(self.roster.place(worker).pool);
        }
        self.relieve(now, worker);
    }

    fn relieve(&mut self, now: Instant, worker: Key) {
        let Some(victims) = self.victims(worker, &Size::default(), Level::Lower) else { return };
        for victim in victims {
            self.give_way(now, victim, NONE, Phase::Checkpointing);
        }
    }

    pub(super) fn learn_end(&mut self, now: Instant, slot: u32, whole: bool) {
        let Some(task) = self.tasks[slot as usize].as_ref() else { return };
        let Some(kind) = self.kinds.get_index(task.kind as usize) else { return };
        let time = task.started.filter(|_| whole).map(|started| now.duration_since(started));
        self.estimator.ended(now, kind, &(task.job.clone(), task.attempt), time);
    }

    /// Counts an attempt once as a success of its worker and job, and reopens a quarantined worker
    /// whose probe it was.
    pub(super) fn prove(&mut self, now: Instant, slot: u32) {
        let Some(task) = self.tasks[slot as usize].as_mut() else { return };
        if task.worker == NONE || std::mem::replace(&mut task.proven, true) {
            return;
        }
        let worker = task.worker;
        if self.judge.succeeded(now, worker, &task.job) {
            self.open(worker, Status::Sound);
            let vm = self.roster.worker(worker).vm.clone();
            self.events.push(Event::Reopened(vm));
        }
    }

    /// Counts a failure of an attempt against its job and worker, unless the attempt was being
    /// stopped; quarantines the worker if it is found faulty.
    pub(super) fn blame(&mut self, now: Instant, slot: u32) -> Verdict {
        let Some(task) = self.tasks[slot as usize].as_ref() else { return Verdict::Retry };
        let asked_to_end = matches!(task.phase, Phase::Stopping | Phase::Lapsed);
        if asked_to_end || task.settled.is_some() || task.worker == NONE {
            return Verdict::Retry;
        }
        let worker = task.worker;
        let verdict = self.judge.failed(now, worker, &task.job);
        if self.judge.set_aside(now, worker) {
            self.open(worker, Status::Closed);
            let vm = self.roster.worker(worker).vm.clone();
            self.events.push(Event::SetAside(vm));
        }
        verdict
    }

    pub(super) fn probe(&mut self, now: Instant) {
        for worker in self.judge.probes(now) {
            self.open(worker, Status::Probing);
        }
    }

    /// Opens a worker for another probe if the last one ended without a result.
    pub(super) fn probe_again(&mut self, worker: Key) {
        if self.judge.is_probing(worker) && self.roster.worker(worker).tasks.is_empty() {
            self.open(worker, Status::Probing);
        }
    }

    fn open(&mut self, worker: Key, status: Status) {
        if self.roster.worker(worker).status != Status::Dead {
            self.roster.set_status(worker, status);
            self.changed.insert(self.roster.place(worker).pool);
        }
    }
}
