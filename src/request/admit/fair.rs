//! Queue of one class's waiting requests, shared fairly between teams.
//!
//! This is start-time fair queueing: a team's tag is the slot time charged to it divided by its
//! weight, and the team with the lowest tag goes next. A team that was idle continues at the tag of
//! the last started request, so that it neither accumulates credit nor keeps a debt. The expected
//! run time is charged at the start and corrected at the end.

use {
    super::{Waiting, run_time::Estimator},
    crate::id::TeamId,
    indexmap::IndexMap,
    std::{
        collections::VecDeque,
        time::{Duration, Instant},
    },
};

/// The margin for the run is at most the time between arrival and deadline divided by this.
const MAX_MARGIN_DIVISOR: u32 = 2;
/// Number of teams above which idle teams without debt are removed.
const MAX_TEAMS: usize = 256;

/// Conditions at the time a request is offered.
pub(super) struct Conditions {
    /// Weight of the request's team.
    pub(super) weight: u32,
    /// Slots that the class can expect to use.
    pub(super) slots: u32,
    /// Whether a slot is free for the class.
    pub(super) idle: bool,
    /// Maximum projected wait as a percentage of the time until the request's latest start.
    pub(super) wait_percent: u32,
}

/// Waiting and running requests of one team.
#[derive(Default)]
struct Flow {
    /// Waiting requests in the order of their deadlines.
    queue: VecDeque<Waiting>,
    weight: u32,
    /// Virtual time at which the team's charged slot time ends.
    finish_tag_secs: f64,
    /// Number of running requests.
    running: u32,
}

impl Flow {
    fn idle(&self) -> bool {
        self.queue.is_empty() && self.running == 0
    }
}

/// Queue of one class's waiting requests.
pub(super) struct Queue {
    flows: IndexMap<TeamId, Flow>,
    run_time: Estimator,
    /// Virtual time: the start tag of the last started request.
    virtual_time_secs: f64,
    /// Slot time charged so far.
    used_secs: f64,
    /// Number of waiting requests.
    waiting: usize,
}

impl Queue {
    pub(super) fn new(default_run_time: Duration) -> Self {
        Self {
            flows: IndexMap::new(),
            run_time: Estimator::new(default_run_time),
            virtual_time_secs: 0.0,
            used_secs: 0.0,
            waiting: 0,
        }
    }

    pub(super) fn waiting(&self) -> usize {
        self.waiting
    }

    pub(super) fn running(&self) -> u32 {
        self.run_time.running()
    }

    pub(super) fn mean(&self) -> Duration {
        self.run_time.mean()
    }

    /// Slot time charged so far, in seconds.
    pub(super) fn used(&self) -> f64 {
        self.used_secs
    }

    /// Raises an empty queue's used slot time to `used_secs`, so that slot time unused
    /// while nothing waited is not claimed later.
    pub(super) fn catch_up(&mut self, used_secs: f64) {
        if self.waiting == 0 {
            self.used_secs = self.used_secs.max(used_secs);
        }
    }

    pub(super) fn oldest(&self) -> Option<Instant> {
        self.flows.values().filter_map(|f| f.queue.front()).map(|w| w.arrived).min()
    }

    /// Queues the request, or returns the projected wait if that is too long for its deadline or if
    /// the request would make another one of its team late.
    pub(super) fn offer(
        &mut self,
        now: Instant,
        waiting: Waiting,
        conditions: Conditions,
    ) -> Result<(), Duration> {
        let expected = self.run_time.expected(now);
        let rate = self.rate(&waiting.team, conditions.weight, conditions.slots, expected);
        let queue = self.flows.get(&waiting.team).map(|f| &f.queue);
        let position =
            queue.map_or(0, |q| q.partition_point(|other| other.deadline <= waiting.deadline));
        if !(conditions.idle && self.waiting == 0) {
            let wait = rate.wait(position);
            let allowed = self.latest_start(&waiting).saturating_duration_since(now);
            if wait > allowed * conditions.wait_percent / 100 {
                return Err(wait);
            }
            let delayed = queue.into_iter().flatten().skip(position).enumerate();
            let mut delayed = delayed.filter(|(index, other)| {
                now + rate.wait(position + index + 1) > self.latest_start(other)
            });
            if delayed.next().is_some() {
                return Err(wait);
            }
        }
        self.insert(position, waiting, conditions.weight);
        Ok(())
    }

    /// Inserts a request into its team's queue; removes idle teams if there are too many.
    fn insert(&mut self, position: usize, waiting: Waiting, weight: u32) {
        if self.flows.len() > MAX_TEAMS {
            let virtual_time_secs = self.virtual_time_secs;
            self.flows.retain(|_, f| !f.idle() || f.finish_tag_secs > virtual_time_secs);
        }
        let flow = self.flows.entry(waiting.team.clone()).or_default();
        flow.weight = weight;
        flow.queue.insert(position, waiting);
        self.waiting += 1;
    }

