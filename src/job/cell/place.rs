//! Placement: which waiting task starts on which runner.
//!
//! Endless jobs come first, then jobs that can still complete in time, then late ones; within each
//! group those of higher priority, then those that have started already, then those due first (see
//! [`Rank`]). A task goes to the runner on which it leaves the least room, so that other runners
//! stay empty (see [`Fit`]). A task that fits nowhere reserves, of the runners that will hold it once
//! finite tasks have ended, the one with the most free cores, so that small tasks behind it do not starve
//! large ones.

use {
    super::{
        Cell, Effect,
        candidates::{Candidates, MAX_HOLD},
        choose::Choice,
        job::{Job, Phase, Placement, State, Status},
        occurrence::Occurrence,
        rank::Rank,
        suspect::SUSPECTS_RETRY_DELAY,
    },
    crate::job::spec::{self, Step, Task},
    indexmap::IndexMap,
    log::info,
    std::{cmp::Reverse, rc::Rc, time::Instant},
};

impl Cell {
    /// Places waiting tasks on runners. Their starts are sent once the ledger has stored the
    /// placements.
    pub(super) fn place(&mut self, now: Instant) {
        self.place_due = false;
        self.retry_after_quarantines(now);
        let mut services = self.candidates(now);
        let mut order = self.rank_waiting(now, &services);
        order.sort_unstable();
        self.promote_starved(&mut order, &services);
        let mut placed: IndexMap<spec::Id, usize> = IndexMap::new();
        for Entry { job, occurrence, service, .. } in order {
            let is_suspect = self.suspects.contains(&job);
            let Some((_, candidates)) = services.get_index_mut(service) else { continue };
            let Some(spec) = self.jobs.get(&job).map(|job| Rc::clone(&job.spec)) else { continue };
            let holds_idle_room = candidates.holds_idle_room();
            let mut all_placed = candidates.may_hold(&spec, is_suspect)
                && self.place_occurrence(now, job, occurrence, candidates);
            let waits = !all_placed && holds_idle_room;
            if self.is_held_back(now, job, occurrence, waits) {
                let mut candidates = candidates.without_reservations();
                all_placed = self.place_occurrence(now, job, occurrence, &mut candidates);
                if all_placed {
                    info!("place: job={job:016x} occurrence={occurrence} despite=reservations");
                }
            }
            if all_placed {
                *placed.entry(job).or_default() += 1;
            }
        }
        for (id, count) in placed {
            if self.unfinished_occurrences(&id).count() == count {
                self.waiting.swap_remove(&id);
            }
        }
    }

    /// Whether an occurrence has waited for too long for room that is reserved for others. `waits` tells
    /// whether it does so now.
    fn is_held_back(&mut self, now: Instant, id: spec::Id, number: u32, waits: bool) -> bool {
        let Some(job) = self.jobs.get_mut(&id) else { return false };
        let endless = job.spec.endless();
        let Some(occurrence) = job.occurrences.get_mut(number as usize) else { return false };
        if !waits || !(endless || occurrence.is_idle()) {
            occurrence.held_back_since = None;
            return false;
        }
        let until = *occurrence.held_back_since.get_or_insert(now) + MAX_HOLD;
        if until > now {
            self.retry_placement(until);
            return false;
        }
        true
    }

    /// Unfinished opened occurrences of a job.
    fn unfinished_occurrences(&self, id: &spec::Id) -> impl Iterator<Item = (u32, &Occurrence)> {
        let opened = self.jobs.get(id).into_iter().flat_map(Job::opened_occurrences);
        opened.filter(|(_, occurrence)| !occurrence.is_finished())
    }

    /// Waiting occurrences whose services have runners with room, and suspects, in no order.
    fn rank_waiting(&self, now: Instant, services: &IndexMap<Rc<str>, Candidates>) -> Vec<Entry> {
        let over_share = self.accounts.over_share();
        let sheds_load = self.bounds.sheds_load;
        let mut order = Vec::with_capacity(self.waiting.len());
        for id in &self.waiting {
            let Some(job) = self.jobs.get(id) else { continue };
            let Some((service, _, candidates)) = services.get_full(&job.service) else { continue };
            if !candidates.has_runner_for(&job.spec) && !self.suspects.contains(id) {
                continue;
            }
            let over_share =
                job.organisation.as_ref().is_some_and(|name| over_share.contains(name));
            let unfinished =
                job.opened_occurrences().filter(|(_, occurrence)| !occurrence.is_finished());
            order.extend(unfinished.map(|(number, occurrence)| {
                let rank = Rank::of(job, occurrence, now, over_share, sheds_load);
                Entry { rank, job: *id, occurrence: number, service }
            }));
        }
        order
    }

