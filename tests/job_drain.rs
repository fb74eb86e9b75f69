//! Drains of VMs whose runner the owner knows from its registration only, as the list of VMs is late.
//!
//! The simulation asserts at each action on a VM that nothing runs on it any more.

#![allow(clippy::unwrap_used)]

mod simulation;

use {
    carobhitch::job::{
        cell::Action,
        spec::Step,
        upkeep::{self, Request, State},
    },
    simulation::{Simulation, spec, step},
    std::time::Duration,
};

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

fn wave(vms: &[&str]) -> Request {
    let vms = vms.iter().map(|id| String::from(*id)).collect();
    Request { number: 1, vms, within: Duration::from_secs(20), max_at_once: 1 }
}

/// Three endless tasks that fit on one runner, of which one may be unavailable.
fn endless() -> Step {
    Step { endless: true, max_unavailable: 1, ..step(3, 1_000) }
}

/// Runner `r0` of `m0` crashes and comes back as `next`, which no list shows. `m1` is added with room for
/// all tasks, once they run on `next`.
fn simulation_with_renamed_runner() -> Simulation {
    let mut sim = Simulation::new(1);
    sim.move_time = Some(seconds(2.0));
    sim.update_vms();
    sim.runners.swap_remove("r0");
    sim.add_runner("next", "desk", "m0", 5);
    let now = sim.instant();
    sim.cell.update_registration(now, "r0", None);
    sim.submit(7, spec(vec![endless()]));
    sim.run(seconds(3.0));
    assert_eq!(sim.runners["next"].running.len(), 3);
    sim.add_runner("r1", "desk", "m1", 1);
    sim.run(seconds(0.5));
    sim
}

fn is_maintained(sim: &Simulation, id: &str) -> bool {
    let is_call = |action: &Action| matches!(action, Action::ChangeVm(upkeep::Action::Upkeep { vm, .. }) if vm == id);
    sim.actions.iter().any(is_call)
}

/// Smallest number of running tasks while `time` passes.
fn min_running(sim: &mut Simulation, time: Duration) -> usize {
    let mut min = usize::MAX;
    let until = sim.now + time;
    while sim.now < until {
        sim.run(seconds(0.1));
        min = min.min(sim.runners.values().map(|runner| runner.running.len()).sum());
    }
    min
}

/// Guards against maintenance without a drain, as the list names a former runner of the VM (review 15).
#[test]
fn a_vm_whose_runner_has_another_name_than_the_list_says_is_drained() {
    let mut sim = simulation_with_renamed_runner();
    sim.order_wave(wave(&["m0"]));
    assert!(min_running(&mut sim, seconds(10.0)) >= 2);
    assert!(is_maintained(&sim, "m0"));
}

/// Guards against the same under a new owner whose first list is late.
#[test]
fn a_new_owner_drains_a_vm_whose_runner_its_list_does_not_name() {
    for listed in [None, Some("r0")] {
        let mut sim = simulation_with_renamed_runner();
        let mut late = sim.vms["m0"].clone();
        late.runner = listed.map(String::from);
        sim.take_over();
        let truth = std::mem::replace(&mut sim.vms["m0"], late);
        sim.update_vms();
        sim.vms["m0"] = truth;
        sim.order_wave(wave(&["m0"]));
        assert!(min_running(&mut sim, seconds(15.0)) >= 2);
        assert!(is_maintained(&sim, "m0"));
    }
}

/// Guards against a move without a drain of a VM that a late list still shows in the spare pool.
#[test]
fn a_vm_that_a_late_list_shows_as_spare_is_drained_before_it_moves() {
    let mut sim = Simulation::new(1);
    sim.move_time = Some(seconds(1.5));
    sim.add_spare("s0");
    sim.update_vms();
    sim.run_time = seconds(5.0);
    let late = sim.vms["s0"].clone();
    sim.add_runner("n0", "desk", "s0", 5);
    sim.submit(1, spec(vec![step(16, 1_600)]));
    sim.run(seconds(1.0));
    assert!(!sim.runners["n0"].running.is_empty());
    sim.take_over();
    let truth = std::mem::replace(&mut sim.vms["s0"], late);
    sim.update_vms();
    sim.vms["s0"] = truth;
    for id in 2..12 {
        sim.submit_to("checks", id, spec(vec![step(8, 2_000)]));
    }
    sim.run(seconds(2.0));
    let moved = |action: &Action| matches!(action, Action::ChangeVm(upkeep::Action::Move { vm, .. }) if vm == "s0");
    assert!(!sim.actions.iter().any(moved) || sim.vms["s0"].state != State::Up);
}

/// Guards against a drain that never ends as another writer names a runner on the VM.
#[test]
fn a_foreign_registration_keeps_no_vm_from_its_maintenance() {
    let mut sim = Simulation::new(2);
    sim.move_time = Some(seconds(2.0));
    sim.update_vms();
    let mut foreign = sim.registration("r0");
    foreign.incarnation = Some(9);
    let now = sim.instant();
    sim.cell.update_registration(now, "x0", Some(foreign));
    sim.submit(7, spec(vec![endless()]));
    sim.run(seconds(2.0));
    sim.order_wave(wave(&["m0"]));
    sim.run_with_lists(seconds(20.0));
    assert!(is_maintained(&sim, "m0"));
}

/// Guards against a VM that counts as empty as neither the list nor a registration names its runner, and only
/// the ledger knows of the tasks there.
#[test]
fn a_vm_is_not_empty_while_the_runner_of_tasks_is_unknown() {
    let mut sim = simulation_with_renamed_runner();
    let mut late = sim.vms["m0"].clone();
    late.runner = None;
    sim.unregistered.insert("next".into());
    sim.take_over();
    let truth = std::mem::replace(&mut sim.vms["m0"], late);
    sim.update_vms();
    sim.vms["m0"] = truth;
    sim.order_wave(wave(&["m0"]));
    sim.run(seconds(1.5));
    let (now, registration) = (sim.instant(), sim.registration("next"));
    sim.cell.update_registration(now, "next", Some(registration));
    assert!(min_running(&mut sim, seconds(15.0)) >= 2);
    assert!(is_maintained(&sim, "m0"));
}
