//! Supervisor of a daemon's parts, each of which runs in a thread of its own.
//!
//! A part that fails or panics is restarted after a delay that doubles. A part that fails
//! [`MAX_RESTARTS`] times within [`WINDOW`], or whose policy is [`Policy::Escalate`], ends the whole
//! tree: the other parts are asked to stop, last started first, and the tree returns the first
//! failure.

use {
    crossbeam::channel::{Receiver, Sender, bounded, unbounded},
    displaydoc::Display,
    log::{info, warn},
    std::{
        collections::VecDeque,
        panic::{AssertUnwindSafe, catch_unwind},
        result,
        sync::Arc,
        thread::{Builder, JoinHandle},
        time::{Duration, Instant},
    },
};

/// Failures within [`WINDOW`] after which a part is not restarted.
pub const MAX_RESTARTS: usize = 5;
/// Sliding window over which failures are counted.
pub const WINDOW: Duration = Duration::from_secs(30);
/// Delay before the first restart.
const MIN_RESTART_DELAY: Duration = Duration::from_millis(100);
/// Longest delay before a restart.
const MAX_RESTART_DELAY: Duration = Duration::from_secs(5);

/// Why a part or the tree ended.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Error {
    /// part {part} failed: {cause}
    Failed {
        /// Name of the part.
        part: String,
        /// Cause.
        cause: String,
    },
    /// part {part} failed {times} times, last: {cause}
    TooManyFailures {
        /// Name of the part.
        part: String,
        /// Failures counted.
        times: usize,
        /// Last cause.
        cause: String,
    },
    /// start part {part}: {cause}
    Start {
        /// Name of the part.
        part: String,
        /// Cause.
        cause: String,
    },
}

impl std::error::Error for Error {}

/// Result of a part or of the tree.
pub type Result<T> = result::Result<T, Error>;

/// Signal that asks a part to stop.
#[derive(Clone)]
pub struct Stop {
    receiver: Receiver<()>,
}

impl Stop {
    /// Returns whether the part should stop.
    pub fn asked(&self) -> bool {
        matches!(self.receiver.try_recv(), Err(crossbeam::channel::TryRecvError::Disconnected))
    }

    /// Waits up to `pause`; returns whether the part should stop.
    pub fn wait(&self, pause: Duration) -> bool {
        matches!(
            self.receiver.recv_timeout(pause),
            Err(crossbeam::channel::RecvTimeoutError::Disconnected)
        )
    }

    /// Returns the channel that is disconnected when the part should stop.
    pub fn channel(&self) -> &Receiver<()> {
        &self.receiver
    }
}

/// What the supervisor does after a part's failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// Restarts the part, which holds no state that would be lost.
    Restart,
    /// Ends the tree, since the state that the part held in memory is lost.
    Escalate,
}

/// Function of a part. It returns `Ok` once it is asked to stop, and an error if it fails.
pub type Run = Arc<dyn Fn(&Stop) -> result::Result<(), String> + Send + Sync>;

/// One part of the tree.
pub struct Part {
    /// Name of the part and of its thread.
    pub name: &'static str,
    /// What happens after its failure.
    pub policy: Policy,
    /// Function that runs until it is asked to stop or fails.
    pub run: Run,
}

struct Running {
    name: &'static str,
    stop: Option<Sender<()>>,
    thread: JoinHandle<()>,
}

/// A running tree of parts.
pub struct Tree {
    running: Vec<Running>,
    ends: Receiver<Result<&'static str>>,
}

impl Tree {
    /// Starts the parts in order.
    pub fn start(parts: Vec<Part>) -> Result<Self> {
        let (report, ends) = unbounded();
        let mut tree = Self { running: Vec::new(), ends };
        for part in parts {
            match spawn(part, report.clone()) {
                Ok(running) => tree.running.push(running),
                Err(error) => {
                    tree.stop();
                    return Err(error);
                }
            }
        }
        Ok(tree)
    }

    /// Waits until a part ends, then stops the others; returns the first failure.
    pub fn join(mut self) -> Result<()> {
        let first = self.ends.recv();
        self.stop();
        match first {
            Ok(Ok(name)) => {
                info!("supervise: Part {name} ended.");
                Ok(())
            }
            Ok(Err(error)) => Err(error),
            Err(_) => Ok(()),
        }
    }

    /// Stops the parts, the last started first.
    fn stop(&mut self) {
        while let Some(mut last) = self.running.pop() {
            drop(last.stop.take());
            if last.thread.join().is_err() {
                warn!("supervise: Thread of part {} panicked.", last.name);
            }
        }
    }
}

fn spawn(part: Part, report: Sender<Result<&'static str>>) -> Result<Running> {
    let (sender, receiver) = bounded(0);
    let stop = Stop { receiver };
    let name = part.name;
    let thread = Builder::new()
        .name(name.to_string())
        .spawn(move || {
            // Sending fails only if the tree has already ended.
            let _ = report.send(run_supervised(&part, &stop));
        })
        .map_err(|e| Error::Start { part: name.to_string(), cause: e.to_string() })?;
    Ok(Running { name, stop: Some(sender), thread })
}

/// Runs a part and restarts it after failures according to its policy.
fn run_supervised(part: &Part, stop: &Stop) -> Result<&'static str> {
    let mut failures = VecDeque::new();
    let mut pause = MIN_RESTART_DELAY;
    loop {
        let Err(cause) = run_once(part, stop) else {
            return Ok(part.name);
        };
        let named = part.name.to_string();
        if part.policy == Policy::Escalate {
            return Err(Error::Failed { part: named, cause });
        }
        let now = Instant::now();
        failures.push_back(now);
        while failures.front().is_some_and(|t| now.duration_since(*t) > WINDOW) {
            failures.pop_front();
        }
        if failures.len() == 1 {
            pause = MIN_RESTART_DELAY;
        }
        if failures.len() >= MAX_RESTARTS {
            return Err(Error::TooManyFailures { part: named, times: failures.len(), cause });
        }
        warn!("supervise: Part {named} failed: {cause}; restarting in {pause:?}.");
        if stop.wait(pause) {
            return Ok(part.name);
        }
        pause = (pause * 2).min(MAX_RESTART_DELAY);
    }
}

/// Runs a part until it returns; a panic counts as a failure.
fn run_once(part: &Part, stop: &Stop) -> result::Result<(), String> {
    catch_unwind(AssertUnwindSafe(|| (part.run)(stop))).unwrap_or_else(|panic| {
        let text = panic
            .downcast_ref::<&str>()
            .map(|s| s.to_string())
            .or_else(|| panic.downcast_ref::<String>().cloned());
        Err(format!("panicked: {}", text.unwrap_or_default()))
    })
}
