//! Merging incremental reads into the platform's list of VMs.

use {
    carobhitch::{
        inventory::Inventory,
        platform::{Health, List, Vm},
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

fn health(inventory: &Inventory, id: &str) -> Option<Health> {
    inventory.find(&id.to_string()).map(|vm| vm.health)
}

#[test]
fn changes_replace_and_add_vms_and_leave_the_others() {
    let mut inventory = Inventory::default();
    inventory.merge(list(1, None, vec![vm("a", Health::Live), vm("b", Health::Live)]));
    inventory.merge(list(2, Some(1), vec![vm("b", Health::Leaving), vm("c", Health::Live)]));
    assert_eq!(health(&inventory, "a"), Some(Health::Live));
    assert_eq!(health(&inventory, "b"), Some(Health::Leaving));
    assert_eq!(health(&inventory, "c"), Some(Health::Live));
    assert_eq!(inventory.current().map(|l| (l.as_of_ms, l.vms.len())), Some((2, 3)));
}

#[test]
fn a_full_list_removes_vms_that_are_no_longer_listed() {
    let mut inventory = Inventory::default();
    inventory.merge(list(1, None, vec![vm("a", Health::Live), vm("b", Health::Live)]));
    inventory.merge(list(2, None, vec![vm("b", Health::Live)]));
    assert_eq!(health(&inventory, "a"), None);
    assert_eq!(health(&inventory, "b"), Some(Health::Live));
}

#[test]
fn changes_before_the_first_full_list_are_dropped() {
    let mut inventory = Inventory::default();
    inventory.merge(list(2, Some(1), vec![vm("a", Health::Live)]));
    assert!(inventory.current().is_none());
}
