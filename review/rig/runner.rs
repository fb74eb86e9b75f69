//! Stand-in of a runner, by PROTOCOL.md, "Running work items". It doesn't guard its headroom.
//!
//! The text of a job says what its work items do: words such as `work=700` (milliseconds of work), `lasts`
//! (until stopped) and `fails=1` (the work item with index 0 fails in its first run, after its work).

use crate::{
    http::{Reply, Request, Server},
    json::Json,
    record::{Event, Record},
    store::Store,
};
use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

pub const HOLD_MAX_MS: u64 = 6_000;
pub const HEARTBEAT: Duration = Duration::from_millis(1_500);
/// Time from the start of a work item that lasts until it is at work.
const STARTUP: Duration = Duration::from_millis(300);

#[derive(Clone, Debug)]
pub struct Config {
    pub id: String,
    pub service: String,
    pub machine: String,
    pub zone: String,
    pub labels: Vec<String>,
    pub cpu: u64,
    pub mem_mb: u64,
}

#[derive(Clone)]
pub struct Runner(Arc<Shared>);

struct Shared {
    config: Config,
    store: Store,
    record: Record,
    life: Mutex<Option<Life>>,
    address: Mutex<Option<SocketAddr>>,
    server: Mutex<Option<Server>>,
    /// Whether its link to the store is cut, so that no check-in arrives.
    cut_from_store: AtomicBool,
    /// Whether it is cut off from all machines: calls reach it no more, and nor do its answers arrive.
    cut: AtomicBool,
}

/// What one life of the runner holds; a crash drops it.
struct Life {
    begun: Instant,
    born: u64,
    draining: bool,
    sequence: u64,
    fence: u64,
    lease_until_ms: u64,
    running: HashMap<String, Run>,
    latest: HashMap<String, u64>,
    ended: Vec<(u64, String, u64, &'static str)>,
    ends: u64,
}

struct Run {
    run: u64,
    text: String,
    since: Instant,
}

impl Run {
    fn word(&self, name: &str) -> Option<u64> {
        let mut words = self.text.split(' ').filter_map(|word| word.split_once('='));
        words.find(|(key, _)| *key == name).and_then(|(_, value)| value.parse().ok())
    }

    fn lasts(&self) -> bool {
        self.text.split(' ').any(|word| word == "lasts")
    }
}

impl Life {
    fn clock_ms(&self) -> u64 {
        self.begun.elapsed().as_millis() as u64
    }

    fn end(&mut self, task: &str, how: &'static str) -> Option<u64> {
        let run = self.running.remove(task)?.run;
        self.ends += 1;
        self.ended.push((self.ends, String::from(task), run, how));
        Some(run)
    }
}

impl Runner {
    pub fn new(config: Config, store: Store, record: Record) -> Self {
        Self(Arc::new(Shared {
            config,
            store,
            record,
            life: Mutex::new(None),
            address: Mutex::new(None),
            server: Mutex::new(None),
            cut_from_store: AtomicBool::new(false),
            cut: AtomicBool::new(false),
        }))
    }

    pub fn config(&self) -> &Config {
        &self.0.config
    }

    /// Starts a life, at the address of the former one if there was one, and registers it.
    pub fn start(&self) -> std::io::Result<()> {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        *self.0.life.lock().unwrap() = Some(Life {
            begun: Instant::now(),
            born: since.as_millis() as u64,
            draining: false,
            sequence: 0,
            fence: 0,
            lease_until_ms: 0,
            running: HashMap::new(),
            latest: HashMap::new(),
            ended: Vec::new(),
            ends: 0,
        });
        let at = self.0.address.lock().unwrap().unwrap_or(SocketAddr::from(([127, 0, 0, 1], 0)));
        let runner = self.clone();
        let server = Server::start(at, move |request| runner.handle(&request))?;
        *self.0.address.lock().unwrap() = Some(server.address);
        *self.0.server.lock().unwrap() = Some(server);
        self.0.record.note(&format!("runner {} starts", self.0.config.id));
        self.register();
        let (runner, born) = (self.clone(), since.as_millis() as u64);
        thread::spawn(move || {
            let mut registered = Instant::now();
            loop {
                thread::sleep(Duration::from_millis(2));
                if !runner.work(born) {
                    return;
                }
                if registered.elapsed() >= HEARTBEAT {
                    registered = Instant::now();
                    runner.register();
                }
            }
        });
        Ok(())
    }

