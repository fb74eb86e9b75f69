//! Guarantees of a cell's owner towards callers and runners, through failures of runners and of the
//! store, and through takeovers.
//!
//! An owner may end at any time, and the next one recovers from the ledger and the runners alone.
//! If a start, an answer or an acknowledgement is sent before the ledger has stored the change that
//! it results from, the next owner starts a task twice, or contradicts an answer that a caller got.

#![allow(clippy::unwrap_used)]

mod simulation;

use {
    carobhitch::job::{
        answer::Answer,
        cell::{Action, LEASE, RENEWAL_WINDOW},
        ledger::Outcome,
        spec::{Step, Task},
    },
    simulation::{MILLICORES, Simulation, manifest, spec, step},
    std::time::Duration,
};

const JOB: u64 = 0x5c0e_7a21_d94b_36f8;

fn task(step: u16, index: u16) -> Task {
    Task { job: JOB, occurrence: 0, step, index }
}

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

/// Number of starts that were sent.
fn starts(sim: &Simulation) -> usize {
    sim.actions.iter().filter(|action| matches!(action, Action::Start(..))).count()
}

fn endless(tasks: u32, per_runner: u32, max_unavailable: u32) -> Step {
    Step { endless: true, per_runner, max_unavailable, ..step(tasks, 1_000) }
}

#[test]
fn steps_run_in_order_and_the_job_becomes_complete() {
    let mut sim = Simulation::new(2);
    let second = Step { after: vec![0], ..step(3, 1_000) };
    let submitted = sim.submit(JOB, spec(vec![step(4, 2_000), second]));
    sim.run(seconds(0.5));
    assert_eq!(sim.answers[&submitted], Answer::Accepted);
    assert_eq!(starts(&sim), 4, "the second step waits for the first");
    sim.run(seconds(3.0));
    let asked = sim.query(JOB);
    sim.run(seconds(0.1));
    let complete = Answer::State { outcome: Outcome::Complete, started: true };
    assert_eq!(sim.answers[&asked], complete);
    assert_eq!(sim.done.len(), 7);
}

#[test]
fn a_start_is_sent_only_after_the_ledger_has_stored_it() {
    let mut sim = Simulation::new(1);
    sim.store_down = true;
    let submitted = sim.submit(JOB, spec(vec![step(1, 1_000)]));
    sim.run(seconds(0.5));
    assert_eq!(starts(&sim), 0);
    assert!(!sim.answers.contains_key(&submitted));
    sim.store_down = false;
    sim.run(seconds(0.1));
    assert_eq!(starts(&sim), 1);
    assert_eq!(sim.answers[&submitted], Answer::Accepted);
}

#[test]
fn a_job_is_reported_complete_only_after_the_ledger_has_stored_its_ends() {
    let mut sim = Simulation::new(1);
    sim.submit(JOB, spec(vec![step(1, 1_000)]));
    sim.run(seconds(0.5));
    sim.store_down = true;
    sim.run(seconds(1.5));
    assert_eq!(sim.done.len(), 1);
    let asked = sim.query(JOB);
    sim.run(seconds(0.1));
    assert_eq!(sim.answers[&asked], Answer::State { outcome: Outcome::Open, started: true });
    assert_eq!(sim.runners["r0"].ended.len(), 1, "the runner still lists the end");
    sim.store_down = false;
    sim.run(seconds(0.5));
    assert!(sim.runners["r0"].ended.is_empty());
    let asked = sim.query(JOB);
    sim.run(seconds(0.1));
    assert_eq!(sim.answers[&asked], Answer::State { outcome: Outcome::Complete, started: true });
}

#[test]
fn a_refused_job_never_runs() {
    let mut sim = Simulation::new(1);
    sim.submit(1, spec(vec![step(1, 1_000)]));
    sim.store_down = true;
    sim.run(seconds(0.1));
    let refused = sim.submit(JOB, spec(vec![step(1, 1_000)]));
    let now = sim.instant();
    sim.cell.refuse_unstored(now, "the ledger does not answer", seconds(2.0));
    sim.carry_out();
    let Answer::Refused { retry_after, .. } = &sim.answers[&refused] else { panic!("refused") };
    assert_eq!(*retry_after, seconds(2.0), "as long as the ledger has not answered");
    sim.store_down = false;
    sim.run(seconds(3.0));
    assert!(sim.done.iter().all(|task| task.job != JOB));
    let asked = sim.query(JOB);
    sim.run(seconds(0.1));
    assert_eq!(sim.answers[&asked], Answer::NoJob);
}

