//! Runners as the owner knows them: registration, lease, and the room that tasks take.

use {
    super::{CLOCK_ERROR, Cell, LEASE, RunnerId, pace},
    crate::job::{
        runner::{EndNumber, Incarnation, Registration},
        spec::{Resources, Step, Task},
    },
    indexmap::IndexMap,
    log::info,
    std::{
        collections::VecDeque,
        rc::Rc,
        time::{Duration, Instant},
    },
};

/// Time beyond a lease before its tasks count as ended.
const LAPSE_MARGIN: Duration = Duration::from_millis(150);
/// Time after which a runner that is not listed and has no tasks is forgotten.
const FORGET: Duration = Duration::from_secs(5);

/// A runner.
#[derive(Clone, Debug)]
pub struct Worker {
    /// Registration; none if only the ledger names it.
    pub entry: Option<Registration>,
    /// Whether the store lists it.
    pub listed: bool,
    /// Since when the store has not listed it.
    pub absent: Instant,
    /// Incarnation that answers.
    pub born: Option<Incarnation>,
    /// Its clock in milliseconds, and when it was read.
    pub clock: Option<(Instant, u64)>,
    /// Room that tasks take.
    pub used: Resources,
    /// Tasks on it, or that may be.
    pub tasks: IndexMap<Task, Taken>,
    /// Endless tasks on it that serve users of their own.
    pub serving: u32,
    /// Tasks on it that use what others leave.
    pub filling: u32,
    /// Share at which those work, in percent.
    pub pace: u32,
    /// When that was last changed.
    pub paced: Instant,
    /// Since when it has had no task.
    pub empty_since: Instant,
    /// Whether it has taken this owner's fence.
    pub held: bool,
    /// When the look on its way was sent.
    pub looking: Option<Instant>,
    /// When to look next.
    pub next_look: Instant,
    /// When every lease given so far has ended.
    pub lapse: Instant,
    /// Last end that was read.
    pub read: EndNumber,
    /// Last end that may be forgotten.
    pub forgettable: EndNumber,
    /// Last end that it was told to forget.
    pub told: EndNumber,
    /// Reports whose ends the ledger has not stored yet.
    pub uncommitted: u32,
    /// Since when it has not answered.
    pub failing: Option<Instant>,
    /// Whether the platform lists another runner of its VM, or none.
    pub former: bool,
    /// When the orders were sent that it has not answered yet.
    pub awaited: VecDeque<Instant>,
    /// Until when nothing is started on it.
    pub shunned: Option<Instant>,
    /// Runs that failed on it since one was done there.
    pub strikes: u32,
    /// Incarnation whose end is certain; older registrations that still arrive are ignored.
    pub retired: Option<Incarnation>,
    /// Whether it is being emptied for a move or for upkeep.
    pub reserved: bool,
}

/// What a task takes of a runner.
#[derive(Clone, Copy, Debug)]
pub struct Taken {
    need: Resources,
    serves: bool,
    fills: bool,
}

impl Worker {
    /// Counts a task as being on it.
    pub fn add(&mut self, task: Task, step: &Step) {
        let (need, fills) = (step.reserved(), step.filler);
        let serves = !fills && !step.latency_target.is_zero();
        self.used = self.used.plus(&need);
        self.serving += u32::from(serves);
        self.filling += u32::from(fills);
        self.tasks.insert(task, Taken { need, serves, fills });
    }

    /// Gives back the room of a task.
    pub fn remove(&mut self, now: Instant, task: &Task) {
        let Some(Taken { need, serves, fills }) = self.tasks.swap_remove(task) else { return };
        self.used = self.used.minus(&need);
        self.serving -= u32::from(serves);
        self.filling -= u32::from(fills);
        if self.tasks.is_empty() {
            self.empty_since = now;
        }
    }

    /// Runner that this owner hears of at `now`, with tasks that may run until `lapse`.
    pub fn new(entry: Option<Registration>, now: Instant, lapse: Instant) -> Self {
        Self {
            listed: entry.is_some(),
            absent: now,
            born: entry.as_ref().and_then(|entry| entry.incarnation),
            entry,
            clock: None,
            used: Resources::default(),
            tasks: IndexMap::new(),
            serving: 0,
            filling: 0,
            pace: pace::FULL,
            paced: now,
            empty_since: now,
            held: false,
            looking: None,
            next_look: now,
            lapse,
            read: 0,
            forgettable: 0,
            told: 0,
            uncommitted: 0,
            failing: None,
            former: false,
            awaited: VecDeque::new(),
            shunned: None,
            strikes: 0,
            retired: None,
            reserved: false,
        }
    }

    /// Tasks of a task's step that are on it.
    pub fn siblings(&self, task: &Task) -> usize {
        let same = |other: &&Task| Task { index: task.index, ..**other } == *task;
        self.tasks.keys().filter(same).count()
    }

    /// Whether a task may be sent to it.
    pub fn can_start(&self) -> bool {
        let ready = self.entry.as_ref().is_some_and(|entry| !entry.draining);
        ready && self.listed && self.held && self.failing.is_none() && !self.reserved
    }

    /// Whether tasks are placed on it at `now`.
    pub fn takes_tasks(&self, now: Instant) -> bool {
        self.can_start() && self.shunned.is_none_or(|until| until <= now)
    }

    /// Whether a registration is of a life that has ended.
    fn ignores(&self, entry: &Registration) -> bool {
        self.retired.is_some_and(|retired| entry.incarnation.is_none_or(|born| born <= retired))
    }

