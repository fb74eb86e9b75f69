//! Candidates of a placement pass: the runners on which tasks may be placed, and which of them are
//! reserved for tasks that fit nowhere now.
//!
//! A reservation lasts as long as the tasks that are on the runner, which may be much longer than they were
//! expected to take. It therefore doesn't keep a job from all runners for more than [`MAX_HOLD`] while
//! most of the service's cores are idle.

use {
    super::Cell,
    crate::job::spec::{Resources, Step},
    indexmap::{IndexMap, IndexSet},
    std::{
        rc::Rc,
        time::{Duration, Instant},
    },
};

/// Runners of a service on which tasks may be placed now, as indices into `Cell::workers`.
#[derive(Default)]
pub(super) struct Candidates {
    /// Runners with room, without those reserved for a task that fits nowhere.
    pub(super) runners: Vec<usize>,
    /// Runners that are reserved.
    reserved: Vec<usize>,
    /// Thousandths of a core of all runners that accept tasks, and how many of them are in use.
    millicores: (u64, u64),
    /// Runners with room in a suspected failure domain.
    suspected: Vec<usize>,
    /// Number of recent crashes of the VM that has crashed least, of those with a runner here.
    pub(super) fewest_crashes: usize,
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
    /// Candidates among which nothing is reserved yet.
    pub(super) fn new(runners: Vec<usize>, fewest_crashes: usize) -> Self {
        Self { runners, fewest_crashes, ..Self::default() }
    }

    /// Whether a further job may be placed on the runners. Suspects are tried in any case, as that has
    /// them tried again later.
    pub(super) fn may_hold(&self, is_suspect: bool) -> bool {
        self.reservations < MAX_RESERVATIONS && (is_suspect || !self.runners.is_empty())
    }

    /// Reserves runners for a task or gang that fits nowhere now.
    pub(super) fn reserve(&mut self, runners: impl IntoIterator<Item = usize>) {
        self.reservations += 1;
        let reserved: IndexSet<usize> = runners.into_iter().collect();
        self.runners.retain(|runner| !reserved.contains(runner));
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
        Self::new(runners, self.fewest_crashes)
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
                None => {
                    let first = Candidates { fewest_crashes: usize::MAX, ..Candidates::default() };
                    services.entry(Rc::from(registration.service.as_str())).or_insert(first)
                }
            };
            if !self.suspects.is_empty() {
                let crashes = self.recent_crashes(now, worker);
                candidates.fewest_crashes = candidates.fewest_crashes.min(crashes);
            }
            let (all, used) = &mut candidates.millicores;
            *all += u64::from(worker.room().millicores);
            *used += u64::from(worker.used.millicores);
            if worker.free().millicores == 0 || self.detector.is_suspected(worker) {
                continue;
            }
            if worker.is_in(&suspected) {
                candidates.suspected.push(index);
            } else {
                candidates.runners.push(index);
            }
        }
        for candidates in services.values_mut().filter(|candidates| candidates.runners.is_empty()) {
            candidates.runners = std::mem::take(&mut candidates.suspected);
        }
        services
    }
}
