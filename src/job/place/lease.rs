//! Life cycle of attempts: answers of the platform, leases, timers and retries.

use {
    super::{
        Action, Answer, Event, IN_FLIGHT, LEASE, NONE, Outcome, Phase, READ_AFTER,
        RENEWALS_PER_LEASE, Scheduler, Verb, roster::Class,
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
            (Answer::Unknown, Verb::Start) if task.settled.is_some() => {
                if now >= task.asked + IN_FLIGHT {
                    self.stopped(now, slot);
                }
            }
            (Answer::Unknown, _) => self.repeat(now, slot),
            (Answer::Known(Progress::Done), verb) => self.carried_out(now, slot, verb),
            (Answer::Known(Progress::Failed), Verb::Start) => self.failed(now, slot, true),
            (Answer::Known(Progress::Failed), Verb::Throttle | Verb::Checkpoint) => {
                self.escalate(now, slot);
            }
            (Answer::Known(Progress::Failed), Verb::Stop) => task.serial += 1,
            (Answer::Known(Progress::Failed), Verb::Renew) => {}
        }
        self.decide(now)
    }

    /// Handles the platform's report that an attempt ended.
    pub fn ended(&mut self, now: Instant, job: &str, attempt: u32, how: Progress) -> Vec<Action> {
        if let Some(slot) = self.slot(job, attempt) {
            match how {
                Progress::Running => {}
                Progress::Done => self.finish(now, slot),
                Progress::Failed => self.failed(now, slot, false),
            }
        }
        self.decide(now)
    }

    /// Adopts an attempt that a previous controller started and the platform still reports, and
    /// renews its lease at once.
    pub fn adopt(&mut self, now: Instant, job: &Job, attempt: u32, worker: &VmId) -> Vec<Action> {
        let Some(key) = self.roster.key(worker) else { return Vec::new() };
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
        self.occupy(slot, key);
        self.ask(now, slot, Phase::Running);
        if let Some(task) = self.task_mut(slot) {
            task.lease_until = now + LEASE;
        }
        self.restore_class(slot);
        self.decide(now)
    }

    pub(super) fn slot(&self, job: &str, attempt: u32) -> Option<u32> {
        let current = self.jobs.get(job).copied();
        let counts = |slot: &u32| {
            self.tasks[*slot as usize].as_ref().is_some_and(|task| task.attempt == attempt)
        };
        current.filter(counts).or_else(|| self.orphans.get(&(job.to_owned(), attempt)).copied())
    }

    /// Enters a phase and sends the operation that belongs to it.
    pub(super) fn ask(&mut self, now: Instant, slot: u32, phase: Phase) {
        let Some(task) = self.task_mut(slot) else { return };
        if phase != Phase::Starting {
            task.serial += 1;
        }
        task.phase = phase;
        task.asked = now;
        if phase == Phase::Starting {
            task.lease_until = now + LEASE;
        }
        self.send(slot, false);
        self.set_timer(slot, Some(now + READ_AFTER));
    }

    fn repeat(&mut self, now: Instant, slot: u32) {
        let Some(task) = self.task_mut(slot) else { return };
        task.asked = now;
        self.send(slot, false);
        self.set_timer(slot, Some(now + READ_AFTER));
    }

    fn send(&mut self, slot: u32, read: bool) {
        let Some(task) = self.tasks[slot as usize].as_ref() else { return };
        let Some(verb) = task.verb() else { return };
        self.actions.push(Action {
            job: task.job.clone(),
            attempt: task.attempt,
            serial: task.serial,
            verb,
            read,
            worker: self.roster.worker(task.worker).vm.clone(),
            millicores: task.limit_millicores(),
            lease: LEASE,
        });
    }

    fn carried_out(&mut self, now: Instant, slot: u32, verb: Verb) {
        let Some(task) = self.task_mut(slot) else { return };
        match verb {
            Verb::Start => {
                task.phase = Phase::Running;
                task.started = Some(now);
                let job = task.job.clone();
                self.events.push(Event::Started(job));
                self.restore_class(slot);
                self.renew_later(slot);
                self.stop_settled(now, slot);
            }
            Verb::Renew => {
                task.lease_until = task.asked + LEASE;
                self.renew_later(slot);
            }
            Verb::Throttle if task.phase == Phase::Throttling => self.throttled(now, slot),
            Verb::Throttle => {
                task.phase = Phase::Running;
                self.restore_class(slot);
                self.renew_later(slot);
            }
            Verb::Checkpoint => self.ask(now, slot, Phase::Stopping),
            Verb::Stop => self.stopped(now, slot),
        }
    }

    /// Stops an attempt that was cancelled or superseded while its start was unanswered.
    fn stop_settled(&mut self, now: Instant, slot: u32) {
        if self.tasks[slot as usize].as_ref().is_some_and(|task| task.settled.is_some()) {
            self.ask(now, slot, Phase::Stopping);
        }
    }

    pub(super) fn renew_later(&mut self, slot: u32) {
        let due = self.tasks[slot as usize]
            .as_ref()
            .map(|task| task.lease_until - LEASE + LEASE / RENEWALS_PER_LEASE);
        self.set_timer(slot, due);
    }

    pub(super) fn set_timer(&mut self, slot: u32, due: Option<Instant>) {
        let Some(task) = self.tasks[slot as usize].as_mut() else { return };
        if let Some(before) = std::mem::replace(&mut task.due, due) {
            self.timers.remove(&(before, slot));
        }
        if let Some(due) = due {
            self.timers.insert((due, slot));
        }
    }

    pub(super) fn expire(&mut self, now: Instant) {
        while let Some((due, slot)) = self.timers.first().copied().filter(|(due, _)| *due <= now) {
            self.timers.remove(&(due, slot));
            let Some(task) = self.task_mut(slot) else { continue };
            task.due = None;
            match task.phase {
                Phase::Queued => {}
                Phase::Reserved => self.retreat(now, slot),
                Phase::Starting | Phase::Running | Phase::Restoring if task.lease_until <= now => {
                    self.lapse(now, slot);
                }
                Phase::Starting if task.start_overdue(now) => self.start_elsewhere(now, slot),
                Phase::Running => self.renew(now, slot),
                Phase::Throttling | Phase::Checkpointing => self.escalate(now, slot),
                Phase::Starting | Phase::Restoring | Phase::Stopping | Phase::Lapsed => {
                    self.send(slot, true);
                    self.set_timer(slot, Some(now + READ_AFTER));
                }
            }
        }
    }

    fn renew(&mut self, now: Instant, slot: u32) {
        let Some(task) = self.task_mut(slot) else { return };
        let until = task.lease_until;
        self.ask(now, slot, Phase::Running);
        self.set_timer(slot, Some((now + LEASE / RENEWALS_PER_LEASE / 4).min(until)));
    }

    /// Queues another attempt of an urgent job because the worker hasn't answered the start. That
    /// start may still take effect, so the first attempt keeps its resources and is stopped once it
    /// has started.
    fn start_elsewhere(&mut self, now: Instant, slot: u32) {
        let Some(task) = self.task_mut(slot) else { return };
        task.settled = Some(Outcome::Unknown);
        let key = (task.job.clone(), task.attempt);
        self.orphans.insert(key, slot);
        self.again(slot, true);
        self.set_timer(slot, Some(now + READ_AFTER));
    }

    /// Handles an expired lease: sends a stop, and queues another attempt of a repeatable job.
    fn lapse(&mut self, now: Instant, slot: u32) {
        self.ask(now, slot, Phase::Lapsed);
        self.reclass(slot, Class::Firm);
        let Some(task) = self.tasks[slot as usize].as_ref() else { return };
        if !task.repeatable || task.settled.is_some() {
            return;
        }
        self.orphans.insert((task.job.clone(), task.attempt), slot);
        self.again(slot, true);
    }

    /// Queues the next attempt of a job at the job's original position in the queue.
    fn again(&mut self, slot: u32, shun: bool) {
        let Some(old) = self.tasks[slot as usize].as_ref() else { return };
        let mut task = old.clone();
        task.attempt += 1;
        task.serial = 0;
        task.phase = Phase::Queued;
        task.class = Class::Firm;
        task.settled = None;
        task.claimant = NONE;
        task.waiting = 0;
        task.throttled = false;
        task.held = Size::default();
        task.due = None;
        task.started = None;
        task.proven = false;
        task.worker = NONE;
        task.shunned = if shun { old.worker } else { NONE };
        let job = task.job.clone();
        let next = self.insert(task);
        self.jobs.insert(job, next);
        self.enqueue(next);
    }

    /// Handles an attempt that ended because it was stopped or its worker died; retries a
    /// repeatable job.
    fn stopped(&mut self, now: Instant, slot: u32) {
        self.learn_end(now, slot, false);
        let Some(task) = self.tasks[slot as usize].as_ref() else { return };
        let counts = self.jobs.get(&task.job) == Some(&slot);
        let settled = task.settled;
        if counts && task.repeatable && settled.is_none() {
            self.again(slot, false);
        }
        self.withdraw(now, slot);
        self.leave(slot, settled.unwrap_or(Outcome::Unknown));
    }

    /// Handles an attempt that completed; withdraws or stops a later attempt of the same job.
    fn finish(&mut self, now: Instant, slot: u32) {
        self.learn_end(now, slot, true);
        self.prove(now, slot);
        self.withdraw(now, slot);
        let Some(task) = self.tasks[slot as usize].as_ref() else { return };
        let current = self.jobs.get(&task.job).copied().filter(|current| *current != slot);
        self.leave(slot, Outcome::Done);
        let Some(current) = current else { return };
        let Some(task) = self.task_mut(current) else { return };
        task.settled = Some(Outcome::Done);
        match task.phase {
            Phase::Queued | Phase::Reserved => {
                self.withdraw(now, current);
                self.leave(current, Outcome::Done);
            }
            Phase::Starting | Phase::Stopping | Phase::Lapsed => {}
            _ => self.ask(now, current, Phase::Stopping),
        }
    }

    /// Handles a failed attempt. `unstarted` means that it certainly never ran, so that even a job
    /// that isn't repeatable may be retried.
    fn failed(&mut self, now: Instant, slot: u32, unstarted: bool) {
        self.learn_end(now, slot, false);
        let verdict = self.blame(now, slot);
        let Some(task) = self.tasks[slot as usize].as_ref() else { return };
        let counts = self.jobs.get(&task.job) == Some(&slot);
        let (settled, retry) = (task.settled, task.repeatable || unstarted);
        if counts && retry && settled.is_none() && verdict == Verdict::Retry {
            self.again(slot, true);
        }
        self.withdraw(now, slot);
        let outcome = match verdict {
            Verdict::Impossible => Outcome::Impossible,
            Verdict::Retry | Verdict::GiveUp => Outcome::Failed,
        };
        self.leave(slot, settled.unwrap_or(outcome));
    }

    /// Handles the death of a task's worker.
    pub(super) fn lost(&mut self, now: Instant, slot: u32) {
        let Some(task) = self.tasks[slot as usize].as_ref() else { return };
        match task.phase {
            Phase::Reserved => self.retreat(now, slot),
            _ => self.stopped(now, slot),
        }
    }

    /// Releases a task's worker and quota, or removes it from its queue if it still waits.
    pub(super) fn withdraw(&mut self, now: Instant, slot: u32) {
        self.set_timer(slot, None);
        let Some(task) = self.tasks[slot as usize].as_mut() else { return };
        let claimant = std::mem::replace(&mut task.claimant, NONE);
        if task.phase == Phase::Queued {
            if let Some(queue) = self.queues.get_mut(&task.pool) {
                queue.remove(task.priority, task.team, task.order, slot);
            }
            return;
        }
        let reserved = task.phase == Phase::Reserved;
        let worker = std::mem::replace(&mut task.worker, NONE);
        let (team, kind, held, class) = (task.team, task.kind, task.held, task.class);
        let millicores = task.size.millicores;
        self.roster.free(worker, kind, &held, class);
        self.roster.detach(worker, slot);
        if reserved {
            self.disclaim(worker, slot);
        }
        self.ledger.release(team, slot, millicores);
        self.promote(team);
        self.changed.insert(self.roster.place(worker).pool);
        self.probe_again(worker);
        self.gave_way(now, worker, claimant);
        self.restore(now, worker);
    }

    /// Moves the team's oldest borrowed tasks to its own quota while they fit.
    fn promote(&mut self, team: u32) {
        while let Some(loan) = self.ledger.oldest_loan(team) {
            let Some(task) = self.tasks[loan as usize].as_ref() else { return };
            let millicores = task.size.millicores;
            if !self.ledger.promote(team, loan, millicores) {
                return;
            }
            self.restore_class(loan);
        }
    }
}
