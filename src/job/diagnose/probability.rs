//! How likely it is that a job or a worker is the cause of failures, by Bayes' rule.

use {
    super::{COMMON_CAUSE_WINDOW, Classifier, Key, MIN_FAILURES, domains},
    crate::job::JobId,
    indexmap::{IndexMap, IndexSet},
    std::time::Instant,
};

/// Fraction of the jobs in a rack or zone that must fail together for a common cause.
const MIN_COMMON_FRACTION: f64 = 0.3;
/// Probability that a worker is faulty, before any evidence.
const FAULTY_WORKER_PRIOR: f64 = 0.01;
/// Probability that a job is impossible, before any evidence.
const FAULTY_JOB_PRIOR: f64 = 0.02;
/// Probability that a healthy job fails on a healthy worker.
pub(super) const BASE_FAILURE_RATE: f64 = 0.02;
/// Probability that an attempt fails if its job or its worker is faulty.
const FAULTY_FAILURE_RATE: f64 = 0.98;
/// Probability that belongs to logarithmic odds.
fn from_log_odds(log_odds: f64) -> f64 {
    1.0 / (1.0 + (-log_odds).exp())
}

/// Logarithmic odds of a probability.
fn log_odds_of(probability: f64) -> f64 {
    (probability / (1.0 - probability)).ln()
}

impl Classifier {
    /// Current failure rate of a healthy job on a healthy worker.
    pub(super) fn expected_failure_rate(&self, now: Instant, worker: Key, job: &JobId) -> f64 {
        let Some(location) = self.workers.get(&worker).map(|history| history.location) else {
            return BASE_FAILURE_RATE;
        };
        let [rack, zone] =
            domains(&location).map(|domain| self.common_failure_rate(now, worker, job, domain));
        rack.max(zone).max(BASE_FAILURE_RATE)
    }

    /// Fraction of the other jobs that failed recently on other workers of a rack or zone, or 0
    /// unless they show a common cause: several jobs must have failed on several workers, and they
    /// must be a large fraction of all.
    fn common_failure_rate(&self, now: Instant, worker: Key, job: &JobId, domain: u64) -> f64 {
        let Some(outcomes) = self.domains.get(&domain) else { return 0.0 };
        let mut failed: IndexMap<&JobId, bool> = IndexMap::new();
        let mut workers = IndexSet::new();
        for outcome in outcomes {
            let recent = now.duration_since(outcome.at) <= COMMON_CAUSE_WINDOW;
            if recent && outcome.worker != worker && outcome.job != *job {
                *failed.entry(&outcome.job).or_insert(true) &= outcome.failed;
                if outcome.failed {
                    workers.insert(outcome.worker);
                }
            }
        }
        let failures = failed.values().filter(|failed| **failed).count();
        let fraction = failures as f64 / failed.len().max(1) as f64;
        let common =
            failures >= MIN_FAILURES && workers.len() > 1 && fraction >= MIN_COMMON_FRACTION;
        if common { fraction } else { 0.0 }
    }

    /// Probability that a job fails on every worker, without the evidence from the worker
    /// `excluded`. `depth` limits the mutual recursion with
    /// [`Classifier::worker_fault_probability`].
    pub(super) fn job_fault_probability(
        &self,
        job: &JobId,
        excluded: Option<Key>,
        depth: u32,
    ) -> f64 {
        let Some(history) = self.jobs.get(job).filter(|history| !history.succeeded) else {
            return if self.jobs.contains_key(job) { 0.0 } else { FAULTY_JOB_PRIOR };
        };
        let mut log_odds = log_odds_of(FAULTY_JOB_PRIOR);
        for failure in history.failures.iter().filter(|failure| Some(failure.worker) != excluded) {
            let fault = match depth {
                0 => FAULTY_WORKER_PRIOR,
                _ => self.worker_fault_probability(failure.worker, Some(job), depth - 1),
            };
            log_odds += (FAULTY_FAILURE_RATE
                / (fault * FAULTY_FAILURE_RATE + (1.0 - fault) * failure.expected))
                .ln();
        }
        from_log_odds(log_odds)
    }

    /// Probability that a worker fails every job, without the evidence from the job `excluded`.
    /// `depth` limits the mutual recursion with [`Classifier::job_fault_probability`].
    pub(super) fn worker_fault_probability(
        &self,
        worker: Key,
        excluded: Option<&JobId>,
        depth: u32,
    ) -> f64 {
        let Some(history) = self.workers.get(&worker) else { return FAULTY_WORKER_PRIOR };
        // The worker may have become faulty after any of its attempts. The evidence never falls
        // below zero, so that it counts from the most likely moment.
        let mut evidence: f64 = 0.0;
        for attempt in history.attempts.iter().filter(|attempt| Some(&attempt.job) != excluded) {
            let fault = match depth {
                0 => FAULTY_JOB_PRIOR,
                _ => self.job_fault_probability(&attempt.job, Some(worker), depth - 1),
            };
            let fails = fault * FAULTY_FAILURE_RATE + (1.0 - fault) * attempt.expected;
            evidence += match attempt.failed {
                true => (FAULTY_FAILURE_RATE / fails).ln(),
                false => ((1.0 - FAULTY_FAILURE_RATE) / (1.0 - fails)).ln(),
            };
            evidence = evidence.max(0.0);
        }
        from_log_odds(log_odds_of(FAULTY_WORKER_PRIOR) + evidence)
    }
}
