//! Other entries: heartbeats, proofs of their end, and state from them when the log can't be read.

use {
    super::Engine,
    crate::{
        event::{Action, Contact},
        id::{EntryId, Incarnation},
        member::{Health, Proof},
        wire::{Heartbeat, Message},
    },
    log::{info, warn},
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

/// Time between two requests for a state from peers.
const FETCH_INTERVAL: Duration = Duration::from_millis(500);

impl Engine {
    /// Takes the members and their ends from the agreed state.
    pub(super) fn learn_members(&mut self, now: Instant) {
        let state = self.shared.state();
        for member in state.members.values().filter(|m| m.id != self.me.id) {
            self.peers.add(now, member);
        }
        let ended: Vec<_> = self
            .peers
            .list(now)
            .filter(|(peer, health)| {
                *health != Health::Gone
                    && state
                        .members
                        .get(&peer.member.id)
                        .is_none_or(|m| m.incarnation != peer.member.incarnation)
            })
            .map(|(peer, _)| (peer.member.id.clone(), peer.member.incarnation))
            .collect();
        for (id, incarnation) in ended {
            self.peers.mark_gone(&id, incarnation, Proof::Recorded);
        }
    }

    pub(super) fn beat(&mut self, now: Instant) {
        for member in self.peers.due_heartbeats(now) {
            self.beats += 1;
            let state = self.shared.state();
            let beat = Heartbeat {
                sequence: self.beats,
                zone: self.me.zone.clone(),
                next: state.next,
                version: state.version,
                ready: self.shared.ready(),
            };
            self.send(member.id, member.link, Message::Heartbeat(beat));
        }
    }

    /// Asks for a state while the log can't be read or has dropped what this entry lacks.
    pub(super) fn fetch(&mut self, now: Instant) {
        let due = self.fetched.is_none_or(|at| now.duration_since(at) >= FETCH_INTERVAL);
        if !self.unread || !due {
            return;
        }
        self.fetched = Some(now);
        let from = self.shared.state().next;
        let link = self.me.link;
        let ahead = self.peers.list(now).find(|(peer, health)| {
            *health == Health::Live && peer.last_heartbeat.as_ref().is_some_and(|b| b.next > from)
        });
        if let Some((peer, _)) = ahead {
            let (id, address) = (peer.member.id.clone(), peer.member.link);
            return self.send(id, address, Message::Fetch { from, link });
        }
        if !self.sourced {
            for seed in self.seeds.clone() {
                self.send(EntryId::new(), seed, Message::Fetch { from, link });
            }
        }
    }

    pub(super) fn message(
        &mut self,
        now: Instant,
        from: EntryId,
        incarnation: Incarnation,
        message: Message,
    ) {
        self.hear(now, &from, incarnation);
        match message {
            Message::Heartbeat(beat) => self.peers.record_heartbeat(&from, incarnation, beat),
            Message::Ack { .. } => {}
            Message::Fetch { from: offset, link } => {
                let state = self.shared.state();
                if self.sourced && state.next > offset {
                    self.send(from, link, Message::State(Box::new((*state).clone())));
                }
            }
            Message::Slot(message) => self.slots.receive(now, &(from, incarnation), message),
            Message::State(state) => self.replace(now, *state),
        }
    }

    pub(super) fn linked(&mut self, now: Instant, peer: SocketAddr, contact: Contact) {
        match contact {
            Contact::Answered { id, incarnation } => self.hear(now, &id, incarnation),
            Contact::Refused => {
                if let Some((id, incarnation)) = self.peers.record_refusal(peer) {
                    info!("member: Entry {id} has ended: nothing listens at {peer}.");
                    self.record_gone(now, id, incarnation);
                }
            }
            Contact::TimedOut => warn!("member: Entry at {peer} is silent."),
        }
    }

    fn hear(&mut self, now: Instant, id: &EntryId, incarnation: Incarnation) {
        if let Some(former) = self.peers.record_contact(now, id, incarnation) {
            info!("member: Entry {id} was replaced by another incarnation.");
            self.record_gone(now, id.clone(), former);
        }
    }

    pub(super) fn send(&mut self, to: EntryId, link: SocketAddr, message: Message) {
        self.actions.push(Action::Send { to, link, message });
    }
}
