//! From a service's queue to an endpoint: what starts, and what is given up.

use {
    super::{
        Engine,
        requests::{Attempt, Flight},
    },
    crate::{
        event::{Action, RequestId},
        id::ServiceId,
        request::Class,
        retry,
        slot::Permit,
    },
    std::time::{Duration, Instant},
};

/// Shortest time that an attempt is given while another may follow.
const MIN_PATIENCE: Duration = Duration::from_secs(1);
/// Expected run times after which an attempt without an answer is given up.
const PATIENCE_RUNS: u32 = 10;

impl Engine {
    /// Gives up the requests that can't make their deadlines any more, at once.
    pub(super) fn expire(&mut self, now: Instant) {
        let names: Vec<ServiceId> = self.services.keys().cloned().collect();
        for name in names {
            let supply = self.supply(&name);
            let queue = &mut self.service(&name).queue;
            queue.set_supply(supply);
            let expired = queue.expire(now);
            for (waiting, refusal) in expired {
                if let Some(flight) = self.flights.remove(&waiting.id) {
                    self.metrics.refused(refusal.reason.label());
                    let reason = refusal.reason.to_string();
                    self.give_up(waiting.id, &flight, &reason, refusal.retry_after);
                }
            }
        }
    }

    /// Starts what can start and tells the peers what waits.
    pub(super) fn dispatch(&mut self, now: Instant) {
        for index in 0..self.services.len() {
            while let Some((id, permit)) = self.next(now, index) {
                self.run(now, id, permit);
            }
            if let Some((name, service)) = self.services.get_index_mut(index) {
                self.slots.set_demand(now, name, service.queue.demand(now));
            }
        }
    }

    /// A waiting request of a service with a slot for it.
    fn next(&mut self, now: Instant, index: usize) -> Option<(RequestId, Permit)> {
        let (name, service) = self.services.get_index_mut(index)?;
        if service.queue.ready() == 0 {
            return None;
        }
        let monitor = &self.monitor;
        let permit = self.slots.acquire(now, name, |vm| monitor.is_usable(vm))?;
        match service.queue.take(now) {
            Some(waiting) => Some((waiting.id, permit)),
            None => {
                self.slots.release(now, permit);
                None
            }
        }
    }

    fn run(&mut self, now: Instant, id: RequestId, permit: Permit) {
        let address = self.addresses.get(&permit.endpoint).copied();
        let (Some(address), Some(mut flight)) = (address, self.flights.remove(&id)) else {
            return self.slots.release(now, permit);
        };
        let attempt = self.next_attempt();
        flight.attempts += 1;
        let run_time = self.service(&flight.request.service).queue.run_time(flight.request.class);
        let until = until(now, &flight, run_time);
        let vm = permit.endpoint.clone();
        flight.running = Some(Attempt { id: attempt, permit: Some(permit) });
        self.metrics.waited(flight.request.class, now.duration_since(flight.arrived));
        self.flights.insert(id, flight);
        self.actions.push(Action::Run { id, attempt, vm, address, until });
    }
}

/// When to give an attempt up: early enough for another one if that may follow.
fn until(now: Instant, flight: &Flight, run_time: Duration) -> Instant {
    let deadline = flight.request.deadline;
    let retried = flight.request.class == Class::Quick
        && flight.repeatable
        && flight.attempts < retry::Limits::default().attempts;
    if !retried {
        return deadline;
    }
    deadline.min(now + (run_time * PATIENCE_RUNS).max(MIN_PATIENCE))
}