    /// Ranks one late job of each service as timely and started if its tasks need more than half of a
    /// runner, and as many as may run in isolation if they are suspected of crashing runners: on a busy
    /// pool they would otherwise never find a runner that is empty enough.
    fn promote_starved(&self, order: &mut [Entry], services: &IndexMap<Rc<str>, Candidates>) {
        let largest = self.largest_rooms();
        let mut rooms: Vec<u32> = services
            .keys()
            .map(|service| largest.get(&**service).copied().unwrap_or_default())
            .collect();
        let mut isolating = self.isolation_quotas();
        let mut changed = false;
        for entry in order.iter_mut().filter(|entry| entry.rank.finite && entry.rank.late) {
            let promoted = if self.has_suspect(entry.job) {
                services.get_index(entry.service).is_some_and(|(service, _)| {
                    isolating.get_mut(service).is_some_and(|quota| {
                        let any = *quota > 0;
                        *quota = quota.saturating_sub(1);
                        any
                    })
                })
            } else {
                // The room of a service is taken by its first large job.
                rooms.get_mut(entry.service).is_some_and(|room| {
                    let job = self.jobs.get(&entry.job).filter(|_| *room > 0);
                    let large = job.is_some_and(|job| is_large(job, *room));
                    if large {
                        *room = 0;
                    }
                    large
                })
            };
            if promoted {
                entry.rank.late = false;
                entry.rank.started = Reverse(true);
                changed = true;
            }
        }
        if changed {
            order.sort_unstable();
        }
    }

    /// Whole room of the largest runner of each service that has answered, in thousandths of a core.
    fn largest_rooms(&self) -> IndexMap<&str, u32> {
        let mut largest: IndexMap<&str, u32> = IndexMap::new();
        for worker in self.workers.values().filter(|worker| worker.fence_accepted) {
            let room = largest.entry(worker.service()).or_default();
            *room = worker.room().millicores.max(*room);
        }
        largest
    }

    /// Places the tasks of an occurrence; returns whether none of them waits any more.
    fn place_occurrence(
        &mut self,
        now: Instant,
        job: spec::Id,
        occurrence: u32,
        candidates: &mut Candidates,
    ) -> bool {
        let Some(spec) = self.jobs.get(&job).map(|job| Rc::clone(&job.spec)) else { return true };
        let mut all_placed = true;
        for (number, step) in (0..).zip(&spec.steps) {
            let first = Task { job, occurrence, step: number, index: 0 };
            let Some(state) = self.occurrence(&first) else { return true };
            if !state.is_ready(step) {
                all_placed &= state.unfinished.get(usize::from(number)) == Some(&0);
                continue;
            }
            let mut waiting = self.waiting_tasks(&first);
            all_placed &= !self.hold_unproven(now, &mut waiting);
            all_placed &= !self.hold_malformed(now, &mut waiting);
            let placed = if self.needs_ticket(job) {
                self.place_with_tickets(now, &waiting, step, candidates)
            } else {
                self.place_step(now, &waiting, step, candidates)
            };
            self.log_placed(&first, &placed);
            all_placed &= placed.len() == waiting.len();
        }
        all_placed
    }

    /// Places tasks of a step on runners for which the step has tickets, and asks the advisor for
    /// more tickets if those runners do not suffice; returns the tasks that it placed.
    fn place_with_tickets(
        &mut self,
        now: Instant,
        waiting: &[Task],
        step: &Step,
        candidates: &mut Candidates,
    ) -> Vec<Task> {
        let Some(first) = waiting.first() else { return Vec::new() };
        let has_ticket = |at: usize| {
            let worker = self.workers.get_index(at);
            worker.is_some_and(|(id, _)| self.ticket(now, first, id).is_some())
        };
        let mut advised = candidates.filtered(has_ticket);
        let placed = self.place_step(now, waiting, step, &mut advised);
        if placed.len() < waiting.len() {
            self.ask_advisor(now, first, step, candidates);
        }
        placed
    }

    /// Places tasks of a step on candidates; returns those that it placed.
    fn place_step(
        &mut self,
        now: Instant,
        waiting: &[Task],
        step: &Step,
        candidates: &mut Candidates,
    ) -> Vec<Task> {
        if step.gang {
            self.place_gang(now, waiting, step, candidates)
        } else {
            self.place_tasks(now, waiting, step, candidates)
        }
    }

