//! State of a job, its occurrences and their tasks, as the cell's owner keeps it.

use {
    super::{RunnerId, occurrence::Occurrence},
    crate::job::{
        access,
        ledger::{self, Outcome},
        manifest::Queue,
        spec::{self, Spec, Step, Task},
        suspicion::History,
    },
    indexmap::IndexMap,
    std::{
        rc::Rc,
        time::{Duration, Instant},
    },
};

pub use super::placement::{Phase, Placement};

/// A submitted job.
#[derive(Clone, Debug)]
pub struct Job {
    /// Queue it was submitted to.
    pub queue: Rc<str>,
    /// Service whose runners run it; it changes with the service of its queue.
    pub service: Rc<str>,
    /// The job as submitted; emptied by [`Job::shrink`] once the job has ended.
    pub spec: Rc<Spec>,
    /// When it was accepted, in milliseconds since the Unix epoch.
    pub accepted_ms: u64,
    /// When it was accepted, on this owner's monotonic clock.
    pub accepted_at: Instant,
    /// Organisation that it belongs to, if its queue is not open to everyone.
    pub organisation: Option<access::Name>,
    /// Whether it was submitted within the rate that its organisation is owed.
    pub within_rate: bool,
    /// Priority; 0 is the highest.
    pub priority: u32,
    /// Occurrences of the schedule; exactly one if the job has no schedule.
    pub occurrences: Vec<Occurrence>,
    /// Number of occurrences whose time has come.
    pub opened: usize,
    /// Current outcome, which the ledger may not have stored yet.
    pub outcome: Outcome,
    /// Outcome that the ledger has stored; callers get this one.
    pub stored_outcome: Outcome,
    /// Whether any of its tasks has started.
    pub started: bool,
    /// Whether the ledger has stored it.
    pub stored: bool,
    /// How long tickets of its queue's advisor are valid; none if the queue has no advisor.
    pub tickets_valid: Option<Duration>,
    /// Time within which an occurrence should complete.
    time_allowed: Duration,
}

/// State of a task.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct State {
    /// Whether it waits, is on a runner or is done.
    pub status: Status,
    /// Number of its last run; 0 before the first.
    pub run: u32,
    /// Number of runs that failed.
    pub failures: u32,
    /// Number of the last run that failed; 0 if none did.
    pub failed_run: u32,
    /// Newest checkpoint, or empty.
    pub checkpoint: String,
    /// Crashes that are held against it.
    pub history: History,
    /// When the last of them was recorded, if it is not known whether the runner has ended.
    pub unproven_since: Option<Instant>,
    /// Runner on which its last run failed.
    pub failed_on: Option<RunnerId>,
    /// Number of its starts that runners found malformed, and until when it waits for that reason.
    pub malformed: Option<(u32, Instant)>,
    /// Whether a run has succeeded that was taken for lost, so that the later run that is placed
    /// is no longer needed.
    pub succeeded: bool,
}

/// Whether a task waits, is on a runner or is done.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum Status {
    /// Waits for a runner, or for steps that it depends on.
    #[default]
    Waiting,
    /// Its last run is on a runner or may be there.
    Placed(Placement),
    /// A run of it has succeeded.
    Done,
}

impl State {
    /// Whether a run of the task has succeeded.
    pub fn is_done(&self) -> bool {
        self.succeeded || self.status == Status::Done
    }

    /// Ends the placement of its last run. The task is done if an earlier run has succeeded, and
    /// waits otherwise.
    pub fn end_placement(&mut self) {
        self.status = if self.succeeded { Status::Done } else { Status::Waiting };
    }

    /// Placement of its run, for changes, if it is on a runner.
    pub fn placement_mut(&mut self) -> Option<&mut Placement> {
        match &mut self.status {
            Status::Placed(placement) => Some(placement),
            Status::Waiting | Status::Done => None,
        }
    }