    /// Ends this life for certain.
    pub fn retire(&mut self, now: Instant) {
        let born = self.born.or(self.entry.as_ref().and_then(|entry| entry.incarnation));
        self.renew(None, now);
        self.retired = Some(born.unwrap_or_default());
        self.listed = false;
        self.absent = now;
        self.entry = None;
    }

    /// Whether it leaves.
    pub fn draining(&self) -> bool {
        self.entry.as_ref().is_some_and(|entry| entry.draining)
    }

    /// Room that no task takes.
    pub fn free(&self) -> Resources {
        self.entry.as_ref().map_or_else(Resources::default, |entry| entry.room.minus(&self.used))
    }

    /// Availability zone, or empty.
    pub fn zone(&self) -> &str {
        self.entry.as_ref().map_or("", |entry| &entry.zone)
    }

    /// Rack of its VM, or empty.
    pub fn rack(&self) -> &str {
        self.entry.as_ref().map_or("", |entry| &entry.rack)
    }

    /// Labels.
    pub fn labels(&self) -> &[String] {
        self.entry.as_ref().map_or(&[], |entry| &entry.labels)
    }

    /// Extends the lease at `now`; returns its end on the runner's clock, if that clock is known.
    pub fn grant(&mut self, now: Instant) -> Option<u64> {
        let (at, clock_ms) = self.clock?;
        let elapsed = now.saturating_duration_since(at);
        let until_ms = clock_ms + (elapsed + LEASE).as_millis() as u64;
        let most = (LEASE + elapsed.mul_f64(CLOCK_ERROR)).mul_f64(1.0 + CLOCK_ERROR);
        self.lapse = self.lapse.max(now + most + LAPSE_MARGIN);
        Some(until_ms)
    }

    /// Forgets all that belongs to one incarnation.
    pub fn renew(&mut self, born: Option<Incarnation>, now: Instant) {
        self.born = born;
        self.clock = None;
        self.held = false;
        self.next_look = now;
        self.read = 0;
        self.forgettable = 0;
        self.told = 0;
        self.uncommitted = 0;
        self.failing = None;
        self.shunned = None;
        self.strikes = 0;
        self.lapse = now;
    }
}

impl Cell {
    /// The store lists a runner as `entry`, or no longer.
    pub fn list(&mut self, now: Instant, id: &str, entry: Option<Registration>) {
        let Some(entry) = entry else {
            if let Some(worker) = self.workers.get_mut(id).filter(|worker| worker.listed) {
                info!("runner: id={id} listed=false tasks={}", worker.tasks.len());
                worker.listed = false;
                worker.absent = now;
            }
            return;
        };
        let vm = entry.vm.clone();
        match self.workers.get_mut(id) {
            Some(worker) if worker.ignores(&entry) => {}
            Some(worker) => {
                let reborn = entry.incarnation.is_some()
                    && worker.born.is_some_and(|b| entry.incarnation > Some(b));
                let drains = entry.draining && !worker.draining();
                let returns = !worker.listed;
                worker.listed = true;
                if drains || returns || reborn {
                    let state = if entry.draining { "draining" } else { "ready" };
                    info!(
                        "runner: id={id} listed=true state={state} reborn={reborn} sequence={}",
                        entry.sequence
                    );
                    self.place_due = true;
                }
                let born = entry.incarnation;
                worker.born = worker.born.or(born);
                worker.entry = Some(entry);
                if reborn {
                    self.reborn(now, id, born);
                }
            }
            None => {
                info!("runner: id={id} new service={} sequence={}", entry.service, entry.sequence);
                self.register(id, &entry);
                self.workers.insert(Rc::from(id), Worker::new(Some(entry), now, now));
            }
        }
        self.end_former_lives(now, id, &vm);
    }

    /// Runners of the same VM that are not its newest have ended.
    fn end_former_lives(&mut self, now: Instant, id: &str, vm: &str) {
        if vm.is_empty() {
            return;
        }
        let Some(born) = self.workers.get(id).and_then(|worker| worker.born) else { return };
        let former = |(other, worker): (&RunnerId, &Worker)| {
            let entry = worker.entry.as_ref()?;
            let older = worker.born.is_some_and(|other_born| other_born < born);
            (entry.vm == vm && older).then(|| Rc::clone(other))
        };
        let former: Vec<_> = self.workers.iter().filter_map(former).collect();
        for other in former {
            self.lose_all(now, &other, "its VM has a newer runner");
            self.workers.swap_remove(&other);
        }
    }

    /// A runner has started again under its name: what ran on it has ended.
    pub(super) fn reborn(&mut self, now: Instant, id: &str, born: Option<Incarnation>) {
        self.lose_all(now, id, "it has started again");
        if let Some(worker) = self.workers.get_mut(id) {
            worker.renew(born, now);
        }
    }

    /// Ends what ran on runners whose leases have lapsed without an answer.
    pub(super) fn expire_leases(&mut self, now: Instant) {
        let lapsed = |worker: &Worker| {
            let silent = worker.failing.is_some() || worker.entry.is_none();
            silent && worker.lapse <= now && !worker.tasks.is_empty()
        };
        let ids: Vec<RunnerId> =
            self.workers.iter().filter(|(_, w)| lapsed(w)).map(|(id, _)| Rc::clone(id)).collect();
        for id in ids {
            self.lose_all(now, &id, "its lease has lapsed");
        }
        let gone = |worker: &Worker| {
            !worker.listed
                && worker.tasks.is_empty()
                && now.saturating_duration_since(worker.absent) > FORGET
        };
        self.workers.retain(|_, worker| !gone(worker));
    }
}
