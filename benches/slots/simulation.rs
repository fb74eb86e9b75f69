//! Discrete-event simulation of entries, endpoints and the links between the entries.

use {
    crate::{
        entry::{Entry, peer},
        event::{Event, Exchange, Fault},
        policy::{ENDPOINTS, Policy, SLOTS, owner, service},
        stats::Stats,
    },
    carobhitch::{
        admit::{Supply, Waiting},
        request::Class,
        slot::{Liveness, Message, Peer},
    },
    indexmap::IndexMap,
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::{
        cmp::Reverse,
        collections::BinaryHeap,
        time::{Duration, Instant},
    },
};

/// Mean run time of an exchange.
const RUN_US: f64 = 50_000.0;
/// Time after which a request is answered too late.
const DEADLINE: Duration = Duration::from_secs(2);
/// Mean rate of requests.
const MEAN_PER_SEC: f64 = 480.0;
/// Rate during bursts, relative to the mean.
const BURST: f64 = 5.0;
/// Rate between bursts, relative to the mean.
const OFF_BURST: f64 = 0.05;
/// Time between the beginnings of two bursts.
const PERIOD_US: u64 = 20_800_000;
/// Length of a burst.
const BURST_US: u64 = 4_000_000;
/// End of the simulation: two bursts, and time for their requests to end.
const END_US: u64 = 2 * PERIOD_US + BURST_US + 3_000_000;
/// Interval of the entries' periodic work.
const TICK_US: u64 = 5_000;
/// When the fault begins.
const FAULT_AT_US: u64 = PERIOD_US + 1_000_000;
/// Length of a pause.
const PAUSE_US: u64 = 10_000_000;
/// Time until a fault is noticed.
const DETECTION_US: u64 = 500_000;
/// Difference between the incarnation numbers of an entry before and after its restart.
const RESTART_INCREMENT: u64 = 100;
/// Time until a paused entry is fenced off.
const FENCING_US: u64 = 2_500_000;
/// Delay before a refused exchange is retried.
const BACKOFF_US: u64 = 3_000;
const SEED: u64 = 7;

/// A request of a caller.
struct Request {
    /// Entry that the caller is connected to.
    home: usize,
    arrived_us: u64,
    /// Whether it arrived in a burst.
    burst: bool,
    run_us: u64,
}

/// State of the simulation.
pub struct Simulation {
    origin: Instant,
    now_us: u64,
    delay_us: u64,
    policy: Policy,
    fault: Fault,
    /// Times and keys of the pending events.
    schedule: BinaryHeap<Reverse<(u64, u64)>>,
    events: IndexMap<u64, Event>,
    last_key: u64,
    rng: SmallRng,
    entries: Vec<Entry>,
    /// Events of a paused entry, which are handled when it continues.
    deferred: Vec<Event>,
    /// Running exchanges by endpoint.
    endpoints: Vec<u32>,
    requests: IndexMap<u64, Request>,
    stats: Stats,
}

fn in_burst(at_us: u64) -> bool {
    at_us % PERIOD_US < BURST_US && at_us >= PERIOD_US
}

/// Part of a time span that lies within the burst of the period of its begin, or of the next
/// period.
fn time_in_burst(from_us: u64, to_us: u64) -> u64 {
    let overlap = |begin_us: u64| match begin_us {
        0 => 0,
        _ => to_us.min(begin_us + BURST_US).saturating_sub(from_us.max(begin_us)),
    };
    let period = from_us / PERIOD_US;
    overlap(period * PERIOD_US) + overlap((period + 1) * PERIOD_US)
}

impl Simulation {
    pub fn new(entries: usize, delay_us: u64, policy: Policy, fault: Fault) -> Self {
        let origin = Instant::now();
        let mut simulation = Self {
            origin,
            now_us: 0,
            delay_us,
            policy,
            fault,
            schedule: BinaryHeap::new(),
            events: IndexMap::new(),
            last_key: 0,
            rng: SmallRng::seed_from_u64(SEED),
            entries: (0..entries)
                .map(|entry| Entry::new(origin, entry, entries, policy, 0))
                .collect(),
            deferred: Vec::new(),
            endpoints: vec![0; ENDPOINTS],
            requests: IndexMap::new(),
            stats: Stats::new(),
        };
        (0..entries).for_each(|entry| simulation.schedule_at(entry as u64, Event::Tick { entry }));
        simulation.schedule_at(2_000_000, Event::Arrive);
        simulation.schedule_at(FAULT_AT_US, Event::StartFault);
        simulation
    }

