//! Controller: drives waves and moves, and reports the health of VMs to the state machine.
//!
//! Every entry runs a controller, but only the one whose entry holds the control lease acts. Its
//! decisions are a pure function of the state, the platform's list of VMs and the observed progress
//! of platform actions; it returns records to append and calls to the platform. It keeps no state
//! that must survive: after a takeover the next controller finds in the state which VMs are in
//! maintenance, and the names of the platform actions follow from the state.
//!
//! Two controllers at the same time do no harm. Records are fenced by the epoch of the lease. A
//! reboot has the same idempotency key whoever requests it, its progress is read before it is
//! repeated, and its VM stays drained until that reboot has ended. After a pause of the process the
//! clock shows that the lease has expired, and the controller does nothing before it has acquired
//! the lease again.

mod order;

use {
    self::order::{first_within_budget, take_order},
    crate::{
        fleet::Wave,
        id::{EntryId, Incarnation, OperationId, VmId, WaveId},
        lease::CONTROL,
        platform::{self, Health, List, Progress},
        record::{Body, Record, Step},
        state::{State, Verdict},
        wave::{self, Run, Taken},
    },
    indexmap::{IndexMap, IndexSet},
    std::time::Duration,
};

/// Duration for which the control lease is acquired or renewed.
pub const LEASE_TERM: Duration = Duration::from_secs(30);
/// Remaining time of the lease below which the controller does not act any more.
pub const LEASE_MARGIN: Duration = Duration::from_secs(5);
/// Remaining time of the lease below which it is renewed.
pub const RENEW_BELOW: Duration = Duration::from_secs(20);
/// Delay between two entries that try to acquire an expired lease, so that they do not race.
pub const ACQUIRE_STAGGER: Duration = Duration::from_millis(500);
/// Time after which an action whose effect is not visible is repeated.
pub const RESEND_INTERVAL: Duration = Duration::from_secs(2);
/// Time after which a rejected record is appended again, as a new operation.
pub const RETRY_DELAY: Duration = Duration::from_secs(30);
/// Time since a wave took a VM after which the VM counts as failed if its reboot has ended but it
/// is not live.
pub const REBOOT_TIMEOUT: Duration = Duration::from_secs(1800);
/// Maximum number of lost VMs, and of found ones, in one health record.
pub const MAX_HEALTH_VMS: usize = 1000;

/// Progress of a platform action as last observed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Observation {
    /// Progress; `None` if the action was never started.
    pub progress: Option<Progress>,
    /// Time of the observation, since the Unix epoch.
    pub at: Duration,
}

/// Input of a controller.
#[derive(Clone, Copy)]
pub struct View<'a> {
    /// State of the fleet.
    pub state: &'a State,
    /// The platform's newest list of VMs; `None` if none was read yet.
    pub list: Option<&'a List>,
    /// Observed progress of platform actions.
    pub operations: &'a IndexMap<OperationId, Observation>,
    /// Current time since the Unix epoch.
    pub now: Duration,
}

/// Output of a controller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Append a record to the fleet's stream, with its operation as idempotency key.
    Append(Box<Record>),
    /// Request the reboot of a VM from the platform.
    Reboot {
        /// The VM.
        vm: VmId,
        /// Idempotency key of the action.
        operation: OperationId,
    },
    /// Read the progress of an action from the platform.
    Read {
        /// Idempotency key of the action.
        operation: OperationId,
    },
}

/// When an action was last attempted, and how many times under a new operation id.
#[derive(Clone, Copy, Debug)]
struct Attempt {
    at: Duration,
    round: u32,
}

/// Decides what the holder of the control lease does for the whole fleet.
#[derive(Clone, Debug)]
pub struct Controller {
    entry: EntryId,
    incarnation: Incarnation,
    attempts: IndexMap<String, Attempt>,
}

/// Actions of one tick, the pools in which it starts a drain, and the platform's list by VM.
#[derive(Default)]
struct Plan<'a> {
    actions: Vec<Action>,
    draining_pools: IndexSet<&'a str>,
    listed: IndexMap<&'a str, &'a platform::Vm>,
}

