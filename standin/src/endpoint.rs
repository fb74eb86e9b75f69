//! Stand-in for an endpoint: by default 8 slots and 64 connections, and a ledger of the orders that it
//! ran.
//!
//! A request for which no slot is free is refused as not run; a connection beyond the limit is closed.
//! An order counts as run when its work starts. A second address, which faults do not affect, controls
//! the stand-in:
//!
//! | call | effect |
//! |---|---|
//! | `POST /faults` with [`fault::Endpoint`] | replaces the faults |
//! | `POST /reboot` with [`Reboot`] | breaks every connection and refuses new ones for a time |
//! | `GET /ledger` | [`Ledger`] |

use {
    crate::{
        client, fault,
        payload::Payload,
        server::{self, Call, Connections, Counts, Handle, Reply, lock},
        vm::Registration,
        work::Work,
    },
    carobhitch::{
        id::{OrderKey, RackId, ServiceId, VmId, ZoneId},
        platform::{Health, Vm},
        request::{ATTEMPT_HEADER, KEY_HEADER, LEAVING_HEADER, OUTCOME_HEADER, Outcome},
    },
    displaydoc::Display,
    indexmap::IndexMap,
    serde::{Deserialize, Serialize},
    serde_json::Value,
    std::{
        future::pending,
        net::SocketAddr,
        sync::{Arc, Mutex, OnceLock},
        time::{Duration, Instant},
    },
    tokio::time::sleep,
};

/// Maximum number of concurrent connections of the control server.
const MAX_CONTROL_CONNECTIONS: usize = 64;
/// Seconds after which a refused request may be retried.
const RETRY_AFTER_SECS: &str = "1";

/// Why an endpoint did not start.
#[derive(Debug, Display)]
pub enum Error {
    /// start endpoint {0}: {1}
    Server(VmId, server::Error),
    /// register endpoint {0}: {1}
    Register(VmId, client::Error),
}

impl std::error::Error for Error {}

/// Result of starting an endpoint.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Settings of an endpoint.
#[derive(Clone, Debug)]
pub struct Config {
    /// Name of its VM.
    pub id: VmId,
    /// Service that it serves.
    pub service: ServiceId,
    /// Availability zone of its VM.
    pub zone: ZoneId,
    /// Rack of its VM.
    pub rack: RackId,
    /// Address of the endpoint.
    pub listen: SocketAddr,
    /// Address of the control server.
    pub control: SocketAddr,
    /// Maximum number of concurrent exchanges.
    pub slots: u32,
    /// Maximum number of concurrent connections.
    pub max_connections: usize,
    /// Control address of the platform's stand-in, with which this VM is registered.
    pub platform: Option<SocketAddr>,
    /// Faults at start.
    pub faults: fault::Endpoint,
}

/// Request to reboot.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Reboot {
    /// Time for which the VM is down.
    pub down_ms: u64,
}

/// What an endpoint has done so far.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Ledger {
    /// Name of its VM.
    pub id: VmId,
    /// Number of runs of each order.
    pub runs: IndexMap<OrderKey, u32>,
    /// Current number of exchanges.
    pub in_flight: u32,
    /// Maximum number of concurrent exchanges so far.
    pub most_in_flight: u32,
    /// Requests that were run.
    pub served: u64,
    /// Requests refused because no slot was free.
    pub refused: u64,
    /// Requests for another service, which are refused.
    pub misrouted: u64,
    /// Exchanges broken by a reboot.
    pub broken: u64,
    /// Number of reboots.
    pub boots: u64,
    /// Counts of the connections.
    pub connections: Counts,
}

/// A running endpoint.
#[derive(Debug)]
pub struct Endpoint {
    /// Server of requests.
    pub public: Handle,
    /// Control server.
    pub control: Handle,
}

#[derive(Default)]
struct State {
    faults: fault::Endpoint,
    /// Connections with lower numbers get no responses.
    silent_below: u64,
    /// The last exchange, whose response is sent instead by the fault `crossed`.
    last_exchange: Option<Exchange>,
    ledger: Ledger,
}

/// A request and the attempt that it names; the response repeats both.
#[derive(Clone, Debug)]
struct Exchange {
    work: Work,
    attempt: Option<String>,
}

struct Service {
    config: Config,
    state: Mutex<State>,
    connections: OnceLock<Arc<Connections>>,
}

/// A slot in use until it is dropped.
struct Slot(Arc<Service>);

impl Drop for Slot {
    fn drop(&mut self) {
        lock(&self.0.state).ledger.in_flight -= 1;
    }
}

/// Starts an endpoint and registers it with the platform's stand-in.
pub fn spawn(config: Config) -> Result<Endpoint> {
    let id = config.id.clone();
    let fail = |e| Error::Server(id.clone(), e);
    let state = State { faults: config.faults.clone(), ..State::default() };
    let service =
        Arc::new(Service { config, state: Mutex::new(state), connections: OnceLock::new() });
    let Config { listen, control, max_connections, .. } = service.config;
    let shared = service.clone();
    let public = server::spawn(listen, max_connections, move |call| {
        let service = shared.clone();
        async move { service.handle(call).await }
    })
    .map_err(fail)?;
    let _ = service.connections.set(public.connections.clone());
    let shared = service.clone();
    let control = server::spawn(control, MAX_CONTROL_CONNECTIONS, move |call| {
        let service = shared.clone();
        async move { service.control(&call).unwrap_or_else(|rejection| rejection) }
    })
    .map_err(fail)?;
    service.register(public.address, control.address)?;
    Ok(Endpoint { public, control })
}

