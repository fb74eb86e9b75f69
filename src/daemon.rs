//! The entry daemon: its threads, the channels between them, and its planned stop.
//!
//! | thread | does |
//! |---|---|
//! | `engine` | decides; owns every request in progress and the agreed state |
//! | `io` | one single-threaded runtime: callers, endpoints, links, operators' calls |
//! | `follow` | reads the fleet's records |
//! | `append` | appends records |
//! | `list` | reads the platform's list of VMs |
//!
//! The loss of `engine` or `io` ends the process: requests in progress live in their memory. The
//! others keep nothing and are started again.

use {
    crate::{
        client::{self, Client},
        engine::{self, Engine, Shared},
        event::{Action, Event, Stream},
        platform::Append,
        record::Member,
        server::{self, Server, Step},
        settings::Settings,
        supervise::{self, Part, Policy, Stop, Tree},
    },
    crossbeam::{
        channel::{Receiver, Sender, unbounded},
        select,
    },
    displaydoc::Display,
    log::{debug, info, warn},
    std::{
        result,
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        time::{Duration, Instant},
    },
    tokio::{net::TcpListener, sync::watch},
};

/// Time between two looks at what the passing of time asks for.
const TICK: Duration = Duration::from_millis(10);
/// Records read from the log at once.
const PAGE_RECORDS: usize = 512;
/// Pause after a failed call to the platform.
const PAUSE: Duration = Duration::from_millis(250);
/// Time between two reads of the list of VMs.
const LIST_INTERVAL: Duration = Duration::from_secs(1);

/// Why the daemon ended.
#[derive(Debug, Display)]
pub enum Error {
    /// {0}
    Part(supervise::Error),
    /// handle signals: {0}
    Signal(std::io::Error),
    /// {0} requests were still in progress when the planned stop's time was over
    Unfinished(usize),
}

impl std::error::Error for Error {}

/// Result of running the daemon.
pub type Result<T> = result::Result<T, Error>;

/// Channels between the threads.
struct Channels {
    events: Sender<Event>,
    inbox: Receiver<Event>,
    appends: Sender<(Stream, Append)>,
    append_inbox: Receiver<(Stream, Append)>,
    stopping: watch::Sender<bool>,
    unfinished: AtomicBool,
}

/// Runs an entry until a planned stop or a failure that can't be mended.
pub fn run(settings: Settings) -> Result<()> {
    let (events, inbox) = unbounded();
    let (appends, append_inbox) = unbounded();
    let (stopping, _) = watch::channel(false);
    let unfinished = AtomicBool::new(false);
    let channels =
        Arc::new(Channels { events, inbox, appends, append_inbox, stopping, unfinished });
    catch_signals(&channels)?;
    let shared = Arc::new(Shared::default());
    let settings = Arc::new(settings);
    let server =
        Arc::new(Server::new(channels.events.clone(), settings.limits.clone(), shared.clone()));
    info!("daemon: Entry {} starts in availability zone {}.", settings.id, settings.zone);
    let parts = vec![
        engine_part(&settings, &channels, &shared, &server),
        io_part(&settings, &channels, &server),
        append_part(&settings, &channels),
        follow_part(&settings, &channels, &shared),
        list_part(&settings, &channels),
    ];
    Tree::start(parts).and_then(Tree::join).map_err(Error::Part)?;
    if channels.unfinished.load(Ordering::Relaxed) {
        return Err(Error::Unfinished(server.open()));
    }
    info!("daemon: Entry {} has stopped.", settings.id);
    Ok(())
}

fn catch_signals(channels: &Arc<Channels>) -> Result<()> {
    use signal_hook::{
        consts::{SIGINT, SIGTERM},
        iterator::Signals,
    };
    let mut signals = Signals::new([SIGTERM, SIGINT]).map_err(Error::Signal)?;
    let events = channels.events.clone();
    std::thread::spawn(move || {
        for _ in signals.forever() {
            // The engine is gone only while the whole process ends.
            let _ = events.send(Event::Stop);
        }
    });
    Ok(())
}

fn engine_part(
    settings: &Arc<Settings>,
    channels: &Arc<Channels>,
    shared: &Arc<Shared>,
    server: &Arc<Server>,
) -> Part {
    let (settings, channels) = (settings.clone(), channels.clone());
    let (shared, server) = (shared.clone(), server.clone());
    let run = move |stop: &Stop| {
        let me = Member {
            id: settings.id.clone(),
            incarnation: rand::random(),
            zone: settings.zone.clone(),
            link: settings.link,
            rpc: settings.rpc,
        };
        let mut engine = Engine::new(me, shared.clone());
        let mut deadline = None;
        let ticks = crossbeam::channel::tick(TICK);
        loop {
            let actions = select! {
                recv(channels.inbox) -> event => match event {
                    Ok(event) => {
                        if matches!(event, Event::Stop) && deadline.is_none() {
                            let limit = Duration::from_millis(settings.limits.stop_ms);
                            deadline = Some(Instant::now() + limit);
                            channels.stopping.send_replace(true);
                        }
                        engine.handle(Instant::now(), event)
                    }
                    Err(_) => return Ok(()),
                },
                recv(ticks) -> _ => engine.tick(Instant::now()),
                recv(stop.channel()) -> _ => return Ok(()),
            };
            let mut stopped = false;
            for action in actions {
                stopped |= act(action, &channels, &server);
            }
            if stopped && server.open() == 0 {
                return Ok(());
            }
            if deadline.is_some_and(|at| Instant::now() >= at) {
                channels.unfinished.store(true, Ordering::Relaxed);
                return Ok(());
            }
        }
    };
    Part { name: "engine", policy: Policy::Escalate, run: Arc::new(run) }
}

