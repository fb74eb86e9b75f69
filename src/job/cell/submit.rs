//! Callers' requests: submit a job, query its state, cancel it, count the pending jobs of a queue.

use {
    super::{
        Cell, Effect, Job, Refusal, RequestId, Sizes, Status, Submission,
        job::{Phase, State},
    },
    crate::job::{
        answer::Answer,
        cell::Action,
        ledger::Outcome,
        spec::{self, Task},
    },
    log::info,
    std::{
        rc::Rc,
        time::{Duration, Instant},
    },
};

/// Time after a confirmation of the owner in which it counts jobs without asking the ledger first.
const CONFIRMATION_VALIDITY: Duration = Duration::from_millis(1_000);

impl Cell {
    /// Submits a job; the caller is answered once the ledger has stored it. A job that is known
    /// already is accepted again without any effect, so callers may retry.
    pub fn submit(&mut self, now: Instant, submission: Submission) {
        let Submission { request, queue, organisation, id, spec, at_ms } = submission;
        if let Some(job) = self.jobs.get(&id) {
            let (stored, visible) = (job.stored, job.is_visible_to(organisation.as_deref()));
            let answer = if visible { Answer::Accepted } else { Answer::NameInUse };
            self.answer_when_stored(request, stored || !visible, Some(id), answer);
            return;
        }
        let version = self.manifest.version;
        let Some(queue) = self.queue(&queue).cloned() else {
            self.actions.push(Action::Answer(request, Answer::NoQueue));
            return;
        };
        let within_rate =
            organisation.as_ref().is_none_or(|name| self.accounts.is_within_rate(now, name));
        // What is refused counts as well, since it shows that more VMs are needed.
        self.load.record_job(now, &queue.service, &queue.name, &spec);
        let size = Sizes::estimate(&spec);
        let checked = self
            .check_memory(size)
            .and_then(|()| self.check_overload(now, &queue, &spec, within_rate));
        if let Err(refusal) = checked {
            if let Some(name) = &organisation {
                self.accounts.count_refusal(name, &refusal);
            }
            let caller = (request, organisation.as_deref());
            return self.refuse_overload(caller, id, &queue.service, refusal);
        }
        if let Some(name) = &organisation {
            self.accounts.count_job(now, name);
        }
        let spec = Rc::new(spec);
        if spec.schedule.is_some() {
            self.scheduled.insert(id);
        }
        let mut job = Job::new(spec, &queue, at_ms, now, Duration::ZERO);
        job.organisation.clone_from(&organisation);
        job.within_rate = within_rate;
        self.jobs.insert(id, job);
        self.sizes.set(id, size);
        self.new_jobs.push(id);
        self.mark_dirty(id);
        self.open.insert(id);
        self.waiting.insert(id);
        self.effects.push(Effect::PublishOutcome(id));
        self.effects.push(Effect::Answer(request, Some(id), Answer::Accepted));
        self.place_due = true;
        let queue = &queue.name;
        match organisation {
            Some(name) => info!(
                "accept: job={id:016x} queue={queue} version={version} organisation={name} \
                 within_rate={within_rate}"
            ),
            None => info!("accept: job={id:016x} queue={queue} version={version}"),
        }
    }

    /// Checks that there is memory for another job.
    fn check_memory(&mut self, size: usize) -> Result<(), Refusal> {
        if self.sizes.admits(size, self.bounds.job_memory) { Ok(()) } else { Err(Refusal::Memory) }
    }

    /// Refuses a job that is not stored and never runs.
    fn refuse_overload(
        &mut self,
        (request, organisation): (RequestId, Option<&str>),
        id: spec::Id,
        service: &str,
        refusal: Refusal,
    ) {
        let delay = refusal.delay(id);
        if let Some(backlog) = self.backlog(service) {
            info!(
                "refuse: job={id:016x} organisation={} retry_ms={} why=\"{refusal}\" \
                 service={service} timely_core_s={:.0} late_core_s={:.0} cores={:.0}",
                organisation.unwrap_or_default(),
                delay.as_millis(),
                backlog.timely(),
                backlog.late(),
                backlog.cores()
            );
        }
        let why = refusal.to_string();
        let answer = match refusal {
            Refusal::OverRate(_) => Answer::OverRate { why, retry_after: delay },
            Refusal::Useless(_) | Refusal::Memory => Answer::Refused { why, retry_after: delay },
        };
        self.actions.push(Action::Answer(request, answer));
    }

