//! Notices that the VM was suspended, which the steady clock does not count.
//!
//! An owner's bounds (how long it may renew leases and act on VMs) are on the steady clock. After a
//! suspension it may hold that nobody else owns the cell while another entry has long taken it, so it
//! has to be confirmed anew first.

use {
    rustix::time::{ClockId, clock_gettime},
    std::time::Duration,
};

/// Difference between the clocks that is not taken for a suspension.
const TOLERANCE: Duration = Duration::from_millis(100);

/// Compares the steady clock with the one that goes on in a suspension.
pub struct Watch {
    ahead: Duration,
}

impl Watch {
    /// Compares from now on.
    pub fn new() -> Self {
        Self { ahead: ahead() }
    }

    /// Time for which the VM was suspended since the last look, if it was.
    pub fn slept(&mut self) -> Option<Duration> {
        let slept = ahead().saturating_sub(self.ahead);
        self.ahead += slept;
        (slept > TOLERANCE).then_some(slept)
    }
}

/// Time for which the VM was suspended since it started.
fn ahead() -> Duration {
    read(ClockId::Boottime).saturating_sub(read(ClockId::Monotonic))
}

fn read(clock: ClockId) -> Duration {
    let time = clock_gettime(clock);
    Duration::new(time.tv_sec.unsigned_abs(), time.tv_nsec as u32)
}
