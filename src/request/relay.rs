//! Requests passed on to another entry, as HTTP/2 streams on links of their own.
//!
//! An entry relays what it can't serve: its availability zone has no endpoint for the service, or it
//! has not joined yet. A request is relayed once at most. Links are shared by the requests on them
//! and probed by pings, so that one that went silent costs its requests one timeout.

use {
    crate::{
        event::End,
        exchange::{self, Body, Reply},
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

/// Time allowed for opening a link.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time between two pings on a link.
const PING_INTERVAL: Duration = Duration::from_millis(500);
/// Time allowed for the answer to a ping.
const PING_TIMEOUT: Duration = Duration::from_secs(1);

/// Links on which requests are relayed.
#[derive(Default)]
pub struct Relays {
    open: Mutex<HashMap<SocketAddr, SendRequest<Body>>>,
}

impl Relays {
    /// Relays a request: a reply to pass on, or how it ended without one.
    pub async fn run(
        &self,
        link: SocketAddr,
        request: &Request,
        mut http: hyper::Request<Body>,
        until: Instant,
        idle: Duration,
    ) -> result::Result<Reply, End> {
        prepare(&mut http, link, request).map_err(|_| End::NotSent)?;
        let mut sender = self.sender(link).await.ok_or(End::NotSent)?;
        match timeout_at(until, sender.send_request(http)).await {
            Ok(Ok(response)) => {
                let (head, rest) = exchange::hold(response, request.class, until, idle).await?;
                Ok(Reply { head, rest, end: End::Relayed, connection: None })
            }
            Ok(Err(_)) => {
                self.close(link);
                Err(End::Broken)
            }
            Err(_) => Err(End::TimedOut),
        }
    }

    async fn sender(&self, link: SocketAddr) -> Option<SendRequest<Body>> {
        if let Some(sender) = self.found(link).filter(|sender| !sender.is_closed()) {
            return Some(sender);
        }
        let socket = timeout(CONNECT_TIMEOUT, TcpStream::connect(link)).await.ok()?.ok()?;
        // A socket that refuses the option still works.
        let _ = socket.set_nodelay(true);
        let (sender, connection) = Builder::new(TokioExecutor::new())
            .timer(TokioTimer::new())
            .keep_alive_interval(PING_INTERVAL)
            .keep_alive_timeout(PING_TIMEOUT)
            .handshake(TokioIo::new(socket))
            .await
            .ok()?;
        tokio::spawn(async move {
            // Its failure also ends the requests on it, which report it.
            let _ = connection.await;
        });
        let mut open = self.open.lock().unwrap_or_else(PoisonError::into_inner);
        open.insert(link, sender.clone());
        Some(sender)
    }

    fn found(&self, link: SocketAddr) -> Option<SendRequest<Body>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner).get(&link).cloned()
    }

    fn close(&self, link: SocketAddr) {
        self.open.lock().unwrap_or_else(PoisonError::into_inner).remove(&link);
    }
}

/// Addresses the request to the other entry, with the time that is left.
fn prepare(
    http: &mut hyper::Request<Body>,
    link: SocketAddr,
    request: &Request,
) -> result::Result<(), hyper::http::Error> {
    let path = http.uri().path_and_query().map_or("/", |path| path.as_str());
    *http.uri_mut() =
        Uri::builder().scheme("http").authority(link.to_string()).path_and_query(path).build()?;
    let headers = http.headers_mut();
    exchange::strip(headers);
    headers.remove(HOST);
    let left = request.deadline.saturating_duration_since(std::time::Instant::now());
    headers.insert(DEADLINE_HEADER, (left.as_millis() as u64).into());
    headers.insert(CLASS_HEADER, request.class.to_string().parse()?);
    Ok(())
}
