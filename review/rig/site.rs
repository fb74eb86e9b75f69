//! A small deployment on loopback: the platform's store and list of machines, runners, and the entries as
//! processes of their own, started with the command of `deploy/system.toml`.

use crate::{
    http::{self, Reply, Server},
    json::Json,
    record::Record,
    runner::{Config, Runner},
    store::Store,
};
use std::{
    fs,
    net::{SocketAddr, TcpListener},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

pub type Result<T> = std::result::Result<T, String>;

/// Port of the metrics in the deploy file.
const METRICS_PORT: u16 = 9_100;
const DEADLINE: Duration = Duration::from_millis(3_000);

pub struct Entry {
    pub front: SocketAddr,
    pub ready: SocketAddr,
    config: PathBuf,
    log: PathBuf,
    pub child: Child,
}

pub struct Site {
    pub store: Store,
    pub record: Record,
    pub entries: Vec<Entry>,
    pub runners: Arc<Mutex<Vec<Runner>>>,
    directory: PathBuf,
    servers: Vec<Server>,
}

impl Drop for Site {
    fn drop(&mut self) {
        for entry in &mut self.entries {
            let _ = entry.child.kill();
            let _ = entry.child.wait();
        }
        for server in &self.servers {
            server.stop();
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.directory);
        } else {
            eprintln!("logs are kept in {}", self.directory.display());
        }
    }
}

impl Site {
    /// Starts the platform with a manifest, and so many entries.
    pub fn start(record: Record, manifest: &str, entries: usize) -> Result<Self> {
        let directory = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&directory).map_err(|e| e.to_string())?;
        let store = Store::default();
        store.put("keyed.op", "config", manifest.as_bytes());
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let served = store.clone();
        let store_server =
            Server::start(any, move |request| served.handle(&request)).map_err(|e| e.to_string())?;
        let runners: Arc<Mutex<Vec<Runner>>> = Arc::default();
        let listed = Arc::clone(&runners);
        let cloud_server = Server::start(any, move |request| cloud(&listed, &request.path))
            .map_err(|e| e.to_string())?;
        let mut site = Self { store, record, entries: Vec::new(), runners, directory, servers: vec![] };
        let (store_at, cloud_at) = (store_server.address, cloud_server.address);
        site.servers = vec![store_server, cloud_server];
        for number in 0..entries {
            site.start_entry(number, store_at, cloud_at)?;
        }
        site.wait("all entries are ready", Duration::from_secs(20), |site| {
            site.entries.iter().all(|entry| {
                let limit = Duration::from_millis(500);
                let answer = http::call(entry.ready, "GET", "/v1/ready", &[], b"", limit);
                answer.is_some_and(|(status, _)| status == 200)
            })
        })?;
        site.record.note("all entries are ready");
        Ok(site)
    }

    fn start_entry(&mut self, number: usize, store: SocketAddr, cloud: SocketAddr) -> Result<()> {
        // An address of its own for each entry, as the deploy file fixes the port of the metrics.
        let pid = std::process::id();
        let mut host = [127, 10 + number as u8, (pid >> 8) as u8, (pid as u8).max(1)];
        while TcpListener::bind(SocketAddr::from((host, METRICS_PORT))).is_err() {
            host[1] = host[1].checked_add(10).ok_or("no free address for the metrics")?;
        }
        // All listeners are held until every port is chosen, so that no port is given twice.
        let listeners: std::io::Result<Vec<TcpListener>> =
            (0..3).map(|_| TcpListener::bind(SocketAddr::from((host, 0)))).collect();
        let listeners = listeners.map_err(|e| format!("find a free port: {e}"))?;
        let port = |at: usize| listeners[at].local_addr().map_err(|e| e.to_string());
        let (front, ready, peer) = (port(0)?, port(1)?, port(2)?.port());
        drop(listeners);
        let [a, b, c, d] = host;
        let settings = format!(
            "node=front-{number}\nrole=entry\nclass=front\nserves=front\nip={a}.{b}.{c}.{d}\n\
             zone=zone-a\nregion=region-a\nzones.zone-a=region-a\nlisten.front={front}\n\
             listen.ready={ready}\nportRange={peer},{peer}\nbootstrap=true\ninTolerance=false\n\
             limits.cpuShare=0.25\nlimits.cores=1\nlimits.memoryMb=260\nlimits.maxFds=4100\n\
             discovery=platform\nentry=virtual_ip\nheartbeatMs=1500\n\
             contracts=base,drain,config,cost,recover,sched,platform,advice,upkeep,sharing\n\
             tolerate.machines=1\ntolerate.zones=1\ntolerate.regions=0\nbounds.seedLagS=3\n\
             bounds.reuseAfterS=2\nbounds.stableMs=3000\nbounds.ackMs=4000\nbounds.catchUpS=4\n\
             bounds.drainMs=2000\nbounds.graceS=6\nbounds.lossSlackMs=200\nbounds.configMs=2000\n\
             bounds.rollbackSlackMs=250\nbounds.maxSkewMs=5000\nbounds.recoverS=12\n\
             bounds.holdMaxMs=6000\nbounds.stopMs=400\nbounds.gangMs=3000\nbounds.cancel_ms=3000\n\
             bounds.visible_ms=3000\nbounds.early_ms=250\nbounds.finish_s=14\nbounds.status_s=120\n\
             bounds.farX=2\nbounds.saveS=2\nbounds.restoreMs=250\nbounds.noticeMs=4500\n\
             bounds.moveS=1.5\nbounds.upkeepS=2\nbounds.requireFencing=false\nbounds.leaseMs=3000\n\
             bounds.thawSlackMs=300\nbounds.paceMs=100\nbounds.harmMs=4000\norders=invoke\n\
             platform.addr={store}\nplatform.form=log\nplatform.writesPerS=800\n\
             platform.readsPerS=2000\nplatform.parts=12\nplatform.appendMs=2.0\n\
             platform.partMbS=20.0\nplatform.readMbS=80.0\nplatform.recordBytes=262144\n\
             platform.callBytes=2097152\nplatform.keep_s=300\nplatform.partMb=200\n\
             platform.ttlMinMs=1000\ncloud.addr={cloud}\ncloud.ratePerS=64.0\ncloud.duties=\n\
             cloud.dutyPerS=64.0\n"
        );
        let config = self.directory.join(format!("front-{number}.conf"));
        fs::write(&config, settings).map_err(|e| e.to_string())?;
        let log = self.directory.join(format!("front-{number}.log"));
        let child = spawn(&config, &log)?;
        self.entries.push(Entry { front, ready, config, log, child });
        Ok(())
    }

    /// Kills an entry's process and starts it again.
    #[allow(dead_code)]
    pub fn restart_entry(&mut self, number: usize) -> Result<()> {
        let entry = &mut self.entries[number];
        let _ = entry.child.kill();
        let _ = entry.child.wait();
        self.record.note(&format!("entry front-{number} is killed and started again"));
        let entry = &mut self.entries[number];
        entry.child = spawn(&entry.config, &entry.log)?;
        Ok(())
    }

    pub fn add_runner(&self, config: Config) -> Result<Runner> {
        let runner = Runner::new(config, self.store.clone(), self.record.clone());
        runner.start().map_err(|e| e.to_string())?;
        self.runners.lock().unwrap().push(runner.clone());
        Ok(runner)
    }

    pub fn put_manifest(&self, what: &str, manifest: &str) {
        self.store.put("keyed.op", "config", manifest.as_bytes());
        self.record.note(&format!("operator: {what}"));
    }

    pub fn wait(
        &self,
        what: &str,
        limit: Duration,
        mut condition: impl FnMut(&Self) -> bool,
    ) -> Result<()> {
        let until = Instant::now() + limit;
        while !condition(self) {
            if Instant::now() > until {
                return Err(format!("timed out waiting until {what}"));
            }
            thread::sleep(Duration::from_millis(20));
        }
        Ok(())
    }

    /// Sends a request of a consumer to one entry after the other until one gives a final answer.
    fn ask(&self, method: &str, host: &str, path: &str, body: &str) -> Option<(u16, Json)> {
        let deadline = DEADLINE.as_millis().to_string();
        let headers =
            [("host", host), ("x-deadline-ms", &deadline), ("content-type", "application/json")];
        let mut last = None;
        for entry in self.entries.iter().cycle().take(5) {
            let answer =
                http::call(entry.front, method, path, &headers, body.as_bytes(), DEADLINE);
            let shown = answer.as_ref().map_or(String::from("no answer"), |(status, body)| {
                format!("{status} {}", String::from_utf8_lossy(body))
            });
            self.record.note(&format!("call {method} {path} {body} -> {shown}"));
            last = answer.map(|(status, body)| (status, Json::parse(&body).unwrap_or(Json::Null)));
            match &last {
                None | Some((429 | 502..=504, _)) => thread::sleep(Duration::from_millis(1_000)),
                Some(_) => break,
            }
        }
        last
    }

    /// Hands a job in; an error if it was not accepted.
    pub fn submit(&self, host: &str, path: &str, body: &str) -> Result<()> {
        match self.ask("POST", host, path, body) {
            Some((200..=299, _)) => Ok(()),
            other => Err(format!("job {path} was not accepted: {other:?}")),
        }
    }

    /// Status and state of a job.
    pub fn state(&self, host: &str, path: &str) -> Option<(u16, String)> {
        let (status, body) = self.ask("GET", host, path, "")?;
        Some((status, String::from(body.get("state").str())))
    }
}

