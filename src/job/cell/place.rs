//! Which waiting task starts where.
//!
//! Jobs that can still be complete in time go first, those that have started before others, then by due time; jobs
//! that are late follow in the order in which they came. A task goes to the runner on which it leaves
//! the least room, so that other runners stay empty. A task that fits nowhere keeps one runner from
//! smaller ones behind it, so that large tasks get their turn.

use {
    super::{
        Cell, Effect, Worker,
        job::{Job, Occurrence, Phase, Placement, State, Status},
    },
    crate::job::spec::{self, Resources, Step, Task},
    indexmap::{IndexMap, IndexSet},
    log::info,
    std::{cmp::Reverse, rc::Rc, time::Instant},
};

impl Cell {
    /// Plans starts of waiting tasks.
    pub(super) fn place(&mut self, now: Instant) {
        self.place_due = false;
        let mut order: Vec<(Rank, spec::Id, u32)> = Vec::with_capacity(self.waiting.len());
        for id in &self.waiting {
            let Some(job) = self.jobs.get(id) else { continue };
            let unfinished = job.open().filter(|(_, occurrence)| !occurrence.finished());
            order.extend(unfinished.map(|(number, o)| (Rank::of(job, o, now), *id, number)));
        }
        order.sort_unstable();
        self.promote_wide(&mut order);
        let mut pools = self.candidates(now);
        let mut unplaced: IndexSet<spec::Id> = IndexSet::new();
        for (_, id, occurrence) in order {
            let Some(service) = self.jobs.get(&id).map(|job| Rc::clone(&job.service)) else {
                continue;
            };
            let pool = pools.get_mut(&service).filter(|pool| pool.misses < MAX_MISSES);
            if !pool.is_some_and(|pool| self.place_occurrence(now, id, occurrence, pool)) {
                unplaced.insert(id);
            }
        }
        self.waiting = unplaced;
    }

    /// Runners of each service that take tasks.
    fn candidates(&self, now: Instant) -> IndexMap<Rc<str>, Pool> {
        let mut pools: IndexMap<Rc<str>, Pool> = IndexMap::new();
        let silent = self.silent_domains();
        for (index, worker) in self.workers.values().enumerate() {
            let Some(entry) = worker.entry.as_ref().filter(|_| worker.takes_tasks(now)) else {
                continue;
            };
            let pool = match pools.get_mut(entry.service.as_str()) {
                Some(pool) => pool,
                None => pools.entry(Rc::from(entry.service.as_str())).or_default(),
            };
            pool.widest = pool.widest.max(entry.room.millicores);
            if worker.free().millicores == 0 || self.silence.is_silent(worker) {
                continue;
            }
            if worker.is_in(&silent) {
                pool.doubted.push(index);
            } else {
                pool.runners.push(index);
            }
        }
        for pool in pools.values_mut().filter(|pool| pool.runners.is_empty()) {
            pool.runners = std::mem::take(&mut pool.doubted);
        }
        pools
    }

