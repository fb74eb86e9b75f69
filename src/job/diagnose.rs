//! Tells a job that can never run from a worker that fails everything.
//!
//! A failure of a job on a worker speaks against both. How much it speaks against the one depends
//! on what else is known of the other, so the judge keeps the recent failures of each and weighs
//! them by Bayes' rule: a failure on a worker that runs other jobs speaks against the job, a failure
//! of a job that ran elsewhere speaks against the worker. Failures that hit several workers of a
//! rack or zone at the same time have a common cause and speak against nobody: the part of the
//! other jobs that failed there within `WINDOW` is taken as the rate of failures to expect.
//!
//! A verdict needs `MIN_FAILURES` distinct witnesses. A job is tried `MAX_TRIES` times at most. A
//! worker found bad is set aside, but never more than `MAX_ASIDE_PERCENT` of a pool; after a wait
//! it is probed with one repeatable job.

use {
    crate::job::JobId,
    indexmap::{IndexMap, IndexSet},
    std::{
        collections::VecDeque,
        time::{Duration, Instant},
    },
};

/// Worker as the judge names it.
pub type Key = u32;

/// Distinct workers or jobs that must have failed before a verdict.
pub const MIN_FAILURES: usize = 3;
/// Tries after which a job is given up without a verdict.
pub const MAX_TRIES: usize = 8;
/// Part of a pool's workers that may be set aside at once; one always may.
pub const MAX_ASIDE_PERCENT: usize = 10;
/// Wait before the first probe of a worker; it doubles with each that fails.
pub const PROBE_AFTER: Duration = Duration::from_secs(300);
/// Longest wait before a probe.
pub const MAX_PROBE_AFTER: Duration = Duration::from_secs(3_600);
/// Time within which failures of several workers have a common cause.
pub const WINDOW: Duration = Duration::from_secs(60);
/// Time for which a job's trials are remembered.
pub const MEMORY: Duration = Duration::from_secs(3_600);

const HISTORY: usize = 8;
/// Outcomes kept of a rack or zone.
const RECENT: usize = 128;
/// Part of the jobs in a rack or zone that fail together if the cause is common.
const COMMON_CAUSE: f64 = 0.3;
const BAD_WORKER_PRIOR: f64 = 0.01;
const BAD_JOB_PRIOR: f64 = 0.02;
const CHANCE_FAILURE: f64 = 0.02;
const BAD_FAILS: f64 = 0.98;
const CERTAIN: f64 = 0.95;

/// What the judge concludes from a failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Try the job on another worker.
    Retry,
    /// The job fails wherever it runs.
    Impossible,
    /// The job was tried often enough, without a clear cause.
    GiveUp,
}

/// Where a worker stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Place {
    /// Pool.
    pub pool: u32,
    /// Rack.
    pub rack: u32,
    /// Zone.
    pub zone: u32,
}

#[derive(Clone, Debug)]
struct Trial {
    worker: Key,
    expected: f64,
}

#[derive(Clone, Debug)]
struct Case {
    failures: Vec<Trial>,
    succeeded: bool,
    at: Instant,
}

#[derive(Clone, Debug)]
struct Run {
    job: JobId,
    failed: bool,
    expected: f64,
}

#[derive(Clone, Debug)]
struct Outcome {
    at: Instant,
    worker: Key,
    job: JobId,
    failed: bool,
}

#[derive(Clone, Debug)]
struct Aside {
    until: Instant,
    wait: Duration,
    probing: bool,
}

#[derive(Clone, Debug)]
struct History {
    place: Place,
    runs: VecDeque<Run>,
    aside: Option<Aside>,
}

/// Weighs failures of jobs and workers.
#[derive(Clone, Debug, Default)]
pub struct Judge {
    workers: IndexMap<Key, History>,
    jobs: IndexMap<JobId, Case>,
    pools: IndexMap<u32, usize>,
    recent: IndexMap<u64, VecDeque<Outcome>>,
    asides: IndexSet<Key>,
}

/// Rack and zone of a worker, as numbers that differ.
fn domains(place: &Place) -> [u64; 2] {
    [u64::from(place.rack), u64::from(place.zone) | 1 << 32]
}

fn probability(odds: f64) -> f64 {
    1.0 / (1.0 + (-odds).exp())
}

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

    /// Takes note that a job ran well on a worker; true if that ends the worker's probe.
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

    /// Takes note that a job failed on a worker.
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

    /// Whether a worker should be set aside now; it is, if true is returned.
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

    /// Workers to probe now, each with one job.
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

    /// Workers of a pool that are set aside.
    pub fn aside(&self, pool: u32) -> usize {
        self.asides.iter().filter(|key| self.workers[*key].place.pool == pool).count()
    }

    /// Whether a worker is set aside.
    pub fn is_aside(&self, worker: Key) -> bool {
        self.asides.contains(&worker)
    }

    /// Whether a worker is being probed.
    pub fn is_probing(&self, worker: Key) -> bool {
        let aside = self.workers.get(&worker).and_then(|history| history.aside.as_ref());
        aside.is_some_and(|aside| aside.probing)
    }

    /// Workers of a pool that may be set aside at once.
    pub fn max_aside(&self, pool: u32) -> usize {
        let workers = self.pools.get(&pool).copied().unwrap_or(0);
        (workers * MAX_ASIDE_PERCENT / 100).max(1)
    }

    /// Workers on which a job failed.
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

    fn probe_failed(&mut self, now: Instant, worker: Key) {
        let aside = self.workers.get_mut(&worker).and_then(|history| history.aside.as_mut());
        if let Some(aside) = aside.filter(|aside| aside.probing) {
            aside.wait = (aside.wait * 2).min(MAX_PROBE_AFTER);
            aside.until = now + aside.wait;
            aside.probing = false;
        }
    }

    fn forget(&mut self, now: Instant) {
        while let Some((_, case)) = self.jobs.first() {
            if now.duration_since(case.at) < MEMORY {
                return;
            }
            self.jobs.shift_remove_index(0);
        }
    }

    fn witnesses(&self, job: &JobId) -> usize {
        let mut workers = self.failed_on(job);
        workers.sort_unstable();
        workers.dedup();
        workers.len()
    }

    /// Rate of failures to expect of a sound job on a sound worker now.
    fn expected(&self, now: Instant, worker: Key, job: &JobId) -> f64 {
        let Some(own) = self.workers.get(&worker).map(|history| history.place) else {
            return CHANCE_FAILURE;
        };
        let [rack, zone] = domains(&own).map(|domain| self.failing(now, worker, job, domain));
        rack.max(zone).max(CHANCE_FAILURE)
    }

    /// Part of the other jobs that failed lately on other workers of a rack or zone, if they show a
    /// common cause: several jobs on several workers, and not just a few among many.
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

    /// Probability that a job fails everywhere, without what one worker says.
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

    /// Probability that a worker fails everything, without what one job says.
    fn worker_badness(&self, worker: Key, without: Option<&JobId>, depth: u32) -> f64 {
        let Some(history) = self.workers.get(&worker) else { return BAD_WORKER_PRIOR };
        // The worker may have become bad after any of its runs: the likeliest moment counts.
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
