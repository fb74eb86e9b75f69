//! Gang scheduling: steps whose tasks (members) must all run at the same time.
//!
//! Members that run without the others hold resources and make no progress. A gang that waits for
//! resources is starved by small tasks unless runners are reserved for it.

#![allow(clippy::unwrap_used)]

mod simulation;

use {
    carobhitch::job::{
        answer::Answer,
        cell::Action,
        ledger::Outcome,
        spec::{Step, Task},
    },
    indexmap::IndexSet,
    simulation::{MILLICORES, Simulation, spec, step},
    std::time::Duration,
};

const JOB: u64 = 7;

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

fn gang(tasks: u32, millicores: u32) -> Step {
    Step { gang: true, ..step(tasks, millicores) }
}

/// Starts of a job's tasks, as index and run number, in the order in which they were sent.
fn runs(sim: &Simulation, job: u64) -> Vec<(u16, u32)> {
    let start = |action: &Action| match action {
        Action::Start(_, start) if start.task.job == job => Some((start.task.index, start.run)),
        _ => None,
    };
    sim.actions.iter().filter_map(start).collect()
}

fn running(sim: &Simulation, job: u64) -> usize {
    let of_job = |task: &&Task| task.job == job;
    sim.runners.values().flat_map(|runner| runner.running.keys()).filter(of_job).count()
}

fn state(sim: &mut Simulation, job: u64) -> Answer {
    let request = sim.query(job);
    sim.run(seconds(0.1));
    sim.answers[&request].clone()
}

fn is(outcome: Outcome) -> Answer {
    Answer::State { outcome, started: true }
}

#[test]
fn members_start_only_once_all_of_them_find_room() {
    let mut sim = Simulation::new(2);
    sim.run_time = seconds(3.0);
    sim.submit(1, spec(vec![step(1, MILLICORES)]));
    sim.run(seconds(0.5));
    sim.submit(JOB, spec(vec![gang(4, MILLICORES / 2)]));
    sim.run(seconds(1.0));
    assert_eq!(runs(&sim, JOB), [], "two of four would fit");
    sim.run(seconds(2.5));
    assert_eq!(runs(&sim, JOB), [(0, 1), (1, 1), (2, 1), (3, 1)]);
}

#[test]
fn small_tasks_do_not_starve_a_gang() {
    let mut sim = Simulation::new(2);
    for job in 10..30 {
        sim.submit(job, spec(vec![step(2, 1_000)]));
        sim.run(seconds(0.1));
    }
    sim.submit(JOB, spec(vec![gang(2, MILLICORES)]));
    for job in 30..80 {
        sim.submit(job, spec(vec![step(2, 1_000)]));
        sim.run(seconds(0.1));
    }
    assert_eq!(runs(&sim, JOB).len(), 2, "both runners were kept for it");
}

#[test]
fn when_a_member_is_lost_the_others_are_stopped_and_all_start_again_together() {
    let mut sim = Simulation::new(3);
    sim.run_time = seconds(60.0);
    sim.submit(JOB, spec(vec![gang(3, MILLICORES)]));
    sim.run(seconds(0.5));
    assert_eq!(running(&sim, JOB), 3);
    sim.add_runner("r3", "desk", "m3", 1);
    let lost = sim.runners.iter().find(|(_, runner)| !runner.running.is_empty()).unwrap().0.clone();
    sim.runners[&lost].unresponsive = true;
    sim.run(seconds(2.0));
    assert_eq!(runs(&sim, JOB).len(), 3, "the lost member's lease has not expired");
    sim.run(seconds(3.0));
    let again: IndexSet<u32> = runs(&sim, JOB)[3..].iter().map(|(_, run)| *run).collect();
    assert_eq!((runs(&sim, JOB).len(), again), (6, IndexSet::from([2])));
    sim.runners[&lost].unresponsive = false;
}

#[test]
fn a_gang_is_done_once_one_member_is() {
    let mut sim = Simulation::new(2);
    sim.submit(JOB, spec(vec![gang(2, MILLICORES)]));
    sim.run(seconds(0.5));
    sim.runners["r1"].unresponsive = true;
    sim.run(seconds(1.5));
    assert_eq!(state(&mut sim, JOB), is(Outcome::Complete));
}

#[test]
fn a_run_in_which_several_members_fail_counts_once() {
    let mut sim = Simulation::new(2);
    sim.runs_fail = true;
    sim.submit(JOB, spec(vec![gang(2, MILLICORES)]));
    sim.run(seconds(1.3));
    assert_eq!(state(&mut sim, JOB), is(Outcome::Open), "one of two attempts has failed");
    sim.run(seconds(2.0));
    assert_eq!(state(&mut sim, JOB), is(Outcome::Failed));
    let last = runs(&sim, JOB).iter().map(|(_, run)| *run).max();
    assert_eq!(last, Some(2));
}

#[test]
fn members_slowed_on_several_racks_share_one() {
    let mut sim = Simulation::new(0);
    for (id, rack) in [("a0", "x"), ("b0", "y"), ("a1", "x"), ("b1", "y"), ("b2", "y")] {
        sim.add_runner(id, "desk", &format!("m-{id}"), 1);
        sim.runners[id].rack = rack.into();
        let (now, registration) = (sim.instant(), sim.registration(id));
        sim.cell.update_registration(now, id, Some(registration));
    }
    sim.run(seconds(0.2));
    sim.submit(JOB, spec(vec![Step { same_rack: true, ..gang(3, MILLICORES) }]));
    sim.run(seconds(0.3));
    let busy = sim.runners.iter().filter(|(_, runner)| !runner.running.is_empty());
    let racks: IndexSet<&str> = busy.map(|(_, runner)| runner.rack.as_str()).collect();
    assert_eq!(racks, IndexSet::from(["y"]));
}

#[test]
fn a_new_owner_starts_a_gang_again_only_as_a_whole() {
    let mut sim = Simulation::new(2);
    sim.run_time = seconds(60.0);
    sim.submit(JOB, spec(vec![gang(2, MILLICORES)]));
    sim.run(seconds(0.5));
    let runner = &mut sim.runners["r1"];
    (runner.running, runner.used, runner.incarnation) = (Default::default(), 0, 2);
    sim.take_over();
    sim.run(seconds(1.0));
    let again: Vec<(u16, u32)> = runs(&sim, JOB)[2..].to_vec();
    assert_eq!(again.len(), 2, "{again:?}");
    assert!(again.iter().all(|(_, run)| *run == again[0].1 && *run > 1), "{again:?}");
}

/// Guards against a gang that stays open for good, as a member was taken for lost before another one's
/// success was known.
#[test]
fn a_gang_is_done_though_the_runner_of_a_member_restarts_before_a_new_owner_polls_it() {
    for restarted in ["r0", "r1"] {
        let mut sim = Simulation::new(2);
        sim.submit(JOB, spec(vec![gang(2, MILLICORES)]));
        sim.run(seconds(0.8));
        assert_eq!(running(&sim, JOB), 2);
        sim.pause_owner(seconds(0.5));
        sim.restart(restarted);
        sim.take_over();
        sim.run(seconds(5.0));
        assert_eq!(sim.cell.jobs()[&JOB].stored_outcome, Outcome::Complete);
        assert_eq!(runs(&sim, JOB).len(), 2, "no member starts again");
    }
}
