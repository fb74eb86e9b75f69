//! Jobs whose queue goes from the manifest while they are open: they run under the terms that were last
//! in force for it, also under later owners.

#![allow(clippy::unwrap_used)]

mod simulation;

use {
    carobhitch::job::{
        cell::Action,
        ledger::Outcome,
        manifest::{Advice, Manifest},
        spec::Step,
    },
    simulation::{Simulation, manifest, spec, step},
    std::time::Duration,
};

const JOB: u64 = 7;
const ATTEMPTS: u32 = 3;

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

/// Manifest whose queue `quotes` allows [`ATTEMPTS`] attempts.
fn with_queue(version: u64) -> Manifest {
    let mut manifest = manifest(version);
    manifest.queues[0].attempts = ATTEMPTS;
    manifest.queues[0].priority = 2;
    manifest
}

/// The same without the queue.
fn without_queue(version: u64) -> Manifest {
    let mut manifest = with_queue(version);
    manifest.queues.remove(0);
    manifest
}

/// A job runs whose queue has just gone.
fn queue_gone() -> Simulation {
    let mut sim = Simulation::new(2);
    sim.cell.update_manifest(with_queue(2));
    sim.run(seconds(0.2));
    sim.submit(JOB, spec(vec![step(2, 1_000)]));
    sim.run(seconds(0.3));
    sim.cell.update_manifest(without_queue(3));
    sim.run(seconds(0.2));
    sim
}

fn outcome(sim: &Simulation) -> Outcome {
    sim.cell.jobs()[&JOB].stored_outcome
}

/// Has the running runs of the job fail.
fn fail_once(sim: &mut Simulation) {
    sim.runs_fail = true;
    sim.run(seconds(0.8));
    sim.runs_fail = false;
}

/// Guards against a job that is shown as failed after one failed run, as its queue is away.
#[test]
fn a_job_whose_queue_is_away_keeps_its_attempts() {
    let mut sim = queue_gone();
    fail_once(&mut sim);
    assert_eq!(outcome(&sim), Outcome::Open);
    sim.cell.update_manifest(with_queue(4));
    sim.run(seconds(3.0));
    assert_eq!(outcome(&sim), Outcome::Complete);
}

/// Guards against attempts without end of a job whose queue never returns.
#[test]
fn a_job_whose_queue_is_away_for_good_fails_after_its_attempts() {
    let mut sim = queue_gone();
    sim.runs_fail = true;
    sim.run(seconds(20.0));
    assert_eq!(outcome(&sim), Outcome::Failed);
    let starts = sim.actions.iter().filter(|action| matches!(action, Action::Start(..))).count();
    assert!(starts <= 2 * ATTEMPTS as usize, "{starts} starts of two tasks");
}

/// The same under owners that never had a manifest with the queue.
#[test]
fn a_new_owner_knows_the_terms_of_a_queue_that_is_away() {
    let mut sim = queue_gone();
    for _ in 0..2 {
        sim.take_over();
        sim.run(seconds(0.1));
    }
    assert_eq!(sim.cell.jobs()[&JOB].priority, 2);
    fail_once(&mut sim);
    assert_eq!(outcome(&sim), Outcome::Open);
    sim.cell.update_manifest(without_queue(4));
    sim.take_over();
    sim.run(seconds(3.0));
    assert_eq!(outcome(&sim), Outcome::Complete);
}

/// The same for a job that is accepted while the ledger stores the manifest without its queue.
#[test]
fn a_job_that_is_accepted_while_its_queue_goes_keeps_its_attempts() {
    let mut sim = Simulation::new(2);
    sim.cell.update_manifest(with_queue(2));
    sim.run(seconds(0.2));
    sim.store_down = true;
    sim.cell.update_manifest(without_queue(3));
    sim.run(seconds(0.1));
    sim.submit(JOB, spec(vec![step(1, 1_000)]));
    sim.store_down = false;
    sim.run(seconds(0.3));
    sim.take_over();
    sim.run(seconds(0.1));
    fail_once(&mut sim);
    assert_eq!(outcome(&sim), Outcome::Open);
}

