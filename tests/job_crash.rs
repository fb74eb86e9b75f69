//! Tasks that crash the runners which start them, beside work that does not.
//!
//! A task that is started again after each crash takes runner after runner down, and all that runs
//! beside it. The simulation asserts that it is started less than three times after three crashes.
//! A job is given up only for crashes that it has caused, which no single crash can show.

#![allow(clippy::unwrap_used)]

mod simulation;

use {
    carobhitch::job::{
        ledger::Outcome,
        spec::{Step, Task},
    },
    rand::{Rng, SeedableRng, rngs::SmallRng},
    simulation::{MILLICORES, Runner, STEP, Simulation, spec, step},
    std::time::Duration,
};

const JOB: u64 = 0x7a1c_0b54_33e9_8d02;
/// Number of the first of the other jobs.
const OTHERS: u64 = 1_000;

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

fn task(step: u16, index: u16) -> Task {
    Task { job: JOB, occurrence: 0, step, index }
}

fn outcome(sim: &Simulation, job: u64) -> Option<Outcome> {
    sim.cell.jobs().get(&job).map(|job| job.stored_outcome)
}

/// Simulation in which the first task of [`JOB`]'s step `number` crashes its runners.
fn crashing(runners: usize, steps: Vec<Step>, number: u16) -> Simulation {
    let mut sim = Simulation::new(runners);
    sim.crashes.tasks.insert(task(number, 0));
    sim.submit(JOB, spec(steps));
    sim
}

/// Submits a job of four tasks each 0.5 s, for `rounds` rounds, and calls `each` in every round.
/// Returns the number of jobs.
fn play(sim: &mut Simulation, rounds: u64, mut each: impl FnMut(&mut Simulation, u64)) -> u64 {
    for round in 0..rounds {
        sim.submit(OTHERS + round, spec(vec![step(4, 2_000)]));
        each(sim, round);
        sim.run(seconds(0.5));
    }
    sim.run(seconds(30.0));
    rounds
}

/// Asserts that all other jobs are complete.
fn assert_others_complete(sim: &Simulation, jobs: u64) {
    for job in OTHERS..OTHERS + jobs {
        assert_eq!(outcome(sim, job), Some(Outcome::Complete), "job {job}");
    }
}

#[test]
fn a_task_that_crashes_every_runner_is_given_up_and_the_work_beside_it_is_done() {
    let mut sim = crashing(6, vec![step(6, 900)], 0);
    let jobs = play(&mut sim, 40, |_, _| {});
    assert_eq!(outcome(&sim, JOB), Some(Outcome::Failed));
    assert!(sim.crashes_under(&task(0, 0)) >= 2, "one crash shows nothing");
    assert_others_complete(&sim, jobs);
}

#[test]
fn a_second_crash_hits_no_work_of_others_while_there_is_an_empty_runner() {
    let mut sim = crashing(6, vec![step(6, 900)], 0);
    play(&mut sim, 20, |_, _| {});
    let of_others = |company: &Vec<Task>| company.iter().any(|other| other.job != JOB);
    let hit = sim.crashes.company[&task(0, 0)].iter().skip(1).filter(|c| of_others(c)).count();
    assert_eq!(hit, 0, "{:?}", sim.crashes.company);
}

#[test]
fn a_task_that_crashes_every_runner_without_closing_its_connections_is_given_up() {
    let mut sim = crashing(6, vec![step(6, 900)], 0);
    sim.crashes.silent = true;
    let jobs = play(&mut sim, 60, |_, _| {});
    assert_eq!(outcome(&sim, JOB), Some(Outcome::Failed));
    assert_others_complete(&sim, jobs);
}

#[test]
fn a_task_of_a_later_step_that_crashes_every_runner_is_given_up() {
    let second = Step { after: vec![0], ..step(3, 900) };
    let mut sim = crashing(6, vec![step(4, 900), second], 1);
    let jobs = play(&mut sim, 40, |_, _| {});
    assert_eq!(outcome(&sim, JOB), Some(Outcome::Failed));
    assert_others_complete(&sim, jobs);
}

#[test]
fn an_endless_task_that_crashes_every_runner_is_given_up() {
    let endless = Step { endless: true, ..step(5, 700) };
    let mut sim = crashing(6, vec![endless], 0);
    let jobs = play(&mut sim, 40, |_, _| {});
    assert_eq!(outcome(&sim, JOB), Some(Outcome::Failed));
    assert_others_complete(&sim, jobs);
}

#[test]
fn a_gang_with_a_member_that_crashes_every_runner_is_given_up() {
    let gang = Step { gang: true, ..step(5, 6_000) };
    let mut sim = crashing(8, vec![gang], 0);
    let jobs = play(&mut sim, 40, |_, _| {});
    assert_eq!(outcome(&sim, JOB), Some(Outcome::Failed));
    assert_others_complete(&sim, jobs);
}

