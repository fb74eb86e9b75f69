//! Stand-in for a runner: one process is one incarnation.
//!
//! It keeps the highest fence, a lease on its own clock, the runs that were stopped or have ended, and
//! the ends that the caller has not taken note of (`seenUpto`), as PROTOCOL.md says. `spec` is the time
//! that a work item takes in milliseconds; without a number it lasts, and is at work at once. Each event goes to a file as one line.

use {
    crate::{
        store::frame,
        wire::{self, Json, Reply, Request, unix_ms},
    },
    std::{
        collections::BTreeMap,
        fs::{File, OpenOptions},
        io::Write,
        net::SocketAddr,
        path::Path,
        sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError},
        thread,
        time::{Duration, Instant},
    },
};

/// Longest lease (`holdMaxMs`).
const MAX_LEASE_MS: u64 = 6_000;
/// Interval of the check-ins.
const CHECK_IN: Duration = Duration::from_millis(1_500);

pub struct Config {
    pub listen: SocketAddr,
    pub store: SocketAddr,
    pub id: String,
    pub service: String,
    pub machine: String,
    /// First label: the runner's kind.
    pub kind: String,
    pub events: String,
}

struct Run {
    number: u64,
    /// When it is done; `None` if it lasts.
    ends_at: Option<Instant>,
}

#[derive(Default)]
struct State {
    fence: u64,
    lease_until_ms: u64,
    running: BTreeMap<String, Run>,
    /// Highest run of each work item that was stopped or has ended.
    highest: BTreeMap<String, u64>,
    /// Ends: number, work item, run and how.
    ended: Vec<(u64, String, u64, &'static str)>,
    count: u64,
    /// Ends up to this number were listed when the lease was over at some time since.
    lapsed_through: u64,
}

struct Runner {
    config: Config,
    born: u64,
    started: Instant,
    state: Mutex<State>,
    changed: Condvar,
    events: Mutex<File>,
}

impl Runner {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn clock_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    fn event(&self, text: &str) {
        let line = format!("{} {} {} {text}\n", unix_ms(), self.config.id, self.born);
        let mut file = self.events.lock().unwrap_or_else(PoisonError::into_inner);
        let _ = file.write_all(line.as_bytes());
    }

    fn register(&self, sequence: u64) {
        let Config { id, service, listen, machine, kind, .. } = &self.config;
        let entry = format!(
            "{{\"service\":\"{service}\",\"addr\":\"{listen}\",\"zone\":\"zone-a\",\"version\":\"v1\",\
             \"slots\":8,\"state\":\"ready\",\"coldLeftMs\":0,\"headroom\":{{\"cpu\":16000,\"memMb\":32768,\
             \"gpu\":0}},\"labels\":[\"{kind}\",\"r1-1\"],\"machine\":\"{machine}\",\"born\":{},\
             \"clockMs\":{},\"seq\":{sequence}}}",
            self.born,
            self.clock_ms()
        );
        let path = "/v1/log-append?topic=keyed.servers&part=0";
        let body = frame(id, entry.as_bytes());
        wire::call(self.config.store, "POST", path, &[], &body, Duration::from_secs(1));
    }

    fn end(&self, state: &mut State, task: &str, how: &'static str) {
        let Some(run) = state.running.remove(task) else { return };
        state.count += 1;
        let highest = state.highest.entry(String::from(task)).or_default();
        *highest = run.number.max(*highest);
        state.ended.push((state.count, String::from(task), run.number, how));
        self.event(&format!("end {task} {} {how} {}", run.number, state.count));
        self.changed.notify_all();
    }

    /// Ends the work items that are done, and all of them once the lease is over.
    fn end_due(&self) {
        let mut state = self.lock();
        let now = Instant::now();
        let lapsed = state.lease_until_ms <= self.clock_ms();
        if lapsed {
            state.lapsed_through = state.count;
        }
        let due: Vec<String> = state
            .running
            .iter()
            .filter(|(_, run)| lapsed || run.ends_at.is_some_and(|at| at <= now))
            .map(|(task, _)| task.clone())
            .collect();
        for task in due {
            self.end(&mut state, &task, if lapsed { "lapsed" } else { "done" });
        }
    }

