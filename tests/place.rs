//! Placement of jobs on workers under leases.
//!
//! Answers are lost, leases expire, workers fail and controllers are replaced. None of it may start
//! a job twice that isn't repeatable, or give a worker more than it has.

use {
    carobhitch::{
        job::{Job, Priority, Size},
        place::{Action, LEASE, Outcome, Scheduler, Verb, index::Grid},
        platform::{Progress, Usage},
    },
    proptest::prelude::*,
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::{collections::HashSet, time::Duration},
    support::{Delivery, Fake, GIB, add_workers, job, size, teams},
};

mod support;

const SECOND: Duration = Duration::from_secs(1);

/// Delivers every action after 100 ms.
fn prompt(_: &Action) -> Delivery {
    Delivery::After(Duration::from_millis(100))
}

/// Lets every job complete after `secs` seconds.
fn runs(secs: u64) -> impl FnMut(&str, &str) -> (Duration, Progress) {
    move |_, _| (Duration::from_secs(secs), Progress::Done)
}

/// A job that isn't repeatable.
fn once(id: &str) -> Job {
    Job { repeatable: false, ..job(id, "a", size(1_000, 1), Priority::Normal) }
}

#[test]
fn tasks_of_one_kind_are_spread_over_zones_and_racks() {
    let mut fake = Fake::new(prompt, runs(600));
    add_workers(&mut fake.scheduler, "pool", 24);
    for i in 0..6 {
        fake.submit(&job(&format!("j{i}"), "a", size(1_000, 1), Priority::Normal));
    }
    fake.advance(SECOND);
    let racks: HashSet<(usize, usize)> = (0..6)
        .filter_map(|i| fake.scheduler.worker_of(&format!("j{i}")))
        .map(|w| w[1..].parse::<usize>().unwrap())
        .map(|i| (i % 3, i / 12))
        .collect();
    assert_eq!(racks.len(), 6);
}

#[test]
fn a_start_whose_answer_was_lost_runs_once() {
    let mut first = true;
    let first_answer_lost = move |action: &Action| match action.verb == Verb::Start && first {
        true => {
            first = false;
            Delivery::AnswerLost(Duration::from_millis(100))
        }
        false => prompt(action),
    };
    let mut fake = Fake::new(first_answer_lost, runs(60));
    add_workers(&mut fake.scheduler, "pool", 3);
    fake.submit(&once("j"));
    fake.advance(90 * SECOND);
    assert_eq!(fake.starts["j"], 1);
    assert_eq!(fake.outcomes["j"], Outcome::Done);
}

// An expired lease doesn't prove that the task has ended: without an answer from the worker, it may
// still run.
#[test]
fn a_job_that_is_not_repeatable_has_no_second_attempt_after_its_lease_expired() {
    let lost_after_start = |action: &Action| {
        if action.verb == Verb::Start { prompt(action) } else { Delivery::Lost }
    };
    let mut fake = Fake::new(lost_after_start, runs(3_600));
    add_workers(&mut fake.scheduler, "pool", 3);
    fake.submit(&once("j"));
    fake.advance(3 * LEASE);
    assert_eq!((fake.starts["j"], fake.copies("j")), (1, 1));
    assert_eq!(fake.outcomes.get("j"), None);
    let worker = fake.scheduler.worker_of("j").unwrap().clone();
    fake.kill(&worker);
    fake.advance(10 * SECOND);
    assert_eq!((fake.starts["j"], fake.outcomes["j"]), (1, Outcome::Unknown));
}

#[test]
fn a_repeatable_job_runs_elsewhere_after_its_lease_expired_and_its_first_worker_stays_held() {
    let first_attempt_lost = |action: &Action| match (action.attempt, action.verb) {
        (0, Verb::Start) => prompt(action),
        (0, _) => Delivery::Lost,
        _ => prompt(action),
    };
    let mut fake = Fake::new(first_attempt_lost, runs(3_600));
    add_workers(&mut fake.scheduler, "pool", 2);
    fake.submit(&job("j", "a", size(16_000, 64), Priority::Normal));
    fake.advance(SECOND);
    let first = fake.scheduler.worker_of("j").unwrap().clone();
    fake.advance(LEASE + 2 * SECOND);
    assert_ne!(fake.scheduler.worker_of("j"), Some(&first));
    fake.submit(&job("k", "a", size(1_000, 1), Priority::Normal));
    fake.advance(10 * SECOND);
    assert_eq!(fake.scheduler.worker_of("k"), None);
    assert_eq!(fake.overcommits, 0);
}

