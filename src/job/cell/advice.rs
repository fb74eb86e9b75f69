//! Tickets of the advisor, an external service that names the runners on which a step may run.
//!
//! Tasks of some queues may start only with a ticket. The advisor is slow and answers one call of
//! an entry at a time, so it is asked about few steps at once, those placed first, and about few
//! runners, those with the most free room. Which runners it allows does not change: a refused
//! runner is not asked about again, and an expired ticket is requested again.

use {
    super::{Action, Cell, RunnerId, candidates::Candidates},
    crate::job::spec::{self, Step, Task},
    displaydoc::Display,
    indexmap::{IndexMap, IndexSet},
    log::{info, warn},
    std::{
        cmp::Reverse,
        time::{Duration, Instant},
    },
};

/// Maximum number of runners in one call.
const MAX_RUNNERS: usize = 30;
/// Maximum number of concurrent calls to the advisor.
const MAX_CALLS: usize = 2;
/// Time before its expiry from which on a ticket is no longer used, as a start takes time to
/// arrive.
const EXPIRY_MARGIN: Duration = Duration::from_millis(250);
/// Pause of all calls after one without an answer.
const RETRY_DELAY: Duration = Duration::from_millis(300);
/// Pause of the calls about a step after the advisor has rejected one.
const REJECTED_RETRY_DELAY: Duration = Duration::from_secs(5);

/// The advisor's answer about some runners.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Tickets {
    /// Runners that may run the step, each with its ticket.
    pub given: Vec<(String, String)>,
    /// How long the tickets are valid; the manifest says it if this is not given.
    pub valid: Option<Duration>,
}

/// Why the advisor has not answered a call.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum NoAdvice {
    /// rejected: {0}
    Rejected(String),
    /// no answer: {0}
    Unknown(String),
}

/// Answers of the advisor by step, where a step is named by its first task.
#[derive(Clone, Debug, Default)]
pub struct Advisor {
    steps: IndexMap<Task, Answers>,
    /// Number of outstanding calls.
    calls: usize,
    /// Until when no call is made.
    paused_until: Option<Instant>,
}

/// Answers of the advisor about one step.
#[derive(Clone, Debug, Default)]
struct Answers {
    /// Tickets for the runners on which the step may run.
    tickets: IndexMap<RunnerId, Ticket>,
    /// Runners on which the step may not run.
    refused: IndexSet<RunnerId>,
    /// When the outstanding call was sent.
    asked_at: Option<Instant>,
    /// Until when no call is made, as the advisor has rejected one.
    rejected_until: Option<Instant>,
}

/// Permission to run a step on a runner.
#[derive(Clone, Debug)]
struct Ticket {
    /// Text that the runner checks.
    text: String,
    /// When it expires.
    until: Instant,
}

/// First task of a task's step, which names the step.
fn first_task(task: &Task) -> Task {
    Task { index: 0, ..*task }
}

impl Cell {
    /// Whether the tasks of a job may start only with a ticket.
    pub(super) fn needs_ticket(&self, job: spec::Id) -> bool {
        self.jobs.get(&job).is_some_and(|job| job.tickets_valid.is_some())
    }

    /// Valid ticket for a task on a runner.
    pub(super) fn ticket(&self, now: Instant, task: &Task, runner: &str) -> Option<&str> {
        let ticket = self.advisor.steps.get(&first_task(task))?.tickets.get(runner)?;
        (now + EXPIRY_MARGIN < ticket.until).then_some(ticket.text.as_str())
    }

    /// Asks the advisor about runners with room for a step, unless a call for the step is
    /// outstanding or no more calls are allowed now.
    pub(super) fn ask_advisor(
        &mut self,
        now: Instant,
        task: &Task,
        step: &Step,
        candidates: &Candidates,
    ) {
        let key = first_task(task);
        let known = self.advisor.steps.get(&key);
        let rejected_until = known.and_then(|known| known.rejected_until);
        let until = self.advisor.paused_until.max(rejected_until).filter(|until| *until > now);
        if let Some(until) = until {
            return self.retry_placement(until);
        }
        let asked = known.is_some_and(|known| known.asked_at.is_some());
        if asked || self.advisor.calls >= MAX_CALLS {
            return;
        }
        let need = step.reserved();
        let unknown = |id: &RunnerId| {
            let refused = known.is_some_and(|known| known.refused.contains(id));
            !refused && self.ticket(now, task, id).is_none()
        };
        let mut runners: Vec<(u32, RunnerId)> = candidates
            .runners_for(step)
            .filter_map(|at| self.workers.get_index(at))
            .filter(|(id, worker)| unknown(id) && worker.free().holds(&need))
            .map(|(id, worker)| (worker.free().millicores, RunnerId::clone(id)))
            .collect();
        if runners.is_empty() {
            return;
        }
        runners.sort_by_key(|(free, _)| Reverse(*free));
        let runners: Vec<RunnerId> =
            runners.into_iter().take(MAX_RUNNERS).map(|(_, id)| id).collect();
        self.advisor.calls += 1;
        self.advisor.steps.entry(key).or_default().asked_at = Some(now);
        self.actions.push(Action::AskAdvisor(key, runners));
    }

    /// Handles the advisor's answer about the runners `asked`, or the reason why there is none.
    pub fn advice_answered(
        &mut self,
        now: Instant,
        step: &Task,
        asked: &[RunnerId],
        answer: Result<Tickets, NoAdvice>,
    ) {
        self.advisor.calls = self.advisor.calls.saturating_sub(1);
        self.place_due = true;
        let valid = self.jobs.get(&step.job).and_then(|job| job.tickets_valid).unwrap_or_default();
        let Some(known) = self.advisor.steps.get_mut(step) else { return };
        let sent = known.asked_at.take().unwrap_or(now);
        let tickets = match answer {
            Ok(tickets) => tickets,
            Err(why) => {
                warn!("advice: step={step} answer=none why=\"{why}\"");
                match why {
                    NoAdvice::Rejected(_) => {
                        known.rejected_until = Some(now + REJECTED_RETRY_DELAY)
                    }
                    NoAdvice::Unknown(_) => self.advisor.paused_until = Some(now + RETRY_DELAY),
                }
                return;
            }
        };
        info!("advice: step={step} asked={} good={}", asked.len(), tickets.given.len());
        let until = sent + tickets.valid.unwrap_or(valid);
        let mut texts: IndexMap<String, String> = tickets.given.into_iter().collect();
        for id in asked {
            match texts.swap_remove(&**id) {
                Some(text) => {
                    known.tickets.insert(RunnerId::clone(id), Ticket { text, until });
                }
                None => {
                    known.refused.insert(RunnerId::clone(id));
                }
            }
        }
    }

    /// Drops a ticket that a runner has rejected.
    pub(super) fn drop_ticket(&mut self, task: &Task, runner: &str) {
        if let Some(known) = self.advisor.steps.get_mut(&first_task(task)) {
            known.tickets.swap_remove(runner);
        }
    }

    /// Drops all answers about a job that has ended.
    pub(super) fn forget_advice(&mut self, id: spec::Id) {
        self.advisor.steps.retain(|step, _| step.job != id);
    }
}
