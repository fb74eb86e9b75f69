//! Compares queueing disciplines for 80 slots during bursts of five times the mean demand.
//!
//! `cargo bench --bench overload` prints one table. One team makes more than half of the requests,
//! three make fewer than their fair shares. One request in 200 is a watch of 5 s, one in twenty an
//! order. All figures cover bursts only. Goodput is the slot time, within bursts, of the requests
//! that met their deadlines, relative to that of all slots. A team's share counts its quick
//! requests that met their deadlines.

use {
    carobhitch::{
        admit::{Limits, Queue, Supply, Waiting},
        request::Class,
    },
    hdrhistogram::Histogram,
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::{
        cmp::Reverse,
        collections::{BTreeMap, BinaryHeap, VecDeque},
        time::{Duration, Instant},
    },
};

/// Number of slots.
const SLOTS: u32 = 80;
/// Mean rate of requests.
const MEAN_PER_SEC: f64 = 400.0;
/// Rate during bursts, relative to the mean.
const BURST: f64 = 5.0;
/// Rate between bursts, relative to the mean.
const OFF_BURST: f64 = 0.05;
/// Time between the beginnings of two bursts.
const PERIOD_US: u64 = 20_800_000;
/// Length of a burst.
const BURST_US: u64 = 4_000_000;
/// Number of bursts.
const BURSTS: u64 = 3;
/// Interval at which expired requests are given up.
const TICK_US: u64 = 5_000;
/// Share of each team in the requests.
const TEAMS: [f64; 4] = [0.55, 0.15, 0.15, 0.15];
/// Maximum number of waiting requests under [`Discipline::LengthFifo`].
const MAX_BACKLOG: usize = 4_000;
/// Mean run time of a request over the classes, in seconds.
const MEAN_RUN_SECS: f64 = 0.05 * 0.945 + 0.1 * 0.05 + 5.0 * 0.005;
const SEED: u64 = 11;

/// Order in which waiting requests are served, and which are refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Discipline {
    /// First come, first served, up to a maximum length.
    LengthFifo,
    /// First come, first served, while the projected wait fits the deadline.
    DeadlineFifo,
    /// Earliest deadline first, while the projected wait fits the deadline.
    DeadlineFirst,
    /// The product's queue: fair between teams, with a separate share of each class.
    Fair,
}

#[derive(Clone, Copy)]
enum Event {
    Arrive,
    End(u64),
    Tick,
}

/// A request that has not ended.
struct Request {
    waiting: Waiting,
    run: Duration,
    team: usize,
    /// Whether it arrived in a burst.
    burst: bool,
    started_us: u64,
}

/// Waiting requests of the disciplines without teams and classes.
#[derive(Default)]
struct Backlog {
    fifo: VecDeque<Waiting>,
    by_deadline: BTreeMap<(Instant, u64), Waiting>,
}

/// Discrete-event simulation of one discipline.
struct Simulation {
    discipline: Discipline,
    origin: Instant,
    now_us: u64,
    /// Times and keys of the pending events.
    schedule: BinaryHeap<Reverse<(u64, u64)>>,
    events: BTreeMap<u64, Event>,
    last_key: u64,
    rng: SmallRng,
    queue: Queue,
    backlog: Backlog,
    requests: BTreeMap<u64, Request>,
    running: u32,
    stats: Stats,
}

/// Counts of the requests that arrived in bursts.
struct Stats {
    /// Waiting time of quick requests in microseconds.
    wait: Histogram<u64>,
    goodput_us: u64,
    /// Quick requests that met their deadlines, by team.
    completed: [f64; 4],
    /// Quick requests that arrived, by team.
    requested: [f64; 4],
    /// Watches that arrived, and those that met their deadlines.
    watches: [u64; 2],
    arrived: u64,
    refused: u64,
    given_up: u64,
    late: u64,
    max_refusal_wait: Duration,
}

fn in_burst(at_us: u64) -> bool {
    at_us >= PERIOD_US && at_us % PERIOD_US < BURST_US
}

/// Part of a time span that lies within bursts.
fn time_in_bursts(from_us: u64, to_us: u64) -> u64 {
    let overlap = |number: u64| {
        let begin_us = number * PERIOD_US;
        to_us.min(begin_us + BURST_US).saturating_sub(from_us.max(begin_us))
    };
    (1..=BURSTS).map(overlap).sum()
}

