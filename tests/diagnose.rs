//! Verdicts on jobs and workers, over random failures whose truth is hidden from the judge.

use {
    carobhitch::{
        diagnose::{Judge, Key, MAX_TRIES, Place, Verdict},
        job::Priority,
        place::Outcome,
        platform::Progress,
    },
    proptest::prelude::*,
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::{
        collections::HashSet,
        time::{Duration, Instant},
    },
    support::{Fake, Fate, add_workers, job, size},
};

mod support;

const WORKERS: u32 = 50;
const BAD_WORKERS: u32 = 2;
const JOBS: u32 = 1_000;

/// Hidden truth: who is bad, and which racks fail when.
struct Truth {
    bad_workers: HashSet<Key>,
    bad_jobs: HashSet<u32>,
    chance: f64,
    outages: Vec<(u32, u32, u32)>,
}

impl Truth {
    fn draw(rng: &mut SmallRng, correlated: bool) -> Self {
        let bad_workers = (0..BAD_WORKERS).map(|_| rng.random_range(0..WORKERS)).collect();
        let bad_jobs = (0..JOBS).filter(|_| rng.random_bool(0.05)).collect();
        let outage = |rng: &mut SmallRng| {
            let begin = rng.random_range(0..JOBS);
            (rng.random_range(0..3), begin, begin + 30)
        };
        let outages = (0..if correlated { 6 } else { 0 }).map(|_| outage(rng)).collect();
        Self { bad_workers, bad_jobs, chance: 0.02, outages }
    }

    fn fails(&self, rng: &mut SmallRng, worker: Key, job: u32, at: u32) -> bool {
        let out = |(zone, begin, end): &(u32, u32, u32)| {
            worker % 3 == *zone && (*begin..*end).contains(&at)
        };
        let outage = self.outages.iter().any(out);
        self.bad_workers.contains(&worker)
            || self.bad_jobs.contains(&job)
            || rng.random_bool(if outage { 0.8 } else { self.chance })
    }
}

/// What was wrong, of how many.
#[derive(Debug, Default)]
struct Score {
    sound_jobs: u32,
    sound_jobs_dropped: u32,
    bad_jobs: u32,
    bad_jobs_missed: u32,
    tries_of_bad_jobs: usize,
    sound_workers_aside: usize,
    bad_workers: usize,
    bad_workers_missed: usize,
    most_aside: usize,
    most_tries: usize,
}

impl Score {
    fn add(&mut self, other: &Self) {
        self.sound_jobs += other.sound_jobs;
        self.sound_jobs_dropped += other.sound_jobs_dropped;
        self.bad_jobs += other.bad_jobs;
        self.bad_jobs_missed += other.bad_jobs_missed;
        self.tries_of_bad_jobs += other.tries_of_bad_jobs;
        self.sound_workers_aside += other.sound_workers_aside;
        self.bad_workers += other.bad_workers;
        self.bad_workers_missed += other.bad_workers_missed;
        self.most_aside = self.most_aside.max(other.most_aside);
        self.most_tries = self.most_tries.max(other.most_tries);
    }
}

fn judge() -> Judge {
    let mut judge = Judge::default();
    for worker in 0..WORKERS {
        judge.add(worker, Place { pool: 0, rack: worker / 12 * 3 + worker % 3, zone: worker % 3 });
    }
    judge
}

/// Jobs that run on random open workers until they end or are given up.
struct Game {
    rng: SmallRng,
    truth: Truth,
    judge: Judge,
    /// Counts three failures in place of the judge.
    naive: bool,
    streaks: Vec<u32>,
    closed: HashSet<Key>,
    ever_closed: HashSet<Key>,
    score: Score,
}

