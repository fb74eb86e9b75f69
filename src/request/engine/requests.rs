//! Callers' requests, from arrival through attempts to the final response.
//!
//! A request waits in its service's queue until this entry has a free slot of an endpoint. Every
//! attempt holds the slot's permit. The permit is returned when the exchange has ended; the slot
//! then stays unused for a while if the exchange may still run on the endpoint.

use {
    super::Engine,
    crate::{
        admit::{self, Queue, Waiting},
        event::{Action, End, Finish, RequestId},
        id::{AttemptId, ServiceId, ZoneId},
        member::Health,
        order::Ending,
        request::{Class, Outcome, Request},
        retry::{self, Budget, Failure, Verdict},
        slot::Permit,
    },
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

/// Default delay after which a caller may retry.
pub(super) const RETRY_AFTER: Duration = Duration::from_secs(1);
/// Maximum time for which a slot stays unused after its exchange was abandoned.
const MAX_COOLDOWN: Duration = Duration::from_secs(2);

/// A request in progress.
pub(super) struct Inflight {
    pub(super) request: Request,
    /// Fingerprint of the method, path and body.
    pub(super) fingerprint: u64,
    pub(super) arrived: Instant,
    /// Whether the whole body is buffered, so that it can be sent again.
    pub(super) repeatable: bool,
    /// Whether another entry relayed it; such a request is not relayed again.
    relayed: bool,
    /// Number of attempts made.
    pub(super) attempts: u32,
    /// Whether one of the attempts may have run.
    may_have_run: bool,
    /// Attempt in progress.
    pub(super) running: Option<Attempt>,
    pub(super) claim: Claim,
}

impl Inflight {
    pub(super) fn new(
        now: Instant,
        request: Request,
        fingerprint: u64,
        repeatable: bool,
        relayed: bool,
    ) -> Self {
        Self {
            request,
            fingerprint,
            arrived: now,
            repeatable,
            relayed,
            attempts: 0,
            may_have_run: false,
            running: None,
            claim: Claim::None,
        }
    }
}

/// State of a request's claim to its order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Claim {
    /// The request needs no claim, or another entry makes it.
    None,
    /// The claim has not been won yet.
    Waiting,
    /// The claim has been won, so this entry may run the order.
    Won,
}

/// An attempt in progress.
pub(super) struct Attempt {
    pub(super) id: AttemptId,
    /// Permit for the endpoint's slot; `None` if the request was relayed.
    pub(super) permit: Option<Permit>,
}

/// Engine's state of one service.
pub(super) struct Service {
    pub(super) queue: Queue,
    budget: Budget,
}

impl Service {
    fn new() -> Self {
        let queue = Queue::new(admit::Limits::default());
        Self { queue, budget: Budget::new(retry::Limits::default()) }
    }
}

impl Engine {
    /// Handles the arrival of a request.
    pub(super) fn arrived(&mut self, now: Instant, id: RequestId, inflight: Inflight) {
        let request = &inflight.request;
        if self.stopping {
            return self.refuse(id, "the entry is stopping", RETRY_AFTER);
        }
        if !self.has_state {
            return self.refuse(id, "the entry has no state yet", RETRY_AFTER);
        }
        if !self.shared.state().declaration.services.contains_key(&request.service) {
            return self.refuse(id, "no such service", RETRY_AFTER);
        }
        self.route(now, id, inflight);
    }

    /// Routes a request: relays it to another entry, claims its order, or queues it for its
    /// service.
    fn route(&mut self, now: Instant, id: RequestId, inflight: Inflight) {
        if inflight.claim == Claim::Won {
            return self.enqueue(now, id, inflight);
        }
        if let Some(link) = self.relay_target(now, &inflight) {
            return self.relay(now, id, inflight, link);
        }
        if !self.joined() {
            return self.give_up(id, &inflight, "the entry has not joined yet", RETRY_AFTER);
        }
        match inflight.request.key.clone().filter(|_| inflight.request.class == Class::Order) {
            Some(key) => self.claim(now, id, &key, inflight),
            None => self.enqueue(now, id, inflight),
        }
    }