#[test]
fn cancelled_jobs_are_stopped_together_and_each_only_once() {
    let mut fake = Fake::new(prompt, runs(3_600));
    add_workers(&mut fake.scheduler, "pool", 3);
    let ids: Vec<String> = (0..60).map(|i| format!("j{i}")).collect();
    for id in &ids {
        fake.submit(&job(id, "a", size(1_000, 1), Priority::Normal));
    }
    fake.advance(2 * SECOND);
    let twice: Vec<String> = ids.iter().chain(&ids).cloned().collect();
    let actions = fake.cancel(&twice);
    let operations: HashSet<String> = actions.iter().map(Action::operation).collect();
    assert!(actions.iter().all(|action| action.verb == Verb::Stop));
    assert_eq!((actions.len(), operations.len()), (48, 48));
    assert_eq!(fake.cancel(&twice), []);
    fake.advance(5 * SECOND);
    assert_eq!((fake.running(), fake.outcomes.len(), fake.scheduler.queued()), (0, 60, 0));
}

#[test]
fn a_stop_does_not_overtake_the_start_it_cancels() {
    let slow_start = |action: &Action| match action.verb {
        Verb::Start => Delivery::After(SECOND),
        _ => prompt(action),
    };
    let mut fake = Fake::new(slow_start, runs(3_600));
    add_workers(&mut fake.scheduler, "pool", 3);
    fake.submit(&once("j"));
    fake.advance(Duration::from_millis(400));
    fake.cancel(&["j".into()]);
    fake.advance(5 * SECOND);
    assert_eq!((fake.running(), fake.outcomes["j"]), (0, Outcome::Cancelled));
}

#[test]
fn an_adopted_task_is_renewed_and_not_started_again() {
    let mut fake = Fake::new(prompt, runs(3_600));
    add_workers(&mut fake.scheduler, "pool", 3);
    let now = fake.now;
    let actions = fake.scheduler.adopt(now, &once("j"), 2, &"w1".into());
    assert_eq!(actions.iter().map(|a| (a.verb, a.attempt)).collect::<Vec<_>>(), [(Verb::Renew, 2)]);
    assert_eq!(fake.scheduler.worker_of("j").unwrap(), "w1");
    assert_eq!(fake.scheduler.adopt(now, &once("j"), 2, &"w1".into()), []);
}

#[test]
fn a_new_controller_starts_nothing_twice_and_follows_tasks_to_their_workers() {
    let slow_start = |action: &Action| match action.verb {
        Verb::Start => Delivery::After(SECOND),
        _ => prompt(action),
    };
    let mut fake = Fake::new(slow_start, runs(600));
    add_workers(&mut fake.scheduler, "pool", 6);
    let jobs: Vec<Job> = (0..12).map(|i| once(&format!("j{i}"))).collect();
    jobs[..6].iter().for_each(|job| fake.submit(job));
    fake.advance(3 * SECOND);
    jobs[6..].iter().for_each(|job| fake.submit(job));
    fake.advance(Duration::from_millis(400));
    // The starts of the second half are in flight when another controller takes over. It has the
    // workers in another order, so that it chooses other workers for them.
    fake.scheduler = Scheduler::default();
    (0..6).rev().for_each(|i| {
        let vm = support::vm("pool", i % 3, i / 12);
        fake.scheduler.add_worker(&format!("w{i}"), &vm, size(16_000, 64));
    });
    for report in fake.reports() {
        let job = jobs.iter().find(|job| report.task == format!("{}.0", job.id)).unwrap();
        fake.scheduler.adopt(fake.now, job, 0, &report.worker);
    }
    jobs.iter().for_each(|job| fake.submit(job));
    fake.advance(5 * SECOND);
    assert!(fake.starts.values().all(|starts| *starts == 1));
    fake.report();
    for report in fake.reports() {
        let (job, _) = report.task.rsplit_once('.').unwrap();
        assert_eq!(fake.scheduler.worker_of(job), Some(&report.worker));
    }
    fake.advance(700 * SECOND);
    assert!(
        jobs.iter().all(|job| fake.outcomes[&job.id] == Outcome::Done && fake.starts[&job.id] == 1)
    );
    assert!(fake.scheduler.workers().iter().all(|w| w.held == Size::default()));
}