impl Game {
    fn new(seed: u64, correlated: bool, naive: bool) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let truth = Truth::draw(&mut rng, correlated);
        Self {
            rng,
            truth,
            judge: judge(),
            naive,
            streaks: vec![0; WORKERS as usize],
            closed: HashSet::new(),
            ever_closed: HashSet::new(),
            score: Score::default(),
        }
    }

    /// One job a step, and the retries of the step before.
    fn play(mut self) -> Score {
        let (begin, mut waiting) = (Instant::now(), Vec::new());
        for at in 0..JOBS + 200 {
            let now = begin + Duration::from_secs(u64::from(at) * 2);
            if at < JOBS {
                waiting.push((at, Vec::new()));
            }
            for worker in self.judge.probes(now) {
                self.closed.remove(&worker);
            }
            let runs = std::mem::take(&mut waiting);
            waiting = runs.into_iter().filter_map(|(job, on)| self.run(now, at, job, on)).collect();
            self.score.most_aside = self.score.most_aside.max(self.judge.aside(0));
        }
        self.score.sound_workers_aside =
            self.ever_closed.difference(&self.truth.bad_workers).count();
        self.score.bad_workers = self.truth.bad_workers.len();
        self.score.bad_workers_missed =
            self.truth.bad_workers.difference(&self.ever_closed).count();
        self.score
    }

    /// Runs a job on a worker that it did not fail on; returns it if it is to be tried again.
    fn run(
        &mut self,
        now: Instant,
        at: u32,
        job: u32,
        mut tried: Vec<Key>,
    ) -> Option<(u32, Vec<Key>)> {
        let open: Vec<Key> =
            (0..WORKERS).filter(|w| !self.closed.contains(w) && !tried.contains(w)).collect();
        let worker = open[self.rng.random_range(0..open.len())];
        if !self.truth.fails(&mut self.rng, worker, job, at) {
            self.streaks[worker as usize] = 0;
            self.judge.succeeded(now, worker, &format!("j{job}"));
            self.score.sound_jobs += 1;
            return None;
        }
        tried.push(worker);
        self.score.most_tries = self.score.most_tries.max(tried.len());
        match self.fail(now, worker, job, tried.len()) {
            Verdict::Retry => return Some((job, tried)),
            _ if !self.truth.bad_jobs.contains(&job) => {
                self.score.sound_jobs += 1;
                self.score.sound_jobs_dropped += 1;
            }
            verdict => {
                self.score.bad_jobs += 1;
                self.score.tries_of_bad_jobs += tried.len();
                self.score.bad_jobs_missed += u32::from(verdict == Verdict::GiveUp);
            }
        }
        None
    }

    fn fail(&mut self, now: Instant, worker: Key, job: u32, tries: usize) -> Verdict {
        self.streaks[worker as usize] += 1;
        let verdict = match (self.naive, self.judge.failed(now, worker, &format!("j{job}"))) {
            (false, verdict) => verdict,
            (true, _) if tries >= 3 => Verdict::Impossible,
            (true, _) => Verdict::Retry,
        };
        let aside = match self.naive {
            true => self.streaks[worker as usize] >= 3,
            false => self.judge.set_aside(now, worker),
        };
        if aside {
            self.closed.insert(worker);
            self.ever_closed.insert(worker);
        }
        verdict
    }
}

fn total(correlated: bool, naive: bool) -> Score {
    let mut score = Score::default();
    (0..20).for_each(|seed| score.add(&Game::new(seed, correlated, naive).play()));
    score
}

#[test]
fn independent_failures_lead_to_few_wrong_verdicts() {
    let score = total(false, false);
    println!("independent: {score:?}\nby counting three: {:?}", total(false, true));
    assert!(score.sound_jobs_dropped * 500 <= score.sound_jobs, "{score:?}");
    assert!(score.bad_jobs_missed * 20 <= score.bad_jobs, "{score:?}");
    assert!(score.bad_workers_missed * 10 <= score.bad_workers, "{score:?}");
    assert!(score.sound_workers_aside <= 20, "{score:?}");
}

#[test]
fn failures_with_a_common_cause_are_blamed_on_few_sound_jobs_and_workers() {
    let (score, naive) = (total(true, false), total(true, true));
    println!("correlated: {score:?}\nby counting three: {naive:?}");
    assert!(score.sound_jobs_dropped * 200 <= score.sound_jobs, "{score:?}");
    assert!(score.sound_workers_aside * 4 <= naive.sound_workers_aside, "{score:?} {naive:?}");
}

