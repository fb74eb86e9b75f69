//! Detects that the VM was suspended.
//!
//! The monotonic clock does not count suspensions, and an owner measures on it how long it may renew
//! leases and act on VMs. After a suspension it would therefore still count as the owner although
//! another entry may long have taken the cell over, so it must be confirmed again first.

use {crate::job::clock, std::time::Duration};

/// Difference between the clocks up to which no suspension is reported.
const TOLERANCE: Duration = Duration::from_millis(100);

/// Compares the monotonic clock with the boot-time clock, which advances during a suspension.
pub struct Detector {
    /// Total time of the suspensions that [`Self::take`] has already counted.
    reported: Duration,
}

impl Detector {
    /// Reports suspensions from now on.
    pub fn new() -> Self {
        Self { reported: total() }
    }

    /// Returns for how long the VM was suspended since the last call, if it was.
    pub fn take(&mut self) -> Option<Duration> {
        let suspended = total().saturating_sub(self.reported);
        self.reported += suspended;
        (suspended > TOLERANCE).then_some(suspended)
    }
}

/// Returns for how long the VM was suspended since it booted.
fn total() -> Duration {
    clock::time_since_boot().saturating_sub(clock::running_time())
}