fn spawn(config: &PathBuf, log: &PathBuf) -> Result<Child> {
    let log = fs::OpenOptions::new().append(true).create(true).open(log).map_err(|e| e.to_string())?;
    let errors = log.try_clone().map_err(|e| e.to_string())?;
    let mut command = Command::new("target/release/carobhitch-entry");
    command.args(["--jobs", "--metrics-port", "9100"]).env_clear();
    for name in ["PATH", "HOME", "LANG"] {
        if let Some(value) = std::env::var_os(name) {
            command.env(name, value);
        }
    }
    command.env("CAROBHITCH_CONFIG", config).stdin(Stdio::null()).stdout(log).stderr(errors);
    command.spawn().map_err(|e| format!("start target/release/carobhitch-entry: {e}"))
}

/// The platform's list of machines. No day here moves a machine or has upkeep.
fn cloud(runners: &Mutex<Vec<Runner>>, path: &str) -> Reply {
    if path != "/v1/machines" {
        return Reply::json(400, "{}");
    }
    let machine = |runner: &Runner| {
        let config = runner.config();
        let labels: Vec<String> = config.labels.iter().map(|l| format!("\"{l}\"")).collect();
        let id = if runner.is_up() { format!(",\"id\":\"{}\"", config.id) } else { String::new() };
        format!(
            "{{\"machine\":\"{}\",\"pool\":\"{}\",\"state\":\"{}\",\"zone\":\"{}\",\"labels\":[{}],\
             \"headroom\":{{\"cpu\":{},\"memMb\":{},\"gpu\":0}}{id}}}",
            config.machine,
            config.service,
            if runner.is_up() { "up" } else { "down" },
            config.zone,
            labels.join(","),
            config.cpu,
            config.mem_mb
        )
    };
    let machines: Vec<String> = runners.lock().unwrap().iter().map(machine).collect();
    Reply::json(200, format!("{{\"machines\":[{}],\"nextToken\":null}}", machines.join(",")))
}
