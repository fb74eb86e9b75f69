//! At-most-once execution of orders, coordinated through the orders stream of the log.
//!
//! An entry *claims* an order by appending a claim to the stream. The claim with the lowest offset
//! wins, which every entry derives identically from its [`Ledger`], the state of the stream. Only
//! the incarnation that wrote the winning claim (the owner) may run the order, and only after it
//! has read the claim back. So no entry runs an order that another one may have run; if the owner
//! has ended, the outcome is unknown. An owner that certainly has not run the order may *release*
//! it, which frees the key for the next claim; it commits to never running it under the old claim
//! before it writes the release.
//!
//! [`Batcher`] combines many transitions (claims, releases and outcomes) into one append and keeps
//! at most one append in flight, which is resent under the same id until it is known to be in the
//! log. [`Coordinator`] decides on the order requests of one entry. `models/order.pml` specifies
//! the protocol, and `docs/design/orders.md` gives the reasons for it.

mod batch;
mod coordinator;
mod key;
mod ledger;

use {
    crate::{
        event::{Finish, RequestId},
        record::Answer,
    },
    std::time::Instant,
};
pub use {
    batch::Batcher,
    coordinator::Coordinator,
    key::Key,
    ledger::{Ledger, Owner, Retention, Verdict},
};

/// A request for an order that arrived at this entry.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// Id of the request.
    pub id: RequestId,
    /// Key of the order.
    pub key: Key,
    /// Fingerprint of the request.
    pub request: u64,
    /// When the caller stops waiting for the response.
    pub deadline: Instant,
    /// Whether the caller has sent the key before.
    pub is_repeat: bool,
}

/// Instruction from the coordinator to the engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Run the request, then call [`Coordinator::ended`].
    Run(RequestId),
    /// Answer the request without running it.
    Finish(RequestId, Finish),
}

/// How the run of an order ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ending {
    /// The endpoint responded.
    Done(Answer),
    /// It certainly did not run and never will.
    NotRun,
    /// It may have run.
    Unknown,
}