    pub fn run(&mut self) {
        while let Some(Reverse((at_us, key))) = self.schedule.pop() {
            if at_us > END_US {
                return;
            }
            self.count_idle_slots(at_us);
            self.now_us = at_us;
            if let Some(event) = self.events.swap_remove(&key) {
                self.handle(event);
            }
        }
    }

    pub fn report(&self) -> String {
        let slot_us = RUN_US + 2.0 * self.delay_us as f64;
        self.stats.report(f64::from(SLOTS) * ENDPOINTS as f64, RUN_US / slot_us)
    }

    /// Sums the slot time that is idle while requests wait.
    fn count_idle_slots(&mut self, until_us: u64) {
        if !in_burst(self.now_us) {
            return;
        }
        let passed = (until_us - self.now_us) as f64;
        let waiting: usize =
            self.entries.iter().filter(|e| !e.dead && !e.paused).map(|e| e.queue.waiting()).sum();
        let idle: u32 = self.endpoints.iter().map(|used| SLOTS.saturating_sub(*used)).sum();
        self.stats.burst_us += passed;
        self.stats.idle_us += passed * f64::from(idle.min(waiting as u32));
    }

    fn schedule_at(&mut self, at_us: u64, event: Event) {
        self.last_key += 1;
        self.schedule.push(Reverse((at_us, self.last_key)));
        self.events.insert(self.last_key, event);
    }

    fn schedule_after(&mut self, delay_us: u64, event: Event) {
        self.schedule_at(self.now_us + delay_us, event);
    }

    fn instant(&self) -> Instant {
        self.origin + Duration::from_micros(self.now_us)
    }

    fn handle(&mut self, event: Event) {
        let target = match &event {
            Event::Offer { entry, .. } | Event::Resend { entry, .. } | Event::Tick { entry } => {
                Some(*entry)
            }
            Event::Answer { exchange, .. } => Some(exchange.entry),
            Event::Deliver { to, .. } => Some(*to),
            _ => None,
        };
        if let Some(entry) = target.map(|index| &self.entries[index]) {
            if entry.dead {
                return;
            }
            if entry.paused {
                self.deferred.push(event);
                return;
            }
        }
        match event {
            Event::Arrive => self.arrive(),
            Event::Offer { entry, id } => self.offer(entry, id),
            Event::AtEndpoint(exchange) => self.at_endpoint(exchange),
            Event::RunEnd(exchange) => self.run_end(exchange),
            Event::Answer { exchange, ran } => self.answer(exchange, ran),
            Event::Resend { entry, id } => self.resend(entry, id),
            Event::Deliver { from, to, message } => self.deliver(from, to, message),
            Event::Tick { entry } => self.tick(entry),
            Event::StartFault => self.start_fault(),
            Event::NoticeFault => self.notice_fault(),
            Event::EndPause => self.end_pause(),
        }
    }

    fn arrive(&mut self) {
        let factor = if in_burst(self.now_us) { BURST } else { OFF_BURST };
        let gap = -self.rng.random::<f64>().max(1e-12).ln() * 1e6 / (MEAN_PER_SEC * factor);
        self.schedule_after(gap as u64 + 1, Event::Arrive);
        let home = self.choose_home();
        let id = self.last_key;
        self.stats.arrived += 1;
        let request =
            Request { home, arrived_us: self.now_us, burst: in_burst(self.now_us), run_us: 0 };
        self.requests.insert(id, request);
        let entry = &self.entries[home];
        if self.policy != Policy::Owner || entry.dead || entry.paused {
            self.handle(Event::Offer { entry: home, id });
            return;
        }
        let endpoint = self.rng.random_range(0..ENDPOINTS);
        let owner = owner(endpoint, &entry.alive);
        if owner == home {
            self.handle(Event::Offer { entry: home, id });
        } else {
            self.stats.messages += 2;
            self.schedule_after(self.delay_us, Event::Offer { entry: owner, id });
        }
    }

