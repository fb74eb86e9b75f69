//! The entry daemon: its threads, the channels between them, and its planned stop.
//!
//! | thread | task |
//! |---|---|
//! | `engine` | makes the decisions; owns the requests in progress and the replicated state |
//! | `io` | runs a single-threaded async runtime for callers, endpoints and links to other entries |
//! | `rpc` | serves operators' calls |
//! | `append`, `claim` | append fleet records and order records to the log |
//! | `follow`, `orders` | read these records from the log |
//! | `list` | reads the platform's list of VMs |
//! | `operate` | starts the platform's actions on VMs and reads their progress |
//!
//! If `engine` or `io` fails, the process ends, since requests in progress are held in their
//! memory. The other threads hold no state and are restarted.

mod io;
mod platform;

use {
    crate::{
        client::Client,
        engine::{Engine, Shared},
        event::{Action, Event, Stream},
        id::{OperationId, VmId},
        intake::Guard,
        metrics::Metrics,
        operator::Calls,
        platform::Append,
        record::Member,
        server::{Command, Server},
        settings::Settings,
        supervise::{self, Part, Policy, Stop, Tree},
        wire,
    },
    crossbeam::{
        channel::{Receiver, Sender, unbounded},
        select,
    },
    displaydoc::Display,
    log::{info, warn},
    signal_hook::{
        consts::{SIGINT, SIGTERM},
        iterator::Signals,
    },
    std::{
        net::{SocketAddr, TcpListener},
        result,
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, Ordering},
        },
        time::{Duration, Instant, UNIX_EPOCH},
    },
    tokio::sync::{mpsc, watch},
};

/// Time between two ticks of the engine.
const TICK: Duration = Duration::from_millis(10);
/// Maximum number of records in one read of the log.
const PAGE_RECORDS: usize = 512;
/// Maximum number of snapshot chunks in one read of the log.
const PAGE_CHUNKS: usize = 32;
/// Delay after a failed call to the platform.
const RETRY_DELAY: Duration = Duration::from_millis(250);
/// Time between two sendings of what callers hold, as metrics.
const INTAKE_INTERVAL: Duration = Duration::from_secs(1);
/// Time between two reads of the list of VMs, most of them incremental.
const LIST_INTERVAL: Duration = Duration::from_secs(1);

/// Time after which the full list is read again, since incremental reads don't show removed VMs.
const FULL_LIST_INTERVAL: Duration = Duration::from_secs(600);

/// Why the daemon failed.
#[derive(Debug, Display)]
pub enum Error {
    /// {0}
    Part(supervise::Error),
    /// handle signals: {0}
    Signal(std::io::Error),
    /// listen for {who} at {address}: {source}
    Listen {
        /// Who connects to the address.
        who: &'static str,
        /// Configured address.
        address: SocketAddr,
        /// Cause.
        source: std::io::Error,
    },
    /// {0} requests were still in progress when the time for the planned stop had passed
    Unfinished(usize),
}

impl std::error::Error for Error {}

/// Result of running the daemon.
pub type Result<T> = result::Result<T, Error>;

/// A message to send to another entry's link.
type Outgoing = (SocketAddr, wire::Message);

/// An endpoint to probe.
type Probe = (VmId, SocketAddr);

/// An action of the platform: to be started on the VM, or without one only to be read.
type Operation = (Option<VmId>, OperationId);

/// Both ends of a channel.
type Queue<T> = (Sender<T>, Receiver<T>);

/// Open listeners, used by the `io` thread.
struct Listeners {
    callers: TcpListener,
    links: TcpListener,
}

/// State shared by the threads.
struct Daemon {
    settings: Settings,
    /// This entry.
    me: Member,
    /// Events for the engine.
    events: Sender<Event>,
    inbox: Receiver<Event>,
    /// Fleet records and snapshot chunks to append.
    appends: Queue<(Stream, Append)>,
    /// Order records to append.
    claims: Queue<(Stream, Append)>,
    operations: Sender<Operation>,
    operation_inbox: Receiver<Operation>,
    probes: mpsc::UnboundedSender<Probe>,
    probe_inbox: Mutex<Option<mpsc::UnboundedReceiver<Probe>>>,
    outgoing: mpsc::UnboundedSender<Outgoing>,
    outgoing_inbox: Mutex<Option<mpsc::UnboundedReceiver<Outgoing>>>,
    listeners: Mutex<Option<Listeners>>,
    /// Set when a planned stop begins.
    stopping: watch::Sender<bool>,
    /// Set when the log says that this incarnation has ended.
    expelled: AtomicBool,
    /// Set when all connections of callers have ended after a planned stop began.
    served: AtomicBool,
    /// Set when the time for the planned stop had passed before it was complete.
    unfinished: AtomicBool,
    shared: Arc<Shared>,
    server: Arc<Server>,
    calls: Arc<Calls>,
}