    fn handle(&self, request: Request) -> Option<Reply> {
        if request.path == "/health" {
            return Some((200, Vec::new()));
        }
        if request.header("x-expect-instance").is_some_and(|id| id != self.config.id) {
            return Some((421, b"{}".to_vec()));
        }
        let Some(body) = Json::parse(&request.body) else { return Some((400, b"{}".to_vec())) };
        let fence = body.number("fence").unwrap_or_default();
        let mut state = self.lock();
        if fence < state.fence {
            return Some(self.rejected("fence"));
        }
        state.fence = fence;
        let until = body.number("untilMs").unwrap_or_default().min(self.clock_ms() + MAX_LEASE_MS);
        state.lease_until_ms = state.lease_until_ms.max(until);
        match request.path.as_str() {
            "/v1/run-start" => Some(self.start(&mut state, &body)),
            "/v1/run-stop" => {
                let (task, run) = (body.text("task"), body.number("run").unwrap_or_default());
                let highest = state.highest.entry(String::from(task)).or_default();
                *highest = run.max(*highest);
                if state.running.get(task).is_some_and(|known| known.number <= run) {
                    self.end(&mut state, task, "stopped");
                }
                Some((200, format!("{{\"clockMs\":{}}}", self.clock_ms()).into_bytes()))
            }
            "/v1/pace" => Some((200, format!("{{\"clockMs\":{}}}", self.clock_ms()).into_bytes())),
            "/v1/hold" => Some(self.hold(state, &body)),
            _ => Some((404, b"{}".to_vec())),
        }
    }

    fn rejected(&self, reason: &str) -> Reply {
        let body = format!("{{\"clockMs\":{},\"reason\":\"{reason}\"}}", self.clock_ms());
        (409, body.into_bytes())
    }

    fn start(&self, state: &mut State, body: &Json) -> Reply {
        let (task, run) = (body.text("task"), body.number("run").unwrap_or_default());
        if state.running.get(task).is_none_or(|known| known.number != run) {
            let highest = state.highest.get(task).copied().unwrap_or_default();
            if run <= highest || state.running.contains_key(task) {
                return self.rejected("old");
            }
            if state.lease_until_ms <= self.clock_ms() {
                return self.rejected("late");
            }
            let work = body.text("spec").parse().ok().map(Duration::from_millis);
            let ends_at = work.map(|work| Instant::now() + work);
            state.running.insert(String::from(task), Run { number: run, ends_at });
            self.event(&format!("start {task} {run} kind={}", self.config.kind));
        }
        (200, format!("{{\"clockMs\":{}}}", self.clock_ms()).into_bytes())
    }

    /// Forgets the ends up to `seenUpto`, then waits for an end if the caller asks for it.
    fn hold(&self, mut state: MutexGuard<'_, State>, body: &Json) -> Reply {
        let seen = body.number("seenUpto").unwrap_or_default();
        let forgotten: Vec<String> = state
            .ended
            .iter()
            .filter(|(number, ..)| *number <= seen)
            .map(|(number, task, run, how)| {
                let lapsed = *number <= state.lapsed_through;
                format!("{task}:{run}:{how}:{}", if lapsed { "lapsed" } else { "held" })
            })
            .collect();
        if !forgotten.is_empty() {
            self.event(&format!("seen {seen} {}", forgotten.join(",")));
        }
        state.ended.retain(|(number, ..)| *number > seen);
        let wait = body.number("waitMs").unwrap_or_default().min(2_000);
        let until = Instant::now() + Duration::from_millis(wait);
        loop {
            let left = until.saturating_duration_since(Instant::now());
            if !state.ended.is_empty() || left.is_zero() {
                break;
            }
            let waited = self.changed.wait_timeout(state, left);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
        let running: Vec<String> = state
            .running
            .iter()
            .map(|(task, run)| format!("[\"{task}\",{},\"\",100,0]", run.number))
            .collect();
        let ended: Vec<String> = state
            .ended
            .iter()
            .map(|(number, task, run, how)| format!("[{number},\"{task}\",{run},\"{how}\",\"\"]"))
            .collect();
        let body = format!(
            "{{\"clockMs\":{},\"born\":{},\"running\":[{}],\"ended\":[{}]}}",
            self.clock_ms(),
            self.born,
            running.join(","),
            ended.join(",")
        );
        (200, body.into_bytes())
    }
}

/// Serves until the process is killed.
pub fn run(config: Config) {
    let events = OpenOptions::new().create(true).append(true).open(Path::new(&config.events));
    let events = events.unwrap_or_else(|e| {
        eprintln!("open {}: {e}", config.events);
        std::process::exit(2)
    });
    let listen = config.listen;
    let runner = Arc::new(Runner {
        config,
        born: unix_ms(),
        started: Instant::now(),
        state: Mutex::default(),
        changed: Condvar::new(),
        events: Mutex::new(events),
    });
    runner.event("born");
    let other = Arc::clone(&runner);
    thread::spawn(move || {
        loop {
            other.end_due();
            thread::sleep(Duration::from_millis(3));
        }
    });
    let other = Arc::clone(&runner);
    thread::spawn(move || {
        thread::sleep(Duration::from_millis(10));
        for sequence in 1.. {
            other.register(sequence);
            thread::sleep(CHECK_IN);
        }
    });
    wire::serve(listen, move |request| runner.handle(request));
}
