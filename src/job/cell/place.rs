//! Which waiting task starts where.
//!
//! Jobs that can still be complete in time go first, those that have started before others, then by due time; jobs
//! that are late follow in the order in which they came. A task goes to the runner on which it leaves
//! the least room, so that other runners stay empty. A task that fits nowhere keeps one runner from
//! smaller ones behind it, so that large tasks get their turn.

use {
    super::{
        Cell, Effect, RunnerId, Worker,
        job::{Job, Phase, Placement, Status},
    },
    crate::job::spec::{self, Need, Step, Task},
    indexmap::IndexSet,
    log::info,
    std::{
        cmp::Reverse,
        rc::Rc,
        time::{Duration, Instant},
    },
};

impl Cell {
    /// Plans starts of waiting tasks.
    pub(super) fn place(&mut self, now: Instant) {
        self.place_due = false;
        let mut order: Vec<(Rank, spec::Id)> = Vec::with_capacity(self.waiting.len());
        for id in &self.waiting {
            if let Some(job) = self.jobs.get(id) {
                order.push((Rank::of(job, now), *id));
            }
        }
        order.sort_unstable();
        self.promote_wide(&mut order);
        let mut kept: IndexSet<RunnerId> = IndexSet::new();
        let mut full: IndexSet<Rc<str>> = IndexSet::new();
        for (_, id) in order {
            let Some(job) = self.jobs.get(&id) else { continue };
            if full.contains(&job.service) {
                continue;
            }
            let service = Rc::clone(&job.service);
            if self.place_job(now, id, &mut kept) == Room::None {
                full.insert(service);
            }
        }
    }

    /// Puts one late job of each service first whose tasks need most of a runner: on a busy pool
    /// they would otherwise never find one empty enough.
    fn promote_wide(&self, order: &mut [(Rank, spec::Id)]) {
        let mut promoted: IndexSet<Rc<str>> = IndexSet::new();
        for (rank, id) in order.iter_mut().filter(|(rank, _)| rank.finite && rank.late) {
            let Some(job) = self.jobs.get(id) else { continue };
            if self.is_wide(job) && promoted.insert(Rc::clone(&job.service)) {
                rank.late = false;
                rank.started = Reverse(true);
            }
        }
        if !promoted.is_empty() {
            order.sort_unstable();
        }
    }

    fn is_wide(&self, job: &Job) -> bool {
        let runners = self.workers.values().filter_map(|worker| worker.entry.as_ref());
        let room =
            runners.filter(|entry| *entry.service == *job.service).map(|e| e.room.millicores);
        let widest = job.spec.steps.iter().map(|step| step.counted().millicores).max();
        room.max().is_some_and(|room| widest.unwrap_or_default() > room / 2)
    }

    fn place_job(&mut self, now: Instant, id: spec::Id, kept: &mut IndexSet<RunnerId>) -> Room {
        let Some(job) = self.jobs.get(&id) else { return Room::Some };
        let spec = Rc::clone(&job.spec);
        let mut all_placed = true;
        for (number, step) in spec.steps.iter().enumerate() {
            let Some(job) = self.jobs.get(&id) else { break };
            if !job.ready(step) {
                all_placed &= job.left.get(number) == Some(&0);
                continue;
            }
            for index in self.waiting_tasks(id, number) {
                let task = Task { job: id, occurrence: 0, step: number as u16, index };
                match self.choose(now, &task, step, kept) {
                    Choice::Runner(runner) => self.plan(now, task, step, &runner),
                    Choice::Keep(runner) => {
                        all_placed = false;
                        kept.insert(runner);
                        break;
                    }
                    Choice::Nothing => return Room::None,
                    Choice::Unfit => {
                        all_placed = false;
                        break;
                    }
                }
            }
        }
        if all_placed {
            self.waiting.swap_remove(&id);
        }
        Room::Some
    }

    fn waiting_tasks(&self, id: spec::Id, step: usize) -> Vec<u16> {
        let Some(tasks) = self.jobs.get(&id).and_then(|job| job.steps.get(step)) else {
            return Vec::new();
        };
        let waits = |(index, state): (usize, &super::job::State)| {
            (state.status == Status::Waiting).then_some(index as u16)
        };
        tasks.iter().enumerate().filter_map(waits).collect()
    }

