//! What each service needs, in cores: for work that can still be done in time, and for work that is
//! late already.
//!
//! A job that is in time needs room for every task that may run now, as its steps leave no time to run
//! them one after the other. Work about to come is what was submitted lately, extrapolated by the time
//! that a VM takes to move, and at the start of a turn what turns usually ask for.

use {
    super::{Cell, Job, job::Occurrence},
    crate::job::spec::Step,
    indexmap::IndexMap,
    std::time::{Duration, Instant},
};

/// Time beside the move itself until a moved VM takes tasks.
const JOINING: Duration = Duration::from_millis(900);
/// Cores that a VM is counted with where none of its pool is known, in thousandths.
const VM_MILLICORES: f64 = 16_000.0;

/// What a service needs.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Need {
    /// Cores held by endless tasks, or by the runners over which a step must be spread.
    pub(super) floor: f64,
    /// Cores for work that can be done in time or is about to come, the floor included.
    pub(super) timely: f64,
    /// Cores for work that is late, beyond those.
    pub(super) late: f64,
}

/// Runners over which a job's steps must be spread.
fn spread(job: &Job) -> usize {
    let limited = job.spec.steps.iter().filter(|step| step.per_runner > 0);
    limited.map(|step| step.tasks.div_ceil(step.per_runner) as usize).max().unwrap_or_default()
}

impl Cell {
    /// Needs of all services that have work or expect some.
    pub(super) fn needs(&self, now: Instant, spare: &str) -> IndexMap<String, Need> {
        let cores = self.vm_cores();
        let mut needs: IndexMap<String, Need> = IndexMap::new();
        let mut spreads: IndexMap<&str, usize> = IndexMap::new();
        for job in self.open_jobs() {
            let need = needs.entry(job.service.to_string()).or_default();
            for (_, occurrence) in job.open() {
                let ready = ready_cores(job, occurrence, cores);
                if occurrence.is_late(now) {
                    need.late += ready;
                } else {
                    need.timely += ready;
                }
            }
            let widest = spreads.entry(&job.service).or_default();
            *widest = spread(job).max(*widest);
        }
        for service in self.pools.sizes.keys().filter(|name| *name != spare) {
            let need = needs.entry(service.clone()).or_default();
            let coming = self.load.cores_after(service, self.moving_time());
            need.timely = need.timely.max(coming).max(self.turn_cores(now, service, spare));
        }
        for (service, need) in &mut needs {
            let vms = spreads.get(service.as_str()).copied().unwrap_or_default();
            let vms = vms.max(self.endless_vms(service, cores));
            need.floor = self.endless_cores(service).max(vms as f64 * cores);
            need.timely = need.floor.max(need.timely + self.endless_cores(service));
        }
        needs
    }

    /// Time until a VM that sets out now takes tasks.
    pub(super) fn moving_time(&self) -> Duration {
        self.bounds.move_time + JOINING
    }

    /// Cores that a service's turn asks for, if it has one or is about to.
    fn turn_cores(&self, now: Instant, service: &str, spare: &str) -> f64 {
        let begins = self.forecast.rising() == Some(service) || {
            let services: Vec<&str> =
                self.pools.sizes.keys().map(String::as_str).filter(|name| *name != spare).collect();
            let coming = self.forecast.coming(now, &services);
            coming.is_some_and(|coming| {
                let ahead = coming.at.saturating_duration_since(now);
                coming.service == service && ahead <= self.moving_time()
            })
        };
        if begins { self.forecast.peak(service) * self.first_cores(service) } else { 0.0 }
    }

    /// Cores of the pool that a service had first.
    pub(super) fn first_cores(&self, service: &str) -> f64 {
        let vms = self.pools.sizes.get(service).copied().unwrap_or_default();
        vms as f64 * self.vm_cores()
    }

    /// Endless steps of a service.
    fn endless_steps(&self, service: &str) -> impl Iterator<Item = &Step> {
        let jobs = self.open_jobs().filter(move |job| *job.service == *service);
        jobs.flat_map(|job| &job.spec.steps).filter(|step| step.endless)
    }

    fn endless_cores(&self, service: &str) -> f64 {
        let cores = |step: &Step| f64::from(step.tasks) * f64::from(step.reserved().millicores);
        self.endless_steps(service).map(cores).sum::<f64>() / 1_000.0
    }

    /// VMs of `cores` cores that surely hold a service's endless tasks, however they are packed.
    fn endless_vms(&self, service: &str, cores: f64) -> usize {
        let widest = self.endless_steps(service).map(|step| step.reserved().millicores).max();
        let widest = f64::from(widest.unwrap_or_default()) / 1_000.0;
        (self.endless_cores(service) / (cores - widest).max(1.0)).ceil() as usize
    }

    /// Cores of the largest VM.
    pub(super) fn vm_cores(&self) -> f64 {
        let rooms = self.workers.values().filter_map(|worker| worker.entry.as_ref());
        let most = rooms.map(|entry| f64::from(entry.room.millicores)).fold(0.0, f64::max);
        (if most > 0.0 { most } else { VM_MILLICORES }) / 1_000.0
    }
}

/// Cores for finite tasks that may run now, on VMs of `vm` cores.
fn ready_cores(job: &Job, occurrence: &Occurrence, vm: f64) -> f64 {
    let steps = job.spec.steps.iter().zip(&occurrence.left);
    let ready = steps.filter(|(step, left)| **left > 0 && !step.endless && occurrence.ready(step));
    ready.map(|(step, left)| f64::from(*left) * packed_cores(step, vm)).sum()
}

/// Cores of a VM that a task takes up, with its part of those that no task of its size can use.
fn packed_cores(step: &Step, vm: f64) -> f64 {
    let cores = f64::from(step.reserved().millicores) / 1_000.0;
    let fitting = (vm / cores.max(0.001)).floor();
    if (1.0..PACKS_WELL).contains(&fitting) { vm / fitting } else { cores }
}

/// Tasks of a size that a VM must hold at least for small ones to fill what they leave.
const PACKS_WELL: f64 = 4.0;
