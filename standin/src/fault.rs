//! Faults that the stand-ins are given, at start or while they run.
//!
//! A fault that a request leaves out is switched off.

use {
    serde::{Deserialize, Serialize},
    std::time::{Duration, Instant},
};

/// How a platform in an outage treats its callers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outage {
    /// Refuses connections.
    #[default]
    Refuse,
    /// Answers 503.
    Unavailable,
    /// Reads requests and doesn't answer.
    Silent,
}

/// Faults of the platform.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Platform {
    /// Length of an outage that begins at once.
    pub outage_ms: u64,
    /// Kind of the outage.
    pub outage: Outage,
    /// Delay of each call before it takes effect.
    pub delay_ms: u64,
    /// Calls that change something and whose answer is lost after the effect: how many from now.
    pub lose_next: u64,
    /// Probability that an answer is lost after the effect, from 0 to 1.
    pub lose_probability: f64,
    /// Appends a second; 0 means no bound.
    pub appends_per_second: u64,
}

/// Faults of an endpoint.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Runner {
    /// Doesn't answer any more on connections that are open now; new ones work.
    pub silence_open: bool,
    /// Delay of each answer after the work.
    pub late_ms: u64,
    /// Answers with another request's identity.
    pub crossed: bool,
    /// Fails every request.
    pub fail: bool,
    /// Runs each order twice.
    pub double: bool,
    /// Ends the body of each answer too early.
    pub cut: bool,
    /// Says on each answer that it takes no new work.
    pub leaving: bool,
}

/// Spaces out appends to a number a second.
#[derive(Debug)]
pub struct Pace {
    next: Instant,
}

impl Pace {
    /// Pace that lets the first append through at `now`.
    pub fn new(now: Instant) -> Self {
        Self { next: now }
    }

    /// Time that an append arriving at `now` waits.
    pub fn wait(&mut self, now: Instant, per_second: u64) -> Duration {
        if per_second == 0 {
            return Duration::ZERO;
        }
        let turn = self.next.max(now);
        self.next = turn + Duration::from_secs(1) / u32::try_from(per_second).unwrap_or(u32::MAX);
        turn - now
    }
}