/// Runs an entry until a planned stop or an unrecoverable failure.
pub fn run(settings: Settings) -> Result<()> {
    let daemon = Arc::new(Daemon::new(settings)?);
    catch_signals(daemon.events.clone())?;
    let settings = &daemon.settings;
    info!("daemon: Starting entry {} in availability zone {}.", settings.id, settings.zone);
    let part = |name, policy, run: fn(&Daemon, &Stop) -> result::Result<(), String>| {
        let daemon = daemon.clone();
        Part { name, policy, run: Arc::new(move |stop| run(&daemon, stop)) }
    };
    let parts = vec![
        part("engine", Policy::Escalate, run_engine),
        part("io", Policy::Escalate, io::run),
        part("rpc", Policy::Restart, io::run_rpc),
        part("append", Policy::Restart, |d, stop| platform::append(d, stop, Stream::Fleet)),
        part("claim", Policy::Restart, |d, stop| platform::append(d, stop, Stream::Orders)),
        part("follow", Policy::Restart, |d, stop| platform::follow(d, stop, Stream::Fleet)),
        part("orders", Policy::Restart, |d, stop| platform::follow(d, stop, Stream::Orders)),
        part("list", Policy::Restart, platform::list),
        part("operate", Policy::Restart, platform::operate),
    ];
    Tree::start(parts).and_then(Tree::join).map_err(Error::Part)?;
    if daemon.unfinished.load(Ordering::Relaxed) {
        return Err(Error::Unfinished(daemon.server.open_requests()));
    }
    info!("daemon: Entry {} has stopped.", settings.id);
    Ok(())
}

/// Begins a planned stop on SIGTERM or SIGINT.
fn catch_signals(events: Sender<Event>) -> Result<()> {
    let mut signals = Signals::new([SIGTERM, SIGINT]).map_err(Error::Signal)?;
    std::thread::spawn(move || {
        for _ in signals.forever() {
            // The receiver is closed only while the whole process ends.
            let _ = events.send(Event::Stop);
        }
    });
    Ok(())
}

impl Daemon {
    /// Opens the listeners first, since peers take a refused connection as proof that this entry
    /// has ended.
    fn new(settings: Settings) -> Result<Self> {
        let listeners = Listeners {
            callers: bind("callers", settings.callers)?,
            links: bind("links", settings.link)?,
        };
        let (events, inbox) = unbounded();
        let (outgoing, outgoing_inbox) = mpsc::unbounded_channel();
        let (operations, operation_inbox) = unbounded();
        let (probes, probe_inbox) = mpsc::unbounded_channel();
        let shared = Arc::new(Shared::default());
        let limits = settings.limits.clone();
        let me = Member {
            id: settings.id.clone(),
            incarnation: rand::random(),
            zone: settings.zone.clone(),
            link: settings.link,
            rpc: settings.rpc,
        };
        Ok(Self {
            me,
            listeners: Mutex::new(Some(listeners)),
            server: Arc::new(Server::new(events.clone(), limits, shared.clone())),
            settings,
            events,
            inbox,
            appends: unbounded(),
            claims: unbounded(),
            operations,
            operation_inbox,
            probes,
            probe_inbox: Mutex::new(Some(probe_inbox)),
            outgoing,
            outgoing_inbox: Mutex::new(Some(outgoing_inbox)),
            stopping: watch::channel(false).0,
            expelled: AtomicBool::new(false),
            served: AtomicBool::new(false),
            unfinished: AtomicBool::new(false),
            shared,
            calls: Arc::default(),
        })
    }

    /// Creates a client of the platform's service.
    fn client(&self) -> Client {
        Client::new(self.settings.platform, self.shared.traffic().clone())
    }

    /// Queue of records to append to a stream.
    fn queue(&self, stream: Stream) -> &Queue<(Stream, Append)> {
        match stream {
            Stream::Fleet | Stream::Snapshots => &self.appends,
            Stream::Orders => &self.claims,
        }
    }

    /// Sends an event to the engine.
    fn report(&self, event: Event) {
        // The receiver is closed only while the whole process ends.
        let _ = self.events.send(event);
    }

