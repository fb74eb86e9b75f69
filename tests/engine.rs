//! Actions that an entry's engine returns for single events.

use {
    carobhitch::{
        engine::{Engine, Shared},
        event::{Action, End, Event, Finish, Stream},
        fleet::{Declaration, Pool, Service, Vm},
        id::{AttemptId, Incarnation, Offset},
        platform::{self, Append, Page},
        record::{Body, Member, Record},
        request::{Class, Request},
        state::State,
        wire::Message,
    },
    std::{
        net::{Ipv4Addr, SocketAddr},
        sync::Arc,
        time::{Duration, Instant},
    },
};

const TICK: Duration = Duration::from_millis(10);
const WALL: Duration = Duration::from_secs(1_000_000);

fn address(port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, port))
}

fn member(id: &str, incarnation: Incarnation, port: u16) -> Member {
    let (link, rpc) = (address(port), address(port + 1));
    Member { id: id.into(), incarnation, zone: "a".into(), link, rpc }
}

fn declaration() -> Declaration {
    let mut declaration = Declaration::default();
    declaration.pools.insert("pool".into(), Pool::default());
    let service: Service = serde_json::from_str(r#"{"pool": "pool"}"#).expect("a service");
    declaration.services.insert("quotes".into(), service);
    let (zone, rack) = (String::from("a"), String::from("r"));
    let vm = Vm { pool: "pool".into(), zone, rack, address: address(9) };
    declaration.vms.insert("vm".into(), vm);
    declaration
}

/// An engine in simulated time, with its log in memory.
struct Harness {
    engine: Engine,
    now: Instant,
    log: Vec<Append>,
    orders: Vec<Append>,
}

impl Harness {
    fn new() -> Self {
        let now = Instant::now();
        let me = member("e1", 1, 100);
        let mut engine = Engine::new(now, me, vec![address(200)], Arc::new(Shared::default()));
        engine.set_wall_clock(now, WALL);
        Self { engine, now, log: Vec::new(), orders: Vec::new() }
    }

    /// Creates a harness whose engine has joined and holds the endpoint's slots.
    fn joined() -> Self {
        let mut harness = Self::new();
        harness.write(Body::Declare { declaration: Box::new(declaration()), expected: None });
        harness.read();
        harness.run(Duration::from_secs(1));
        harness.read();
        harness.run(Duration::from_secs(1));
        harness
    }

    fn write(&mut self, body: Body) {
        let operation = format!("write-{}", self.log.len());
        let record = Record { operation: operation.clone(), author: "op".into(), at: WALL, body };
        self.log.push(Append::new(operation, &record).expect("encode a record"));
    }

    fn handle(&mut self, event: Event) -> Vec<Action> {
        let actions = self.engine.handle(self.now, event);
        self.keep(&actions);
        actions
    }

    /// Advances the time, with a tick each [`TICK`]; returns all actions.
    fn run(&mut self, time: Duration) -> Vec<Action> {
        let end = self.now + time;
        let mut all = Vec::new();
        while self.now < end {
            self.now += TICK;
            let actions = self.engine.tick(self.now);
            self.keep(&actions);
            all.extend(actions);
        }
        all
    }

    /// Adds the engine's appends to the log, each only once.
    fn keep(&mut self, actions: &[Action]) {
        for action in actions {
            let Action::Append { stream, record } = action else { continue };
            let log = match stream {
                Stream::Fleet => &mut self.log,
                Stream::Orders => &mut self.orders,
                Stream::Snapshots => continue,
            };
            if log.iter().all(|known| known.id != record.id) {
                log.push(record.clone());
            }
        }
    }

    /// Reads the fleet's records back.
    fn read(&mut self) -> Vec<Action> {
        let page = page(&self.log);
        self.handle(Event::Read { stream: Stream::Fleet, page })
    }

    fn arrive(&mut self, id: u64, class: Class, key: Option<&str>) -> Vec<Action> {
        self.arrive_from(false, id, class, key)
    }

    /// The same for a request that another entry may have relayed.
    fn arrive_from(
        &mut self,
        relayed: bool,
        id: u64,
        class: Class,
        key: Option<&str>,
    ) -> Vec<Action> {
        let request = Request {
            service: "quotes".into(),
            team: "team".into(),
            class,
            deadline: self.now + Duration::from_secs(5),
            key: key.map(String::from),
            repeat: false,
        };
        let (fingerprint, repeatable) = (7, true);
        self.handle(Event::Arrived { id, request, fingerprint, repeatable, relayed })
    }
}

fn page(log: &[Append]) -> Page {
    let records = log.iter().zip(0..).map(|(append, offset)| platform::Record {
        offset,
        at_ms: WALL.as_millis() as u64,
        data: append.data.clone(),
    });
    Page { first: 0, end: log.len() as Offset, records: records.collect() }
}

fn runs(actions: &[Action]) -> usize {
    actions.iter().filter(|action| matches!(action, Action::Run { .. })).count()
}

fn attempt(actions: &[Action]) -> AttemptId {
    let attempt = actions.iter().find_map(|action| match action {
        Action::Run { attempt, .. } => Some(*attempt),
        _ => None,
    });
    attempt.expect("an attempt")
}

fn refusals(actions: &[Action]) -> usize {
    let refused = |a: &&Action| matches!(a, Action::Finish { finish: Finish::NotRun { .. }, .. });
    actions.iter().filter(refused).count()
}

#[test]
fn a_quick_request_runs_at_once_on_a_free_slot() {
    let mut harness = Harness::joined();
    assert_eq!(runs(&harness.arrive(1, Class::Quick, None)), 1);
}

#[test]
fn no_more_exchanges_run_than_the_endpoint_has_slots() {
    let mut harness = Harness::joined();
    let run: usize = (0..20).map(|id| runs(&harness.arrive(id, Class::Quick, None))).sum();
    assert_eq!(run, 8);
}

#[test]
fn an_order_runs_only_after_its_claim_was_read_back() {
    let mut harness = Harness::joined();
    let mut before = harness.arrive(1, Class::Order, Some("key"));
    before.extend(harness.run(Duration::from_millis(500)));
    assert_eq!(runs(&before), 0);
    let page = page(&harness.orders);
    assert_eq!(runs(&harness.handle(Event::Read { stream: Stream::Orders, page })), 1);
}

#[test]
fn an_order_whose_claim_is_never_read_back_is_refused_long_before_its_deadline() {
    let mut harness = Harness::joined();
    harness.arrive(1, Class::Order, Some("key"));
    let actions = harness.run(Duration::from_secs(3));
    assert_eq!((runs(&actions), refusals(&actions)), (0, 1));
}

#[test]
fn an_entry_that_has_not_joined_relays_and_runs_nothing() {
    let mut harness = Harness::new();
    let mut state = State::default();
    let bodies = [
        Body::Declare { declaration: Box::new(declaration()), expected: None },
        Body::Join { entry: member("e2", 2, 200) },
    ];
    for (offset, body) in bodies.into_iter().enumerate() {
        let (operation, author) = (offset.to_string(), "op".into());
        state.apply(offset as Offset, &Record { operation, author, at: WALL, body });
    }
    harness.handle(Event::ReadFailed { stream: Stream::Fleet, first: None });
    let message = Message::State(Box::new(state));
    harness.handle(Event::Message { from: "e2".into(), incarnation: 2, message });
    let actions = harness.arrive(1, Class::Quick, None);
    assert_eq!(runs(&actions), 0);
    let relayed = |a: &Action| matches!(a, Action::Relay { link, .. } if *link == address(200));
    assert!(actions.iter().any(relayed), "{actions:?}");
}

#[test]
fn an_entry_without_access_to_the_log_continues_serving() {
    let mut harness = Harness::joined();
    for _ in 0..60 {
        harness.handle(Event::ReadFailed { stream: Stream::Fleet, first: None });
        harness.run(Duration::from_secs(1));
    }
    assert_eq!(runs(&harness.arrive(1, Class::Quick, None)), 1);
}

#[test]
fn requests_for_a_drained_endpoint_are_refused_at_once() {
    let mut harness = Harness::joined();
    harness.write(Body::Drain { vm: "vm".into() });
    harness.read();
    let actions = harness.arrive(1, Class::Quick, None);
    assert_eq!((runs(&actions), refusals(&actions)), (0, 1));
}

#[test]
fn requests_are_refused_at_once_after_the_only_endpoint_reported_that_it_is_leaving() {
    let mut harness = Harness::joined();
    let attempt = attempt(&harness.arrive(1, Class::Quick, None));
    let end = End::Answered { status: 200, leaving: true, kept: None };
    harness.handle(Event::Ended { id: 1, attempt, end });
    let actions = harness.arrive(2, Class::Quick, None);
    assert_eq!((runs(&actions), refusals(&actions)), (0, 1));
}

#[test]
fn a_drain_is_confirmed_only_once_the_last_exchange_has_ended() {
    let mut harness = Harness::joined();
    let attempt = attempt(&harness.arrive(1, Class::Quick, None));
    harness.write(Body::Drain { vm: "vm".into() });
    harness.read();
    let confirmed = |log: &[Append]| log.iter().any(|record| record.id.starts_with("emptied-"));
    harness.run(Duration::from_secs(2));
    assert!(!confirmed(&harness.log));
    let end = End::Answered { status: 200, leaving: false, kept: None };
    harness.handle(Event::Ended { id: 1, attempt, end });
    harness.run(Duration::from_secs(1));
    assert!(confirmed(&harness.log));
}

#[test]
fn an_incarnation_that_has_ended_according_to_the_log_asks_to_be_stopped() {
    let mut harness = Harness::joined();
    harness.write(Body::Gone { entry: "e1".into(), incarnation: 1 });
    let actions = harness.read();
    assert!(actions.iter().any(|action| matches!(action, Action::Expelled)), "{actions:?}");
}

/// Number of endpoints that a request is sent to whose exchange breaks off each time.
fn broken_exchanges(relayed: bool) -> usize {
    let mut harness = Harness::joined();
    let mut actions = harness.arrive_from(relayed, 1, Class::Quick, None);
    let mut exchanges = 0;
    while runs(&actions) > 0 {
        exchanges += 1;
        let attempt = attempt(&actions);
        actions = harness.handle(Event::Ended { id: 1, attempt, end: End::Broken });
        actions.extend(harness.run(Duration::from_millis(50)));
    }
    exchanges
}

#[test]
fn a_request_that_crashes_its_endpoints_is_sent_to_three_at_most_also_if_entries_relay_it() {
    let direct = broken_exchanges(false);
    let by_relay = broken_exchanges(true);
    assert!((1..=3).contains(&direct), "{direct} without a relay");
    assert!(by_relay * 3 <= 3, "{by_relay} at each of three entries that it is relayed to");
}
