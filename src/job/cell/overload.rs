//! Overload: which submitted jobs are refused because more is asked than there is room for.
//!
//! This answers a load that exceeds what a service's VMs can do for some seconds, also with all
//! VMs that can be moved to it. Accepted jobs have to run, so without a limit the backlog of such a
//! time makes callers wait for results that no longer help them, and delays those that come after.
//! A job is therefore refused, before it is stored, if by the backlog its result would come when it
//! is of no use any more, and a job beyond its organisation's rate if it could not be in time. A job
//! that will be late but of use is accepted.
//!
//! A refused caller is told to return when the backlog will have shrunk enough for a job like its
//! own. Callers that are refused at the same moment return spread over a quarter of that time, in an
//! order that follows from the names of their jobs.

use {
    super::{Cell, Job, Worker},
    crate::job::{
        manifest::Queue,
        spec::{self, Spec},
    },
    displaydoc::Display,
    indexmap::IndexMap,
    std::{
        rc::Rc,
        time::{Duration, Instant},
    },
};

/// Multiple of the time allowed for a job until which its result is of use to its caller.
pub const USEFUL_FACTOR: u32 = 3;
/// Interval at which backlogs are measured anew; between two measurements accepted jobs are added.
const MEASURE_INTERVAL: Duration = Duration::from_millis(150);
/// Time that storing a job, starting its tasks and seeing their ends takes.
const OVERHEAD: Duration = Duration::from_millis(60);
/// Part of a delay over which callers that are refused together return.
const SPREAD: f64 = 0.25;
/// Delay after which a caller is asked to return whose job finds no memory: some jobs end by then.
const MEMORY_DELAY: Duration = Duration::from_secs(2);
/// Longest delay after which a caller is asked to return: by then the load may have changed.
const MAX_DELAY: Duration = Duration::from_secs(10);

/// Work of a service that waits or runs, and the cores that do it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Backlog {
    /// Core-seconds of each job that can still be in time, and when it is due, earliest first. They
    /// are done in this order.
    timely: Vec<(Instant, f64)>,
    /// Core-seconds of late work, which timely work overtakes.
    late: f64,
    /// Cores for both, with those of VMs on their way to the service.
    cores: f64,
    /// Since when more work has been submitted than the cores can do; `None` if it is not.
    overloaded_since: Option<Instant>,
}

/// What matters about a submitted job.
#[derive(Clone, Copy, Debug)]
pub struct Demand {
    /// Core-seconds of its tasks.
    pub work: f64,
    /// Estimated length of its critical path.
    pub critical_path: Duration,
    /// When it is submitted.
    pub now: Instant,
    /// Time within which it should complete.
    pub allowed: Duration,
    /// Whether it is within the rate of its organisation.
    pub within_rate: bool,
}

/// Why a job is refused, and after which delay its caller should return.
#[derive(Clone, Copy, Debug, Display, PartialEq)]
pub enum Refusal {
    /// its result would come too late to be of use
    Useless(Duration),
    /// it is beyond the rate of its organisation, and would be late
    OverRate(Duration),
    /// the memory for jobs is used up
    Memory,
}

impl Backlog {
    /// Empty backlog of a service with so many cores.
    pub fn new(cores: f64) -> Self {
        Self { cores, ..Self::default() }
    }

    /// Core-seconds of work that can still be in time.
    pub fn timely(&self) -> f64 {
        self.timely.iter().map(|(_, work)| work).sum()
    }

    /// Core-seconds of late work.
    pub fn late(&self) -> f64 {
        self.late
    }

    /// Cores that do the work.
    pub fn cores(&self) -> f64 {
        self.cores
    }

    /// Records at `now` whether more work is being submitted than the cores can do.
    pub fn set_overloaded(&mut self, now: Instant, overloaded: bool) {
        self.overloaded_since = overloaded.then(|| self.overloaded_since.unwrap_or(now));
    }

    /// Time for which new timely work will overtake late work: an overload is expected to last as
    /// long again as it has lasted.
    fn overload_left(&self, now: Instant) -> Duration {
        self.overloaded_since.map_or(Duration::ZERO, |at| now.saturating_duration_since(at))
    }

    /// Adds a job that was accepted.
    pub fn add(&mut self, demand: &Demand) {
        if !demand.within_rate {
            self.late += demand.work;
            return;
        }
        let due = demand.now + demand.allowed;
        let position = self.timely.partition_point(|(other, _)| *other <= due);
        self.timely.insert(position, (due, demand.work));
    }

    /// Decides whether a job is accepted.
    pub fn decide(&self, demand: &Demand) -> Result<(), Refusal> {
        let Demand { work, critical_path, now, allowed, .. } = *demand;
        let own = critical_path + OVERHEAD;
        // Work that is late or beyond a rate begins after all other work.
        let last = self.time_for(self.timely() + self.late + work) + self.overload_left(now) + own;
        if !demand.within_rate {
            let delay = last.saturating_sub(allowed);
            return if delay.is_zero() { Ok(()) } else { Err(Refusal::OverRate(delay)) };
        }
        let in_turn = self.time_for(self.timely_before(now + allowed) + work) + own;
        if in_turn <= allowed || last <= allowed * USEFUL_FACTOR {
            return Ok(());
        }
        Err(Refusal::Useless(in_turn.saturating_sub(allowed)))
    }

