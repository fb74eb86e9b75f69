//! Admission control: decides which requests are queued, which starts next and which is refused.
//!
//! A [`Queue`] holds the waiting requests of one service on one entry. A request is accepted only
//! if it is projected to finish before its deadline, so the queue is bounded by deadlines and not
//! by length. Quick requests and orders share the slots evenly by the slot time used. Watches,
//! which hold a slot for long, are guaranteed a small share of the slots and capped at a larger
//! one. Within a class, teams share slot time by weight, and each team's requests are ordered by
//! deadline.
//!
//! A [`Refusal`] is only issued for a request that [`Queue::take`] has not returned, so the request
//! certainly did not run.

mod fair;
mod run_time;

use {
    crate::{id::TeamId, request::Class},
    displaydoc::Display,
    indexmap::IndexMap,
    std::time::{Duration, Instant},
};

/// Result of offering a request to a queue.
pub type Result<T> = std::result::Result<T, Refusal>;

/// Minimum delay after which a refused caller may retry.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);
/// Maximum delay after which a refused caller may retry.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);
/// A waiting request is given up if it would be late even if the queue drained this many times as
/// fast as projected.
const GIVE_UP_SPEEDUP: u32 = 2;

/// Length of the windows in which refusals are counted; the current and the previous one count as
/// demand.
const REFUSALS_WINDOW: Duration = Duration::from_secs(1);

/// A request that waits for a slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Waiting {
    /// Number of the request, unique on the entry.
    pub id: u64,
    /// Caller's team.
    pub team: TeamId,
    /// Class, which decides how slots are shared.
    pub class: Class,
    /// When it arrived.
    pub arrived: Instant,
    /// When the caller stops waiting for the response.
    pub deadline: Instant,
}

/// Refusal of a request, which certainly did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[displaydoc("admit request: {reason}, retry after {retry_after:?}")]
pub struct Refusal {
    /// Why it was refused.
    pub reason: Reason,
    /// Delay after which the caller may retry.
    pub retry_after: Duration,
}

impl std::error::Error for Refusal {}

/// Why a request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum Reason {
    /// it cannot finish before its deadline
    Overload,
    /// its deadline has passed
    Late,
    /// no endpoint accepts requests
    NoEndpoint,
}

impl Reason {
    /// Name of the reason in metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Overload => "overload",
            Self::Late => "late",
            Self::NoEndpoint => "no_endpoint",
        }
    }
}

/// Slots that the entry can expect to use for a service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Supply {
    /// Number of slots.
    pub slots: u32,
}

/// Limits of a queue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Percentage of the slots guaranteed to watches while other requests wait.
    pub watch_floor_percent: u32,
    /// Maximum percentage of the slots that watches may hold.
    pub watch_cap_percent: u32,
    /// Maximum projected wait as a percentage of the time until a request's latest start.
    pub wait_percent: u32,
    /// Expected run time of a class until one has been measured.
    pub default_run_time: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            watch_floor_percent: 25,
            watch_cap_percent: 50,
            wait_percent: 35,
            default_run_time: Duration::from_millis(50),
        }
    }
}

/// A request that has been taken from the queue and holds a slot.
struct Running {
    team: TeamId,
    class: Class,
    started: Instant,
    charged: Duration,
}

/// Waiting requests of one service on one entry.
pub struct Queue {
    limits: Limits,
    supply: Supply,
    weights: IndexMap<TeamId, u32>,
    quick: fair::Queue,
    watch: fair::Queue,
    order: fair::Queue,
    running: IndexMap<u64, Running>,
    /// Late requests found by [`Queue::take`], to be returned by [`Queue::expire`].
    given_up: Vec<(Waiting, Refusal)>,
    /// Number of refusals in the current and in the previous window.
    refusals: [usize; 2],
    /// Start of the current window.
    refusals_since: Option<Instant>,
}

impl Queue {
    /// Creates an empty queue.
    pub fn new(limits: Limits) -> Self {
        let queue = || fair::Queue::new(limits.default_run_time);
        Self {
            quick: queue(),
            watch: queue(),
            order: queue(),
            limits,
            supply: Supply::default(),
            weights: IndexMap::new(),
            running: IndexMap::new(),
            given_up: Vec::new(),
            refusals: [0; 2],
            refusals_since: None,
        }
    }

