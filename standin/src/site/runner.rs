//! A runner: tasks under leases, fences, and a list of ends.

use {
    super::{Judge, store::Store},
    crate::server::{self, Call, Handle, Reply, lock},
    indexmap::IndexMap,
    serde_json::{Value, json},
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex},
        time::{Duration, Instant},
    },
    tokio::time::sleep,
};

/// Connections that a runner lets be open.
const CONNECTIONS: usize = 64;
/// Time between two looks at what has ended.
const PAUSE: Duration = Duration::from_millis(5);
/// Longest lease.
const LONGEST_LEASE_MS: u64 = 6_000;
/// Thousandths of a core that a runner has.
const MILLICORES: u64 = 16_000;

/// What a runner is.
#[derive(Clone, Debug)]
pub struct Config {
    /// Name.
    pub id: String,
    /// Service.
    pub service: String,
    /// VM.
    pub machine: String,
    /// Time that each task takes.
    pub run_time: Duration,
    /// Thousandths of a core that each task is counted with.
    pub millicores: u64,
}

/// A runner.
#[derive(Clone)]
pub struct Runner {
    config: Config,
    judge: Judge,
    inner: Arc<Mutex<Inner>>,
    born: Instant,
}

#[derive(Default)]
struct Inner {
    fence: u64,
    lease_ms: u64,
    running: IndexMap<String, (u64, Instant)>,
    highest: IndexMap<String, u64>,
    ended: Vec<(u64, String, u64, &'static str)>,
    ends: u64,
    losing: u32,
    sequence: u64,
}

impl Runner {
    /// Runner of `config` that tells `judge` what it sees.
    pub fn new(config: Config, judge: Judge) -> Self {
        Self { config, judge, inner: Arc::default(), born: Instant::now() }
    }

    /// Starts serving.
    pub fn serve(&self, listen: SocketAddr) -> server::Result<Handle> {
        let runner = self.clone();
        server::spawn(listen, CONNECTIONS, move |call| {
            let runner = runner.clone();
            async move { runner.answer(call).await }
        })
    }

    /// Registers the runner in the store.
    pub fn register(&self, store: &Store, address: SocketAddr) {
        let sequence = {
            let mut inner = lock(&self.inner);
            inner.sequence += 1;
            inner.sequence
        };
        let entry = json!({
            "service": self.config.service, "addr": address.to_string(), "zone": "zone-a",
            "machine": self.config.machine, "version": "v1", "slots": 8, "state": "ready",
            "coldLeftMs": 0, "born": 1, "seq": sequence, "labels": ["a", "r1-1"],
            "headroom": { "cpu": MILLICORES, "memMb": 64_000, "gpu": 0 },
        });
        store.put("keyed.servers", &self.config.id, entry.to_string().as_bytes());
    }

    /// Carries out the next `count` orders without an answer.
    pub fn lose_answers(&self, count: u32) {
        lock(&self.inner).losing = count;
    }

    fn clock_ms(&self) -> u64 {
        self.born.elapsed().as_millis() as u64
    }

    async fn answer(&self, call: Call) -> Reply {
        let expected = call.header::<String>("x-expect-instance");
        if expected.is_some_and(|expected| expected != self.config.id) {
            return Reply::json(421, &json!({}));
        }
        let body: Value = match call.json() {
            Ok(body) => body,
            Err(reply) => return reply,
        };
        self.advance();
        let number = |name: &str| body[name].as_u64().unwrap_or_default();
        let reply = {
            let mut inner = lock(&self.inner);
            let clock_ms = self.clock_ms();
            if number("fence") < inner.fence {
                return Reply::json(409, &json!({ "clockMs": clock_ms, "reason": "fence" }));
            }
            inner.fence = number("fence");
            let until_ms = number("untilMs").min(clock_ms + LONGEST_LEASE_MS);
            inner.lease_ms = inner.lease_ms.max(until_ms);
            match call.uri.path() {
                "/v1/run-start" => Some(self.start(&mut inner, &body)),
                "/v1/run-stop" => Some(self.stop(&mut inner, &body)),
                "/v1/pace" => Some(Reply::json(200, &json!({ "clockMs": clock_ms }))),
                _ => None,
            }
        };
        match reply {
            Some(reply) => self.deliver(reply),
            None => self.hold(number("seenUpto"), number("waitMs")).await,
        }
    }

