//! Maintenance waves: which VM is taken down next. Maintenance is called `upkeep` on the wire.
//!
//! Operators order the maintenance of a set of VMs within some time. VMs without a runner are taken
//! down first, then those whose loss costs their services least. A wave takes no more VMs down at
//! once than it needs to be complete early enough, so that more of each pool is left for bursts.

use {
    super::{
        Cell, Effect,
        progress::{Counts, Progress},
        vm::LIST_LAG,
    },
    crate::{
        id::VmId,
        job::upkeep::{Action, Number, Request},
    },
    indexmap::IndexMap,
    log::info,
    std::time::{Duration, Instant},
};

/// Fraction of a wave's allowed time within which it should be complete.
const TARGET_FRACTION: f64 = 0.55;
/// Average time that draining a VM takes.
const AVERAGE_DRAIN_TIME: Duration = Duration::from_millis(2_500);

impl Cell {
    /// Adds a wave that the operators have ordered, or changes it; one that is known already is ignored.
    /// One that was worked on before goes on as if half of its time had passed at least.
    pub fn add_wave(&mut self, now: Instant, request: Request) {
        let number = request.number;
        let known = self.pools.waves.known.get(&number);
        if known.is_some_and(|progress| progress.wave == request) {
            return;
        }
        info!(
            "wave: number={number} vms={} most={} within_s={}",
            request.vms.len(),
            request.max_at_once,
            request.within.as_secs_f64()
        );
        let passed = self.time_passed(now, &request);
        let resumed = self.pools.waves.has_begun(number);
        let paced = if resumed { passed.max(request.within / 2) } else { passed };
        let before = |time: Duration| now.checked_sub(time).unwrap_or(now);
        let progress = Progress {
            wave: request,
            ordered_at: before(passed),
            begun: before(paced),
            known_since: now,
            settled_since: None,
            complete: false,
        };
        self.pools.waves.known.insert(number, progress);
        if !self.remaining_vms(number).is_empty() {
            self.effects.push(Effect::ReportWave(number, false));
        }
    }

    /// Time that has passed since a wave was ordered, at most all of its time; none if the time of day is not
    /// known.
    fn time_passed(&mut self, now: Instant, request: &Request) -> Duration {
        let wall_ms = self.wall_ms(now);
        let waves = &mut self.pools.waves;
        let passed = wall_ms.map(|wall_ms| waves.time_passed(request.number, wall_ms));
        passed.unwrap_or_default().min(request.within)
    }

    /// Numbers of waves and of their VMs.
    pub fn wave_counts(&self) -> Counts {
        self.pools.waves.counts()
    }

    /// Number of VMs of a wave that are or may be down for their maintenance.
    pub(super) fn count_down(&self, now: Instant, wave: Number) -> usize {
        let Some(progress) = self.pools.waves.known.get(&wave) else { return 0 };
        progress.wave.vms.iter().filter(|vm| self.may_be_down(now, wave, vm)).count()
    }

    /// Whether a VM of a wave is or may be down for its maintenance. If no list shows it, it may still be
    /// down for what a previous owner has done.
    fn may_be_down(&self, now: Instant, wave: Number, vm: &str) -> bool {
        let waves = &self.pools.waves;
        let by_former_owner = now.saturating_duration_since(self.pools.owned_since)
            < self.longest_upkeep()
            && waves.is_done(wave, vm);
        let record = self.pools.vms.get(vm);
        waves.may_have_begun(wave, vm)
            || record.map_or(by_former_owner, |record| record.may_be_in_upkeep())
    }

    /// Time after the platform's answer for which a VM may be down for maintenance though no list shows it.
    pub(super) fn longest_upkeep(&self) -> Duration {
        self.bounds.upkeep_time + LIST_LAG
    }

    /// Largest number of VMs of a wave that may be down at once.
    pub(super) fn max_down(&self, wave: Number) -> usize {
        self.pools.waves.known.get(&wave).map_or(1, |progress| progress.wave.max_at_once)
    }

    /// Plans the maintenance of further VMs of each wave, and reports waves that are complete.
    pub(super) fn advance_waves(&mut self, now: Instant) {
        let open: Vec<Number> = self
            .pools
            .waves
            .known
            .iter()
            .filter(|(_, progress)| !progress.complete)
            .map(|(number, _)| *number)
            .collect();
        for number in open {
            self.advance_wave(now, number);
        }
    }

    /// Plans the maintenance of further VMs of a wave, or reports it if it is complete.
    fn advance_wave(&mut self, now: Instant, number: Number) {
        let remaining = self.remaining_vms(number);
        if remaining.is_empty() {
            return self.complete_wave(now, number);
        }
        if let Some(progress) = self.pools.waves.known.get_mut(&number) {
            progress.settled_since = None;
        }
        self.resume_calls(now, number, &remaining);
        let draining =
            |id: &&VmId| self.has_plan(id) && !self.pools.waves.may_have_begun(number, id);
        let busy = remaining.iter().filter(draining).count() + self.count_down(now, number);
        let room = self.target_down(now, number, remaining.len()).saturating_sub(busy);
        let may_begin = |id: &VmId| !self.has_plan(id) && self.may_begin_upkeep(now, id);
        let free: Vec<VmId> = remaining.into_iter().filter(may_begin).collect();
        if room == 0 || free.is_empty() {
            return;
        }
        let pressures = self.pressures(now);
        let mut ready: Vec<(u64, VmId)> = free
            .into_iter()
            .filter_map(|id| self.upkeep_cost(now, &pressures, &id).map(|cost| (cost, id)))
            .collect();
        ready.sort_unstable();
        for (_, vm) in ready.into_iter().take(room) {
            self.plan_action(now, Action::Upkeep { vm, wave: number });
        }
    }

