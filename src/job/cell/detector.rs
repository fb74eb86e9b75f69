//! Failure detector: suspects runners that are likely unreachable before their calls time out.
//!
//! A task whose start is sent to an unreachable runner is stuck until the runner's lease has
//! expired, so a partition must be noticed within milliseconds. A runner is suspected if a call to
//! it has failed, or if a start to it is still unanswered while calls sent well after it to other
//! runners were answered; this comparison holds on a slow VM as well. A failure domain (an
//! availability zone, or the runners with a label in common, such as a rack) is suspected if
//! several of its runners are and nothing in it has answered since. Runners of a suspected domain
//! get no tasks while others have room. They are polled, and one answer clears the suspicion.
//! Former runners of VMs, which the store may list for a while, do not count for their domain.

use {
    super::{Cell, Worker},
    indexmap::{IndexMap, IndexSet},
    std::{
        rc::Rc,
        time::{Duration, Instant},
    },
};

/// Time by which an unanswered start must be older than an answered call for its runner to be
/// suspected; many times a round trip between availability zones.
const SUSPICION_DELAY: Duration = Duration::from_millis(60);
/// Number of suspected runners from which on their failure domain is suspected.
const MIN_SUSPECTED: usize = 2;
/// Time after an unanswered call for which polls are shorter, as the next one may get no answer
/// either.
const LOSSY_PERIOD: Duration = Duration::from_secs(3);

/// Failure detector: the times of answers and timeouts from which runners are suspected.
#[derive(Clone, Debug, Default)]
pub struct Detector {
    /// When the newest call that was answered had been sent.
    last_answered: Option<Instant>,
    /// When each failure domain was last known to be reachable.
    reachable_at: IndexMap<Rc<str>, Instant>,
    /// When a call last remained without an answer.
    last_timeout: Option<Instant>,
}

impl Detector {
    /// Records that a call got no answer.
    pub(super) fn record_timeout(&mut self, now: Instant) {
        self.last_timeout = Some(now);
    }

    /// Whether a call has recently got no answer.
    pub(super) fn is_lossy(&self, now: Instant) -> bool {
        self.last_timeout.is_some_and(|at| now.saturating_duration_since(at) < LOSSY_PERIOD)
    }

    /// Records that a call sent at `sent` was answered.
    fn record_answer(&mut self, sent: Instant) {
        self.last_answered = self.last_answered.max(Some(sent));
    }

    /// Records that the failure domains of a runner were reachable at `at`.
    fn record_reachable(&mut self, worker: &Worker, at: Instant) {
        for domain in worker.domains() {
            match self.reachable_at.get_mut(domain) {
                Some(known) => *known = at.max(*known),
                None => {
                    self.reachable_at.insert(Rc::from(domain), at);
                }
            }
        }
    }

    /// Since when a runner is suspected.
    fn suspected_since(&self, worker: &Worker) -> Option<Instant> {
        let overdue =
            |sent: &&Instant| self.last_answered.is_some_and(|at| at > **sent + SUSPICION_DELAY);
        worker.unresponsive_since.or(worker.unanswered_starts.front().filter(overdue).copied())
    }

    /// Whether a runner is suspected.
    pub(super) fn is_suspected(&self, worker: &Worker) -> bool {
        self.suspected_since(worker).is_some()
    }
}

impl Cell {
    /// Records that a start was sent to a runner.
    pub(super) fn record_start_sent(&mut self, now: Instant, runner: &str) {
        if let Some(worker) = self.workers.get_mut(runner) {
            worker.unanswered_starts.push_back(now);
        }
    }

    /// Records that a runner's oldest outstanding start was answered, or has timed out. Returns when that
    /// start was sent.
    pub(super) fn record_start_done(&mut self, runner: &str, answered: bool) -> Option<Instant> {
        let worker = self.workers.get_mut(runner)?;
        let sent = worker.unanswered_starts.pop_front()?;
        if answered {
            self.detector.record_answer(sent);
            self.detector.record_reachable(worker, sent);
        }
        Some(sent)
    }

    /// Records that a runner has answered a poll that was sent at `sent`. The runner may have held
    /// the answer back, so it shows that its domains were reachable until shortly before now.
    pub(super) fn record_poll_answer(&mut self, now: Instant, runner: &str, sent: Instant) {
        self.detector.record_answer(sent);
        if let Some(worker) = self.workers.get(runner) {
            let lately = now.checked_sub(SUSPICION_DELAY).unwrap_or(sent);
            self.detector.record_reachable(worker, sent.max(lately));
        }
    }

    /// Suspected failure domains.
    pub(super) fn suspected_domains(&self) -> IndexSet<Rc<str>> {
        let mut found: IndexMap<&str, (usize, Instant)> = IndexMap::new();
        for worker in self.workers.values().filter(|worker| !worker.replaced) {
            let Some(since) = self.detector.suspected_since(worker) else { continue };
            for domain in worker.domains() {
                let (count, first) = found.entry(domain).or_insert((0, since));
                *count += 1;
                *first = since.min(*first);
            }
        }
        let suspected = |(domain, (count, first)): (&str, (usize, Instant))| {
            let answered = self.detector.reachable_at.get(domain).is_some_and(|at| *at > first);
            (count >= MIN_SUSPECTED && !answered).then(|| Rc::from(domain))
        };
        found.into_iter().filter_map(suspected).collect()
    }
}

impl Worker {
    /// Failure domains that the runner is in: its availability zone and its labels.
    fn domains(&self) -> impl Iterator<Item = &str> {
        let zone = self.registration.as_ref().map(|registration| registration.zone.as_str());
        zone.into_iter().chain(self.labels().iter().map(String::as_str))
    }

    /// Whether the runner is in one of these failure domains.
    pub(super) fn is_in(&self, domains: &IndexSet<Rc<str>>) -> bool {
        !domains.is_empty() && self.domains().any(|domain| domains.contains(domain))
    }
}