#[test]
fn a_task_that_crashes_runners_which_restart_under_their_names_is_given_up() {
    let mut sim = crashing(6, vec![step(6, 900)], 0);
    sim.crashes.keeps_name = true;
    let jobs = play(&mut sim, 40, |_, _| {});
    assert_eq!(outcome(&sim, JOB), Some(Outcome::Failed));
    assert_others_complete(&sim, jobs);
}

#[test]
fn a_task_whose_start_is_never_answered_before_the_crash_is_given_up() {
    let mut sim = crashing(6, vec![step(6, 900)], 0);
    sim.crashes.keeps_name = true;
    let jobs = play(&mut sim, 40, |sim, _| {
        sim.runners.values_mut().for_each(|runner| runner.loses_answers = true);
    });
    assert_eq!(outcome(&sim, JOB), Some(Outcome::Failed));
    assert_others_complete(&sim, jobs);
}

#[test]
fn an_endless_task_that_crashes_its_runners_some_time_after_its_start_is_given_up() {
    for delay in [2.2, 2.6, 4.0, 9.0, 15.0] {
        let endless = Step { endless: true, ..step(5, 700) };
        let mut sim = crashing(6, vec![endless], 0);
        sim.crashes.delay = seconds(delay);
        let jobs = play(&mut sim, 240, |_, _| {});
        assert_eq!(outcome(&sim, JOB), Some(Outcome::Failed), "after {delay} s");
        assert_others_complete(&sim, jobs);
    }
}

#[test]
fn a_finite_task_that_crashes_its_runners_some_time_after_its_start_is_given_up() {
    let mut sim = crashing(6, vec![step(6, 900)], 0);
    sim.crashes.delay = seconds(3.5);
    sim.run_time = seconds(4.0);
    let jobs = play(&mut sim, 100, |_, _| {});
    assert_eq!(outcome(&sim, JOB), Some(Outcome::Failed));
    assert_others_complete(&sim, jobs);
}

#[test]
fn what_is_known_of_a_crashing_task_outlasts_takeovers() {
    for period in [3, 5, 7, 9, 11] {
        let mut sim = crashing(6, vec![step(6, 900)], 0);
        play(&mut sim, 60, |sim, round| {
            if round % period == period - 1 {
                sim.take_over();
            }
        });
        assert_eq!(outcome(&sim, JOB), Some(Outcome::Failed), "period {period}");
    }
}

#[test]
fn a_task_that_crashes_its_runner_is_given_up_though_each_owner_that_starts_it_ends() {
    for delay_steps in [0, 1, 3, 30, 150] {
        let mut sim = crashing(6, vec![step(6, 900)], 0);
        let (mut crashes, mut ends_in) = (0, None);
        for _ in 0..2_000 {
            if sim.crashes_under(&task(0, 0)) > crashes {
                crashes += 1;
                ends_in = Some(delay_steps);
            }
            if ends_in == Some(0) {
                sim.take_over();
            }
            ends_in = ends_in.and_then(|steps: u32| steps.checked_sub(1));
            sim.run(STEP);
        }
        assert_eq!(outcome(&sim, JOB), Some(Outcome::Failed), "{delay_steps} steps later");
    }
}

#[test]
fn what_is_known_of_a_crashing_task_outlasts_a_restart_of_all_entries() {
    for down in [1.0, 4.0, 9.0] {
        let mut sim = crashing(6, vec![step(6, 900)], 0);
        play(&mut sim, 60, |sim, round| {
            if round % 15 == 14 {
                sim.pause_owner(seconds(down));
                sim.take_over();
            }
        });
        assert_eq!(outcome(&sim, JOB), Some(Outcome::Failed), "down for {down} s");
    }
}

#[test]
fn what_is_known_of_a_crashing_task_outlasts_a_store_that_is_away() {
    for round_down in 4..12 {
        let mut sim = crashing(6, vec![step(6, 900)], 0);
        play(&mut sim, 60, |sim, round| sim.store_down = round % 12 >= round_down);
        sim.store_down = false;
        sim.run(seconds(20.0));
        assert_eq!(outcome(&sim, JOB), Some(Outcome::Failed), "away from round {round_down}");
    }
}

/// Crashes the runner of a VM.
fn crash_vm(sim: &mut Simulation, vm: u64) {
    let on_vm =
        |(id, runner): (&String, &Runner)| (runner.vm == format!("m{vm}")).then(|| id.clone());
    let id = sim.runners.iter().find_map(on_vm).unwrap();
    sim.crash(&id);
}

#[test]
fn work_on_runners_that_crash_by_themselves_is_not_given_up() {
    (0..12).for_each(check_crashes_without_cause);
}

#[test]
fn work_on_runners_that_crash_in_step_with_its_starts_is_not_given_up() {
    [34, 43].into_iter().for_each(check_crashes_without_cause);
}

