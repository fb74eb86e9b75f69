//! Stand-in for one life of a runner. It keeps a lease, a fence and the list of ended runs.
//!
//! What a run does follows from the text of its job: `work=MS` ends as done after that time, `lasts` runs
//! until it is stopped and is at work after [`STARTUP`].

use crate::{
    http::{self, Request, Response, json},
    json::{field, number},
    record::Record,
};
use std::{
    collections::{BTreeMap, HashMap},
    net::{SocketAddr, TcpListener},
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, Ordering},
    },
    thread::sleep,
    time::{Duration, Instant},
};

/// Longest lease (`holdMaxMs`).
const MAX_LEASE_MS: u64 = 6_000;
/// Time until a run that lasts is at work.
const STARTUP: Duration = Duration::from_millis(300);

/// A run of a work item.
#[derive(Clone)]
pub struct Run {
    pub number: u64,
    pub begun: Instant,
    pub text: String,
}

impl Run {
    fn percent(&self) -> u64 {
        if self.text == "lasts" {
            if self.begun.elapsed() >= STARTUP { 100 } else { 0 }
        } else {
            50
        }
    }

    fn is_done(&self) -> bool {
        let work = self.text.strip_prefix("work=").and_then(|ms| ms.parse().ok());
        work.is_some_and(|ms| self.begun.elapsed() >= Duration::from_millis(ms))
    }

    /// Whether it is at work.
    pub fn is_at_work(&self) -> bool {
        self.percent() == 100
    }
}

#[derive(Default)]
struct State {
    fence: u64,
    lease_until_ms: u64,
    running: BTreeMap<String, Run>,
    latest: HashMap<String, u64>,
    ended: Vec<(u64, String, u64, &'static str)>,
    ends: u64,
}

/// One life of a runner.
pub struct Runner {
    pub id: String,
    pub machine: String,
    pub address: SocketAddr,
    pub born_ms: u64,
    begun: Instant,
    dead: AtomicBool,
    state: Mutex<State>,
    record: Arc<Record>,
}

impl Runner {
    /// Starts a life of a runner.
    pub fn start(id: &str, machine: &str, born_ms: u64, record: &Arc<Record>) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("port of a runner");
        let runner = Arc::new(Self {
            id: String::from(id),
            machine: String::from(machine),
            address: listener.local_addr().expect("address of a runner"),
            born_ms,
            begun: Instant::now(),
            dead: AtomicBool::new(false),
            state: Mutex::default(),
            record: Arc::clone(record),
        });
        record.note(format!("runner {id} starts on machine {machine}"));
        let (serving, ended) = (Arc::clone(&runner), Arc::clone(&runner));
        let is_dead = Arc::new(move || ended.is_dead());
        http::serve(listener, is_dead, Arc::new(move |request| serving.handle(request)));
        runner
    }

    /// Whether this life has ended.
    pub fn is_dead(&self) -> bool {
        self.dead.load(Ordering::SeqCst)
    }

    /// Ends this life; everything that runs on it ends, and is returned.
    pub fn kill(&self, why: &str) -> BTreeMap<String, Run> {
        self.settle();
        self.dead.store(true, Ordering::SeqCst);
        let runs = std::mem::take(&mut self.state().running);
        let names: Vec<String> =
            runs.iter().map(|(task, run)| format!("{task}/{}", run.number)).collect();
        self.record.note(format!("runner {} ends ({why}), with [{}]", self.id, names.join(" ")));
        runs
    }

    /// What runs on it now.
    pub fn running(&self) -> BTreeMap<String, Run> {
        self.settle();
        self.state().running.clone()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("runner")
    }

    fn clock_ms(&self) -> u64 {
        self.begun.elapsed().as_millis() as u64
    }

    /// Ends what is done, and everything once the lease has expired.
    fn settle(&self) {
        let clock_ms = self.clock_ms();
        let mut state = self.state();
        let lapsed = state.lease_until_ms <= clock_ms;
        let due = |run: &Run| lapsed || run.is_done();
        let due: Vec<String> = state
            .running
            .iter()
            .filter(|(_, run)| due(run))
            .map(|(task, _)| task.clone())
            .collect();
        for task in due {
            let done = state.running[&task].is_done();
            self.end(&mut state, &task, if done { "done" } else { "lapsed" });
        }
    }

