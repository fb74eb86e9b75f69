//! A small deployment on loopback addresses: a store, runners and entries, each a process of its own.

use {
    crate::{
        store::frame,
        wire::{self, Json, unix_ms},
    },
    std::{
        fs::{self, File},
        io::Write,
        net::SocketAddr,
        path::PathBuf,
        process::{Child, Command, Stdio},
        thread::sleep,
        time::{Duration, Instant},
    },
};

/// Time within which the deployment must be ready.
const START_LIMIT: Duration = Duration::from_secs(25);
/// Time limit of a caller's request.
const CALL_LIMIT: Duration = Duration::from_secs(3);
/// Host of all queues.
pub const HOST: &str = "desk.example";

pub struct Runner {
    pub id: String,
    pub service: String,
    pub kind: String,
    process: Option<Child>,
    address: SocketAddr,
}

pub struct Site {
    folder: PathBuf,
    /// The first two numbers behind 127 of all addresses.
    net: (u8, u8),
    store: Option<Child>,
    pub runners: Vec<Runner>,
    entries: Vec<Option<Child>>,
    record: File,
}

/// An event that a runner has noted.
#[derive(Clone, Debug)]
pub struct Event {
    pub at_ms: u64,
    pub runner: String,
    pub born: u64,
    pub words: Vec<String>,
}

impl Site {
    /// Starts the store, whose list has spare machines if there are any, and writes the first manifest.
    pub fn new(folder: PathBuf, record: File, manifest: &str, spare: bool) -> Option<Self> {
        let id = std::process::id();
        let net = ((id >> 8 & 0x7f) as u8 + 64, (id & 0xff) as u8);
        let mut site =
            Self { folder, net, store: None, runners: Vec::new(), entries: Vec::new(), record };
        let (store, cloud) = (site.store_address(), site.cloud_address());
        let (store, cloud, spare) = (store.to_string(), cloud.to_string(), spare.to_string());
        site.store = Some(site.spawn("store", &["store", &store, &cloud, &spare])?);
        let begun = Instant::now();
        while !site.put("keyed.op", "config", manifest) {
            if begun.elapsed() > START_LIMIT {
                return None;
            }
            sleep(Duration::from_millis(20));
        }
        site.note(&format!("manifest {manifest}"));
        Some(site)
    }

    fn address(&self, host: u8, port: u16) -> SocketAddr {
        SocketAddr::from(([127, self.net.0, self.net.1, host], port))
    }

    /// Address at which an entry serves callers.
    pub fn callers_address(&self, entry: usize) -> SocketAddr {
        self.address(10 + entry as u8, 8624)
    }

    fn store_address(&self) -> SocketAddr {
        self.address(2, 8621)
    }

    fn cloud_address(&self) -> SocketAddr {
        self.address(3, 8621)
    }

    /// Starts this program in another role.
    fn spawn(&self, log: &str, args: &[&str]) -> Option<Child> {
        let log = File::create(self.folder.join(format!("{log}.log"))).ok()?;
        let program = std::env::current_exe().ok()?;
        Command::new(program).args(args).stdout(Stdio::null()).stderr(log).spawn().ok()
    }

    /// Writes a line to the record.
    pub fn note(&mut self, text: &str) {
        let _ = writeln!(self.record, "{} {text}", unix_ms());
    }

    /// Appends a record as the operator.
    pub fn put(&self, topic: &str, key: &str, value: &str) -> bool {
        let path = format!("/v1/log-append?topic={topic}&part=0");
        let body = frame(key, value.as_bytes());
        let limit = Duration::from_secs(1);
        let reply = wire::call(self.store_address(), "POST", &path, &[], &body, limit);
        reply.is_some_and(|(status, _)| status == 200)
    }

    /// Calls to the platform that change machines, so far.
    pub fn changes(&self) -> Vec<String> {
        let at = self.store_address();
        let reply = wire::call(at, "GET", "/control/changes", &[], &[], Duration::from_secs(1));
        let text = reply.map(|(_, body)| String::from_utf8_lossy(&body).into_owned());
        text.unwrap_or_default().lines().map(String::from).collect()
    }

