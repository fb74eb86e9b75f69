//! Stand-in for the platform: its log, its list of VMs and its tasks.
//!
//! The public address serves the protocol of [`carobhitch::platform`]. A second address, which faults
//! do not affect, controls the stand-in:
//!
//! | call | effect |
//! |---|---|
//! | `POST /faults` with [`fault::Platform`] | replaces the faults |
//! | `POST /vms` with [`Registration`] | adds or replaces a VM |
//! | `POST /vms/{vm}/health` with [`carobhitch::platform::Health`] | changes its health |
//! | `POST /tasks/{task}` with [`Behavior`] | sets how a task behaves |

use {
    crate::{
        client,
        fault::{self, Outage, RateLimiter},
        server::{self, Call, Connections, Handle, Reply, lock},
        stream::{Retention, Stream},
        task::{Behavior, Tasks, Verb},
        vm::{Inventory, Registration, Registry},
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

/// Maximum number of concurrent connections.
const MAX_CONNECTIONS: usize = 4096;
/// Maximum number of records in a page, if the reader gives none.
const DEFAULT_PAGE_RECORDS: usize = 1000;

/// Settings of a platform.
#[derive(Clone, Debug)]
pub struct Config {
    /// Public address.
    pub listen: SocketAddr,
    /// Address of the control server.
    pub control: SocketAddr,
    /// VMs at start.
    pub inventory: Inventory,
    /// Retention of streams.
    pub retention: Retention,
    /// Lag of the list of VMs.
    pub list_lag: Duration,
    /// Time that a reboot takes.
    pub reboot_time: Duration,
    /// Faults at start.
    pub faults: fault::Platform,
    /// Seed of the random faults.
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
    vms: Registry,
    tasks: Tasks,
    faults: fault::Platform,
    outage_until: Option<Instant>,
    append_limiter: RateLimiter,
    rng: SmallRng,
}

struct Service {
    config: Config,
    state: Mutex<State>,
    appended: Notify,
    connections: OnceLock<Arc<Connections>>,
}

/// Starts a platform.
pub fn spawn(config: Config) -> server::Result<Platform> {
    let service = Arc::new(Service::new(config));
    let shared = service.clone();
    let public = server::spawn(service.config.listen, MAX_CONNECTIONS, move |call| {
        let service = shared.clone();
        async move { service.public(call).await }
    })?;
    let _ = service.connections.set(public.connections.clone());
    service.set_faults(service.config.faults.clone());
    let shared = service.clone();
    let control = server::spawn(service.config.control, MAX_CONNECTIONS, move |call| {
        let service = shared.clone();
        async move { service.control(&call).unwrap_or_else(|rejection| rejection) }
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
        let mut vms = Registry::default();
        config.inventory.vms.iter().for_each(|vm| vms.put(now(), vm.clone()));
        let state = State {
            streams: IndexMap::new(),
            vms,
            tasks: Tasks::default(),
            faults: fault::Platform::default(),
            outage_until: None,
            append_limiter: RateLimiter::new(Instant::now()),
            rng: SmallRng::seed_from_u64(config.seed),
        };
        let state = Mutex::new(state);
        Self { config, state, appended: Notify::new(), connections: OnceLock::new() }
    }

    fn control(&self, call: &Call) -> Result<Reply, Reply> {
        match call.segments()[..] {
            ["faults"] => self.set_faults(call.json()?),
            ["vms"] => lock(&self.state).vms.put(now(), call.json::<Registration>()?),
            ["vms", vm, "health"] => {
                let known = lock(&self.state).vms.set_health(now(), &vm.into(), call.json()?);
                return if known { Ok(Reply::json(200, &Value::Null)) } else { Err(not_found()) };
            }
            ["tasks", task] => lock(&self.state).tasks.set_behavior(task, call.json::<Behavior>()?),
            _ => return Err(not_found()),
        }
        Ok(Reply::json(200, &Value::Null))
    }

    fn set_faults(&self, faults: fault::Platform) {
        let outage = Duration::from_millis(faults.outage_ms);
        let until = (!outage.is_zero()).then(|| Instant::now() + outage);
        if let Some(connections) = self.connections.get() {
            connections.set_down(until.filter(|_| faults.outage == Outage::Refuse));
        }
        let mut state = lock(&self.state);
        state.outage_until = until;
        state.faults = faults;
    }

    async fn public(&self, call: Call) -> Reply {
        let (outage, delay) = self.active_faults();
        match outage {
            Some(Outage::Unavailable) => return Reply::text(503, "outage"),
            Some(Outage::Silent) => return pending().await,
            Some(Outage::Refuse) => return Reply::Close,
            None => sleep(delay).await,
        }
        let reply = if call.method == Method::GET {
            self.read(&call).await
        } else {
            self.change(&call).await.unwrap_or_else(|rejection| rejection)
        };
        if call.method != Method::GET && self.loses_response() { Reply::Close } else { reply }
    }

    /// Kind of the current outage, if any, and the delay of calls.
    fn active_faults(&self) -> (Option<Outage>, Duration) {
        let state = lock(&self.state);
        let in_outage = state.outage_until.is_some_and(|u| u > Instant::now());
        (in_outage.then_some(state.faults.outage), Duration::from_millis(state.faults.delay_ms))
    }

    /// Whether the response to the current write call is to be lost.
    fn loses_response(&self) -> bool {
        let mut state = lock(&self.state);
        if state.faults.lose_next > 0 {
            state.faults.lose_next -= 1;
            return true;
        }
        let probability = state.faults.lose_probability.clamp(0.0, 1.0);
        state.rng.random_bool(probability)
    }

    async fn read(&self, call: &Call) -> Reply {
        match call.segments()[..] {
            ["streams", stream, "records"] => self.page(call, stream).await,
            ["vms"] => {
                let since_ms = call.param("since_ms");
                let lag = self.config.list_lag;
                Reply::json(200, &lock(&self.state).vms.list(now(), lag, since_ms))
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
                let operation = lock(&self.state).tasks.apply(now(), task, verb, call.json()?);
                Ok(Reply::json(200, &operation))
            }
            _ => Err(not_found()),
        }
    }

    async fn append(&self, stream: &str, append: Append) -> Reply {
        let wait = {
            let mut state = lock(&self.state);
            let per_second = state.faults.appends_per_second;
            state.append_limiter.reserve(Instant::now(), per_second)
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
        let down = self.config.reboot_time;
        let mut state = lock(&self.state);
        let started = state.vms.reboot(now(), vm, &action.operation, down);
        let control = started.map_err(|e| Reply::text(404, &e.to_string()))?;
        if let Some(control) = control {
            let request = json!({ "down_ms": down.as_millis() as u64 });
            thread::spawn(move || {
                if let Err(error) = client::post::<Value>(control, "/reboot", &request) {
                    log::warn!("platform: could not send the reboot to the VM's stand-in: {error}");
                }
            });
        }
        let operation = Operation { operation: action.operation, progress: Progress::Running };
        Ok(Reply::json(200, &operation))
    }

    fn operation(&self, operation: &OperationId) -> Reply {
        let mut state = lock(&self.state);
        let reboot = state.vms.operation(now(), operation);
        match reboot.or_else(|| state.tasks.operation(operation)) {
            Some(found) => Reply::json(200, &found),
            None => not_found(),
        }
    }

    fn usage(&self, zone: Option<ZoneId>) -> Reply {
        let mut state = lock(&self.state);
        let mut usage = state.tasks.usage(now());
        if let Some(zone) = zone {
            usage.retain(|u| state.vms.zone(&u.worker) == Some(&zone));
        }
        Reply::json(200, &usage)
    }
}
