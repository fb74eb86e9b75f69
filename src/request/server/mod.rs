//! HTTP/1.1 server for callers.
//!
//! A request's body is buffered up to [`PREFETCH_BYTES`] before the request is passed to the
//! engine, so that a slow caller holds no slot. The request is then driven by a task of its own,
//! which outlives the caller's connection: a running order is finished and recorded even if its
//! caller has disconnected.

mod drive;
mod receive;
mod response;

use {
    crate::{
        body,
        engine::Shared,
        event::{Event, Finish, RequestId},
        exchange::Body,
        id::AttemptId,
        intake::{self, Buffer, Connection, Guard, Reservation, Stream},
        relay,
        request::{Outcome, REPEAT_HEADER},
        settings::Limits,
    },
    crossbeam::channel::Sender,
    hyper::{
        Request, Response, StatusCode,
        body::{Body as _, Incoming},
        service::service_fn,
    },
    log::{debug, warn},
    receive::Template,
    std::{
        collections::HashMap,
        convert::Infallible,
        net::SocketAddr,
        sync::{
            Arc, Mutex, PoisonError,
            atomic::{AtomicU64, AtomicUsize, Ordering},
        },
        time::{Duration, Instant},
    },
    tokio::{
        net::{TcpListener, TcpStream},
        sync::{mpsc, oneshot, watch},
        task::yield_now,
        time::timeout,
    },
};

/// Length up to which a body is read before the request is admitted.
pub const PREFETCH_BYTES: usize = 64 * 1024;

/// Length up to which a longer body is read before the request is admitted, while there is memory.
pub const LONG_BYTES: usize = 512 * 1024;
/// Delay after which a caller is asked to return that was refused for want of memory.
const MEMORY_DELAY: Duration = Duration::from_secs(1);
/// Time for which a stopping entry still accepts connections.
pub const DRAIN_TIME: Duration = Duration::from_secs(1);
/// Timeout for accepting another connection from the kernel's backlog after [`DRAIN_TIME`].
const BACKLOG_WAIT: Duration = Duration::from_millis(5);
/// Delay before accepting again after a failure.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Command from the engine to the task that drives a request.
#[derive(Debug)]
pub enum Command {
    /// Send the request to an endpoint.
    Run {
        /// Id of the attempt.
        attempt: AttemptId,
        /// Address of the endpoint.
        address: SocketAddr,
        /// When the attempt times out.
        until: Instant,
    },
    /// Relay the request to another entry.
    Relay {
        /// Id of the attempt.
        attempt: AttemptId,
        /// Address of the other entry's link.
        link: SocketAddr,
        /// When the attempt times out.
        until: Instant,
    },
    /// Answer the request.
    Finish(Finish),
}

/// State shared by all connections.
pub struct Server {
    events: Sender<Event>,
    /// Command channels of the tasks that drive requests.
    drivers: Mutex<HashMap<RequestId, mpsc::UnboundedSender<Command>>>,
    next_id: AtomicU64,
    /// Number of requests being driven.
    open: AtomicUsize,
    limits: Limits,
    shared: Arc<Shared>,
    relays: relay::Pool,
    /// Limits on what callers hold.
    guard: Arc<Guard>,
}

impl Server {
    /// Creates a server that reports to the engine through `events`.
    pub fn new(events: Sender<Event>, limits: Limits, shared: Arc<Shared>) -> Self {
        let (next_id, open) = (AtomicU64::new(1), AtomicUsize::new(0));
        let (drivers, relays) = (Mutex::default(), relay::Pool::default());
        let guard = Guard::new(limits.intake());
        Self { events, drivers, next_id, open, limits, shared, relays, guard }
    }

    /// Passes the engine's command to the task that drives the request.
    pub fn send_command(&self, id: RequestId, command: Command) {
        let drivers = self.drivers.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(driver) = drivers.get(&id) {
            // Sending fails only if the task has ended, which it has reported to the engine.
            let _ = driver.send(command);
        }
    }

    /// Limits on what callers hold, and what they hold now.
    pub fn guard(&self) -> &Arc<Guard> {
        &self.guard
    }

    /// Number of requests being driven.
    pub fn open_requests(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }

    fn report(&self, event: Event) {
        // The receiver is closed only while the whole process ends.
        let _ = self.events.send(event);
    }
}

/// Serves callers until `stop` changes; returns once every connection has finished.
///
/// After `stop` it accepts connections for another [`DRAIN_TIME`], and then those in the kernel's
/// backlog, since closing the listener at once would reset callers that have already connected.
/// Their requests are refused as `not-run`.
pub async fn serve(
    listener: TcpListener,
    server: Arc<Server>,
    mut stop: watch::Receiver<bool>,
) -> std::io::Result<()> {
    let guard = Arc::clone(&server.guard);
    tokio::spawn(Arc::clone(&guard).report_periodically());
    tokio::spawn(Arc::clone(&guard).watch_stalled());
    if let Err(error) = intake::set_receive_buffer(&listener) {
        warn!("server: Failed to set the receive buffer: {error}.");
    }
    let (alive, mut ended) = mpsc::channel::<()>(1);
    let mut until = None;
    loop {
        let accepted = tokio::select! {
            accepted = accept_one(&listener, &guard) => accepted,
            _ = stop.changed(), if until.is_none() => {
                until = Some(tokio::time::Instant::now() + DRAIN_TIME);
                continue;
            }
            () = sleep_until(until) => match timeout(BACKLOG_WAIT, accept_one(&listener, &guard)).await {
                Ok(accepted) => accepted,
                Err(_) => break,
            },
        };
        let Some((socket, peer)) = accepted else {
            continue;
        };
        let Ok(connection) = guard.connect() else {
            continue;
        };
        let _ = socket.set_nodelay(true);
        let (server, stop, alive) = (server.clone(), stop.clone(), alive.clone());
        tokio::spawn(async move {
            serve_connection(socket, peer, server, connection, stop).await;
            drop(alive);
        });
        // Has a connection that was closed for this one end first.
        yield_now().await;
    }
    drop((listener, alive));
    ended.recv().await;
    Ok(())
}

