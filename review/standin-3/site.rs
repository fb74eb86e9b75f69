//! A small installation: the platform's store, its machines with their runners, and the entries, which are
//! processes with the command of the deploy file.

use crate::{
    http::{self, Request, Response, json},
    json::{field, number},
    record::Record,
    runner::{Run, Runner},
    store::{Store, split},
};
use std::{
    collections::BTreeMap,
    fs::{self, File},
    net::{SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread::{self, sleep},
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// Command of the deploy file.
const ENTRY: (&str, &[&str]) =
    ("target/release/carobhitch-entry", &["--jobs", "--metrics-port", "9100"]);
/// Time between two check-ins of a runner (`heartbeatMs`).
const CHECK_IN: Duration = Duration::from_millis(1_500);
/// Time for which a machine is away for a move (`moveS`) and for its upkeep (`upkeepS`).
const MOVE_TIME: Duration = Duration::from_millis(1_500);
const UPKEEP_TIME: Duration = Duration::from_millis(2_000);
/// Host and prefix of the queue of a service.
pub const HOST: &str = "desk.example";

/// A machine.
pub struct Machine {
    pub name: String,
    pub pool: String,
    pub kind: String,
    pub rack: String,
    state: &'static str,
    runner: Option<Arc<Runner>>,
    /// Last wave in which it had its upkeep.
    wave: Option<u64>,
    /// When its runner last checked in, with the number of the check-in.
    checked_in: Option<(Instant, u64)>,
    /// Name of the runner in the store, until its entry is removed.
    listed: Option<String>,
}

/// An order for a machine that was carried out, or answered as already done.
#[derive(Clone, Debug)]
pub struct Order {
    pub at: Duration,
    pub machine: String,
    pub what: String,
    pub holder: String,
    pub fence: u64,
    /// What ran on the machine and ended by it.
    pub ended: Vec<(String, Run)>,
}

impl std::fmt::Debug for Run {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "run {}", self.number)
    }
}

/// How the platform's machine calls behave.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Cloud {
    /// They are answered.
    Sound,
    /// They are refused with 503, and nothing is done.
    Refuses,
}

/// The installation.
pub struct Site {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    pub machines: Mutex<Vec<Machine>>,
    pub orders: Mutex<Vec<Order>>,
    pub cloud: Mutex<Cloud>,
    /// Name of the spare pool.
    spare: Option<String>,
    lives: AtomicU64,
    ended: AtomicBool,
    folder: PathBuf,
    subnet: String,
    store_address: SocketAddr,
    cloud_address: SocketAddr,
    entries: Mutex<BTreeMap<String, (Child, Instant)>>,
}

impl Site {
    /// Starts the platform's part of the installation.
    pub fn start(record: Arc<Record>, spare: Option<&str>) -> Arc<Self> {
        let bind = || TcpListener::bind("127.0.0.1:0").expect("port of the platform");
        let (store_port, cloud_port) = (bind(), bind());
        let process = std::process::id();
        let folder = std::env::temp_dir().join(format!("carobhitch-review-3-{process}"));
        fs::create_dir_all(&folder).expect("temporary folder");
        let site = Arc::new(Self {
            record,
            store: Arc::default(),
            machines: Mutex::default(),
            orders: Mutex::default(),
            cloud: Mutex::new(Cloud::Sound),
            spare: spare.map(String::from),
            lives: AtomicU64::new(0),
            ended: AtomicBool::new(false),
            folder,
            subnet: format!("127.{}.{}", 20 + process / 250 % 200, 1 + process % 250),
            store_address: store_port.local_addr().expect("address"),
            cloud_address: cloud_port.local_addr().expect("address"),
            entries: Mutex::default(),
        });
        let ended = |site: &Arc<Self>| {
            let site = Arc::clone(site);
            Arc::new(move || site.ended.load(Ordering::SeqCst))
        };
        let store = Arc::clone(&site.store);
        http::serve(store_port, ended(&site), Arc::new(move |request| store.handle(request)));
        let platform = Arc::clone(&site);
        http::serve(
            cloud_port,
            ended(&site),
            Arc::new(move |request| platform.machine_call(request)),
        );
        let checking = Arc::clone(&site);
        thread::spawn(move || {
            while !checking.ended.load(Ordering::SeqCst) {
                checking.check_in();
                sleep(Duration::from_millis(10));
            }
        });
        site
    }