    /// Crashes: the channels close, and everything is forgotten. Nothing is written to the store.
    pub fn crash(&self) {
        let life = self.0.life.lock().unwrap().take();
        if let Some(server) = self.0.server.lock().unwrap().take() {
            server.stop();
        }
        self.0.record.note(&format!("runner {} crashes", self.0.config.id));
        for (task, run) in life.into_iter().flat_map(|life| life.running) {
            self.0.record.add(Event::Lost { runner: self.id(), task, run: run.run });
        }
    }

    /// Reports that the runner drains.
    pub fn drain(&self) {
        if let Some(life) = self.0.life.lock().unwrap().as_mut() {
            life.draining = true;
        }
        self.0.record.note(&format!("runner {} drains", self.0.config.id));
        self.register();
    }

    /// Leaves after a drain: its registration is removed.
    pub fn leave(&self) {
        self.crash();
        self.0.store.put("keyed.servers", &self.0.config.id, b"");
    }

    /// Cuts the link to the store, or heals it.
    pub fn cut_from_store(&self, cut: bool) {
        self.0.cut_from_store.store(cut, Ordering::SeqCst);
        self.0.record.note(&format!("runner {} is cut from the store: {cut}", self.0.config.id));
    }

    /// Cuts the runner off from all machines, or ends that. What was on its way is lost.
    pub fn cut_off(&self, cut: bool) {
        self.0.cut.store(cut, Ordering::SeqCst);
        self.0.record.note(&format!("runner {} is cut off: {cut}", self.0.config.id));
    }

    fn is_cut(&self) -> bool {
        self.0.cut.load(Ordering::SeqCst)
    }

    /// Waits until a cut has ended; returns whether there was one, so that the call or its answer is lost.
    fn wait_for_cut(&self) -> bool {
        let cut = self.is_cut();
        while self.is_cut() {
            thread::sleep(Duration::from_millis(10));
        }
        cut
    }

    pub fn is_up(&self) -> bool {
        self.0.life.lock().unwrap().is_some()
    }

    fn id(&self) -> String {
        self.0.config.id.clone()
    }

    fn register(&self) {
        if self.is_cut() || self.0.cut_from_store.load(Ordering::SeqCst) {
            return;
        }
        let config = &self.0.config;
        let Some(address) = *self.0.address.lock().unwrap() else { return };
        let mut life = self.0.life.lock().unwrap();
        let Some(life) = life.as_mut() else { return };
        life.sequence += 1;
        let labels: Vec<String> = config.labels.iter().map(|l| format!("\"{l}\"")).collect();
        let entry = format!(
            "{{\"service\":\"{}\",\"addr\":\"{address}\",\"zone\":\"{}\",\"machine\":\"{}\",\
             \"version\":\"v1\",\"slots\":8,\"state\":\"{}\",\"coldLeftMs\":0,\"born\":{},\
             \"seq\":{},\"labels\":[{}],\"headroom\":{{\"cpu\":{},\"memMb\":{},\"gpu\":0}}{}}}",
            config.service,
            config.zone,
            config.machine,
            if life.draining { "draining" } else { "ready" },
            life.born,
            life.sequence,
            labels.join(","),
            config.cpu,
            config.mem_mb,
            if life.draining { ",\"remainingMs\":4000" } else { "" }
        );
        self.0.store.put("keyed.servers", &config.id, entry.as_bytes());
    }

    /// Lets time pass for the work items; returns whether this life goes on.
    fn work(&self, born: u64) -> bool {
        let mut guard = self.0.life.lock().unwrap();
        let Some(life) = guard.as_mut().filter(|life| life.born == born) else { return false };
        let lapsed = life.lease_until_ms <= life.clock_ms();
        let mut due = Vec::new();
        for (task, run) in &life.running {
            let age = run.since.elapsed();
            let done = !run.lasts()
                && age >= Duration::from_millis(run.word("work").unwrap_or(500));
            if lapsed {
                due.push((task.clone(), "lapsed"));
            } else if done {
                let fails = run.word("fails").is_some_and(|runs| run.run <= runs);
                let how = if fails && task.ends_with(".0") { "failed" } else { "done" };
                due.push((task.clone(), how));
            }
        }
        for (task, how) in due {
            if let Some(run) = life.end(&task, how) {
                self.0.record.add(Event::End { runner: self.id(), task, run, how });
            }
        }
        true
    }

