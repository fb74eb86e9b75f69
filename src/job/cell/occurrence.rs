//! Occurrences of a job: one execution of its steps each. A job without a schedule has exactly one.

use {
    super::job::{State, Status},
    crate::job::spec::{Spec, Step},
    std::time::{Duration, Instant},
};

/// Time that starting a task and reporting its end take in addition to the work itself.
const OVERHEAD: Duration = Duration::from_millis(50);

/// One scheduled execution of a job's steps.
#[derive(Clone, Debug)]
pub struct Occurrence {
    /// When it should be complete; meaningless until it has opened.
    pub due: Instant,
    /// Estimated length of the critical path through its unfinished steps.
    pub remaining: Duration,
    /// States of the tasks of each step.
    pub steps: Vec<Vec<State>>,
    /// Number of tasks of each step that are not done.
    pub unfinished: Vec<u32>,
    /// Since when reservations for others have kept it from having a task on a runner.
    pub held_back_since: Option<Instant>,
}

impl Occurrence {
    pub(super) fn new(spec: &Spec, due: Instant) -> Self {
        let steps = spec.steps.iter().map(|step| vec![State::default(); step.tasks as usize]);
        Self {
            due,
            remaining: spec.critical_path(),
            steps: steps.collect(),
            unfinished: spec.steps.iter().map(|step| step.tasks).collect(),
            held_back_since: None,
        }
    }

    /// Whether all steps that `step` depends on are done.
    pub fn is_ready(&self, step: &Step) -> bool {
        step.after.iter().all(|&before| self.unfinished.get(usize::from(before)) == Some(&0))
    }

    /// Whether all its tasks are done.
    pub fn is_finished(&self) -> bool {
        self.unfinished.iter().all(|&count| count == 0)
    }

    /// Whether none of its tasks is on a runner.
    pub fn is_idle(&self) -> bool {
        let mut states = self.steps.iter().flatten();
        !states.any(|state| matches!(state.status, Status::Placed(_)))
    }

    /// Whether it can no longer complete in time.
    pub fn is_late(&self, now: Instant) -> bool {
        now + self.remaining + OVERHEAD > self.due
    }

    /// Estimated core-seconds of what is left of the tasks that are not done, if they take `ratio`
    /// times as long as their steps estimate.
    pub fn remaining_work(&self, spec: &Spec, ratio: f64, now: Instant) -> f64 {
        let steps = spec.steps.iter().zip(&self.steps).zip(&self.unfinished);
        let left = steps.filter(|(_, unfinished)| **unfinished > 0).map(|((step, tasks), _)| {
            let takes = step.estimate.mul_f64(ratio);
            let time = |state: &State| match &state.status {
                Status::Waiting => takes,
                Status::Placed(placement) => {
                    takes.saturating_sub(now.saturating_duration_since(placement.since))
                }
                Status::Done => Duration::ZERO,
            };
            step.cores() * tasks.iter().map(time).sum::<Duration>().as_secs_f64()
        });
        left.sum()
    }

    /// Estimated length of the critical path through the steps that are not done.
    pub(super) fn estimate_remaining(&self, spec: &Spec) -> Duration {
        let mut ends: Vec<Duration> = Vec::with_capacity(spec.steps.len());
        for (step, count) in spec.steps.iter().zip(&self.unfinished) {
            let latest = step.after.iter().filter_map(|&a| ends.get(usize::from(a))).max();
            let own = if *count == 0 { Duration::ZERO } else { step.estimate };
            ends.push(latest.copied().unwrap_or_default() + own);
        }
        ends.into_iter().max().unwrap_or_default()
    }
}
