//! Runners that are likely out of reach, before their calls have timed out.
//!
//! A start sent to a runner that is cut off is lost until the runner's lease has lapsed, so it matters to
//! notice a cut within milliseconds. A runner is silent if an order to it is still without an answer
//! while orders sent well after it to other runners were answered: a comparison that holds on a slow
//! VM as well. A failure domain (an availability zone, or runners with a label in common, such as a
//! rack) is silent if several of its runners are and nothing in it has answered since. Runners of a
//! silent domain get no task while others have room; they are looked at, and one answer ends the doubt.
//! Former runners of VMs, which the store may list for a while, say nothing about their domain.

use {
    super::{Cell, Worker},
    indexmap::{IndexMap, IndexSet},
    std::{
        rc::Rc,
        time::{Duration, Instant},
    },
};

/// Time by which an order without an answer must be older than one with an answer; many times a
/// round trip between availability zones.
const OVERDUE: Duration = Duration::from_millis(60);
/// Silent runners from which on their domain is in doubt.
const SEVERAL: usize = 2;
/// Time after a call without an answer for which looks wait less, as the next may get none either.
const LOSSY: Duration = Duration::from_secs(3);

/// What the answers of runners show.
#[derive(Clone, Debug, Default)]
pub struct Silence {
    /// When the newest order or look was sent that was answered.
    answered: Option<Instant>,
    /// Until when each failure domain was surely in reach.
    domains: IndexMap<Rc<str>, Instant>,
    /// When a call got no answer last.
    lost: Option<Instant>,
}

impl Silence {
    /// Notes a call without an answer.
    pub(super) fn note_lost(&mut self, now: Instant) {
        self.lost = Some(now);
    }

    /// Whether calls have got no answer lately.
    pub(super) fn is_lossy(&self, now: Instant) -> bool {
        self.lost.is_some_and(|at| now.saturating_duration_since(at) < LOSSY)
    }

    fn note_answer(&mut self, sent: Instant) {
        self.answered = self.answered.max(Some(sent));
    }

    fn note_domains(&mut self, worker: &Worker, at: Instant) {
        for domain in worker.domains() {
            match self.domains.get_mut(domain) {
                Some(known) => *known = at.max(*known),
                None => {
                    self.domains.insert(Rc::from(domain), at);
                }
            }
        }
    }

    /// Since when a runner is silent.
    fn since(&self, worker: &Worker) -> Option<Instant> {
        let overdue = |sent: &&Instant| self.answered.is_some_and(|at| at > **sent + OVERDUE);
        worker.failing.or(worker.awaited.front().filter(overdue).copied())
    }

    /// Whether a runner is silent.
    pub(super) fn is_silent(&self, worker: &Worker) -> bool {
        self.since(worker).is_some()
    }
}

impl Cell {
    /// Notes an order on its way to a runner.
    pub(super) fn await_answer(&mut self, now: Instant, runner: &str) {
        if let Some(worker) = self.workers.get_mut(runner) {
            worker.awaited.push_back(now);
        }
    }

    /// Notes that a runner has answered its oldest order, or that the order is given up.
    pub(super) fn stop_awaiting(&mut self, runner: &str, answered: bool) {
        let Some(worker) = self.workers.get_mut(runner) else { return };
        let Some(sent) = worker.awaited.pop_front() else { return };
        if answered {
            self.silence.note_answer(sent);
            self.silence.note_domains(worker, sent);
        }
    }

    /// Notes that a runner has answered a look that was sent at `sent`, and may have waited for an end.
    pub(super) fn note_look(&mut self, now: Instant, runner: &str, sent: Instant) {
        self.silence.note_answer(sent);
        if let Some(worker) = self.workers.get(runner) {
            let lately = now.checked_sub(OVERDUE).unwrap_or(sent);
            self.silence.note_domains(worker, sent.max(lately));
        }
    }

    /// Failure domains that are silent.
    pub(super) fn silent_domains(&self) -> IndexSet<Rc<str>> {
        let mut found: IndexMap<&str, (usize, Instant)> = IndexMap::new();
        for worker in self.workers.values().filter(|worker| !worker.former) {
            let Some(since) = self.silence.since(worker) else { continue };
            for domain in worker.domains() {
                let (count, first) = found.entry(domain).or_insert((0, since));
                *count += 1;
                *first = since.min(*first);
            }
        }
        let silent = |(domain, (count, first)): (&str, (usize, Instant))| {
            let answered = self.silence.domains.get(domain).is_some_and(|at| *at > first);
            (count >= SEVERAL && !answered).then(|| Rc::from(domain))
        };
        found.into_iter().filter_map(silent).collect()
    }
}

impl Worker {
    /// Failure domains that it is in: its availability zone, and its labels.
    fn domains(&self) -> impl Iterator<Item = &str> {
        let zone = self.entry.as_ref().map(|entry| entry.zone.as_str());
        zone.into_iter().chain(self.labels().iter().map(String::as_str))
    }

    /// Whether it is in one of these failure domains.
    pub(super) fn is_in(&self, domains: &IndexSet<Rc<str>>) -> bool {
        !domains.is_empty() && self.domains().any(|domain| domains.contains(domain))
    }
}
