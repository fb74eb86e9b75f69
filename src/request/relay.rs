//! Relays requests to other entries as HTTP/2 streams, on connections used for nothing else.
//!
//! An entry relays requests that it can't serve because its availability zone has no endpoint for
//! the service, or because it has not joined yet. A request is relayed at most once. A connection
//! is shared by all requests to the same entry and checked by HTTP/2 pings, so that a dead
//! connection costs its requests no more than one ping timeout.

use {
    crate::{
        event::End,
        exchange::{self, Body, Reply},
        intake::Buffer,
        request::{CLASS_HEADER, DEADLINE_HEADER, Request},
    },
    hyper::{
        Uri,
        client::conn::http2::{Builder, SendRequest},
        header::HOST,
    },
    hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer},
    std::{
        collections::HashMap,
        net::SocketAddr,
        result,
        sync::{Mutex, PoisonError},
        time::Duration,
    },
    tokio::{
        net::TcpStream,
        time::{Instant, timeout, timeout_at},
    },
};

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time between two pings on a connection.
const PING_INTERVAL: Duration = Duration::from_millis(500);
/// Time without an answer to a ping after which the connection is closed.
const PING_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum number of requests that are relayed on a connection at once.
pub const MAX_STREAMS: u32 = 200;
/// Bytes of a relayed body that are received before they are read.
pub const STREAM_BYTES: u32 = 64 << 10;
/// Bytes that are received on a connection before they are read: those of all its streams, so that bodies
/// that nobody reads do not hold up the others.
pub const CONNECTION_BYTES: u32 = MAX_STREAMS * STREAM_BYTES;

/// Open relay connections by the other entry's address.
#[derive(Default)]
pub struct Pool {
    open: Mutex<HashMap<SocketAddr, SendRequest<Body>>>,
}

impl Pool {
    /// Relays a request; returns the response to pass on, or why there is none.
    pub async fn run(
        &self,
        link: SocketAddr,
        request: &Request,
        mut http: hyper::Request<Body>,
        until: Instant,
        idle: Duration,
        buffer: Buffer,
    ) -> result::Result<Reply, End> {
        prepare(&mut http, link, request).map_err(|_| End::NotSent)?;
        let mut sender = self.connect(link).await.ok_or(End::NotSent)?;
        match timeout_at(until, sender.send_request(http)).await {
            Ok(Ok(response)) => {
                let (head, rest) =
                    exchange::buffer(response, request.class, until, idle, buffer).await?;
                Ok(Reply { head, rest, end: End::Relayed, connection: None })
            }
            Ok(Err(_)) => {
                self.remove(link);
                Err(End::Broken)
            }
            Err(_) => Err(End::TimedOut),
        }
    }

    /// Returns the open connection to another entry, or opens one.
    async fn connect(&self, link: SocketAddr) -> Option<SendRequest<Body>> {
        if let Some(sender) = self.open_connection(link).filter(|sender| !sender.is_closed()) {
            return Some(sender);
        }
        let socket = timeout(CONNECT_TIMEOUT, TcpStream::connect(link)).await.ok()?.ok()?;
        // TCP_NODELAY only reduces latency; the connection works without it.
        let _ = socket.set_nodelay(true);
        let (sender, connection) = Builder::new(TokioExecutor::new())
            .timer(TokioTimer::new())
            .keep_alive_interval(PING_INTERVAL)
            .keep_alive_timeout(PING_TIMEOUT)
            .initial_stream_window_size(STREAM_BYTES)
            .initial_connection_window_size(CONNECTION_BYTES)
            .handshake(TokioIo::new(socket))
            .await
            .ok()?;
        tokio::spawn(async move {
            // A connection error also fails the requests on it, which report it.
            let _ = connection.await;
        });
        let mut open = self.open.lock().unwrap_or_else(PoisonError::into_inner);
        open.insert(link, sender.clone());
        Some(sender)
    }

    fn open_connection(&self, link: SocketAddr) -> Option<SendRequest<Body>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner).get(&link).cloned()
    }

    /// Removes a failed connection, so that the next request opens a new one.
    fn remove(&self, link: SocketAddr) {
        self.open.lock().unwrap_or_else(PoisonError::into_inner).remove(&link);
    }
}

/// Rewrites the request for the other entry: address, remaining time and class.
fn prepare(
    http: &mut hyper::Request<Body>,
    link: SocketAddr,
    request: &Request,
) -> result::Result<(), hyper::http::Error> {
    let path = http.uri().path_and_query().map_or("/", |path| path.as_str());
    *http.uri_mut() =
        Uri::builder().scheme("http").authority(link.to_string()).path_and_query(path).build()?;
    let headers = http.headers_mut();
    exchange::strip_hop_headers(headers);
    headers.remove(HOST);
    let left = request.deadline.saturating_duration_since(std::time::Instant::now());
    headers.insert(DEADLINE_HEADER, (left.as_millis() as u64).into());
    headers.insert(CLASS_HEADER, request.class.to_string().parse()?);
    Ok(())
}
