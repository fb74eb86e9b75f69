//! An entry: its queue and what it knows.

use {
    crate::policy::{Choice, Policy, RUNNERS, SLOTS, owner, service, share, vm},
    carobhitch::{
        admit::{Limits, Queue},
        slot::{Liveness, Peer, Spec, Table},
    },
    std::time::Instant,
};

pub struct Entry {
    pub me: Peer,
    pub queue: Queue,
    pub choice: Choice,
    pub alive: Vec<bool>,
    pub paused: bool,
    pub dead: bool,
}

pub fn peer(entry: usize) -> Peer {
    (format!("entry-{entry}"), entry as u64 + 1)
}

impl Entry {
    /// An entry of an incarnation that is `restarts` above its first.
    pub fn new(now: Instant, entry: usize, entries: usize, policy: Policy, restarts: u64) -> Self {
        let me = (peer(entry).0, peer(entry).1 + restarts);
        let mut table = Table::new(now, me.clone());
        let others = (0..entries).filter(|other| *other != entry);
        table.set_members(now, others.map(|other| (peer(other), Liveness::Alive)));
        table.allow_bootstrap();
        let listed = |runner| Spec { vm: vm(runner), slots: SLOTS, connections: 64 };
        table.set_endpoints(now, [(service(), (0..RUNNERS).map(listed).collect())]);
        let alive = vec![true; entries];
        let limit = |runner| match policy {
            Policy::Owner if owner(runner, &alive) != entry => 0,
            Policy::Shares => share(entry, entries, runner),
            _ => SLOTS,
        };
        let all = RUNNERS as u32 * SLOTS;
        let choice = Choice {
            policy,
            table,
            used: vec![0; RUNNERS],
            limit: (0..RUNNERS).map(limit).collect(),
            most: all * 3 / 2 / entries as u32,
        };
        let queue = Queue::new(Limits::default());
        Self { me, queue, choice, alive, paused: false, dead: false }
    }
}
