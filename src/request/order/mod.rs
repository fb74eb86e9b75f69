//! Orders that run at most once, agreed through the orders' stream of the log.
//!
//! An entry *claims* an order by a line in the stream. The first claim in offset order wins; every
//! entry judges this alike by its [`Ledger`], which applies the stream. Only the incarnation that
//! wrote the winning claim may run the order, and only after it has read the claim back, so no
//! entry ever runs an order that another may have run: if the claimant is gone, the outcome is
//! unknown. A claimant that certainly has not run the order may *release* it, which frees the key
//! for the next claim; it decides never to run by the old claim before the line is written.
//!
//! [`Batcher`] puts many lines into one append and keeps one append in flight, repeated under the
//! same name until it is known to be in the log. [`Coordinator`] decides for the requests of one entry.
//! `models/order.pml` is the specification of this, and `docs/design/orders.md` says why.

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

/// An order that arrived at this entry.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// Number of the request.
    pub id: RequestId,
    /// Key of the order.
    pub key: Key,
    /// Fingerprint of the request.
    pub request: u64,
    /// When the caller has no use for the answer.
    pub deadline: Instant,
    /// Whether the caller has sent the key before.
    pub is_repeat: bool,
}

/// What the coordinator asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Run the request; its end is told to [`Coordinator::ended`].
    Run(RequestId),
    /// Answer the request, which does not run.
    Finish(RequestId, Finish),
}

/// How the run of an order ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ending {
    /// The endpoint answered.
    Done(Answer),
    /// It certainly did not run and will not.
    NotRun,
    /// It may have run.
    Unknown,
}