    fn handle(&self, request: &Request) -> Reply {
        if self.wait_for_cut() {
            return Reply::Close;
        }
        let reply = self.carry_out(request);
        if self.wait_for_cut() { Reply::Close } else { reply }
    }

    fn carry_out(&self, request: &Request) -> Reply {
        if request.headers.get("x-expect-instance").is_some_and(|id| *id != self.0.config.id) {
            return Reply::json(421, "{}");
        }
        let Some(body) = Json::parse(&request.body) else { return Reply::json(400, "{}") };
        let mut guard = self.0.life.lock().unwrap();
        let Some(life) = guard.as_mut() else { return Reply::Close };
        let (clock, born) = (life.clock_ms(), life.born);
        let refuse = |reason: &str| {
            Reply::json(409, format!("{{\"clockMs\":{clock},\"born\":{born},\"reason\":\"{reason}\"}}"))
        };
        let fence = body.get("fence").u64().unwrap_or(0);
        if fence < life.fence {
            return refuse("fence");
        }
        life.fence = fence;
        if let Some(until) = body.get("untilMs").u64() {
            life.lease_until_ms = life.lease_until_ms.max(until.min(clock + HOLD_MAX_MS));
        }
        let task = String::from(body.get("task").str());
        let run = body.get("run").u64().unwrap_or(0);
        let fine = Reply::json(200, format!("{{\"clockMs\":{clock},\"born\":{born}}}"));
        match request.path.as_str() {
            "/v1/run-start" => {
                if life.running.get(&task).is_some_and(|there| there.run == run) {
                    return fine;
                }
                if life.latest.get(&task).is_some_and(|latest| *latest >= run) {
                    return refuse("old");
                }
                if body.get("untilMs").u64().unwrap_or(0) <= clock {
                    return refuse("late");
                }
                let text = String::from(body.get("spec").str());
                life.latest.insert(task.clone(), run);
                life.running.insert(task.clone(), Run { run, text, since: Instant::now() });
                self.0.record.add(Event::Start { runner: self.id(), task, run });
                fine
            }
            "/v1/run-stop" => {
                let latest = life.latest.entry(task.clone()).or_default();
                *latest = run.max(*latest);
                if life.running.get(&task).is_some_and(|there| there.run <= run) {
                    let ended = life.end(&task, "stopped").unwrap_or(run);
                    let how = "stopped";
                    self.0.record.add(Event::End { runner: self.id(), task, run: ended, how });
                }
                fine
            }
            "/v1/pace" => fine,
            "/v1/hold" => {
                let seen = body.get("seenUpto").u64().unwrap_or(0);
                life.ended.retain(|(number, ..)| *number > seen);
                let wait = body.get("waitMs").u64().unwrap_or(0).min(2_000);
                drop(guard);
                self.answer_hold(born, Instant::now() + Duration::from_millis(wait))
            }
            _ => Reply::json(404, "{}"),
        }
    }

    /// Waits for an end, and answers with both lists.
    fn answer_hold(&self, born: u64, until: Instant) -> Reply {
        loop {
            let guard = self.0.life.lock().unwrap();
            let Some(life) = guard.as_ref().filter(|life| life.born == born) else {
                return Reply::Close;
            };
            if !life.ended.is_empty() || Instant::now() >= until {
                let running: Vec<String> = life.running.iter().map(row).collect();
                let end = |(number, task, run, how): &(u64, String, u64, &str)| {
                    format!("[{number},\"{task}\",{run},\"{how}\",\"\"]")
                };
                let ended: Vec<String> = life.ended.iter().take(500).map(end).collect();
                let body = format!(
                    "{{\"clockMs\":{},\"born\":{born},\"running\":[{}],\"ended\":[{}]}}",
                    life.clock_ms(),
                    running.join(","),
                    ended.join(",")
                );
                return Reply::json(200, body);
            }
            drop(guard);
            thread::sleep(Duration::from_millis(3));
        }
    }
}

fn row((task, run): (&String, &Run)) -> String {
    let percent = if run.since.elapsed() >= STARTUP { 100 } else { 20 };
    format!("[\"{task}\",{},\"\",{percent},0]", run.run)
}
