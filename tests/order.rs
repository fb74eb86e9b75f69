//! Orders run at most once, whatever is lost, late, repeated or killed.

use {
    carobhitch::{
        event::{Finish, RequestId},
        order::{Arrival, Desk, Ending, Key, Owner, Step, Window},
        platform::Append,
        record::{Answer, Batch},
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

/// Record time at which a world begins.
const EPOCH: Duration = Duration::from_secs(1_000_000);
/// Time that a request is given.
const DEADLINE: Duration = Duration::from_secs(10);

struct Node {
    desk: Desk,
    owner: Owner,
    running: Vec<RequestId>,
}

/// Entries, their log, and what endpoints have run.
struct World {
    begun: Instant,
    time: Duration,
    window: Window,
    nodes: Vec<Node>,
    log: Vec<(Duration, Append)>,
    first: usize,
    late: Vec<Append>,
    gone: HashSet<Owner>,
    requests: HashMap<RequestId, usize>,
    keys: Vec<Key>,
    runs: HashMap<usize, u32>,
    finished: HashMap<RequestId, Finish>,
    ran: HashSet<RequestId>,
}

impl World {
    fn new(nodes: usize, window: Window, keys: Vec<Key>) -> Self {
        let mut world = Self {
            begun: Instant::now(),
            time: Duration::ZERO,
            window,
            nodes: Vec::new(),
            log: Vec::new(),
            first: 0,
            late: Vec::new(),
            gone: HashSet::new(),
            requests: HashMap::new(),
            keys,
            runs: HashMap::new(),
            finished: HashMap::new(),
            ran: HashSet::new(),
        };
        world.nodes = (0..nodes).map(|n| world.node(n, 1)).collect();
        world
    }

    fn node(&self, n: usize, incarnation: u64) -> Node {
        let owner = (format!("e{n}"), incarnation);
        Node { desk: Desk::new(owner.clone(), self.window), owner, running: Vec::new() }
    }

    fn now(&self) -> Instant {
        self.begun + self.time
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
        self.nodes[n].desk.arrive(now, arrival, |o| gone.contains(o));
        self.step(n);
        id
    }

    /// Carries out what the desk decided.
    fn step(&mut self, n: usize) {
        for step in self.nodes[n].desk.steps() {
            match step {
                Step::Run(id) => {
                    assert!(self.ran.insert(id), "request {id} was started twice");
                    assert!(!self.finished.contains_key(&id), "request {id} ran once refused");
                    self.nodes[n].running.push(id);
                }
                Step::Finish(id, finish) => {
                    assert!(!self.ran.contains(&id), "request {id} was refused once run");
                    assert_eq!(self.finished.insert(id, finish), None, "answered twice");
                }
            }
        }
    }

    fn store(&mut self, append: Append, is_remembered: bool) {
        if !is_remembered || self.log.iter().all(|(_, a)| a.id != append.id) {
            self.log.push((EPOCH + self.time, append));
        }
    }

    fn send(&mut self, n: usize, is_stored: bool, is_answered: bool, is_copied: bool) {
        let now = self.now();
        let Some(append) = self.nodes[n].desk.poll(now) else { return };
        if is_copied {
            self.late.push(append.clone());
        }
        if is_stored {
            let id = append.id.clone();
            self.store(append, true);
            if is_answered {
                self.nodes[n].desk.appended(&id, true);
            }
        }
    }

    fn read(&mut self, n: usize, count: usize) {
        for _ in 0..count {
            let now = self.now();
            let desk = &mut self.nodes[n].desk;
            desk.miss(self.first as u64);
            let next = desk.ledger().next() as usize;
            let Some((at, append)) = self.log.get(next) else { break };
            let batch: Batch = serde_json::from_str(append.data.get()).expect("a batch");
            desk.read(now, next as u64, *at, &batch);
        }
        self.step(n);
    }

    /// Ends the run that began first on an entry.
    fn end(&mut self, n: usize, has_run: bool, ending: Ending) {
        if self.nodes[n].running.is_empty() {
            return;
        }
        let id = self.nodes[n].running.remove(0);
        let key = self.requests[&id];
        let runs = self.runs.entry(key).or_default();
        *runs += u32::from(has_run);
        assert!(*runs <= 1, "key {key} ran {runs} times");
        if ending == Ending::NotRun {
            assert_eq!(*runs, 0, "key {key} was said not to have run");
        }
        self.nodes[n].desk.ended(id, ending);
        self.step(n);
    }

    fn crash(&mut self, n: usize) {
        // What was on its way to an endpoint may still run there.
        while !self.nodes[n].running.is_empty() {
            self.end(n, true, Ending::Unknown);
        }
        let (_, incarnation) = self.nodes[n].owner.clone();
        self.gone.insert(self.nodes[n].owner.clone());
        self.nodes[n] = self.node(n, incarnation + 1);
    }

    fn pass(&mut self, time: Duration) {
        self.time += time;
        for n in 0..self.nodes.len() {
            let (now, gone) = (self.now(), &self.gone);
            self.nodes[n].desk.tick(now, |o| gone.contains(o));
            self.step(n);
        }
    }

    /// Everything works for a while.
    fn calm(&mut self) {
        for _ in 0..12 {
            for n in 0..self.nodes.len() {
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

fn opaque(count: usize) -> Vec<Key> {
    (0..count).map(|k| key(&format!("order-{k}"))).collect()
}

fn key(text: &str) -> Key {
    Key::new(&String::from("bookings"), &String::from("akureyri"), text)
}

/// Key that a caller draws whose clock shows `time`.
fn drawn(time: Duration, number: usize) -> Key {
    let millis = time.as_millis();
    key(&format!("{:08x}-{:04x}-7000-8000-{number:012x}", millis >> 16, millis & 0xffff))
}

fn world(nodes: usize) -> World {
    World::new(nodes, Window::default(), opaque(4))
}

#[test]
fn an_order_whose_answer_was_lost_runs_once() {
    let mut world = world(2);
    world.arrive(0, 0);
    world.calm();
    world.end(0, true, Ending::Done(answer()));
    world.calm();
    let again = world.arrive(1, 0);
    assert_eq!(world.finished[&again], Finish::Stored(answer()));
}

#[test]
fn a_retry_through_another_entry_waits_for_the_first() {
    let mut world = world(2);
    world.arrive(0, 0);
    world.calm();
    let again = world.arrive(1, 0);
    world.calm();
    assert!(!world.finished.contains_key(&again) && !world.ran.contains(&again));
    world.end(0, true, Ending::Done(answer()));
    world.calm();
    assert_eq!(world.finished[&again], Finish::Stored(answer()));
}

#[test]
fn an_order_of_a_killed_entry_is_unknown_and_never_run_again() {
    let mut world = world(2);
    world.arrive(0, 0);
    world.calm();
    let waiting = world.arrive(1, 0);
    world.crash(0);
    world.calm();
    assert!(matches!(world.finished[&waiting], Finish::Unknown { .. }));
    let again = world.arrive(0, 0);
    world.calm();
    assert!(matches!(world.finished[&again], Finish::Unknown { .. }));
}

#[test]
fn an_order_refused_during_an_outage_runs_later_through_another_entry() {
    let mut world = world(2);
    let refused = world.arrive(0, 0);
    // The append happens, but its answer is lost and nothing can be read.
    world.send(0, true, false, false);
    world.pass(Duration::from_secs(3));
    assert!(matches!(world.finished[&refused], Finish::NotRun { .. }));
    let during = world.arrive(0, 1);
    assert!(matches!(world.finished[&during], Finish::NotRun { .. }));
    let later = world.arrive(1, 0);
    world.calm();
    assert!(world.ran.contains(&later));
}

#[test]
fn a_refusal_of_a_repeated_key_is_unknown_unless_its_claim_won() {
    let mut world = world(1);
    let arrival = Arrival {
        id: 7,
        key: world.keys[0],
        request: 0,
        deadline: world.now() + DEADLINE,
        is_repeat: true,
    };
    let now = world.now();
    world.nodes[0].desk.arrive(now, arrival, |_| false);
    world.pass(Duration::from_secs(3));
    assert!(matches!(world.finished[&7], Finish::Unknown { .. }));
}

#[test]
fn a_released_order_goes_to_the_next_who_waits() {
    let mut world = world(2);
    world.arrive(0, 0);
    world.calm();
    let elsewhere = world.arrive(1, 0);
    world.end(0, false, Ending::NotRun);
    world.calm();
    assert!(world.ran.contains(&elsewhere));
}

#[test]
fn a_release_that_lands_twice_frees_no_later_claim() {
    let mut world = world(2);
    world.arrive(0, 0);
    world.calm();
    world.end(0, false, Ending::NotRun);
    world.send(0, true, true, true);
    world.calm();
    let again = world.arrive(0, 0);
    world.calm();
    assert!(world.ran.contains(&again));
    // The platform has forgotten the name of the append.
    let late = world.late.remove(0);
    world.store(late, false);
    let elsewhere = world.arrive(1, 0);
    world.calm();
    assert!(!world.ran.contains(&elsewhere));
}

#[test]
fn a_key_that_names_two_requests_is_refused() {
    let mut world = world(1);
    world.keys.push(world.keys[0]);
    world.arrive(0, 0);
    let other = world.arrive(0, 4);
    assert!(matches!(world.finished[&other], Finish::Failed { .. }));
}

#[test]
fn many_orders_share_one_append() {
    let mut world = World::new(1, Window::default(), opaque(100));
    world.arrive(0, 0);
    world.send(0, true, true, false);
    for key in 1..100 {
        world.arrive(0, key);
    }
    world.calm();
    assert_eq!((world.log.len(), world.ran.len()), (2, 100));
}

#[test]
fn a_forgotten_key_is_unknown_if_it_tells_its_age() {
    let window = Window { claims: Duration::from_secs(60), ..Window::default() };
    let keys = vec![drawn(EPOCH, 0), drawn(EPOCH, 1), drawn(EPOCH + Duration::from_secs(90), 2)];
    let mut world = World::new(1, window, keys);
    world.arrive(0, 0);
    world.calm();
    world.end(0, true, Ending::Done(answer()));
    world.pass(Duration::from_secs(90));
    world.arrive(0, 2);
    world.calm();
    assert_eq!(world.nodes[0].desk.ledger().len(), 1);
    let again = world.arrive(0, 0);
    assert!(matches!(world.finished[&again], Finish::Unknown { .. }));
}

#[test]
fn an_entry_that_missed_records_soon_takes_new_orders() {
    let seconds = Duration::from_secs;
    let keys = vec![drawn(EPOCH, 0), drawn(EPOCH, 1), drawn(EPOCH + seconds(20), 2)];
    let mut world = World::new(2, Window::default(), keys);
    world.arrive(0, 0);
    world.calm();
    world.first = world.log.len();
    world.crash(1);
    world.calm();
    let old = world.arrive(1, 1);
    assert!(matches!(world.finished[&old], Finish::Unknown { .. }));
    world.pass(seconds(20));
    let new = world.arrive(1, 2);
    world.calm();
    assert!(world.ran.contains(&new));
}

#[derive(Clone, Debug)]
enum Op {
    Arrive { node: usize, key: usize },
    Send { node: usize, is_stored: bool, is_answered: bool, is_copied: bool },
    Land { is_remembered: bool },
    Read { node: usize, count: usize },
    Done { node: usize },
    NotRun { node: usize },
    Unknown { node: usize, has_run: bool },
    Cancel { request: RequestId },
    Crash { node: usize },
    Suspect { node: usize },
    Pass { ms: u64 },
    Trim,
}

const NODES: usize = 3;
const KEYS: usize = 3;

fn op() -> impl Strategy<Value = Op> {
    let node = || 0..NODES;
    prop_oneof![
        6 => (node(), 0..KEYS).prop_map(|(node, key)| Op::Arrive { node, key }),
        8 => (node(), prop::bool::weighted(0.8), any::<bool>(), prop::bool::weighted(0.2)).prop_map(
            |(node, is_stored, is_answered, is_copied)| Op::Send {
                node, is_stored, is_answered, is_copied
            }
        ),
        1 => any::<bool>().prop_map(|is_remembered| Op::Land { is_remembered }),
        10 => (node(), 1..4_usize).prop_map(|(node, count)| Op::Read { node, count }),
        2 => node().prop_map(|node| Op::Done { node }),
        2 => node().prop_map(|node| Op::NotRun { node }),
        1 => (node(), any::<bool>()).prop_map(|(node, has_run)| Op::Unknown { node, has_run }),
        1 => (0..20_u64).prop_map(|request| Op::Cancel { request }),
        1 => node().prop_map(|node| Op::Crash { node }),
        1 => node().prop_map(|node| Op::Suspect { node }),
        3 => (1..3000_u64).prop_map(|ms| Op::Pass { ms }),
        1 => Just(Op::Trim),
    ]
}

fn act(world: &mut World, op: Op) {
    match op {
        Op::Arrive { node, key } => _ = world.arrive(node, key),
        Op::Send { node, is_stored, is_answered, is_copied } => {
            world.send(node, is_stored, is_answered, is_copied);
        }
        Op::Land { is_remembered } => {
            if let Some(append) = world.late.pop() {
                world.store(append, is_remembered);
            }
        }
        Op::Read { node, count } => world.read(node, count),
        Op::Done { node } => world.end(node, true, Ending::Done(answer())),
        Op::NotRun { node } => world.end(node, false, Ending::NotRun),
        Op::Unknown { node, has_run } => world.end(node, has_run, Ending::Unknown),
        Op::Cancel { request } => {
            world.nodes.iter_mut().for_each(|n| n.desk.cancel(request));
        }
        Op::Crash { node } => world.crash(node),
        Op::Suspect { node } => _ = world.gone.insert(world.nodes[node].owner.clone()),
        Op::Pass { ms } => world.pass(Duration::from_millis(ms)),
        Op::Trim => world.first = world.log.len(),
    }
}

/// Runs worlds of random events; every step checks itself.
fn explore(window: Window, keys: impl Fn() -> Vec<Key>, trims: bool) {
    let config = Config { cases: 3000, failure_persistence: None, ..Config::default() };
    let random = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(config, random);
    let result = runner.run(&prop::collection::vec(op(), 1..150), |ops| {
        let mut world = World::new(NODES, window, keys());
        for op in ops {
            if trims || !matches!(op, Op::Trim) {
                act(&mut world, op);
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
    explore(Window::default(), || opaque(KEYS), false);
}

#[test]
fn no_order_whose_key_tells_its_age_runs_twice_though_records_are_forgotten() {
    let window = Window { claims: Duration::from_secs(5), max_claims: 2, ..Window::default() };
    // Keys of callers whose clocks are wrong in either direction.
    let clocks = [EPOCH, EPOCH + Duration::from_secs(25), EPOCH - Duration::from_secs(25)];
    explore(window, move || (0..KEYS).map(|k| drawn(clocks[k], k)).collect(), true);
}
