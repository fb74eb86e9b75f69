//! A site for tests of the job plane: entries run as processes of their own, and the stand-ins for the
//! platform in the test process.

#![allow(dead_code, clippy::unwrap_used, clippy::expect_used)]

use {
    carobhitch_standin::{
        job::{
            Checker,
            runner::{self, Config, Runner},
            store::Store,
            vms::Vms,
        },
        server::Handle,
    },
    serde_json::{Value, json},
    std::{
        env, fs,
        io::{self, Read, Write},
        net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
        ops::Range,
        path::PathBuf,
        process::{Child, Command, Stdio},
        sync::{
            Arc, Mutex, PoisonError,
            atomic::{AtomicBool, AtomicU16, Ordering},
        },
        thread::{self, JoinHandle, sleep},
        time::{Duration, Instant},
    },
};

/// Deadline of [`exchange`]'s requests.
const DEADLINE: Duration = Duration::from_secs(3);
/// Time after a deadline for which the answer is still awaited.
const ANSWER_RESERVE: Duration = Duration::from_secs(2);
/// Timeout of [`wait`].
const TIMEOUT: Duration = Duration::from_secs(30);
/// Largest record that the store accepts, in bytes.
const MAX_RECORD_BYTES: usize = 20_000;
/// Largest total of the records in one append to the store, in bytes.
const MAX_CALL_BYTES: usize = 60_000;
/// Time between two checks of an awaited condition.
const POLL_INTERVAL: Duration = Duration::from_millis(30);
/// Time between two registrations of a runner.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Lowest port of the entries; each test process uses a block of its own. A block is large enough for the
/// ports of all sites that run at the same time, because the port of a killed entry looks free to the
/// other sites.
const FIRST_PORT: u16 = 21_000;
const PORTS_PER_BLOCK: u16 = 700;
const PORT_BLOCKS: u32 = 16;
/// Held while a port is tried and while a process is spawned: a child spawned meanwhile would hold a copy
/// of the trial listener until its exec, and the port's new user would fail to listen.
static SPAWN_LOCK: Mutex<()> = Mutex::new(());

/// The platform's store, runners and list of VMs, and the entries.
pub struct Site {
    pub store: Store,
    pub checker: Checker,
    pub vms: Vms,
    pub runners: Vec<Runner>,
    pub entries: Vec<Entry>,
    /// Key that callers send for a job's name; none if it is empty.
    pub key_of: fn(&str) -> &'static str,
    /// Further lines of the entries' settings.
    settings: &'static str,
    directory: PathBuf,
    store_address: SocketAddr,
    fleet_address: SocketAddr,
    handles: Vec<Handle>,
    stop: Arc<AtomicBool>,
    heartbeats: Option<JoinHandle<()>>,
}

/// An entry's process and its addresses.
pub struct Entry {
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    peers: u16,
    metrics: u16,
    name: String,
    child: Option<Child>,
}

/// Response to a caller.
#[derive(Debug, PartialEq)]
pub struct Response {
    pub status: u16,
    pub retry_after: bool,
    pub body: Value,
}

/// Returns an unused port, once unless the block of ports is used up.
fn free_port() -> u16 {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let first = FIRST_PORT + (std::process::id() % PORT_BLOCKS) as u16 * PORTS_PER_BLOCK;
    loop {
        let port = first + NEXT.fetch_add(1, Ordering::Relaxed) % PORTS_PER_BLOCK;
        let _lock = SPAWN_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
        if TcpListener::bind((Ipv4Addr::LOCALHOST, port)).is_ok() {
            return port;
        }
    }
}

/// Spawns a process while no port is being tried.
fn spawn(command: &mut Command) -> io::Result<Child> {
    let _lock = SPAWN_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
    command.spawn()
}

fn local(port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, port))
}

/// Seeds of a soak: those that `CAROBHITCH_SOAK_SEEDS=FIRST..END` names, or the default ones.
pub fn seeds(default: &[u64]) -> Vec<u64> {
    let Ok(range) = env::var("CAROBHITCH_SOAK_SEEDS") else { return default.to_vec() };
    let (first, end) = range.split_once("..").expect("a range of seeds such as 100..150");
    let range: Range<u64> = first.parse().unwrap()..end.parse().unwrap();
    range.collect()
}

/// Text of an entry's metrics.
pub fn scrape(metrics: SocketAddr) -> String {
    let mut client = TcpStream::connect(metrics).unwrap();
    client.write_all(b"GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n").unwrap();
    let mut text = String::new();
    client.read_to_string(&mut text).unwrap();
    text
}