    /// Sets a team's weight relative to the other teams; the default is 1.
    pub fn set_weight(&mut self, team: &TeamId, weight: u32) {
        self.weights.insert(team.clone(), weight.max(1));
    }

    /// Sets the slots that the entry can expect to use from now on.
    pub fn set_supply(&mut self, supply: Supply) {
        self.supply = supply;
    }

    /// Queues a request, or refuses it if it is not projected to finish before its deadline.
    pub fn offer(&mut self, now: Instant, waiting: Waiting, supply: Supply) -> Result<()> {
        self.supply = supply;
        if supply.slots == 0 {
            return Err(refusal(Reason::NoEndpoint, MIN_RETRY_AFTER, waiting.id));
        }
        if waiting.deadline <= now {
            return Err(refusal(Reason::Late, Duration::ZERO, waiting.id));
        }
        let slots = self.expected_slots(waiting.class);
        let idle = self.has_free_slot(waiting.class);
        let weight = self.weight(&waiting.team);
        let wait_percent = self.limits.wait_percent;
        let used_secs = self.quick.used().max(self.order.used());
        let queue = self.class_queue_mut(waiting.class);
        queue.catch_up(used_secs);
        let id = waiting.id;
        let offered =
            queue.offer(now, waiting, fair::Conditions { weight, slots, idle, wait_percent });
        offered.map_err(|wait| {
            self.rotate_refusals(now);
            self.refusals[0] += 1;
            refusal(Reason::Overload, wait, id)
        })
    }

    /// Removes and returns the request to start next, for which the calling code must hold a slot.
    pub fn take(&mut self, now: Instant) -> Option<Waiting> {
        loop {
            let class = self.next_class()?;
            let (waiting, charged, in_time) = self.class_queue_mut(class).take(now)?;
            if !in_time {
                self.given_up.push(give_up(waiting, Duration::ZERO));
                continue;
            }
            let running = Running { team: waiting.team.clone(), class, started: now, charged };
            self.running.insert(waiting.id, running);
            return Some(waiting);
        }
    }

    /// Records that a request returned by [`Queue::take`] no longer holds its slot.
    pub fn finish(&mut self, now: Instant, id: u64) {
        if let Some(done) = self.running.swap_remove(&id) {
            let took = now.saturating_duration_since(done.started);
            self.class_queue_mut(done.class).finish(&done.team, done.started, took, done.charged);
        }
    }

    /// Removes a waiting request whose caller has disconnected; returns whether it was waiting.
    pub fn cancel(&mut self, id: u64) -> bool {
        [Class::Quick, Class::Order, Class::Watch]
            .into_iter()
            .any(|class| self.class_queue_mut(class).cancel(id))
    }

    /// Removes and refuses the waiting requests that can't finish before their deadlines any more.
    pub fn expire(&mut self, now: Instant) -> Vec<(Waiting, Refusal)> {
        let mut expired = std::mem::take(&mut self.given_up);
        for class in [Class::Quick, Class::Order, Class::Watch] {
            let slots = self.expected_slots(class);
            let queue = self.class_queue_mut(class);
            let late = queue.expire(now, slots, GIVE_UP_SPEEDUP);
            expired.extend(late.into_iter().map(|(waiting, wait)| give_up(waiting, wait)));
        }
        expired
    }

