//! The callers' side: HTTP/1.1 requests in, whole answers out.
//!
//! A request's body is read up to [`PREFETCH_BYTES`] before the engine hears of it, so a slow caller
//! holds no slot. The request is then driven by a task of its own, which outlives the caller's
//! connection: an order that runs is finished and recorded though its caller has gone.

mod answer;
mod drive;
mod intake;

use {
    crate::{
        body,
        engine::Shared,
        event::{Event, Finish, RequestId},
        exchange::Body,
        id::AttemptId,
        relay::Relays,
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
    intake::Source,
    log::{debug, warn},
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

/// Part of a body that is read before the request is admitted.
pub const PREFETCH_BYTES: usize = 64 * 1024;

/// Part of a longer body that is read before the request is admitted, while there is room.
pub const LONG_BYTES: usize = 512 * 1024;
/// Longer bodies that are held at once.
const LONG_BODIES: usize = 32;
/// Time for which a stopping entry still accepts connections.
pub const LINGER: Duration = Duration::from_secs(1);
/// Time in which a connection that the kernel has queued is accepted.
const QUEUED: Duration = Duration::from_millis(5);
/// Pause after a failure to accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// What the engine tells the task that drives a request.
#[derive(Debug)]
pub enum Step {
    /// Run it.
    Run {
        /// The attempt.
        attempt: AttemptId,
        /// Endpoint's address.
        address: SocketAddr,
        /// When to give up.
        until: Instant,
    },
    /// Relay it to another entry.
    Relay {
        /// The attempt.
        attempt: AttemptId,
        /// Link of the other entry.
        link: SocketAddr,
        /// When to give up.
        until: Instant,
    },
    /// Answer it.
    Finish(Finish),
}

/// What connections share.
pub struct Server {
    events: Sender<Event>,
    waiters: Mutex<HashMap<RequestId, mpsc::UnboundedSender<Step>>>,
    next: AtomicU64,
    open: AtomicUsize,
    limits: Limits,
    shared: Arc<Shared>,
    relays: Relays,
    room: Arc<Semaphore>,
}

impl Server {
    /// Prepares a server that reports to the engine.
    pub fn new(events: Sender<Event>, limits: Limits, shared: Arc<Shared>) -> Self {
        let (next, open) = (AtomicU64::new(1), AtomicUsize::new(0));
        let (waiters, relays) = (Mutex::default(), Relays::default());
        let room = Arc::new(Semaphore::new(LONG_BODIES));
        Self { events, waiters, next, open, limits, shared, relays, room }
    }

    /// Hands the engine's word to the task that drives the request.
    pub fn step(&self, id: RequestId, step: Step) {
        let waiters = self.waiters.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(waiter) = waiters.get(&id) {
            // A task that has ended has reported its end to the engine.
            let _ = waiter.send(step);
        }
    }

    /// Requests that are being driven.
    pub fn open(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }

    fn tell(&self, event: Event) {
        // The engine is gone only while the whole process ends.
        let _ = self.events.send(event);
    }
}

/// Accepts callers until `stop` changes, then ends once every connection has finished.
///
/// After `stop` it accepts for [`LINGER`] more, and what the kernel has queued by then: a listener
/// that is closed at once resets callers that have connected already. They are told `not-run`.
pub async fn serve(
    listener: TcpListener,
    server: Arc<Server>,
    mut stop: watch::Receiver<bool>,
) -> std::io::Result<()> {
    let places = Arc::new(Semaphore::new(server.limits.connections as usize));
    let (alive, mut ended) = mpsc::channel::<()>(1);
    let mut until = None;
    loop {
        let accepted = tokio::select! {
            accepted = accept_one(&listener, &places) => accepted,
            _ = stop.changed(), if until.is_none() => {
                until = Some(tokio::time::Instant::now() + LINGER);
                continue;
            }
            () = sleep_until(until) => match timeout(QUEUED, accept_one(&listener, &places)).await {
                Ok(accepted) => accepted,
                Err(_) => break,
            },
        };
        let Some((socket, peer, place)) = accepted else {
            continue;
        };
        let _ = socket.set_nodelay(true);
        let (server, stop, alive) = (server.clone(), stop.clone(), alive.clone());
        tokio::spawn(async move {
            connect(socket, peer, server, stop).await;
            drop((place, alive));
        });
    }
    drop((listener, alive));
    ended.recv().await;
    Ok(())
}

/// A connection and its place among the allowed ones; none if accepting failed.
async fn accept_one(
    listener: &TcpListener,
    places: &Arc<Semaphore>,
) -> Option<(TcpStream, SocketAddr, OwnedSemaphorePermit)> {
    let place = places.clone().acquire_owned().await.ok()?;
    match listener.accept().await {
        Ok((socket, peer)) => Some((socket, peer, place)),
        Err(error) => {
            warn!("server: Accept failed: {error}.");
            tokio::time::sleep(ACCEPT_PAUSE).await;
            None
        }
    }
}

/// Waits for an instant; for ever without one.
async fn sleep_until(until: Option<tokio::time::Instant>) {
    match until {
        Some(until) => tokio::time::sleep_until(until).await,
        None => std::future::pending().await,
    }
}

async fn connect(
    socket: TcpStream,
    peer: SocketAddr,
    server: Arc<Server>,
    mut stop: watch::Receiver<bool>,
) {
    let head = Duration::from_millis(server.limits.head_ms);
    let (begin, mut begun) = watch::channel(false);
    let service = service_fn(move |request| {
        begin.send_replace(true);
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
        // A connection without a request yet would be closed though one may be on its way.
        () = both(&mut stop, &mut begun) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = ended {
        debug!("server: Connection of {peer} failed: {error}.");
    }
}

async fn both(first: &mut watch::Receiver<bool>, second: &mut watch::Receiver<bool>) {
    for flag in [first, second] {
        // A dropped sender means that the process, or the connection, ends.
        let _ = flag.wait_for(|set| *set).await;
    }
}

async fn handle(server: Arc<Server>, request: Request<Incoming>) -> Response<Body> {
    match request.uri().path() {
        "/healthz" => answer::text(StatusCode::OK, "alive\n"),
        "/readyz" if server.shared.ready() => answer::text(StatusCode::OK, "ready\n"),
        "/readyz" => answer::text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
        "/status" => answer::json(&server.shared.status()),
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

/// Takes a request from its head to its answer.
pub async fn accept(server: Arc<Server>, request: Request<Body>, origin: Origin) -> Response<Body> {
    let (parts, body) = request.into_parts();
    let limits = &server.limits;
    let parsed = intake::parse(&parts.uri, &parts.headers, limits, Instant::now());
    let parsed = match parsed {
        Ok(parsed) => parsed,
        Err(reason) => return answer::refusal(StatusCode::BAD_REQUEST, &reason, None),
    };
    if body.size_hint().lower() > limits.body_bytes {
        return answer::refusal(StatusCode::PAYLOAD_TOO_LARGE, "the body is too long", None);
    }
    let idle = Duration::from_millis(limits.idle_ms);
    let held = match intake::prefetch(body, idle, &server.room).await {
        Ok(read) => read,
        Err(reason) => return answer::refusal(StatusCode::REQUEST_TIMEOUT, reason, None),
    };
    let source = Source { method: parts.method, uri: parts.uri, headers: parts.headers, held };
    let (answer, answered) = oneshot::channel();
    tokio::spawn(drive::drive(server, parsed, source, origin, answer));
    answered.await.unwrap_or_else(|_| {
        let reason = "the request's task ended without an answer";
        answer::outcome(StatusCode::INTERNAL_SERVER_ERROR, Outcome::Unknown, reason, None)
    })
}