#[test]
fn only_tasks_that_the_scheduler_does_not_know_are_stopped() {
    let mut fake = Fake::new(prompt, runs(600));
    add_workers(&mut fake.scheduler, "pool", 3);
    fake.submit(&once("j"));
    fake.submit(&once("k"));
    fake.advance(2 * SECOND);
    let reports = fake.reports();
    assert_eq!(fake.scheduler.stop_unknown(&reports), []);
    let mut other = Scheduler::default();
    add_workers(&mut other, "pool", 3);
    let worker = fake.scheduler.worker_of("j").unwrap().clone();
    other.adopt(fake.now, &once("j"), 0, &worker);
    let stops: Vec<(String, Verb)> =
        other.stop_unknown(&reports).iter().map(|action| (action.task(), action.verb)).collect();
    assert_eq!(stops, [("k.0".into(), Verb::Stop)]);
}

#[test]
fn tasks_of_a_dead_worker_run_elsewhere() {
    let mut fake = Fake::new(prompt, runs(60));
    add_workers(&mut fake.scheduler, "pool", 3);
    fake.submit(&job("j", "a", size(1_000, 1), Priority::Normal));
    fake.advance(2 * SECOND);
    let worker = fake.scheduler.worker_of("j").unwrap().clone();
    fake.kill(&worker);
    fake.advance(90 * SECOND);
    assert_eq!((fake.starts["j"], fake.outcomes["j"]), (2, Outcome::Done));
}

proptest! {
    #![proptest_config(support::seeded(256))]

    #[test]
    fn no_worker_is_overcommitted_and_only_repeatable_jobs_start_twice(seed in any::<u64>()) {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut chaos = SmallRng::seed_from_u64(seed ^ 1);
        let delivery = move |_: &Action| {
            let delay = Duration::from_millis(chaos.random_range(10..1_500));
            match chaos.random_range(0..20) {
                0 => Delivery::Lost,
                1 => Delivery::AnswerLost(delay),
                _ => Delivery::After(delay),
            }
        };
        let mut length = SmallRng::seed_from_u64(seed ^ 2);
        let run = move |_: &str, _: &str| {
            (Duration::from_secs(length.random_range(1..900)), Progress::Done)
        };
        let mut fake = Fake::new(delivery, run);
        add_workers(&mut fake.scheduler, "pool", 4);
        fake.scheduler.set_teams(&teams(&[("a", 30_000), ("b", 20_000)]));
        let mut single = Vec::new();
        for i in 0..80 {
            let priority = [Priority::Urgent, Priority::Normal, Priority::Low][rng.random_range(0..3)];
            let need = size(rng.random_range(1..12) * 1_000, rng.random_range(1..40));
            let team = ["a", "b"][rng.random_range(0..2)];
            let mut new = job(&format!("j{i}"), team, need, priority);
            new.repeatable = rng.random_bool(0.7);
            if !new.repeatable {
                single.push(new.id.clone());
            }
            fake.submit(&new);
            if rng.random_bool(0.1) {
                fake.cancel(&[format!("j{}", rng.random_range(0..=i))]);
            }
            fake.advance(Duration::from_secs(rng.random_range(0..30)));
        }
        fake.advance(Duration::from_secs(7_200));
        prop_assert_eq!(fake.overcommits, 0);
        prop_assert!(single.iter().all(|id| fake.starts.get(id).is_none_or(|n| *n <= 1)));
        prop_assert_eq!((fake.outcomes.len(), fake.scheduler.queued(), fake.running()), (80, 0, 0));
        let held = fake.scheduler.workers().iter().all(|w| w.held == Size::default());
        prop_assert!(held);
    }

    #[test]
    fn a_search_finds_a_worker_that_fits_and_the_grid_keeps_all(seed in any::<u64>()) {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut grid = Grid::default();
        let mut sizes: Vec<Size> = Vec::new();
        let mut positions = Vec::new();
        for key in 0..200 {
            let free = size(rng.random_range(0..16_000), rng.random_range(0..64));
            positions.push(grid.insert(key, &free));
            sizes.push(free);
        }
        for key in 0..100_u32 {
            if let Some(moved) = grid.remove(positions[key as usize]) {
                positions[moved as usize] = positions[key as usize];
            }
        }
        let found: HashSet<u32> = grid.search(&Size::default(), 1_000, |_| true).into_iter().collect();
        prop_assert!(found.iter().all(|key| *key >= 100));
        prop_assert_eq!(found.len(), 100);
        let need = size(rng.random_range(0..16_000), rng.random_range(0..64));
        let fitting = grid.search(&need, 8, |key| sizes[key as usize].holds(&need));
        let any = (100..200).any(|key| sizes[key].holds(&need));
        prop_assert!(fitting.iter().all(|key| sizes[*key as usize].holds(&need)));
        prop_assert_eq!(fitting.is_empty(), !any);
    }
}

