//! Failure detector: which runners get tasks while some runners or a whole availability zone are
//! unreachable.
//!
//! A task whose start is sent to an unreachable runner is stuck until the runner's lease has
//! expired. A suspicion without cause leaves runners idle.

#![allow(clippy::unwrap_used)]

mod simulation;

use {
    carobhitch::job::{cell::Action, upkeep},
    indexmap::IndexSet,
    simulation::{Simulation, spec, step},
    std::time::Duration,
};

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

/// Starts sent to runners whose names begin with `name`.
fn starts(sim: &Simulation, name: &str) -> usize {
    let to = |action: &&Action| matches!(action, Action::Start(id, _) if id.starts_with(name));
    sim.actions.iter().filter(to).count()
}

/// Moves of VMs: which, and to which pool.
fn moves(sim: &Simulation) -> Vec<(String, String)> {
    let moved = |action: &Action| match action {
        Action::ChangeVm(upkeep::Action::Move { vm, pool }) => Some((vm.clone(), pool.clone())),
        _ => None,
    };
    sim.actions.iter().filter_map(moved).collect()
}

/// Simulation with three runners in each of two availability zones.
fn two_zones() -> Simulation {
    let mut sim = Simulation::new(0);
    for number in 0..3 {
        for zone in ["b", "a"] {
            let id = format!("{zone}{number}");
            sim.add_runner_in(zone, &id, "desk", &format!("m-{id}"), 1);
        }
    }
    sim.run(seconds(0.2));
    sim
}

/// Partitions the runners of a zone from the cell, or connects them again.
fn partition(sim: &mut Simulation, zone: &str, partition: bool) {
    for runner in sim.runners.values_mut().filter(|runner| runner.zone == zone) {
        runner.partitioned = partition;
    }
}

#[test]
fn a_partitioned_zone_gets_no_more_tasks_before_calls_to_it_time_out() {
    let mut sim = two_zones();
    partition(&mut sim, "b", true);
    sim.submit(10, spec(vec![step(8, 4_000)]));
    sim.submit(11, spec(vec![step(8, 4_000)]));
    sim.run(seconds(0.1));
    let lost = starts(&sim, "b");
    assert_eq!(lost, 8, "the first tasks filled two runners in each zone");
    for job in 2..6 {
        sim.submit(job, spec(vec![step(1, 1_000)]));
        sim.run(seconds(0.1));
    }
    assert_eq!(starts(&sim, "b"), lost, "no further task was sent to the suspected zone");
}

#[test]
fn a_zone_that_answers_again_gets_tasks_again() {
    let mut sim = two_zones();
    partition(&mut sim, "b", true);
    sim.submit(1, spec(vec![step(12, 4_000)]));
    sim.run(seconds(1.5));
    partition(&mut sim, "b", false);
    sim.run(seconds(3.0));
    let before = starts(&sim, "b");
    sim.submit(2, spec(vec![step(18, 4_000)]));
    sim.run(seconds(0.5));
    assert!(starts(&sim, "b") > before);
}

#[test]
fn one_unresponsive_runner_does_not_make_its_zone_suspected() {
    let mut sim = two_zones();
    sim.runners["b0"].partitioned = true;
    sim.submit(1, spec(vec![step(18, 4_000)]));
    sim.run(seconds(0.2));
    let before = starts(&sim, "b1") + starts(&sim, "b2");
    sim.submit(2, spec(vec![step(18, 4_000)]));
    sim.run(seconds(1.5));
    assert!(starts(&sim, "b1") + starts(&sim, "b2") > before);
}

#[test]
fn former_runners_of_vms_do_not_make_their_domains_suspected() {
    let mut sim = two_zones();
    for (id, vm) in [("f0", "m-f0"), ("f1", "m-f1")] {
        sim.add_runner_in("c", id, "desk", vm, 1);
        sim.runners[id].unresponsive = true;
        let vm = &mut sim.vms[vm];
        (vm.pool, vm.runner) = ("spare".into(), None);
    }
    sim.update_vms();
    sim.run(seconds(1.0));
    sim.submit(1, spec(vec![step(60, 8_000)]));
    sim.run(seconds(0.5));
    let moved: Vec<String> = moves(&sim).into_iter().map(|(vm, _)| vm).collect();
    assert!(moved.contains(&"m-f0".into()) && moved.contains(&"m-f1".into()), "{moved:?}");
}

#[test]
fn unreachable_vms_neither_count_for_a_pool_nor_move() {
    let mut sim = two_zones();
    sim.add_spare("s0");
    sim.update_vms();
    partition(&mut sim, "b", true);
    sim.submit(1, spec(vec![step(24, 8_000)]));
    sim.run(seconds(0.4));
    sim.update_vms();
    sim.run(seconds(0.5));
    let moves = moves(&sim);
    assert!(moves.contains(&("s0".into(), "desk".into())), "3 of 6 VMs are unreachable: {moves:?}");
    assert!(!moves.iter().any(|(vm, _)| vm.starts_with("m-b")), "{moves:?}");
}

#[test]
fn the_tasks_of_a_step_stay_in_one_zone() {
    let mut sim = two_zones();
    for job in 1..=4 {
        sim.submit(job, spec(vec![step(5, 2_000)]));
        sim.run(seconds(0.1));
        let zones: IndexSet<&str> = sim
            .runners
            .values()
            .filter(|runner| runner.running.keys().any(|task| task.job == job))
            .map(|runner| runner.zone.as_str())
            .collect();
        assert_eq!(
            zones.len(),
            1,
            "a partition of a zone should affect few jobs, job {job} is in {zones:?}"
        );
    }
}
