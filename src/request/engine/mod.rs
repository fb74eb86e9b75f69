//! The engine makes all decisions of an entry: it handles events and returns actions.
//!
//! It owns the requests in progress and the replicated state. It takes the time as an argument and
//! does no input or output, so the same code runs in the daemon, in tests and in benchmarks.

mod control;
mod dispatch;
mod endpoints;
mod orders;
mod peers;
mod records;
mod requests;
mod snapshots;

use {
    crate::{
        controller::{Controller, Observation},
        eject::Monitor,
        event::{Action, CallId, Event, RequestId, Stream},
        id::{EntryId, Incarnation, Offset, OperationId, ServiceId, VmId, ZoneId},
        inventory::Inventory,
        member,
        metrics::{Direction, Metrics},
        order::{Coordinator, Retention},
        record::{FLEET_STREAM, Member, ORDERS_STREAM},
        slot, snapshot,
        state::State,
        traffic::{Totals, Traffic, Volume},
    },
    indexmap::IndexMap,
    log::info,
    requests::{Inflight, Service},
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

/// Time that a planned stop waits until the record of the entry's own end is in the log.
const GONE_RECORD_TIMEOUT: Duration = Duration::from_secs(1);

/// Status of the entry, as served to callers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Id of the entry.
    pub id: EntryId,
    /// Incarnation of the entry.
    pub incarnation: Incarnation,
    /// Availability zone.
    pub zone: ZoneId,
    /// Version of the declaration applied here.
    pub version: Option<Offset>,
    /// Offset of the next fleet record to apply.
    pub next: Offset,
    /// Whether it serves callers.
    pub ready: bool,
    /// Control traffic sent and received, in bytes.
    pub control: Totals,
    /// Status of the other entries as known here.
    pub peers: IndexMap<EntryId, Peer>,
}

/// Status of another entry as known here.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Peer {
    /// Incarnation.
    pub incarnation: Incarnation,
    /// Availability zone.
    pub zone: ZoneId,
    /// Whether it is alive, suspected or gone.
    pub health: member::Health,
    /// Version of the declaration applied there.
    pub version: Option<Offset>,
    /// Offset of the next fleet record that it will apply.
    pub next: Offset,
    /// Milliseconds since its last message or acknowledgement.
    pub age_ms: u64,
}

