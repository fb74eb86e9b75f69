//! Choice of the runner on which a waiting task starts.
//!
//! Of the runners with room, the task goes to the one that suits it best (see [`Fit`]).

use {
    super::{Cell, Worker, candidates::Candidates},
    crate::job::spec::{Resources, Step, Task},
    std::time::{Duration, Instant},
};

/// Number of recent crashes from which on a VM is not used for a task in isolation while others could hold
/// it: it may crash by itself again, and the task would be taken for the cause.
const FLAPPING: usize = 2;
/// Time after its last crash from which on such a VM is used if no other could hold the task.
const SETTLING_TIME: Duration = Duration::from_millis(2_500);

/// Result of the choice of a runner for a task.
pub(super) enum Choice {
    /// The task goes to this one.
    Runner(usize),
    /// The task fits nowhere now; the runner that will suit it soonest, if any will hold it once finite
    /// tasks have ended, is reserved for it.
    Nowhere(Option<usize>),
}

impl Cell {
    /// Chooses the runner that suits a task best; `zone` is where other tasks of its step are.
    pub(super) fn choose_runner(
        &self,
        now: Instant,
        task: &Task,
        step: &Step,
        zone: Option<&str>,
        candidates: &Candidates,
    ) -> Choice {
        let need = step.reserved();
        let state = self.task(task);
        let failed_on = state.and_then(|state| state.failed_on.as_ref());
        let mut best: Option<(Fit, usize)> = None;
        let mut most_free: Option<(u32, usize)> = None;
        let mut fewest_new: Option<(usize, usize)> = None;
        let isolated = self.is_suspect(task);
        let has_steady = isolated && self.has_steady(now, step, task);
        for index in candidates.runners_for(step) {
            let Some((id, worker)) = self.workers.get_index(index) else { continue };
            let free = worker.free();
            if worker.is_isolated_from(task) {
                continue;
            }
            let mut crashes = 0;
            if isolated {
                crashes = self.recent_crashes(now, worker);
                let unsettled = has_steady || self.crashed_within(now, worker, SETTLING_TIME);
                if crashes >= FLAPPING && unsettled {
                    continue;
                }
                let new = self.new_tasks_of_others(now, worker, task.job);
                if new > 0 {
                    if could_hold(worker, step, task) {
                        fewest_new = fewest_new.min(Some((new, index))).or(Some((new, index)));
                    }
                    continue;
                }
            }
            if !free.holds(&need) {
                let more = most_free.is_none_or(|(max_free, _)| free.millicores > max_free);
                if more && could_hold(worker, step, task) {
                    most_free = Some((free.millicores, index));
                }
                continue;
            }
            if !may_run_on(worker, step, task) {
                continue;
            }
            let other_zone = !step.endless && zone.is_some_and(|zone| worker.zone() != zone);
            let failed = failed_on == Some(id);
            let fit = Fit { failed, other_zone, ..fit(worker, step, free, &need) };
            let fit = if isolated { fit.in_isolation(worker, task, crashes) } else { fit };
            if best.as_ref().is_none_or(|(other, _)| fit < *other) {
                best = Some((fit, index));
            }
        }
        let emptiest = fewest_new.map(|(_, index)| index);
        match best {
            Some((_, index)) => Choice::Runner(index),
            None => Choice::Nowhere(emptiest.or(most_free.map(|(_, index)| index))),
        }
    }

    /// Whether a runner whose VM has not crashed repeatedly of late could hold a task.
    fn has_steady(&self, now: Instant, step: &Step, task: &Task) -> bool {
        let Some(service) = self.jobs.get(&task.job).map(|job| &*job.service) else { return false };
        self.workers.values().any(|worker| {
            worker.service() == service
                && worker.accepts_tasks(now)
                && could_hold(worker, step, task)
                && self.recent_crashes(now, worker) < FLAPPING
        })
    }
}

/// How well a runner with the room `free` suits a task of a step, apart from its zone and failures.
fn fit(worker: &Worker, step: &Step, free: Resources, need: &Resources) -> Fit {
    let far_from_data = !step.data_rack.is_empty() && !worker.labels().contains(&step.data_rack);
    let conflicts = if step.filler {
        worker.objective_tasks
    } else if step.latency_target.is_zero() {
        0
    } else {
        worker.fillers
    };
    let first_endless = step.endless && worker.objective_tasks + worker.fillers == 0;
    Fit {
        failed: false,
        far_from_data,
        recent_crashes: 0,
        work_at_risk: 0,
        without_cores: free.millicores == 0,
        conflicts,
        first_endless,
        other_zone: false,
        left_millicores: free.minus(need).millicores,
    }
}

/// How well a runner suits a task: the lowest is chosen. The fields are compared in this order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Fit {
    /// Whether the task's last failed run was on it, as the runner may be the cause.
    failed: bool,
    /// Whether the task's data is on another rack.
    far_from_data: bool,
    /// Number of times that its VM has crashed lately, if the task runs in isolation.
    recent_crashes: usize,
    /// Twice the number of tasks of other jobs that a crash would take down, if the task runs in
    /// isolation, and 1 more if none of its own job is there.
    work_at_risk: usize,
    /// Whether all its processors are reserved, so that a filler gets only what their tasks leave.
    without_cores: bool,
    /// Number of tasks on it that would slow the task, or that the task would slow: fillers beside
    /// tasks with a latency objective.
    conflicts: u32,
    /// Whether the task is endless and the runner has neither a task with a latency objective nor a
    /// filler yet.
    first_endless: bool,
    /// Whether it is in another availability zone than the step's other tasks: a partition of one
    /// zone should affect as few jobs as possible.
    other_zone: bool,
    /// Thousandths of a core that stay free.
    left_millicores: u32,
}

impl Fit {
    /// The same for a task that runs in isolation.
    fn in_isolation(self, worker: &Worker, task: &Task, recent_crashes: usize) -> Self {
        let of_others = worker.tasks.keys().filter(|other| other.job != task.job).count();
        Self {
            recent_crashes,
            // Tasks of the same job share a runner, so that fewer runners crash if all are at fault.
            work_at_risk: 2 * of_others + usize::from(worker.tasks.len() == of_others),
            ..self
        }
    }
}

/// Whether a runner has room for a task of a step once others there have ended. Endless ones are not
/// expected to: a runner that is kept free for the task would be kept for good.
fn could_hold(worker: &Worker, step: &Step, task: &Task) -> bool {
    worker.reservable().holds(&step.reserved()) && may_run_on(worker, step, task)
}

/// Whether the label that a step demands and its limit of tasks on one runner allow a task there.
pub(super) fn may_run_on(worker: &Worker, step: &Step, task: &Task) -> bool {
    if !step.label.is_empty() && !worker.labels().contains(&step.label) {
        return false;
    }
    if step.per_runner == 0 {
        return true;
    }
    worker.count_siblings(task) < step.per_runner as usize
}
