//! Rooms of runners that shrink and grow while tasks wait, start and run.
//!
//! The simulated runners assert at each start that they have room for it. What is being stopped still
//! takes room.

#![allow(clippy::unwrap_used)]

mod simulation;

use {
    carobhitch::job::{cell::Action, ledger::Outcome, spec::Step},
    simulation::{MILLICORES, Simulation, spec, step},
    std::time::Duration,
};

const JOB: u64 = 0x11;

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

fn outcome(sim: &Simulation, job: u64) -> Option<Outcome> {
    sim.cell.jobs().get(&job).map(|job| job.stored_outcome)
}

#[test]
fn a_planned_start_is_not_sent_to_a_runner_whose_room_has_shrunk_since() {
    let mut sim = Simulation::new(1);
    sim.store_down = true;
    sim.submit(JOB, spec(vec![step(1, MILLICORES)]));
    sim.run(seconds(0.2));
    sim.shrink("r0", MILLICORES / 2);
    sim.store_down = false;
    sim.run(seconds(1.0));
    assert!(!sim.actions.iter().any(|action| matches!(action, Action::Start(..))));
    sim.shrink("r0", 0);
    sim.run(seconds(3.0));
    assert_eq!(outcome(&sim, JOB), Some(Outcome::Complete));
}

#[test]
fn a_start_without_an_answer_is_not_sent_again_to_a_runner_whose_room_has_shrunk() {
    let mut sim = Simulation::new(2);
    sim.runners["r0"].loses_starts = true;
    sim.runners["r1"].loses_starts = true;
    sim.submit(JOB, spec(vec![step(1, MILLICORES)]));
    sim.run(seconds(0.5));
    let first = sim.actions.iter().find_map(|action| match action {
        Action::Start(runner, _) => Some(runner.to_string()),
        _ => None,
    });
    sim.shrink(&first.unwrap(), MILLICORES / 2);
    sim.runners.values_mut().for_each(|runner| runner.loses_starts = false);
    sim.run(seconds(10.0));
    assert_eq!(outcome(&sim, JOB), Some(Outcome::Complete));
}

#[test]
fn a_task_that_waits_starts_as_soon_as_a_room_has_grown() {
    let mut sim = Simulation::new(1);
    sim.shrink("r0", MILLICORES - 1_000);
    sim.submit(JOB, spec(vec![step(1, 2_000)]));
    sim.run(seconds(2.0));
    assert_eq!(outcome(&sim, JOB), Some(Outcome::Open));
    sim.shrink("r0", 0);
    sim.run(seconds(0.2));
    assert_eq!(sim.runners["r0"].running.len(), 1);
}

#[test]
fn rooms_that_change_all_the_time_are_never_exceeded_and_all_jobs_end() {
    let mut sim = Simulation::new(4);
    for round in 0..60u64 {
        sim.submit(JOB + round, spec(vec![step(5, 1_500)]));
        let runner = format!("r{}", round % 4);
        sim.shrink(&runner, (round as u32 * 3_700) % MILLICORES);
        sim.store_down = round % 10 == 5;
        sim.run(seconds(0.3));
    }
    sim.store_down = false;
    for runner in 0..4 {
        sim.shrink(&format!("r{runner}"), 0);
    }
    sim.run(seconds(20.0));
    for round in 0..60 {
        assert_eq!(outcome(&sim, JOB + round), Some(Outcome::Complete), "job {round}");
    }
}

#[test]
fn a_room_that_shrinks_below_what_runs_stops_nothing_and_is_used_again_once_it_has_grown() {
    for takes_over in [false, true] {
        let mut sim = Simulation::new(2);
        sim.submit(JOB, spec(vec![Step { endless: true, ..step(16, 1_000) }]));
        sim.submit(JOB + 1, spec(vec![step(16, 1_000)]));
        sim.run(seconds(0.3));
        for runner in ["r0", "r1"] {
            sim.shrink(runner, MILLICORES / 2);
        }
        sim.submit(JOB + 2, spec(vec![step(30, 2_000)]));
        sim.run(seconds(0.3));
        if takes_over {
            sim.take_over();
        }
        sim.run(seconds(2.0));
        for runner in ["r0", "r1"] {
            sim.shrink(runner, 0);
        }
        sim.run(seconds(0.2));
        let used: u32 = sim.runners.values().map(|runner| runner.used).sum();
        assert_eq!(used, 2 * MILLICORES);
        sim.run(seconds(10.0));
        for job in [JOB + 1, JOB + 2] {
            assert_eq!(outcome(&sim, job), Some(Outcome::Complete));
        }
        let starts: usize = sim.runners.values().map(|runner| runner.starts).sum();
        assert_eq!(starts, 16 + 16 + 30, "each task ran once");
        assert!(!sim.actions.iter().any(|action| matches!(action, Action::Stop(..))));
    }
}
