//! The platform's list, put together from its changes.

use {
    carobhitch::{
        platform::{Health, List, Vm},
        roster::Roster,
    },
    std::net::{Ipv4Addr, SocketAddr},
};

fn vm(id: &str, health: Health) -> Vm {
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 1));
    Vm { id: id.into(), zone: "a".into(), rack: "r".into(), address, health, boots: 0 }
}

fn list(as_of_ms: u64, since_ms: Option<u64>, vms: Vec<Vm>) -> List {
    List { as_of_ms, since_ms, vms }
}

fn health(roster: &Roster, id: &str) -> Option<Health> {
    roster.find(&id.to_string()).map(|vm| vm.health)
}

#[test]
fn changes_replace_and_add_vms_and_leave_the_others() {
    let mut roster = Roster::default();
    roster.merge(list(1, None, vec![vm("a", Health::Live), vm("b", Health::Live)]));
    roster.merge(list(2, Some(1), vec![vm("b", Health::Leaving), vm("c", Health::Live)]));
    assert_eq!(health(&roster, "a"), Some(Health::Live));
    assert_eq!(health(&roster, "b"), Some(Health::Leaving));
    assert_eq!(health(&roster, "c"), Some(Health::Live));
    assert_eq!(roster.whole().map(|l| (l.as_of_ms, l.vms.len())), Some((2, 3)));
}

#[test]
fn a_whole_list_forgets_vms_that_left_it() {
    let mut roster = Roster::default();
    roster.merge(list(1, None, vec![vm("a", Health::Live), vm("b", Health::Live)]));
    roster.merge(list(2, None, vec![vm("b", Health::Live)]));
    assert_eq!(health(&roster, "a"), None);
    assert_eq!(health(&roster, "b"), Some(Health::Live));
}

#[test]
fn changes_before_the_first_whole_list_show_no_vm_as_missing() {
    let mut roster = Roster::default();
    roster.merge(list(2, Some(1), vec![vm("a", Health::Live)]));
    assert!(roster.whole().is_none());
}
