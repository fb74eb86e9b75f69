//! VMs of a cell: which pool each is in, and what is planned for it.
//!
//! A VM that is to move or to have its upkeep is reserved first: its runner gets no new tasks, and
//! its endless tasks are stopped one after the other, so that no step misses more tasks than it may.
//! Once nothing is left on it, the action is stored and then sent until the platform has answered it.

use {
    super::{Cell, Effect, Phase, RunnerId, Status},
    crate::{
        id::VmId,
        job::{
            ledger,
            runner::Registration,
            spec::Task,
            upkeep::{self, Action, Refusal, State, Vm},
        },
    },
    indexmap::{IndexMap, IndexSet},
    log::{info, warn},
    std::{
        rc::Rc,
        time::{Duration, Instant},
    },
};

/// Time after an action in which the platform's list may still show what was before it.
const LIST_LAG: Duration = Duration::from_millis(1_500);
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
    pub(super) members: IndexMap<VmId, Member>,
    pub(super) waves: IndexMap<upkeep::Number, Wave>,
    pub(super) done: IndexMap<upkeep::Number, Vec<VmId>>,
    pub(super) begun: IndexMap<upkeep::Number, Vec<VmId>>,
    pub(super) sizes: IndexMap<String, usize>,
    pub(super) balanced: Instant,
    changed: bool,
}

/// A VM.
#[derive(Clone, Debug)]
pub(super) struct Member {
    /// What the platform says.
    pub(super) listed: Vm,
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
    pub(super) order: upkeep::Request,
    pub(super) begun: Instant,
    pub(super) complete: bool,
}

