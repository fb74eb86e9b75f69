//! Moves of VMs between pools and maintenance waves, while tasks run.
//!
//! Answers to actions may be lost, the list of VMs lags, and the owner may change. A cell that then
//! counts too few VMs as down takes down more than the wave allows, and one that drains VMs too
//! fast stops more endless tasks than their step may miss.

#![allow(clippy::unwrap_used)]

mod simulation;

use {
    carobhitch::job::{
        cell::Action,
        spec::{Step, Task},
        upkeep::{self, Request, State},
    },
    indexmap::IndexSet,
    simulation::{Simulation, spec, step},
    std::time::Duration,
};

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

fn wave(vms: &[&str], most: usize) -> Request {
    let vms = vms.iter().map(|id| String::from(*id)).collect();
    Request { number: 1, vms, within: Duration::from_secs(20), max_at_once: most }
}

/// VMs that were taken down for maintenance, in the order of the actions.
fn upkeeps(sim: &Simulation) -> Vec<String> {
    let upkeep = |action: &Action| match action {
        Action::ChangeVm(upkeep::Action::Upkeep { vm, .. }) => Some(vm.clone()),
        _ => None,
    };
    sim.actions.iter().filter_map(upkeep).collect()
}

/// Moves of VMs: which, and to which pool.
fn moves(sim: &Simulation) -> Vec<(String, String)> {
    let moved = |action: &Action| match action {
        Action::ChangeVm(upkeep::Action::Move { vm, pool }) => Some((vm.clone(), pool.clone())),
        _ => None,
    };
    sim.actions.iter().filter_map(moved).collect()
}

#[test]
fn maintenance_begun_by_a_previous_owner_counts_as_down() {
    let mut sim = Simulation::new(4);
    sim.update_vms();
    sim.vm_answers_lost = true;
    let now = sim.instant();
    sim.cell.add_wave(now, wave(&["m0", "m1", "m2", "m3"], 2));
    sim.run(seconds(0.5));
    assert_eq!(upkeeps(&sim).len(), 2);
    sim.take_over();
    sim.update_vms();
    sim.run(seconds(0.2));
    let now = sim.instant();
    sim.cell.add_wave(now, wave(&["m0", "m1", "m2", "m3"], 2));
    sim.run(seconds(1.0));
    let vms: IndexSet<String> = upkeeps(&sim).into_iter().collect();
    assert_eq!(vms.len(), 2, "both VMs may be in maintenance: {vms:?}");
}

#[test]
fn a_moving_vm_is_not_in_maintenance() {
    let mut sim = Simulation::new(2);
    sim.update_vms();
    let now = sim.instant();
    sim.cell.add_wave(now, wave(&["m0", "m1"], 1));
    sim.run(seconds(0.5));
    let first = upkeeps(&sim).remove(0);
    let vm = &mut sim.vms[&first];
    vm.state = State::Up;
    vm.runner = Some(String::from("r9"));
    sim.update_vms();
    sim.vms[&first].state = State::Moving;
    sim.update_vms();
    sim.run(seconds(0.5));
    assert_eq!(upkeeps(&sim).len(), 2);
}

#[test]
fn endless_tasks_leave_a_vm_one_after_the_other() {
    let mut sim = Simulation::new(4);
    sim.update_vms();
    let step = Step { endless: true, per_runner: 1, max_unavailable: 1, ..step(3, 1_000) };
    sim.submit(7, spec(vec![step]));
    sim.run(seconds(3.0));
    let now = sim.instant();
    sim.cell.add_wave(now, wave(&["m0", "m1", "m2"], 3));
    let mut min_running = 3;
    for _ in 0..200 {
        sim.run(seconds(0.02));
        let running: usize = sim.runners.values().map(|runner| runner.running.len()).sum();
        min_running = min_running.min(running);
    }
    assert!(
        min_running >= 2,
        "{min_running} of 3 tasks were left at once, and one may be unavailable"
    );
}

