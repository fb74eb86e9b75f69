//! Upkeep waves: operators order the upkeep (maintenance) of a set of VMs, and this decides which
//! VM goes down next.
//!
//! VMs without a runner go first, then those whose loss costs their services least. A wave takes no
//! more VMs down at once than it needs to be complete early enough, so that more of the pool is
//! left for bursts.

use {
    super::{
        Cell, Effect,
        pools::{Member, Wave},
    },
    crate::{
        id::VmId,
        job::upkeep::{Action, Number, Order},
    },
    indexmap::IndexMap,
    log::info,
    std::time::{Duration, Instant},
};

/// Fraction of a wave's allowed time within which it should be complete.
const AIM: f64 = 0.55;
/// Average time that emptying a VM takes.
const EMPTYING: Duration = Duration::from_millis(2_500);

impl Cell {
    /// Adds a wave that the operators have ordered; one that is known already is ignored. Of a wave
    /// that a previous owner has worked on, half of the allowed time counts as passed.
    pub fn add_wave(&mut self, now: Instant, order: Order) {
        let number = order.number;
        if self.pools.waves.contains_key(&number) {
            return;
        }
        info!(
            "wave: number={number} vms={} most={} within_s={}",
            order.vms.len(),
            order.most,
            order.within.as_secs_f64()
        );
        let resumed = self.pools.done.contains_key(&number);
        let passed = if resumed { order.within / 2 } else { Duration::ZERO };
        let begun = now.checked_sub(passed).unwrap_or(now);
        self.pools.waves.insert(number, Wave { order, begun, complete: false });
        self.effects.push(Effect::Report(number, false));
    }

    /// Number of VMs of a wave that are or may be down for their upkeep.
    pub(super) fn down_of(&self, wave: Number) -> usize {
        let of_wave = |id: &str| {
            self.pools.waves.get(&wave).is_some_and(|w| w.order.vms.iter().any(|m| m == id))
        };
        let down = |member: &&Member| {
            let id = member.listed.id.as_str();
            self.pools.may_have_begun(wave, id) || member.in_upkeep() && of_wave(id)
        };
        self.pools.members.values().filter(down).count()
    }

    /// Largest number of VMs of a wave that may be down at once.
    pub(super) fn most_down(&self, wave: Number) -> usize {
        self.pools.waves.get(&wave).map_or(1, |wave| wave.order.most)
    }

    /// Plans the upkeep of further VMs of each wave, and reports waves that are complete.
    pub(super) fn advance_waves(&mut self, now: Instant) {
        let open: Vec<Number> = self
            .pools
            .waves
            .iter()
            .filter(|(_, wave)| !wave.complete)
            .map(|(number, _)| *number)
            .collect();
        for number in open {
            self.advance_wave(now, number);
        }
    }

    fn advance_wave(&mut self, now: Instant, number: Number) {
        let left = self.left_of(number);
        if self.pools.members.is_empty() {
            return;
        }
        if left.is_empty() {
            return self.complete_wave(now, number);
        }
        for vm in &left {
            if self.pools.may_have_begun(number, vm) && !self.has_plan(vm) {
                let vm = vm.clone();
                self.plan_action(now, Action::Upkeep { vm, wave: number });
            }
        }
        let emptying = |id: &&VmId| self.has_plan(id) && !self.pools.may_have_begun(number, id);
        let busy = left.iter().filter(emptying).count() + self.down_of(number);
        let room = self.at_once(now, number, left.len()).saturating_sub(busy);
        if room == 0 {
            return;
        }
        let pressures = self.pressures(now);
        let mut ready: Vec<(u64, VmId)> = left
            .into_iter()
            .filter(|id| !self.has_plan(id))
            .filter_map(|id| self.upkeep_cost(&pressures, &id).map(|cost| (cost, id)))
            .collect();
        ready.sort_unstable();
        for (_, vm) in ready.into_iter().take(room) {
            self.plan_action(now, Action::Upkeep { vm, wave: number });
        }
    }

    /// Known VMs of a wave whose upkeep is still due.
    fn left_of(&self, number: Number) -> Vec<VmId> {
        let Some(wave) = self.pools.waves.get(&number) else { return Vec::new() };
        let due =
            |id: &&VmId| !self.pools.is_done(number, id) && self.pools.members.contains_key(*id);
        wave.order.vms.iter().filter(due).cloned().collect()
    }

    /// Whether the upkeep of a VM is due and its wave should be complete by now.
    pub(super) fn is_overdue(&self, now: Instant, vm: &str) -> bool {
        self.pools.waves.iter().any(|(number, wave)| {
            let aimed = now.saturating_duration_since(wave.begun) > wave.order.within.mul_f64(AIM);
            let due = || wave.order.vms.iter().any(|id| id == vm);
            !wave.complete && aimed && due() && !self.pools.is_done(*number, vm)
        })
    }

    fn complete_wave(&mut self, now: Instant, number: Number) {
        let Some(wave) = self.pools.waves.get_mut(&number) else { return };
        let ms = now.saturating_duration_since(wave.begun).as_millis();
        info!("wave: number={number} complete=true ms={ms}");
        wave.complete = true;
        self.effects.push(Effect::Report(number, true));
    }

    fn has_plan(&self, vm: &str) -> bool {
        self.pools.members.get(vm).is_some_and(|member| member.plan.is_some())
    }

    /// Number of VMs to have down or being emptied at once, so that the wave is complete in time.
    fn at_once(&self, now: Instant, number: Number, left: usize) -> usize {
        let Some(wave) = self.pools.waves.get(&number) else { return 0 };
        let passed = now.saturating_duration_since(wave.begun);
        let time = wave.order.within.mul_f64(AIM).saturating_sub(passed);
        if time.is_zero() {
            return wave.order.most;
        }
        let each = EMPTYING + self.bounds.upkeep_time;
        let rounds = (time.as_secs_f64() / each.as_secs_f64()).max(1.0);
        let needed = (left as f64 / rounds).ceil() as usize;
        needed.min(wave.order.most)
    }

    /// Cost of taking a VM down now: the pressure on its pool, endless tasks that must move, and
    /// cores in use. None if the VM can't be taken down now.
    fn upkeep_cost(&self, pressures: &IndexMap<String, f64>, vm: &str) -> Option<u64> {
        let member = self.pools.members.get(vm)?;
        if member.down() {
            return None;
        }
        let Some(runner) = self.runner_of(vm) else { return Some(0) };
        let worker = self.workers.get(&runner)?;
        if worker.failing.is_some() || worker.draining() {
            return None;
        }
        let endless = worker.tasks.keys().filter(|task| self.step(task).is_some_and(|s| s.endless));
        let pressure = pressures.get(&member.listed.pool).copied().unwrap_or_default();
        let pressure = (pressure * 1_000.0) as u64;
        Some(
            1 + pressure * 100
                + endless.count() as u64 * 20_000
                + u64::from(worker.used.millicores),
        )
    }
}
