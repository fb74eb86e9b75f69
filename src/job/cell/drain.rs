//! Actions on VMs: moves to another pool and maintenance (`upkeep` on the wire), from the drain to the
//! platform's answer.
//!
//! A VM is drained before an action: its runners get no new tasks, and its endless tasks are
//! stopped one after the other, so that no step misses more tasks than it may. Once the VM is
//! empty, the action is stored in the ledger, and then sent until the platform has answered it.

use {
    super::{
        Cell, Effect, RunnerId,
        job::State,
        vm::{Plan, Stage, Target},
    },
    crate::{
        id::VmId,
        job::{
            spec::Task,
            upkeep::{Action, Refusal},
        },
    },
    log::{info, warn},
    std::time::{Duration, Instant},
};

/// Pause before an action that was not carried out is retried.
const RETRY_DELAY: Duration = Duration::from_millis(300);
/// Time after which a plan is given up if the platform still refuses the action because the VM is
/// busy.
const BUSY_LIMIT: Duration = Duration::from_secs(4);
/// Time that a placement waits for the ledger from which on the ledger counts as slow.
const SLOW_PLACEMENT: Duration = Duration::from_millis(150);

impl Cell {
    /// Plans an action on a VM, which gets no new tasks from now on.
    pub(super) fn plan_action(&mut self, now: Instant, action: Action) {
        if !self.pools.vms.contains_key(action.vm()) {
            return;
        }
        let runner = self.runner_of(action.vm());
        self.set_draining(action.vm(), true);
        let Some(record) = self.pools.vms.get_mut(action.vm()) else { return };
        info!("vm: id={} plan={action:?} runner={runner:?}", record.listed.id);
        record.plan = Some(Plan::new(action, now));
    }

    /// Drains the VMs that have plans, and sends the actions on those that are empty or due for a
    /// retry.
    pub(super) fn drain_vms(&mut self, now: Instant) {
        let planned: Vec<VmId> = self
            .pools
            .vms
            .iter()
            .filter(|(_, record)| record.plan.is_some())
            .map(|(id, _)| id.clone())
            .collect();
        for vm in planned {
            let Some(plan) = self.pools.vms.get(&vm).and_then(|record| record.plan.clone()) else {
                continue;
            };
            match plan.stage {
                Stage::Draining => self.drain_vm(now, &vm, &plan.action),
                Stage::RetryAt(at) if at <= now => self.retry_action(now, &vm, &plan),
                Stage::RetryAt(_) | Stage::Sent => {}
            }
        }
    }

    /// Stops what its steps may miss on the runners that may be on a VM, and sends the action once nothing is
    /// left there. A VM without any known runner is not empty while the runner of a task is unknown.
    fn drain_vm(&mut self, now: Instant, vm: &str, action: &Action) {
        let runners = self.runners_on(vm);
        let is_known = !runners.is_empty() || !self.may_have_unknown_runner();
        let is_busy =
            |id: &RunnerId| self.workers.get(id).is_some_and(|worker| !worker.tasks.is_empty());
        let busy: Vec<RunnerId> = runners.into_iter().filter(is_busy).collect();
        if busy.is_empty() && is_known {
            self.send_action(now, vm, action);
        }
        for runner in busy {
            self.stop_endless_tasks(now, &runner);
        }
    }

    /// Whether a task that was placed on a runner may start there, with regard to its VM. Once the VM
    /// was chosen for an action, only a finite task may for whose placement the ledger took long: it
    /// would lose its turn otherwise, and the action waits for its end. Any other task soon finds
    /// another place.
    pub(super) fn may_start_on_vm(&self, now: Instant, runner: &str, task: &Task) -> bool {
        let Some(worker) = self.workers.get(runner).filter(|worker| worker.vm_draining) else {
            return true;
        };
        let vm = worker.registration.as_ref().and_then(|found| self.pools.vms.get(&found.vm));
        let plan = vm.and_then(|record| record.plan.as_ref());
        let not_sent = plan.is_some_and(|plan| plan.stage == Stage::Draining && !plan.may_be_done);
        let placed = self.task(task).and_then(State::phase_since);
        let waited = placed.is_some_and(|at| now.saturating_duration_since(at) > SLOW_PLACEMENT);
        not_sent && waited && self.step(task).is_some_and(|step| !step.endless)
    }

    /// Sends an action again. If the VM has got another runner meanwhile, that one is drained first:
    /// the action may be carried out only now, or may have ended the runner before it.
    fn retry_action(&mut self, now: Instant, vm: &str, plan: &Plan) {
        if plan.target == self.target_of(vm) {
            return self.send_action(now, vm, &plan.action);
        }
        self.set_draining(vm, true);
        if let Some(plan) = self.pools.vms.get_mut(vm).and_then(|record| record.plan.as_mut()) {
            plan.stage = Stage::Draining;
            plan.may_be_done = true;
        }
    }

    /// Incarnation of the runner that a VM has now.
    fn target_of(&self, vm: &str) -> Option<Target> {
        let runner = self.runner_of(vm)?;
        let incarnation = self.workers.get(&runner)?.incarnation;
        Some(Target { runner, incarnation })
    }

