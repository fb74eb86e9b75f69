//! State machine: maintenance waves, which drain, reboot and return each VM of a pool once.
//!
//! The run of a wave is part of the state. The state machine enforces its limits whoever writes the
//! records: the number of VMs in maintenance, the availability budgets, and the automatic pause on
//! correlated failures. A VM that a wave has taken is released only by `done` or `failed`, after
//! its reboot has ended; so a late reboot request of a controller that was paused never hits a VM
//! with work on it.

use {
    crate::{
        fleet::{Vm, Wave},
        id::{Offset, OperationId, RackId, VmId, WaveId, ZoneId},
        state::State,
        verdict::{Reason, Result},
    },
    displaydoc::Display,
    indexmap::{IndexMap, IndexSet},
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Estimated maintenance time of one VM, used until the run has finished its first VM.
pub const STEP_ESTIMATE: Duration = Duration::from_secs(600);

/// A VM in maintenance by a wave.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Taken {
    /// Offset of the record that took it.
    pub since: Offset,
    /// Time of that record, since the Unix epoch.
    pub at: Duration,
    /// Boot count of the VM before its reboot; a higher one shows that the reboot took place.
    pub boots: u64,
}

/// A VM whose reboot failed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Failure {
    /// The VM.
    pub vm: VmId,
    /// Offset of the record that reported it.
    pub offset: Offset,
    /// Time of that record, since the Unix epoch.
    pub at: Duration,
    /// Reason, for operators.
    pub why: String,
}

/// Why a wave is paused.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Pause {
    /// an operator paused it: {0}
    Operator(String),
    /// {failed} VMs of its pool failed, which serves {services}
    Service {
        /// Services of the pool.
        services: String,
        /// VMs that failed.
        failed: u32,
    },
    /// {failed} VMs failed in rack {rack:?} of availability zone {zone:?}
    Rack {
        /// The availability zone.
        zone: ZoneId,
        /// The rack.
        rack: RackId,
        /// VMs that failed.
        failed: u32,
    },
    /// {failed} VMs failed in availability zone {zone:?}
    Zone {
        /// The availability zone.
        zone: ZoneId,
        /// VMs that failed.
        failed: u32,
    },
}

/// One run of a wave.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Run {
    /// Offset of the record that began it.
    pub began: Offset,
    /// Time of that record, since the Unix epoch.
    pub at: Duration,
    /// Offset after which failures count towards a pause: the start or the last resume.
    pub counted: Offset,
    /// VMs in maintenance.
    pub active: IndexMap<VmId, Taken>,
    /// VMs that are done; cleared when the run ends.
    pub done: IndexSet<VmId>,
    /// Number of VMs that are done.
    pub count: u32,
    /// Total maintenance time of these VMs.
    pub spent: Duration,
    /// VMs whose reboot failed.
    pub failures: Vec<Failure>,
    /// Why it is paused; `None` while it may take further VMs.
    pub paused: Option<Pause>,
    /// Whether an operator cancelled it.
    pub cancelled: bool,
    /// When it ended, since the Unix epoch; `None` while it runs.
    pub ended: Option<Duration>,
}

impl Run {
    fn new(began: Offset, at: Duration) -> Self {
        Self {
            began,
            at,
            counted: began,
            active: IndexMap::new(),
            done: IndexSet::new(),
            count: 0,
            spent: Duration::ZERO,
            failures: Vec::new(),
            paused: None,
            cancelled: false,
            ended: None,
        }
    }

    /// Whether a VM is done or has failed in this run.
    pub fn is_finished_with(&self, vm: &str) -> bool {
        self.done.contains(vm) || self.failures.iter().any(|f| f.vm == vm)
    }

    /// Mean maintenance time of a VM in this run, or [`STEP_ESTIMATE`] until one is done.
    pub fn mean_step(&self) -> Duration {
        self.spent.checked_div(self.count).unwrap_or(STEP_ESTIMATE)
    }
}

/// Idempotency key of the platform action that reboots a VM for a wave. It follows from the state,
/// so every controller uses the same one.
pub fn reboot_operation(wave: &WaveId, taken: &Taken, vm: &VmId) -> OperationId {
    format!("reboot/{wave}/{}/{vm}", taken.since)
}

