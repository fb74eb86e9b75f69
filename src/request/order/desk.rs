//! Decisions of one entry on its orders.
//!
//! A request waits at its order until the order is done, or the request's time is up. Requests of
//! one order on one entry share a claim; the first of them runs it. A request refused as not run
//! has not been run and will not be. If its caller has sent the key before, `not-run` has to speak
//! for every try of the key: it is then said only of an order that this entry's claim has won,
//! otherwise the outcome is unknown.

use {
    super::{Arrival, Batcher, Ending, Key, Ledger, Owner, Step, Verdict, Window},
    crate::{
        event::{Finish, RequestId},
        id::{Offset, OrderId},
        platform::Append,
        record::{Batch, Line},
    },
    indexmap::IndexMap,
    std::time::{Duration, Instant},
};

/// Time that a request waits for its claim.
const CLAIM_PATIENCE: Duration = Duration::from_secs(2);
/// When a refused caller may ask again.
const RETRY_AFTER: Duration = Duration::from_secs(1);
/// When to ask again while the log is out.
const OUTAGE_RETRY_AFTER: Duration = Duration::from_secs(5);

#[derive(Clone, Copy, Debug)]
struct Waiter {
    arrival: Arrival,
    /// When it is refused unless its claim was read back.
    patience: Instant,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Phase {
    /// A claim is on its way to the log, or its fate is not known.
    Claiming,
    /// This entry's claim won, and the request runs.
    Running(RequestId),
    /// The outcome is on its way to the log.
    Ended(Ending),
    /// Another entry holds the claim.
    Foreign,
}

#[derive(Debug)]
struct Order {
    key: Key,
    request: u64,
    phase: Phase,
    waiters: Vec<Waiter>,
}

/// Orders of one entry.
#[derive(Debug)]
pub struct Desk {
    owner: Owner,
    ledger: Ledger,
    batcher: Batcher,
    orders: IndexMap<OrderId, Order>,
    steps: Vec<Step>,
}

impl Desk {
    /// Desk that has read nothing yet; no earlier desk has used the owner's incarnation.
    pub fn new(owner: Owner, window: Window) -> Self {
        let batcher = Batcher::new(owner.clone());
        let (ledger, orders) = (Ledger::new(window), IndexMap::new());
        Self { owner, ledger, batcher, orders, steps: Vec::new() }
    }

    /// What the stream says so far.
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// Shares the log's appends between so many entries.
    pub fn set_entries(&mut self, entries: u32) {
        self.batcher.set_entries(entries);
    }

    /// Steps decided since the last call.
    pub fn steps(&mut self) -> Vec<Step> {
        std::mem::take(&mut self.steps)
    }

    /// The append to send now, if it is time.
    pub fn poll(&mut self, now: Instant) -> Option<Append> {
        self.batcher.poll(now)
    }

    /// Learns that an append ended; `is_stored` if it is known to be in the log.
    pub fn appended(&mut self, id: &str, is_stored: bool) {
        self.batcher.appended(id, is_stored);
    }

    /// Whether no order is in progress and everything written is in the log.
    pub fn is_idle(&self) -> bool {
        self.orders.is_empty() && self.batcher.is_empty()
    }

    /// Takes an order; `is_gone` tells whether the owner of a claim has ended.
    pub fn arrive(&mut self, now: Instant, arrival: Arrival, is_gone: impl Fn(&Owner) -> bool) {
        let waiter = Waiter { arrival, patience: arrival.deadline.min(now + CLAIM_PATIENCE) };
        if let Some(order) = self.orders.get_mut(&arrival.key.order) {
            if order.request != arrival.request {
                return self.finish(arrival.id, mismatch());
            }
            order.waiters.push(waiter);
            if let Phase::Ended(ending) = order.phase.clone() {
                self.conclude(arrival.key.order, &ending);
            }
            return;
        }
        match self.ledger.verdict(arrival.key.order, arrival.request, is_gone) {
            Verdict::Free => self.claim_first(now, waiter),
            Verdict::Owned(_) => self.open(waiter, Phase::Foreign),
            Verdict::Done(answer) => self.finish(arrival.id, Finish::Stored(answer)),
            Verdict::Unknown => self.finish(arrival.id, unknown("the entry that held it is gone")),
            Verdict::Mismatch => self.finish(arrival.id, mismatch()),
        }
    }

    fn claim_first(&mut self, now: Instant, waiter: Waiter) {
        let arrival = waiter.arrival;
        if !self.ledger.knows(&arrival.key) {
            return self.finish(arrival.id, unknown("its key is older than what is remembered"));
        }
        if self.batcher.is_out(now) {
            return self.refuse(&arrival, "the log is out", OUTAGE_RETRY_AFTER);
        }
        let (order, request) = (arrival.key.order, arrival.request);
        self.batcher.push(Line::Claim { order, request });
        self.open(waiter, Phase::Claiming);
    }

