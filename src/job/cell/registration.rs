//! Registrations of runners: what follows when a runner appears, restarts, is replaced or goes.

use {
    super::{Cell, Lease, RunnerId, Worker, job::Status},
    crate::job::{runner::Registration, spec::Task},
    log::info,
    std::{
        rc::Rc,
        time::{Duration, Instant},
    },
};

/// Time after which a runner that the store does not list and that has no tasks is removed.
const REMOVAL_DELAY: Duration = Duration::from_secs(5);

impl Cell {
    /// Handles that the store lists a runner with this registration, or none if it no longer lists
    /// it.
    pub fn update_registration(
        &mut self,
        now: Instant,
        id: &str,
        registration: Option<Registration>,
    ) {
        let Some(registration) = registration else {
            self.unknown_services.swap_remove(id);
            return self.unlist(now, id);
        };
        if !self.is_of_runner(id, &registration) {
            return self.set_aside(id, registration);
        }
        self.unknown_services.swap_remove(id);
        let vm = registration.vm.clone();
        match self.workers.get(id) {
            Some(worker) if worker.is_stale(&registration) => {}
            Some(_) => self.renew_registration(now, id, registration),
            None => {
                info!(
                    "runner: id={id} new service={} sequence={}",
                    registration.service, registration.sequence
                );
                let lease = self.lease_of_new_runner(now);
                let worker = Worker::new(Some(registration), now, lease, self.newest_fence);
                self.workers.insert(Rc::from(id), worker);
            }
        }
        self.remove_former_runners(now, id, &vm);
    }

    /// Handles that the store no longer lists a runner.
    fn unlist(&mut self, now: Instant, id: &str) {
        if let Some(worker) = self.workers.get_mut(id).filter(|worker| worker.listed) {
            info!("runner: id={id} listed=false tasks={}", worker.tasks.len());
            worker.listed = false;
            worker.absent_since = now;
        }
    }

    /// Whether a registration is a runner's: the manifest names its service, or the runner is known
    /// already, by the ledger or from an earlier manifest. Others may write to the store's list as well.
    fn is_of_runner(&self, id: &str, registration: &Registration) -> bool {
        let service = registration.service.as_str();
        let same = |worker: &Worker| worker.registration.is_none() || worker.service() == service;
        self.manifest.service(service).is_some() || self.workers.get(id).is_some_and(same)
    }

    /// Keeps a registration whose service no manifest names, in case a later one does.
    fn set_aside(&mut self, id: &str, registration: Registration) {
        let service = registration.service.clone();
        if self.unknown_services.insert(String::from(id), registration).is_none() {
            info!("runner: id={id} ignored service={service:?} why=\"not in the manifest\"");
        }
    }

    /// Takes in the runners that have registered before the manifest in force named their services.
    pub(super) fn register_known_services(&mut self, now: Instant) {
        for (id, registration) in std::mem::take(&mut self.unknown_services) {
            self.update_registration(now, &id, Some(registration));
        }
    }

    /// Handles a registration of a known runner. One of another incarnation has the runner polled: only
    /// its own answer shows which incarnation there is, as clocks may go back and others may write to the
    /// list.
    fn renew_registration(&mut self, now: Instant, id: &str, registration: Registration) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        let incarnation = registration.incarnation;
        let restarted = incarnation.is_some()
            && worker.incarnation.is_some()
            && incarnation != worker.incarnation;
        let starts_draining = registration.draining && !worker.is_draining();
        let is_back = !worker.listed;
        worker.listed = true;
        if starts_draining || is_back || restarted {
            let state = if registration.draining { "draining" } else { "ready" };
            info!(
                "runner: id={id} listed=true state={state} reborn={restarted} sequence={}",
                registration.sequence
            );
            self.place_due = true;
        }
        let room = registration.room;
        if worker.registration.is_some() && worker.room() != room {
            info!("runner: id={id} room={} memory_mib={}", room.millicores, room.memory_mib);
            self.place_due = true;
        }
        worker.incarnation = worker.incarnation.or(incarnation);
        worker.registration = Some(registration);
        if restarted {
            worker.notice_restart(now);
        }
    }

    /// Notes an incarnation that has answered for the first time. It takes no tasks if its VM is being
    /// drained.
    pub(super) fn note_incarnation(&mut self, now: Instant, id: &str) {
        let Some(worker) = self.workers.get(id) else { return };
        let incarnation = worker.incarnation;
        let Some(registration) = worker.registration.clone() else { return };
        let registration = Registration { incarnation, ..registration };
        let vm_draining = self.runner_registered(now, id, &registration);
        if let Some(worker) = self.workers.get_mut(id) {
            worker.vm_draining = vm_draining;
        }
    }

    /// Removes runners of a VM that are older than its runner `id`: they have ended, since a VM has
    /// one runner at a time. An entry in the list shows nothing by itself: `id` must have answered.
    pub(super) fn remove_former_runners(&mut self, now: Instant, id: &str, vm: &str) {
        if vm.is_empty() {
            return;
        }
        let newer = self.workers.get(id).filter(|worker| worker.fence_accepted);
        let Some(incarnation) = newer.and_then(|worker| worker.incarnation) else { return };
        let former = |(other, worker): (&RunnerId, &Worker)| {
            let registration = worker.registration.as_ref()?;
            let older =
                worker.incarnation.is_some_and(|other_incarnation| other_incarnation < incarnation);
            (registration.vm == vm && older).then(|| Rc::clone(other))
        };
        let former: Vec<_> = self.workers.iter().filter_map(former).collect();
        for other in former {
            self.runner_crashed(now, &other);
            self.lose_runs(now, &other, "its VM has a newer runner");
            self.workers.swap_remove(&other);
        }
    }

    /// Lease of a runner that registers for the first time. Shortly after a takeover, the previous owner
    /// may still have called it.
    fn lease_of_new_runner(&self, now: Instant) -> Lease {
        if now < self.inherits_leases_until {
            return Lease::inherited(self.bounds.lease, now);
        }
        Lease::none(self.bounds.lease, now)
    }

    /// Tasks on an unresponsive runner that have ended with its lease. A start without an answer may have
    /// reached another incarnation, with a longer lease.
    fn expired_tasks(&self, now: Instant, worker: &Worker) -> Vec<Task> {
        let unresponsive = worker.unresponsive_since.is_some() || worker.registration.is_none();
        if !unresponsive || worker.lease.expiry() > now {
            return Vec::new();
        }
        let all = worker.lease.latest_expiry() <= now;
        let has_ended = |task: &&Task| {
            all || self.task(task).is_none_or(|state| match &state.status {
                Status::Placed(placement) => placement.confirmed,
                Status::Waiting | Status::Done => true,
            })
        };
        worker.tasks.keys().filter(has_ended).copied().collect()
    }

    /// Takes the tasks of unresponsive runners whose leases have expired for lost, and removes
    /// runners that are gone.
    pub(super) fn expire_leases(&mut self, now: Instant) {
        let expired: Vec<(RunnerId, Vec<Task>)> = self
            .workers
            .iter()
            .map(|(id, worker)| (Rc::clone(id), self.expired_tasks(now, worker)))
            .filter(|(_, tasks)| !tasks.is_empty())
            .collect();
        for (id, tasks) in expired {
            self.record_losses(now, &id, &tasks);
            self.lose_tasks(now, &id, &tasks, "its lease has expired");
        }
        let gone = |worker: &Worker| {
            !worker.listed
                && worker.tasks.is_empty()
                && now.saturating_duration_since(worker.absent_since) > REMOVAL_DELAY
        };
        self.workers.retain(|_, worker| !gone(worker));
    }
}
