//! Decides whether a failed attempt is retried.
//!
//! A retry is allowed only if the endpoint certainly did not run the attempt or the request is
//! idempotent, only if it can finish before the deadline, and only within a retry budget. The
//! budget is a token bucket filled by successful requests, so that retries stay a small share of
//! the load: when every endpoint fails, nothing is added and at most the bucket's content is spent.

use {
    crate::request::{Class, Outcome},
    std::time::{Duration, Instant},
};

/// Cost of one retry in thousandths of a token.
const RETRY_MILLITOKENS: u32 = 1000;

/// Limits on retries.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Thousandths of a token that each successful request adds.
    pub deposit_millitokens: u32,
    /// Capacity of the token bucket, in retries.
    pub reserve: u32,
    /// Maximum attempts at one request, including the first.
    pub attempts: u32,
}

impl Default for Limits {
    fn default() -> Self {
        Self { deposit_millitokens: 100, reserve: 10, attempts: 3 }
    }
}

/// How an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// Nothing was sent because no connection could be opened.
    NotSent,
    /// The endpoint responded that it did not run the request.
    Refused,
    /// Something was sent but no complete response arrived.
    Lost,
    /// The endpoint ran the request and responded that it failed.
    Answered,
}

impl Failure {
    /// Whether the endpoint certainly did not run the attempt and never will.
    pub fn is_certain(self) -> bool {
        matches!(self, Self::NotSent | Self::Refused)
    }

    /// Outcome to report to the caller if this was the last attempt.
    pub fn outcome(self) -> Outcome {
        match self {
            Self::NotSent | Self::Refused => Outcome::NotRun,
            Self::Lost => Outcome::Unknown,
            Self::Answered => Outcome::Failed,
        }
    }
}

/// A failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// Class of the request.
    pub class: Class,
    /// Number of the attempt, from 1.
    pub number: u32,
    /// Whether this or an earlier attempt at the request may have run.
    pub may_have_run: bool,
    /// Deadline of the request.
    pub deadline: Instant,
    /// How the attempt failed.
    pub failure: Failure,
}

/// What to do after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Try another endpoint.
    Retry,
    /// Report the outcome to the caller.
    Answer(Outcome),
}

/// Retry budget of one service on this entry.
#[derive(Clone, Debug)]
pub struct Budget {
    limits: Limits,
    /// Content of the token bucket in thousandths of a token.
    millitokens: u32,
}

impl Budget {
    /// Creates a budget with a full token bucket.
    pub fn new(limits: Limits) -> Self {
        let millitokens = limits.reserve * RETRY_MILLITOKENS;
        Self { limits, millitokens }
    }

    /// Adds the share of a successful request.
    pub fn succeed(&mut self) {
        let capacity_millitokens = self.limits.reserve * RETRY_MILLITOKENS;
        self.millitokens =
            (self.millitokens + self.limits.deposit_millitokens).min(capacity_millitokens);
    }

    /// Decides what follows a failed attempt; a retry is expected to take `run_time`.
    pub fn decide(&mut self, now: Instant, attempt: &Attempt, run_time: Duration) -> Verdict {
        let allowed = attempt.failure.is_certain() || attempt.class != Class::Order;
        let within_limits =
            attempt.number < self.limits.attempts && now + run_time < attempt.deadline;
        if allowed && within_limits && self.millitokens >= RETRY_MILLITOKENS {
            self.millitokens -= RETRY_MILLITOKENS;
            return Verdict::Retry;
        }
        let outcome = attempt.failure.outcome();
        Verdict::Answer(match outcome {
            Outcome::NotRun if attempt.may_have_run => Outcome::Unknown,
            _ => outcome,
        })
    }
}

/// Timeout for an endpoint: the time until the deadline less that for returning the response.
pub fn time_left(now: Instant, deadline: Instant, return_time: Duration) -> Option<Duration> {
    deadline.checked_duration_since(now + return_time).filter(|left| !left.is_zero())
}
