//! The request plane: accepts callers' HTTP/1.1 requests, forwards them to endpoints and returns
//! the responses.
//!
//! This module defines a request's metadata and the HTTP headers that carry it. A caller sends its
//! request to `/{service}/...`. The response's [`OUTCOME_HEADER`] reports the result; `not-run` is
//! sent only if the request certainly did not run.

pub mod admit;
pub(crate) mod body;
pub mod daemon;
pub mod eject;
pub mod engine;
pub mod exchange;
pub mod inventory;
pub mod link;
pub mod order;
pub mod relay;
pub mod retry;
pub mod server;
pub mod slot;

use {
    crate::id::{OrderKey, ServiceId, TeamId},
    serde::{Deserialize, Serialize},
    std::{fmt, time::Instant},
};

/// Caller's team; [`DEFAULT_TEAM`] if absent.
pub const TEAM_HEADER: &str = "carobhitch-team";
/// `quick`, `watch` or `order`. If absent, a request with a [`KEY_HEADER`] is an order and any other
/// one is quick.
pub const CLASS_HEADER: &str = "carobhitch-class";
/// Request timeout in milliseconds, counted from arrival at the entry.
pub const DEADLINE_HEADER: &str = "carobhitch-deadline-ms";
/// Idempotency key of an order; every retry by the caller carries the same key.
pub const KEY_HEADER: &str = "idempotency-key";
/// On an order: present if the caller has sent its key before; `not-run` then covers all earlier
/// requests with the key as well.
pub const REPEAT_HEADER: &str = "carobhitch-repeat";
/// On responses: `not-kept` if the order is done but its response was too long or too old to be
/// stored.
pub const ANSWER_HEADER: &str = "carobhitch-answer";
/// On responses: `done`, `failed`, `not-run` or `unknown`.
pub const OUTCOME_HEADER: &str = "carobhitch-outcome";
/// Attempt's id, sent to the endpoint and repeated in its response, so that a response to another
/// request is detected.
pub const ATTEMPT_HEADER: &str = "carobhitch-attempt";
/// On an endpoint's response: present if the endpoint accepts no new requests.
pub const LEAVING_HEADER: &str = "carobhitch-leaving";
/// Team of requests without [`TEAM_HEADER`].
pub const DEFAULT_TEAM: &str = "default";

/// How a request may be scheduled and retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// Short and idempotent.
    Quick,
    /// Long-running, with a long deadline, and idempotent.
    Watch,
    /// Not idempotent: must run at most once.
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

/// Result of a request as reported to its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The endpoint responded without a server error.
    Done,
    /// The endpoint ran it and responded with a server error, or the caller's order key belongs to
    /// another request.
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

/// Metadata of a request, without its body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Service it is addressed to.
    pub service: ServiceId,
    /// Caller's team.
    pub team: TeamId,
    /// How it may be scheduled and retried.
    pub class: Class,
    /// When the caller stops waiting for the response.
    pub deadline: Instant,
    /// Idempotency key of an order.
    pub key: Option<OrderKey>,
    /// Whether the caller has sent the key before.
    pub repeat: bool,
}
