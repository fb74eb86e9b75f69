//! Decides on the order requests of one entry.
//!
//! A request waits for its order until the order is done or the request times out. Requests for the
//! same order on one entry share a claim, and the first of them runs it. A request refused as
//! `not-run` has not run and never will. If its caller has sent the key before, `not-run` covers
//! every request with the key: it is then reported only for an order whose claim this entry has
//! won; otherwise the outcome is unknown.

mod finish;

use {
    self::finish::{mismatch, unknown},
    super::{Arrival, Batcher, Ending, Key, Ledger, Owner, Retention, Step, Verdict},
    crate::{
        event::{Finish, RequestId},
        id::{Offset, OrderId},
        platform::Append,
        record::{Batch, Transition},
    },
    indexmap::IndexMap,
    std::time::{Duration, Instant},
};

/// Time that a request waits for its claim to be read back.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(2);
/// Delay after which a refused caller may retry.
const RETRY_AFTER: Duration = Duration::from_secs(1);
/// Delay after which a caller may retry while the log is unavailable.
const OUTAGE_RETRY_AFTER: Duration = Duration::from_secs(5);

/// A request waiting for its order.
#[derive(Clone, Copy, Debug)]
struct Waiter {
    arrival: Arrival,
    /// When the request is refused unless its claim has been read back.
    claim_deadline: Instant,
}

/// State of an order on this entry.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Phase {
    /// This entry's claim has not been read back yet.
    Claiming,
    /// This entry's claim has won, and the request is running.
    Running(RequestId),
    /// The run has ended, and its outcome has not been read back yet.
    Ended(Ending),
    /// Another entry's claim has won.
    Remote,
}

/// An order with requests on this entry, or whose outcome this entry has yet to write.
#[derive(Debug)]
struct Order {
    key: Key,
    /// Fingerprint of the requests.
    request: u64,
    phase: Phase,
    /// Waiting requests in the order of arrival, without the running one.
    waiters: Vec<Waiter>,
}

/// Order requests of one entry.
#[derive(Debug)]
pub struct Coordinator {
    owner: Owner,
    ledger: Ledger,
    batcher: Batcher,
    orders: IndexMap<OrderId, Order>,
    steps: Vec<Step>,
}

impl Coordinator {
    /// Creates a coordinator that has read nothing; the owner's incarnation must not have been used
    /// before.
    pub fn new(owner: Owner, retention: Retention) -> Self {
        let batcher = Batcher::new(owner.clone());
        let (ledger, orders) = (Ledger::new(retention), IndexMap::new());
        Self { owner, ledger, batcher, orders, steps: Vec::new() }
    }

    /// State of the orders stream as read so far.
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// Sets the number of entries that share the maximum rate of appends.
    pub fn set_entries(&mut self, entries: u32) {
        self.batcher.set_entries(entries);
    }

    /// Takes the steps decided since the last call.
    pub fn steps(&mut self) -> Vec<Step> {
        std::mem::take(&mut self.steps)
    }

    /// Returns the append to send now, if one is due.
    pub fn poll(&mut self, now: Instant) -> Option<Append> {
        self.batcher.poll(now)
    }

    /// Handles the answer to an append; `is_stored` is whether it is known to be in the log.
    pub fn appended(&mut self, id: &str, is_stored: bool) {
        self.batcher.appended(id, is_stored);
    }

    /// Whether no order is in progress and everything written is in the log.
    pub fn is_idle(&self) -> bool {
        self.orders.is_empty() && self.batcher.is_empty()
    }

    /// Handles a new request; `is_gone` returns whether the owner of a claim has ended.
    pub fn arrive(&mut self, now: Instant, arrival: Arrival, is_gone: impl Fn(&Owner) -> bool) {
        let waiter = Waiter { arrival, claim_deadline: arrival.deadline.min(now + CLAIM_TIMEOUT) };
        if let Some(order) = self.orders.get_mut(&arrival.key.order) {
            if order.request != arrival.request {
                return self.finish(arrival.id, mismatch());
            }
            order.waiters.push(waiter);
            if let Phase::Ended(ending) = order.phase.clone() {
                self.answer_waiters(arrival.key.order, &ending);
            }
            return;
        }
        match self.ledger.verdict(arrival.key.order, arrival.request, is_gone) {
            Verdict::Free => self.claim(now, waiter),
            Verdict::Owned(_) => self.track(waiter, Phase::Remote),
            Verdict::Done(answer) => self.finish(arrival.id, Finish::Stored(answer)),
            Verdict::Unknown => {
                self.finish(arrival.id, unknown("the entry that claimed the order has ended"))
            }
            Verdict::Mismatch => self.finish(arrival.id, mismatch()),
        }
    }