#[test]
fn a_job_submitted_twice_stays_one_job() {
    let mut sim = Simulation::new(1);
    let first = sim.submit(JOB, spec(vec![step(1, 1_000)]));
    let second = sim.submit(JOB, spec(vec![step(1, 1_000)]));
    sim.run(seconds(3.0));
    assert_eq!(sim.answers[&first], Answer::Accepted);
    assert_eq!(sim.answers[&second], Answer::Accepted);
    let third = sim.submit(JOB, spec(vec![step(1, 1_000)]));
    sim.run(seconds(3.0));
    assert_eq!(sim.answers[&third], Answer::Accepted);
    assert_eq!(sim.done.len(), 1);
}

#[test]
fn an_unknown_job_is_reported_only_after_the_ledger_has_answered() {
    let mut sim = Simulation::new(1);
    sim.store_down = true;
    let asked = sim.query(JOB);
    sim.run(seconds(0.5));
    assert!(!sim.answers.contains_key(&asked), "a newer owner may know the job");
    sim.store_down = false;
    sim.run(seconds(0.1));
    assert_eq!(sim.answers[&asked], Answer::NoJob);
}

#[test]
fn a_cancelled_job_is_stopped_and_stays_cancelled_for_the_next_owner() {
    let mut sim = Simulation::new(2);
    sim.submit(JOB, spec(vec![endless(3, 0, 0)]));
    sim.run(seconds(0.5));
    let cancelled = sim.cancel(JOB);
    sim.run(seconds(0.5));
    assert_eq!(sim.answers[&cancelled], Answer::Cancelled);
    assert!(sim.runners.values().all(|runner| runner.running.is_empty()));
    sim.take_over();
    sim.run(seconds(2.0));
    assert!(sim.runners.values().all(|runner| runner.running.is_empty()));
    let asked = sim.query(JOB);
    sim.run(seconds(0.1));
    assert!(matches!(sim.answers[&asked], Answer::State { outcome: Outcome::Cancelled, .. }));
}

#[test]
fn a_new_owner_keeps_running_tasks_and_starts_none_twice() {
    let mut sim = Simulation::new(3);
    let second = Step { after: vec![0], ..step(4, 3_000) };
    sim.submit(JOB, spec(vec![step(6, 2_000), second]));
    sim.run(seconds(0.6));
    sim.take_over();
    sim.run(seconds(0.8));
    sim.take_over();
    sim.run(seconds(4.0));
    assert_eq!(sim.done.len(), 10);
}

#[test]
fn an_unanswered_start_is_found_running_and_not_repeated() {
    let mut sim = Simulation::new(1);
    sim.runners[0].loses_answers = true;
    sim.submit(JOB, spec(vec![step(2, 1_000)]));
    sim.run(seconds(3.0));
    assert_eq!(sim.done.len(), 2);
    assert_eq!(starts(&sim), 2);
}

#[test]
fn tasks_of_an_unresponsive_runner_start_elsewhere_once_its_lease_has_expired() {
    let mut sim = Simulation::new(2);
    sim.run_time = seconds(30.0);
    sim.submit(JOB, spec(vec![step(1, 1_000)]));
    sim.run(seconds(0.5));
    let first = sim.runs(task(0, 0)).remove(0);
    sim.runners[&first].unresponsive = true;
    sim.run(LEASE / 2);
    assert_eq!(starts(&sim), 1, "the task may still run there");
    sim.run(LEASE);
    assert_eq!(starts(&sim), 2, "unanswered polls must not extend the lease");
}

