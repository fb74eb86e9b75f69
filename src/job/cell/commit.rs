//! Batches for the ledger, and what follows once they are stored.

use {
    super::{Action, Batch, Cell, Effect, Phase, RunnerId, Status, job::State},
    crate::job::{
        answer::Answer,
        ledger::{self, Outcome, Record},
        manifest::Manifest,
        runner::{EndNumber, Incarnation, Start},
        spec::{self, Task},
    },
    log::{error, info},
    std::{
        rc::Rc,
        time::{Duration, Instant},
    },
};

impl Cell {
    /// Next batch to append, if none is on its way and something waits for one.
    pub fn next_batch(&mut self, now: Instant) -> Option<Batch> {
        let idle = self.effects.is_empty() && !self.pools.changed();
        if self.in_flight.is_some() || idle {
            return None;
        }
        let mut records = Vec::new();
        if let Some(manifest) = &self.next_manifest {
            push(&mut records, ledger::manifest(manifest));
        }
        if self.pools.take_changed() {
            push(&mut records, ledger::upkeep(&self.pools.record()));
        }
        for id in std::mem::take(&mut self.accepted) {
            if let Some(job) = self.jobs.get(&id) {
                let content = ledger::Accepted {
                    queue: job.queue.to_string(),
                    service: job.service.to_string(),
                    at_ms: job.at_ms,
                    spec: (*job.spec).clone(),
                };
                push(&mut records, ledger::accepted(id, &content));
            }
        }
        for id in std::mem::take(&mut self.dirty) {
            let Some(job) = self.jobs.get_mut(&id) else { continue };
            if job.settled() {
                job.shrink();
                records.push(ledger::spec_removal(id));
            }
            push(&mut records, ledger::progress(id, &job.progress()));
        }
        records.extend(std::mem::take(&mut self.removed).into_iter().flat_map(ledger::job_removal));
        if records.is_empty() {
            records.push(ledger::barrier());
        }
        self.in_flight = Some(std::mem::take(&mut self.effects));
        self.sent = Some(now);
        Some(Batch { records })
    }

    /// The ledger has stored the batch on its way.
    pub fn committed(&mut self, now: Instant) {
        self.confirmed = self.confirmed.max(self.sent.take());
        for effect in self.in_flight.take().into_iter().flatten() {
            self.follow(now, effect);
        }
    }

    /// Refuses the submissions that are not on their way to the ledger: they will not run. The ledger
    /// has been `missing` for so long.
    pub fn refuse_unstored(&mut self, now: Instant, why: &str, missing: Duration) {
        let refused: Vec<_> = std::mem::take(&mut self.accepted);
        for id in &refused {
            self.unplan(now, *id);
            self.jobs.swap_remove(id);
            self.open.swap_remove(id);
            self.waiting.swap_remove(id);
            self.dirty.swap_remove(id);
            info!("refuse: job={id:016x} why={why:?}");
        }
        let effects = std::mem::take(&mut self.effects);
        for effect in effects {
            match effect {
                Effect::Answer(request, Answer::Accepted) => {
                    self.actions.push(Action::Answer(request, Answer::refused(why, missing)));
                }
                Effect::Show(id) if refused.contains(&id) => {}
                other => self.effects.push(other),
            }
        }
    }

    /// Puts a newer manifest into force once the ledger has a copy of it.
    pub fn declare(&mut self, manifest: Manifest) {
        let newest = self.next_manifest.as_ref().map_or(self.manifest.version, |m| m.version);
        if manifest.version <= newest {
            return;
        }
        self.next_manifest = Some(manifest);
        self.effects.push(Effect::Declare);
    }

    fn follow(&mut self, now: Instant, effect: Effect) {
        match effect {
            Effect::Answer(request, answer) => self.actions.push(Action::Answer(request, answer)),
            Effect::Start(runner, task, run) => self.send_start(now, runner, task, run),
            Effect::Seen(runner, born, number) => self.forget_ends(&runner, born, number),
            Effect::Show(id) => self.show(now, id),
            Effect::StopAll(id) => self.stop_all(now, id),
            Effect::Declare => self.put_into_force(),
            Effect::Act(action) => self.actions.push(Action::Vm(action)),
            Effect::Report(number, complete) => self.actions.push(Action::Report(number, complete)),
        }
    }

    fn put_into_force(&mut self) {
        let Some(manifest) = self.next_manifest.take() else { return };
        info!("manifest: version={} before={}", manifest.version, self.manifest.version);
        for job in self.jobs.values_mut() {
            let queue = manifest.queue(&job.queue);
            job.tickets_valid = queue.and_then(|queue| queue.advice).map(|advice| advice.valid);
        }
        self.manifest = Rc::new(manifest);
        self.place_due = true;
    }

    fn show(&mut self, now: Instant, id: spec::Id) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.stored = true;
        if job.shown == Outcome::Open && job.outcome != Outcome::Open {
            self.ended.push_back((now, id));
            self.open.swap_remove(&id);
        }
        job.shown = job.outcome;
    }

    fn forget_ends(&mut self, runner: &RunnerId, born: Option<Incarnation>, number: EndNumber) {
        let Some(worker) = self.workers.get_mut(runner) else { return };
        if worker.born == born {
            worker.forgettable = worker.forgettable.max(number);
            worker.uncommitted = worker.uncommitted.saturating_sub(1);
        }
    }

    fn send_start(&mut self, now: Instant, runner: RunnerId, task: Task, run: u32) {
        let fence = self.fence;
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        let (text, open) = (job.spec.text.clone(), job.outcome == Outcome::Open);
        let checkpoint = String::from(job.checkpoint(&task));
        let ticket = self.ticket(now, &task, &runner).map(String::from);
        if ticket.is_none() && self.needs_ticket(task.job) {
            return self.unstart(now, &task, "its ticket has run out");
        }
        let ticket = ticket.unwrap_or_default();
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        let Some(state) = job.task_mut(&task) else { return };
        let Status::Placed(placement) = &mut state.status else { return };
        if state.run != run || placement.phase != Phase::Planned || placement.runner != runner {
            return;
        }
        let worker = self.workers.get_mut(&runner).filter(|worker| open && worker.can_start());
        let Some(until_ms) = worker.and_then(|worker| worker.grant(now)) else {
            self.unstart(now, &task, "its runner can't take it any more");
            return;
        };
        placement.phase = Phase::Sent;
        placement.since = now;
        let start = Start { task, run, text, until_ms, fence, checkpoint, ticket };
        self.await_answer(now, &runner);
        self.actions.push(Action::Start(runner, start));
    }

    fn stop_all(&mut self, now: Instant, id: spec::Id) {
        for (task, runner, run) in self.runs_of(id) {
            self.stop_run(now, &task, &runner, run);
        }
    }

    /// Runs of a job that are on runners, or may be.
    fn runs_of(&self, id: spec::Id) -> Vec<(Task, RunnerId, u32)> {
        let Some(job) = self.jobs.get(&id) else { return Vec::new() };
        let placed = |(task, state): (Task, &State)| match &state.status {
            Status::Placed(placement) => Some((task, Rc::clone(&placement.runner), state.run)),
            _ => None,
        };
        job.tasks(id).filter_map(placed).collect()
    }
}

fn push(records: &mut Vec<Record>, record: ledger::Result<Record>) {
    match record {
        Ok(record) => records.push(record),
        Err(e) => error!("ledger: {e}."),
    }
}