    /// Claims an order that has no claim, or answers the request if that is not safe or possible.
    fn claim(&mut self, now: Instant, waiter: Waiter) {
        let arrival = waiter.arrival;
        if !self.ledger.covers(&arrival.key) {
            return self
                .finish(arrival.id, unknown("the key is too old to tell whether the order ran"));
        }
        if self.batcher.is_unavailable(now) {
            return self.refuse(&arrival, "the log is unavailable", OUTAGE_RETRY_AFTER);
        }
        let (order, request) = (arrival.key.order, arrival.request);
        self.batcher.push(Transition::Claim { order, request });
        self.track(waiter, Phase::Claiming);
    }

    /// Adds an order with its first waiter.
    fn track(&mut self, waiter: Waiter, phase: Phase) {
        let Arrival { key, request, .. } = waiter.arrival;
        self.orders.insert(key.order, Order { key, request, phase, waiters: vec![waiter] });
    }

    /// Applies a record of the orders stream that the platform appended at `at`.
    pub fn read(&mut self, now: Instant, offset: Offset, at: Duration, batch: &Batch) {
        self.note_gap(offset);
        let is_own = batch.entry == self.owner.0 && batch.incarnation == self.owner.1;
        let took_effect = self.ledger.apply(offset, at, batch);
        if is_own {
            self.batcher.read(batch.sequence);
        }
        if took_effect {
            for transition in &batch.lines {
                self.apply_transition(now, transition, is_own);
            }
        }
    }

    /// Skips to `first`, before which the log no longer holds records.
    pub fn note_gap(&mut self, first: Offset) {
        if first > self.ledger.next() {
            self.ledger.note_gap(first);
            self.batcher.request_record();
            self.rewrite_outcomes();
        }
    }

    /// Skips a record that can't be decoded.
    pub fn skip(&mut self, offset: Offset) {
        self.note_gap(offset);
        self.ledger.skip(offset);
    }

    /// Continues the order that a transition from the stream concerns.
    fn apply_transition(&mut self, now: Instant, transition: &Transition, is_own: bool) {
        let id = transition.order();
        let Some(order) = self.orders.get(&id) else { return };
        match (&order.phase, transition) {
            (Phase::Claiming, Transition::Claim { .. }) if is_own => self.claim_read(now, id),
            (Phase::Ended(Ending::NotRun), Transition::Release { .. }) if is_own => {
                self.reclaim(now, id)
            }
            (Phase::Ended(_), Transition::Done { .. } | Transition::Unknown { .. }) if is_own => {
                self.orders.swap_remove(&id);
            }
            (Phase::Remote, _) => self.check_remote(now, id),
            _ => (),
        }
    }

    /// Decides on an order whose claim has been read back.
    fn claim_read(&mut self, now: Instant, id: OrderId) {
        if !self.ledger.is_owned_by(id, &self.owner) {
            if let Some(order) = self.orders.get_mut(&id) {
                order.phase = Phase::Remote;
            }
            return self.check_remote(now, id);
        }
        let Some(order) = self.orders.get(&id) else { return };
        if self.ledger.is_ahead(&order.key) {
            self.refuse_all(id, "the key's creation time is in the future");
            return self.end(id, Ending::NotRun);
        }
        // If the key has outlived the retention meanwhile, an earlier claim may have been dropped.
        if !self.ledger.covers(&order.key) {
            return self.end(id, Ending::Unknown);
        }
        self.run_next(id);
    }

    /// Runs the order for its first waiter, or releases it if there is none.
    fn run_next(&mut self, id: OrderId) {
        let Some(order) = self.orders.get_mut(&id) else { return };
        if order.waiters.is_empty() {
            return self.end(id, Ending::NotRun);
        }
        let waiter = order.waiters.remove(0);
        order.phase = Phase::Running(waiter.arrival.id);
        self.steps.push(Step::Run(waiter.arrival.id));
    }

    /// Checks the state of an order that another entry has claimed.
    fn check_remote(&mut self, now: Instant, id: OrderId) {
        let Some(order) = self.orders.get(&id) else { return };
        match self.ledger.verdict(id, order.request, |_| false) {
            Verdict::Owned(_) => (),
            Verdict::Free => self.reclaim(now, id),
            Verdict::Done(answer) => self.answer_all(id, &Finish::Stored(answer)),
            Verdict::Unknown => {
                self.answer_all(id, &unknown("the order may have run through another entry"))
            }
            Verdict::Mismatch => self.answer_all(id, &mismatch()),
        }
    }