    /// When the placement of its run last changed phase, if it is on a runner.
    pub fn phase_since(&self) -> Option<Instant> {
        match &self.status {
            Status::Placed(placement) => Some(placement.since),
            Status::Waiting | Status::Done => None,
        }
    }
}

impl Job {
    /// Job that was accepted `age` before `now`.
    pub fn new(
        spec: Rc<Spec>,
        queue: &Queue,
        accepted_ms: u64,
        now: Instant,
        age: Duration,
    ) -> Self {
        let accepted_at = now.checked_sub(age).unwrap_or(now);
        let time_allowed = queue.time_allowed(&spec);
        let times = spec.schedule.map_or(1, |schedule| schedule.times);
        Self {
            queue: Rc::from(queue.name.as_str()),
            service: Rc::from(queue.service.as_str()),
            accepted_ms,
            accepted_at,
            organisation: None,
            within_rate: true,
            priority: queue.priority,
            occurrences: (0..times)
                .map(|_| Occurrence::new(&spec, accepted_at + time_allowed))
                .collect(),
            opened: usize::from(spec.schedule.is_none()),
            outcome: Outcome::Open,
            stored_outcome: Outcome::Open,
            started: false,
            stored: false,
            tickets_valid: queue.advice.map(|advice| advice.valid),
            time_allowed,
            spec,
        }
    }

    /// Time within which an occurrence should complete.
    pub fn time_allowed(&self) -> Duration {
        self.time_allowed
    }

    /// Opens the occurrences whose time has come at `wall_ms`; returns whether any did.
    pub fn open_occurrences(&mut self, now: Instant, wall_ms: u64) -> bool {
        let Some(schedule) = self.spec.schedule else { return false };
        let opened_before = self.opened;
        while let Some(occurrence) = self.occurrences.get_mut(self.opened) {
            let at_ms = schedule.at_ms(self.opened as u64);
            if at_ms > wall_ms {
                break;
            }
            let begun = now.checked_sub(Duration::from_millis(wall_ms - at_ms)).unwrap_or(now);
            occurrence.due = begun + self.time_allowed;
            self.opened += 1;
        }
        self.opened > opened_before
    }

    /// Opened occurrences with their numbers.
    pub fn opened_occurrences(&self) -> impl Iterator<Item = (u32, &Occurrence)> {
        (0..).zip(self.occurrences.iter().take(self.opened))
    }

    /// Earliest due time of the opened occurrences that are not finished; if there is none, the due
    /// time of an occurrence that began when the job was accepted.
    pub fn due(&self) -> Instant {
        let open = self.opened_occurrences().map(|(_, occurrence)| occurrence);
        let unfinished = open.filter(|occurrence| !occurrence.is_finished());
        unfinished
            .map(|occurrence| occurrence.due)
            .min()
            .unwrap_or(self.accepted_at + self.time_allowed)
    }

    /// State of a task; none if the job has no such task.
    pub fn task(&self, task: &Task) -> Option<&State> {
        let occurrence = self.occurrences.get(task.occurrence as usize)?;
        occurrence.steps.get(usize::from(task.step))?.get(usize::from(task.index))
    }

    /// State of a task, for changes.
    pub fn task_mut(&mut self, task: &Task) -> Option<&mut State> {
        let occurrence = self.occurrences.get_mut(task.occurrence as usize)?;
        occurrence.steps.get_mut(usize::from(task.step))?.get_mut(usize::from(task.index))
    }

    /// States of all tasks in the step and occurrence of `task`.
    pub fn siblings(&self, task: &Task) -> Option<&Vec<State>> {
        let occurrence = self.occurrences.get(task.occurrence as usize)?;
        occurrence.steps.get(usize::from(task.step))
    }

    /// States of all tasks in the step and occurrence of `task`, for changes.
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

