//! The engine: every decision of an entry, fed with events and answering with actions.
//!
//! It owns the requests in progress and the agreed state, takes the time as an argument and does no
//! input or output, so the same code runs in a daemon, in a test and in a measurement.

use {
    crate::{
        event::{Action, CallId, End, Event, Finish, RequestId, Stream},
        fleet::DEFAULT_SLOTS,
        id::{AttemptId, EntryId, Incarnation, Offset, VmId, ZoneId},
        platform::{Append, Page},
        record::{Body, FLEET_STREAM, Member, Record},
        request::{Class, Request},
        state::State,
    },
    indexmap::IndexMap,
    log::{info, warn},
    serde::{Deserialize, Serialize},
    std::{
        collections::{HashMap, VecDeque},
        net::SocketAddr,
        sync::{
            PoisonError, RwLock,
            atomic::{AtomicBool, Ordering},
        },
        time::{Duration, Instant, SystemTime, UNIX_EPOCH},
    },
};

/// Time after which an unanswered append is repeated.
const REPEAT: Duration = Duration::from_secs(1);
/// When a caller whose request was refused should come back.
const RETRY_AFTER: Duration = Duration::from_secs(1);

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
}

/// What the engine shows to the threads that answer questions about it.
#[derive(Debug, Default)]
pub struct Shared {
    ready: AtomicBool,
    status: RwLock<Status>,
    /// The agreed state.
    pub state: RwLock<State>,
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
}

struct Flight {
    request: Request,
    repeatable: bool,
    running: Option<Attempt>,
}

struct Attempt {
    id: AttemptId,
    vm: VmId,
}

/// Decisions of one entry.
pub struct Engine {
    me: Member,
    shared: std::sync::Arc<Shared>,
    flights: HashMap<RequestId, Flight>,
    queues: IndexMap<String, VecDeque<RequestId>>,
    in_use: HashMap<VmId, u32>,
    calls: HashMap<String, CallId>,
    pending: IndexMap<String, (Append, Option<Instant>)>,
    attempts: u64,
    caught_up: bool,
    stopping: bool,
    actions: Vec<Action>,
}

impl Engine {
    /// Begins with nothing known.
    pub fn new(me: Member, shared: std::sync::Arc<Shared>) -> Self {
        Self {
            me,
            shared,
            flights: HashMap::new(),
            queues: IndexMap::new(),
            in_use: HashMap::new(),
            calls: HashMap::new(),
            pending: IndexMap::new(),
            attempts: 0,
            caught_up: false,
            stopping: false,
            actions: Vec::new(),
        }
    }

    /// Decides on an event.
    pub fn handle(&mut self, now: Instant, event: Event) -> Vec<Action> {
        match event {
            Event::Arrived { id, request, repeatable, .. } => {
                self.arrived(now, id, request, repeatable)
            }
            Event::Cancelled { id } => self.cancelled(id),
            Event::Ended { id, attempt, end } => self.ended(now, id, attempt, end),
            Event::Read { stream: Stream::Fleet, page } => self.read(now, page),
            Event::Appended { id, offset, .. } => self.appended(&id, offset),
            Event::Called { call, record } => self.called(call, record),
            Event::Stop => self.stop(),
            _ => {}
        }
        self.dispatch(now);
        self.settle(now)
    }

    /// Decides on what the passing of time asks for.
    pub fn tick(&mut self, now: Instant) -> Vec<Action> {
        self.expire(now);
        self.repeat(now);
        self.dispatch(now);
        self.settle(now)
    }

    fn settle(&mut self, _now: Instant) -> Vec<Action> {
        let status = {
            let state = self.shared.state.read().unwrap_or_else(PoisonError::into_inner);
            let joined = state
                .members
                .get(&self.me.id)
                .is_some_and(|m| m.incarnation == self.me.incarnation);
            Status {
                id: self.me.id.clone(),
                incarnation: self.me.incarnation,
                zone: self.me.zone.clone(),
                version: state.version,
                next: state.next,
                ready: joined && self.caught_up && !self.stopping,
            }
        };
        self.shared.ready.store(status.ready, Ordering::Relaxed);
        *self.shared.status.write().unwrap_or_else(PoisonError::into_inner) = status;
        if self.stopping && self.flights.is_empty() {
            self.actions.push(Action::Stopped);
        }
        std::mem::take(&mut self.actions)
    }

    fn arrived(&mut self, now: Instant, id: RequestId, request: Request, repeatable: bool) {
        if self.stopping {
            return self.refuse(id, "the entry is stopping");
        }
        let known = {
            let state = self.shared.state.read().unwrap_or_else(PoisonError::into_inner);
            state.declaration.services.contains_key(&request.service)
        };
        if !known {
            return self.refuse(id, "no such service");
        }
        if request.deadline <= now {
            return self.refuse(id, "the deadline has passed");
        }
        self.queues.entry(request.service.clone()).or_default().push_back(id);
        self.flights.insert(id, Flight { request, repeatable, running: None });
    }

    fn refuse(&mut self, id: RequestId, reason: &str) {
        let finish = Finish::NotRun { reason: reason.to_string(), retry_after: RETRY_AFTER };
        self.actions.push(Action::Finish { id, finish });
    }

    fn cancelled(&mut self, id: RequestId) {
        let Some(flight) = self.flights.remove(&id) else {
            return;
        };
        if let Some(queue) = self.queues.get_mut(&flight.request.service) {
            queue.retain(|waiting| *waiting != id);
        }
    }

