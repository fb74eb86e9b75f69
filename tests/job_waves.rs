//! When a maintenance wave is complete, while the owner's knowledge of its VMs is late, in part or gone.
//!
//! The simulation asserts at each report of a complete wave that every VM of it that there is has had
//! its maintenance. The tests here take away what the owner knows, and also check that each wave ends.

#![allow(clippy::unwrap_used)]

mod simulation;

use {
    carobhitch::job::{
        cell::Action,
        spec::Step,
        upkeep::{self, Request, State},
    },
    simulation::{Simulation, spec, step},
    std::time::Duration,
};

/// Time within which a wave of few VMs ends once nothing disturbs it.
const END_TIME: Duration = Duration::from_secs(20);

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

fn wave(number: u64, vms: &[&str]) -> Request {
    let vms = vms.iter().map(|id| String::from(*id)).collect();
    Request { number, vms, within: Duration::from_secs(20), max_at_once: 1 }
}

/// Simulation with as many VMs, whose list was read.
fn simulation(vms: usize) -> Simulation {
    let mut sim = Simulation::new(vms);
    sim.move_time = Some(seconds(2.0));
    sim.update_vms();
    sim.run(seconds(0.5));
    sim
}

/// How often the maintenance of a VM in a wave was asked for.
fn calls(sim: &Simulation, number: u64, id: &str) -> usize {
    let is_call = |action: &&Action| {
        let Action::ChangeVm(upkeep::Action::Upkeep { vm, wave }) = action else { return false };
        vm == id && *wave == number
    };
    sim.actions.iter().filter(is_call).count()
}

fn is_complete(sim: &Simulation, number: u64) -> bool {
    sim.wave_reports.get(&number).copied().unwrap_or_default()
}

/// Lets a wave end.
fn finish(sim: &mut Simulation, number: u64) {
    sim.run_with_lists(END_TIME);
    assert!(is_complete(sim, number), "wave {number} never ends");
}

/// Guards against a wave that is complete at once, as the VM was added after the last list (review 14).
#[test]
fn a_wave_waits_for_a_vm_that_was_added_after_the_last_list() {
    let mut sim = simulation(3);
    sim.add_runner("r3", "desk", "m3", 1);
    sim.order_wave(wave(1, &["m3"]));
    sim.run(seconds(0.4));
    assert!(!is_complete(&sim, 1));
    finish(&mut sim, 1);
    assert_eq!(calls(&sim, 1, "m3"), 1);
}

/// Guards against the same while the platform answers no call about VMs.
#[test]
fn a_wave_waits_while_the_list_is_away() {
    let mut sim = simulation(3);
    sim.vm_actions_down = true;
    sim.add_runner("r3", "desk", "m3", 1);
    sim.order_wave(wave(1, &["m0", "m3"]));
    sim.run(seconds(30.0));
    assert!(!is_complete(&sim, 1));
    sim.vm_actions_down = false;
    finish(&mut sim, 1);
}

/// Guards against a conclusion from a list that was asked for before the wave was ordered.
#[test]
fn a_list_from_before_a_wave_tells_nothing_of_its_vms() {
    let mut sim = simulation(3);
    let before = sim.instant();
    sim.run(seconds(3.0));
    sim.order_wave(wave(1, &["m9"]));
    sim.run(seconds(0.1));
    for _ in 0..10 {
        sim.update_vms_as_of(before);
        sim.run(seconds(0.5));
    }
    assert_eq!(calls(&sim, 1, "m9"), 0);
    assert!(!is_complete(&sim, 1));
    finish(&mut sim, 1);
}

/// Guards against a wave that is complete since one list has skipped a VM between two pages.
#[test]
fn a_list_in_part_completes_no_wave() {
    let mut sim = simulation(3);
    sim.unlisted_vms.insert("m1".into());
    sim.update_vms();
    sim.order_wave(wave(1, &["m1"]));
    sim.run_with_lists(seconds(1.0));
    assert!(!is_complete(&sim, 1));
    sim.unlisted_vms.clear();
    finish(&mut sim, 1);
    assert_eq!(calls(&sim, 1, "m1"), 1);
}

/// Guards against a wave that waits for a list that never shows its VM. Its runner is drained first.
#[test]
fn a_vm_that_no_list_shows_is_drained_and_maintained() {
    let mut sim = simulation(2);
    sim.unlisted_vms.insert("m1".into());
    let step = Step { endless: true, per_runner: 1, max_unavailable: 1, ..step(2, 1_000) };
    sim.submit(7, spec(vec![step]));
    sim.run_with_lists(seconds(3.0));
    assert!(!sim.runners["r1"].running.is_empty());
    sim.order_wave(wave(1, &["m1"]));
    finish(&mut sim, 1);
    assert_eq!(calls(&sim, 1, "m1"), 1);
}

