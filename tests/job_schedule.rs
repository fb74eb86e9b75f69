//! Scheduled jobs, whose steps run at given times of day.
//!
//! The time of day may jump, and the owner may change between two occurrences; each occurrence must
//! still start once.

#![allow(clippy::unwrap_used)]

mod simulation;

use {
    carobhitch::job::{
        answer::Answer,
        cell::Action,
        ledger::Outcome,
        spec::{Schedule, Spec},
    },
    simulation::{Simulation, spec, step},
    std::time::Duration,
};

const JOB: u64 = 7;

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

/// Job of one step that runs `times` times, first in 2 s, then every `interval_ms`.
fn scheduled(sim: &Simulation, interval_ms: u64, times: u32) -> Spec {
    let schedule = Schedule { first_ms: sim.wall_ms() + 2_000, interval_ms, times };
    Spec { schedule: Some(schedule), ..spec(vec![step(2, 1_000)]) }
}

/// Occurrence of each task that was started.
fn started(sim: &Simulation) -> Vec<u32> {
    let occurrence = |action: &Action| match action {
        Action::Start(_, start) if start.task.job == JOB => Some(start.task.occurrence),
        _ => None,
    };
    sim.actions.iter().filter_map(occurrence).collect()
}

fn outcome(sim: &mut Simulation) -> Option<Outcome> {
    let request = sim.query(JOB);
    sim.run(seconds(0.1));
    match sim.answers[&request] {
        Answer::State { outcome, .. } => Some(outcome),
        _ => None,
    }
}

#[test]
fn each_occurrence_starts_at_its_time_and_the_job_is_complete_after_the_last() {
    let mut sim = Simulation::new(1);
    let accepted = sim.submit(JOB, scheduled(&sim, 3_000, 2));
    sim.run(seconds(1.9));
    assert_eq!((&sim.answers[&accepted], started(&sim)), (&Answer::Accepted, vec![]));
    sim.run(seconds(0.3));
    assert_eq!(started(&sim), [0, 0]);
    sim.run(seconds(2.7));
    assert_eq!(started(&sim), [0, 0], "the second is due in 0.1 s");
    assert_eq!(outcome(&mut sim), Some(Outcome::Open));
    sim.run(seconds(2.0));
    assert_eq!(started(&sim), [0, 0, 1, 1]);
    assert_eq!(outcome(&mut sim), Some(Outcome::Complete));
}

#[test]
fn occurrences_may_overlap() {
    let mut sim = Simulation::new(1);
    sim.run_time = seconds(4.0);
    sim.submit(JOB, scheduled(&sim, 500, 4));
    sim.run(seconds(3.8));
    assert_eq!(sim.runners["r0"].running.len(), 8);
    sim.run(seconds(4.5));
    assert_eq!(outcome(&mut sim), Some(Outcome::Complete));
}

#[test]
fn a_new_owner_continues_the_schedule() {
    let mut sim = Simulation::new(1);
    sim.submit(JOB, scheduled(&sim, 2_000, 3));
    sim.run(seconds(2.5));
    sim.take_over();
    sim.run(seconds(8.0));
    assert_eq!(started(&sim), [0, 0, 1, 1, 2, 2]);
    assert_eq!(outcome(&mut sim), Some(Outcome::Complete));
}

#[test]
fn a_time_of_day_that_jumps_back_starts_nothing_again() {
    let mut sim = Simulation::new(1);
    sim.submit(JOB, scheduled(&sim, 2_000, 2));
    sim.run(seconds(2.3));
    assert_eq!(started(&sim), [0, 0]);
    sim.clock_jump_ms = -3_000;
    sim.run(seconds(4.0));
    assert_eq!(started(&sim), [0, 0]);
    sim.run(seconds(3.0));
    assert_eq!(started(&sim), [0, 0, 1, 1]);
}

#[test]
fn a_cancelled_schedule_starts_nothing_more() {
    let mut sim = Simulation::new(1);
    sim.submit(JOB, scheduled(&sim, 1_000, 5));
    sim.run(seconds(2.5));
    sim.cancel(JOB);
    sim.run(seconds(5.0));
    assert_eq!(started(&sim), [0, 0]);
    assert_eq!(outcome(&mut sim), Some(Outcome::Cancelled));
}
