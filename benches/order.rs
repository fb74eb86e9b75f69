//! Claims in one append and the latency that a claim adds, for a log of a given delay.
//!
//! Entries run the real decision code in simulated time; the log takes each append after a delay
//! and every entry reads it half a millisecond later.

use {
    carobhitch::{
        order::{Arrival, Coordinator, Ending, Key, Retention, Step},
        platform::Append,
        record::{Answer, Batch},
    },
    hdrhistogram::Histogram,
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::{
        collections::VecDeque,
        time::{Duration, Instant},
    },
};

/// Simulated time of one measurement.
const TIME: Duration = Duration::from_secs(20);
/// Step of the simulation.
const STEP: Duration = Duration::from_micros(500);
/// Entries.
const ENTRIES: usize = 9;
/// Time that an order takes on its endpoint.
const RUN: Duration = Duration::from_millis(30);

struct Entry {
    coordinator: Coordinator,
    next: usize,
    running: VecDeque<(Duration, u64)>,
    answers: VecDeque<(Duration, String)>,
}

struct Bench {
    delay: Duration,
    begun: Instant,
    entries: Vec<Entry>,
    coming: VecDeque<(Duration, Append)>,
    log: Vec<Batch>,
    arrived: Vec<Duration>,
    waits: Histogram<u64>,
}

impl Bench {
    fn new(delay: Duration) -> Self {
        let entry = |n: usize| {
            let mut coordinator = Coordinator::new((format!("e{n}"), 1), Retention::default());
            coordinator.set_entries(ENTRIES as u32);
            let (running, answers) = (VecDeque::new(), VecDeque::new());
            Entry { coordinator, next: 0, running, answers }
        };
        Self {
            delay,
            begun: Instant::now(),
            entries: (0..ENTRIES).map(entry).collect(),
            coming: VecDeque::new(),
            log: Vec::new(),
            arrived: Vec::new(),
            waits: Histogram::new_with_max(60_000_000, 3).expect("valid bounds"),
        }
    }

    fn arrive(&mut self, time: Duration, entry: usize) {
        let id = self.arrived.len() as u64;
        self.arrived.push(time);
        let key = Key::new(&String::from("s"), &String::from("t"), &format!("order-{id}"));
        let deadline = self.begun + time + Duration::from_secs(10);
        let arrival = Arrival { id, key, request: id, deadline, is_repeat: false };
        self.entries[entry].coordinator.arrive(self.begun + time, arrival, |_| false);
    }

    fn step(&mut self, time: Duration) {
        while let Some((_, append)) = self.coming.pop_front_if(|(at, _)| *at <= time) {
            let batch = serde_json::from_str(append.data.get()).expect("a batch");
            self.log.push(batch);
        }
        let now = self.begun + time;
        for entry in &mut self.entries {
            while let Some((_, id)) = entry.running.pop_front_if(|(at, _)| *at <= time) {
                let answer = Answer { status: 200, body: None };
                entry.coordinator.ended(id, Ending::Done(answer));
            }
            while let Some(batch) = self.log.get(entry.next) {
                entry.coordinator.read(now, entry.next as u64, time, batch);
                entry.next += 1;
            }
            while let Some((_, id)) = entry.answers.pop_front_if(|(at, _)| *at <= time) {
                entry.coordinator.appended(&id, true);
            }
            for step in entry.coordinator.steps() {
                if let Step::Run(id) = step {
                    let wait = time - self.arrived[id as usize];
                    self.waits.saturating_record(wait.as_micros() as u64);
                    entry.running.push_back((time + RUN, id));
                }
            }
            if let Some(append) = entry.coordinator.poll(now) {
                entry.answers.push_back((time + self.delay, append.id.clone()));
                self.coming.push_back((time + self.delay, append));
            }
        }
    }
}

fn measure(delay: Duration, per_second: u32) {
    let mut bench = Bench::new(delay);
    let mut random = SmallRng::seed_from_u64(1);
    let mut time = Duration::ZERO;
    let mut claims = 0;
    while time < TIME {
        if random.random_bool((f64::from(per_second) * STEP.as_secs_f64()).min(1.0)) {
            bench.arrive(time, random.random_range(0..ENTRIES));
            claims += 1;
        }
        bench.step(time);
        time += STEP;
    }
    let millis = |quantile| bench.waits.value_at_quantile(quantile) as f64 / 1000.0;
    let appends = bench.log.len();
    println!(
        "{:>8} {:>10} {:>10.1} {:>14.2} {:>8.1} {:>8.1} {:>10.1}",
        delay.as_millis(),
        per_second,
        appends as f64 / TIME.as_secs_f64(),
        f64::from(claims) / appends as f64,
        millis(0.5),
        millis(0.99),
        millis(1.0)
    );
}

fn main() {
    println!(
        "{:>8} {:>10} {:>10} {:>14} {:>8} {:>8} {:>10}",
        "delay ms", "orders/s", "appends/s", "claims/append", "p50 ms", "p99 ms", "max ms"
    );
    for delay in [5, 10, 20] {
        for per_second in [10, 100, 500, 2000] {
            measure(Duration::from_millis(delay), per_second);
        }
    }
}