#[test]
fn a_new_owner_stops_no_task_before_it_knows_that_the_others_are_at_work() {
    let mut sim = Simulation::new(4);
    sim.update_vms();
    let step = Step { endless: true, per_runner: 1, max_unavailable: 1, ..step(3, 1_000) };
    sim.submit(7, spec(vec![step]));
    sim.run(seconds(3.0));
    sim.take_over();
    sim.update_vms();
    let now = sim.instant();
    sim.cell.add_wave(now, wave(&["m0", "m1", "m2"], 3));
    sim.run(seconds(0.4));
    let stops = sim.actions.iter().filter(|action| matches!(action, Action::Stop(..))).count();
    assert_eq!(stops, 0, "a stop of the previous owner may be outstanding");
}

#[test]
fn idle_vms_stay_in_their_pools_before_the_first_job() {
    let mut sim = Simulation::new(6);
    sim.update_vms();
    sim.run(seconds(10.0));
    assert!(moves(&sim).is_empty());
}

#[test]
fn a_burst_gets_vms_of_the_spare_pool_and_returns_them() {
    let mut sim = Simulation::new(2);
    for number in 0..4 {
        sim.add_spare(&format!("s{number}"));
    }
    sim.update_vms();
    sim.run(seconds(0.5));
    for id in 0..20 {
        sim.submit(id, spec(vec![step(8, 2_000)]));
    }
    sim.run(seconds(1.0));
    let to_desk = moves(&sim).iter().filter(|(_, pool)| pool == "desk").count();
    assert!(to_desk >= 3, "{to_desk} VMs were sent to the pool that is short");
    for number in 0..4 {
        let (vm, id) = (format!("s{number}"), format!("n{number}"));
        if sim.vms[&vm].pool == "desk" {
            sim.add_runner(&id, "desk", &vm, 5);
        }
    }
    sim.update_vms();
    sim.run(seconds(40.0));
    let back = moves(&sim).iter().filter(|(_, pool)| pool == "spare").count();
    assert!(back >= 2, "{back} VMs went back");
}

#[test]
fn a_vm_that_the_pool_refuses_keeps_no_other_vm_from_joining() {
    let mut sim = Simulation::new(1);
    for vm in ["s0", "s1"] {
        sim.add_spare(vm);
    }
    sim.refused_vms.insert("s0".into());
    sim.update_vms();
    sim.run(seconds(0.5));
    sim.submit(1, spec(vec![Step { endless: true, ..step(11, 1_600) }]));
    sim.run(seconds(5.0));
    assert_eq!(sim.vms["s1"].pool, "desk");
    let tries = moves(&sim).iter().filter(|(vm, _)| vm == "s0").count();
    assert_eq!(tries, 1, "the platform would refuse it again");
}

#[test]
fn a_vm_that_has_moved_counts_in_its_new_pool_before_the_list_says_so() {
    let mut sim = Simulation::new(9);
    sim.add_spare("s0");
    sim.update_vms();
    sim.run(seconds(0.5));
    sim.submit(1, spec(vec![step(1, 1_000)]));
    sim.run(seconds(8.0));
    let stay = 9 - moves(&sim).iter().filter(|(_, pool)| pool == "spare").count();
    assert!(stay >= 3, "{stay} of 9 VMs stay; the work needs one, and the reserve is two");
}

#[test]
fn an_endless_task_that_finds_no_room_gets_its_pool_another_vm() {
    let mut sim = Simulation::new(1);
    sim.add_spare("s0");
    sim.update_vms();
    sim.run(seconds(0.5));
    sim.submit(1, spec(vec![Step { endless: true, ..step(11, 1_600) }]));
    sim.run(seconds(2.0));
    let to_desk = moves(&sim).iter().filter(|(_, pool)| pool == "desk").count();
    assert_eq!(to_desk, 1, "10 of 11 tasks fit on the one VM");
}

#[test]
fn a_vm_that_is_overdue_for_maintenance_does_not_move_first() {
    let mut sim = Simulation::new(2);
    sim.add_spare("s0");
    sim.update_vms();
    sim.run(seconds(0.5));
    sim.vm_answers_lost = true;
    let now = sim.instant();
    sim.cell.add_wave(now, wave(&["m0", "s0"], 1));
    sim.run(seconds(0.5));
    assert_eq!(upkeeps(&sim).len(), 1, "the wave allows one VM down at a time");
    let other = if upkeeps(&sim)[0] == "s0" { "m0" } else { "s0" };
    sim.run(seconds(15.0));
    for id in 2..22 {
        sim.submit_to("checks", id, spec(vec![step(8, 2_000)]));
    }
    sim.run(seconds(1.0));
    assert!(!moves(&sim).iter().any(|(vm, _)| vm == other), "its maintenance comes first");
}

