//! Queues whose advisor names the runners that may run a step.

#![allow(clippy::unwrap_used)]

mod world;

use {
    carobhitch::job::{
        cell::Action,
        manifest::Advice,
        runner::{Answer, Rejection},
    },
    std::time::Duration,
    world::{MILLICORES, World, manifest, spec, step},
};

const VALID: Duration = Duration::from_secs(3);

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

/// A world whose first queue has an advisor that allows some runners.
fn advised(runners: usize, allowed: &[&str]) -> World {
    let mut world = World::new(runners);
    let mut manifest = manifest(2);
    let millis = Duration::from_millis;
    manifest.queues[0].advice = Some(Advice { decide: millis(20), each: millis(5), valid: VALID });
    world.cell.declare(manifest);
    world.allowed = allowed.iter().map(|id| String::from(*id)).collect();
    world.run(seconds(0.5));
    world
}

/// Runners and tickets of the starts sent.
fn starts(world: &World) -> Vec<(String, String)> {
    let start = |action: &Action| match action {
        Action::Start(id, start) => Some((id.to_string(), start.ticket.clone())),
        _ => None,
    };
    world.sent.iter().filter_map(start).collect()
}

fn calls(world: &World) -> usize {
    world.sent.iter().filter(|action| matches!(action, Action::Advise(..))).count()
}

#[test]
fn tasks_start_only_where_the_advisor_allows_it_and_carry_its_ticket() {
    let mut world = advised(4, &["r1", "r3"]);
    world.submit(7, spec(vec![step(6, 4_000)]));
    world.run(seconds(0.5));
    let started = starts(&world);
    assert_eq!(started.len(), 6);
    assert!(started.iter().all(|(id, _)| id == "r1" || id == "r3"), "{started:?}");
    assert!(started.iter().all(|(_, text)| text.contains("0000000000000007.0.0.0")));
    assert_eq!(calls(&world), 1, "what the advisor has said is not asked again");
}

#[test]
fn a_ticket_that_has_run_out_is_asked_for_anew() {
    let mut world = advised(1, &["r0"]);
    world.run_time = seconds(3.0);
    world.submit(7, spec(vec![step(2, MILLICORES)]));
    world.run(seconds(0.5));
    assert_eq!((starts(&world).len(), calls(&world)), (1, 1));
    world.run(seconds(3.5));
    assert_eq!((starts(&world).len(), calls(&world)), (2, 2));
}

#[test]
fn steps_of_a_job_have_tickets_of_their_own() {
    let mut world = advised(2, &["r0"]);
    let mut second = step(1, 1_000);
    second.after = vec![0];
    world.submit(7, spec(vec![step(1, 1_000), second]));
    world.run(seconds(3.0));
    let texts: Vec<String> = starts(&world).into_iter().map(|(_, text)| text).collect();
    assert_eq!(texts.len(), 2);
    assert_ne!(texts[0], texts[1]);
}

#[test]
fn a_job_whose_runners_are_all_refused_waits_without_asking_again() {
    let mut world = advised(2, &[]);
    world.submit(7, spec(vec![step(1, 1_000)]));
    world.run(seconds(5.0));
    assert_eq!((starts(&world).len(), calls(&world)), (0, 1));
    world.allowed = vec!["r9".into()];
    world.add("r9", "desk", "m9", 1);
    world.run(seconds(0.5));
    assert_eq!(starts(&world).len(), 1, "a new runner is asked about");
}

#[test]
fn a_ticket_that_a_runner_rejects_is_not_used_again() {
    let mut world = advised(1, &["r0"]);
    world.submit(7, spec(vec![step(1, 1_000)]));
    world.commit();
    world.lives["r0"].cut = true;
    world.run(seconds(0.2));
    let task = world.sent.iter().find_map(|action| match action {
        Action::Start(id, start) => Some((id.clone(), start.task, start.run)),
        _ => None,
    });
    let (id, task, run) = task.unwrap();
    let now = world.at();
    world.cell.start_answered(now, &id, task, run, Answer::Rejected(Rejection::Ticket));
    world.lives["r0"].cut = false;
    world.unheard.clear();
    world.run(seconds(1.0));
    assert_eq!(calls(&world), 2);
}

#[test]
fn jobs_of_other_queues_need_no_tickets() {
    let mut world = advised(0, &[]);
    world.add("o0", "other", "m-o0", 1);
    world.submit_to("checks", 7, spec(vec![step(1, 1_000)]));
    world.run(seconds(0.5));
    assert_eq!((starts(&world).len(), calls(&world)), (1, 0));
}
