//! Jobs and calls that can never succeed: they hold up nothing behind them.

#![allow(clippy::unwrap_used)]

mod simulation;

use {
    carobhitch::job::{
        answer::Answer,
        cell::Action,
        ledger::Outcome,
        manifest::Advice,
        runner::{self, Rejection},
        settings::Bounds,
        spec::{Spec, Step},
    },
    simulation::{MILLICORES, Simulation, manifest, spec, step},
    std::time::Duration,
};

const SECOND: Duration = Duration::from_secs(1);
/// Id of the job that is to complete.
const JOB: u64 = 500;

/// Endless step that only a runner with a label that none has may run.
fn unplaceable(tasks: u32) -> Step {
    Step { endless: true, label: "unknown".into(), ..step(tasks, 1_000) }
}

/// Starts of the jobs below [`JOB`].
fn starts(sim: &Simulation) -> usize {
    let is_start =
        |action: &&Action| matches!(action, Action::Start(_, start) if start.task.job < JOB);
    sim.actions.iter().filter(is_start).count()
}

fn is_complete(sim: &mut Simulation, id: u64) -> bool {
    let request = sim.query(id);
    sim.run(SECOND / 10);
    sim.answers[&request] == Answer::State { outcome: Outcome::Complete, started: true }
}

/// Submits jobs to the queue `quotes`, and then one of a single task, and lets time pass.
fn submit_before(sim: &mut Simulation, before: impl IntoIterator<Item = Spec>) {
    for (id, spec) in (0..).zip(before) {
        sim.submit(id, spec);
    }
    sim.run(SECOND / 2);
    sim.submit(JOB, spec(vec![step(1, 1_000)]));
    sim.run(SECOND * 5);
}

#[test]
fn jobs_that_no_runner_can_hold_keep_no_other_job_from_starting() {
    let mut sim = Simulation::new(3);
    submit_before(&mut sim, (0..40).map(|_| spec(vec![unplaceable(1)])));
    assert!(is_complete(&mut sim, JOB));
}

#[test]
fn a_gang_that_no_runners_can_hold_reserves_none() {
    let mut sim = Simulation::new(3);
    let gang = |step| spec(vec![Step { gang: true, ..step }]);
    let too_many = Step { endless: true, ..step(4, MILLICORES) };
    submit_before(&mut sim, [gang(unplaceable(9)), gang(too_many)]);
    assert!(is_complete(&mut sim, JOB));
}

#[test]
fn a_step_that_the_advisor_never_answers_about_keeps_no_other_step_from_its_tickets() {
    let mut sim = Simulation::new(3);
    let mut manifest = manifest(2);
    let millis = Duration::from_millis;
    let advice = Advice { decide: millis(20), each: millis(5), valid: SECOND * 3 };
    manifest.queues[0].advice = Some(advice);
    sim.cell.update_manifest(manifest);
    sim.advised_runners = vec!["r1".into()];
    sim.malformed_jobs.extend(0..20);
    sim.run(SECOND / 2);
    let endless = Step { endless: true, ..step(1, 500) };
    submit_before(&mut sim, (0..20).map(|_| spec(vec![endless.clone()])));
    assert!(is_complete(&mut sim, JOB));
    assert_eq!(starts(&sim), 0);
    sim.malformed_jobs.clear();
    sim.run(SECOND * 5);
    assert_eq!(starts(&sim), 20, "the advisor is asked again after some time");
}

#[test]
fn a_start_that_is_found_malformed_takes_no_runner_out_of_use() {
    let mut sim = Simulation::new(3);
    sim.malformed_jobs.insert(0);
    let endless = Step { endless: true, ..step(12, 1_000) };
    submit_before(&mut sim, [spec(vec![endless])]);
    assert!(is_complete(&mut sim, JOB));
    let before = starts(&sim);
    sim.run(SECOND * 20);
    let again = starts(&sim) - before;
    assert!((1..=12 * 20).contains(&again), "it is tried again now and then, {again} times");
}

#[test]
fn a_task_that_the_only_runner_rejects_starts_there_after_its_quarantine() {
    let mut sim = Simulation::new(1);
    sim.submit(JOB, spec(vec![step(1, 1_000)]));
    sim.commit();
    sim.runners["r0"].loses_starts = true;
    sim.run(SECOND / 10);
    let start = sim.unanswered.iter().find_map(|(_, action)| match action {
        Action::Start(id, start) => Some((id.clone(), start.task, start.run)),
        _ => None,
    });
    let ((id, task, run), now) = (start.unwrap(), sim.instant());
    sim.cell.start_answered(now, &id, task, run, runner::Answer::Rejected(Rejection::Room));
    sim.runners["r0"].loses_starts = false;
    sim.unanswered.retain(|(_, action)| !matches!(action, Action::Start(..)));
    sim.run(SECOND * 4);
    assert!(is_complete(&mut sim, JOB));
}

#[test]
fn a_job_whose_records_are_larger_than_the_store_accepts_is_kept_by_a_new_owner() {
    let bounds = Bounds { record_bytes: 2_000, ..Bounds::default() };
    let mut sim = Simulation::with_bounds(3, bounds);
    let step = Step { image: "x".repeat(10_000), ..step(1_000, 40) };
    sim.submit(JOB, spec(vec![step]));
    sim.run(SECOND / 2);
    let stored = sim.ledger.values().map(Vec::len).sum::<usize>();
    assert!(stored > 14_000, "{stored} bytes are stored");
    sim.take_over();
    sim.run(SECOND * 10);
    assert!(is_complete(&mut sim, JOB));
    assert_eq!(sim.done.len(), 1_000);
}
