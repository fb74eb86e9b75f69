//! Quotas, borrowing, and preemption for urgent tasks on a full fleet.
//!
//! Borrowed tasks may fill the whole fleet. Unless they are preempted in time, teams wait for their
//! own quota, also where workers don't answer.

use {
    carobhitch::{
        job::{Job, Priority},
        place::{Action, Verb},
        platform::Progress,
        quota::{Accounts, Charge},
    },
    indexmap::IndexMap,
    proptest::prelude::*,
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::time::{Duration, Instant},
    support::{Delivery, Fake, add_workers, job, size, teams},
};

mod support;

/// Time within which urgent tasks must start.
const URGENT_START: Duration = Duration::from_millis(5_200);
const SECOND: Duration = Duration::from_secs(1);
const WORKERS: usize = 51;

fn forever(_: &str, _: &str) -> (Duration, Progress) {
    (Duration::from_secs(36_000), Progress::Done)
}

/// Random delays for each kind of action; all requests to the `unresponsive` workers are lost.
fn delays(seed: u64, unresponsive: &'static [&'static str]) -> impl FnMut(&Action) -> Delivery {
    let mut rng = SmallRng::seed_from_u64(seed);
    move |action| {
        let most_ms = match action.verb {
            Verb::Start | Verb::Stop => 800,
            Verb::Throttle => 300,
            Verb::Checkpoint => 1_500,
            Verb::Renew => 200,
        };
        match unresponsive.contains(&action.worker.as_str()) {
            true => Delivery::Lost,
            false => Delivery::After(Duration::from_millis(rng.random_range(50..most_ms))),
        }
    }
}

/// A fleet full of borrowed tasks of three teams; the team of the urgent tasks uses nothing.
fn full_fleet(delivery: impl FnMut(&Action) -> Delivery + 'static, gib: u64) -> Fake {
    let mut fake = Fake::new(delivery, forever);
    add_workers(&mut fake.scheduler, "pool", WORKERS);
    let shares = [("a", 100_000), ("b", 100_000), ("c", 100_000), ("urgent", 500_000)];
    fake.scheduler.set_teams(&teams(&shares));
    for i in 0..WORKERS * 4 {
        let team = ["a", "b", "c"][i % 3];
        let priority = [Priority::Normal, Priority::Low][i % 2];
        fake.submit(&job(&format!("fill{i}"), team, size(4_000, gib), priority));
    }
    fake.advance(10 * SECOND);
    fake
}

/// Waiting times of urgent jobs, shortest first, without those that never started.
fn urgent_waits(fake: &mut Fake, count: usize, millicores: u32, gib: u64) -> Vec<Duration> {
    let begin: Instant = fake.now;
    for i in 0..count {
        fake.submit(&job(&format!("u{i}"), "urgent", size(millicores, gib), Priority::Urgent));
    }
    fake.advance(20 * SECOND);
    let mut waits: Vec<Duration> = (0..count)
        .filter_map(|i| fake.started.get(&format!("u{i}")))
        .map(|at| at.duration_since(begin))
        .collect();
    waits.sort_unstable();
    waits
}

#[test]
fn urgent_tasks_start_in_time_on_a_fleet_full_of_borrowed_tasks() {
    for (millicores, gib) in [(2_000, 4), (8_000, 32)] {
        let mut fake = full_fleet(delays(7, &[]), 16);
        assert_eq!(fake.running(), WORKERS * 4);
        let waits = urgent_waits(&mut fake, 40, millicores, gib);
        println!("{millicores} millicores: p50 {:?} max {:?}", waits[20], waits[39]);
        assert_eq!((waits.len(), fake.overcommits), (40, 0));
        assert!(waits[39] <= URGENT_START, "{waits:?}");
    }
}

