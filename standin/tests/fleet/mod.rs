//! A small fleet for tests: the platform and the endpoints run in the test process, the entries as
//! processes of their own.
#![allow(dead_code)]

use {
    carobhitch::{
        fleet::{Declaration, Pool, Service, Vm},
        id::VmId,
        platform::{Append, Page},
        record::{Body, FLEET_STREAM, Record},
        request::Class,
        snapshot,
    },
    carobhitch_standin::{
        client,
        endpoint::{self, Endpoint, Ledger},
        fault,
        load::{self, Group},
        operator::{self, Operator},
        platform::{self, Platform},
        stream::Retention,
        totals::Report,
        vm::Inventory,
    },
    indexmap::IndexMap,
    serde_json::Value,
    std::{
        fmt::Write as _,
        fs, io,
        net::{Ipv4Addr, SocketAddr, TcpListener},
        path::PathBuf,
        process::{Child, Command, ExitStatus, Stdio},
        sync::{
            Mutex, PoisonError,
            atomic::{AtomicU16, Ordering},
        },
        thread::sleep,
        time::{Duration, Instant, UNIX_EPOCH},
    },
};

/// Timeout of [`wait`].
pub const TIMEOUT: Duration = Duration::from_secs(30);
/// Time between two checks of an awaited condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Lowest port of the entries.
const FIRST_PORT: u16 = 10_000;
/// Number of blocks of ports; each test program uses one block.
const PORT_BLOCKS: u32 = 40;
/// Number of ports in a block.
const PORTS_PER_BLOCK: u16 = 500;
/// Held while a port is tried and while a process is spawned: a child spawned meanwhile would hold a copy
/// of the trial listener until its exec, and the port's new user would fail to listen.
static SPAWN_LOCK: Mutex<()> = Mutex::new(());
/// The service that every fleet runs.
pub const SERVICE: &str = "quotes";

/// An entry's process and its settings.
pub struct Entry {
    pub name: String,
    pub zone: String,
    pub callers: SocketAddr,
    pub link: SocketAddr,
    pub rpc: SocketAddr,
    pub platform: SocketAddr,
    settings: PathBuf,
    child: Option<Child>,
}

/// A platform, endpoints and entries.
pub struct Fleet {
    pub platform: Platform,
    pub endpoints: IndexMap<VmId, Endpoint>,
    pub entries: Vec<Entry>,
    zones: IndexMap<VmId, String>,
    /// Further lines of the entries' limits.
    limits: &'static str,
    directory: PathBuf,
}

fn any_port() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

