//! Open connections of callers: which ones are closed when there are too many, or too many of them stall.

use {
    super::{Error, Result},
    indexmap::IndexMap,
    std::time::{Duration, Instant},
};

/// Number of an open connection.
pub type Id = u64;

/// Time for which a caller takes nothing of a response before its connection counts as stalled.
pub const STALL_TIME: Duration = Duration::from_millis(500);

/// Open connections of callers.
#[derive(Clone, Debug)]
pub struct Connections {
    max: usize,
    max_stalled: usize,
    /// Time for which a caller may be behind with the rest of its request.
    body_timeout: Duration,
    next_id: Id,
    open: IndexMap<Id, Phase>,
}

/// What a connection does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Waits for its caller's next request, or for a part of one.
    Waiting(Instant),
    /// Its request is handled.
    Handling,
    /// Waits until its caller takes more of a response, parts of which are still to come.
    Sending(Instant),
    /// Waits until its caller sends more of a request that is being passed on; with the time since when the
    /// caller has been behind.
    Receiving(Instant),
}

impl Phase {
    /// Since when the connection has waited for its caller, if it may be closed for another one. While a request
    /// is being passed on, or its response, that takes until the caller has stalled.
    fn waiting_since(self, now: Instant) -> Option<Instant> {
        match self {
            Self::Waiting(since) => Some(since),
            Self::Sending(_) | Self::Receiving(_) => self.stalled_since(now),
            Self::Handling => None,
        }
    }

    /// Since when the connection has stalled.
    fn stalled_since(self, now: Instant) -> Option<Instant> {
        match self {
            Self::Sending(since) | Self::Receiving(since) => {
                Some(since).filter(|since| now.saturating_duration_since(*since) >= STALL_TIME)
            }
            Self::Waiting(_) | Self::Handling => None,
        }
    }
}

impl Connections {
    /// Begins without connections; at most `max` may be open, and `max_stalled` of them stalled. A caller may be
    /// behind with a request that is being passed on for `body_timeout`.
    pub fn new(max: usize, max_stalled: usize, body_timeout: Duration) -> Self {
        Self { max, max_stalled, body_timeout, next_id: 0, open: IndexMap::new() }
    }

    /// Admits a new connection; returns its number and that of the connection to be closed for it. Fails if
    /// all connections handle requests.
    pub fn open(&mut self, now: Instant) -> Result<(Id, Option<Id>)> {
        let mut closed = None;
        if self.open.len() >= self.max {
            closed = Some(self.longest_waiting(now).ok_or(Error::Connections(self.max))?);
        }
        if let Some(id) = closed {
            self.close(id);
        }
        self.next_id += 1;
        self.open.insert(self.next_id, Phase::Waiting(now));
        Ok((self.next_id, closed))
    }

    /// Records that a connection waits for its caller's next request.
    pub fn wait(&mut self, id: Id, now: Instant) {
        self.set(id, Phase::Waiting(now));
    }

    /// Records that a connection's request is handled.
    pub fn handle(&mut self, id: Id) {
        self.set(id, Phase::Handling);
    }

    /// Records that a connection's caller was sent a part of a response.
    pub fn send(&mut self, id: Id, now: Instant) {
        self.set(id, Phase::Sending(now));
    }

    /// Records that the rest of a request that is being passed on is awaited, whose caller has been behind since
    /// `since`. Before the request is passed on, and once its response is, that is of no account.
    pub fn receive(&mut self, id: Id, since: Instant) {
        if matches!(self.open.get(&id), Some(Phase::Handling | Phase::Receiving(_))) {
            self.set(id, Phase::Receiving(since));
        }
    }

    /// Records that more of a request has arrived.
    pub fn received(&mut self, id: Id) {
        if matches!(self.open.get(&id), Some(Phase::Receiving(_))) {
            self.set(id, Phase::Handling);
        }
    }

    /// Records the end of a connection.
    pub fn close(&mut self, id: Id) {
        self.open.swap_remove(&id);
    }

    /// Closes the connections that have stalled for longest, if too many have, and those whose callers are too
    /// late with their requests; returns their numbers. Each keeps an endpoint from other requests.
    pub fn close_stalled(&mut self, now: Instant) -> Vec<Id> {
        let stalled =
            self.open.iter().filter_map(|(&id, phase)| Some((phase.stalled_since(now)?, id)));
        let (late, mut stalled): (Vec<_>, Vec<_>) =
            stalled.partition(|&(_, id)| self.is_late(id, now));
        stalled.sort_unstable();
        let excess = stalled.len().saturating_sub(self.max_stalled);
        let closed = late.into_iter().chain(stalled.into_iter().take(excess));
        let closed: Vec<_> = closed.map(|(_, id)| id).collect();
        closed.iter().for_each(|&id| self.close(id));
        closed
    }

    /// Whether a new connection would be admitted.
    pub fn has_room(&self, now: Instant) -> bool {
        self.open.len() < self.max || self.longest_waiting(now).is_some()
    }

    /// Number of open connections.
    pub fn count(&self) -> usize {
        self.open.len()
    }

    /// Whether a connection's caller is too late with its request.
    fn is_late(&self, id: Id, now: Instant) -> bool {
        matches!(self.open.get(&id), Some(Phase::Receiving(since))
            if now.saturating_duration_since(*since) >= self.body_timeout)
    }

    fn set(&mut self, id: Id, phase: Phase) {
        if let Some(current) = self.open.get_mut(&id) {
            *current = phase;
        }
    }

    fn longest_waiting(&self, now: Instant) -> Option<Id> {
        let waiting =
            self.open.iter().filter_map(|(&id, phase)| Some((phase.waiting_since(now)?, id)));
        waiting.min().map(|(_, id)| id)
    }
}
