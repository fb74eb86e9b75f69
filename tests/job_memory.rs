//! Tests of the limit on the memory of a cell's jobs.

#![allow(clippy::unwrap_used, clippy::expect_used)]

mod simulation;

use {
    carobhitch::job::{
        answer::Answer, cell::Sizes, ledger::Outcome, settings::Bounds, spec::Schedule,
    },
    simulation::{Simulation, spec, step},
    std::time::Duration,
};

/// Memory for four jobs of [`TASKS`] tasks.
fn bounds() -> Bounds {
    let job = spec(vec![step(TASKS, 1_000)]);
    Bounds { job_memory: Sizes::estimate(&job) * 4 + 100, ..Bounds::default() }
}

const TASKS: u32 = 50;
const SECOND: Duration = Duration::from_secs(1);

/// Submits jobs and returns whether each was accepted.
fn submit(sim: &mut Simulation, ids: impl IntoIterator<Item = u64>) -> Vec<bool> {
    let requests = ids.into_iter().map(|id| sim.submit(id, spec(vec![step(TASKS, 1_000)])));
    let requests: Vec<_> = requests.collect();
    sim.run(SECOND / 2);
    let answers = requests.iter().map(|request| &sim.answers[request]);
    answers.map(|answer| *answer == Answer::Accepted).collect()
}

#[test]
fn jobs_beyond_the_memory_are_refused_with_a_delay_and_never_run() {
    let mut sim = Simulation::with_bounds(1, bounds());
    assert_eq!(submit(&mut sim, 1..=6), [true, true, true, true, false, false]);
    let request = sim.submit(7, spec(vec![step(TASKS, 1_000)]));
    sim.run(SECOND / 2);
    let Answer::Refused { why, retry_after } = &sim.answers[&request] else {
        panic!("{:?}", sim.answers[&request]);
    };
    assert_eq!(why, "the memory for jobs is used up");
    assert!(*retry_after >= SECOND);
    assert!([5, 6, 7].iter().all(|id| !sim.cell.jobs().contains_key(id)));
    assert_eq!(sim.cell.sizes().refusals(), 3);
}

#[test]
fn a_job_that_is_known_is_accepted_again_without_memory() {
    let mut sim = Simulation::with_bounds(1, bounds());
    submit(&mut sim, 1..=6);
    assert_eq!(submit(&mut sim, [1, 4, 5]), [true, true, false]);
}

#[test]
fn ended_jobs_free_their_memory() {
    let mut sim = Simulation::with_bounds(40, bounds());
    assert_eq!(submit(&mut sim, 1..=5), [true, true, true, true, false]);
    sim.run(SECOND * 20);
    assert!((1..=4).all(|id| sim.cell.jobs()[&id].stored_outcome == Outcome::Complete));
    assert_eq!(submit(&mut sim, [5]), [true]);
    sim.run(SECOND * 200);
    assert_eq!(sim.cell.sizes().total_bytes(), 0, "no outcome is kept any more");
}

#[test]
fn cancelled_jobs_free_their_memory() {
    let mut sim = Simulation::with_bounds(1, bounds());
    submit(&mut sim, 1..=5);
    for id in 1..=4 {
        sim.cancel(id);
    }
    sim.run(SECOND * 5);
    assert_eq!(submit(&mut sim, [5]), [true]);
}

#[test]
fn a_new_owner_counts_the_jobs_that_it_takes_over() {
    let mut sim = Simulation::with_bounds(1, bounds());
    submit(&mut sim, 1..=4);
    let before = sim.cell.sizes().total_bytes();
    sim.take_over();
    assert_eq!(sim.cell.sizes().total_bytes(), before);
    assert_eq!(submit(&mut sim, [5]), [false]);
}

#[test]
fn a_new_owner_with_less_memory_keeps_every_accepted_job() {
    let mut sim = Simulation::with_bounds(40, bounds());
    submit(&mut sim, 1..=4);
    sim.bounds.job_memory /= 2;
    sim.take_over();
    assert_eq!(submit(&mut sim, [5]), [false]);
    sim.run(SECOND * 20);
    assert!((1..=4).all(|id| sim.cell.jobs()[&id].stored_outcome == Outcome::Complete));
    assert_eq!(submit(&mut sim, [5]), [true]);
}

#[test]
fn submissions_refused_while_the_store_is_away_hold_no_memory() {
    let mut sim = Simulation::with_bounds(1, bounds());
    sim.store_down = true;
    let requests: Vec<_> =
        (1..=4).map(|id| sim.submit(id, spec(vec![step(TASKS, 1_000)]))).collect();
    sim.cell.refuse_unstored(sim.instant(), "the ledger does not answer", SECOND);
    sim.store_down = false;
    sim.run(SECOND / 2);
    assert!(requests.iter().all(|request| sim.answers[request] != Answer::Accepted));
    assert_eq!(sim.cell.sizes().total_bytes(), 0);
    assert_eq!(submit(&mut sim, 5..=8), [true; 4]);
}

#[test]
fn occurrences_count_and_no_estimate_overflows() {
    let once = spec(vec![step(TASKS, 1_000)]);
    let mut often = once.clone();
    often.schedule = Some(Schedule { first_ms: 0, interval_ms: 1, times: 3 });
    let grown = Sizes::estimate(&often) - Sizes::estimate(&once);
    assert!(grown >= Sizes::estimate(&once) / 2);
    often.schedule = Some(Schedule { first_ms: 0, interval_ms: 1, times: u32::MAX });
    assert!(Sizes::estimate(&often) > 1 << 30);
}