    /// Puts one late job of each service first whose tasks need most of a runner: on a busy pool
    /// they would otherwise never find one empty enough.
    fn promote_wide(&self, order: &mut [(Rank, spec::Id, u32)]) {
        let mut promoted: IndexSet<Rc<str>> = IndexSet::new();
        for (rank, id, _) in order.iter_mut().filter(|(rank, ..)| rank.finite && rank.late) {
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
        let widest = job.spec.steps.iter().map(|step| step.reserved().millicores).max();
        room.max().is_some_and(|room| widest.unwrap_or_default() > room / 2)
    }

    /// Plans starts of an occurrence's tasks; tells whether none waits any more.
    fn place_occurrence(
        &mut self,
        now: Instant,
        job: spec::Id,
        occurrence: u32,
        pool: &mut Pool,
    ) -> bool {
        let Some(spec) = self.jobs.get(&job).map(|job| Rc::clone(&job.spec)) else { return true };
        let mut all_placed = true;
        for (number, step) in (0..).zip(&spec.steps) {
            let first = Task { job, occurrence, step: number, index: 0 };
            let Some(state) = self.occurrence(&first) else { return true };
            if !state.ready(step) {
                all_placed &= state.left.get(usize::from(number)) == Some(&0);
                continue;
            }
            let waiting = self.waiting_tasks(&first);
            let planned = if self.needs_ticket(job) {
                self.place_advised(now, &waiting, step, pool)
            } else {
                self.place_step(now, &waiting, step, pool)
            };
            self.log_planned(&first, &planned);
            all_placed &= planned.len() == waiting.len();
        }
        all_placed
    }

    /// Plans starts of a step's tasks on those runners for which there are tickets, and asks for more
    /// tickets if they don't suffice.
    fn place_advised(
        &mut self,
        now: Instant,
        waiting: &[Task],
        step: &Step,
        pool: &mut Pool,
    ) -> Vec<Task> {
        let Some(first) = waiting.first() else { return Vec::new() };
        let has_ticket = |&at: &usize| {
            let worker = self.workers.get_index(at);
            worker.is_some_and(|(id, _)| self.ticket(now, first, id).is_some())
        };
        let runners = pool.runners.iter().copied().filter(has_ticket).collect();
        let mut advised = Pool { runners, ..Pool::default() };
        let planned = self.place_step(now, waiting, step, &mut advised);
        if planned.len() < waiting.len() {
            self.ask_advisor(now, first, step, pool);
        }
        planned
    }

    fn place_step(
        &mut self,
        now: Instant,
        waiting: &[Task],
        step: &Step,
        pool: &mut Pool,
    ) -> Vec<Task> {
        if step.gang {
            self.place_gang(now, waiting, step, pool)
        } else {
            self.place_tasks(now, waiting, step, pool)
        }
    }

    /// Plans starts of a step's tasks, as many as there is room for.
    fn place_tasks(
        &mut self,
        now: Instant,
        waiting: &[Task],
        step: &Step,
        pool: &mut Pool,
    ) -> Vec<Task> {
        let mut planned = Vec::new();
        let mut zone = waiting.first().and_then(|task| self.zone_of(task));
        for &task in waiting {
            match self.choose(&task, step, zone.as_deref(), pool) {
                Choice::Runner(runner) => {
                    self.plan(now, task, step, runner);
                    planned.push(task);
                    zone = zone.or_else(|| self.zone_of(&task));
                }
                Choice::Nowhere(roomiest) => {
                    pool.misses += 1;
                    pool.runners.retain(|runner| Some(*runner) != roomiest);
                    break;
                }
            }
        }
        planned
    }

    fn occurrence(&self, task: &Task) -> Option<&Occurrence> {
        self.jobs.get(&task.job)?.occurrences.get(task.occurrence as usize)
    }

    /// Logs the tasks of a step that were placed, as `index.run@runner`.
    fn log_planned(&self, step: &Task, planned: &[Task]) {
        let run = |task: &Task| {
            let state = self.task(task)?;
            let Status::Placed(placement) = &state.status else { return None };
            Some(format!("{}.{}@{}", task.index, state.run, placement.runner))
        };
        let runs: Vec<String> = planned.iter().filter_map(run).collect();
        if !runs.is_empty() {
            let Task { job, occurrence, step, .. } = step;
            info!(
                "place: job={job:016x} occurrence={occurrence} step={step} fence={} runs={}",
                self.fence,
                runs.join(",")
            );
        }
    }

    /// Tasks of a step that wait for a runner; `first` is its first task.
    fn waiting_tasks(&self, first: &Task) -> Vec<Task> {
        let tasks = self.jobs.get(&first.job).and_then(|job| job.siblings(first));
        let waits = |(index, state): (u16, &State)| {
            (state.status == Status::Waiting).then_some(Task { index, ..*first })
        };
        (0..).zip(tasks.into_iter().flatten()).filter_map(waits).collect()
    }

    pub(super) fn plan(&mut self, now: Instant, task: Task, step: &Step, runner: usize) {
        let Some((id, worker)) = self.workers.get_index_mut(runner) else { return };
        let runner = Rc::clone(id);
        worker.add(task, step);
        let Some(state) = self.task_mut(&task) else {
            return;
        };
        state.run += 1;
        let (run, phase) = (state.run, Phase::Planned);
        let placement = Placement { runner: Rc::clone(&runner), phase, since: now, percent: 0 };
        state.status = Status::Placed(placement);
        self.mark(task.job);
        self.effects.push(Effect::Start(runner, task, run));
    }

    /// Availability zone of the first task of a task's step that is placed.
    fn zone_of(&self, task: &Task) -> Option<String> {
        let tasks = self.jobs.get(&task.job)?.siblings(task)?;
        let placed = tasks.iter().find_map(|state| match &state.status {
            Status::Placed(placement) => Some(&placement.runner),
            _ => None,
        })?;
        Some(self.workers.get(placed)?.entry.as_ref()?.zone.clone())
    }

    fn choose(&self, task: &Task, step: &Step, zone: Option<&str>, pool: &Pool) -> Choice {
        let need = step.reserved();
        let state = self.task(task);
        let failed_on = state.and_then(|state| state.failed_on.as_ref());
        let mut best: Option<(Fit, usize)> = None;
        let mut roomiest: Option<(u32, usize)> = None;
        for &index in &pool.runners {
            let Some((id, worker)) = self.workers.get_index(index) else { continue };
            let free = worker.free();
            if !free.holds(&need) {
                let room = worker.entry.as_ref().map(|entry| entry.room).unwrap_or_default();
                let more = roomiest.is_none_or(|(most, _)| free.millicores > most);
                if more && room.holds(&need) && allows(worker, step, task) {
                    roomiest = Some((free.millicores, index));
                }
                continue;
            }
            if !allows(worker, step, task) {
                continue;
            }
            let apart = !step.endless && zone.is_some_and(|zone| worker.zone() != zone);
            let failed = failed_on == Some(id);
            let fit = Fit { failed, apart, ..fit(worker, step, free, &need) };
            if best.as_ref().is_none_or(|(other, _)| fit < *other) {
                best = Some((fit, index));
            }
        }
        match best {
            Some((_, index)) => Choice::Runner(index),
            None => Choice::Nowhere(roomiest.map(|(_, index)| index)),
        }
    }
}

fn fit(worker: &Worker, step: &Step, free: Resources, need: &Resources) -> Fit {
    let far = !step.data_rack.is_empty() && !worker.labels().contains(&step.data_rack);
    let clash = if step.filler {
        worker.serving
    } else if step.latency_target.is_zero() {
        0
    } else {
        worker.filling
    };
    let first = step.endless && worker.serving + worker.filling == 0;
    Fit { failed: false, far, clash, first, apart: false, left: free.minus(need).millicores }
}

/// How well a runner suits a task; the lowest suits best.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Fit {
    /// Whether the task's last run failed on it: the runner may be to blame.
    failed: bool,
    /// Whether the data is on another rack.
    far: bool,
    /// Tasks on it that would disturb the task, or be disturbed.
    clash: u32,
    /// Whether an endless task would be the first on it.
    first: bool,
    /// Whether it is in another availability zone than the step's other tasks: a cut of one zone
    /// should hit as few jobs as it can.
    apart: bool,
    /// Thousandths of a core left.
    left: u32,
}

