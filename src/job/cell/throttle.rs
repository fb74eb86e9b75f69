//! Pacing of placement by its cost.
//!
//! A placement pass looks at every waiting job. This answers the load of a large backlog on a weak VM:
//! passes after every event would take most of its processor time, so that ends of runs, starts and
//! leases wait for the passes. After each pass, the next one is put off for a multiple of the time
//! that it took; changes made meanwhile are all placed by that one.

use {
    super::Cell,
    std::time::{Duration, Instant},
};

/// Pause after a pass as a multiple of the time that it took.
const PAUSE_FACTOR: u32 = 2;
/// Longest pause: a pass may have taken long because the VM was suspended.
const MAX_PAUSE: Duration = Duration::from_millis(100);

/// When placement passes may begin.
#[derive(Clone, Debug, Default)]
pub struct Throttle {
    /// When the pass began whose end is not known yet.
    begun: Option<Instant>,
    /// When the next pass may begin; `None` before the first.
    paused_until: Option<Instant>,
}

impl Throttle {
    /// Records that a pass begins.
    pub fn begin(&mut self, now: Instant) {
        self.begun = Some(now);
    }

    /// Records the end of the pass that has begun, if any.
    pub fn end(&mut self, now: Instant) {
        let Some(begun) = self.begun.take() else { return };
        let pause = now.saturating_duration_since(begun) * PAUSE_FACTOR;
        self.paused_until = Some(now + pause.min(MAX_PAUSE));
    }

    /// Whether a pass may begin.
    pub fn allows(&self, now: Instant) -> bool {
        self.paused_until.is_none_or(|until| until <= now)
    }
}

impl Cell {
    /// Places tasks if anything has changed that may let some be placed.
    pub(super) fn place_if_due(&mut self, now: Instant) {
        if self.place_due && self.throttle.allows(now) {
            self.throttle.begin(now);
            self.place(now);
        }
    }

    /// Records that a turn of the event loop has ended, in which a placement pass may have been made.
    /// Without these calls, passes are not paced.
    pub fn end_turn(&mut self, now: Instant) {
        self.throttle.end(now);
    }

    /// Time until the next placement pass, if one is due.
    pub fn next_placement(&self, now: Instant) -> Option<Duration> {
        let until = self.throttle.paused_until.filter(|_| self.place_due)?;
        Some(until.saturating_duration_since(now))
    }
}
