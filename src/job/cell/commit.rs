//! Batches of records for the ledger, and the effects that are applied once they are stored.
//!
//! One batch is in flight at a time; changes made meanwhile wait for the next one.

use {
    super::{Action, Batch, Cell, Effect, RequestId, RunnerId, Status, job::State},
    crate::job::{
        access::Gate,
        answer::Answer,
        ledger::{self, Outcome, Record},
        manifest::Manifest,
        route::Table,
        runner::{EndNumber, Incarnation},
        spec::{self, Task},
    },
    indexmap::IndexMap,
    log::{error, info},
    std::{
        rc::Rc,
        time::{Duration, Instant},
    },
};

impl Cell {
    /// Next batch to append to the ledger, if none is in flight and an effect or a change waits for
    /// one. Without any changed record, the batch holds a barrier, which the ledger accepts only
    /// from the current owner.
    pub fn next_batch(&mut self, now: Instant) -> Option<Batch> {
        let idle = self.effects.is_empty() && !self.pools.changed() && self.next_manifest.is_none();
        if self.in_flight.is_some() || idle {
            return None;
        }
        let mut records = Vec::new();
        let next = self.next_manifest.take();
        let former = match &next {
            Some(manifest) => self.former.take_changed_to(self.former_queues(manifest)),
            None => self.former.take_changed(),
        };
        if let Some(queues) = former {
            push_encoded(&mut records, ledger::former_queues(&queues));
        }
        if let Some(manifest) = next {
            push_encoded(&mut records, ledger::manifest(&manifest));
            self.effects.push(Effect::ActivateManifest(Box::new(manifest)));
        }
        if self.pools.take_changed() {
            push_encoded(&mut records, ledger::upkeep(&self.pools.to_ledger()));
        }
        self.add_new_jobs(&mut records);
        self.add_progress(&mut records);
        records.extend(
            std::mem::take(&mut self.removed_jobs).into_iter().flat_map(ledger::job_removal),
        );
        if records.is_empty() {
            records.push(ledger::barrier());
        }
        self.in_flight = Some(std::mem::take(&mut self.effects));
        self.batch_sent = Some(now);
        Some(Batch { records: self.divider.divide(records) })
    }

    /// Adds the records of accepted jobs to a batch.
    fn add_new_jobs(&mut self, records: &mut Vec<Record>) {
        for id in std::mem::take(&mut self.new_jobs) {
            if let Some(job) = self.jobs.get(&id) {
                let content = ledger::Accepted {
                    queue: job.queue.to_string(),
                    service: job.service.to_string(),
                    at_ms: job.accepted_ms,
                    spec: (*job.spec).clone(),
                    origin: job.organisation.as_ref().map(|name| ledger::Origin {
                        organisation: name.to_string(),
                        within_rate: job.within_rate,
                    }),
                };
                push_encoded(records, ledger::accepted(id, &content));
            }
        }
    }

    /// Adds the progress of jobs that have changed to a batch.
    fn add_progress(&mut self, records: &mut Vec<Record>) {
        for id in std::mem::take(&mut self.dirty) {
            let Some(job) = self.jobs.get_mut(&id) else { continue };
            let settled = job.is_settled();
            if settled {
                job.shrink();
                self.sizes.shrink(id);
            }
            let mut progress = job.progress();
            let organisation = job.organisation.as_deref().filter(|_| settled);
            progress.organisation = organisation.map(String::from);
            push_encoded(records, ledger::progress(id, &progress));
            // The outcome comes first, as the owner may end between two appends of the batch.
            if settled {
                records.push(ledger::spec_removal(id));
            }
        }
    }

    /// Handles that the ledger has stored the batch in flight.
    pub fn batch_committed(&mut self, now: Instant) {
        self.confirmed_at = self.confirmed_at.max(self.batch_sent.take());
        for effect in self.in_flight.take().into_iter().flatten() {
            self.apply(now, effect);
        }
    }

    /// Refuses the submissions that are not in flight to the ledger: they will not run. `missing`
    /// is the time for which the ledger has not answered.
    pub fn refuse_unstored(&mut self, now: Instant, why: &str, missing: Duration) {
        let refused: Vec<_> = std::mem::take(&mut self.new_jobs);
        for id in &refused {
            self.undo_placements(now, *id);
            self.jobs.swap_remove(id);
            self.sizes.remove(*id);
            self.open.swap_remove(id);
            self.waiting.swap_remove(id);
            self.dirty.swap_remove(id);
            info!("refuse: job={id:016x} why={why:?}");
        }
        let is_refused = |id: &spec::Id| refused.contains(id);
        for effect in std::mem::take(&mut self.effects) {
            match effect {
                Effect::Answer(request, Some(id), answer) if is_refused(&id) => {
                    self.answer_refused(request, &answer, why, missing);
                }
                Effect::PublishOutcome(id) | Effect::StopAll(id) if is_refused(&id) => {}
                other => self.effects.push(other),
            }
        }
    }

    /// Answers a request about a job that is refused; `answer` is what it would have got if the job
    /// had been stored.
    fn answer_refused(
        &mut self,
        request: RequestId,
        answer: &Answer,
        why: &str,
        missing: Duration,
    ) {
        if *answer == Answer::Accepted {
            self.actions.push(Action::Answer(request, Answer::refused(why, missing)));
        } else {
            self.effects.push(Effect::Answer(request, None, Answer::NoJob));
        }
    }

