//! The incarnations that may hold slots.
//!
//! The group only grows, but for incarnations that have surely ended. An entry takes part once every
//! incarnation it knows has welcomed it, one that takes part itself among them; only the first one
//! needs none. Each welcome names those that the other one knows. So any two that take part know
//! each other, and a recount hears every holder.

use {
    super::message::{Body, Message, Peer, Send},
    indexmap::{IndexMap, IndexSet},
    std::time::Instant,
};

/// What is known of an incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// Answers.
    Alive,
    /// Does not answer; it may be paused or cut off and act again.
    Suspected,
    /// Has ended for certain.
    Gone,
}

/// The incarnations of an availability zone, this one aside.
#[derive(Clone, Debug)]
pub(super) struct Group {
    pub(super) me: Peer,
    members: IndexMap<Peer, Standing>,
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

    /// Notes a standing; true if the incarnation turned out to have ended.
    pub(super) fn note(&mut self, peer: &Peer, standing: Standing) -> bool {
        if *peer == self.me {
            return false;
        }
        let found = self.members.entry(peer.clone()).or_insert(Standing::Alive);
        let ends = *found != Standing::Gone && standing == Standing::Gone;
        if *found != Standing::Gone {
            *found = standing;
        }
        ends
    }

    /// Adds an incarnation unless it is known already.
    pub(super) fn learn(&mut self, peer: &Peer) {
        if *peer != self.me {
            self.members.entry(peer.clone()).or_insert(Standing::Alive);
        }
    }

    /// The incarnation knows this one.
    pub(super) fn acquaint(&mut self, peer: &Peer) {
        self.acquainted.insert(peer.clone());
    }

    /// The members known are not only those that have ended: one that takes part has welcomed this
    /// incarnation, or the list came from the log.
    pub(super) fn anchor(&mut self) {
        self.anchored = true;
    }

    pub(super) fn is_gone(&self, peer: &Peer) -> bool {
        self.members.get(peer) == Some(&Standing::Gone)
    }

    /// Incarnations that may still run.
    pub(super) fn running(&self) -> impl Iterator<Item = &Peer> {
        self.members.iter().filter(|(_, s)| **s != Standing::Gone).map(|(peer, _)| peer)
    }

    /// Incarnations that have ended.
    pub(super) fn ended(&self) -> impl Iterator<Item = &Peer> {
        self.members.iter().filter(|(_, s)| **s == Standing::Gone).map(|(peer, _)| peer)
    }

    /// Incarnations that answer.
    pub(super) fn alive(&self) -> impl Iterator<Item = &Peer> {
        self.members.iter().filter(|(_, s)| **s == Standing::Alive).map(|(peer, _)| peer)
    }

    /// Every incarnation that may still run answers.
    pub(super) fn whole(&self) -> bool {
        self.running().count() == self.alive().count()
    }

    /// This entry is the one that begins recounts.
    pub(super) fn leads(&self) -> bool {
        self.joined && self.whole() && self.alive().all(|peer| self.me < *peer)
    }

    pub(super) fn known(&self) -> Vec<Peer> {
        self.running().cloned().chain([self.me.clone()]).collect()
    }

    /// This entry takes part.
    pub(super) fn joined(&mut self) -> bool {
        let welcome = self.running().all(|peer| self.acquainted.contains(peer));
        self.joined |= welcome && self.anchored;
        self.joined
    }

    /// Greets the incarnations that have not welcomed this one.
    pub(super) fn greet(&mut self, now: Instant) -> Vec<Send> {
        if self.joined() || !super::elapsed(self.greeted, now, super::runner::RESEND_AFTER) {
            return Vec::new();
        }
        self.greeted = Some(now);
        let strangers = self.running().filter(|peer| !self.acquainted.contains(*peer));
        strangers.map(|peer| send(peer, Body::Hello)).collect()
    }
}

pub(super) fn send(to: &Peer, body: Body) -> Send {
    Send { to: to.clone(), message: Message { to: to.1, body } }
}
