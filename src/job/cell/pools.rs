//! VMs of a cell: which pool each is in, and what is planned for it.
//!
//! A VM that is to move or to have its upkeep is reserved first: its runner gets no new tasks, and
//! its endless tasks are stopped one after the other, so that no step misses more tasks than it may.
//! Once nothing is left on it, the action is stored and then sent until the platform has answered it.

use {
    super::{Cell, Effect, Phase, RunnerId, Status},
    crate::job::{
        ledger,
        spec::Task,
        upkeep::{self, Action, Machine, MachineId, Refusal, State},
    },
    indexmap::{IndexMap, IndexSet},
    log::{info, warn},
    std::{
        rc::Rc,
        time::{Duration, Instant},
    },
};

/// Pause before an action that was not carried out is sent again.
const AGAIN: Duration = Duration::from_millis(300);
/// Time for which a VM may refuse an action as busy before the plan is given up.
const BUSY: Duration = Duration::from_secs(4);
/// Time beyond that of a stop for which a task must have been seen at work, as a former owner may
/// have stopped it just before.
const STEADY: Duration = Duration::from_millis(600);
/// Time after an action in which a VM counts as down until its new runner is registered.
const SETTLE: Duration = Duration::from_secs(8);

/// VMs and waves of a cell.
#[derive(Clone, Debug)]
pub struct Pools {
    pub(super) machines: IndexMap<MachineId, Vm>,
    pub(super) waves: IndexMap<upkeep::Number, Wave>,
    pub(super) done: IndexMap<upkeep::Number, Vec<MachineId>>,
    pub(super) begun: IndexMap<upkeep::Number, Vec<MachineId>>,
    pub(super) sizes: IndexMap<String, usize>,
    pub(super) balanced: Instant,
    changed: bool,
}

/// A VM.
#[derive(Clone, Debug)]
pub(super) struct Vm {
    /// What the platform says.
    pub(super) listed: Machine,
    /// What is planned.
    pub(super) plan: Option<Plan>,
    /// Its last action, until its new runner is known.
    pub(super) acted: Option<Acted>,
}

/// An action that was carried out.
#[derive(Clone, Debug)]
pub(super) struct Acted {
    at: Instant,
    /// Runner that the VM had then.
    former: Option<String>,
    /// Whether the VM was taken down for its upkeep.
    upkeep: bool,
}

/// What is planned for a VM.
#[derive(Clone, Debug)]
pub(super) struct Plan {
    pub(super) action: Action,
    pub(super) since: Instant,
    pub(super) stage: Stage,
}

/// How far a plan is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// The VM is being emptied.
    Empty,
    /// The action is on its way.
    Sent,
    /// The action is sent again then.
    Again(Instant),
}

/// A wave that is under way.
#[derive(Clone, Debug)]
pub(super) struct Wave {
    pub(super) order: upkeep::Order,
    pub(super) begun: Instant,
    pub(super) complete: bool,
}

impl Pools {
    /// No VM yet.
    pub fn new(now: Instant) -> Self {
        Self {
            machines: IndexMap::new(),
            waves: IndexMap::new(),
            done: IndexMap::new(),
            begun: IndexMap::new(),
            sizes: IndexMap::new(),
            balanced: now,
            changed: false,
        }
    }

    /// Takes in what a former owner has stored.
    pub(super) fn restore(&mut self, stored: ledger::Upkeep) {
        self.done = stored.waves;
        self.begun = stored.begun;
        self.sizes = stored.sizes;
    }

    pub(super) fn record(&self) -> ledger::Upkeep {
        ledger::Upkeep {
            waves: self.done.clone(),
            begun: self.begun.clone(),
            sizes: self.sizes.clone(),
        }
    }

    /// Whether the record has changed.
    pub(super) fn changed(&self) -> bool {
        self.changed
    }

    /// Whether the call for a VM's upkeep may have been carried out.
    pub(super) fn may_have_begun(&self, wave: upkeep::Number, machine: &str) -> bool {
        self.begun.get(&wave).is_some_and(|begun| begun.iter().any(|id| id == machine))
    }

    fn mark_begun(&mut self, wave: upkeep::Number, machine: &str) {
        if !self.may_have_begun(wave, machine) {
            self.begun.entry(wave).or_default().push(String::from(machine));
            self.changed = true;
        }
    }

