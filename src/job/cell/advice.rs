//! Queues whose advisor names the runners that may run a step.
//!
//! The advisor is slow and answers one call of an entry at a time, so it is asked about few runners of
//! few steps at once: those with most room, for the steps that come first. Whom it names does not
//! change; a ticket that runs out is asked for anew.

use {
    super::{Action, Cell, RunnerId, place::Pool},
    crate::job::spec::{self, Step, Task},
    indexmap::{IndexMap, IndexSet},
    log::{info, warn},
    std::{
        cmp::Reverse,
        time::{Duration, Instant},
    },
};

/// Most runners named in one call.
const RUNNERS: usize = 30;
/// Most calls to the advisor at once.
const CALLS: usize = 2;
/// Time before its end at which a ticket is no longer used, as a start takes a moment to arrive.
const MARGIN: Duration = Duration::from_millis(250);
/// Pause after a call without an answer.
const AGAIN: Duration = Duration::from_millis(300);

/// What the advisor says of the runners that it was asked about.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Tickets {
    /// Runners that may run the step, each with its ticket.
    pub given: Vec<(String, String)>,
    /// How long the tickets are valid, if it says so.
    pub valid: Option<Duration>,
}

/// What is known of the steps that need tickets; a step is named by its first task.
#[derive(Clone, Debug, Default)]
pub struct Advices {
    steps: IndexMap<Task, Known>,
    asking: usize,
    pause: Option<Instant>,
}

#[derive(Clone, Debug, Default)]
struct Known {
    tickets: IndexMap<RunnerId, Ticket>,
    /// Runners that may not run the step.
    refused: IndexSet<RunnerId>,
    asking: Option<Instant>,
}

#[derive(Clone, Debug)]
struct Ticket {
    text: String,
    until: Instant,
}

fn step_of(task: &Task) -> Task {
    Task { index: 0, ..*task }
}

impl Cell {
    /// Whether the tasks of a job need tickets.
    pub(super) fn needs_ticket(&self, job: spec::Id) -> bool {
        self.jobs.get(&job).is_some_and(|job| job.tickets_valid.is_some())
    }

    /// Ticket with which a task may start on a runner; none if there is no valid one.
    pub(super) fn ticket(&self, now: Instant, task: &Task, runner: &str) -> Option<&str> {
        let ticket = self.advices.steps.get(&step_of(task))?.tickets.get(runner)?;
        (now + MARGIN < ticket.until).then_some(ticket.text.as_str())
    }

    /// Asks the advisor about runners with room for a step, unless it is asked already.
    pub(super) fn ask_advisor(&mut self, now: Instant, task: &Task, step: &Step, pool: &Pool) {
        let paused = self.advices.pause.is_some_and(|until| now < until);
        if paused || self.advices.asking >= CALLS {
            return;
        }
        let key = step_of(task);
        let known = self.advices.steps.get(&key);
        if known.is_some_and(|known| known.asking.is_some()) {
            return;
        }
        let need = step.reserved();
        let unknown = |id: &RunnerId| {
            let refused = known.is_some_and(|known| known.refused.contains(id));
            !refused && self.ticket(now, task, id).is_none()
        };
        let mut runners: Vec<(u32, RunnerId)> = pool
            .runners
            .iter()
            .filter_map(|&at| self.workers.get_index(at))
            .filter(|(id, worker)| unknown(id) && worker.free().holds(&need))
            .map(|(id, worker)| (worker.free().millicores, RunnerId::clone(id)))
            .collect();
        if runners.is_empty() {
            return;
        }
        runners.sort_by_key(|(free, _)| Reverse(*free));
        let runners: Vec<RunnerId> = runners.into_iter().take(RUNNERS).map(|(_, id)| id).collect();
        self.advices.asking += 1;
        self.advices.steps.entry(key).or_default().asking = Some(now);
        self.actions.push(Action::Advise(key, runners));
    }

    /// The advisor answers about `asked`, or why there is no answer.
    pub fn advised(
        &mut self,
        now: Instant,
        step: &Task,
        asked: &[RunnerId],
        answer: Result<Tickets, String>,
    ) {
        self.advices.asking = self.advices.asking.saturating_sub(1);
        self.place_due = true;
        let valid = self.jobs.get(&step.job).and_then(|job| job.tickets_valid).unwrap_or_default();
        let Some(known) = self.advices.steps.get_mut(step) else { return };
        let sent = known.asking.take().unwrap_or(now);
        let tickets = match answer {
            Ok(tickets) => tickets,
            Err(why) => {
                warn!("advice: step={step} answer=none why={why:?}");
                self.advices.pause = Some(now + AGAIN);
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

    /// Forgets a ticket that a runner has rejected.
    pub(super) fn drop_ticket(&mut self, task: &Task, runner: &str) {
        if let Some(known) = self.advices.steps.get_mut(&step_of(task)) {
            known.tickets.swap_remove(runner);
        }
    }

    /// Forgets what was learned of a job that has ended.
    pub(super) fn forget_advice(&mut self, id: spec::Id) {
        self.advices.steps.retain(|step, _| step.job != id);
    }
}
