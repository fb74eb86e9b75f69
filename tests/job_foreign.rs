//! Entries in the store's list of runners that are not what they seem: those of other writers, and those
//! of runners whose clocks went back.

#![allow(clippy::unwrap_used)]

mod simulation;

use {
    carobhitch::job::{
        cell::Action,
        ledger::Outcome,
        manifest::Service,
        runner::Registration,
        spec::{Resources, Step},
        upkeep::Request,
    },
    simulation::{Simulation, manifest, spec, step},
    std::time::Duration,
};

const JOB: u64 = 1;
const HEARTBEAT: Duration = Duration::from_millis(1_500);

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

/// Two runners, one of which runs a task of 20 s; returns the runner too.
fn running() -> (Simulation, String) {
    let mut sim = Simulation::new(2);
    sim.run_time = seconds(20.0);
    sim.submit(JOB, spec(vec![step(1, 2_000)]));
    sim.run(seconds(0.3));
    let runner = sim.runners.iter().find(|(_, runner)| !runner.running.is_empty()).unwrap();
    let id = runner.0.clone();
    (sim, id)
}

/// Writes an entry under `key` with each heartbeat of the runner `id`, whose own entry follows.
fn disturb(sim: &mut Simulation, key: &str, id: &str, entry: &Registration) {
    for _ in 0..6 {
        let now = sim.instant();
        sim.cell.update_registration(now, key, Some(entry.clone()));
        sim.run(HEARTBEAT / 2);
        let (now, own) = (sim.instant(), sim.registration(id));
        sim.cell.update_registration(now, id, Some(own));
        sim.run(HEARTBEAT / 2);
    }
}

fn starts(sim: &Simulation) -> usize {
    sim.actions.iter().filter(|action| matches!(action, Action::Start(..))).count()
}

fn polls(sim: &Simulation) -> usize {
    sim.actions.iter().filter(|action| matches!(action, Action::Poll(..))).count()
}

/// Guards against an entry, with a service that no manifest names, that ends a sound runner's record.
#[test]
fn an_entry_of_an_unknown_service_ends_no_run_on_its_vm() {
    let (mut sim, id) = running();
    let mut entry = sim.registration(&id);
    (entry.service, entry.incarnation) = ("agent".into(), Some(1 << 50));
    disturb(&mut sim, "agent-1", &id, &entry);
    assert_eq!(starts(&sim), 1);
    assert!(sim.cell.workers().get("agent-1").is_none());
}

/// The same for an entry with a known service, behind which no runner answers.
#[test]
fn an_entry_behind_which_nothing_answers_ends_no_run_on_its_vm() {
    let (mut sim, id) = running();
    let entry = Registration { incarnation: Some(1 << 50), ..sim.registration(&id) };
    disturb(&mut sim, "other", &id, &entry);
    assert_eq!(starts(&sim), 1);
}

/// The same for an entry under the runner's own key, with an incarnation that no clock ever shows: the
/// runner is used again.
#[test]
fn an_entry_under_a_runners_own_key_does_not_lock_it_out() {
    for incarnation in [Some(u64::MAX), Some(1 << 63), Some(1), None] {
        let (mut sim, id) = running();
        let entry = Registration { incarnation, ..sim.registration(&id) };
        disturb(&mut sim, &id, &id, &entry);
        assert_eq!(starts(&sim), 1, "{incarnation:?}");
        sim.submit(2, spec(vec![step(2, 16_000 - 2_000)]));
        sim.run(seconds(0.5));
        assert_eq!(starts(&sim), 3, "both runners are used");
        assert!(polls(&sim) < 1_000, "{} polls in 10 s", polls(&sim));
    }
}

