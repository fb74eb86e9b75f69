//! Records that entries append to the platform's log.
//!
//! A record of the fleet's stream is a request to change the state; the state machine accepts or
//! rejects it, identically on every entry. Records of the orders' stream claim orders and report
//! their outcomes.

use {
    crate::{
        change::Change,
        fleet::Declaration,
        id::{
            EntryId, Epoch, Incarnation, LeaseId, Offset, OperationId, OrderId, VmId, WaveId,
            ZoneId,
        },
    },
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, time::Duration},
};

/// Stream of [`Record`]s.
pub const FLEET_STREAM: &str = "fleet";
/// Stream of [`Batch`]es.
pub const ORDERS_STREAM: &str = "orders";

/// One record of the fleet's stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Record {
    /// Idempotency key: a second record with the same operation has no effect.
    pub operation: OperationId,
    /// Name of the operator or entry that wrote it.
    pub author: String,
    /// When it was written, since the Unix epoch.
    pub at: Duration,
    /// Requested change.
    pub body: Body,
}

/// Requested change of the state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Body {
    /// Replaces the declaration, provided that its version is still `expected`.
    Declare {
        /// The complete new declaration.
        declaration: Box<Declaration>,
        /// Version of the declaration that the author saw; `None` for the first declaration.
        expected: Option<Offset>,
    },
    /// Changes single objects, all or none of them.
    Change {
        /// Edits, at most one per object.
        changes: Vec<Change>,
    },
    /// An entry becomes a member. It routes to endpoints only once it has applied this record.
    Join {
        /// The entry.
        entry: Member,
    },
    /// An entry's incarnation is proven to have ended, so it holds no work any more.
    Gone {
        /// The entry.
        entry: EntryId,
        /// The incarnation that ended.
        incarnation: Incarnation,
    },
    /// An operator or the controller drains a VM: it takes no new work.
    Drain {
        /// The VM.
        vm: VmId,
    },
    /// An entry confirms that it holds no work on a draining VM any more.
    Emptied {
        /// The VM.
        vm: VmId,
        /// The entry.
        entry: EntryId,
        /// Its incarnation.
        incarnation: Incarnation,
        /// Offset of the drain that it confirms.
        drain: Offset,
    },
    /// Ends the drain of a VM by an operator or after a failure; other causes may still hold it.
    Return {
        /// The VM.
        vm: VmId,
    },
    /// Completes the pending move of a VM on which no entry holds work any more: it changes to its
    /// declared pool or leaves the fleet.
    Moved {
        /// The VM.
        vm: VmId,
        /// Offset of the drain that was confirmed.
        drain: Offset,
    },
    /// An entry acquires a lease that is free or has expired.
    Acquire {
        /// The lease.
        lease: LeaseId,
        /// The entry.
        entry: EntryId,
        /// Its incarnation.
        incarnation: Incarnation,
        /// Current epoch as the entry saw it, 0 if the lease was never held.
        epoch: Epoch,
        /// Time until the lease runs out, from the record's time.
        term: Duration,
    },
    /// The holder of a lease extends it.
    Renew {
        /// The lease.
        lease: LeaseId,
        /// Epoch in which it is held.
        epoch: Epoch,
        /// Time until the lease runs out, from the record's time.
        term: Duration,
    },
    /// The holder of a lease releases it.
    Release {
        /// The lease.
        lease: LeaseId,
        /// Epoch in which it is held.
        epoch: Epoch,
    },
    /// Applies `body` only if `epoch` is still the current epoch of the lease.
    Fenced {
        /// The lease.
        lease: LeaseId,
        /// Epoch in which the author held it.
        epoch: Epoch,
        /// Requested change.
        body: Box<Body>,
    },
    /// Changes in which VMs the platform reports as running. Accepted only inside `Fenced`.
    Health {
        /// Time of the platform's list, since the Unix epoch.
        as_of: Duration,
        /// VMs that are no longer running.
        lost: Vec<VmId>,
        /// VMs that are running again.
        found: Vec<VmId>,
    },
    /// Starts a run of a declared wave.
    Begin {
        /// The wave.
        wave: WaveId,
    },
    /// Pauses a wave: it takes no further VM.
    Pause {
        /// The wave.
        wave: WaveId,
        /// Why, for operators.
        why: String,
    },
    /// Resumes a paused wave; failures before this record no longer count towards a pause.
    Resume {
        /// The wave.
        wave: WaveId,
    },
    /// Cancels a wave: it ends once the VMs in maintenance are done.
    Cancel {
        /// The wave.
        wave: WaveId,
    },
    /// Next step of a wave on a VM. Accepted only inside `Fenced`.
    Step {
        /// The wave.
        wave: WaveId,
        /// Run of the wave, named by the offset of the record that began it.
        run: Offset,
        /// The VM.
        vm: VmId,
        /// The step.
        step: Step,
    },
}

/// Step of a wave on a VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Step {
    /// Drains the VM in order to reboot it.
    Take {
        /// Boot count of the VM before the reboot.
        boots: u64,
    },
    /// The reboot ended and the VM is live.
    Done,
    /// The reboot ended without a live VM; the VM stays drained until an operator returns it.
    Failed {
        /// Why, for operators.
        why: String,
    },
}

/// An entry that serves, and the addresses at which others reach it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Member {
    /// Name.
    pub id: EntryId,
    /// Incarnation.
    pub incarnation: Incarnation,
    /// Availability zone.
    pub zone: ZoneId,
    /// Address at which it accepts connections of other entries.
    pub link: SocketAddr,
    /// Address at which it accepts operators' calls.
    pub rpc: SocketAddr,
}

/// One record of the orders' stream: claims and outcomes that one entry appended together.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Batch {
    /// The entry that wrote it.
    pub entry: EntryId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Sequence number of the batch; a repeated append carries the same one.
    pub sequence: u64,
    /// Claims and outcomes.
    pub lines: Vec<Transition>,
}

/// Claim of an order, or its outcome.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Transition {
    /// An entry claims an order. The first claim in offset order that was not released wins: only
    /// its author may run the order.
    Claim {
        /// The order.
        #[serde(with = "hex")]
        order: OrderId,
        /// Fingerprint of the request, by which a reused order key is noticed.
        request: u64,
    },
    /// The claimant ran the order.
    Done {
        /// The order.
        #[serde(with = "hex")]
        order: OrderId,
        /// What the endpoint answered.
        answer: Answer,
    },
    /// The claimant has not run the order, will never run it under this claim and gives it up.
    Release {
        /// The order.
        #[serde(with = "hex")]
        order: OrderId,
    },
    /// The claimant does not know whether the order ran.
    Unknown {
        /// The order.
        #[serde(with = "hex")]
        order: OrderId,
    },
}

impl Transition {
    /// The order that it concerns.
    pub fn order(&self) -> OrderId {
        match self {
            Self::Claim { order, .. }
            | Self::Done { order, .. }
            | Self::Release { order }
            | Self::Unknown { order } => *order,
        }
    }
}

/// Serialises order ids as hexadecimal text, since JSON numbers do not hold 128 bits.
mod hex {
    use {
        crate::id::OrderId,
        serde::{Deserialize, Deserializer, Serializer, de::Error},
    };

    pub(super) fn serialize<S: Serializer>(id: &OrderId, to: S) -> Result<S::Ok, S::Error> {
        to.collect_str(&format_args!("{id:032x}"))
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<OrderId, D::Error> {
        OrderId::from_str_radix(&String::deserialize(from)?, 16).map_err(D::Error::custom)
    }
}

/// Stored answer to an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Body, if it was short enough to store.
    pub body: Option<String>,
}
