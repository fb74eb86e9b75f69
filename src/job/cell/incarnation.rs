//! Incarnations of a runner: which of them answers, and which ends and calls belong to it.
//!
//! A runner that restarts under its name keeps its address, but numbers its ends from 1 again, has seen no
//! fence, and has a clock that begins anew. The owner may learn of it late, from the list of runners.
//! Until then its calls may reach either incarnation, so three things keep them apart:
//!
//! - An answer to a poll names the incarnation. An answer to a start does not, but it carries the
//!   runner's clock, which shows less than the time since the last answer if the runner has restarted.
//! - Ends are acknowledged once, and not while another incarnation may have taken a start: it would
//!   discard ends of its own that have the same numbers.
//! - After a restart, calls carry a higher fence, so that the new incarnation rejects late calls to the
//!   former one. Nothing starts there before it has accepted that fence.

use {
    super::{Cell, RunnerId, Worker, crash, job::State},
    crate::job::{
        runner::{EndNumber, Fence, Incarnation, Registration, Report},
        spec::Task,
    },
    log::{info, warn},
    std::time::{Duration, Instant},
};

/// Time for which a poll waits for the answer to a start at most.
const MAX_DEFERRAL: Duration = Duration::from_millis(30);

impl Worker {
    /// Whether a registration is of an incarnation that has ended.
    pub(super) fn is_stale(&self, registration: &Registration) -> bool {
        self.ended_incarnation.is_some_and(|ended_incarnation| {
            registration.incarnation.is_none_or(|incarnation| incarnation == ended_incarnation)
        })
    }

    /// Has the next report to a poll that is sent after `now` show whether the runner has restarted.
    pub(super) fn notice_restart(&mut self, now: Instant) {
        self.restart_noticed = Some(now);
        self.lease.forget_clock();
        self.next_poll = now;
    }

    /// Whether an answer that arrived at `now` with this clock is of the incarnation that answered before.
    /// The clock of one that has started since would show less time than has passed.
    fn is_same_incarnation(&self, now: Instant, clock_ms: u64) -> bool {
        let age = Duration::from_millis(clock_ms);
        self.alive_at.is_some_and(|at| now.saturating_duration_since(at) <= age)
    }

    /// Number up to which a poll at `now` has the runner discard its ends; 0 if there are none to discard.
    /// It would have another incarnation discard ends that were never reported, so none is sent while
    /// another one may have taken a start.
    pub(super) fn discardable_end(&self, now: Instant) -> EndNumber {
        let known = self.restart_noticed.is_none() && self.unresponsive_since.is_none();
        let certain = known && self.outstanding_start(now).is_none();
        if self.has_discardable() && certain { self.stored_end } else { 0 }
    }

    /// Whether a poll at `now` is to wait for the answer to a start, after which it may have ends discarded.
    /// Sent before, it would be answered at once with ends that are known.
    pub(super) fn defers_poll(&mut self, now: Instant) -> bool {
        if !self.has_discardable() || self.outstanding_start(now).is_none() {
            return false;
        }
        let since = *self.poll_deferred.get_or_insert(now);
        now.saturating_duration_since(since) < MAX_DEFERRAL
    }

    /// Whether it holds ends that the ledger has stored.
    pub(super) fn has_discardable(&self) -> bool {
        self.acknowledged_end < self.stored_end
    }

    /// When the oldest start was sent, before `now`, whose answer is outstanding.
    fn outstanding_start(&self, now: Instant) -> Option<Instant> {
        self.unanswered_starts.front().copied().filter(|sent| *sent < now)
    }

    /// Marks the current incarnation as ended for certain; calls to the next one carry `fence`.
    pub fn mark_ended(&mut self, now: Instant, fence: Fence) {
        let incarnation = self
            .incarnation
            .or(self.registration.as_ref().and_then(|registration| registration.incarnation));
        self.reset(None, now, fence);
        self.lease.end(now);
        self.ended_incarnation = Some(incarnation.unwrap_or_default());
        self.listed = false;
        self.absent_since = now;
        self.registration = None;
    }

