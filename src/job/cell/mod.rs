//! The owner's state of a cell: its jobs, and the runners that it places their tasks on.
//!
//! One entry owns the cell under a fence that rises with each change of owner; every start, stop and
//! renewal carries it, and the ledger refuses records of a lower one. The struct does no input or
//! output: calls and answers come in as events with the time, and go out as [`Action`]s.
//!
//! A change is noted in the job's record first. Its effects (an answer to the caller, a start, a
//! later end that a runner may forget) wait until the ledger has stored the record.

mod accept;
mod advice;
mod balance;
mod commit;
mod forecast;
mod gang;
mod job;
mod load;
mod look;
mod need;
mod order;
mod pace;
mod place;
mod pools;
mod restore;
mod silence;
mod wave;
mod workers;

pub use {
    advice::Tickets,
    forecast::{Coming, Forecast},
    job::{Job, Phase, Placement, Status},
    load::Load,
    pools::Pools,
    workers::Worker,
};

use {
    self::{advice::Advices, job::State, silence::Silence},
    super::{
        answer::Answer,
        ledger::{Outcome, Record},
        manifest::Manifest,
        runner::{self, Fence, Poll, Start},
        settings::Bounds,
        spec::{self, Step, Task},
        upkeep,
    },
    indexmap::{IndexMap, IndexSet},
    std::{
        collections::VecDeque,
        rc::Rc,
        time::{Duration, Instant},
    },
};

/// Name of a runner, shared by the tasks on it.
pub type RunnerId = Rc<str>;
/// Number of a caller's request that waits for its answer.
pub type RequestId = u64;

/// Lease that a runner gets with each renewal.
pub const LEASE: Duration = Duration::from_millis(2_800);
/// Rate error that a runner's clock may have.
pub const CLOCK_ERROR: f64 = 0.02;

/// Time after its last confirmation for which an owner renews leases: longer than most outages of the
/// store, and a bound on how long a former owner that is cut off keeps runners going.
pub const RENEWING: Duration = Duration::from_secs(6);

/// What the owner does next.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Answers a caller.
    Answer(RequestId, Answer),
    /// Starts a task.
    Start(RunnerId, Start),
    /// Stops a run.
    Stop(RunnerId, Task, u32),
    /// Sets the share at which a run works, in percent.
    Pace(RunnerId, Task, u32, u32),
    /// Renews a lease and looks.
    Look(RunnerId, Poll),
    /// Asks the advisor which runners may run a step, which is named by its first task.
    Advise(Task, Vec<RunnerId>),
    /// Acts on a VM.
    Vm(upkeep::Action),
    /// Reports a wave: whether it is complete.
    Report(upkeep::Number, bool),
}

impl Action {
    /// Name under which it is counted.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Answer(..) => "answer",
            Self::Start(..) => "start",
            Self::Stop(..) => "stop",
            Self::Pace(..) => "pace",
            Self::Look(..) => "look",
            Self::Advise(..) => "advise",
            Self::Vm(_) => "vm",
            Self::Report(..) => "report",
        }
    }
}

/// What follows once the ledger has stored the records before it.
#[derive(Clone, Debug, PartialEq)]
enum Effect {
    Answer(RequestId, Answer),
    Start(RunnerId, Task, u32),
    Seen(RunnerId, Option<runner::Incarnation>, runner::EndNumber),
    Show(spec::Id),
    StopAll(spec::Id),
    Declare,
    Act(upkeep::Action),
    Report(upkeep::Number, bool),
}

/// Records to append, in order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Batch {
    /// Records.
    pub records: Vec<Record>,
}

/// Jobs and runners of a cell, in the hands of its owner.
pub struct Cell {
    fence: Fence,
    bounds: Bounds,
    manifest: Rc<Manifest>,
    next_manifest: Option<Manifest>,
    jobs: IndexMap<spec::Id, Job>,
    workers: IndexMap<RunnerId, Worker>,
    open: IndexSet<spec::Id>,
    waiting: IndexSet<spec::Id>,
    scheduled: IndexSet<spec::Id>,
    wall: Option<(Instant, u64)>,
    ended: VecDeque<(Instant, spec::Id)>,
    dirty: IndexSet<spec::Id>,
    accepted: Vec<spec::Id>,
    removed: Vec<spec::Id>,
    effects: Vec<Effect>,
    in_flight: Option<Vec<Effect>>,
    sent: Option<Instant>,
    confirmed: Option<Instant>,
    deposed: bool,
    actions: Vec<Action>,
    pools: Pools,
    load: Load,
    forecast: Forecast,
    silence: Silence,
    advices: Advices,
    place_due: bool,
}