/// Guards against starts without a ticket, which runners reject, of a job whose queue is away.
#[test]
fn a_job_whose_queue_is_away_still_gets_tickets() {
    for takes_over in [false, true] {
        let mut sim = Simulation::new(2);
        let millis = Duration::from_millis;
        let advice = Advice { decide: millis(20), each: millis(5), valid: seconds(3.0) };
        let mut advised = with_queue(2);
        advised.queues[0].advice = Some(advice);
        sim.cell.update_manifest(advised);
        sim.advised_runners = vec!["r0".into(), "r1".into()];
        sim.run(seconds(0.2));
        sim.submit(JOB, spec(vec![step(1, 1_000), Step { after: vec![0], ..step(1, 1_000) }]));
        sim.run(seconds(0.3));
        sim.cell.update_manifest(without_queue(3));
        sim.run(seconds(0.2));
        if takes_over {
            sim.take_over();
        }
        sim.run(seconds(3.0));
        let tickets = sim.actions.iter().filter_map(|action| match action {
            Action::Start(_, start) => Some(start.ticket.clone()),
            _ => None,
        });
        assert!(tickets.clone().all(|ticket| !ticket.is_empty()));
        assert_eq!(tickets.count(), 2);
    }
}

/// Guards against terms that are kept for ever: those of a queue without open jobs are dropped.
#[test]
fn terms_are_kept_as_long_as_there_are_jobs_under_them() {
    let mut sim = queue_gone();
    let stored = |sim: &Simulation| sim.ledger.get("former-queues").map_or(0, Vec::len);
    assert!(stored(&sim) > 20);
    sim.run(seconds(3.0));
    assert_eq!(outcome(&sim), Outcome::Complete);
    sim.cell.update_manifest(without_queue(4));
    sim.run(seconds(0.2));
    assert!(stored(&sim) < 5);
}

/// Simulation with a runner of each of two services, of which `desk` is left by its runner once the queue
/// was moved to `other`. `away` says whether the queue is away in between.
fn moved_to_other_service(away: bool, step: Step) -> Simulation {
    let mut sim = Simulation::new(1);
    sim.add_runner("o0", "other", "n0", 1);
    sim.cell.update_manifest(with_queue(2));
    sim.run(seconds(0.2));
    sim.submit(JOB, spec(vec![step]));
    sim.run(seconds(0.3));
    if away {
        sim.cell.update_manifest(without_queue(3));
        sim.run(seconds(1.0));
    }
    let mut moved = with_queue(4);
    moved.queues[0].service = "other".into();
    sim.cell.update_manifest(moved);
    sim.run(seconds(0.2));
    sim
}

/// Has the runner of the former service leave.
fn leave(sim: &mut Simulation) {
    let now = sim.instant();
    sim.runners.swap_remove("r0");
    sim.cell.update_registration(now, "r0", None);
    sim.run(seconds(8.0));
}

/// Guards against accepted work that waits for good for runners of a service that its queue has left.
#[test]
fn accepted_work_moves_with_its_queue_to_another_service() {
    for (away, takes_over) in [(false, false), (true, false), (false, true), (true, true)] {
        let endless = Step { endless: true, ..step(2, 2_000) };
        let mut sim = moved_to_other_service(away, endless);
        assert_eq!(sim.runners["r0"].running.len(), 2, "what runs stays");
        if takes_over {
            sim.take_over();
        }
        leave(&mut sim);
        sim.run(seconds(4.0));
        assert_eq!(sim.runners["o0"].running.len(), 2);
    }
}

/// The same for work that has not started, and after the queue is away again.
#[test]
fn work_that_waits_follows_its_queue_and_stays_where_it_was_last() {
    let mut sim = moved_to_other_service(true, step(40, 1_000));
    sim.cell.update_manifest(without_queue(5));
    sim.run(seconds(0.2));
    sim.take_over();
    leave(&mut sim);
    sim.run(seconds(15.0));
    assert_eq!(outcome(&sim), Outcome::Complete);
}
