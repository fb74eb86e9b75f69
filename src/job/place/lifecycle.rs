//! Life cycle of attempts: answers of the platform, leases, timers and retries.

use {
    super::{
        Action, Answer, Event, LEASE, MAX_REQUEST_DELAY, NONE, Outcome, Phase, RENEWALS_PER_LEASE,
        STATE_READ_DELAY, Scheduler, Verb, workers::Preemption,
    },
    crate::{
        diagnose::Verdict,
        id::VmId,
        job::{Job, Size},
        platform::Progress,
    },
    std::time::Instant,
};

/// First operation number of an adopted attempt. It is above the numbers that the previous
/// controller can have used, so that no operation ID is used twice.
const ADOPTED_SERIAL: u32 = 1 << 16;

/// Number of attempts of a job that may be lost with their workers, after which it is given up.
const MAX_LOST_ATTEMPTS: u32 = 5;

impl Scheduler {
    /// Handles the platform's answer to an action; ignores answers to outdated actions.
    pub fn answer(&mut self, now: Instant, action: &Action, answer: Answer) -> Vec<Action> {
        let Some(slot) = self.slot(&action.job, action.attempt) else { return Vec::new() };
        let Some(task) = self.task_mut(slot) else { return Vec::new() };
        if task.serial != action.serial || task.verb() != Some(action.verb) {
            return Vec::new();
        }
        match (answer, action.verb) {
            (Answer::Known(Progress::Running), _) => {}
            (Answer::Unknown, Verb::Start) if task.final_outcome.is_some() => {
                if now >= task.sent_at + MAX_REQUEST_DELAY {
                    self.attempt_stopped(now, slot);
                }
            }
            (Answer::Unknown, _) => self.resend(now, slot),
            (Answer::Known(Progress::Done), verb) => self.operation_done(now, slot, verb),
            (Answer::Known(Progress::Failed), Verb::Start) => self.attempt_failed(now, slot, true),
            (Answer::Known(Progress::Failed), Verb::Throttle | Verb::Checkpoint) => {
                self.escalate(now, slot);
            }
            (Answer::Known(Progress::Failed), Verb::Stop) => task.serial += 1,
            (Answer::Known(Progress::Failed), Verb::Renew) => {}
        }
        self.place_waiting(now)
    }

    /// Handles the platform's report that an attempt ended.
    pub fn ended(&mut self, now: Instant, job: &str, attempt: u32, how: Progress) -> Vec<Action> {
        if let Some(slot) = self.slot(job, attempt) {
            match how {
                Progress::Running => {}
                Progress::Done => self.attempt_completed(now, slot),
                Progress::Failed => self.attempt_failed(now, slot, false),
            }
        }
        self.place_waiting(now)
    }

    /// Adopts an attempt that a previous controller started and the platform still reports, and
    /// renews its lease at once.
    pub fn adopt(&mut self, now: Instant, job: &Job, attempt: u32, worker: &VmId) -> Vec<Action> {
        let Some(key) = self.workers.key(worker) else { return Vec::new() };
        if self.slot(&job.id, attempt).is_some() {
            return Vec::new();
        }
        self.submit(now, job);
        let Some(slot) = self.jobs.get(&job.id).copied() else { return Vec::new() };
        let Some(task) = self.task_mut(slot).filter(|task| task.phase == Phase::Queued) else {
            return Vec::new();
        };
        task.attempt = attempt;
        task.serial = ADOPTED_SERIAL;
        self.assign(slot, key);
        self.enter(now, slot, Phase::Running);
        if let Some(task) = self.task_mut(slot) {
            task.lease_until = now + LEASE;
        }
        self.reset_preemption(slot);
        self.place_waiting(now)
    }

    /// Slot of an attempt, whether it is the current one of its job or a superseded one.
    pub(super) fn slot(&self, job: &str, attempt: u32) -> Option<u32> {
        let current = self.jobs.get(job).copied();
        let is_attempt = |slot: &u32| {
            self.tasks[*slot as usize].as_ref().is_some_and(|task| task.attempt == attempt)
        };
        current
            .filter(is_attempt)
            .or_else(|| self.superseded.get(&(job.to_owned(), attempt)).copied())
    }