/// Waits until `condition` holds, or panics with `what` after [`TIMEOUT`].
pub fn wait(what: &str, mut condition: impl FnMut() -> bool) {
    let until = Instant::now() + TIMEOUT;
    while !condition() {
        assert!(Instant::now() < until, "timed out waiting for {what}");
        sleep(POLL_INTERVAL);
    }
}

/// Manifest of one queue.
pub fn manifest(version: u64) -> Value {
    json!({
        "version": version,
        "routes": [{
            "name": "r-1", "host": "desk.example", "pathPrefix": "/quotes/", "timeoutMs": 3000,
            "kind": "non_idempotent", "sloMs": 600, "priority": 0, "service": "desk",
            "attempts": 2, "stretch": 1.6,
        }],
        "services": [{ "name": "desk", "enforcesCapacity": false, "spare": false }],
        "limits": { "bodyBytes": 262_144 },
    })
}

/// The same manifest with `count` further queues that nobody uses.
pub fn large_manifest(version: u64, count: usize) -> Value {
    let mut manifest = manifest(version);
    grow(&mut manifest, count);
    manifest
}

/// Adds `count` queues that nobody uses to a manifest.
pub fn grow(manifest: &mut Value, count: usize) {
    let queue = |number| {
        json!({
            "name": format!("r-unused-{number}"), "host": "desk.example",
            "pathPrefix": format!("/unused{number}/"), "service": "desk", "attempts": 2,
            "stretch": 1.6, "sloMs": 600, "priority": 0,
        })
    };
    let queues = manifest["routes"].as_array_mut().expect("queues");
    queues.extend((0..count).map(queue));
}

/// The same manifest with the organisations `acme`, which has these keys and may run `tasks` tasks of
/// [`job`] at once, and `bolt`, which has the key `bolt-1` and no limit.
pub fn keyed_manifest(version: u64, acme: &[&str], tasks: u32) -> Value {
    let mut manifest = manifest(version);
    manifest["tenants"] = json!([
        { "name": "acme", "apiKeys": acme, "weight": 50, "maxCount": { "cpu": tasks * 2000 } },
        { "name": "bolt", "apiKeys": ["bolt-1"], "weight": 50 },
    ]);
    manifest
}

/// Specification of a job of one step.
pub fn job(tasks: u32) -> Value {
    json!({ "spec": "work", "steps": [
        { "count": tasks, "cpu": 2000, "memMb": 64, "estMs": 400 },
    ] })
}

/// Specification of a job whose tasks crash the runners that start them.
pub fn crashing_job() -> Value {
    let mut job = job(1);
    job["spec"] = json!(runner::CRASH);
    job
}

/// Specification of a job of one step whose tasks run until they are stopped.
pub fn endless_job(tasks: u32) -> Value {
    json!({ "spec": runner::ENDLESS, "steps": [
        { "count": tasks, "cpu": 2000, "memMb": 64, "daemon": true },
    ] })
}

impl Entry {
    /// Address of its metrics.
    pub fn metrics(&self) -> SocketAddr {
        local(self.metrics)
    }
}

impl Site {
    /// Starts the platform, `runners` runners and `entries` entries, and waits until they are ready.
    pub fn start(name: &str, entries: usize, runners: usize) -> Self {
        Self::start_with(name, entries, runners, "")
    }

    /// The same with further lines of the entries' settings.
    pub fn start_with(name: &str, entries: usize, runners: usize, settings: &'static str) -> Self {
        let (store, checker) = (Store::default(), Checker::default());
        store.limit_records(MAX_RECORD_BYTES);
        store.limit_calls(MAX_CALL_BYTES);
        let store_handle = store.serve(local(0)).expect("start the store");
        let vms = Vms::default();
        let fleet = vms.serve(local(0)).expect("start the list of VMs");
        store.put("keyed.op", "config", manifest(3).to_string().as_bytes());
        let directory =
            std::env::temp_dir().join(format!("carobhitch-{name}-{}", std::process::id()));
        fs::create_dir_all(&directory).expect("create a directory");
        let mut site = Self {
            store_address: store_handle.address,
            fleet_address: fleet.address,
            store,
            checker,
            vms,
            runners: Vec::new(),
            entries: Vec::new(),
            key_of: |_| "",
            settings,
            directory,
            handles: vec![store_handle, fleet],
            stop: Arc::default(),
            heartbeats: None,
        };
        site.start_runners(runners);
        for number in 0..entries {
            site.add_entry(number);
        }
        site.wait_ready();
        site
    }

