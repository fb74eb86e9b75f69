//! A job and its tasks, as the owner knows them.

use {
    super::RunnerId,
    crate::job::{
        ledger::{self, Outcome},
        manifest::Queue,
        spec::{self, Spec, Step, Task},
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
    /// Precedence; 0 comes first.
    pub priority: u32,
    /// Its occurrences; one if it has no schedule.
    pub occurrences: Vec<Occurrence>,
    /// Occurrences whose time has come.
    pub opened: usize,
    /// How it stands.
    pub outcome: Outcome,
    /// How it stands by what the ledger has stored.
    pub shown: Outcome,
    /// Whether a task of it has started.
    pub started: bool,
    /// Whether its caller's answer still waits for the ledger.
    pub stored: bool,
    /// How long tickets of its queue's advisor are valid, if it has one.
    pub tickets_valid: Option<Duration>,
    /// Time allowed for an occurrence from its beginning on.
    allowed: Duration,
}

/// One of the times that a job's steps run.
#[derive(Clone, Debug)]
pub struct Occurrence {
    /// Time by which it should be complete; of no meaning before its time has come.
    pub due: Instant,
    /// Estimated time that its unfinished steps still take in a row.
    pub remaining: Duration,
    /// Tasks of each step.
    pub steps: Vec<Vec<State>>,
    /// Tasks of each step that are not done.
    pub left: Vec<u32>,
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
    /// Number of the last run that failed.
    pub failed_run: u32,
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

impl Occurrence {
    fn new(spec: &Spec, due: Instant) -> Self {
        let steps = spec.steps.iter().map(|step| vec![State::default(); step.tasks as usize]);
        Self {
            due,
            remaining: spec.critical_path(),
            steps: steps.collect(),
            left: spec.steps.iter().map(|step| step.tasks).collect(),
        }
    }

    /// Whether every step before `step` is done.
    pub fn ready(&self, step: &Step) -> bool {
        step.after.iter().all(|&before| self.left.get(usize::from(before)) == Some(&0))
    }

    /// Whether every task is done.
    pub fn finished(&self) -> bool {
        self.left.iter().all(|&left| left == 0)
    }

    /// Whether it can't be complete in time any more.
    pub fn is_late(&self, now: Instant) -> bool {
        now + self.remaining + OVERHEAD > self.due
    }

    fn estimate_remaining(&self, spec: &Spec) -> Duration {
        let mut ends: Vec<Duration> = Vec::with_capacity(spec.steps.len());
        for (step, left) in spec.steps.iter().zip(&self.left) {
            let before = step.after.iter().filter_map(|&a| ends.get(usize::from(a))).max();
            let own = if *left == 0 { Duration::ZERO } else { step.estimate };
            ends.push(before.copied().unwrap_or_default() + own);
        }
        ends.into_iter().max().unwrap_or_default()
    }
}

impl Job {
    /// Job of `spec` that was accepted `age` before `now`.
    pub fn new(spec: Rc<Spec>, queue: &Queue, at_ms: u64, now: Instant, age: Duration) -> Self {
        let since = now.checked_sub(age).unwrap_or(now);
        let stretch = queue.stretch.clamp(1.0, 1_000.0);
        let allowed = spec.critical_path().mul_f64(stretch) + queue.slack;
        let times = spec.schedule.map_or(1, |schedule| schedule.times);
        Self {
            queue: Rc::from(queue.name.as_str()),
            service: Rc::from(queue.service.as_str()),
            at_ms,
            since,
            priority: queue.priority,
            occurrences: (0..times).map(|_| Occurrence::new(&spec, since + allowed)).collect(),
            opened: usize::from(spec.schedule.is_none()),
            outcome: Outcome::Open,
            shown: Outcome::Open,
            started: false,
            stored: false,
            tickets_valid: queue.advice.map(|advice| advice.valid),
            allowed,
            spec,
        }
    }

    /// Opens the occurrences whose time has come at `wall_ms`; tells whether there are new ones.
    pub fn open_occurrences(&mut self, now: Instant, wall_ms: u64) -> bool {
        let Some(schedule) = self.spec.schedule else { return false };
        let before = self.opened;
        while let Some(occurrence) = self.occurrences.get_mut(self.opened) {
            let at_ms = schedule.at_ms(self.opened as u64);
            if at_ms > wall_ms {
                break;
            }
            let begun = now.checked_sub(Duration::from_millis(wall_ms - at_ms)).unwrap_or(now);
            occurrence.due = begun + self.allowed;
            self.opened += 1;
        }
        self.opened > before
    }

    /// Occurrences whose time has come, with their numbers.
    pub fn open(&self) -> impl Iterator<Item = (u32, &Occurrence)> {
        (0..).zip(self.occurrences.iter().take(self.opened))
    }

    /// Time by which the earliest occurrence that is not done should be complete.
    pub fn due(&self) -> Instant {
        let open = self.open().map(|(_, occurrence)| occurrence);
        let unfinished = open.filter(|occurrence| !occurrence.finished());
        unfinished.map(|occurrence| occurrence.due).min().unwrap_or(self.since + self.allowed)
    }

    /// State of a task, if the job has it.
    pub fn task(&self, task: &Task) -> Option<&State> {
        let occurrence = self.occurrences.get(task.occurrence as usize)?;
        occurrence.steps.get(usize::from(task.step))?.get(usize::from(task.index))
    }

    /// State of a task, to be changed.
    pub fn task_mut(&mut self, task: &Task) -> Option<&mut State> {
        let occurrence = self.occurrences.get_mut(task.occurrence as usize)?;
        occurrence.steps.get_mut(usize::from(task.step))?.get_mut(usize::from(task.index))
    }

    /// States of all tasks of a task's step.
    pub fn siblings(&self, task: &Task) -> Option<&Vec<State>> {
        let occurrence = self.occurrences.get(task.occurrence as usize)?;
        occurrence.steps.get(usize::from(task.step))
    }

    /// States of all tasks of a task's step, to be changed.
    pub fn siblings_mut(&mut self, task: &Task) -> Option<&mut Vec<State>> {
        let occurrence = self.occurrences.get_mut(task.occurrence as usize)?;
        occurrence.steps.get_mut(usize::from(task.step))
    }

    /// Step of a task.
    pub fn step(&self, task: &Task) -> Option<&Step> {
        self.spec.steps.get(usize::from(task.step))
    }

    /// All tasks with their states.
    pub fn tasks(&self, id: spec::Id) -> impl Iterator<Item = (Task, &State)> {
        (0..).zip(&self.occurrences).flat_map(move |(number, occurrence)| {
            (0..).zip(&occurrence.steps).flat_map(move |(step, tasks)| {
                (0..).zip(tasks).map(move |(index, state)| {
                    (Task { job: id, occurrence: number, step, index }, state)
                })
            })
        })
    }

    /// Task that keeps what a task's gang has in common; the task itself if it is of none.
    fn keeper(&self, task: &Task) -> Task {
        let gang = self.step(task).is_some_and(|step| step.gang);
        if gang { Task { index: 0, ..*task } } else { *task }
    }

    /// Counts a run of a task, or of its gang, that has failed.
    pub fn count_failure(&mut self, task: &Task, run: u32) {
        let keeper = self.keeper(task);
        let Some(state) = self.task_mut(&keeper) else { return };
        if state.failed_run != run {
            state.failed_run = run;
            state.failures += 1;
        }
    }

    /// Runs of a task, or of its gang, that have failed.
    pub fn failures(&self, task: &Task) -> u32 {
        self.task(&self.keeper(task)).map_or(0, |state| state.failures)
    }

    /// Keeps the newest checkpoint of a task, or of its gang.
    pub fn keep_checkpoint(&mut self, task: &Task, checkpoint: &str) {
        let keeper = self.keeper(task);
        let Some(state) = self.task_mut(&keeper).filter(|_| !checkpoint.is_empty()) else { return };
        if state.checkpoint != checkpoint {
            state.checkpoint = String::from(checkpoint);
        }
    }

    /// Checkpoint to start a task from, or empty.
    pub fn checkpoint(&self, task: &Task) -> &str {
        self.task(&self.keeper(task)).map_or("", |state| &state.checkpoint)
    }

    /// Counts a task as done; tells whether its step is.
    pub fn count_done(&mut self, task: &Task) -> bool {
        let Some(occurrence) = self.occurrences.get_mut(task.occurrence as usize) else {
            return false;
        };
        let Some(left) = occurrence.left.get_mut(usize::from(task.step)) else { return false };
        *left = left.saturating_sub(1);
        if *left > 0 {
            return false;
        }
        occurrence.remaining = occurrence.estimate_remaining(&self.spec);
        true
    }

    /// Whether it has ended and nothing of it is on a runner.
    pub fn settled(&self) -> bool {
        let mut states = self.occurrences.iter().flat_map(|o| o.steps.iter().flatten());
        let placed = |state: &State| matches!(state.status, Status::Placed(_));
        self.outcome != Outcome::Open && !states.any(placed)
    }

    /// Forgets what only matters while tasks run.
    pub fn shrink(&mut self) {
        self.spec = Rc::default();
        self.occurrences = Vec::new();
    }

    /// Whether every task is done.
    pub fn finished(&self) -> bool {
        self.occurrences.iter().all(Occurrence::finished)
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
            failed_run: state.failed_run,
            done: state.status == Status::Done,
            runner: match &state.status {
                Status::Placed(placement) => position(&placement.runner),
                _ => 0,
            },
            checkpoint: state.checkpoint.clone(),
        };
        let mut steps = Vec::new();
        for tasks in self.occurrences.iter().flat_map(|occurrence| &occurrence.steps) {
            steps.push(tasks.iter().map(&mut store).collect());
        }
        ledger::Progress { outcome: self.outcome, runners, steps }
    }
}
