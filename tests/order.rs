//! At-most-once execution of orders under lost, delayed and duplicated appends and crashes of
//! entries.

use {
    carobhitch::{
        event::{Finish, RequestId},
        order::{Arrival, Batcher, Coordinator, Ending, Key, Owner, Retention, Step},
        platform::Append,
        record::{Answer, Batch, Transition},
    },
    proptest::{
        prelude::*,
        test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
    },
    std::{
        collections::{HashMap, HashSet},
        time::{Duration, Instant},
    },
};

/// Record time at which a simulation starts.
const EPOCH: Duration = Duration::from_secs(1_000_000);
/// Time from a request's arrival to its deadline.
const DEADLINE: Duration = Duration::from_secs(10);

/// One entry: its current incarnation and the requests that run on endpoints for it.
struct Entry {
    coordinator: Coordinator,
    owner: Owner,
    running: Vec<RequestId>,
}

/// Simulated entries, their log and the runs on endpoints. It checks that each key runs at most
/// once and that requests are answered consistently.
struct Simulation {
    start: Instant,
    /// Simulated time since the start.
    time: Duration,
    retention: Retention,
    entries: Vec<Entry>,
    /// Records of the orders stream with their record times.
    log: Vec<(Duration, Append)>,
    /// Offset of the first record that the log still holds.
    first_kept: usize,
    /// Copies of sent appends that may still arrive at the log.
    delayed: Vec<Append>,
    /// Incarnations that are reported as ended.
    gone: HashSet<Owner>,
    /// Index of each request's key.
    requests: HashMap<RequestId, usize>,
    keys: Vec<Key>,
    /// Number of runs on endpoints by the key's index.
    runs: HashMap<usize, u32>,
    /// Answers to requests that did not run here.
    finished: HashMap<RequestId, Finish>,
    /// Requests that were started.
    ran: HashSet<RequestId>,
}

impl Simulation {
    fn new(entries: usize, retention: Retention, keys: Vec<Key>) -> Self {
        let mut simulation = Self {
            start: Instant::now(),
            time: Duration::ZERO,
            retention,
            entries: Vec::new(),
            log: Vec::new(),
            first_kept: 0,
            delayed: Vec::new(),
            gone: HashSet::new(),
            requests: HashMap::new(),
            keys,
            runs: HashMap::new(),
            finished: HashMap::new(),
            ran: HashSet::new(),
        };
        simulation.entries = (0..entries).map(|n| simulation.entry(n, 1)).collect();
        simulation
    }

    fn entry(&self, n: usize, incarnation: u64) -> Entry {
        let owner = (format!("e{n}"), incarnation);
        Entry {
            coordinator: Coordinator::new(owner.clone(), self.retention),
            owner,
            running: Vec::new(),
        }
    }

    fn now(&self) -> Instant {
        self.start + self.time
    }

    fn arrive(&mut self, n: usize, key: usize) -> RequestId {
        let id = self.requests.len() as RequestId;
        self.requests.insert(id, key);
        let now = self.now();
        let arrival = Arrival {
            id,
            key: self.keys[key],
            request: key as u64,
            deadline: now + DEADLINE,
            is_repeat: false,
        };
        let gone = &self.gone;
        self.entries[n].coordinator.arrive(now, arrival, |o| gone.contains(o));
        self.step(n);
        id
    }

    /// Carries out what the coordinator decided.
    fn step(&mut self, n: usize) {
        for step in self.entries[n].coordinator.steps() {
            match step {
                Step::Run(id) => {
                    assert!(self.ran.insert(id), "request {id} was started twice");
                    assert!(!self.finished.contains_key(&id), "request {id} ran once refused");
                    self.entries[n].running.push(id);
                }
                Step::Finish(id, finish) => {
                    assert!(!self.ran.contains(&id), "request {id} was refused once run");
                    assert_eq!(self.finished.insert(id, finish), None, "answered twice");
                }
            }
        }
    }

