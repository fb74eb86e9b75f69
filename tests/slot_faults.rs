//! Property test of the slot protocol under random faults: messages are lost, delayed, duplicated
//! and reordered while entries pause, end and join.

use {
    carobhitch::slot::{Envelope, Liveness, Peer, Permit, Spec, Table},
    proptest::{
        prelude::*,
        test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
    },
    std::time::{Duration, Instant},
};

const SLOTS: u32 = 8;
const ENDPOINTS: usize = 2;
const CASES: u32 = 10_000;
const MAX_STEPS: usize = 400;
const MAX_ENTRIES: usize = 8;

/// One random event; its numbers select an entry, a message or an amount.
#[derive(Clone, Debug)]
enum Step {
    Tick(usize),
    Deliver(usize),
    DeliverAll(usize),
    Duplicate(usize),
    Lose(usize),
    Demand(usize, usize),
    Use(usize, usize),
    Finish(usize, usize),
    Pass(u64),
    Pause(usize),
    Resume(usize),
    Kill(usize),
    /// Reports to an entry that another one has ended, if it has.
    ReportEnd(usize, usize),
    /// Reports to an entry that another one is suspected.
    Suspect(usize, usize),
    /// Withdraws the suspicion.
    Clear(usize, usize),
    /// Declares a number of endpoints to an entry.
    Declare(usize, usize),
    /// Adds an entry that takes its list of members from another one.
    Join(usize),
}

fn step() -> impl Strategy<Value = Step> {
    let entry = 0..MAX_ENTRIES;
    let any = 0..1000usize;
    prop_oneof![
        8 => entry.clone().prop_map(Step::Tick),
        20 => any.clone().prop_map(Step::Deliver),
        6 => entry.clone().prop_map(Step::DeliverAll),
        2 => any.clone().prop_map(Step::Duplicate),
        3 => any.clone().prop_map(Step::Lose),
        6 => (entry.clone(), 0..20usize).prop_map(|(e, n)| Step::Demand(e, n)),
        6 => (entry.clone(), 1..9usize).prop_map(|(e, n)| Step::Use(e, n)),
        6 => (entry.clone(), 1..9usize).prop_map(|(e, n)| Step::Finish(e, n)),
        5 => (1..1200u64).prop_map(Step::Pass),
        1 => entry.clone().prop_map(Step::Pause),
        2 => entry.clone().prop_map(Step::Resume),
        1 => entry.clone().prop_map(Step::Kill),
        4 => (entry.clone(), entry.clone()).prop_map(|(e, o)| Step::ReportEnd(e, o)),
        3 => (entry.clone(), entry.clone()).prop_map(|(e, o)| Step::Suspect(e, o)),
        4 => (entry.clone(), entry.clone()).prop_map(|(e, o)| Step::Clear(e, o)),
        1 => (entry.clone(), 1..=ENDPOINTS).prop_map(|(e, n)| Step::Declare(e, n)),
        2 => entry.clone().prop_map(Step::Join),
    ]
}

struct Entry {
    me: Peer,
    table: Table,
    permits: Vec<Permit>,
    paused: bool,
    dead: bool,
}

struct Zone {
    now: Instant,
    entries: Vec<Entry>,
    links: Vec<(Peer, Envelope)>,
}

fn service() -> String {
    String::from("quote")
}

fn vm(endpoint: usize) -> String {
    format!("vm-{endpoint}")
}

fn declared(endpoints: usize) -> [(String, Vec<Spec>); 1] {
    let spec = |endpoint| Spec { vm: vm(endpoint), slots: SLOTS, connections: 64 };
    [(service(), (0..endpoints).map(spec).collect())]
}

impl Zone {
    fn new(entries: usize) -> Self {
        let mut zone = Self { now: Instant::now(), entries: Vec::new(), links: Vec::new() };
        (0..entries).for_each(|index| zone.join(index));
        zone
    }

