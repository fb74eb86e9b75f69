//! The entry daemon: its threads, the channels between them, and its planned stop.
//!
//! | thread | does |
//! |---|---|
//! | `engine` | decides; owns every request in progress and the agreed state |
//! | `io` | one single-threaded runtime: callers, endpoints, links to other entries |
//! | `rpc` | operators' calls |
//! | `append`, `claim` | append records of the fleet, and claims to orders |
//! | `follow`, `orders` | read these records |
//! | `list` | reads the platform's list of VMs |
//! | `operate` | begins the platform's actions and reads how far they are |
//!
//! The loss of `engine` or `io` ends the process: requests in progress live in their memory. The
//! others keep nothing and are started again.

mod io;
mod platform;

use {
    crate::{
        client::Client,
        engine::{Engine, Shared},
        event::{Action, Event, Stream},
        id::{OperationId, VmId},
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

/// Time between two looks at what the passing of time asks for.
const TICK: Duration = Duration::from_millis(10);
/// Records read from the log at once.
const PAGE_RECORDS: usize = 512;
/// Chunks of snapshots read from the log at once.
const PAGE_CHUNKS: usize = 32;
/// Pause after a failed call to the platform.
const PAUSE: Duration = Duration::from_millis(250);
/// Time between two reads of the list of VMs.
const LIST_INTERVAL: Duration = Duration::from_secs(1);

/// Time after which the whole list is read again, as VMs may have left it.
const WHOLE_INTERVAL: Duration = Duration::from_secs(600);

/// Why the daemon ended.
#[derive(Debug, Display)]
pub enum Error {
    /// {0}
    Part(supervise::Error),
    /// handle signals: {0}
    Signal(std::io::Error),
    /// listen for {who} at {address}: {source}
    Listen {
        /// Who connects there.
        who: &'static str,
        /// Address of the settings.
        address: SocketAddr,
        /// Cause.
        source: std::io::Error,
    },
    /// {0} requests were still in progress when the planned stop's time was over
    Unfinished(usize),
}

impl std::error::Error for Error {}

/// Result of running the daemon.
pub type Result<T> = result::Result<T, Error>;

/// A message on its way to another entry.
type Outgoing = (SocketAddr, wire::Message);

/// An endpoint to probe.
type Probe = (VmId, SocketAddr);

/// A platform's action to begin on a VM, or only to ask about.
type Order = (Option<VmId>, OperationId);

/// Both ends of a channel.
type Queue<T> = (Sender<T>, Receiver<T>);

/// Open listeners of the `io` part.
struct Listeners {
    callers: TcpListener,
    links: TcpListener,
}

/// What the parts share.
struct Daemon {
    settings: Settings,
    me: Member,
    events: Sender<Event>,
    inbox: Receiver<Event>,
    appends: Queue<(Stream, Append)>,
    claims: Queue<(Stream, Append)>,
    orders: Sender<Order>,
    order_inbox: Receiver<Order>,
    probes: mpsc::UnboundedSender<Probe>,
    probe_inbox: Mutex<Option<mpsc::UnboundedReceiver<Probe>>>,
    outgoing: mpsc::UnboundedSender<Outgoing>,
    outgoing_inbox: Mutex<Option<mpsc::UnboundedReceiver<Outgoing>>>,
    listeners: Mutex<Option<Listeners>>,
    stopping: watch::Sender<bool>,
    expelled: AtomicBool,
    served: AtomicBool,
    unfinished: AtomicBool,
    shared: Arc<Shared>,
    server: Arc<Server>,
    calls: Arc<Calls>,
}

/// Runs an entry until a planned stop or a failure that can't be mended.
pub fn run(settings: Settings) -> Result<()> {
    let daemon = Arc::new(Daemon::new(settings)?);
    catch_signals(daemon.events.clone())?;
    let settings = &daemon.settings;
    info!("daemon: Entry {} starts in availability zone {}.", settings.id, settings.zone);
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

fn catch_signals(events: Sender<Event>) -> Result<()> {
    let mut signals = Signals::new([SIGTERM, SIGINT]).map_err(Error::Signal)?;
    std::thread::spawn(move || {
        for _ in signals.forever() {
            // The engine is gone only while the whole process ends.
            let _ = events.send(Event::Stop);
        }
    });
    Ok(())
}

impl Daemon {
    /// Opens the listeners first: a peer takes a refused connection for the proof of an end.
    fn new(settings: Settings) -> Result<Self> {
        let listeners = Listeners {
            callers: bind("callers", settings.callers)?,
            links: bind("links", settings.link)?,
        };
        let (events, inbox) = unbounded();
        let (outgoing, outgoing_inbox) = mpsc::unbounded_channel();
        let (orders, order_inbox) = unbounded();
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
            orders,
            order_inbox,
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

    /// A client of the platform's service.
    fn client(&self) -> Client {
        Client::new(self.settings.platform, self.shared.traffic().clone())
    }

    /// Records that wait to be appended to a stream.
    fn queue(&self, stream: Stream) -> &Queue<(Stream, Append)> {
        match stream {
            Stream::Fleet | Stream::Snapshots => &self.appends,
            Stream::Orders => &self.claims,
        }
    }

    /// Reports to the engine.
    fn tell(&self, event: Event) {
        // The engine is gone only while the whole process ends.
        let _ = self.events.send(event);
    }

    /// Carries out an action; true once everything in progress has ended.
    fn act(&self, action: Action) -> bool {
        match action {
            Action::Run { id, attempt, address, until, .. } => {
                self.server.send_command(id, Command::Run { attempt, address, until });
            }
            Action::Relay { id, attempt, link, until } => {
                self.server.send_command(id, Command::Relay { attempt, link, until });
            }
            Action::Finish { id, finish } => self.server.send_command(id, Command::Finish(finish)),
            Action::Append { stream, record } => {
                // Both ends of the channel are kept by the daemon itself.
                let _ = self.queue(stream).0.send((stream, record));
            }
            Action::Probe { vm, address } => {
                // The io part is gone only while the whole process ends.
                let _ = self.probes.send((vm, address));
            }
            Action::Reply { call, verdict } => self.calls.reply(call, verdict),
            Action::Send { link, message, .. } => {
                // The io part is gone only while the whole process ends.
                let _ = self.outgoing.send((link, message));
            }
            Action::Stopped => return true,
            Action::Expelled => self.expelled.store(true, Ordering::Relaxed),
            Action::Reboot { vm, operation } => {
                // Both ends of the channel are kept by the daemon itself.
                let _ = self.orders.send((Some(vm), operation));
            }
            Action::Operation { operation } => {
                let _ = self.orders.send((None, operation));
            }
        }
        false
    }
}

fn run_engine(daemon: &Daemon, stop: &Stop) -> result::Result<(), String> {
    let seeds = daemon.settings.seeds.clone();
    let mut engine = Engine::new(Instant::now(), daemon.me.clone(), seeds, daemon.shared.clone());
    engine.set_wall_clock(Instant::now(), UNIX_EPOCH.elapsed().unwrap_or_default());
    match Metrics::open(daemon.settings.metrics, &daemon.me.id) {
        Ok(metrics) => engine.set_metrics(metrics),
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
            stopped |= daemon.act(action);
        }
        if daemon.expelled.load(Ordering::Relaxed) {
            return Err(String::from("the log says that this incarnation has ended"));
        }
        // An answer is on its way until its connection has ended.
        if stopped && daemon.server.open_requests() == 0 && daemon.served.load(Ordering::Relaxed) {
            return Ok(());
        }
        if deadline.is_some_and(|at| Instant::now() >= at) {
            daemon.unfinished.store(true, Ordering::Relaxed);
            return Ok(());
        }
    }
}

fn bind(who: &'static str, address: SocketAddr) -> Result<TcpListener> {
    let bound = TcpListener::bind(address).and_then(|listener| {
        listener.set_nonblocking(true)?;
        Ok(listener)
    });
    bound.map_err(|source| Error::Listen { who, address, source })
}
