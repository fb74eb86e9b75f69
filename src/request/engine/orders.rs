//! Orders: claimed through the log before they run.

use {
    super::{
        Engine,
        requests::{Claim, Flight},
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
    /// Has an order claimed; it is queued once its claim has won.
    pub(super) fn claim(
        &mut self,
        now: Instant,
        id: RequestId,
        key: &OrderKey,
        mut flight: Flight,
    ) {
        let request = &flight.request;
        let arrival = Arrival {
            id,
            key: Key::new(&request.service, &request.team, key),
            request: flight.fingerprint,
            deadline: request.deadline,
            is_repeat: request.repeat,
        };
        flight.claim = Claim::Waiting;
        self.flights.insert(id, flight);
        let state = self.shared.state();
        let peers = &self.peers;
        self.desk.arrive(now, arrival, |owner| gone(&state, peers, now, owner));
    }

    /// Tells the desk how an order that it let run has ended.
    pub(super) fn conclude(&mut self, id: RequestId, claim: Claim, ending: Ending) {
        match claim {
            Claim::None => {}
            Claim::Waiting => self.desk.cancel(id),
            Claim::Won => self.desk.ended(id, ending),
        }
    }

    /// Carries out what the desk decided, and sends its next append.
    pub(super) fn work_desk(&mut self, now: Instant) {
        loop {
            let steps = self.desk.steps();
            if steps.is_empty() {
                break;
            }
            for step in steps {
                self.desk_step(now, step);
            }
        }
        if let Some(record) = self.desk.poll(now) {
            self.actions.push(Action::Append { stream: Stream::Orders, record });
        }
    }

    fn desk_step(&mut self, now: Instant, step: Step) {
        match step {
            Step::Run(id) => match self.flights.remove(&id) {
                Some(mut flight) => {
                    flight.claim = Claim::Won;
                    self.enqueue(now, id, flight);
                }
                None => self.desk.ended(id, Ending::NotRun),
            },
            Step::Finish(id, finish) => {
                self.flights.remove(&id);
                self.actions.push(Action::Finish { id, finish });
            }
        }
    }

    pub(super) fn tick_desk(&mut self, now: Instant) {
        let state = self.shared.state();
        self.desk.set_entries(state.members.len().max(1) as u32);
        let peers = &self.peers;
        self.desk.tick(now, |owner| gone(&state, peers, now, owner));
    }

    pub(super) fn read_orders(&mut self, now: Instant, page: Page) {
        for entry in page.records {
            let at = Duration::from_millis(entry.at_ms);
            match entry.decode::<Batch>() {
                Ok(batch) => self.desk.read(now, entry.offset, at, &batch),
                Err(error) => {
                    warn!("engine: Orders {} are unreadable: {error}.", entry.offset);
                    self.desk.skip(entry.offset);
                }
            }
        }
    }

    pub(super) fn missed_orders(&mut self, first: Offset) {
        self.desk.miss(first);
    }

    pub(super) fn appended_orders(&mut self, id: &str, offset: Option<Offset>) {
        self.desk.appended(id, offset.is_some());
    }
}

/// Whether the incarnation that wrote a claim has ended for certain.
fn gone(state: &State, peers: &crate::member::Table, now: Instant, owner: &Owner) -> bool {
    let (id, incarnation) = owner;
    match state.members.get(id) {
        Some(member) if member.incarnation == *incarnation => {
            peers.health(now, id) == Some(Health::Gone)
        }
        _ => true,
    }
}