/// Guards against a wave that never ends as a VM of it was removed for good.
#[test]
fn a_wave_ends_though_a_vm_of_it_is_removed() {
    let times = [0.0, 0.3, 2.0, 4.0];
    for (removed_after, busy) in times.iter().flat_map(|time| [(*time, false), (*time, true)]) {
        let mut sim = simulation(4);
        sim.missing_vms_busy = busy;
        sim.order_wave(wave(1, &["m0", "m1", "m2"]));
        sim.run_with_lists(seconds(removed_after));
        sim.remove_vm("m1");
        finish(&mut sim, 1);
        assert_eq!(calls(&sim, 1, "m2"), 1);
    }
}

/// Guards against a wave that never ends as the platform has no VM any more.
#[test]
fn a_wave_ends_though_all_vms_are_removed() {
    for busy in [false, true] {
        let mut sim = simulation(2);
        sim.missing_vms_busy = busy;
        sim.remove_vm("m0");
        sim.remove_vm("m1");
        sim.order_wave(wave(1, &["m0", "m1"]));
        finish(&mut sim, 1);
    }
}

/// Guards against a wave that never ends as another writer names a runner of a VM that there is not.
#[test]
fn a_wave_ends_though_a_foreign_registration_names_its_removed_vm() {
    let mut sim = simulation(2);
    sim.missing_vms_busy = true;
    sim.remove_vm("m1");
    let mut foreign = sim.registration("r0");
    foreign.vm = "m1".into();
    foreign.incarnation = Some(9);
    let now = sim.instant();
    sim.cell.update_registration(now, "x1", Some(foreign));
    sim.order_wave(wave(1, &["m1"]));
    finish(&mut sim, 1);
}

/// Guards against an answer from the platform that there is no such VM, which is taken for good.
#[test]
fn a_wave_is_open_again_when_a_vm_of_it_is_added_later() {
    let mut sim = simulation(2);
    sim.order_wave(wave(1, &["m0", "m9"]));
    finish(&mut sim, 1);
    sim.vm_actions_down = true;
    sim.add_runner("r9", "desk", "m9", 1);
    sim.update_vms();
    sim.run(seconds(0.1));
    assert!(!is_complete(&sim, 1));
    sim.vm_actions_down = false;
    finish(&mut sim, 1);
    assert_eq!(calls(&sim, 1, "m0"), 1);
}

/// Guards against a new owner that knows neither what the platform answered nor which VMs there are.
#[test]
fn a_new_owner_neither_completes_a_wave_early_nor_asks_again() {
    for taken_over_after in [0.1, 0.6, 1.0, 2.5, 4.0, 6.0, 9.0] {
        let mut sim = simulation(2);
        sim.missing_vms_busy = taken_over_after > 3.0;
        sim.order_wave(wave(1, &["m0", "m7", "m9"]));
        sim.run_with_lists(seconds(0.2));
        sim.add_runner("r9", "desk", "m9", 1);
        sim.run_with_lists(seconds(taken_over_after));
        let gone = calls(&sim, 1, "m7");
        sim.take_over();
        sim.run(seconds(0.3));
        finish(&mut sim, 1);
        let again = calls(&sim, 1, "m7");
        assert!(sim.missing_vms_busy || again <= gone.max(1), "the answer was stored");
        sim.take_over();
        sim.run_with_lists(seconds(2.0));
        assert!(is_complete(&sim, 1), "the next owner needs lists only");
        assert_eq!(calls(&sim, 1, "m7"), again);
    }
}

/// Guards against a wave that counts as complete while its VM is in maintenance for another wave.
#[test]
fn each_of_two_waves_maintains_a_vm_that_both_name() {
    let mut sim = simulation(2);
    sim.order_wave(wave(1, &["m0"]));
    sim.run_with_lists(seconds(0.5));
    assert_eq!(sim.vms["m0"].state, State::Upkeep);
    sim.order_wave(wave(2, &["m0"]));
    finish(&mut sim, 2);
    assert_eq!((calls(&sim, 1, "m0"), calls(&sim, 2, "m0")), (1, 1));
}

/// Guards against a wave that skips a VM on its way between two pools.
#[test]
fn a_wave_waits_for_a_vm_that_moves() {
    let mut sim = simulation(1);
    sim.add_spare("s0");
    sim.update_vms();
    sim.submit(1, spec(vec![Step { endless: true, ..step(11, 1_600) }]));
    sim.run_with_lists(seconds(1.0));
    assert_eq!(sim.vms["s0"].state, State::Moving);
    sim.order_wave(wave(1, &["s0"]));
    finish(&mut sim, 1);
    assert_eq!(calls(&sim, 1, "s0"), 1);
}