    fn machines(&self) -> MutexGuard<'_, Vec<Machine>> {
        self.machines.lock().expect("machines")
    }

    /// Adds a machine, which is up.
    pub fn add_machine(&self, name: &str, pool: &str, kind: &str, rack: &str) {
        let mut machine = Machine {
            name: String::from(name),
            pool: String::from(pool),
            kind: String::from(kind),
            rack: String::from(rack),
            state: "up",
            runner: None,
            wave: None,
            checked_in: None,
            listed: None,
        };
        self.bring_up(&mut machine);
        self.machines().push(machine);
    }

    /// Starts a new life of a machine's runner, unless it is in the spare pool.
    fn bring_up(&self, machine: &mut Machine) {
        machine.state = "up";
        if Some(&machine.pool) == self.spare.as_ref() {
            return;
        }
        let life = self.lives.fetch_add(1, Ordering::SeqCst) + 1;
        let id = format!("i-{life:08x}");
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
        machine.runner = Some(Runner::start(&id, &machine.name, born as u64, &self.record));
        machine.checked_in = None;
    }

    /// Writes the check-ins of the runners that are due, and removes the entries of silent ones.
    fn check_in(&self) {
        for machine in self.machines().iter_mut() {
            let Some(runner) = machine.runner.clone() else {
                let silent = machine.checked_in.is_some_and(|(at, _)| at.elapsed() > CHECK_IN * 3);
                if let Some(id) = machine.listed.take_if(|_| silent) {
                    self.store.put("keyed.servers", &id, "");
                }
                continue;
            };
            if machine.checked_in.is_some_and(|(at, _)| at.elapsed() < CHECK_IN) {
                continue;
            }
            if let Some(id) = machine.listed.take_if(|id| **id != runner.id) {
                self.store.put("keyed.servers", &id, "");
            }
            let number = machine.checked_in.map_or(1, |(_, number)| number + 1);
            machine.checked_in = Some((Instant::now(), number));
            machine.listed = Some(runner.id.clone());
            let entry = format!(
                "{{\"service\":\"{}\",\"addr\":\"{}\",\"zone\":\"zone-a\",\"version\":\"v1\",\
                 \"slots\":8,\"state\":\"ready\",\"coldLeftMs\":0,\"machine\":\"{}\",\"born\":{},\
                 \"headroom\":{{\"cpu\":16000,\"memMb\":65536,\"gpu\":0}},\
                 \"labels\":[\"{}\",\"{}\"],\"clockMs\":0,\"seq\":{number}}}",
                machine.pool,
                runner.address,
                machine.name,
                runner.born_ms,
                machine.kind,
                machine.rack
            );
            self.store.put("keyed.servers", &runner.id, &entry);
        }
    }

    /// Crashes the runners of some machines, which come back after `down`.
    pub fn crash(self: &Arc<Self>, names: &[&str], down: Duration) {
        for machine in self.machines().iter_mut().filter(|m| names.contains(&m.name.as_str())) {
            if let Some(runner) = machine.runner.take() {
                runner.kill("crash");
                machine.state = "down";
                self.bring_back(&machine.name, down);
            }
        }
    }

    fn bring_back(self: &Arc<Self>, name: &str, after: Duration) {
        let (site, name) = (Arc::clone(self), String::from(name));
        thread::spawn(move || {
            sleep(after);
            if let Some(machine) = site.machines().iter_mut().find(|m| m.name == name) {
                site.bring_up(machine);
            }
        });
    }

    /// Answers a call about machines.
    fn machine_call(self: &Arc<Self>, request: &Request) -> Response {
        sleep(Duration::from_millis(1));
        if *self.cloud.lock().expect("cloud") == Cloud::Refuses {
            return json(503, "{}");
        }
        match request.path.as_str() {
            "/v1/machines" => self.list(),
            "/v1/machine-move" | "/v1/machine-upkeep" => self.order(request),
            _ => json(404, "{}"),
        }
    }

    fn list(&self) -> Response {
        let row = |machine: &Machine| {
            let id =
                machine.runner.as_ref().map_or(String::from("null"), |r| format!("\"{}\"", r.id));
            format!(
                "{{\"machine\":\"{}\",\"pool\":\"{}\",\"state\":\"{}\",\"zone\":\"zone-a\",\
                 \"labels\":[\"{}\",\"{}\"],\
                 \"headroom\":{{\"cpu\":16000,\"memMb\":65536,\"gpu\":0}},\"id\":{id}}}",
                machine.name, machine.pool, machine.state, machine.kind, machine.rack
            )
        };
        let rows: Vec<String> = self.machines().iter().map(row).collect();
        json(200, format!("{{\"machines\":[{}],\"nextToken\":null}}", rows.join(",")))
    }

    fn order(self: &Arc<Self>, request: &Request) -> Response {
        let name = field(&request.body, "machine").unwrap_or_default();
        let pool = field(&request.body, "pool");
        let wave = number(&request.body, "wave");
        let header = |name: &str| request.headers.get(name).cloned().unwrap_or_default();
        let mut machines = self.machines();
        let Some(machine) = machines.iter_mut().find(|machine| machine.name == name) else {
            return json(400, "{}");
        };
        let what = match &pool {
            Some(pool) => format!("move to {pool}"),
            None => format!("upkeep {wave}"),
        };
        let is_done = match &pool {
            Some(pool) => machine.pool == *pool,
            None => machine.wave == Some(wave),
        };
        let mut ended = Vec::new();
        if !is_done {
            if machine.state != "up" {
                return json(409, "{\"reason\":\"busy\"}");
            }
            if let Some(runner) = machine.runner.take() {
                ended = runner.kill(&what).into_iter().collect();
            }
            let time = match &pool {
                Some(pool) => {
                    machine.pool.clone_from(pool);
                    machine.state = "moving";
                    MOVE_TIME
                }
                None => {
                    machine.wave = Some(wave);
                    machine.state = "upkeep";
                    UPKEEP_TIME
                }
            };
            self.bring_back(&name, time);
        }
        let order = Order {
            at: self.record.elapsed(),
            machine: name,
            what,
            holder: header("x-duty-holder"),
            fence: header("x-fence-token").parse().unwrap_or(0),
            ended,
        };
        self.record.note(format!(
            "order {} for machine {} by {} with fence {}{}",
            order.what,
            order.machine,
            order.holder,
            order.fence,
            if is_done { " (already done)" } else { "" }
        ));
        self.orders.lock().expect("orders").push(order);
        json(200, "{}")
    }

    /// Writes a manifest with a queue for each of the services, which is at `/SERVICE/`.
    pub fn put_manifest(&self, services: &[&str]) {
        let queue = |service: &&str| {
            format!(
                "{{\"name\":\"q-{service}\",\"host\":\"{HOST}\",\"pathPrefix\":\"/{service}/\",\
                 \"kind\":\"non_idempotent\",\"timeoutMs\":3000,\"sloMs\":2500,\"priority\":0,\
                 \"service\":\"{service}\",\"attempts\":3,\"stretch\":2.2}}"
            )
        };
        let queues: Vec<String> = services.iter().map(queue).collect();
        let service = |name: &str, spare: bool| {
            format!("{{\"name\":\"{name}\",\"enforcesCapacity\":false,\"spare\":{spare}}}")
        };
        let mut rows: Vec<String> = services.iter().map(|name| service(name, false)).collect();
        rows.extend(self.spare.iter().map(|name| service(name, true)));
        let manifest = format!(
            "{{\"version\":1,\"routes\":[{}],\"services\":[{}],\"limits\":{{\"bodyBytes\":262144}}}}",
            queues.join(","),
            rows.join(",")
        );
        self.store.put("keyed.op", "config", &manifest);
    }

    /// Writes a wave.
    pub fn put_wave(&self, wave: u64, machines: &[&str], duration_s: u64, most: usize) {
        let names: Vec<String> = machines.iter().map(|name| format!("\"{name}\"")).collect();
        self.record.note(format!("operator: wave {wave} of {machines:?}, {most} at once"));
        let wave_record = format!(
            "{{\"wave\":{wave},\"machines\":[{}],\"durationS\":{duration_s},\"maxCount\":{most}}}",
            names.join(",")
        );
        self.store.put("keyed.op", &format!("wave/{wave}"), &wave_record);
    }

    /// Starts an entry. `number` gives its address, `share` is its part of a core.
    pub fn start_entry(&self, number: u8, share: f64) {
        let name = format!("front-{number}");
        let ip = format!("{}.{number}", self.subnet);
        let settings = SETTINGS
            .replace("NAME", &name)
            .replace("IP", &ip)
            .replace("SHARE", &share.to_string())
            .replace("STORE", &self.store_address.to_string())
            .replace("CLOUD", &self.cloud_address.to_string());
        let path = self.folder.join(format!("{name}.conf"));
        fs::write(&path, settings).expect("settings");
        let log = File::create(self.folder.join(format!("{name}.log"))).expect("log");
        let errors = log.try_clone().expect("log");
        let child = Command::new(ENTRY.0)
            .args(ENTRY.1)
            .env("CAROBHITCH_CONFIG", &path)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .expect("start an entry");
        self.record.note(format!("entry {name} starts, {share} of a core"));
        let mut entries = self.entries.lock().expect("entries");
        entries.insert(name, (child, Instant::now()));
    }

    /// Kills an entry.
    pub fn kill_entry(&self, name: &str) {
        if let Some((mut child, _)) = self.entries.lock().expect("entries").remove(name) {
            let _ = child.kill();
            let _ = child.wait();
            self.record.note(format!("entry {name} is killed"));
        }
    }

    /// For how long an entry has run; none if it doesn't.
    pub fn entry_age(&self, name: &str) -> Option<Duration> {
        self.entries.lock().expect("entries").get(name).map(|(_, at)| at.elapsed())
    }

    /// Address at which the platform forwards channels to an entry.
    pub fn front(&self, number: u8) -> SocketAddr {
        format!("{}.{number}:8624", self.subnet).parse().expect("address")
    }

    /// Whether an entry is ready.
    pub fn is_ready(&self, number: u8) -> bool {
        let address = format!("{}.{number}:8622", self.subnet).parse().expect("address");
        let limit = Duration::from_millis(500);
        http::call(address, "GET", "ready", "/v1/ready", "", limit).is_some_and(|(s, _)| s == 200)
    }

    /// Waits until entries are ready.
    pub fn wait_ready(&self, numbers: &[u8]) -> Option<()> {
        let ready = || numbers.iter().all(|number| self.is_ready(*number));
        self.wait(Duration::from_secs(15), ready)
    }

    /// Waits until something holds; none if it doesn't in time.
    pub fn wait(&self, limit: Duration, holds: impl Fn() -> bool) -> Option<()> {
        let begun = Instant::now();
        while begun.elapsed() < limit {
            if holds() {
                return Some(());
            }
            sleep(Duration::from_millis(10));
        }
        None
    }

    /// A consumer's call about a job, at the entries in turn until it is answered.
    pub fn ask(
        &self,
        numbers: &[u8],
        method: &str,
        path: &str,
        body: &str,
    ) -> Option<(u16, String)> {
        for number in numbers.iter().cycle().take(12) {
            let limit = Duration::from_secs(3);
            let answer = http::call(self.front(*number), method, HOST, path, body, limit);
            let told =
                answer.as_ref().map_or(String::from("no answer"), |(s, b)| format!("{s} {b}"));
            self.record.note(format!("consumer: {method} {path} at front-{number}: {told}"));
            match answer {
                Some((429 | 500.., _)) | None => sleep(Duration::from_millis(1_000)),
                Some(answer) => return Some(answer),
            }
        }
        None
    }

    /// Runners that live, with their machines.
    pub fn runners(&self) -> Vec<Arc<Runner>> {
        self.machines().iter().filter_map(|machine| machine.runner.clone()).collect()
    }

    /// Machine on which a run of a task is.
    pub fn machine_of(&self, task: &str) -> Option<(String, Run)> {
        let found = |runner: Arc<Runner>| {
            let run = runner.running().get(task).cloned()?;
            Some((runner.machine.clone(), run))
        };
        self.runners().into_iter().find_map(found)
    }

    /// Name of the entry that wrote the newest record of ownership, and whether that is a claim.
    pub fn newest_owner(&self, names: &[String]) -> Option<String> {
        let newest = self.store.records("keyed.owner", 0).pop()?;
        let (_, value) = split(&newest);
        let text = String::from_utf8_lossy(&value).into_owned();
        names.iter().find(|name| text.contains(name.as_str())).cloned()
    }

    /// Ends all processes and removes the temporary folder, unless it is to be kept.
    pub fn finish(&self, keep_logs: Option<&Path>) {
        self.ended.store(true, Ordering::SeqCst);
        for (_, (mut child, _)) in std::mem::take(&mut *self.entries.lock().expect("entries")) {
            let _ = child.kill();
            let _ = child.wait();
        }
        for runner in self.runners() {
            runner.kill("end of the script");
        }
        if let Some(folder) = keep_logs {
            let _ = fs::create_dir_all(folder);
            for entry in fs::read_dir(&self.folder).into_iter().flatten().flatten() {
                let _ = fs::copy(entry.path(), folder.join(entry.file_name()));
            }
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Settings of an entry, as the platform writes them.
const SETTINGS: &str = "\
node=NAME
role=entry
class=front
serves=front
ip=IP
zone=zone-a
region=region-a
zones.zone-a=region-a
listen.front=IP:8624
listen.ready=IP:8622
portRange=7060,7075
bootstrap=true
inTolerance=false
limits.cpuShare=SHARE
limits.cores=1
limits.memoryMb=260
limits.maxFds=4100
limits.linkMbps=1000.0
limits.diskMb=0
discovery=platform
entry=virtual_ip
heartbeatMs=1500
contracts=base,drain,config,cost,recover,sched,platform,advice,upkeep,sharing
tolerate.machines=1
tolerate.zones=1
tolerate.regions=0
bounds.seedLagS=3
bounds.reuseAfterS=2
bounds.stableMs=3000
bounds.ackMs=4000
bounds.catchUpS=4
bounds.drainMs=2000
bounds.graceS=6
bounds.lossSlackMs=200
bounds.configMs=2000
bounds.rollbackSlackMs=250
bounds.maxSkewMs=5000
bounds.recoverS=12
bounds.holdMaxMs=6000
bounds.stopMs=400
bounds.gangMs=3000
bounds.cancel_ms=3000
bounds.visible_ms=3000
bounds.early_ms=250
bounds.finish_s=14
bounds.status_s=120
bounds.farX=2
bounds.saveS=2
bounds.restoreMs=250
bounds.noticeMs=4500
bounds.moveS=1.5
bounds.upkeepS=2
bounds.requireFencing=false
bounds.leaseMs=3000
bounds.thawSlackMs=300
bounds.paceMs=100
bounds.harmMs=4000
orders=invoke
platform.addr=STORE
platform.form=log
platform.writesPerS=800
platform.readsPerS=2000
platform.parts=12
platform.appendMs=2.0
platform.partMbS=20.0
platform.readMbS=80.0
platform.recordBytes=262144
platform.callBytes=2097152
platform.keep_s=300
platform.partMb=200
platform.ttlMinMs=1000
cloud.addr=CLOUD
cloud.ratePerS=64.0
cloud.duties=
cloud.dutyPerS=64.0
";
