//! State machine: drains, moves, members and leases.

use {
    carobhitch::{
        lease,
        record::Body,
        state::{Reason, State},
    },
    fleet::{Log, assert_accepted, declaration, expect_rejected, member, vm},
};

mod fleet;

fn pool_of<'a>(state: &'a State, vm: &str) -> Option<&'a str> {
    state.declaration.vms.get(vm).map(|v| v.pool.as_str())
}

fn moving() -> Log {
    let mut log = Log::new(declaration(3, 1), &["e", "f"]);
    let mut to = vm("p", 0);
    to.pool = "spare".into();
    assert_accepted(log.acquire("e", 1));
    assert_accepted(log.edit_vm("p0", Some(to)));
    log
}

#[test]
fn a_vm_changes_its_pool_only_when_every_entry_confirmed() {
    let mut log = moving();
    assert_eq!(pool_of(&log.state, "p0"), Some("p"));
    assert_accepted(log.fenced(Body::Drain { vm: "p0".into() }));
    let drain = log.state.drains["p0"].since;
    let moved = Body::Moved { vm: "p0".into(), drain };
    assert_accepted(log.emptied("p0", "e"));
    assert!(matches!(expect_rejected(log.add(moved.clone())), Reason::Holding { waiting: 1, .. }));
    assert_eq!(pool_of(&log.state, "p0"), Some("p"));
    assert_accepted(log.emptied("p0", "f"));
    assert_accepted(log.add(moved.clone()));
    assert_eq!(pool_of(&log.state, "p0"), Some("spare"));
    assert!(log.state.drains.is_empty());
    assert!(matches!(expect_rejected(log.add(moved)), Reason::NoMove(_)));
}

#[test]
fn an_entry_that_is_gone_need_not_confirm_a_drain() {
    let mut log = moving();
    assert_accepted(log.fenced(Body::Drain { vm: "p0".into() }));
    assert_accepted(log.emptied("p0", "e"));
    assert_accepted(log.add(Body::Gone { entry: "f".into(), incarnation: 1 }));
    let drain = log.state.drains["p0"].since;
    assert_accepted(log.add(Body::Moved { vm: "p0".into(), drain }));
}

#[test]
fn a_confirmation_of_an_earlier_drain_has_no_effect() {
    let mut log = moving();
    assert_accepted(log.add(Body::Drain { vm: "p1".into() }));
    let old = log.state.drains["p1"].since;
    assert_accepted(log.add(Body::Return { vm: "p1".into() }));
    assert_accepted(log.add(Body::Drain { vm: "p1".into() }));
    let late = Body::Emptied { vm: "p1".into(), entry: "e".into(), incarnation: 1, drain: old };
    assert!(matches!(expect_rejected(log.add(late)), Reason::NoDrain { .. }));
    assert_eq!(log.state.drains["p1"].waiting.len(), 2);
}

#[test]
fn racing_operators_leave_a_vm_in_one_pool() {
    let mut log = moving();
    let mut other = vm("p", 0);
    other.pool = "p".into();
    let version = log.state.versions.get(&"vm/p0".into());
    assert_accepted(log.fenced(Body::Drain { vm: "p0".into() }));
    assert_accepted(log.edit_vm("p0", Some(other)));
    assert_ne!(log.state.versions.get(&"vm/p0".into()), version);
    assert!(log.state.drains.is_empty(), "the cancelled move releases its hold on the vm");
    assert!(log.state.moves.is_empty());
    assert!(matches!(
        expect_rejected(log.fenced(Body::Drain { vm: "p0".into() })),
        Reason::NoMove(_)
    ));
    assert_eq!(pool_of(&log.state, "p0"), Some("p"));
}

#[test]
fn a_vm_taken_out_of_the_declaration_serves_until_it_is_empty() {
    let mut log = Log::new(declaration(3, 1), &["e"]);
    assert_accepted(log.edit_vm("p0", None));
    assert_eq!(log.state.endpoints(&"s".into()).count(), 3);
    assert_accepted(log.add(Body::Drain { vm: "p0".into() }));
    assert_eq!(log.state.endpoints(&"s".into()).count(), 2);
    assert_accepted(log.emptied("p0", "e"));
    let drain = log.state.drains["p0"].since;
    assert_accepted(log.add(Body::Moved { vm: "p0".into(), drain }));
    assert_eq!(pool_of(&log.state, "p0"), None);
    assert_eq!(log.state.routes()[&"s".to_owned()].len(), 2);
}

#[test]
fn an_entry_at_another_address_joins_only_after_its_earlier_incarnation_ended() {
    let mut log = Log::new(declaration(2, 1), &["e"]);
    let mut elsewhere = member("e", 2);
    elsewhere.link.set_port(9);
    let join = Body::Join { entry: elsewhere };
    assert!(matches!(expect_rejected(log.add(join.clone())), Reason::Occupied { found: 1, .. }));
    assert_accepted(log.add(Body::Gone { entry: "e".into(), incarnation: 1 }));
    assert_accepted(log.add(join));
}

#[test]
fn a_restarted_entry_need_not_confirm_an_earlier_drain() {
    let mut log = Log::new(declaration(2, 1), &["e"]);
    assert_accepted(log.add(Body::Drain { vm: "p0".into() }));
    assert_accepted(log.add(Body::Join { entry: member("e", 2) }));
    assert!(log.state.drains["p0"].waiting.is_empty());
    assert!(matches!(expect_rejected(log.emptied("p0", "e")), Reason::NotMember { .. }));
}

#[test]
fn records_of_a_holder_that_lost_its_lease_are_fenced() {
    let mut log = moving();
    let old = log.state.epoch(lease::CONTROL);
    assert!(matches!(expect_rejected(log.acquire("f", 1)), Reason::Held { .. }));
    log.now += fleet::TERM;
    assert_accepted(log.acquire("f", 1));
    let body = Box::new(Body::Drain { vm: "p0".into() });
    let late = Body::Fenced { lease: lease::CONTROL.into(), epoch: old, body };
    assert!(matches!(expect_rejected(log.add(late)), Reason::Fenced { found: 2, .. }));
    let renew = Body::Renew { lease: lease::CONTROL.into(), epoch: old, term: fleet::TERM };
    assert!(matches!(expect_rejected(log.add(renew)), Reason::Fenced { .. }));
}

#[test]
fn the_lease_of_an_ended_entry_is_free_at_once() {
    let mut log = moving();
    assert_accepted(log.add(Body::Gone { entry: "e".into(), incarnation: 1 }));
    assert_accepted(log.acquire("f", 1));
}
