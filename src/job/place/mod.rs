//! Scheduler that places jobs on workers under leases.
//!
//! The [`Scheduler`] takes jobs, the platform's answers and usage reports, and returns the
//! operations that the platform should carry out. It holds no clock and does no I/O, so the same
//! sequence of calls yields the same operations.
//!
//! An attempt holds its resources on a worker from the placement decision until the platform
//! reports that the attempt ended. An expired lease doesn't prove that it ended: the worker may be
//! paused or partitioned and still run the task. The attempt therefore keeps its resources and is
//! asked to stop; only a repeatable job gets another attempt before the platform reports the end of
//! the first.
//!
//! Invariants:
//! - The resources held on a worker never exceed the worker's total, except while a preempting task
//!   waits for the tasks that it preempts. It isn't started before they have released enough.
//! - Every start of one attempt carries the same operation ID, whichever controller sends it, so
//!   that the platform starts the attempt at most once.

use {
    crate::{
        diagnose::Classifier,
        fleet::{Team, Vm},
        id::{TeamId, VmId},
        job::{Job, JobId, KindId, Size},
        learn::Estimator,
        quota::Accounts,
    },
    indexmap::{IndexMap, IndexSet},
    std::{collections::BTreeSet, time::Instant},
};

mod dispatch;
pub mod index;
mod lifecycle;
mod preempt;
mod queue;
mod task;
mod usage;
pub mod workers;

pub use task::{
    Action, Answer, CHECKPOINT_TIMEOUT, Event, LEASE, MAX_REQUEST_DELAY, NONE, Outcome,
    PREEMPTION_TIMEOUT, Phase, RENEWALS_PER_LEASE, START_TIMEOUT, STATE_READ_DELAY,
    THROTTLE_TIMEOUT, Task, Verb,
};

/// Decides which worker runs each job, and follows its attempts until they end.
#[derive(Clone, Debug, Default)]
pub struct Scheduler {
    workers: workers::Workers,
    accounts: Accounts,
    estimator: Estimator,
    classifier: Classifier,
    /// Attempts by slot; other parts refer to an attempt by the number of its slot.
    tasks: Vec<Option<Task>>,
    /// Slots of `tasks` that can be reused.
    free_slots: Vec<u32>,
    /// Slot of the current attempt of each job.
    jobs: IndexMap<JobId, u32>,
    /// Slots of earlier attempts, by job and number of the attempt, that may still run.
    superseded: IndexMap<(JobId, u32), u32>,
    kinds: IndexSet<KindId>,
    /// Waiting tasks of each pool.
    queues: IndexMap<u32, queue::Queue>,
    /// Pools in which capacity or quota may have become free since the last decision.
    changed_pools: IndexSet<u32>,
    /// Tasks queued since the last decision.
    newly_queued: Vec<u32>,
    timers: BTreeSet<(Instant, u32)>,
    /// Last queue position given to a job.
    last_position: u64,
    actions: Vec<Action>,
    events: Vec<Event>,
}

impl Scheduler {
    /// Replaces the teams' quotas.
    pub fn set_teams(&mut self, teams: &IndexMap<TeamId, Team>) {
        self.accounts.set_quotas(teams);
        self.changed_pools.extend(self.queues.keys());
    }

    /// Adds a worker with `total` resources.
    pub fn add_worker(&mut self, id: &VmId, vm: &Vm, total: Size) {
        let key = self.workers.add(id, vm, total);
        let location = self.workers.location(key);
        self.classifier.add_worker(key, location);
        self.changed_pools.insert(location.pool);
    }

    /// Opens or closes a worker for new tasks; a quarantined worker stays closed, and a dead one dead
    /// until it is added again.
    pub fn set_worker(&mut self, id: &VmId, open: bool) {
        let Some(key) = self.workers.key(id) else { return };
        if self.workers.worker(key).status == workers::Status::Dead {
            return;
        }
        let status = match open && !self.classifier.is_quarantined(key) {
            true => workers::Status::Healthy,
            false => workers::Status::Closed,
        };
        self.workers.set_status(key, status);
        self.changed_pools.insert(self.workers.location(key).pool);
    }

    /// Records that the platform declared a worker dead, which means that its tasks have ended.
    pub fn worker_dead(&mut self, now: Instant, id: &VmId) -> Vec<Action> {
        if let Some(key) = self.workers.key(id) {
            self.workers.set_status(key, workers::Status::Dead);
            for slot in self.workers.worker(key).tasks.clone() {
                self.worker_lost(now, slot);
            }
        }
        self.place_waiting(now)
    }

    /// Queues a job; has no effect if the job is already known.
    pub fn submit(&mut self, now: Instant, job: &Job) {
        if self.jobs.contains_key(&job.id) {
            return;
        }
        let kind = self.kinds.insert_full(job.kind.clone()).0 as u32;
        let task = Task {
            job: job.id.clone(),
            kind,
            team: self.accounts.account_index(&job.team),
            pool: self.workers.pool(&job.pool),
            priority: job.priority,
            repeatable: job.repeatable,
            final_outcome: None,
            throttled: false,
            phase: Phase::Queued,
            preemption: workers::Preemption::Never,
            attempt: 0,
            serial: 0,
            worker: NONE,
            avoided: NONE,
            preemptor: NONE,
            pending_victims: 0,
            declared: job.size,
            size: job.size,
            held: Size::default(),
            queue_position: self.next_position(),
            sent_at: now,
            lease_until: now,
            started: None,
            counted_success: false,
            lost_attempts: 0,
            due: None,
        };
        let slot = self.insert(task);
        self.jobs.insert(job.id.clone(), slot);
        self.enqueue(slot);
    }