    fn start_runners(&mut self, count: usize) {
        let mut registered = Vec::new();
        for number in 0..count {
            let config = Config {
                id: format!("i-{number}"),
                service: String::from("desk"),
                vm: format!("m-{number}"),
                run_time: Duration::from_millis(400),
                millicores: 2_000,
            };
            let runner = Runner::new(config, self.checker.clone());
            let handle = runner.serve(local(0)).expect("start a runner");
            registered.push((runner.clone(), handle.address));
            self.runners.push(runner);
            self.handles.push(handle);
        }
        let (store, stop) = (self.store.clone(), Arc::clone(&self.stop));
        self.heartbeats = Some(thread::spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                for (runner, address) in &registered {
                    runner.register(&store, *address);
                }
                sleep(HEARTBEAT_INTERVAL);
            }
        }));
    }

    fn add_entry(&mut self, number: usize) {
        let entry = Entry {
            callers: local(free_port()),
            ready: local(free_port()),
            peers: free_port(),
            metrics: free_port(),
            name: format!("front-{number}"),
            child: None,
        };
        self.entries.push(entry);
        self.launch(number);
    }

    /// Starts an entry's process.
    pub fn launch(&mut self, number: usize) {
        let entry = &mut self.entries[number];
        let settings = format!(
            "node={name}\nzone=zone-a\nip=127.0.0.1\nlisten.front={callers}\nlisten.ready={ready}\n\
             portRange={peers},{metrics}\nplatform.addr={store}\ncloud.addr={fleet}\n\
             platform.recordBytes={MAX_RECORD_BYTES}\nplatform.callBytes={MAX_CALL_BYTES}\nlater=1\n{further}",
            further = self.settings,
            name = entry.name,
            callers = entry.callers,
            ready = entry.ready,
            peers = entry.peers,
            metrics = entry.metrics,
            store = self.store_address,
            fleet = self.fleet_address,
        );
        let path = self.directory.join(format!("{}.conf", entry.name));
        fs::write(&path, settings).expect("write settings");
        let log = self.directory.join(format!("{}.log", entry.name));
        let log = fs::OpenOptions::new().append(true).create(true).open(log).expect("open a log");
        let program = PathBuf::from(env!("CARGO_BIN_EXE_carobhitch-platform"))
            .with_file_name("carobhitch-entry");
        let child = spawn(
            Command::new(program)
                .arg("--jobs")
                .env("CAROBHITCH_CONFIG", path)
                .stdout(Stdio::from(log)),
        )
        .expect("start an entry");
        entry.child = Some(child);
    }

    /// Waits until every entry is ready.
    pub fn wait_ready(&self) {
        for entry in 0..self.entries.len() {
            wait("an entry to be ready", || self.is_ready(entry));
        }
    }

    /// Whether an entry reports to the load balancer that it is ready.
    pub fn is_ready(&self, entry: usize) -> bool {
        let response = exchange(self.entries[entry].ready, "GET", "/v1/ready", "", None);
        response.is_some_and(|response| response.status == 200)
    }

    /// Entry that owns the cell: the one whose log shows the highest epoch.
    pub fn owner(&self) -> usize {
        let latest_epoch = |entry: &Entry| {
            let log = self.log(&entry.name);
            let serving = log.lines().filter(|line| line.contains("serving=true"));
            serving.filter_map(epoch).next_back()
        };
        let mut owner = None;
        wait("an owner to log that it serves", || {
            let epochs = self.entries.iter().map(latest_epoch).enumerate();
            owner = epochs.max_by_key(|(_, epoch)| *epoch).filter(|(_, epoch)| epoch.is_some());
            owner.is_some()
        });
        owner.map(|(number, _)| number).expect("an owner")
    }

    /// Contents of an entry's log.
    pub fn log(&self, name: &str) -> String {
        fs::read_to_string(self.directory.join(format!("{name}.log"))).unwrap_or_default()
    }

    /// Id of an entry's process.
    pub fn process(&self, number: usize) -> u32 {
        self.entries[number].child.as_ref().expect("the entry was started").id()
    }

    /// Kills an entry's process.
    pub fn kill(&mut self, number: usize) {
        if let Some(mut child) = self.entries[number].child.take() {
            child.kill().expect("kill an entry");
            child.wait().expect("wait for an entry");
        }
    }

    /// Sends a signal to an entry's process.
    pub fn signal(&mut self, number: usize, signal: &str) {
        if let Some(child) = &self.entries[number].child {
            let id = child.id().to_string();
            let child = spawn(Command::new("kill").args([signal, &id]));
            let status = child.and_then(|mut child| child.wait()).expect("send a signal");
            assert!(status.success());
        }
    }

    /// Waits until an entry's process exits by itself, and checks that it succeeded.
    pub fn wait_end(&mut self, number: usize) {
        if let Some(mut child) = self.entries[number].child.take() {
            assert!(child.wait().expect("wait for an entry").success());
        }
    }

    /// Sends a request to an entry; returns `None` without a complete response.
    pub fn call(
        &self,
        entry: usize,
        method: &str,
        name: &str,
        body: Option<&Value>,
    ) -> Option<Response> {
        self.call_with((self.key_of)(name), entry, method, name, body)
    }

    /// The same with a key.
    pub fn call_with(
        &self,
        key: &str,
        entry: usize,
        method: &str,
        name: &str,
        body: Option<&Value>,
    ) -> Option<Response> {
        exchange(self.entries[entry].callers, method, &format!("/quotes/{name}"), key, body)
    }

    /// Submits a job to one entry after the other until it is accepted.
    pub fn submit(&self, id: u64, tasks: u32) {
        let mut attempts = 0;
        wait("a job to be accepted", || {
            attempts += 1;
            let entry = (id as usize + attempts) % self.entries.len();
            let response = self.call(entry, "POST", &format!("{id:016x}"), Some(&job(tasks)));
            response.is_some_and(|response| response.status == 200)
        });
    }

    /// Submits a job whose tasks run until they are stopped, and waits until they run.
    pub fn submit_endless(&self, id: u64, tasks: u32) {
        let starts = self.checker.starts();
        let name = format!("{id:016x}");
        wait("a endless job to be accepted", || {
            let response = self.call(0, "POST", &name, Some(&endless_job(tasks)));
            response.is_some_and(|response| response.status == 200)
        });
        wait("endless tasks to run", || self.checker.starts() >= starts + tasks as usize);
    }

    /// Submits a job whose tasks crash runners, until it is accepted.
    pub fn submit_crashing(&self, id: u64) {
        wait("a job to be accepted", || {
            let name = format!("{id:016x}");
            let entries = 0..self.entries.len();
            let mut answers =
                entries.filter_map(|entry| self.call(entry, "POST", &name, Some(&crashing_job())));
            answers.any(|response| response.status == 200)
        });
    }

    /// Waits until a job has failed.
    pub fn wait_failed(&self, id: u64) {
        wait("a job to have failed", || self.state(id).as_deref() == Some("failed"));
        assert_eq!(self.checker.violations(), Vec::<String>::new());
    }

    /// State of a job, as the last of the entries that respond reports it.
    pub fn state(&self, id: u64) -> Option<String> {
        let mut states = (0..self.entries.len()).filter_map(|entry| {
            let response = self.call(entry, "GET", &format!("{id:016x}"), None)?;
            assert_ne!(response.status, 410, "job {id:016x} is accepted");
            response.body["state"].as_str().map(String::from)
        });
        states.next_back()
    }

    /// Waits until jobs are complete, and checks that no invariant was violated.
    pub fn wait_complete(&self, ids: impl IntoIterator<Item = u64>) {
        for id in ids {
            wait("a job to be complete", || self.state(id).as_deref() == Some("complete"));
        }
        assert_eq!(self.checker.violations(), Vec::<String>::new());
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        for entry in &mut self.entries {
            if let Some(mut child) = entry.child.take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        self.stop.store(true, Ordering::Relaxed);
        if let Some(heartbeats) = self.heartbeats.take() {
            let _ = heartbeats.join();
        }
        if !thread::panicking() {
            let _ = fs::remove_dir_all(&self.directory);
        }
    }
}

