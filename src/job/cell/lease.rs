//! Leases of runners, as the owner reckons them.
//!
//! A call grants a lease until a time on the runner's clock, and never shortens one. The runner shortens
//! a lease that is longer than the platform's bound to that bound. A runner that has restarted under its
//! name, unknown to the owner, has a clock that began anew: the same call then grants it the longest
//! lease there is. Two times are therefore kept. By [`Lease::expiry`], every lease has ended that an
//! incarnation can hold which has answered: each answer shows the clock, and with it how much is left
//! until the latest end that was granted. By [`Lease::latest_expiry`], those have ended as well that an
//! incarnation may hold of which nothing is known, as its answer was lost.

use {
    super::{CLOCK_ERROR, LEASE, RENEWAL_WINDOW},
    std::time::{Duration, Instant},
};

/// Time after the expiry of a lease before the runner's tasks count as ended.
const MARGIN: Duration = Duration::from_millis(150);

/// Shortest time after its last confirmation for which an owner starts tasks.
const MIN_START_WINDOW: Duration = Duration::from_secs(2);
/// Time after the expiry of the previous owner's last possible lease before its tasks count as
/// ended.
const INHERITED_MARGIN: Duration = Duration::from_millis(300);

/// Time after its last confirmation for which an owner starts tasks. An incarnation of which nothing is
/// known takes a start for a lease of `bound`, which should end no later than the leases that are renewed
/// until the end of [`RENEWAL_WINDOW`].
pub(super) fn start_window(bound: Duration) -> Duration {
    (RENEWAL_WINDOW + LEASE).saturating_sub(bound).clamp(MIN_START_WINDOW, RENEWAL_WINDOW)
}

/// Time after a takeover by which all leases have ended that the previous owner has granted.
pub(super) fn inherited_time(bound: Duration) -> Duration {
    let on_slow_clock = |lease: Duration| lease.mul_f64(1.0 + 2.0 * CLOCK_ERROR);
    let renewed = RENEWAL_WINDOW + on_slow_clock(LEASE);
    renewed.max(start_window(bound) + on_slow_clock(bound)) + INHERITED_MARGIN
}

/// What is known of the leases that a runner may hold.
#[derive(Clone, Debug)]
pub struct Lease {
    /// Longest lease that a runner takes.
    bound: Duration,
    /// Its clock in milliseconds, and when the answer with it arrived.
    clock: Option<(Instant, u64)>,
    /// Latest end that may have been granted, on the runner's clock in milliseconds.
    until_ms: u64,
    expiry: Instant,
    latest_expiry: Instant,
}

impl Lease {
    /// Lease of a runner that no owner has called yet.
    pub fn none(bound: Duration, now: Instant) -> Self {
        Self { bound, clock: None, until_ms: 0, expiry: now, latest_expiry: now }
    }

    /// Lease of a runner that an earlier owner may have called. What that owner has granted ends by
    /// `expiry`, unless an answer shows that it may end later.
    pub fn inherited(bound: Duration, expiry: Instant) -> Self {
        Self { bound, clock: None, until_ms: u64::MAX, expiry, latest_expiry: expiry }
    }

    /// When every lease has ended that an incarnation can hold which has answered.
    pub fn expiry(&self) -> Instant {
        self.expiry
    }

    /// When every lease has ended that any incarnation can hold.
    pub fn latest_expiry(&self) -> Instant {
        self.latest_expiry.max(self.expiry)
    }

    /// Extends the lease to [`LEASE`] from `now`. Returns its end on the runner's clock, or none if
    /// that clock is not known. As the clock may run slow, its error counts over the lease and over the
    /// time since it was read.
    pub fn grant(&mut self, now: Instant) -> Option<u64> {
        let (at, clock_ms) = self.clock?;
        let elapsed = now.saturating_duration_since(at);
        let until_ms = clock_ms.saturating_add((elapsed + LEASE).as_millis() as u64);
        self.until_ms = self.until_ms.max(until_ms);
        self.expiry = self.expiry.max(latest_end(now, LEASE + elapsed.mul_f64(CLOCK_ERROR)));
        self.latest_expiry = self.latest_expiry.max(latest_end(now, self.bound));
        Some(until_ms)
    }

    /// Records the clock of an answer that arrived at `now`. Returns how much later than it was reckoned
    /// before the lease may end.
    pub fn observe(&mut self, now: Instant, clock_ms: u64) -> Duration {
        let bound_ms = self.bound.as_millis() as u64;
        self.until_ms = self.until_ms.min(clock_ms.saturating_add(bound_ms));
        let left = Duration::from_millis(self.until_ms.saturating_sub(clock_ms));
        let expiry = self.expiry.max(latest_end(now, left));
        let later = expiry - self.expiry;
        self.expiry = expiry;
        self.clock = Some((now, clock_ms));
        later
    }

    /// Records that a call which grants a lease got no answer by `now`.
    pub fn lose_answer(&mut self, now: Instant) {
        self.latest_expiry = self.latest_expiry.max(latest_end(now, self.bound));
    }

    /// Handles the start of another incarnation, whose clock is not known.
    pub fn forget_clock(&mut self) {
        self.clock = None;
    }

    /// Has what an earlier owner granted end by `expiry` at the earliest.
    pub fn inherit(&mut self, expiry: Instant) {
        self.until_ms = u64::MAX;
        self.expiry = self.expiry.max(expiry);
    }

    /// Handles the certain end of the runner: it holds no lease. An incarnation that starts later may
    /// have taken earlier calls, which its first answer shows.
    pub fn end(&mut self, now: Instant) {
        self.clock = None;
        self.expiry = now;
        self.latest_expiry = now;
    }
}

/// When a lease of `time` that was granted by `now` has ended on a clock that runs as slow as allowed.
fn latest_end(now: Instant, time: Duration) -> Instant {
    now + time.mul_f64(1.0 + CLOCK_ERROR) + MARGIN
}
