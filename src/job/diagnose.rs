//! Attributes failures to jobs that fail on every worker or to workers that fail every job.
//!
//! A failure of a job on a worker is evidence against both. How strong it is against one depends on
//! what else is known of the other, so recent outcomes of both are kept and weighed by Bayes' rule:
//! a failure on a worker that runs other jobs is evidence against the job, and a failure of a job
//! that succeeded elsewhere is evidence against the worker. Simultaneous failures on several workers
//! of a rack or zone have a common cause and are evidence against neither: the fraction of the other
//! jobs that failed there within `WINDOW` is taken as the expected failure rate.
//!
//! A job is found impossible only after failures on `MIN_FAILURES` distinct workers, and a worker
//! faulty only after failures of `MIN_FAILURES` distinct jobs. A job is tried at most `MAX_TRIES`
//! times. A faulty worker is quarantined, but at most `MAX_ASIDE_PERCENT` of a pool are at once;
//! after a delay it is probed with one repeatable job.

use {
    crate::job::JobId,
    indexmap::{IndexMap, IndexSet},
    std::{
        collections::VecDeque,
        time::{Duration, Instant},
    },
};

/// Number of a worker.
pub type Key = u32;

/// Distinct workers on which a job, or jobs on a worker, must have failed before it is found faulty.
pub const MIN_FAILURES: usize = 3;
/// Failures after which a job is given up although the cause isn't clear.
pub const MAX_TRIES: usize = 8;
/// Most workers of a pool that may be quarantined at once, in percent; one always may.
pub const MAX_ASIDE_PERCENT: usize = 10;
/// Delay before the first probe of a quarantined worker; it doubles with each probe that fails.
pub const PROBE_AFTER: Duration = Duration::from_secs(300);
/// Longest delay before a probe.
pub const MAX_PROBE_AFTER: Duration = Duration::from_secs(3_600);
/// Time within which failures of several workers may have a common cause.
pub const WINDOW: Duration = Duration::from_secs(60);
/// Time since its last failure for which a job's failures are kept.
pub const MEMORY: Duration = Duration::from_secs(3_600);

/// Outcomes kept for each worker.
const HISTORY: usize = 8;
/// Outcomes kept for each rack and each zone.
const RECENT: usize = 128;
/// Fraction of the jobs in a rack or zone that must fail together for a common cause.
const COMMON_CAUSE: f64 = 0.3;
/// Probability that a worker is faulty, before any evidence.
const BAD_WORKER_PRIOR: f64 = 0.01;
/// Probability that a job is impossible, before any evidence.
const BAD_JOB_PRIOR: f64 = 0.02;
/// Probability that a sound job fails on a sound worker.
const CHANCE_FAILURE: f64 = 0.02;
/// Probability that a run fails if its job or its worker is faulty.
const BAD_FAILS: f64 = 0.98;
/// Probability from which a job or worker is taken to be faulty.
const CERTAIN: f64 = 0.95;

/// What to do with a job after a failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Try the job on another worker.
    Retry,
    /// Give the job up: it would fail on every worker.
    Impossible,
    /// Give the job up after too many failures without a clear cause.
    GiveUp,
}

/// Pool, rack and zone of a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Place {
    /// Pool.
    pub pool: u32,
    /// Rack.
    pub rack: u32,
    /// Zone.
    pub zone: u32,
}

/// Failure of a job on a worker; `expected` was the expected failure rate at that time.
#[derive(Clone, Debug)]
struct Trial {
    worker: Key,
    expected: f64,
}

/// Failures of one job.
#[derive(Clone, Debug)]
struct Case {
    failures: Vec<Trial>,
    succeeded: bool,
    at: Instant,
}

/// Outcome of a run on a worker, with the expected failure rate at that time.
#[derive(Clone, Debug)]
struct Run {
    job: JobId,
    failed: bool,
    expected: f64,
}

/// Outcome of a run in a rack or zone.
#[derive(Clone, Debug)]
struct Outcome {
    at: Instant,
    worker: Key,
    job: JobId,
    failed: bool,
}

/// Quarantine of a worker until its next probe.
#[derive(Clone, Debug)]
struct Aside {
    until: Instant,
    wait: Duration,
    probing: bool,
}

/// Recent outcomes on one worker.
#[derive(Clone, Debug)]
struct History {
    place: Place,
    runs: VecDeque<Run>,
    aside: Option<Aside>,
}

/// Attributes failures to jobs and workers.
#[derive(Clone, Debug, Default)]
pub struct Judge {
    workers: IndexMap<Key, History>,
    jobs: IndexMap<JobId, Case>,
    pools: IndexMap<u32, usize>,
    recent: IndexMap<u64, VecDeque<Outcome>>,
    asides: IndexSet<Key>,
}

/// Keys of a worker's rack and zone, which never coincide.
fn domains(place: &Place) -> [u64; 2] {
    [u64::from(place.rack), u64::from(place.zone) | 1 << 32]
}

