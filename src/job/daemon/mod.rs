//! Daemon of an entry that places jobs.
//!
//! Every entry serves callers. One of them owns the cell and makes the decisions; the others relay
//! requests to it over HTTP/2. All parts run on one thread with a single-threaded runtime, because
//! an entry VM runs only one thread of a process at a time and its memory is scarce.

mod append;
mod channel;
mod claimant;
mod event;
mod follow;
mod front;
mod handover;
mod internal;
mod listener;
pub mod log_output;
mod meter;
mod monitor;
mod owner;
mod peer;
mod report;
mod request;
mod runners;
mod shared;
mod stop;
mod store;
mod suspension;
mod takeover;
mod timeout;

pub use log_output::init as init_log;

use {
    self::{listener::Listener, meter::Meter, peer::Link, shared::Shared, store::Store},
    crate::{
        intake::{self, Guard},
        job::{clock, settings::Settings},
    },
    displaydoc::Display,
    log::info,
    std::{
        cell::{Cell, RefCell},
        io,
        net::SocketAddr,
        rc::Rc,
        sync::Arc,
    },
    tokio::{
        runtime::Builder,
        sync::{Notify, watch},
        task::{LocalSet, spawn_local},
    },
};

/// Result of the daemon.
pub type Result<T> = std::result::Result<T, Error>;

/// Error that ends the daemon.
#[derive(Debug, Display)]
pub enum Error {
    /// build Tokio runtime: {0}
    Runtime(io::Error),
    /// listen at {0}: {1}
    Listen(SocketAddr, io::Error),
    /// wait for signals: {0}
    Signal(io::Error),
    /// set up metrics: {0}
    Metrics(prometheus::Error),
}

impl std::error::Error for Error {}

/// Runs the entry until a signal asks it to stop.
pub fn run(settings: Settings) -> Result<()> {
    let runtime = Builder::new_current_thread().enable_all().build().map_err(Error::Runtime)?;
    LocalSet::new().block_on(&runtime, serve(settings))
}

async fn serve(settings: Settings) -> Result<()> {
    info!("start: node={} zone={} callers={}", settings.node, settings.zone, settings.callers);
    let meter = Rc::new(Meter::new().map_err(Error::Metrics)?);
    let callers = listen("front", settings.callers).await?;
    let ready = listen("front", settings.ready).await?;
    let peers = listen("peer", settings.peer).await?;
    let metrics = listen("metrics", settings.metrics).await?;
    let store = Rc::new(Store::new(settings.store, Rc::clone(&meter)));
    let intake = Guard::new(settings.intake);
    let internal = intake::Limits { connections: settings.internal_connections, ..settings.intake };
    let internal = Guard::new(internal);
    let shared = Rc::new(Shared {
        settings,
        intake: Arc::clone(&intake),
        incarnation: rand::random(),
        owner: watch::Sender::new(None),
        stopping: watch::Sender::new(None),
        owner_events: RefCell::default(),
        store: Rc::clone(&store),
        link: Link::default(),
        linked: watch::Sender::new(false),
        last_ready: Cell::new(clock::now()),
        confirmation: Cell::default(),
        owner_seen_at: Cell::new(None),
        ended_epoch: Cell::new(None),
        owner_ended: Notify::new(),
        strongest_peer: Cell::new(0.0),
        hands_over: Cell::new(false),
        handed_over_at: Cell::new(None),
        open_requests: Cell::new(0),
        meter: Rc::clone(&meter),
    });
    spawn_local(Arc::clone(&intake).report_periodically());
    spawn_local(meter::show_intake(Rc::clone(&meter), intake, Arc::clone(&internal)));
    spawn_local(front::serve(Rc::clone(&shared), callers));
    spawn_local(front::serve_ready(Rc::clone(&shared), ready, Arc::clone(&internal)));
    spawn_local(peer::serve(Rc::clone(&shared), peers));
    spawn_local(meter::serve(meter, metrics, internal));
    spawn_local(monitor::run(Rc::clone(&shared)));
    spawn_local(log_output::flush_periodically());
    spawn_local(claimant::run(Rc::clone(&shared), store));
    let outcome = stop::wait(shared).await.map_err(Error::Signal);
    log::logger().flush();
    outcome
}

async fn listen(part: &'static str, address: SocketAddr) -> Result<Listener> {
    Listener::bind(part, address).await.map_err(|e| Error::Listen(address, e))
}