impl Cell {
    /// Empty cell of an owner with the fence `fence`.
    pub fn new(fence: Fence, bounds: Bounds, now: Instant) -> Self {
        Self {
            fence,
            bounds,
            manifest: Rc::default(),
            next_manifest: None,
            jobs: IndexMap::new(),
            workers: IndexMap::new(),
            open: IndexSet::new(),
            waiting: IndexSet::new(),
            scheduled: IndexSet::new(),
            wall: None,
            ended: VecDeque::new(),
            dirty: IndexSet::new(),
            accepted: Vec::new(),
            removed: Vec::new(),
            effects: Vec::new(),
            in_flight: None,
            sent: None,
            confirmed: Some(now),
            deposed: false,
            actions: Vec::new(),
            pools: Pools::new(now),
            load: Load::new(now),
            forecast: Forecast::default(),
            silence: Silence::default(),
            advices: Advices::default(),
            place_due: false,
        }
    }

    /// Fence of this owner.
    pub fn fence(&self) -> Fence {
        self.fence
    }

    /// Manifest in force.
    pub fn manifest(&self) -> &Manifest {
        &self.manifest
    }

    /// Whether a runner has seen a newer owner.
    pub fn deposed(&self) -> bool {
        self.deposed
    }

    /// The log has taken a beat that this owner sent at `sent`.
    pub fn confirm(&mut self, sent: Instant) {
        self.confirmed = self.confirmed.max(Some(sent));
    }

    /// Forgets when this owner was last confirmed, as the VM slept for a time that the clock hides.
    pub fn unconfirm(&mut self) {
        self.confirmed = None;
        self.sent = None;
    }

    /// Whether leases may be renewed: a new owner waits no longer than that for this one.
    fn may_renew(&self, now: Instant) -> bool {
        self.confirmed.is_some_and(|at| now.saturating_duration_since(at) < RENEWING)
    }

    /// A newer owner has written.
    pub fn depose(&mut self) {
        self.deposed = true;
    }

    /// Jobs that are known.
    pub fn jobs(&self) -> &IndexMap<spec::Id, Job> {
        &self.jobs
    }

    /// Runners that are known.
    pub fn workers(&self) -> &IndexMap<RunnerId, Worker> {
        &self.workers
    }

    /// Takes the actions that are due.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Notes the time of day at `now`, in milliseconds since the Unix epoch.
    pub fn set_wall(&mut self, now: Instant, wall_ms: u64) {
        self.wall = Some((now, wall_ms));
    }

    /// Opens the occurrences of scheduled jobs whose time has come. The time of day may jump; each look
    /// takes it as it is.
    fn open_occurrences(&mut self, now: Instant) {
        let Some((at, wall_ms)) = self.wall else { return };
        let wall_ms = wall_ms + now.saturating_duration_since(at).as_millis() as u64;
        for id in &self.scheduled {
            let Some(job) = self.jobs.get_mut(id) else { continue };
            if job.outcome == Outcome::Open && job.open_occurrences(now, wall_ms) {
                self.waiting.insert(*id);
                self.place_due = true;
            }
        }
        let jobs = &self.jobs;
        self.scheduled.retain(|id| {
            let waits = |job: &Job| job.opened < job.occurrences.len();
            jobs.get(id).is_some_and(|job| job.outcome == Outcome::Open && waits(job))
        });
    }

    /// Does what is due at `now`: looks at runners, losses, placement, moves and upkeep.
    pub fn tick(&mut self, now: Instant) {
        self.expire_leases(now);
        self.forget_ended(now);
        self.open_occurrences(now);
        self.load.advance(now);
        if self.place_due {
            self.place(now);
        }
        self.advance_waves(now);
        self.balance(now);
        self.empty_vms(now);
        self.look_at_runners(now);
    }

    /// Places tasks if something has changed since the last time.
    pub fn settle(&mut self, now: Instant) {
        if self.place_due {
            self.place(now);
        }
        self.look_at_runners(now);
    }

    /// Jobs that have tasks to do.
    fn open_jobs(&self) -> impl Iterator<Item = &Job> {
        let jobs = self.open.iter().filter_map(|id| self.jobs.get(id));
        jobs.filter(|job| job.outcome == Outcome::Open)
    }

    /// State of a task.
    fn task(&self, task: &Task) -> Option<&State> {
        self.jobs.get(&task.job)?.task(task)
    }

    /// State of a task, to be changed.
    fn task_mut(&mut self, task: &Task) -> Option<&mut State> {
        self.jobs.get_mut(&task.job)?.task_mut(task)
    }

    /// Step of a task.
    fn step(&self, task: &Task) -> Option<&Step> {
        self.jobs.get(&task.job)?.step(task)
    }

    fn mark(&mut self, id: spec::Id) {
        self.dirty.insert(id);
    }
}
