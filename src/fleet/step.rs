//! State machine: steps of a wave on its VMs, health reports of the platform, and the automatic
//! pause of waves on correlated failures.

use {
    crate::{
        budget::Cause,
        id::{Offset, VmId, WaveId},
        record::Step,
        state::{Context, State},
        verdict::{Reason, Result},
        wave::{Failure, Pause, Run, Taken, rejection},
    },
    indexmap::IndexMap,
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Failures in one rack within [`FAILURE_WINDOW`] at which a wave pauses.
pub const MAX_RACK_FAILURES: u32 = 2;
/// Failures in one availability zone within [`FAILURE_WINDOW`] at which a wave pauses.
pub const MAX_ZONE_FAILURES: u32 = 3;
/// Failures older than this no longer count towards a pause.
pub const FAILURE_WINDOW: Duration = Duration::from_secs(3600);

/// A VM that the platform reports as not running.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Lost {
    /// Offset of the health record that reported it.
    pub since: Offset,
    /// Time of that record, since the Unix epoch.
    pub at: Duration,
}

/// Wave, run and VM that a step applies to.
pub(crate) struct Target<'a> {
    pub wave: &'a WaveId,
    pub run: Offset,
    pub vm: &'a VmId,
}

impl State {
    /// Applies a step of a run of a wave.
    pub(crate) fn step(&mut self, context: Context, target: &Target<'_>, step: &Step) -> Result {
        if self.running(target.wave)?.began != target.run {
            return Err(rejection(target.wave, "was begun again"));
        }
        match step {
            Step::Take { boots } => self.take(context, target, *boots),
            Step::Done => self.done(context, target),
            Step::Failed { why } => self.fail(context, target, why),
        }
    }

    /// Drains a VM and adds it to the active VMs of the run.
    fn take(&mut self, context: Context, target: &Target<'_>, boots: u64) -> Result {
        self.check_take(target)?;
        self.drain(context.offset, target.vm, Cause::Wave(target.wave.clone()))?;
        let taken = Taken { since: context.offset, at: context.at, boots };
        self.running_mut(target.wave)?.active.insert(target.vm.clone(), taken);
        Ok(())
    }

    /// Rejects taking a VM that the wave may not take now. Budgets are checked by the drain itself.
    fn check_take(&self, target: &Target<'_>) -> Result {
        let run = self.running(target.wave)?;
        let Some(declared) = self.declaration.waves.get(target.wave) else {
            return Err(Reason::UnknownWave(target.wave.clone()));
        };
        let Some(vm) = self.declaration.vms.get(target.vm) else {
            return Err(Reason::UnknownVm(target.vm.clone()));
        };
        if vm.pool != declared.pool {
            return Err(Reason::OtherPool { vm: target.vm.clone(), pool: declared.pool.clone() });
        }
        if let Some(Cause::Wave(wave)) = self.wave_hold(target.vm) {
            return Err(Reason::InWave { vm: target.vm.clone(), wave: wave.clone() });
        }
        let reject_if = |condition: bool, why: &str| match condition {
            true => Err(rejection(target.wave, why)),
            false => Ok(()),
        };
        reject_if(run.paused.is_some(), "is paused")?;
        reject_if(run.cancelled, "is cancelled")?;
        reject_if(run.is_finished_with(target.vm), "is through with the vm")?;
        reject_if(self.lost.contains_key(target.vm), "takes no vm that does not run")?;
        reject_if(
            run.active.len() >= declared.max_at_once as usize,
            "holds its VMs at once already",
        )
    }

    /// Removes a VM from the active VMs of a run, unless an entry may still hold work on it.
    fn remove_active(&mut self, target: &Target<'_>) -> Result<Taken> {
        let since = self.drains.get(target.vm).map_or(0, |d| d.since);
        if !self.running(target.wave)?.active.contains_key(target.vm) {
            return Err(rejection(target.wave, "does not hold the vm"));
        }
        self.check_empty(target.vm, since)?;
        let taken = self.running_mut(target.wave)?.active.shift_remove(target.vm);
        taken.ok_or_else(|| rejection(target.wave, "does not hold the vm"))
    }

    /// Ends the maintenance of a VM, applies its pending move and releases its drain by the wave.
    fn done(&mut self, context: Context, target: &Target<'_>) -> Result {
        let taken = self.remove_active(target)?;
        let run = self.running_mut(target.wave)?;
        run.count += 1;
        run.spent += context.at.saturating_sub(taken.at);
        run.done.insert(target.vm.clone());
        self.finish_move(target.vm);
        self.release_hold(target.vm, &Cause::Wave(target.wave.clone()));
        self.end_if_finished(target.wave, context.at);
        Ok(())
    }