    /// Accepts a newer manifest, which takes effect once the ledger has stored it.
    pub fn update_manifest(&mut self, manifest: Manifest) {
        if manifest.version <= self.newest_version {
            return;
        }
        self.newest_version = manifest.version;
        self.next_access =
            Some((Table::new(&manifest.queues), Gate::new(manifest.access.as_ref())));
        self.next_manifest = Some(manifest);
    }

    /// Applies an effect of a change that the ledger has stored.
    fn apply(&mut self, now: Instant, effect: Effect) {
        match effect {
            Effect::Answer(request, _, answer) => {
                self.actions.push(Action::Answer(request, answer));
            }
            Effect::Start(runner, task, run) => self.send_planned_start(now, &runner, &task, run),
            Effect::DiscardEnds(runner, incarnation, number) => {
                self.allow_discarding(&runner, incarnation, number)
            }
            Effect::PublishOutcome(id) => self.publish_outcome(now, id),
            Effect::StopAll(id) => self.stop_all(now, id),
            Effect::ActivateManifest(manifest) => self.activate_manifest(now, *manifest),
            Effect::ChangeVm(action) => self.actions.push(Action::ChangeVm(action)),
            Effect::ReportWave(number, complete) => {
                // A wave may be open again by now; that is reported next.
                if !complete || self.is_wave_complete(number) {
                    self.actions.push(Action::ReportWave(number, complete));
                }
            }
        }
    }

    /// Puts a manifest into force that the ledger has stored, and lets placement go by it.
    fn activate_manifest(&mut self, now: Instant, manifest: Manifest) {
        info!("manifest: version={} before={}", manifest.version, self.manifest.version);
        self.former.set(self.former_queues(&manifest));
        self.put_in_force(manifest);
        self.update_jobs();
        self.register_known_services(now);
        self.place_due = true;
    }

    /// Has open jobs go by the manifest in force: they need tickets if their queue has an advisor, and
    /// waiting tasks move with their queue to another service.
    fn update_jobs(&mut self) {
        let mut moved: IndexMap<&str, usize> = IndexMap::new();
        for id in &self.open {
            let Some(job) = self.jobs.get_mut(id) else { continue };
            let at = self.queues.get(&*job.queue);
            let Some(queue) = at.and_then(|at| self.manifest.queues.get(*at)) else { continue };
            job.tickets_valid = queue.advice.map(|advice| advice.valid);
            if *job.service != *queue.service {
                job.service = Rc::from(queue.service.as_str());
                *moved.entry(&queue.name).or_default() += 1;
            }
        }
        for (name, jobs) in moved {
            let service = self.queue(name).map_or("", |queue| &queue.service);
            info!("manifest: queue={name} service={service} jobs={jobs}");
        }
    }

    /// Puts a manifest into force that the ledger has stored.
    pub(super) fn put_in_force(&mut self, manifest: Manifest) {
        self.routes = Table::new(&manifest.queues);
        self.queues.clear();
        for (at, queue) in manifest.queues.iter().enumerate() {
            self.queues.entry(queue.name.clone()).or_insert(at);
        }
        self.gate = Gate::new(manifest.access.as_ref());
        self.accounts.set_terms(manifest.access.as_ref());
        self.newest_version = self.newest_version.max(manifest.version);
        if manifest.version == self.newest_version {
            self.next_access = None;
        }
        self.manifest = Rc::new(manifest);
    }

    /// Makes the outcome of a job visible to callers.
    fn publish_outcome(&mut self, now: Instant, id: spec::Id) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.stored = true;
        if job.stored_outcome == Outcome::Open && job.outcome != Outcome::Open {
            self.ended_jobs.push_back((now, id));
            self.open.swap_remove(&id);
        }
        job.stored_outcome = job.outcome;
    }

    /// Allows a runner to discard its ends up to `number`. Nothing happens if its incarnation has
    /// changed meanwhile, as the numbers then start again.
    fn allow_discarding(
        &mut self,
        runner: &RunnerId,
        incarnation: Option<Incarnation>,
        number: EndNumber,
    ) {
        let Some(worker) = self.workers.get_mut(runner) else { return };
        if worker.incarnation == incarnation {
            worker.stored_end = worker.stored_end.max(number);
            worker.unstored_reports = worker.unstored_reports.saturating_sub(1);
        }
    }

    /// Stops all runs of a job.
    fn stop_all(&mut self, now: Instant, id: spec::Id) {
        for (task, runner, run) in self.runs_of(id) {
            self.stop_run(now, &task, &runner, run);
        }
    }

    /// Runs of a job that are on runners or may be there.
    fn runs_of(&self, id: spec::Id) -> Vec<(Task, RunnerId, u32)> {
        let Some(job) = self.jobs.get(&id) else { return Vec::new() };
        let placed = |(task, state): (Task, &State)| match &state.status {
            Status::Placed(placement) => Some((task, Rc::clone(&placement.runner), state.run)),
            _ => None,
        };
        job.tasks(id).filter_map(placed).collect()
    }
}

/// Adds a record to a batch, or logs why it can't be encoded.
fn push_encoded(records: &mut Vec<Record>, record: ledger::Result<Record>) {
    match record {
        Ok(record) => records.push(record),
        Err(e) => error!("ledger: {e}"),
    }
}