#[test]
fn a_runner_that_has_registered_ends_the_action_on_its_vm_before_the_list_says_so() {
    let mut sim = Simulation::new(2);
    sim.move_time = Some(seconds(2.0));
    sim.update_vms();
    let now = sim.instant();
    sim.cell.add_wave(now, wave(&["m0", "m1"], 1));
    sim.run(seconds(6.0));
    assert_eq!(upkeeps(&sim).len(), 2, "the second VM went down once the first was back");
}

/// Carries out the maintenance of `m0` without an answer; its next runner is `next`.
/// Has tasks of a step placed on the only runner, and its VM chosen for maintenance, while the ledger
/// stores nothing; then lets it store again.
fn maintain_after_placement(step: Step) -> Simulation {
    let mut sim = Simulation::new(1);
    sim.update_vms();
    sim.store_down = true;
    sim.submit(1, spec(vec![step]));
    sim.run(seconds(0.2));
    let now = sim.instant();
    sim.cell.add_wave(now, wave(&["m0"], 1));
    sim.run(seconds(0.3));
    sim.store_down = false;
    sim.run(seconds(0.6));
    sim
}

#[test]
fn tasks_placed_before_their_vm_was_to_be_emptied_keep_their_turn_while_the_ledger_is_slow() {
    let mut sim = maintain_after_placement(step(4, 1_000));
    assert_eq!((starts(&sim), upkeeps(&sim).len()), (4, 0), "they run before the maintenance");
    sim.run(seconds(1.0));
    assert_eq!((starts(&sim), upkeeps(&sim).len()), (4, 1));
    let run = |task: &Task| sim.cell.jobs()[&task.job].task(task).map_or(1, |state| state.run);
    let runs: Vec<u32> = sim.done.iter().map(run).collect();
    assert_eq!(runs, [1; 4], "no start was taken back");
}

#[test]
fn an_endless_task_does_not_start_on_a_vm_that_is_being_emptied() {
    let sim = maintain_after_placement(Step { endless: true, ..step(1, 1_000) });
    assert_eq!((starts(&sim), upkeeps(&sim).len()), (0, 1));
}

/// Has the VM `m0` maintained without an answer; its next runner registers as `next`.
fn upkeep_without_answer(sim: &mut Simulation, next: &str) -> upkeep::Action {
    sim.update_vms();
    sim.vm_answers_lost = true;
    let now = sim.instant();
    sim.cell.add_wave(now, wave(&["m0"], 1));
    sim.run(seconds(0.5));
    assert_eq!(upkeeps(sim), ["m0"]);
    sim.add_runner(next, "desk", "m0", 9);
    sim.update_vms();
    upkeep::Action::Upkeep { vm: "m0".into(), wave: 1 }
}

fn starts(sim: &Simulation) -> usize {
    sim.actions.iter().filter(|action| matches!(action, Action::Start(..))).count()
}

/// The platform carries an action out and answers late. By then the VM's next runner has tasks; it may
/// have the name of the former one.
#[test]
fn a_late_answer_does_not_end_the_runner_that_has_registered_since() {
    for next in ["next", "r0"] {
        late_answer_after(next);
    }
}

fn late_answer_after(next: &str) {
    let mut sim = Simulation::new(1);
    sim.run_time = seconds(20.0);
    let action = upkeep_without_answer(&mut sim, next);
    sim.add_runner("r1", "desk", "m1", 1);
    sim.submit(7, spec(vec![step(16, 1_600)]));
    sim.run(seconds(1.0));
    sim.cell.vm_action_answered(sim.instant(), &action, Ok(()));
    for _ in 0..10 {
        sim.update_vms();
        sim.run(seconds(1.0));
    }
    assert_eq!(sim.runners[next].starts, 6, "the runner {next} of the VM takes tasks");
    assert_eq!(starts(&sim), 16, "a task that runs on {next} was started again");
}

