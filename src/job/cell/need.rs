//! Cores that each service needs: for work that can still complete by its due time, and for late
//! work.
//!
//! A job needs room for all its tasks that may run now, as the time allowed for it is too short to
//! run them one after the other. Expected work is the rate of submitted work extrapolated by the
//! time that a VM takes to move, and, around the start of a burst, the usual peak of bursts.

use {
    super::{Cell, Job, occurrence::Occurrence},
    crate::job::{ledger::Outcome, spec::Step},
    indexmap::IndexMap,
    std::time::{Duration, Instant},
};

/// Time between the end of a VM's move and when it takes tasks.
const JOIN_TIME: Duration = Duration::from_millis(900);
/// Assumed size of a VM as long as no runner is registered, in thousandths of a core.
const DEFAULT_VM_MILLICORES: f64 = 16_000.0;

/// Cores that a service needs.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Need {
    /// Cores for endless tasks, or for the fewest runners over which a step must be spread.
    pub(super) floor: f64,
    /// Cores for work that can be done in time or is expected, including the floor.
    pub(super) timely: f64,
    /// Additional cores for late work.
    pub(super) late: f64,
}

/// What the endless tasks of a service reserve.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct EndlessLoad {
    /// Thousandths of a core of all tasks.
    millicores: f64,
    /// Thousandths of a core of the largest task.
    largest: f64,
}

impl EndlessLoad {
    fn add(&mut self, step: &Step) {
        let each = f64::from(step.reserved().millicores);
        self.millicores += f64::from(step.tasks) * each;
        self.largest = self.largest.max(each);
    }

    /// Cores of all tasks.
    pub(super) fn cores(&self) -> f64 {
        self.millicores / 1_000.0
    }

    /// Number of VMs with `cores` cores each that hold all tasks in any packing.
    fn vms(&self, cores: f64) -> usize {
        (self.cores() / (cores - self.largest / 1_000.0).max(1.0)).ceil() as usize
    }
}

/// Fewest runners over which the steps of a job must be spread.
fn min_runners(job: &Job) -> usize {
    let limited = job.spec.steps.iter().filter(|step| step.per_runner > 0);
    limited.map(|step| step.tasks.div_ceil(step.per_runner) as usize).max().unwrap_or_default()
}

impl Cell {
    /// Needs of all services that have open jobs or a pool, except the spare pool.
    pub(super) fn needs(&self, now: Instant, spare: &str) -> IndexMap<String, Need> {
        let cores = self.vm_cores();
        let mut needs: IndexMap<String, Need> = IndexMap::new();
        let mut spread_vms: IndexMap<&str, usize> = IndexMap::new();
        for id in &self.open {
            let Some(job) = self.jobs.get(id).filter(|job| job.outcome == Outcome::Open) else {
                continue;
            };
            let alone = if self.has_suspect(*id) { cores } else { 0.0 };
            let need = needs.entry(job.service.to_string()).or_default();
            for (_, occurrence) in job.opened_occurrences() {
                // A suspect takes a VM of its own.
                let ready = ready_cores(job, occurrence, cores).max(alone);
                if occurrence.is_late(now) || !job.within_rate {
                    need.late += ready;
                } else {
                    need.timely += ready;
                }
            }
            let largest = spread_vms.entry(&job.service).or_default();
            *largest = min_runners(job).max(*largest);
        }
        for service in self.pools.initial_sizes.keys().filter(|name| *name != spare) {
            let need = needs.entry(service.clone()).or_default();
            let expected = self.load.extrapolated_cores(service, self.moving_time());
            need.timely = need.timely.max(expected).max(self.burst_cores(now, service, spare));
        }
        let endless = self.endless_loads();
        for (service, need) in &mut needs {
            let endless = endless.get(service.as_str()).copied().unwrap_or_default();
            let vms = spread_vms.get(service.as_str()).copied().unwrap_or_default();
            let vms = vms.max(endless.vms(cores));
            need.floor = endless.cores().max(vms as f64 * cores);
            need.timely = need.floor.max(need.timely + endless.cores());
        }
        needs
    }

    /// Time until a VM whose move begins now takes tasks.
    pub(super) fn moving_time(&self) -> Duration {
        self.bounds.move_time + JOIN_TIME
    }

    /// Cores for the peak of a service's burst; 0 unless its burst is rising, or is expected to
    /// begin before a VM that is moved now takes tasks.
    fn burst_cores(&self, now: Instant, service: &str, spare: &str) -> f64 {
        let has_burst = self.forecast.rising() == Some(service) || {
            let services: Vec<&str> = self
                .pools
                .initial_sizes
                .keys()
                .map(String::as_str)
                .filter(|name| *name != spare)
                .collect();
            let expected = self.forecast.next_burst(now, &services);
            expected.is_some_and(|expected| {
                let ahead = expected.at.saturating_duration_since(now);
                expected.service == service && ahead <= self.moving_time()
            })
        };
        if has_burst { self.forecast.peak(service) * self.initial_cores(service) } else { 0.0 }
    }

    /// Cores of a service's pool at its initial size.
    pub(super) fn initial_cores(&self, service: &str) -> f64 {
        let vms = self.pools.initial_sizes.get(service).copied().unwrap_or_default();
        vms as f64 * self.vm_cores()
    }

    /// Load of the endless tasks of each service that has some.
    pub(super) fn endless_loads(&self) -> IndexMap<&str, EndlessLoad> {
        let mut loads: IndexMap<&str, EndlessLoad> = IndexMap::new();
        for job in self.open_jobs() {
            for step in job.spec.steps.iter().filter(|step| step.endless) {
                loads.entry(&job.service).or_default().add(step);
            }
        }
        loads
    }

    /// Cores of the largest runner that has answered.
    pub(super) fn vm_cores(&self) -> f64 {
        let answered = self.workers.values().filter(|worker| worker.fence_accepted);
        let max_millicores =
            answered.map(|worker| f64::from(worker.room().millicores)).fold(0.0, f64::max);
        (if max_millicores > 0.0 { max_millicores } else { DEFAULT_VM_MILLICORES }) / 1_000.0
    }
}

/// Cores for the tasks of an occurrence that may run now, without endless ones, on VMs with `vm`
/// cores.
fn ready_cores(job: &Job, occurrence: &Occurrence, vm: f64) -> f64 {
    let steps = job.spec.steps.iter().zip(&occurrence.unfinished);
    let ready =
        steps.filter(|(step, left)| **left > 0 && !step.endless && occurrence.is_ready(step));
    ready.map(|(step, left)| f64::from(*left) * packed_cores(step, vm)).sum()
}

/// Cores that a task takes of a VM with `vm` cores, including its share of the remainder that is
/// too small for another task of its size.
fn packed_cores(step: &Step, vm: f64) -> f64 {
    let cores = f64::from(step.reserved().millicores) / 1_000.0;
    let fitting = (vm / cores.max(0.001)).floor();
    if (1.0..MANY_TASKS).contains(&fitting) { vm / fitting } else { cores }
}

/// Number of tasks of one size that a VM must hold for the remainder to be negligible, because
/// smaller tasks fill it.
const MANY_TASKS: f64 = 4.0;
