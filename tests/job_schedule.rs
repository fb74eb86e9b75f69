//! Scheduled jobs: steps that run at given times.

#![allow(clippy::unwrap_used)]

mod world;

use {
    carobhitch::job::{
        answer::Answer,
        cell::Action,
        ledger::Outcome,
        spec::{Schedule, Spec},
    },
    std::time::Duration,
    world::{World, spec, step},
};

const JOB: u64 = 7;

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

/// A job of one step that runs `times` times, first in 2 s, then each `interval_ms`.
fn scheduled(world: &World, interval_ms: u64, times: u32) -> Spec {
    let schedule = Schedule { first_ms: world.wall_ms() + 2_000, interval_ms, times };
    Spec { schedule: Some(schedule), ..spec(vec![step(2, 1_000)]) }
}

/// Occurrences of which tasks were started, one for each start.
fn started(world: &World) -> Vec<u32> {
    let occurrence = |action: &Action| match action {
        Action::Start(_, start) if start.task.job == JOB => Some(start.task.occurrence),
        _ => None,
    };
    world.sent.iter().filter_map(occurrence).collect()
}

fn outcome(world: &mut World) -> Option<Outcome> {
    let request = world.ask(JOB);
    world.run(seconds(0.1));
    match world.answers[&request] {
        Answer::State { outcome, .. } => Some(outcome),
        _ => None,
    }
}

#[test]
fn each_occurrence_starts_at_its_time_and_the_job_is_complete_after_the_last() {
    let mut world = World::new(1);
    let accepted = world.submit(JOB, scheduled(&world, 3_000, 2));
    world.run(seconds(1.9));
    assert_eq!((&world.answers[&accepted], started(&world)), (&Answer::Accepted, vec![]));
    world.run(seconds(0.3));
    assert_eq!(started(&world), [0, 0]);
    world.run(seconds(2.7));
    assert_eq!(started(&world), [0, 0], "the second is due in 0.1 s");
    assert_eq!(outcome(&mut world), Some(Outcome::Open));
    world.run(seconds(2.0));
    assert_eq!(started(&world), [0, 0, 1, 1]);
    assert_eq!(outcome(&mut world), Some(Outcome::Complete));
}

#[test]
fn occurrences_may_overlap() {
    let mut world = World::new(1);
    world.run_time = seconds(4.0);
    world.submit(JOB, scheduled(&world, 500, 4));
    world.run(seconds(3.8));
    assert_eq!(world.lives["r0"].running.len(), 8);
    world.run(seconds(4.5));
    assert_eq!(outcome(&mut world), Some(Outcome::Complete));
}

#[test]
fn a_new_owner_goes_on_with_the_schedule() {
    let mut world = World::new(1);
    world.submit(JOB, scheduled(&world, 2_000, 3));
    world.run(seconds(2.5));
    world.take_over();
    world.run(seconds(8.0));
    assert_eq!(started(&world), [0, 0, 1, 1, 2, 2]);
    assert_eq!(outcome(&mut world), Some(Outcome::Complete));
}

#[test]
fn a_time_of_day_that_jumps_back_starts_nothing_again() {
    let mut world = World::new(1);
    world.submit(JOB, scheduled(&world, 2_000, 2));
    world.run(seconds(2.3));
    assert_eq!(started(&world), [0, 0]);
    world.jump_ms = -3_000;
    world.run(seconds(4.0));
    assert_eq!(started(&world), [0, 0]);
    world.run(seconds(3.0));
    assert_eq!(started(&world), [0, 0, 1, 1]);
}

#[test]
fn a_cancelled_schedule_starts_nothing_more() {
    let mut world = World::new(1);
    world.submit(JOB, scheduled(&world, 1_000, 5));
    world.run(seconds(2.5));
    world.cancel(JOB);
    world.run(seconds(5.0));
    assert_eq!(started(&world), [0, 0]);
    assert_eq!(outcome(&mut world), Some(Outcome::Cancelled));
}
