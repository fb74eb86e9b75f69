//! Runners that are reserved for large tasks, which fit nowhere now, and the small tasks behind them.

#![allow(clippy::unwrap_used)]

mod simulation;

use {
    carobhitch::job::{
        manifest::{Manifest, Queue},
        spec::Step,
    },
    simulation::{MILLICORES, Simulation, manifest, spec, step},
    std::time::Duration,
};

const RUNNERS: usize = 7;
/// Id of the job whose tasks are on the runners from the beginning.
const FIRST: u64 = 1;
/// Ids of large jobs begin here.
const LARGE: u64 = 100;
/// Ids of small jobs begin here.
const SMALL: u64 = 1_000;
/// Time after which a job must have a task on a runner while most of its service's cores are idle.
const MAX_WAIT: Duration = Duration::from_secs(3);

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

/// Step of one task that takes a whole runner for long.
fn large() -> Step {
    Step { estimate: seconds(4.0), ..step(1, MILLICORES) }
}

/// Step of two tasks that take a core each for a short time: its job is late soon.
fn small() -> Step {
    Step { estimate: seconds(0.5), ..step(2, 1_000) }
}

/// Manifest with a queue `urgent` of the service `desk`, which comes before `quotes`.
fn prioritized() -> Manifest {
    let mut manifest = manifest(2);
    manifest.queues[0].priority = 1;
    let urgent = Queue {
        name: "urgent".into(),
        prefix: "/urgent/".into(),
        priority: 0,
        ..manifest.queues[0].clone()
    };
    manifest.queues.push(urgent);
    manifest
}

/// Runners each of which has one task of a core that does not end soon.
fn occupied(endless: bool) -> Simulation {
    let mut sim = Simulation::new(RUNNERS);
    sim.cell.update_manifest(prioritized());
    sim.run_time = seconds(600.0);
    sim.run(seconds(0.2));
    let occupant = Step { endless, per_runner: 1, ..step(RUNNERS as u32, 1_000) };
    sim.submit(FIRST, spec(vec![occupant]));
    sim.run(seconds(0.3));
    assert!(sim.runners.values().all(|runner| runner.running.len() == 1));
    sim
}

/// Submits large jobs of these steps to the first queue, and then small ones; checks that each small one
/// has a task on a runner in time.
fn check_small_jobs(sim: &mut Simulation, large: &[Step]) {
    for (id, step) in (LARGE..).zip(large) {
        sim.submit_to("urgent", id, spec(vec![step.clone()]));
    }
    sim.run(seconds(0.2));
    for id in SMALL..SMALL + 10 {
        sim.submit(id, spec(vec![small()]));
        sim.run(seconds(0.2));
    }
    sim.run(MAX_WAIT);
    for id in SMALL..SMALL + 10 {
        assert!(sim.cell.jobs()[&id].started, "{id} waits for {MAX_WAIT:?} and more");
    }
}

/// Guards against reservations that never end: endless tasks keep large ones from each runner.
#[test]
fn large_tasks_that_fit_nowhere_beside_endless_ones_hold_no_small_ones_back() {
    check_small_jobs(&mut occupied(true), &vec![large(); 8]);
}

/// The same where what is on the runners may end, but takes long.
#[test]
fn large_tasks_that_wait_for_finite_ones_hold_no_small_ones_back_for_long() {
    check_small_jobs(&mut occupied(false), &vec![large(); 8]);
}

/// The same with so many large jobs that no further one is tried in a pass.
#[test]
fn many_large_tasks_hold_no_small_ones_back() {
    for endless in [true, false] {
        check_small_jobs(&mut occupied(endless), &vec![large(); 40]);
    }
}

/// The same for gangs, each of which reserves several runners.
#[test]
fn gangs_that_fit_nowhere_hold_no_small_ones_back() {
    for endless in [true, false] {
        let gang = Step { gang: true, tasks: RUNNERS as u32, ..large() };
        check_small_jobs(&mut occupied(endless), &[gang.clone(), gang]);
    }
}

/// The same for large endless tasks, in front of small endless ones too.
#[test]
fn large_endless_tasks_hold_no_small_ones_back() {
    for endless in [true, false] {
        let mut sim = occupied(endless);
        let large = Step { endless: true, ..large() };
        for id in LARGE..LARGE + 8 {
            sim.submit_to("urgent", id, spec(vec![large.clone()]));
        }
        sim.submit(SMALL, spec(vec![Step { endless: true, ..step(3, 1_000) }]));
        sim.run(MAX_WAIT);
        assert!(sim.cell.jobs()[&SMALL].started);
    }
}

/// The same after another owner has taken over.
#[test]
fn large_tasks_hold_no_small_ones_back_under_a_new_owner() {
    for endless in [true, false] {
        let mut sim = occupied(endless);
        for id in LARGE..LARGE + 8 {
            sim.submit_to("urgent", id, spec(vec![large()]));
        }
        sim.run(seconds(0.2));
        sim.take_over();
        sim.run(seconds(0.2));
        check_small_jobs(&mut sim, &[]);
    }
}

/// Guards against the reverse: a stream of small tasks never leaves a whole runner to a large one.
#[test]
fn a_stream_of_small_tasks_does_not_starve_a_large_one() {
    let mut sim = Simulation::new(2);
    sim.cell.update_manifest(prioritized());
    sim.run(seconds(0.2));
    for id in SMALL..SMALL + 100 {
        sim.submit(id, spec(vec![step(3, 2_000)]));
        sim.run(seconds(0.2));
        if id == SMALL + 10 {
            sim.submit_to("urgent", LARGE, spec(vec![step(1, MILLICORES)]));
        }
    }
    let large = sim.done.iter().position(|task| task.job == LARGE);
    assert!(large.is_some_and(|at| at < 150), "large task done at {large:?}");
}