#[test]
fn an_older_registration_of_a_vm_does_not_end_a_newer_incarnation() {
    let mut sim = Simulation::new(1);
    sim.run_time = seconds(30.0);
    sim.add_runner("r-new", "desk", "m0", 7);
    sim.runners["r0"].unresponsive = true;
    sim.run(seconds(0.3));
    sim.submit(JOB, spec(vec![step(1, 1_000)]));
    sim.run(seconds(0.3));
    assert_eq!(sim.runs(task(0, 0)), ["r-new"]);
    sim.take_over();
    let (now, outdated) = (sim.instant(), sim.registration("r0"));
    sim.cell.update_registration(now, "r0", Some(outdated));
    sim.run(LEASE * 2);
    assert_eq!(sim.runs(task(0, 0)), ["r-new"]);
    assert_eq!(sim.runners["r-new"].starts, 1);
}

#[test]
fn a_runner_restarted_under_its_name_keeps_no_tasks() {
    let mut sim = Simulation::new(1);
    sim.run_time = seconds(2.0);
    sim.submit(JOB, spec(vec![step(1, 1_000)]));
    sim.run(seconds(0.5));
    let runner = &mut sim.runners["r0"];
    *runner = simulation::Runner { incarnation: 9, running: Default::default(), ..runner.clone() };
    runner.ended.clear();
    runner.last_runs.clear();
    runner.used = 0;
    runner.fence = 0;
    runner.end_count = 0;
    sim.run(seconds(5.0));
    assert_eq!(sim.done.len(), 1);
}

#[test]
fn an_owner_whose_fence_a_runner_rejects_is_superseded() {
    let mut sim = Simulation::new(1);
    sim.runners["r0"].fence = 5;
    sim.submit(JOB, spec(vec![step(1, 1_000)]));
    sim.run(seconds(0.5));
    assert!(sim.cell.is_superseded());
}

#[test]
fn a_runner_never_gets_more_than_it_has_room_for() {
    let mut sim = Simulation::new(2);
    for id in 0..20 {
        sim.submit(id, spec(vec![step(5, MILLICORES / 3)]));
    }
    sim.run(seconds(60.0));
    assert_eq!(sim.done.len(), 100);
}

#[test]
fn a_task_that_fails_all_attempts_fails_its_job_and_stops_the_others() {
    let mut sim = Simulation::new(1);
    sim.runs_fail = true;
    sim.submit(JOB, spec(vec![step(1, 1_000), Step { after: vec![0], ..step(1, 1_000) }]));
    sim.run(seconds(12.0));
    let asked = sim.query(JOB);
    sim.run(seconds(0.1));
    assert_eq!(sim.answers[&asked], Answer::State { outcome: Outcome::Failed, started: true });
    assert_eq!(starts(&sim), 2, "two attempts are allowed");
}

#[test]
fn a_manifest_read_while_the_ledger_stores_another_is_in_force_only_once_it_is_stored() {
    let mut sim = Simulation::new(1);
    sim.store_down = true;
    sim.cell.update_manifest(manifest(4));
    sim.commit();
    sim.cell.update_manifest(manifest(5));
    sim.store_down = false;
    sim.commit();
    assert_eq!(sim.cell.manifest().version, 4, "5 is not stored yet");
    sim.commit();
    assert_eq!(sim.cell.manifest().version, 5);
    sim.take_over();
    assert_eq!(sim.cell.manifest().version, 5, "a new owner goes on with it");
}

#[test]
fn a_manifest_is_never_replaced_by_an_older_one_even_after_a_takeover() {
    let mut sim = Simulation::new(1);
    sim.cell.update_manifest(manifest(9));
    sim.run(seconds(0.1));
    sim.cell.update_manifest(manifest(4));
    sim.run(seconds(0.1));
    assert_eq!(sim.cell.manifest().version, 9);
    sim.take_over();
    assert_eq!(sim.cell.manifest().version, 9);
}

#[test]
fn a_large_task_is_not_starved_by_small_ones() {
    let mut sim = Simulation::new(1);
    sim.submit(1, spec(vec![step(2, 8_000)]));
    sim.run(seconds(0.2));
    sim.submit(JOB, spec(vec![step(1, MILLICORES)]));
    for id in 10..20 {
        sim.submit(id, spec(vec![step(1, 4_000)]));
        sim.run(seconds(0.3));
    }
    assert!(sim.done.contains(&task(0, 0)));
}