    /// Plans the maintenance of VMs for which a call may have been carried out already. They come first,
    /// whatever they cost.
    fn resume_calls(&mut self, now: Instant, number: Number, remaining: &[VmId]) {
        for vm in remaining {
            let resumes = self.pools.waves.may_have_begun(number, vm) && !self.has_plan(vm);
            if resumes && !self.was_missing_vm_refused(now, vm) {
                let vm = vm.clone();
                self.plan_action(now, Action::Upkeep { vm, wave: number });
            }
        }
    }

    /// VMs of a wave whose maintenance is still due, whether a list shows them or not.
    fn remaining_vms(&self, number: Number) -> Vec<VmId> {
        let Some(progress) = self.pools.waves.known.get(&number) else { return Vec::new() };
        let due = |id: &&VmId| self.pools.waves.is_due(number, id);
        progress.wave.vms.iter().filter(due).cloned().collect()
    }

    /// Whether the maintenance of a VM is due and its wave should be complete by now.
    pub(super) fn is_overdue(&self, now: Instant, vm: &str) -> bool {
        self.pools.waves.known.iter().any(|(number, progress)| {
            let past_target = now.saturating_duration_since(progress.begun)
                > progress.wave.within.mul_f64(TARGET_FRACTION);
            let due = || progress.wave.vms.iter().any(|id| id == vm);
            !progress.complete && past_target && due() && self.pools.waves.is_due(*number, vm)
        })
    }

    /// Marks a wave with no maintenance due as complete and reports it. If VMs of it were gone, a list
    /// that was asked for since then must have left them out, as they may have been added meanwhile, and one
    /// that a former owner may have read shows nothing.
    fn complete_wave(&mut self, now: Instant, number: Number) {
        let is_listed = |vm: &VmId| self.pools.vms.get(vm).is_some_and(|record| !record.unlisted);
        let has_gone = self.pools.waves.gone(number).next().is_some();
        let shown = self.pools.waves.gone(number).any(is_listed);
        let Some(progress) = self.pools.waves.known.get_mut(&number) else { return };
        let since = *progress.settled_since.get_or_insert(now);
        let since = since.max(self.pools.owned_since + LIST_LAG);
        let outdated = self.pools.listed_at.is_none_or(|listed_at| listed_at < since);
        if shown || has_gone && outdated {
            return;
        }
        let ms = now.saturating_duration_since(progress.ordered_at).as_millis();
        info!("wave: number={number} complete=true ms={ms}");
        progress.complete = true;
        self.effects.push(Effect::ReportWave(number, true));
    }

    /// Whether a wave is complete, as far as this owner knows.
    pub(super) fn is_wave_complete(&self, number: Number) -> bool {
        self.pools.waves.known.get(&number).is_some_and(|progress| progress.complete)
    }

    fn has_plan(&self, vm: &str) -> bool {
        self.pools.vms.get(vm).is_some_and(|record| record.plan.is_some())
    }

    /// Number of VMs to have down or being drained at once, so that the wave is complete in time.
    fn target_down(&self, now: Instant, number: Number, remaining: usize) -> usize {
        let Some(progress) = self.pools.waves.known.get(&number) else { return 0 };
        let passed = now.saturating_duration_since(progress.begun);
        let time = progress.wave.within.mul_f64(TARGET_FRACTION).saturating_sub(passed);
        if time.is_zero() {
            return progress.wave.max_at_once;
        }
        let each = AVERAGE_DRAIN_TIME + self.bounds.upkeep_time;
        let rounds = (time.as_secs_f64() / each.as_secs_f64()).max(1.0);
        let needed = (remaining as f64 / rounds).ceil() as usize;
        needed.min(progress.wave.max_at_once)
    }

    /// Whether a VM may be taken down now, as far as its own state and the platform's last answer tell.
    fn may_begin_upkeep(&self, now: Instant, vm: &str) -> bool {
        let record = self.pools.vms.get(vm);
        record.is_some_and(|record| record.may_begin_upkeep())
            && !self.was_missing_vm_refused(now, vm)
    }

    /// Cost of taking a VM down now: the pressure on its pool, endless tasks that must move, and
    /// cores in use. None if the VM can't be taken down now. One whose runner does not answer or is
    /// leaving is left alone until it is overdue, and then comes last, as does one that was busy.
    fn upkeep_cost(
        &self,
        now: Instant,
        pressures: &IndexMap<String, f64>,
        vm: &str,
    ) -> Option<u64> {
        let record = self.pools.vms.get(vm)?;
        if record.was_busy_lately(now) {
            return Some(u64::MAX);
        }
        let Some(runner) = self.runner_of(vm) else { return Some(0) };
        let worker = self.workers.get(&runner)?;
        if worker.unresponsive_since.is_some() || worker.is_draining() {
            return (record.unlisted || self.is_overdue(now, vm)).then_some(u64::MAX);
        }
        let endless = worker.tasks.keys().filter(|task| self.step(task).is_some_and(|s| s.endless));
        let pressure = pressures.get(&record.listed.pool).copied().unwrap_or_default();
        let pressure = (pressure * 1_000.0) as u64;
        Some(
            1 + pressure * 100
                + endless.count() as u64 * 20_000
                + u64::from(worker.used.millicores),
        )
    }
}
