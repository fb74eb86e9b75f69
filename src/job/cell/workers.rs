//! Runners as the owner knows them: registration, lease, reported ends, and the room that tasks
//! take.

use {
    super::{CLOCK_ERROR, Cell, LEASE, RunnerId, pace},
    crate::job::{
        runner::{Born, EndNumber, Entry},
        spec::{Need, Step, Task},
    },
    indexmap::IndexMap,
    log::info,
    std::{
        collections::VecDeque,
        rc::Rc,
        time::{Duration, Instant},
    },
};

/// Time after the end of a lease before its tasks count as ended.
const LAPSE_MARGIN: Duration = Duration::from_millis(150);
/// Time after which a runner that the store does not list and that has no tasks is removed.
const FORGET: Duration = Duration::from_secs(5);

/// The owner's record of one runner.
#[derive(Clone, Debug)]
pub struct Worker {
    /// Registration; none if only the ledger names the runner, or once it has ended.
    pub registration: Option<Entry>,
    /// Whether the store lists it.
    pub listed: bool,
    /// Since when the store has not listed it; only valid if it does not.
    pub absent: Instant,
    /// Incarnation of the runner's process, if known.
    pub born: Option<Born>,
    /// Its clock in milliseconds, and when the answer with it arrived.
    pub clock: Option<(Instant, u64)>,
    /// Room that its tasks take.
    pub used: Need,
    /// Tasks that are on it or may be.
    pub tasks: IndexMap<Task, Taken>,
    /// Number of tasks on it with a latency objective.
    pub serving: u32,
    /// Number of fillers on it: tasks that use only CPU time that others leave.
    pub filling: u32,
    /// CPU share of the fillers, in percent.
    pub pace: u32,
    /// When that share last changed.
    pub paced: Instant,
    /// Since when it has had no task.
    pub empty_since: Instant,
    /// Whether it has accepted this owner's fence by answering a poll.
    pub held: bool,
    /// When the outstanding poll was sent.
    pub looking: Option<Instant>,
    /// When to poll it next.
    pub next_look: Instant,
    /// When every lease granted so far has ended.
    pub lapse: Instant,
    /// Newest end that was processed.
    pub read: EndNumber,
    /// Newest end that the ledger has stored, so that the runner may forget it.
    pub forgettable: EndNumber,
    /// Newest end that the runner was told to forget.
    pub told: EndNumber,
    /// Number of reports whose ends the ledger has not stored yet.
    pub uncommitted: u32,
    /// Since when calls to it have failed.
    pub failing: Option<Instant>,
    /// Whether the platform lists another runner for its VM, or none.
    pub former: bool,
    /// When the starts were sent that it has not answered yet, oldest first.
    pub awaited: VecDeque<Instant>,
    /// Until when nothing is started on it.
    pub shunned: Option<Instant>,
    /// Number of runs that failed on it since one was done there.
    pub strikes: u32,
    /// Incarnation that has certainly ended. Registrations of it, or of earlier ones, that still
    /// arrive are ignored.
    pub retired: Option<Born>,
    /// Whether its VM is being emptied for a move or for upkeep.
    pub reserved: bool,
}

/// Room that one task takes on a runner.
#[derive(Clone, Copy, Debug)]
pub struct Taken {
    need: Need,
    serves: bool,
    fills: bool,
}

impl Worker {
    /// Counts a task as placed on the runner.
    pub fn add(&mut self, task: Task, step: &Step) {
        let (need, fills) = (step.counted(), step.filler);
        let serves = !fills && !step.latency_target.is_zero();
        self.used = self.used.plus(&need);
        self.serving += u32::from(serves);
        self.filling += u32::from(fills);
        self.tasks.insert(task, Taken { need, serves, fills });
    }

    /// Frees the room of a task.
    pub fn remove(&mut self, now: Instant, task: &Task) {
        let Some(Taken { need, serves, fills }) = self.tasks.swap_remove(task) else { return };
        self.used = self.used.minus(&need);
        self.serving -= u32::from(serves);
        self.filling -= u32::from(fills);
        if self.tasks.is_empty() {
            self.empty_since = now;
        }
    }