    /// Core-seconds of timely work that is due by `due`.
    fn timely_before(&self, due: Instant) -> f64 {
        let before = self.timely.iter().take_while(|(other, _)| *other <= due);
        before.map(|(_, work)| work).sum()
    }

    /// Time until the cores have done `work` core-seconds.
    fn time_for(&self, work: f64) -> Duration {
        Duration::from_secs_f64((work / self.cores.max(1.0)).min(3_600.0))
    }
}

impl Refusal {
    /// Delay after which the caller of the job `id` should return.
    pub fn delay(&self, id: spec::Id) -> Duration {
        let delay = match *self {
            Self::Useless(delay) | Self::OverRate(delay) => delay,
            Self::Memory => MEMORY_DELAY,
        };
        // The low digits of names that callers choose at random are evenly spread.
        let position = (id % 1_024) as f64 / 1_024.0;
        delay.min(MAX_DELAY).mul_f64(1.0 + SPREAD * position)
    }
}

/// Backlogs of all services, as last measured.
#[derive(Clone, Debug, Default)]
pub struct Backlogs {
    by_service: IndexMap<Rc<str>, Backlog>,
    measured_at: Option<Instant>,
}

impl Cell {
    /// Decides whether a submitted job is accepted, and adds it to the backlog if so. Endless and
    /// scheduled jobs are always accepted: they are no sudden load.
    pub(super) fn check_overload(
        &mut self,
        now: Instant,
        queue: &Queue,
        spec: &Spec,
        within_rate: bool,
    ) -> Result<(), Refusal> {
        if !self.bounds.sheds_load || spec.endless() || spec.schedule.is_some() {
            return Ok(());
        }
        let Some(backlog) = self.backlogs.by_service.get_mut(queue.service.as_str()) else {
            return Ok(());
        };
        let ratio = self.load.run_time_ratio(&queue.name);
        let demand = Demand {
            work: spec.work() * ratio,
            critical_path: spec.critical_path().mul_f64(ratio),
            now,
            allowed: queue.time_allowed(spec),
            within_rate,
        };
        backlog.decide(&demand)?;
        backlog.add(&demand);
        Ok(())
    }

    /// Backlog of a service.
    pub(super) fn backlog(&self, service: &str) -> Option<&Backlog> {
        self.backlogs.by_service.get(service)
    }

    /// Measures the backlogs of all services if it is time to.
    pub(super) fn measure_backlogs(&mut self, now: Instant) {
        let recent = |at| now.saturating_duration_since(at) < MEASURE_INTERVAL;
        if !self.bounds.sheds_load || self.backlogs.measured_at.is_some_and(recent) {
            return;
        }
        let mut by_service: IndexMap<Rc<str>, Backlog> = IndexMap::new();
        let endless = self.endless_loads();
        for job in self.open_jobs().filter(|job| !job.spec.endless()) {
            let backlog = match by_service.get_mut(&job.service) {
                Some(backlog) => backlog,
                None => {
                    let endless = endless.get(&*job.service).copied().unwrap_or_default();
                    let backlog = self.empty_backlog(now, &job.service, endless.cores());
                    by_service.entry(Rc::clone(&job.service)).or_insert(backlog)
                }
            };
            let ratio = self.load.run_time_ratio(&job.queue);
            for (_, occurrence) in job.opened_occurrences() {
                let work = occurrence.remaining_work(&job.spec, ratio, now);
                if job.within_rate && !occurrence.is_late(now) {
                    backlog.timely.push((occurrence.due, work));
                } else {
                    backlog.late += work;
                }
            }
        }
        for backlog in by_service.values_mut() {
            backlog.timely.sort_by_key(|(due, _)| *due);
        }
        self.backlogs = Backlogs { by_service, measured_at: Some(now) };
    }

    /// Backlog of a service without any work, to which the work found is added; `endless` cores are
    /// for endless tasks.
    fn empty_backlog(&self, now: Instant, service: &str, endless: f64) -> Backlog {
        let mut backlog = Backlog::new(self.finite_cores(service, endless));
        backlog.overloaded_since = self.backlog(service).and_then(|last| last.overloaded_since);
        backlog.set_overloaded(now, self.load.cores(service) > backlog.cores);
        backlog
    }

    /// Cores that a service has besides those for endless tasks, with those of the VMs that its pool
    /// should get.
    fn finite_cores(&self, service: &str, endless: f64) -> f64 {
        let target = self.pools.targets.get(service).copied().unwrap_or_default();
        let is_registered = |worker: &&Worker| {
            let registration = worker.registration.as_ref();
            registration.is_some_and(|registration| registration.service == *service)
        };
        let vms = self.workers.values().filter(is_registered).count().max(target);
        (vms as f64 * self.vm_cores() - endless).max(self.vm_cores())
    }
}

/// Whether the result of a job will be of no use to its caller any more, by what is left of its
/// critical path.
pub(super) fn is_useless(job: &Job, remaining: Duration, now: Instant) -> bool {
    now + remaining > job.accepted_at + job.time_allowed() * USEFUL_FACTOR
}