/// Duration of a wave over `vms` VMs of which `at_once` are in maintenance at a time, for `step`
/// each.
pub fn duration(vms: u32, at_once: u32, step: Duration) -> Duration {
    step * vms.div_ceil(at_once.max(1))
}

impl State {
    /// Estimated time until a run ends if nothing fails; `None` if it is paused or has ended.
    pub fn remaining(&self, wave: &WaveId) -> Option<Duration> {
        let run = self.waves.get(wave).filter(|r| r.ended.is_none() && r.paused.is_none())?;
        let declared = self.declaration.waves.get(wave)?;
        let left = self.remaining_vms(declared, run).count() as u32;
        let tightest =
            self.services_on(&declared.pool).map(|(_, s)| s.budget.max_unavailable).min();
        let at_once = declared.max_at_once.min(tightest.unwrap_or(u32::MAX));
        Some(duration(left, at_once, run.mean_step()))
    }

    /// VMs of a wave's pool that are neither done nor failed in its run, those in maintenance
    /// included.
    pub fn remaining_vms<'a>(
        &'a self,
        wave: &'a Wave,
        run: &'a Run,
    ) -> impl Iterator<Item = (&'a VmId, &'a Vm)> {
        let vms = self.declaration.vms.iter();
        vms.filter(move |(id, vm)| vm.pool == wave.pool && !run.is_finished_with(id))
    }

    /// Starts a run of a wave that is not running.
    pub(crate) fn begin(&mut self, wave: &WaveId, offset: Offset, at: Duration) -> Result {
        if !self.declaration.waves.contains_key(wave) {
            return Err(Reason::UnknownWave(wave.clone()));
        }
        if self.running(wave).is_ok() {
            return Err(rejection(wave, "runs already"));
        }
        self.waves.insert(wave.clone(), Run::new(offset, at));
        self.end_if_finished(wave, at);
        Ok(())
    }

    /// The run of a wave that has not ended.
    pub(crate) fn running(&self, wave: &WaveId) -> Result<&Run> {
        let run = self.waves.get(wave).filter(|r| r.ended.is_none());
        run.ok_or_else(|| rejection(wave, "does not run"))
    }

    /// The run of a wave that has not ended, to change it.
    pub(crate) fn running_mut(&mut self, wave: &WaveId) -> Result<&mut Run> {
        let run = self.waves.get_mut(wave).filter(|r| r.ended.is_none());
        run.ok_or_else(|| rejection(wave, "does not run"))
    }

    /// Pauses a running wave on behalf of an operator.
    pub(crate) fn pause(&mut self, wave: &WaveId, why: &str) -> Result {
        self.running_mut(wave)?.paused = Some(Pause::Operator(why.into()));
        Ok(())
    }

    /// Resumes a wave; earlier failures no longer count towards a pause.
    pub(crate) fn resume(&mut self, wave: &WaveId, offset: Offset) -> Result {
        let run = self.running_mut(wave)?;
        run.paused = None;
        run.counted = offset;
        Ok(())
    }

    /// Cancels a running wave, which ends once its VMs in maintenance are done.
    pub(crate) fn cancel(&mut self, wave: &WaveId, at: Duration) -> Result {
        self.running_mut(wave)?.cancelled = true;
        self.end_if_finished(wave, at);
        Ok(())
    }

    /// Ends a run that has no VM in maintenance and either no VM left to take or was cancelled.
    pub(crate) fn end_if_finished(&mut self, wave: &WaveId, at: Duration) {
        let Ok(run) = self.running(wave) else { return };
        let Some(declared) = self.declaration.waves.get(wave) else { return };
        let over = run.active.is_empty()
            && (run.cancelled || self.remaining_vms(declared, run).next().is_none());
        if let Some(run) = self.waves.get_mut(wave).filter(|_| over) {
            run.ended = Some(at);
            run.done = IndexSet::new();
        }
    }
}

/// Reason to reject a step or a call that the wave does not allow.
pub(crate) fn rejection(wave: &WaveId, why: &str) -> Reason {
    Reason::Wave { wave: wave.clone(), why: why.into() }
}