impl Simulation {
    fn new(discipline: Discipline) -> Self {
        let wait = Histogram::new_with_bounds(1, 120_000_000, 3).expect("three digits");
        let mut simulation = Self {
            discipline,
            origin: Instant::now(),
            now_us: 0,
            schedule: BinaryHeap::new(),
            events: BTreeMap::new(),
            last_key: 0,
            rng: SmallRng::seed_from_u64(SEED),
            queue: Queue::new(Limits::default()),
            backlog: Backlog::default(),
            requests: BTreeMap::new(),
            running: 0,
            stats: Stats {
                wait,
                goodput_us: 0,
                completed: [0.0; 4],
                requested: [0.0; 4],
                watches: [0; 2],
                arrived: 0,
                refused: 0,
                given_up: 0,
                late: 0,
                max_refusal_wait: Duration::ZERO,
            },
        };
        simulation.schedule_at(1, Event::Arrive);
        simulation.schedule_at(2, Event::Tick);
        simulation
    }

    fn schedule_at(&mut self, at_us: u64, event: Event) {
        self.last_key += 1;
        self.schedule.push(Reverse((at_us, self.last_key)));
        self.events.insert(self.last_key, event);
    }

    fn now(&self) -> Instant {
        self.origin + Duration::from_micros(self.now_us)
    }

    fn run(&mut self) {
        while let Some(Reverse((at_us, key))) = self.schedule.pop() {
            self.now_us = at_us;
            if at_us > (BURSTS + 1) * PERIOD_US {
                return;
            }
            match self.events.remove(&key) {
                Some(Event::Arrive) => self.arrive(),
                Some(Event::End(id)) => self.end(id),
                Some(Event::Tick) => {
                    self.expire();
                    self.schedule_at(self.now_us + TICK_US, Event::Tick);
                }
                None => {}
            }
            self.dispatch();
        }
    }

    fn exponential(&mut self, mean: f64) -> f64 {
        -self.rng.random::<f64>().max(1e-6).ln() * mean
    }

    fn arrive(&mut self) {
        let burst = in_burst(self.now_us);
        let rate = MEAN_PER_SEC * if burst { BURST } else { OFF_BURST };
        let gap_us = self.exponential(1e6 / rate) as u64 + 1;
        self.schedule_at(self.now_us + gap_us, Event::Arrive);
        let (class, mean, deadline) = match self.rng.random_range(0..200) {
            0 => (Class::Watch, 5.0, Duration::from_secs(60)),
            1..11 => (Class::Order, 0.1, Duration::from_secs(5)),
            _ => (Class::Quick, 0.05, Duration::from_secs(2)),
        };
        let run = Duration::from_secs_f64(self.exponential(mean));
        let mut draw = self.rng.random::<f64>();
        let team = TEAMS.iter().position(|share| {
            draw -= share;
            draw < 0.0
        });
        let team = team.unwrap_or(0);
        let (id, now) = (self.last_key, self.now());
        let deadline = now + deadline;
        let waiting = Waiting { id, team: format!("{team}"), class, arrived: now, deadline };
        self.requests
            .insert(id, Request { waiting: waiting.clone(), run, team, burst, started_us: 0 });
        if burst {
            self.stats.arrived += 1;
            self.stats.requested[team] += f64::from(u8::from(class == Class::Quick));
            self.stats.watches[0] += u64::from(class == Class::Watch);
        }
        if !self.offer(waiting) && burst {
            self.stats.refused += 1;
        }
    }

    /// Queues a request; returns false if it is refused.
    fn offer(&mut self, waiting: Waiting) -> bool {
        let now = self.now();
        let left = waiting.deadline - now;
        let length = self.backlog.fifo.len() + self.backlog.by_deadline.len();
        let wait = Duration::from_secs_f64((length + 1) as f64 * MEAN_RUN_SECS / f64::from(SLOTS));
        match self.discipline {
            Discipline::Fair => {
                return self.queue.offer(now, waiting, Supply { slots: SLOTS }).is_ok();
            }
            Discipline::LengthFifo if length < MAX_BACKLOG => self.backlog.fifo.push_back(waiting),
            Discipline::DeadlineFifo if wait < left => self.backlog.fifo.push_back(waiting),
            Discipline::DeadlineFirst if wait < left => {
                self.backlog.by_deadline.insert((waiting.deadline, waiting.id), waiting);
            }
            _ => return false,
        }
        true
    }

