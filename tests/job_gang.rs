//! Gangs: tasks that work only all together.

#![allow(clippy::unwrap_used)]

mod world;

use {
    carobhitch::job::{
        answer::Answer,
        cell::Action,
        ledger::Outcome,
        spec::{Step, Task},
    },
    indexmap::IndexSet,
    std::time::Duration,
    world::{MILLICORES, World, spec, step},
};

const JOB: u64 = 7;

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

fn gang(tasks: u32, millicores: u32) -> Step {
    Step { gang: true, ..step(tasks, millicores) }
}

/// Starts of a job's tasks: run numbers in the order sent.
fn runs(world: &World, job: u64) -> Vec<(u16, u32)> {
    let start = |action: &Action| match action {
        Action::Start(_, start) if start.task.job == job => Some((start.task.index, start.run)),
        _ => None,
    };
    world.sent.iter().filter_map(start).collect()
}

fn running(world: &World, job: u64) -> usize {
    let of_job = |task: &&Task| task.job == job;
    world.lives.values().flat_map(|life| life.running.keys()).filter(of_job).count()
}

fn state(world: &mut World, job: u64) -> Answer {
    let request = world.ask(job);
    world.run(seconds(0.1));
    world.answers[&request].clone()
}

fn is(outcome: Outcome) -> Answer {
    Answer::State { outcome, started: true }
}

#[test]
fn members_start_only_once_all_of_them_find_room() {
    let mut world = World::new(2);
    world.run_time = seconds(3.0);
    world.submit(1, spec(vec![step(1, MILLICORES)]));
    world.run(seconds(0.5));
    world.submit(JOB, spec(vec![gang(4, MILLICORES / 2)]));
    world.run(seconds(1.0));
    assert_eq!(runs(&world, JOB), [], "two of four would fit");
    world.run(seconds(2.5));
    assert_eq!(runs(&world, JOB), [(0, 1), (1, 1), (2, 1), (3, 1)]);
}

#[test]
fn small_tasks_do_not_starve_a_gang() {
    let mut world = World::new(2);
    for job in 10..30 {
        world.submit(job, spec(vec![step(2, 1_000)]));
        world.run(seconds(0.1));
    }
    world.submit(JOB, spec(vec![gang(2, MILLICORES)]));
    for job in 30..80 {
        world.submit(job, spec(vec![step(2, 1_000)]));
        world.run(seconds(0.1));
    }
    assert_eq!(runs(&world, JOB).len(), 2, "both runners were kept for it");
}

#[test]
fn when_a_member_is_lost_the_others_are_stopped_and_all_start_again_together() {
    let mut world = World::new(3);
    world.run_time = seconds(60.0);
    world.submit(JOB, spec(vec![gang(3, MILLICORES)]));
    world.run(seconds(0.5));
    assert_eq!(running(&world, JOB), 3);
    world.add("r3", "desk", "m3", 1);
    let lost = world.lives.iter().find(|(_, life)| !life.running.is_empty()).unwrap().0.clone();
    world.lives[&lost].silent = true;
    world.run(seconds(2.0));
    assert_eq!(runs(&world, JOB).len(), 3, "the lost member's lease has not lapsed");
    world.run(seconds(3.0));
    let again: IndexSet<u32> = runs(&world, JOB)[3..].iter().map(|(_, run)| *run).collect();
    assert_eq!((runs(&world, JOB).len(), again), (6, IndexSet::from([2])));
    world.lives[&lost].silent = false;
}

#[test]
fn one_member_that_is_done_stands_for_all() {
    let mut world = World::new(2);
    world.submit(JOB, spec(vec![gang(2, MILLICORES)]));
    world.run(seconds(0.5));
    world.lives["r1"].silent = true;
    world.run(seconds(1.5));
    assert_eq!(state(&mut world, JOB), is(Outcome::Complete));
}

#[test]
fn a_run_in_which_several_members_fail_counts_once() {
    let mut world = World::new(2);
    world.fails = true;
    world.submit(JOB, spec(vec![gang(2, MILLICORES)]));
    world.run(seconds(1.3));
    assert_eq!(state(&mut world, JOB), is(Outcome::Open), "one of two attempts has failed");
    world.run(seconds(2.0));
    assert_eq!(state(&mut world, JOB), is(Outcome::Failed));
    let last = runs(&world, JOB).iter().map(|(_, run)| *run).max();
    assert_eq!(last, Some(2));
}

#[test]
fn members_that_are_slowed_apart_share_a_rack() {
    let mut world = World::new(0);
    for (id, rack) in [("a0", "x"), ("b0", "y"), ("a1", "x"), ("b1", "y"), ("b2", "y")] {
        world.add(id, "desk", &format!("m-{id}"), 1);
        world.lives[id].rack = rack.into();
        let (now, entry) = (world.at(), world.entry(id));
        world.cell.list(now, id, Some(entry));
    }
    world.run(seconds(0.2));
    world.submit(JOB, spec(vec![Step { same_rack: true, ..gang(3, MILLICORES) }]));
    world.run(seconds(0.3));
    let busy = world.lives.iter().filter(|(_, life)| !life.running.is_empty());
    let racks: IndexSet<&str> = busy.map(|(_, life)| life.rack.as_str()).collect();
    assert_eq!(racks, IndexSet::from(["y"]));
}

#[test]
fn a_new_owner_starts_a_gang_again_only_as_a_whole() {
    let mut world = World::new(2);
    world.run_time = seconds(60.0);
    world.submit(JOB, spec(vec![gang(2, MILLICORES)]));
    world.run(seconds(0.5));
    let life = &mut world.lives["r1"];
    (life.running, life.used, life.born) = (Default::default(), 0, 2);
    world.take_over();
    world.run(seconds(1.0));
    let again: Vec<(u16, u32)> = runs(&world, JOB)[2..].to_vec();
    assert_eq!(again.len(), 2, "{again:?}");
    assert!(again.iter().all(|(_, run)| *run == again[0].1 && *run > 1), "{again:?}");
}
