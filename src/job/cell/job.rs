//! A job and its tasks, as the owner knows them.

use {
    super::RunnerId,
    crate::job::{
        ledger::{self, Outcome},
        manifest::Queue,
        spec::{Spec, Step, Task},
    },
    std::{
        rc::Rc,
        time::{Duration, Instant},
    },
};

/// Time that a start and the news of an end take beside the work itself.
const OVERHEAD: Duration = Duration::from_millis(50);

/// A job.
#[derive(Clone, Debug)]
pub struct Job {
    /// Queue it was submitted to.
    pub queue: Rc<str>,
    /// Service whose runners run it.
    pub service: Rc<str>,
    /// The job as submitted; its steps are dropped once it has ended.
    pub spec: Rc<Spec>,
    /// When it was accepted, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// When this owner first heard of it, less its age.
    pub since: Instant,
    /// Time by which it should be complete.
    pub due: Instant,
    /// Estimated time that its unfinished steps still take in a row.
    pub remaining: Duration,
    /// Precedence; 0 comes first.
    pub priority: u32,
    /// Tasks of each step.
    pub steps: Vec<Vec<State>>,
    /// Tasks of each step that are not done.
    pub left: Vec<u32>,
    /// How it stands.
    pub outcome: Outcome,
    /// How it stands by what the ledger has stored.
    pub shown: Outcome,
    /// Whether a task of it has started.
    pub started: bool,
    /// Whether its caller's answer still waits for the ledger.
    pub stored: bool,
}

/// A task.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct State {
    /// Where it is.
    pub status: Status,
    /// Number of its last run.
    pub run: u32,
    /// Runs that failed.
    pub failures: u32,
    /// Newest checkpoint, or empty.
    pub checkpoint: String,
    /// Runner on which its last run failed.
    pub failed_on: Option<RunnerId>,
}

/// Where a task is.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum Status {
    /// Waits for a runner, or for earlier steps.
    #[default]
    Waiting,
    /// Its last run is on a runner, or may be.
    Placed(Placement),
    /// Is done.
    Done,
}

impl State {
    /// Since when its run is on a runner, if it is on one.
    pub fn begun(&self) -> Option<Instant> {
        match &self.status {
            Status::Placed(placement) => Some(placement.since),
            Status::Waiting | Status::Done => None,
        }
    }
}

/// A run on a runner.
#[derive(Clone, Debug, PartialEq)]
pub struct Placement {
    /// Runner.
    pub runner: RunnerId,
    /// How far the run is.
    pub phase: Phase,
    /// Since when.
    pub since: Instant,
    /// Share at which the runner says that it works, in percent.
    pub percent: u32,
}

/// How far a run is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The ledger has not stored it yet.
    Planned,
    /// The start is on its way.
    Sent,
    /// Found in the ledger by a new owner.
    Restored,
    /// The start got no answer.
    Unsure,
    /// Runs.
    Running,
    /// A stop is on its way.
    Stopping,
    /// The runner has taken the stop.
    Stopped,
}

impl Job {
    /// Job of `spec` that was accepted `age` before `now`.
    pub fn new(spec: Rc<Spec>, queue: &Queue, at_ms: u64, now: Instant, age: Duration) -> Self {
        let since = now.checked_sub(age).unwrap_or(now);
        let stretch = queue.stretch.clamp(1.0, 1_000.0);
        let steps = spec.steps.iter().map(|step| vec![State::default(); step.tasks as usize]);
        Self {
            queue: Rc::from(queue.name.as_str()),
            service: Rc::from(queue.service.as_str()),
            at_ms,
            since,
            due: since + spec.chain().mul_f64(stretch) + queue.slack,
            remaining: spec.chain(),
            priority: queue.priority,
            steps: steps.collect(),
            left: spec.steps.iter().map(|step| step.tasks).collect(),
            outcome: Outcome::Open,
            shown: Outcome::Open,
            started: false,
            stored: false,
            spec,
        }
    }

    /// State of a task, if the job has it.
    pub fn task(&self, task: &Task) -> Option<&State> {
        if task.occurrence != 0 {
            return None;
        }
        self.steps.get(usize::from(task.step))?.get(usize::from(task.index))
    }

    /// State of a task, to be changed.
    pub fn task_mut(&mut self, task: &Task) -> Option<&mut State> {
        if task.occurrence != 0 {
            return None;
        }
        self.steps.get_mut(usize::from(task.step))?.get_mut(usize::from(task.index))
    }

    /// Step of a task.
    pub fn step(&self, task: &Task) -> Option<&Step> {
        self.spec.steps.get(usize::from(task.step))
    }

    /// Whether every step before `step` is done.
    pub fn ready(&self, step: &Step) -> bool {
        step.after.iter().all(|&before| self.left.get(usize::from(before)) == Some(&0))
    }

    /// Counts a task of a step as done.
    pub fn count_done(&mut self, step: usize) {
        let Some(left) = self.left.get_mut(step) else { return };
        *left = left.saturating_sub(1);
        if *left == 0 {
            self.remaining = self.estimate_remaining();
        }
    }

    fn estimate_remaining(&self) -> Duration {
        let mut ends: Vec<Duration> = Vec::with_capacity(self.spec.steps.len());
        for (step, left) in self.spec.steps.iter().zip(&self.left) {
            let before = step.after.iter().filter_map(|&a| ends.get(usize::from(a))).max();
            let own = if *left == 0 { Duration::ZERO } else { step.estimate };
            ends.push(before.copied().unwrap_or_default() + own);
        }
        ends.into_iter().max().unwrap_or_default()
    }

    /// Whether it can't be complete in time any more.
    pub fn is_late(&self, now: Instant) -> bool {
        !self.spec.endless() && now + self.remaining + OVERHEAD > self.due
    }

    /// Whether it has ended and nothing of it is on a runner.
    pub fn settled(&self) -> bool {
        let placed = |state: &State| matches!(state.status, Status::Placed(_));
        self.outcome != Outcome::Open && !self.steps.iter().flatten().any(placed)
    }

    /// Forgets what only matters while tasks run.
    pub fn shrink(&mut self) {
        self.spec = Rc::default();
        self.steps = Vec::new();
        self.left = Vec::new();
    }

    /// Whether every task is done.
    pub fn finished(&self) -> bool {
        self.left.iter().all(|&left| left == 0)
    }

    /// Progress to be stored.
    pub fn progress(&self) -> ledger::Progress {
        let mut runners: Vec<String> = Vec::new();
        let mut position = |id: &RunnerId| {
            let known = runners.iter().position(|known| **known == **id);
            let index = known.unwrap_or_else(|| {
                runners.push(id.to_string());
                runners.len() - 1
            });
            index as u16 + 1
        };
        let mut store = |state: &State| ledger::Task {
            run: state.run,
            failures: state.failures,
            done: state.status == Status::Done,
            runner: match &state.status {
                Status::Placed(placement) => position(&placement.runner),
                _ => 0,
            },
            checkpoint: state.checkpoint.clone(),
        };
        let steps = self.steps.iter().map(|tasks| tasks.iter().map(&mut store).collect()).collect();
        ledger::Progress { outcome: self.outcome, runners, steps }
    }
}