    /// Sends an action once the ledger has stored it. Maintenance waits if its wave has as many VMs
    /// down as it may, unless a call for this VM may have been carried out already.
    fn send_action(&mut self, now: Instant, vm: &str, action: &Action) {
        let mut resumes = false;
        if let Action::Upkeep { wave, .. } = action {
            let (wave, max_down) = (*wave, self.max_down(*wave));
            resumes = self.pools.waves.may_have_begun(wave, vm);
            if !resumes && self.count_down(now, wave) >= max_down {
                return;
            }
            self.pools.waves.mark_begun(wave, vm);
        }
        let target = self.target_of(vm);
        if let Some(plan) = self.pools.vms.get_mut(vm).and_then(|record| record.plan.as_mut()) {
            let is_retry = plan.stage != Stage::Draining;
            plan.unanswered |= resumes && !is_retry;
            plan.may_be_done |= resumes && !is_retry;
            if !is_retry && !plan.may_be_done {
                plan.first_sent = Some(now);
            }
            plan.stage = Stage::Sent;
            plan.target = target;
        }
        self.effects.push(Effect::ChangeVm(action.clone()));
    }

    /// Handles the platform's answer to an action on a VM.
    pub fn vm_action_answered(
        &mut self,
        now: Instant,
        action: &Action,
        outcome: Result<(), Refusal>,
    ) {
        let vm = action.vm();
        let Some(record) = self.pools.vms.get_mut(vm) else { return };
        let Some(plan) = record.plan.as_mut().filter(|plan| plan.action == *action) else {
            return;
        };
        let refusal = match outcome {
            Ok(()) => return self.complete_action(now, action),
            Err(refusal) => refusal,
        };
        plan.unanswered |= matches!(refusal, Refusal::Unknown(_));
        let is_final = match refusal {
            Refusal::Later | Refusal::Unknown(_) => false,
            Refusal::Busy => {
                let missing = self.pools.waves.missing.contains_key(vm);
                missing || now.saturating_duration_since(plan.since) > BUSY_LIMIT
            }
            Refusal::Fence | Refusal::Impossible | Refusal::Wave => true,
        };
        if is_final {
            warn!("vm: id={vm} given_up={action:?} why={refusal:?}");
            return self.give_up_action(now, action, &refusal);
        }
        info!("vm: id={vm} again={action:?} why={refusal:?}");
        plan.stage = Stage::RetryAt(now + RETRY_DELAY);
    }

    /// Handles that the planned action on a VM was carried out.
    fn complete_action(&mut self, now: Instant, action: &Action) {
        let vm = action.vm();
        let Some(record) = self.pools.vms.get_mut(vm) else { return };
        let Some(plan) = record.plan.as_mut() else { return };
        info!("vm: id={vm} done={action:?}");
        let (target, may_be_done) = (plan.target.take(), plan.may_be_done);
        record.complete_action(now, action, target.clone(), self.bounds.upkeep_time);
        if let Action::Upkeep { wave, .. } = action {
            self.pools.waves.mark_done(*wave, vm);
        }
        if let Some(target) = target.filter(|_| !may_be_done) {
            self.runner_ended(now, &target);
        }
    }

    /// Drops the plan for an action that the platform refuses, and takes note of what that shows.
    fn give_up_action(&mut self, now: Instant, action: &Action, refusal: &Refusal) {
        let vm = action.vm();
        let Some(record) = self.pools.vms.get_mut(vm) else { return };
        let all_refused = record.plan.as_ref().is_some_and(|plan| !plan.unanswered);
        if *refusal == Refusal::Busy {
            record.mark_busy(now);
        }
        let waves = &mut self.pools.waves;
        match (action, refusal) {
            (Action::Move { pool, .. }, Refusal::Busy | Refusal::Impossible) => {
                record.refuse_pool(now, pool);
            }
            (Action::Upkeep { wave, .. }, Refusal::Wave) => waves.mark_done(*wave, vm),
            (Action::Upkeep { wave, .. }, Refusal::Impossible) => waves.mark_gone(now, *wave, vm),
            (Action::Upkeep { wave, .. }, Refusal::Busy) => {
                if all_refused {
                    waves.retract_begun(*wave, vm);
                }
                self.missing_vm_refused(now, *wave, vm);
            }
            _ => {}
        }
        self.abandon_plan(vm);
    }

    /// Drops the plan for a VM, so that it gets tasks again.
    fn abandon_plan(&mut self, vm: &str) {
        if let Some(record) = self.pools.vms.get_mut(vm) {
            record.plan = None;
        }
        self.set_draining(vm, false);
    }

    /// Handles the end of the runner of a VM on which an action was carried out. Another incarnation
    /// that has registered since then is not affected.
    fn runner_ended(&mut self, now: Instant, target: &Target) {
        let Some(worker) = self.workers.get(&target.runner) else { return };
        if worker.incarnation != target.incarnation {
            return;
        }
        self.lose_runs(now, &target.runner, "an action on its VM was carried out");
        let newest_fence = self.newest_fence;
        if let Some(worker) = self.workers.get_mut(&target.runner) {
            worker.mark_ended(now, newest_fence);
        }
    }
}
