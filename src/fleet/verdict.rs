//! Verdicts of the state machine on records: accepted, or rejected with a reason.

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

/// Result of a change of the state; the error is the reason to reject the record.
pub type Result<T = ()> = std::result::Result<T, Reason>;

/// Decision of the state machine on a record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// The record has taken effect.
    Accepted,
    /// The record has no effect.
    Rejected(Reason),
}

/// All faults of a declaration or a change.
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
        /// Version that the declaration was made from.
        expected: Option<Offset>,
        /// Version in force.
        found: Option<Offset>,
    },
    /// record at offset {offset} is out of order: the next offset to apply is {next}
    Gap {
        /// Offset of the record.
        offset: Offset,
        /// Offset of the next record to apply.
        next: Offset,
    },
    /// vm {0:?} is not declared
    UnknownVm(VmId),
    /// wave {0:?} is not declared
    UnknownWave(WaveId),
    /// {0}
    Invalid(String),
    /// changed by another call since it was read: {0}
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
    /// vm {vm:?} may still hold work: {waiting} entries have not confirmed the drain
    Holding {
        /// The VM.
        vm: VmId,
        /// Number of entries that have not confirmed the drain.
        waiting: usize,
    },
    /// vm {vm:?} is in maintenance by wave {wave:?}
    InWave {
        /// The VM.
        vm: VmId,
        /// The wave.
        wave: WaveId,
    },
    /// vm {0:?} has no pending move
    NoMove(VmId),
    /// incarnation {incarnation} of entry {entry:?} is not a member
    NotMember {
        /// The entry.
        entry: EntryId,
        /// Its incarnation.
        incarnation: Incarnation,
    },
    /// entry {entry:?} already serves as incarnation {found}, which has not ended
    Occupied {
        /// The entry.
        entry: EntryId,
        /// Incarnation that currently serves.
        found: Incarnation,
    },
    /// lease {lease:?} is in epoch {found}, not {epoch}
    Fenced {
        /// The lease.
        lease: LeaseId,
        /// Epoch that the record names.
        epoch: Epoch,
        /// Current epoch.
        found: Epoch,
    },
    /// lease {lease:?} is held by entry {holder:?}
    Held {
        /// The lease.
        lease: LeaseId,
        /// Current holder.
        holder: EntryId,
    },
    /// the record must be fenced by the epoch of a lease
    Unfenced,
    /// the platform's list is not newer than the last one applied
    OldList,
    /// service {service:?} has {unavailable} unavailable endpoints; the limit is {max}
    Budget {
        /// The service.
        service: ServiceId,
        /// Number of unavailable endpoints.
        unavailable: u32,
        /// Maximum declared in the budget.
        max: u32,
    },
    /// service {service:?} has {unavailable} unavailable endpoints in {zone:?}; the limit is {max}
    ZoneBudget {
        /// The service.
        service: ServiceId,
        /// The availability zone.
        zone: ZoneId,
        /// Number of unavailable endpoints in it.
        unavailable: u32,
        /// Maximum per availability zone declared in the budget.
        max: u32,
    },
    /// service {service:?} spent {spent_secs} of {allowed_secs} endpoint-seconds in its window
    Burnt {
        /// The service.
        service: ServiceId,
        /// Endpoint-seconds of unavailability in the window.
        spent_secs: u64,
        /// Endpoint-seconds of unavailability that the target allows.
        allowed_secs: u64,
    },
    /// wave {wave:?} {why}
    Wave {
        /// The wave.
        wave: WaveId,
        /// Why the wave does not allow the operation. Stored with the verdict in the state of every
        /// entry, so rewording it would make entries of different versions disagree.
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
