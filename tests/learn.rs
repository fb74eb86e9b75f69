//! Resource estimates from lagging usage reports, compared with declared sizes.
//!
//! Sizes declared too high leave the fleet partly idle; sizes declared too low overload workers or
//! starve tasks.

use {
    carobhitch::{
        job::{Priority, Size},
        learn::Estimator,
        place::{Action, Answer, Event, Scheduler, Verb},
        platform::{Progress, Usage},
    },
    indexmap::IndexMap,
    proptest::prelude::*,
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::time::{Duration, Instant},
    support::{GIB, add_workers, size},
};

mod support;

const MINUTE: Duration = Duration::from_secs(60);
const WORKERS: usize = 48;
const KINDS: usize = 40;
const HOURS: u64 = 12;
/// Lag of the usage reports in steps, each of which is a minute.
const LAG: u64 = 2;

fn record_attempt(estimator: &mut Estimator, now: Instant, id: usize, used: Size) {
    let key = (format!("j{id}"), 0);
    estimator.record_usage(now, &"k".into(), &key, &used);
    estimator.record_end(now, &"k".into(), &key, Some(10 * MINUTE));
}

#[test]
fn an_over_declared_kind_shrinks_and_an_under_declared_one_grows() {
    let (mut estimator, now) = (Estimator::default(), Instant::now());
    let (big, small, used) = (size(8_000, 32), size(500, 1), size(2_000, 8));
    assert_eq!(estimator.size(&"k".into(), &big), big);
    (0..10).for_each(|i| record_attempt(&mut estimator, now, i, used));
    for declared in [big, small] {
        let learned = estimator.size(&"k".into(), &declared);
        assert!(learned.holds(&used) && size(2_600, 11).holds(&learned), "{learned:?}");
    }
    let time = estimator.run_time(&"k".into(), 100 * MINUTE);
    assert!(time >= 10 * MINUTE && time <= 13 * MINUTE);
}

#[test]
fn a_kind_that_uses_more_than_reserved_is_corrected_before_its_first_attempt_ends() {
    let (mut estimator, now) = (Estimator::default(), Instant::now());
    estimator.record_usage(now, &"k".into(), &("j".into(), 0), &size(4_000, 16));
    assert!(estimator.size(&"k".into(), &size(500, 1)).holds(&size(4_000, 16)));
}

#[test]
fn an_attempt_that_grows_counts_as_one_attempt() {
    let (mut estimator, now, declared) = (Estimator::default(), Instant::now(), size(8_000, 60));
    for gib in 1..20 {
        estimator.record_usage(now, &"k".into(), &("j".into(), 0), &size(1_000, gib));
    }
    assert_eq!(estimator.size(&"k".into(), &declared), declared);
}

#[test]
fn old_attempts_fade_so_that_a_kind_that_shrank_is_followed() {
    let (mut estimator, mut now) = (Estimator::default(), Instant::now());
    (0..20).for_each(|i| record_attempt(&mut estimator, now, i, size(8_000, 32)));
    for day in 0..7 {
        now += Duration::from_secs(24 * 3600);
        (0..5)
            .for_each(|i| record_attempt(&mut estimator, now, 100 + day * 10 + i, size(1_000, 4)));
    }
    assert!(size(2_000, 8).holds(&estimator.size(&"k".into(), &size(8_000, 32))));
}

/// Actual use of a kind, and the size that its team declares.
struct Kind {
    used: Size,
    declared: Size,
}

/// Kinds with random sizes. If `under`, all declare about half of their use; otherwise half of them
/// declare about three times their use and a fifth about half of it.
fn kinds(rng: &mut SmallRng, under: bool) -> Vec<Kind> {
    let scale = |size: &Size, factor: f64| Size {
        millicores: (f64::from(size.millicores) * factor) as u32,
        accelerators: 0,
        memory_bytes: (size.memory_bytes as f64 * factor) as u64,
    };
    let draw = |i: usize| {
        let used = size(rng.random_range(200..2_000), rng.random_range(2..14));
        let factor = match i % 10 {
            0..5 if !under => rng.random_range(2.0..4.0),
            _ if under || i % 10 < 7 => rng.random_range(0.4..0.7),
            _ => rng.random_range(0.9..1.2),
        };
        Kind { used, declared: scale(&used, factor) }
    };
    (0..KINDS).map(draw).collect()
}