    fn open(&mut self, waiter: Waiter, phase: Phase) {
        let Arrival { key, request, .. } = waiter.arrival;
        self.orders.insert(key.order, Order { key, request, phase, waiters: vec![waiter] });
    }

    /// Applies a record of the orders' stream, which the platform appended at `at`.
    pub fn read(&mut self, now: Instant, offset: Offset, at: Duration, batch: &Batch) {
        self.miss(offset);
        let is_own = batch.entry == self.owner.0 && batch.incarnation == self.owner.1;
        let took_effect = self.ledger.apply(offset, at, batch);
        if is_own {
            self.batcher.read(batch.sequence);
        }
        if took_effect {
            for line in &batch.lines {
                self.learn(now, line, is_own);
            }
        }
    }

    /// Learns that the log holds records from `first` on only.
    pub fn miss(&mut self, first: Offset) {
        if first > self.ledger.next() {
            self.ledger.miss(first);
            self.batcher.mark();
            self.write_again();
        }
    }

    /// Passes over a record that can't be read.
    pub fn skip(&mut self, offset: Offset) {
        self.miss(offset);
        self.ledger.skip(offset);
    }

    fn learn(&mut self, now: Instant, line: &Line, is_own: bool) {
        let id = line.order();
        let Some(order) = self.orders.get(&id) else { return };
        match (&order.phase, line) {
            (Phase::Claiming, Line::Claim { .. }) if is_own => self.claimed(now, id),
            (Phase::Ended(Ending::NotRun), Line::Release { .. }) if is_own => self.reclaim(now, id),
            (Phase::Ended(_), Line::Done { .. } | Line::Unknown { .. }) if is_own => {
                self.orders.swap_remove(&id);
            }
            (Phase::Foreign, _) => self.follow(now, id),
            _ => (),
        }
    }

    /// Decides on an order whose claim was read back.
    fn claimed(&mut self, now: Instant, id: OrderId) {
        if !self.ledger.is_owned_by(id, &self.owner) {
            if let Some(order) = self.orders.get_mut(&id) {
                order.phase = Phase::Foreign;
            }
            return self.follow(now, id);
        }
        let Some(order) = self.orders.get(&id) else { return };
        if self.ledger.is_ahead(&order.key) {
            self.refuse_all(id, "its key was drawn later than now");
            return self.end(id, Ending::NotRun);
        }
        // A claim that the window has overtaken meanwhile may not be the first.
        if !self.ledger.knows(&order.key) {
            return self.end(id, Ending::Unknown);
        }
        self.run_next(id);
    }

    /// Runs the order for its first waiter, or releases it.
    fn run_next(&mut self, id: OrderId) {
        let Some(order) = self.orders.get_mut(&id) else { return };
        if order.waiters.is_empty() {
            return self.end(id, Ending::NotRun);
        }
        let waiter = order.waiters.remove(0);
        order.phase = Phase::Running(waiter.arrival.id);
        self.steps.push(Step::Run(waiter.arrival.id));
    }

    /// Looks again at an order that another entry holds.
    fn follow(&mut self, now: Instant, id: OrderId) {
        let Some(order) = self.orders.get(&id) else { return };
        match self.ledger.verdict(id, order.request, |_| false) {
            Verdict::Owned(_) => (),
            Verdict::Free => self.reclaim(now, id),
            Verdict::Done(answer) => self.close(id, &Finish::Stored(answer)),
            Verdict::Unknown => self.close(id, &unknown("it may have run on another entry")),
            Verdict::Mismatch => self.close(id, &mismatch()),
        }
    }

    /// Claims a released order again for those who wait for it.
    fn reclaim(&mut self, now: Instant, id: OrderId) {
        let Some(order) = self.orders.swap_remove(&id) else { return };
        for mut waiter in order.waiters {
            waiter.patience = waiter.arrival.deadline.min(now + CLAIM_PATIENCE);
            match self.orders.get_mut(&id) {
                Some(order) => order.waiters.push(waiter),
                None => self.claim_first(now, waiter),
            }
        }
    }

    /// Learns how a run ended; whoever ran it answers the request itself.
    pub fn ended(&mut self, request: RequestId, ending: Ending) {
        let is_it = |order: &Order| order.phase == Phase::Running(request);
        let Some(id) = self.orders.iter().find(|(_, o)| is_it(o)).map(|(id, _)| *id) else {
            return;
        };
        match ending {
            Ending::NotRun => self.run_next(id),
            Ending::Done(_) | Ending::Unknown => self.end(id, ending),
        }
    }

    /// Writes the outcome of an order that this entry holds.
    fn end(&mut self, id: OrderId, ending: Ending) {
        let Some(order) = self.orders.get_mut(&id) else { return };
        order.phase = Phase::Ended(ending.clone());
        self.batcher.push(match &ending {
            Ending::Done(answer) => Line::Done { order: id, answer: answer.clone() },
            Ending::NotRun => Line::Release { order: id },
            Ending::Unknown => Line::Unknown { order: id },
        });
        self.conclude(id, &ending);
    }

