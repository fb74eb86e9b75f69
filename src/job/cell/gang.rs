//! Gang scheduling: steps whose tasks (members) must all run at the same time.
//!
//! All members of a gang are placed together under the same run number, on runners that together
//! have room for all of them. As long as there is not enough room, as many runners as the gang
//! needs are reserved, those with the most free cores first. If a member fails, is lost or can't
//! start, the others are stopped, and the gang starts again once no member is on a runner any more.
//! Once one member is done, all are.

use {
    super::{
        Cell, Worker,
        candidates::Candidates,
        choose::may_run_on,
        job::{State, Status},
        suspect::SUSPECTS_RETRY_DELAY,
    },
    crate::job::spec::{Resources, Step, Task},
    indexmap::IndexSet,
    std::{cmp::Reverse, rc::Rc, time::Instant},
};

/// Free room of a runner during the assignment of members.
struct Room {
    runner: usize,
    free: Resources,
    members: usize,
}

impl Cell {
    /// Places all members, if all of them wait and there is room for all; returns them, or none.
    pub(super) fn place_gang(
        &mut self,
        now: Instant,
        waiting: &[Task],
        step: &Step,
        candidates: &mut Candidates,
    ) -> Vec<Task> {
        let Some(first) = waiting.first() else { return Vec::new() };
        let limited = !self.limit_allows(first, step, waiting.len());
        if limited || waiting.len() < step.tasks as usize {
            return Vec::new();
        }
        let able: Vec<usize> = candidates.runners_for(step).collect();
        let Some(runners) = self.assign_members(now, waiting, step, &able) else {
            if self.is_suspect(first) {
                self.retry_placement(now + SUSPECTS_RETRY_DELAY);
            }
            let reserved = self.runners_for_gang(first, step, waiting.len(), &able);
            if !reserved.is_empty() {
                candidates.reserve(reserved);
            }
            return Vec::new();
        };
        self.align_run_numbers(first);
        for (task, runner) in waiting.iter().zip(runners) {
            self.assign_run(now, *task, step, runner);
        }
        waiting.to_vec()
    }

    /// Runner for each member; all on one rack if the step asks for that and a rack has room.
    fn assign_members(
        &self,
        now: Instant,
        members: &[Task],
        step: &Step,
        runners: &[usize],
    ) -> Option<Vec<usize>> {
        if step.same_rack {
            let racks: IndexSet<&str> =
                runners.iter().filter_map(|&at| Some(self.worker_at(at)?.rack())).collect();
            for rack in racks {
                let on_rack = |at: &usize| self.worker_at(*at).is_some_and(|w| w.rack() == rack);
                let runners: Vec<usize> = runners.iter().copied().filter(on_rack).collect();
                if let Some(found) = self.assign_members_to(now, members, step, &runners) {
                    return Some(found);
                }
            }
        }
        self.assign_members_to(now, members, step, runners)
    }

    /// Runner for each member among `runners`, filling each one as tightly as possible.
    fn assign_members_to(
        &self,
        now: Instant,
        members: &[Task],
        step: &Step,
        runners: &[usize],
    ) -> Option<Vec<usize>> {
        let need = step.reserved();
        let first = members.first()?;
        let max_members = if step.per_runner == 0 { usize::MAX } else { step.per_runner as usize };
        let room = |&runner: &usize| {
            let worker = self.worker_at(runner)?;
            let allowed =
                may_run_on(worker, step, first) && self.isolation_allows(now, worker, first);
            allowed.then(|| Room { runner, free: worker.free(), members: 0 })
        };
        let mut rooms: Vec<Room> = runners.iter().filter_map(room).collect();
        let mut found = Vec::with_capacity(members.len());
        for _ in members {
            let fitting =
                rooms.iter_mut().filter(|r| r.free.holds(&need) && r.members < max_members);
            // Members that take no processors still run best where some are free.
            let rank =
                |room: &&mut Room| (room.free.millicores == 0, room.free.minus(&need).millicores);
            let best = fitting.min_by_key(rank)?;
            best.free = best.free.minus(&need);
            best.members += 1;
            found.push(best.runner);
        }
        Some(found)
    }

    fn worker_at(&self, index: usize) -> Option<&Worker> {
        self.workers.get_index(index).map(|(_, worker)| worker)
    }

    /// Runners to reserve for a gang: those with the most free cores, as many as it needs. None if all
    /// runners of the service together could never hold it.
    fn runners_for_gang(
        &self,
        first: &Task,
        step: &Step,
        members: usize,
        runners: &[usize],
    ) -> Vec<usize> {
        let service = self.jobs.get(&first.job).map(|job| &*job.service);
        let of_service = self.workers.values().filter(|worker| Some(worker.service()) == service);
        let most = of_service.map(|worker| max_members(worker, first, step));
        if most.fold(0, usize::saturating_add) < members {
            return Vec::new();
        }
        let mut able: Vec<(Reverse<u32>, usize, usize)> = Vec::new();
        for &at in runners {
            let Some(worker) = self.worker_at(at) else { continue };
            able.push((Reverse(worker.free().millicores), at, max_members(worker, first, step)));
        }
        able.retain(|(.., most)| *most > 0);
        able.sort_by_key(|(free, ..)| *free);
        let mut left = members;
        let needed = able.into_iter().take_while(|(.., most)| {
            let needs_more = left > 0;
            left = left.saturating_sub(*most);
            needs_more
        });
        needed.map(|(_, at, _)| at).collect()
    }

    /// Gives all members of a task's gang the same run number, so that their next runs agree.
    fn align_run_numbers(&mut self, task: &Task) {
        let job = self.jobs.get_mut(&task.job);
        let Some(members) = job.and_then(|job| job.siblings_mut(task)) else { return };
        let last = members.iter().map(|state| state.run).max().unwrap_or_default();
        for state in members {
            state.run = last;
        }
    }

    /// Whether a task belongs to a gang.
    pub(super) fn is_gang(&self, task: &Task) -> bool {
        self.step(task).is_some_and(|step| step.gang)
    }

    /// Stops the other members of a task's gang, which can't work without this one.
    pub(super) fn stop_gang(&mut self, now: Instant, task: &Task) {
        if !self.is_gang(task) {
            return;
        }
        for (member, runner, run) in self.placed_members(task) {
            self.stop_run(now, &member, &runner, run);
        }
    }

    /// Marks the other members of a task's gang as done, since one member of that run is. This includes
    /// members that were taken for lost.
    pub(super) fn finish_gang(&mut self, now: Instant, task: &Task, run: u32) {
        if !self.is_gang(task) {
            return;
        }
        for (member, runner, number) in self.placed_members(task) {
            if number == run {
                self.release_room(now, &runner, &member);
                self.task_done(now, member);
            }
        }
        self.lost_run_done(now, *task);
    }

    /// The other members of a task's gang that are placed, with the runner and number of their
    /// runs.
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

/// Largest number of members of a gang that a runner could hold once its finite tasks have ended.
fn max_members(worker: &Worker, first: &Task, step: &Step) -> usize {
    if !may_run_on(worker, step, first) {
        return 0;
    }
    let fits = worker.reservable().count(&step.reserved());
    if step.per_runner == 0 { fits } else { fits.min(step.per_runner as usize) }
}