#[derive(Clone, Copy, PartialEq)]
enum Policy {
    Declared,
    Learned,
    Known,
}

#[derive(Debug, Default)]
struct Tally {
    /// Mean use of the fleet's memory, in percent.
    memory_percent: f64,
    /// Mean use of the fleet's processors, in percent.
    processors_percent: f64,
    /// Minutes in which a worker's tasks used more memory than it has, in thousandths of all
    /// minutes.
    overloads_per_mille: f64,
    /// Part of the tasks' time in which they need more processors than they may use, in percent.
    starved_percent: f64,
    /// Number of tasks that ended.
    ended: usize,
}

struct Task {
    wanted_millicores: u32,
    used: Size,
    until: u64,
    worker: String,
}

struct Fleet {
    rng: SmallRng,
    scheduler: Scheduler,
    begin: Instant,
    running: IndexMap<(String, u32), Task>,
    kinds: Vec<Kind>,
}

impl Fleet {
    fn carry_out(&mut self, step: u64, actions: Vec<Action>) {
        for action in actions {
            let key = (action.job.clone(), action.attempt);
            match action.verb {
                Verb::Start => {
                    let kind = action.job[1..].parse::<usize>().unwrap_or(0) % KINDS;
                    let factor = self.rng.random_range(0.7..1.0);
                    let most = self.kinds[kind].used;
                    let wanted = (f64::from(most.millicores) * factor) as u32;
                    let used = Size {
                        millicores: wanted.min(action.millicores),
                        accelerators: 0,
                        memory_bytes: (most.memory_bytes as f64 * factor) as u64,
                    };
                    let until = step + self.rng.random_range(10..60);
                    let worker = action.worker.clone();
                    self.running
                        .insert(key, Task { wanted_millicores: wanted, used, until, worker });
                }
                Verb::Stop => {
                    self.running.swap_remove(&key);
                }
                _ => {}
            }
            let now = self.now(step);
            let next = self.scheduler.answer(now, &action, Answer::Known(Progress::Done));
            self.carry_out(step, next);
        }
    }

    fn now(&self, step: u64) -> Instant {
        self.begin + MINUTE * step as u32
    }

    fn reports(&self) -> Vec<Usage> {
        let report = |(key, task): (&(String, u32), &Task)| Usage {
            task: format!("{}.{}", key.0, key.1),
            worker: task.worker.clone(),
            millicores: u64::from(task.used.millicores),
            memory_bytes: task.used.memory_bytes,
            ended: None,
        };
        self.running.iter().map(report).collect()
    }

    fn submit(&mut self, step: u64, id: usize, policy: Policy) {
        let kind = &self.kinds[id % KINDS];
        let declared = if policy == Policy::Known { kind.used } else { kind.declared };
        let mut job = support::job(&format!("j{id}"), "a", declared, Priority::Normal);
        job.kind = format!("k{}", id % KINDS);
        let now = self.now(step);
        self.scheduler.submit(now, &job);
    }

    fn tally(&self, tally: &mut Tally) {
        let mut used: IndexMap<&str, Size> = IndexMap::new();
        for task in self.running.values() {
            let sum = used.entry(&task.worker).or_default();
            *sum = sum.plus(&task.used);
        }
        let all = used.values().fold(Size::default(), |sum, size| sum.plus(size));
        let steps = (HOURS * 60) as f64;
        let fleet = size(16_000, 64);
        let over = used.values().filter(|size| size.memory_bytes > fleet.memory_bytes).count();
        let part = |used: f64, of: f64| 100.0 * used / of / WORKERS as f64 / steps;
        tally.memory_percent += part(all.memory_bytes as f64, fleet.memory_bytes as f64);
        tally.processors_percent += part(f64::from(all.millicores), f64::from(fleet.millicores));
        let starved = self.running.values().filter(|t| t.wanted_millicores > t.used.millicores);
        tally.starved_percent +=
            100.0 * starved.count() as f64 / self.running.len().max(1) as f64 / steps;
        tally.overloads_per_mille += 10.0 * part(over as f64, 1.0);
    }
}

