//! HTTP server of the stand-ins.
//!
//! `oxhttp`'s server can't report the port that the kernel chose, doesn't number its connections and
//! always sends a response. The stand-ins need the port and the numbers, and some faults withhold the
//! response, so `hyper`, the most similar server, is used here, on a single-threaded runtime in a
//! thread of its own. [`Connections`] counts and limits the connections, and takes the server down for
//! a time: it then refuses connections and breaks the open ones.

use {
    crate::payload::Payload,
    bytes::Bytes,
    displaydoc::Display,
    http_body_util::{BodyExt, Limited},
    hyper::{
        HeaderMap, Method, Request, Response, StatusCode, Uri, body::Incoming, server::conn::http1,
        service::service_fn,
    },
    hyper_util::rt::TokioIo,
    serde::{Deserialize, Serialize, de::DeserializeOwned},
    std::{
        io,
        net::SocketAddr,
        pin::pin,
        rc::Rc,
        str::FromStr,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        thread,
        time::{Duration, Instant},
    },
    tokio::{
        net::{TcpListener, TcpStream},
        select,
        sync::watch,
        task::{JoinSet, LocalSet},
        time::sleep,
    },
};

/// Maximum length of a request's body.
const MAX_BODY_BYTES: usize = 64 << 20;
/// Time between two attempts to listen again after an outage.
const LISTEN_RETRY: Duration = Duration::from_millis(20);

/// Why a server did not start.
#[derive(Debug, Display)]
pub enum Error {
    /// listen on {0}: {1}
    Listen(SocketAddr, io::Error),
    /// start thread of {0}: {1}
    Thread(SocketAddr, io::Error),
}

impl std::error::Error for Error {}

/// Result of starting a server.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Locks a mutex, even if a thread panicked while it held the lock.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A request that was read completely.
#[derive(Debug)]
pub struct Call {
    /// Number of the connection on which it came, in the order of acceptance from 0.
    pub connection: u64,
    /// Method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl Call {
    /// Segments of the path.
    pub fn segments(&self) -> Vec<&str> {
        self.uri.path().split('/').filter(|s| !s.is_empty()).collect()
    }

    /// Value of a query parameter, if it is present and valid.
    pub fn param<T: FromStr>(&self, name: &str) -> Option<T> {
        let pairs = self.uri.query()?.split('&').filter_map(|p| p.split_once('='));
        pairs.filter(|(n, _)| *n == name).find_map(|(_, v)| v.parse().ok())
    }

    /// Value of a header, if it is present and valid.
    pub fn header<T: FromStr>(&self, name: &str) -> Option<T> {
        self.headers.get(name)?.to_str().ok()?.parse().ok()
    }

    /// Decodes the body as JSON; the error is a reply of status 400.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, Reply> {
        serde_json::from_slice(&self.body).map_err(|e| Reply::text(400, &e.to_string()))
    }
}

/// What the server does with a call.
#[derive(Debug)]
pub enum Reply {
    /// Sends a response.
    Respond(Box<Response<Payload>>),
    /// Closes the connection without a response.
    Close,
}

impl Reply {
    /// Response with a status code and a body.
    pub fn new(status: u16, payload: Payload) -> Self {
        let mut response = Response::new(payload);
        *response.status_mut() =
            StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        Self::Respond(Box::new(response))
    }

    /// Response in plain text.
    pub fn text(status: u16, text: &str) -> Self {
        Self::new(status, Payload::complete(text.to_owned()))
    }

    /// Response in JSON.
    pub fn json(status: u16, value: &impl Serialize) -> Self {
        match serde_json::to_vec(value) {
            Ok(data) => Self::new(status, Payload::complete(data)),
            Err(error) => Self::text(500, &error.to_string()),
        }
    }

    /// Adds a header to the response.
    pub fn with_header(mut self, name: &'static str, value: &str) -> Self {
        if let (Self::Respond(response), Ok(value)) = (&mut self, value.parse()) {
            response.headers_mut().insert(name, value);
        }
        self
    }
}

/// Counts of a server's connections.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Accepted so far.
    pub accepted: u64,
    /// Open now.
    pub open: usize,
    /// Maximum number open at the same time.
    pub most_open: usize,
    /// Closed immediately because too many were open.
    pub refused: u64,
}

/// Limits the connections of a server, and takes the server down.
#[derive(Debug)]
pub struct Connections {
    limit: usize,
    counts: Mutex<Counts>,
    down_until: watch::Sender<Option<Instant>>,
}

impl Connections {
    fn new(limit: usize) -> Self {
        Self { limit, counts: Mutex::default(), down_until: watch::Sender::new(None) }
    }

    /// Counts so far.
    pub fn counts(&self) -> Counts {
        lock(&self.counts).clone()
    }

    /// Breaks every connection and refuses new ones until `until`; `None` ends the outage.
    pub fn set_down(&self, until: Option<Instant>) {
        self.down_until.send_replace(until);
    }