impl Controller {
    /// Creates the controller of an entry.
    pub fn new(entry: EntryId, incarnation: Incarnation) -> Self {
        Self { entry, incarnation, attempts: IndexMap::new() }
    }

    /// Returns the actions to take now; call it about every second.
    pub fn tick(&mut self, view: View<'_>) -> Vec<Action> {
        let mut plan = Plan::default();
        self.attempts.retain(|_, attempt| view.now.saturating_sub(attempt.at) < 2 * RETRY_DELAY);
        if self.hold_lease(view, &mut plan) {
            let listed = view.list.iter().flat_map(|l| &l.vms).map(|vm| (vm.id.as_str(), vm));
            plan.listed = listed.collect();
            self.report_health(view, &mut plan);
            self.advance_moves(view, &mut plan);
            self.advance_waves(view, &mut plan);
        }
        plan.actions
    }

    /// Renews or acquires the lease; returns whether the entry may act.
    fn hold_lease(&mut self, view: View<'_>, plan: &mut Plan<'_>) -> bool {
        let View { state, now, .. } = view;
        let (lease, epoch) = (CONTROL.to_owned(), state.epoch(CONTROL));
        if !state.holds(CONTROL, &self.entry, self.incarnation, now) {
            if self.may_acquire(view) {
                let (entry, incarnation) = (self.entry.clone(), self.incarnation);
                let body = Body::Acquire { lease, entry, incarnation, epoch, term: LEASE_TERM };
                self.append(view, plan, "acquire", body);
            }
            return false;
        }
        let until = state.leases.get(CONTROL).map_or(Duration::ZERO, |l| l.until);
        if until < now + RENEW_BELOW {
            let key = format!("renew/{}", until.as_millis());
            self.append(view, plan, &key, Body::Renew { lease, epoch, term: LEASE_TERM });
        }
        now + LEASE_MARGIN < until
    }

    /// Whether this entry may try to acquire the lease: it is free, or it has expired and the
    /// entries before this one in the member list have had time to acquire it.
    fn may_acquire(&self, view: View<'_>) -> bool {
        let View { state, now, .. } = view;
        if state.check_member(&self.entry, self.incarnation).is_err() {
            return false;
        }
        let Some(lease) = state.leases.get(CONTROL) else { return true };
        let is_member = |holder: &EntryId| state.check_member(holder, lease.incarnation).is_ok();
        if lease.holder.as_ref().is_none_or(|holder| !is_member(holder)) {
            return true;
        }
        let rank = state.members.get_index_of(&self.entry).unwrap_or(0) as u32;
        now >= lease.until.saturating_add(ACQUIRE_STAGGER * rank)
    }

    /// Appends a record whose operation id is derived from the epoch and `key`. It is appended
    /// once, and again only after [`RESEND_INTERVAL`] without a verdict, or after [`RETRY_DELAY`]
    /// if it was rejected. A record that has a verdict gets a new operation id, since the old one
    /// would change nothing.
    fn append(&mut self, view: View<'_>, plan: &mut Plan<'_>, key: &str, body: Body) {
        let View { state, now, .. } = view;
        let epoch = state.epoch(CONTROL);
        let key = format!("control/{}/{}/{epoch}/{key}", self.entry, self.incarnation);
        let name = |round: u32| format!("{key}/{round}");
        let mut round = 0;
        if let Some(attempt) = self.attempts.get(&key) {
            let verdict = state.verdicts.get(&name(attempt.round)).map(|(_, verdict)| verdict);
            let wait = if matches!(verdict, Some(Verdict::Rejected(_))) {
                RETRY_DELAY
            } else {
                RESEND_INTERVAL
            };
            if now < attempt.at + wait {
                return;
            }
            round = attempt.round + u32::from(verdict.is_some());
        }
        let operation = name(round);
        self.attempts.insert(key, Attempt { at: now, round });
        let author = self.entry.clone();
        plan.actions.push(Action::Append(Box::new(Record { operation, author, at: now, body })));
    }