#[test]
fn a_dead_worker_takes_no_tasks_before_it_is_added_again() {
    let mut fake = Fake::new(prompt, runs(60));
    add_workers(&mut fake.scheduler, "pool", 1);
    fake.kill(&"w0".into());
    fake.scheduler.set_worker(&"w0".into(), true);
    fake.submit(&once("j"));
    fake.advance(5 * SECOND);
    assert!(!fake.starts.contains_key("j"), "its tasks would never be answered");
    add_workers(&mut fake.scheduler, "pool", 1);
    fake.advance(5 * SECOND);
    assert_eq!(fake.starts["j"], 1);
}

/// A controller starts a task on a free worker, and learns that a previous one has started it on
/// another, which has since been filled.
#[test]
fn a_task_reported_by_a_full_worker_makes_others_leave_it() {
    let mut fake = Fake::new(prompt, runs(600));
    add_workers(&mut fake.scheduler, "pool", 2);
    let large = |id: &str| job(id, "a", size(10_000, 10), Priority::Low);
    fake.submit(&large("j0"));
    fake.submit(&large("j1"));
    fake.advance(2 * SECOND);
    let other = fake.scheduler.worker_of("j1").cloned().unwrap();
    assert_ne!(fake.scheduler.worker_of("j0"), Some(&other));
    let reports = fake.reports();
    let moved = reports.iter().find(|report| report.task.starts_with("j0.")).unwrap();
    let moved = Usage { worker: other.clone(), memory_bytes: GIB, ..moved.clone() };
    fake.scheduler.usage(fake.now, &[moved]);
    fake.advance(60 * SECOND);
    let workers = fake.scheduler.workers().iter().filter(|worker| worker.vm == other);
    let held: u32 = workers.map(|worker| worker.held.millicores).sum();
    assert!(held <= 16_000, "{held} of 16000 thousandths of a core are held");
}

#[test]
fn a_job_that_takes_down_every_worker_is_given_up() {
    let mut fake = Fake::new(prompt, runs(600));
    add_workers(&mut fake.scheduler, "pool", 20);
    fake.submit(&job("deadly", "a", size(1_000, 1), Priority::Normal));
    for _ in 0..20 {
        fake.advance(2 * SECOND);
        let Some(worker) = fake.scheduler.worker_of("deadly").cloned() else { break };
        fake.kill(&worker);
    }
    assert_eq!(fake.starts["deadly"], 5, "workers that it took down");
    assert_eq!(fake.outcomes["deadly"], Outcome::Failed);
}

#[test]
fn a_job_that_had_run_for_a_while_on_each_worker_that_died_is_not_given_up() {
    let mut fake = Fake::new(prompt, runs(100_000));
    add_workers(&mut fake.scheduler, "pool", 20);
    fake.submit(&job("j", "a", size(1_000, 1), Priority::Normal));
    for _ in 0..10 {
        for _ in 0..9 {
            fake.advance(10 * SECOND);
            fake.report();
        }
        let worker = fake.scheduler.worker_of("j").cloned().unwrap();
        fake.kill(&worker);
    }
    assert_eq!(fake.outcomes.get("j"), None);
}