#[test]
fn fillers_are_slowed_beside_a_task_that_misses_its_latency_objective() {
    let mut sim = Simulation::new(1);
    let objective = Duration::from_millis(100);
    let serving = Step { latency_target: objective, ..endless(1, 0, 0) };
    sim.submit(1, spec(vec![serving]));
    sim.submit(2, spec(vec![Step { filler: true, ..endless(1, 0, 0) }]));
    sim.run(seconds(3.0));
    sim.tail_ms = 150;
    sim.run(seconds(2.0));
    let slowed = |action: &Action| matches!(action, Action::Pace(_, task, _, 0) if task.job == 2);
    assert!(sim.actions.iter().any(slowed), "the filler goes on at its full share");
    sim.tail_ms = 20;
    sim.run(seconds(12.0));
    assert_eq!(sim.cell.workers()["r0"].pace, 100, "its share is raised again");
}

#[test]
fn a_failed_task_is_retried_on_another_runner() {
    let mut sim = Simulation::new(2);
    sim.runs_fail = true;
    sim.submit(JOB, spec(vec![step(1, 1_000)]));
    sim.run(seconds(4.0));
    let runner = |action: &Action| match action {
        Action::Start(runner, _) => Some(runner.clone()),
        _ => None,
    };
    let runners: Vec<_> = sim.actions.iter().filter_map(runner).collect();
    assert_eq!(runners.len(), 2);
    assert_ne!(runners[0], runners[1], "the runner may be the cause");
}

#[test]
fn an_unconfirmed_owner_counts_jobs_only_after_the_ledger_has_answered() {
    let mut sim = Simulation::new(0);
    sim.submit(JOB, spec(vec![step(1, 1_000)]));
    sim.run(seconds(0.2));
    let counted = sim.count_pending();
    sim.carry_out();
    assert_eq!(sim.answers[&counted], Answer::Pending(1), "it has just been confirmed");
    sim.store_down = true;
    sim.run(seconds(3.0));
    let counted = sim.count_pending();
    sim.run(seconds(0.2));
    assert!(!sim.answers.contains_key(&counted), "a newer owner may have accepted more");
    sim.store_down = false;
    sim.run(seconds(0.2));
    assert_eq!(sim.answers[&counted], Answer::Pending(1));
}

#[test]
fn a_new_owner_counts_a_job_whose_start_was_never_sent_as_pending() {
    let mut sim = Simulation::new(1);
    sim.submit(JOB, spec(vec![step(1, 1_000)]));
    let now = sim.instant();
    sim.cell.handle_changes(now);
    let batch = sim.cell.next_batch(now).unwrap();
    sim.ledger.extend(batch.records.into_iter().map(|record| (record.key, record.value)));
    sim.runners["r0"].unresponsive = true;
    sim.take_over();
    sim.run(seconds(0.3));
    let counted = sim.count_pending();
    sim.run(seconds(0.1));
    assert_eq!(sim.answers[&counted], Answer::Pending(1));
}

#[test]
fn an_unconfirmed_owner_stops_renewing_leases() {
    let mut sim = Simulation::new(1);
    sim.run_time = seconds(60.0);
    sim.submit(JOB, spec(vec![step(1, 1_000)]));
    sim.run(seconds(0.5));
    sim.store_down = true;
    sim.run(RENEWAL_WINDOW - seconds(0.5));
    assert_eq!(sim.runs(task(0, 0)), ["r0"], "an outage of the store ends no run at once");
    sim.run(LEASE * 2);
    assert!(sim.runs(task(0, 0)).is_empty(), "a new owner that can't reach r0 starts it elsewhere");
}

#[test]
fn a_suspended_owner_renews_leases_only_after_a_new_confirmation() {
    let mut sim = Simulation::new(1);
    sim.run_time = seconds(60.0);
    sim.submit(JOB, spec(vec![step(1, 1_000)]));
    sim.run(seconds(0.5));
    sim.carry_out();
    sim.cell.clear_confirmation();
    sim.store_down = true;
    let renewals = |sim: &Simulation| {
        let renews =
            |action: &&Action| matches!(action, Action::Poll(_, poll) if poll.until_ms.is_some());
        sim.actions.iter().filter(renews).count()
    };
    let before = renewals(&sim);
    sim.run(seconds(1.0));
    assert_eq!(renewals(&sim), before, "another entry may own the cell");
    let now = sim.instant();
    sim.cell.confirm_ownership(now);
    sim.run(seconds(1.0));
    assert!(renewals(&sim) > before);
}