impl Service {
    fn register(&self, address: SocketAddr, control: SocketAddr) -> Result<()> {
        let Config { id, zone, rack, platform, .. } = &self.config;
        let Some(platform) = platform else { return Ok(()) };
        let listed = Vm {
            id: id.clone(),
            zone: zone.clone(),
            rack: rack.clone(),
            address,
            health: Health::Live,
            boots: 0,
        };
        let registration = Registration { listed, control: Some(control) };
        client::post::<Value>(*platform, "/vms", &registration)
            .map(drop)
            .map_err(|e| Error::Register(id.clone(), e))
    }

    fn control(&self, call: &Call) -> Result<Reply, Reply> {
        match call.segments()[..] {
            ["faults"] => self.set_faults(call.json()?),
            ["reboot"] => self.reboot(call.json()?),
            ["ledger"] => return Ok(Reply::json(200, &self.ledger())),
            _ => return Err(Reply::text(404, "no such thing")),
        }
        Ok(Reply::json(200, &Value::Null))
    }

    fn ledger(&self) -> Ledger {
        let mut ledger = lock(&self.state).ledger.clone();
        ledger.id = self.config.id.clone();
        ledger.connections = self.counts();
        ledger
    }

    fn counts(&self) -> Counts {
        self.connections.get().map(|g| g.counts()).unwrap_or_default()
    }

    fn set_faults(&self, faults: fault::Endpoint) {
        let accepted = self.counts().accepted;
        let mut state = lock(&self.state);
        state.silent_below = if faults.silence_open { accepted } else { 0 };
        state.faults = faults;
    }

    fn reboot(&self, reboot: Reboot) {
        {
            let ledger = &mut lock(&self.state).ledger;
            ledger.boots += 1;
            ledger.broken += u64::from(ledger.in_flight);
        }
        if let Some(connections) = self.connections.get() {
            connections.set_down(Some(Instant::now() + Duration::from_millis(reboot.down_ms)));
        }
    }

    async fn handle(self: Arc<Self>, call: Call) -> Reply {
        if call.uri.path() == "/healthz" {
            return self.unless_silent(call.connection, Reply::text(200, "ok")).await;
        }
        let exchange = Exchange { work: parse_work(&call), attempt: call.header(ATTEMPT_HEADER) };
        let reply = match self.acquire_slot(&exchange, call.header(KEY_HEADER)) {
            Err(rejection) => rejection,
            Ok(slot) => {
                sleep(Duration::from_millis(exchange.work.work_ms) + self.response_delay()).await;
                drop(slot);
                self.respond(exchange)
            }
        };
        self.unless_silent(call.connection, reply).await
    }

    /// Takes a slot and records the run in the ledger.
    fn acquire_slot(
        self: &Arc<Self>,
        exchange: &Exchange,
        key: Option<OrderKey>,
    ) -> Result<Slot, Reply> {
        let mut state = lock(&self.state);
        let runs = if state.faults.double { 2 } else { 1 };
        let ledger = &mut state.ledger;
        if exchange.work.service != self.config.service {
            ledger.misrouted += 1;
            return Err(refuse(404, "another service's request"));
        }
        if ledger.in_flight >= self.config.slots {
            ledger.refused += 1;
            return Err(refuse(503, "no free slot"));
        }
        ledger.in_flight += 1;
        ledger.most_in_flight = ledger.most_in_flight.max(ledger.in_flight);
        ledger.served += 1;
        if let Some(key) = key {
            *ledger.runs.entry(key).or_default() += runs;
        }
        Ok(Slot(self.clone()))
    }

    fn response_delay(&self) -> Duration {
        Duration::from_millis(lock(&self.state).faults.late_ms)
    }

    fn respond(&self, exchange: Exchange) -> Reply {
        let mut state = lock(&self.state);
        let last = state.last_exchange.replace(exchange.clone());
        let faults = &state.faults;
        if faults.fail {
            return with_attempt(Reply::text(500, "failed"), exchange.attempt.as_deref());
        }
        let identity = last.filter(|_| faults.crossed).unwrap_or(exchange);
        let body = identity.work.response_body();
        let payload = if faults.cut { Payload::truncated(body) } else { Payload::complete(body) };
        let reply = with_attempt(Reply::new(200, payload), identity.attempt.as_deref());
        if faults.leaving { reply.with_header(LEAVING_HEADER, "1") } else { reply }
    }

    /// Returns the reply, or never returns if the connection is silent: it is as if a network element
    /// between the two ends had lost track of it.
    async fn unless_silent(&self, connection: u64, reply: Reply) -> Reply {
        if connection < lock(&self.state).silent_below {
            return pending().await;
        }
        reply
    }
}

fn parse_work(call: &Call) -> Work {
    Work {
        service: call.segments().first().map(|s| String::from(*s)).unwrap_or_default(),
        id: call.param("id").unwrap_or_default(),
        work_ms: call.param("work_ms").or_else(|| call.header("x-work-ms")).unwrap_or_default(),
        request_bytes: call.body.len(),
        response_bytes: call.param("answer_bytes").unwrap_or_default(),
    }
}

fn refuse(status: u16, text: &str) -> Reply {
    Reply::text(status, text)
        .with_header(OUTCOME_HEADER, &Outcome::NotRun.to_string())
        .with_header("retry-after", RETRY_AFTER_SECS)
}

fn with_attempt(reply: Reply, attempt: Option<&str>) -> Reply {
    match attempt {
        Some(attempt) => reply.with_header(ATTEMPT_HEADER, attempt),
        None => reply,
    }
}
