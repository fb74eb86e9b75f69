//! Rights of the owner: what it may do after the last confirmation that no other entry has claimed the
//! cell.

use {
    super::{Cell, RENEWAL_WINDOW, lease},
    crate::job::runner::Fence,
    std::time::Instant,
};

impl Cell {
    /// Whether the ledger or a runner has rejected this owner's fence, because a newer owner
    /// exists.
    pub fn is_superseded(&self) -> bool {
        self.superseded
    }

    /// Records that the log has accepted a heartbeat that this owner sent at `sent`.
    pub fn confirm_ownership(&mut self, sent: Instant) {
        self.confirmed_at = self.confirmed_at.max(Some(sent));
    }

    /// Records that no other owner can have the fencing token `newest`, or one between this owner's first
    /// one and that.
    pub fn allow_fence(&mut self, newest: Fence) {
        self.newest_fence = self.newest_fence.max(newest);
    }

    /// Handles that a runner has rejected the fencing token of a call as too low. A runner that has restarted
    /// may do so for a call that was sent before its fence was raised; the next poll then shows whether
    /// there is a newer owner.
    pub(super) fn fence_rejected(&mut self, now: Instant, runner: &str) {
        match self.workers.get_mut(runner) {
            Some(worker) if worker.fence > self.fence => worker.next_poll = now,
            _ => self.superseded = true,
        }
    }

    /// Drops the last confirmation. Called after the VM was suspended: the monotonic clock does not
    /// count that time, so another entry may own the cell by now.
    pub fn clear_confirmation(&mut self) {
        self.confirmed_at = None;
        self.batch_sent = None;
    }

    /// Whether this owner may still grant and renew leases. A new owner counts leases of the previous one as
    /// ended after [`RENEWAL_WINDOW`] and the length of a lease.
    pub(super) fn may_renew(&self, now: Instant) -> bool {
        self.confirmed_at.is_some_and(|at| now.saturating_duration_since(at) < RENEWAL_WINDOW)
    }

    /// Whether this owner may still start tasks.
    pub(super) fn may_start(&self, now: Instant) -> bool {
        let window = lease::start_window(self.bounds.lease);
        self.confirmed_at.is_some_and(|at| now.saturating_duration_since(at) < window)
    }

    /// Records that a newer owner has written to the ledger.
    pub fn mark_superseded(&mut self) {
        self.superseded = true;
    }
}
