//! Tasks that take no processors of a runner, such as fillers, where all processors are reserved.

#![allow(clippy::unwrap_used)]

mod simulation;

use {
    carobhitch::job::{
        cell::Action,
        manifest::Advice,
        spec::{Resources, Step},
    },
    simulation::{MILLICORES, Simulation, manifest, spec, step},
    std::time::Duration,
};

/// Job whose tasks take all processors.
const FULL: u64 = 1;
const FILLER: u64 = 2;

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

fn filler(tasks: u32) -> Step {
    Step { filler: true, endless: true, ..step(tasks, 1_000) }
}

/// Runners `r0` to `r2`, all of whose processors are reserved by endless tasks.
fn full() -> Simulation {
    let mut sim = Simulation::new(3);
    sim.submit(FULL, spec(vec![Step { endless: true, ..step(12, MILLICORES / 4) }]));
    sim.run(seconds(0.5));
    assert!(sim.runners.values().all(|runner| runner.used == MILLICORES));
    sim
}

/// Number of runs of the job [`FILLER`].
fn running(sim: &Simulation) -> usize {
    let tasks = sim.runners.values().flat_map(|runner| runner.running.keys());
    tasks.filter(|task| task.job == FILLER).count()
}

/// Guards against a filler that waits for good where all processors are reserved.
#[test]
fn a_filler_starts_on_a_runner_whose_processors_are_all_reserved() {
    let mut sim = full();
    sim.submit(FILLER, spec(vec![filler(2)]));
    sim.run(seconds(0.5));
    assert_eq!(running(&sim), 2);
}

/// The same for a filler whose runner drains and leaves.
#[test]
fn a_filler_whose_runner_leaves_starts_again_on_a_full_one() {
    let mut sim = full();
    sim.add_runner("r3", "desk", "m3", 1);
    sim.run(seconds(0.2));
    sim.submit(FILLER, spec(vec![filler(1)]));
    sim.run(seconds(0.5));
    assert_eq!(running(&sim), 1);
    let place =
        sim.runners.iter().find(|(_, runner)| runner.running.keys().any(|task| task.job == FILLER));
    let place = place.unwrap().0.clone();
    assert_eq!(place, "r3", "the empty runner suits it best");
    let mut registration = sim.registration(&place);
    registration.draining = true;
    let now = sim.instant();
    sim.cell.update_registration(now, &place, Some(registration));
    sim.run(seconds(1.0));
    assert_eq!(running(&sim), 1);
}

/// The same under a new owner.
#[test]
fn a_new_owner_starts_a_filler_on_a_full_runner() {
    let mut sim = full();
    sim.take_over();
    sim.submit(FILLER, spec(vec![filler(2)]));
    sim.run(seconds(1.0));
    assert_eq!(running(&sim), 2);
}

/// The same for a gang, for finite fillers and for tasks that ask for no processors.
#[test]
fn other_steps_that_take_no_processors_start_on_full_runners() {
    let gang = Step { gang: true, ..filler(3) };
    let finite = Step { endless: false, ..filler(2) };
    let none = Step { endless: true, ..step(2, 0) };
    for step in [gang, finite, none] {
        let mut sim = full();
        sim.run_time = seconds(60.0);
        let tasks = step.tasks as usize;
        sim.submit(FILLER, spec(vec![step]));
        sim.run(seconds(0.5));
        assert_eq!(running(&sim), tasks);
    }
}

/// The same for a queue with an advisor.
#[test]
fn the_advisor_is_asked_about_full_runners_for_fillers() {
    let mut sim = full();
    let mut advised = manifest(2);
    let millis = Duration::from_millis;
    let advice = Advice { decide: millis(20), each: millis(5), valid: seconds(3.0) };
    advised.queues[0].advice = Some(advice);
    sim.cell.update_manifest(advised);
    sim.advised_runners = vec!["r1".into()];
    sim.run(seconds(0.2));
    sim.submit(FILLER, spec(vec![filler(1)]));
    sim.run(seconds(0.5));
    assert_eq!(running(&sim), 1);
}

/// Guards against the reverse: memory counts for fillers as for all others.
#[test]
fn a_filler_waits_where_memory_is_short() {
    let mut sim = full();
    let need = Resources { memory_mib: 64_000, ..Resources::default() };
    sim.submit(FILLER, spec(vec![Step { need, ..filler(1) }]));
    sim.run(seconds(0.5));
    assert_eq!(running(&sim), 0);
}

/// Guards against a start that is planned and taken back again and again, as the room of each runner has
/// shrunk below what is on it.
#[test]
fn a_filler_is_not_planned_on_a_runner_whose_room_has_shrunk_below_what_is_on_it() {
    let mut sim = full();
    for id in ["r0", "r1", "r2"] {
        sim.shrink(id, 1_000);
    }
    sim.submit(FILLER, spec(vec![filler(1)]));
    sim.run(seconds(1.0));
    assert_eq!(sim.cell.jobs()[&FILLER].occurrences[0].steps[0][0].run, 0);
    sim.shrink("r1", 0);
    sim.run(seconds(0.5));
    assert_eq!(running(&sim), 1);
    let starts =
        |action: &&Action| matches!(action, Action::Start(_, start) if start.task.job == FILLER);
    assert_eq!(sim.actions.iter().filter(starts).count(), 1);
}