impl Pools {
    /// No VM yet.
    pub fn new(now: Instant) -> Self {
        Self {
            members: IndexMap::new(),
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
    pub(super) fn may_have_begun(&self, wave: upkeep::Number, vm: &str) -> bool {
        self.begun.get(&wave).is_some_and(|begun| begun.iter().any(|id| id == vm))
    }

    fn mark_begun(&mut self, wave: upkeep::Number, vm: &str) {
        if !self.may_have_begun(wave, vm) {
            self.begun.entry(wave).or_default().push(String::from(vm));
            self.changed = true;
        }
    }

    pub(super) fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// Whether a VM of a wave has begun its upkeep.
    pub(super) fn is_done(&self, wave: upkeep::Number, vm: &str) -> bool {
        self.done.get(&wave).is_some_and(|done| done.iter().any(|id| id == vm))
    }

    pub(super) fn mark_done(&mut self, wave: upkeep::Number, vm: &str) {
        if !self.is_done(wave, vm) {
            self.done.entry(wave).or_default().push(String::from(vm));
            if let Some(begun) = self.begun.get_mut(&wave) {
                begun.retain(|id| id != vm);
            }
            self.changed = true;
        }
    }

    /// Notes the sizes of the pools, the first time that they are known.
    fn note_sizes(&mut self) {
        if !self.sizes.is_empty() || self.members.is_empty() {
            return;
        }
        for member in self.members.values() {
            *self.sizes.entry(member.listed.pool.clone()).or_default() += 1;
        }
        self.changed = true;
    }
}

impl Member {
    /// Takes in what the platform lists, unless that is from before the last action.
    fn relist(&mut self, now: Instant, vm: Vm) {
        let older = |acted: &Acted| {
            let recent = now.saturating_duration_since(acted.at) < LIST_LAG;
            recent && vm.state == State::Up && vm.runner == acted.former
        };
        if !self.acted.as_ref().is_some_and(older) {
            self.listed = vm;
        }
    }

    /// Notes that an action was carried out.
    fn carried_out(&mut self, now: Instant, action: &Action) {
        let former = self.listed.runner.take();
        let upkeep = matches!(action, Action::Upkeep { .. });
        self.plan = None;
        self.acted = Some(Acted { at: now, former, upkeep });
        match action {
            Action::Move { pool, .. } => {
                self.listed.pool.clone_from(pool);
                self.listed.state = State::Moving;
            }
            Action::Upkeep { .. } => self.listed.state = State::Upkeep,
        }
    }

    /// Takes in that a runner of this VM has registered: the action before it has come to its end.
    fn arrived(&mut self, runner: &str, service: &str) {
        let Some(acted) = &self.acted else { return };
        if service == self.listed.pool && acted.former.as_deref() != Some(runner) {
            self.listed.state = State::Up;
            self.listed.runner = Some(String::from(runner));
            self.acted = None;
        }
    }

    /// Whether it is in one of these failure domains.
    pub(super) fn is_in(&self, domains: &IndexSet<Rc<str>>) -> bool {
        let own = || std::iter::once(&self.listed.zone).chain(&self.listed.labels);
        !domains.is_empty() && own().any(|domain| domains.contains(domain.as_str()))
    }

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
    pub fn list_vms(&mut self, now: Instant, vms: Vec<Vm>) {
        let listed: IndexSet<VmId> = vms.iter().map(|m| m.id.clone()).collect();
        for vm in vms {
            match self.pools.members.get_mut(&vm.id) {
                Some(member) => member.relist(now, vm),
                None => {
                    let id = vm.id.clone();
                    let member = Member { listed: vm, plan: None, acted: None };
                    self.pools.members.insert(id, member);
                }
            }
        }
        self.pools.members.retain(|id, member| listed.contains(id) || member.plan.is_some());
        self.find_former_runners();
        self.pools.note_sizes();
        for member in self.pools.members.values_mut() {
            let Some(Acted { at, former, .. }) = &member.acted else { continue };
            let renewed = member.listed.state == State::Up && member.listed.runner != *former;
            let off = member.listed.state == State::Up
                && member.listed.runner.is_none()
                && former.is_none();
            let stale = now.saturating_duration_since(*at) > SETTLE;
            if renewed || stale || off && now.saturating_duration_since(*at) > AGAIN * 8 {
                member.acted = None;
            }
        }
    }

    /// A runner that was not known has registered.
    pub(super) fn register(&mut self, runner: &str, entry: &Registration) {
        if let Some(member) = self.pools.members.get_mut(entry.vm.as_str()) {
            member.arrived(runner, &entry.service);
        }
    }

    /// Finds runners whose VMs have another one by now, or none.
    fn find_former_runners(&mut self) {
        for (id, worker) in &mut self.workers {
            let vm = worker.entry.as_ref().map(|entry| entry.vm.as_str()).unwrap_or_default();
            let member = self.pools.members.get(vm);
            worker.former =
                member.is_some_and(|member| member.listed.runner.as_deref() != Some(&**id));
        }
    }

    /// Runner of a VM, if one is known.
    pub(super) fn runner_of(&self, vm: &str) -> Option<RunnerId> {
        let member = self.pools.members.get(vm)?;
        let id = member.listed.runner.as_deref()?;
        self.workers.get_key_value(id).map(|(id, _)| Rc::clone(id))
    }

    /// Plans an action; its VM gets no new tasks from now on.
    pub(super) fn plan_action(&mut self, now: Instant, action: Action) {
        let runner = self.runner_of(action.vm());
        if let Some(worker) = runner.as_ref().and_then(|id| self.workers.get_mut(id)) {
            worker.reserved = true;
        }
        let Some(member) = self.pools.members.get_mut(action.vm()) else { return };
        info!("vm: id={} plan={action:?} runner={runner:?}", member.listed.id);
        member.plan = Some(Plan { action, since: now, stage: Stage::Empty });
    }

    /// Empties the reserved VMs, and acts on those that are empty.
    pub(super) fn empty_vms(&mut self, now: Instant) {
        let planned: Vec<VmId> = self
            .pools
            .members
            .iter()
            .filter(|(_, member)| member.plan.is_some())
            .map(|(id, _)| id.clone())
            .collect();
        for vm in planned {
            let runner = self.runner_of(&vm);
            let Some(plan) = self.pools.members.get(&vm).and_then(|member| member.plan.clone())
            else {
                continue;
            };
            match plan.stage {
                Stage::Empty => {
                    let worker = runner.as_ref().and_then(|id| self.workers.get(id));
                    if worker.is_none_or(|worker| worker.tasks.is_empty()) {
                        self.act(&vm, &plan.action);
                    } else if let Some(runner) = runner {
                        self.stop_endless(now, &runner);
                    }
                }
                Stage::Again(at) if at <= now => self.act(&vm, &plan.action),
                Stage::Again(_) | Stage::Sent => {}
            }
        }
    }

    fn act(&mut self, vm: &str, action: &Action) {
        if let Action::Upkeep { wave, .. } = action {
            let (wave, most) = (*wave, self.most_down(*wave));
            let resumes = self.pools.may_have_begun(wave, vm);
            if !resumes && self.down_of(wave) >= most {
                return;
            }
            self.pools.mark_begun(wave, vm);
        }
        if let Some(plan) = self.pools.members.get_mut(vm).and_then(|member| member.plan.as_mut()) {
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
                let run = self.task(&task).map(|s| s.run);
                self.stop_run(now, &task, runner, run.unwrap_or_default());
            }
        }
    }

    /// Whether an endless task may be stopped without its step missing more than it may.
    fn may_stop(&self, now: Instant, task: &Task) -> bool {
        let Some(job) = self.jobs.get(&task.job) else { return false };
        let Some(step) = job.step(task).filter(|step| step.endless) else { return false };
        let Some(tasks) = job.siblings(task) else { return false };
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
        away < (step.max_unavailable as usize).max(1)
    }

    /// The platform answers an action on a VM.
    pub fn acted(&mut self, now: Instant, action: &Action, outcome: Result<(), Refusal>) {
        let vm = action.vm();
        let runner = self.runner_of(vm);
        let Some(member) = self.pools.members.get_mut(vm) else { return };
        let Some(plan) = member.plan.as_mut().filter(|plan| plan.action == *action) else { return };
        let given_up = match outcome {
            Ok(()) => {
                info!("vm: id={vm} done={action:?}");
                member.carried_out(now, action);
                if let Action::Upkeep { wave, .. } = action {
                    self.pools.mark_done(*wave, vm);
                }
                self.end_life(now, runner);
                return;
            }
            Err(Refusal::Later | Refusal::Unknown(_)) => false,
            Err(Refusal::Busy) => now.saturating_duration_since(plan.since) > BUSY,
            Err(Refusal::Fence | Refusal::Impossible | Refusal::Wave) => true,
        };
        if given_up {
            warn!("vm: id={vm} given_up={action:?} why={outcome:?}");
            if let (Action::Upkeep { wave, .. }, Err(Refusal::Wave | Refusal::Impossible)) =
                (action, &outcome)
            {
                self.pools.mark_done(*wave, vm);
            }
            return self.give_up_plan(vm);
        }
        info!("vm: id={vm} again={action:?} why={outcome:?}");
        plan.stage = Stage::Again(now + AGAIN);
    }

    fn give_up_plan(&mut self, vm: &str) {
        let runner = self.runner_of(vm);
        if let Some(member) = self.pools.members.get_mut(vm) {
            member.plan = None;
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