    fn end(&self, state: &mut State, task: &str, how: &'static str) {
        let Some(run) = state.running.remove(task) else { return };
        state.ends += 1;
        let entry = (state.ends, String::from(task), run.number, how);
        state.ended.push(entry);
        self.record.note(format!("end {task} run {} on {}: {how}", run.number, self.id));
    }

    fn handle(&self, request: &Request) -> Response {
        let expected = request.headers.get("x-expect-instance");
        if expected.is_some_and(|expected| *expected != self.id) {
            return json(421, "{}");
        }
        self.settle();
        let (clock_ms, body) = (self.clock_ms(), &request.body);
        let refuse =
            |reason: &str| json(409, format!("{{\"clockMs\":{clock_ms},\"reason\":\"{reason}\"}}"));
        let mut state = self.state();
        let fence = number(body, "fence");
        if fence < state.fence {
            return refuse("fence");
        }
        state.fence = fence;
        let until_ms = number(body, "untilMs").min(clock_ms + MAX_LEASE_MS);
        state.lease_until_ms = state.lease_until_ms.max(until_ms);
        let task = field(body, "task").unwrap_or_default();
        let run = number(body, "run");
        match request.path.as_str() {
            "/v1/run-start" => {
                if state.running.get(&task).is_some_and(|known| known.number == run) {
                    return json(200, format!("{{\"clockMs\":{clock_ms}}}"));
                }
                if state.latest.get(&task).is_some_and(|latest| *latest >= run) {
                    return refuse("old");
                }
                if state.lease_until_ms <= clock_ms {
                    return refuse("late");
                }
                let text = field(body, "spec").unwrap_or_default();
                state.latest.insert(task.clone(), run);
                state
                    .running
                    .insert(task.clone(), Run { number: run, begun: Instant::now(), text });
                self.record.note(format!("start {task} run {run} on {} fence {fence}", self.id));
                json(200, format!("{{\"clockMs\":{clock_ms}}}"))
            }
            "/v1/run-stop" => {
                let latest = state.latest.entry(task.clone()).or_default();
                *latest = run.max(*latest);
                if state.running.get(&task).is_some_and(|known| known.number <= run) {
                    self.end(&mut state, &task, "stopped");
                }
                json(200, format!("{{\"clockMs\":{clock_ms}}}"))
            }
            "/v1/pace" => json(200, format!("{{\"clockMs\":{clock_ms}}}")),
            "/v1/hold" => {
                drop(state);
                self.hold(number(body, "seenUpto"), number(body, "waitMs"))
            }
            _ => json(404, "{}"),
        }
    }

    fn hold(&self, seen: u64, wait_ms: u64) -> Response {
        let until = Instant::now() + Duration::from_millis(wait_ms);
        loop {
            if self.is_dead() {
                return Response::Close;
            }
            self.settle();
            let mut state = self.state();
            state.ended.retain(|(number, ..)| *number > seen);
            if !state.ended.is_empty() || Instant::now() >= until {
                return json(200, self.report(&state));
            }
            drop(state);
            sleep(Duration::from_millis(3));
        }
    }

    fn report(&self, state: &State) -> String {
        let row = |(task, run): (&String, &Run)| {
            format!("[\"{task}\",{},\"\",{},0]", run.number, run.percent())
        };
        let running: Vec<String> = state.running.iter().map(row).collect();
        let row = |(number, task, run, how): &(u64, String, u64, &str)| {
            format!("[{number},\"{task}\",{run},\"{how}\",\"\"]")
        };
        let ended: Vec<String> = state.ended.iter().map(row).collect();
        let (running, ended) = (running.join(","), ended.join(","));
        let (clock_ms, born_ms) = (self.clock_ms(), self.born_ms);
        format!(
            "{{\"clockMs\":{clock_ms},\"born\":{born_ms},\"running\":[{running}],\"ended\":[{ended}]}}"
        )
    }
}
