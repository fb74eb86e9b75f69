//! Placements: which run of a task is on which runner, and what is known of it.

use {
    super::{RunnerId, start::MAX_ATTEMPTS},
    crate::job::runner::Incarnation,
    std::time::Instant,
};

/// Assignment of a run to a runner.
#[derive(Clone, Debug, PartialEq)]
pub struct Placement {
    /// Runner that the run is on.
    pub runner: RunnerId,
    /// Phase of the run.
    pub phase: Phase,
    /// When the phase began.
    pub since: Instant,
    /// CPU share that the runner last reported for the run, in percent.
    pub percent: u32,
    /// Number of times its start was sent.
    pub attempts: u32,
    /// End of the lease that its start carries, on the runner's clock in milliseconds.
    pub until_ms: u64,
    /// Incarnation of the runner whose clock that is, if known.
    pub sent_to: Option<Incarnation>,
    /// Whether an earlier owner placed it.
    pub restored: bool,
    /// Whether a runner has answered its start or reported the run.
    pub confirmed: bool,
}

/// Phase of a run, from its placement to its stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Its placement is not stored in the ledger yet, and no start has been sent.
    Planned,
    /// The start has been sent, and its answer is outstanding.
    Sent,
    /// A new owner has read it from the ledger, and the runner has not reported it yet.
    Restored,
    /// The start got no answer; the run may or may not exist.
    Unconfirmed,
    /// The runner has accepted the start or reported the run.
    Running,
    /// A stop has been sent, and its answer is outstanding.
    Stopping,
    /// The runner has accepted the stop, but has not reported the end yet.
    Stopped,
}

impl Placement {
    /// Has the next report of the runner, which has restarted, show whether the run exists. A start
    /// whose answer is outstanding or was lost is not sent again, as it may be the cause of the restart.
    pub fn await_report(&mut self, now: Instant) {
        self.restored = false;
        match self.phase {
            Phase::Running | Phase::Stopping | Phase::Stopped => {
                self.phase = Phase::Restored;
                self.since = now;
            }
            Phase::Sent | Phase::Unconfirmed => self.attempts = MAX_ATTEMPTS,
            Phase::Planned | Phase::Restored => {}
        }
    }
}
