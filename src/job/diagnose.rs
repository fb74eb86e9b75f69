//! Attributes failures to jobs that fail on every worker or to workers that fail every job.
//!
//! A failure of a job on a worker is evidence against both. How strong it is against one depends on
//! what else is known of the other, so recent outcomes of both are kept and weighed by Bayes' rule:
//! a failure on a worker that runs other jobs is evidence against the job, and a failure of a job
//! that succeeded elsewhere is evidence against the worker. Simultaneous failures on several
//! workers of a rack or zone have a common cause and are evidence against neither: the fraction of
//! the other jobs that failed there within `COMMON_CAUSE_WINDOW` is taken as the expected failure
//! rate.
//!
//! A job is found impossible only after failures on `MIN_FAILURES` distinct workers, and a worker
//! faulty only after failures of `MIN_FAILURES` distinct jobs. A job is attempted at most
//! `MAX_ATTEMPTS` times. A faulty worker is quarantined, but at most `MAX_QUARANTINED_PERCENT` of a
//! pool are at once; after a delay it is probed with one repeatable job.

mod probability;

use {
    self::probability::BASE_FAILURE_RATE,
    crate::job::JobId,
    indexmap::{IndexMap, IndexSet},
    std::{
        collections::VecDeque,
        time::{Duration, Instant},
    },
};

/// Number of a worker.
pub type Key = u32;

/// Distinct workers on which a job, or jobs on a worker, must have failed before it is found
/// faulty.
pub const MIN_FAILURES: usize = 3;
/// Failures after which a job is given up although the cause isn't clear.
pub const MAX_ATTEMPTS: usize = 8;
/// Maximum percentage of a pool's workers that may be quarantined at once; one always may.
pub const MAX_QUARANTINED_PERCENT: usize = 10;
/// Delay before the first probe of a quarantined worker; it doubles with each probe that fails.
pub const PROBE_DELAY: Duration = Duration::from_secs(300);
/// Longest delay before a probe.
pub const MAX_PROBE_DELAY: Duration = Duration::from_secs(3_600);
/// Time within which failures of several workers may have a common cause.
pub const COMMON_CAUSE_WINDOW: Duration = Duration::from_secs(60);
/// Time since its last failure for which a job's failures are kept.
pub const RETENTION: Duration = Duration::from_secs(3_600);

/// Outcomes kept for each worker.
const OUTCOMES_PER_WORKER: usize = 8;
/// Outcomes kept for each rack and each zone.
const OUTCOMES_PER_DOMAIN: usize = 128;
/// Probability from which a job or worker is taken to be faulty.
const MIN_CONFIDENCE: f64 = 0.95;

/// What to do with a job after a failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Retry the job on another worker.
    Retry,
    /// Give the job up: it would fail on every worker.
    Impossible,
    /// Give the job up after too many failures without a clear cause.
    GiveUp,
}

/// Pool, rack and zone of a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Location {
    /// Pool.
    pub pool: u32,
    /// Rack.
    pub rack: u32,
    /// Zone.
    pub zone: u32,
}

/// Failure of a job on a worker; `expected` was the expected failure rate at that time.
#[derive(Clone, Debug)]
struct Failure {
    worker: Key,
    expected: f64,
}

/// Failures of one job.
#[derive(Clone, Debug)]
struct JobHistory {
    failures: Vec<Failure>,
    succeeded: bool,
    last_failure: Instant,
}

/// Outcome of an attempt on a worker, with the expected failure rate at that time.
#[derive(Clone, Debug)]
struct Attempt {
    job: JobId,
    failed: bool,
    expected: f64,
}

/// Outcome of an attempt in a rack or zone.
#[derive(Clone, Debug)]
struct Outcome {
    at: Instant,
    worker: Key,
    job: JobId,
    failed: bool,
}

/// Quarantine of a worker, with the delay before its next probe.
#[derive(Clone, Debug)]
struct Quarantine {
    next_probe: Instant,
    delay: Duration,
    probing: bool,
}