    /// Counts a new connection and returns its number; `None` if too many are open.
    fn admit(&self) -> Option<u64> {
        let mut counts = lock(&self.counts);
        if counts.open >= self.limit {
            counts.refused += 1;
            return None;
        }
        counts.accepted += 1;
        counts.open += 1;
        counts.most_open = counts.most_open.max(counts.open);
        Some(counts.accepted - 1)
    }
}

/// Counts a connection as open until it is dropped.
struct Permit(Arc<Connections>);

impl Drop for Permit {
    fn drop(&mut self) {
        lock(&self.0.counts).open -= 1;
    }
}

/// A running server; dropping it stops it.
#[derive(Debug)]
pub struct Handle {
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Counts, limit and outage of its connections.
    pub connections: Arc<Connections>,
    stop: watch::Sender<bool>,
    thread: Option<thread::JoinHandle<()>>,
}

impl Handle {
    /// Waits until the server ends.
    pub fn join(mut self) {
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

impl Drop for Handle {
    fn drop(&mut self) {
        self.stop.send_replace(true);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Starts a server that calls `handle` for each request and has at most `limit` open connections.
pub fn spawn<F, R>(listen: SocketAddr, limit: usize, handle: F) -> Result<Handle>
where
    F: Fn(Call) -> R + Send + 'static,
    R: Future<Output = Reply> + 'static,
{
    let listener = bind(listen).map_err(|e| Error::Listen(listen, e))?;
    let address = listener.local_addr().map_err(|e| Error::Listen(listen, e))?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|e| Error::Thread(address, e))?;
    let connections = Arc::new(Connections::new(limit));
    let (stop, mut stopped) = watch::channel(false);
    let shared = connections.clone();
    let thread = thread::Builder::new()
        .name(format!("serve {address}"))
        .spawn(move || {
            let serving = async {
                select! {
                    _ = stopped.wait_for(|s| *s) => (),
                    _ = accept(listener, address, shared, Rc::new(handle)) => (),
                }
            };
            LocalSet::new().block_on(&runtime, serving);
        })
        .map_err(|e| Error::Thread(address, e))?;
    Ok(Handle { address, connections, stop, thread: Some(thread) })
}

fn bind(address: SocketAddr) -> io::Result<std::net::TcpListener> {
    let listener = std::net::TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}

async fn accept<F, R>(
    listener: std::net::TcpListener,
    address: SocketAddr,
    connections: Arc<Connections>,
    handle: Rc<F>,
) -> io::Result<()>
where
    F: Fn(Call) -> R + 'static,
    R: Future<Output = Reply> + 'static,
{
    let mut listener = TcpListener::from_std(listener)?;
    let mut tasks = JoinSet::new();
    let mut down = connections.down_until.subscribe();
    loop {
        select! {
            _ = down.changed() => {
                let until = *down.borrow_and_update();
                if until.is_some_and(|u| u > Instant::now()) {
                    drop(listener);
                    tasks.shutdown().await;
                    listener = listen_again(address, &mut down).await?;
                }
            }
            Some(_) = tasks.join_next() => (),
            Ok((stream, _)) = listener.accept() => if let Some(number) = connections.admit() {
                tasks.spawn_local(serve(stream, number, Permit(connections.clone()), handle.clone()));
            },
        }
    }
}

/// Listens again once the outage is over; a call of [`Connections::set_down`] may end or extend it
/// meanwhile.
async fn listen_again(
    address: SocketAddr,
    down: &mut watch::Receiver<Option<Instant>>,
) -> io::Result<TcpListener> {
    loop {
        let until = *down.borrow_and_update();
        let remaining =
            until.map_or(Duration::ZERO, |u| u.saturating_duration_since(Instant::now()));
        if !remaining.is_zero() {
            select! {
                _ = sleep(remaining) => (),
                _ = down.changed() => (),
            }
            continue;
        }
        match bind(address) {
            Ok(listener) => return TcpListener::from_std(listener),
            Err(_) => sleep(LISTEN_RETRY).await,
        }
    }
}

async fn serve<F, R>(stream: TcpStream, connection: u64, _permit: Permit, handle: Rc<F>)
where
    F: Fn(Call) -> R + 'static,
    R: Future<Output = Reply> + 'static,
{
    let _ = stream.set_nodelay(true);
    let service = service_fn(|request| respond(request, connection, handle.clone()));
    let serving = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    // An error here means that the caller broke the connection or the reply is `Reply::Close`; neither is
    // an error of the server.
    let _ = pin!(serving).await;
}

async fn respond<F, R>(
    request: Request<Incoming>,
    connection: u64,
    handle: Rc<F>,
) -> io::Result<Response<Payload>>
where
    F: Fn(Call) -> R,
    R: Future<Output = Reply>,
{
    let (head, body) = request.into_parts();
    let body = Limited::new(body, MAX_BODY_BYTES).collect().await.map_err(io::Error::other)?;
    let call = Call {
        connection,
        method: head.method,
        uri: head.uri,
        headers: head.headers,
        body: body.to_bytes(),
    };
    match handle(call).await {
        Reply::Respond(response) => Ok(*response),
        Reply::Close => Err(io::Error::from(io::ErrorKind::ConnectionReset)),
    }
}
