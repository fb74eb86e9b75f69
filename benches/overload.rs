//! Compares ways to queue for 80 slots while one service is asked five times its mean.
//!
//! `cargo bench --bench overload` prints one table. One team asks for more than half of the demand,
//! three for less than their fair shares. One request in 200 is a watch of 5 s, one in twenty an
//! order. Figures are of the bursts; goodput is the slot time, within bursts, of requests that ended
//! in time, against all slots; a team's share counts its quick calls that ended in time.

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

const SLOTS: u32 = 80;
const MEAN_PER_SEC: f64 = 400.0;
const BURST: f64 = 5.0;
const LULL: f64 = 0.05;
const PERIOD_US: u64 = 20_800_000;
const BURST_US: u64 = 4_000_000;
const BURSTS: u64 = 3;
const TICK_US: u64 = 5_000;
const TEAMS: [f64; 4] = [0.55, 0.15, 0.15, 0.15];
const MAX_LENGTH: usize = 4_000;
const MEAN_RUN: f64 = 0.05 * 0.945 + 0.1 * 0.05 + 5.0 * 0.005;
const SEED: u64 = 11;

/// How requests wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Discipline {
    /// First come, first served, up to a length.
    LengthFifo,
    /// First come, first served, while the projected wait fits the deadline.
    DeadlineFifo,
    /// Earliest deadline first, while the projected wait fits the deadline.
    DeadlineFirst,
    /// Fair between teams, classes apart.
    Fair,
}

#[derive(Clone, Copy)]
enum Event {
    Arrive,
    End(u64),
    Tick,
}

struct Call {
    waiting: Waiting,
    run: Duration,
    team: usize,
    burst: bool,
    started_us: u64,
}

/// A line without teams and classes.
#[derive(Default)]
struct Line {
    fifo: VecDeque<Waiting>,
    first: BTreeMap<(Instant, u64), Waiting>,
}

struct World {
    discipline: Discipline,
    base: Instant,
    now_us: u64,
    heap: BinaryHeap<Reverse<(u64, u64)>>,
    events: BTreeMap<u64, Event>,
    next: u64,
    rng: SmallRng,
    queue: Queue,
    line: Line,
    calls: BTreeMap<u64, Call>,
    running: u32,
    stats: Stats,
}

struct Stats {
    wait: Histogram<u64>,
    good_us: u64,
    ended: [f64; 4],
    asked: [f64; 4],
    watches: [u64; 2],
    arrived: u64,
    refused: u64,
    given_up: u64,
    late: u64,
    max_refusal: Duration,
}

fn in_burst(at_us: u64) -> bool {
    at_us >= PERIOD_US && at_us % PERIOD_US < BURST_US
}

/// Time between two instants that lies within bursts.
fn burst_part(from_us: u64, to_us: u64) -> u64 {
    let burst = |number: u64| {
        let begin_us = number * PERIOD_US;
        to_us.min(begin_us + BURST_US).saturating_sub(from_us.max(begin_us))
    };
    (1..=BURSTS).map(burst).sum()
}

impl World {
    fn new(discipline: Discipline) -> Self {
        let wait = Histogram::new_with_bounds(1, 120_000_000, 3).expect("three digits");
        let mut world = Self {
            discipline,
            base: Instant::now(),
            now_us: 0,
            heap: BinaryHeap::new(),
            events: BTreeMap::new(),
            next: 0,
            rng: SmallRng::seed_from_u64(SEED),
            queue: Queue::new(Limits::default()),
            line: Line::default(),
            calls: BTreeMap::new(),
            running: 0,
            stats: Stats {
                wait,
                good_us: 0,
                ended: [0.0; 4],
                asked: [0.0; 4],
                watches: [0; 2],
                arrived: 0,
                refused: 0,
                given_up: 0,
                late: 0,
                max_refusal: Duration::ZERO,
            },
        };
        world.at(1, Event::Arrive);
        world.at(2, Event::Tick);
        world
    }

    fn at(&mut self, at_us: u64, event: Event) {
        self.next += 1;
        self.heap.push(Reverse((at_us, self.next)));
        self.events.insert(self.next, event);
    }

    fn now(&self) -> Instant {
        self.base + Duration::from_micros(self.now_us)
    }

