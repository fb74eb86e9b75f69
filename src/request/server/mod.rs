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
        relay,
        request::Outcome,
        settings::Limits,
    },
    crossbeam::channel::Sender,
    hyper::{
        Request, Response, StatusCode,
        body::{Body as _, Incoming},
        server::conn::http1,
        service::service_fn,
    },
    hyper_util::rt::{TokioIo, TokioTimer},
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
        sync::{OwnedSemaphorePermit, Semaphore, mpsc, oneshot, watch},
        time::timeout,
    },
};

/// Length up to which a body is read before the request is admitted.
pub const PREFETCH_BYTES: usize = 64 * 1024;

/// Length up to which a longer body is read before the request is admitted, while a permit is free.
pub const LONG_BYTES: usize = 512 * 1024;
/// Maximum number of bodies longer than [`PREFETCH_BYTES`] that are buffered at once.
const LONG_BODIES: usize = 32;
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
    /// Permits for buffering long bodies.
    long_bodies: Arc<Semaphore>,
}

impl Server {
    /// Creates a server that reports to the engine through `events`.
    pub fn new(events: Sender<Event>, limits: Limits, shared: Arc<Shared>) -> Self {
        let (next_id, open) = (AtomicU64::new(1), AtomicUsize::new(0));
        let (drivers, relays) = (Mutex::default(), relay::Pool::default());
        let long_bodies = Arc::new(Semaphore::new(LONG_BODIES));
        Self { events, drivers, next_id, open, limits, shared, relays, long_bodies }
    }

    /// Passes the engine's command to the task that drives the request.
    pub fn send_command(&self, id: RequestId, command: Command) {
        let drivers = self.drivers.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(driver) = drivers.get(&id) {
            // Sending fails only if the task has ended, which it has reported to the engine.
            let _ = driver.send(command);
        }
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
    let permits = Arc::new(Semaphore::new(server.limits.connections as usize));
    let (alive, mut ended) = mpsc::channel::<()>(1);
    let mut until = None;
    loop {
        let accepted = tokio::select! {
            accepted = accept_one(&listener, &permits) => accepted,
            _ = stop.changed(), if until.is_none() => {
                until = Some(tokio::time::Instant::now() + DRAIN_TIME);
                continue;
            }
            () = sleep_until(until) => match timeout(BACKLOG_WAIT, accept_one(&listener, &permits)).await {
                Ok(accepted) => accepted,
                Err(_) => break,
            },
        };
        let Some((socket, peer, permit)) = accepted else {
            continue;
        };
        let _ = socket.set_nodelay(true);
        let (server, stop, alive) = (server.clone(), stop.clone(), alive.clone());
        tokio::spawn(async move {
            serve_connection(socket, peer, server, stop).await;
            drop((permit, alive));
        });
    }
    drop((listener, alive));
    ended.recv().await;
    Ok(())
}

/// Accepts one connection within the limit on connections; `None` if accepting failed.
async fn accept_one(
    listener: &TcpListener,
    permits: &Arc<Semaphore>,
) -> Option<(TcpStream, SocketAddr, OwnedSemaphorePermit)> {
    let permit = permits.clone().acquire_owned().await.ok()?;
    match listener.accept().await {
        Ok((socket, peer)) => Some((socket, peer, permit)),
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
    mut stop: watch::Receiver<bool>,
) {
    let head = Duration::from_millis(server.limits.head_ms);
    let (request_begun, mut has_begun) = watch::channel(false);
    let service = service_fn(move |request| {
        request_begun.send_replace(true);
        let server = server.clone();
        async move { Ok::<_, Infallible>(handle(server, request).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(head)
        .serve_connection(TokioIo::new(socket), service);
    let mut connection = std::pin::pin!(connection);
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        // A graceful shutdown closes a connection without a request although its first one may be
        // on its way, so it waits for that request to begin.
        () = both_set(&mut stop, &mut has_begun) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = ended {
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
async fn handle(server: Arc<Server>, request: Request<Incoming>) -> Response<Body> {
    match request.uri().path() {
        "/healthz" => response::text(StatusCode::OK, "alive\n"),
        "/readyz" if server.shared.ready() => response::text(StatusCode::OK, "ready\n"),
        "/readyz" => response::text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
        "/status" => response::json(&server.shared.status()),
        _ => accept(server, request.map(body::boxed), Origin::Caller).await,
    }
}

/// Where a request came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// A caller.
    Caller,
    /// Another entry, which relayed it.
    Entry,
}

/// Handles a request from its head to its response.
pub async fn accept(server: Arc<Server>, request: Request<Body>, origin: Origin) -> Response<Body> {
    let (parts, body) = request.into_parts();
    let limits = &server.limits;
    let parsed = receive::parse(&parts.uri, &parts.headers, limits, Instant::now());
    let parsed = match parsed {
        Ok(parsed) => parsed,
        Err(reason) => return response::not_run(StatusCode::BAD_REQUEST, &reason, None),
    };
    if body.size_hint().lower() > limits.body_bytes {
        return response::not_run(
            StatusCode::PAYLOAD_TOO_LARGE,
            "the body exceeds the size limit",
            None,
        );
    }
    let idle = Duration::from_millis(limits.idle_ms);
    let body = match receive::prefetch(body, idle, &server.long_bodies).await {
        Ok(body) => body,
        Err(reason) => return response::not_run(StatusCode::REQUEST_TIMEOUT, reason, None),
    };
    let template = Template { method: parts.method, uri: parts.uri, headers: parts.headers, body };
    let (answer, answered) = oneshot::channel();
    tokio::spawn(drive::drive(server, parsed, template, origin, answer));
    answered.await.unwrap_or_else(|_| {
        let reason = "the task that handles the request ended without a response";
        response::with_outcome(StatusCode::INTERNAL_SERVER_ERROR, Outcome::Unknown, reason, None)
    })
}
