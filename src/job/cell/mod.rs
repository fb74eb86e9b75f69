//! State machine of a cell's owner: accepts jobs, places their tasks on runners and tracks every
//! run.
//!
//! One entry owns the cell at a time. Its fencing token ([`Fence`]) rises with each takeover and is
//! sent with every start, stop and lease renewal; runners and the ledger reject a lower one.
//! [`Cell`] does no I/O: callers' requests and answers of runners come in as method calls with the
//! current time, and calls to make go out as [`Action`]s.
//!
//! A change is written to the ledger before it has an effect: the answer to the caller, the start
//! of a task, or the acknowledgement that lets a runner discard an end waits as an `Effect` until
//! the batch with the change is stored.

mod account;
mod action;
mod admit;
mod advice;
mod availability;
mod balance;
mod candidates;
mod choose;
mod commit;
mod crash;
mod detector;
mod drain;
mod forecast;
mod former;
mod gang;
mod incarnation;
mod job;
mod lease;
mod load;
mod missing;
mod need;
mod occurrence;
mod overload;
mod ownership;
mod pace;
mod place;
mod placement;
mod poll;
mod pools;
mod progress;
mod rank;
mod registration;
mod restore;
mod run;
mod sizes;
mod start;
mod submit;
mod suspect;
mod throttle;
mod vm;
mod wave;
mod workers;

pub use {
    account::{Account, Accounts, Amount, Counts},
    action::Action,
    admit::Submission,
    advice::{NoAdvice, Tickets},
    crash::Event as CrashEvent,
    forecast::{Expected, Forecast},
    job::{Job, Phase, Placement, Status},
    lease::Lease,
    load::Load,
    overload::{Backlog, Demand, Refusal},
    pools::Pools,
    progress::Counts as WaveCounts,
    sizes::Sizes,
    throttle::Throttle,
    workers::Worker,
};

use {
    self::{advice::Advisor, detector::Detector, former::Former, job::State, overload::Backlogs},
    super::{
        access::Gate,
        answer::Answer,
        ledger::{Outcome, Record, fragment::Divider},
        manifest::{self, Manifest, Queue},
        route::Table,
        runner::{self, Fence},
        settings::Bounds,
        spec::{self, Step, Task},
        upkeep,
    },
    crate::id::VmId,
    indexmap::{IndexMap, IndexSet},
    std::{
        collections::VecDeque,
        rc::Rc,
        time::{Duration, Instant},
    },
};

/// Name of a runner, shared by the records of the tasks on it.
pub type RunnerId = Rc<str>;
/// Number of a caller's request, by which its answer is matched.
pub type RequestId = u64;

/// Length of the lease that a runner gets with each start and renewal. A runner stops its tasks
/// when its lease ends.
pub const LEASE: Duration = Duration::from_millis(2_800);
/// Largest relative error of a runner's clock rate.
pub const CLOCK_ERROR: f64 = 0.02;

/// Time after its last confirmation for which an owner renews leases. It is longer than most
/// outages of the store, and limits how long a previous owner that is partitioned away keeps its
/// runners working.
pub const RENEWAL_WINDOW: Duration = Duration::from_secs(6);

/// Consequence of a change, applied once the ledger has stored the change.
#[derive(Clone, Debug, PartialEq)]
enum Effect {
    /// Answers a caller; the answer may be about a job.
    Answer(RequestId, Option<spec::Id>, Answer),
    /// Sends the start of a run.
    Start(RunnerId, Task, u32),
    /// Lets a runner discard its ends up to a number.
    DiscardEnds(RunnerId, Option<runner::Incarnation>, runner::EndNumber),
    /// Shows callers the current outcome of a job.
    PublishOutcome(spec::Id),
    /// Stops all runs of a job that has ended.
    StopAll(spec::Id),
    /// Puts a manifest into force.
    ActivateManifest(Box<Manifest>),
    /// Has the platform act on a VM.
    ChangeVm(upkeep::Action),
    /// Publishes whether a maintenance wave is complete.
    ReportWave(upkeep::Number, bool),
}

/// Records to append to the ledger, in order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Batch {
    /// Records.
    pub records: Vec<Record>,
}

