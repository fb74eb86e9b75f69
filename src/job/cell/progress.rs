//! State of the maintenance waves (`upkeep` on the wire): what the platform has answered about each VM.
//!
//! The maintenance of a VM is due until the platform has answered the call for it: that it was carried
//! out, that the VM is not of this wave, or that there is no such VM, or none that is up while lists
//! leave it out as well. Nothing else shows it, so a VM of which nothing is known keeps its wave open.

use {
    crate::{
        id::VmId,
        job::{
            ledger,
            upkeep::{Number, Request},
        },
    },
    indexmap::{IndexMap, IndexSet},
    std::time::{Duration, Instant},
};

/// VMs of waves, by the number of the wave.
type Vms = IndexMap<Number, IndexSet<VmId>>;

/// State of the maintenance waves.
#[derive(Clone, Debug, Default)]
pub(super) struct Waves {
    /// Waves that this owner knows.
    pub(super) known: IndexMap<Number, Progress>,
    /// VMs whose maintenance was carried out, or which are not of the wave.
    done: Vms,
    /// VMs for which a call may have been carried out, but was not answered yet.
    begun: Vms,
    /// VMs that the platform does not have.
    gone: Vms,
    /// Time of day at which an owner first learned of each wave, in milliseconds since the Unix epoch.
    ordered_ms: IndexMap<Number, u64>,
    /// When this owner learned last that the platform does not have a VM.
    pub(super) gone_at: IndexMap<VmId, Instant>,
    /// VMs with due maintenance that the platform's lists leave out.
    pub(super) missing: IndexMap<VmId, Missing>,
    /// Whether the ledger's record is out of date.
    pub(super) changed: bool,
}

/// Numbers of maintenance waves and of VMs in them, for the metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Waves that are not complete.
    pub open: usize,
    /// VMs whose maintenance in them is due.
    pub due: usize,
    /// Those of the due ones that the platform's lists leave out.
    pub missing: usize,
    /// VMs of waves that the platform does not have.
    pub gone: usize,
}

impl Counts {
    /// Name and value of each count.
    pub fn all(&self) -> [(&'static str, usize); 4] {
        let Self { open, due, missing, gone } = *self;
        [("open", open), ("due", due), ("missing", missing), ("gone", gone)]
    }
}

/// Progress of a maintenance wave that the operators have ordered.
#[derive(Clone, Debug)]
pub(super) struct Progress {
    pub(super) wave: Request,
    /// When it was ordered, as far as is known.
    pub(super) ordered_at: Instant,
    /// When its allowed time began, by which its pace is set.
    pub(super) begun: Instant,
    /// When this owner learned of it.
    pub(super) known_since: Instant,
    /// Since when no maintenance is due.
    pub(super) settled_since: Option<Instant>,
    pub(super) complete: bool,
}

/// What is known of a VM that the platform's lists leave out.
#[derive(Clone, Copy, Debug)]
pub(super) struct Missing {
    /// When the first of these lists was asked for.
    pub(super) since: Instant,
    /// When the last of them was asked for.
    pub(super) until: Instant,
    /// Refusals of the VM's maintenance as the VM is busy, that is not up or leaving.
    pub(super) refused: Option<Refusals>,
}

/// When the platform has refused something.
#[derive(Clone, Copy, Debug)]
pub(super) struct Refusals {
    pub(super) first: Instant,
    pub(super) last: Instant,
}

impl Waves {
    /// Restores what a previous owner has stored.
    pub(super) fn restore(&mut self, stored: ledger::Upkeep) {
        self.done = stored.waves;
        self.begun = stored.begun;
        self.gone = stored.gone;
        self.ordered_ms = stored.ordered_ms;
    }

    /// Record for the ledger, without the sizes of pools.
    pub(super) fn to_ledger(&self) -> ledger::Upkeep {
        ledger::Upkeep {
            waves: self.done.clone(),
            begun: self.begun.clone(),
            gone: self.gone.clone(),
            ordered_ms: self.ordered_ms.clone(),
            ..ledger::Upkeep::default()
        }
    }

    /// Whether the maintenance of a VM of this wave was carried out.
    pub(super) fn has_begun(&self, wave: Number) -> bool {
        self.done.contains_key(&wave)
    }

