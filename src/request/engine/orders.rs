//! Orders, which are claimed through the log before they run.

use {
    super::{
        Engine,
        requests::{Claim, Inflight},
    },
    crate::{
        event::{Action, RequestId, Stream},
        id::{Offset, OrderKey},
        member::Health,
        order::{Arrival, Ending, Key, Owner, Step},
        platform::Page,
        record::Batch,
        state::State,
    },
    log::warn,
    std::time::{Duration, Instant},
};

impl Engine {
    /// Passes an order to the coordinator, which claims it; it is queued once its claim has won.
    pub(super) fn claim(
        &mut self,
        now: Instant,
        id: RequestId,
        key: &OrderKey,
        mut inflight: Inflight,
    ) {
        let request = &inflight.request;
        let arrival = Arrival {
            id,
            key: Key::new(&request.service, &request.team, key),
            request: inflight.fingerprint,
            deadline: request.deadline,
            is_repeat: request.repeat,
        };
        inflight.claim = Claim::Waiting;
        self.inflight.insert(id, inflight);
        let state = self.shared.state();
        let peers = &self.peers;
        self.coordinator.arrive(now, arrival, |owner| gone(&state, peers, now, owner));
    }

    /// Reports to the coordinator how a request for an order has ended.
    pub(super) fn order_ended(&mut self, id: RequestId, claim: Claim, ending: Ending) {
        match claim {
            Claim::None => {}
            Claim::Waiting => self.coordinator.cancel(id),
            Claim::Won => self.coordinator.ended(id, ending),
        }
    }

    /// Carries out the coordinator's steps and sends its next append.
    pub(super) fn work_orders(&mut self, now: Instant) {
        loop {
            let steps = self.coordinator.steps();
            if steps.is_empty() {
                break;
            }
            for step in steps {
                self.order_step(now, step);
            }
        }
        if let Some(record) = self.coordinator.poll(now) {
            self.actions.push(Action::Append { stream: Stream::Orders, record });
        }
    }

    /// Carries out one step of the coordinator.
    fn order_step(&mut self, now: Instant, step: Step) {
        match step {
            Step::Run(id) => match self.inflight.remove(&id) {
                Some(mut inflight) => {
                    inflight.claim = Claim::Won;
                    self.enqueue(now, id, inflight);
                }
                None => self.coordinator.ended(id, Ending::NotRun),
            },
            Step::Finish(id, finish) => {
                self.inflight.remove(&id);
                self.actions.push(Action::Finish { id, finish });
            }
        }
    }

    /// Lets the coordinator do what is due.
    pub(super) fn tick_orders(&mut self, now: Instant) {
        let state = self.shared.state();
        self.coordinator.set_entries(state.members.len().max(1) as u32);
        let peers = &self.peers;
        self.coordinator.tick(now, |owner| gone(&state, peers, now, owner));
    }

    /// Passes records read from the orders stream to the coordinator.
    pub(super) fn read_orders(&mut self, now: Instant, page: Page) {
        for entry in page.records {
            let at = Duration::from_millis(entry.at_ms);
            match entry.decode::<Batch>() {
                Ok(batch) => self.coordinator.read(now, entry.offset, at, &batch),
                Err(error) => {
                    warn!("engine: Order record {} can't be decoded: {error}.", entry.offset);
                    self.coordinator.skip(entry.offset);
                }
            }
        }
    }

    /// Reports to the coordinator that the orders stream holds only records from `first` on.
    pub(super) fn orders_trimmed(&mut self, first: Offset) {
        self.coordinator.note_gap(first);
    }

    /// Passes the answer to an append to the coordinator.
    pub(super) fn appended_orders(&mut self, id: &str, offset: Option<Offset>) {
        self.coordinator.appended(id, offset.is_some());
    }
}

/// Whether the incarnation that owns a claim has ended for certain.
fn gone(state: &State, peers: &crate::member::Table, now: Instant, owner: &Owner) -> bool {
    let (id, incarnation) = owner;
    match state.members.get(id) {
        Some(member) if member.incarnation == *incarnation => {
            peers.health(now, id) == Some(Health::Gone)
        }
        _ => true,
    }
}