    /// Number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.quick.waiting() + self.watch.waiting() + self.order.waiting()
    }

    /// Number of requests that would start now if slots were free; excludes watches above their
    /// cap.
    pub fn ready(&self) -> usize {
        let watches = self.watch_cap().saturating_sub(self.watch.running()) as usize;
        self.quick.waiting() + self.order.waiting() + self.watch.waiting().min(watches)
    }

    /// Number of requests that need slots.
    ///
    /// It counts the requests that are ready and, if there are any, the recently refused ones, so
    /// that an overloaded entry gets more slots although its queue is bounded.
    pub fn demand(&mut self, now: Instant) -> usize {
        self.rotate_refusals(now);
        match self.ready() {
            0 => 0,
            ready => ready + self.refusals.iter().sum::<usize>(),
        }
    }

    /// Number of requests that have been taken and not finished.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Arrival time of the request that has waited longest.
    pub fn oldest(&self) -> Option<Instant> {
        [&self.quick, &self.order, &self.watch].into_iter().filter_map(|queue| queue.oldest()).min()
    }

    /// Mean run time of a class.
    pub fn run_time(&self, class: Class) -> Duration {
        self.class_queue(class).mean()
    }

    /// Starts a new window of counted refusals if the current one is over.
    fn rotate_refusals(&mut self, now: Instant) {
        let since = *self.refusals_since.get_or_insert(now);
        if now >= since + REFUSALS_WINDOW {
            self.refusals = [0, self.refusals[0]];
            self.refusals_since = Some(now);
        }
    }

    /// Class of the request to start next: a watch below the guaranteed share, else the one of
    /// quick and order that has used less slot time, else a watch below the cap.
    fn next_class(&self) -> Option<Class> {
        let watch_waits = self.watch.waiting() > 0;
        if watch_waits && self.watch.running() < self.watch_floor() {
            return Some(Class::Watch);
        }
        match (self.quick.waiting() > 0, self.order.waiting() > 0) {
            (true, true) if self.order.used() < self.quick.used() => Some(Class::Order),
            (true, _) => Some(Class::Quick),
            (false, true) => Some(Class::Order),
            (false, false) => {
                (watch_waits && self.watch.running() < self.watch_cap()).then_some(Class::Watch)
            }
        }
    }

    /// Slots that a class can expect to use, given the waiting and running requests of the others.
    fn expected_slots(&self, class: Class) -> u32 {
        let watches = match self.watch.running() as usize + self.watch.waiting() {
            0 => 0,
            _ => self.watch.running().max(self.watch_floor()),
        };
        let rest = self.supply.slots.saturating_sub(watches).max(1);
        match class {
            Class::Watch if self.quick.waiting() + self.order.waiting() > 0 => self.watch_floor(),
            Class::Watch => self.watch_cap(),
            Class::Quick => rest.saturating_sub(self.order.running()).max(rest.div_ceil(2)),
            Class::Order => rest.saturating_sub(self.quick.running()).max(rest.div_ceil(2)),
        }
    }

    /// Whether a slot is free for a request of the class.
    fn has_free_slot(&self, class: Class) -> bool {
        let free = (self.running.len() as u32) < self.supply.slots;
        free && (class != Class::Watch || self.watch.running() < self.watch_cap())
    }

    fn watch_floor(&self) -> u32 {
        percent(self.supply.slots, self.limits.watch_floor_percent)
    }

    fn watch_cap(&self) -> u32 {
        percent(self.supply.slots, self.limits.watch_cap_percent)
    }

    fn weight(&self, team: &TeamId) -> u32 {
        self.weights.get(team).copied().unwrap_or(1)
    }

    fn class_queue(&self, class: Class) -> &fair::Queue {
        match class {
            Class::Quick => &self.quick,
            Class::Watch => &self.watch,
            Class::Order => &self.order,
        }
    }

    fn class_queue_mut(&mut self, class: Class) -> &mut fair::Queue {
        match class {
            Class::Quick => &mut self.quick,
            Class::Watch => &mut self.watch,
            Class::Order => &mut self.order,
        }
    }
}

/// A percentage of the slots, rounded up and at least 1.
fn percent(slots: u32, percent: u32) -> u32 {
    (slots * percent).div_ceil(100).max(1)
}

fn give_up(waiting: Waiting, wait: Duration) -> (Waiting, Refusal) {
    let refusal = refusal(Reason::Overload, wait, waiting.id);
    (waiting, refusal)
}

/// Builds a refusal whose retry delay is between one and two projected waits, spread by the
/// request's number so that callers do not all retry at once.
fn refusal(reason: Reason, wait: Duration, id: u64) -> Refusal {
    let spread = wait.saturating_mul((id % 16) as u32) / 16;
    let retry_after = wait.saturating_add(spread).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
    Refusal { reason, retry_after }
}
