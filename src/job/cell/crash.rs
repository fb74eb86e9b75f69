//! Evidence of crashed runners: which runs were on a runner that fell silent, and whether it has ended.
//!
//! A run whose runner ends is lost without a reported end. At first nothing tells a crash from a network
//! partition. A later incarnation of the runner, or a later runner on its VM, shows that it has ended; an
//! answer of the same incarnation shows that it has not. Until then the runs are kept with the runner.

use {
    super::{
        Cell, Worker,
        job::{Phase, Placement, Status},
    },
    crate::job::{
        spec::{self, Task},
        suspicion,
    },
    indexmap::IndexSet,
    log::{info, warn},
    std::{
        fmt,
        time::{Duration, Instant},
    },
};

/// Time at work on a runner after which a task no longer counts as new there.
const ESTABLISHED_AFTER: Duration = Duration::from_millis(suspicion::ESTABLISHED_MS as u64);
/// Time at work from which on a crash is held against no task.
const MAX_BLAMED: Duration = Duration::from_secs(20);
/// Age of a run of which it is not known when it started.
pub(super) const UNKNOWN_AGE_MS: u32 = suspicion::ESTABLISHED_MS;
/// Time for which a crash of a VM is remembered.
const CRASH_MEMORY: Duration = Duration::from_secs(20);
/// Number of runs that a log line names.
const MAX_LOGGED: usize = 8;

/// What the owner has learned of a runner that fell silent or has restarted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// Its runs were taken for lost, and it is not known whether it has ended.
    Silent,
    /// It has certainly ended, with runs on it.
    Ended,
    /// It has answered again: it had not ended.
    Returned,
    /// Its report has shown another incarnation.
    Restarted,
    /// The clock of its answer may be another incarnation's.
    MayHaveRestarted,
    /// Ends of it were discarded that this owner has not read.
    EndsMissing,
}

impl Event {
    /// Label under which metrics count the event.
    pub fn name(self) -> &'static str {
        match self {
            Self::Silent => "runner_silent",
            Self::Ended => "runner_ended",
            Self::Returned => "runner_returned",
            Self::Restarted => "runner_restarted",
            Self::MayHaveRestarted => "runner_may_have_restarted",
            Self::EndsMissing => "runner_ends_missing",
        }
    }
}

/// A run that was lost with its runner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Loss {
    /// Task.
    pub task: Task,
    /// Number of the run.
    pub run: u32,
    /// Time from its start until the runner fell silent, in milliseconds; 0 if the start was not
    /// answered.
    pub age_ms: u32,
    /// Whether it was new and had certainly begun, and all other runs on the runner were of the same
    /// job or established.
    pub alone: bool,
}

impl Placement {
    /// How long the run had been at work at `now`; zero if that is not known.
    pub(super) fn time_at_work(&self, now: Instant) -> Duration {
        match self.phase {
            Phase::Running => now.saturating_duration_since(self.since),
            _ => Duration::ZERO,
        }
    }

    /// Whether the run is one of an earlier owner that is still at work, and `endless`: it has been at
    /// work for an unknown time.
    pub(super) fn is_inherited(&self, endless: bool) -> bool {
        endless && self.restored && self.phase == Phase::Running
    }

    /// Whether the run had been at work for long enough at `now` not to count as new on its runner.
    pub(super) fn is_established(&self, now: Instant, endless: bool) -> bool {
        self.is_inherited(endless) || self.time_at_work(now) >= ESTABLISHED_AFTER
    }
}

