//! Work goes on while the manifest outgrows a record of the ledger: what has to start again does, and
//! what waits starts.

#![allow(clippy::unwrap_used)]

mod simulation;

use {
    carobhitch::job::{
        ledger::Outcome,
        manifest::Queue,
        settings::Bounds,
        spec::{Step, Task},
    },
    simulation::{MILLICORES, Simulation, manifest, spec, step},
    std::time::Duration,
};

const SECOND: Duration = Duration::from_secs(1);
/// Job of endless tasks.
const ENDLESS: u64 = 1;
/// Jobs of seven tasks, which are submitted once the manifest has grown.
const STEP_OF_SEVEN: u64 = 2;
const GANG_OF_SEVEN: u64 = 3;

/// Simulation whose ledger takes small records only, with endless tasks at work and a manifest that is
/// larger than a record.
fn grown() -> Simulation {
    let bounds = Bounds { record_bytes: 4_000, ..Bounds::default() };
    let mut sim = Simulation::with_bounds(4, bounds);
    sim.submit(ENDLESS, spec(vec![Step { endless: true, ..step(4, MILLICORES / 4) }]));
    sim.run(SECOND);
    let mut large = manifest(2);
    let unused = |number| Queue { name: format!("unused-{number}"), ..large.queues[0].clone() };
    large.queues.extend((0..500).map(unused).collect::<Vec<_>>());
    sim.cell.update_manifest(large);
    sim
}

fn submit_sevens(sim: &mut Simulation) {
    sim.submit(STEP_OF_SEVEN, spec(vec![step(1, 500), Step { after: vec![0], ..step(7, 2_250) }]));
    sim.submit(GANG_OF_SEVEN, spec(vec![Step { gang: true, ..step(7, 2_250) }]));
}

fn assert_all_at_work(sim: &Simulation) {
    let running = |task: &Task| sim.runners.values().any(|r| r.running.contains_key(task));
    let endless = (0..4).map(|index| Task { job: ENDLESS, occurrence: 0, step: 0, index });
    assert!(endless.clone().all(|task| running(&task)), "an endless task is not at work");
    for job in [STEP_OF_SEVEN, GANG_OF_SEVEN] {
        assert_eq!(sim.cell.jobs()[&job].outcome, Outcome::Complete, "job {job}");
    }
}

/// Runner of the first endless task.
fn runner_of_first(sim: &Simulation) -> String {
    let first = Task { job: ENDLESS, occurrence: 0, step: 0, index: 0 };
    sim.runners.iter().find(|(_, r)| r.running.contains_key(&first)).unwrap().0.clone()
}

#[test]
fn endless_tasks_of_a_leaving_runner_and_steps_of_seven_start_after_the_manifest_has_grown() {
    for takes_over in [false, true] {
        let mut sim = grown();
        submit_sevens(&mut sim);
        let leaving = runner_of_first(&sim);
        let (now, mut registration) = (sim.instant(), sim.registration(&leaving));
        registration.draining = true;
        sim.cell.update_registration(now, &leaving, Some(registration));
        if takes_over {
            sim.run(SECOND / 10);
            sim.take_over();
        }
        sim.run(SECOND * 15);
        assert_all_at_work(&sim);
    }
}

#[test]
fn endless_tasks_of_a_crashed_runner_start_after_the_manifest_has_grown() {
    for takes_over in [false, true] {
        let mut sim = grown();
        submit_sevens(&mut sim);
        let crashed = runner_of_first(&sim);
        sim.restart(&crashed);
        sim.runners[&crashed].crashed = true;
        if takes_over {
            sim.run(SECOND / 10);
            sim.take_over();
        }
        sim.run(SECOND * 30);
        assert_all_at_work(&sim);
    }
}
