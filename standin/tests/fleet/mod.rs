//! A small fleet for tests: platform and endpoints in this process, entries as processes.
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
        client, fault,
        load::{self, Group},
        machine::Inventory,
        operator::{self, Operator},
        platform::{self, Platform},
        runner::{self, Ledger, Runner},
        stream::Retention,
        tally::Report,
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

/// Time after which a wait fails.
pub const PATIENCE: Duration = Duration::from_secs(30);
/// Time between two looks.
const LOOK: Duration = Duration::from_millis(20);
/// Lowest port of the entries.
const FIRST_PORT: u16 = 10_000;
/// Blocks of ports, of which each test program uses one.
const PORT_BLOCKS: u32 = 40;
/// Ports in a block.
const PORTS_PER_BLOCK: u16 = 500;
/// Held while a port is tried and while a process is spawned: a child spawned meanwhile would hold a copy
/// of the trial listener until its exec, and the port's new user would fail to listen.
static SPAWN_LOCK: Mutex<()> = Mutex::new(());
/// The service that every fleet runs.
pub const SERVICE: &str = "quotes";

/// An entry's process and its addresses.
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
    pub runners: IndexMap<VmId, Runner>,
    pub entries: Vec<Entry>,
    zones: IndexMap<VmId, String>,
    directory: PathBuf,
}

fn any() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