/// Jobs, runners and VMs of a cell, as its owner knows them.
pub struct Cell {
    fence: Fence,
    bounds: Bounds,
    manifest: Rc<Manifest>,
    /// Newer manifest that the next batch stores.
    next_manifest: Option<Manifest>,
    /// Newest version that was read; the ledger may not have stored it yet.
    newest_version: manifest::Version,
    /// Queues of the manifest by host and path.
    routes: Table,
    /// Positions of the manifest's queues by name.
    queues: IndexMap<String, usize>,
    former: Former,
    /// Keys of the manifest.
    gate: Gate,
    /// Queues and keys of the newest manifest, if the ledger has not stored it yet.
    next_access: Option<(Table, Gate)>,
    /// When the read was sent that last showed all of the operators' records; `None` before the first.
    records_read_at: Option<Instant>,
    accounts: Accounts,
    backlogs: Backlogs,
    jobs: IndexMap<spec::Id, Job>,
    workers: IndexMap<RunnerId, Worker>,
    /// Registrations whose services no manifest names, by key.
    unknown_services: IndexMap<runner::Id, runner::Registration>,
    /// Jobs whose end is not visible to callers yet.
    open: IndexSet<spec::Id>,
    /// Open jobs that may have tasks to place.
    waiting: IndexSet<spec::Id>,
    /// Jobs with occurrences that have not opened yet.
    scheduled: IndexSet<spec::Id>,
    /// Time of day in milliseconds since the Unix epoch, and when it was read.
    wall_clock: Option<(Instant, u64)>,
    /// Estimated memory of the jobs.
    sizes: Sizes,
    /// Ended jobs whose state can still be queried, with the time of their end.
    ended_jobs: VecDeque<(Instant, spec::Id)>,
    /// Jobs whose progress the next batch stores.
    dirty: IndexSet<spec::Id>,
    /// Accepted jobs that the next batch stores.
    new_jobs: Vec<spec::Id>,
    /// Jobs that the next batch removes from the ledger.
    removed_jobs: Vec<spec::Id>,
    /// Division of records that are too large for the ledger.
    divider: Divider,
    /// Effects of changes that the next batch stores.
    effects: Vec<Effect>,
    /// Effects of the batch in flight.
    in_flight: Option<Vec<Effect>>,
    /// When the batch in flight was sent.
    batch_sent: Option<Instant>,
    /// Highest fencing token that no other owner can have.
    newest_fence: Fence,
    /// Until when a runner that registers may hold a lease of a previous owner.
    inherits_leases_until: Instant,
    /// When the heartbeat or batch was sent that last confirmed this owner.
    confirmed_at: Option<Instant>,
    /// Whether a newer owner exists.
    superseded: bool,
    /// Actions to carry out now.
    actions: Vec<Action>,
    pools: Pools,
    load: Load,
    forecast: Forecast,
    detector: Detector,
    advisor: Advisor,
    /// Recent crashes of VMs, and when they were noticed.
    crashed_vms: IndexMap<VmId, Vec<Instant>>,
    /// When a runner last crashed under which nothing was new.
    spontaneous_crash_at: Option<Instant>,
    /// Open jobs with tasks that are suspected of crashing runners.
    suspects: IndexSet<spec::Id>,
    /// When placement is due for tasks that wait for a time to pass.
    retry_placement_at: Option<Instant>,
    /// What was learned of silent runners and not taken yet.
    crash_events: Vec<CrashEvent>,
    /// Whether something has changed that may let tasks be placed.
    place_due: bool,
    throttle: Throttle,
}

impl Cell {
    /// Empty cell of a new owner; [`Cell::restore_all`] then adds the records of the ledger.
    pub fn new(fence: Fence, bounds: Bounds, now: Instant) -> Self {
        Self {
            fence,
            bounds,
            manifest: Rc::default(),
            next_manifest: None,
            newest_version: 0,
            routes: Table::default(),
            queues: IndexMap::new(),
            former: Former::default(),
            gate: Gate::default(),
            next_access: None,
            records_read_at: None,
            accounts: Accounts::default(),
            backlogs: Backlogs::default(),
            jobs: IndexMap::new(),
            workers: IndexMap::new(),
            unknown_services: IndexMap::new(),
            open: IndexSet::new(),
            waiting: IndexSet::new(),
            scheduled: IndexSet::new(),
            wall_clock: None,
            sizes: Sizes::default(),
            ended_jobs: VecDeque::new(),
            dirty: IndexSet::new(),
            new_jobs: Vec::new(),
            removed_jobs: Vec::new(),
            divider: Divider::new(bounds.record_bytes.min(bounds.append_bytes)),
            effects: Vec::new(),
            in_flight: None,
            batch_sent: None,
            newest_fence: fence,
            inherits_leases_until: now,
            confirmed_at: Some(now),
            superseded: false,
            actions: Vec::new(),
            pools: Pools::new(now),
            load: Load::new(now),
            forecast: Forecast::default(),
            detector: Detector::default(),
            advisor: Advisor::default(),
            crashed_vms: IndexMap::new(),
            spontaneous_crash_at: None,
            suspects: IndexSet::new(),
            retry_placement_at: None,
            crash_events: Vec::new(),
            place_due: false,
            throttle: Throttle::default(),
        }
    }

