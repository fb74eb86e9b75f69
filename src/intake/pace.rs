//! Pace at which a caller sends the rest of a body that is already being passed on.

use std::time::{Duration, Instant};

/// Rate below which a caller falls behind by default, in bytes a second.
pub const BODY_RATE: u64 = 8 << 10;

/// Pace of one body: by how much its caller is behind a rate.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    /// Bytes a second that are expected.
    rate: u64,
    /// Time awaited for the bytes so far beyond what they take at the rate.
    behind: Duration,
    awaited_since: Option<Instant>,
}

impl Pace {
    /// Begins on time; `rate` is in bytes a second.
    pub fn new(rate: u64) -> Self {
        Self { rate: rate.max(1), behind: Duration::ZERO, awaited_since: None }
    }

    /// Records that the next bytes are awaited; returns since when the caller has been behind, as if it had
    /// been on time before and had sent nothing since then.
    pub fn wait(&mut self, now: Instant) -> Instant {
        let since = *self.awaited_since.get_or_insert(now);
        since.checked_sub(self.behind).unwrap_or(since)
    }

    /// Records that bytes have arrived. A caller that was faster than the rate gains nothing by it.
    pub fn receive(&mut self, now: Instant, bytes: usize) {
        if let Some(since) = self.awaited_since.take() {
            self.behind += now.saturating_duration_since(since);
        }
        let expected = Duration::from_secs_f64(bytes as f64 / self.rate as f64);
        self.behind = self.behind.saturating_sub(expected);
    }
}
