//! What the owner of a cell promises callers and runners, event by event.

#![allow(clippy::unwrap_used)]

mod world;

use {
    carobhitch::job::{
        answer::Answer,
        cell::{Action, LEASE, RENEWING},
        ledger::Outcome,
        spec::{Step, Task},
    },
    std::time::Duration,
    world::{MILLICORES, World, manifest, spec, step},
};

const JOB: u64 = 0x5c0e_7a21_d94b_36f8;

fn task(step: u16, index: u16) -> Task {
    Task { job: JOB, occurrence: 0, step, index }
}

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

fn starts(world: &World) -> usize {
    world.sent.iter().filter(|action| matches!(action, Action::Start(..))).count()
}

fn endless(tasks: u32, per_runner: u32, max_unavailable: u32) -> Step {
    Step { endless: true, per_runner, max_unavailable, ..step(tasks, 1_000) }
}

#[test]
fn a_job_runs_its_steps_in_order_and_is_shown_complete() {
    let mut world = World::new(2);
    let second = Step { after: vec![0], ..step(3, 1_000) };
    let submitted = world.submit(JOB, spec(vec![step(4, 2_000), second]));
    world.run(seconds(0.5));
    assert_eq!(world.answers[&submitted], Answer::Accepted);
    assert_eq!(starts(&world), 4, "the second step waits for the first");
    world.run(seconds(3.0));
    let asked = world.ask(JOB);
    world.run(seconds(0.1));
    let complete = Answer::State { outcome: Outcome::Complete, started: true };
    assert_eq!(world.answers[&asked], complete);
    assert_eq!(world.done.len(), 7);
}

#[test]
fn a_start_is_sent_only_after_the_ledger_has_stored_it() {
    let mut world = World::new(1);
    world.store_away = true;
    let submitted = world.submit(JOB, spec(vec![step(1, 1_000)]));
    world.run(seconds(0.5));
    assert_eq!(starts(&world), 0);
    assert!(!world.answers.contains_key(&submitted));
    world.store_away = false;
    world.run(seconds(0.1));
    assert_eq!(starts(&world), 1);
    assert_eq!(world.answers[&submitted], Answer::Accepted);
}

#[test]
fn a_job_is_shown_complete_only_after_the_ledger_has_stored_its_ends() {
    let mut world = World::new(1);
    world.submit(JOB, spec(vec![step(1, 1_000)]));
    world.run(seconds(0.5));
    world.store_away = true;
    world.run(seconds(1.5));
    assert_eq!(world.done.len(), 1);
    let asked = world.ask(JOB);
    world.run(seconds(0.1));
    assert_eq!(world.answers[&asked], Answer::State { outcome: Outcome::Open, started: true });
    assert_eq!(world.lives["r0"].ended.len(), 1, "the runner still lists the end");
    world.store_away = false;
    world.run(seconds(0.5));
    assert!(world.lives["r0"].ended.is_empty());
    let asked = world.ask(JOB);
    world.run(seconds(0.1));
    assert_eq!(world.answers[&asked], Answer::State { outcome: Outcome::Complete, started: true });
}

#[test]
fn a_refused_job_never_runs() {
    let mut world = World::new(1);
    world.submit(1, spec(vec![step(1, 1_000)]));
    world.store_away = true;
    world.run(seconds(0.1));
    let refused = world.submit(JOB, spec(vec![step(1, 1_000)]));
    let now = world.at();
    world.cell.refuse_unstored(now, "the ledger does not answer", seconds(2.0));
    world.carry_out();
    let Answer::Refused { retry_after, .. } = &world.answers[&refused] else { panic!("refused") };
    assert_eq!(*retry_after, seconds(2.0), "as long as the ledger has been missing");
    world.store_away = false;
    world.run(seconds(3.0));
    assert!(world.done.iter().all(|task| task.job != JOB));
    let asked = world.ask(JOB);
    world.run(seconds(0.1));
    assert_eq!(world.answers[&asked], Answer::NoJob);
}

#[test]
fn a_job_submitted_twice_stays_one_job() {
    let mut world = World::new(1);
    let first = world.submit(JOB, spec(vec![step(1, 1_000)]));
    let second = world.submit(JOB, spec(vec![step(1, 1_000)]));
    world.run(seconds(3.0));
    assert_eq!(world.answers[&first], Answer::Accepted);
    assert_eq!(world.answers[&second], Answer::Accepted);
    let third = world.submit(JOB, spec(vec![step(1, 1_000)]));
    world.run(seconds(3.0));
    assert_eq!(world.answers[&third], Answer::Accepted);
    assert_eq!(world.done.len(), 1);
}

#[test]
fn an_unknown_job_is_denied_only_after_the_ledger_has_answered() {
    let mut world = World::new(1);
    world.store_away = true;
    let asked = world.ask(JOB);
    world.run(seconds(0.5));
    assert!(!world.answers.contains_key(&asked), "a newer owner may know the job");
    world.store_away = false;
    world.run(seconds(0.1));
    assert_eq!(world.answers[&asked], Answer::NoJob);
}