/// Guards against runners that are known under other services, or whose service comes later.
#[test]
fn a_runner_is_used_once_a_manifest_names_its_service() {
    let mut sim = Simulation::new(1);
    let entry = Registration { service: "new".into(), ..sim.registration("r0") };
    let runner = sim.runners["r0"].clone();
    sim.runners.insert("n0".into(), runner);
    let now = sim.instant();
    sim.cell.update_registration(now, "n0", Some(Registration { vm: "n".into(), ..entry }));
    sim.run(seconds(0.2));
    assert!(sim.cell.workers().get("n0").is_none());
    let mut named = manifest(2);
    named.services.push(Service { name: "new".into(), guards: false, spare: false });
    named.queues[1].service = "new".into();
    sim.cell.update_manifest(named);
    sim.run(seconds(0.2));
    sim.submit_to("checks", JOB, spec(vec![step(1, 1_000)]));
    sim.run(seconds(3.0));
    assert_eq!(sim.cell.jobs()[&JOB].stored_outcome, Outcome::Complete);
}

/// Guards against a restarted runner whose reports are ignored, as the clock of its VM went back.
#[test]
fn a_runner_that_restarts_after_its_clock_went_back_is_used_again() {
    for registers in [false, true] {
        for takes_over in [false, true] {
            let (mut sim, id) = running();
            sim.restart(&id);
            sim.runners[&id].incarnation = 0;
            if registers {
                let (now, own) = (sim.instant(), sim.registration(&id));
                sim.cell.update_registration(now, &id, Some(own));
            }
            if takes_over {
                sim.take_over();
            }
            let before = polls(&sim);
            sim.run(seconds(5.0));
            assert!(polls(&sim) - before < 400, "{} polls in 5 s", polls(&sim) - before);
            sim.submit(2, spec(vec![step(2, 16_000 - 2_000)]));
            sim.run(seconds(0.5));
            let used = |id: &str| sim.runners[id].running.keys().any(|task| task.job == 2);
            assert!(used("r0") && used("r1"));
            sim.run(seconds(40.0));
            assert_eq!(sim.cell.jobs()[&JOB].stored_outcome, Outcome::Complete);
        }
    }
}

/// Guards against a need of VMs that follows the size of a runner that does not exist.
#[test]
fn an_entry_of_a_huge_runner_does_not_count_for_the_size_of_vms() {
    let mut sim = Simulation::new(2);
    let most = Resources { millicores: u32::MAX, memory_mib: u32::MAX, accelerators: u32::MAX };
    let huge = Registration { room: most, vm: "huge".into(), ..sim.registration("r0") };
    let now = sim.instant();
    sim.cell.update_registration(now, "huge", Some(huge));
    sim.move_time = Some(seconds(1.5));
    for number in 0..4 {
        sim.add_spare(&format!("s{number}"));
    }
    sim.update_vms();
    sim.run_time = seconds(30.0);
    for id in 0..6 {
        sim.submit(10 + id, spec(vec![Step { estimate: seconds(30.0), ..step(4, 4_000) }]));
    }
    for _ in 0..8 {
        sim.run(seconds(1.0));
        sim.update_vms();
    }
    let moved = sim.vms.values().filter(|vm| vm.pool == "desk").count();
    assert!(moved >= 5, "{moved} VMs in the pool");
}

/// Guards against an entry that stands for the runner of a VM, so that the VM goes to maintenance with tasks
/// on it.
#[test]
fn an_entry_behind_which_nothing_answers_lets_no_vm_go_to_maintenance() {
    let mut sim = Simulation::new(2);
    sim.update_vms();
    sim.submit(JOB, spec(vec![Step { endless: true, ..step(2, 1_000) }]));
    sim.run(seconds(0.3));
    let id = sim.runners.iter().find(|(_, runner)| !runner.running.is_empty()).unwrap().0.clone();
    let vm = sim.runners[&id].vm.clone();
    let (now, within) = (sim.instant(), seconds(10.0));
    sim.cell.add_wave(now, Request { number: 1, vms: vec![vm], within, max_at_once: 1 });
    sim.run(seconds(0.02));
    let entry = Registration { incarnation: Some(u64::MAX), ..sim.registration(&id) };
    let now = sim.instant();
    sim.cell.update_registration(now, "other", Some(entry));
    // The simulated platform checks that no action ends a task.
    for _ in 0..5 {
        sim.run(seconds(1.0));
        sim.update_vms();
    }
}