    /// Enters a phase and sends the operation that belongs to it.
    pub(super) fn enter(&mut self, now: Instant, slot: u32, phase: Phase) {
        let Some(task) = self.task_mut(slot) else { return };
        if phase != Phase::Starting {
            task.serial += 1;
        }
        task.phase = phase;
        task.sent_at = now;
        if phase == Phase::Starting {
            task.lease_until = now + LEASE;
        }
        self.send(slot, false);
        self.set_timer(slot, Some(now + STATE_READ_DELAY));
    }

    /// Sends the operation of the current phase again under the same ID, after the platform
    /// answered that it never began.
    fn resend(&mut self, now: Instant, slot: u32) {
        let Some(task) = self.task_mut(slot) else { return };
        task.sent_at = now;
        self.send(slot, false);
        self.set_timer(slot, Some(now + STATE_READ_DELAY));
    }

    /// Adds the operation of the current phase to the actions; `read` only asks for its state.
    fn send(&mut self, slot: u32, read: bool) {
        let Some(task) = self.tasks[slot as usize].as_ref() else { return };
        let Some(verb) = task.verb() else { return };
        self.actions.push(Action {
            job: task.job.clone(),
            attempt: task.attempt,
            serial: task.serial,
            verb,
            read,
            worker: self.workers.worker(task.worker).vm.clone(),
            millicores: task.limit_millicores(),
            lease: LEASE,
        });
    }

    /// Handles an operation that the platform has carried out.
    fn operation_done(&mut self, now: Instant, slot: u32, verb: Verb) {
        let Some(task) = self.task_mut(slot) else { return };
        match verb {
            Verb::Start => {
                task.phase = Phase::Running;
                task.started = Some(now);
                let job = task.job.clone();
                self.events.push(Event::Started(job));
                self.reset_preemption(slot);
                self.schedule_renewal(slot);
                self.stop_if_decided(now, slot);
            }
            Verb::Renew => {
                task.lease_until = task.sent_at + LEASE;
                self.schedule_renewal(slot);
            }
            Verb::Throttle if task.phase == Phase::Throttling => self.throttle_done(now, slot),
            Verb::Throttle => {
                task.phase = Phase::Running;
                self.reset_preemption(slot);
                self.schedule_renewal(slot);
            }
            Verb::Checkpoint => self.enter(now, slot, Phase::Stopping),
            Verb::Stop => self.attempt_stopped(now, slot),
        }
    }

    /// Stops an attempt that was cancelled or superseded while its start was unanswered.
    fn stop_if_decided(&mut self, now: Instant, slot: u32) {
        if self.tasks[slot as usize].as_ref().is_some_and(|task| task.final_outcome.is_some()) {
            self.enter(now, slot, Phase::Stopping);
        }
    }

    /// Sets the timer for the next renewal of the lease.
    pub(super) fn schedule_renewal(&mut self, slot: u32) {
        let due = self.tasks[slot as usize]
            .as_ref()
            .map(|task| task.lease_until - LEASE + LEASE / RENEWALS_PER_LEASE);
        self.set_timer(slot, due);
    }

    /// Replaces the timer of an attempt; it has at most one.
    pub(super) fn set_timer(&mut self, slot: u32, due: Option<Instant>) {
        let Some(task) = self.tasks[slot as usize].as_mut() else { return };
        if let Some(before) = std::mem::replace(&mut task.due, due) {
            self.timers.remove(&(before, slot));
        }
        if let Some(due) = due {
            self.timers.insert((due, slot));
        }
    }

