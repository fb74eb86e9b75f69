//! The entry in charge of waves, moves and the platform's word on VMs.
//!
//! Every entry runs a controller; only the one whose entry holds the control lease acts. It is a
//! pure decision: it reads the state, the platform's list and what is known of the platform's
//! actions, and returns what to append and what to ask. It keeps nothing that matters: a controller
//! that takes over finds in the state which VMs are held and what was asked of the platform, since
//! the names of the platform's actions follow from the state.
//!
//! Two controllers at once are harmless. Records are fenced by the epoch of the lease; a reboot has
//! the same name whoever asks, its progress is read before it is repeated, and its VM stays drained
//! until that reboot has ended. After a pause the clock shows that the lease has run out, and the
//! controller does nothing before it has acquired the lease again.

use {
    crate::{
        fleet::{Vm, Wave},
        id::{EntryId, Incarnation, OperationId, VmId, WaveId},
        lease::CONTROL,
        platform::{self, Health, List, Progress},
        record::{Body, Record, Step},
        state::{Reason, State, Verdict},
        wave::{self, Run, Taken},
    },
    indexmap::{IndexMap, IndexSet},
    std::time::Duration,
};

/// Time for which the control lease is asked.
pub const TERM: Duration = Duration::from_secs(30);
/// Time left on the lease below which the controller does not act.
pub const MARGIN: Duration = Duration::from_secs(5);
/// Time left on the lease below which it is renewed.
pub const RENEW: Duration = Duration::from_secs(20);
/// Wait of each entry behind the one before it when the lease is free.
pub const STAGGER: Duration = Duration::from_millis(500);
/// Time after which an action without a visible effect is repeated.
pub const RESEND: Duration = Duration::from_secs(2);
/// Time after which a rejected record is asked for anew.
pub const RETRY: Duration = Duration::from_secs(30);
/// Time after which a VM whose reboot ended, but that is not live, counts as failed.
pub const REBOOT_LIMIT: Duration = Duration::from_secs(1800);
/// VMs named in one record on health.
pub const MAX_HEALTH: usize = 1000;

/// What the platform last said of an action.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Known {
    /// How far it is; none if it was never begun.
    pub progress: Option<Progress>,
    /// When the platform said so, since the Unix epoch.
    pub at: Duration,
}

/// What a controller sees.
#[derive(Clone, Copy)]
pub struct View<'a> {
    /// State of the fleet.
    pub state: &'a State,
    /// The platform's newest list; none if there is none yet.
    pub list: Option<&'a List>,
    /// What is known of the platform's actions.
    pub operations: &'a IndexMap<OperationId, Known>,
    /// Time since the Unix epoch.
    pub now: Duration,
}

/// What a controller wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Append a record to the fleet's stream under the name of its operation.
    Append(Box<Record>),
    /// Ask the platform to reboot a VM.
    Reboot {
        /// The VM.
        vm: VmId,
        /// Name of the action.
        operation: OperationId,
    },
    /// Ask the platform how far an action is.
    Read {
        /// Name of the action.
        operation: OperationId,
    },
}

/// When something was last asked for, and how many times anew.
#[derive(Clone, Copy, Debug)]
struct Asked {
    at: Duration,
    round: u32,
}

/// Decides what an entry does for the whole fleet.
#[derive(Clone, Debug)]
pub struct Controller {
    entry: EntryId,
    incarnation: Incarnation,
    asked: IndexMap<String, Asked>,
}

/// Actions of one tick, and the pools that already have a drain on its way.
#[derive(Default)]
struct Plan<'a> {
    actions: Vec<Action>,
    busy: IndexSet<&'a str>,
    listed: IndexMap<&'a str, &'a platform::Vm>,
}

impl Controller {
    /// Creates the controller of an entry.
    pub fn new(entry: EntryId, incarnation: Incarnation) -> Self {
        Self { entry, incarnation, asked: IndexMap::new() }
    }

    /// Returns what to do now; to be called about every second.
    pub fn tick(&mut self, view: View<'_>) -> Vec<Action> {
        let mut plan = Plan::default();
        self.asked.retain(|_, asked| view.now.saturating_sub(asked.at) < 2 * RETRY);
        if self.lead(view, &mut plan) {
            let listed = view.list.iter().flat_map(|l| &l.vms).map(|vm| (vm.id.as_str(), vm));
            plan.listed = listed.collect();
            self.report(view, &mut plan);
            self.advance_moves(view, &mut plan);
            self.advance_waves(view, &mut plan);
        }
        plan.actions
    }