#[test]
fn urgent_tasks_start_in_time_though_a_tenth_of_the_workers_is_unresponsive() {
    let mut fake = full_fleet(delays(8, &[]), 16);
    fake.set_delivery(delays(9, &["w3", "w14", "w25", "w36", "w47"]));
    let waits = urgent_waits(&mut fake, 40, 8_000, 32);
    println!("unresponsive workers: p50 {:?} max {:?}", waits[20], waits[waits.len() - 1]);
    assert_eq!((waits.len(), fake.overcommits), (40, 0));
    assert!(waits[39] <= URGENT_START, "{waits:?}");
}

#[test]
fn a_task_that_needs_only_processors_throttles_others_and_stops_none() {
    let mut fake = full_fleet(delays(10, &[]), 8);
    fake.actions.clear();
    urgent_waits(&mut fake, 20, 3_000, 4);
    let count = |verb| fake.actions.iter().filter(|action| action.verb == verb).count();
    assert_eq!((count(Verb::Throttle), count(Verb::Stop)), (20, 0));
}

#[test]
fn throttled_tasks_get_their_processors_back() {
    let mut fake = full_fleet(delays(11, &[]), 8);
    urgent_waits(&mut fake, 4, 3_000, 4);
    let throttled = |fake: &Fake| {
        let tasks = (0..WORKERS * 4).filter_map(|i| fake.scheduler.task(&format!("fill{i}")));
        tasks.filter(|task| task.throttled).count()
    };
    assert_eq!(throttled(&fake), 4);
    fake.cancel(&["u0".into(), "u1".into(), "u2".into(), "u3".into()]);
    fake.advance(10 * SECOND);
    assert_eq!(throttled(&fake), 0);
}

#[test]
fn owned_tasks_preempt_borrowed_tasks_but_not_owned_ones() {
    let mut fake = Fake::new(delays(12, &[]), forever);
    add_workers(&mut fake.scheduler, "pool", 1);
    fake.scheduler.set_teams(&teams(&[("a", 8_000), ("b", 8_000), ("c", 8_000)]));
    for i in 0..4 {
        fake.submit(&job(&format!("a{i}"), "a", size(4_000, 16), Priority::Normal));
    }
    fake.advance(5 * SECOND);
    for i in 0..2 {
        fake.submit(&job(&format!("b{i}"), "b", size(4_000, 16), Priority::Normal));
    }
    fake.submit(&job("c0", "c", size(4_000, 16), Priority::Normal));
    fake.advance(20 * SECOND);
    let started: Vec<bool> =
        ["b0", "b1", "c0"].iter().map(|id| fake.started.contains_key(*id)).collect();
    assert_eq!(started, [true, true, false]);
    let accounts = fake.scheduler.accounts();
    let owned = ["a", "b"].map(|team| accounts.account(&team.into()).unwrap().owned_millicores);
    assert_eq!(owned, [8_000, 8_000]);
}

#[test]
fn borrowed_tasks_become_owned_once_the_quota_has_room() {
    let mut fake = Fake::new(delays(15, &[]), forever);
    add_workers(&mut fake.scheduler, "pool", 1);
    fake.scheduler.set_teams(&teams(&[("a", 4_000), ("b", 16_000)]));
    for id in ["a0", "a1"] {
        fake.submit(&job(id, "a", size(4_000, 16), Priority::Normal));
    }
    fake.advance(5 * SECOND);
    fake.cancel(&["a0".into()]);
    fake.advance(5 * SECOND);
    let account = fake.scheduler.accounts().account(&"a".into()).unwrap();
    assert_eq!((account.owned_millicores, account.borrowed_millicores), (4_000, 0));
    for i in 0..4 {
        fake.submit(&job(&format!("b{i}"), "b", size(4_000, 16), Priority::Normal));
    }
    fake.advance(20 * SECOND);
    assert_eq!(fake.started.keys().filter(|id| id.starts_with('b')).count(), 3);
}