    /// Appends to the log, unless the platform recognizes a repeated append by its id.
    fn store(&mut self, append: Append, is_deduplicated: bool) {
        if !is_deduplicated || self.log.iter().all(|(_, a)| a.id != append.id) {
            self.log.push((EPOCH + self.time, append));
        }
    }

    /// Sends an entry's due append, with the given faults.
    fn send(&mut self, n: usize, is_stored: bool, is_answered: bool, is_duplicated: bool) {
        let now = self.now();
        let Some(append) = self.entries[n].coordinator.poll(now) else { return };
        if is_duplicated {
            self.delayed.push(append.clone());
        }
        if is_stored {
            let id = append.id.clone();
            self.store(append, true);
            if is_answered {
                self.entries[n].coordinator.appended(&id, true);
            }
        }
    }

    /// Lets an entry read up to `count` records.
    fn read(&mut self, n: usize, count: usize) {
        for _ in 0..count {
            let now = self.now();
            let coordinator = &mut self.entries[n].coordinator;
            coordinator.note_gap(self.first_kept as u64);
            let next = coordinator.ledger().next() as usize;
            let Some((at, append)) = self.log.get(next) else { break };
            let batch: Batch = serde_json::from_str(append.data.get()).expect("a batch");
            coordinator.read(now, next as u64, *at, &batch);
        }
        self.step(n);
    }

    /// Ends the run that began first on an entry.
    fn end(&mut self, n: usize, has_run: bool, ending: Ending) {
        if self.entries[n].running.is_empty() {
            return;
        }
        let id = self.entries[n].running.remove(0);
        let key = self.requests[&id];
        let runs = self.runs.entry(key).or_default();
        *runs += u32::from(has_run);
        assert!(*runs <= 1, "key {key} ran {runs} times");
        if ending == Ending::NotRun {
            assert_eq!(*runs, 0, "key {key} was said not to have run");
        }
        self.entries[n].coordinator.ended(id, ending);
        self.step(n);
    }

    /// Replaces an entry by its next incarnation.
    fn crash(&mut self, n: usize) {
        // Requests that were sent to an endpoint may still run there.
        while !self.entries[n].running.is_empty() {
            self.end(n, true, Ending::Unknown);
        }
        let (_, incarnation) = self.entries[n].owner.clone();
        self.gone.insert(self.entries[n].owner.clone());
        self.entries[n] = self.entry(n, incarnation + 1);
    }

    /// Advances the time and lets each entry do what is due.
    fn pass(&mut self, time: Duration) {
        self.time += time;
        for n in 0..self.entries.len() {
            let (now, gone) = (self.now(), &self.gone);
            self.entries[n].coordinator.tick(now, |o| gone.contains(o));
            self.step(n);
        }
    }

    /// Runs for 1.2 s without faults.
    fn run_without_faults(&mut self) {
        for _ in 0..12 {
            for n in 0..self.entries.len() {
                self.send(n, true, true, false);
                self.read(n, usize::MAX);
            }
            self.pass(Duration::from_millis(100));
        }
    }
}

fn answer() -> Answer {
    Answer { status: 200, body: Some(String::from("booked")) }
}

fn keys_without_time(count: usize) -> Vec<Key> {
    (0..count).map(|k| key(&format!("order-{k}"))).collect()
}

fn key(text: &str) -> Key {
    Key::new(&String::from("bookings"), &String::from("akureyri"), text)
}

/// Key created by a caller whose clock shows `time`.
fn key_created_at(time: Duration, number: usize) -> Key {
    let millis = time.as_millis();
    key(&format!("{:08x}-{:04x}-7000-8000-{number:012x}", millis >> 16, millis & 0xffff))
}

fn simulation(entries: usize) -> Simulation {
    Simulation::new(entries, Retention::default(), keys_without_time(4))
}

