//! Load generator: callers that send entries quick calls, long watches, and orders with keys.
//!
//! Each caller is a thread that makes one request after the other. Some orders are repeated through
//! another entry although they were answered, and some are abandoned early and repeated, as by a
//! caller whose response was lost.

use {
    crate::{
        caller::{self, End, Request},
        client,
        endpoint::Ledger,
        order_key,
        totals::{Report, Totals},
        work::Work,
    },
    carobhitch::{id::ServiceId, request::Class},
    crossbeam::{channel, thread},
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::{
        net::SocketAddr,
        time::{Duration, Instant, SystemTime, UNIX_EPOCH},
    },
};

/// One order in this many is repeated after its response.
const REPEATED_ONE_IN: u32 = 10;
/// One order in this many is abandoned early and repeated.
const ABANDONED_ONE_IN: u32 = 10;
/// One body in this many is large.
const LARGE_ONE_IN: u32 = 20;
/// Length of a large body.
const LARGE_BYTES: usize = 256 << 10;
/// Upper bound of the length of a small body.
const SMALL_BYTES: usize = 2 << 10;
/// Capacity of the channel of ended requests that are not yet counted.
const BACKLOG: usize = 1024;

/// Callers of one class.
#[derive(Clone, Copy, Debug)]
pub struct Group {
    /// Class of their requests.
    pub class: Class,
    /// Number of callers.
    pub callers: u32,
    /// Minimum and maximum time that the endpoint takes for a request.
    pub work_ms: (u64, u64),
    /// Deadline of a request.
    pub deadline: Duration,
    /// Maximum time between two requests of a caller.
    pub think_ms: u64,
}

/// Settings of a run.
#[derive(Clone, Debug)]
pub struct Config {
    /// Entries that get the requests.
    pub entries: Vec<SocketAddr>,
    /// Entries that are killed during the run; their connections may break.
    pub killed: Vec<SocketAddr>,
    /// Control addresses of the endpoints whose ledgers are read at the end.
    pub endpoints: Vec<SocketAddr>,
    /// Services to which the requests go.
    pub services: Vec<ServiceId>,
    /// Number of teams among the callers.
    pub teams: u32,
    /// Groups of callers.
    pub groups: Vec<Group>,
    /// How long requests are made.
    pub duration: Duration,
    /// Maximum number of attempts of one request.
    pub max_attempts: usize,
    /// Seed of the random requests.
    pub seed: u64,
}

/// One caller, which runs on a thread of its own.
struct Caller<'a> {
    config: &'a Config,
    group: Group,
    name: String,
    team: String,
    random: SmallRng,
    requests_made: u64,
}

/// Runs the callers and reads the endpoints' ledgers.
pub fn run(config: &Config) -> client::Result<Report> {
    let (sender, receiver) = channel::bounded(BACKLOG);
    let until = Instant::now() + config.duration;
    let mut totals = Totals::new(config.killed.iter().copied());
    // A panic of a caller is passed on once the other callers have run to their end, since a report
    // without its requests would show promises as kept that were not checked.
    let callers = thread::scope(|scope| {
        for caller in callers(config) {
            let sender = sender.clone();
            scope.spawn(move |_| caller.run(until, &sender));
        }
        drop(sender);
        receiver.iter().for_each(|(request, trace)| totals.add(&request, &trace));
    });
    if let Err(panic) = callers {
        std::panic::resume_unwind(panic);
    }
    let ledgers: client::Result<Vec<Ledger>> =
        config.endpoints.iter().map(|e| client::get(*e, "/ledger")).collect();
    Ok(totals.report(&ledgers?))
}

fn callers(config: &Config) -> impl Iterator<Item = Caller<'_>> {
    let groups = config.groups.iter().enumerate();
    let members = groups.flat_map(|(g, group)| (0..group.callers).map(move |c| (g, *group, c)));
    members.map(|(g, group, c)| Caller {
        config,
        group,
        name: format!("{:x}-{g}-{c}", config.seed),
        team: format!("team{}", c % config.teams.max(1)),
        random: SmallRng::seed_from_u64(config.seed ^ ((g as u64) << 40) ^ (u64::from(c) << 20)),
        requests_made: 0,
    })
}

impl Caller<'_> {
    fn run(mut self, until: Instant, sender: &channel::Sender<(Request, caller::Trace)>) {
        while Instant::now() < until {
            let request = self.random_request();
            let first = self.random.random_range(0..self.config.entries.len());
            let mut trace = self.send(&request, first);
            if trace.end == End::Answered && request.key.is_some() && self.one_in(REPEATED_ONE_IN) {
                let again = Request { abandon_after: None, is_repeat: true, ..request.clone() };
                let again = self.send(&again, first + 1);
                trace.attempts.extend(again.attempts);
            }
            let _ = sender.send((request, trace));
            let think_ms = self.random.random_range(0..=self.group.think_ms);
            std::thread::sleep(Duration::from_millis(think_ms));
        }
    }

    fn send(&self, request: &Request, first: usize) -> caller::Trace {
        let entries = self.config.entries.iter().copied().cycle().skip(first);
        caller::send(request, entries, self.config.max_attempts)
    }

    fn one_in(&mut self, n: u32) -> bool {
        self.random.random_ratio(1, n)
    }

    fn random_request(&mut self) -> Request {
        self.requests_made += 1;
        let (min_ms, max_ms) = self.group.work_ms;
        let service = self.random.random_range(0..self.config.services.len());
        let work = Work {
            service: self.config.services[service].clone(),
            id: format!("{}-{}", self.name, self.requests_made),
            work_ms: self.random.random_range(min_ms..=max_ms),
            request_bytes: self.random_length(),
            response_bytes: self.random_length(),
        };
        let is_order = self.group.class == Class::Order;
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let key = is_order.then(|| order_key::generate(now, &mut self.random));
        let is_abandoned = is_order && self.one_in(ABANDONED_ONE_IN);
        Request {
            team: self.team.clone(),
            class: self.group.class,
            is_repeat: false,
            abandon_after: is_abandoned
                .then(|| Duration::from_millis(self.random.random_range(1..=max_ms))),
            work,
            key,
            deadline: self.group.deadline,
        }
    }

    fn random_length(&mut self) -> usize {
        if self.one_in(LARGE_ONE_IN) {
            LARGE_BYTES
        } else {
            self.random.random_range(0..SMALL_BYTES)
        }
    }
}
