//! Detects that the VM was suspended.
//!
//! The monotonic clock does not count suspensions, and an owner measures on it how long it may renew
//! leases and act on VMs. After a suspension it would therefore still count as the owner although
//! another entry may long have taken the cell over, so it must be confirmed again first.

use {
    rustix::time::{ClockId, clock_gettime},
    std::time::Duration,
};

/// Difference between the clocks up to which no suspension is reported.
const TOLERANCE: Duration = Duration::from_millis(100);

/// Compares the monotonic clock with the boot-time clock, which goes on during a suspension.
pub struct Watch {
    ahead: Duration,
}

impl Watch {
    /// Reports suspensions from now on.
    pub fn new() -> Self {
        Self { ahead: ahead() }
    }

    /// Returns for how long the VM was suspended since the last call, if it was.
    pub fn slept(&mut self) -> Option<Duration> {
        let slept = ahead().saturating_sub(self.ahead);
        self.ahead += slept;
        (slept > TOLERANCE).then_some(slept)
    }
}

/// Returns for how long the VM was suspended since it booted.
fn ahead() -> Duration {
    read(ClockId::Boottime).saturating_sub(read(ClockId::Monotonic))
}

fn read(clock: ClockId) -> Duration {
    let time = clock_gettime(clock);
    Duration::new(time.tv_sec.unsigned_abs(), time.tv_nsec as u32)
}
