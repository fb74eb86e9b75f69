//! Clock that counts the time for which the VM was suspended.
//!
//! The monotonic clock stands still during a suspension. A right that lasts for some time, such as
//! that of an owner to act on VMs, would still seem valid afterwards although another entry has it
//! by then. Such times are therefore measured on the boot-time clock.

use {
    rustix::time::{ClockId, clock_gettime},
    std::{
        sync::OnceLock,
        time::{Duration, Instant},
    },
};

/// Maps readings of the boot-time clock to instants.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
    origin_since_boot: Duration,
}

impl Clock {
    /// Clock on which `origin` was at `since_boot` of the boot-time clock.
    pub fn new(origin: Instant, since_boot: Duration) -> Self {
        Self { origin, origin_since_boot: since_boot }
    }

    /// Instant at which the boot-time clock shows `since_boot`.
    pub fn at(&self, since_boot: Duration) -> Instant {
        self.origin + since_boot.saturating_sub(self.origin_since_boot)
    }
}

/// Current instant, which advances during suspensions.
pub fn now() -> Instant {
    static CLOCK: OnceLock<Clock> = OnceLock::new();
    let since_boot = time_since_boot();
    CLOCK.get_or_init(|| Clock::new(Instant::now(), since_boot)).at(since_boot)
}

/// Time since `earlier`, an instant of this clock.
pub fn elapsed(earlier: Instant) -> Duration {
    now().saturating_duration_since(earlier)
}

/// Time since the VM booted, with suspensions.
pub fn time_since_boot() -> Duration {
    read(ClockId::Boottime)
}

/// Time since the VM booted, without suspensions.
pub fn running_time() -> Duration {
    read(ClockId::Monotonic)
}

fn read(clock: ClockId) -> Duration {
    let time = clock_gettime(clock);
    Duration::new(time.tv_sec.unsigned_abs(), time.tv_nsec as u32)
}
