//! Choice of workers for the waiting tasks of a pool.
//!
//! Tasks are tried by priority; within a priority, those within their team's quota come before
//! those that borrow. Normal tasks within their quota may preempt borrowed tasks, and urgent ones
//! any preemptible task.

use {
    super::{
        NONE, Phase, Scheduler, Task,
        index::Key,
        roster::{Class, Level, Search, Status},
    },
    crate::{
        job::{Priority, Size},
        quota::Charge,
    },
    std::time::Instant,
};

/// Tasks at the head of each team's queue that are tried in one pass, so that a large task at the
/// head doesn't block the smaller ones behind it.
const BACKFILL: usize = 4;
const PRIORITIES: [Priority; 3] = [Priority::Urgent, Priority::Normal, Priority::Low];

/// Sizes for which a search failed in the current pass; larger ones needn't be searched.
#[derive(Default)]
struct Misses(Vec<(Level, Size)>);

impl Misses {
    fn covers(&self, level: Level, need: &Size) -> bool {
        self.0.iter().any(|(l, miss)| *l == level && need.holds(miss))
    }
}

impl Scheduler {
    /// Tries to place a task that was queued since the last decision, if it is among the first of
    /// its team.
    pub(super) fn place_fresh(&mut self, now: Instant, slot: u32) {
        let Some(task) = self.tasks[slot as usize].as_ref() else { return };
        let Some(queue) = self.queues.get(&task.pool) else { return };
        if task.phase != Phase::Queued || !queue.is_head(task.priority, task.team, slot, BACKFILL) {
            return;
        }
        let charge = self.ledger.quote(task.team, task.size.millicores);
        self.place_task(now, slot, charge, &mut Misses::default());
    }

    /// Tries to place the waiting tasks of a pool after capacity or quota has become free.
    pub(super) fn place_pool(&mut self, now: Instant, pool: u32) {
        let mut misses = Misses::default();
        for priority in PRIORITIES {
            for charge in [Charge::Owned, Charge::Borrowed] {
                while self.place_pass(now, pool, priority, charge, &mut misses) {}
            }
        }
    }

    fn place_pass(
        &mut self,
        now: Instant,
        pool: u32,
        priority: Priority,
        charge: Charge,
        misses: &mut Misses,
    ) -> bool {
        let Some(queue) = self.queues.get(&pool) else { return false };
        let mut placed = false;
        for slot in queue.heads(priority, BACKFILL) {
            placed |= self.place_task(now, slot, charge, misses);
        }
        placed
    }

    fn place_task(&mut self, now: Instant, slot: u32, charge: Charge, misses: &mut Misses) -> bool {
        let Some(task) = self.tasks[slot as usize].as_ref() else { return false };
        if self.ledger.quote(task.team, task.size.millicores) != charge {
            return false;
        }
        let mut shunned = self.judge.failed_on(&task.job);
        if task.shunned != NONE {
            shunned.push(task.shunned);
        }
        let need = task.size;
        let search = Search {
            pool: task.pool,
            kind: task.kind,
            need,
            repeatable: task.repeatable,
            shunned: &shunned,
        };
        for level in levels(task, charge) {
            if misses.covers(*level, &need) {
                continue;
            }
            match self.roster.find(&search, *level) {
                Some(worker) if *level == Level::Free => {
                    self.occupy(slot, worker);
                    self.ask(now, slot, Phase::Starting);
                    return true;
                }
                Some(worker) if self.reclaim(now, slot, worker, *level) => return true,
                _ => misses.0.push((*level, need)),
            }
        }
        false
    }

    /// Takes a task out of its queue, charges its team and allocates its size on a worker.
    pub(super) fn occupy(&mut self, slot: u32, worker: Key) {
        let Some(task) = self.tasks[slot as usize].as_mut() else { return };
        if let Some(queue) = self.queues.get_mut(&task.pool) {
            queue.remove(task.priority, task.team, task.order, slot);
        }
        self.ledger.charge(task.team, slot, task.size.millicores);
        task.class = Class::Firm;
        task.held = task.size;
        task.worker = worker;
        let (kind, size) = (task.kind, task.size);
        self.roster.hold(worker, kind, &size, Class::Firm);
        self.roster.attach(worker, slot);
        if self.roster.worker(worker).status == Status::Probing {
            self.roster.set_status(worker, Status::Closed);
        }
    }
}

fn levels(task: &Task, charge: Charge) -> &'static [Level] {
    match (task.priority, charge) {
        (Priority::Urgent, Charge::Owned) => &[Level::Free, Level::Borrowed, Level::Lower],
        (Priority::Normal, Charge::Owned) => &[Level::Free, Level::Borrowed],
        _ => &[Level::Free],
    }
}

/// For which tasks a running task may be preempted. Tasks that aren't repeatable are never
/// preempted, and urgent tasks within their team's quota neither.
pub(super) fn class(task: &Task, charge: Charge) -> Class {
    match (task.repeatable, charge, task.priority) {
        (false, _, _) => Class::Firm,
        (true, Charge::Borrowed, _) => Class::Borrowed,
        (true, Charge::Owned, Priority::Urgent) => Class::Firm,
        (true, Charge::Owned, _) => Class::Owned,
    }
}
