//! Candidates of a placement pass: the runners on which tasks may be placed, and which of them are
//! reserved for tasks that fit nowhere now.
//!
//! A reservation lasts as long as the tasks that are on the runner, which may be much longer than they were
//! expected to take. It therefore doesn't keep a job from all runners for more than [`MAX_HOLD`] while
//! most of the service's cores are idle.

use {
    super::{Cell, Worker},
    crate::job::spec::{Resources, Spec, Step},
    indexmap::{IndexMap, IndexSet},
    std::{
        rc::Rc,
        time::{Duration, Instant},
    },
};

/// Runners of a service on which tasks may be placed now, as indices into `Cell::workers`.
#[derive(Default)]
pub(super) struct Candidates {
    /// Runners with free cores, without those reserved for a task that fits nowhere.
    runners: Vec<usize>,
    /// Runners without free cores. Tasks that need none, such as fillers, may still be placed on them.
    full: Vec<usize>,
    /// Runners that are reserved.
    reserved: Vec<usize>,
    /// Thousandths of a core of all runners that accept tasks, and how many of them are in use.
    millicores: (u64, u64),
    /// Runners in a suspected failure domain.
    suspected: Vec<usize>,
    /// Number of tasks and gangs that fitted nowhere now, and for which runners are reserved.
    reservations: usize,
    /// Labels and room of steps that none of the runners could ever hold.
    unfit: IndexSet<(String, Resources)>,
}

/// Time for which reservations may keep an idle job waiting while less than half of its service's cores
/// are in use.
pub(super) const MAX_HOLD: Duration = Duration::from_millis(2_000);
/// Number of tasks and gangs with reserved runners from which on the other jobs of a service are not
/// tried in this pass.
const MAX_RESERVATIONS: usize = 16;

impl Candidates {
    /// Runners on which a task of a step may be placed if it fits.
    pub(super) fn runners_for(&self, step: &Step) -> impl Iterator<Item = usize> {
        let full = if step.needs_cores() { &[][..] } else { &self.full };
        self.runners.iter().chain(full).copied()
    }

    /// Whether there is a runner for any step of a job.
    pub(super) fn has_runner_for(&self, spec: &Spec) -> bool {
        !self.runners.is_empty()
            || !self.full.is_empty() && spec.steps.iter().any(|step| !step.needs_cores())
    }

    /// The candidates that `keeps` allows.
    pub(super) fn filtered(&self, keeps: impl Fn(usize) -> bool) -> Self {
        let kept = |runners: &[usize]| runners.iter().copied().filter(|at| keeps(*at)).collect();
        Self { runners: kept(&self.runners), full: kept(&self.full), ..Self::default() }
    }

    /// Whether a further job may be placed on the runners. Suspects are tried in any case, as that has
    /// them tried again later.
    pub(super) fn may_hold(&self, spec: &Spec, is_suspect: bool) -> bool {
        self.reservations < MAX_RESERVATIONS && (is_suspect || self.has_runner_for(spec))
    }

    /// Reserves runners for a task or gang that fits nowhere now.
    pub(super) fn reserve(&mut self, runners: impl IntoIterator<Item = usize>) {
        self.reservations += 1;
        let reserved: IndexSet<usize> = runners.into_iter().collect();
        self.runners.retain(|runner| !reserved.contains(runner));
        self.full.retain(|runner| !reserved.contains(runner));
        self.reserved.extend(reserved);
    }

    /// Whether runners are reserved though less than half of the service's cores are in use, so that
    /// tasks may be kept from room that nobody uses.
    pub(super) fn holds_idle_room(&self) -> bool {
        let (all, used) = self.millicores;
        !self.reserved.is_empty() && 2 * used < all
    }

    /// The same candidates without any reservation.
    pub(super) fn without_reservations(&self) -> Self {
        let runners = self.runners.iter().chain(&self.reserved).copied().collect();
        Self { runners, full: self.full.clone(), ..Self::default() }
    }

    /// Adds a runner that accepts tasks.
    fn add(&mut self, index: usize, worker: &Worker) {
        let list = if worker.free().millicores > 0 { &mut self.runners } else { &mut self.full };
        list.push(index);
    }

    /// Whether a like step is known to fit none of the runners.
    pub(super) fn is_unfit_for(&self, step: &Step) -> bool {
        !self.unfit.is_empty() && self.unfit.contains(&(step.label.clone(), step.reserved()))
    }

    pub(super) fn mark_unfit_for(&mut self, step: &Step) {
        self.unfit.insert((step.label.clone(), step.reserved()));
    }
}

impl Cell {
    /// Runners of each service on which tasks may be placed now. Those in suspected failure domains
    /// are used only if there are no others.
    pub(super) fn candidates(&self, now: Instant) -> IndexMap<Rc<str>, Candidates> {
        let mut services: IndexMap<Rc<str>, Candidates> = IndexMap::new();
        let suspected = self.suspected_domains();
        for (index, worker) in self.workers.values().enumerate() {
            let Some(registration) =
                worker.registration.as_ref().filter(|_| worker.accepts_tasks(now))
            else {
                continue;
            };
            let candidates = match services.get_mut(registration.service.as_str()) {
                Some(candidates) => candidates,
                None => services.entry(Rc::from(registration.service.as_str())).or_default(),
            };
            let (all, used) = &mut candidates.millicores;
            *all += u64::from(worker.room().millicores);
            *used += u64::from(worker.used.millicores);
            // A runner whose room has shrunk below what is on it takes nothing.
            let overfull = !worker.room().holds(&worker.used);
            if overfull || self.detector.is_suspected(worker) {
                continue;
            }
            if worker.is_in(&suspected) {
                candidates.suspected.push(index);
            } else {
                candidates.add(index, worker);
            }
        }
        for candidates in services.values_mut() {
            self.use_suspected(candidates);
        }
        services
    }

    /// Uses the runners in suspected failure domains if there are no others with free cores, or none at
    /// all.
    fn use_suspected(&self, candidates: &mut Candidates) {
        let (no_free, no_full) = (candidates.runners.is_empty(), candidates.full.is_empty());
        for index in std::mem::take(&mut candidates.suspected) {
            let Some((_, worker)) = self.workers.get_index(index) else { continue };
            let has_free = worker.free().millicores > 0;
            if no_free && (has_free || no_full) {
                candidates.add(index, worker);
            }
        }
    }
}