#[test]
fn a_repeat_of_a_job_whose_batch_is_in_flight_is_never_refused() {
    let mut sim = Simulation::new(1);
    sim.store_down = true;
    let first = sim.submit(JOB, spec(vec![step(1, 1_000)]));
    sim.run(seconds(0.1));
    let repeat = sim.submit(JOB, spec(vec![step(1, 1_000)]));
    let now = sim.instant();
    sim.cell.refuse_unstored(now, "the ledger does not answer", seconds(2.0));
    sim.carry_out();
    assert!(!sim.answers.contains_key(&repeat), "the batch in flight may still be stored");
    sim.store_down = false;
    sim.run(seconds(2.0));
    assert_eq!(sim.answers[&first], Answer::Accepted);
    assert_eq!(sim.answers[&repeat], Answer::Accepted);
    assert_eq!(sim.done.len(), 1);
}

#[test]
fn a_query_of_a_job_that_is_then_refused_says_that_there_is_no_such_job() {
    let mut sim = Simulation::new(1);
    sim.submit(1, spec(vec![step(1, 1_000)]));
    sim.store_down = true;
    sim.run(seconds(0.1));
    sim.submit(JOB, spec(vec![step(1, 1_000)]));
    let (queried, cancelled) = (sim.query(JOB), sim.cancel(JOB));
    let now = sim.instant();
    sim.cell.refuse_unstored(now, "the ledger does not answer", seconds(2.0));
    sim.store_down = false;
    sim.run(seconds(0.2));
    assert_eq!(sim.answers[&queried], Answer::NoJob);
    assert_eq!(sim.answers[&cancelled], Answer::NoJob);
}

/// Has a task succeed on `r0` while that runner is unresponsive, until its run is taken for lost and
/// the next run starts on `r1`.
fn lose_successful_run(sim: &mut Simulation) {
    sim.runners["r1"].unresponsive = true;
    sim.submit(JOB, spec(vec![step(1, 1_000)]));
    sim.run(seconds(0.3));
    assert_eq!(sim.runs(task(0, 0)), ["r0"]);
    sim.runners["r0"].unresponsive = true;
    sim.runners["r1"].unresponsive = false;
    sim.run(seconds(1.0));
    sim.run_time = seconds(20.0);
    sim.run(LEASE);
    assert_eq!(sim.runs(task(0, 0)), ["r1"]);
    sim.runners["r0"].unresponsive = false;
}

#[test]
fn the_late_success_of_a_lost_run_ends_its_task() {
    let mut sim = Simulation::new(2);
    lose_successful_run(&mut sim);
    sim.run(seconds(3.0));
    assert!(sim.runs(task(0, 0)).is_empty(), "the second run is no longer needed");
    assert_eq!(starts(&sim), 2, "no run follows one that has succeeded");
    let asked = sim.query(JOB);
    sim.run(seconds(0.1));
    assert_eq!(sim.answers[&asked], Answer::State { outcome: Outcome::Complete, started: true });
}

#[test]
fn the_late_success_of_a_lost_run_outlives_a_takeover() {
    let mut sim = Simulation::new(2);
    lose_successful_run(&mut sim);
    sim.run(seconds(0.04));
    sim.runners["r1"].unresponsive = true;
    sim.run(seconds(0.3));
    sim.take_over();
    sim.run(seconds(0.5));
    sim.runners["r1"].unresponsive = false;
    sim.run(seconds(12.0));
    assert!(sim.runs(task(0, 0)).is_empty());
    assert_eq!(starts(&sim), 2, "no run follows one that has succeeded");
}