    /// Adds an incarnation that takes its list of members from another one; the others learn of it
    /// only from its messages.
    fn join(&mut self, source: usize) {
        if self.entries.len() >= MAX_ENTRIES {
            return;
        }
        let number = self.entries.len() as u64 * 7 % 11;
        let me = (format!("entry-{number}"), number + 1);
        let mut table = Table::new(self.now, me.clone());
        let running: Vec<_> = self.entries.iter().filter(|entry| !entry.dead).collect();
        match running.get(source % running.len().max(1)) {
            Some(source) => {
                let known = source.table.running().chain([&source.me]);
                let known = known.map(|peer| (peer.clone(), Liveness::Alive));
                table.set_members(self.now, known.collect::<Vec<_>>());
            }
            None => table.allow_bootstrap(),
        }
        table.set_endpoints(self.now, declared(ENDPOINTS));
        self.entries.push(Entry { me, table, permits: Vec::new(), paused: false, dead: false });
    }

    /// An entry, if it is running and not paused.
    fn acting(&mut self, index: usize) -> Option<&mut Entry> {
        let index = index % self.entries.len();
        self.entries.get_mut(index).filter(|entry| !entry.dead && !entry.paused)
    }

    fn apply(&mut self, step: &Step) {
        let now = self.now;
        match *step {
            Step::Tick(index) => self.with_acting(index, |entry| entry.table.tick(now)),
            Step::Deliver(index) => self.deliver(index),
            Step::DeliverAll(index) => self.deliver_all(index),
            Step::Duplicate(index) => {
                if let Some(found) = self.links.get(index % self.links.len().max(1)).cloned() {
                    self.links.push(found);
                }
            }
            Step::Lose(index) if !self.links.is_empty() => {
                self.links.swap_remove(index % self.links.len());
            }
            Step::Lose(_) => {}
            Step::Demand(index, waiting) => {
                self.with_acting(index, |entry| entry.table.set_demand(now, &service(), waiting));
            }
            Step::Use(index, count) => self.with_acting(index, |entry| {
                let acquired =
                    (0..count).map_while(|_| entry.table.acquire(now, &service(), |_| true));
                entry.permits.extend(acquired.collect::<Vec<_>>());
            }),
            Step::Finish(index, count) => self.with_acting(index, |entry| {
                for permit in entry.permits.drain(..count.min(entry.permits.len())) {
                    entry.table.release(now, permit);
                }
            }),
            Step::Pass(millis) => self.now += Duration::from_millis(millis),
            Step::Pause(index) => self.with_acting(index, |entry| entry.paused = true),
            Step::Resume(index) => {
                self.entries.iter_mut().skip(index).take(1).for_each(|e| e.paused = false);
            }
            Step::Kill(index) => self.kill(index),
            Step::ReportEnd(index, other) => self.report_end(index, other),
            Step::Suspect(index, other) => self.set_liveness(index, other, Liveness::Suspected),
            Step::Clear(index, other) => self.set_liveness(index, other, Liveness::Alive),
            Step::Declare(index, endpoints) => {
                self.with_acting(index, |entry| {
                    entry.table.set_endpoints(now, declared(endpoints))
                });
            }
            Step::Join(source) => self.join(source),
        }
        self.collect();
    }

    fn with_acting(&mut self, index: usize, act: impl FnOnce(&mut Entry)) {
        if let Some(entry) = self.acting(index) {
            act(entry);
        }
    }

    fn kill(&mut self, index: usize) {
        let running = self.entries.iter().filter(|entry| !entry.dead).count();
        if running > 1 {
            self.entries.iter_mut().skip(index).take(1).for_each(|e| e.dead = true);
        }
    }

    /// Reports to an entry that another one has ended, if it has.
    fn report_end(&mut self, index: usize, other: usize) {
        if self.entries.get(other).is_some_and(|entry| entry.dead) {
            self.set_liveness(index, other, Liveness::Gone);
        }
    }