    /// Places as many tasks of a step as there is room for; returns them.
    fn place_tasks(
        &mut self,
        now: Instant,
        waiting: &[Task],
        step: &Step,
        candidates: &mut Candidates,
    ) -> Vec<Task> {
        let mut placed = Vec::new();
        let Some(first) = waiting.first() else { return placed };
        let comparable = step.per_runner == 0 && !self.suspects.contains(&first.job);
        if comparable && candidates.is_unfit_for(step) {
            return placed;
        }
        let mut zone = self.zone_of(first);
        for &task in waiting {
            if !self.limit_allows(&task, step, 1) {
                break;
            }
            match self.choose_runner(now, &task, step, zone.as_deref(), candidates) {
                Choice::Runner(runner) => {
                    self.assign_run(now, task, step, runner);
                    placed.push(task);
                    zone = zone.or_else(|| self.zone_of(&task));
                }
                Choice::Nowhere(most_free) => {
                    if self.suspects.contains(&task.job) {
                        self.retry_placement(now + SUSPECTS_RETRY_DELAY);
                    }
                    match most_free {
                        Some(runner) => candidates.reserve([runner]),
                        None if comparable => candidates.mark_unfit_for(step),
                        None => {}
                    }
                    break;
                }
            }
        }
        placed
    }

    /// Has placement run again when the next quarantine of a runner ends.
    fn retry_after_quarantines(&mut self, now: Instant) {
        let ends = self.workers.values().filter_map(|worker| worker.quarantined_until);
        if let Some(at) = ends.filter(|at| *at > now).min() {
            self.retry_placement(at);
        }
    }

    /// Has placement run again at a time from which on more tasks may find a runner.
    pub(super) fn retry_placement(&mut self, at: Instant) {
        let earliest = self.retry_placement_at.map_or(at, |other| other.min(at));
        self.retry_placement_at = Some(earliest);
    }

    fn occurrence(&self, task: &Task) -> Option<&Occurrence> {
        self.jobs.get(&task.job)?.occurrences.get(task.occurrence as usize)
    }

    /// Logs the placed tasks of a step as `index.run@runner`.
    fn log_placed(&self, step: &Task, placed: &[Task]) {
        let run = |task: &Task| {
            let state = self.task(task)?;
            let Status::Placed(placement) = &state.status else { return None };
            Some(format!("{}.{}@{}", task.index, state.run, placement.runner))
        };
        let runs: Vec<String> = placed.iter().filter_map(run).collect();
        if !runs.is_empty() {
            let Task { job, occurrence, step, .. } = step;
            info!(
                "place: job={job:016x} occurrence={occurrence} step={step} fence={} runs={}",
                self.fence,
                runs.join(",")
            );
        }
    }

    /// Tasks of a step that wait for a runner; `first` is the first task of the step.
    fn waiting_tasks(&self, first: &Task) -> Vec<Task> {
        let tasks = self.jobs.get(&first.job).and_then(|job| job.siblings(first));
        let waits = |(index, state): (u16, &State)| {
            (state.status == Status::Waiting).then_some(Task { index, ..*first })
        };
        (0..).zip(tasks.into_iter().flatten()).filter_map(waits).collect()
    }

    /// Places the next run of a task on the runner with the index `runner`.
    pub(super) fn assign_run(&mut self, now: Instant, task: Task, step: &Step, runner: usize) {
        let Some((id, _)) = self.workers.get_index(runner) else { return };
        let runner = Rc::clone(id);
        self.take_room(&runner, task, step);
        let Some(state) = self.task_mut(&task) else {
            return;
        };
        state.run += 1;
        let (run, phase) = (state.run, Phase::Planned);
        let placement = Placement {
            runner: Rc::clone(&runner),
            phase,
            since: now,
            percent: 0,
            attempts: 0,
            until_ms: 0,
            sent_to: None,
            restored: false,
            confirmed: false,
        };
        state.status = Status::Placed(placement);
        self.mark_dirty(task.job);
        self.effects.push(Effect::Start(runner, task, run));
    }

    /// Availability zone of the first placed task in the step of `task`.
    fn zone_of(&self, task: &Task) -> Option<String> {
        let tasks = self.jobs.get(&task.job)?.siblings(task)?;
        let placed = tasks.iter().find_map(|state| match &state.status {
            Status::Placed(placement) => Some(&placement.runner),
            _ => None,
        })?;
        Some(self.workers.get(placed)?.registration.as_ref()?.zone.clone())
    }
}

/// Whether a task of the job needs more than half of a runner with `room` thousandths of a core.
fn is_large(job: &Job, room: u32) -> bool {
    let largest = job.spec.steps.iter().map(|step| step.reserved().millicores).max();
    largest.unwrap_or_default() > room / 2
}

/// A waiting occurrence, in the order of placement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Entry {
    rank: Rank,
    job: spec::Id,
    occurrence: u32,
    /// Index of its service among those with candidates.
    service: usize,
}
