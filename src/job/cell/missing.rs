//! VMs of maintenance waves that the platform's lists leave out.
//!
//! A list does not show a VM that was added after the list was read, that it is late to show, or that
//! it skipped since VMs were removed between two of its pages; nor does it show a VM that was removed
//! for good. So a list alone does not tell whether the maintenance of such a VM is still due. Once lists
//! have left it out for a while, the platform is asked for its maintenance as for any other VM. It
//! carries it out, or answers that there is no such VM. If it finds the VM busy instead, that is not up or
//! leaving, the VM is gone once lists have left it out, and the calls were refused, for long enough: for a
//! part of the wave's time, and for less of it once little is left.

use {
    super::{
        Cell, Effect, RunnerId, Worker,
        progress::{Missing, Refusals},
        vm::{LIST_LAG, Record},
    },
    crate::{id::VmId, job::upkeep::Number},
    indexmap::IndexSet,
    log::info,
    std::time::{Duration, Instant},
};

/// Shortest interval between two calls for the maintenance of a VM that lists leave out and that is busy.
const ASK_INTERVAL: Duration = Duration::from_secs(1);
/// Part of a wave's allowed time, as a divisor, after which such a VM is gone.
const REFUSED_PART: f64 = 3.0;
/// Longest time after which such a VM is gone, unless maintenance may take longer.
const MAX_REFUSED_TIME: Duration = Duration::from_secs(8);

/// Time that is kept of a wave for the list and the report that follow on the end of such a VM.
const REPORT_TIME: Duration = Duration::from_secs(2);

impl Cell {
    /// Takes note of the VMs with due maintenance that a list leaves out whose read was sent at `sent`,
    /// and has the platform asked about those that lists have left out for long enough.
    pub(super) fn note_missing_vms(&mut self, sent: Instant, listed: &IndexSet<VmId>) {
        let missing = self.due_vms_outside(sent, listed);
        self.pools.waves.missing.retain(|vm, _| missing.contains(vm));
        for vm in missing {
            let new = Missing { since: sent, until: sent, refused: None };
            let known = self.pools.waves.missing.entry(vm.clone()).or_insert(new);
            known.until = known.until.max(sent);
            let waited = sent.saturating_duration_since(known.since) >= LIST_LAG;
            if waited && !self.pools.vms.contains_key(&vm) && !self.may_have_unknown_runner() {
                let runner = self.registered_runner(&vm);
                info!("vm: id={vm} listed=false runner={runner:?}");
                let runner = runner.as_deref().map(String::from);
                self.pools.vms.insert(vm.clone(), Record::unlisted(vm, runner));
            }
        }
    }

    /// VMs with due maintenance that are not in `listed`. The list tells nothing about waves that were
    /// not known yet when its read was sent.
    fn due_vms_outside(&self, sent: Instant, listed: &IndexSet<VmId>) -> IndexSet<VmId> {
        let mut missing = IndexSet::new();
        for (number, progress) in &self.pools.waves.known {
            if progress.complete || sent < progress.known_since {
                continue;
            }
            let is_missing =
                |vm: &&VmId| !listed.contains(*vm) && self.pools.waves.is_due(*number, vm);
            missing.extend(progress.wave.vms.iter().filter(is_missing).cloned());
        }
        missing
    }

    /// Whether there is a runner with tasks of which only the ledger tells, so that it could be on any
    /// VM. This ends with its lease at the latest.
    pub(super) fn may_have_unknown_runner(&self) -> bool {
        let is_unknown =
            |worker: &Worker| worker.registration.is_none() && !worker.tasks.is_empty();
        self.workers.values().any(is_unknown)
    }

    /// Handles that the platform finds a VM that lists leave out busy.
    pub(super) fn missing_vm_refused(&mut self, now: Instant, wave: Number, vm: &str) {
        let least = self.longest_upkeep();
        let waves = &mut self.pools.waves;
        let Some(missing) = waves.missing.get_mut(vm) else { return };
        let first = missing.refused.map_or(now, |refused| refused.first);
        missing.refused = Some(Refusals { first, last: now });
        let (within, left) = waves.known.get(&wave).map_or_else(Default::default, |progress| {
            let passed = now.saturating_duration_since(progress.ordered_at);
            (progress.wave.within, progress.wave.within.saturating_sub(passed))
        });
        let limit = within.div_f64(REFUSED_PART).min(left.saturating_sub(REPORT_TIME));
        let limit = limit.clamp(least, least.max(MAX_REFUSED_TIME));
        if missing.until.saturating_duration_since(first) >= limit {
            info!("vm: id={vm} gone=true wave={wave}");
            waves.mark_gone(now, wave, vm);
        }
    }

    /// Whether the platform has just found a VM busy that lists leave out.
    pub(super) fn was_missing_vm_refused(&self, now: Instant, vm: &str) -> bool {
        let refused = self.pools.waves.missing.get(vm).and_then(|missing| missing.refused);
        refused.is_some_and(|refused| now.saturating_duration_since(refused.last) < ASK_INTERVAL)
    }

    /// Newest runner that has registered from a VM.
    pub(super) fn registered_runner(&self, vm: &str) -> Option<RunnerId> {
        let on_vm = self.workers.iter().filter(|(_, worker)| worker.vm() == vm);
        on_vm.max_by_key(|(_, worker)| worker.incarnation).map(|(id, _)| RunnerId::clone(id))
    }

    /// Makes the maintenance of a VM due again for which it was gone, since a list shows it whose read was
    /// sent at `sent`. A list that follows closely on the platform's answer may be older than it.
    pub(super) fn reopen_waves_of(&mut self, sent: Instant, vm: &str) {
        let is_new = self.pools.vms.get(vm).is_none_or(|record| record.unlisted);
        let gone_at = self.pools.waves.gone_at.get(vm);
        if !is_new && gone_at.is_none_or(|at| sent < *at + LIST_LAG) {
            return;
        }
        for number in self.pools.waves.restore_gone(vm) {
            info!("wave: number={number} vm={vm} gone=false");
            let Some(progress) = self.pools.waves.known.get_mut(&number) else { continue };
            if std::mem::take(&mut progress.complete) {
                self.effects.push(Effect::ReportWave(number, false));
            }
        }
    }
}
