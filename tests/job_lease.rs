//! Leases of runners that have restarted under their names without the owner's knowledge.
//!
//! Such a runner's clock has begun anew, so a lease until a time on its former clock is the longest one
//! that runners take. The simulated runners check that no task runs twice at a time, and that no lease
//! is longer than the owner counts with.

#![allow(clippy::unwrap_used)]

mod simulation;

use {
    carobhitch::job::{
        cell::{LEASE, Lease},
        ledger::Outcome,
        settings::Bounds,
        spec::Step,
    },
    proptest::{
        prelude::*,
        test_runner::{Config, RngSeed},
    },
    simulation::{Simulation, spec, step},
    std::time::{Duration, Instant},
};

const BOUND: Duration = Duration::from_secs(6);

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

/// Two runners that the owner knows, of which the first has restarted unseen; tasks take 7 s.
fn restarted_unseen() -> Simulation {
    restarted_unseen_with(BOUND)
}

/// The same where runners take leases of up to `lease`.
fn restarted_unseen_with(lease: Duration) -> Simulation {
    let mut sim = Simulation::with_bounds(2, Bounds { lease, ..Bounds::default() });
    sim.run_time = seconds(7.0);
    sim.run(seconds(10.0));
    sim.restart("r0");
    sim
}

/// Submits a job of one task, which starts on the runner `r0`.
fn start_on_restarted(sim: &mut Simulation, id: u64) {
    sim.submit(id, spec(vec![step(1, 2_000)]));
    sim.run(seconds(0.1));
    assert_eq!(sim.runners["r0"].running.len(), 1);
}

fn complete(sim: &mut Simulation, id: u64) {
    sim.run(seconds(20.0));
    sim.runners["r0"].partitioned = false;
    sim.run(seconds(20.0));
    assert_eq!(sim.cell.jobs()[&id].stored_outcome, Outcome::Complete);
}

/// Guards against a second run beside the first, which has a lease that its owner took for shorter.
#[test]
fn a_task_on_a_runner_that_restarted_unseen_runs_once_though_the_runner_is_cut_off() {
    let mut sim = restarted_unseen();
    start_on_restarted(&mut sim, 1);
    sim.run(seconds(0.8));
    sim.runners["r0"].partitioned = true;
    complete(&mut sim, 1);
}

/// The same where the only call that reaches the new incarnation is the start, and its answer is lost.
#[test]
fn a_start_whose_answer_is_lost_counts_with_the_longest_lease() {
    let mut sim = restarted_unseen();
    sim.runners["r0"].loses_answers = true;
    start_on_restarted(&mut sim, 1);
    sim.runners["r0"].partitioned = true;
    complete(&mut sim, 1);
}

/// The same where a task that ended before has left a long lease behind.
#[test]
fn a_lease_that_an_earlier_task_was_granted_counts_for_a_later_one() {
    let mut sim = restarted_unseen();
    sim.run_time = seconds(0.5);
    start_on_restarted(&mut sim, 1);
    sim.run(seconds(0.6));
    sim.run_time = seconds(7.0);
    start_on_restarted(&mut sim, 2);
    sim.runners["r0"].partitioned = true;
    complete(&mut sim, 2);
}

/// The same where the earlier task was another owner's.
#[test]
fn a_lease_that_a_former_owner_granted_counts_for_a_later_task() {
    let mut sim = restarted_unseen();
    sim.run_time = seconds(0.5);
    start_on_restarted(&mut sim, 1);
    sim.run(seconds(0.6));
    sim.take_over();
    sim.run_time = seconds(7.0);
    sim.run(seconds(0.1));
    start_on_restarted(&mut sim, 2);
    sim.runners["r0"].partitioned = true;
    complete(&mut sim, 2);
}

/// The same where another owner takes over between the start and the cut.
#[test]
fn a_new_owner_counts_with_the_longest_lease_of_the_former_one() {
    for pause in [0.0, 1.0, 3.0] {
        let mut sim = restarted_unseen();
        start_on_restarted(&mut sim, 1);
        sim.pause_owner(seconds(pause));
        sim.take_over();
        sim.run(seconds(0.2));
        sim.runners["r0"].partitioned = true;
        complete(&mut sim, 1);
    }
}

/// The same where runners take longer leases than an owner renews, or shorter ones than it grants.
#[test]
fn leases_of_any_bound_are_waited_for() {
    for bound in [1.0, 3.0, 10.0, 20.0] {
        for takes_over in [false, true] {
            let mut sim = restarted_unseen_with(seconds(bound));
            sim.run_time = seconds(25.0);
            start_on_restarted(&mut sim, 1);
            if takes_over {
                sim.take_over();
                sim.run(seconds(0.2));
            }
            sim.runners["r0"].partitioned = true;
            sim.run(seconds(25.0));
            sim.run_time = seconds(1.0);
            complete(&mut sim, 1);
        }
    }
}

/// The same for each member of a gang, on two runners that both restarted unseen.
#[test]
fn a_gang_on_runners_that_restarted_unseen_runs_once() {
    let mut sim = restarted_unseen();
    sim.restart("r1");
    let gang = Step { gang: true, per_runner: 1, ..step(2, 2_000) };
    sim.submit(1, spec(vec![gang]));
    sim.run(seconds(0.3));
    sim.runners["r0"].partitioned = true;
    complete(&mut sim, 1);
}

