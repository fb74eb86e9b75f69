//! How far a task is suspected of crashing the runners that start it.
//!
//! A crash may be the fault of the runner or of anything that is new on it, so one crash shows nothing. A
//! task is a suspect if it had just been started on a runner that crashed, or was new on several that
//! did. Suspects start only on runners on which nothing else is new, where a further crash takes no other
//! new work down and has no other task as its cause. Only after several such crashes right after its
//! start is a task taken for the cause, as a runner may also crash by itself at that moment. A crash that
//! came clearly sooner after the start than a run of the task has lived elsewhere says nothing against it.
//!
//! A runner that crashes long after the start of a task mostly crashes for another reason. Such crashes
//! count only together with others at the same time after the start.

use serde::{Deserialize, Serialize};

/// Number of crashes that make a task a suspect, however long it had been on the runners.
const MIN_SUSPECT_CRASHES: usize = 2;
/// The same where they came late.
const MIN_LATE_CRASHES: usize = 3;
/// Number of crashes that a task needs at least to be taken for their cause.
const MIN_CRASHES: usize = 3;
/// Number of them that must have happened right after its start, with nothing else new on the runner.
const MIN_ALONE: usize = 2;
/// Number of crashes after which a task is taken for their cause in any case: most of them happened
/// while it ran in isolation.
const MAX_CRASHES: usize = 5;
/// Time after the start of a run within which a crash points at it. Later, the runner may as well have
/// crashed by itself.
const PROMPT_MS: u32 = 500;
/// Time at work after which a task no longer counts as new on its runner.
pub const ESTABLISHED_MS: u32 = 2_500;
/// Difference between the times from start to crash of a task that crashes runners.
const JITTER_MS: u32 = 500;

/// Crash of a runner that ran a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Crash {
    /// Number of the run.
    pub run: u32,
    /// Time from the start of the run until the runner fell silent, in milliseconds.
    pub age_ms: u32,
    /// Whether the runner has certainly crashed while nothing of other jobs was new on it.
    pub alone: bool,
}

/// Crashes of runners on which a task was new, and how long it has lived on others.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct History {
    /// Runners that have crashed, or that fell silent and have not answered since.
    pub crashes: Vec<Crash>,
    /// Longest time for which a run is known to have lived since the first of them, in milliseconds.
    pub longest_ms: u32,
}

/// Whether a runner that crashed `age_ms` after the start of a run crashed right after it.
pub fn is_prompt(age_ms: u32) -> bool {
    age_ms <= PROMPT_MS
}

impl History {
    /// Whether it says nothing.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty()
    }

    /// Adds the crash of a runner `age_ms` after the start of a run, unless it was added before, or
    /// another run has lived for longer than that. Drops others if one of both came late, and not at
    /// the same time after the start.
    pub fn add(&mut self, run: u32, age_ms: u32) {
        let known = self.crashes.iter().any(|crash| crash.run == run);
        if known || self.is_refuted(age_ms) {
            return;
        }
        self.crashes.retain(|crash| {
            let both_new = crash.age_ms.max(age_ms) <= ESTABLISHED_MS;
            both_new || crash.age_ms.abs_diff(age_ms) <= JITTER_MS
        });
        self.crashes.push(Crash { run, age_ms, alone: false });
    }

    /// Takes note that nothing else was new on the runner of a run, and that it has certainly crashed.
    pub fn confirm_alone(&mut self, run: u32) {
        for crash in self.crashes.iter_mut().filter(|crash| crash.run == run) {
            crash.alone = true;
        }
    }

    /// Drops the crash of a run's runner, which has not ended.
    pub fn withdraw(&mut self, run: u32) {
        self.crashes.retain(|crash| crash.run != run);
    }

    /// Takes note that a run has lived for `age_ms`, and drops the crashes that this refutes; returns
    /// whether there were any.
    pub fn observe(&mut self, age_ms: u32) -> bool {
        self.longest_ms = self.longest_ms.max(age_ms);
        let before = self.crashes.len();
        let longest_ms = self.longest_ms;
        self.crashes.retain(|crash| crash.age_ms.saturating_add(JITTER_MS) >= longest_ms);
        self.crashes.len() < before
    }

    /// Whether a run has lived for clearly longer than until a crash at this age.
    fn is_refuted(&self, age_ms: u32) -> bool {
        age_ms.saturating_add(JITTER_MS) < self.longest_ms
    }

    /// Whether the task must run where nothing else is new.
    pub fn is_suspect(&self) -> bool {
        let prompt = self.crashes.iter().any(|crash| is_prompt(crash.age_ms));
        prompt || self.crashes.len() >= self.min_suspect_crashes()
    }

    /// Number of crashes that make the task a suspect.
    fn min_suspect_crashes(&self) -> usize {
        let late = self.crashes.iter().any(|crash| crash.age_ms > ESTABLISHED_MS);
        if late { MIN_LATE_CRASHES } else { MIN_SUSPECT_CRASHES }
    }

    /// Whether proof of the last crash may decide about the task, so that its next start is worth
    /// delaying for it.
    pub fn needs_proof(&self) -> bool {
        self.crashes.len() >= self.min_suspect_crashes()
    }

    /// Whether the task is the cause of the crashes. `spontaneous` says that runners have crashed lately
    /// under which nothing was new; then more evidence is needed.
    pub fn is_culprit(&self, spontaneous: bool) -> bool {
        let crashes = self.crashes.len();
        let alone =
            self.crashes.iter().filter(|crash| crash.alone && is_prompt(crash.age_ms)).count();
        let min_alone = MIN_ALONE + usize::from(spontaneous);
        let min_crashes = MIN_CRASHES + usize::from(spontaneous);
        crashes >= min_crashes && alone >= min_alone || crashes >= MAX_CRASHES
    }
}
