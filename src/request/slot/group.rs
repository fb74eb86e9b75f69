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
    pub(super) me: Peer,
    members: IndexMap<Peer, Liveness>,
    acquainted: IndexSet<Peer>,
    anchored: bool,
    joined: bool,
    greeted: Option<Instant>,
}

impl Group {
    pub(super) fn new(me: Peer) -> Self {
        Self {
            me,
            members: IndexMap::new(),
            acquainted: IndexSet::new(),
            anchored: false,
            joined: false,
            greeted: None,
        }
    }

    /// Updates an incarnation's liveness; returns whether it is newly known to have ended.
    pub(super) fn note(&mut self, peer: &Peer, liveness: Liveness) -> bool {
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
    pub(super) fn learn(&mut self, peer: &Peer) {
        if *peer != self.me {
            self.members.entry(peer.clone()).or_insert(Liveness::Alive);
        }
    }

    /// Records that the incarnation knows this one.
    pub(super) fn acquaint(&mut self, peer: &Peer) {
        self.acquainted.insert(peer.clone());
    }

    /// Records that the list of members includes the joined ones: a joined incarnation has welcomed
    /// this one, or the list was read from the log.
    pub(super) fn anchor(&mut self) {
        self.anchored = true;
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
    pub(super) fn whole(&self) -> bool {
        self.running().count() == self.alive().count()
    }

    /// Whether this incarnation starts the recounts: it has joined, has the lowest id and all
    /// members respond.
    pub(super) fn leads(&self) -> bool {
        self.joined && self.whole() && self.alive().all(|peer| self.me < *peer)
    }

    pub(super) fn known(&self) -> Vec<Peer> {
        self.running().cloned().chain([self.me.clone()]).collect()
    }

    /// Whether this incarnation has joined; it joins as soon as the conditions hold.
    pub(super) fn joined(&mut self) -> bool {
        let welcome = self.running().all(|peer| self.acquainted.contains(peer));
        self.joined |= welcome && self.anchored;
        self.joined
    }

    /// Messages to the incarnations that have not welcomed this one, if they are due.
    pub(super) fn greet(&mut self, now: Instant) -> Vec<Envelope> {
        if self.joined() || !super::elapsed(self.greeted, now, super::endpoint::RESEND_AFTER) {
            return Vec::new();
        }
        self.greeted = Some(now);
        let strangers = self.running().filter(|peer| !self.acquainted.contains(*peer));
        strangers.map(|peer| envelope(peer, Body::Hello)).collect()
    }
}

pub(super) fn envelope(to: &Peer, body: Body) -> Envelope {
    Envelope { to: to.clone(), message: Message { to: to.1, body } }
}
