//! Choice of workers for the waiting tasks of a pool.
//!
//! Tasks are tried by priority; within a priority, those within their team's quota come before
//! those that borrow. Normal tasks within their quota may preempt borrowed tasks, and urgent ones
//! any preemptible task.

use {
    super::{
        NONE, Phase, Scheduler, Task,
        index::Key,
        workers::{Level, Preemption, Search, Status},
    },
    crate::{
        job::{Priority, Size},
        quota::Charge,
    },
    std::time::Instant,
};

/// Tasks at the head of each team's queue that are tried in one pass, so that a large task at the
/// head doesn't block the smaller ones behind it.
const MAX_BACKFILL: usize = 4;
const PRIORITIES: [Priority; 3] = [Priority::Urgent, Priority::Normal, Priority::Low];

/// Sizes for which a search failed in the current pass; larger ones needn't be searched.
#[derive(Default)]
struct FailedSearches(Vec<(Level, Size)>);

impl FailedSearches {
    fn covers(&self, level: Level, need: &Size) -> bool {
        self.0.iter().any(|(l, miss)| *l == level && need.holds(miss))
    }
}

impl Scheduler {
    /// Tries to place a task that was queued since the last decision, if it is among the first of
    /// its team.
    pub(super) fn place_new(&mut self, now: Instant, slot: u32) {
        let Some(task) = self.tasks[slot as usize].as_ref() else { return };
        let Some(queue) = self.queues.get(&task.pool) else { return };
        if task.phase != Phase::Queued
            || !queue.is_head(task.priority, task.team, slot, MAX_BACKFILL)
        {
            return;
        }
        let charge = self.accounts.charge_for(task.team, task.size.millicores);
        self.place_task(now, slot, charge, &mut FailedSearches::default());
    }

    /// Tries to place the waiting tasks of a pool after capacity or quota has become free.
    pub(super) fn place_pool(&mut self, now: Instant, pool: u32) {
        let mut failed = FailedSearches::default();
        for priority in PRIORITIES {
            for charge in [Charge::Owned, Charge::Borrowed] {
                while self.place_pass(now, pool, priority, charge, &mut failed) {}
            }
        }
    }

    /// Tries the first tasks of each team once; returns whether any was placed.
    fn place_pass(
        &mut self,
        now: Instant,
        pool: u32,
        priority: Priority,
        charge: Charge,
        failed: &mut FailedSearches,
    ) -> bool {
        let Some(queue) = self.queues.get(&pool) else { return false };
        let mut placed = false;
        for slot in queue.heads(priority, MAX_BACKFILL) {
            placed |= self.place_task(now, slot, charge, failed);
        }
        placed
    }

    /// Tries to place a task if it would be charged as `charge`; returns whether it was placed.
    fn place_task(
        &mut self,
        now: Instant,
        slot: u32,
        charge: Charge,
        failed: &mut FailedSearches,
    ) -> bool {
        let Some(task) = self.tasks[slot as usize].as_ref() else { return false };
        if self.accounts.charge_for(task.team, task.size.millicores) != charge {
            return false;
        }
        let mut avoided = self.classifier.failed_on(&task.job);
        if task.avoided != NONE {
            avoided.push(task.avoided);
        }
        let need = task.size;
        let search = Search {
            pool: task.pool,
            kind: task.kind,
            need,
            repeatable: task.repeatable,
            avoided: &avoided,
        };
        for level in levels(task, charge) {
            if failed.covers(*level, &need) {
                continue;
            }
            match self.workers.find(&search, *level) {
                Some(worker) if *level == Level::Free => {
                    self.assign(slot, worker);
                    self.enter(now, slot, Phase::Starting);
                    return true;
                }
                Some(worker) if self.reserve(now, slot, worker, *level) => return true,
                _ => failed.0.push((*level, need)),
            }
        }
        false
    }

    /// Takes a task out of its queue, charges its team and allocates its size on a worker.
    pub(super) fn assign(&mut self, slot: u32, worker: Key) {
        let Some(task) = self.tasks[slot as usize].as_mut() else { return };
        if let Some(queue) = self.queues.get_mut(&task.pool) {
            queue.remove(task.priority, task.team, task.queue_position, slot);
        }
        self.accounts.charge(task.team, slot, task.size.millicores);
        task.preemption = Preemption::Never;
        task.held = task.size;
        task.worker = worker;
        let (kind, size) = (task.kind, task.size);
        self.workers.allocate(worker, kind, &size, Preemption::Never);
        self.workers.attach(worker, slot);
        if self.workers.worker(worker).status == Status::Probing {
            self.workers.set_status(worker, Status::Closed);
        }
    }
}

/// Levels at which a worker is searched for a task, one after the other.
fn levels(task: &Task, charge: Charge) -> &'static [Level] {
    match (task.priority, charge) {
        (Priority::Urgent, Charge::Owned) => &[Level::Free, Level::Borrowed, Level::Preemptible],
        (Priority::Normal, Charge::Owned) => &[Level::Free, Level::Borrowed],
        _ => &[Level::Free],
    }
}

/// For which tasks a running task may be preempted. Tasks that aren't repeatable are never
/// preempted, and urgent tasks within their team's quota neither.
pub(super) fn preemption(task: &Task, charge: Charge) -> Preemption {
    match (task.repeatable, charge, task.priority) {
        (false, _, _) => Preemption::Never,
        (true, Charge::Borrowed, _) => Preemption::Borrowed,
        (true, Charge::Owned, Priority::Urgent) => Preemption::Never,
        (true, Charge::Owned, _) => Preemption::Owned,
    }
}