    /// Chooses the entry that gets a request: half of the requests go to one entry, which changes
    /// with each burst.
    fn choose_home(&mut self) -> usize {
        let entries = self.entries.len();
        let is_noticed = self.now_us > FAULT_AT_US + 2 * DETECTION_US;
        loop {
            let favoured = (self.now_us / PERIOD_US) as usize % entries;
            let any = self.rng.random_range(0..entries);
            let home = if self.rng.random_bool(0.5) { favoured } else { any };
            let entry = &self.entries[home];
            if !is_noticed || !(entry.dead || entry.paused) {
                return home;
            }
        }
    }

    fn offer(&mut self, entry: usize, id: u64) {
        let now = self.instant();
        let entries = self.entries.len();
        let arrived = self.origin + Duration::from_micros(self.requests[&id].arrived_us);
        let deadline = arrived + DEADLINE;
        let team = format!("team-{}", id % 4);
        let waiting = Waiting { id, team, class: Class::Quick, arrived, deadline };
        let entry_state = &mut self.entries[entry];
        let supply = Supply { slots: entry_state.balancer.supply(entries) };
        if entry_state.queue.offer(now, waiting, supply).is_err() {
            self.stats.refused += 1;
        }
        self.dispatch(entry);
    }

    fn dispatch(&mut self, index: usize) {
        let now = self.instant();
        loop {
            let entry = &mut self.entries[index];
            if entry.queue.ready() == 0 {
                break;
            }
            let Some(endpoint) = entry.balancer.acquire(now, &mut self.rng) else { break };
            match entry.queue.take(now) {
                Some(waiting) => self.send(index, endpoint, waiting.id),
                None => entry.balancer.release(now, endpoint),
            }
        }
        let entry = &mut self.entries[index];
        self.stats.given_up += entry.queue.expire(now).len() as u64;
        if self.policy == Policy::Tokens {
            let demand = entry.queue.demand(now);
            entry.balancer.table.set_demand(now, &service(), demand);
            self.flush(index);
        }
    }

    fn send(&mut self, entry: usize, endpoint: usize, id: u64) {
        self.schedule_after(self.delay_us, Event::AtEndpoint(Exchange { id, entry, endpoint }));
    }

    fn at_endpoint(&mut self, exchange: Exchange) {
        let used = &mut self.endpoints[exchange.endpoint];
        self.stats.max_used = self.stats.max_used.max(*used + 1);
        if *used >= SLOTS {
            self.stats.endpoint_refusals += 1;
            self.schedule_after(self.delay_us, Event::Answer { exchange, ran: false });
            return;
        }
        *used += 1;
        let request = &self.requests[&exchange.id];
        let waited = self.now_us - request.arrived_us;
        let stats = &mut self.stats;
        let wait = if request.burst { &mut stats.burst_wait } else { &mut stats.off_burst_wait };
        wait.saturating_record(waited);
        let run_us = -self.rng.random::<f64>().max(1e-4).ln() * RUN_US;
        if let Some(request) = self.requests.get_mut(&exchange.id) {
            request.run_us = run_us as u64;
        }
        self.schedule_after(run_us as u64, Event::RunEnd(exchange));
    }

    fn run_end(&mut self, exchange: Exchange) {
        self.endpoints[exchange.endpoint] -= 1;
        self.schedule_after(self.delay_us, Event::Answer { exchange, ran: true });
    }