/// Accepts one connection once it would be admitted; `None` if accepting failed.
async fn accept_one(listener: &TcpListener, guard: &Guard) -> Option<(TcpStream, SocketAddr)> {
    guard.room().await;
    match listener.accept().await {
        Ok(accepted) => Some(accepted),
        Err(error) => {
            warn!("server: Failed to accept a connection: {error}.");
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            None
        }
    }
}

/// Sleeps until an instant, or forever if there is none.
async fn sleep_until(until: Option<tokio::time::Instant>) {
    match until {
        Some(until) => tokio::time::sleep_until(until).await,
        None => std::future::pending().await,
    }
}

/// Serves a caller's connection until it ends, gracefully after `stop`.
async fn serve_connection(
    socket: TcpStream,
    peer: SocketAddr,
    server: Arc<Server>,
    connection: Connection,
    mut stop: watch::Receiver<bool>,
) {
    let guard = Arc::clone(&server.guard);
    let caller = Arc::new(connection);
    let requests_caller = Arc::clone(&caller);
    let (request_begun, mut has_begun) = watch::channel(false);
    let service = service_fn(move |request| {
        request_begun.send_replace(true);
        let (server, caller) = (server.clone(), Arc::clone(&requests_caller));
        async move { Ok::<_, Infallible>(handle(server, caller, request).await) }
    });
    let stream = Stream::new(socket, guard.limits().write_timeout);
    let connection = intake::builder(guard.limits()).serve_connection(stream, service);
    let mut connection = std::pin::pin!(connection);
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        () = caller.closing() => return,
        // A graceful shutdown closes a connection without a request although its first one may be
        // on its way, so it waits for that request to begin.
        () = both_set(&mut stop, &mut has_begun) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = ended {
        guard.count_error(&error);
        debug!("server: Connection from {peer} failed: {error}.");
    }
}

/// Waits until both flags are set.
async fn both_set(first: &mut watch::Receiver<bool>, second: &mut watch::Receiver<bool>) {
    for flag in [first, second] {
        // Waiting fails only if the sender is dropped: the process or the connection is ending.
        let _ = flag.wait_for(|set| *set).await;
    }
}

/// Answers the probes and the status page; passes other requests on.
async fn handle(
    server: Arc<Server>,
    caller: Arc<Connection>,
    request: Request<Incoming>,
) -> Response<Body> {
    match request.uri().path() {
        "/healthz" => response::text(StatusCode::OK, "alive\n"),
        "/readyz" if server.shared.ready() => response::text(StatusCode::OK, "ready\n"),
        "/readyz" => response::text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
        "/status" => response::json(&server.shared.status()),
        _ => {
            let reservation = server.guard.begin_body();
            let read = || caller.handle();
            let request = request.map(|body| body::paced(body, Arc::clone(&caller)));
            let response = accept(server, request, Origin::Caller, reservation, read).await;
            response.map(|body| body::tracked(body, caller))
        }
    }
}

/// Handles a request that another entry has relayed.
pub async fn accept_relayed(server: Arc<Server>, request: Request<Body>) -> Response<Body> {
    let reservation = server.guard.begin_relayed_body();
    accept(server, request, Origin::Entry, reservation, || ()).await
}

/// Where a request came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// A caller.
    Caller,
    /// Another entry, which relayed it.
    Entry,
}

/// Handles a request from its head to its response. `read` is called once enough of its body has been read.
async fn accept(
    server: Arc<Server>,
    request: Request<Body>,
    origin: Origin,
    reservation: Reservation,
    read: impl Fn(),
) -> Response<Body> {
    let (parts, body) = request.into_parts();
    let limits = &server.limits;
    let is_repeat = parts.headers.contains_key(REPEAT_HEADER);
    let parsed = receive::parse(&parts.uri, &parts.headers, limits, Instant::now());
    let parsed = match parsed {
        Ok(parsed) => parsed,
        Err(reason) => {
            server.guard.count_rejected_head();
            return response::not_admitted(StatusCode::BAD_REQUEST, is_repeat, &reason, None);
        }
    };
    if body.size_hint().lower() > limits.body_bytes {
        let reason = "the body exceeds the size limit";
        return response::not_admitted(StatusCode::PAYLOAD_TOO_LARGE, is_repeat, reason, None);
    }
    let idle = Duration::from_millis(limits.idle_ms);
    let body = match receive::prefetch(body, idle, Buffer::new(reservation)).await {
        Ok(body) => body,
        Err(error) => {
            server.guard.count_rejection(&error);
            let (status, retry_after) = if error.is_temporary() {
                (StatusCode::SERVICE_UNAVAILABLE, Some(MEMORY_DELAY))
            } else {
                (StatusCode::REQUEST_TIMEOUT, None)
            };
            return response::not_admitted(status, is_repeat, &error.to_string(), retry_after);
        }
    };
    read();
    let template = Template { method: parts.method, uri: parts.uri, headers: parts.headers, body };
    let (answer, answered) = oneshot::channel();
    tokio::spawn(drive::drive(server, parsed, template, origin, answer));
    answered.await.unwrap_or_else(|_| {
        let reason = "the task that handles the request ended without a response";
        response::with_outcome(StatusCode::INTERNAL_SERVER_ERROR, Outcome::Unknown, reason, None)
    })
}