    /// Appends a record that is fenced by the current epoch of the control lease.
    fn append_fenced(&mut self, view: View<'_>, plan: &mut Plan<'_>, key: &str, body: Body) {
        let (lease, epoch) = (CONTROL.to_owned(), view.state.epoch(CONTROL));
        self.append(view, plan, key, Body::Fenced { lease, epoch, body: Box::new(body) });
    }

    /// Reports VMs that are no longer running, or are running again, according to the platform's
    /// list.
    fn report_health(&mut self, view: View<'_>, plan: &mut Plan<'_>) {
        let (state, Some(list)) = (view.state, view.list) else { return };
        let as_of = Duration::from_millis(list.as_of_ms);
        if as_of <= state.listed || list.vms.is_empty() {
            return;
        }
        let runs = |vm: &VmId| {
            let health = plan.listed.get(vm.as_str()).map(|listed| listed.health);
            matches!(health, Some(Health::Live | Health::Leaving))
        };
        let newly_lost = |vm: &&VmId| {
            !runs(vm) && !state.lost.contains_key(*vm) && state.wave_hold(vm).is_none()
        };
        let lost: Vec<_> =
            state.declaration.vms.keys().filter(newly_lost).take(MAX_HEALTH_VMS).cloned().collect();
        let found: Vec<_> =
            state.lost.keys().filter(|vm| runs(vm)).take(MAX_HEALTH_VMS).cloned().collect();
        if !lost.is_empty() || !found.is_empty() {
            let key = format!("health/{}", list.as_of_ms);
            self.append_fenced(view, plan, &key, Body::Health { as_of, lost, found });
        }
    }