    pub(super) fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// Whether a VM of a wave has begun its upkeep.
    pub(super) fn is_done(&self, wave: upkeep::Number, machine: &str) -> bool {
        self.done.get(&wave).is_some_and(|done| done.iter().any(|id| id == machine))
    }

    pub(super) fn mark_done(&mut self, wave: upkeep::Number, machine: &str) {
        if !self.is_done(wave, machine) {
            self.done.entry(wave).or_default().push(String::from(machine));
            if let Some(begun) = self.begun.get_mut(&wave) {
                begun.retain(|id| id != machine);
            }
            self.changed = true;
        }
    }

    /// Notes the sizes of the pools, the first time that they are known.
    fn note_sizes(&mut self) {
        if !self.sizes.is_empty() || self.machines.is_empty() {
            return;
        }
        for vm in self.machines.values() {
            *self.sizes.entry(vm.listed.pool.clone()).or_default() += 1;
        }
        self.changed = true;
    }
}

impl Vm {
    /// Whether it is down, or was acted on and has no new runner yet.
    pub(super) fn down(&self) -> bool {
        self.listed.state != State::Up || self.acted.is_some()
    }

    /// Whether it may be in upkeep.
    pub(super) fn in_upkeep(&self) -> bool {
        self.listed.state == State::Upkeep || self.acted.as_ref().is_some_and(|acted| acted.upkeep)
    }
}

impl Cell {
    /// The platform lists its VMs.
    pub fn list_machines(&mut self, now: Instant, machines: Vec<Machine>) {
        let listed: IndexSet<MachineId> = machines.iter().map(|m| m.id.clone()).collect();
        for machine in machines {
            match self.pools.machines.get_mut(&machine.id) {
                Some(vm) => vm.listed = machine,
                None => {
                    let id = machine.id.clone();
                    let vm = Vm { listed: machine, plan: None, acted: None };
                    self.pools.machines.insert(id, vm);
                }
            }
        }
        self.pools.machines.retain(|id, vm| listed.contains(id) || vm.plan.is_some());
        self.pools.note_sizes();
        for vm in self.pools.machines.values_mut() {
            let Some(Acted { at, former, .. }) = &vm.acted else { continue };
            let renewed = vm.listed.state == State::Up && vm.listed.runner != *former;
            let off =
                vm.listed.state == State::Up && vm.listed.runner.is_none() && former.is_none();
            let stale = now.saturating_duration_since(*at) > SETTLE;
            if renewed || stale || off && now.saturating_duration_since(*at) > AGAIN * 8 {
                vm.acted = None;
            }
        }
    }

    /// Runner of a VM, if one is known.
    pub(super) fn runner_of(&self, machine: &str) -> Option<RunnerId> {
        let vm = self.pools.machines.get(machine)?;
        let id = vm.listed.runner.as_deref()?;
        self.workers.get_key_value(id).map(|(id, _)| Rc::clone(id))
    }

    /// Plans an action; its VM gets no new tasks from now on.
    pub(super) fn plan_action(&mut self, now: Instant, action: Action) {
        let runner = self.runner_of(action.machine());
        if let Some(worker) = runner.as_ref().and_then(|id| self.workers.get_mut(id)) {
            worker.reserved = true;
        }
        let Some(vm) = self.pools.machines.get_mut(action.machine()) else { return };
        info!("machine: id={} plan={action:?} runner={runner:?}", vm.listed.id);
        vm.plan = Some(Plan { action, since: now, stage: Stage::Empty });
    }

    /// Empties the reserved VMs, and acts on those that are empty.
    pub(super) fn empty_machines(&mut self, now: Instant) {
        let planned: Vec<MachineId> = self
            .pools
            .machines
            .iter()
            .filter(|(_, vm)| vm.plan.is_some())
            .map(|(id, _)| id.clone())
            .collect();
        for machine in planned {
            let runner = self.runner_of(&machine);
            let Some(plan) = self.pools.machines.get(&machine).and_then(|vm| vm.plan.clone())
            else {
                continue;
            };
            match plan.stage {
                Stage::Empty => {
                    let worker = runner.as_ref().and_then(|id| self.workers.get(id));
                    if worker.is_none_or(|worker| worker.tasks.is_empty()) {
                        self.act(&machine, &plan.action);
                    } else if let Some(runner) = runner {
                        self.stop_endless(now, &runner);
                    }
                }
                Stage::Again(at) if at <= now => self.act(&machine, &plan.action),
                Stage::Again(_) | Stage::Sent => {}
            }
        }
    }

