//! Places jobs on workers under leases.
//!
//! A [`Scheduler`] is fed with jobs, answers of the platform and usage, and returns the operations
//! that the platform should carry out. It holds no clock and does no I/O; the same calls give the
//! same operations.
//!
//! An attempt at a job holds its size on a worker from the decision until the platform says that
//! it ended. A lease that ran out proves nothing: the worker may be paused or cut off and still run
//! the task. The attempt then keeps its size, a stop is asked, and only a job that may be repeated
//! gets a second attempt before the platform says that the first has ended.
//!
//! Invariants: the sizes held on a worker never exceed the worker, but for urgent work that waits
//! for others to give way and is not started before they have; an attempt is started under one
//! operation id, whoever starts it.

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

/// Decides where jobs run.
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
    /// Puts the teams' quotas in force.
    pub fn set_teams(&mut self, teams: &IndexMap<TeamId, Team>) {
        self.ledger.declare(teams);
        self.changed.extend(self.queues.keys());
    }

    /// Adds a worker of this size.
    pub fn add_worker(&mut self, id: &VmId, vm: &Vm, total: Size) {
        let key = self.roster.add(id, vm, total);
        let place = self.roster.place(key);
        self.judge.add(key, place);
        self.changed.insert(place.pool);
    }

    /// Opens or closes a worker for new work.
    pub fn set_worker(&mut self, id: &VmId, open: bool) {
        let Some(key) = self.roster.key(id) else { return };
        let status = match open && !self.judge.is_aside(key) {
            true => roster::Status::Sound,
            false => roster::Status::Closed,
        };
        self.roster.set_status(key, status);
        self.changed.insert(self.roster.place(key).pool);
    }

    /// Takes note that the platform declared a worker dead: its tasks have ended.
    pub fn worker_dead(&mut self, now: Instant, id: &VmId) -> Vec<Action> {
        if let Some(key) = self.roster.key(id) {
            self.roster.set_status(key, roster::Status::Dead);
            for slot in self.roster.worker(key).tasks.clone() {
                self.lost(now, slot);
            }
        }
        self.decide(now)
    }

    /// Accepts a job; one that is known already has no effect.
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

    /// Cancels jobs, each once however often it is named; their stops are returned together.
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

    /// Decides what is due and returns the operations for the platform.
    pub fn tick(&mut self, now: Instant) -> Vec<Action> {
        self.probe(now);
        self.expire(now);
        self.decide(now)
    }

    /// What became of jobs and workers since the last call.
    pub fn events(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.events)
    }

    /// Attempt at a job that counts now.
    pub fn task(&self, job: &str) -> Option<&Task> {
        self.jobs.get(job).and_then(|slot| self.tasks[*slot as usize].as_ref())
    }

    /// Worker on which the counting attempt at a job is.
    pub fn worker_of(&self, job: &str) -> Option<&VmId> {
        let key = self.task(job).map(|task| task.worker).filter(|key| *key != NONE)?;
        Some(&self.roster.worker(key).vm)
    }

    /// All workers.
    pub fn workers(&self) -> &[roster::Worker] {
        self.roster.workers()
    }

    /// Quotas and their use.
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// What is learned of the kinds of jobs.
    pub fn estimator(&self) -> &Estimator {
        &self.estimator
    }

    /// Jobs that wait for room.
    pub fn queued(&self) -> usize {
        self.queues.values().map(queue::Queue::count).sum()
    }

    /// Time of the next decision that no call causes.
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