/// Guards against a wave that never ends, or ends early, as a call for it was not answered.
#[test]
fn a_wave_ends_after_calls_without_answer_for_a_vm_that_is_removed() {
    let mut sim = simulation(2);
    sim.vm_answer_delay = seconds(5.0);
    sim.order_wave(wave(1, &["m0", "m1"]));
    sim.run_with_lists(seconds(0.5));
    sim.remove_vm("m0");
    sim.run_with_lists(seconds(3.0));
    sim.take_over();
    sim.run_with_lists(seconds(1.0));
    sim.vm_answer_delay = Duration::ZERO;
    finish(&mut sim, 1);
}

/// Guards against a second VM taken down as a list has skipped the one that is down.
#[test]
fn a_vm_in_maintenance_that_a_list_leaves_out_counts_as_down() {
    for left_out_after in [0.1, 0.5, 1.0, 1.8] {
        let mut sim = simulation(3);
        sim.move_time = Some(seconds(4.0));
        sim.order_wave(wave(1, &["m0", "m1", "m2"]));
        sim.run_with_lists(seconds(left_out_after));
        sim.unlisted_vms.insert("m0".into());
        sim.run_with_lists(seconds(1.5));
        sim.unlisted_vms.clear();
        finish(&mut sim, 1);
    }
}

/// Guards against the same where the call for it got no answer, or the next owner knows only that it was made.
#[test]
fn a_vm_whose_maintenance_may_have_begun_counts_as_down_though_no_list_shows_it() {
    for delay in [0.0, 0.4, 5.0] {
        let mut sim = simulation(3);
        sim.vm_answer_delay = seconds(delay);
        sim.order_wave(wave(1, &["m0", "m1", "m2"]));
        sim.run(seconds(0.1));
        assert_eq!(calls(&sim, 1, "m0"), 1);
        sim.unlisted_vms.insert("m0".into());
        sim.take_over();
        sim.update_vms();
        sim.run_with_lists(seconds(1.4));
        sim.unlisted_vms.clear();
        sim.vm_answer_delay = Duration::ZERO;
        finish(&mut sim, 1);
    }
}

/// Guards against a wave that never ends as a runner is cut off, or never leaves though it says so.
#[test]
fn a_wave_ends_though_a_runner_of_it_does_not_answer_or_does_not_leave() {
    for draining in [false, true] {
        let mut sim = simulation(3);
        sim.submit(7, spec(vec![Step { endless: true, ..step(2, 1_000) }]));
        sim.run(seconds(2.0));
        if draining {
            let mut registration = sim.registration("r0");
            registration.draining = true;
            let now = sim.instant();
            sim.cell.update_registration(now, "r0", Some(registration));
        } else {
            sim.runners["r0"].partitioned = true;
        }
        sim.run_with_lists(seconds(1.0));
        sim.order_wave(wave(1, &["m0", "m1"]));
        sim.run_with_lists(seconds(9.0));
        assert_eq!(calls(&sim, 1, "m1"), 1, "it need not wait for the other VM");
        sim.run_with_lists(END_TIME);
        finish(&mut sim, 1);
    }
}

/// Guards against a wave that waits for one VM, which is leaving, before it maintains the others.
#[test]
fn a_vm_that_the_platform_refuses_as_busy_holds_up_no_other_vm() {
    let mut sim = simulation(3);
    sim.busy_vms.insert("m0".into());
    sim.order_wave(wave(1, &["m0", "m1", "m2"]));
    sim.run_with_lists(seconds(14.0));
    assert_eq!((calls(&sim, 1, "m1"), calls(&sim, 1, "m2")), (1, 1));
    assert!(!is_complete(&sim, 1));
    sim.busy_vms.clear();
    finish(&mut sim, 1);
}

/// Guards against a VM that counts as gone since the platform finds it busy, though only lists are late.
#[test]
fn a_vm_that_no_list_shows_for_a_while_is_not_gone_as_it_is_busy() {
    let mut sim = simulation(2);
    sim.add_runner("r9", "desk", "m9", 1);
    sim.unlisted_vms.insert("m9".into());
    sim.busy_vms.insert("m9".into());
    sim.order_wave(wave(1, &["m0", "m9"]));
    sim.run_with_lists(seconds(7.5));
    sim.unlisted_vms.clear();
    sim.run_with_lists(seconds(20.0));
    assert!(!is_complete(&sim, 1));
    sim.busy_vms.clear();
    finish(&mut sim, 1);
}

/// Guards against several removed VMs that take their time one after the other.
#[test]
fn a_wave_with_many_removed_vms_is_complete_in_time() {
    let mut sim = simulation(2);
    sim.missing_vms_busy = true;
    sim.order_wave(wave(1, &["m0", "m1", "a", "b", "c", "d", "e", "f"]));
    sim.run_with_lists(seconds(12.0));
    assert!(is_complete(&sim, 1));
}