    /// Answers those who wait for an order that ended; after a release they wait on to claim it.
    fn conclude(&mut self, id: OrderId, ending: &Ending) {
        let finish = match ending {
            Ending::Done(answer) => Finish::Stored(answer.clone()),
            Ending::Unknown => unknown("it may have run"),
            Ending::NotRun => return,
        };
        let Some(order) = self.orders.get_mut(&id) else { return };
        for waiter in std::mem::take(&mut order.waiters) {
            self.finish(waiter.arrival.id, finish.clone());
        }
    }

    /// Answers everyone who waits for an order and forgets it.
    fn close(&mut self, id: OrderId, finish: &Finish) {
        let Some(order) = self.orders.swap_remove(&id) else { return };
        for waiter in order.waiters {
            self.finish(waiter.arrival.id, finish.clone());
        }
    }

    /// Gives up claims, and repeats outcomes, that may be among records that were missed.
    fn write_again(&mut self) {
        let ended = self.orders.iter().filter_map(|(id, order)| match &order.phase {
            Phase::Ended(ending) => Some((*id, ending.clone())),
            _ => None,
        });
        let ended: Vec<_> = ended.collect();
        ended.into_iter().for_each(|(id, ending)| self.end(id, ending));
        for id in self.orders_in(|phase| *phase == Phase::Claiming) {
            if !self.batcher.is_unsent(id) {
                self.refuse_all(id, "records of the log were missed");
                self.end(id, Ending::NotRun);
            }
        }
    }

    fn refuse_all(&mut self, id: OrderId, reason: &str) {
        let Some(order) = self.orders.get_mut(&id) else { return };
        for waiter in std::mem::take(&mut order.waiters) {
            self.refuse(&waiter.arrival, reason, RETRY_AFTER);
        }
    }

    fn orders_in(&self, is_in: impl Fn(&Phase) -> bool) -> Vec<OrderId> {
        self.orders.iter().filter(|(_, o)| is_in(&o.phase)).map(|(id, _)| *id).collect()
    }

    /// Forgets a request whose caller has gone; one that runs goes on.
    pub fn cancel(&mut self, request: RequestId) {
        for order in self.orders.values_mut() {
            order.waiters.retain(|w| w.arrival.id != request);
        }
        self.drop_unsent();
    }

    /// Answers the requests whose time is up, and those whose claim's owner is gone.
    pub fn tick(&mut self, now: Instant, is_gone: impl Fn(&Owner) -> bool) {
        for id in self.orders_in(|phase| *phase == Phase::Foreign) {
            let request = self.orders.get(&id).map_or(0, |o| o.request);
            if self.ledger.verdict(id, request, &is_gone) == Verdict::Unknown {
                self.close(id, &unknown("the entry that held it is gone"));
            }
        }
        for id in self.orders_in(|_| true) {
            self.expire(now, id);
        }
        self.orders.retain(|_, o| o.phase != Phase::Foreign || !o.waiters.is_empty());
        self.drop_unsent();
    }

    fn expire(&mut self, now: Instant, id: OrderId) {
        let Some(order) = self.orders.get_mut(&id) else { return };
        let is_unclaimed = matches!(order.phase, Phase::Claiming | Phase::Ended(Ending::NotRun));
        let is_late =
            |w: &Waiter| now >= if is_unclaimed { w.patience } else { w.arrival.deadline };
        let (late, waiting) = std::mem::take(&mut order.waiters).into_iter().partition(is_late);
        order.waiters = waiting;
        let late: Vec<Waiter> = late;
        for waiter in late {
            if is_unclaimed {
                self.refuse(&waiter.arrival, "the log did not take its claim", RETRY_AFTER);
            } else {
                self.finish(waiter.arrival.id, unknown("it may be running"));
            }
        }
    }

    /// Takes back claims that nobody waits for and that were not sent.
    fn drop_unsent(&mut self) {
        let batcher = &mut self.batcher;
        self.orders.retain(|id, order| {
            let is_unwanted = order.phase == Phase::Claiming && order.waiters.is_empty();
            !(is_unwanted && batcher.retract(*id))
        });
    }

    /// Says that a request was not run, as far as this is certain.
    fn refuse(&mut self, arrival: &Arrival, reason: &str, retry_after: Duration) {
        let reason = String::from(reason);
        let finish = if arrival.is_repeat {
            Finish::Unknown { reason, retry_after }
        } else {
            Finish::NotRun { reason, retry_after }
        };
        self.finish(arrival.id, finish);
    }

    fn finish(&mut self, request: RequestId, finish: Finish) {
        self.steps.push(Step::Finish(request, finish));
    }
}

fn unknown(reason: &str) -> Finish {
    Finish::Unknown { reason: String::from(reason), retry_after: RETRY_AFTER }
}

fn mismatch() -> Finish {
    Finish::Failed { reason: String::from("the key names another request") }
}