    fn act(&mut self, machine: &str, action: &Action) {
        if let Action::Upkeep { wave, .. } = action {
            let (wave, most) = (*wave, self.most_down(*wave));
            let resumes = self.pools.may_have_begun(wave, machine);
            if !resumes && self.down_of(wave) >= most {
                return;
            }
            self.pools.mark_begun(wave, machine);
        }
        if let Some(plan) = self.pools.machines.get_mut(machine).and_then(|vm| vm.plan.as_mut()) {
            plan.stage = Stage::Sent;
        }
        self.effects.push(Effect::Act(action.clone()));
    }

    /// Stops those endless tasks on a runner that their steps may miss.
    pub(super) fn stop_endless(&mut self, now: Instant, runner: &RunnerId) {
        let Some(worker) = self.workers.get(runner) else { return };
        let tasks: Vec<Task> = worker.tasks.keys().copied().collect();
        for task in tasks {
            if self.may_stop(now, &task) {
                let run = self.jobs.get(&task.job).and_then(|job| job.task(&task)).map(|s| s.run);
                self.stop_run(now, &task, runner, run.unwrap_or_default());
            }
        }
    }

    /// Whether an endless task may be stopped without its step missing more than it may.
    fn may_stop(&self, now: Instant, task: &Task) -> bool {
        let Some(job) = self.jobs.get(&task.job) else { return false };
        let Some(step) = job.step(task).filter(|step| step.endless) else { return false };
        let Some(tasks) = job.steps.get(usize::from(task.step)) else { return false };
        let at_work = |status: &Status| {
            let Status::Placed(placement) = status else { return false };
            let worker = self.workers.get(&placement.runner);
            let answers = worker.is_some_and(|w| w.failing.is_none() && w.listed);
            let steady = now.saturating_duration_since(placement.since) > self.bounds.stop + STEADY;
            answers && steady && placement.phase == Phase::Running && placement.percent >= 100
        };
        let away = tasks
            .iter()
            .enumerate()
            .filter(|(index, state)| *index != usize::from(task.index) && !at_work(&state.status))
            .count();
        away < (step.may_miss as usize).max(1)
    }

    /// The platform answers an action on a VM.
    pub fn acted(&mut self, now: Instant, action: &Action, outcome: Result<(), Refusal>) {
        let machine = action.machine();
        let runner = self.runner_of(machine);
        let Some(vm) = self.pools.machines.get_mut(machine) else { return };
        let Some(plan) = vm.plan.as_mut().filter(|plan| plan.action == *action) else { return };
        let given_up = match outcome {
            Ok(()) => {
                info!("machine: id={machine} done={action:?}");
                vm.plan = None;
                let upkeep = matches!(action, Action::Upkeep { .. });
                vm.acted = Some(Acted { at: now, former: vm.listed.runner.clone(), upkeep });
                if let Action::Upkeep { wave, .. } = action {
                    self.pools.mark_done(*wave, machine);
                }
                self.end_life(now, runner);
                return;
            }
            Err(Refusal::Later | Refusal::Unknown(_)) => false,
            Err(Refusal::Busy) => now.saturating_duration_since(plan.since) > BUSY,
            Err(Refusal::Fence | Refusal::Impossible | Refusal::Wave) => true,
        };
        if given_up {
            warn!("machine: id={machine} given_up={action:?} why={outcome:?}");
            if let (Action::Upkeep { wave, .. }, Err(Refusal::Wave | Refusal::Impossible)) =
                (action, &outcome)
            {
                self.pools.mark_done(*wave, machine);
            }
            return self.give_up_plan(machine);
        }
        info!("machine: id={machine} again={action:?} why={outcome:?}");
        plan.stage = Stage::Again(now + AGAIN);
    }

    fn give_up_plan(&mut self, machine: &str) {
        let runner = self.runner_of(machine);
        if let Some(vm) = self.pools.machines.get_mut(machine) {
            vm.plan = None;
        }
        if let Some(worker) = runner.and_then(|id| self.workers.get_mut(&id)) {
            worker.reserved = false;
        }
        self.place_due = true;
    }

    /// The runner of a VM that was acted on has ended.
    fn end_life(&mut self, now: Instant, runner: Option<RunnerId>) {
        let Some(runner) = runner else { return };
        self.lose_all(now, &runner, "its VM was acted on");
        if let Some(worker) = self.workers.get_mut(&runner) {
            worker.retire(now);
        }
    }
}