/// Recent outcomes on one worker.
#[derive(Clone, Debug)]
struct WorkerHistory {
    location: Location,
    attempts: VecDeque<Attempt>,
    quarantine: Option<Quarantine>,
}

/// Attributes failures to jobs and workers.
#[derive(Clone, Debug, Default)]
pub struct Classifier {
    workers: IndexMap<Key, WorkerHistory>,
    jobs: IndexMap<JobId, JobHistory>,
    /// Times of the failures within `RETENTION`, with the jobs that failed, oldest first.
    failure_times: VecDeque<(Instant, JobId)>,
    /// Number of workers of each pool.
    pools: IndexMap<u32, usize>,
    /// Recent outcomes of each rack and zone, by the keys of `domains`.
    domains: IndexMap<u64, VecDeque<Outcome>>,
    quarantined: IndexSet<Key>,
}

/// Keys of a worker's rack and zone, which never coincide.
fn domains(location: &Location) -> [u64; 2] {
    [u64::from(location.rack), u64::from(location.zone) | 1 << 32]
}

impl Classifier {
    /// Adds a worker.
    pub fn add_worker(&mut self, worker: Key, location: Location) {
        let history = WorkerHistory { location, attempts: VecDeque::new(), quarantine: None };
        if self.workers.insert(worker, history).is_none() {
            *self.pools.entry(location.pool).or_insert(0) += 1;
        }
    }

    /// Records that a job succeeded on a worker; returns true if that ends the worker's quarantine.
    pub fn record_success(&mut self, now: Instant, worker: Key, job: &JobId) -> bool {
        self.record_outcome(now, worker, job, false, BASE_FAILURE_RATE);
        if let Some(history) = self.jobs.get_mut(job) {
            history.succeeded = true;
        }
        let Some(history) = self.workers.get_mut(&worker) else { return false };
        let probed = history.quarantine.as_ref().is_some_and(|quarantine| quarantine.probing);
        if probed {
            self.quarantined.swap_remove(&worker);
            history.quarantine = None;
            history.attempts.retain(|attempt| !attempt.failed);
        }
        probed
    }

    /// Records that a job failed on a worker, and returns what to do with the job.
    pub fn record_failure(&mut self, now: Instant, worker: Key, job: &JobId) -> Verdict {
        let expected = self.expected_failure_rate(now, worker, job);
        self.record_outcome(now, worker, job, true, expected);
        self.drop_expired(now);
        let history = self.jobs.entry(job.clone()).or_insert(JobHistory {
            failures: Vec::new(),
            succeeded: false,
            last_failure: now,
        });
        history.last_failure = now;
        history.failures.push(Failure { worker, expected });
        self.failure_times.push_back((now, job.clone()));
        let attempts = history.failures.len();
        self.probe_failed(now, worker);
        if self.distinct_workers(job) >= MIN_FAILURES
            && self.job_fault_probability(job, None, 2) >= MIN_CONFIDENCE
        {
            return Verdict::Impossible;
        }
        if attempts >= MAX_ATTEMPTS { Verdict::GiveUp } else { Verdict::Retry }
    }

    /// Quarantines a worker if the evidence against it suffices; returns whether it did.
    pub fn quarantine(&mut self, now: Instant, worker: Key) -> bool {
        let Some(history) = self.workers.get(&worker) else { return false };
        let pool = history.location.pool;
        let mut failed: Vec<&JobId> = history
            .attempts
            .iter()
            .filter(|attempt| attempt.failed)
            .map(|attempt| &attempt.job)
            .collect();
        failed.sort_unstable();
        failed.dedup();
        if history.quarantine.is_some()
            || failed.len() < MIN_FAILURES
            || self.quarantined(pool) >= self.max_quarantined(pool)
            || self.worker_fault_probability(worker, None, 2) < MIN_CONFIDENCE
        {
            return false;
        }
        let quarantine =
            Quarantine { next_probe: now + PROBE_DELAY, delay: PROBE_DELAY, probing: false };
        self.workers[&worker].quarantine = Some(quarantine);
        self.quarantined.insert(worker);
        true
    }