    fn answer(&mut self, exchange: Exchange, ran: bool) {
        let now = self.instant();
        let Exchange { id, entry, endpoint } = exchange;
        let entry_state = &mut self.entries[entry];
        entry_state.balancer.release(now, endpoint);
        if !ran {
            self.schedule_after(BACKOFF_US, Event::Resend { entry, id });
            return;
        }
        entry_state.queue.finish(now, id);
        let request = &self.requests[&id];
        let back_us = if request.home == entry { 0 } else { self.delay_us };
        let in_time = self.now_us + back_us <= request.arrived_us + DEADLINE.as_micros() as u64;
        if !self.entries[request.home].dead {
            self.stats.ended += 1;
            if in_time {
                let end_us = self.now_us - self.delay_us;
                self.stats.goodput_us += time_in_burst(end_us - request.run_us, end_us);
            }
        }
        self.dispatch(entry);
    }

    fn resend(&mut self, entry: usize, id: u64) {
        let now = self.instant();
        match self.entries[entry].balancer.acquire(now, &mut self.rng) {
            Some(endpoint) => self.send(entry, endpoint, id),
            None => self.schedule_after(BACKOFF_US, Event::Resend { entry, id }),
        }
    }

    fn deliver(&mut self, from: Peer, to: usize, message: Message) {
        let now = self.instant();
        self.entries[to].balancer.table.receive(now, &from, message);
        self.dispatch(to);
    }

    fn tick(&mut self, entry: usize) {
        let now = self.instant();
        if self.policy == Policy::Tokens {
            self.entries[entry].balancer.table.tick(now);
        }
        self.dispatch(entry);
        self.schedule_after(TICK_US, Event::Tick { entry });
    }

    fn flush(&mut self, from: usize) {
        let me = self.entries[from].me.clone();
        for envelope in self.entries[from].balancer.table.drain_outbox() {
            let to = (envelope.to.1 % RESTART_INCREMENT) as usize - 1;
            self.stats.messages += 1;
            self.schedule_after(
                self.delay_us,
                Event::Deliver { from: me.clone(), to, message: envelope.message },
            );
        }
    }

    fn start_fault(&mut self) {
        match self.fault {
            Fault::None => return,
            Fault::Disagreement => self.set_liveness(0, 1, Liveness::Suspected),
            Fault::Pause | Fault::PauseFenced => {
                self.entries[1].paused = true;
                self.schedule_after(PAUSE_US, Event::EndPause);
            }
            Fault::Kill => self.entries[1].dead = true,
        }
        let fenced = self.fault == Fault::PauseFenced;
        self.schedule_after(if fenced { FENCING_US } else { DETECTION_US }, Event::NoticeFault);
    }

    fn notice_fault(&mut self) {
        let liveness = match self.fault {
            Fault::Kill | Fault::PauseFenced => Liveness::Gone,
            _ => Liveness::Suspected,
        };
        match self.fault {
            Fault::Disagreement => self.set_liveness(1, 2, liveness),
            _ => (0..self.entries.len()).for_each(|entry| self.set_liveness(entry, 1, liveness)),
        }
    }

    fn end_pause(&mut self) {
        self.entries[1].paused = false;
        if self.fault == Fault::PauseFenced {
            self.deferred.clear();
            let (count, now) = (self.entries.len(), self.instant());
            self.entries[1] = Entry::new(now, 1, count, self.policy, RESTART_INCREMENT);
            self.schedule_after(0, Event::Tick { entry: 1 });
            return;
        }
        let events = std::mem::take(&mut self.deferred);
        events.into_iter().for_each(|event| self.handle(event));
        (0..self.entries.len()).for_each(|entry| self.set_liveness(entry, 1, Liveness::Alive));
    }

    /// Sets the liveness of an entry as another one sees it.
    fn set_liveness(&mut self, entry: usize, other: usize, liveness: Liveness) {
        if entry == other {
            return;
        }
        let now = self.instant();
        let entry_state = &mut self.entries[entry];
        entry_state.alive[other] = liveness == Liveness::Alive;
        entry_state.balancer.table.set_members(now, [(peer(other), liveness)]);
        if self.policy == Policy::Owner {
            let alive = &entry_state.alive;
            let owns = |endpoint| if owner(endpoint, alive) == entry { SLOTS } else { 0 };
            entry_state.balancer.limit = (0..ENDPOINTS).map(owns).collect();
        }
    }
}