#[test]
fn an_order_whose_answer_was_lost_runs_once() {
    let mut simulation = simulation(2);
    simulation.arrive(0, 0);
    simulation.run_without_faults();
    simulation.end(0, true, Ending::Done(answer()));
    simulation.run_without_faults();
    let again = simulation.arrive(1, 0);
    assert_eq!(simulation.finished[&again], Finish::Stored(answer()));
}

#[test]
fn a_retry_through_another_entry_waits_for_the_first_run() {
    let mut simulation = simulation(2);
    simulation.arrive(0, 0);
    simulation.run_without_faults();
    let again = simulation.arrive(1, 0);
    simulation.run_without_faults();
    assert!(!simulation.finished.contains_key(&again) && !simulation.ran.contains(&again));
    simulation.end(0, true, Ending::Done(answer()));
    simulation.run_without_faults();
    assert_eq!(simulation.finished[&again], Finish::Stored(answer()));
}

#[test]
fn an_order_of_a_crashed_entry_is_unknown_and_never_run_again() {
    let mut simulation = simulation(2);
    simulation.arrive(0, 0);
    simulation.run_without_faults();
    let waiting = simulation.arrive(1, 0);
    simulation.crash(0);
    simulation.run_without_faults();
    assert!(matches!(simulation.finished[&waiting], Finish::Unknown { .. }));
    let again = simulation.arrive(0, 0);
    simulation.run_without_faults();
    assert!(matches!(simulation.finished[&again], Finish::Unknown { .. }));
}

#[test]
fn an_order_refused_during_an_outage_runs_later_through_another_entry() {
    let mut simulation = simulation(2);
    let refused = simulation.arrive(0, 0);
    // The append takes effect, but its answer is lost and nothing can be read.
    simulation.send(0, true, false, false);
    simulation.pass(Duration::from_secs(3));
    assert!(matches!(simulation.finished[&refused], Finish::NotRun { .. }));
    let during = simulation.arrive(0, 1);
    assert!(matches!(simulation.finished[&during], Finish::NotRun { .. }));
    let later = simulation.arrive(1, 0);
    simulation.run_without_faults();
    assert!(simulation.ran.contains(&later));
}

#[test]
fn a_refusal_of_a_repeated_key_is_unknown_unless_its_claim_won() {
    let mut simulation = simulation(1);
    let arrival = Arrival {
        id: 7,
        key: simulation.keys[0],
        request: 0,
        deadline: simulation.now() + DEADLINE,
        is_repeat: true,
    };
    let now = simulation.now();
    simulation.entries[0].coordinator.arrive(now, arrival, |_| false);
    simulation.pass(Duration::from_secs(3));
    assert!(matches!(simulation.finished[&7], Finish::Unknown { .. }));
}

#[test]
fn a_released_order_is_run_for_the_next_waiting_request() {
    let mut simulation = simulation(2);
    simulation.arrive(0, 0);
    simulation.run_without_faults();
    let elsewhere = simulation.arrive(1, 0);
    simulation.end(0, false, Ending::NotRun);
    simulation.run_without_faults();
    assert!(simulation.ran.contains(&elsewhere));
}

#[test]
fn a_release_that_is_appended_twice_does_not_release_a_later_claim() {
    let mut simulation = simulation(2);
    simulation.arrive(0, 0);
    simulation.run_without_faults();
    simulation.end(0, false, Ending::NotRun);
    simulation.send(0, true, true, true);
    simulation.run_without_faults();
    let again = simulation.arrive(0, 0);
    simulation.run_without_faults();
    assert!(simulation.ran.contains(&again));
    // The platform no longer deduplicates by the append's id.
    let delayed = simulation.delayed.remove(0);
    simulation.store(delayed, false);
    let elsewhere = simulation.arrive(1, 0);
    simulation.run_without_faults();
    assert!(!simulation.ran.contains(&elsewhere));
}