    /// Link of the entry to relay the request to, if this entry can't serve it.
    fn relay_target(&self, now: Instant, inflight: &Inflight) -> Option<SocketAddr> {
        let service = &inflight.request.service;
        if inflight.relayed || (self.joined() && self.supply(service).slots > 0) {
            return None;
        }
        let state = self.shared.state();
        let serves = |zone: &ZoneId| state.endpoints(service).any(|(_, vm)| vm.zone == *zone);
        let ready = self.peers.list(now).filter(|(peer, health)| {
            // An entry that does not know this one yet sends it no heartbeats, so it may be ready.
            let ready = peer.last_heartbeat.as_ref().is_none_or(|heartbeat| heartbeat.ready);
            *health == Health::Live && ready && serves(&peer.member.zone)
        });
        let (near, far): (Vec<_>, Vec<_>) =
            ready.map(|(peer, _)| &peer.member).partition(|m| m.zone == self.me.zone);
        let found = if near.is_empty() { far } else { near };
        let turn = self.attempts as usize % found.len().max(1);
        found.get(turn).map(|member| member.link)
    }

    /// Relays a request to another entry as one attempt.
    fn relay(&mut self, now: Instant, id: RequestId, mut inflight: Inflight, link: SocketAddr) {
        let attempt = self.next_attempt();
        inflight.attempts += 1;
        inflight.running = Some(Attempt { id: attempt, permit: None });
        let until = inflight.request.deadline.max(now);
        self.inflight.insert(id, inflight);
        self.actions.push(Action::Relay { id, attempt, link, until });
    }

    /// Id of the next attempt, unique among all incarnations.
    pub(super) fn next_attempt(&mut self) -> AttemptId {
        self.attempts += 1;
        (AttemptId::from(self.me.incarnation) << 64) | AttemptId::from(self.attempts)
    }

    /// Offers a request to its service's queue; answers it if it is refused.
    pub(super) fn enqueue(&mut self, now: Instant, id: RequestId, inflight: Inflight) {
        let request = &inflight.request;
        let waiting = Waiting {
            id,
            team: request.team.clone(),
            class: request.class,
            arrived: inflight.arrived,
            deadline: request.deadline,
        };
        let supply = self.supply(&request.service);
        let service = self.service(&request.service.clone());
        match service.queue.offer(now, waiting, supply) {
            Ok(()) => {
                self.metrics.admitted(inflight.request.class);
                self.inflight.insert(id, inflight);
            }
            Err(refusal) => {
                self.metrics.refused(refusal.reason.label());
                self.give_up(id, &inflight, &refusal.reason.to_string(), refusal.retry_after);
            }
        }
    }

    /// State of a service, which is created on first use.
    pub(super) fn service(&mut self, name: &ServiceId) -> &mut Service {
        self.services.entry(name.clone()).or_insert_with(Service::new)
    }

    /// Answers a request that is not attempted any more.
    pub(super) fn give_up(
        &mut self,
        id: RequestId,
        inflight: &Inflight,
        reason: &str,
        retry_after: Duration,
    ) {
        let ending = if inflight.may_have_run { Ending::Unknown } else { Ending::NotRun };
        self.order_ended(id, inflight.claim, ending);
        if inflight.may_have_run {
            return self.unknown(id, "an earlier attempt may have run", retry_after);
        }
        self.refuse(id, reason, retry_after);
    }

    /// Answers a request as not run.
    pub(super) fn refuse(&mut self, id: RequestId, reason: &str, retry_after: Duration) {
        self.metrics.answered(Outcome::NotRun);
        let finish = Finish::NotRun { reason: reason.to_string(), retry_after };
        self.actions.push(Action::Finish { id, finish });
    }

    /// Answers a request that may have run.
    fn unknown(&mut self, id: RequestId, reason: &str, retry_after: Duration) {
        self.metrics.answered(Outcome::Unknown);
        let finish = Finish::Unknown { reason: reason.to_string(), retry_after };
        self.actions.push(Action::Finish { id, finish });
    }

    /// Handles the disconnection of a caller before its request was answered.
    pub(super) fn cancelled(&mut self, now: Instant, id: RequestId) {
        let Some(inflight) = self.inflight.remove(&id) else {
            return;
        };
        let queue = &mut self.service(&inflight.request.service).queue;
        queue.cancel(id);
        queue.finish(now, id);
        let ending = if inflight.may_have_run { Ending::Unknown } else { Ending::NotRun };
        self.order_ended(id, inflight.claim, ending);
        // The task that drives the request ended before it began the attempt.
        if let Some(permit) = inflight.running.and_then(|running| running.permit) {
            self.slots.release(now, permit);
        }
    }