/// Probability that belongs to logarithmic odds.
fn probability(odds: f64) -> f64 {
    1.0 / (1.0 + (-odds).exp())
}

/// Logarithmic odds of a probability.
fn prior(probability: f64) -> f64 {
    (probability / (1.0 - probability)).ln()
}

impl Judge {
    /// Adds a worker.
    pub fn add(&mut self, worker: Key, place: Place) {
        let history = History { place, runs: VecDeque::new(), aside: None };
        if self.workers.insert(worker, history).is_none() {
            *self.pools.entry(place.pool).or_insert(0) += 1;
        }
    }

    /// Records that a job succeeded on a worker; returns true if that ends the worker's quarantine.
    pub fn succeeded(&mut self, now: Instant, worker: Key, job: &JobId) -> bool {
        self.remember(now, worker, job, false, CHANCE_FAILURE);
        if let Some(case) = self.jobs.get_mut(job) {
            case.succeeded = true;
        }
        let Some(history) = self.workers.get_mut(&worker) else { return false };
        let probed = history.aside.as_ref().is_some_and(|aside| aside.probing);
        if probed {
            self.asides.swap_remove(&worker);
            history.aside = None;
            history.runs.retain(|run| !run.failed);
        }
        probed
    }

    /// Records that a job failed on a worker, and returns what to do with the job.
    pub fn failed(&mut self, now: Instant, worker: Key, job: &JobId) -> Verdict {
        let expected = self.expected(now, worker, job);
        self.remember(now, worker, job, true, expected);
        self.forget(now);
        let case = self.jobs.entry(job.clone()).or_insert(Case {
            failures: Vec::new(),
            succeeded: false,
            at: now,
        });
        case.at = now;
        case.failures.push(Trial { worker, expected });
        let tries = case.failures.len();
        self.probe_failed(now, worker);
        if self.witnesses(job) >= MIN_FAILURES && self.job_badness(job, None, 2) >= CERTAIN {
            return Verdict::Impossible;
        }
        if tries >= MAX_TRIES { Verdict::GiveUp } else { Verdict::Retry }
    }

    /// Quarantines a worker if the evidence against it suffices; returns whether it did.
    pub fn set_aside(&mut self, now: Instant, worker: Key) -> bool {
        let Some(history) = self.workers.get(&worker) else { return false };
        let pool = history.place.pool;
        let mut failed: Vec<&JobId> =
            history.runs.iter().filter(|run| run.failed).map(|run| &run.job).collect();
        failed.sort_unstable();
        failed.dedup();
        if history.aside.is_some()
            || failed.len() < MIN_FAILURES
            || self.aside(pool) >= self.max_aside(pool)
            || self.worker_badness(worker, None, 2) < CERTAIN
        {
            return false;
        }
        let aside = Aside { until: now + PROBE_AFTER, wait: PROBE_AFTER, probing: false };
        self.workers[&worker].aside = Some(aside);
        self.asides.insert(worker);
        true
    }

    /// Quarantined workers whose probe is due; each should be given one job.
    pub fn probes(&mut self, now: Instant) -> Vec<Key> {
        let mut due = Vec::new();
        for worker in &self.asides {
            let aside = self.workers.get_mut(worker).and_then(|history| history.aside.as_mut());
            if let Some(aside) = aside.filter(|a| !a.probing && a.until <= now) {
                aside.probing = true;
                due.push(*worker);
            }
        }
        due
    }

    /// Number of a pool's quarantined workers.
    pub fn aside(&self, pool: u32) -> usize {
        self.asides.iter().filter(|key| self.workers[*key].place.pool == pool).count()
    }

    /// Whether a worker is quarantined.
    pub fn is_aside(&self, worker: Key) -> bool {
        self.asides.contains(&worker)
    }

    /// Whether a worker is being probed.
    pub fn is_probing(&self, worker: Key) -> bool {
        let aside = self.workers.get(&worker).and_then(|history| history.aside.as_ref());
        aside.is_some_and(|aside| aside.probing)
    }

    /// Most workers of a pool that may be quarantined at once.
    pub fn max_aside(&self, pool: u32) -> usize {
        let workers = self.pools.get(&pool).copied().unwrap_or(0);
        (workers * MAX_ASIDE_PERCENT / 100).max(1)
    }

    /// Workers on which a job failed, once for each failure.
    pub fn failed_on(&self, job: &JobId) -> Vec<Key> {
        let case = self.jobs.get(job);
        case.map_or_else(Vec::new, |case| case.failures.iter().map(|t| t.worker).collect())
    }