    /// Task that stores the failures and the checkpoint of the gang that `task` belongs to: its
    /// first member. Returns `task` itself if its step is no gang.
    fn gang_leader(&self, task: &Task) -> Task {
        let gang = self.step(task).is_some_and(|step| step.gang);
        if gang { Task { index: 0, ..*task } } else { *task }
    }

    /// Counts a failed run of a task, or of its gang. A run in which several members fail counts
    /// once.
    pub fn count_failure(&mut self, task: &Task, run: u32) {
        let leader = self.gang_leader(task);
        let Some(state) = self.task_mut(&leader) else { return };
        if state.failed_run != run {
            state.failed_run = run;
            state.failures += 1;
        }
    }

    /// Number of failed runs of a task, or of its gang.
    pub fn failures(&self, task: &Task) -> u32 {
        self.task(&self.gang_leader(task)).map_or(0, |state| state.failures)
    }

    /// Stores the newest checkpoint of a task, or of its gang.
    pub fn store_checkpoint(&mut self, task: &Task, checkpoint: &str) {
        let leader = self.gang_leader(task);
        let Some(state) = self.task_mut(&leader).filter(|_| !checkpoint.is_empty()) else { return };
        if state.checkpoint != checkpoint {
            state.checkpoint = String::from(checkpoint);
        }
    }

    /// Checkpoint from which the next run of a task resumes, or empty.
    pub fn checkpoint(&self, task: &Task) -> &str {
        self.task(&self.gang_leader(task)).map_or("", |state| &state.checkpoint)
    }

    /// Counts a task as done; returns whether that finishes its step.
    pub fn count_done(&mut self, task: &Task) -> bool {
        let Some(occurrence) = self.occurrences.get_mut(task.occurrence as usize) else {
            return false;
        };
        let Some(count) = occurrence.unfinished.get_mut(usize::from(task.step)) else {
            return false;
        };
        *count = count.saturating_sub(1);
        if *count > 0 {
            return false;
        }
        occurrence.remaining = occurrence.estimate_remaining(&self.spec);
        true
    }

    /// Whether a caller of this organisation, or of none, may know of it.
    pub fn is_visible_to(&self, organisation: Option<&str>) -> bool {
        self.organisation.as_deref().is_none_or(|own| organisation == Some(own))
    }

    /// Whether it has ended and none of its runs is on a runner.
    pub fn is_settled(&self) -> bool {
        let mut states =
            self.occurrences.iter().flat_map(|occurrence| occurrence.steps.iter().flatten());
        let placed = |state: &State| matches!(state.status, Status::Placed(_));
        self.outcome != Outcome::Open && !states.any(placed)
    }

    /// Drops the specification and the task states, which are not needed once the job is settled.
    pub fn shrink(&mut self) {
        self.spec = Rc::default();
        self.occurrences = Vec::new();
    }

    /// Whether all tasks of all occurrences are done.
    pub fn is_finished(&self) -> bool {
        self.occurrences.iter().all(Occurrence::is_finished)
    }

    /// Crashes that are held against tasks, by the position of the task.
    fn suspects(&self) -> IndexMap<u32, History> {
        let steps = self.occurrences.iter().flat_map(|occurrence| &occurrence.steps);
        let histories = (0..).zip(steps.flatten().map(|state| &state.history));
        let suspects = histories.filter(|(_, history)| !history.is_empty());
        suspects.map(|(position, history)| (position, history.clone())).collect()
    }

    /// Progress as the ledger stores it.
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
            done: state.is_done(),
            runner: match &state.status {
                Status::Placed(placement) => position(&placement.runner),
                _ => 0,
            },
            checkpoint: state.checkpoint.clone(),
        };
        let steps = self.occurrences.iter().flat_map(|occurrence| &occurrence.steps);
        let steps = steps.map(|tasks| tasks.iter().map(&mut store).collect()).collect();
        let suspects = self.suspects();
        ledger::Progress { outcome: self.outcome, runners, steps, organisation: None, suspects }
    }
}
