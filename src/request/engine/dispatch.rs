//! Starts queued requests on endpoints, and gives up those that can't finish in time.

use {
    super::{
        Engine,
        requests::{Attempt, Inflight},
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

/// Minimum timeout of an attempt that may be retried.
const MIN_ATTEMPT_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout of an attempt that may be retried, in expected run times.
const ATTEMPT_TIMEOUT_RUNS: u32 = 10;

impl Engine {
    /// Answers the waiting requests that can't finish before their deadlines any more.
    pub(super) fn expire(&mut self, now: Instant) {
        let names: Vec<ServiceId> = self.services.keys().cloned().collect();
        for name in names {
            let supply = self.supply(&name);
            let queue = &mut self.service(&name).queue;
            queue.set_supply(supply);
            let expired = queue.expire(now);
            for (waiting, refusal) in expired {
                if let Some(inflight) = self.inflight.remove(&waiting.id) {
                    self.metrics.refused(refusal.reason.label());
                    let reason = refusal.reason.to_string();
                    self.give_up(waiting.id, &inflight, &reason, refusal.retry_after);
                }
            }
        }
    }

    /// Starts the requests that can start, and reports the remaining demand to the peers.
    pub(super) fn dispatch(&mut self, now: Instant) {
        for index in 0..self.services.len() {
            while let Some((id, permit)) = self.next_start(now, index) {
                self.start_attempt(now, id, permit);
            }
            if let Some((name, service)) = self.services.get_index_mut(index) {
                self.slots.set_demand(now, name, service.queue.demand(now));
            }
        }
    }

    /// Next request of a service to start, with the permit for its slot.
    fn next_start(&mut self, now: Instant, index: usize) -> Option<(RequestId, Permit)> {
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

    /// Starts an attempt at a request.
    fn start_attempt(&mut self, now: Instant, id: RequestId, permit: Permit) {
        let address = self.addresses.get(&permit.endpoint).copied();
        let (Some(address), Some(mut inflight)) = (address, self.inflight.remove(&id)) else {
            return self.slots.release(now, permit);
        };
        let attempt = self.next_attempt();
        inflight.attempts += 1;
        let run_time =
            self.service(&inflight.request.service).queue.run_time(inflight.request.class);
        let until = attempt_deadline(now, &inflight, run_time);
        let vm = permit.endpoint.clone();
        inflight.running = Some(Attempt { id: attempt, permit: Some(permit) });
        self.metrics.waited(inflight.request.class, now.duration_since(inflight.arrived));
        self.inflight.insert(id, inflight);
        self.actions.push(Action::Run { id, attempt, vm, address, until });
    }
}

/// When an attempt times out: early enough for another one if a retry is allowed.
fn attempt_deadline(now: Instant, inflight: &Inflight, run_time: Duration) -> Instant {
    let deadline = inflight.request.deadline;
    let retried = inflight.request.class == Class::Quick
        && inflight.repeatable
        && inflight.attempts < retry::Limits::default().attempts;
    if !retried {
        return deadline;
    }
    deadline.min(now + (run_time * ATTEMPT_TIMEOUT_RUNS).max(MIN_ATTEMPT_TIMEOUT))
}
