//! A simulated entry.

use {
    crate::policy::{Balancer, ENDPOINTS, Policy, SLOTS, owner, service, share, vm},
    carobhitch::{
        admit::{Limits, Queue},
        slot::{Liveness, Peer, Spec, Table},
    },
    std::time::Instant,
};

/// An entry with its queue and its view of endpoints and other entries.
pub struct Entry {
    pub me: Peer,
    pub queue: Queue,
    pub balancer: Balancer,
    /// Whether it considers an entry alive, by entry.
    pub alive: Vec<bool>,
    pub paused: bool,
    pub dead: bool,
}

/// First incarnation of an entry.
pub fn peer(entry: usize) -> Peer {
    (format!("entry-{entry}"), entry as u64 + 1)
}

impl Entry {
    /// Creates the incarnation of an entry whose number is `restarts` above that of the first.
    pub fn new(now: Instant, entry: usize, entries: usize, policy: Policy, restarts: u64) -> Self {
        let me = (peer(entry).0, peer(entry).1 + restarts);
        let mut table = Table::new(now, me.clone());
        let others = (0..entries).filter(|other| *other != entry);
        table.set_members(now, others.map(|other| (peer(other), Liveness::Alive)));
        table.allow_bootstrap();
        let spec = |endpoint| Spec { vm: vm(endpoint), slots: SLOTS, connections: 64 };
        table.set_endpoints(now, [(service(), (0..ENDPOINTS).map(spec).collect())]);
        let alive = vec![true; entries];
        let limit = |endpoint| match policy {
            Policy::Owner if owner(endpoint, &alive) != entry => 0,
            Policy::Shares => share(entry, entries, endpoint),
            _ => SLOTS,
        };
        let all = ENDPOINTS as u32 * SLOTS;
        let balancer = Balancer {
            policy,
            table,
            used: vec![0; ENDPOINTS],
            limit: (0..ENDPOINTS).map(limit).collect(),
            max_in_flight: all * 3 / 2 / entries as u32,
        };
        let queue = Queue::new(Limits::default());
        Self { me, queue, balancer, alive, paused: false, dead: false }
    }
}