    /// Handles expired timers according to the phases of their attempts.
    pub(super) fn handle_timers(&mut self, now: Instant) {
        while let Some((due, slot)) = self.timers.first().copied().filter(|(due, _)| *due <= now) {
            self.timers.remove(&(due, slot));
            let Some(task) = self.task_mut(slot) else { continue };
            task.due = None;
            match task.phase {
                Phase::Queued => {}
                Phase::Reserved => self.abandon_reservation(now, slot),
                Phase::Starting | Phase::Running | Phase::Restoring if task.lease_until <= now => {
                    self.lease_expired(now, slot);
                }
                Phase::Starting if task.start_overdue(now) => self.start_elsewhere(now, slot),
                Phase::Running => self.renew(now, slot),
                Phase::Throttling | Phase::Checkpointing => self.escalate(now, slot),
                Phase::Starting | Phase::Restoring | Phase::Stopping | Phase::Expired => {
                    self.send(slot, true);
                    self.set_timer(slot, Some(now + STATE_READ_DELAY));
                }
            }
        }
    }

    /// Sends a renewal, and sets the timer to send the next one soon unless it is answered.
    fn renew(&mut self, now: Instant, slot: u32) {
        let Some(task) = self.task_mut(slot) else { return };
        let until = task.lease_until;
        self.enter(now, slot, Phase::Running);
        self.set_timer(slot, Some((now + LEASE / RENEWALS_PER_LEASE / 4).min(until)));
    }

    /// Queues another attempt of an urgent job because the worker hasn't answered the start. That
    /// start may still take effect, so the first attempt keeps its resources and is stopped once it
    /// has started.
    fn start_elsewhere(&mut self, now: Instant, slot: u32) {
        let Some(task) = self.task_mut(slot) else { return };
        task.final_outcome = Some(Outcome::Unknown);
        let key = (task.job.clone(), task.attempt);
        self.superseded.insert(key, slot);
        self.enqueue_retry(slot, true);
        self.set_timer(slot, Some(now + STATE_READ_DELAY));
    }

    /// Handles an expired lease: sends a stop, and queues another attempt of a repeatable job.
    fn lease_expired(&mut self, now: Instant, slot: u32) {
        self.enter(now, slot, Phase::Expired);
        self.set_preemption(slot, Preemption::Never);
        if self.give_up_lost(slot) {
            return;
        }
        let Some(task) = self.tasks[slot as usize].as_ref() else { return };
        if !task.repeatable || task.final_outcome.is_some() {
            return;
        }
        self.superseded.insert((task.job.clone(), task.attempt), slot);
        self.enqueue_retry(slot, true);
    }

    /// Queues the next attempt of a job at the job's original position in the queue.
    fn enqueue_retry(&mut self, slot: u32, avoid_worker: bool) {
        let Some(old) = self.tasks[slot as usize].as_ref() else { return };
        let mut task = old.clone();
        task.attempt += 1;
        task.serial = 0;
        task.phase = Phase::Queued;
        task.preemption = Preemption::Never;
        task.final_outcome = None;
        task.preemptor = NONE;
        task.pending_victims = 0;
        task.throttled = false;
        task.held = Size::default();
        task.due = None;
        task.started = None;
        task.counted_success = false;
        task.worker = NONE;
        task.avoided = if avoid_worker { old.worker } else { NONE };
        let job = task.job.clone();
        let next = self.insert(task);
        self.jobs.insert(job, next);
        self.enqueue(next);
    }

    /// Handles an attempt that ended because it was stopped or its worker was declared dead;
    /// retries a repeatable job.
    fn attempt_stopped(&mut self, now: Instant, slot: u32) {
        self.record_end(now, slot, false);
        let Some(task) = self.tasks[slot as usize].as_ref() else { return };
        let is_current = self.jobs.get(&task.job) == Some(&slot);
        let final_outcome = task.final_outcome;
        if is_current && task.repeatable && final_outcome.is_none() {
            self.enqueue_retry(slot, false);
        }
        self.release(now, slot);
        self.finish(slot, final_outcome.unwrap_or(Outcome::Unknown));
    }

    /// Handles an attempt that completed; withdraws or stops a later attempt of the same job.
    fn attempt_completed(&mut self, now: Instant, slot: u32) {
        self.record_end(now, slot, true);
        self.record_success(now, slot);
        self.release(now, slot);
        let Some(task) = self.tasks[slot as usize].as_ref() else { return };
        let current = self.jobs.get(&task.job).copied().filter(|current| *current != slot);
        self.finish(slot, Outcome::Done);
        let Some(current) = current else { return };
        let Some(task) = self.task_mut(current) else { return };
        task.final_outcome = Some(Outcome::Done);
        match task.phase {
            Phase::Queued | Phase::Reserved => {
                self.release(now, current);
                self.finish(current, Outcome::Done);
            }
            Phase::Starting | Phase::Stopping | Phase::Expired => {}
            _ => self.enter(now, current, Phase::Stopping),
        }
    }

