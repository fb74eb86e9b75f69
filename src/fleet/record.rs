//! Records that the system keeps in the platform's log.
//!
//! Each is a request to change the state; the state machine accepts or rejects it, identically on
//! every entry.

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

/// Stream of the fleet's records.
pub const FLEET_STREAM: &str = "fleet";
/// Stream of the claims to orders.
pub const ORDERS_STREAM: &str = "orders";

/// One record of the fleet's stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Record {
    /// Name of the call or action that wrote it; a second record of the same name has no effect.
    pub operation: OperationId,
    /// Who asked: an operator's name or an entry's.
    pub author: String,
    /// When it was written, since the Unix epoch.
    pub at: Duration,
    /// What is asked.
    pub body: Body,
}

/// What a record asks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Body {
    /// Puts a declaration in force in place of the one of `expected` version.
    Declare {
        /// The whole declaration.
        declaration: Box<Declaration>,
        /// Offset of the declaration it was made from; none for the first.
        expected: Option<Offset>,
    },
    /// Puts changes of single objects in force, all or none.
    Change {
        /// Edits, at most one of each object.
        changes: Vec<Change>,
    },
    /// An entry begins to serve. It routes to endpoints only once it has applied this record.
    Join {
        /// The entry.
        entry: Member,
    },
    /// An entry's incarnation has ended: its processes run no more, by the platform's word.
    Gone {
        /// The entry.
        entry: EntryId,
        /// Its incarnation that ended.
        incarnation: Incarnation,
    },
    /// A VM takes no new work.
    Drain {
        /// The VM.
        vm: VmId,
    },
    /// An entry holds no work on a draining VM any more.
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
    /// A VM that an operator drained takes work again, unless something else holds it drained.
    Return {
        /// The VM.
        vm: VmId,
    },
    /// A VM that every entry has emptied changes to its declared pool, or leaves the fleet.
    Moved {
        /// The VM.
        vm: VmId,
        /// Offset of the drain that was confirmed.
        drain: Offset,
    },
    /// An entry asks for a lease that is free or has run out.
    Acquire {
        /// The lease.
        lease: LeaseId,
        /// The entry.
        entry: EntryId,
        /// Its incarnation.
        incarnation: Incarnation,
        /// Epoch that the entry saw, 0 if the lease was never held.
        epoch: Epoch,
        /// Time until the lease runs out, from the record's time.
        term: Duration,
    },
    /// The holder of a lease prolongs it.
    Renew {
        /// The lease.
        lease: LeaseId,
        /// Epoch in which it is held.
        epoch: Epoch,
        /// Time until the lease runs out, from the record's time.
        term: Duration,
    },
    /// The holder of a lease gives it up.
    Release {
        /// The lease.
        lease: LeaseId,
        /// Epoch in which it is held.
        epoch: Epoch,
    },
    /// Has the effect of `body` only if the lease is still held in that epoch.
    Fenced {
        /// The lease.
        lease: LeaseId,
        /// Epoch in which the author holds it.
        epoch: Epoch,
        /// What is asked.
        body: Box<Body>,
    },
    /// VMs that the platform lists as dead or live again. Fenced only.
    Health {
        /// Time that the platform's list describes, since the Unix epoch.
        as_of: Duration,
        /// VMs that do not run.
        lost: Vec<VmId>,
        /// VMs that run again.
        found: Vec<VmId>,
    },
    /// A declared wave starts over its pool.
    Begin {
        /// The wave.
        wave: WaveId,
    },
    /// A wave takes no further VM.
    Pause {
        /// The wave.
        wave: WaveId,
        /// Why, for operators.
        why: String,
    },
    /// A paused wave goes on; its failures so far are forgiven.
    Resume {
        /// The wave.
        wave: WaveId,
    },
    /// A wave ends once the VMs that it holds are done.
    Cancel {
        /// The wave.
        wave: WaveId,
    },
    /// A wave's next step on a VM. Fenced only.
    Step {
        /// The wave.
        wave: WaveId,
        /// Offset of the record that began it.
        run: Offset,
        /// The VM.
        vm: VmId,
        /// The step.
        step: Step,
    },
}

/// What a wave does to a VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Step {
    /// Drains it in order to reboot it.
    Take {
        /// Boots of the VM before.
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

/// An entry as its peers reach it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Member {
    /// Name.
    pub id: EntryId,
    /// Incarnation.
    pub incarnation: Incarnation,
    /// Availability zone.
    pub zone: ZoneId,
    /// Where it accepts links from other entries.
    pub link: SocketAddr,
    /// Where it accepts operators' calls.
    pub rpc: SocketAddr,
}

/// One record of the orders' stream: claims and outcomes that one entry wrote together.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Batch {
    /// The entry that wrote it.
    pub entry: EntryId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Number of the batch; a repeated append has the same.
    pub sequence: u64,
    /// Claims and outcomes.
    pub lines: Vec<Line>,
}

/// A claim to an order, or what became of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Line {
    /// The first claim of an order in offset order may run it.
    Claim {
        /// The order.
        #[serde(with = "hex")]
        order: OrderId,
        /// Fingerprint of the request.
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
    /// The claimant has not run the order and will not run it by this claim.
    Release {
        /// The order.
        #[serde(with = "hex")]
        order: OrderId,
    },
    /// The claimant doesn't know whether the order ran.
    Unknown {
        /// The order.
        #[serde(with = "hex")]
        order: OrderId,
    },
}

impl Line {
    /// The order that the line is about.
    pub fn order(&self) -> OrderId {
        match self {
            Self::Claim { order, .. }
            | Self::Done { order, .. }
            | Self::Release { order }
            | Self::Unknown { order } => *order,
        }
    }
}

/// Order ids as text, since JSON numbers don't hold 128 bits.
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

/// A kept answer to an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Body, if it was short enough to keep.
    pub body: Option<String>,
}