    fn take(&mut self) -> Option<Waiting> {
        match self.discipline {
            Discipline::Fair => self.queue.take(self.now()),
            Discipline::DeadlineFirst => {
                self.backlog.by_deadline.pop_first().map(|(_, waiting)| waiting)
            }
            _ => self.backlog.fifo.pop_front(),
        }
    }

    fn dispatch(&mut self) {
        while self.running < SLOTS {
            let Some(waiting) = self.take() else { return };
            if waiting.deadline <= self.now() {
                self.give_up(&waiting);
                continue;
            }
            let Some(request) = self.requests.get_mut(&waiting.id) else { continue };
            request.started_us = self.now_us;
            let (run, burst) = (request.run, request.burst);
            if burst && waiting.class == Class::Quick {
                let waited = self.now() - waiting.arrived;
                self.stats.wait.saturating_record(waited.as_micros() as u64);
            }
            self.running += 1;
            self.schedule_at(self.now_us + run.as_micros() as u64, Event::End(waiting.id));
        }
    }

    fn give_up(&mut self, waiting: &Waiting) {
        if self.requests[&waiting.id].burst {
            self.stats.given_up += 1;
            let waited = self.now() - waiting.arrived;
            self.stats.max_refusal_wait = self.stats.max_refusal_wait.max(waited);
        }
    }

    fn expire(&mut self) {
        let now = self.now();
        for (waiting, _) in self.queue.expire(now) {
            self.give_up(&waiting);
        }
    }

    fn end(&mut self, id: u64) {
        self.running -= 1;
        let now = self.now();
        self.queue.finish(now, id);
        let Some(request) = self.requests.remove(&id) else { return };
        let in_time = now <= request.waiting.deadline;
        if request.burst {
            self.stats.late += u64::from(!in_time);
            match request.waiting.class {
                Class::Watch => self.stats.watches[1] += u64::from(in_time),
                Class::Quick => self.stats.completed[request.team] += f64::from(u8::from(in_time)),
                Class::Order => {}
            }
        }
        if in_time {
            self.stats.goodput_us += time_in_bursts(request.started_us, self.now_us);
        }
    }

    fn report(&self) -> String {
        let stats = &self.stats;
        let capacity_us = u64::from(SLOTS) * BURSTS * BURST_US;
        let percent_of_arrived = |count: u64| 100.0 * count as f64 / stats.arrived as f64;
        let fair = fair_shares(stats.requested, stats.completed.iter().sum());
        let worst_share =
            (0..4).map(|team| stats.completed[team] / fair[team]).fold(f64::MAX, f64::min);
        format!(
            "{:.1}% | {:.0} | {:.0} | {:.1}% | {:.1}% | {:.1}% | {:.2}% | {:.2}% | {:.0}",
            100.0 * stats.goodput_us as f64 / capacity_us as f64,
            stats.wait.value_at_quantile(0.5) as f64 / 1000.0,
            stats.wait.value_at_quantile(0.99) as f64 / 1000.0,
            100.0 * stats.watches[1] as f64 / stats.watches[0] as f64,
            100.0 * worst_share,
            percent_of_arrived(stats.refused),
            percent_of_arrived(stats.given_up),
            percent_of_arrived(stats.late),
            stats.max_refusal_wait.as_millis(),
        )
    }
}

/// Max-min fair shares of the requests served: no team gets more than it requested, and the rest is
/// divided evenly.
fn fair_shares(requested: [f64; 4], served: f64) -> [f64; 4] {
    let mut order = [0, 1, 2, 3];
    order.sort_by(|a, b| requested[*a].total_cmp(&requested[*b]));
    let mut left = served;
    let mut fair = [0.0; 4];
    for (index, team) in order.into_iter().enumerate() {
        fair[team] = requested[team].min(left / (4 - index) as f64);
        left -= fair[team];
    }
    fair
}

fn main() {
    println!(
        "| discipline | goodput | quick p50 ms | quick p99 ms | watches done | worst team of fair share | refused | given up | ended late | longest wait for a refusal ms |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|");
    for discipline in [
        Discipline::LengthFifo,
        Discipline::DeadlineFifo,
        Discipline::DeadlineFirst,
        Discipline::Fair,
    ] {
        let mut simulation = Simulation::new(discipline);
        simulation.run();
        println!("| {discipline:?} | {} |", simulation.report());
    }
}
