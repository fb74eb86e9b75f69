//! Stand-in of the platform: its log, its list of VMs and its tasks.
//!
//! The public address speaks the protocol of [`carobhitch::platform`]. A second address, which no
//! fault touches, controls the stand-in:
//!
//! | call | effect |
//! |---|---|
//! | `POST /faults` with [`fault::Platform`] | replaces the faults |
//! | `POST /vms` with [`Machine`] | adds or replaces a VM |
//! | `POST /vms/{vm}/health` with [`carobhitch::platform::Health`] | changes its health |
//! | `POST /tasks/{task}` with [`Behavior`] | makes a task behave in some way |

use {
    crate::{
        client,
        fault::{self, Outage, Pace},
        machine::{Inventory, Machine, Machines},
        server::{self, Call, Gate, Handle, Reply, lock},
        stream::{Retention, Stream},
        task::{Behavior, Tasks, Verb},
    },
    carobhitch::{
        id::{Offset, OperationId, VmId, ZoneId},
        platform::{Action, Append, Appended, Operation, Progress},
    },
    hyper::Method,
    indexmap::IndexMap,
    rand::{Rng, SeedableRng, rngs::SmallRng},
    serde_json::{Value, json},
    std::{
        future::pending,
        net::SocketAddr,
        pin::pin,
        sync::{Arc, Mutex, OnceLock},
        thread,
        time::{Duration, Instant, SystemTime, UNIX_EPOCH},
    },
    tokio::{
        sync::Notify,
        time::{sleep, timeout_at},
    },
};

/// Connections at once.
const MAX_CONNECTIONS: usize = 4096;
/// Records in a page, if the reader names no number.
const DEFAULT_PAGE_RECORDS: usize = 1000;

/// How a platform is set up.
#[derive(Clone, Debug)]
pub struct Config {
    /// Public address.
    pub listen: SocketAddr,
    /// Address of the control.
    pub control: SocketAddr,
    /// VMs at start.
    pub inventory: Inventory,
    /// What streams keep.
    pub retention: Retention,
    /// Lag of the list of VMs.
    pub list_lag: Duration,
    /// Time that a reboot takes.
    pub reboot: Duration,
    /// Faults at start.
    pub faults: fault::Platform,
    /// Seed of the faults that come by chance.
    pub seed: u64,
}

/// A running platform.
#[derive(Debug)]
pub struct Platform {
    /// Public server.
    pub public: Handle,
    /// Control server.
    pub control: Handle,
}

struct State {
    streams: IndexMap<String, Stream>,
    machines: Machines,
    tasks: Tasks,
    faults: fault::Platform,
    outage_until: Option<Instant>,
    pace: Pace,
    chance: SmallRng,
}

struct Service {
    config: Config,
    state: Mutex<State>,
    appended: Notify,
    gate: OnceLock<Arc<Gate>>,
}

/// Starts a platform.
pub fn spawn(config: Config) -> server::Result<Platform> {
    let service = Arc::new(Service::new(config));
    let shared = service.clone();
    let public = server::spawn(service.config.listen, MAX_CONNECTIONS, move |call| {
        let service = shared.clone();
        async move { service.public(call).await }
    })?;
    let _ = service.gate.set(public.gate.clone());
    service.set_faults(service.config.faults.clone());
    let shared = service.clone();
    let control = server::spawn(service.config.control, MAX_CONNECTIONS, move |call| {
        let service = shared.clone();
        async move { service.control(&call).unwrap_or_else(|refusal| refusal) }
    })?;
    Ok(Platform { public, control })
}

/// Time since the Unix epoch.
fn now() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}

fn not_found() -> Reply {
    Reply::text(404, "no such thing")
}

impl Service {
    fn new(config: Config) -> Self {
        let mut machines = Machines::default();
        config.inventory.vms.iter().for_each(|m| machines.put(now(), m.clone()));
        let state = State {
            streams: IndexMap::new(),
            machines,
            tasks: Tasks::default(),
            faults: fault::Platform::default(),
            outage_until: None,
            pace: Pace::new(Instant::now()),
            chance: SmallRng::seed_from_u64(config.seed),
        };
        let state = Mutex::new(state);
        Self { config, state, appended: Notify::new(), gate: OnceLock::new() }
    }

    fn control(&self, call: &Call) -> Result<Reply, Reply> {
        match call.segments()[..] {
            ["faults"] => self.set_faults(call.json()?),
            ["vms"] => lock(&self.state).machines.put(now(), call.json::<Machine>()?),
            ["vms", vm, "health"] => {
                let known = lock(&self.state).machines.set_health(now(), &vm.into(), call.json()?);
                return if known { Ok(Reply::json(200, &Value::Null)) } else { Err(not_found()) };
            }
            ["tasks", task] => lock(&self.state).tasks.behave(task, call.json::<Behavior>()?),
            _ => return Err(not_found()),
        }
        Ok(Reply::json(200, &Value::Null))
    }

    fn set_faults(&self, faults: fault::Platform) {
        let outage = Duration::from_millis(faults.outage_ms);
        let until = (!outage.is_zero()).then(|| Instant::now() + outage);
        if let Some(gate) = self.gate.get() {
            gate.set_down(until.filter(|_| faults.outage == Outage::Refuse));
        }
        let mut state = lock(&self.state);
        state.outage_until = until;
        state.faults = faults;
    }

