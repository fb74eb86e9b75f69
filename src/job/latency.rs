//! Estimate of how long a server takes to answer now, from answered and from outstanding calls.
//!
//! The estimate is the longest recent answer time, or the age of the oldest outstanding call if that
//! is longer: a call that is still unanswered shows that answers take at least as long. An outstanding
//! call counts only as long as no call that was sent after it has been answered, since otherwise its
//! own answer was lost and the server isn't slow; and only as long as the server accepts connections,
//! since otherwise it is out of reach and not slow. Of a call that the server is asked to hold back,
//! only the time beyond that wait counts.

use {
    indexmap::IndexMap,
    std::{
        collections::VecDeque,
        time::{Duration, Instant},
    },
};

/// Longest answer time that the estimate gives.
pub const MAX_ESTIMATE: Duration = Duration::from_secs(2);
/// Time for which an answer counts.
const WINDOW: Duration = Duration::from_secs(3);
/// Answer time up to which a server is fast.
const FAST: Duration = Duration::from_millis(100);

/// Number of a call.
pub type Number = u64;

/// Call without an answer so far.
#[derive(Clone, Copy, Debug)]
struct Outstanding {
    sent: Instant,
    wait: Duration,
}

/// Estimate of one server's answer time.
#[derive(Clone, Debug, Default)]
pub struct Latency {
    outstanding: IndexMap<Number, Outstanding>,
    next: Number,
    /// When answers arrived, oldest first, and how long they took.
    answers: VecDeque<(Instant, Duration)>,
    /// When the latest of the answered calls was sent.
    answered_sent: Option<Instant>,
    /// Whether the last attempt to connect has failed.
    unreachable: bool,
}

impl Latency {
    /// Records that a call is sent which the server may hold back for `wait`.
    pub fn sent(&mut self, now: Instant, wait: Duration) -> Number {
        self.next += 1;
        self.outstanding.insert(self.next, Outstanding { sent: now, wait });
        self.next
    }

    /// Records that a call is answered.
    pub fn answered(&mut self, now: Instant, number: Number) {
        let Some(call) = self.outstanding.swap_remove(&number) else { return };
        self.unreachable = false;
        self.answered_sent = self.answered_sent.max(Some(call.sent));
        let took = now.saturating_duration_since(call.sent);
        // Whether an answer was late that came before the wait was over can't be told.
        if took >= call.wait {
            self.record(now, took - call.wait);
        }
    }

    /// Records that another client's call took at least `delay`.
    pub fn observed(&mut self, now: Instant, delay: Duration) {
        self.record(now, delay);
    }

    fn record(&mut self, now: Instant, took: Duration) {
        self.answers.push_back((now, took));
        while self.answers.front().is_some_and(|(at, _)| *at + WINDOW < now) {
            self.answers.pop_front();
        }
    }

    /// Records that a call is no longer waited for.
    pub fn abandoned(&mut self, number: Number) {
        self.outstanding.swap_remove(&number);
    }

    /// Records that the server has accepted no connection.
    pub fn unreachable(&mut self) {
        self.unreachable = true;
    }

    /// Returns the estimate.
    pub fn estimate(&self, now: Instant) -> Duration {
        let counts = |call: &&Outstanding| {
            !self.unreachable && self.answered_sent.is_none_or(|sent| call.sent > sent)
        };
        let age = |call: &Outstanding| now.saturating_duration_since(call.sent + call.wait);
        let oldest = self.outstanding.values().filter(counts).map(age).max().unwrap_or_default();
        self.answered_in(now).max(oldest).min(MAX_ESTIMATE)
    }

    /// Returns the longest recent answer time, without regard to outstanding calls.
    pub fn answered_in(&self, now: Instant) -> Duration {
        let recent = self.answers.iter().filter(|(at, _)| *at + WINDOW >= now);
        recent.map(|(_, took)| *took).max().unwrap_or_default().min(MAX_ESTIMATE)
    }

    /// Returns the estimate, or zero if the server is fast.
    pub fn delay(&self, now: Instant) -> Duration {
        Some(self.estimate(now)).filter(|estimate| *estimate > FAST).unwrap_or_default()
    }
}