    /// Keeps or seeks the lease; whether the entry may act.
    fn lead(&mut self, view: View<'_>, plan: &mut Plan<'_>) -> bool {
        let View { state, now, .. } = view;
        let (lease, epoch) = (CONTROL.to_owned(), state.epoch(CONTROL));
        if !state.holds(CONTROL, &self.entry, self.incarnation, now) {
            if self.may_seek(view) {
                let (entry, incarnation) = (self.entry.clone(), self.incarnation);
                let body = Body::Acquire { lease, entry, incarnation, epoch, term: TERM };
                self.append(view, plan, "acquire", body);
            }
            return false;
        }
        let until = state.leases.get(CONTROL).map_or(Duration::ZERO, |l| l.until);
        if until < now + RENEW {
            let key = format!("renew/{}", until.as_millis());
            self.append(view, plan, &key, Body::Renew { lease, epoch, term: TERM });
        }
        now + MARGIN < until
    }

    /// Whether the lease is free and the entries before this one have had their turn.
    fn may_seek(&self, view: View<'_>) -> bool {
        let View { state, now, .. } = view;
        if state.serving(&self.entry, self.incarnation).is_err() {
            return false;
        }
        let Some(lease) = state.leases.get(CONTROL) else { return true };
        let serves = |holder: &EntryId| state.serving(holder, lease.incarnation).is_ok();
        if lease.holder.as_ref().is_none_or(|holder| !serves(holder)) {
            return true;
        }
        let rank = state.members.get_index_of(&self.entry).unwrap_or(0) as u32;
        now >= lease.until.saturating_add(STAGGER * rank)
    }

    /// Appends a record under a name made of the epoch and `key`, once until it is due again.
    fn append(&mut self, view: View<'_>, plan: &mut Plan<'_>, key: &str, body: Body) {
        let View { state, now, .. } = view;
        let epoch = state.epoch(CONTROL);
        let key = format!("control/{}/{}/{epoch}/{key}", self.entry, self.incarnation);
        let name = |round: u32| format!("{key}/{round}");
        let mut round = 0;
        if let Some(asked) = self.asked.get(&key) {
            let verdict = state.verdicts.get(&name(asked.round)).map(|(_, verdict)| verdict);
            let wait = if matches!(verdict, Some(Verdict::Rejected(_))) { RETRY } else { RESEND };
            if now < asked.at + wait {
                return;
            }
            round = asked.round + u32::from(verdict.is_some());
        }
        let operation = name(round);
        self.asked.insert(key, Asked { at: now, round });
        let author = self.entry.clone();
        plan.actions.push(Action::Append(Box::new(Record { operation, author, at: now, body })));
    }

    fn append_fenced(&mut self, view: View<'_>, plan: &mut Plan<'_>, key: &str, body: Body) {
        let (lease, epoch) = (CONTROL.to_owned(), view.state.epoch(CONTROL));
        self.append(view, plan, key, Body::Fenced { lease, epoch, body: Box::new(body) });
    }

    /// Reports VMs that the platform's list shows as not running, or as running again.
    fn report(&mut self, view: View<'_>, plan: &mut Plan<'_>) {
        let (state, Some(list)) = (view.state, view.list) else { return };
        let as_of = Duration::from_millis(list.as_of_ms);
        if as_of <= state.listed || list.vms.is_empty() {
            return;
        }
        let runs = |vm: &VmId| {
            let health = plan.listed.get(vm.as_str()).map(|listed| listed.health);
            matches!(health, Some(Health::Live | Health::Leaving))
        };
        let fails = |vm: &&VmId| {
            !runs(vm) && !state.lost.contains_key(*vm) && state.held_by_wave(vm).is_none()
        };
        let lost: Vec<_> =
            state.declaration.vms.keys().filter(fails).take(MAX_HEALTH).cloned().collect();
        let found: Vec<_> =
            state.lost.keys().filter(|vm| runs(vm)).take(MAX_HEALTH).cloned().collect();
        if !lost.is_empty() || !found.is_empty() {
            let key = format!("health/{}", list.as_of_ms);
            self.append_fenced(view, plan, &key, Body::Health { as_of, lost, found });
        }
    }