    async fn public(&self, call: Call) -> Reply {
        let (outage, delay) = self.disturbance();
        match outage {
            Some(Outage::Unavailable) => return Reply::text(503, "outage"),
            Some(Outage::Silent) => return pending().await,
            Some(Outage::Refuse) => return Reply::Close,
            None => sleep(delay).await,
        }
        let reply = if call.method == Method::GET {
            self.read(&call).await
        } else {
            self.change(&call).await.unwrap_or_else(|refusal| refusal)
        };
        if call.method != Method::GET && self.loses_answer() { Reply::Close } else { reply }
    }

    fn disturbance(&self) -> (Option<Outage>, Duration) {
        let state = lock(&self.state);
        let out = state.outage_until.is_some_and(|u| u > Instant::now());
        (out.then_some(state.faults.outage), Duration::from_millis(state.faults.delay_ms))
    }

    fn loses_answer(&self) -> bool {
        let mut state = lock(&self.state);
        if state.faults.lose_next > 0 {
            state.faults.lose_next -= 1;
            return true;
        }
        let probability = state.faults.lose_probability.clamp(0.0, 1.0);
        state.chance.random_bool(probability)
    }

    async fn read(&self, call: &Call) -> Reply {
        match call.segments()[..] {
            ["streams", stream, "records"] => self.page(call, stream).await,
            ["vms"] => {
                let since_ms = call.param("since_ms");
                let lag = self.config.list_lag;
                Reply::json(200, &lock(&self.state).machines.list(now(), lag, since_ms))
            }
            ["operations", operation] => self.operation(&operation.into()),
            ["usage"] => self.usage(call.param("zone")),
            _ => not_found(),
        }
    }

    async fn change(&self, call: &Call) -> Result<Reply, Reply> {
        match call.segments()[..] {
            ["streams", stream, "records"] => Ok(self.append(stream, call.json()?).await),
            ["vms", vm, "reboot"] => self.reboot(&vm.into(), call.json()?),
            ["tasks", task, verb] => {
                let verb = Verb::parse(verb).ok_or_else(not_found)?;
                let done = lock(&self.state).tasks.act(now(), task, verb, call.json()?);
                Ok(Reply::json(200, &done))
            }
            _ => Err(not_found()),
        }
    }

    async fn append(&self, stream: &str, append: Append) -> Reply {
        let wait = {
            let mut state = lock(&self.state);
            let per_second = state.faults.appends_per_second;
            state.pace.wait(Instant::now(), per_second)
        };
        sleep(wait).await;
        let offset = {
            let mut state = lock(&self.state);
            let stream = state.streams.entry(stream.into()).or_default();
            let offset = stream.append(now(), append);
            stream.trim(now(), self.config.retention);
            offset
        };
        self.appended.notify_waiters();
        Reply::json(200, &Appended { offset })
    }

    async fn page(&self, call: &Call, stream: &str) -> Reply {
        let from: Offset = call.param("from").unwrap_or_default();
        let max = call.param("max").unwrap_or(DEFAULT_PAGE_RECORDS);
        let wait = Duration::from_millis(call.param("wait_ms").unwrap_or_default());
        let deadline = tokio::time::Instant::now() + wait;
        loop {
            let mut appended = pin!(self.appended.notified());
            appended.as_mut().enable();
            let page = {
                let mut state = lock(&self.state);
                let stream = state.streams.entry(stream.into()).or_default();
                stream.trim(now(), self.config.retention);
                stream.read(from, max).ok_or_else(|| stream.bounds())
            };
            match page {
                Err(bounds) => return Reply::json(410, &bounds),
                Ok(page) if !page.records.is_empty() => return Reply::json(200, &page),
                Ok(page) => {
                    if timeout_at(deadline, appended).await.is_err() {
                        return Reply::json(200, &page);
                    }
                }
            }
        }
    }

    fn reboot(&self, vm: &VmId, action: Action) -> Result<Reply, Reply> {
        let down = self.config.reboot;
        let mut state = lock(&self.state);
        let begun = state.machines.reboot(now(), vm, &action.operation, down);
        let told = begun.map_err(|e| Reply::text(404, &e.to_string()))?;
        if let Some(control) = told {
            let order = json!({ "down_ms": down.as_millis() as u64 });
            thread::spawn(move || {
                if let Err(error) = client::post::<Value>(control, "/reboot", &order) {
                    log::warn!("platform: {error}");
                }
            });
        }
        let operation = Operation { operation: action.operation, progress: Progress::Running };
        Ok(Reply::json(200, &operation))
    }

    fn operation(&self, operation: &OperationId) -> Reply {
        let mut state = lock(&self.state);
        let reboot = state.machines.operation(now(), operation);
        match reboot.or_else(|| state.tasks.operation(operation)) {
            Some(found) => Reply::json(200, &found),
            None => not_found(),
        }
    }

    fn usage(&self, zone: Option<ZoneId>) -> Reply {
        let mut state = lock(&self.state);
        let mut usage = state.tasks.usage(now());
        if let Some(zone) = zone {
            usage.retain(|u| state.machines.zone(&u.worker) == Some(&zone));
        }
        Reply::json(200, &usage)
    }
}
