//! What callers get while half of the orders to runners get no answer and are carried out seconds
//! later.
//!
//! Every task needs a start that is answered. An owner that gives up each unanswered run, and stops it
//! before the next one starts, needs several answered orders for a task, and all jobs are late.

#![allow(clippy::unwrap_used)]

mod simulation;

use {
    carobhitch::job::{ledger::Outcome, spec::Step},
    simulation::{STEP, Simulation, spec, step},
    std::time::Duration,
};

const RUNNERS: usize = 12;
const JOBS: u64 = 60;
/// Time between two submissions: the jobs need about half of the runners.
const INTERVAL: Duration = Duration::from_millis(200);

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

/// Jobs that are complete in time, and that are complete at all.
fn play(late_share: f64) -> (usize, usize) {
    let mut sim = Simulation::new(RUNNERS);
    sim.late_share = late_share;
    let second = Step { after: vec![0], ..step(6, 1_200) };
    let job = spec(vec![step(6, 1_200), second]);
    let due = job.critical_path().mul_f64(1.6) + seconds(0.6);
    let begun = sim.now;
    let (mut submitted, mut in_time, mut complete) = (0, 0, 0);
    let mut open = Vec::new();
    while sim.now < begun + INTERVAL * JOBS as u32 + seconds(20.0) {
        if submitted < JOBS && sim.now >= begun + INTERVAL * submitted as u32 {
            submitted += 1;
            sim.submit(submitted, job.clone());
            open.push((submitted, sim.now));
        }
        sim.run(STEP);
        open.retain(|(id, at)| {
            if sim.cell.jobs()[id].stored_outcome != Outcome::Complete {
                return true;
            }
            complete += 1;
            in_time += usize::from(sim.now - *at <= due);
            false
        });
    }
    (in_time, complete)
}

#[test]
fn most_jobs_are_in_time_though_half_of_the_orders_get_no_answer() {
    let (calm, _) = play(0.0);
    assert_eq!(calm as u64, JOBS, "the load is within the capacity");
    let (in_time, complete) = play(0.5);
    println!("{in_time} of {JOBS} jobs in time, {complete} complete");
    assert_eq!(complete as u64, JOBS);
    assert!(in_time as u64 >= JOBS * 7 / 10, "{in_time} of {JOBS} jobs in time");
}
