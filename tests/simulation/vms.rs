//! Simulated VMs: the platform's list of them, actions on them, and maintenance waves.
//!
//! It asserts that no action ends a running task, that a wave has fewer VMs down than it may when another one
//! is taken down, and that no VM of a wave was left out when the wave is said to be complete.

use {
    super::{Simulation, TIMEOUT},
    carobhitch::job::upkeep::{self, Listing, Request, State, Vm},
    std::time::{Duration, Instant},
};

impl Simulation {
    /// Adds a VM to the spare pool.
    pub fn add_spare(&mut self, vm: &str) {
        let listed = Vm {
            id: vm.into(),
            pool: "spare".into(),
            state: State::Up,
            zone: "z".into(),
            labels: Vec::new(),
            runner: None,
        };
        self.vms.insert(vm.into(), listed);
    }

    /// Gives the cell the platform's list of VMs.
    pub fn update_vms(&mut self) {
        let sent = self.instant();
        self.update_vms_as_of(sent);
    }

    /// Gives the cell the platform's list of VMs, whose read was sent at `sent`.
    pub fn update_vms_as_of(&mut self, sent: Instant) {
        let listed = self.vms.values().filter(|vm| !self.unlisted_vms.contains(&vm.id));
        let listing = Listing { vms: listed.cloned().collect(), sent };
        for vm in &listing.vms {
            self.added.entry(vm.id.clone()).or_insert((self.now, true)).1 = true;
        }
        let now = self.instant();
        self.cell.update_vms(now, listing);
    }

    /// Lets `time` pass, while the list of VMs is read every half second.
    pub fn run_with_lists(&mut self, time: Duration) {
        let interval = Duration::from_millis(500);
        let mut left = time;
        while !left.is_zero() {
            let part = left.min(interval);
            self.run(part);
            self.update_vms();
            left -= part;
        }
    }

    /// Removes a VM and its runner for good; the store's list names the runner no longer.
    pub fn remove_vm(&mut self, vm: &str) {
        let removed = self.vms.swap_remove(vm).and_then(|vm| vm.runner);
        self.moving.retain(|(_, id)| id != vm);
        self.added.swap_remove(vm);
        if let Some(id) = removed {
            self.remove_runner(&id);
            let now = self.instant();
            self.cell.update_registration(now, &id, None);
        }
    }

    /// Has the operators order a wave. Later owners learn of it as well.
    pub fn order_wave(&mut self, request: Request) {
        self.ordered_at.insert(request.number, self.now);
        self.waves.insert(request.number, request.clone());
        let now = self.instant();
        self.cell.add_wave(now, request);
    }

    /// Whether all VMs of a wave that there are have had their maintenance.
    pub fn is_maintained(&self, number: u64) -> bool {
        let vms = self.waves[&number].vms.iter().filter(|vm| self.vms.contains_key(*vm));
        vms.into_iter().all(|vm| self.maintained.contains(&(number, vm.clone())))
    }

    /// Takes note of a report on a wave. When it is said to be complete, all of its VMs that there are must
    /// have had their maintenance, but for those that were added after it was ordered and not listed to this owner.
    pub(super) fn report_wave(&mut self, number: u64, complete: bool) {
        self.wave_reports.insert(number, complete);
        let Some(wave) = self.waves.get(&number).filter(|_| complete) else { return };
        let ordered_at = self.ordered_at[&number];
        let counts = |vm: &&String| {
            let added = self.added.get(*vm).copied().unwrap_or_default();
            self.vms.contains_key(*vm) && (added.0 <= ordered_at || added.1)
        };
        for vm in wave.vms.iter().filter(counts) {
            let maintained = self.maintained.contains(&(number, vm.clone()));
            assert!(maintained, "wave {number} is complete, and {vm} had no maintenance");
        }
    }

