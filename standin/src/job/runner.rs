//! Stand-in for a runner: it runs tasks under a lease, checks fencing tokens and reports the runs that
//! have ended.

use {
    super::{Checker, store::Store},
    crate::server::{self, Call, Handle, Reply, lock},
    indexmap::{IndexMap, IndexSet},
    serde_json::{Value, json},
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex},
        time::{Duration, Instant},
    },
    tokio::time::sleep,
};

/// Maximum number of open connections.
const MAX_CONNECTIONS: usize = 64;
/// Time between two checks for ended runs while a poll waits.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Maximum length of the lease.
const MAX_LEASE_MS: u64 = 6_000;
/// Time that a crashed runner needs to restart.
const RESTART_TIME: Duration = Duration::from_millis(800);
/// Text of a job whose tasks crash the runners that start them.
pub const CRASH: &str = "crash";
/// Text of a job whose tasks run until they are stopped.
pub const ENDLESS: &str = "endless";
/// Capacity of a runner in thousandths of a core.
const MILLICORES: u64 = 16_000;

/// Settings of a runner.
#[derive(Clone, Debug)]
pub struct Config {
    /// Name of the runner.
    pub id: String,
    /// Service that the runner serves.
    pub service: String,
    /// VM on which the runner runs.
    pub vm: String,
    /// Time that each task takes.
    pub run_time: Duration,
    /// Thousandths of a core that each task is assumed to need.
    pub millicores: u64,
}

/// A runner; clones share its state.
#[derive(Clone)]
pub struct Runner {
    config: Config,
    checker: Checker,
    state: Arc<Mutex<State>>,
}

#[derive(Default)]
struct State {
    fence: u64,
    lease_until_ms: u64,
    /// Number and start of the current run of each task.
    running: IndexMap<String, (u64, Instant)>,
    /// Running tasks that end only when they are stopped.
    endless: IndexSet<String>,
    /// Highest run of each task that was started or stopped.
    latest_runs: IndexMap<String, u64>,
    /// Ended runs that the owner has not confirmed: number of the end, task, run and how it ended.
    ended: Vec<(u64, String, u64, &'static str)>,
    end_count: u64,
    responses_to_lose: u32,
    /// When the runner started, or will have restarted after its last crash.
    up_at: Option<Instant>,
    crash_count: u64,
    sequence: u64,
}

impl State {
    fn is_down(&self) -> bool {
        self.up_at.is_some_and(|at| Instant::now() < at)
    }

    /// Time since the incarnation began, which is the clock of its leases.
    fn clock_ms(&self) -> u64 {
        self.up_at.map_or(0, |at| Instant::now().saturating_duration_since(at).as_millis() as u64)
    }

    /// Incarnation of the runner.
    fn born(&self) -> u64 {
        self.crash_count + 1
    }
}

impl Runner {
    /// Creates a runner that reports its tasks to `checker`.
    pub fn new(config: Config, checker: Checker) -> Self {
        let state = State { up_at: Some(Instant::now()), ..State::default() };
        Self { config, checker, state: Arc::new(Mutex::new(state)) }
    }

    /// Starts the runner's server.
    pub fn serve(&self, listen: SocketAddr) -> server::Result<Handle> {
        let runner = self.clone();
        server::spawn(listen, MAX_CONNECTIONS, move |call| {
            let runner = runner.clone();
            async move { runner.handle(call).await }
        })
    }

    /// Writes the runner's registration, with a new sequence number, to the store. A runner that is down
    /// writes nothing.
    pub fn register(&self, store: &Store, address: SocketAddr) {
        let (sequence, born) = {
            let mut state = lock(&self.state);
            if state.is_down() {
                return;
            }
            state.sequence += 1;
            (state.sequence, state.born())
        };
        let registration = json!({
            "service": self.config.service, "addr": address.to_string(), "zone": "zone-a",
            "machine": self.config.vm, "version": "v1", "slots": 8, "state": "ready",
            "coldLeftMs": 0, "born": born, "seq": sequence, "labels": ["a", "r1-1"],
            "headroom": { "cpu": MILLICORES, "memMb": 64_000, "gpu": 0 },
        });
        store.put("keyed.servers", &self.config.id, registration.to_string().as_bytes());
    }

    /// Carries out the next `count` requests, except polls, without a response.
    pub fn lose_responses(&self, count: u32) {
        lock(&self.state).responses_to_lose = count;
    }

    /// Restarts the runner: it forgets everything, and is down for a while.
    pub fn restart(&self, down_time: Duration) {
        let mut state = lock(&self.state);
        if !state.is_down() {
            self.forget(&mut state, down_time);
        }
    }

    /// Whether nothing runs on it and it is not down.
    pub fn is_idle(&self) -> bool {
        let state = lock(&self.state);
        state.running.is_empty() && !state.is_down()
    }

    async fn handle(&self, call: Call) -> Reply {
        let expected = call.header::<String>("x-expect-instance");
        if expected.is_some_and(|expected| expected != self.config.id) {
            return Reply::json(421, &json!({}));
        }
        let body: Value = match call.json() {
            Ok(body) => body,
            Err(reply) => return reply,
        };
        if lock(&self.state).is_down() {
            return Reply::Close;
        }
        self.end_due_tasks();
        let number = |name: &str| body[name].as_u64().unwrap_or_default();
        let reply = {
            let mut state = lock(&self.state);
            let clock_ms = state.clock_ms();
            if number("fence") < state.fence {
                return Reply::json(409, &json!({ "clockMs": clock_ms, "reason": "fence" }));
            }
            state.fence = number("fence");
            let until_ms = number("untilMs").min(clock_ms + MAX_LEASE_MS);
            state.lease_until_ms = state.lease_until_ms.max(until_ms);
            match call.uri.path() {
                "/v1/run-start" => Some(self.start(&mut state, &body)),
                "/v1/run-stop" => Some(self.stop(&mut state, &body)),
                "/v1/pace" => Some(Reply::json(200, &json!({ "clockMs": clock_ms }))),
                _ => None,
            }
        };
        match reply {
            Some(reply) => self.deliver(reply),
            None => self.poll(number("seenUpto"), number("waitMs")).await,
        }
    }