/// An address that nobody uses, given once.
///
/// Below the ports that the kernel gives to connections and to port 0, so that none takes it between
/// this look and the entry's start.
pub fn free() -> SocketAddr {
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

/// A program of the product, built beside the stand-ins.
fn binary(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_BIN_EXE_carobhitch-platform")).with_file_name(name)
}

/// Waits until `holds`, or fails with `what`.
pub fn wait(what: &str, mut holds: impl FnMut() -> bool) {
    let until = Instant::now() + PATIENCE;
    while !holds() {
        assert!(Instant::now() < until, "waited too long for {what}");
        sleep(LOOK);
    }
}

impl Fleet {
    /// Starts zones of entries and endpoints, with the log keeping `records`, and declares them.
    pub fn start(name: &str, zones: &[(&str, usize, usize)]) -> Self {
        Self::keeping(name, zones, 1_000_000)
    }

    /// As [`Fleet::start`], with a log that keeps so many records of a stream.
    pub fn keeping(name: &str, zones: &[(&str, usize, usize)], records: usize) -> Self {
        let platform = platform::spawn(platform::Config {
            listen: any(),
            control: any(),
            inventory: Inventory::default(),
            retention: Retention { records, age: Duration::from_secs(3600) },
            list_lag: Duration::from_millis(300),
            reboot: Duration::from_millis(500),
            faults: fault::Platform::default(),
            seed: 1,
        })
        .expect("start the platform");
        let directory =
            std::env::temp_dir().join(format!("carobhitch-{name}-{}", std::process::id()));
        fs::create_dir_all(&directory).expect("create a directory");
        let mut fleet = Self {
            platform,
            runners: IndexMap::new(),
            entries: Vec::new(),
            zones: IndexMap::new(),
            directory,
        };
        for (zone, entries, runners) in zones {
            (0..*runners).for_each(|n| fleet.add_runner(zone, n));
            (0..*entries).for_each(|n| {
                fleet.add_entry(zone, &format!("entry-{zone}{n}"));
            });
        }
        fleet.declare();
        fleet.entries.iter().for_each(|e| operator::wait_ready(e.callers).expect("entry is ready"));
        fleet
    }

    fn add_runner(&mut self, zone: &str, n: usize) {
        let id = format!("vm-{zone}{n}");
        let runner = runner::spawn(runner::Config {
            id: id.clone(),
            service: SERVICE.into(),
            zone: zone.into(),
            rack: format!("rack-{n}"),
            listen: any(),
            control: any(),
            slots: 8,
            connections: 64,
            platform: Some(self.platform.control.address),
            faults: fault::Runner::default(),
        });
        self.runners.insert(id.clone(), runner.expect("start a runner"));
        self.zones.insert(id, zone.into());
    }

    /// Starts an entry; its seeds are the entries before it.
    pub fn add_entry(&mut self, zone: &str, name: &str) -> usize {
        let platform = self.platform.public.address;
        self.add_entry_at(zone, name, platform)
    }

    /// Starts an entry that reaches the platform at an address.
    pub fn add_entry_at(&mut self, zone: &str, name: &str, platform: SocketAddr) -> usize {
        let (callers, link, rpc) = (free(), free(), free());
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
        let settings = self.directory.join(format!("{name}.toml"));
        fs::write(&settings, text).expect("write settings");
        let (name, zone) = (name.into(), zone.into());
        let mut entry = Entry { name, zone, callers, link, rpc, platform, settings, child: None };
        entry.start();
        self.entries.push(entry);
        self.entries.len() - 1
    }

    /// Puts the fleet's declaration in force.
    pub fn declare(&self) {
        self.operator().declare(self.declaration()).expect("declare the fleet");
    }

    /// What the fleet declares.
    pub fn declaration(&self) -> Declaration {
        let mut declaration = Declaration::default();
        declaration.pools.insert("pool".into(), Pool::default());
        let service: Service = serde_json::from_str(r#"{"pool": "pool"}"#).expect("a service");
        declaration.services.insert(SERVICE.into(), service);
        for (n, (id, runner)) in self.runners.iter().enumerate() {
            let (zone, rack) = (self.zones[id].clone(), format!("rack-{n}"));
            let vm = Vm { pool: "pool".into(), zone, rack, address: runner.public.address };
            declaration.vms.insert(id.clone(), vm);
        }
        declaration
    }

    /// Runs the operators' command line at the first entry.
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

    /// Appends records that no entry can read; they count against the log's retention.
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

    /// Offset of the newest snapshot of which a chunk is in the log.
    pub fn snapshot(&self) -> Option<u64> {
        let path = format!("/streams/{}/records?from=0", snapshot::STREAM);
        let page: Page = client::get(self.platform.public.address, &path).ok()?;
        let chunk: Value = serde_json::from_str(page.records.last()?.data.get()).ok()?;
        chunk["at"].as_u64()
    }

    /// Lowest offset that the log keeps of the fleet's records.
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
    pub fn runner_faults(&self, vm: &str, faults: &fault::Runner) {
        let control = self.runners[vm].control.address;
        let _: Value = client::post(control, "/faults", faults).expect("set a runner's faults");
    }

    pub fn ledger(&self, vm: &str) -> Ledger {
        client::get(self.runners[vm].control.address, "/ledger").expect("read a ledger")
    }

    /// Callers at work for a time; `killed` names the entries that are killed meanwhile.
    pub fn load(&self, time: Duration, killed: &[usize]) -> load::Config {
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
            runners: self.runners.values().map(|r| r.control.address).collect(),
            services: vec![SERVICE.into()],
            teams: 3,
            groups: vec![
                group(Class::Quick, 12, (2, 20), 5),
                group(Class::Watch, 2, (300, 900), 20),
                group(Class::Order, 8, (5, 30), 5),
            ],
            time,
            tries: 8,
            seed: 7,
        }
    }
}

/// Runs callers while `meanwhile` is done, and returns what became of their requests.
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

    /// Ends the process at once.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            child.kill().expect("kill an entry");
            child.wait().expect("reap an entry");
        }
    }

    /// Starts the process again, with an empty memory.
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

    /// Asks for a planned stop and waits for the end.
    pub fn stop(&mut self) -> ExitStatus {
        self.signal("TERM");
        let mut child = self.child.take().expect("an entry that runs");
        child.wait().expect("reap an entry")
    }

    /// Waits until the process ends by itself.
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
            // What is left is in the temporary directory.
            let _ = fs::remove_dir_all(&self.directory);
        }
    }
}
