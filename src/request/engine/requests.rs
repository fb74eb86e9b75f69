//! Callers' requests: from arrival through attempts to the final answer.
//!
//! A request waits in its service's queue until this entry has a free slot of an endpoint. Every
//! attempt holds the slot's permit; a permit goes back when its exchange has ended, and rests first
//! if the exchange may still run on the endpoint.

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

/// When a caller should come back if nothing better is known.
pub(super) const RETRY_AFTER: Duration = Duration::from_secs(1);
/// Longest rest of a slot whose exchange was given up.
const MAX_REST: Duration = Duration::from_secs(2);

/// A request in progress.
pub(super) struct Flight {
    pub(super) request: Request,
    /// Fingerprint of its method, path and body.
    pub(super) fingerprint: u64,
    pub(super) arrived: Instant,
    /// Its body is kept, so that it can be sent again.
    pub(super) repeatable: bool,
    /// Another entry relayed it, so it is not relayed again.
    relayed: bool,
    pub(super) attempts: u32,
    may_have_run: bool,
    pub(super) running: Option<Attempt>,
    pub(super) claim: Claim,
}

impl Flight {
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

/// Claim to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Claim {
    /// The request needs none, or another entry makes it.
    None,
    /// On its way to the log.
    Waiting,
    /// This entry may run the order.
    Won,
}

pub(super) struct Attempt {
    pub(super) id: AttemptId,
    /// Right to the endpoint's slot; none if the request was relayed.
    pub(super) permit: Option<Permit>,
}