/// A move that got no answer is asked for again, and the platform answers that it is done.
#[test]
fn a_move_shown_done_by_the_next_runner_is_not_sent_again() {
    let mut sim = Simulation::new(1);
    for number in 0..2 {
        sim.add_spare(&format!("s{number}"));
    }
    sim.update_vms();
    sim.run(seconds(0.5));
    sim.run_time = seconds(20.0);
    sim.vm_answers_lost = true;
    for id in 0..3 {
        sim.submit(id, spec(vec![step(8, 2_000)]));
    }
    sim.run(seconds(0.5));
    let sent = moves(&sim);
    assert!(!sent.is_empty());
    for (number, (vm, pool)) in sent.iter().enumerate() {
        sim.add_runner(&format!("n{number}"), pool, vm, 9);
        sim.vms[vm].pool.clone_from(pool);
    }
    sim.run(seconds(1.5));
    let started = starts(&sim);
    assert!(started > 8, "{started}: the new runners take tasks before the answer");
    let now = sim.instant();
    for (vm, pool) in &sent {
        let action = upkeep::Action::Move { vm: vm.clone(), pool: pool.clone() };
        let lost = Err(upkeep::Refusal::Unknown(String::from("no answer")));
        sim.cell.vm_action_answered(now, &action, lost);
    }
    sim.update_vms();
    sim.run(seconds(3.0));
    let again = moves(&sim).iter().filter(|found| sent.contains(found)).count();
    assert_eq!(again, sent.len(), "a move that was carried out is sent again");
    for (vm, pool) in &sent {
        let action = upkeep::Action::Move { vm: vm.clone(), pool: pool.clone() };
        sim.cell.vm_action_answered(sim.instant(), &action, Ok(()));
    }
    sim.run(seconds(5.0));
    assert_eq!(sim.runners.values().map(|runner| runner.starts).sum::<usize>(), 24);
}

/// A new owner repeats the maintenance that the previous one began, and the platform answers that it
/// was carried out already.
#[test]
fn maintenance_that_was_done_before_ends_no_runner() {
    let mut sim = Simulation::new(1);
    sim.run_time = seconds(5.0);
    upkeep_without_answer(&mut sim, "next");
    sim.runners.swap_remove("r0");
    sim.take_over();
    sim.update_vms();
    let now = sim.instant();
    sim.cell.add_wave(now, wave(&["m0"], 1));
    sim.run(seconds(1.0));
    assert_eq!(upkeeps(&sim).len(), 2, "the new owner repeats the action");
    let action = upkeep::Action::Upkeep { vm: "m0".into(), wave: 1 };
    sim.runners["next"].unresponsive = false;
    sim.cell.vm_action_answered(sim.instant(), &action, Ok(()));
    sim.update_vms();
    sim.run(seconds(2.0));
    sim.update_vms();
    sim.submit(7, spec(vec![step(1, 1_000)]));
    sim.run(seconds(1.0));
    assert_eq!(sim.runners["next"].starts, 1, "the runner of the VM is still there");
}

#[test]
fn a_list_from_before_a_maintenance_does_not_end_it_if_the_runner_was_unknown() {
    let mut sim = Simulation::new(1);
    sim.add_spare("m9");
    sim.vms["m9"].pool = String::from("desk");
    sim.runners.insert(String::from("r9"), simulation::Runner::default());
    sim.vms["m9"].runner = Some(String::from("r9"));
    sim.update_vms();
    let before = sim.vms["m9"].clone();
    let now = sim.instant();
    sim.cell.add_wave(now, wave(&["m9", "m0"], 1));
    sim.run(seconds(0.3));
    assert_eq!(upkeeps(&sim), ["m9"]);
    sim.vms["m9"] = before;
    sim.update_vms();
    sim.run(seconds(0.5));
    assert_eq!(upkeeps(&sim), ["m9"]);
}

#[test]
fn a_late_registration_from_before_a_maintenance_does_not_end_it() {
    let mut sim = Simulation::new(2);
    sim.update_vms();
    let mut late = sim.registration("r0");
    late.incarnation = Some(2);
    let now = sim.instant();
    sim.cell.add_wave(now, wave(&["m0", "m1"], 1));
    sim.run(seconds(0.3));
    assert_eq!(upkeeps(&sim), ["m0"]);
    let now = sim.instant();
    sim.cell.update_registration(now, "r0", Some(late));
    sim.run(seconds(0.5));
    assert_eq!(upkeeps(&sim), ["m0"]);
}