/// An unused address, returned once unless the block of ports is used up.
///
/// Its port is below those that the kernel gives to outgoing connections and to port 0, so that none of
/// these takes it between this check and the entry's start.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let first = FIRST_PORT + (std::process::id() % PORT_BLOCKS) as u16 * PORTS_PER_BLOCK;
    loop {
        let port = first + NEXT.fetch_add(1, Ordering::Relaxed) % PORTS_PER_BLOCK;
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        let _lock = SPAWN_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

/// Spawns a process while no port is being tried.
fn spawn(command: &mut Command) -> io::Result<Child> {
    let _lock = SPAWN_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
    command.spawn()
}

/// Path of a program of the product, which is built into the same directory as the stand-ins.
fn binary(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_BIN_EXE_carobhitch-platform")).with_file_name(name)
}

/// Waits until `condition` holds, or panics with `what` after [`TIMEOUT`].
pub fn wait(what: &str, mut condition: impl FnMut() -> bool) {
    let until = Instant::now() + TIMEOUT;
    while !condition() {
        assert!(Instant::now() < until, "timed out waiting for {what}");
        sleep(POLL_INTERVAL);
    }
}

impl Fleet {
    /// Starts a fleet and declares it; each zone has a name, a number of entries and one of endpoints.
    pub fn start(name: &str, zones: &[(&str, usize, usize)]) -> Self {
        Self::with_retention(name, zones, 1_000_000)
    }

    /// As [`Fleet::start`], with a platform that keeps at most `records` records of a stream.
    pub fn with_retention(name: &str, zones: &[(&str, usize, usize)], records: usize) -> Self {
        Self::configured(name, zones, records, "")
    }

    /// As [`Fleet::start`], with further lines of the entries' limits.
    pub fn with_limits(name: &str, zones: &[(&str, usize, usize)], limits: &'static str) -> Self {
        Self::configured(name, zones, 1_000_000, limits)
    }

    fn configured(
        name: &str,
        zones: &[(&str, usize, usize)],
        records: usize,
        limits: &'static str,
    ) -> Self {
        let platform = platform::spawn(platform::Config {
            listen: any_port(),
            control: any_port(),
            inventory: Inventory::default(),
            retention: Retention { records, age: Duration::from_secs(3600) },
            list_lag: Duration::from_millis(300),
            reboot_time: Duration::from_millis(500),
            faults: fault::Platform::default(),
            seed: 1,
        })
        .expect("start the platform");
        let directory =
            std::env::temp_dir().join(format!("carobhitch-{name}-{}", std::process::id()));
        fs::create_dir_all(&directory).expect("create a directory");
        let mut fleet = Self {
            platform,
            endpoints: IndexMap::new(),
            entries: Vec::new(),
            zones: IndexMap::new(),
            limits,
            directory,
        };
        for (zone, entries, endpoints) in zones {
            (0..*endpoints).for_each(|n| fleet.add_endpoint(zone, n));
            (0..*entries).for_each(|n| {
                fleet.add_entry(zone, &format!("entry-{zone}{n}"));
            });
        }
        fleet.declare();
        fleet.entries.iter().for_each(|e| operator::wait_ready(e.callers).expect("entry is ready"));
        fleet
    }

    fn add_endpoint(&mut self, zone: &str, n: usize) {
        let id = format!("vm-{zone}{n}");
        let endpoint = endpoint::spawn(endpoint::Config {
            id: id.clone(),
            service: SERVICE.into(),
            zone: zone.into(),
            rack: format!("rack-{n}"),
            listen: any_port(),
            control: any_port(),
            slots: 8,
            max_connections: 64,
            platform: Some(self.platform.control.address),
            faults: fault::Endpoint::default(),
        });
        self.endpoints.insert(id.clone(), endpoint.expect("start an endpoint"));
        self.zones.insert(id, zone.into());
    }

    /// Starts an entry; its seeds are the entries before it.
    pub fn add_entry(&mut self, zone: &str, name: &str) -> usize {
        let platform = self.platform.public.address;
        self.add_entry_at(zone, name, platform)
    }

    /// Starts an entry whose platform is at the address `platform`.
    pub fn add_entry_at(&mut self, zone: &str, name: &str, platform: SocketAddr) -> usize {
        let (callers, link, rpc) = (free_address(), free_address(), free_address());
        let seeds: Vec<_> = self.entries.iter().map(|e| format!("\"{}\"", e.link)).collect();
        let mut text = String::new();
        for (key, value) in [
            ("id", name.to_string()),
            ("zone", zone.to_string()),
            ("callers", callers.to_string()),
            ("link", link.to_string()),
            ("rpc", rpc.to_string()),
            ("platform", platform.to_string()),
        ] {
            writeln!(text, "{key} = \"{value}\"").expect("write settings");
        }
        writeln!(text, "seeds = [{}]", seeds.join(", ")).expect("write settings");
        text += "[limits]\nhead_ms = 1000\nidle_ms = 3000\n";
        text += self.limits;
        let settings = self.directory.join(format!("{name}.toml"));
        fs::write(&settings, text).expect("write settings");
        let (name, zone) = (name.into(), zone.into());
        let mut entry = Entry { name, zone, callers, link, rpc, platform, settings, child: None };
        entry.start();
        self.entries.push(entry);
        self.entries.len() - 1
    }

    /// Declares the fleet and waits until the declaration is in force on every entry.
    pub fn declare(&self) {
        self.operator().declare(self.declaration()).expect("declare the fleet");
    }

    /// Declaration of the fleet's pool, service and VMs.
    pub fn declaration(&self) -> Declaration {
        let mut declaration = Declaration::default();
        declaration.pools.insert("pool".into(), Pool::default());
        let service: Service = serde_json::from_str(r#"{"pool": "pool"}"#).expect("a service");
        declaration.services.insert(SERVICE.into(), service);
        for (n, (id, endpoint)) in self.endpoints.iter().enumerate() {
            let (zone, rack) = (self.zones[id].clone(), format!("rack-{n}"));
            let vm = Vm { pool: "pool".into(), zone, rack, address: endpoint.public.address };
            declaration.vms.insert(id.clone(), vm);
        }
        declaration
    }

    /// Runs the operators' command line against the first entry.
    pub fn command(&self, arguments: &[&str]) {
        let child = spawn(
            Command::new(binary("carobhitch"))
                .args(arguments)
                .arg("--entry")
                .arg(self.entries[0].rpc.to_string())
                .stdout(Stdio::null()),
        );
        let status = child.and_then(|mut child| child.wait());
        assert!(status.expect("run the command line").success(), "{arguments:?} failed");
    }

    /// Appends records that no entry can decode; they count towards the log's retention.
    pub fn append_noise(&self, records: usize) {
        let path = format!("/streams/{FLEET_STREAM}/records");
        for n in 0..records {
            let append = Append::new(format!("noise-{n}"), &Value::Null).expect("encode noise");
            let _: Value =
                client::post(self.platform.public.address, &path, &append).expect("append noise");
        }
    }

    /// Appends a fleet record.
    pub fn append(&self, body: Body) {
        let at = UNIX_EPOCH.elapsed().expect("a clock after 1970");
        let operation = format!("test-{}", at.as_nanos());
        let record = Record { operation: operation.clone(), author: "test".into(), at, body };
        let path = format!("/streams/{FLEET_STREAM}/records");
        let append = Append::new(operation, &record).expect("encode a record");
        let _: Value =
            client::post(self.platform.public.address, &path, &append).expect("append a record");
    }

    /// Offset of the newest snapshot of which the log holds a chunk.
    pub fn snapshot(&self) -> Option<u64> {
        let path = format!("/streams/{}/records?from=0", snapshot::STREAM);
        let page: Page = client::get(self.platform.public.address, &path).ok()?;
        let chunk: Value = serde_json::from_str(page.records.last()?.data.get()).ok()?;
        chunk["at"].as_u64()
    }

    /// Lowest offset of the fleet's records that the log still keeps.
    pub fn first_kept(&self) -> u64 {
        let path = format!("/streams/{FLEET_STREAM}/records?from=1000000");
        let page: Page = client::get(self.platform.public.address, &path).expect("read the log");
        page.first
    }

    pub fn operator(&self) -> Operator {
        let entries = self.entries.iter().filter(|e| e.child.is_some()).map(|e| e.callers);
        Operator { platform: self.platform.public.address, entries: entries.collect() }
    }

    /// Replaces the platform's faults.
    pub fn platform_faults(&self, faults: &fault::Platform) {
        let _: Value = client::post(self.platform.control.address, "/faults", faults)
            .expect("set the platform's faults");
    }

    /// Replaces an endpoint's faults.
    pub fn endpoint_faults(&self, vm: &str, faults: &fault::Endpoint) {
        let control = self.endpoints[vm].control.address;
        let _: Value = client::post(control, "/faults", faults).expect("set an endpoint's faults");
    }

    pub fn ledger(&self, vm: &str) -> Ledger {
        client::get(self.endpoints[vm].control.address, "/ledger").expect("read a ledger")
    }

    /// Settings of a load on every entry; `killed` are the entries that are killed meanwhile.
    pub fn load(&self, duration: Duration, killed: &[usize]) -> load::Config {
        let group = |class, callers, work_ms, deadline| Group {
            class,
            callers,
            work_ms,
            deadline: Duration::from_secs(deadline),
            think_ms: 20,
        };
        load::Config {
            entries: self.entries.iter().map(|e| e.callers).collect(),
            killed: killed.iter().map(|n| self.entries[*n].callers).collect(),
            endpoints: self.endpoints.values().map(|e| e.control.address).collect(),
            services: vec![SERVICE.into()],
            teams: 3,
            groups: vec![
                group(Class::Quick, 12, (2, 20), 5),
                group(Class::Watch, 2, (300, 900), 20),
                group(Class::Order, 8, (5, 30), 5),
            ],
            duration,
            max_attempts: 8,
            seed: 7,
        }
    }
}

/// Runs a load while `meanwhile` runs, and returns the report.
pub fn run(config: load::Config, meanwhile: impl FnOnce()) -> Report {
    let load = std::thread::spawn(move || load::run(&config).expect("run the callers"));
    meanwhile();
    let report = load.join().expect("callers end");
    println!("{report}");
    report
}

impl Entry {
    fn start(&mut self) {
        let log = fs::File::create(self.settings.with_extension("log")).expect("create a log");
        let child = spawn(
            Command::new(binary("carobhitch-entry"))
                .arg("--settings")
                .arg(&self.settings)
                .stdout(Stdio::null())
                .stderr(log),
        );
        self.child = Some(child.expect("start an entry"));
    }

    /// Id of the entry's process.
    pub fn process(&self) -> u32 {
        self.child.as_ref().expect("an entry that runs").id()
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            child.kill().expect("kill an entry");
            child.wait().expect("reap an entry");
        }
    }

    /// Kills the process and starts it again; it has no state from before.
    pub fn restart(&mut self) {
        self.kill();
        self.start();
    }

    /// Sends a signal by name.
    pub fn signal(&self, name: &str) {
        let id = self.child.as_ref().expect("an entry that runs").id();
        let child = spawn(Command::new("kill").arg(format!("-{name}")).arg(id.to_string()));
        let status = child.and_then(|mut child| child.wait());
        assert!(status.expect("run kill").success());
    }

    /// Sends SIGTERM and waits until the process exits.
    pub fn stop(&mut self) -> ExitStatus {
        self.signal("TERM");
        let mut child = self.child.take().expect("an entry that runs");
        child.wait().expect("reap an entry")
    }

    /// Waits until the process exits by itself.
    pub fn wait_end(&mut self) -> ExitStatus {
        let mut child = self.child.take().expect("an entry that runs");
        child.wait().expect("reap an entry")
    }

    pub fn status(&self) -> Option<Value> {
        client::get(self.callers, "/status").ok()
    }

    pub fn is_ready(&self) -> bool {
        self.status().is_some_and(|s| s["ready"] == true)
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.entries.iter_mut().for_each(Entry::kill);
        if std::thread::panicking() {
            eprintln!("logs are in {}", self.directory.display());
        } else {
            // A failed removal leaves files only in the temporary directory.
            let _ = fs::remove_dir_all(&self.directory);
        }
    }
}