#[test]
fn a_cancelled_job_is_stopped_and_stays_cancelled_for_the_next_owner() {
    let mut world = World::new(2);
    world.submit(JOB, spec(vec![endless(3, 0, 0)]));
    world.run(seconds(0.5));
    let cancelled = world.cancel(JOB);
    world.run(seconds(0.5));
    assert_eq!(world.answers[&cancelled], Answer::Cancelled);
    assert!(world.lives.values().all(|life| life.running.is_empty()));
    world.take_over();
    world.run(seconds(2.0));
    assert!(world.lives.values().all(|life| life.running.is_empty()));
    let asked = world.ask(JOB);
    world.run(seconds(0.1));
    assert!(matches!(world.answers[&asked], Answer::State { outcome: Outcome::Cancelled, .. }));
}

#[test]
fn a_new_owner_goes_on_with_what_runs_and_starts_nothing_twice() {
    let mut world = World::new(3);
    let second = Step { after: vec![0], ..step(4, 3_000) };
    world.submit(JOB, spec(vec![step(6, 2_000), second]));
    world.run(seconds(0.6));
    world.take_over();
    world.run(seconds(0.8));
    world.take_over();
    world.run(seconds(4.0));
    assert_eq!(world.done.len(), 10);
}

#[test]
fn a_start_without_an_answer_is_found_running_and_not_repeated() {
    let mut world = World::new(1);
    world.lives[0].loses_answers = true;
    world.submit(JOB, spec(vec![step(2, 1_000)]));
    world.run(seconds(3.0));
    assert_eq!(world.done.len(), 2);
    assert_eq!(starts(&world), 2);
}

#[test]
fn tasks_of_a_silent_runner_start_elsewhere_once_its_lease_has_lapsed() {
    let mut world = World::new(2);
    world.run_time = seconds(30.0);
    world.submit(JOB, spec(vec![step(1, 1_000)]));
    world.run(seconds(0.5));
    let first = world.runs(task(0, 0)).remove(0);
    world.lives[&first].silent = true;
    world.run(LEASE / 2);
    assert_eq!(starts(&world), 1, "the task may still run there");
    world.run(LEASE);
    assert_eq!(starts(&world), 2, "looks without an answer must not extend the lease");
}

#[test]
fn an_older_registration_of_a_vm_ends_no_newer_life() {
    let mut world = World::new(1);
    world.run_time = seconds(30.0);
    world.add("r-new", "desk", "m0", 7);
    world.lives["r0"].silent = true;
    world.run(seconds(0.3));
    world.submit(JOB, spec(vec![step(1, 1_000)]));
    world.run(seconds(0.3));
    assert_eq!(world.runs(task(0, 0)), ["r-new"]);
    world.take_over();
    let (now, stale) = (world.at(), world.entry("r0"));
    world.cell.list(now, "r0", Some(stale));
    world.run(LEASE * 2);
    assert_eq!(world.runs(task(0, 0)), ["r-new"]);
    assert_eq!(world.lives["r-new"].starts, 1);
}

#[test]
fn a_runner_born_again_under_its_name_inherits_nothing() {
    let mut world = World::new(1);
    world.run_time = seconds(2.0);
    world.submit(JOB, spec(vec![step(1, 1_000)]));
    world.run(seconds(0.5));
    let life = &mut world.lives["r0"];
    *life = world::Life { born: 9, running: Default::default(), ..life.clone() };
    life.ended.clear();
    life.highest.clear();
    life.used = 0;
    life.fence = 0;
    life.ends = 0;
    world.run(seconds(5.0));
    assert_eq!(world.done.len(), 1);
}

#[test]
fn an_owner_that_a_runner_has_seen_replaced_gives_up() {
    let mut world = World::new(1);
    world.lives["r0"].fence = 5;
    world.submit(JOB, spec(vec![step(1, 1_000)]));
    world.run(seconds(0.5));
    assert!(world.cell.deposed());
}

#[test]
fn a_runner_never_gets_more_than_it_has_room_for() {
    let mut world = World::new(2);
    for id in 0..20 {
        world.submit(id, spec(vec![step(5, MILLICORES / 3)]));
    }
    world.run(seconds(60.0));
    assert_eq!(world.done.len(), 100);
}

#[test]
fn a_task_that_fails_all_attempts_fails_its_job_and_stops_the_others() {
    let mut world = World::new(1);
    world.fails = true;
    world.submit(JOB, spec(vec![step(1, 1_000), Step { after: vec![0], ..step(1, 1_000) }]));
    world.run(seconds(12.0));
    let asked = world.ask(JOB);
    world.run(seconds(0.1));
    assert_eq!(world.answers[&asked], Answer::State { outcome: Outcome::Failed, started: true });
    assert_eq!(starts(&world), 2, "two attempts are allowed");
}

