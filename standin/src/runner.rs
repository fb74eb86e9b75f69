//! Stand-in of an endpoint: 8 slots, 64 connections, and a ledger of the orders that it ran.
//!
//! A request past the slots is refused as not run; a connection past the bound is closed. An order
//! counts as run when its work begins. A second address, which no fault touches, controls the
//! stand-in:
//!
//! | call | effect |
//! |---|---|
//! | `POST /faults` with [`fault::Runner`] | replaces the faults |
//! | `POST /reboot` with [`Reboot`] | breaks every exchange and refuses connections for a time |
//! | `GET /ledger` | [`Ledger`] |

use {
    crate::{
        client, fault,
        identity::Work,
        machine::Machine,
        payload::Payload,
        server::{self, Call, Counts, Gate, Handle, Reply, lock},
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

/// Connections of the control at once.
const MAX_CONTROL_CONNECTIONS: usize = 64;
/// Seconds after which a refused caller may ask again.
const RETRY_AFTER_SECS: &str = "1";

/// Why a runner did not start.
#[derive(Debug, Display)]
pub enum Error {
    /// start runner {0}: {1}
    Server(VmId, server::Error),
    /// register runner {0}: {1}
    Register(VmId, client::Error),
}

impl std::error::Error for Error {}

/// Result of starting a runner.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// How a runner is set up.
#[derive(Clone, Debug)]
pub struct Config {
    /// Name of its VM.
    pub id: VmId,
    /// Service that it answers for.
    pub service: ServiceId,
    /// Availability zone of its VM.
    pub zone: ZoneId,
    /// Rack of its VM.
    pub rack: RackId,
    /// Address of the endpoint.
    pub listen: SocketAddr,
    /// Address of the control.
    pub control: SocketAddr,
    /// Exchanges at once.
    pub slots: u32,
    /// Connections at once.
    pub connections: usize,
    /// Control of the platform's stand-in, which is told of this VM.
    pub platform: Option<SocketAddr>,
    /// Faults at start.
    pub faults: fault::Runner,
}

/// Order to reboot.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Reboot {
    /// Time for which the VM is down.
    pub down_ms: u64,
}

/// What a runner did so far.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Ledger {
    /// Name of its VM.
    pub id: VmId,
    /// Runs of each order.
    pub runs: IndexMap<OrderKey, u32>,
    /// Exchanges now.
    pub in_flight: u32,
    /// Exchanges at once, at most.
    pub most_in_flight: u32,
    /// Requests run.
    pub served: u64,
    /// Requests refused because no slot was free.
    pub refused: u64,
    /// Requests for another service.
    pub misrouted: u64,
    /// Exchanges broken by a reboot.
    pub broken: u64,
    /// Reboots so far.
    pub boots: u64,
    /// Connections.
    pub connections: Counts,
}

/// A running endpoint.
#[derive(Debug)]
pub struct Runner {
    /// Endpoint.
    pub public: Handle,
    /// Control.
    pub control: Handle,
}

#[derive(Default)]
struct State {
    faults: fault::Runner,
    /// Connections of lower numbers are silent.
    silent_below: u64,
    /// Identity of the last request, for crossed answers.
    last: Option<Exchange>,
    ledger: Ledger,
}

/// What an answer is made of.
#[derive(Clone, Debug)]
struct Exchange {
    work: Work,
    attempt: Option<String>,
}

struct Service {
    config: Config,
    state: Mutex<State>,
    gate: OnceLock<Arc<Gate>>,
}

/// A slot in use until it is dropped.
struct Slot(Arc<Service>);

impl Drop for Slot {
    fn drop(&mut self) {
        lock(&self.0.state).ledger.in_flight -= 1;
    }
}