#[test]
fn freed_capacity_goes_to_owned_tasks_before_borrowers_that_were_queued_first() {
    let mut fake = Fake::new(delays(16, &[]), forever);
    add_workers(&mut fake.scheduler, "pool", 1);
    fake.scheduler.set_teams(&teams(&[("a", 0), ("b", 16_000)]));
    let fill = Job { repeatable: false, ..job("fill", "a", size(16_000, 16), Priority::Normal) };
    fake.submit(&fill);
    fake.advance(5 * SECOND);
    fake.submit(&job("a0", "a", size(16_000, 16), Priority::Normal));
    fake.submit(&job("b0", "b", size(16_000, 16), Priority::Normal));
    fake.advance(5 * SECOND);
    fake.cancel(&["fill".into()]);
    fake.advance(2 * SECOND);
    assert!(fake.started.contains_key("b0") && !fake.started.contains_key("a0"));
}

#[test]
fn each_of_170_teams_gets_its_quota_though_one_floods_the_fleet() {
    let mut fake = Fake::new(delays(14, &[]), forever);
    add_workers(&mut fake.scheduler, "pool", WORKERS);
    let names: Vec<String> = (0..170).map(|i| format!("t{i}")).collect();
    let quotas: Vec<(&str, u64)> = names.iter().map(|id| (id.as_str(), 4_000)).collect();
    fake.scheduler.set_teams(&teams(&quotas));
    for i in 0..1_000 {
        fake.submit(&job(&format!("flood{i}"), "t0", size(1_000, 1), Priority::Normal));
    }
    fake.advance(5 * SECOND);
    assert_eq!(fake.running(), WORKERS * 16);
    for name in &names[1..] {
        for i in 0..4 {
            fake.submit(&job(&format!("{name}-{i}"), name, size(1_000, 1), Priority::Normal));
        }
    }
    fake.advance(20 * SECOND);
    let started = fake.started.keys().filter(|id| !id.starts_with("flood")).count();
    let account = |name: &String| fake.scheduler.accounts().account(name).unwrap().owned_millicores;
    assert_eq!(started, 169 * 4);
    assert!(names.iter().all(|name| account(name) == 4_000));
    assert_eq!(fake.overcommits, 0);
}

#[test]
fn urgent_tasks_beyond_their_quota_preempt_no_others() {
    let mut fake = full_fleet(delays(13, &[]), 16);
    fake.scheduler.set_teams(&teams(&[("a", 800_000), ("b", 0), ("c", 0), ("urgent", 4_000)]));
    let waits = urgent_waits(&mut fake, 3, 4_000, 16);
    assert_eq!(waits.len(), 1);
}

proptest! {
    #![proptest_config(support::seeded(128))]

    #[test]
    fn owned_use_never_exceeds_the_quota_and_accounts_add_up(seed in any::<u64>()) {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut accounts = Accounts::default();
        let names: Vec<String> = (0..170).map(|i| format!("t{i}")).collect();
        let quotas: Vec<(&str, u64)> =
            names.iter().map(|id| (id.as_str(), rng.random_range(0..20_000))).collect();
        accounts.set_quotas(&teams(&quotas));
        let mut held: IndexMap<u32, (u32, u32)> = IndexMap::new();
        for task in 0..2_000 {
            let (team, millicores) = (rng.random_range(0..170), rng.random_range(1..8_000));
            let expected = accounts.charge_for(team, millicores);
            prop_assert_eq!(accounts.charge(team, task, millicores), expected);
            prop_assert_eq!(accounts.is_borrowed(team, task), expected == Charge::Borrowed);
            held.insert(task, (team, millicores));
            if rng.random_bool(0.6) {
                let at = rng.random_range(0..held.len());
                if let Some((task, (team, millicores))) = held.swap_remove_index(at) {
                    accounts.release(team, task, millicores);
                    if let Some(borrowed) = accounts.oldest_borrowed(team) {
                        accounts.promote(team, borrowed, held[&borrowed].1);
                    }
                }
            }
        }
        for (i, name) in names.iter().enumerate() {
            let account = accounts.account(name).unwrap();
            let used: u64 =
                held.values().filter(|(t, _)| *t == i as u32).map(|(_, m)| u64::from(*m)).sum();
            prop_assert!(account.owned_millicores <= account.quota_millicores);
            prop_assert_eq!(account.owned_millicores + account.borrowed_millicores, used);
        }
    }
}