    fn ended(&mut self, now: Instant, id: RequestId, attempt: AttemptId, end: End) {
        let Some(flight) = self.flights.get_mut(&id) else {
            return;
        };
        let Some(running) = flight.running.take_if(|running| running.id == attempt) else {
            return;
        };
        if let Some(count) = self.in_use.get_mut(&running.vm) {
            *count = count.saturating_sub(1);
        }
        let certain = matches!(end, End::Refused { .. } | End::Unsent);
        let idempotent = flight.request.class != Class::Order;
        let service = flight.request.service.clone();
        match end {
            End::Answered { .. } | End::Cut => {
                self.flights.remove(&id);
            }
            _ if (certain || idempotent) && flight.repeatable && flight.request.deadline > now => {
                self.queues.entry(service).or_default().push_front(id);
            }
            _ if certain => {
                self.flights.remove(&id);
                self.refuse(id, "no endpoint took it");
            }
            _ => {
                self.flights.remove(&id);
                let reason = format!("the exchange with {} ended without an answer", running.vm);
                let finish = Finish::Unknown { reason, retry_after: RETRY_AFTER };
                self.actions.push(Action::Finish { id, finish });
            }
        }
    }

    fn expire(&mut self, now: Instant) {
        let late: Vec<_> = self
            .flights
            .iter()
            .filter(|(_, f)| f.running.is_none() && f.request.deadline <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in late {
            self.cancelled(id);
            self.refuse(id, "no endpoint was free in time");
        }
    }

    fn dispatch(&mut self, now: Instant) {
        let services: Vec<_> = self.queues.keys().cloned().collect();
        for service in services {
            while self.queues.get(&service).is_some_and(|queue| !queue.is_empty()) {
                let Some((vm, address)) = self.pick(&service) else {
                    break;
                };
                let Some(id) = self.queues.get_mut(&service).and_then(VecDeque::pop_front) else {
                    break;
                };
                self.run(now, id, vm, address);
            }
        }
    }

    fn run(&mut self, now: Instant, id: RequestId, vm: VmId, address: SocketAddr) {
        let Some(flight) = self.flights.get_mut(&id) else {
            return;
        };
        self.attempts += 1;
        let attempt = (AttemptId::from(self.me.incarnation) << 64) | AttemptId::from(self.attempts);
        let until = flight.request.deadline.max(now);
        flight.running = Some(Attempt { id: attempt, vm: vm.clone() });
        *self.in_use.entry(vm.clone()).or_default() += 1;
        self.actions.push(Action::Run { id, attempt, vm, address, until });
    }

    /// Picks the endpoint with the fewest exchanges within this entry's share of its slots.
    fn pick(&self, service: &String) -> Option<(VmId, SocketAddr)> {
        let state = self.shared.state.read().unwrap_or_else(PoisonError::into_inner);
        let peers = state.members.values().filter(|m| m.zone == self.me.zone).count();
        let share = DEFAULT_SLOTS / peers.max(1) as u32;
        state
            .endpoints(service)
            .filter(|(_, vm)| vm.zone == self.me.zone)
            .map(|(id, vm)| (self.in_use.get(id).copied().unwrap_or(0), id, vm))
            .filter(|(used, _, _)| *used < share)
            .min_by_key(|(used, _, _)| *used)
            .map(|(_, id, vm)| (id.clone(), vm.address))
    }

    fn read(&mut self, now: Instant, page: Page) {
        for entry in &page.records {
            let record = match serde_json::from_value::<Record>(entry.data.clone()) {
                Ok(record) => record,
                Err(error) => {
                    warn!("engine: Record {} is not readable: {error}.", entry.offset);
                    continue;
                }
            };
            let verdict = {
                let mut state = self.shared.state.write().unwrap_or_else(PoisonError::into_inner);
                if entry.offset < state.next {
                    continue;
                }
                state.apply(entry.offset, &record)
            };
            self.pending.shift_remove(&record.operation);
            if let Some(call) = self.calls.remove(&record.operation) {
                let verdict = Some((entry.offset, verdict));
                self.actions.push(Action::Reply { call, verdict });
            }
        }
        let next = self.shared.state.read().unwrap_or_else(PoisonError::into_inner).next;
        if next >= page.end && !self.caught_up {
            self.caught_up = true;
            info!("engine: Caught up with the log at offset {next}.");
            self.join(now);
        }
    }

    fn join(&mut self, _now: Instant) {
        let body = Body::Join { entry: self.me.clone() };
        let operation = format!("join-{}-{:016x}", self.me.id, self.me.incarnation);
        let author = self.me.id.clone();
        self.append(Record { operation, author, at: since_epoch(), body });
    }

    fn called(&mut self, call: CallId, record: Record) {
        self.calls.insert(record.operation.clone(), call);
        self.append(record);
    }

    fn append(&mut self, record: Record) {
        let id = record.operation.clone();
        match serde_json::to_value(&record) {
            Ok(data) => {
                self.pending.insert(id.clone(), (Append { id, data }, None));
            }
            Err(error) => warn!("engine: Record {id} can't be encoded: {error}."),
        }
    }

    fn repeat(&mut self, now: Instant) {
        for (append, sent) in self.pending.values_mut() {
            if sent.is_none_or(|at| now.duration_since(at) >= REPEAT) {
                *sent = Some(now);
                let record = append.clone();
                self.actions.push(Action::Append { stream: Stream::Fleet, record });
            }
        }
    }

    fn appended(&mut self, id: &str, offset: Option<Offset>) {
        if offset.is_some() {
            return;
        }
        if let Some((_, sent)) = self.pending.get_mut(id) {
            *sent = None;
        }
    }

    fn stop(&mut self) {
        info!("engine: Stops with {} requests in progress.", self.flights.len());
        self.stopping = true;
    }
}

fn since_epoch() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}

/// Name of the log's stream.
pub fn stream_name(stream: Stream) -> &'static str {
    match stream {
        Stream::Fleet => FLEET_STREAM,
        Stream::Orders => crate::record::ORDERS_STREAM,
    }
}