/// Runners of a service that take tasks now.
#[derive(Default)]
pub(super) struct Pool {
    /// Positions of those with room that is not kept for a task that fits nowhere.
    pub(super) runners: Vec<usize>,
    /// Positions of those with room in a failure domain that is silent.
    doubted: Vec<usize>,
    /// Room of the largest, in thousandths of a core.
    widest: u32,
    /// Tasks and gangs that fitted nowhere.
    pub(super) misses: usize,
}

/// Tasks that fit nowhere after which the rest of a service's jobs wait for the next time.
const MAX_MISSES: usize = 16;

enum Choice {
    /// Starts there.
    Runner(usize),
    /// Fits nowhere now; the roomiest runner that may run it is kept for it.
    Nowhere(Option<usize>),
}

pub(super) fn allows(worker: &Worker, step: &Step, task: &Task) -> bool {
    if !step.label.is_empty() && !worker.labels().contains(&step.label) {
        return false;
    }
    if step.per_runner == 0 {
        return true;
    }
    worker.siblings(task) < step.per_runner as usize
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

impl Rank {
    fn of(job: &Job, occurrence: &Occurrence, now: Instant) -> Self {
        let endless = job.spec.endless();
        Self {
            finite: !endless,
            late: !endless && occurrence.is_late(now),
            priority: job.priority,
            due: occurrence.due,
            started: Reverse(job.started),
        }
    }
}