/// Carries out an action; true once everything in progress has ended.
fn act(action: Action, channels: &Channels, server: &Server) -> bool {
    match action {
        Action::Run { id, attempt, address, until, .. } => {
            server.step(id, Step::Run { attempt, address, until });
        }
        Action::Finish { id, finish } => server.step(id, Step::Finish(finish)),
        Action::Append { stream, record } => {
            // The appender's channel lives as long as the channels themselves.
            let _ = channels.appends.send((stream, record));
        }
        Action::Stopped => return true,
        other => debug!("daemon: No part carries out {other:?}."),
    }
    false
}

fn io_part(settings: &Arc<Settings>, channels: &Arc<Channels>, server: &Arc<Server>) -> Part {
    let (settings, channels, server) = (settings.clone(), channels.clone(), server.clone());
    let run = move |stop: &Stop| {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .map_err(|e| format!("start the runtime: {e}"))?;
        let ended = runtime.block_on(async {
            let listener = TcpListener::bind(settings.callers)
                .await
                .map_err(|e| format!("listen for callers at {}: {e}", settings.callers))?;
            info!("server: Accepts callers at {}.", settings.callers);
            let serve = server::serve(listener, server.clone(), channels.stopping.subscribe());
            tokio::select! {
                served = serve => served.map_err(|e| format!("serve callers: {e}")),
                _ = asked(stop) => Ok(()),
            }
        });
        // Connections that are still open end with the process.
        runtime.shutdown_background();
        ended?;
        // The engine ends the tree once it has seen every request end.
        while !stop.wait(TICK) {}
        Ok(())
    };
    Part { name: "io", policy: Policy::Escalate, run: Arc::new(run) }
}

async fn asked(stop: &Stop) {
    while !stop.asked() {
        tokio::time::sleep(TICK).await;
    }
}

fn append_part(settings: &Arc<Settings>, channels: &Arc<Channels>) -> Part {
    let (client, channels) = (Client::new(settings.platform), channels.clone());
    let run = move |stop: &Stop| {
        loop {
            let (stream, record) = select! {
                recv(channels.append_inbox) -> next => match next {
                    Ok(next) => next,
                    Err(_) => return Ok(()),
                },
                recv(stop.channel()) -> _ => return Ok(()),
            };
            let offset = match client.append(engine::stream_name(stream), &record) {
                Ok(appended) => Some(appended.offset),
                Err(error) => {
                    warn!("append: {error}.");
                    stop.wait(PAUSE);
                    None
                }
            };
            // The engine is gone only while the whole process ends.
            let _ = channels.events.send(Event::Appended { stream, id: record.id, offset });
        }
    };
    Part { name: "append", policy: Policy::Restart, run: Arc::new(run) }
}

fn follow_part(settings: &Arc<Settings>, channels: &Arc<Channels>, shared: &Arc<Shared>) -> Part {
    let (client, channels) = (Client::new(settings.platform), channels.clone());
    let shared = shared.clone();
    let run = move |stop: &Stop| {
        let mut from = shared.status().next;
        let mut wait = Duration::ZERO;
        let stream = Stream::Fleet;
        while !stop.asked() {
            let event = match client.read(engine::stream_name(stream), from, PAGE_RECORDS, wait) {
                Ok(page) => {
                    from = page.records.last().map_or(from, |last| last.offset + 1);
                    wait = if from >= page.end { client::READ_WAIT } else { Duration::ZERO };
                    Event::Read { stream, page }
                }
                Err(error) => {
                    warn!("follow: {error}.");
                    stop.wait(PAUSE);
                    let first = match error {
                        client::Error::Trimmed { first, .. } => Some(first),
                        _ => None,
                    };
                    Event::Unread { stream, first }
                }
            };
            // The engine is gone only while the whole process ends.
            let _ = channels.events.send(event);
        }
        Ok(())
    };
    Part { name: "follow", policy: Policy::Restart, run: Arc::new(run) }
}

fn list_part(settings: &Arc<Settings>, channels: &Arc<Channels>) -> Part {
    let (client, channels) = (Client::new(settings.platform), channels.clone());
    let run = move |stop: &Stop| {
        while !stop.wait(LIST_INTERVAL) {
            match client.list() {
                Ok(list) => {
                    // The engine is gone only while the whole process ends.
                    let _ = channels.events.send(Event::Listed(list));
                }
                Err(error) => warn!("list: {error}."),
            }
        }
        Ok(())
    };
    Part { name: "list", policy: Policy::Restart, run: Arc::new(run) }
}
