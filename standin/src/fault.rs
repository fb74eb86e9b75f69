//! Faults that are injected into the stand-ins, at start or while they run.
//!
//! A fault that `POST /faults` leaves out is switched off.

use {
    serde::{Deserialize, Serialize},
    std::time::{Duration, Instant},
};

/// How the platform treats its callers during an outage.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outage {
    /// Refuses connections.
    #[default]
    Refuse,
    /// Responds with status 503.
    Unavailable,
    /// Reads requests and never responds.
    Silent,
}

/// Faults of the platform.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Platform {
    /// Duration of an outage that starts immediately.
    pub outage_ms: u64,
    /// Kind of the outage.
    pub outage: Outage,
    /// Delay before each call takes effect.
    pub delay_ms: u64,
    /// Number of the next write calls that take effect but whose response is lost.
    pub lose_next: u64,
    /// Probability, from 0 to 1, that a write call takes effect but its response is lost.
    pub lose_probability: f64,
    /// Maximum rate of appends; 0 means unlimited.
    pub appends_per_second: u64,
}

/// Faults of an endpoint.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Endpoint {
    /// Stops responding on connections that are open now; new connections work.
    pub silence_open: bool,
    /// Additional delay of each response after the request's own duration.
    pub late_ms: u64,
    /// Responds with the identity of the previous request.
    pub crossed: bool,
    /// Fails every request.
    pub fail: bool,
    /// Counts each order as run twice.
    pub double: bool,
    /// Truncates the body of each response.
    pub cut: bool,
    /// Announces on each response that it is leaving and takes no new work.
    pub leaving: bool,
}

/// Limits the rate of appends by spacing them evenly.
#[derive(Debug)]
pub struct RateLimiter {
    next: Instant,
}

impl RateLimiter {
    /// Creates a limiter that lets the first append through at `now`.
    pub fn new(now: Instant) -> Self {
        Self { next: now }
    }

    /// Reserves the next free time for an append that arrives at `now`, and returns how long it waits.
    pub fn reserve(&mut self, now: Instant, per_second: u64) -> Duration {
        if per_second == 0 {
            return Duration::ZERO;
        }
        let start = self.next.max(now);
        self.next = start + Duration::from_secs(1) / u32::try_from(per_second).unwrap_or(u32::MAX);
        start - now
    }
}
