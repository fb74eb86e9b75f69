//! Failure detector for the other entries.
//!
//! An entry that misses heartbeats is only suspected, since a network partition or a long pause
//! looks the same as a crash. Its incarnation counts as gone only with proof: its address refuses
//! connections, another incarnation answers there, the platform's list reports its VM as dead, or
//! the log records its end. Only the slots and claims of an incarnation that is gone may pass to
//! other entries.

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

/// Interval of heartbeats to entries of the same availability zone.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Interval of heartbeats to entries of other availability zones.
pub const CROSS_ZONE_HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);
/// Time without a message after which an entry of the same availability zone is suspected.
pub const SUSPICION_TIMEOUT: Duration = Duration::from_millis(1750);
/// Time without a message after which an entry of another availability zone is suspected.
pub const CROSS_ZONE_SUSPICION_TIMEOUT: Duration = Duration::from_secs(7);

/// Health of an entry's incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Health {
    /// A message arrived recently.
    Live,
    /// No message for too long: paused, partitioned or ended.
    Suspected,
    /// Ended for certain.
    Gone,
}

/// Proof that an incarnation has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Proof {
    /// Its address refuses connections.
    Refused,
    /// Another incarnation answered at its address.
    Replaced,
    /// The platform's list reports its VM as dead.
    Listed,
    /// A record in the log says so.
    Recorded,
}

/// Another entry.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Name, incarnation and addresses.
    pub member: Member,
    /// When its last message arrived.
    pub last_heard: Instant,
    /// Proof that it has ended.
    pub proof: Option<Proof>,
    /// When the last heartbeat to it was sent.
    last_sent: Option<Instant>,
    /// Its last heartbeat.
    pub last_heartbeat: Option<crate::wire::Heartbeat>,
}

/// Membership table: this entry's view of the other entries.
#[derive(Debug)]
pub struct Table {
    zone: ZoneId,
    peers: IndexMap<EntryId, Peer>,
    /// Incarnations that a later one has replaced, until [`Table::take_replaced`] returns them.
    replaced: Vec<(EntryId, Incarnation)>,
}

impl Table {
    /// Creates an empty table of an entry in `zone`.
    pub fn new(zone: ZoneId) -> Self {
        Self { zone, peers: IndexMap::new(), replaced: Vec::new() }
    }

    /// Adds a member that was read from the log; a new incarnation replaces the previous one.
    pub fn add(&mut self, now: Instant, member: &Member) {
        let same =
            self.peers.get(&member.id).is_some_and(|p| p.member.incarnation == member.incarnation);
        if same {
            return;
        }
        let peer = Peer {
            member: member.clone(),
            last_heard: now,
            proof: None,
            last_sent: None,
            last_heartbeat: None,
        };
        if let Some(former) = self.peers.insert(member.id.clone(), peer) {
            self.replaced.push((former.member.id, former.member.incarnation));
        }
    }

    /// Removes and returns the incarnations that later ones have replaced, which have ended.
    pub fn take_replaced(&mut self) -> Vec<(EntryId, Incarnation)> {
        std::mem::take(&mut self.replaced)
    }

    /// Records the proof that an incarnation has ended; returns whether it was not known before.
    pub fn mark_gone(&mut self, id: &EntryId, incarnation: Incarnation, proof: Proof) -> bool {
        let found = self.peers.get_mut(id).filter(|p| p.member.incarnation == incarnation);
        let Some(peer) = found.filter(|p| p.proof.is_none()) else {
            return false;
        };
        peer.proof = Some(proof);
        true
    }

    /// Records a message of an entry; returns the previous incarnation if this proves that it has
    /// ended.
    pub fn record_contact(
        &mut self,
        now: Instant,
        id: &EntryId,
        incarnation: Incarnation,
    ) -> Option<Incarnation> {
        let peer = self.peers.get_mut(id)?;
        if peer.member.incarnation == incarnation {
            peer.last_heard = now;
            return None;
        }
        let former = peer.member.incarnation;
        self.mark_gone(id, former, Proof::Replaced).then_some(former)
    }

    /// Stores the last heartbeat of an entry.
    pub fn record_heartbeat(
        &mut self,
        id: &EntryId,
        incarnation: Incarnation,
        heartbeat: crate::wire::Heartbeat,
    ) {
        if let Some(peer) = self.peers.get_mut(id).filter(|p| p.member.incarnation == incarnation) {
            peer.last_heartbeat = Some(heartbeat);
        }
    }

    /// Records that an address refuses connections; returns the incarnation that has therefore ended.
    pub fn record_refusal(&mut self, address: SocketAddr) -> Option<(EntryId, Incarnation)> {
        let peer =
            self.peers.values_mut().find(|p| p.member.link == address && p.proof.is_none())?;
        peer.proof = Some(Proof::Refused);
        Some((peer.member.id.clone(), peer.member.incarnation))
    }

    /// Returns the health of an entry's current incarnation.
    pub fn health(&self, now: Instant, id: &EntryId) -> Option<Health> {
        self.peers.get(id).map(|peer| self.health_of(now, peer))
    }

    /// Returns the address of an incarnation, unless it has ended.
    pub fn link(&self, id: &EntryId, incarnation: Incarnation) -> Option<SocketAddr> {
        let peer = self.peers.get(id).filter(|p| p.member.incarnation == incarnation)?;
        peer.proof.is_none().then_some(peer.member.link)
    }

    /// Returns all peers with their health.
    pub fn list(&self, now: Instant) -> impl Iterator<Item = (&Peer, Health)> {
        self.peers.values().map(move |peer| (peer, self.health_of(now, peer)))
    }

    /// Returns the peers that must be sent a heartbeat now, and marks it as sent.
    pub fn due_heartbeats(&mut self, now: Instant) -> Vec<Member> {
        let mut due = Vec::new();
        for peer in self.peers.values_mut().filter(|p| p.proof.is_none()) {
            let same_zone = peer.member.zone == self.zone;
            let interval =
                if same_zone { HEARTBEAT_INTERVAL } else { CROSS_ZONE_HEARTBEAT_INTERVAL };
            if peer.last_sent.is_none_or(|at| now.duration_since(at) >= interval) {
                peer.last_sent = Some(now);
                due.push(peer.member.clone());
            }
        }
        due
    }

    fn health_of(&self, now: Instant, peer: &Peer) -> Health {
        if peer.proof.is_some() {
            return Health::Gone;
        }
        let same_zone = peer.member.zone == self.zone;
        let limit = if same_zone { SUSPICION_TIMEOUT } else { CROSS_ZONE_SUSPICION_TIMEOUT };
        if now.duration_since(peer.last_heard) > limit { Health::Suspected } else { Health::Live }
    }
}
