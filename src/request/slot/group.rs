//! Membership: the incarnations that may hold slots.
//!
//! A member is removed from consideration only when it has ended for certain. An incarnation joins
//! once every running incarnation that it knows has welcomed it, including one that has joined
//! itself; only the first incarnation may join without such a welcome. Each welcome lists the
//! incarnations that its sender knows. So any two joined incarnations know each other, and a
//! recount reaches every holder of slots.

use {
    super::message::{Body, Envelope, Message, Peer},
    indexmap::{IndexMap, IndexSet},
    std::time::Instant,
};

/// Whether an incarnation is running, as far as known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Liveness {
    /// It responds.
    Alive,
    /// It does not respond; it may be paused or partitioned, and may act again.
    Suspected,
    /// It has ended for certain.
    Gone,
}

/// The other incarnations of the availability zone and whether this one has joined them.
#[derive(Clone, Debug)]
pub(super) struct Group {
    /// This incarnation.
    pub(super) me: Peer,
    /// The other incarnations, including those that have ended.
    members: IndexMap<Peer, Liveness>,
    /// Incarnations that know this one.
    welcomed_by: IndexSet<Peer>,
    /// Whether the members include the joined ones; see [`Group::confirm_members`].
    members_confirmed: bool,
    joined: bool,
    last_hello: Option<Instant>,
}

impl Group {
    pub(super) fn new(me: Peer) -> Self {
        Self {
            me,
            members: IndexMap::new(),
            welcomed_by: IndexSet::new(),
            members_confirmed: false,
            joined: false,
            last_hello: None,
        }
    }

    /// Updates an incarnation's liveness; returns whether it is newly known to have ended.
    pub(super) fn set_liveness(&mut self, peer: &Peer, liveness: Liveness) -> bool {
        if *peer == self.me {
            return false;
        }
        let found = self.members.entry(peer.clone()).or_insert(Liveness::Alive);
        let ends = *found != Liveness::Gone && liveness == Liveness::Gone;
        if *found != Liveness::Gone {
            *found = liveness;
        }
        ends
    }

    /// Adds an incarnation if it is unknown.
    pub(super) fn add(&mut self, peer: &Peer) {
        if *peer != self.me {
            self.members.entry(peer.clone()).or_insert(Liveness::Alive);
        }
    }

    /// Records that the incarnation knows this one.
    pub(super) fn add_welcome(&mut self, peer: &Peer) {
        self.welcomed_by.insert(peer.clone());
    }

    /// Records that the list of members includes the joined ones: a joined incarnation has welcomed
    /// this one, or the list was read from the log.
    pub(super) fn confirm_members(&mut self) {
        self.members_confirmed = true;
    }

    pub(super) fn is_gone(&self, peer: &Peer) -> bool {
        self.members.get(peer) == Some(&Liveness::Gone)
    }

    /// Incarnations that have not ended for certain.
    pub(super) fn running(&self) -> impl Iterator<Item = &Peer> {
        self.members.iter().filter(|(_, s)| **s != Liveness::Gone).map(|(peer, _)| peer)
    }

    /// Incarnations that have ended for certain.
    pub(super) fn ended(&self) -> impl Iterator<Item = &Peer> {
        self.members.iter().filter(|(_, s)| **s == Liveness::Gone).map(|(peer, _)| peer)
    }

    /// Incarnations that respond.
    pub(super) fn alive(&self) -> impl Iterator<Item = &Peer> {
        self.members.iter().filter(|(_, s)| **s == Liveness::Alive).map(|(peer, _)| peer)
    }

    /// Whether every incarnation that may still run responds.
    pub(super) fn all_alive(&self) -> bool {
        self.running().count() == self.alive().count()
    }

    /// Whether this incarnation starts the recounts: it has joined, has the lowest id and all
    /// members respond.
    pub(super) fn is_leader(&self) -> bool {
        self.joined && self.all_alive() && self.alive().all(|peer| self.me < *peer)
    }

    /// The running incarnations, including this one.
    pub(super) fn known(&self) -> Vec<Peer> {
        self.running().cloned().chain([self.me.clone()]).collect()
    }

    /// Whether this incarnation has joined; it joins as soon as the conditions hold.
    pub(super) fn joined(&mut self) -> bool {
        let welcome = self.running().all(|peer| self.welcomed_by.contains(peer));
        self.joined |= welcome && self.members_confirmed;
        self.joined
    }

    /// Messages to the incarnations that have not welcomed this one, if they are due.
    pub(super) fn due_hellos(&mut self, now: Instant) -> Vec<Envelope> {
        if self.joined() || !super::elapsed(self.last_hello, now, super::endpoint::RESEND_AFTER) {
            return Vec::new();
        }
        self.last_hello = Some(now);
        let missing = self.running().filter(|peer| !self.welcomed_by.contains(*peer));
        missing.map(|peer| envelope(peer, Body::Hello)).collect()
    }
}

pub(super) fn envelope(to: &Peer, body: Body) -> Envelope {
    Envelope { to: to.clone(), message: Message { to: to.1, body } }
}