#[test]
fn a_bad_worker_is_probed_and_comes_back_once_it_is_sound() {
    let (mut judge, mut now) = (judge(), Instant::now());
    for job in ["a", "b", "c"] {
        judge.failed(now, 7, &job.into());
    }
    assert!(judge.set_aside(now, 7));
    assert!(judge.probes(now).is_empty());
    now += Duration::from_secs(300);
    assert_eq!(judge.probes(now), [7]);
    judge.failed(now, 7, &"d".into());
    now += Duration::from_secs(300);
    assert!(judge.probes(now).is_empty());
    now += Duration::from_secs(300);
    assert_eq!(judge.probes(now), [7]);
    assert!(judge.succeeded(now, 7, &"e".into()));
    assert_eq!(judge.aside(0), 0);
}

#[test]
fn a_job_that_failed_on_bad_workers_is_tried_on_others() {
    let (mut judge, now) = (judge(), Instant::now());
    for worker in [1, 2, 3] {
        for i in 0..5 {
            let job = format!("w{worker}-{i}");
            judge.failed(now, worker, &job);
            judge.succeeded(now, 20 + i, &job);
        }
    }
    let verdicts = [1, 2, 3].map(|worker| judge.failed(now, worker, &"j".into()));
    assert_eq!(verdicts, [Verdict::Retry; 3]);
}

#[test]
fn a_worker_that_becomes_bad_after_many_successes_is_set_aside() {
    let (mut judge, now) = (judge(), Instant::now());
    for i in 0..5 {
        judge.succeeded(now, 7, &format!("j{i}"));
    }
    for i in 5..8 {
        judge.failed(now, 7, &format!("j{i}"));
    }
    assert!(judge.set_aside(now, 7));
}

#[test]
fn a_bad_worker_is_closed_an_impossible_job_leaves_and_the_rest_is_done() {
    let run = |job: &str, worker: &str| {
        let fails = job == "bad" || worker == "w5";
        (Duration::from_secs(20), if fails { Progress::Failed } else { Progress::Done })
    };
    let mut fake = Fake::new(|_| Fate::After(Duration::from_millis(100)), run);
    add_workers(&mut fake.scheduler, "pool", 12);
    for i in 0..300 {
        let id = if i == 50 { "bad".into() } else { format!("j{i}") };
        fake.submit(&job(&id, "a", size(4_000, 16), Priority::Normal));
        fake.advance(Duration::from_secs(1));
    }
    fake.advance(Duration::from_secs(120));
    assert_eq!(fake.set_aside, ["w5"]);
    assert_eq!(fake.left.len(), 300);
    let not_done: Vec<_> = fake.left.iter().filter(|(_, out)| **out != Outcome::Done).collect();
    assert_eq!(not_done, [(&"bad".to_owned(), &Outcome::Impossible)]);
    assert!(fake.starts["bad"] as usize <= MAX_TRIES);
}

proptest! {
    #![proptest_config(support::fixed(64))]

    #[test]
    fn tries_and_workers_set_aside_are_bounded_whatever_fails(seed in any::<u64>()) {
        let mut rng = SmallRng::seed_from_u64(seed);
        let (mut judge, begin) = (judge(), Instant::now());
        let mut tries = vec![0; 100];
        let failing = rng.random_range(0.0..1.0);
        for step in 0..1_000 {
            let now = begin + Duration::from_secs(step);
            judge.probes(now);
            let (worker, job) = (rng.random_range(0..WORKERS), rng.random_range(0..100));
            if tries[job] == usize::MAX {
                continue;
            }
            if rng.random_bool(failing) {
                tries[job] += 1;
                if judge.failed(now, worker, &format!("j{job}")) != Verdict::Retry {
                    tries[job] = usize::MAX;
                }
                judge.set_aside(now, worker);
            } else {
                judge.succeeded(now, worker, &format!("j{job}"));
            }
            prop_assert!(judge.aside(0) <= judge.max_aside(0));
            prop_assert!(tries[job] == usize::MAX || tries[job] < MAX_TRIES);
        }
    }
}
