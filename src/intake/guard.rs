//! Shares the decisions about connections and memory among the tasks that serve connections.

use {
    super::{Connections, Error, Limits, Memory, Result, connections, memory},
    indexmap::IndexMap,
    log::warn,
    std::{
        error::Error as _,
        io::{self, ErrorKind},
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::{Duration, Instant},
    },
    tokio::{sync::Notify, time::sleep},
};

/// Interval at which stalled connections are looked for.
const STALL_INTERVAL: Duration = Duration::from_millis(250);
/// Interval at which the growth of the counts is logged.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Limits on what callers hold, and what they hold now.
pub struct Guard {
    limits: Limits,
    state: Mutex<State>,
    /// Notified when a connection has ended or its request has been answered.
    freed: Notify,
}

struct State {
    connections: Connections,
    memory: Memory,
    /// Notified when a connection is closed for another one.
    closing: IndexMap<connections::Id, Arc<Notify>>,
    /// Notified when a body is given up for another one.
    giving_up: IndexMap<memory::Id, Arc<Notify>>,
    counts: Counts,
}

/// What was done to stay within the limits, since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Connections that were refused as all others handled requests.
    pub refused_connections: u64,
    /// Connections that were closed for new ones.
    pub closed_connections: u64,
    /// Connections that were closed as too many callers did not take their responses or send the rest of their
    /// requests, or as one was too late with its request.
    pub stalled_connections: u64,
    /// Bodies that were refused for want of memory.
    pub refused_bodies: u64,
    /// Incomplete bodies that were given up for others.
    pub displaced_bodies: u64,
    /// Bodies that were too long, late or broken off.
    pub rejected_bodies: u64,
    /// Heads that were too long or malformed.
    pub rejected_heads: u64,
    /// Heads that did not arrive in time, also on connections that were idle.
    pub late_heads: u64,
    /// Answers that their callers did not read.
    pub unread_answers: u64,
}

impl Counts {
    /// Name and value of each count.
    pub fn all(&self) -> [(&'static str, u64); 9] {
        [
            ("refused_connections", self.refused_connections),
            ("closed_connections", self.closed_connections),
            ("stalled_connections", self.stalled_connections),
            ("refused_bodies", self.refused_bodies),
            ("displaced_bodies", self.displaced_bodies),
            ("rejected_bodies", self.rejected_bodies),
            ("rejected_heads", self.rejected_heads),
            ("late_heads", self.late_heads),
            ("unread_answers", self.unread_answers),
        ]
    }
}

impl Guard {
    /// Begins without connections.
    pub fn new(limits: Limits) -> Arc<Self> {
        let state = State {
            connections: Connections::new(
                limits.connections,
                limits.stalled_connections,
                limits.body_timeout,
            ),
            memory: Memory::new(limits.body_memory),
            closing: IndexMap::new(),
            giving_up: IndexMap::new(),
            counts: Counts::default(),
        };
        Arc::new(Self { limits, state: Mutex::new(state), freed: Notify::new() })
    }

    /// Limits.
    pub fn limits(&self) -> &Limits {
        &self.limits
    }

    /// Admits a new connection.
    pub fn connect(self: &Arc<Self>) -> Result<Connection> {
        let mut state = self.state();
        let (id, closed) = match state.connections.open(Instant::now()) {
            Ok(opened) => opened,
            Err(e) => {
                state.counts.refused_connections += 1;
                return Err(e);
            }
        };
        if let Some(closing) = closed.and_then(|closed| state.closing.swap_remove(&closed)) {
            state.counts.closed_connections += 1;
            closing.notify_one();
        }
        let closing = Arc::new(Notify::new());
        state.closing.insert(id, Arc::clone(&closing));
        Ok(Connection { guard: Arc::clone(self), id, closing })
    }

    /// Waits until a new connection would be admitted.
    pub async fn room(&self) {
        while !self.state().connections.has_room(Instant::now()) {
            self.freed.notified().await;
        }
    }

    /// Registers a body that begins to arrive on a caller's connection.
    pub fn begin_body(self: &Arc<Self>) -> Reservation {
        self.begin(super::ALLOWANCE_BYTES)
    }

    /// Registers a body that has no connection of its own, such as that of a relayed request.
    pub fn begin_relayed_body(self: &Arc<Self>) -> Reservation {
        self.begin(0)
    }

    fn begin(self: &Arc<Self>, allowance: usize) -> Reservation {
        let mut state = self.state();
        let id = state.memory.begin(Instant::now());
        let giving_up = Arc::new(Notify::new());
        state.giving_up.insert(id, Arc::clone(&giving_up));
        Reservation { guard: Arc::clone(self), id, allowance, giving_up }
    }

    /// What was done to stay within the limits, since the start.
    pub fn counts(&self) -> Counts {
        self.state().counts
    }

    /// Number of open connections.
    pub fn connections(&self) -> usize {
        self.state().connections.count()
    }

    /// Memory used by bodies, in bytes.
    pub fn used_bytes(&self) -> usize {
        self.state().memory.used_bytes()
    }

    /// Counts a body that was not taken in.
    pub fn count_rejection(&self, error: &Error) {
        match error {
            Error::Connections(_) | Error::Memory(_) | Error::Displaced => {}
            Error::TooLong(_) | Error::TimedOut(_) | Error::Broken(_) => {
                self.state().counts.rejected_bodies += 1;
            }
        }
    }

