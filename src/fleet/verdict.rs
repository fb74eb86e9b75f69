//! What became of a record, and why.

use {
    crate::{
        check::Fault,
        id::{
            EntryId, Epoch, Incarnation, LeaseId, Offset, PoolId, ServiceId, VmId, WaveId, ZoneId,
        },
    },
    displaydoc::Display,
    serde::{Deserialize, Serialize},
    std::fmt,
};

/// Outcome of a change of the state.
pub type Result<T = ()> = std::result::Result<T, Reason>;

/// What became of a record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// In force.
    Accepted,
    /// Without effect, and why.
    Rejected(Reason),
}

/// Everything that is wrong with a declaration or a change.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Faults(pub Vec<Fault>);

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, fault) in self.0.iter().enumerate() {
            let separator = if index == 0 { "" } else { "; " };
            write!(f, "{separator}{fault}")?;
        }
        Ok(())
    }
}

/// Why a record was rejected.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// declaration was made from version {expected:?}, but {found:?} is in force
    Stale {
        /// Version that the author saw.
        expected: Option<Offset>,
        /// Version in force.
        found: Option<Offset>,
    },
    /// record at offset {offset} does not follow: the next one is at {next}
    Gap {
        /// Offset of the record.
        offset: Offset,
        /// Offset of the record that should be applied.
        next: Offset,
    },
    /// vm {0:?} is not declared
    UnknownVm(VmId),
    /// wave {0:?} is not declared
    UnknownWave(WaveId),
    /// {0}
    Invalid(String),
    /// changed by others since it was read: {0}
    Conflict(Faults),
    /// {0}
    Faults(Faults),
    /// vm {vm:?} has no drain that began at offset {drain}
    NoDrain {
        /// The VM.
        vm: VmId,
        /// Offset of the drain that the record names.
        drain: Offset,
    },
    /// vm {vm:?} may still hold work of {waiting} entries
    Holding {
        /// The VM.
        vm: VmId,
        /// Entries that have not confirmed.
        waiting: usize,
    },
    /// vm {vm:?} is held by wave {wave:?}
    InWave {
        /// The VM.
        vm: VmId,
        /// The wave.
        wave: WaveId,
    },
    /// vm {0:?} has no move declared
    NoMove(VmId),
    /// incarnation {incarnation} of entry {entry:?} does not serve
    NotMember {
        /// The entry.
        entry: EntryId,
        /// Its incarnation.
        incarnation: Incarnation,
    },
    /// entry {entry:?} already serves as incarnation {found} elsewhere, which has not ended
    Occupied {
        /// The entry.
        entry: EntryId,
        /// Incarnation that serves.
        found: Incarnation,
    },
    /// lease {lease:?} is in epoch {found}, not {epoch}
    Fenced {
        /// The lease.
        lease: LeaseId,
        /// Epoch that the record names.
        epoch: Epoch,
        /// Epoch in force.
        found: Epoch,
    },
    /// lease {lease:?} is held by entry {holder:?}
    Held {
        /// The lease.
        lease: LeaseId,
        /// Its holder.
        holder: EntryId,
    },
    /// the record must be fenced by a lease
    Unfenced,
    /// the platform's list is not newer than the one in force
    OldList,
    /// service {service:?} has {unavailable} endpoints unavailable and may have {max}
    Budget {
        /// The service.
        service: ServiceId,
        /// Endpoints unavailable.
        unavailable: u32,
        /// Endpoints that may be unavailable.
        max: u32,
    },
    /// service {service:?} has {unavailable} endpoints unavailable in {zone:?} and may have {max}
    ZoneBudget {
        /// The service.
        service: ServiceId,
        /// The availability zone.
        zone: ZoneId,
        /// Endpoints unavailable in it.
        unavailable: u32,
        /// Endpoints that may be unavailable in it.
        max: u32,
    },
    /// service {service:?} spent {spent_secs} endpoint-seconds of {allowed_secs} in its window
    Burnt {
        /// The service.
        service: ServiceId,
        /// Endpoint-seconds unavailable in the window.
        spent_secs: u64,
        /// Endpoint-seconds that may be.
        allowed_secs: u64,
    },
    /// wave {wave:?} {why}
    Wave {
        /// The wave.
        wave: WaveId,
        /// What forbids the step.
        why: String,
    },
    /// vm {vm:?} is not in pool {pool:?}
    OtherPool {
        /// The VM.
        vm: VmId,
        /// The pool.
        pool: PoolId,
    },
}
