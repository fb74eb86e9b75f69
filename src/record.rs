//! Records that the system keeps in the platform's log.
//!
//! Each is a request to change the state; the state machine accepts or rejects it, identically on
//! every entry.

use {
    crate::{
        fleet::Declaration,
        id::{EntryId, Incarnation, Offset, OperationId, OrderKey, VmId, ZoneId},
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
    /// An entry begins to serve.
    Join {
        /// The entry.
        entry: Member,
    },
    /// An entry's incarnation has ended.
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
    /// A drained VM takes work again.
    Return {
        /// The VM.
        vm: VmId,
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

/// A claim to an order, or its outcome.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Line {
    /// The first claim of a key in offset order may run it.
    Claim {
        /// Caller's key.
        key: OrderKey,
        /// Fingerprint of the request that the key names.
        request: u64,
    },
    /// How the claimed order ended.
    Outcome {
        /// Caller's key.
        key: OrderKey,
        /// Status and body of the answer; none if it certainly did not run.
        answer: Option<Answer>,
    },
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