impl Cell {
    /// Returns what was learned of silent runners since the last call.
    pub fn take_crash_events(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.crash_events)
    }

    /// Whether a task is placed and established on its runner at `now`.
    pub(super) fn is_established(&self, now: Instant, task: &Task) -> bool {
        let endless = self.step(task).is_some_and(|step| step.endless);
        match self.task(task).map(|state| &state.status) {
            Some(Status::Placed(placement)) => placement.is_established(now, endless),
            _ => false,
        }
    }

    /// Records the runs of tasks on a runner that are lost because it is silent. They are kept until it is
    /// known whether it has ended.
    pub(super) fn record_losses(&mut self, now: Instant, runner: &str, tasks: &[Task]) {
        let Some(worker) = self.workers.get(runner) else { return };
        if tasks.is_empty() || worker.is_draining() {
            return;
        }
        let silent_since = worker.unresponsive_since.unwrap_or(now);
        let mut losses = self.losses_on(silent_since, worker);
        losses.retain(|loss| tasks.contains(&loss.task));
        let names: Vec<String> = losses.iter().take(MAX_LOGGED).map(Loss::to_string).collect();
        warn!(
            "crash: runner={runner} vm={} silent_ms={} held_against={} others={} runs={}",
            worker.vm(),
            now.saturating_duration_since(silent_since).as_millis(),
            losses.len(),
            tasks.len() - losses.len(),
            names.join(",")
        );
        self.crash_events.push(Event::Silent);
        for loss in &losses {
            self.suspect(now, loss);
        }
        if let Some(worker) = self.workers.get_mut(runner) {
            worker.losses.extend(losses);
        }
    }

    /// Runs on a runner against whose tasks its silence may be held. Runs whose start was not sent are
    /// left out.
    fn losses_on(&self, silent_since: Instant, worker: &Worker) -> Vec<Loss> {
        let lost = |task: &Task| self.loss_of(silent_since, task);
        let mut losses: Vec<Loss> = worker.tasks.keys().filter_map(lost).collect();
        let is_new = |task: &Task| !self.is_established(silent_since, task);
        let new_jobs: IndexSet<spec::Id> =
            losses.iter().filter(|loss| is_new(&loss.task)).map(|loss| loss.task.job).collect();
        for loss in &mut losses {
            loss.alone &= new_jobs.len() == 1 && is_new(&loss.task);
        }
        losses
    }

    /// What the silence of a runner since `silent_since` says about a task that was placed there; none
    /// if nothing.
    fn loss_of(&self, silent_since: Instant, task: &Task) -> Option<Loss> {
        let state = self.task(task)?;
        let Status::Placed(placement) = &state.status else { return None };
        let endless = self.step(task).is_some_and(|step| step.endless);
        let age = placement.time_at_work(silent_since);
        if placement.is_inherited(endless) || age >= MAX_BLAMED {
            return None;
        }
        let age_ms = match placement.phase {
            Phase::Planned => return None,
            Phase::Restored => UNKNOWN_AGE_MS,
            _ => age.as_millis() as u32,
        };
        // An unanswered start may have been sent after the runner had ended.
        let begun = placement.phase == Phase::Running;
        Some(Loss { task: *task, run: state.run, age_ms, alone: begun })
    }

    /// Handles the certain end of a runner, which may have been silent before.
    pub(super) fn runner_crashed(&mut self, now: Instant, runner: &str) {
        let Some(worker) = self.workers.get(runner) else { return };
        let tasks: Vec<Task> = worker.tasks.keys().copied().collect();
        self.record_losses(now, runner, &tasks);
        let Some(worker) = self.workers.get_mut(runner) else { return };
        // The runner of a VM that moves on may have ended before this owner reached it.
        let planned = worker.is_draining() || worker.vm_draining || worker.alive_at.is_none();
        if !planned {
            let recent = |at: &Instant| now.saturating_duration_since(*at) < CRASH_MEMORY;
            self.crashed_vms.retain(|_, times| times.iter().any(recent));
            self.crashed_vms.entry(String::from(worker.vm())).or_default().push(now);
        }
        let losses = std::mem::take(&mut worker.losses);
        if !planned && losses.iter().all(|loss| !suspicion::is_prompt(loss.age_ms)) {
            info!(
                "crash: runner={runner} vm={} by_itself=true losses={}",
                worker.vm(),
                losses.len()
            );
            self.spontaneous_crash_at = Some(now);
        }
        if losses.is_empty() {
            return;
        }
        info!("crash: runner={runner} vm={} ended=true losses={}", worker.vm(), losses.len());
        self.crash_events.push(Event::Ended);
        for loss in &losses {
            self.confirm_suspicion(now, loss);
        }
    }

    /// Whether a runner has crashed lately under which nothing was new, and so by itself.
    pub(super) fn has_spontaneous_crashes(&self, now: Instant) -> bool {
        let crashed_at = self.spontaneous_crash_at;
        crashed_at.is_some_and(|at| now.saturating_duration_since(at) < CRASH_MEMORY)
    }

    /// Number of times that the VM of a runner has crashed lately.
    pub(super) fn recent_crashes(&self, now: Instant, worker: &Worker) -> usize {
        let recent = |at: &Instant| now.saturating_duration_since(*at) < CRASH_MEMORY;
        let times = self.crashed_vms.get(worker.vm());
        times.map_or(0, |times| times.iter().filter(|at| recent(at)).count())
    }

    /// Whether the VM of a runner has crashed within `period`.
    pub(super) fn crashed_within(&self, now: Instant, worker: &Worker, period: Duration) -> bool {
        let last = self.crashed_vms.get(worker.vm()).and_then(|times| times.last());
        last.is_some_and(|at| now.saturating_duration_since(*at) < period)
    }

    /// Handles an answer of a runner whose runs were taken for lost.
    pub(super) fn runner_returned(&mut self, runner: &str) {
        let Some(worker) = self.workers.get_mut(runner) else { return };
        let losses = std::mem::take(&mut worker.losses);
        if losses.is_empty() {
            return;
        }
        info!("crash: runner={runner} vm={} ended=false losses={}", worker.vm(), losses.len());
        self.crash_events.push(Event::Returned);
        for loss in &losses {
            self.withdraw_suspicion(loss);
        }
    }
}

impl fmt::Display for Loss {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}:{}", self.task, self.run, self.age_ms)
    }
}