    /// Drains VMs with a pending move and completes the moves of those that are empty. At most one
    /// VM per pool is drained in a tick, since the budgets are checked against the state before it.
    fn advance_moves<'a>(&mut self, view: View<'a>, plan: &mut Plan<'a>) {
        let state = view.state;
        for vm in state.moves.keys() {
            let Some(found) = state.declaration.vms.get(vm) else { continue };
            match state.drains.get(vm) {
                _ if state.wave_hold(vm).is_some() => {}
                Some(drain) if drain.waiting.is_empty() => {
                    let (vm, drain) = (vm.clone(), drain.since);
                    let key = format!("moved/{vm}/{drain}");
                    self.append_fenced(view, plan, &key, Body::Moved { vm, drain });
                }
                Some(_) => {}
                None => {
                    if state.check_budget(vm, found).is_ok()
                        && plan.draining_pools.insert(&found.pool)
                    {
                        let key = format!("drain/{vm}/{}", state.moves[vm].since);
                        self.append_fenced(view, plan, &key, Body::Drain { vm: vm.clone() });
                    }
                }
            }
        }
    }

    /// Advances the VMs in maintenance of all running waves, and takes further VMs.
    fn advance_waves<'a>(&mut self, view: View<'a>, plan: &mut Plan<'a>) {
        let state = view.state;
        for (wave, run) in state.waves.iter().filter(|(_, run)| run.ended.is_none()) {
            for (vm, taken) in &run.active {
                self.advance_vm(view, plan, (wave, run), vm, taken);
            }
            let Some(declared) = state.declaration.waves.get(wave) else { continue };
            let below_maximum = run.active.len() < declared.max_at_once as usize;
            if below_maximum
                && run.paused.is_none()
                && !run.cancelled
                && !plan.draining_pools.contains(declared.pool.as_str())
            {
                self.take_next(view, plan, (wave, run), declared);
            }
        }
    }

    /// Takes the next VM of a wave, if the availability budgets allow it.
    fn take_next<'a>(
        &mut self,
        view: View<'a>,
        plan: &mut Plan<'a>,
        (wave, run): (&'a WaveId, &'a Run),
        declared: &'a Wave,
    ) {
        let state = view.state;
        let listed = |vm: &VmId| {
            let found = plan.listed.get(vm.as_str()).copied();
            found.filter(|l| l.health == Health::Live)
        };
        let available = |vm: &VmId| !state.lost.contains_key(vm) && state.wave_hold(vm).is_none();
        let ready = state.remaining_vms(declared, run).filter(|(id, _)| available(id));
        let mut ready: Vec<_> = ready.filter_map(|(id, vm)| Some((id, vm, listed(id)?))).collect();
        ready.sort_unstable_by_key(|(id, vm, _)| take_order(state, id, vm));
        let Some((vm, found)) = first_within_budget(state, &ready) else { return };
        plan.draining_pools.insert(&declared.pool);
        let step = Step::Take { boots: found.boots };
        let key = format!("take/{wave}/{}/{vm}", run.began);
        self.append_step(view, plan, &key, (wave, run), vm, step);
    }

    /// Appends a step of a wave.
    fn append_step(
        &mut self,
        view: View<'_>,
        plan: &mut Plan<'_>,
        key: &str,
        (wave, run): (&WaveId, &Run),
        vm: &VmId,
        step: Step,
    ) {
        let body = Body::Step { wave: wave.clone(), run: run.began, vm: vm.clone(), step };
        self.append_fenced(view, plan, key, body);
    }

    /// Reboots a VM once it is empty, and ends its maintenance once the reboot has ended.
    fn advance_vm(
        &mut self,
        view: View<'_>,
        plan: &mut Plan<'_>,
        run: (&WaveId, &Run),
        vm: &VmId,
        taken: &Taken,
    ) {
        if view.state.drains.get(vm).is_none_or(|drain| !drain.waiting.is_empty()) {
            return;
        }
        let operation = wave::reboot_operation(run.0, taken, vm);
        let observed = view.operations.get(&operation);
        let ended = match observed.map(|o| o.progress) {
            Some(Some(Progress::Failed)) => Some(failed_step("the platform's reboot failed")),
            Some(Some(Progress::Done)) => final_step(view, plan, vm, taken),
            _ => {
                self.reboot(view, plan, vm, operation, observed);
                None
            }
        };
        if let Some(step) = ended {
            let key = format!("end/{}/{}/{vm}", run.0, taken.since);
            self.append_step(view, plan, &key, run, vm, step);
        }
    }

    /// Requests a reboot if the platform has just confirmed that it was never started, and
    /// otherwise reads its progress.
    fn reboot(
        &mut self,
        view: View<'_>,
        plan: &mut Plan<'_>,
        vm: &VmId,
        operation: OperationId,
        observed: Option<&Observation>,
    ) {
        let now = view.now;
        let requested = self.attempts.get(&operation).map(|attempt| attempt.at);
        let recent = observed.filter(|o| now.saturating_sub(o.at) < RESEND_INTERVAL);
        if recent.is_some_and(|o| o.progress.is_none() && requested.is_none_or(|at| at < o.at)) {
            self.attempts.insert(operation.clone(), Attempt { at: now, round: 0 });
            plan.actions.push(Action::Reboot { vm: vm.clone(), operation });
            return;
        }
        let key = format!("read/{operation}");
        if self.attempts.get(&key).is_none_or(|attempt| now >= attempt.at + RESEND_INTERVAL) {
            self.attempts.insert(key, Attempt { at: now, round: 0 });
            plan.actions.push(Action::Read { operation });
        }
    }
}

/// Final step for a VM whose reboot has ended; `None` while it may still become live.
fn final_step(view: View<'_>, plan: &Plan<'_>, vm: &VmId, taken: &Taken) -> Option<Step> {
    let live = plan.listed.get(vm.as_str()).filter(|l| l.health == Health::Live);
    if live.is_some_and(|listed| listed.boots > taken.boots) {
        return Some(Step::Done);
    }
    let late = view.now > taken.at + REBOOT_TIMEOUT;
    late.then(|| failed_step("it was not live 30 min after the wave took it"))
}

fn failed_step(why: &str) -> Step {
    Step::Failed { why: why.into() }
}
