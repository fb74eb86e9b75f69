//! Distribution of endpoints' slots among the entries of an availability zone.

use {
    carobhitch::slot::{Envelope, Liveness, Peer, Permit, Spec, Table},
    std::{
        collections::VecDeque,
        time::{Duration, Instant},
    },
};

const SLOTS: u32 = 8;

fn service() -> String {
    String::from("quote")
}

/// Slot tables of several entries, connected by links that deliver every message in order.
struct Zone {
    now: Instant,
    tables: Vec<(Peer, Table)>,
    links: VecDeque<(Peer, Envelope)>,
}

impl Zone {
    fn new(entries: u64, endpoints: usize) -> Self {
        let mut zone = Self { now: Instant::now(), tables: Vec::new(), links: VecDeque::new() };
        (0..entries).for_each(|index| zone.add(index, endpoints));
        zone.settle();
        zone
    }

    fn add(&mut self, index: u64, endpoints: usize) {
        let me = (format!("entry-{index}"), index + 1);
        let mut table = Table::new(self.now, me.clone());
        let members = self.tables.iter().map(|(peer, _)| (peer.clone(), Liveness::Alive));
        table.set_members(self.now, members.collect::<Vec<_>>());
        if self.tables.is_empty() {
            table.allow_bootstrap();
        }
        let spec = |i| Spec { vm: format!("vm-{i}"), slots: SLOTS, connections: 64 };
        table.set_endpoints(self.now, [(service(), (0..endpoints).map(spec).collect())]);
        self.tables.push((me, table));
    }

    /// Advances the time by 5 s with ticks and deliveries, which completes all recounts.
    fn settle(&mut self) {
        for _ in 0..20 {
            self.now += Duration::from_millis(250);
            self.tables.iter_mut().for_each(|(_, table)| table.tick(self.now));
            self.deliver();
        }
    }

    /// Delivers messages until none is left.
    fn deliver(&mut self) {
        loop {
            for (peer, table) in &mut self.tables {
                self.links.extend(
                    table.drain_outbox().into_iter().map(|envelope| (peer.clone(), envelope)),
                );
            }
            let Some((from, envelope)) = self.links.pop_front() else { return };
            if let Some((_, table)) = self.tables.iter_mut().find(|(peer, _)| *peer == envelope.to)
            {
                table.receive(self.now, &from, envelope.message);
            }
        }
    }

    /// Ends an entry and reports that to the others.
    fn kill(&mut self, index: usize) {
        let (gone, _) = self.tables.remove(index);
        for (_, table) in &mut self.tables {
            table.set_members(self.now, [(gone.clone(), Liveness::Gone)]);
        }
    }

    /// Acquires all free slots of an entry.
    fn acquire_all(&mut self, index: usize) -> Vec<Permit> {
        let (now, table) = (self.now, &mut self.tables[index].1);
        std::iter::from_fn(|| table.acquire(now, &service(), |_| true)).collect()
    }

    fn held(&self) -> u32 {
        self.tables.iter().map(|(_, table)| table.held(&service())).sum()
    }
}

#[test]
fn a_new_endpoint_gets_exactly_its_slots() {
    for entries in 1..4 {
        assert_eq!(Zone::new(entries, 3).held(), 3 * SLOTS);
    }
}

#[test]
fn free_slots_move_to_the_entry_where_requests_wait() {
    let mut zone = Zone::new(3, 2);
    for index in [0, 1, 2] {
        zone.tables[index].1.set_demand(zone.now, &service(), 100);
        zone.deliver();
        let permits = zone.acquire_all(index);
        assert_eq!(permits.len() as u32, 2 * SLOTS);
        let table = &mut zone.tables[index].1;
        permits.into_iter().for_each(|permit| table.release(zone.now, permit));
        table.set_demand(zone.now, &service(), 0);
        zone.deliver();
    }
}

