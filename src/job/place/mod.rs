//! Scheduler that places jobs on workers under leases.
//!
//! The [`Scheduler`] takes jobs, the platform's answers and usage reports, and returns the
//! operations that the platform should carry out. It holds no clock and does no I/O, so the same
//! sequence of calls yields the same operations.
//!
//! An attempt holds its resources on a worker from the placement decision until the platform reports
//! that the attempt ended. An expired lease doesn't prove that it ended: the worker may be paused or
//! partitioned and still run the task. The attempt therefore keeps its resources and is asked to
//! stop; only a repeatable job gets another attempt before the platform reports the end of the first.
//!
//! Invariants:
//! - The resources held on a worker never exceed the worker's total, except while a preempting task
//!   waits for the tasks that it preempts. It isn't started before they have released enough.
//! - Every start of one attempt carries the same operation ID, whichever controller sends it, so
//!   that the platform starts the attempt at most once.

use {
    crate::{
        diagnose::Judge,
        fleet::{Team, Vm},
        id::{TeamId, VmId},
        job::{Job, JobId, KindId, Size},
        learn::Estimator,
        quota::Ledger,
    },
    indexmap::{IndexMap, IndexSet},
    std::{collections::BTreeSet, time::Instant},
};

pub mod index;
mod lease;
mod queue;
mod reclaim;
pub mod roster;
mod start;
mod task;
mod usage;

pub use task::{
    Action, Answer, CHECKPOINT_WAIT, Event, IN_FLIGHT, LEASE, NONE, Outcome, Phase, READ_AFTER,
    RECLAIM_WAIT, RENEWALS_PER_LEASE, START_WAIT, THROTTLE_WAIT, Task, Verb,
};

/// Decides which worker runs each job, and follows its attempts until they end.
#[derive(Clone, Debug, Default)]
pub struct Scheduler {
    roster: roster::Roster,
    ledger: Ledger,
    estimator: Estimator,
    judge: Judge,
    tasks: Vec<Option<Task>>,
    unused: Vec<u32>,
    jobs: IndexMap<JobId, u32>,
    orphans: IndexMap<(JobId, u32), u32>,
    kinds: IndexSet<KindId>,
    queues: IndexMap<u32, queue::Queue>,
    changed: IndexSet<u32>,
    fresh: Vec<u32>,
    timers: BTreeSet<(Instant, u32)>,
    orders: u64,
    actions: Vec<Action>,
    events: Vec<Event>,
}

impl Scheduler {
    /// Replaces the teams' quotas.
    pub fn set_teams(&mut self, teams: &IndexMap<TeamId, Team>) {
        self.ledger.declare(teams);
        self.changed.extend(self.queues.keys());
    }

    /// Adds a worker with `total` resources.
    pub fn add_worker(&mut self, id: &VmId, vm: &Vm, total: Size) {
        let key = self.roster.add(id, vm, total);
        let place = self.roster.place(key);
        self.judge.add(key, place);
        self.changed.insert(place.pool);
    }

    /// Opens or closes a worker for new tasks; a quarantined worker stays closed.
    pub fn set_worker(&mut self, id: &VmId, open: bool) {
        let Some(key) = self.roster.key(id) else { return };
        let status = match open && !self.judge.is_aside(key) {
            true => roster::Status::Sound,
            false => roster::Status::Closed,
        };
        self.roster.set_status(key, status);
        self.changed.insert(self.roster.place(key).pool);
    }

    /// Records that the platform declared a worker dead, which means that its tasks have ended.
    pub fn worker_dead(&mut self, now: Instant, id: &VmId) -> Vec<Action> {
        if let Some(key) = self.roster.key(id) {
            self.roster.set_status(key, roster::Status::Dead);
            for slot in self.roster.worker(key).tasks.clone() {
                self.lost(now, slot);
            }
        }
        self.decide(now)
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
            team: self.ledger.open(&job.team),
            pool: self.roster.pool(&job.pool),
            priority: job.priority,
            repeatable: job.repeatable,
            settled: None,
            throttled: false,
            phase: Phase::Queued,
            class: roster::Class::Firm,
            attempt: 0,
            serial: 0,
            worker: NONE,
            shunned: NONE,
            claimant: NONE,
            waiting: 0,
            declared: job.size,
            size: job.size,
            held: Size::default(),
            order: self.next_order(),
            asked: now,
            lease_until: now,
            started: None,
            proven: false,
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
            if task.settled.replace(Outcome::Cancelled).is_some() {
                continue;
            }
            match task.phase {
                Phase::Queued | Phase::Reserved => {
                    self.withdraw(now, slot);
                    self.leave(slot, Outcome::Cancelled);
                }
                Phase::Starting | Phase::Stopping | Phase::Lapsed => {}
                _ => self.ask(now, slot, Phase::Stopping),
            }
        }
        self.decide(now)
    }

    /// Handles expired timers and due probes, and returns the operations for the platform.
    pub fn tick(&mut self, now: Instant) -> Vec<Action> {
        self.probe(now);
        self.expire(now);
        self.decide(now)
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
        Some(&self.roster.worker(key).vm)
    }

    /// All workers.
    pub fn workers(&self) -> &[roster::Worker] {
        self.roster.workers()
    }

    /// Quota accounts of all teams.
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
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

    fn decide(&mut self, now: Instant) -> Vec<Action> {
        for slot in std::mem::take(&mut self.fresh) {
            self.place_fresh(now, slot);
        }
        while let Some(pool) = self.changed.pop() {
            self.place_pool(now, pool);
        }
        std::mem::take(&mut self.actions)
    }

    fn next_order(&mut self) -> u64 {
        self.orders += 1;
        self.orders
    }

    fn insert(&mut self, task: Task) -> u32 {
        match self.unused.pop() {
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

    fn enqueue(&mut self, slot: u32) {
        let Some(task) = self.tasks[slot as usize].as_mut() else { return };
        if let Some(kind) = self.kinds.get_index(task.kind as usize) {
            let largest = self.roster.largest(task.pool);
            task.size = self.estimator.size(kind, &task.declared);
            task.size = task.size.min(&largest.max(&task.declared));
        }
        let queue = self.queues.entry(task.pool).or_default();
        queue.push(task.priority, task.team, task.order, slot);
        self.fresh.push(slot);
    }

    fn leave(&mut self, slot: u32, outcome: Outcome) {
        let Some(task) = self.tasks[slot as usize].take() else { return };
        if let Some(due) = task.due {
            self.timers.remove(&(due, slot));
        }
        self.unused.push(slot);
        if self.jobs.get(&task.job) == Some(&slot) {
            self.jobs.swap_remove(&task.job);
            self.events.push(Event::Left(task.job, outcome));
        } else {
            self.orphans.swap_remove(&(task.job, task.attempt));
        }
    }
}