fn epoch(line: &str) -> Option<u64> {
    let (_, rest) = line.split_once("epoch=")?;
    rest.split(' ').next()?.parse().ok()
}

/// Sends a request with [`DEADLINE`] over a new connection and reads the response; returns `None` without a
/// complete one.
pub fn exchange(
    address: SocketAddr,
    method: &str,
    path: &str,
    key: &str,
    body: Option<&Value>,
) -> Option<Response> {
    exchange_within(DEADLINE, address, method, path, key, body)
}

/// The same with another deadline.
pub fn exchange_within(
    deadline: Duration,
    address: SocketAddr,
    method: &str,
    path: &str,
    key: &str,
    body: Option<&Value>,
) -> Option<Response> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(deadline + ANSWER_RESERVE)).ok()?;
    let body = body.map(ToString::to_string).unwrap_or_default();
    let key = if key.is_empty() { String::new() } else { format!("X-Api-Key: {key}\r\n") };
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: desk.example\r\nConnection: close\r\nX-Deadline-Ms: {}\r\n{key}\
         Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        deadline.as_millis(),
        body.len()
    );
    stream.write_all(head.as_bytes()).ok()?;
    let mut response = String::new();
    stream.read_to_string(&mut response).ok()?;
    let (head, body) = response.split_once("\r\n\r\n")?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let retry_after = head.to_ascii_lowercase().contains("retry-after:");
    let body = serde_json::from_str(body).unwrap_or(Value::Null);
    Some(Response { status, retry_after, body })
}