    fn remember(&mut self, now: Instant, worker: Key, job: &JobId, failed: bool, expected: f64) {
        let Some(history) = self.workers.get_mut(&worker) else { return };
        if history.runs.len() == HISTORY {
            history.runs.pop_front();
        }
        history.runs.push_back(Run { job: job.clone(), failed, expected });
        for domain in domains(&history.place) {
            let recent = self.recent.entry(domain).or_default();
            if recent.len() == RECENT {
                recent.pop_front();
            }
            recent.push_back(Outcome { at: now, worker, job: job.clone(), failed });
        }
    }

    /// Doubles the delay before the next probe if the worker was being probed.
    fn probe_failed(&mut self, now: Instant, worker: Key) {
        let aside = self.workers.get_mut(&worker).and_then(|history| history.aside.as_mut());
        if let Some(aside) = aside.filter(|aside| aside.probing) {
            aside.wait = (aside.wait * 2).min(MAX_PROBE_AFTER);
            aside.until = now + aside.wait;
            aside.probing = false;
        }
    }

    /// Drops jobs whose last failure is older than `MEMORY`.
    fn forget(&mut self, now: Instant) {
        while let Some((_, case)) = self.jobs.first() {
            if now.duration_since(case.at) < MEMORY {
                return;
            }
            self.jobs.shift_remove_index(0);
        }
    }

    /// Number of distinct workers on which a job failed.
    fn witnesses(&self, job: &JobId) -> usize {
        let mut workers = self.failed_on(job);
        workers.sort_unstable();
        workers.dedup();
        workers.len()
    }

    /// Current failure rate of a sound job on a sound worker.
    fn expected(&self, now: Instant, worker: Key, job: &JobId) -> f64 {
        let Some(own) = self.workers.get(&worker).map(|history| history.place) else {
            return CHANCE_FAILURE;
        };
        let [rack, zone] = domains(&own).map(|domain| self.failing(now, worker, job, domain));
        rack.max(zone).max(CHANCE_FAILURE)
    }

    /// Fraction of the other jobs that failed recently on other workers of a rack or zone, or 0
    /// unless they show a common cause: several jobs must have failed on several workers, and they
    /// must be a large fraction of all.
    fn failing(&self, now: Instant, worker: Key, job: &JobId, domain: u64) -> f64 {
        let Some(outcomes) = self.recent.get(&domain) else { return 0.0 };
        let mut failed: IndexMap<&JobId, bool> = IndexMap::new();
        let mut workers = IndexSet::new();
        for outcome in outcomes {
            let late = now.duration_since(outcome.at) <= WINDOW;
            if late && outcome.worker != worker && outcome.job != *job {
                *failed.entry(&outcome.job).or_insert(true) &= outcome.failed;
                if outcome.failed {
                    workers.insert(outcome.worker);
                }
            }
        }
        let failures = failed.values().filter(|failed| **failed).count();
        let part = failures as f64 / failed.len().max(1) as f64;
        let common = failures >= MIN_FAILURES && workers.len() > 1 && part >= COMMON_CAUSE;
        if common { part } else { 0.0 }
    }

    /// Probability that a job fails on every worker, without the evidence from the worker `without`.
    /// `depth` limits the mutual recursion with [`Judge::worker_badness`].
    fn job_badness(&self, job: &JobId, without: Option<Key>, depth: u32) -> f64 {
        let Some(case) = self.jobs.get(job).filter(|case| !case.succeeded) else {
            return if self.jobs.contains_key(job) { 0.0 } else { BAD_JOB_PRIOR };
        };
        let mut odds = prior(BAD_JOB_PRIOR);
        for trial in case.failures.iter().filter(|trial| Some(trial.worker) != without) {
            let bad = match depth {
                0 => BAD_WORKER_PRIOR,
                _ => self.worker_badness(trial.worker, Some(job), depth - 1),
            };
            odds += (BAD_FAILS / (bad * BAD_FAILS + (1.0 - bad) * trial.expected)).ln();
        }
        probability(odds)
    }

    /// Probability that a worker fails every job, without the evidence from the job `without`.
    /// `depth` limits the mutual recursion with [`Judge::job_badness`].
    fn worker_badness(&self, worker: Key, without: Option<&JobId>, depth: u32) -> f64 {
        let Some(history) = self.workers.get(&worker) else { return BAD_WORKER_PRIOR };
        // The worker may have become faulty after any of its runs. The evidence never falls below
        // zero, so that it counts from the most likely moment.
        let mut evidence: f64 = 0.0;
        for run in history.runs.iter().filter(|run| Some(&run.job) != without) {
            let bad = match depth {
                0 => BAD_JOB_PRIOR,
                _ => self.job_badness(&run.job, Some(worker), depth - 1),
            };
            let fails = bad * BAD_FAILS + (1.0 - bad) * run.expected;
            evidence += match run.failed {
                true => (BAD_FAILS / fails).ln(),
                false => ((1.0 - BAD_FAILS) / (1.0 - fails)).ln(),
            };
            evidence = evidence.max(0.0);
        }
        probability(prior(BAD_WORKER_PRIOR) + evidence)
    }
}