    fn set_liveness(&mut self, index: usize, other: usize, liveness: Liveness) {
        let Some(peer) = self.entries.get(other).map(|entry| entry.me.clone()) else { return };
        let now = self.now;
        self.with_acting(index, |entry| entry.table.set_members(now, [(peer, liveness)]));
    }

    fn deliver(&mut self, index: usize) {
        if self.links.is_empty() {
            return;
        }
        let (from, envelope) = self.links.swap_remove(index % self.links.len());
        let now = self.now;
        let receiver = self.entries.iter_mut().find(|entry| entry.me == envelope.to);
        match receiver {
            Some(entry) if entry.paused => self.links.push((from, envelope)),
            Some(entry) if !entry.dead => entry.table.receive(now, &from, envelope.message),
            _ => {}
        }
    }

    /// Delivers all queued messages to one entry.
    fn deliver_all(&mut self, index: usize) {
        let Some(me) = self.acting(index).map(|entry| entry.me.clone()) else { return };
        let now = self.now;
        let links = std::mem::take(&mut self.links);
        let (here, elsewhere) = links.into_iter().partition::<Vec<_>, _>(|(_, s)| s.to == me);
        self.links = elsewhere;
        for (from, envelope) in here {
            self.with_acting(index, |entry| entry.table.receive(now, &from, envelope.message));
        }
    }

    /// Moves the entries' outgoing messages to the links.
    fn collect(&mut self) {
        for entry in self.entries.iter_mut().filter(|entry| !entry.dead) {
            let envelopes = entry.table.drain_outbox().into_iter();
            self.links.extend(envelopes.map(|envelope| (entry.me.clone(), envelope)));
        }
    }

    /// Number of an endpoint's slots held by all running entries together.
    fn held(&self, endpoint: usize) -> u32 {
        let running = self.entries.iter().filter(|entry| !entry.dead);
        running.map(|entry| entry.table.held_on(&vm(endpoint))).sum()
    }

    /// Resumes all entries, corrects what they know about each other and delivers all messages.
    fn heal(&mut self) {
        self.entries.iter_mut().for_each(|entry| entry.paused = false);
        for _ in 0..12 {
            self.now += Duration::from_millis(600);
            for index in 0..self.entries.len() {
                (0..self.entries.len()).for_each(|other| self.report_end(index, other));
                let dead: Vec<bool> = self.entries.iter().map(|entry| entry.dead).collect();
                for other in (0..dead.len()).filter(|other| !dead[*other]) {
                    self.set_liveness(index, other, Liveness::Alive);
                }
                self.with_acting(index, |entry| entry.table.allow_bootstrap());
                self.apply(&Step::Declare(index, ENDPOINTS));
                self.apply(&Step::Demand(index, 0));
                self.apply(&Step::Tick(index));
            }
            while !self.links.is_empty() {
                self.apply(&Step::Deliver(0));
            }
        }
    }
}

#[test]
fn an_endpoint_is_never_overloaded_and_every_slot_is_recovered() {
    let config = Config { cases: CASES, failure_persistence: None, ..Config::default() };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let cases = (1..4usize, any::<bool>(), prop::collection::vec(step(), 1..MAX_STEPS));
    let explored = runner.run(&cases, |(entries, warm, steps)| {
        let mut zone = Zone::new(entries);
        if warm {
            zone.heal();
        }
        for step in &steps {
            zone.apply(step);
            for endpoint in 0..ENDPOINTS {
                prop_assert!(zone.held(endpoint) <= SLOTS, "{} held", zone.held(endpoint));
            }
        }
        zone.heal();
        for endpoint in 0..ENDPOINTS {
            prop_assert_eq!(zone.held(endpoint), SLOTS, "slots held at the end");
        }
        Ok(())
    });
    if let Err(error) = explored {
        panic!("{error}");
    }
}