#[test]
fn a_key_used_for_two_different_requests_is_refused() {
    let mut simulation = simulation(1);
    simulation.keys.push(simulation.keys[0]);
    simulation.arrive(0, 0);
    let other = simulation.arrive(0, 4);
    assert!(matches!(simulation.finished[&other], Finish::Failed { .. }));
}

#[test]
fn many_orders_share_one_append() {
    let mut simulation = Simulation::new(1, Retention::default(), keys_without_time(100));
    simulation.arrive(0, 0);
    simulation.send(0, true, true, false);
    for key in 1..100 {
        simulation.arrive(0, key);
    }
    simulation.run_without_faults();
    assert_eq!((simulation.log.len(), simulation.ran.len()), (2, 100));
}

#[test]
fn long_answers_make_no_append_that_a_log_rejects_for_its_size() {
    let mut batcher = Batcher::new((String::from("front-1"), 1));
    let answer = Answer { status: 200, body: Some("x".repeat(4 << 10)) };
    for order in 0..512 {
        batcher.push(Transition::Done { order, answer: answer.clone() });
    }
    let append = batcher.poll(Instant::now()).unwrap();
    let batch: Batch = serde_json::from_str(append.data.get()).unwrap();
    assert_eq!(batch.lines.len(), 16);
    assert!(append.data.get().len() < 128 << 10, "{} bytes", append.data.get().len());
}

#[test]
fn an_expired_key_that_contains_its_creation_time_is_unknown() {
    let retention = Retention { claims: Duration::from_secs(60), ..Retention::default() };
    let keys = vec![
        key_created_at(EPOCH, 0),
        key_created_at(EPOCH, 1),
        key_created_at(EPOCH + Duration::from_secs(90), 2),
    ];
    let mut simulation = Simulation::new(1, retention, keys);
    simulation.arrive(0, 0);
    simulation.run_without_faults();
    simulation.end(0, true, Ending::Done(answer()));
    simulation.pass(Duration::from_secs(90));
    simulation.arrive(0, 2);
    simulation.run_without_faults();
    assert_eq!(simulation.entries[0].coordinator.ledger().len(), 1);
    let again = simulation.arrive(0, 0);
    assert!(matches!(simulation.finished[&again], Finish::Unknown { .. }));
}

#[test]
fn an_entry_that_missed_records_accepts_new_orders_soon() {
    let seconds = Duration::from_secs;
    let keys = vec![
        key_created_at(EPOCH, 0),
        key_created_at(EPOCH, 1),
        key_created_at(EPOCH + seconds(20), 2),
    ];
    let mut simulation = Simulation::new(2, Retention::default(), keys);
    simulation.arrive(0, 0);
    simulation.run_without_faults();
    simulation.first_kept = simulation.log.len();
    simulation.crash(1);
    simulation.run_without_faults();
    let old = simulation.arrive(1, 1);
    assert!(matches!(simulation.finished[&old], Finish::Unknown { .. }));
    simulation.pass(seconds(20));
    let new = simulation.arrive(1, 2);
    simulation.run_without_faults();
    assert!(simulation.ran.contains(&new));
}

/// One random operation.
///
/// `DeliverDelayed` lets a delayed copy of an append arrive at the log. `DeclareGone` reports an
/// entry's incarnation as ended although it is running. `Trim` drops all records of the log.
#[derive(Clone, Debug)]
enum Op {
    Arrive { entry: usize, key: usize },
    Send { entry: usize, is_stored: bool, is_answered: bool, is_duplicated: bool },
    DeliverDelayed { is_deduplicated: bool },
    Read { entry: usize, count: usize },
    Done { entry: usize },
    NotRun { entry: usize },
    Unknown { entry: usize, has_run: bool },
    Cancel { request: RequestId },
    Crash { entry: usize },
    DeclareGone { entry: usize },
    Pass { ms: u64 },
    Trim,
}

const ENTRIES: usize = 3;
const KEYS: usize = 3;

