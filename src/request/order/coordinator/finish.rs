//! Answers to the requests that wait for an order.

use {
    super::{Arrival, Coordinator, Ending, RETRY_AFTER, Step},
    crate::{
        event::{Finish, RequestId},
        id::OrderId,
    },
    std::time::Duration,
};

impl Coordinator {
    /// Answers the waiters of an order that has ended; after a release they continue to wait and
    /// claim it again.
    pub(super) fn answer_waiters(&mut self, id: OrderId, ending: &Ending) {
        let finish = match ending {
            Ending::Done(answer) => Finish::Stored(answer.clone()),
            Ending::Unknown => unknown("the order may have run"),
            Ending::NotRun => return,
        };
        let Some(order) = self.orders.get_mut(&id) else { return };
        for waiter in std::mem::take(&mut order.waiters) {
            self.finish(waiter.arrival.id, finish.clone());
        }
    }

    /// Answers all waiters of an order and removes it.
    pub(super) fn answer_all(&mut self, id: OrderId, finish: &Finish) {
        let Some(order) = self.orders.swap_remove(&id) else { return };
        for waiter in order.waiters {
            self.finish(waiter.arrival.id, finish.clone());
        }
    }

    /// Refuses all waiters of an order.
    pub(super) fn refuse_all(&mut self, id: OrderId, reason: &str) {
        let Some(order) = self.orders.get_mut(&id) else { return };
        for waiter in std::mem::take(&mut order.waiters) {
            self.refuse(&waiter.arrival, reason, RETRY_AFTER);
        }
    }

    /// Answers a request that did not run here: `not-run`, or unknown if the caller has sent the
    /// key before.
    pub(super) fn refuse(&mut self, arrival: &Arrival, reason: &str, retry_after: Duration) {
        let reason = String::from(reason);
        let finish = if arrival.is_repeat {
            Finish::Unknown { reason, retry_after }
        } else {
            Finish::NotRun { reason, retry_after }
        };
        self.finish(arrival.id, finish);
    }

    pub(super) fn finish(&mut self, request: RequestId, finish: Finish) {
        self.steps.push(Step::Finish(request, finish));
    }
}

pub(super) fn unknown(reason: &str) -> Finish {
    Finish::Unknown { reason: String::from(reason), retry_after: RETRY_AFTER }
}

pub(super) fn mismatch() -> Finish {
    Finish::Failed { reason: String::from("the key was used for a different request") }
}