/// Checks that no work is given up on runners that crash by themselves, at the moments of a seed.
fn check_crashes_without_cause(seed: u64) {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut sim = Simulation::new(6);
    sim.run_time = seconds(1.5);
    sim.submit(JOB, spec(vec![Step { endless: true, ..step(5, 700) }]));
    let jobs = play(&mut sim, 120, |sim, round| {
        // Two VMs go down and up by turns, the others crash now and then.
        sim.run(Duration::from_millis(random.random_range(0..500)));
        if round % 4 == 0 {
            crash_vm(sim, round / 4 % 2);
        }
        if random.random_bool(0.125) {
            crash_vm(sim, random.random_range(2..6));
        }
    });
    assert_eq!(outcome(&sim, JOB), Some(Outcome::Open), "seed {seed}");
    assert_others_complete(&sim, jobs);
}

#[test]
fn work_on_runners_that_are_cut_off_is_not_suspected() {
    let mut sim = Simulation::new(3);
    sim.submit(JOB, spec(vec![step(9, 1_500)]));
    let jobs = play(&mut sim, 60, |sim, round| {
        let cut = round % 10 >= 1;
        sim.runners.values_mut().take(1).for_each(|runner| runner.partitioned = cut);
    });
    sim.runners.values_mut().for_each(|runner| runner.partitioned = false);
    sim.run(seconds(20.0));
    assert_eq!(outcome(&sim, JOB), Some(Outcome::Complete));
    assert_others_complete(&sim, jobs);
}

#[test]
fn a_runner_is_open_to_others_again_once_a_suspect_is_established_on_it() {
    let mut sim = Simulation::new(2);
    sim.submit(JOB, spec(vec![Step { endless: true, ..step(1, 700) }]));
    sim.run(seconds(0.2));
    let host = sim.runs(task(0, 0)).remove(0);
    sim.crash(&host);
    sim.run(seconds(3.4));
    let isolated = |sim: &Simulation| {
        sim.cell.workers().values().any(|worker| worker.isolated_for == Some(JOB))
    };
    assert!(isolated(&sim), "it had just been started on the runner that crashed");
    sim.run(seconds(3.0));
    assert!(!isolated(&sim));
    let wide = spec(vec![step(30, 1_000)]);
    sim.submit(OTHERS, wide);
    sim.run(seconds(0.5));
    let runs = sim.runners.values().map(|runner| runner.running.len()).sum::<usize>();
    assert_eq!(runs, 31, "both runners are used");
}

#[test]
fn several_tasks_that_crash_runners_stop_neither_each_other_nor_the_rest() {
    let mut sim = Simulation::new(10);
    let bad = 5;
    for number in 0..bad {
        sim.crashes.tasks.insert(Task { job: JOB + number, ..task(0, 0) });
    }
    let jobs = play(&mut sim, 60, |sim, round| {
        if round < bad {
            sim.submit(JOB + round, spec(vec![step(6, 900)]));
        }
    });
    for job in JOB..JOB + bad {
        assert_eq!(outcome(&sim, job), Some(Outcome::Failed));
    }
    assert_others_complete(&sim, jobs);
}

#[test]
fn a_crashing_task_is_given_up_on_a_pool_that_is_never_empty() {
    let mut sim = crashing(4, vec![step(3, 900)], 0);
    for job in 0..8 {
        let endless = Step { endless: true, ..step(1, 1_000) };
        sim.submit(OTHERS + 10_000 + job, spec(vec![endless]));
    }
    let jobs = play(&mut sim, 60, |sim, round| {
        sim.submit(OTHERS + 20_000 + round, spec(vec![step(4, MILLICORES / 4)]));
    });
    sim.run(seconds(30.0));
    assert_eq!(outcome(&sim, JOB), Some(Outcome::Failed));
    assert_others_complete(&sim, jobs);
}

/// Guards against a task that waits, as its only possible runner has crashed more often than others that
/// can't take it.
#[test]
fn a_task_that_only_one_runner_can_take_starts_there_again_though_it_crashed_repeatedly() {
    let mut sim = Simulation::new(7);
    sim.runners["r0"].rack = "special".into();
    let (now, registration) = (sim.instant(), sim.registration("r0"));
    sim.cell.update_registration(now, "r0", Some(registration));
    sim.crashes.keeps_name = true;
    sim.crashes.restart_time = seconds(0.7);
    sim.submit(JOB, spec(vec![Step { endless: true, label: "special".into(), ..step(1, 2_000) }]));
    sim.run(seconds(1.0));
    for _ in 0..4 {
        sim.crash("r0");
        sim.run(seconds(1.4));
    }
    sim.run(seconds(5.0));
    assert_eq!(outcome(&sim, JOB), Some(Outcome::Open));
    assert_eq!(sim.runners["r0"].running.len(), 1, "it waits though its runner is up");
}