fn op() -> impl Strategy<Value = Op> {
    let entry = || 0..ENTRIES;
    prop_oneof![
        6 => (entry(), 0..KEYS).prop_map(|(entry, key)| Op::Arrive { entry, key }),
        8 => (entry(), prop::bool::weighted(0.8), any::<bool>(), prop::bool::weighted(0.2)).prop_map(
            |(entry, is_stored, is_answered, is_duplicated)| Op::Send {
                entry, is_stored, is_answered, is_duplicated
            }
        ),
        1 => any::<bool>().prop_map(|is_deduplicated| Op::DeliverDelayed { is_deduplicated }),
        10 => (entry(), 1..4_usize).prop_map(|(entry, count)| Op::Read { entry, count }),
        2 => entry().prop_map(|entry| Op::Done { entry }),
        2 => entry().prop_map(|entry| Op::NotRun { entry }),
        1 => (entry(), any::<bool>()).prop_map(|(entry, has_run)| Op::Unknown { entry, has_run }),
        1 => (0..20_u64).prop_map(|request| Op::Cancel { request }),
        1 => entry().prop_map(|entry| Op::Crash { entry }),
        1 => entry().prop_map(|entry| Op::DeclareGone { entry }),
        3 => (1..3000_u64).prop_map(|ms| Op::Pass { ms }),
        1 => Just(Op::Trim),
    ]
}

fn act(simulation: &mut Simulation, op: Op) {
    match op {
        Op::Arrive { entry, key } => _ = simulation.arrive(entry, key),
        Op::Send { entry, is_stored, is_answered, is_duplicated } => {
            simulation.send(entry, is_stored, is_answered, is_duplicated);
        }
        Op::DeliverDelayed { is_deduplicated } => {
            if let Some(append) = simulation.delayed.pop() {
                simulation.store(append, is_deduplicated);
            }
        }
        Op::Read { entry, count } => simulation.read(entry, count),
        Op::Done { entry } => simulation.end(entry, true, Ending::Done(answer())),
        Op::NotRun { entry } => simulation.end(entry, false, Ending::NotRun),
        Op::Unknown { entry, has_run } => simulation.end(entry, has_run, Ending::Unknown),
        Op::Cancel { request } => {
            simulation.entries.iter_mut().for_each(|n| n.coordinator.cancel(request));
        }
        Op::Crash { entry } => simulation.crash(entry),
        Op::DeclareGone { entry } => {
            _ = simulation.gone.insert(simulation.entries[entry].owner.clone())
        }
        Op::Pass { ms } => simulation.pass(Duration::from_millis(ms)),
        Op::Trim => simulation.first_kept = simulation.log.len(),
    }
}

/// Runs simulations of random operations; each step checks the invariants.
fn explore(retention: Retention, keys: impl Fn() -> Vec<Key>, trims: bool) {
    let config = Config { cases: 3000, failure_persistence: None, ..Config::default() };
    let random = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(config, random);
    let result = runner.run(&prop::collection::vec(op(), 1..150), |ops| {
        let mut simulation = Simulation::new(ENTRIES, retention, keys());
        for op in ops {
            if trims || !matches!(op, Op::Trim) {
                act(&mut simulation, op);
            }
        }
        Ok(())
    });
    if let Err(error) = result {
        panic!("{error}");
    }
}

#[test]
fn no_order_runs_twice_whatever_happens() {
    explore(Retention::default(), || keys_without_time(KEYS), false);
}

#[test]
fn no_order_with_a_creation_time_in_its_key_runs_twice_after_records_expire() {
    let retention =
        Retention { claims: Duration::from_secs(5), max_claims: 2, ..Retention::default() };
    // Keys of callers with correct, fast and slow clocks.
    let clocks = [EPOCH, EPOCH + Duration::from_secs(25), EPOCH - Duration::from_secs(25)];
    explore(retention, move || (0..KEYS).map(|k| key_created_at(clocks[k], k)).collect(), true);
}