    /// Closes stalled connections, if there are too many, at regular intervals.
    pub async fn watch_stalled(self: Arc<Self>) {
        loop {
            sleep(STALL_INTERVAL).await;
            let mut state = self.state();
            for id in state.connections.close_stalled(Instant::now()) {
                state.counts.stalled_connections += 1;
                if let Some(closing) = state.closing.swap_remove(&id) {
                    closing.notify_one();
                }
            }
            drop(state);
            // A connection that has stalled since may give way to a new one.
            self.freed.notify_one();
        }
    }

    /// Counts a head that was rejected.
    pub fn count_rejected_head(&self) {
        self.state().counts.rejected_heads += 1;
    }

    /// Counts a connection that the HTTP library has ended with an error.
    pub fn count_error(&self, error: &hyper::Error) {
        let counts = &mut self.state().counts;
        if error.is_timeout() {
            counts.late_heads += 1;
        } else if error.is_parse() {
            counts.rejected_heads += 1;
        } else if is_write_timeout(error) {
            counts.unread_answers += 1;
        }
    }

    /// Logs the growth of the counts, in one line an interval at most. Late heads are left out, as they
    /// include idle connections.
    pub async fn report_periodically(self: Arc<Self>) {
        let mut reported = Counts::default();
        loop {
            sleep(REPORT_INTERVAL).await;
            let counts = Counts { late_heads: 0, ..self.counts() };
            if counts != reported {
                self.report(&reported, &counts);
                reported = counts;
            }
        }
    }

    fn report(&self, before: &Counts, now: &Counts) {
        let grown = now.all().into_iter().zip(before.all());
        let grown = grown.filter(|((_, now), (_, before))| now > before);
        let grown = grown.map(|((name, now), (_, before))| format!("{name}={}", now - before));
        let (connections, bytes) = (self.connections(), self.used_bytes());
        let grown = grown.collect::<Vec<_>>().join(" ");
        warn!("intake: connections={connections} body_bytes={bytes} {grown}");
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Whether an answer was given up as its caller did not read it.
fn is_write_timeout(error: &hyper::Error) -> bool {
    let source = error.source().and_then(|source| source.downcast_ref::<io::Error>());
    source.is_some_and(|source| source.kind() == ErrorKind::TimedOut)
}

/// An open connection of a caller, until it is dropped.
pub struct Connection {
    guard: Arc<Guard>,
    id: connections::Id,
    closing: Arc<Notify>,
}

impl Connection {
    /// Returns once the connection is to be closed for another one.
    pub async fn closing(&self) {
        self.closing.notified().await;
    }

    /// Records that the connection waits for its caller.
    pub fn wait(&self) {
        self.guard.state().connections.wait(self.id, Instant::now());
        self.guard.freed.notify_one();
    }

    /// Records that the caller was sent a part of a response.
    pub fn send(&self) {
        self.guard.state().connections.send(self.id, Instant::now());
        self.guard.freed.notify_one();
    }

    /// Records that the rest of a request that is being passed on is awaited, whose caller has been behind since
    /// `since`.
    pub fn receive(&self, since: Instant) {
        self.guard.state().connections.receive(self.id, since);
        self.guard.freed.notify_one();
    }

    /// Records that more of a request that is being passed on has arrived.
    pub fn received(&self) {
        self.guard.state().connections.received(self.id);
    }

    /// Limits on what the connection's caller may hold.
    pub fn limits(&self) -> &Limits {
        &self.guard.limits
    }

    /// Records that the connection's request is handled.
    pub fn handle(&self) {
        self.guard.state().connections.handle(self.id);
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        let mut state = self.guard.state();
        state.connections.close(self.id);
        state.closing.swap_remove(&self.id);
        drop(state);
        self.guard.freed.notify_one();
    }
}

/// Memory reserved for a body, until it is dropped.
pub struct Reservation {
    guard: Arc<Guard>,
    id: memory::Id,
    /// Bytes that count as memory of the body's connection.
    allowance: usize,
    giving_up: Arc<Notify>,
}

impl Reservation {
    /// Reserves memory, so that the body has `bytes` in all.
    pub fn reserve(&self, bytes: usize) -> Result<()> {
        let bytes = bytes.saturating_sub(self.allowance);
        if bytes == 0 {
            return Ok(());
        }
        let mut state = self.guard.state();
        let given_up = match state.memory.reserve(self.id, bytes) {
            Ok(given_up) => given_up,
            Err(e) => {
                state.counts.refused_bodies += u64::from(e != Error::Displaced);
                return Err(e);
            }
        };
        for id in given_up {
            state.counts.displaced_bodies += 1;
            if let Some(giving_up) = state.giving_up.swap_remove(&id) {
                giving_up.notify_one();
            }
        }
        Ok(())
    }

    /// Returns once the incomplete body is to be given up for another one.
    pub async fn giving_up(&self) {
        self.giving_up.notified().await;
    }

    /// Records that the body is whole.
    pub fn complete(&self) {
        self.guard.state().memory.complete(self.id);
    }

    /// Guard that this memory is reserved with.
    pub fn guard(&self) -> &Arc<Guard> {
        &self.guard
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let mut state = self.guard.state();
        state.memory.end(self.id);
        state.giving_up.swap_remove(&self.id);
    }
}
