//! Runners that restart under their names, unseen by the owner: which ends are acknowledged to them, and
//! what becomes of the runs that the new incarnation has begun.
//!
//! The simulated runners number their ends from 1 in each incarnation, and check that no task is started
//! after a run of it was done.

#![allow(clippy::unwrap_used)]

mod simulation;

use {
    carobhitch::job::{
        cell::{Action, CrashEvent},
        ledger::Outcome,
        spec::{Step, Task},
    },
    simulation::{MILLICORES, STEP, Simulation, spec, step},
    std::time::Duration,
};

/// A step whose tasks take a whole runner each.
fn whole_runners(tasks: u32) -> Vec<Step> {
    vec![step(tasks, MILLICORES)]
}

/// Two runners on which so many tasks have ended that the numbers of their ends are higher than those of
/// an incarnation that has just started.
fn runners_with_ends() -> Simulation {
    let mut sim = Simulation::new(2);
    sim.long_polls = true;
    sim.run_time = Duration::from_millis(200);
    for id in 1..4 {
        sim.submit(id, spec(whole_runners(2)));
        sim.run(Duration::from_secs(1));
    }
    assert_eq!(sim.done.len(), 6);
    sim
}

/// Lets the owner read the registration of a runner's new incarnation.
fn list(sim: &mut Simulation, id: &str) {
    let (now, registration) = (sim.instant(), sim.registration(id));
    sim.cell.update_registration(now, id, Some(registration));
}

/// Checks that a job of two tasks completes with no run beyond `starts`.
fn completes_with(sim: &mut Simulation, id: u64, starts: usize) {
    sim.run(Duration::from_secs(5));
    assert_eq!(sim.cell.jobs()[&id].stored_outcome, Outcome::Complete);
    let of_job = |action: &&Action| matches!(action, Action::Start(_, s) if s.task.job == id);
    assert_eq!(sim.actions.iter().filter(of_job).count(), starts);
}

/// Guards against a task that runs again after it was done: the end that a new incarnation reports first
/// has a number that its former one has used, and was acknowledged by that.
#[test]
fn an_end_of_an_incarnation_is_not_acknowledged_to_the_next_one() {
    for steps in 0..20 {
        let mut sim = runners_with_ends();
        sim.restart("r0");
        sim.submit(9, spec(whole_runners(2)));
        sim.run(STEP * steps);
        list(&mut sim, "r0");
        completes_with(&mut sim, 9, 2);
    }
}

/// The same where the owner never reads the registration of the new incarnation.
#[test]
fn a_restart_that_only_reports_show_makes_no_task_run_again() {
    let mut sim = runners_with_ends();
    sim.restart("r0");
    sim.submit(9, spec(whole_runners(2)));
    completes_with(&mut sim, 9, 2);
}

/// The same where the ends of the former incarnation are stored only after the restart.
#[test]
fn an_end_that_is_stored_after_a_restart_is_not_acknowledged_to_the_next_incarnation() {
    for steps in 0..20 {
        let mut sim = runners_with_ends();
        sim.submit(8, spec(vec![step(1, 1_000), step(1, 1_000)]));
        sim.run(Duration::from_millis(100));
        sim.store_down = true;
        sim.run(Duration::from_millis(300));
        sim.restart("r0");
        sim.restart("r1");
        sim.store_down = false;
        sim.submit(9, spec(whole_runners(2)));
        sim.run(STEP * steps);
        list(&mut sim, "r0");
        list(&mut sim, "r1");
        completes_with(&mut sim, 9, 2);
    }
}

/// The same where the answer to the start is lost that the new incarnation carries out.
#[test]
fn an_end_of_a_start_without_an_answer_is_not_acknowledged_unread() {
    for steps in 0..20 {
        let mut sim = runners_with_ends();
        sim.restart("r0");
        sim.runners["r0"].loses_answers = true;
        sim.submit(9, spec(whole_runners(2)));
        sim.run(STEP * steps);
        sim.runners["r0"].loses_answers = false;
        list(&mut sim, "r0");
        sim.run(Duration::from_secs(5));
        assert_eq!(sim.cell.jobs()[&9].stored_outcome, Outcome::Complete);
    }
}

/// The same where another owner takes over before, or after the restart.
#[test]
fn a_new_owner_acknowledges_no_end_of_a_former_incarnation() {
    for steps in 0..20 {
        let mut sim = runners_with_ends();
        if steps % 2 == 0 {
            sim.take_over();
            sim.run(Duration::from_millis(100));
            sim.submit(8, spec(whole_runners(2)));
            sim.run(Duration::from_secs(1));
        }
        sim.restart("r0");
        sim.submit(9, spec(whole_runners(2)));
        sim.run(STEP * steps);
        if steps % 2 == 1 {
            sim.take_over();
        } else {
            list(&mut sim, "r0");
        }
        completes_with(&mut sim, 9, 2);
    }
}

/// The same where the runner restarts again and again.
#[test]
fn a_runner_that_restarts_repeatedly_makes_no_task_run_again() {
    for steps in 0..20 {
        let mut sim = runners_with_ends();
        for round in 0..4 {
            sim.restart("r0");
            sim.submit(9 + round, spec(whole_runners(2)));
            sim.run(STEP * steps);
            if round % 2 == 0 {
                list(&mut sim, "r0");
            }
            completes_with(&mut sim, 9 + round, 2);
        }
    }
}