/// Engine state that other threads may read.
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

    /// Status of the entry.
    pub fn status(&self) -> Status {
        self.status.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Counters of the entry's control traffic.
    pub fn traffic(&self) -> &Arc<Traffic> {
        &self.traffic
    }

    /// Replicated state as applied here.
    pub fn state(&self) -> Arc<State> {
        self.state.read().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

/// Decision logic of one entry.
pub struct Engine {
    /// This entry.
    me: Member,
    shared: Arc<Shared>,
    /// Links of other entries that may have a state.
    seeds: Vec<SocketAddr>,
    peers: member::Table,
    inflight: HashMap<RequestId, Inflight>,
    services: IndexMap<ServiceId, Service>,
    slots: slot::Table,
    monitor: Monitor,
    /// Addresses of the endpoints.
    addresses: IndexMap<VmId, SocketAddr>,
    /// When each leaving endpoint last reported that it is leaving.
    leaving_reports: IndexMap<VmId, Instant>,
    inventory: Inventory,
    /// Latest known progress of the platform's actions on VMs.
    operations: IndexMap<OperationId, Observation>,
    controller: Controller,
    coordinator: Coordinator,
    snapshots: snapshots::Writer,
    /// When the controller last ran.
    last_control: Option<Instant>,
    metrics: Metrics,
    /// An instant and the time since the Unix epoch at it.
    wall_clock: (Instant, Duration),
    /// Operators' calls that wait for their records.
    calls: HashMap<OperationId, CallId>,
    /// Fleet records not yet known to be in the log.
    pending: IndexMap<OperationId, records::Pending>,
    /// Number of attempts so far, which gives the next one's id.
    attempts: u64,
    /// Number of heartbeats sent so far.
    heartbeats: u64,
    /// Whether a state has been read from the log or taken from a peer.
    has_state: bool,
    /// Whether this incarnation has been a member.
    was_member: bool,
    /// Whether the last read of the fleet stream failed.
    log_unreadable: bool,
    /// When a state was last requested from peers.
    last_fetch: Option<Instant>,
    /// When the status was last published.
    last_published: Option<Instant>,
    /// Control traffic already sent as metrics.
    reported_traffic: Volume,
    stopping: bool,
    /// When the record of this incarnation's end was proposed.
    gone_recorded: Option<Instant>,
    /// Actions to return from the current call.
    actions: Vec<Action>,
}

impl Engine {
    /// Creates an engine without a state; `seeds` are links of other entries that may have one.
    pub fn new(now: Instant, me: Member, seeds: Vec<SocketAddr>, shared: Arc<Shared>) -> Self {
        let peers = member::Table::new(me.zone.clone());
        let slots = slot::Table::new(now, (me.id.clone(), me.incarnation));
        let coordinator = Coordinator::new((me.id.clone(), me.incarnation), Retention::default());
        let controller = Controller::new(me.id.clone(), me.incarnation);
        Self {
            me,
            shared,
            seeds,
            peers,
            inflight: HashMap::new(),
            services: IndexMap::new(),
            slots,
            monitor: Monitor::default(),
            addresses: IndexMap::new(),
            leaving_reports: IndexMap::new(),
            inventory: Inventory::default(),
            operations: IndexMap::new(),
            controller,
            coordinator,
            snapshots: snapshots::Writer::default(),
            last_control: None,
            metrics: Metrics::disabled(),
            wall_clock: (now, Duration::ZERO),
            calls: HashMap::new(),
            pending: IndexMap::new(),
            attempts: 0,
            heartbeats: 0,
            has_state: false,
            was_member: false,
            log_unreadable: false,
            last_fetch: None,
            last_published: None,
            reported_traffic: Volume::default(),
            stopping: false,
            gone_recorded: None,
            actions: Vec::new(),
        }
    }

    /// Sends metrics to `metrics` from now on.
    pub fn set_metrics(&mut self, metrics: Metrics) {
        self.metrics = metrics;
    }

    /// Sets the time since the Unix epoch at `now`; later times are derived from it.
    pub fn set_wall_clock(&mut self, now: Instant, wall: Duration) {
        self.wall_clock = (now, wall);
    }

    /// Time since the Unix epoch at `now`.
    fn wall_time(&self, now: Instant) -> Duration {
        self.wall_clock.1 + now.saturating_duration_since(self.wall_clock.0)
    }

    /// Handles an event.
    pub fn handle(&mut self, now: Instant, event: Event) -> Vec<Action> {
        match event {
            Event::Arrived { id, request, fingerprint, repeatable, relayed } => {
                let inflight = Inflight::new(now, request, fingerprint, repeatable, relayed);
                self.arrived(now, id, inflight)
            }
            Event::Cancelled { id } => self.cancelled(now, id),
            Event::Ended { id, attempt, end } => self.ended(now, id, attempt, end),
            Event::Read { stream: Stream::Fleet, page } => self.read_records(now, page),
            Event::Read { stream: Stream::Orders, page } => self.read_orders(now, page),
            Event::SnapshotRead(state) => self.adopt_state(now, *state),
            Event::Read { stream: Stream::Snapshots, .. }
            | Event::ReadFailed { stream: Stream::Snapshots, .. } => {}
            Event::Appended { stream: Stream::Snapshots, id, offset } => {
                self.appended_chunk(&id, offset);
            }
            Event::ReadFailed { stream: Stream::Fleet, first } => self.read_failed(first),
            Event::ReadFailed { stream: Stream::Orders, first } => {
                first.into_iter().for_each(|first| self.orders_trimmed(first));
            }
            Event::Appended { stream: Stream::Fleet, id, offset } => self.appended(&id, offset),
            Event::Appended { stream: Stream::Orders, id, offset } => {
                self.appended_orders(&id, offset);
            }
            Event::OperatorCalled { call, record } => self.operator_called(call, record),
            Event::Message { from, incarnation, message } => {
                self.handle_message(now, from, incarnation, message)
            }
            Event::LinkAttempted { peer, contact } => self.linked(now, peer, contact),
            Event::Listed(list) => self.vms_listed(now, list),
            Event::OperationRead { operation, progress } => {
                self.operation_read(now, operation, progress)
            }
            Event::Probed { vm, reachable } => self.monitor.probed(now, &vm, reachable),
            Event::Stop => self.stop(),
        }
        self.work_orders(now);
        self.dispatch(now);
        self.finish_step(now)
    }

    /// Does what is due at `now`; to be called periodically.
    pub fn tick(&mut self, now: Instant) -> Vec<Action> {
        self.expire(now);
        self.resend_pending(now);
        self.confirm_drains(now);
        self.send_heartbeats(now);
        self.fetch_state(now);
        self.update_slot_members(now);
        self.check_endpoints(now);
        self.run_controller(now);
        self.write_snapshot(now);
        self.tick_orders(now);
        self.work_orders(now);
        self.dispatch(now);
        self.finish_step(now)
    }

    /// Finishes a call: queues slot messages, publishes the status and returns the actions.
    fn finish_step(&mut self, now: Instant) -> Vec<Action> {
        self.send_slots();
        let ready = self.ready();
        let changed = self.shared.ready.swap(ready, Ordering::Relaxed) != ready;
        let stale = self.last_published.is_none_or(|at| now.duration_since(at) >= PUBLISH_INTERVAL);
        if changed || stale {
            self.publish_status(now, ready);
        }
        if self.stopping && self.inflight.is_empty() {
            self.finish_stop(now);
        }
        std::mem::take(&mut self.actions)
    }

    /// Whether callers are served.
    fn ready(&self) -> bool {
        self.has_state && (self.joined() || self.log_unreadable) && !self.stopping
    }

    /// Whether this incarnation is a member in the replicated state, so that drains wait for it.
    fn joined(&self) -> bool {
        let state = self.shared.state();
        let own = state.members.get(&self.me.id);
        own.is_some_and(|m| m.incarnation == self.me.incarnation)
    }

    /// Publishes the status and the metrics.
    fn publish_status(&mut self, now: Instant, ready: bool) {
        self.last_published = Some(now);
        let state = self.shared.state();
        self.metrics.in_flight(self.inflight.len() as u64);
        self.metrics.applied(state.next);
        let control = self.shared.traffic.totals();
        self.report_traffic(control.total());
        self.metrics.flush();
        let peers = self.peers.list(now).map(|(peer, health)| {
            let heartbeat = peer.last_heartbeat.as_ref();
            let peer_status = Peer {
                incarnation: peer.member.incarnation,
                zone: peer.member.zone.clone(),
                health,
                version: heartbeat.and_then(|b| b.version),
                next: heartbeat.map_or(0, |b| b.next),
                age_ms: now.duration_since(peer.last_heard).as_millis() as u64,
            };
            (peer.member.id.clone(), peer_status)
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

    /// Sends the growth of the control traffic as metrics.
    fn report_traffic(&mut self, total: Volume) {
        let reported = std::mem::replace(&mut self.reported_traffic, total);
        self.metrics.control_bytes(Direction::Sent, total.sent_bytes - reported.sent_bytes);
        self.metrics
            .control_bytes(Direction::Received, total.received_bytes - reported.received_bytes);
    }

    /// Begins a planned stop.
    fn stop(&mut self) {
        info!("engine: Stopping with {} requests in progress.", self.inflight.len());
        self.stopping = true;
    }

    /// Records this incarnation's end; reports that the stop is complete once the record is in the
    /// log or [`GONE_RECORD_TIMEOUT`] has passed.
    fn finish_stop(&mut self, now: Instant) {
        let since = match self.gone_recorded {
            Some(since) => since,
            None => {
                self.gone_recorded = Some(now);
                self.record_gone(now, self.me.id.clone(), self.me.incarnation);
                self.resend_pending(now);
                now
            }
        };
        let written = self.pending.is_empty() && self.coordinator.is_idle();
        if written || now.duration_since(since) >= GONE_RECORD_TIMEOUT {
            self.actions.push(Action::Stopped);
        }
    }
}

/// Time between two updates of the published status.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(100);

/// Name of a stream in the log.
pub fn stream_name(stream: Stream) -> &'static str {
    match stream {
        Stream::Fleet => FLEET_STREAM,
        Stream::Orders => ORDERS_STREAM,
        Stream::Snapshots => snapshot::STREAM,
    }
}
