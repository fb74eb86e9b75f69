//! Waves of upkeep: which VM goes down next.
//!
//! VMs that are empty or off go first, then those of services that need them least. A wave keeps
//! fewer down at once than it may while there is time, so that a burst finds more of the pool.

use {
    super::{
        Cell, Effect,
        pools::{Member, Wave},
    },
    crate::{
        id::VmId,
        job::upkeep::{Action, Number, Request},
    },
    indexmap::IndexMap,
    log::info,
    std::time::{Duration, Instant},
};

/// Part of a wave's time within which it should be complete.
const AIM: f64 = 0.55;
/// Time that emptying a VM takes on average.
const EMPTYING: Duration = Duration::from_millis(2_500);

impl Cell {
    /// The operators ask for a wave.
    pub fn order_wave(&mut self, now: Instant, order: Request) {
        let number = order.number;
        if self.pools.waves.contains_key(&number) {
            return;
        }
        info!(
            "wave: number={number} vms={} most={} within_s={}",
            order.vms.len(),
            order.max_at_once,
            order.within.as_secs_f64()
        );
        let resumed = self.pools.done.contains_key(&number);
        let passed = if resumed { order.within / 2 } else { Duration::ZERO };
        let begun = now.checked_sub(passed).unwrap_or(now);
        self.pools.waves.insert(number, Wave { order, begun, complete: false });
        self.effects.push(Effect::Report(number, false));
    }

    /// VMs of a wave that are down for it, or are about to be.
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

    /// Most VMs of a wave that may be down at once.
    pub(super) fn most_down(&self, wave: Number) -> usize {
        self.pools.waves.get(&wave).map_or(1, |wave| wave.order.max_at_once)
    }

    /// Plans the upkeep of further VMs, and reports waves that are complete.
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

    /// VMs of a wave that are still due.
    fn left_of(&self, number: Number) -> Vec<VmId> {
        let Some(wave) = self.pools.waves.get(&number) else { return Vec::new() };
        let due =
            |id: &&VmId| !self.pools.is_done(number, id) && self.pools.members.contains_key(*id);
        wave.order.vms.iter().filter(due).cloned().collect()
    }

    /// Whether a VM should have had its upkeep by now.
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

    /// VMs to keep down or in preparation, so that the wave ends in time.
    fn at_once(&self, now: Instant, number: Number, left: usize) -> usize {
        let Some(wave) = self.pools.waves.get(&number) else { return 0 };
        let passed = now.saturating_duration_since(wave.begun);
        let time = wave.order.within.mul_f64(AIM).saturating_sub(passed);
        if time.is_zero() {
            return wave.order.max_at_once;
        }
        let each = EMPTYING + self.bounds.upkeep_time;
        let rounds = (time.as_secs_f64() / each.as_secs_f64()).max(1.0);
        let needed = (left as f64 / rounds).ceil() as usize;
        needed.min(wave.order.max_at_once)
    }

    /// What taking a VM down costs its service now; none if it can't be.
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