#[test]
fn used_slots_move_until_both_entries_wait_equally() {
    let mut zone = Zone::new(2, 2);
    let mut used = Vec::new();
    for _ in 0..20 {
        let permits = zone.acquire_all(0);
        used.extend(zone.acquire_all(1));
        zone.tables[0].1.set_demand(zone.now, &service(), 100);
        zone.tables[1].1.set_demand(zone.now, &service(), 100);
        zone.deliver();
        permits.into_iter().for_each(|permit| zone.tables[0].1.release(zone.now, permit));
        zone.deliver();
        zone.now += Duration::from_millis(60);
    }
    let held = zone.tables[1].1.held(&service());
    assert!((5..=8).contains(&held), "the other entry holds {held} of 16");
    assert_eq!(zone.held(), 2 * SLOTS);
}

#[test]
fn slots_of_an_ended_entry_are_recovered_after_a_cooldown() {
    let mut zone = Zone::new(3, 2);
    zone.tables[1].1.set_demand(zone.now, &service(), 100);
    zone.deliver();
    assert_eq!(zone.acquire_all(1).len() as u32, 2 * SLOTS);
    zone.kill(1);
    zone.tables.iter_mut().for_each(|(_, table)| table.tick(zone.now));
    zone.deliver();
    assert_eq!(zone.acquire_all(0).len(), 0, "its exchanges may still run");
    zone.now += Duration::from_millis(350);
    zone.tables.iter_mut().for_each(|(_, table)| table.tick(zone.now));
    zone.deliver();
    assert_eq!(zone.held(), 2 * SLOTS);
    assert_eq!(zone.acquire_all(0).len() as u32, 2 * SLOTS);
}

#[test]
fn a_suspected_entry_keeps_its_slots() {
    let mut zone = Zone::new(3, 1);
    let unresponsive = zone.tables[1].0.clone();
    for index in [0, 2] {
        let suspected = [(unresponsive.clone(), Liveness::Suspected)];
        zone.tables[index].1.set_members(zone.now, suspected);
    }
    zone.settle();
    assert_eq!(zone.held(), SLOTS);
}

#[test]
fn a_joining_entry_holds_no_slots_until_all_members_have_welcomed_it() {
    let mut zone = Zone::new(2, 1);
    zone.add(2, 1);
    zone.tables[2].1.tick(zone.now);
    let mut hellos = zone.tables[2].1.drain_outbox();
    assert_eq!(hellos.len(), 2);
    let hello = hellos.remove(0);
    let newcomer = zone.tables[2].0.clone();
    zone.tables[0].1.receive(zone.now, &newcomer, hello.message);
    zone.deliver();
    assert!(!zone.tables[2].1.joined());
    zone.settle();
    assert!(zone.tables[2].1.joined());
    assert_eq!(zone.held(), SLOTS);
}

#[test]
fn a_leaving_endpoint_gets_no_new_exchanges() {
    let mut zone = Zone::new(1, 2);
    let vm = String::from("vm-0");
    zone.tables[0].1.set_open(&vm, false);
    let permits = zone.acquire_all(0);
    assert_eq!(permits.len() as u32, SLOTS);
    assert!(permits.iter().all(|permit| permit.endpoint != vm));
}

#[test]
fn surplus_slots_are_given_up_after_fewer_are_declared() {
    let mut zone = Zone::new(2, 1);
    zone.tables[1].1.set_demand(zone.now, &service(), 4);
    zone.deliver();
    let spec = Spec { vm: String::from("vm-0"), slots: 3, connections: 24 };
    for (_, table) in &mut zone.tables {
        table.set_endpoints(zone.now, [(service(), vec![spec.clone()])]);
    }
    zone.settle();
    assert_eq!(zone.held(), 3);
}

#[test]
fn connections_of_all_entries_stay_within_the_endpoints_limit() {
    let zone = Zone::new(3, 1);
    let vm = String::from("vm-0");
    assert_eq!(zone.tables.iter().map(|(_, table)| table.connections(&vm)).sum::<u32>(), 64);
}

#[test]
fn an_entry_whose_lease_has_ended_sends_nothing() {
    let mut zone = Zone::new(1, 1);
    let end = zone.now + Duration::from_secs(2);
    zone.tables[0].1.set_lease(end);
    let permit = zone.tables[0].1.acquire(zone.now, &service(), |_| true).expect("in time");
    assert!(permit.is_valid(zone.now) && !permit.is_valid(end));
    assert_eq!(zone.tables[0].1.acquire(end, &service(), |_| true), None);
}

