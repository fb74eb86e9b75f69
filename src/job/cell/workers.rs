//! Workers: the owner's records of runners.
//!
//! A runner is the process on a VM that runs tasks. Its [`Worker`] holds its registration, its
//! lease, which of its ends have been processed, and the room that tasks take on it.

use {
    super::{account::Amount, crash::Loss, lease::Lease, pace},
    crate::job::{
        access::Name,
        runner::{EndNumber, Fence, Incarnation, Registration},
        spec::{self, Resources, Step, Task},
    },
    indexmap::IndexMap,
    log::info,
    std::{
        collections::VecDeque,
        time::{Duration, Instant},
    },
};

/// Time by which a lease must be longer than it was reckoned for a log line to tell so.
const LONGER_LEASE: Duration = Duration::from_secs(1);

/// The owner's record of one runner. A task counts as running there until the runner has reported
/// its end, the runner has certainly ended, or its lease has expired.
#[derive(Clone, Debug)]
pub struct Worker {
    /// Registration; none if only the ledger names the runner, or once it has ended.
    pub registration: Option<Registration>,
    /// Whether the store lists it.
    pub listed: bool,
    /// Since when the store has not listed it; only valid if it does not.
    pub absent_since: Instant,
    /// Incarnation of the runner's process, if known: the one that answered last, or that registered if
    /// none did.
    pub incarnation: Option<Incarnation>,
    /// Room that its tasks take.
    pub used: Resources,
    /// The part of it that endless tasks take, which are not expected to end.
    pub used_by_endless: Resources,
    /// Tasks that are on it or may be.
    pub tasks: IndexMap<Task, Reservation>,
    /// Number of tasks on it with a latency objective.
    pub objective_tasks: u32,
    /// Number of fillers on it: tasks that use only CPU time that others leave.
    pub fillers: u32,
    /// Job whose tasks run in isolation on it: no others start there.
    pub isolated_for: Option<spec::Id>,
    /// CPU share of the fillers, in percent.
    pub pace: u32,
    /// When that share last changed.
    pub pace_changed: Instant,
    /// Since when it has had no task.
    pub empty_since: Instant,
    /// Fencing token of the calls to it. After a restart it is higher, if there is a higher one, so that the
    /// new incarnation rejects late calls to the former one.
    pub fence: Fence,
    /// Whether it has accepted that fence by answering a poll.
    pub fence_accepted: bool,
    /// When a registration or the clock of an answer has shown that another incarnation may run, which the
    /// next report has to confirm.
    pub restart_noticed: Option<Instant>,
    /// Time at which its incarnation was certainly running: when the newest call was sent that it answered.
    pub alive_at: Option<Instant>,
    /// The outstanding poll.
    pub poll_sent: Option<SentPoll>,
    /// Since when a poll is deferred.
    pub poll_deferred: Option<Instant>,
    /// When a poll is due at the latest; most polls follow directly on the answer to the one
    /// before.
    pub next_poll: Instant,
    /// Until when no poll follows directly on the answer to the one before.
    pub polls_paused_until: Option<Instant>,
    /// Leases that it may hold.
    pub lease: Lease,
    /// Whether this owner has read all ends of its incarnation from the processed one on; a former owner may
    /// have had it discard others before.
    pub ends_followed: bool,
    /// Newest end that was processed.
    pub processed_end: EndNumber,
    /// Newest end that the ledger has stored, so that the runner may discard it.
    pub stored_end: EndNumber,
    /// Newest end that was acknowledged to the runner.
    pub acknowledged_end: EndNumber,
    /// Number of reports whose ends the ledger has not stored yet.
    pub unstored_reports: u32,
    /// Since when calls to it have failed.
    pub unresponsive_since: Option<Instant>,
    /// When a call to it last remained without an answer.
    pub last_call_lost: Option<Instant>,
    /// Whether the platform lists another runner for its VM, or none.
    pub replaced: bool,
    /// When the starts were sent that it has not answered yet, oldest first.
    pub unanswered_starts: VecDeque<Instant>,
    /// Runs that were lost while it was silent, until it is known whether it has ended.
    pub losses: Vec<Loss>,
    /// Until when it is quarantined: nothing is started on it.
    pub quarantined_until: Option<Instant>,
    /// Number of runs that have failed on it since one was done there.
    pub consecutive_failures: u32,
    /// Incarnation that has certainly ended. Registrations of it that still arrive are ignored.
    pub ended_incarnation: Option<Incarnation>,
    /// Whether its VM is being drained for a move or for maintenance.
    pub vm_draining: bool,
}