    /// Ends the maintenance of a VM whose reboot failed. It stays drained, with a failure as cause.
    fn fail(&mut self, context: Context, target: &Target<'_>, why: &str) -> Result {
        self.remove_active(target)?;
        let Context { offset, at, .. } = context;
        let failure = Failure { vm: target.vm.clone(), offset, at, why: why.into() };
        self.running_mut(target.wave)?.failures.push(failure);
        if let Some(drain) = self.drains.get_mut(target.vm) {
            drain.holds.push(Cause::Failure);
        }
        self.release_hold(target.vm, &Cause::Wave(target.wave.clone()));
        self.pause_on_failures();
        self.end_if_finished(target.wave, context.at);
        Ok(())
    }

    /// Records which VMs are running, unless the platform's list is no newer than the last one
    /// applied.
    pub(crate) fn health(
        &mut self,
        context: Context,
        as_of: Duration,
        lost: &[VmId],
        found: &[VmId],
    ) -> Result {
        if as_of <= self.listed {
            return Err(Reason::OldList);
        }
        self.listed = as_of;
        let newly_lost = Lost { since: context.offset, at: context.at };
        for vm in lost.iter().filter(|vm| self.declaration.vms.contains_key(*vm)) {
            if self.drains.get(vm).is_none_or(|d| !matches!(d.holds.first(), Some(Cause::Wave(_))))
            {
                self.lost.entry(vm.clone()).or_insert(newly_lost);
            }
        }
        for vm in found {
            self.lost.shift_remove(vm);
        }
        self.pause_on_failures();
        Ok(())
    }

    /// Pauses every running wave whose pool has correlated failures.
    fn pause_on_failures(&mut self) {
        let waves = self.waves.iter().filter(|(_, r)| r.ended.is_none() && r.paused.is_none());
        let pauses: Vec<_> =
            waves.filter_map(|(id, run)| Some((id.clone(), self.pause_reason(id, run)?))).collect();
        for (wave, pause) in pauses {
            if let Some(run) = self.waves.get_mut(&wave) {
                run.paused = Some(pause);
            }
        }
    }

    /// Reason to pause a run because of failures in its pool, if there is one. The rack is checked
    /// before the availability zone and the whole pool.
    fn pause_reason(&self, wave: &WaveId, run: &Run) -> Option<Pause> {
        let declared = self.declaration.waves.get(wave)?;
        let failed = self.recent_failures(&declared.pool, run);
        let mut racks: IndexMap<_, u32> = IndexMap::new();
        let mut zones: IndexMap<_, u32> = IndexMap::new();
        for vm in failed.iter().filter_map(|id| self.declaration.vms.get(*id)) {
            *racks.entry((&vm.zone, &vm.rack)).or_default() += 1;
            *zones.entry(&vm.zone).or_default() += 1;
        }
        if let Some(((zone, rack), failed)) =
            racks.into_iter().find(|(_, n)| *n >= MAX_RACK_FAILURES)
        {
            return Some(Pause::Rack { zone: zone.clone(), rack: rack.clone(), failed });
        }
        if let Some((zone, failed)) = zones.into_iter().find(|(_, n)| *n >= MAX_ZONE_FAILURES) {
            return Some(Pause::Zone { zone: zone.clone(), failed });
        }
        let failed = failed.len() as u32;
        let services: Vec<_> =
            self.services_on(&declared.pool).map(|(id, _)| id.as_str()).collect();
        let services = services.join(", ");
        (failed >= declared.max_failures).then_some(Pause::Service { services, failed })
    }

    /// VMs of a pool that failed within [`FAILURE_WINDOW`] and since the run was started or
    /// resumed: failed reboots of the run, and VMs that the platform reported as not running.
    fn recent_failures<'a>(&'a self, pool: &'a str, run: &'a Run) -> Vec<&'a VmId> {
        let since = self.clock.saturating_sub(FAILURE_WINDOW);
        let counts = |offset: Offset, at: Duration| offset > run.counted && at >= since;
        let rebooted = run.failures.iter().filter(|f| counts(f.offset, f.at)).map(|f| &f.vm);
        let lost = self.lost.iter().filter(|(_, lost)| counts(lost.since, lost.at));
        let lost = lost.map(|(id, _)| id).filter(|id| {
            let here = self.declaration.vms.get(*id).is_some_and(|vm| vm.pool == pool);
            here && !run.failures.iter().any(|f| f.vm == **id)
        });
        rebooted.chain(lost).collect()
    }
}
