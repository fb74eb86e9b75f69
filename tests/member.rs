//! Tests of the failure detector: entries that time out, end or restart.

use {
    carobhitch::{
        member::{Health, Proof, SUSPICION_TIMEOUT, Table},
        record::Member,
    },
    std::{
        net::{Ipv4Addr, SocketAddr},
        time::{Duration, Instant},
    },
};

fn member(incarnation: u64) -> Member {
    let address = |port| SocketAddr::from((Ipv4Addr::LOCALHOST, port));
    Member { id: "e1".into(), incarnation, zone: "a".into(), link: address(1), rpc: address(2) }
}

#[test]
fn an_unresponsive_entry_is_suspected_but_never_gone_without_proof() {
    let now = Instant::now();
    let mut table = Table::new("a".into());
    table.add(now, &member(1));
    let id = "e1".to_string();
    assert_eq!(table.health(now, &id), Some(Health::Live));
    let later = now + SUSPICION_TIMEOUT + Duration::from_secs(3600);
    assert_eq!(table.health(later, &id), Some(Health::Suspected));
    table.record_contact(later, &id, 1);
    assert_eq!(table.health(later, &id), Some(Health::Live));
}

#[test]
fn a_refused_connection_is_proof_of_the_end_and_reported_once() {
    let now = Instant::now();
    let mut table = Table::new("a".into());
    table.add(now, &member(1));
    assert_eq!(table.record_refusal(member(1).link), Some(("e1".into(), 1)));
    assert_eq!(table.record_refusal(member(1).link), None);
    assert_eq!(table.health(now, &"e1".into()), Some(Health::Gone));
}

#[test]
fn an_answer_of_another_incarnation_proves_the_previous_one_gone() {
    let now = Instant::now();
    let mut table = Table::new("a".into());
    table.add(now, &member(1));
    assert_eq!(table.record_contact(now, &"e1".into(), 2), Some(1));
    assert_eq!(table.record_contact(now, &"e1".into(), 2), None);
    assert!(!table.mark_gone(&"e1".into(), 1, Proof::Recorded));
}

#[test]
fn a_replaced_incarnation_is_reported_as_ended_once() {
    let now = Instant::now();
    let mut table = Table::new("a".into());
    table.add(now, &member(1));
    table.add(now, &member(1));
    assert_eq!(table.take_replaced(), []);
    table.add(now, &member(2));
    assert_eq!(table.take_replaced(), [("e1".to_string(), 1)]);
    assert_eq!(table.take_replaced(), []);
    assert_eq!(table.health(now, &"e1".into()), Some(Health::Live));
}
