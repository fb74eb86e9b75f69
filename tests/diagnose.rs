//! Attribution of failures to jobs and workers, with random failures whose causes the classifier
//! can't see.
//!
//! A mere count of failures blames healthy workers for jobs that fail everywhere, and healthy jobs
//! for faulty workers and outages of a zone; the classifier is compared with such a count.

use {
    carobhitch::{
        diagnose::{Classifier, Key, Location, MAX_ATTEMPTS, RETENTION, Verdict},
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
    support::{Delivery, Fake, add_workers, job, size},
};

mod support;

const WORKERS: u32 = 50;
const FAULTY_WORKERS: u32 = 2;
const JOBS: u32 = 1_000;

/// Hidden causes: the faulty workers and jobs, and which zones have an outage when.
struct Causes {
    faulty_workers: HashSet<Key>,
    faulty_jobs: HashSet<u32>,
    /// Probability that an attempt fails without any of these causes.
    chance: f64,
    /// Zone, first step and end of each outage.
    outages: Vec<(u32, u32, u32)>,
}

impl Causes {
    fn draw(rng: &mut SmallRng, correlated: bool) -> Self {
        let faulty_workers = (0..FAULTY_WORKERS).map(|_| rng.random_range(0..WORKERS)).collect();
        let faulty_jobs = (0..JOBS).filter(|_| rng.random_bool(0.05)).collect();
        let outage = |rng: &mut SmallRng| {
            let begin = rng.random_range(0..JOBS);
            (rng.random_range(0..3), begin, begin + 30)
        };
        let outages = (0..if correlated { 6 } else { 0 }).map(|_| outage(rng)).collect();
        Self { faulty_workers, faulty_jobs, chance: 0.02, outages }
    }

    fn fails(&self, rng: &mut SmallRng, worker: Key, job: u32, at: u32) -> bool {
        let out = |(zone, begin, end): &(u32, u32, u32)| {
            worker % 3 == *zone && (*begin..*end).contains(&at)
        };
        let outage = self.outages.iter().any(out);
        self.faulty_workers.contains(&worker)
            || self.faulty_jobs.contains(&job)
            || rng.random_bool(if outage { 0.8 } else { self.chance })
    }
}

/// Numbers of wrong decisions, and of the cases that they are out of.
#[derive(Debug, Default)]
struct Score {
    healthy_jobs: u32,
    healthy_jobs_dropped: u32,
    faulty_jobs: u32,
    faulty_jobs_missed: u32,
    attempts_of_faulty_jobs: usize,
    healthy_workers_quarantined: usize,
    faulty_workers: usize,
    faulty_workers_missed: usize,
    most_quarantined: usize,
    most_attempts: usize,
}

impl Score {
    fn add(&mut self, other: &Self) {
        self.healthy_jobs += other.healthy_jobs;
        self.healthy_jobs_dropped += other.healthy_jobs_dropped;
        self.faulty_jobs += other.faulty_jobs;
        self.faulty_jobs_missed += other.faulty_jobs_missed;
        self.attempts_of_faulty_jobs += other.attempts_of_faulty_jobs;
        self.healthy_workers_quarantined += other.healthy_workers_quarantined;
        self.faulty_workers += other.faulty_workers;
        self.faulty_workers_missed += other.faulty_workers_missed;
        self.most_quarantined = self.most_quarantined.max(other.most_quarantined);
        self.most_attempts = self.most_attempts.max(other.most_attempts);
    }
}

fn classifier() -> Classifier {
    let mut classifier = Classifier::default();
    for worker in 0..WORKERS {
        classifier.add_worker(
            worker,
            Location { pool: 0, rack: worker / 12 * 3 + worker % 3, zone: worker % 3 },
        );
    }
    classifier
}

/// Simulation of jobs that run on random open workers until they succeed or are given up.
struct Simulation {
    rng: SmallRng,
    causes: Causes,
    classifier: Classifier,
    /// Whether to decide by counting three failures instead of asking the classifier.
    naive: bool,
    streaks: Vec<u32>,
    closed: HashSet<Key>,
    ever_quarantined: HashSet<Key>,
    score: Score,
}

impl Simulation {
    fn new(seed: u64, correlated: bool, naive: bool) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let causes = Causes::draw(&mut rng, correlated);
        Self {
            rng,
            causes,
            classifier: classifier(),
            naive,
            streaks: vec![0; WORKERS as usize],
            closed: HashSet::new(),
            ever_quarantined: HashSet::new(),
            score: Score::default(),
        }
    }

    /// Runs one new job in each step, and the retries of the step before.
    fn run_all(mut self) -> Score {
        let (begin, mut waiting) = (Instant::now(), Vec::new());
        for at in 0..JOBS + 200 {
            let now = begin + Duration::from_secs(u64::from(at) * 2);
            if at < JOBS {
                waiting.push((at, Vec::new()));
            }
            for worker in self.classifier.due_probes(now) {
                self.closed.remove(&worker);
            }
            let runs = std::mem::take(&mut waiting);
            waiting = runs.into_iter().filter_map(|(job, on)| self.run(now, at, job, on)).collect();
            self.score.most_quarantined =
                self.score.most_quarantined.max(self.classifier.quarantined(0));
        }
        self.score.healthy_workers_quarantined =
            self.ever_quarantined.difference(&self.causes.faulty_workers).count();
        self.score.faulty_workers = self.causes.faulty_workers.len();
        self.score.faulty_workers_missed =
            self.causes.faulty_workers.difference(&self.ever_quarantined).count();
        self.score
    }

    /// Runs a job on a worker on which it hasn't failed; returns it if it is to be retried.
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
        if !self.causes.fails(&mut self.rng, worker, job, at) {
            self.streaks[worker as usize] = 0;
            self.classifier.record_success(now, worker, &format!("j{job}"));
            self.score.healthy_jobs += 1;
            return None;
        }
        tried.push(worker);
        self.score.most_attempts = self.score.most_attempts.max(tried.len());
        match self.fail(now, worker, job, tried.len()) {
            Verdict::Retry => return Some((job, tried)),
            _ if !self.causes.faulty_jobs.contains(&job) => {
                self.score.healthy_jobs += 1;
                self.score.healthy_jobs_dropped += 1;
            }
            verdict => {
                self.score.faulty_jobs += 1;
                self.score.attempts_of_faulty_jobs += tried.len();
                self.score.faulty_jobs_missed += u32::from(verdict == Verdict::GiveUp);
            }
        }
        None
    }

    fn fail(&mut self, now: Instant, worker: Key, job: u32, attempts: usize) -> Verdict {
        self.streaks[worker as usize] += 1;
        let verdict =
            match (self.naive, self.classifier.record_failure(now, worker, &format!("j{job}"))) {
                (false, verdict) => verdict,
                (true, _) if attempts >= 3 => Verdict::Impossible,
                (true, _) => Verdict::Retry,
            };
        let quarantined = match self.naive {
            true => self.streaks[worker as usize] >= 3,
            false => self.classifier.quarantine(now, worker),
        };
        if quarantined {
            self.closed.insert(worker);
            self.ever_quarantined.insert(worker);
        }
        verdict
    }
}

