//! The callers' side: HTTP/1.1 requests in, whole answers out.
//!
//! A request's body is read up to [`PREFETCH_BYTES`] before the engine hears of it, so a slow caller
//! holds no slot. The request is then driven by a task of its own, which outlives the caller's
//! connection: an order that runs is finished and recorded though its caller has gone.

use {
    crate::{
        engine::Shared,
        event::{End, Event, Finish, RequestId},
        exchange::{self, Body, BodyError, Connection, Reply},
        id::AttemptId,
        request::{
            CLASS_HEADER, Class, DEADLINE_HEADER, DEFAULT_TEAM, KEY_HEADER, OUTCOME_HEADER,
            Outcome, Request, TEAM_HEADER,
        },
        settings::Limits,
    },
    bytes::{Bytes, BytesMut},
    crossbeam::channel::Sender,
    http_body_util::{BodyExt, Full, StreamBody, combinators::UnsyncBoxBody},
    hyper::{
        HeaderMap, Method, Response, StatusCode, Uri,
        body::{Body as _, Frame, Incoming, SizeHint},
        header::{CONTENT_LENGTH, CONTENT_TYPE, RETRY_AFTER},
        server::conn::http1,
        service::service_fn,
    },
    hyper_util::rt::{TokioIo, TokioTimer},
    log::{debug, warn},
    siphasher::sip::SipHasher13,
    std::{
        collections::HashMap,
        convert::Infallible,
        hash::{Hash, Hasher},
        net::SocketAddr,
        pin::Pin,
        result,
        sync::{
            Arc, Mutex, PoisonError,
            atomic::{AtomicU64, AtomicUsize, Ordering},
        },
        task::{Context, Poll},
        time::{Duration, Instant},
    },
    tokio::{
        net::TcpListener,
        sync::{Semaphore, mpsc, oneshot, watch},
        time::timeout,
    },
};

/// Part of a body that is read before the request is admitted.
pub const PREFETCH_BYTES: usize = 64 * 1024;

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
}

