//! Entries, runners and links as discrete events.

use {
    crate::{
        entry::{Entry, peer},
        event::{Event, Exchange, Fault},
        policy::{Policy, RUNNERS, SLOTS, owner, service},
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

const RUN_US: f64 = 50_000.0;
const DEADLINE: Duration = Duration::from_secs(2);
const MEAN_PER_SEC: f64 = 480.0;
const BURST: f64 = 5.0;
const LULL: f64 = 0.05;
const PERIOD_US: u64 = 20_800_000;
const BURST_US: u64 = 4_000_000;
const END_US: u64 = 2 * PERIOD_US + BURST_US + 3_000_000;
const TICK_US: u64 = 5_000;
const FAULT_AT_US: u64 = PERIOD_US + 1_000_000;
const PAUSE_US: u64 = 10_000_000;
const NOTICED_US: u64 = 500_000;
const RESTARTED: u64 = 100;
const FENCED_US: u64 = 2_500_000;
const BACKOFF_US: u64 = 3_000;
const SEED: u64 = 7;

struct Call {
    home: usize,
    arrived_us: u64,
    burst: bool,
    run_us: u64,
}

pub struct World {
    base: Instant,
    now_us: u64,
    delay_us: u64,
    policy: Policy,
    fault: Fault,
    heap: BinaryHeap<Reverse<(u64, u64)>>,
    events: IndexMap<u64, Event>,
    next: u64,
    rng: SmallRng,
    entries: Vec<Entry>,
    held_back: Vec<Event>,
    runners: Vec<u32>,
    calls: IndexMap<u64, Call>,
    stats: Stats,
}

fn in_burst(at_us: u64) -> bool {
    at_us % PERIOD_US < BURST_US && at_us >= PERIOD_US
}

/// Time between two instants that lies within the burst of the first one's period or the next.
fn burst_part(from_us: u64, to_us: u64) -> u64 {
    let part = |begin_us: u64| match begin_us {
        0 => 0,
        _ => to_us.min(begin_us + BURST_US).saturating_sub(from_us.max(begin_us)),
    };
    let period = from_us / PERIOD_US;
    part(period * PERIOD_US) + part((period + 1) * PERIOD_US)
}

impl World {
    pub fn new(entries: usize, delay_us: u64, policy: Policy, fault: Fault) -> Self {
        let base = Instant::now();
        let mut world = Self {
            base,
            now_us: 0,
            delay_us,
            policy,
            fault,
            heap: BinaryHeap::new(),
            events: IndexMap::new(),
            next: 0,
            rng: SmallRng::seed_from_u64(SEED),
            entries: (0..entries)
                .map(|entry| Entry::new(base, entry, entries, policy, 0))
                .collect(),
            held_back: Vec::new(),
            runners: vec![0; RUNNERS],
            calls: IndexMap::new(),
            stats: Stats::new(),
        };
        (0..entries).for_each(|entry| world.at(entry as u64, Event::Tick { entry }));
        world.at(2_000_000, Event::Arrive);
        world.at(FAULT_AT_US, Event::Begin);
        world
    }

    pub fn run(&mut self) {
        while let Some(Reverse((at_us, key))) = self.heap.pop() {
            if at_us > END_US {
                return;
            }
            self.account(at_us);
            self.now_us = at_us;
            if let Some(event) = self.events.swap_remove(&key) {
                self.handle(event);
            }
        }
    }

    pub fn report(&self) -> String {
        let slot_us = RUN_US + 2.0 * self.delay_us as f64;
        self.stats.report(f64::from(SLOTS) * RUNNERS as f64, RUN_US / slot_us)
    }

    /// Adds up the slots that were idle while requests waited.
    fn account(&mut self, until_us: u64) {
        if !in_burst(self.now_us) {
            return;
        }
        let passed = (until_us - self.now_us) as f64;
        let waiting: usize =
            self.entries.iter().filter(|e| !e.dead && !e.paused).map(|e| e.queue.waiting()).sum();
        let idle: u32 = self.runners.iter().map(|used| SLOTS.saturating_sub(*used)).sum();
        self.stats.burst_us += passed;
        self.stats.idle_us += passed * f64::from(idle.min(waiting as u32));
    }

    fn at(&mut self, at_us: u64, event: Event) {
        self.next += 1;
        self.heap.push(Reverse((at_us, self.next)));
        self.events.insert(self.next, event);
    }

    fn after(&mut self, delay_us: u64, event: Event) {
        self.at(self.now_us + delay_us, event);
    }

    fn instant(&self) -> Instant {
        self.base + Duration::from_micros(self.now_us)
    }

    fn handle(&mut self, event: Event) {
        let target = match &event {
            Event::Offer { entry, .. } | Event::Resend { entry, .. } | Event::Tick { entry } => {
                Some(*entry)
            }
            Event::Answer { exchange, .. } => Some(exchange.entry),
            Event::Link { to, .. } => Some(*to),
            _ => None,
        };
        if let Some(entry) = target.map(|index| &self.entries[index]) {
            if entry.dead {
                return;
            }
            if entry.paused {
                self.held_back.push(event);
                return;
            }
        }
        match event {
            Event::Arrive => self.arrive(),
            Event::Offer { entry, id } => self.offer(entry, id),
            Event::AtRunner(exchange) => self.at_runner(exchange),
            Event::RunEnd(exchange) => self.run_end(exchange),
            Event::Answer { exchange, ran } => self.answer(exchange, ran),
            Event::Resend { entry, id } => self.resend(entry, id),
            Event::Link { from, to, message } => self.link(from, to, message),
            Event::Tick { entry } => self.tick(entry),
            Event::Begin => self.begin(),
            Event::Noticed => self.noticed(),
            Event::Resume => self.resume(),
        }
    }

    fn arrive(&mut self) {
        let factor = if in_burst(self.now_us) { BURST } else { LULL };
        let gap = -self.rng.random::<f64>().max(1e-12).ln() * 1e6 / (MEAN_PER_SEC * factor);
        self.after(gap as u64 + 1, Event::Arrive);
        let home = self.home();
        let id = self.next;
        self.stats.arrived += 1;
        let call = Call { home, arrived_us: self.now_us, burst: in_burst(self.now_us), run_us: 0 };
        self.calls.insert(id, call);
        let entry = &self.entries[home];
        if self.policy != Policy::Owner || entry.dead || entry.paused {
            self.handle(Event::Offer { entry: home, id });
            return;
        }
        let runner = self.rng.random_range(0..RUNNERS);
        let owner = owner(runner, &entry.alive);
        if owner == home {
            self.handle(Event::Offer { entry: home, id });
        } else {
            self.stats.messages += 2;
            self.after(self.delay_us, Event::Offer { entry: owner, id });
        }
    }

    /// Entry that the balancer picks: half of the calls go to one, which changes with each burst.
    fn home(&mut self) -> usize {
        let entries = self.entries.len();
        let noticed = self.now_us > FAULT_AT_US + 2 * NOTICED_US;
        loop {
            let favoured = (self.now_us / PERIOD_US) as usize % entries;
            let any = self.rng.random_range(0..entries);
            let home = if self.rng.random_bool(0.5) { favoured } else { any };
            let entry = &self.entries[home];
            if !noticed || !(entry.dead || entry.paused) {
                return home;
            }
        }
    }

    fn offer(&mut self, entry: usize, id: u64) {
        let now = self.instant();
        let entries = self.entries.len();
        let arrived = self.base + Duration::from_micros(self.calls[&id].arrived_us);
        let deadline = arrived + DEADLINE;
        let team = format!("team-{}", id % 4);
        let waiting = Waiting { id, team, class: Class::Quick, arrived, deadline };
        let found = &mut self.entries[entry];
        let supply = Supply { slots: found.choice.supply(entries) };
        if found.queue.offer(now, waiting, supply).is_err() {
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
            let Some(runner) = entry.choice.acquire(now, &mut self.rng) else { break };
            match entry.queue.take(now) {
                Some(waiting) => self.send(index, runner, waiting.id),
                None => entry.choice.release(now, runner),
            }
        }
        let entry = &mut self.entries[index];
        self.stats.given_up += entry.queue.expire(now).len() as u64;
        if self.policy == Policy::Tokens {
            let demand = entry.queue.demand(now);
            entry.choice.table.set_demand(now, &service(), demand);
            self.flush(index);
        }
    }

    fn send(&mut self, entry: usize, runner: usize, id: u64) {
        self.after(self.delay_us, Event::AtRunner(Exchange { id, entry, runner }));
    }

    fn at_runner(&mut self, exchange: Exchange) {
        let used = &mut self.runners[exchange.runner];
        self.stats.at_once = self.stats.at_once.max(*used + 1);
        if *used >= SLOTS {
            self.stats.runner_refusals += 1;
            self.after(self.delay_us, Event::Answer { exchange, ran: false });
            return;
        }
        *used += 1;
        let call = &self.calls[&exchange.id];
        let waited = self.now_us - call.arrived_us;
        let stats = &mut self.stats;
        let wait = if call.burst { &mut stats.burst_wait } else { &mut stats.lull_wait };
        wait.saturating_record(waited);
        let run_us = -self.rng.random::<f64>().max(1e-4).ln() * RUN_US;
        if let Some(call) = self.calls.get_mut(&exchange.id) {
            call.run_us = run_us as u64;
        }
        self.after(run_us as u64, Event::RunEnd(exchange));
    }

    fn run_end(&mut self, exchange: Exchange) {
        self.runners[exchange.runner] -= 1;
        self.after(self.delay_us, Event::Answer { exchange, ran: true });
    }

    fn answer(&mut self, exchange: Exchange, ran: bool) {
        let now = self.instant();
        let Exchange { id, entry, runner } = exchange;
        let found = &mut self.entries[entry];
        found.choice.release(now, runner);
        if !ran {
            self.after(BACKOFF_US, Event::Resend { entry, id });
            return;
        }
        found.queue.finish(now, id);
        let call = &self.calls[&id];
        let back_us = if call.home == entry { 0 } else { self.delay_us };
        let in_time = self.now_us + back_us <= call.arrived_us + DEADLINE.as_micros() as u64;
        if !self.entries[call.home].dead {
            self.stats.ended += 1;
            if in_time {
                let end_us = self.now_us - self.delay_us;
                self.stats.done_us += burst_part(end_us - call.run_us, end_us);
            }
        }
        self.dispatch(entry);
    }

    fn resend(&mut self, entry: usize, id: u64) {
        let now = self.instant();
        match self.entries[entry].choice.acquire(now, &mut self.rng) {
            Some(runner) => self.send(entry, runner, id),
            None => self.after(BACKOFF_US, Event::Resend { entry, id }),
        }
    }

    fn link(&mut self, from: Peer, to: usize, message: Message) {
        let now = self.instant();
        self.entries[to].choice.table.receive(now, &from, message);
        self.dispatch(to);
    }

    fn tick(&mut self, entry: usize) {
        let now = self.instant();
        if self.policy == Policy::Tokens {
            self.entries[entry].choice.table.tick(now);
        }
        self.dispatch(entry);
        self.after(TICK_US, Event::Tick { entry });
    }

    fn flush(&mut self, from: usize) {
        let me = self.entries[from].me.clone();
        for envelope in self.entries[from].choice.table.drain_outbox() {
            let to = (envelope.to.1 % RESTARTED) as usize - 1;
            self.stats.messages += 1;
            self.after(
                self.delay_us,
                Event::Link { from: me.clone(), to, message: envelope.message },
            );
        }
    }

    fn begin(&mut self) {
        match self.fault {
            Fault::None => return,
            Fault::Disagreement => self.see(0, 1, Liveness::Suspected),
            Fault::Pause | Fault::PauseFenced => {
                self.entries[1].paused = true;
                self.after(PAUSE_US, Event::Resume);
            }
            Fault::Kill => self.entries[1].dead = true,
        }
        let fenced = self.fault == Fault::PauseFenced;
        self.after(if fenced { FENCED_US } else { NOTICED_US }, Event::Noticed);
    }

    fn noticed(&mut self) {
        let liveness = match self.fault {
            Fault::Kill | Fault::PauseFenced => Liveness::Gone,
            _ => Liveness::Suspected,
        };
        match self.fault {
            Fault::Disagreement => self.see(1, 2, liveness),
            _ => (0..self.entries.len()).for_each(|entry| self.see(entry, 1, liveness)),
        }
    }

    fn resume(&mut self) {
        self.entries[1].paused = false;
        if self.fault == Fault::PauseFenced {
            self.held_back.clear();
            let (count, now) = (self.entries.len(), self.instant());
            self.entries[1] = Entry::new(now, 1, count, self.policy, RESTARTED);
            self.after(0, Event::Tick { entry: 1 });
            return;
        }
        let events = std::mem::take(&mut self.held_back);
        events.into_iter().for_each(|event| self.handle(event));
        (0..self.entries.len()).for_each(|entry| self.see(entry, 1, Liveness::Alive));
    }

    /// Changes what an entry believes of another.
    fn see(&mut self, entry: usize, other: usize, liveness: Liveness) {
        if entry == other {
            return;
        }
        let now = self.instant();
        let found = &mut self.entries[entry];
        found.alive[other] = liveness == Liveness::Alive;
        found.choice.table.set_members(now, [(peer(other), liveness)]);
        if self.policy == Policy::Owner {
            let alive = &found.alive;
            let owns = |runner| if owner(runner, alive) == entry { SLOTS } else { 0 };
            found.choice.limit = (0..RUNNERS).map(owns).collect();
        }
    }
}