    /// Carries out an action; returns whether the engine has stopped.
    fn perform(&self, action: Action) -> bool {
        match action {
            Action::Run { id, attempt, address, until, .. } => {
                self.server.send_command(id, Command::Run { attempt, address, until });
            }
            Action::Relay { id, attempt, link, until } => {
                self.server.send_command(id, Command::Relay { attempt, link, until });
            }
            Action::Finish { id, finish } => self.server.send_command(id, Command::Finish(finish)),
            Action::Append { stream, record } => {
                // The daemon itself holds both ends of the channel.
                let _ = self.queue(stream).0.send((stream, record));
            }
            Action::Probe { vm, address } => {
                // The receiver is closed only while the whole process ends.
                let _ = self.probes.send((vm, address));
            }
            Action::Reply { call, verdict } => self.calls.reply(call, verdict),
            Action::Send { link, message, .. } => {
                // The receiver is closed only while the whole process ends.
                let _ = self.outgoing.send((link, message));
            }
            Action::Stopped => return true,
            Action::Expelled => self.expelled.store(true, Ordering::Relaxed),
            Action::Reboot { vm, operation } => {
                // The daemon itself holds both ends of the channel.
                let _ = self.operations.send((Some(vm), operation));
            }
            Action::Operation { operation } => {
                let _ = self.operations.send((None, operation));
            }
        }
        false
    }
}

/// Runs the engine: passes it events and ticks, and carries out its actions.
fn run_engine(daemon: &Daemon, stop: &Stop) -> result::Result<(), String> {
    let seeds = daemon.settings.seeds.clone();
    let mut engine = Engine::new(Instant::now(), daemon.me.clone(), seeds, daemon.shared.clone());
    engine.set_wall_clock(Instant::now(), UNIX_EPOCH.elapsed().unwrap_or_default());
    match Metrics::open(daemon.settings.metrics, &daemon.me.id) {
        Ok(metrics) => {
            engine.set_metrics(metrics.clone());
            let guard = Arc::clone(daemon.server.guard());
            std::thread::spawn(move || send_intake(&metrics, &guard));
        }
        Err(error) => warn!("engine: {error}."),
    }
    let mut deadline = None;
    let ticks = crossbeam::channel::tick(TICK);
    loop {
        let actions = select! {
            recv(daemon.inbox) -> event => {
                let event = event.map_err(|e| e.to_string())?;
                if matches!(event, Event::Stop) && deadline.is_none() {
                    let limit = Duration::from_millis(daemon.settings.limits.stop_ms);
                    deadline = Some(Instant::now() + limit);
                    daemon.stopping.send_replace(true);
                }
                engine.handle(Instant::now(), event)
            }
            recv(ticks) -> _ => {
                let now = Instant::now();
                engine.set_wall_clock(now, UNIX_EPOCH.elapsed().unwrap_or_default());
                engine.tick(now)
            }
            recv(stop.channel()) -> _ => return Ok(()),
        };
        let mut stopped = false;
        for action in actions {
            stopped |= daemon.perform(action);
        }
        if daemon.expelled.load(Ordering::Relaxed) {
            return Err(String::from("the log says that this incarnation has ended"));
        }
        // A response has been sent only once its connection has ended.
        if stopped && daemon.server.open_requests() == 0 && daemon.served.load(Ordering::Relaxed) {
            return Ok(());
        }
        if deadline.is_some_and(|at| Instant::now() >= at) {
            daemon.unfinished.store(true, Ordering::Relaxed);
            return Ok(());
        }
    }
}

/// Sends what callers hold, and what was done to keep them within their limits, as metrics until the process
/// ends.
fn send_intake(metrics: &Metrics, guard: &Guard) {
    let mut sent = guard.counts();
    loop {
        std::thread::sleep(INTAKE_INTERVAL);
        metrics.held(guard.connections(), guard.used_bytes());
        let counts = guard.counts();
        for ((name, number), (_, before)) in counts.all().into_iter().zip(sent.all()) {
            if number > before {
                metrics.limited(name, number - before);
            }
        }
        sent = counts;
    }
}

/// Opens a non-blocking listener.
fn bind(who: &'static str, address: SocketAddr) -> Result<TcpListener> {
    let bound = TcpListener::bind(address).and_then(|listener| {
        listener.set_nonblocking(true)?;
        Ok(listener)
    });
    bound.map_err(|source| Error::Listen { who, address, source })
}