    /// Removes the next request; returns it with the slot time charged and whether it can still
    /// finish in time. A late request is neither started nor charged.
    pub(super) fn take(&mut self, now: Instant) -> Option<(Waiting, Duration, bool)> {
        let charged = self.run_time.expected(now);
        let virtual_time_secs = self.virtual_time_secs;
        let start = |f: &Flow| f.finish_tag_secs.max(virtual_time_secs);
        let flow = self
            .flows
            .values_mut()
            .filter(|f| !f.queue.is_empty())
            .min_by(|a, b| start(a).total_cmp(&start(b)))?;
        let waiting = flow.queue.pop_front()?;
        self.waiting -= 1;
        if now > latest_start(&waiting, self.run_time.margin()) {
            return Some((waiting, charged, false));
        }
        self.virtual_time_secs = start(flow);
        flow.finish_tag_secs =
            self.virtual_time_secs + charged.as_secs_f64() / f64::from(flow.weight);
        flow.running += 1;
        self.used_secs += charged.as_secs_f64();
        self.run_time.start(now);
        Some((waiting, charged, true))
    }

    /// Corrects the slot time charged for a finished request to the time it took.
    pub(super) fn finish(
        &mut self,
        team: &TeamId,
        started: Instant,
        took: Duration,
        charged: Duration,
    ) {
        self.run_time.finish(started, took);
        let error_secs = took.as_secs_f64() - charged.as_secs_f64();
        self.used_secs += error_secs;
        if let Some(flow) = self.flows.get_mut(team) {
            flow.running = flow.running.saturating_sub(1);
            flow.finish_tag_secs += error_secs / f64::from(flow.weight);
        }
    }

    /// Removes a waiting request; returns whether it was waiting.
    pub(super) fn cancel(&mut self, id: u64) -> bool {
        for flow in self.flows.values_mut() {
            if let Some(position) = flow.queue.iter().position(|w| w.id == id) {
                flow.queue.remove(position);
                self.waiting -= 1;
                return true;
            }
        }
        false
    }

    /// Removes the requests that would be late even if the queue drained `speedup` times as fast as
    /// projected; returns each with its projected wait.
    pub(super) fn expire(
        &mut self,
        now: Instant,
        slots: u32,
        speedup: u32,
    ) -> Vec<(Waiting, Duration)> {
        let mut expired = Vec::new();
        if self.waiting == 0 {
            return expired;
        }
        let expected = self.run_time.expected(now);
        let margin = self.run_time.margin();
        for index in 0..self.flows.len() {
            let (team, weight) = match self.flows.get_index(index) {
                Some((team, flow)) if !flow.queue.is_empty() => (team.clone(), flow.weight),
                _ => continue,
            };
            let rate = self.rate(&team, weight, slots, expected);
            let mut kept = 0;
            self.flows[index].queue.retain(|request| {
                let wait = rate.wait(kept);
                if now + wait / speedup > latest_start(request, margin) {
                    expired.push((request.clone(), wait));
                    return false;
                }
                kept += 1;
                true
            });
        }
        self.waiting -= expired.len();
        expired
    }

    fn latest_start(&self, waiting: &Waiting) -> Instant {
        latest_start(waiting, self.run_time.margin())
    }

    /// Rate at which a team's requests start: it gets the slots that the other teams leave free,
    /// and at least its share by weight among the teams with waiting requests.
    fn rate(&self, team: &TeamId, weight: u32, slots: u32, expected: Duration) -> Rate {
        let others = || self.flows.iter().filter(|(other, _)| *other != team);
        let waiting = others().filter(|(_, flow)| !flow.queue.is_empty());
        let weights: u32 = waiting.map(|(_, flow)| flow.weight).sum();
        let running: u32 = others().map(|(_, flow)| flow.running).sum();
        let share = f64::from(slots) * f64::from(weight) / f64::from(weight + weights);
        let left = f64::from(slots.saturating_sub(running));
        Rate { run_secs: expected.as_secs_f64(), slots: share.max(left) }
    }
}

/// Rate at which a team's requests start: a number of slots, each used for one run time.
struct Rate {
    run_secs: f64,
    slots: f64,
}

impl Rate {
    /// Projected wait at a position in the team's queue.
    fn wait(&self, position: usize) -> Duration {
        Duration::from_secs_f64(self.run_secs * (position + 1) as f64 / self.slots)
    }
}

/// Latest start at which a request is likely to finish before its deadline.
fn latest_start(waiting: &Waiting, margin: Duration) -> Instant {
    let whole = waiting.deadline.saturating_duration_since(waiting.arrived);
    waiting.deadline - margin.min(whole / MAX_MARGIN_DIVISOR)
}