    fn deliver(&self, reply: Reply) -> Reply {
        let mut inner = lock(&self.inner);
        if inner.losing > 0 {
            inner.losing -= 1;
            return Reply::Close;
        }
        reply
    }

    fn start(&self, inner: &mut Inner, body: &Value) -> Reply {
        let clock_ms = self.clock_ms();
        let task = body["task"].as_str().unwrap_or_default();
        let run = body["run"].as_u64().unwrap_or_default();
        if inner.running.get(task).is_some_and(|(number, _)| *number == run) {
            return Reply::json(200, &json!({ "clockMs": clock_ms }));
        }
        if inner.highest.get(task).is_some_and(|highest| *highest >= run) {
            return Reply::json(409, &json!({ "clockMs": clock_ms, "reason": "old" }));
        }
        if inner.lease_ms <= clock_ms {
            return Reply::json(409, &json!({ "clockMs": clock_ms, "reason": "late" }));
        }
        inner.highest.insert(String::from(task), run);
        inner.running.insert(String::from(task), (run, Instant::now()));
        if inner.running.len() as u64 * self.config.millicores > MILLICORES {
            self.judge.broken(format!("{} has no room for {task}", self.config.id));
        }
        self.judge.begun(task, &self.config.id);
        Reply::json(200, &json!({ "clockMs": clock_ms }))
    }

    fn stop(&self, inner: &mut Inner, body: &Value) -> Reply {
        let task = body["task"].as_str().unwrap_or_default();
        let run = body["run"].as_u64().unwrap_or_default();
        let highest = inner.highest.entry(String::from(task)).or_default();
        *highest = run.max(*highest);
        if inner.running.get(task).is_some_and(|(number, _)| *number <= run) {
            self.end(inner, task, "stopped");
        }
        Reply::json(200, &json!({ "clockMs": self.clock_ms() }))
    }

    async fn hold(&self, seen: u64, wait_ms: u64) -> Reply {
        let until = Instant::now() + Duration::from_millis(wait_ms);
        loop {
            self.advance();
            if let Some(reply) = self.report(seen, Instant::now() >= until) {
                return reply;
            }
            sleep(PAUSE).await;
        }
    }

    fn report(&self, seen: u64, now: bool) -> Option<Reply> {
        let mut inner = lock(&self.inner);
        inner.ended.retain(|(number, ..)| *number > seen);
        if inner.ended.is_empty() && !now {
            return None;
        }
        let running: Vec<Value> =
            inner.running.iter().map(|(task, (run, _))| json!([task, run, "", 100, 0])).collect();
        let ended: Vec<Value> = inner
            .ended
            .iter()
            .map(|(number, task, run, how)| json!([number, task, run, how, ""]))
            .collect();
        let clock_ms = self.clock_ms();
        let body = json!({ "clockMs": clock_ms, "born": 1, "running": running, "ended": ended });
        Some(Reply::json(200, &body))
    }

    /// Ends what is done, and all that runs once the lease has lapsed.
    fn advance(&self) {
        let mut inner = lock(&self.inner);
        let lapsed = inner.lease_ms <= self.clock_ms();
        let due: Vec<String> = inner
            .running
            .iter()
            .filter(|(_, (_, begun))| lapsed || begun.elapsed() >= self.config.run_time)
            .map(|(task, _)| task.clone())
            .collect();
        for task in due {
            self.end(&mut inner, &task, if lapsed { "lapsed" } else { "done" });
        }
    }

    fn end(&self, inner: &mut Inner, task: &str, how: &'static str) {
        let Some((run, _)) = inner.running.swap_remove(task) else { return };
        inner.ends += 1;
        let number = inner.ends;
        inner.ended.push((number, String::from(task), run, how));
        self.judge.ended(task, &self.config.id, how == "done");
    }
}