fn total(correlated: bool, naive: bool) -> Score {
    let mut score = Score::default();
    (0..20).for_each(|seed| score.add(&Simulation::new(seed, correlated, naive).run_all()));
    score
}

#[test]
fn independent_failures_lead_to_few_wrong_decisions() {
    let score = total(false, false);
    println!("independent: {score:?}\nby counting three: {:?}", total(false, true));
    assert!(score.healthy_jobs_dropped * 500 <= score.healthy_jobs, "{score:?}");
    assert!(score.faulty_jobs_missed * 20 <= score.faulty_jobs, "{score:?}");
    assert!(score.faulty_workers_missed * 10 <= score.faulty_workers, "{score:?}");
    assert!(score.healthy_workers_quarantined <= 20, "{score:?}");
}

#[test]
fn failures_with_a_common_cause_are_attributed_to_few_healthy_jobs_and_workers() {
    let (score, naive) = (total(true, false), total(true, true));
    println!("correlated: {score:?}\nby counting three: {naive:?}");
    assert!(score.healthy_jobs_dropped * 200 <= score.healthy_jobs, "{score:?}");
    assert!(
        score.healthy_workers_quarantined * 4 <= naive.healthy_workers_quarantined,
        "{score:?} {naive:?}"
    );
}

#[test]
fn a_faulty_worker_is_probed_and_readmitted_once_a_probe_succeeds() {
    let (mut classifier, mut now) = (classifier(), Instant::now());
    for job in ["a", "b", "c"] {
        classifier.record_failure(now, 7, &job.into());
    }
    assert!(classifier.quarantine(now, 7));
    assert!(classifier.due_probes(now).is_empty());
    now += Duration::from_secs(300);
    assert_eq!(classifier.due_probes(now), [7]);
    classifier.record_failure(now, 7, &"d".into());
    now += Duration::from_secs(300);
    assert!(classifier.due_probes(now).is_empty());
    now += Duration::from_secs(300);
    assert_eq!(classifier.due_probes(now), [7]);
    assert!(classifier.record_success(now, 7, &"e".into()));
    assert_eq!(classifier.quarantined(0), 0);
}