    /// Handles the end of an attempt.
    pub(super) fn ended(&mut self, now: Instant, id: RequestId, attempt: AttemptId, end: End) {
        let Some(mut inflight) = self.inflight.remove(&id) else {
            return;
        };
        let Some(running) = inflight.running.take_if(|running| running.id == attempt) else {
            self.inflight.insert(id, inflight);
            return;
        };
        let run_time = {
            let queue = &mut self.service(&inflight.request.service).queue;
            queue.finish(now, id);
            queue.run_time(inflight.request.class)
        };
        if let Some(permit) = running.permit {
            self.record_result(now, &permit, &end);
            self.return_slot(now, permit, &end, run_time);
        }
        match failure(&end) {
            None => {
                self.order_ended(id, inflight.claim, ending(&end));
                let done = matches!(end, End::Answered { status, .. } if status < 500);
                self.metrics.answered(if done { Outcome::Done } else { Outcome::Failed });
                if done {
                    self.service(&inflight.request.service).budget.succeed();
                }
            }
            Some(failure) => self.retry_or_answer(now, id, inflight, failure, run_time),
        }
    }

    /// Retries a failed request or answers it.
    fn retry_or_answer(
        &mut self,
        now: Instant,
        id: RequestId,
        mut inflight: Inflight,
        failure: Failure,
        run_time: Duration,
    ) {
        inflight.may_have_run |= !failure.is_certain();
        let attempt = retry::Attempt {
            class: inflight.request.class,
            number: inflight.attempts,
            may_have_run: inflight.may_have_run,
            deadline: inflight.request.deadline,
            failure,
        };
        let budget = &mut self.service(&inflight.request.service).budget;
        // The entry that relayed a request counts its attempts, and would multiply those made here.
        let is_final = inflight.relayed && failure == Failure::Lost;
        let verdict = if is_final {
            Verdict::Answer(Outcome::Unknown)
        } else if inflight.repeatable {
            budget.decide(now, &attempt, run_time)
        } else {
            Verdict::Answer(if inflight.may_have_run { Outcome::Unknown } else { Outcome::NotRun })
        };
        match verdict {
            Verdict::Retry => {
                self.metrics.retried();
                self.route(now, id, inflight);
            }
            Verdict::Answer(Outcome::NotRun) => {
                self.order_ended(id, inflight.claim, Ending::NotRun);
                self.refuse(id, "no endpoint accepted the request", RETRY_AFTER);
            }
            Verdict::Answer(_) => {
                self.order_ended(id, inflight.claim, Ending::Unknown);
                self.unknown(id, "no complete response from the endpoint", RETRY_AFTER);
            }
        }
    }

    /// Updates the endpoint's health by the end of an attempt.
    fn record_result(&mut self, now: Instant, permit: &Permit, end: &End) {
        let vm = &permit.endpoint;
        match end {
            End::Answered { status, leaving, .. } => {
                if *leaving {
                    self.endpoint_leaves(now, vm);
                }
                if *status < 500 {
                    self.monitor.succeed(vm);
                } else {
                    self.monitor.fail(now, vm);
                }
            }
            End::Refused { leaving: true } => self.endpoint_leaves(now, vm),
            End::TimedOut | End::Broken if self.monitor.suspect(now, vm) => self.probe(vm.clone()),
            End::NotSent | End::Mismatched => _ = self.monitor.fail(now, vm),
            End::Refused { .. }
            | End::Relayed
            | End::TimedOut
            | End::Broken
            | End::Truncated
            | End::CallerFailed => {}
        }
    }

    /// Returns the slot of an attempt that has ended.
    fn return_slot(&mut self, now: Instant, permit: Permit, end: &End, run_time: Duration) {
        match end {
            End::Answered { .. } | End::Relayed | End::NotSent => self.slots.release(now, permit),
            End::Refused { .. } => self.slots.refuse(now, permit),
            End::Broken | End::Truncated | End::TimedOut | End::Mismatched | End::CallerFailed => {
                self.slots.abandon(now, permit, now + (run_time * 2).min(MAX_COOLDOWN));
            }
        }
    }
}

/// How an attempt failed; `None` if it was answered.
fn failure(end: &End) -> Option<Failure> {
    match end {
        End::Answered { .. } | End::Relayed | End::Truncated | End::CallerFailed => None,
        End::Refused { .. } => Some(Failure::Refused),
        End::NotSent => Some(Failure::NotSent),
        End::Broken | End::TimedOut | End::Mismatched => Some(Failure::Lost),
    }
}

/// How the run of an order ended.
fn ending(end: &End) -> Ending {
    match end {
        End::Answered { kept: Some(answer), .. } => Ending::Done(answer.clone()),
        _ => Ending::Unknown,
    }
}