    /// Fence of this owner.
    pub fn fence(&self) -> Fence {
        self.fence
    }

    /// Newest manifest that the ledger has stored.
    pub fn manifest(&self) -> &Manifest {
        &self.manifest
    }

    /// Queue of the manifest in force with this name.
    pub fn queue(&self, name: &str) -> Option<&Queue> {
        self.manifest.queues.get(*self.queues.get(name)?)
    }

    /// Accounts of the organisations.
    pub fn accounts(&self) -> &Accounts {
        &self.accounts
    }

    /// Estimated memory of the jobs.
    pub fn sizes(&self) -> &Sizes {
        &self.sizes
    }

    /// All jobs: open ones, and ended ones whose state can still be queried.
    pub fn jobs(&self) -> &IndexMap<spec::Id, Job> {
        &self.jobs
    }

    /// All known runners.
    pub fn workers(&self) -> &IndexMap<RunnerId, Worker> {
        &self.workers
    }

    /// Returns the actions to carry out now, and clears them.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Sets the time of day at `now`, in milliseconds since the Unix epoch.
    pub fn set_wall_clock(&mut self, now: Instant, wall_ms: u64) {
        self.wall_clock = Some((now, wall_ms));
    }

    /// Time of day at `now` by the one last set, in milliseconds since the Unix epoch.
    fn wall_ms(&self, now: Instant) -> Option<u64> {
        let (at, wall_ms) = self.wall_clock?;
        Some(wall_ms + now.saturating_duration_since(at).as_millis() as u64)
    }

    /// Opens the occurrences of scheduled jobs whose time has come, by the time of day last set.
    /// That clock may jump; an occurrence opens once and never closes again.
    fn open_occurrences(&mut self, now: Instant) {
        let Some(wall_ms) = self.wall_ms(now) else { return };
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

    /// Does all periodic work: expires leases, places tasks, plans VM moves and maintenance, and
    /// polls runners.
    pub fn tick(&mut self, now: Instant) {
        self.expire_leases(now);
        self.remove_ended_jobs(now);
        self.open_occurrences(now);
        self.load.decay(now);
        self.place_due |= self.retry_placement_at.take_if(|at| *at <= now).is_some();
        self.place_if_due(now);
        self.advance_waves(now);
        self.balance(now);
        self.measure_backlogs(now);
        self.drain_vms(now);
        self.poll_runners(now);
    }

    /// Reacts to events between two ticks: places tasks if anything has changed, and sends the
    /// polls that are due.
    pub fn handle_changes(&mut self, now: Instant) {
        self.place_if_due(now);
        self.poll_runners(now);
    }

    /// Jobs that have not ended.
    fn open_jobs(&self) -> impl Iterator<Item = &Job> {
        let jobs = self.open.iter().filter_map(|id| self.jobs.get(id));
        jobs.filter(|job| job.outcome == Outcome::Open)
    }

    /// State of a task.
    fn task(&self, task: &Task) -> Option<&State> {
        self.jobs.get(&task.job)?.task(task)
    }

    /// State of a task, for changes.
    fn task_mut(&mut self, task: &Task) -> Option<&mut State> {
        self.jobs.get_mut(&task.job)?.task_mut(task)
    }

    /// Step of a task.
    fn step(&self, task: &Task) -> Option<&Step> {
        self.jobs.get(&task.job)?.step(task)
    }

    /// Has the next batch store the progress of a job.
    fn mark_dirty(&mut self, id: spec::Id) {
        self.dirty.insert(id);
    }
}
