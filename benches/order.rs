//! Measures how many claims of orders are combined into one append, and the latency that a claim
//! adds, for several append delays and rates of orders.
//!
//! `cargo bench --bench order` prints the table. The entries run the product's decision code in
//! simulated time. The log stores an append after the delay, and every entry reads it within one
//! step of half a millisecond.

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

/// Simulated duration of one measurement.
const SIMULATED_TIME: Duration = Duration::from_secs(20);
/// Length of a simulation step.
const STEP: Duration = Duration::from_micros(500);
/// Number of entries.
const ENTRIES: usize = 9;
/// Time that an order runs on its endpoint.
const RUN_TIME: Duration = Duration::from_millis(30);

/// An entry with its orders.
struct Entry {
    coordinator: Coordinator,
    /// Offset of the next batch to read.
    next: usize,
    /// Running orders with the time at which they end.
    running: VecDeque<(Duration, u64)>,
    /// Acknowledgements of its appends with the time at which they arrive.
    acks: VecDeque<(Duration, String)>,
}

/// Simulation of the entries and the log.
struct Bench {
    /// Time from an append until it is stored and acknowledged.
    delay: Duration,
    begun: Instant,
    entries: Vec<Entry>,
    /// Appends with the time at which the log stores them.
    in_flight: VecDeque<(Duration, Append)>,
    log: Vec<Batch>,
    /// Time of arrival by request.
    arrived: Vec<Duration>,
    /// Time from arrival to run in microseconds.
    waits: Histogram<u64>,
}

impl Bench {
    fn new(delay: Duration) -> Self {
        let entry = |n: usize| {
            let mut coordinator = Coordinator::new((format!("e{n}"), 1), Retention::default());
            coordinator.set_entries(ENTRIES as u32);
            let (running, acks) = (VecDeque::new(), VecDeque::new());
            Entry { coordinator, next: 0, running, acks }
        };
        Self {
            delay,
            begun: Instant::now(),
            entries: (0..ENTRIES).map(entry).collect(),
            in_flight: VecDeque::new(),
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
        while let Some((_, append)) = self.in_flight.pop_front_if(|(at, _)| *at <= time) {
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
            while let Some((_, id)) = entry.acks.pop_front_if(|(at, _)| *at <= time) {
                entry.coordinator.appended(&id, true);
            }
            for step in entry.coordinator.steps() {
                if let Step::Run(id) = step {
                    let wait = time - self.arrived[id as usize];
                    self.waits.saturating_record(wait.as_micros() as u64);
                    entry.running.push_back((time + RUN_TIME, id));
                }
            }
            if let Some(append) = entry.coordinator.poll(now) {
                entry.acks.push_back((time + self.delay, append.id.clone()));
                self.in_flight.push_back((time + self.delay, append));
            }
        }
    }
}

/// Simulates a rate of orders, and prints a row of the table.
fn measure(delay: Duration, per_second: u32) {
    let mut bench = Bench::new(delay);
    let mut random = SmallRng::seed_from_u64(1);
    let mut time = Duration::ZERO;
    let mut claims = 0;
    while time < SIMULATED_TIME {
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
        appends as f64 / SIMULATED_TIME.as_secs_f64(),
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