/// Starts a runner and registers it with the platform's stand-in.
pub fn spawn(config: Config) -> Result<Runner> {
    let id = config.id.clone();
    let fail = |e| Error::Server(id.clone(), e);
    let state = State { faults: config.faults.clone(), ..State::default() };
    let service = Arc::new(Service { config, state: Mutex::new(state), gate: OnceLock::new() });
    let Config { listen, control, connections, .. } = service.config;
    let shared = service.clone();
    let public = server::spawn(listen, connections, move |call| {
        let service = shared.clone();
        async move { service.exchange(call).await }
    })
    .map_err(fail)?;
    let _ = service.gate.set(public.gate.clone());
    let shared = service.clone();
    let control = server::spawn(control, MAX_CONTROL_CONNECTIONS, move |call| {
        let service = shared.clone();
        async move { service.control(&call).unwrap_or_else(|refusal| refusal) }
    })
    .map_err(fail)?;
    service.register(public.address, control.address)?;
    Ok(Runner { public, control })
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
        let machine = Machine { listed, control: Some(control) };
        client::post::<Value>(*platform, "/vms", &machine)
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
        self.gate.get().map(|g| g.counts()).unwrap_or_default()
    }

    fn set_faults(&self, faults: fault::Runner) {
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
        if let Some(gate) = self.gate.get() {
            gate.set_down(Some(Instant::now() + Duration::from_millis(reboot.down_ms)));
        }
    }

    async fn exchange(self: Arc<Self>, call: Call) -> Reply {
        if call.uri.path() == "/healthz" {
            return self.unless_silent(call.connection, Reply::text(200, "ok")).await;
        }
        let exchange = Exchange { work: read(&call), attempt: call.header(ATTEMPT_HEADER) };
        let reply = match self.begin(&exchange, call.header(KEY_HEADER)) {
            Err(refusal) => refusal,
            Ok(slot) => {
                sleep(Duration::from_millis(exchange.work.work_ms) + self.late()).await;
                drop(slot);
                self.answer(exchange)
            }
        };
        self.unless_silent(call.connection, reply).await
    }

    /// Takes a slot and enters the run in the ledger.
    fn begin(self: &Arc<Self>, exchange: &Exchange, key: Option<OrderKey>) -> Result<Slot, Reply> {
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

    fn late(&self) -> Duration {
        Duration::from_millis(lock(&self.state).faults.late_ms)
    }

    fn answer(&self, exchange: Exchange) -> Reply {
        let mut state = lock(&self.state);
        let last = state.last.replace(exchange.clone());
        let faults = &state.faults;
        if faults.fail {
            return named(Reply::text(500, "failed"), exchange.attempt.as_deref());
        }
        let shown = last.filter(|_| faults.crossed).unwrap_or(exchange);
        let body = shown.work.answer_body();
        let payload = if faults.cut { Payload::cut(body) } else { Payload::whole(body) };
        let reply = named(Reply::new(200, payload), shown.attempt.as_deref());
        if faults.leaving { reply.with_header(LEAVING_HEADER, "1") } else { reply }
    }

    /// Answers, unless something between the two ends has lost track of the connection.
    async fn unless_silent(&self, connection: u64, reply: Reply) -> Reply {
        if connection < lock(&self.state).silent_below {
            return pending().await;
        }
        reply
    }
}

fn read(call: &Call) -> Work {
    Work {
        service: call.segments().first().map(|s| String::from(*s)).unwrap_or_default(),
        id: call.param("id").unwrap_or_default(),
        work_ms: call.param("work_ms").or_else(|| call.header("x-work-ms")).unwrap_or_default(),
        request_bytes: call.body.len(),
        answer_bytes: call.param("answer_bytes").unwrap_or_default(),
    }
}

fn refuse(status: u16, text: &str) -> Reply {
    Reply::text(status, text)
        .with_header(OUTCOME_HEADER, &Outcome::NotRun.to_string())
        .with_header("retry-after", RETRY_AFTER_SECS)
}

fn named(reply: Reply, attempt: Option<&str>) -> Reply {
    match attempt {
        Some(attempt) => reply.with_header(ATTEMPT_HEADER, attempt),
        None => reply,
    }
}