    fn run(&mut self) {
        while let Some(Reverse((at_us, key))) = self.heap.pop() {
            self.now_us = at_us;
            if at_us > (BURSTS + 1) * PERIOD_US {
                return;
            }
            match self.events.remove(&key) {
                Some(Event::Arrive) => self.arrive(),
                Some(Event::End(id)) => self.end(id),
                Some(Event::Tick) => {
                    self.expire();
                    self.at(self.now_us + TICK_US, Event::Tick);
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
        let rate = MEAN_PER_SEC * if burst { BURST } else { LULL };
        let gap_us = self.exponential(1e6 / rate) as u64 + 1;
        self.at(self.now_us + gap_us, Event::Arrive);
        let (class, mean, deadline) = match self.rng.random_range(0..200) {
            0 => (Class::Watch, 5.0, Duration::from_secs(60)),
            1..11 => (Class::Order, 0.1, Duration::from_secs(5)),
            _ => (Class::Quick, 0.05, Duration::from_secs(2)),
        };
        let run = Duration::from_secs_f64(self.exponential(mean));
        let mut pick = self.rng.random::<f64>();
        let team = TEAMS.iter().position(|part| {
            pick -= part;
            pick < 0.0
        });
        let team = team.unwrap_or(0);
        let (id, now) = (self.next, self.now());
        let deadline = now + deadline;
        let waiting = Waiting { id, team: format!("{team}"), class, arrived: now, deadline };
        self.calls.insert(id, Call { waiting: waiting.clone(), run, team, burst, started_us: 0 });
        if burst {
            self.stats.arrived += 1;
            self.stats.asked[team] += f64::from(u8::from(class == Class::Quick));
            self.stats.watches[0] += u64::from(class == Class::Watch);
        }
        if !self.offer(waiting) && burst {
            self.stats.refused += 1;
        }
    }

    fn offer(&mut self, waiting: Waiting) -> bool {
        let now = self.now();
        let left = waiting.deadline - now;
        let length = self.line.fifo.len() + self.line.first.len();
        let wait = Duration::from_secs_f64((length + 1) as f64 * MEAN_RUN / f64::from(SLOTS));
        match self.discipline {
            Discipline::Fair => {
                return self.queue.offer(now, waiting, Supply { slots: SLOTS }).is_ok();
            }
            Discipline::LengthFifo if length < MAX_LENGTH => self.line.fifo.push_back(waiting),
            Discipline::DeadlineFifo if wait < left => self.line.fifo.push_back(waiting),
            Discipline::DeadlineFirst if wait < left => {
                self.line.first.insert((waiting.deadline, waiting.id), waiting);
            }
            _ => return false,
        }
        true
    }

    fn take(&mut self) -> Option<Waiting> {
        match self.discipline {
            Discipline::Fair => self.queue.take(self.now()),
            Discipline::DeadlineFirst => self.line.first.pop_first().map(|(_, waiting)| waiting),
            _ => self.line.fifo.pop_front(),
        }
    }

    fn dispatch(&mut self) {
        while self.running < SLOTS {
            let Some(waiting) = self.take() else { return };
            if waiting.deadline <= self.now() {
                self.give_up(&waiting);
                continue;
            }
            let Some(call) = self.calls.get_mut(&waiting.id) else { continue };
            call.started_us = self.now_us;
            let (run, burst) = (call.run, call.burst);
            if burst && waiting.class == Class::Quick {
                let waited = self.now() - waiting.arrived;
                self.stats.wait.saturating_record(waited.as_micros() as u64);
            }
            self.running += 1;
            self.at(self.now_us + run.as_micros() as u64, Event::End(waiting.id));
        }
    }

    fn give_up(&mut self, waiting: &Waiting) {
        if self.calls[&waiting.id].burst {
            self.stats.given_up += 1;
            let held = self.now() - waiting.arrived;
            self.stats.max_refusal = self.stats.max_refusal.max(held);
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
        let Some(call) = self.calls.remove(&id) else { return };
        let in_time = now <= call.waiting.deadline;
        if call.burst {
            self.stats.late += u64::from(!in_time);
            match call.waiting.class {
                Class::Watch => self.stats.watches[1] += u64::from(in_time),
                Class::Quick => self.stats.ended[call.team] += f64::from(u8::from(in_time)),
                Class::Order => {}
            }
        }
        if in_time {
            self.stats.good_us += burst_part(call.started_us, self.now_us);
        }
    }

    fn report(&self) -> String {
        let stats = &self.stats;
        let capacity = u64::from(SLOTS) * BURSTS * BURST_US;
        let share = |part: u64| 100.0 * part as f64 / stats.arrived as f64;
        let fair = fair_shares(stats.asked, stats.ended.iter().sum());
        let worst = (0..4).map(|team| stats.ended[team] / fair[team]).fold(f64::MAX, f64::min);
        format!(
            "{:.1}% | {:.0} | {:.0} | {:.1}% | {:.1}% | {:.1}% | {:.2}% | {:.2}% | {:.0}",
            100.0 * stats.good_us as f64 / capacity as f64,
            stats.wait.value_at_quantile(0.5) as f64 / 1000.0,
            stats.wait.value_at_quantile(0.99) as f64 / 1000.0,
            100.0 * stats.watches[1] as f64 / stats.watches[0] as f64,
            100.0 * worst,
            share(stats.refused),
            share(stats.given_up),
            share(stats.late),
            stats.max_refusal.as_millis(),
        )
    }
}

/// Max-min fair shares of what was served: nobody gets more than asked, the rest is split evenly.
fn fair_shares(asked: [f64; 4], served: f64) -> [f64; 4] {
    let mut order = [0, 1, 2, 3];
    order.sort_by(|a, b| asked[*a].total_cmp(&asked[*b]));
    let mut left = served;
    let mut fair = [0.0; 4];
    for (index, team) in order.into_iter().enumerate() {
        fair[team] = asked[team].min(left / (4 - index) as f64);
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
        let mut world = World::new(discipline);
        world.run();
        println!("| {discipline:?} | {} |", world.report());
    }
}
