//! VMs that move between pools and have their upkeep, while tasks run.

#![allow(clippy::unwrap_used)]

mod world;

use {
    carobhitch::job::{
        cell::Action,
        spec::Step,
        upkeep::{self, Request, State},
    },
    indexmap::IndexSet,
    std::time::Duration,
    world::{World, spec, step},
};

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

fn wave(vms: &[&str], most: usize) -> Request {
    let vms = vms.iter().map(|id| String::from(*id)).collect();
    Request { number: 1, vms, within: Duration::from_secs(20), max_at_once: most }
}

fn upkeeps(world: &World) -> Vec<String> {
    let upkeep = |action: &Action| match action {
        Action::Vm(upkeep::Action::Upkeep { vm, .. }) => Some(vm.clone()),
        _ => None,
    };
    world.sent.iter().filter_map(upkeep).collect()
}

fn moves(world: &World) -> Vec<(String, String)> {
    let moved = |action: &Action| match action {
        Action::Vm(upkeep::Action::Move { vm, pool }) => Some((vm.clone(), pool.clone())),
        _ => None,
    };
    world.sent.iter().filter_map(moved).collect()
}

#[test]
fn upkeep_that_a_former_owner_has_begun_counts_as_down() {
    let mut world = World::new(4);
    world.list_vms();
    world.mute_vms = true;
    let now = world.at();
    world.cell.order_wave(now, wave(&["m0", "m1", "m2", "m3"], 2));
    world.run(seconds(0.5));
    assert_eq!(upkeeps(&world).len(), 2);
    world.take_over();
    world.list_vms();
    world.run(seconds(0.2));
    let now = world.at();
    world.cell.order_wave(now, wave(&["m0", "m1", "m2", "m3"], 2));
    world.run(seconds(1.0));
    let vms: IndexSet<String> = upkeeps(&world).into_iter().collect();
    assert_eq!(vms.len(), 2, "both VMs may be in upkeep: {vms:?}");
}

#[test]
fn a_vm_on_its_way_between_pools_is_not_in_upkeep() {
    let mut world = World::new(2);
    world.list_vms();
    let now = world.at();
    world.cell.order_wave(now, wave(&["m0", "m1"], 1));
    world.run(seconds(0.5));
    let first = upkeeps(&world).remove(0);
    let vm = &mut world.vms[&first];
    vm.state = State::Up;
    vm.runner = Some(String::from("r9"));
    world.list_vms();
    world.vms[&first].state = State::Moving;
    world.list_vms();
    world.run(seconds(0.5));
    assert_eq!(upkeeps(&world).len(), 2);
}

#[test]
fn endless_tasks_leave_a_vm_one_after_the_other() {
    let mut world = World::new(4);
    world.list_vms();
    let step = Step { endless: true, per_runner: 1, max_unavailable: 1, ..step(3, 1_000) };
    world.submit(7, spec(vec![step]));
    world.run(seconds(3.0));
    let now = world.at();
    world.cell.order_wave(now, wave(&["m0", "m1", "m2"], 3));
    let mut fewest = 3;
    for _ in 0..200 {
        world.run(seconds(0.02));
        let running: usize = world.lives.values().map(|life| life.running.len()).sum();
        fewest = fewest.min(running);
    }
    assert!(fewest >= 2, "{fewest} of 3 tasks were left at once, and one may be missed");
}

#[test]
fn a_new_owner_stops_no_task_before_it_knows_that_the_others_are_at_work() {
    let mut world = World::new(4);
    world.list_vms();
    let step = Step { endless: true, per_runner: 1, max_unavailable: 1, ..step(3, 1_000) };
    world.submit(7, spec(vec![step]));
    world.run(seconds(3.0));
    world.take_over();
    world.list_vms();
    let now = world.at();
    world.cell.order_wave(now, wave(&["m0", "m1", "m2"], 3));
    world.run(seconds(0.4));
    let stops = world.sent.iter().filter(|action| matches!(action, Action::Stop(..))).count();
    assert_eq!(stops, 0, "a stop of the former owner may be on its way");
}

#[test]
fn idle_vms_stay_in_their_pools_before_the_first_job() {
    let mut world = World::new(6);
    world.list_vms();
    world.run(seconds(10.0));
    assert!(moves(&world).is_empty());
}

#[test]
fn a_burst_gets_vms_of_the_spare_pool_and_returns_them() {
    let mut world = World::new(2);
    for number in 0..4 {
        world.add_spare(&format!("s{number}"));
    }
    world.list_vms();
    world.run(seconds(0.5));
    for id in 0..20 {
        world.submit(id, spec(vec![step(8, 2_000)]));
    }
    world.run(seconds(1.0));
    let to_desk = moves(&world).iter().filter(|(_, pool)| pool == "desk").count();
    assert!(to_desk >= 3, "{to_desk} VMs were sent to the pool that is short");
    for number in 0..4 {
        let (vm, id) = (format!("s{number}"), format!("n{number}"));
        if world.vms[&vm].pool == "desk" {
            world.add(&id, "desk", &vm, 5);
        }
    }
    world.list_vms();
    world.run(seconds(40.0));
    let back = moves(&world).iter().filter(|(_, pool)| pool == "spare").count();
    assert!(back >= 2, "{back} VMs went back");
}

#[test]
fn a_vm_that_has_moved_counts_in_its_new_pool_before_the_list_says_so() {
    let mut world = World::new(9);
    world.add_spare("s0");
    world.list_vms();
    world.run(seconds(0.5));
    world.submit(1, spec(vec![step(1, 1_000)]));
    world.run(seconds(8.0));
    let stay = 9 - moves(&world).iter().filter(|(_, pool)| pool == "spare").count();
    assert!(stay >= 3, "{stay} of 9 VMs stay; the work needs one, and two are the reserve");
}

#[test]
fn an_endless_task_that_finds_no_room_gets_its_pool_another_vm() {
    let mut world = World::new(1);
    world.add_spare("s0");
    world.list_vms();
    world.run(seconds(0.5));
    world.submit(1, spec(vec![Step { endless: true, ..step(11, 1_600) }]));
    world.run(seconds(2.0));
    let to_desk = moves(&world).iter().filter(|(_, pool)| pool == "desk").count();
    assert_eq!(to_desk, 1, "10 of 11 tasks fit on the one VM");
}

#[test]
fn a_vm_that_is_overdue_for_its_upkeep_does_not_move_first() {
    let mut world = World::new(2);
    world.add_spare("s0");
    world.list_vms();
    world.run(seconds(0.5));
    world.mute_vms = true;
    let now = world.at();
    world.cell.order_wave(now, wave(&["m0", "s0"], 1));
    world.run(seconds(0.5));
    assert_eq!(upkeeps(&world).len(), 1, "the wave may have one VM down at once");
    let other = if upkeeps(&world)[0] == "s0" { "m0" } else { "s0" };
    world.run(seconds(15.0));
    for id in 2..22 {
        world.submit_to("checks", id, spec(vec![step(8, 2_000)]));
    }
    world.run(seconds(1.0));
    assert!(!moves(&world).iter().any(|(vm, _)| vm == other), "its upkeep comes first");
}

#[test]
fn a_runner_that_has_registered_ends_the_action_on_its_vm_before_the_list_says_so() {
    let mut world = World::new(2);
    world.move_time = Some(seconds(2.0));
    world.list_vms();
    let now = world.at();
    world.cell.order_wave(now, wave(&["m0", "m1"], 1));
    world.run(seconds(6.0));
    assert_eq!(upkeeps(&world).len(), 2, "the second VM went down once the first was back");
}