    /// Cancels jobs, each only once even if it is named repeatedly, and returns all the stops.
    pub fn cancel(&mut self, now: Instant, jobs: &[JobId]) -> Vec<Action> {
        for job in jobs {
            let Some(slot) = self.jobs.get(job).copied() else { continue };
            let Some(task) = self.task_mut(slot) else { continue };
            if task.final_outcome.replace(Outcome::Cancelled).is_some() {
                continue;
            }
            match task.phase {
                Phase::Queued | Phase::Reserved => {
                    self.release(now, slot);
                    self.finish(slot, Outcome::Cancelled);
                }
                Phase::Starting | Phase::Stopping | Phase::Expired => {}
                _ => self.enter(now, slot, Phase::Stopping),
            }
        }
        self.place_waiting(now)
    }

    /// Handles expired timers and due probes, and returns the operations for the platform.
    pub fn tick(&mut self, now: Instant) -> Vec<Action> {
        self.open_due_probes(now);
        self.handle_timers(now);
        self.place_waiting(now)
    }

    /// Takes the events since the last call.
    pub fn events(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.events)
    }

    /// Current attempt of a job; superseded attempts aren't returned.
    pub fn task(&self, job: &str) -> Option<&Task> {
        self.jobs.get(job).and_then(|slot| self.tasks[*slot as usize].as_ref())
    }

    /// Worker of a job's current attempt.
    pub fn worker_of(&self, job: &str) -> Option<&VmId> {
        let key = self.task(job).map(|task| task.worker).filter(|key| *key != NONE)?;
        Some(&self.workers.worker(key).vm)
    }

    /// All workers.
    pub fn workers(&self) -> &[workers::Worker] {
        self.workers.workers()
    }

    /// Quota accounts of all teams.
    pub fn accounts(&self) -> &Accounts {
        &self.accounts
    }

    /// Resource estimates for all kinds of jobs.
    pub fn estimator(&self) -> &Estimator {
        &self.estimator
    }

    /// Number of jobs that wait for a worker.
    pub fn queued(&self) -> usize {
        self.queues.values().map(queue::Queue::count).sum()
    }

    /// Time at which the next timer expires and [`Scheduler::tick`] has to be called.
    pub fn next_due(&self) -> Option<Instant> {
        self.timers.first().map(|(due, _)| *due)
    }

    /// Places waiting tasks where something has changed, and takes the operations collected so far.
    fn place_waiting(&mut self, now: Instant) -> Vec<Action> {
        for slot in std::mem::take(&mut self.newly_queued) {
            self.place_new(now, slot);
        }
        while let Some(pool) = self.changed_pools.pop() {
            self.place_pool(now, pool);
        }
        std::mem::take(&mut self.actions)
    }

    fn next_position(&mut self) -> u64 {
        self.last_position += 1;
        self.last_position
    }

    /// Stores an attempt and returns its slot.
    fn insert(&mut self, task: Task) -> u32 {
        match self.free_slots.pop() {
            Some(slot) => {
                self.tasks[slot as usize] = Some(task);
                slot
            }
            None => {
                self.tasks.push(Some(task));
                (self.tasks.len() - 1) as u32
            }
        }
    }

    fn task_mut(&mut self, slot: u32) -> Option<&mut Task> {
        self.tasks.get_mut(slot as usize)?.as_mut()
    }

    /// Estimates the size of a task, at most the largest worker's unless more is declared, and
    /// queues it.
    fn enqueue(&mut self, slot: u32) {
        let Some(task) = self.tasks[slot as usize].as_mut() else { return };
        if let Some(kind) = self.kinds.get_index(task.kind as usize) {
            let largest = self.workers.largest(task.pool);
            task.size = self.estimator.size(kind, &task.declared);
            task.size = task.size.min(&largest.max(&task.declared));
        }
        let queue = self.queues.entry(task.pool).or_default();
        queue.push(task.priority, task.team, task.queue_position, slot);
        self.newly_queued.push(slot);
    }

    /// Drops an attempt, and reports the job's outcome if it was the current one.
    fn finish(&mut self, slot: u32, outcome: Outcome) {
        let Some(task) = self.tasks[slot as usize].take() else { return };
        if let Some(due) = task.due {
            self.timers.remove(&(due, slot));
        }
        self.free_slots.push(slot);
        if self.jobs.get(&task.job) == Some(&slot) {
            self.jobs.swap_remove(&task.job);
            self.events.push(Event::Finished(task.job, outcome));
        } else {
            self.superseded.swap_remove(&(task.job, task.attempt));
        }
    }
}
