//! Other entries: heartbeats, proofs that they have ended, and their state if the log can't be
//! read.

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

/// Time between two requests to peers for their state.
const FETCH_INTERVAL: Duration = Duration::from_millis(500);

impl Engine {
    /// Updates the peers from the members of the replicated state.
    pub(super) fn update_members(&mut self, now: Instant) {
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

    /// Sends the heartbeats that are due.
    pub(super) fn send_heartbeats(&mut self, now: Instant) {
        for member in self.peers.due_heartbeats(now) {
            self.heartbeats += 1;
            let state = self.shared.state();
            let heartbeat = Heartbeat {
                sequence: self.heartbeats,
                zone: self.me.zone.clone(),
                next: state.next,
                version: state.version,
                ready: self.shared.ready(),
            };
            self.send(member.id, member.link, Message::Heartbeat(heartbeat));
        }
    }

    /// Requests the state of a peer while the log can't be read or has dropped records that this
    /// entry lacks.
    pub(super) fn fetch_state(&mut self, now: Instant) {
        let due = self.last_fetch.is_none_or(|at| now.duration_since(at) >= FETCH_INTERVAL);
        if !self.log_unreadable || !due {
            return;
        }
        self.last_fetch = Some(now);
        let from = self.shared.state().next;
        let link = self.me.link;
        let ahead = self.peers.list(now).find(|(peer, health)| {
            *health == Health::Live && peer.last_heartbeat.as_ref().is_some_and(|b| b.next > from)
        });
        if let Some((peer, _)) = ahead {
            let (id, address) = (peer.member.id.clone(), peer.member.link);
            return self.send(id, address, Message::Fetch { from, link });
        }
        if !self.has_state {
            for seed in self.seeds.clone() {
                self.send(EntryId::new(), seed, Message::Fetch { from, link });
            }
        }
    }

    /// Handles a message from another entry.
    pub(super) fn handle_message(
        &mut self,
        now: Instant,
        from: EntryId,
        incarnation: Incarnation,
        message: Message,
    ) {
        self.heard_from(now, &from, incarnation);
        match message {
            Message::Heartbeat(heartbeat) => {
                self.peers.record_heartbeat(&from, incarnation, heartbeat)
            }
            Message::Ack { .. } => {}
            Message::Fetch { from: offset, link } => {
                let state = self.shared.state();
                if self.has_state && state.next > offset {
                    self.send(from, link, Message::State(Box::new((*state).clone())));
                }
            }
            Message::Slot(message) => self.slots.receive(now, &(from, incarnation), message),
            Message::State(state) => self.adopt_state(now, *state),
        }
    }

    /// Handles the result of an attempt to reach another entry over its link.
    pub(super) fn linked(&mut self, now: Instant, peer: SocketAddr, contact: Contact) {
        match contact {
            Contact::Answered { id, incarnation } => self.heard_from(now, &id, incarnation),
            Contact::Refused => {
                if let Some((id, incarnation)) = self.peers.record_refusal(peer) {
                    info!("member: Entry {id} has ended: nothing listens at {peer}.");
                    self.record_gone(now, id, incarnation);
                }
            }
            Contact::TimedOut => warn!("member: Entry at {peer} does not respond."),
        }
    }

    /// Records that an incarnation responded; a former incarnation of the same entry has ended.
    fn heard_from(&mut self, now: Instant, id: &EntryId, incarnation: Incarnation) {
        if let Some(former) = self.peers.record_contact(now, id, incarnation) {
            info!("member: Entry {id} was replaced by another incarnation.");
            self.record_gone(now, id.clone(), former);
        }
    }

    /// Sends a message to another entry.
    pub(super) fn send(&mut self, to: EntryId, link: SocketAddr, message: Message) {
        self.actions.push(Action::Send { to, link, message });
    }
}