/// Simulates a fleet that is kept saturated with jobs of all kinds.
fn saturate(policy: Policy, under: bool) -> Tally {
    let mut rng = SmallRng::seed_from_u64(3);
    let kinds = kinds(&mut rng, under);
    let (begin, scheduler) = (Instant::now(), Scheduler::default());
    let mut fleet = Fleet { rng, scheduler, begin, running: IndexMap::new(), kinds };
    add_workers(&mut fleet.scheduler, "pool", WORKERS);
    let mut tally = Tally::default();
    let (mut next, mut reports) = (0, Vec::new());
    for step in 0..HOURS * 60 {
        let now = fleet.now(step);
        while fleet.scheduler.queued() < 200 {
            fleet.submit(step, next, policy);
            next += 1;
        }
        let ended: Vec<(String, u32)> = fleet
            .running
            .iter()
            .filter(|(_, task)| task.until <= step)
            .map(|(key, _)| key.clone())
            .collect();
        for key in ended {
            fleet.running.swap_remove(&key);
            tally.ended += 1;
            let actions = fleet.scheduler.ended(now, &key.0, key.1, Progress::Done);
            fleet.carry_out(step, actions);
        }
        reports.push(fleet.reports());
        if policy == Policy::Learned && step >= LAG {
            let actions = fleet.scheduler.usage(now, &reports[(step - LAG) as usize]);
            fleet.carry_out(step, actions);
        }
        let actions = fleet.scheduler.tick(now);
        fleet.carry_out(step, actions);
        fleet.scheduler.events().retain(|event| matches!(event, Event::Quarantined(_)));
        fleet.tally(&mut tally);
    }
    tally
}

#[test]
fn learned_sizes_fill_the_fleet_better_and_starve_fewer_tasks_than_declared_ones() {
    let [declared, learned, known] =
        [Policy::Declared, Policy::Learned, Policy::Known].map(|policy| saturate(policy, false));
    println!("declared: {declared:?}\nlearned: {learned:?}\nknown: {known:?}");
    assert!(learned.ended * 10 >= declared.ended * 12, "{declared:?} {learned:?}");
    assert!(learned.ended * 10 >= known.ended * 8, "{known:?} {learned:?}");
    assert!(learned.starved_percent * 4.0 <= declared.starved_percent);
}

#[test]
fn learned_sizes_of_under_declared_kinds_overload_fewer_workers_than_declared_ones() {
    let [declared, learned] =
        [Policy::Declared, Policy::Learned].map(|policy| saturate(policy, true));
    println!("under-declared: {declared:?}\nlearned: {learned:?}");
    assert!(declared.overloads_per_mille > 100.0);
    assert!(learned.overloads_per_mille * 20.0 <= declared.overloads_per_mille);
}

proptest! {
    #![proptest_config(support::seeded(64))]

    #[test]
    fn an_estimate_covers_the_quantile_and_not_much_more(
        uses in proptest::collection::vec((100_u32..10_000, 1_u64..60), 20..100),
    ) {
        let (mut estimator, now) = (Estimator::default(), Instant::now());
        for (i, (millicores, gib)) in uses.iter().enumerate() {
            record_attempt(&mut estimator, now, i, size(*millicores, *gib));
        }
        let learned = estimator.size(&"k".into(), &Size::default());
        let covered =
            uses.iter().filter(|(_, gib)| learned.memory_bytes >= gib * GIB).count();
        prop_assert!(covered * 100 >= uses.len() * 95);
        let most = uses.iter().map(|(_, gib)| gib * GIB).max().unwrap_or(0);
        prop_assert!(learned.memory_bytes <= most * 125 / 100);
    }
}

#[test]
fn run_times_of_a_kind_without_usage_reports_fade_as_well() {
    let (mut estimator, mut now) = (Estimator::default(), Instant::now());
    let kind = String::from("k");
    let mut end = |now: Instant, id: usize, minutes: u32| {
        let key = (format!("j{id}"), 0);
        estimator.record_usage(now, &kind, &key, &Size::default());
        estimator.record_end(now, &kind, &key, Some(minutes * MINUTE));
        estimator.run_time(&kind, MINUTE)
    };
    (0..20).for_each(|id| {
        end(now, id, 100);
    });
    now += Duration::from_secs(14 * 24 * 3600);
    let mut time = Duration::ZERO;
    for id in 20..25 {
        time = end(now, id, 10);
    }
    assert!(time <= 13 * MINUTE, "{time:?}: two weeks ago it took 100 minutes");
}
