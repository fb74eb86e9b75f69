//! Runners that fall silent or end: where tasks go meanwhile, and when theirs start again.

#![allow(clippy::unwrap_used)]

mod world;

use {
    carobhitch::job::{cell::Action, upkeep},
    indexmap::IndexSet,
    std::time::Duration,
    world::{World, spec, step},
};

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

/// Starts sent to runners whose names begin with `name`.
fn starts(world: &World, name: &str) -> usize {
    let to = |action: &&Action| matches!(action, Action::Start(id, _) if id.starts_with(name));
    world.sent.iter().filter(to).count()
}

/// Moves of VMs: which, and to which pool.
fn moves(world: &World) -> Vec<(String, String)> {
    let moved = |action: &Action| match action {
        Action::Vm(upkeep::Action::Move { vm, pool }) => Some((vm.clone(), pool.clone())),
        _ => None,
    };
    world.sent.iter().filter_map(moved).collect()
}

/// A world with three runners in each of two availability zones.
fn two_zones() -> World {
    let mut world = World::new(0);
    for number in 0..3 {
        for zone in ["b", "a"] {
            let id = format!("{zone}{number}");
            world.add_in(zone, &id, "desk", &format!("m-{id}"), 1);
        }
    }
    world.run(seconds(0.2));
    world
}

fn cut(world: &mut World, zone: &str, cut: bool) {
    for life in world.lives.values_mut().filter(|life| life.zone == zone) {
        life.cut = cut;
    }
}

#[test]
fn a_zone_that_falls_silent_gets_no_tasks_before_its_calls_time_out() {
    let mut world = two_zones();
    cut(&mut world, "b", true);
    world.submit(10, spec(vec![step(8, 4_000)]));
    world.submit(11, spec(vec![step(8, 4_000)]));
    world.run(seconds(0.1));
    let lost = starts(&world, "b");
    assert_eq!(lost, 8, "the first tasks filled two runners in each zone");
    for job in 2..6 {
        world.submit(job, spec(vec![step(1, 1_000)]));
        world.run(seconds(0.1));
    }
    assert_eq!(starts(&world, "b"), lost, "no further task was sent to the silent zone");
}

#[test]
fn a_zone_that_answers_again_gets_tasks_again() {
    let mut world = two_zones();
    cut(&mut world, "b", true);
    world.submit(1, spec(vec![step(12, 4_000)]));
    world.run(seconds(1.5));
    cut(&mut world, "b", false);
    world.run(seconds(3.0));
    let before = starts(&world, "b");
    world.submit(2, spec(vec![step(18, 4_000)]));
    world.run(seconds(0.5));
    assert!(starts(&world, "b") > before);
}

#[test]
fn one_runner_without_an_answer_casts_no_doubt_on_its_zone() {
    let mut world = two_zones();
    world.lives["b0"].cut = true;
    world.submit(1, spec(vec![step(18, 4_000)]));
    world.run(seconds(0.2));
    let before = starts(&world, "b1") + starts(&world, "b2");
    world.submit(2, spec(vec![step(18, 4_000)]));
    world.run(seconds(1.5));
    assert!(starts(&world, "b1") + starts(&world, "b2") > before);
}

#[test]
fn former_runners_of_vms_cast_no_doubt_on_where_the_vms_are() {
    let mut world = two_zones();
    for (id, vm) in [("f0", "m-f0"), ("f1", "m-f1")] {
        world.add_in("c", id, "desk", vm, 1);
        world.lives[id].silent = true;
        let vm = &mut world.vms[vm];
        (vm.pool, vm.runner) = ("spare".into(), None);
    }
    world.list_vms();
    world.run(seconds(1.0));
    world.submit(1, spec(vec![step(60, 8_000)]));
    world.run(seconds(0.5));
    let moved: Vec<String> = moves(&world).into_iter().map(|(vm, _)| vm).collect();
    assert!(moved.contains(&"m-f0".into()) && moved.contains(&"m-f1".into()), "{moved:?}");
}

#[test]
fn vms_out_of_reach_neither_count_for_a_pool_nor_move() {
    let mut world = two_zones();
    world.add_spare("s0");
    world.list_vms();
    cut(&mut world, "b", true);
    world.submit(1, spec(vec![step(24, 8_000)]));
    world.run(seconds(0.4));
    world.list_vms();
    world.run(seconds(0.5));
    let moves = moves(&world);
    assert!(
        moves.contains(&("s0".into(), "desk".into())),
        "3 of 6 VMs are out of reach: {moves:?}"
    );
    assert!(!moves.iter().any(|(vm, _)| vm.starts_with("m-b")), "{moves:?}");
}

#[test]
fn the_tasks_of_a_step_stay_in_one_zone() {
    let mut world = two_zones();
    for job in 1..=4 {
        world.submit(job, spec(vec![step(5, 2_000)]));
        world.run(seconds(0.1));
        let zones: IndexSet<&str> = world
            .lives
            .values()
            .filter(|life| life.running.keys().any(|task| task.job == job))
            .map(|life| life.zone.as_str())
            .collect();
        assert_eq!(zones.len(), 1, "a cut zone should hit few jobs, job {job} is in {zones:?}");
    }
}