#[test]
fn a_job_that_failed_on_faulty_workers_is_retried_on_others() {
    let (mut classifier, now) = (classifier(), Instant::now());
    for worker in [1, 2, 3] {
        for i in 0..5 {
            let job = format!("w{worker}-{i}");
            classifier.record_failure(now, worker, &job);
            classifier.record_success(now, 20 + i, &job);
        }
    }
    let verdicts = [1, 2, 3].map(|worker| classifier.record_failure(now, worker, &"j".into()));
    assert_eq!(verdicts, [Verdict::Retry; 3]);
}

#[test]
fn a_worker_that_becomes_faulty_after_many_successes_is_quarantined() {
    let (mut classifier, now) = (classifier(), Instant::now());
    for i in 0..5 {
        classifier.record_success(now, 7, &format!("j{i}"));
    }
    for i in 5..8 {
        classifier.record_failure(now, 7, &format!("j{i}"));
    }
    assert!(classifier.quarantine(now, 7));
}

#[test]
fn a_faulty_worker_is_quarantined_an_impossible_job_is_given_up_and_the_rest_is_done() {
    let run = |job: &str, worker: &str| {
        let fails = job == "bad" || worker == "w5";
        (Duration::from_secs(20), if fails { Progress::Failed } else { Progress::Done })
    };
    let mut fake = Fake::new(|_| Delivery::After(Duration::from_millis(100)), run);
    add_workers(&mut fake.scheduler, "pool", 12);
    for i in 0..300 {
        let id = if i == 50 { "bad".into() } else { format!("j{i}") };
        fake.submit(&job(&id, "a", size(4_000, 16), Priority::Normal));
        fake.advance(Duration::from_secs(1));
    }
    fake.advance(Duration::from_secs(120));
    assert_eq!(fake.quarantined, ["w5"]);
    assert_eq!(fake.outcomes.len(), 300);
    let not_done: Vec<_> = fake.outcomes.iter().filter(|(_, out)| **out != Outcome::Done).collect();
    assert_eq!(not_done, [(&"bad".to_owned(), &Outcome::Impossible)]);
    assert!(fake.starts["bad"] as usize <= MAX_ATTEMPTS);
}

proptest! {
    #![proptest_config(support::seeded(64))]

    #[test]
    fn attempts_and_quarantined_workers_are_bounded_whatever_fails(seed in any::<u64>()) {
        let mut rng = SmallRng::seed_from_u64(seed);
        let (mut classifier, begin) = (classifier(), Instant::now());
        let mut attempts = vec![0; 100];
        let failing = rng.random_range(0.0..1.0);
        for step in 0..1_000 {
            let now = begin + Duration::from_secs(step);
            classifier.due_probes(now);
            let (worker, job) = (rng.random_range(0..WORKERS), rng.random_range(0..100));
            if attempts[job] == usize::MAX {
                continue;
            }
            if rng.random_bool(failing) {
                attempts[job] += 1;
                if classifier.record_failure(now, worker, &format!("j{job}")) != Verdict::Retry {
                    attempts[job] = usize::MAX;
                }
                classifier.quarantine(now, worker);
            } else {
                classifier.record_success(now, worker, &format!("j{job}"));
            }
            prop_assert!(classifier.quarantined(0) <= classifier.max_quarantined(0));
            prop_assert!(attempts[job] == usize::MAX || attempts[job] < MAX_ATTEMPTS);
        }
    }
}

#[test]
fn a_job_is_forgotten_after_its_last_failure_though_one_that_failed_before_it_is_not() {
    let mut classifier = Classifier::default();
    for key in 0..3 {
        classifier.add_worker(key, Location { pool: 0, rack: key, zone: 0 });
    }
    let begin = Instant::now();
    let (lasting, once) = (String::from("lasting"), String::from("once"));
    classifier.record_failure(begin, 0, &lasting);
    classifier.record_failure(begin, 1, &once);
    classifier.record_failure(begin + RETENTION / 2, 1, &lasting);
    classifier.record_failure(begin + RETENTION, 2, &String::from("other"));
    assert!(classifier.failed_on(&once).is_empty());
    assert_eq!(classifier.failed_on(&lasting), [0, 1]);
}