    /// Time that has passed since a wave was ordered, at the time of day `wall_ms`. One that is new or changed
    /// counts as ordered now.
    pub(super) fn time_passed(&mut self, wave: Number, wall_ms: u64) -> Duration {
        let is_changed = self.known.contains_key(&wave);
        let known = self.ordered_ms.get(&wave).copied().filter(|_| !is_changed);
        let ordered_ms = known.unwrap_or(wall_ms);
        self.changed |= self.ordered_ms.insert(wave, ordered_ms) != Some(ordered_ms);
        Duration::from_millis(wall_ms.saturating_sub(ordered_ms))
    }

    /// Whether a VM's maintenance in this wave was carried out, or the VM is not of it.
    pub(super) fn is_done(&self, wave: Number, vm: &str) -> bool {
        names(&self.done, wave, vm)
    }

    /// Numbers for the metrics.
    pub(super) fn counts(&self) -> Counts {
        let open = || self.known.iter().filter(|(_, progress)| !progress.complete);
        let due = |(number, progress): (&Number, &Progress)| {
            progress.wave.vms.iter().filter(|vm| self.is_due(*number, vm)).count()
        };
        Counts {
            open: open().count(),
            due: open().map(due).sum(),
            missing: self.missing.len(),
            gone: self.gone.values().map(IndexSet::len).sum(),
        }
    }

    /// Whether a VM's maintenance in this wave is due.
    pub(super) fn is_due(&self, wave: Number, vm: &str) -> bool {
        !self.is_done(wave, vm) && !names(&self.gone, wave, vm)
    }

    /// VMs of this wave that the platform does not have.
    pub(super) fn gone(&self, wave: Number) -> impl Iterator<Item = &VmId> {
        self.gone.get(&wave).into_iter().flatten()
    }

    /// Whether a call for a VM's maintenance in this wave may have been carried out without an answer.
    pub(super) fn may_have_begun(&self, wave: Number, vm: &str) -> bool {
        names(&self.begun, wave, vm)
    }

    /// Takes note that a call for a VM's maintenance is going to be sent.
    pub(super) fn mark_begun(&mut self, wave: Number, vm: &str) {
        if !self.may_have_begun(wave, vm) {
            self.begun.entry(wave).or_default().insert(String::from(vm));
            self.changed = true;
        }
    }

    /// Takes note that a VM's maintenance was carried out, or that the VM is not of this wave.
    pub(super) fn mark_done(&mut self, wave: Number, vm: &str) {
        if self.is_due(wave, vm) {
            self.done.entry(wave).or_default().insert(String::from(vm));
            self.forget_call(wave, vm);
        }
    }

    /// Takes note that the platform does not have a VM of this wave.
    pub(super) fn mark_gone(&mut self, now: Instant, wave: Number, vm: &str) {
        self.gone_at.insert(String::from(vm), now);
        if self.is_due(wave, vm) {
            self.gone.entry(wave).or_default().insert(String::from(vm));
            self.forget_call(wave, vm);
        }
    }

    /// Takes note that no call for a VM's maintenance has been carried out.
    pub(super) fn retract_begun(&mut self, wave: Number, vm: &str) {
        if self.may_have_begun(wave, vm) {
            self.forget_call(wave, vm);
        }
    }

    fn forget_call(&mut self, wave: Number, vm: &str) {
        if let Some(begun) = self.begun.get_mut(&wave) {
            begun.shift_remove(vm);
        }
        self.changed = true;
    }

    /// Makes the maintenance of a VM due again in the waves that have missed it; returns these waves.
    pub(super) fn restore_gone(&mut self, vm: &str) -> Vec<Number> {
        self.gone_at.swap_remove(vm);
        let missed: Vec<Number> =
            self.gone.keys().copied().filter(|wave| names(&self.gone, *wave, vm)).collect();
        for wave in &missed {
            if let Some(gone) = self.gone.get_mut(wave) {
                gone.shift_remove(vm);
            }
            self.changed = true;
        }
        missed
    }
}

fn names(vms: &Vms, wave: Number, vm: &str) -> bool {
    vms.get(&wave).is_some_and(|vms| vms.contains(vm))
}
