//! Which of the other entries are alive.
//!
//! A silent entry is only suspected: a cut and a long pause look the same as an end. Its incarnation
//! counts as gone on proof alone: nothing listens at its address any more, another incarnation
//! answers there, the platform's list calls its VM dead or booted anew, or the log says so. Only a
//! gone incarnation's slots and claims may pass to others.

use {
    crate::{
        id::{EntryId, Incarnation, ZoneId},
        record::Member,
    },
    indexmap::IndexMap,
    serde::{Deserialize, Serialize},
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

/// Time between two heartbeats to entries of the same availability zone.
pub const HEARTBEAT: Duration = Duration::from_millis(500);
/// Time between two heartbeats to entries of other availability zones.
pub const FAR_HEARTBEAT: Duration = Duration::from_secs(2);
/// Silence after which an entry of the same availability zone is suspected.
pub const SUSPICION: Duration = Duration::from_millis(1750);
/// Silence after which an entry of another availability zone is suspected.
pub const FAR_SUSPICION: Duration = Duration::from_secs(7);

/// What is known of an entry's incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Health {
    /// Heard from lately.
    Live,
    /// Silent: paused, cut off or ended.
    Suspected,
    /// Ended, with proof.
    Gone,
}

/// Proof that an incarnation has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Proof {
    /// Nothing listens at its address.
    Refused,
    /// Another incarnation answered at its address.
    Replaced,
    /// The platform's list says so.
    Listed,
    /// A record says so.
    Recorded,
}

/// One other entry.
#[derive(Clone, Debug)]
pub struct Peer {
    /// How it is reached.
    pub member: Member,
    /// When it was last heard.
    pub heard: Instant,
    /// Proof that it has ended.
    pub proof: Option<Proof>,
    /// Last heartbeat to it.
    sent: Option<Instant>,
    /// What it last told.
    pub beat: Option<crate::wire::Beat>,
}

/// The other entries, as this one sees them.
#[derive(Debug)]
pub struct Table {
    zone: ZoneId,
    peers: IndexMap<EntryId, Peer>,
    /// Incarnations that a later one has replaced, until they are taken.
    replaced: Vec<(EntryId, Incarnation)>,
}

impl Table {
    /// Begins without peers, in an availability zone.
    pub fn new(zone: ZoneId) -> Self {
        Self { zone, peers: IndexMap::new(), replaced: Vec::new() }
    }

    /// Learns of a member from the log; a new incarnation replaces the former.
    pub fn joined(&mut self, now: Instant, member: &Member) {
        let same =
            self.peers.get(&member.id).is_some_and(|p| p.member.incarnation == member.incarnation);
        if same {
            return;
        }
        let peer = Peer { member: member.clone(), heard: now, proof: None, sent: None, beat: None };
        if let Some(former) = self.peers.insert(member.id.clone(), peer) {
            self.replaced.push((former.member.id, former.member.incarnation));
        }
    }

    /// Takes the incarnations that later ones have replaced: they have ended.
    pub fn take_replaced(&mut self) -> Vec<(EntryId, Incarnation)> {
        std::mem::take(&mut self.replaced)
    }

    /// Learns that an incarnation has ended; true if that is news.
    pub fn gone(&mut self, id: &EntryId, incarnation: Incarnation, proof: Proof) -> bool {
        let found = self.peers.get_mut(id).filter(|p| p.member.incarnation == incarnation);
        let Some(peer) = found.filter(|p| p.proof.is_none()) else {
            return false;
        };
        peer.proof = Some(proof);
        true
    }

    /// Hears from an entry; returns the incarnation that it proves gone, if any.
    pub fn heard(
        &mut self,
        now: Instant,
        id: &EntryId,
        incarnation: Incarnation,
    ) -> Option<Incarnation> {
        let peer = self.peers.get_mut(id)?;
        if peer.member.incarnation == incarnation {
            peer.heard = now;
            return None;
        }
        let former = peer.member.incarnation;
        self.gone(id, former, Proof::Replaced).then_some(former)
    }

    /// Keeps what an entry told with its heartbeat.
    pub fn told(&mut self, id: &EntryId, incarnation: Incarnation, beat: crate::wire::Beat) {
        if let Some(peer) = self.peers.get_mut(id).filter(|p| p.member.incarnation == incarnation) {
            peer.beat = Some(beat);
        }
    }

    /// Learns that nothing listens at an address; returns the incarnation that it proves gone.
    pub fn refused(&mut self, address: SocketAddr) -> Option<(EntryId, Incarnation)> {
        let peer =
            self.peers.values_mut().find(|p| p.member.link == address && p.proof.is_none())?;
        peer.proof = Some(Proof::Refused);
        Some((peer.member.id.clone(), peer.member.incarnation))
    }

    /// Health of an entry's current incarnation.
    pub fn health(&self, now: Instant, id: &EntryId) -> Option<Health> {
        self.peers.get(id).map(|peer| self.judge(now, peer))
    }

    /// Where an incarnation that may still run is reached.
    pub fn link(&self, id: &EntryId, incarnation: Incarnation) -> Option<SocketAddr> {
        let peer = self.peers.get(id).filter(|p| p.member.incarnation == incarnation)?;
        peer.proof.is_none().then_some(peer.member.link)
    }

    /// All peers with their health.
    pub fn list(&self, now: Instant) -> impl Iterator<Item = (&Peer, Health)> {
        self.peers.values().map(move |peer| (peer, self.judge(now, peer)))
    }

    /// Peers that are due a heartbeat, which is taken as sent.
    pub fn due(&mut self, now: Instant) -> Vec<Member> {
        let mut due = Vec::new();
        for peer in self.peers.values_mut().filter(|p| p.proof.is_none()) {
            let near = peer.member.zone == self.zone;
            let interval = if near { HEARTBEAT } else { FAR_HEARTBEAT };
            if peer.sent.is_none_or(|at| now.duration_since(at) >= interval) {
                peer.sent = Some(now);
                due.push(peer.member.clone());
            }
        }
        due
    }

    fn judge(&self, now: Instant, peer: &Peer) -> Health {
        if peer.proof.is_some() {
            return Health::Gone;
        }
        let near = peer.member.zone == self.zone;
        let limit = if near { SUSPICION } else { FAR_SUSPICION };
        if now.duration_since(peer.heard) > limit { Health::Suspected } else { Health::Live }
    }
}