    /// Claims a released order again for its waiters.
    fn reclaim(&mut self, now: Instant, id: OrderId) {
        let Some(order) = self.orders.swap_remove(&id) else { return };
        for mut waiter in order.waiters {
            waiter.claim_deadline = waiter.arrival.deadline.min(now + CLAIM_TIMEOUT);
            match self.orders.get_mut(&id) {
                Some(order) => order.waiters.push(waiter),
                None => self.claim(now, waiter),
            }
        }
    }

    /// Handles the end of a run; the request that ran is answered by whoever ran it, not here.
    pub fn ended(&mut self, request: RequestId, ending: Ending) {
        let is_running = |order: &Order| order.phase == Phase::Running(request);
        let Some(id) = self.orders.iter().find(|(_, o)| is_running(o)).map(|(id, _)| *id) else {
            return;
        };
        match ending {
            Ending::NotRun => self.run_next(id),
            Ending::Done(_) | Ending::Unknown => self.end(id, ending),
        }
    }

    /// Writes the outcome of an order that this entry has claimed.
    fn end(&mut self, id: OrderId, ending: Ending) {
        let Some(order) = self.orders.get_mut(&id) else { return };
        order.phase = Phase::Ended(ending.clone());
        self.batcher.push(match &ending {
            Ending::Done(answer) => Transition::Done { order: id, answer: answer.clone() },
            Ending::NotRun => Transition::Release { order: id },
            Ending::Unknown => Transition::Unknown { order: id },
        });
        self.answer_waiters(id, &ending);
    }

    /// After records were missed: writes outcomes again and gives up sent claims, since they may be
    /// among the missed records.
    fn rewrite_outcomes(&mut self) {
        let ended = self.orders.iter().filter_map(|(id, order)| match &order.phase {
            Phase::Ended(ending) => Some((*id, ending.clone())),
            _ => None,
        });
        let ended: Vec<_> = ended.collect();
        ended.into_iter().for_each(|(id, ending)| self.end(id, ending));
        for id in self.orders_in(|phase| *phase == Phase::Claiming) {
            if !self.batcher.is_unsent(id) {
                self.refuse_all(id, "records of the orders stream were missed");
                self.end(id, Ending::NotRun);
            }
        }
    }

    fn orders_in(&self, is_in: impl Fn(&Phase) -> bool) -> Vec<OrderId> {
        self.orders.iter().filter(|(_, o)| is_in(&o.phase)).map(|(id, _)| *id).collect()
    }

    /// Removes a waiting request whose caller has disconnected; a running one continues.
    pub fn cancel(&mut self, request: RequestId) {
        for order in self.orders.values_mut() {
            order.waiters.retain(|w| w.arrival.id != request);
        }
        self.drop_unsent();
    }

    /// Answers the requests that have timed out and those whose order's owner has ended.
    pub fn tick(&mut self, now: Instant, is_gone: impl Fn(&Owner) -> bool) {
        for id in self.orders_in(|phase| *phase == Phase::Remote) {
            let request = self.orders.get(&id).map_or(0, |o| o.request);
            if self.ledger.verdict(id, request, &is_gone) == Verdict::Unknown {
                self.answer_all(id, &unknown("the entry that claimed the order has ended"));
            }
        }
        for id in self.orders_in(|_| true) {
            self.expire(now, id);
        }
        self.orders.retain(|_, o| o.phase != Phase::Remote || !o.waiters.is_empty());
        self.drop_unsent();
    }

    /// Answers the requests for an order that have timed out.
    fn expire(&mut self, now: Instant, id: OrderId) {
        let Some(order) = self.orders.get_mut(&id) else { return };
        let is_unclaimed = matches!(order.phase, Phase::Claiming | Phase::Ended(Ending::NotRun));
        let is_late =
            |w: &Waiter| now >= if is_unclaimed { w.claim_deadline } else { w.arrival.deadline };
        let (late, waiting) = std::mem::take(&mut order.waiters).into_iter().partition(is_late);
        order.waiters = waiting;
        let late: Vec<Waiter> = late;
        for waiter in late {
            if is_unclaimed {
                self.refuse(
                    &waiter.arrival,
                    "the claim was not written to the log in time",
                    RETRY_AFTER,
                );
            } else {
                self.finish(waiter.arrival.id, unknown("the order may still be running"));
            }
        }
    }

    /// Removes unsent claims of orders without waiters.
    fn drop_unsent(&mut self) {
        let batcher = &mut self.batcher;
        self.orders.retain(|id, order| {
            let is_unwanted = order.phase == Phase::Claiming && order.waiters.is_empty();
            !(is_unwanted && batcher.remove_unsent(*id))
        });
    }
}