    /// Adds a runner and starts it.
    pub fn add_runner(&mut self, service: &str, kind: &str) -> Option<()> {
        let number = self.runners.len();
        let address = self.address(100 + number as u8, 8080);
        let id = format!("i-{number:08x}");
        let (service, kind) = (String::from(service), String::from(kind));
        self.runners.push(Runner { id, service, kind, process: None, address });
        self.start_runner(number)
    }

    /// Starts a runner under its id.
    pub fn start_runner(&mut self, number: usize) -> Option<()> {
        let events = self.folder.join("events").display().to_string();
        let store = self.store_address().to_string();
        let Runner { id, service, kind, address, .. } = &self.runners[number];
        let (listen, machine) = (address.to_string(), format!("m-{number:05x}"));
        let args = ["runner", &listen, &store, id, service, &machine, kind, &events];
        let process = self.spawn(&format!("runner-{number}"), &args)?;
        self.runners[number].process = Some(process);
        Some(())
    }

    /// Kills a runner.
    pub fn kill_runner(&mut self, number: usize) {
        if let Some(mut process) = self.runners[number].process.take() {
            let _ = process.kill();
            let _ = process.wait();
        }
    }

    /// Starts an entry with the command of the deploy file.
    pub fn start_entry(&mut self, number: usize) -> Option<()> {
        let ip = self.address(10 + number as u8, 0).ip();
        let file = self.folder.join(format!("entry-{number}.conf"));
        fs::write(&file, self.settings(number)).ok()?;
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("entry-{number}.log")))
            .ok()?;
        let errors = log.try_clone().ok()?;
        let mut command = Command::new("target/release/carobhitch-entry");
        command.args(["--jobs", "--metrics-port", "9100"]).env_clear();
        for name in ["PATH", "HOME", "LANG"] {
            if let Some(value) = std::env::var_os(name) {
                command.env(name, value);
            }
        }
        command.env("CAROBHITCH_CONFIG", &file).stdout(log).stderr(errors);
        let process = command.spawn().ok()?;
        if self.entries.len() <= number {
            self.entries.resize_with(number + 1, || None);
        }
        self.entries[number] = Some(process);
        self.note(&format!("entry {number}: started at {ip}"));
        Some(())
    }

    /// Kills an entry.
    pub fn kill_entry(&mut self, number: usize) {
        if let Some(mut process) = self.entries[number].take() {
            let _ = process.kill();
            let _ = process.wait();
            self.note(&format!("entry {number}: killed"));
        }
    }

    fn settings(&self, number: usize) -> String {
        let ip = self.address(10 + number as u8, 0).ip();
        let seed = self.address(10, 8623);
        format!(
            "node=front-zone-a-{n}\nrole=entry\nclass=front\nserves=front\nip={ip}\nzone=zone-a\n\
             region=is-south\nzones.zone-a=is-south\nlisten.front={ip}:8624\nlisten.ready={ip}:8622\n\
             listen.control={ip}:8623\nportRange=7060,7075\nseeds={seed}\nbootstrap=true\n\
             inTolerance=false\nlimits.cpuShare=0.25\nlimits.cores=1\nlimits.memoryMb=260\n\
             limits.maxFds=4100\nlimits.linkMbps=1000.0\nlimits.diskMb=0\ndiscovery=platform\n\
             entry=virtual_ip\nheartbeatMs=1500\n\
             contracts=base,drain,config,cost,recover,sched,platform,advice,upkeep,sharing\n\
             tolerate.machines=1\ntolerate.zones=1\ntolerate.regions=0\nbounds.stableMs=3000\n\
             bounds.ackMs=4000\nbounds.drainMs=2000\nbounds.graceS=6\nbounds.lossSlackMs=200\n\
             bounds.configMs=2000\nbounds.recoverS=12\nbounds.holdMaxMs=6000\nbounds.stopMs=400\n\
             bounds.gangMs=3000\nbounds.cancel_ms=3000\nbounds.visible_ms=3000\nbounds.early_ms=250\n\
             bounds.finish_s=14\nbounds.status_s=120\nbounds.farX=2\nbounds.saveS=2\n\
             bounds.restoreMs=250\nbounds.noticeMs=4500\nbounds.moveS=1.5\nbounds.upkeepS=2\n\
             bounds.requireFencing=false\nbounds.leaseMs=3000\nbounds.thawSlackMs=300\n\
             bounds.paceMs=100\nbounds.harmMs=4000\norders=invoke\nplatform.addr={store}\n\
             platform.form=log\nplatform.writesPerS=800\nplatform.readsPerS=2000\nplatform.parts=12\n\
             platform.appendMs=2.0\nplatform.recordBytes=262144\nplatform.callBytes=2097152\n\
             platform.keep_s=300\ncloud.addr={cloud}\ncloud.ratePerS=64.0\ncloud.dutyPerS=64.0\n",
            n = number + 1,
            store = self.store_address(),
            cloud = self.cloud_address()
        )
    }

    /// Whether an entry is ready for callers.
    pub fn is_ready(&self, number: usize) -> bool {
        let ready = self.address(10 + number as u8, 8622);
        let reply = wire::call(ready, "GET", "/v1/ready", &[], &[], Duration::from_millis(300));
        reply.is_some_and(|(status, _)| status == 200)
    }

    /// Waits until all running entries are ready.
    pub fn wait_ready(&self) -> bool {
        let begun = Instant::now();
        let running = || self.entries.iter().enumerate().filter(|(_, process)| process.is_some());
        while begun.elapsed() < START_LIMIT {
            if running().all(|(number, _)| self.is_ready(number)) {
                return true;
            }
            sleep(Duration::from_millis(50));
        }
        false
    }

    /// Sends a caller's request to an entry; the status and body of the answer, if there is one.
    pub fn call(&mut self, entry: usize, method: &str, path: &str, body: &str) -> Option<(u16, Json)> {
        let sent = unix_ms();
        let at = self.address(10 + entry as u8, 8624);
        let headers = [("Host", HOST), ("X-Deadline-Ms", "3000")];
        let reply = wire::call(at, method, path, &headers, body.as_bytes(), CALL_LIMIT);
        let shown = match &reply {
            Some((status, body)) => format!("{status} {}", String::from_utf8_lossy(body)),
            None => String::from("no answer"),
        };
        self.note(&format!("call {method} {path} {body} at entry {entry}, sent {sent}: {shown}"));
        reply.map(|(status, body)| (status, Json::parse(&body).unwrap_or(Json::Null)))
    }

    /// Name of the entry that has taken the cell over last, by the entries' logs.
    pub fn owner(&self) -> Option<usize> {
        let serving = |number: usize| {
            let log = fs::read_to_string(self.folder.join(format!("entry-{number}.log"))).ok()?;
            let line = log.lines().rfind(|line| line.contains("serving=true"))?;
            let epoch = line.split("epoch=").nth(1)?.split(' ').next()?;
            epoch.parse::<u64>().ok()
        };
        (0..self.entries.len()).max_by_key(|number| serving(*number))
    }

    /// All events of the runners, in the order of their times.
    pub fn events(&self) -> Vec<Event> {
        let text = fs::read_to_string(self.folder.join("events")).unwrap_or_default();
        let event = |line: &str| {
            let mut words = line.split(' ').map(String::from);
            let at_ms = words.next()?.parse().ok()?;
            let (runner, born) = (words.next()?, words.next()?.parse().ok()?);
            Some(Event { at_ms, runner, born, words: words.collect() })
        };
        let mut events: Vec<Event> = text.lines().filter_map(event).collect();
        events.sort_by_key(|event| event.at_ms);
        events
    }

    /// Copies the events, and what the entries have logged about work, to the record.
    pub fn finish_record(&mut self) {
        let _ = writeln!(self.record, "\nwhat the runners have noted (time, runner, its start, event):");
        for event in self.events() {
            let Event { at_ms, runner, born, words } = event;
            let _ = writeln!(self.record, "{at_ms} {runner} {born} {}", words.join(" "));
        }
        for number in 0..self.entries.len() {
            let log = fs::read_to_string(self.folder.join(format!("entry-{number}.log")));
            let _ = writeln!(self.record, "\nlog of entry {number}:");
            let _ = self.record.write_all(log.unwrap_or_default().as_bytes());
        }
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        for number in 0..self.entries.len() {
            self.kill_entry(number);
        }
        for number in 0..self.runners.len() {
            self.kill_runner(number);
        }
        if let Some(mut process) = self.store.take() {
            let _ = process.kill();
            let _ = process.wait();
        }
    }
}
