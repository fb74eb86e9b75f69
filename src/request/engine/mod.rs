//! The engine: every decision of an entry, fed with events and answering with actions.
//!
//! It owns the requests in progress and the agreed state, takes the time as an argument and does no
//! input or output, so the same code runs in a daemon, in a test and in a measurement.

mod control;
mod dispatch;
mod facts;
mod orders;
mod peers;
mod requests;
mod routes;
mod snapshots;

use {
    crate::{
        controller::{Controller, Known},
        eject::Monitor,
        event::{Action, CallId, Event, RequestId, Stream},
        id::{EntryId, Incarnation, Offset, OperationId, ServiceId, VmId, ZoneId},
        member,
        metrics::{Direction, Metrics},
        order::{Desk, Window},
        record::{FLEET_STREAM, Member, ORDERS_STREAM},
        roster::Roster,
        slot, snapshot,
        state::State,
        traffic::{Totals, Traffic, Volume},
    },
    indexmap::IndexMap,
    log::info,
    requests::{Flight, Service},
    serde::{Deserialize, Serialize},
    std::{
        collections::HashMap,
        net::SocketAddr,
        sync::{
            Arc, PoisonError, RwLock,
            atomic::{AtomicBool, Ordering},
        },
        time::{Duration, Instant},
    },
};

/// Time that a planned stop waits for the record of the entry's own end.
const FAREWELL: Duration = Duration::from_secs(1);

/// What the entry tells about itself.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Name.
    pub id: EntryId,
    /// Incarnation.
    pub incarnation: Incarnation,
    /// Availability zone.
    pub zone: ZoneId,
    /// Version of the declaration in force here.
    pub version: Option<Offset>,
    /// Offset of the next fleet record to apply.
    pub next: Offset,
    /// Whether it serves callers.
    pub ready: bool,
    /// Bytes sent and received for control.
    pub control: Totals,
    /// Other entries, as it sees them.
    pub peers: IndexMap<EntryId, Sight>,
}

/// What an entry knows of another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sight {
    /// Incarnation.
    pub incarnation: Incarnation,
    /// Availability zone.
    pub zone: ZoneId,
    /// Whether it is there.
    pub health: member::Health,
    /// Version of the declaration in force there.
    pub version: Option<Offset>,
    /// Offset of the next record that it will apply.
    pub next: Offset,
    /// Milliseconds since it was heard.
    pub age_ms: u64,
}

/// What the engine shows to the threads that answer questions about it.
#[derive(Debug, Default)]
pub struct Shared {
    ready: AtomicBool,
    status: RwLock<Status>,
    state: RwLock<Arc<State>>,
    traffic: Arc<Traffic>,
}

impl Shared {
    /// Whether callers are served.
    pub fn ready(&self) -> bool {
        self.ready.load(Ordering::Relaxed)
    }

