//! Answers to callers.

use {
    super::ledger::Outcome,
    displaydoc::Display,
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Shortest delay after which a refused caller is told to retry.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Longest delay after which a refused caller is told to retry.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(3);

/// Answer to a caller's request.
#[derive(Clone, Debug, Display, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Answer {
    /// the job is stored
    Accepted,
    /// the job is cancelled
    Cancelled,
    /// the job is {outcome:?}
    State {
        /// Outcome of the job.
        outcome: Outcome,
        /// Whether any of its tasks has started.
        started: bool,
    },
    /// {0} jobs wait
    Pending(usize),
    /// no such queue
    NoQueue,
    /// no such job
    NoJob,
    /// {0}
    Malformed(String),
    /// the method is not allowed here
    Method,
    /// not accepted, and nothing will run: {why}
    Refused {
        /// Reason.
        why: String,
        /// Delay after which the caller should retry.
        retry_after: Duration,
    },
    /// not passed on to an owner of the cell: {0}
    NoOwner(String),
    /// the outcome is not known: {0}
    Unknown(String),
    /// the key is missing or unknown
    UnknownKey,
    /// the name of the job is in use
    NameInUse,
    /// not accepted, and nothing will run: {why}
    OverRate {
        /// Reason.
        why: String,
        /// Delay after which the caller should retry.
        retry_after: Duration,
    },
    /// not looked at, so it is not known whether an earlier request was stored: {why}
    Overloaded {
        /// Reason.
        why: String,
        /// Delay after which the caller should retry.
        retry_after: Duration,
    },
}

impl Answer {
    /// HTTP status code of the answer.
    pub fn status(&self) -> u16 {
        match self {
            Self::Accepted | Self::Cancelled | Self::State { .. } | Self::Pending(_) => 200,
            Self::NoQueue => 404,
            Self::NoJob => 410,
            Self::Malformed(_) => 400,
            Self::UnknownKey => 401,
            Self::NameInUse => 403,
            Self::OverRate { .. } => 429,
            Self::Method => 405,
            Self::Refused { .. } | Self::NoOwner(_) => 503,
            Self::Unknown(_) | Self::Overloaded { .. } => 504,
        }
    }

    /// Whether it says that the request can't be served, by the manifest in force or by its content.
    pub fn is_denial(&self) -> bool {
        matches!(
            self,
            Self::NoQueue | Self::UnknownKey | Self::NameInUse | Self::Malformed(_) | Self::Method
        )
    }

    /// Delay after which the caller of a refused request should retry.
    pub fn retry_after(&self) -> Option<Duration> {
        match self {
            Self::Refused { retry_after, .. }
            | Self::OverRate { retry_after, .. }
            | Self::Overloaded { retry_after, .. } => Some(*retry_after),
            _ => None,
        }
    }

    /// Answers a request that was not looked at, for want of memory. Its job may have been stored by an
    /// earlier request, so it does not say that nothing will run.
    pub fn overloaded(why: impl Into<String>) -> Self {
        Self::Overloaded { why: why.into(), retry_after: MIN_RETRY_AFTER }
    }

    /// Refuses a request that hasn't been passed on. `missing` is the time for which the part that
    /// it needs, such as the ledger, has not answered; the caller is told to retry after the same
    /// time again, within bounds.
    pub fn refused(why: impl Into<String>, missing: Duration) -> Self {
        Self::Refused {
            why: why.into(),
            retry_after: missing.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER),
        }
    }
}