    fn plan(&mut self, now: Instant, task: Task, step: &Step, runner: &RunnerId) {
        let need = step.counted();
        let Some(worker) = self.workers.get_mut(runner) else { return };
        worker.used = worker.used.plus(&need);
        worker.tasks.insert(task, need);
        let Some(state) = self.jobs.get_mut(&task.job).and_then(|job| job.task_mut(&task)) else {
            return;
        };
        state.run += 1;
        let (run, phase) = (state.run, Phase::Planned);
        let placement = Placement { runner: Rc::clone(runner), phase, since: now, percent: 0 };
        state.status = Status::Placed(placement);
        info!("place: task={task} run={run} runner={runner} fence={}", self.fence);
        self.mark(task.job);
        self.effects.push(Effect::Start(Rc::clone(runner), task, run));
    }

    fn choose(&self, now: Instant, task: &Task, step: &Step, kept: &IndexSet<RunnerId>) -> Choice {
        let Some(job) = self.jobs.get(&task.job) else { return Choice::Unfit };
        let need = step.counted();
        let mut best: Option<(Fit, &RunnerId)> = None;
        let mut roomiest: Option<(u32, &RunnerId)> = None;
        let mut any_free = false;
        for (id, worker) in &self.workers {
            if !serves(worker, job, now) {
                continue;
            }
            let free = worker.free();
            any_free |= free.millicores > 0;
            if kept.contains(id) || !allows(worker, step, task) {
                continue;
            }
            let room = worker.entry.as_ref().map(|entry| entry.room).unwrap_or_default();
            if free.holds(&need) {
                let fit = self.fit(worker, step, free, &need);
                if best.as_ref().is_none_or(|(other, _)| fit < *other) {
                    best = Some((fit, id));
                }
            } else if room.holds(&need) && roomiest.is_none_or(|(most, _)| free.millicores > most) {
                roomiest = Some((free.millicores, id));
            }
        }
        match (best, roomiest) {
            (Some((_, id)), _) => Choice::Runner(Rc::clone(id)),
            (None, _) if !any_free => Choice::Nothing,
            (None, Some((_, id))) => Choice::Keep(Rc::clone(id)),
            (None, None) => Choice::Unfit,
        }
    }

    fn fit(&self, worker: &Worker, step: &Step, free: Need, need: &Need) -> Fit {
        let far = !step.data_rack.is_empty() && !worker.labels().contains(&step.data_rack);
        let (mut serving, mut filling) = (0, 0);
        for task in worker.tasks.keys() {
            let other = self.jobs.get(&task.job).and_then(|job| job.step(task));
            serving += u32::from(other.is_some_and(|o| !o.latency_target.is_zero() && !o.filler));
            filling += u32::from(other.is_some_and(|o| o.filler));
        }
        let clash = if step.filler {
            serving
        } else if step.latency_target.is_zero() {
            0
        } else {
            filling
        };
        let empty = if step.endless { u32::from(serving + filling == 0) } else { 0 };
        Fit { far, clash, empty, left: free.minus(need).millicores }
    }
}

/// How well a runner suits a task; the lowest suits best.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Fit {
    /// Whether the data is on another rack.
    far: bool,
    /// Tasks on it that would disturb the task, or be disturbed.
    clash: u32,
    /// Whether an endless task would be the first on it.
    empty: u32,
    /// Thousandths of a core left.
    left: u32,
}

#[derive(PartialEq, Eq)]
enum Room {
    Some,
    None,
}

enum Choice {
    /// Starts there.
    Runner(RunnerId),
    /// Fits nowhere now; this runner is kept for it.
    Keep(RunnerId),
    /// No runner has any room.
    Nothing,
    /// No runner may run it.
    Unfit,
}

fn serves(worker: &Worker, job: &Job, now: Instant) -> bool {
    worker.takes_tasks(now)
        && worker.entry.as_ref().is_some_and(|entry| *entry.service == *job.service)
}

fn allows(worker: &Worker, step: &Step, task: &Task) -> bool {
    if !step.label.is_empty() && !worker.labels().contains(&step.label) {
        return false;
    }
    if step.per_runner == 0 {
        return true;
    }
    let same = |other: &&Task| other.job == task.job && other.step == task.step;
    worker.tasks.keys().filter(same).count() < step.per_runner as usize
}

/// Place of a job in the order of starts; the lowest starts first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    finite: bool,
    late: bool,
    priority: u32,
    started: Reverse<bool>,
    due: Instant,
}

/// Time that a start and the news of an end take beside the work itself.
const OVERHEAD: Duration = Duration::from_millis(50);

impl Rank {
    fn of(job: &Job, now: Instant) -> Self {
        let endless = job.spec.endless();
        let late = !endless && now + job.remaining() + OVERHEAD > job.due;
        Self {
            finite: !endless,
            late,
            priority: job.priority,
            due: job.due,
            started: Reverse(job.started),
        }
    }
}
