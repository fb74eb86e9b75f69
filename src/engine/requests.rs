//! Callers' requests: from arrival through attempts to the final answer.

use {
    super::Engine,
    crate::{
        event::{Action, End, Finish, RequestId},
        fleet::DEFAULT_SLOTS,
        id::{AttemptId, VmId},
        request::{Class, Request},
    },
    std::{
        collections::VecDeque,
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

/// When a caller whose request was refused should come back.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// A request in progress.
pub(super) struct Flight {
    request: Request,
    repeatable: bool,
    running: Option<Attempt>,
}

struct Attempt {
    id: AttemptId,
    vm: VmId,
}

impl Engine {
    pub(super) fn arrived(
        &mut self,
        now: Instant,
        id: RequestId,
        request: Request,
        repeatable: bool,
    ) {
        if self.stopping {
            return self.refuse(id, "the entry is stopping");
        }
        if !self.sourced {
            return self.refuse(id, "the entry has no state yet");
        }
        if !self.shared.state().declaration.services.contains_key(&request.service) {
            return self.refuse(id, "no such service");
        }
        if request.deadline <= now {
            return self.refuse(id, "the deadline has passed");
        }
        self.queues.entry(request.service.clone()).or_default().push_back(id);
        self.flights.insert(id, Flight { request, repeatable, running: None });
    }

    fn refuse(&mut self, id: RequestId, reason: &str) {
        let finish = Finish::NotRun { reason: reason.to_string(), retry_after: RETRY_AFTER };
        self.actions.push(Action::Finish { id, finish });
    }

    pub(super) fn cancelled(&mut self, id: RequestId) {
        let Some(flight) = self.flights.remove(&id) else {
            return;
        };
        if let Some(queue) = self.queues.get_mut(&flight.request.service) {
            queue.retain(|waiting| *waiting != id);
        }
    }

    pub(super) fn ended(&mut self, now: Instant, id: RequestId, attempt: AttemptId, end: End) {
        let Some(flight) = self.flights.get_mut(&id) else {
            return;
        };
        let Some(running) = flight.running.take_if(|running| running.id == attempt) else {
            return;
        };
        if let Some(count) = self.in_use.get_mut(&running.vm) {
            *count = count.saturating_sub(1);
        }
        let certain = matches!(end, End::Refused { .. } | End::Unsent);
        let idempotent = flight.request.class != Class::Order;
        let service = flight.request.service.clone();
        match end {
            End::Answered { .. } | End::Cut => {
                self.flights.remove(&id);
            }
            _ if (certain || idempotent) && flight.repeatable && flight.request.deadline > now => {
                self.queues.entry(service).or_default().push_front(id);
            }
            _ if certain => {
                self.flights.remove(&id);
                self.refuse(id, "no endpoint took it");
            }
            _ => {
                self.flights.remove(&id);
                let reason = format!("the exchange with {} ended without an answer", running.vm);
                let finish = Finish::Unknown { reason, retry_after: RETRY_AFTER };
                self.actions.push(Action::Finish { id, finish });
            }
        }
    }

    pub(super) fn expire(&mut self, now: Instant) {
        let late: Vec<_> = self
            .flights
            .iter()
            .filter(|(_, f)| f.running.is_none() && f.request.deadline <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in late {
            self.cancelled(id);
            self.refuse(id, "no endpoint was free in time");
        }
    }

    pub(super) fn dispatch(&mut self, now: Instant) {
        let services: Vec<_> = self.queues.keys().cloned().collect();
        for service in services {
            while self.queues.get(&service).is_some_and(|queue| !queue.is_empty()) {
                let Some((vm, address)) = self.pick(&service) else {
                    break;
                };
                let Some(id) = self.queues.get_mut(&service).and_then(VecDeque::pop_front) else {
                    break;
                };
                self.run(now, id, vm, address);
            }
        }
    }

    fn run(&mut self, now: Instant, id: RequestId, vm: VmId, address: SocketAddr) {
        let Some(flight) = self.flights.get_mut(&id) else {
            return;
        };
        self.attempts += 1;
        let attempt = (AttemptId::from(self.me.incarnation) << 64) | AttemptId::from(self.attempts);
        let until = flight.request.deadline.max(now);
        flight.running = Some(Attempt { id: attempt, vm: vm.clone() });
        *self.in_use.entry(vm.clone()).or_default() += 1;
        self.actions.push(Action::Run { id, attempt, vm, address, until });
    }

    /// Picks the endpoint with the fewest exchanges within this entry's share of its slots.
    fn pick(&self, service: &String) -> Option<(VmId, SocketAddr)> {
        let state = self.shared.state();
        let peers = state.members.values().filter(|m| m.zone == self.me.zone).count();
        let share = DEFAULT_SLOTS / peers.max(1) as u32;
        state
            .endpoints(service)
            .filter(|(_, vm)| vm.zone == self.me.zone)
            .map(|(id, vm)| (self.in_use.get(id).copied().unwrap_or(0), id, vm))
            .filter(|(used, _, _)| *used < share)
            .min_by_key(|(used, _, _)| *used)
            .map(|(_, id, vm)| (id.clone(), vm.address))
    }
}