    /// Handles a failed attempt. `unstarted` means that it certainly never ran, so that even a job
    /// that isn't repeatable may be retried.
    fn attempt_failed(&mut self, now: Instant, slot: u32, unstarted: bool) {
        self.record_end(now, slot, false);
        let verdict = self.record_failure(now, slot);
        let Some(task) = self.tasks[slot as usize].as_ref() else { return };
        let is_current = self.jobs.get(&task.job) == Some(&slot);
        let (final_outcome, retry) = (task.final_outcome, task.repeatable || unstarted);
        if is_current && retry && final_outcome.is_none() && verdict == Verdict::Retry {
            self.enqueue_retry(slot, true);
        }
        self.release(now, slot);
        let outcome = match verdict {
            Verdict::Impossible => Outcome::Impossible,
            Verdict::Retry | Verdict::GiveUp => Outcome::Failed,
        };
        self.finish(slot, final_outcome.unwrap_or(outcome));
    }

    /// Handles the death of a task's worker.
    pub(super) fn worker_lost(&mut self, now: Instant, slot: u32) {
        let Some(task) = self.tasks[slot as usize].as_ref() else { return };
        match task.phase {
            Phase::Reserved => self.abandon_reservation(now, slot),
            Phase::Expired => self.attempt_stopped(now, slot),
            _ => {
                self.give_up_lost(slot);
                self.attempt_stopped(now, slot);
            }
        }
    }

    /// Counts an attempt that was lost with its worker. Gives its job up after [`MAX_LOST_ATTEMPTS`],
    /// since it may be the cause; returns whether it does.
    fn give_up_lost(&mut self, slot: u32) -> bool {
        let Some(task) = self.task_mut(slot).filter(|task| task.final_outcome.is_none()) else {
            return false;
        };
        task.lost_attempts += 1;
        let given_up = task.repeatable && task.lost_attempts >= MAX_LOST_ATTEMPTS;
        if given_up {
            task.final_outcome = Some(Outcome::Failed);
        }
        given_up
    }

    /// Releases a task's worker and quota, or removes it from its queue if it still waits.
    pub(super) fn release(&mut self, now: Instant, slot: u32) {
        self.set_timer(slot, None);
        let Some(task) = self.tasks[slot as usize].as_mut() else { return };
        let preemptor = std::mem::replace(&mut task.preemptor, NONE);
        if task.phase == Phase::Queued {
            if let Some(queue) = self.queues.get_mut(&task.pool) {
                queue.remove(task.priority, task.team, task.queue_position, slot);
            }
            return;
        }
        let reserved = task.phase == Phase::Reserved;
        let worker = std::mem::replace(&mut task.worker, NONE);
        let (team, kind, held, preemption) = (task.team, task.kind, task.held, task.preemption);
        let millicores = task.size.millicores;
        self.workers.release(worker, kind, &held, preemption);
        self.workers.detach(worker, slot);
        if reserved {
            self.detach_victims(worker, slot);
        }
        self.accounts.release(team, slot, millicores);
        self.promote_borrowed(team);
        self.changed_pools.insert(self.workers.location(worker).pool);
        self.reopen_probe(worker);
        self.victim_released(now, worker, preemptor);
        self.lift_throttles(now, worker);
    }

    /// Moves the team's oldest borrowed tasks to its own quota while they fit.
    fn promote_borrowed(&mut self, team: u32) {
        while let Some(borrowed) = self.accounts.oldest_borrowed(team) {
            let Some(task) = self.tasks[borrowed as usize].as_ref() else { return };
            let millicores = task.size.millicores;
            if !self.accounts.promote(team, borrowed, millicores) {
                return;
            }
            self.reset_preemption(borrowed);
        }
    }
}