/// Guards against a VM that counts as down for good, as it was removed during its maintenance and no list
/// has ever shown it; another wave still has to learn that it is gone.
#[test]
fn an_unlisted_vm_that_is_removed_in_maintenance_holds_up_no_wave() {
    let mut sim = simulation(3);
    sim.unlisted_vms.insert("m0".into());
    sim.update_vms();
    sim.order_wave(wave(1, &["m0", "m1"]));
    sim.order_wave(wave(2, &["m0", "m2"]));
    while calls(&sim, 1, "m0") + calls(&sim, 2, "m0") == 0 {
        sim.run_with_lists(seconds(0.1));
    }
    sim.remove_vm("m0");
    sim.run_with_lists(END_TIME);
    finish(&mut sim, 1);
    finish(&mut sim, 2);
}

/// Guards against a complete wave to which the operators have added a VM.
#[test]
fn a_wave_that_the_operators_extend_is_open_again() {
    let mut sim = simulation(3);
    sim.order_wave(wave(1, &["m0"]));
    finish(&mut sim, 1);
    sim.order_wave(wave(1, &["m0", "m1"]));
    sim.run(seconds(0.1));
    assert!(!is_complete(&sim, 1) || calls(&sim, 1, "m1") == 1);
    finish(&mut sim, 1);
    sim.order_wave(wave(1, &["m0", "m1"]));
    finish(&mut sim, 1);
    assert_eq!((calls(&sim, 1, "m0"), calls(&sim, 1, "m1")), (1, 1));
}

/// Guards against a report that waits for the ledger until a list has shown that it is no longer true.
#[test]
fn a_wave_that_is_open_again_before_it_was_reported_is_not_called_complete() {
    let mut sim = simulation(2);
    sim.order_wave(wave(1, &["m9"]));
    while calls(&sim, 1, "m9") == 0 {
        sim.run_with_lists(seconds(0.1));
    }
    sim.store_down = true;
    sim.run_with_lists(seconds(1.0));
    sim.add_runner("r9", "desk", "m9", 1);
    sim.update_vms();
    sim.store_down = false;
    finish(&mut sim, 1);
    assert_eq!(calls(&sim, 1, "m9"), 2);
}

/// Guards against a wave that is late since a VM of it never appears, also where its owner changes once or
/// twice and none is there for a while.
#[test]
fn a_wave_whose_vm_never_appears_is_complete_in_its_time() {
    let changes: [&[f64]; 7] = [&[], &[2.0], &[4.0], &[6.0], &[8.0], &[9.5], &[3.0, 8.0]];
    for changed_after in changes {
        let mut sim = simulation(2);
        sim.missing_vms_busy = true;
        let ordered_at = sim.now;
        sim.order_wave(wave(1, &["m9"]));
        for after in changed_after {
            let left = (ordered_at + seconds(*after)).saturating_sub(sim.now);
            sim.run_with_lists(left);
            sim.pause_owner(seconds(2.5));
            sim.take_over();
        }
        let left = (ordered_at + seconds(20.0)).saturating_sub(sim.now);
        sim.run_with_lists(left);
        assert!(is_complete(&sim, 1), "not after 20 s, with new owners after {changed_after:?}");
    }
}

/// Guards against a call at each tick for a VM that is gone, once a call for it got no answer.
#[test]
fn a_missing_vm_is_asked_for_once_a_second_at_most() {
    let mut sim = simulation(2);
    sim.missing_vms_busy = true;
    sim.vm_answer_delay = seconds(5.0);
    sim.order_wave(wave(1, &["m0"]));
    sim.run(seconds(0.3));
    assert_eq!(calls(&sim, 1, "m0"), 1);
    sim.remove_vm("m0");
    sim.run_with_lists(seconds(2.5));
    let before = calls(&sim, 1, "m0");
    sim.run_with_lists(seconds(4.0));
    let asked = calls(&sim, 1, "m0") - before;
    assert!(asked <= 5, "asked {asked} times in 4 s");
}

/// Guards against a new owner that takes a former owner's answer and one list in part for the end of a VM that was
/// added just before.
#[test]
fn a_new_owner_does_not_complete_a_wave_by_one_list() {
    let mut sim = simulation(2);
    sim.order_wave(wave(1, &["m9"]));
    while calls(&sim, 1, "m9") == 0 {
        sim.update_vms();
        sim.run(seconds(0.1));
    }
    assert!(!is_complete(&sim, 1), "no list was read since");
    sim.add_runner("r9", "desk", "m9", 1);
    sim.unlisted_vms.insert("m9".into());
    sim.take_over();
    sim.run_with_lists(seconds(0.6));
    assert!(!is_complete(&sim, 1));
    sim.unlisted_vms.clear();
    finish(&mut sim, 1);
    assert_eq!(calls(&sim, 1, "m9"), 2);
}
