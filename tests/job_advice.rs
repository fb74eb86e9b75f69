//! Tickets of the advisor, which names the runners on which a step may run.
//!
//! A runner rejects a start without a valid ticket. The advisor answers one call at a time, so an
//! unnecessary call delays other steps.

#![allow(clippy::unwrap_used)]

mod simulation;

use {
    carobhitch::job::{
        cell::Action,
        manifest::Advice,
        runner::{Answer, Rejection},
    },
    simulation::{MILLICORES, Simulation, manifest, spec, step},
    std::time::Duration,
};

const VALID: Duration = Duration::from_secs(3);

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

/// Simulation whose first queue has an advisor that allows the runners `allowed`.
fn advised(runners: usize, allowed: &[&str]) -> Simulation {
    let mut sim = Simulation::new(runners);
    let mut manifest = manifest(2);
    let millis = Duration::from_millis;
    manifest.queues[0].advice = Some(Advice { decide: millis(20), each: millis(5), valid: VALID });
    sim.cell.update_manifest(manifest);
    sim.advised_runners = allowed.iter().map(|id| String::from(*id)).collect();
    sim.run(seconds(0.5));
    sim
}

/// Runners and tickets of all starts.
fn starts(sim: &Simulation) -> Vec<(String, String)> {
    let start = |action: &Action| match action {
        Action::Start(id, start) => Some((id.to_string(), start.ticket.clone())),
        _ => None,
    };
    sim.actions.iter().filter_map(start).collect()
}

/// Number of calls to the advisor.
fn calls(sim: &Simulation) -> usize {
    sim.actions.iter().filter(|action| matches!(action, Action::AskAdvisor(..))).count()
}

#[test]
fn tasks_start_only_where_the_advisor_allows_it_and_carry_its_ticket() {
    let mut sim = advised(4, &["r1", "r3"]);
    sim.submit(7, spec(vec![step(6, 4_000)]));
    sim.run(seconds(0.5));
    let started = starts(&sim);
    assert_eq!(started.len(), 6);
    assert!(started.iter().all(|(id, _)| id == "r1" || id == "r3"), "{started:?}");
    assert!(started.iter().all(|(_, text)| text.contains("0000000000000007.0.0.0")));
    assert_eq!(calls(&sim), 1, "what the advisor has said is not asked again");
}

#[test]
fn an_expired_ticket_is_requested_again() {
    let mut sim = advised(1, &["r0"]);
    sim.run_time = seconds(3.0);
    sim.submit(7, spec(vec![step(2, MILLICORES)]));
    sim.run(seconds(0.5));
    assert_eq!((starts(&sim).len(), calls(&sim)), (1, 1));
    sim.run(seconds(3.5));
    assert_eq!((starts(&sim).len(), calls(&sim)), (2, 2));
}

#[test]
fn steps_of_a_job_have_tickets_of_their_own() {
    let mut sim = advised(2, &["r0"]);
    let mut second = step(1, 1_000);
    second.after = vec![0];
    sim.submit(7, spec(vec![step(1, 1_000), second]));
    sim.run(seconds(3.0));
    let texts: Vec<String> = starts(&sim).into_iter().map(|(_, text)| text).collect();
    assert_eq!(texts.len(), 2);
    assert_ne!(texts[0], texts[1]);
}

#[test]
fn a_job_whose_runners_are_all_refused_waits_without_asking_again() {
    let mut sim = advised(2, &[]);
    sim.submit(7, spec(vec![step(1, 1_000)]));
    sim.run(seconds(5.0));
    assert_eq!((starts(&sim).len(), calls(&sim)), (0, 1));
    sim.advised_runners = vec!["r9".into()];
    sim.add_runner("r9", "desk", "m9", 1);
    sim.run(seconds(0.5));
    assert_eq!(starts(&sim).len(), 1, "a new runner is asked about");
}

#[test]
fn a_ticket_that_a_runner_rejects_is_not_used_again() {
    let mut sim = advised(1, &["r0"]);
    sim.submit(7, spec(vec![step(1, 1_000)]));
    sim.commit();
    sim.runners["r0"].partitioned = true;
    sim.run(seconds(0.2));
    let task = sim.actions.iter().find_map(|action| match action {
        Action::Start(id, start) => Some((id.clone(), start.task, start.run)),
        _ => None,
    });
    let (id, task, run) = task.unwrap();
    let now = sim.instant();
    sim.cell.start_answered(now, &id, task, run, Answer::Rejected(Rejection::Ticket));
    sim.runners["r0"].partitioned = false;
    sim.unanswered.clear();
    sim.run(seconds(1.0));
    assert_eq!(calls(&sim), 2);
}

#[test]
fn jobs_of_other_queues_need_no_tickets() {
    let mut sim = advised(0, &[]);
    sim.add_runner("o0", "other", "m-o0", 1);
    sim.submit_to("checks", 7, spec(vec![step(1, 1_000)]));
    sim.run(seconds(0.5));
    assert_eq!((starts(&sim).len(), calls(&sim)), (1, 0));
}