#[test]
fn a_manifest_never_goes_back_not_even_for_the_next_owner() {
    let mut world = World::new(1);
    world.cell.declare(manifest(9));
    world.run(seconds(0.1));
    world.cell.declare(manifest(4));
    world.run(seconds(0.1));
    assert_eq!(world.cell.manifest().version, 9);
    world.take_over();
    assert_eq!(world.cell.manifest().version, 9);
}

#[test]
fn a_large_task_is_not_starved_by_small_ones() {
    let mut world = World::new(1);
    world.submit(1, spec(vec![step(2, 8_000)]));
    world.run(seconds(0.2));
    world.submit(JOB, spec(vec![step(1, MILLICORES)]));
    for id in 10..20 {
        world.submit(id, spec(vec![step(1, 4_000)]));
        world.run(seconds(0.3));
    }
    assert!(world.done.contains(&task(0, 0)));
}

#[test]
fn fillers_give_way_to_a_task_that_misses_its_latency_objective() {
    let mut world = World::new(1);
    let objective = Duration::from_millis(100);
    let serving = Step { latency_target: objective, ..endless(1, 0, 0) };
    world.submit(1, spec(vec![serving]));
    world.submit(2, spec(vec![Step { filler: true, ..endless(1, 0, 0) }]));
    world.run(seconds(3.0));
    world.tail_ms = 150;
    world.run(seconds(2.0));
    let slowed = |action: &Action| matches!(action, Action::Pace(_, task, _, 0) if task.job == 2);
    assert!(world.sent.iter().any(slowed), "the filler works on beside it");
    world.tail_ms = 20;
    world.run(seconds(12.0));
    assert_eq!(world.cell.workers()["r0"].pace, 100, "it comes back");
}

#[test]
fn a_task_that_failed_is_tried_on_another_runner() {
    let mut world = World::new(2);
    world.fails = true;
    world.submit(JOB, spec(vec![step(1, 1_000)]));
    world.run(seconds(4.0));
    let runner = |action: &Action| match action {
        Action::Start(runner, _) => Some(runner.clone()),
        _ => None,
    };
    let runners: Vec<_> = world.sent.iter().filter_map(runner).collect();
    assert_eq!(runners.len(), 2);
    assert_ne!(runners[0], runners[1], "the runner may be to blame");
}

#[test]
fn an_owner_that_slept_counts_jobs_only_after_the_ledger_has_confirmed_it() {
    let mut world = World::new(0);
    world.submit(JOB, spec(vec![step(1, 1_000)]));
    world.run(seconds(0.2));
    let counted = world.count();
    world.carry_out();
    assert_eq!(world.answers[&counted], Answer::Pending(1), "it has just been confirmed");
    world.store_away = true;
    world.run(seconds(3.0));
    let counted = world.count();
    world.run(seconds(0.2));
    assert!(!world.answers.contains_key(&counted), "a newer owner may have accepted more");
    world.store_away = false;
    world.run(seconds(0.2));
    assert_eq!(world.answers[&counted], Answer::Pending(1));
}

#[test]
fn a_new_owner_counts_a_job_whose_start_was_never_sent_as_waiting() {
    let mut world = World::new(1);
    world.submit(JOB, spec(vec![step(1, 1_000)]));
    let now = world.at();
    world.cell.settle(now);
    let batch = world.cell.next_batch(now).unwrap();
    world.ledger.extend(batch.records.into_iter().map(|record| (record.key, record.value)));
    world.lives["r0"].silent = true;
    world.take_over();
    world.run(seconds(0.3));
    let counted = world.count();
    world.run(seconds(0.1));
    assert_eq!(world.answers[&counted], Answer::Pending(1));
}

#[test]
fn an_owner_that_the_ledger_does_not_confirm_stops_renewing_leases() {
    let mut world = World::new(1);
    world.run_time = seconds(60.0);
    world.submit(JOB, spec(vec![step(1, 1_000)]));
    world.run(seconds(0.5));
    world.store_away = true;
    world.run(RENEWING - seconds(0.5));
    assert_eq!(world.runs(task(0, 0)), ["r0"], "an outage of the store ends no run at once");
    world.run(LEASE * 2);
    assert!(
        world.runs(task(0, 0)).is_empty(),
        "a new owner that can't reach r0 starts it elsewhere"
    );
}

#[test]
fn an_owner_that_slept_renews_leases_only_after_it_was_confirmed_anew() {
    let mut world = World::new(1);
    world.run_time = seconds(60.0);
    world.submit(JOB, spec(vec![step(1, 1_000)]));
    world.run(seconds(0.5));
    world.carry_out();
    world.cell.unconfirm();
    world.store_away = true;
    let renewals = |world: &World| {
        let renews =
            |action: &&Action| matches!(action, Action::Look(_, hold) if hold.until_ms.is_some());
        world.sent.iter().filter(renews).count()
    };
    let before = renewals(&world);
    world.run(seconds(1.0));
    assert_eq!(renewals(&world), before, "another entry may own the cell");
    let now = world.at();
    world.cell.confirm(now);
    world.run(seconds(1.0));
    assert!(renewals(&world) > before);
}
