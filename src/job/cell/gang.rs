//! Gangs: steps whose tasks work only all together.
//!
//! All members of a gang start in one batch under the same run number, on runners that together have room
//! for all of them; as long as there is none, as many of the roomiest runners as the gang needs are kept
//! from other tasks. If one member fails, is lost or can't start, the others are stopped, and the gang
//! starts again once none of them is on a runner any more. A member that is done stands for all.

use {
    super::{
        Cell, Worker,
        job::{State, Status},
        place::{Pool, allows},
    },
    crate::job::spec::{Resources, Step, Task},
    indexmap::IndexSet,
    std::{cmp::Reverse, rc::Rc, time::Instant},
};

/// Room that is left on a runner while members are assigned.
struct Room {
    runner: usize,
    free: Resources,
    members: usize,
}

impl Cell {
    /// Plans starts of all members, if all of them wait and find room together; returns them.
    pub(super) fn place_gang(
        &mut self,
        now: Instant,
        waiting: &[Task],
        step: &Step,
        pool: &mut Pool,
    ) -> Vec<Task> {
        if waiting.len() < step.tasks as usize {
            return Vec::new();
        }
        let Some(runners) = self.assign(waiting, step, &pool.runners) else {
            pool.misses += 1;
            self.keep_room(step, waiting.len(), pool);
            return Vec::new();
        };
        let Some(first) = waiting.first() else { return Vec::new() };
        self.align_runs(first);
        for (task, runner) in waiting.iter().zip(runners) {
            self.plan(now, *task, step, runner);
        }
        waiting.to_vec()
    }

    /// Runner for each member; on one rack if they are slowed on several, unless no rack has room.
    fn assign(&self, members: &[Task], step: &Step, runners: &[usize]) -> Option<Vec<usize>> {
        if step.same_rack {
            let racks: IndexSet<&str> =
                runners.iter().filter_map(|&at| Some(self.worker_at(at)?.rack())).collect();
            for rack in racks {
                let on_rack = |at: &usize| self.worker_at(*at).is_some_and(|w| w.rack() == rack);
                let runners: Vec<usize> = runners.iter().copied().filter(on_rack).collect();
                if let Some(found) = self.assign_to(members, step, &runners) {
                    return Some(found);
                }
            }
        }
        self.assign_to(members, step, runners)
    }

    fn assign_to(&self, members: &[Task], step: &Step, runners: &[usize]) -> Option<Vec<usize>> {
        let need = step.reserved();
        let first = members.first()?;
        let most = if step.per_runner == 0 { usize::MAX } else { step.per_runner as usize };
        let room = |&runner: &usize| {
            let worker = self.worker_at(runner)?;
            allows(worker, step, first).then(|| Room { runner, free: worker.free(), members: 0 })
        };
        let mut rooms: Vec<Room> = runners.iter().filter_map(room).collect();
        let mut found = Vec::with_capacity(members.len());
        for _ in members {
            let fitting = rooms.iter_mut().filter(|r| r.free.holds(&need) && r.members < most);
            let best = fitting.min_by_key(|room| room.free.minus(&need).millicores)?;
            best.free = best.free.minus(&need);
            best.members += 1;
            found.push(best.runner);
        }
        Some(found)
    }

    fn worker_at(&self, index: usize) -> Option<&Worker> {
        self.workers.get_index(index).map(|(_, worker)| worker)
    }

    /// Keeps the roomiest runners, as many as a gang needs, from tasks behind it.
    fn keep_room(&self, step: &Step, members: usize, pool: &mut Pool) {
        let need = step.reserved();
        let free = |at: &usize| self.worker_at(*at).map_or(0, |w| w.free().millicores);
        let mut roomiest = pool.runners.clone();
        roomiest.sort_by_key(|at| Reverse(free(at)));
        let mut left = members;
        for at in roomiest {
            if left == 0 {
                break;
            }
            let Some(entry) = self.worker_at(at).and_then(|worker| worker.entry.as_ref()) else {
                continue;
            };
            let fits = (entry.room.millicores / need.millicores.max(1)) as usize;
            let most = if step.per_runner == 0 { fits } else { fits.min(step.per_runner as usize) };
            if most > 0 {
                left = left.saturating_sub(most);
                pool.runners.retain(|runner| *runner != at);
            }
        }
    }

    /// Has all members of a task's gang start under the same number next.
    fn align_runs(&mut self, task: &Task) {
        let job = self.jobs.get_mut(&task.job);
        let Some(members) = job.and_then(|job| job.siblings_mut(task)) else { return };
        let last = members.iter().map(|state| state.run).max().unwrap_or_default();
        for state in members {
            state.run = last;
        }
    }

    /// Whether a task is of a gang.
    pub(super) fn is_gang(&self, task: &Task) -> bool {
        self.step(task).is_some_and(|step| step.gang)
    }

    /// Stops the other members of a task's gang, as it can't work any more.
    pub(super) fn break_gang(&mut self, now: Instant, task: &Task) {
        if !self.is_gang(task) {
            return;
        }
        for (member, runner, run) in self.placed_members(task) {
            self.stop_run(now, &member, &runner, run);
        }
    }

    /// Takes all members of a task's gang for done, as one of the run is.
    pub(super) fn finish_gang(&mut self, now: Instant, task: &Task, run: u32) {
        if !self.is_gang(task) {
            return;
        }
        for (member, runner, number) in self.placed_members(task) {
            if number == run {
                self.release(now, &runner, &member);
                self.done(now, member);
            }
        }
    }

    fn placed_members(&self, task: &Task) -> Vec<(Task, Rc<str>, u32)> {
        let members = self.jobs.get(&task.job).and_then(|job| job.siblings(task));
        let placed = |(index, state): (u16, &State)| match &state.status {
            Status::Placed(placement) if index != task.index => {
                Some((Task { index, ..*task }, Rc::clone(&placement.runner), state.run))
            }
            _ => None,
        };
        (0..).zip(members.into_iter().flatten()).filter_map(placed).collect()
    }
}
