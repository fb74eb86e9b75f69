//! Hand-over of the cell to a preferred owner.
//!
//! Stronger entries claim a little earlier than weak ones, but while the log answers slowly a weak one
//! may be first. This answers a load that exceeds what a weak owner's processor can do: jobs then wait
//! although runners have room. An owner releases the cell, as in a planned stop, if an entry with
//! several times its cores is connected.

use std::time::{Duration, Instant};

/// Multiple of the owner's cores from which on an entry is preferred.
const PREFERRED_FACTOR: f64 = 2.0;
/// Time that an owner serves at least, so that the cause of the last takeover may pass.
const MIN_TENURE: Duration = Duration::from_secs(2);
/// Time after a hand-over in which the same entry hands over no more.
const PAUSE: Duration = Duration::from_secs(30);

/// An owner as far as a hand-over depends on it.
#[derive(Clone, Copy, Debug)]
pub struct Tenure {
    /// Cores of the owner.
    pub cores: f64,
    /// When it began to serve.
    pub since: Instant,
    /// When the same entry last handed a cell over.
    pub last_handover: Option<Instant>,
}

impl Tenure {
    /// Whether the owner should release the cell at `now`, if the strongest other entry has
    /// `strongest` cores.
    pub fn should_end(&self, now: Instant, strongest: f64) -> bool {
        let elapsed = |at: Instant| now.saturating_duration_since(at);
        strongest >= self.cores * PREFERRED_FACTOR
            && elapsed(self.since) >= MIN_TENURE
            && self.last_handover.is_none_or(|at| elapsed(at) >= PAUSE)
    }
}
