//! Hand-over of the cell by its owner.

use {
    super::owner::{Driver, LEDGER_TIMEOUT},
    crate::job::handover::Tenure,
    log::info,
    std::time::Instant,
};

impl Driver {
    /// Has the claimant release the cell if a preferred owner is connected, and the log and the ledger
    /// answer, so that the next takeover is short.
    pub(super) fn hand_over_if_due(&self, now: Instant) {
        let (shared, strongest) = (&self.shared, self.shared.strongest_peer.get());
        let cores = shared.settings.cores;
        let tenure =
            Tenure { cores, since: self.started, last_handover: shared.handed_over_at.get() };
        let answers = shared.owns_exclusively() && self.append_age(now) < LEDGER_TIMEOUT / 2;
        if answers && tenure.should_end(now, strongest) {
            info!(
                "owner: epoch={} hands_over=true cores={cores} strongest={strongest}",
                self.epoch
            );
            shared.hand_over();
        }
    }
}