    /// Resets all state that belongs to one incarnation, for a new one, to which calls carry `fence` from now
    /// on. Leases that were granted stay, as the new incarnation may have taken the calls.
    pub fn reset(&mut self, incarnation: Option<Incarnation>, now: Instant, fence: Fence) {
        self.incarnation = incarnation;
        self.fence = self.fence.max(fence);
        self.lease.forget_clock();
        self.fence_accepted = false;
        self.restart_noticed = None;
        self.alive_at = None;
        self.next_poll = now;
        self.ends_followed = true;
        self.processed_end = 0;
        self.stored_end = 0;
        self.acknowledged_end = 0;
        self.unstored_reports = 0;
        self.unresponsive_since = None;
        self.quarantined_until = None;
        self.consecutive_failures = 0;
    }
}

impl Cell {
    /// Takes from the clock of an answer to a start that was sent at `sent` whether another incarnation may
    /// have given it.
    pub(super) fn identify_by_clock(
        &mut self,
        now: Instant,
        runner: &str,
        sent: Option<Instant>,
        clock_ms: u64,
    ) {
        let Some(worker) = self.workers.get_mut(runner) else { return };
        if worker.is_same_incarnation(now, clock_ms) {
            worker.alive_at = worker.alive_at.max(sent);
            return;
        }
        info!("runner: id={runner} clock_ms={clock_ms} why=\"it may have restarted\"");
        worker.notice_restart(now);
        self.crash_events.push(crash::Event::MayHaveRestarted);
    }

    /// Takes the incarnation of a runner from its report. Returns whether it has restarted; none if the
    /// report may be of an earlier incarnation than the one that has registered.
    pub(super) fn identify_incarnation(
        &mut self,
        now: Instant,
        runner: &RunnerId,
        sent: Instant,
        report: &Report,
    ) -> Option<bool> {
        let worker = self.workers.get_mut(runner)?;
        // A poll that was sent before the restart was noticed may have been answered before it.
        if worker.restart_noticed.is_some_and(|at| sent <= at) {
            info!("runner: id={runner} report=ignored why=\"it may be of an earlier incarnation\"");
            worker.next_poll = now;
            return None;
        }
        worker.restart_noticed = None;
        // Until it has answered, its incarnation is known by its registration only.
        let restarted = worker.alive_at.is_some()
            && report.incarnation.is_some()
            && worker.incarnation.is_some()
            && report.incarnation != worker.incarnation;
        worker.incarnation = report.incarnation.or(worker.incarnation);
        if restarted {
            self.handle_restart(now, runner, report.incarnation);
        }
        if report.incarnation.is_some() {
            self.runner_returned(runner);
        }
        Some(restarted)
    }

    /// Handles a runner that has restarted under the same name. What ran on it has ended, but a start
    /// that was sent before this owner learned of the restart may have begun on the new incarnation, so
    /// the next report decides about every run.
    fn handle_restart(&mut self, now: Instant, id: &str, incarnation: Option<Incarnation>) {
        self.runner_crashed(now, id);
        let newest_fence = self.newest_fence;
        let Some(worker) = self.workers.get_mut(id) else { return };
        worker.reset(incarnation, now, newest_fence);
        info!("runner: id={id} reborn=true fence={} tasks={}", worker.fence, worker.tasks.len());
        let tasks: Vec<Task> = worker.tasks.keys().copied().collect();
        self.crash_events.push(crash::Event::Restarted);
        for task in tasks {
            if let Some(placement) = self.task_mut(&task).and_then(State::placement_mut) {
                placement.await_report(now);
            }
        }
    }

    /// Logs that the ends which a runner lists do not follow on the last one that was processed: others were
    /// discarded that this owner has not read.
    pub(super) fn check_ends(&mut self, runner: &str, report: &Report) {
        let Some(worker) = self.workers.get_mut(runner) else { return };
        let Some(first) = report.ended.iter().map(|end| end.number).min() else { return };
        let (processed, followed) = (worker.processed_end, worker.ends_followed);
        worker.ends_followed = true;
        if followed && first > processed + 1 {
            let missing = first - processed - 1;
            warn!("runner: id={runner} ends_missing={missing} after={processed}");
            self.crash_events.push(crash::Event::EndsMissing);
        }
    }
}