    /// Quarantined workers whose probe is due; each should be given one job.
    pub fn due_probes(&mut self, now: Instant) -> Vec<Key> {
        let mut due = Vec::new();
        for worker in &self.quarantined {
            let quarantine =
                self.workers.get_mut(worker).and_then(|history| history.quarantine.as_mut());
            if let Some(quarantine) = quarantine.filter(|q| !q.probing && q.next_probe <= now) {
                quarantine.probing = true;
                due.push(*worker);
            }
        }
        due
    }

    /// Number of a pool's quarantined workers.
    pub fn quarantined(&self, pool: u32) -> usize {
        self.quarantined.iter().filter(|key| self.workers[*key].location.pool == pool).count()
    }

    /// Whether a worker is quarantined.
    pub fn is_quarantined(&self, worker: Key) -> bool {
        self.quarantined.contains(&worker)
    }

    /// Whether a worker is being probed.
    pub fn is_probing(&self, worker: Key) -> bool {
        let quarantine = self.workers.get(&worker).and_then(|history| history.quarantine.as_ref());
        quarantine.is_some_and(|quarantine| quarantine.probing)
    }

    /// Maximum number of workers of a pool that may be quarantined at once.
    pub fn max_quarantined(&self, pool: u32) -> usize {
        let workers = self.pools.get(&pool).copied().unwrap_or(0);
        (workers * MAX_QUARANTINED_PERCENT / 100).max(1)
    }

    /// Workers on which a job failed, once for each failure.
    pub fn failed_on(&self, job: &JobId) -> Vec<Key> {
        let history = self.jobs.get(job);
        history.map_or_else(Vec::new, |history| {
            history.failures.iter().map(|failure| failure.worker).collect()
        })
    }

    /// Adds an outcome to the histories of a worker and of its rack and zone.
    fn record_outcome(
        &mut self,
        now: Instant,
        worker: Key,
        job: &JobId,
        failed: bool,
        expected: f64,
    ) {
        let Some(history) = self.workers.get_mut(&worker) else { return };
        if history.attempts.len() == OUTCOMES_PER_WORKER {
            history.attempts.pop_front();
        }
        history.attempts.push_back(Attempt { job: job.clone(), failed, expected });
        for domain in domains(&history.location) {
            let outcomes = self.domains.entry(domain).or_default();
            if outcomes.len() == OUTCOMES_PER_DOMAIN {
                outcomes.pop_front();
            }
            outcomes.push_back(Outcome { at: now, worker, job: job.clone(), failed });
        }
    }

    /// Doubles the delay before the next probe if the worker was being probed.
    fn probe_failed(&mut self, now: Instant, worker: Key) {
        let quarantine =
            self.workers.get_mut(&worker).and_then(|history| history.quarantine.as_mut());
        if let Some(quarantine) = quarantine.filter(|quarantine| quarantine.probing) {
            quarantine.delay = (quarantine.delay * 2).min(MAX_PROBE_DELAY);
            quarantine.next_probe = now + quarantine.delay;
            quarantine.probing = false;
        }
    }

    /// Drops jobs whose last failure was not within `RETENTION`.
    fn drop_expired(&mut self, now: Instant) {
        while let Some((at, _)) = self.failure_times.front() {
            if now.duration_since(*at) < RETENTION {
                return;
            }
            let Some((at, job)) = self.failure_times.pop_front() else { return };
            if self.jobs.get(&job).is_some_and(|history| history.last_failure <= at) {
                self.jobs.swap_remove(&job);
            }
        }
    }

    /// Number of distinct workers on which a job failed.
    fn distinct_workers(&self, job: &JobId) -> usize {
        let mut workers = self.failed_on(job);
        workers.sort_unstable();
        workers.dedup();
        workers.len()
    }
}