/// During a recount, entry 1 grants all slots to entry 2, which has already answered that it holds
/// none. Then entry 1 ends, and its answer is lost. A recount that continued with the remaining
/// answers would find all slots missing and create them a second time.
#[test]
fn slots_granted_by_an_ended_entry_during_a_recount_are_not_created_again() {
    let mut zone = Zone::new(3, 1);
    let vm = String::from("vm-0");
    let peers: Vec<_> = zone.tables.iter().map(|(peer, _)| peer.clone()).collect();
    zone.tables[1].1.set_demand(zone.now, &service(), 8);
    zone.deliver();
    assert_eq!(zone.tables[1].1.held_on(&vm), SLOTS);
    zone.tables[1].1.set_demand(zone.now, &service(), 0);
    zone.deliver();
    zone.now += Duration::from_secs(2);
    zone.tables[0].1.tick(zone.now);
    let counts = zone.tables[0].1.drain_outbox();
    for envelope in counts {
        let index = peers.iter().position(|peer| *peer == envelope.to).expect("a member");
        zone.tables[index].1.receive(zone.now, &peers[0], envelope.message);
    }
    assert_eq!(zone.tables[1].1.drain_outbox().len(), 1, "its answer is lost");
    let late = zone.tables[2].1.drain_outbox().remove(0);
    zone.tables[2].1.set_demand(zone.now, &service(), 8);
    zone.deliver();
    assert_eq!(zone.tables[2].1.held_on(&vm), SLOTS);
    zone.kill(1);
    zone.tables[0].1.receive(zone.now, &peers[2], late.message);
    assert_eq!(zone.held(), SLOTS);
    zone.settle();
    assert_eq!(zone.held(), SLOTS);
}

#[test]
fn an_entry_expects_no_more_slots_than_the_demand_of_its_peers_leaves() {
    let mut zone = Zone::new(2, 2);
    let permits = zone.acquire_all(0);
    assert_eq!(zone.tables[0].1.supply(&service()), 2 * SLOTS);
    zone.tables[0].1.set_demand(zone.now, &service(), 100);
    zone.tables[1].1.set_demand(zone.now, &service(), 300);
    zone.deliver();
    assert_eq!(zone.tables[0].1.supply(&service()), SLOTS / 2);
    assert_eq!(permits.len() as u32, 2 * SLOTS);
}

/// Entry 1 ends while its grant to entry 2 is still in flight. The recount has recovered the slots,
/// so entry 2 must ignore the grant, even if it names a later round than the recount's.
#[test]
fn a_late_grant_of_an_ended_entry_is_not_taken_after_a_recount() {
    let mut zone = Zone::new(3, 1);
    let vm = String::from("vm-0");
    zone.tables[1].1.set_demand(zone.now, &service(), 8);
    zone.deliver();
    zone.tables[1].1.set_demand(zone.now, &service(), 0);
    zone.deliver();
    zone.tables[2].1.set_demand(zone.now, &service(), 8);
    let (receiver, granter) = (zone.tables[2].0.clone(), zone.tables[1].0.clone());
    let reports = zone.tables[2].1.drain_outbox();
    let report = reports.into_iter().find(|envelope| envelope.to == granter).expect("sent to all");
    zone.tables[1].1.receive(zone.now, &receiver, report.message);
    let late = zone.tables[1].1.drain_outbox().remove(0);
    let (gone, _) = zone.tables.remove(1);
    zone.tables[0].1.set_members(zone.now, [(gone.clone(), Liveness::Gone)]);
    zone.tables[0].1.tick(zone.now);
    zone.deliver();
    assert_eq!(zone.tables[0].1.held_on(&vm), SLOTS, "recovered");
    let (now, table) = (zone.now, &mut zone.tables[1].1);
    let mut later = late.message;
    if let carobhitch::slot::Body::Grant { round, .. } = &mut later.body {
        round.number += 10;
    }
    table.receive(now, &gone, later);
    assert_eq!(table.held_on(&vm), 0, "even if granted in a later round");
}