    /// Record of a runner that this owner learns of at `now`; tasks may run on it until `lapse`.
    pub fn new(entry: Option<Entry>, now: Instant, lapse: Instant) -> Self {
        Self {
            listed: entry.is_some(),
            absent: now,
            born: entry.as_ref().and_then(|entry| entry.born),
            registration: entry,
            clock: None,
            used: Need::default(),
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

    /// Number of tasks on it that belong to the step and occurrence of `task`.
    pub fn siblings(&self, task: &Task) -> usize {
        let same = |other: &&Task| Task { index: task.index, ..**other } == *task;
        self.tasks.keys().filter(same).count()
    }

    /// Whether a task may be started on it.
    pub fn can_start(&self) -> bool {
        let ready = self.registration.as_ref().is_some_and(|entry| !entry.draining);
        ready && self.listed && self.held && self.failing.is_none() && !self.reserved
    }

    /// Whether tasks may be placed on it at `now`.
    pub fn takes_tasks(&self, now: Instant) -> bool {
        self.can_start() && self.shunned.is_none_or(|until| until <= now)
    }

    /// Whether a registration is of an incarnation that has ended.
    fn ignores(&self, entry: &Entry) -> bool {
        self.retired.is_some_and(|retired| entry.born.is_none_or(|born| born <= retired))
    }

    /// Marks the current incarnation as ended for certain.
    pub fn retire(&mut self, now: Instant) {
        let born = self.born.or(self.registration.as_ref().and_then(|entry| entry.born));
        self.renew(None, now);
        self.retired = Some(born.unwrap_or_default());
        self.listed = false;
        self.absent = now;
        self.registration = None;
    }

    /// Whether it is shutting down and takes no more tasks.
    pub fn draining(&self) -> bool {
        self.registration.as_ref().is_some_and(|entry| entry.draining)
    }

    /// Free room.
    pub fn free(&self) -> Need {
        self.registration.as_ref().map_or_else(Need::default, |entry| entry.room.minus(&self.used))
    }

    /// Availability zone, or empty if unknown.
    pub fn zone(&self) -> &str {
        self.registration.as_ref().map_or("", |entry| &entry.zone)
    }

    /// Rack of its VM, or empty if unknown.
    pub fn rack(&self) -> &str {
        self.registration.as_ref().map_or("", |entry| &entry.rack)
    }

    /// Labels; the kind of the VM and its rack are among them.
    pub fn labels(&self) -> &[String] {
        self.registration.as_ref().map_or(&[], |entry| &entry.labels)
    }

    /// Extends the lease by [`LEASE`] from `now`. Returns its end on the runner's clock, or none if
    /// that clock is not known. Since that clock may run slow, [`Worker::lapse`] allows for the
    /// error in the lease and in the time since the clock was read.
    pub fn grant(&mut self, now: Instant) -> Option<u64> {
        let (at, clock_ms) = self.clock?;
        let elapsed = now.saturating_duration_since(at);
        let until_ms = clock_ms + (elapsed + LEASE).as_millis() as u64;
        let most = (LEASE + elapsed.mul_f64(CLOCK_ERROR)).mul_f64(1.0 + CLOCK_ERROR);
        self.lapse = self.lapse.max(now + most + LAPSE_MARGIN);
        Some(until_ms)
    }

    /// Resets all state that belongs to one incarnation, for a new one.
    pub fn renew(&mut self, born: Option<Born>, now: Instant) {
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
    /// Takes in that the store lists a runner as `entry`, or no longer lists it.
    pub fn update_registration(&mut self, now: Instant, id: &str, entry: Option<Entry>) {
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
                let reborn =
                    entry.born.is_some() && worker.born.is_some_and(|b| entry.born > Some(b));
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
                let born = entry.born;
                worker.born = worker.born.or(born);
                worker.registration = Some(entry);
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

    /// Removes runners of a VM that are older than its runner `id`: they have ended.
    fn end_former_lives(&mut self, now: Instant, id: &str, vm: &str) {
        if vm.is_empty() {
            return;
        }
        let Some(born) = self.workers.get(id).and_then(|worker| worker.born) else { return };
        let former = |(other, worker): (&RunnerId, &Worker)| {
            let entry = worker.registration.as_ref()?;
            let older = worker.born.is_some_and(|other_born| other_born < born);
            (entry.vm == vm && older).then(|| Rc::clone(other))
        };
        let former: Vec<_> = self.workers.iter().filter_map(former).collect();
        for other in former {
            self.lose_all(now, &other, "its VM has a newer runner");
            self.workers.swap_remove(&other);
        }
    }

    /// Handles a runner that has restarted under the same name: everything on it has ended.
    pub(super) fn reborn(&mut self, now: Instant, id: &str, born: Option<Born>) {
        self.lose_all(now, id, "it has started again");
        if let Some(worker) = self.workers.get_mut(id) {
            worker.renew(born, now);
        }
    }

    /// Takes the tasks of unreachable runners whose leases have lapsed for lost, and removes
    /// runners that are gone.
    pub(super) fn expire_leases(&mut self, now: Instant) {
        let lapsed = |worker: &Worker| {
            let silent = worker.failing.is_some() || worker.registration.is_none();
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