    /// Job as a caller of an organisation sees it: jobs of others do not exist for it.
    fn visible_job(&self, caller: Option<&str>, id: spec::Id) -> Option<&Job> {
        self.jobs.get(&id).filter(|job| job.is_visible_to(caller))
    }

    /// Answers a caller with a job's state.
    pub fn query(&mut self, request: RequestId, caller: Option<&str>, id: spec::Id) {
        match self.visible_job(caller, id) {
            Some(job) if job.stored => {
                let answer = Answer::State { outcome: job.stored_outcome, started: job.started };
                self.actions.push(Action::Answer(request, answer));
            }
            Some(job) => {
                let answer = Answer::State { outcome: job.stored_outcome, started: false };
                self.effects.push(Effect::Answer(request, Some(id), answer));
            }
            None => self.answer_unknown_job(request),
        }
    }

    /// Cancels a job; the caller is answered once the ledger has stored that.
    pub fn cancel(&mut self, now: Instant, request: RequestId, caller: Option<&str>, id: spec::Id) {
        let job = self.jobs.get_mut(&id).filter(|job| job.is_visible_to(caller));
        let Some(job) = job else { return self.answer_unknown_job(request) };
        if job.outcome == Outcome::Open {
            info!("cancel: job={id:016x} started={}", job.started);
            job.outcome = Outcome::Cancelled;
            self.waiting.swap_remove(&id);
            self.suspects.swap_remove(&id);
            self.forget_advice(id);
            self.undo_placements(now, id);
            self.mark_dirty(id);
            self.effects.push(Effect::PublishOutcome(id));
            self.effects.push(Effect::StopAll(id));
        }
        let stored = self.jobs.get(&id).is_some_and(|job| job.stored_outcome != Outcome::Open);
        self.answer_when_stored(request, stored, Some(id), Answer::Cancelled);
    }

    /// Counts a queue's open jobs of which no task has started. If this owner was not confirmed
    /// recently, the answer waits for the ledger, since a newer owner may have accepted more.
    pub fn count_pending(&mut self, now: Instant, request: RequestId, queue: &str) {
        let waits = |job: &&Job| {
            *job.queue == *queue && job.stored && !job.started && job.outcome == Outcome::Open
        };
        let pending = self.open_jobs().filter(waits).count();
        let confirmed = self
            .confirmed_at
            .is_some_and(|at| now.saturating_duration_since(at) < CONFIRMATION_VALIDITY);
        self.answer_when_stored(request, confirmed, None, Answer::Pending(pending));
    }

    /// Answers that there is no such job, once the ledger has confirmed that there is no newer
    /// owner that may know it.
    fn answer_unknown_job(&mut self, request: RequestId) {
        self.effects.push(Effect::Answer(request, None, Answer::NoJob));
    }

    /// Answers at once if `stored`, else once the ledger has stored the next batch. `job` is the job
    /// that the answer is about.
    fn answer_when_stored(
        &mut self,
        request: RequestId,
        stored: bool,
        job: Option<spec::Id>,
        answer: Answer,
    ) {
        if stored {
            self.actions.push(Action::Answer(request, answer));
        } else {
            self.effects.push(Effect::Answer(request, job, answer));
        }
    }

    /// Undoes placements of a job whose starts were not sent yet.
    pub(super) fn undo_placements(&mut self, now: Instant, id: spec::Id) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let planned = |(task, state): (Task, &State)| match &state.status {
            Status::Placed(placement) if placement.phase == Phase::Planned => {
                Some((task, Rc::clone(&placement.runner)))
            }
            _ => None,
        };
        let freed: Vec<_> = job.tasks(id).filter_map(planned).collect();
        for (task, _) in &freed {
            if let Some(state) = job.task_mut(task) {
                state.end_placement();
            }
        }
        for (task, runner) in freed {
            self.release_room(now, &runner, &task);
        }
    }
}