/// Stops that are carried out while more tasks of the step than allowed are not running.
#[test]
fn the_stop_after_an_unanswered_start_ends_no_task_that_its_step_can_not_miss() {
    let mut sim = Simulation::new(4);
    for runner in ["r0", "r1"] {
        sim.runners[runner].order_delay = Some(seconds(1.5));
    }
    sim.submit(JOB, spec(vec![endless(4, 1, 1)]));
    sim.run(seconds(8.0));
    let stops = sim.actions.iter().filter(|action| matches!(action, Action::Stop(..))).count();
    assert_eq!(stops, 0, "both tasks were started late, and one may be unavailable");
    let carried_out: usize = sim.runners.values().map(|runner| runner.starts).sum();
    assert_eq!(carried_out, 4);
    let repeats = |action: &Action| matches!(action, Action::Start(_, start) if start.run > 1);
    assert!(!sim.actions.iter().any(repeats), "every task has one run");
}

#[test]
fn an_endless_task_whose_start_was_lost_is_started_again_once_the_start_has_expired() {
    let mut sim = Simulation::new(3);
    for runner in ["r0", "r1"] {
        sim.runners[runner].loses_starts = true;
    }
    sim.submit(JOB, spec(vec![endless(3, 1, 1)]));
    sim.run(seconds(1.0));
    for runner in ["r0", "r1"] {
        sim.runners[runner].loses_starts = false;
    }
    sim.run(LEASE + seconds(1.5));
    let running: usize = sim.runners.values().map(|runner| runner.running.len()).sum();
    assert_eq!(running, 3);
}

#[test]
fn no_endless_task_is_moved_off_a_runner_that_leaves_orders_unanswered() {
    let mut sim = Simulation::new(3);
    sim.submit(JOB, spec(vec![endless(2, 1, 1)]));
    sim.run(seconds(3.0));
    sim.update_vms();
    let runner = sim.runs(task(0, 0)).remove(0);
    sim.runners[&runner].order_delay = Some(seconds(1.5));
    sim.submit(2, spec(vec![step(1, 1_000)]));
    sim.run(seconds(0.3));
    for id in 3..20 {
        sim.submit(id, spec(vec![step(4, 3_000)]));
    }
    sim.run(seconds(1.2));
    let vm = sim.runners[&runner].vm.clone();
    let wave = carobhitch::job::upkeep::Request {
        number: 1,
        vms: vec![vm],
        within: seconds(20.0),
        max_at_once: 1,
    };
    let now = sim.instant();
    sim.cell.add_wave(now, wave);
    sim.run(seconds(0.5));
    let stopped = |action: &Action| matches!(action, Action::Stop(_, task, _) if task.job == JOB);
    assert!(!sim.actions.iter().any(stopped), "a stop may be carried out seconds later");
}

/// The owner is paused between the answer of the ledger and the sending of the start. A new owner that
/// can't reach the runner may have waited for the last possible lease and started the task elsewhere.
#[test]
fn a_start_whose_owner_was_paused_since_the_ledger_stored_it_is_not_sent() {
    let mut sim = Simulation::new(1);
    sim.store_down = true;
    sim.submit(JOB, spec(vec![step(1, 1_000)]));
    sim.run(seconds(0.1));
    assert!(sim.pending_batch.is_some(), "the batch with the start is in flight");
    sim.now += RENEWAL_WINDOW + LEASE;
    sim.store_down = false;
    sim.commit();
    let start = |action: &Action| matches!(action, Action::Start(..));
    assert!(!sim.cell.take_actions().iter().any(start), "the owner's permission has run out");
    sim.run(seconds(2.0));
    assert_eq!(sim.done.len(), 1, "once it is confirmed again, the task runs");
}

#[test]
fn a_job_stays_known_wherever_its_owner_ends_between_the_appends_of_its_outcome() {
    let mut sim = Simulation::new(1);
    sim.submit(7, spec(vec![step(1, 1_000)]));
    sim.run(Duration::from_millis(500));
    sim.store_down = true;
    sim.run(Duration::from_millis(1_500));
    let records = sim.pending_batch.take().unwrap();
    let before = sim.ledger.clone();
    for stored in 0..=records.len() {
        sim.ledger = before.clone();
        sim.ledger.extend(records[..stored].iter().map(|r| (r.key.clone(), r.value.clone())));
        sim.store_down = false;
        sim.take_over();
        let request = sim.query(7);
        sim.run(Duration::from_millis(400));
        let answer = sim.answers.get(&request);
        assert!(
            answer.is_some_and(|answer| *answer != Answer::NoJob),
            "{stored} stored: {answer:?}"
        );
    }
}
