//! Pacing of placement passes by their cost.

#![allow(clippy::unwrap_used)]

mod simulation;

use {
    carobhitch::job::{cell::Status, spec::Task},
    simulation::{Simulation, spec, step},
    std::time::Duration,
};

const COST: Duration = Duration::from_millis(20);

fn is_placed(sim: &Simulation, job: u64) -> bool {
    let task = Task { job, occurrence: 0, step: 0, index: 0 };
    let state = sim.cell.jobs()[&job].task(&task).unwrap();
    matches!(state.status, Status::Placed(_))
}

#[test]
fn after_a_costly_pass_the_next_one_waits_for_twice_as_long_and_places_all_that_came_meanwhile() {
    let mut sim = Simulation::new(4);
    let begun = sim.instant();
    sim.submit(1, spec(vec![step(1, 1_000)]));
    sim.cell.handle_changes(begun);
    sim.cell.end_turn(begun + COST);
    assert!(is_placed(&sim, 1));
    for job in [2, 3] {
        sim.submit(job, spec(vec![step(1, 1_000)]));
        sim.cell.handle_changes(begun + 2 * COST);
        sim.cell.end_turn(begun + 2 * COST);
        assert!(!is_placed(&sim, job));
    }
    assert_eq!(sim.cell.next_placement(begun + 2 * COST), Some(COST));
    sim.cell.handle_changes(begun + 3 * COST);
    assert!(is_placed(&sim, 2) && is_placed(&sim, 3));
}

#[test]
fn passes_take_at_most_a_third_of_the_time_however_many_events_come() {
    let mut sim = Simulation::new(40);
    let begun = sim.instant();
    let (mut now, mut passes) = (begun, 0);
    for job in 1..300 {
        sim.submit(job, spec(vec![step(1, 1_000)]));
        sim.cell.handle_changes(now);
        if is_placed(&sim, job) {
            passes += 1;
            now += COST;
        }
        sim.cell.end_turn(now);
        now += Duration::from_millis(1);
    }
    assert!(passes >= 2);
    assert!(COST * (passes - 1) <= (now - begun) / 3);
}