/// A poll whose answer is outstanding.
#[derive(Clone, Copy, Debug)]
pub struct SentPoll {
    /// When it was sent.
    pub at: Instant,
    /// Fencing token that it carries.
    pub fence: Fence,
    /// Time for which the runner waits for an end.
    pub wait: Duration,
    /// Whether it extends the lease.
    pub extends: bool,
}

/// Room that one task takes on a runner.
#[derive(Clone, Debug)]
pub struct Reservation {
    need: Resources,
    has_objective: bool,
    is_filler: bool,
    is_endless: bool,
    /// Whether the task runs in isolation.
    isolated: bool,
    /// What is charged to which organisation for it.
    charge: Option<(Name, Amount)>,
}

impl Worker {
    /// Counts a task as placed on the runner. Its end releases `charge`.
    pub(super) fn add(
        &mut self,
        task: Task,
        step: &Step,
        isolated: bool,
        charge: Option<(Name, Amount)>,
    ) {
        let (need, is_filler) = (step.reserved(), step.filler);
        let has_objective = !is_filler && !step.latency_target.is_zero();
        self.used = self.used.plus(&need);
        if step.endless {
            self.used_by_endless = self.used_by_endless.plus(&need);
        }
        self.objective_tasks += u32::from(has_objective);
        self.fillers += u32::from(is_filler);
        if isolated {
            self.isolated_for = Some(task.job);
        }
        let is_endless = step.endless;
        let reservation =
            Reservation { need, has_objective, is_filler, is_endless, isolated, charge };
        self.tasks.insert(task, reservation);
    }

    /// Frees the room of a task; returns what was charged to which organisation for it.
    pub(super) fn remove(&mut self, now: Instant, task: &Task) -> Option<(Name, Amount)> {
        self.end_isolation(task);
        let Reservation { need, has_objective, is_filler, is_endless, charge, .. } =
            self.tasks.swap_remove(task)?;
        self.used = self.used.minus(&need);
        if is_endless {
            self.used_by_endless = self.used_by_endless.minus(&need);
        }
        self.objective_tasks -= u32::from(has_objective);
        self.fillers -= u32::from(is_filler);
        if self.tasks.is_empty() {
            self.empty_since = now;
        }
        charge
    }

    /// Ends the isolation of a task on the runner. The runner stays closed to others while further tasks
    /// run there in isolation.
    pub(super) fn end_isolation(&mut self, task: &Task) {
        let Some(reservation) = self.tasks.get_mut(task) else { return };
        if std::mem::take(&mut reservation.isolated) {
            let isolated =
                |(task, other): (&Task, &Reservation)| other.isolated.then_some(task.job);
            self.isolated_for = self.tasks.iter().find_map(isolated);
        }
    }