/// Guards against a second run beside the first: a report that shows a restart says nothing about a run
/// whose start the new incarnation has carried out after that report.
#[test]
fn a_report_that_shows_a_restart_loses_no_run_that_began_after_it() {
    let mut sim = runners_with_ends();
    sim.run_time = Duration::from_secs(2);
    sim.restart("r0");
    sim.submit(9, spec(whole_runners(2)));
    // The answer to the start overtakes that to the poll, which was sent first.
    sim.long_polls = false;
    sim.overtaken_polls = true;
    sim.run(Duration::from_millis(100));
    sim.overtaken_polls = false;
    completes_with(&mut sim, 9, 2);
    let runs = |index| sim.runs(Task { job: 9, occurrence: 0, step: 0, index }).len();
    assert_eq!(runs(0) + runs(1), 0);
}

/// Guards against an acknowledgement while the answer to a start is outstanding that the new incarnation
/// has carried out already: the ledger stores an end of the former incarnation late.
#[test]
fn no_end_is_acknowledged_while_the_answer_to_an_earlier_start_is_outstanding() {
    let mut sim = Simulation::new(1);
    sim.long_polls = true;
    sim.run_time = Duration::from_millis(200);
    sim.submit(8, spec(vec![step(1, 1_000)]));
    sim.run(Duration::from_millis(160));
    sim.store_down = true;
    sim.submit(9, spec(vec![step(1, 1_000)]));
    sim.run(Duration::from_millis(100));
    sim.restart("r0");
    sim.runners["r0"].order_delay = Some(STEP);
    sim.run_time = STEP;
    // The ledger stores the placement of the second task, but not yet the end of the first one.
    sim.store_down = false;
    sim.commit();
    sim.store_down = true;
    sim.run(Duration::from_millis(100));
    assert_eq!(sim.runners["r0"].end_count, 1);
    sim.runners["r0"].order_delay = None;
    sim.store_down = false;
    completes_with(&mut sim, 9, 1);
}

/// Guards against a poll that a later incarnation carries out, seconds after it was sent to the former
/// one: it carries the number of an end of the former one.
#[test]
fn a_poll_that_the_next_incarnation_carries_out_late_has_it_discard_nothing() {
    for steps in 0..40 {
        let mut sim = runners_with_ends();
        sim.submit(8, spec(whole_runners(2)));
        // The poll that acknowledges the end of this task is the one that is late.
        sim.run(Duration::from_millis(160));
        sim.runners["r0"].poll_delay = Some(Duration::from_millis(1_500));
        sim.run(Duration::from_millis(160));
        sim.runners["r0"].poll_delay = None;
        sim.run(Duration::from_millis(200));
        sim.restart("r0");
        sim.run(Duration::from_millis(500));
        list(&mut sim, "r0");
        sim.run(STEP * (steps + 1));
        sim.submit(9, spec(whole_runners(2)));
        completes_with(&mut sim, 9, 2);
    }
}

/// Guards against a start that a later incarnation carries out, seconds after it was sent to the former one.
#[test]
fn a_restarted_runner_rejects_calls_to_its_former_incarnation() {
    let mut sim = runners_with_ends();
    let before = sim.cell.workers()["r0"].fence;
    sim.restart("r0");
    list(&mut sim, "r0");
    sim.run(Duration::from_millis(100));
    let worker = &sim.cell.workers()["r0"];
    assert!(worker.fence > before && worker.fence_accepted);
    assert_eq!(sim.runners["r0"].fence, worker.fence);
    assert!(!sim.cell.is_superseded());
    sim.take_over();
    sim.submit(9, spec(whole_runners(2)));
    completes_with(&mut sim, 9, 2);
}

/// Guards against a runner that is not polled while starts follow one another: a poll waits for the answer
/// to a start for a bounded time.
#[test]
fn a_poll_that_could_acknowledge_is_deferred_for_a_bounded_time() {
    let mut sim = Simulation::new(1);
    sim.run_time = Duration::from_millis(60);
    sim.submit(1, spec(vec![step(1, 100)]));
    sim.run(Duration::from_millis(60));
    sim.runners["r0"].order_delay = Some(Duration::from_millis(100));
    let before = sim.actions.len();
    for id in 2..40 {
        sim.submit(id, spec(vec![step(1, 100)]));
        sim.run(STEP);
    }
    let polls = sim.actions[before..].iter().filter(|action| matches!(action, Action::Poll(..)));
    assert!(polls.count() >= 4, "a runner is polled while starts are outstanding");
    sim.runners["r0"].order_delay = None;
    sim.run(Duration::from_secs(20));
    assert!((1..40).all(|id| sim.cell.jobs()[&id].stored_outcome == Outcome::Complete));
}

/// The owner logs and counts that a runner has restarted, and no end goes unread.
#[test]
fn restarts_are_counted() {
    let mut sim = runners_with_ends();
    sim.restart("r0");
    sim.submit(9, spec(whole_runners(2)));
    completes_with(&mut sim, 9, 2);
    assert!(sim.events.contains(&CrashEvent::Restarted));
    assert!(!sim.events.contains(&CrashEvent::EndsMissing));
}
