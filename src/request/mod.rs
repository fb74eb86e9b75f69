//! A caller's request as the decisions see it, and the headers that carry it.
//!
//! A caller sends HTTP/1.1 to `/{service}/...`. The answer's [`OUTCOME_HEADER`] says what became of
//! the request; `not-run` is only said when it is certain.

pub mod admit;
pub(crate) mod body;
pub mod daemon;
pub mod eject;
pub mod engine;
pub mod exchange;
pub mod link;
pub mod order;
pub mod relay;
pub mod retry;
pub mod roster;
pub mod server;
pub mod slot;

use {
    crate::id::{OrderKey, ServiceId, TeamId},
    serde::{Deserialize, Serialize},
    std::{fmt, time::Instant},
};

/// Names the caller's team; absent means [`DEFAULT_TEAM`].
pub const TEAM_HEADER: &str = "carobhitch-team";
/// One of `quick`, `watch` and `order`; absent means `quick`.
pub const CLASS_HEADER: &str = "carobhitch-class";
/// Milliseconds from arrival until the caller has no use for the answer.
pub const DEADLINE_HEADER: &str = "carobhitch-deadline-ms";
/// Caller's key for an order; every repetition carries the same.
pub const KEY_HEADER: &str = "idempotency-key";
/// On an order: present if the caller has sent its key before; `not-run` then speaks for every try.
pub const REPEAT_HEADER: &str = "carobhitch-repeat";
/// On answers: `not-kept` if the order is done but its answer was too long or too old to be kept.
pub const ANSWER_HEADER: &str = "carobhitch-answer";
/// On answers: `done`, `failed`, `not-run` or `unknown`.
pub const OUTCOME_HEADER: &str = "carobhitch-outcome";
/// To endpoints and back: names the attempt, so that an answer is matched to its request.
pub const ATTEMPT_HEADER: &str = "carobhitch-attempt";
/// On an endpoint's answer: present if the endpoint takes no new work.
pub const LEAVING_HEADER: &str = "carobhitch-leaving";
/// Team of callers that name none.
pub const DEFAULT_TEAM: &str = "default";

/// Kind of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// Short and idempotent.
    Quick,
    /// Long, patient and idempotent.
    Watch,
    /// Must not be run twice.
    Order,
}

impl fmt::Display for Class {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Quick => "quick",
            Self::Watch => "watch",
            Self::Order => "order",
        })
    }
}

/// What became of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The endpoint answered.
    Done,
    /// It ran and failed.
    Failed,
    /// It did not run and never will.
    NotRun,
    /// It may have run.
    Unknown,
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Done => "done",
            Self::Failed => "failed",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        })
    }
}

/// A request without its body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Service that should answer.
    pub service: ServiceId,
    /// Team that asks.
    pub team: TeamId,
    /// Kind.
    pub class: Class,
    /// When the caller has no use for the answer any more.
    pub deadline: Instant,
    /// Key of an order.
    pub key: Option<OrderKey>,
    /// The caller has sent the key before.
    pub repeat: bool,
}