/// The same for an endless task.
#[test]
fn an_endless_task_on_a_runner_that_restarted_unseen_runs_once() {
    let mut sim = restarted_unseen();
    sim.submit(1, spec(vec![Step { endless: true, ..step(1, 2_000) }]));
    sim.run(seconds(0.5));
    sim.runners["r0"].partitioned = true;
    sim.run(seconds(20.0));
    assert_eq!(sim.runners["r1"].running.len(), 1);
}

/// Guards against waiting for the longest lease where the runner is known: a task of a runner that is
/// cut off starts elsewhere once the lease that it was granted has expired.
#[test]
fn a_task_of_a_known_runner_waits_for_the_granted_lease_only() {
    let mut sim = Simulation::new(2);
    sim.run_time = seconds(7.0);
    sim.run(seconds(10.0));
    start_on_restarted(&mut sim, 1);
    sim.runners["r0"].partitioned = true;
    sim.run(seconds(4.0));
    assert_eq!(sim.runners["r1"].running.len(), 1);
}

/// Guards against a lease that a late start of another task extends: it is given up and stopped, but the
/// runner takes the time that it carries, on a clock of before its restart.
#[test]
fn a_start_that_arrives_late_on_a_restarted_runner_extends_no_lease_unreckoned() {
    let mut sim = Simulation::new(5);
    sim.submit(1, spec(vec![Step { endless: true, ..step(2, 1_000) }]));
    sim.submit(2, spec(vec![step(1, 3_000)]));
    // Of the three starts, only that of the last task is late.
    sim.late_share = 0.5;
    sim.restart("r0");
    sim.run(seconds(0.02));
    sim.late_share = 0.0;
    sim.run(seconds(20.0));
}

/// Guards against a second run beside the first where the start is carried out late by an incarnation that
/// no other call reaches: it has seen no fence, and its clock is not known.
#[test]
fn a_start_that_a_cut_off_incarnation_carries_out_late_runs_once() {
    let mut sim = restarted_unseen();
    sim.run_time = seconds(3.0);
    sim.runners["r0"].order_delay = Some(seconds(5.0));
    sim.runners["r0"].partitioned = true;
    sim.submit(1, spec(vec![step(1, 2_000)]));
    sim.run(seconds(0.1));
    sim.runners["r0"].order_delay = None;
    complete(&mut sim, 1);
}

/// What happens to a runner and its owner next.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// Time passes, in milliseconds.
    Pass(u64),
    /// The runner restarts: its clock begins anew.
    Restart,
    /// A call grants a lease; whether it arrives, and whether its answer does.
    Grant(bool, bool),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        3 => (1u64..4_000).prop_map(Event::Pass),
        1 => Just(Event::Restart),
        4 => any::<(bool, bool)>().prop_map(|(arrives, answered)| Event::Grant(arrives, answered)),
    ]
}

proptest! {
    #![proptest_config(Config {
        cases: 2_000,
        rng_seed: RngSeed::Fixed(38),
        failure_persistence: None,
        ..Config::default()
    })]

    /// Guards against any sequence of calls and restarts after which a runner holds a longer lease than
    /// its owner counts with.
    #[test]
    fn no_runner_holds_a_longer_lease_than_its_owner_counts_with(
        events in prop::collection::vec(event(), 1..60)
    ) {
        let origin = Instant::now();
        let mut now = origin + Duration::from_secs(60);
        let (mut born_at, mut held) = (origin, origin);
        let mut lease = Lease::none(BOUND, now);
        let _ = lease.observe(now, 60_000);
        for event in events {
            match event {
                Event::Pass(ms) => now += Duration::from_millis(ms),
                Event::Restart => (born_at, held) = (now, origin),
                Event::Grant(arrives, answered) => {
                    let until_ms = lease.grant(now).unwrap();
                    if arrives {
                        let until = born_at + Duration::from_millis(until_ms);
                        held = held.max(until.min(now + BOUND));
                    }
                    if arrives && answered {
                        let _ = lease.observe(now, (now - born_at).as_millis() as u64);
                        prop_assert!(held <= lease.expiry(), "{:?} longer", held - lease.expiry());
                    } else {
                        lease.lose_answer(now);
                    }
                }
            }
            prop_assert!(held <= lease.latest_expiry());
        }
        prop_assert!(lease.grant(now).is_some() && lease.expiry() >= now + LEASE);
    }
}

/// Guards against a second run of an endless task where a restarted runner carries a start out seconds
/// later: the time until which it does is on its former clock.
#[test]
fn a_start_that_a_restarted_runner_carries_out_late_is_stopped() {
    for delay in [3.0, 5.0, 9.0] {
        let mut sim = restarted_unseen();
        sim.runners["r0"].order_delay = Some(seconds(delay));
        sim.submit(1, spec(vec![Step { endless: true, ..step(2, 2_000) }]));
        sim.run(seconds(0.3));
        sim.runners["r0"].order_delay = None;
        sim.run(seconds(20.0));
        let running: usize = sim.runners.values().map(|runner| runner.running.len()).sum();
        assert_eq!(running, 2);
    }
}
