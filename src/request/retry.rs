//! Decides whether a failed attempt is made again.
//!
//! An attempt is made again only if the endpoint certainly did not run it, or if the request is
//! idempotent; only while enough of the deadline is left; and only within a budget. Successes pay
//! into the budget, so that retries stay a small share of the load: when every endpoint fails,
//! nothing is paid in and no more than the reserve is spent.

use {
    crate::request::{Class, Outcome},
    std::time::{Duration, Instant},
};

/// Thousandths of a retry in one retry.
const RETRY_MILLIS: u32 = 1000;

/// Limits on retries.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Thousandths of a retry that each success pays for.
    pub paid_millis: u32,
    /// Retries that can be saved up.
    pub reserve: u32,
    /// Attempts at one request, the first included.
    pub attempts: u32,
}

impl Default for Limits {
    fn default() -> Self {
        Self { paid_millis: 100, reserve: 10, attempts: 3 }
    }
}

/// How an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// Nothing was sent, as no connection could be made.
    NotSent,
    /// The endpoint answered that it did not run the request.
    Refused,
    /// Something was sent and no whole answer came.
    Lost,
    /// The endpoint ran the request and answered that it failed.
    Answered,
}

impl Failure {
    /// The endpoint did not run the attempt and never will.
    pub fn is_certain(self) -> bool {
        matches!(self, Self::NotSent | Self::Refused)
    }

    /// What the caller is told if the attempt was the last.
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
    /// Kind of the request.
    pub class: Class,
    /// Number of the attempt, from 1.
    pub number: u32,
    /// An earlier attempt at the request may have run.
    pub may_have_run: bool,
    /// When the caller has no use for the answer any more.
    pub deadline: Instant,
    /// How it failed.
    pub failure: Failure,
}

/// What to do after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Try another endpoint.
    Retry,
    /// Tell the caller.
    Answer(Outcome),
}

/// Retries that a service may make from this entry.
#[derive(Clone, Debug)]
pub struct Budget {
    limits: Limits,
    saved_millis: u32,
}

impl Budget {
    /// A budget with a full reserve.
    pub fn new(limits: Limits) -> Self {
        let saved_millis = limits.reserve * RETRY_MILLIS;
        Self { limits, saved_millis }
    }

    /// Pays in for an answer that was not a failure.
    pub fn succeed(&mut self) {
        let reserve_millis = self.limits.reserve * RETRY_MILLIS;
        self.saved_millis = (self.saved_millis + self.limits.paid_millis).min(reserve_millis);
    }

    /// Decides what follows a failed attempt; a run is expected to take `run_time`.
    pub fn decide(&mut self, now: Instant, attempt: &Attempt, run_time: Duration) -> Verdict {
        let allowed = attempt.failure.is_certain() || attempt.class != Class::Order;
        let left = attempt.number < self.limits.attempts && now + run_time < attempt.deadline;
        if allowed && left && self.saved_millis >= RETRY_MILLIS {
            self.saved_millis -= RETRY_MILLIS;
            return Verdict::Retry;
        }
        let outcome = attempt.failure.outcome();
        Verdict::Answer(match outcome {
            Outcome::NotRun if attempt.may_have_run => Outcome::Unknown,
            _ => outcome,
        })
    }
}

/// Time that an endpoint is given: what is left until the deadline, less the way back.
pub fn time_left(now: Instant, deadline: Instant, way_back: Duration) -> Option<Duration> {
    deadline.checked_duration_since(now + way_back).filter(|left| !left.is_zero())
}