/// What the engine keeps for one service.
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
    pub(super) fn arrived(&mut self, now: Instant, id: RequestId, flight: Flight) {
        let request = &flight.request;
        if self.stopping {
            return self.refuse(id, "the entry is stopping", RETRY_AFTER);
        }
        if !self.sourced {
            return self.refuse(id, "the entry has no state yet", RETRY_AFTER);
        }
        if !self.shared.state().declaration.services.contains_key(&request.service) {
            return self.refuse(id, "no such service", RETRY_AFTER);
        }
        self.route(now, id, flight);
    }

    /// Sends a request on its way: to another entry, to be claimed, or to its service's queue.
    fn route(&mut self, now: Instant, id: RequestId, flight: Flight) {
        if flight.claim == Claim::Won {
            return self.enqueue(now, id, flight);
        }
        if let Some(link) = self.better_entry(now, &flight) {
            return self.relay(now, id, flight, link);
        }
        if !self.joined() {
            return self.give_up(id, &flight, "the entry has not joined yet", RETRY_AFTER);
        }
        match flight.request.key.clone().filter(|_| flight.request.class == Class::Order) {
            Some(key) => self.claim(now, id, &key, flight),
            None => self.enqueue(now, id, flight),
        }
    }

    /// Another entry to relay to, if this one can't serve the request.
    fn better_entry(&self, now: Instant, flight: &Flight) -> Option<SocketAddr> {
        let service = &flight.request.service;
        if flight.relayed || (self.joined() && self.supply(service).slots > 0) {
            return None;
        }
        let state = self.shared.state();
        let serves = |zone: &ZoneId| state.endpoints(service).any(|(_, vm)| vm.zone == *zone);
        let ready = self.peers.list(now).filter(|(peer, health)| {
            // One that answers but does not know this entry yet tells nothing of itself.
            let ready = peer.last_heartbeat.as_ref().is_none_or(|beat| beat.ready);
            *health == Health::Live && ready && serves(&peer.member.zone)
        });
        let (near, far): (Vec<_>, Vec<_>) =
            ready.map(|(peer, _)| &peer.member).partition(|m| m.zone == self.me.zone);
        let found = if near.is_empty() { far } else { near };
        let turn = self.attempts as usize % found.len().max(1);
        found.get(turn).map(|member| member.link)
    }

    fn relay(&mut self, now: Instant, id: RequestId, mut flight: Flight, link: SocketAddr) {
        let attempt = self.next_attempt();
        flight.attempts += 1;
        flight.running = Some(Attempt { id: attempt, permit: None });
        let until = flight.request.deadline.max(now);
        self.flights.insert(id, flight);
        self.actions.push(Action::Relay { id, attempt, link, until });
    }

    pub(super) fn next_attempt(&mut self) -> AttemptId {
        self.attempts += 1;
        (AttemptId::from(self.me.incarnation) << 64) | AttemptId::from(self.attempts)
    }

    /// Offers a request to its service's queue; a refusal is answered at once.
    pub(super) fn enqueue(&mut self, now: Instant, id: RequestId, flight: Flight) {
        let request = &flight.request;
        let waiting = Waiting {
            id,
            team: request.team.clone(),
            class: request.class,
            arrived: flight.arrived,
            deadline: request.deadline,
        };
        let supply = self.supply(&request.service);
        let service = self.service(&request.service.clone());
        match service.queue.offer(now, waiting, supply) {
            Ok(()) => {
                self.metrics.admitted(flight.request.class);
                self.flights.insert(id, flight);
            }
            Err(refusal) => {
                self.metrics.refused(refusal.reason.word());
                self.give_up(id, &flight, &refusal.reason.to_string(), refusal.retry_after);
            }
        }
    }

    pub(super) fn service(&mut self, name: &ServiceId) -> &mut Service {
        self.services.entry(name.clone()).or_insert_with(Service::new)
    }

    /// Answers a request that will not be tried (again).
    pub(super) fn give_up(
        &mut self,
        id: RequestId,
        flight: &Flight,
        reason: &str,
        retry_after: Duration,
    ) {
        let ending = if flight.may_have_run { Ending::Unknown } else { Ending::NotRun };
        self.conclude(id, flight.claim, ending);
        if flight.may_have_run {
            return self.unknown(id, "an earlier attempt may have run", retry_after);
        }
        self.refuse(id, reason, retry_after);
    }

    pub(super) fn refuse(&mut self, id: RequestId, reason: &str, retry_after: Duration) {
        self.metrics.answered(Outcome::NotRun);
        let finish = Finish::NotRun { reason: reason.to_string(), retry_after };
        self.actions.push(Action::Finish { id, finish });
    }

    fn unknown(&mut self, id: RequestId, reason: &str, retry_after: Duration) {
        self.metrics.answered(Outcome::Unknown);
        let finish = Finish::Unknown { reason: reason.to_string(), retry_after };
        self.actions.push(Action::Finish { id, finish });
    }

    pub(super) fn cancelled(&mut self, now: Instant, id: RequestId) {
        let Some(flight) = self.flights.remove(&id) else {
            return;
        };
        let queue = &mut self.service(&flight.request.service).queue;
        queue.cancel(id);
        queue.finish(now, id);
        let ending = if flight.may_have_run { Ending::Unknown } else { Ending::NotRun };
        self.conclude(id, flight.claim, ending);
        // The caller went before the attempt began.
        if let Some(permit) = flight.running.and_then(|running| running.permit) {
            self.slots.release(now, permit);
        }
    }

    pub(super) fn ended(&mut self, now: Instant, id: RequestId, attempt: AttemptId, end: End) {
        let Some(mut flight) = self.flights.remove(&id) else {
            return;
        };
        let Some(running) = flight.running.take_if(|running| running.id == attempt) else {
            self.flights.insert(id, flight);
            return;
        };
        let run_time = {
            let queue = &mut self.service(&flight.request.service).queue;
            queue.finish(now, id);
            queue.run_time(flight.request.class)
        };
        if let Some(permit) = running.permit {
            self.blame(now, &permit, &end);
            self.give_back(now, permit, &end, run_time);
        }
        match failure(&end) {
            None => {
                self.conclude(id, flight.claim, ending(&end));
                let done = matches!(end, End::Answered { status, .. } if status < 500);
                self.metrics.answered(if done { Outcome::Done } else { Outcome::Failed });
                if done {
                    self.service(&flight.request.service).budget.succeed();
                }
            }
            Some(failure) => self.failed(now, id, flight, failure, run_time),
        }
    }

    /// Tries a failed request again, or answers it.
    fn failed(
        &mut self,
        now: Instant,
        id: RequestId,
        mut flight: Flight,
        failure: Failure,
        run_time: Duration,
    ) {
        flight.may_have_run |= !failure.is_certain();
        let attempt = retry::Attempt {
            class: flight.request.class,
            number: flight.attempts,
            may_have_run: flight.may_have_run,
            deadline: flight.request.deadline,
            failure,
        };
        let budget = &mut self.service(&flight.request.service).budget;
        let verdict = if flight.repeatable {
            budget.decide(now, &attempt, run_time)
        } else {
            Verdict::Answer(if flight.may_have_run { Outcome::Unknown } else { Outcome::NotRun })
        };
        match verdict {
            Verdict::Retry => {
                self.metrics.retried();
                self.route(now, id, flight);
            }
            Verdict::Answer(Outcome::NotRun) => {
                self.conclude(id, flight.claim, Ending::NotRun);
                self.refuse(id, "no endpoint took it", RETRY_AFTER);
            }
            Verdict::Answer(_) => {
                self.conclude(id, flight.claim, Ending::Unknown);
                self.unknown(id, "the endpoint gave no whole answer", RETRY_AFTER);
            }
        }
    }

    fn blame(&mut self, now: Instant, permit: &Permit, end: &End) {
        let vm = &permit.runner;
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

    fn give_back(&mut self, now: Instant, permit: Permit, end: &End, run_time: Duration) {
        match end {
            End::Answered { .. } | End::Relayed | End::NotSent => self.slots.release(now, permit),
            End::Refused { .. } => self.slots.refuse(now, permit),
            End::Broken | End::Truncated | End::TimedOut | End::Mismatched | End::CallerFailed => {
                self.slots.abandon(now, permit, now + (run_time * 2).min(MAX_REST));
            }
        }
    }
}

fn failure(end: &End) -> Option<Failure> {
    match end {
        End::Answered { .. } | End::Relayed | End::Truncated | End::CallerFailed => None,
        End::Refused { .. } => Some(Failure::Refused),
        End::NotSent => Some(Failure::NotSent),
        End::Broken | End::TimedOut | End::Mismatched => Some(Failure::Lost),
    }
}

/// What an answer says of an order.
fn ending(end: &End) -> Ending {
    match end {
        End::Answered { kept: Some(answer), .. } => Ending::Done(answer.clone()),
        _ => Ending::Unknown,
    }
}