    fn deliver(&self, reply: Reply) -> Reply {
        let mut state = lock(&self.state);
        if state.responses_to_lose > 0 {
            state.responses_to_lose -= 1;
            return Reply::Close;
        }
        reply
    }

    fn start(&self, state: &mut State, body: &Value) -> Reply {
        let clock_ms = state.clock_ms();
        let task = body["task"].as_str().unwrap_or_default();
        let run = body["run"].as_u64().unwrap_or_default();
        if state.running.get(task).is_some_and(|(number, _)| *number == run) {
            return Reply::json(200, &json!({ "clockMs": clock_ms }));
        }
        if state.latest_runs.get(task).is_some_and(|latest| *latest >= run) {
            return Reply::json(409, &json!({ "clockMs": clock_ms, "reason": "old" }));
        }
        if state.lease_until_ms <= clock_ms {
            return Reply::json(409, &json!({ "clockMs": clock_ms, "reason": "late" }));
        }
        state.latest_runs.insert(String::from(task), run);
        state.running.insert(String::from(task), (run, Instant::now()));
        if body["spec"] == ENDLESS {
            state.endless.insert(String::from(task));
        }
        if state.running.len() as u64 * self.config.millicores > MILLICORES {
            self.checker.violation(format!("{} has no room for {task}", self.config.id));
        }
        self.checker.started(task, &self.config.id);
        if body["spec"] == CRASH {
            self.crash(state, task);
            return Reply::Close;
        }
        Reply::json(200, &json!({ "clockMs": clock_ms }))
    }

    fn stop(&self, state: &mut State, body: &Value) -> Reply {
        let task = body["task"].as_str().unwrap_or_default();
        let run = body["run"].as_u64().unwrap_or_default();
        let latest = state.latest_runs.entry(String::from(task)).or_default();
        *latest = run.max(*latest);
        if state.running.get(task).is_some_and(|(number, _)| *number <= run) {
            self.end(state, task, "stopped");
        }
        Reply::json(200, &json!({ "clockMs": state.clock_ms() }))
    }

    /// Has a task crash the runner.
    fn crash(&self, state: &mut State, task: &str) {
        self.checker.crashed(task);
        self.forget(state, RESTART_TIME);
    }

    /// Begins another incarnation after `down_time`.
    fn forget(&self, state: &mut State, down_time: Duration) {
        let done = state.ended.iter().filter(|(.., how)| *how == "done");
        let reported: Vec<String> = done.map(|(_, task, ..)| task.clone()).collect();
        self.checker.restarted(&self.config.id, &reported);
        *state = State {
            sequence: state.sequence,
            crash_count: state.crash_count + 1,
            up_at: Some(Instant::now() + down_time),
            ..State::default()
        };
    }

    /// Responds once runs have ended after number `seen`, or when the wait is over.
    async fn poll(&self, seen: u64, wait_ms: u64) -> Reply {
        let until = Instant::now() + Duration::from_millis(wait_ms);
        loop {
            if lock(&self.state).is_down() {
                return Reply::Close;
            }
            self.end_due_tasks();
            if let Some(reply) = self.report(seen, Instant::now() >= until) {
                return reply;
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    fn report(&self, seen: u64, even_if_empty: bool) -> Option<Reply> {
        let mut state = lock(&self.state);
        state.ended.retain(|(number, ..)| *number > seen);
        if state.ended.is_empty() && !even_if_empty {
            return None;
        }
        let running: Vec<Value> =
            state.running.iter().map(|(task, (run, _))| json!([task, run, "", 100, 0])).collect();
        let ended: Vec<Value> = state
            .ended
            .iter()
            .map(|(number, task, run, how)| json!([number, task, run, how, ""]))
            .collect();
        let clock_ms = state.clock_ms();
        let body = json!({ "clockMs": clock_ms, "born": state.born(), "running": running, "ended": ended });
        Some(Reply::json(200, &body))
    }

    /// Ends the tasks that are done, and every task once the lease has expired.
    fn end_due_tasks(&self) {
        let mut state = lock(&self.state);
        let expired = state.lease_until_ms <= state.clock_ms();
        let due: Vec<String> = state
            .running
            .iter()
            .filter(|(task, (_, started))| {
                let is_done = started.elapsed() >= self.config.run_time;
                expired || is_done && !state.endless.contains(*task)
            })
            .map(|(task, _)| task.clone())
            .collect();
        for task in due {
            self.end(&mut state, &task, if expired { "lapsed" } else { "done" });
        }
    }

    fn end(&self, state: &mut State, task: &str, how: &'static str) {
        let Some((run, _)) = state.running.swap_remove(task) else { return };
        state.endless.swap_remove(task);
        state.end_count += 1;
        let number = state.end_count;
        state.ended.push((number, String::from(task), run, how));
        self.checker.ended(task, &self.config.id, how == "done");
    }
}