    /// Drains VMs with a pending move, and moves those that are empty.
    fn advance_moves<'a>(&mut self, view: View<'a>, plan: &mut Plan<'a>) {
        let state = view.state;
        for vm in state.moves.keys() {
            let Some(found) = state.declaration.vms.get(vm) else { continue };
            match state.drains.get(vm) {
                _ if state.held_by_wave(vm).is_some() => {}
                Some(drain) if drain.waiting.is_empty() => {
                    let (vm, drain) = (vm.clone(), drain.since);
                    let key = format!("moved/{vm}/{drain}");
                    self.append_fenced(view, plan, &key, Body::Moved { vm, drain });
                }
                Some(_) => {}
                None => {
                    if state.afford(vm, found).is_ok() && plan.busy.insert(&found.pool) {
                        let key = format!("drain/{vm}/{}", state.moves[vm].since);
                        self.append_fenced(view, plan, &key, Body::Drain { vm: vm.clone() });
                    }
                }
            }
        }
    }

    fn advance_waves<'a>(&mut self, view: View<'a>, plan: &mut Plan<'a>) {
        let state = view.state;
        for (wave, run) in state.waves.iter().filter(|(_, run)| run.ended.is_none()) {
            for (vm, taken) in &run.active {
                self.advance_vm(view, plan, (wave, run), vm, taken);
            }
            let Some(declared) = state.declaration.waves.get(wave) else { continue };
            let free = run.active.len() < declared.max_at_once as usize;
            if free
                && run.paused.is_none()
                && !run.cancelled
                && !plan.busy.contains(declared.pool.as_str())
            {
                self.take_next(view, plan, (wave, run), declared);
            }
        }
    }

    /// Takes the next VM of a wave, if the budgets allow it.
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
        let free = |vm: &VmId| !state.lost.contains_key(vm) && state.held_by_wave(vm).is_none();
        let ready = state.left(declared, run).filter(|(id, _)| free(id));
        let mut ready: Vec<_> = ready.filter_map(|(id, vm)| Some((id, vm, listed(id)?))).collect();
        ready.sort_unstable_by_key(|(id, vm, _)| rank(state, id, vm));
        let Some((vm, found)) = affordable(state, &ready) else { return };
        plan.busy.insert(&declared.pool);
        let step = Step::Take { boots: found.boots };
        let key = format!("take/{wave}/{}/{vm}", run.began);
        self.append_step(view, plan, &key, (wave, run), vm, step);
    }

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

    /// Reboots an empty VM and ends its maintenance.
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
        let operation = wave::reboot(run.0, taken, vm);
        let known = view.operations.get(&operation);
        let ended = match known.map(|k| k.progress) {
            Some(Some(Progress::Failed)) => Some(failed("the platform's reboot failed")),
            Some(Some(Progress::Done)) => end(view, plan, vm, taken),
            _ => {
                self.reboot(view, plan, vm, operation, known);
                None
            }
        };
        if let Some(step) = ended {
            let key = format!("end/{}/{}/{vm}", run.0, taken.since);
            self.append_step(view, plan, &key, run, vm, step);
        }
    }

    /// Asks for a reboot that was certainly not begun, and else for its progress.
    fn reboot(
        &mut self,
        view: View<'_>,
        plan: &mut Plan<'_>,
        vm: &VmId,
        operation: OperationId,
        known: Option<&Known>,
    ) {
        let now = view.now;
        let asked = self.asked.get(&operation).map(|asked| asked.at);
        let fresh = known.filter(|k| now.saturating_sub(k.at) < RESEND);
        if fresh.is_some_and(|k| k.progress.is_none() && asked.is_none_or(|at| at < k.at)) {
            self.asked.insert(operation.clone(), Asked { at: now, round: 0 });
            plan.actions.push(Action::Reboot { vm: vm.clone(), operation });
            return;
        }
        let key = format!("read/{operation}");
        if self.asked.get(&key).is_none_or(|asked| now >= asked.at + RESEND) {
            self.asked.insert(key, Asked { at: now, round: 0 });
            plan.actions.push(Action::Read { operation });
        }
    }
}

/// First VM that the budgets allow to be drained. A spent budget of an availability zone forbids
/// the VMs of that zone, any other the whole pool.
fn affordable<'a>(
    state: &State,
    ready: &[(&'a VmId, &'a Vm, &'a platform::Vm)],
) -> Option<(&'a VmId, &'a platform::Vm)> {
    let mut spent = None;
    for (id, vm, listed) in ready {
        if spent.as_ref() == Some(&vm.zone) {
            continue;
        }
        match state.afford(id, vm) {
            Ok(()) => return Some((id, listed)),
            Err(Reason::ZoneBudget { zone, .. }) => spent = Some(zone),
            Err(_) => return None,
        }
    }
    None
}

/// Order in which a wave takes VMs: drained and empty ones first, then by zone and rack.
fn rank<'a>(state: &State, id: &'a VmId, vm: &'a Vm) -> (bool, &'a str, &'a str, &'a str) {
    let empty = state.drains.get(id).is_some_and(|drain| drain.waiting.is_empty());
    (!empty, &vm.zone, &vm.rack, id)
}

/// How the maintenance of a VM ends whose reboot has ended; none while it is not live yet.
fn end(view: View<'_>, plan: &Plan<'_>, vm: &VmId, taken: &Taken) -> Option<Step> {
    let live = plan.listed.get(vm.as_str()).filter(|l| l.health == Health::Live);
    if live.is_some_and(|listed| listed.boots > taken.boots) {
        return Some(Step::Done);
    }
    let late = view.now > taken.at + REBOOT_LIMIT;
    late.then(|| failed("it was not live 30 min after the wave took it"))
}

fn failed(why: &str) -> Step {
    Step::Failed { why: why.into() }
}