    /// The entry's account of itself.
    pub fn status(&self) -> Status {
        self.status.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Counters of the entry's control traffic.
    pub fn traffic(&self) -> &Arc<Traffic> {
        &self.traffic
    }

    /// The agreed state as applied here.
    pub fn state(&self) -> Arc<State> {
        self.state.read().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

/// Decisions of one entry.
pub struct Engine {
    me: Member,
    shared: Arc<Shared>,
    seeds: Vec<SocketAddr>,
    peers: member::Table,
    flights: HashMap<RequestId, Flight>,
    services: IndexMap<ServiceId, Service>,
    slots: slot::Table,
    monitor: Monitor,
    addresses: IndexMap<VmId, SocketAddr>,
    words: IndexMap<VmId, Instant>,
    list: Roster,
    operations: IndexMap<OperationId, Known>,
    controller: Controller,
    desk: Desk,
    snapshots: snapshots::Writer,
    controlled: Option<Instant>,
    metrics: Metrics,
    clock: (Instant, Duration),
    calls: HashMap<OperationId, CallId>,
    pending: IndexMap<OperationId, facts::Pending>,
    attempts: u64,
    beats: u64,
    sourced: bool,
    /// It has been a member.
    member: bool,
    unread: bool,
    fetched: Option<Instant>,
    shown: Option<Instant>,
    told: Volume,
    stopping: bool,
    farewell: Option<Instant>,
    actions: Vec<Action>,
}

impl Engine {
    /// Begins with nothing known; `seeds` are links of other entries that may have a state.
    pub fn new(now: Instant, me: Member, seeds: Vec<SocketAddr>, shared: Arc<Shared>) -> Self {
        let peers = member::Table::new(me.zone.clone());
        let slots = slot::Table::new(now, (me.id.clone(), me.incarnation));
        let desk = Desk::new((me.id.clone(), me.incarnation), Window::default());
        let controller = Controller::new(me.id.clone(), me.incarnation);
        Self {
            me,
            shared,
            seeds,
            peers,
            flights: HashMap::new(),
            services: IndexMap::new(),
            slots,
            monitor: Monitor::default(),
            addresses: IndexMap::new(),
            words: IndexMap::new(),
            list: Roster::default(),
            operations: IndexMap::new(),
            controller,
            desk,
            snapshots: snapshots::Writer::default(),
            controlled: None,
            metrics: Metrics::disabled(),
            clock: (now, Duration::ZERO),
            calls: HashMap::new(),
            pending: IndexMap::new(),
            attempts: 0,
            beats: 0,
            sourced: false,
            member: false,
            unread: false,
            fetched: None,
            shown: None,
            told: Volume::default(),
            stopping: false,
            farewell: None,
            actions: Vec::new(),
        }
    }

    /// Sends metrics from now on.
    pub fn set_metrics(&mut self, metrics: Metrics) {
        self.metrics = metrics;
    }

    /// Sets the time since the Unix epoch; it goes on with the time that is passed in.
    pub fn set_wall(&mut self, now: Instant, wall: Duration) {
        self.clock = (now, wall);
    }

    fn wall(&self, now: Instant) -> Duration {
        self.clock.1 + now.saturating_duration_since(self.clock.0)
    }

    /// Decides on an event.
    pub fn handle(&mut self, now: Instant, event: Event) -> Vec<Action> {
        match event {
            Event::Arrived { id, request, fingerprint, repeatable, relayed } => {
                let flight = Flight::new(now, request, fingerprint, repeatable, relayed);
                self.arrived(now, id, flight)
            }
            Event::Cancelled { id } => self.cancelled(now, id),
            Event::Ended { id, attempt, end } => self.ended(now, id, attempt, end),
            Event::Read { stream: Stream::Fleet, page } => self.read(now, page),
            Event::Read { stream: Stream::Orders, page } => self.read_orders(now, page),
            Event::SnapshotRead(state) => self.replace(now, *state),
            Event::Read { stream: Stream::Snapshots, .. }
            | Event::ReadFailed { stream: Stream::Snapshots, .. } => {}
            Event::Appended { stream: Stream::Snapshots, id, offset } => {
                self.appended_chunk(&id, offset);
            }
            Event::ReadFailed { stream: Stream::Fleet, first } => self.unread(first),
            Event::ReadFailed { stream: Stream::Orders, first } => {
                first.into_iter().for_each(|first| self.missed_orders(first));
            }
            Event::Appended { stream: Stream::Fleet, id, offset } => self.appended(&id, offset),
            Event::Appended { stream: Stream::Orders, id, offset } => {
                self.appended_orders(&id, offset);
            }
            Event::OperatorCalled { call, record } => self.called(call, record),
            Event::Message { from, incarnation, message } => {
                self.message(now, from, incarnation, message)
            }
            Event::LinkAttempted { peer, contact } => self.linked(now, peer, contact),
            Event::Listed(list) => self.listed(now, list),
            Event::OperationRead { operation, progress } => self.operated(now, operation, progress),
            Event::Probed { vm, reachable } => self.monitor.probed(now, &vm, reachable),
            Event::Stop => self.stop(),
        }
        self.work_desk(now);
        self.dispatch(now);
        self.settle(now)
    }

    /// Decides on what the passing of time asks for.
    pub fn tick(&mut self, now: Instant) -> Vec<Action> {
        self.expire(now);
        self.repeat(now);
        self.confirm_drains(now);
        self.beat(now);
        self.fetch(now);
        self.learn_standings(now);
        self.watch_endpoints(now);
        self.control(now);
        self.write_snapshot(now);
        self.tick_desk(now);
        self.work_desk(now);
        self.dispatch(now);
        self.settle(now)
    }

    fn settle(&mut self, now: Instant) -> Vec<Action> {
        self.send_slots();
        let ready = self.ready();
        let changed = self.shared.ready.swap(ready, Ordering::Relaxed) != ready;
        let stale = self.shown.is_none_or(|at| now.duration_since(at) >= SHOW_INTERVAL);
        if changed || stale {
            self.show(now, ready);
        }
        if self.stopping && self.flights.is_empty() {
            self.part(now);
        }
        std::mem::take(&mut self.actions)
    }

    fn ready(&self) -> bool {
        self.sourced && (self.joined() || self.unread) && !self.stopping
    }

    /// This incarnation is a member, so drains wait for it.
    fn joined(&self) -> bool {
        let state = self.shared.state();
        let own = state.members.get(&self.me.id);
        own.is_some_and(|m| m.incarnation == self.me.incarnation)
    }

    fn show(&mut self, now: Instant, ready: bool) {
        self.shown = Some(now);
        let state = self.shared.state();
        self.metrics.in_flight(self.flights.len() as u64);
        self.metrics.applied(state.next);
        let control = self.shared.traffic.totals();
        self.tell_control(control.total());
        self.metrics.flush();
        let peers = self.peers.list(now).map(|(peer, health)| {
            let beat = peer.last_heartbeat.as_ref();
            let sight = Sight {
                incarnation: peer.member.incarnation,
                zone: peer.member.zone.clone(),
                health,
                version: beat.and_then(|b| b.version),
                next: beat.map_or(0, |b| b.next),
                age_ms: now.duration_since(peer.last_heard).as_millis() as u64,
            };
            (peer.member.id.clone(), sight)
        });
        let status = Status {
            id: self.me.id.clone(),
            incarnation: self.me.incarnation,
            zone: self.me.zone.clone(),
            version: state.version,
            next: state.next,
            ready,
            control,
            peers: peers.collect(),
        };
        *self.shared.status.write().unwrap_or_else(PoisonError::into_inner) = status;
    }

    /// Sends what the control traffic has grown by.
    fn tell_control(&mut self, total: Volume) {
        let told = std::mem::replace(&mut self.told, total);
        self.metrics.control_bytes(Direction::Sent, total.sent_bytes - told.sent_bytes);
        self.metrics.control_bytes(Direction::Received, total.received_bytes - told.received_bytes);
    }

    fn stop(&mut self) {
        info!("engine: Stops with {} requests in progress.", self.flights.len());
        self.stopping = true;
    }

    /// Records the entry's end, then reports that everything has ended.
    fn part(&mut self, now: Instant) {
        let since = match self.farewell {
            Some(since) => since,
            None => {
                self.farewell = Some(now);
                self.record_gone(now, self.me.id.clone(), self.me.incarnation);
                self.repeat(now);
                now
            }
        };
        let written = self.pending.is_empty() && self.desk.is_idle();
        if written || now.duration_since(since) >= FAREWELL {
            self.actions.push(Action::Stopped);
        }
    }
}

/// Time between two accounts of the entry.
const SHOW_INTERVAL: Duration = Duration::from_millis(100);

/// Name of the log's stream.
pub fn stream_name(stream: Stream) -> &'static str {
    match stream {
        Stream::Fleet => FLEET_STREAM,
        Stream::Orders => ORDERS_STREAM,
        Stream::Snapshots => snapshot::STREAM,
    }
}