    /// Record of a runner that this owner learns of at `now`.
    pub fn new(
        registration: Option<Registration>,
        now: Instant,
        lease: Lease,
        fence: Fence,
    ) -> Self {
        Self {
            listed: registration.is_some(),
            absent_since: now,
            incarnation: registration.as_ref().and_then(|registration| registration.incarnation),
            registration,
            used: Resources::default(),
            used_by_endless: Resources::default(),
            tasks: IndexMap::new(),
            objective_tasks: 0,
            fillers: 0,
            isolated_for: None,
            pace: pace::FULL_SHARE,
            pace_changed: now,
            empty_since: now,
            fence,
            fence_accepted: false,
            restart_noticed: None,
            alive_at: None,
            poll_sent: None,
            poll_deferred: None,
            next_poll: now,
            polls_paused_until: None,
            lease,
            ends_followed: false,
            processed_end: 0,
            stored_end: 0,
            acknowledged_end: 0,
            unstored_reports: 0,
            unresponsive_since: None,
            last_call_lost: None,
            replaced: false,
            unanswered_starts: VecDeque::new(),
            losses: Vec::new(),
            quarantined_until: None,
            consecutive_failures: 0,
            ended_incarnation: None,
            vm_draining: false,
        }
    }

    /// Number of tasks on it that belong to the step and occurrence of `task`.
    pub fn count_siblings(&self, task: &Task) -> usize {
        let same = |other: &&Task| Task { index: task.index, ..**other } == *task;
        self.tasks.keys().filter(same).count()
    }

    /// Whether a task that was placed on it may be started.
    pub fn can_start(&self) -> bool {
        let ready = self.registration.as_ref().is_some_and(|registration| !registration.draining);
        let answers = self.fence_accepted && self.unresponsive_since.is_none();
        ready && self.listed && answers && self.restart_noticed.is_none()
    }

    /// Whether tasks may be placed on it at `now`.
    pub fn accepts_tasks(&self, now: Instant) -> bool {
        let quarantined = self.quarantined_until.is_some_and(|until| now < until);
        self.can_start() && !self.vm_draining && !quarantined
    }

    /// Whether a call to it has remained without an answer in the last `period` before `now`.
    pub fn has_lost_call_since(&self, now: Instant, period: Duration) -> bool {
        self.last_call_lost.is_some_and(|at| now.saturating_duration_since(at) < period)
    }

    /// Whether it is shutting down and takes no more tasks.
    pub fn is_draining(&self) -> bool {
        self.registration.as_ref().is_some_and(|registration| registration.draining)
    }

    /// Whether tasks of another job run in isolation on it, so that `task` may not start there.
    pub fn is_isolated_from(&self, task: &Task) -> bool {
        self.isolated_for.is_some_and(|job| job != task.job)
    }

    /// Whole room; none if it is not registered.
    pub fn room(&self) -> Resources {
        self.registration.as_ref().map(|registration| registration.room).unwrap_or_default()
    }

    /// Room that is free once all tasks on it have ended that are expected to.
    pub fn reservable(&self) -> Resources {
        self.room().minus(&self.used_by_endless)
    }

    /// Free room.
    pub fn free(&self) -> Resources {
        self.room().minus(&self.used)
    }

    /// Availability zone, or empty if unknown.
    pub fn zone(&self) -> &str {
        self.registration.as_ref().map_or("", |registration| &registration.zone)
    }

    /// Service, or empty if unknown.
    pub fn service(&self) -> &str {
        self.registration.as_ref().map_or("", |registration| &registration.service)
    }

    /// Its VM, or empty if unknown.
    pub fn vm(&self) -> &str {
        self.registration.as_ref().map_or("", |registration| &registration.vm)
    }

    /// Rack of its VM, or empty if unknown.
    pub fn rack(&self) -> &str {
        self.registration.as_ref().map_or("", |registration| &registration.rack)
    }

    /// Labels; the kind of the VM and its rack are among them.
    pub fn labels(&self) -> &[String] {
        self.registration.as_ref().map_or(&[], |registration| &registration.labels)
    }

    /// Records the runner's clock, as an answer that arrived at `now` shows it.
    pub(super) fn observe_clock(&mut self, now: Instant, id: &str, clock_ms: u64) {
        let later = self.lease.observe(now, clock_ms);
        if later >= LONGER_LEASE && !self.tasks.is_empty() {
            info!("runner: id={id} clock_ms={clock_ms} lease_longer_by_ms={}", later.as_millis());
        }
    }
}