    /// Carries out an action on a VM, which must have no running task.
    pub(super) fn change_vm(&mut self, action: &upkeep::Action) {
        if self.vm_answers_lost {
            let runner = self.vms[action.vm()].runner.clone();
            let runner = runner.and_then(|id| self.runners.get_mut(&id));
            runner.into_iter().for_each(|runner| runner.unresponsive = true);
            return;
        }
        if self.vm_actions_down {
            let now = self.instant();
            return self.cell.vm_action_answered(now, action, Err(upkeep::Refusal::Later));
        }
        let is_missing = !self.vms.contains_key(action.vm());
        if self.busy_vms.contains(action.vm()) || is_missing && self.missing_vms_busy {
            let now = self.instant();
            return self.cell.vm_action_answered(now, action, Err(upkeep::Refusal::Busy));
        }
        if self.refused_vms.contains(action.vm()) || is_missing {
            let now = self.instant();
            return self.cell.vm_action_answered(now, action, Err(upkeep::Refusal::Impossible));
        }
        let is_done = match action {
            upkeep::Action::Move { vm, pool } => self.vms[vm].pool == *pool,
            upkeep::Action::Upkeep { vm, wave } => self.maintained.contains(&(*wave, vm.clone())),
        };
        if !is_done && self.vms[action.vm()].state != State::Up {
            let now = self.instant();
            return self.cell.vm_action_answered(now, action, Err(upkeep::Refusal::Busy));
        }
        if !is_done {
            self.carry_out_vm_action(action);
        }
        if self.vm_answer_delay.is_zero() {
            let now = self.instant();
            return self.cell.vm_action_answered(now, action, Ok(()));
        }
        let (at, answer) = if self.vm_answer_delay > TIMEOUT {
            (self.now + TIMEOUT, Err(upkeep::Refusal::Unknown(String::from("no answer"))))
        } else {
            (self.now + self.vm_answer_delay, Ok(()))
        };
        self.vm_answers.push((at, action.clone(), answer));
    }

    /// Gives the cell the answers to actions on VMs that are due.
    pub(super) fn answer_vm_actions(&mut self) {
        let due: Vec<_> = self.vm_answers.extract_if(.., |(at, ..)| *at <= self.now).collect();
        for (_, action, answer) in due {
            let now = self.instant();
            self.cell.vm_action_answered(now, &action, answer);
        }
    }

    /// Checks that a wave has not as many VMs down for its maintenance as it may before another one is
    /// taken down.
    pub(super) fn check_vms_down(&self, number: u64, vm: &str) {
        let Some(wave) = self.waves.get(&number) else { return };
        let is_down = |id: &&String| {
            self.upkeep_waves.get(*id) == Some(&number)
                && self.vms.get(*id).is_some_and(|vm| vm.state == State::Upkeep)
        };
        let down: Vec<_> = wave.vms.iter().filter(|id| *id != vm).filter(is_down).collect();
        assert!(down.len() < wave.max_at_once, "{vm} is taken down beside {down:?}");
    }

    pub(super) fn carry_out_vm_action(&mut self, action: &upkeep::Action) {
        if let upkeep::Action::Upkeep { vm, wave } = action {
            self.check_vms_down(*wave, vm);
            self.upkeep_waves.insert(vm.clone(), *wave);
            self.maintained.insert((*wave, vm.clone()));
        }
        let vm = self.vms.get_mut(action.vm()).unwrap();
        match action {
            upkeep::Action::Move { pool, .. } => {
                vm.pool = pool.clone();
                vm.state = State::Moving;
            }
            upkeep::Action::Upkeep { .. } => vm.state = State::Upkeep,
        }
        if let Some(id) = vm.runner.take() {
            let runner = self.runners.swap_remove(&id).unwrap();
            assert!(runner.running.is_empty(), "an action ended {:?}", runner.running.keys());
        }
        if let Some(time) = self.move_time {
            self.moving.push((self.now + time, action.vm().into()));
        }
    }

    /// Registers the new runners of VMs whose action is complete; VMs of the spare pool are off.
    pub(super) fn finish_moves(&mut self) {
        let due: Vec<String> =
            self.moving.extract_if(.., |(at, _)| *at <= self.now).map(|(_, vm)| vm).collect();
        for vm in due {
            let pool = self.vms[&vm].pool.clone();
            self.vms[&vm].state = State::Up;
            if pool != "spare" {
                self.next_incarnation += 1;
                self.add_runner(
                    &format!("{vm}-{}", self.next_incarnation),
                    &pool,
                    &vm,
                    self.next_incarnation,
                );
            }
        }
    }
}