impl Server {
    /// Prepares a server that reports to the engine.
    pub fn new(events: Sender<Event>, limits: Limits, shared: Arc<Shared>) -> Self {
        let (next, open) = (AtomicU64::new(1), AtomicUsize::new(0));
        Self { events, waiters: Mutex::default(), next, open, limits, shared }
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
pub async fn serve(
    listener: TcpListener,
    server: Arc<Server>,
    mut stop: watch::Receiver<bool>,
) -> std::io::Result<()> {
    let places = Arc::new(Semaphore::new(server.limits.connections as usize));
    let (alive, mut ended) = mpsc::channel::<()>(1);
    loop {
        let place = tokio::select! {
            _ = stop.changed() => break,
            place = places.clone().acquire_owned() => place,
        };
        let accepted = tokio::select! {
            _ = stop.changed() => break,
            accepted = listener.accept() => accepted,
        };
        let (socket, peer) = match accepted {
            Ok(accepted) => accepted,
            Err(error) => {
                warn!("server: Accept failed: {error}.");
                tokio::time::sleep(Duration::from_millis(50)).await;
                continue;
            }
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

async fn connect(
    socket: tokio::net::TcpStream,
    peer: SocketAddr,
    server: Arc<Server>,
    mut stop: watch::Receiver<bool>,
) {
    let head = Duration::from_millis(server.limits.head_ms);
    let service = service_fn(move |request| {
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
        () = stopped(&mut stop) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = ended {
        debug!("server: Connection of {peer} failed: {error}.");
    }
}

async fn stopped(stop: &mut watch::Receiver<bool>) {
    // A dropped sender means that the process ends.
    let _ = stop.wait_for(|stop| *stop).await;
}

async fn handle(server: Arc<Server>, request: hyper::Request<Incoming>) -> Response<Body> {
    let path = request.uri().path();
    match path {
        "/healthz" => return text(StatusCode::OK, "alive\n"),
        "/readyz" if server.shared.ready() => return text(StatusCode::OK, "ready\n"),
        "/readyz" => return text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
        "/status" => return json(&server.shared.status()),
        _ => {}
    }
    let (parts, body) = request.into_parts();
    let limits = &server.limits;
    let parsed = parse(&parts.uri, &parts.headers, limits, Instant::now());
    let parsed = match parsed {
        Ok(parsed) => parsed,
        Err(reason) => return refusal(StatusCode::BAD_REQUEST, &reason, None),
    };
    if body.size_hint().lower() > limits.body_bytes {
        return refusal(StatusCode::PAYLOAD_TOO_LARGE, "the body is too long", None);
    }
    let idle = Duration::from_millis(limits.idle_ms);
    let (held, rest) = match prefetch(body, idle).await {
        Ok(read) => read,
        Err(reason) => return refusal(StatusCode::REQUEST_TIMEOUT, reason, None),
    };
    let source =
        Source { method: parts.method, uri: parts.uri, headers: parts.headers, held, rest };
    let (answer, answered) = oneshot::channel();
    tokio::spawn(drive(server, parsed, source, answer));
    answered.await.unwrap_or_else(|_| {
        let reason = "the request's task ended without an answer";
        outcome(StatusCode::INTERNAL_SERVER_ERROR, Outcome::Unknown, reason, None)
    })
}

fn parse(
    uri: &Uri,
    headers: &HeaderMap,
    limits: &Limits,
    now: Instant,
) -> result::Result<Request, String> {
    let service = uri.path().split('/').nth(1).unwrap_or_default();
    if service.is_empty() {
        return Err(String::from("the path must begin with a service's name"));
    }
    let team = header(headers, TEAM_HEADER)?.unwrap_or(DEFAULT_TEAM);
    let key = header(headers, KEY_HEADER)?;
    let class = match header(headers, CLASS_HEADER)? {
        None if key.is_some() => Class::Order,
        None | Some("quick") => Class::Quick,
        Some("watch") => Class::Watch,
        Some("order") => Class::Order,
        Some(other) => return Err(format!("{CLASS_HEADER}: {other:?} is not a class")),
    };
    let deadline = match header(headers, DEADLINE_HEADER)? {
        None => limits.deadline_ms,
        Some(text) => text.parse().map_err(|e| format!("{DEADLINE_HEADER}: {text:?}: {e}"))?,
    };
    let deadline = now + Duration::from_millis(deadline.min(MAX_DEADLINE_MS));
    let (service, team) = (service.to_string(), team.to_string());
    Ok(Request { service, team, class, deadline, key: key.map(str::to_string) })
}

/// Longest deadline in milliseconds; a later one is cut to it.
const MAX_DEADLINE_MS: u64 = 24 * 3600 * 1000;

fn header<'a>(headers: &'a HeaderMap, name: &str) -> result::Result<Option<&'a str>, String> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    value.to_str().map(Some).map_err(|_| format!("{name}: not plain text"))
}

async fn prefetch(
    mut body: Incoming,
    idle: Duration,
) -> result::Result<(Bytes, Option<Incoming>), &'static str> {
    let mut held = BytesMut::new();
    while held.len() < PREFETCH_BYTES && !body.is_end_stream() {
        match timeout(idle, body.frame()).await {
            Err(_) => return Err("the body came too slowly"),
            Ok(Some(Err(_))) => return Err("the body broke off"),
            Ok(Some(Ok(frame))) => {
                held.extend_from_slice(frame.data_ref().unwrap_or(&Bytes::new()))
            }
            Ok(None) => return Ok((held.freeze(), None)),
        }
    }
    let ended = body.is_end_stream();
    Ok((held.freeze(), (!ended).then_some(body)))
}

/// A caller's request as it is sent to endpoints.
struct Source {
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    held: Bytes,
    rest: Option<Incoming>,
}

impl Source {
    fn fingerprint(&self) -> u64 {
        let mut hasher = SipHasher13::new();
        self.method.hash(&mut hasher);
        self.uri.path_and_query().map(|p| p.as_str()).hash(&mut hasher);
        self.held.hash(&mut hasher);
        hasher.finish()
    }

    /// The request for one attempt; its body's rest can be taken only once.
    fn take(&mut self, limit: u64, idle: Duration) -> hyper::Request<Body> {
        let first = Full::new(self.held.clone());
        let body = match self.rest.take() {
            None => UnsyncBoxBody::new(first.map_err(|never| match never {})),
            Some(rest) => chain(self.held.clone(), rest, limit, idle),
        };
        let path = self.uri.path_and_query().map_or("/", |p| p.as_str());
        let mut request = hyper::Request::new(body);
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = path.parse().unwrap_or_default();
        *request.headers_mut() = self.headers.clone();
        request
    }
}

/// Body that passes on the bytes held, then the caller's rest, within the limits.
fn chain(held: Bytes, rest: Incoming, limit: u64, idle: Duration) -> Body {
    let (sender, receiver) = mpsc::channel::<result::Result<Frame<Bytes>, BodyError>>(4);
    let size = rest.size_hint().exact().map(|rest| rest + held.len() as u64);
    tokio::spawn(async move {
        let mut rest = rest;
        let mut passed = held.len() as u64;
        if sender.send(Ok(Frame::data(held))).await.is_err() {
            return;
        }
        loop {
            let frame = match timeout(idle, rest.frame()).await {
                Err(_) => Err(BodyError::from("the caller's body came too slowly")),
                Ok(None) => return,
                Ok(Some(Err(error))) => Err(BodyError::from(error)),
                Ok(Some(Ok(frame))) => Ok(frame),
            };
            passed += frame.as_ref().ok().and_then(|f| f.data_ref()).map_or(0, Bytes::len) as u64;
            let frame = if passed > limit { Err("the body is too long".into()) } else { frame };
            let failed = frame.is_err();
            if sender.send(frame).await.is_err() || failed {
                return;
            }
        }
    });
    UnsyncBoxBody::new(Sized { inner: StreamBody::new(Frames(receiver)), size })
}

struct Frames(mpsc::Receiver<result::Result<Frame<Bytes>, BodyError>>);

impl futures_core::Stream for Frames {
    type Item = result::Result<Frame<Bytes>, BodyError>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        self.0.poll_recv(cx)
    }
}

/// A body of a length known beforehand.
struct Sized<B> {
    inner: B,
    size: Option<u64>,
}

impl<B: hyper::body::Body + Unpin> hyper::body::Body for Sized<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<result::Result<Frame<B::Data>, B::Error>>> {
        Pin::new(&mut self.inner).poll_frame(cx)
    }

    fn size_hint(&self) -> SizeHint {
        self.size.map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}

/// Takes a request from admission to its answer.
async fn drive(
    server: Arc<Server>,
    request: Request,
    mut source: Source,
    mut answer: oneshot::Sender<Response<Body>>,
) {
    let id = server.next.fetch_add(1, Ordering::Relaxed);
    let (sender, mut steps) = mpsc::unbounded_channel();
    let _entered = Entered::new(&server, id, sender);
    let (class, fingerprint) = (request.class, source.fingerprint());
    let repeatable = source.rest.is_none();
    server.tell(Event::Arrived { id, request, fingerprint, repeatable });
    let idle = Duration::from_millis(server.limits.idle_ms);
    loop {
        let step = tokio::select! {
            step = steps.recv() => step,
            _ = answer.closed() => None,
        };
        let (attempt, address, until) = match step {
            None => return server.tell(Event::Cancelled { id }),
            Some(Step::Finish(finish)) => {
                // A caller that has gone needs no answer.
                let _ = answer.send(finished(finish));
                return;
            }
            Some(Step::Run { attempt, address, until }) => (attempt, address, until),
        };
        let request = source.take(server.limits.body_bytes, idle);
        let until = until.into();
        let call = exchange::Call { address, attempt, class, until, idle, request };
        match exchange::run(call).await {
            Err(end) => server.tell(Event::Ended { id, attempt, end }),
            Ok(reply) => {
                let watch = Watch { server: server.clone(), id, attempt, end: None };
                let _ = answer.send(pass_on(reply, watch, idle));
                return;
            }
        }
    }
}

/// Counts a driven request and its place among the waiters.
struct Entered {
    server: Arc<Server>,
    id: RequestId,
}

impl Entered {
    fn new(server: &Arc<Server>, id: RequestId, sender: mpsc::UnboundedSender<Step>) -> Self {
        server.open.fetch_add(1, Ordering::Relaxed);
        server.waiters.lock().unwrap_or_else(PoisonError::into_inner).insert(id, sender);
        Self { server: server.clone(), id }
    }
}

impl Drop for Entered {
    fn drop(&mut self) {
        self.server.open.fetch_sub(1, Ordering::Relaxed);
        self.server.waiters.lock().unwrap_or_else(PoisonError::into_inner).remove(&self.id);
    }
}

/// Reports an attempt's end once its answer has been passed on, or has broken off.
struct Watch {
    server: Arc<Server>,
    id: RequestId,
    attempt: AttemptId,
    end: Option<End>,
}

impl Drop for Watch {
    fn drop(&mut self) {
        let end = self.end.take().unwrap_or(End::Cut);
        self.server.tell(Event::Ended { id: self.id, attempt: self.attempt, end });
    }
}

fn pass_on(reply: Reply, mut watch: Watch, idle: Duration) -> Response<Body> {
    let Reply { head, rest, end, connection } = reply;
    let (mut parts, held) = head.into_parts();
    let failed = parts.status.is_server_error();
    let said = if failed { Outcome::Failed } else { Outcome::Done };
    if let Ok(value) = said.to_string().parse() {
        parts.headers.insert(OUTCOME_HEADER, value);
    }
    let Some(rest) = rest else {
        watch.end = Some(end);
        drop(watch);
        let body = Full::new(held).map_err(|never| match never {});
        return Response::from_parts(parts, UnsyncBoxBody::new(body));
    };
    let size = rest.size_hint().exact().map(|rest| rest + held.len() as u64);
    let (sender, receiver) = mpsc::channel(4);
    tokio::spawn(relay(held, rest, sender, watch, end, connection, idle));
    let body = Sized { inner: StreamBody::new(Frames(receiver)), size };
    Response::from_parts(parts, UnsyncBoxBody::new(body))
}

async fn relay(
    held: Bytes,
    mut rest: Incoming,
    sender: mpsc::Sender<result::Result<Frame<Bytes>, BodyError>>,
    mut watch: Watch,
    end: End,
    _connection: Connection,
    idle: Duration,
) {
    if sender.send(Ok(Frame::data(held))).await.is_err() {
        return;
    }
    loop {
        let frame = tokio::select! {
            frame = rest.frame() => frame,
            _ = sender.closed() => return,
        };
        match frame {
            None => {
                watch.end = Some(end);
                return;
            }
            Some(Ok(frame)) => match timeout(idle, sender.send(Ok(frame))).await {
                Ok(Ok(())) => {}
                _ => return,
            },
            Some(Err(error)) => {
                // The caller's connection is broken off, so that it sees the answer is not whole.
                let _ = sender.send(Err(error.into())).await;
                return;
            }
        }
    }
}

fn finished(finish: Finish) -> Response<Body> {
    match finish {
        Finish::NotRun { reason, retry_after } => {
            refusal(StatusCode::SERVICE_UNAVAILABLE, &reason, Some(retry_after))
        }
        Finish::Failed { reason } => {
            outcome(StatusCode::BAD_GATEWAY, Outcome::Failed, &reason, None)
        }
        Finish::Unknown { reason, retry_after } => {
            outcome(StatusCode::GATEWAY_TIMEOUT, Outcome::Unknown, &reason, Some(retry_after))
        }
        Finish::Kept(kept) => {
            let status = StatusCode::from_u16(kept.status).unwrap_or(StatusCode::OK);
            outcome(status, Outcome::Done, &kept.body.unwrap_or_default(), None)
        }
    }
}

fn refusal(status: StatusCode, reason: &str, retry_after: Option<Duration>) -> Response<Body> {
    outcome(status, Outcome::NotRun, reason, retry_after)
}

fn outcome(
    status: StatusCode,
    said: Outcome,
    reason: &str,
    retry_after: Option<Duration>,
) -> Response<Body> {
    let mut response = text(status, reason);
    let headers = response.headers_mut();
    if let Ok(value) = said.to_string().parse() {
        headers.insert(OUTCOME_HEADER, value);
    }
    if let Some(after) = retry_after {
        headers.insert(RETRY_AFTER, after.as_secs().max(1).into());
    }
    response
}

fn text(status: StatusCode, content: &str) -> Response<Body> {
    let content = Bytes::from(content.to_string());
    let length = content.len();
    let body = Full::new(content).map_err(|never| match never {});
    let mut response = Response::new(UnsyncBoxBody::new(body));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_LENGTH, length.into());
    response
}

fn json(content: &impl serde::Serialize) -> Response<Body> {
    let mut response = text(StatusCode::OK, &serde_json::to_string(content).unwrap_or_default());
    if let Ok(value) = "application/json".parse() {
        response.headers_mut().insert(CONTENT_TYPE, value);
    }
    response
}
