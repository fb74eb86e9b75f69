//! Requests between entries over HTTP/2, with one bincode message as the body of each request and
//! each response.

use {
    super::{listener::Listener, shared::Shared},
    crate::{
        intake,
        job::{
            access::Key,
            answer::Answer,
            claim::{Incarnation, Owner},
            extension,
        },
    },
    ::serde::{Deserialize, Serialize, de::DeserializeOwned},
    bincode::{config, serde},
    bytes::Bytes,
    http_body_util::{BodyExt, Full, Limited},
    hyper::{
        Request, Response, StatusCode,
        body::Incoming,
        client::conn::http2::{self as client, SendRequest},
        server::conn::http2 as server,
        service::service_fn,
    },
    hyper_util::rt::{TokioIo, TokioTimer},
    log::{info, warn},
    std::{
        cell::RefCell, convert::Infallible, future::Future, net::SocketAddr, rc::Rc, time::Duration,
    },
    tokio::{net::TcpStream, task::spawn_local, time::timeout},
};

/// Timeout for opening a connection to another entry.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Interval of the keep-alive pings to the owner.
const PING_INTERVAL: Duration = Duration::from_millis(300);
/// Timeout of the answer to a ping.
const PING_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout for receiving a message.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(5);
/// Most requests of another entry that are handled at once.
const MAX_STREAMS: u32 = 200;
/// Bytes of all messages of another entry that are received before they are read.
const RECEIVE_BYTES: u32 = 512 << 10;
/// Longest message in bytes.
const MAX_MESSAGE_BYTES: usize = 4 << 20;
/// Path of relayed requests.
const RELAY_PATH: &str = "/ask";
/// Path at which an entry reports its view of the cell's owner.
const STATUS_PATH: &str = "/standing";

/// A caller's request, as an entry relays it to the owner.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Relay {
    /// Method.
    pub method: Method,
    /// Host that the caller named.
    pub host: String,
    /// Path.
    pub path: String,
    /// Body.
    pub body: Bytes,
    /// Digest of the caller's key, if it sent one; relayed as an extension.
    #[serde(skip)]
    pub key: Option<Key>,
}

/// Body of a relayed request. The memory of its message stays reserved until it is dropped.
struct RelayedBody {
    body: Bytes,
    _message: Bytes,
}

impl AsRef<[u8]> for RelayedBody {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}

/// Method of a caller's request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Method {
    /// Submits a job.
    Post,
    /// Asks for a job's state, or for a queue's count.
    Get,
    /// Cancels a job.
    Delete,
    /// Anything else.
    Other,
}

/// An entry's view of who owns the cell.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Status {
    /// Incarnation of its process.
    pub incarnation: Incarnation,
    /// Whether the log has recently accepted a claim or heartbeat of this entry.
    pub confirmed: bool,
    /// Newest owner that it knows.
    pub owner: Option<Owner>,
}

/// Executor that spawns the tasks of HTTP/2 connections on this thread.
#[derive(Clone, Copy)]
struct Local;

impl<F: Future<Output = ()> + 'static> hyper::rt::Executor<F> for Local {
    fn execute(&self, future: F) {
        spawn_local(future);
    }
}

/// What [`Link::connect`] found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Connection {
    /// The connection was already open.
    Kept,
    /// The connection was opened now, so another process than before may answer.
    New,
}

/// HTTP/2 connection to the owner.
#[derive(Default)]
pub struct Link {
    connection: RefCell<Option<(SocketAddr, SendRequest<Full<Bytes>>)>>,
}

impl Link {
    /// Relays a request to the owner at `peer`.
    ///
    /// Answers [`Answer::NoOwner`] if no connection is open, as nothing was sent then, and
    /// [`Answer::Unknown`] if the request was sent and its answer is lost.
    pub async fn relay(&self, peer: SocketAddr, relay: &Relay, limit: Duration) -> Answer {
        let Some(sender) = self.sender(peer) else {
            return Answer::NoOwner(format!("no connection to the owner at {peer}"));
        };
        let request = match encode(RELAY_PATH, relay, relay.key.as_ref()) {
            Ok(request) => request,
            Err(why) => return Answer::Malformed(why),
        };
        match timeout(limit, exchange(sender, request)).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(why)) => self.disconnect(peer, &why),
            Err(_) => self.disconnect(peer, &format!("no answer after {limit:?}")),
        }
    }

    /// Asks the entry at `peer` for its view of the cell's owner. `cores` are those of this entry, if
    /// it could own the cell.
    pub async fn status(
        &self,
        peer: SocketAddr,
        cores: Option<f64>,
        limit: Duration,
    ) -> Result<Status, String> {
        let sender = self.sender(peer).ok_or_else(|| String::from("no connection"))?;
        let request = encode(STATUS_PATH, &(), cores.as_ref())?;
        let answer = timeout(limit, exchange(sender, request)).await;
        answer.unwrap_or_else(|_| Err(format!("no answer after {limit:?}")))
    }

    /// Opens the connection to `peer` ahead of the first request, unless it is open.
    pub async fn connect(&self, peer: SocketAddr) -> Result<Connection, String> {
        if self.sender(peer).is_some() {
            return Ok(Connection::Kept);
        }
        self.open(peer).await.map(|()| Connection::New)
    }

    /// Drops the connection after a request got no answer.
    fn disconnect(&self, peer: SocketAddr, why: &str) -> Answer {
        warn!("peer: owner={peer} answer=none why={why:?}");
        self.connection.borrow_mut().take();
        Answer::Unknown(format!("the owner at {peer}: {why}"))
    }

    /// Returns the connection to `peer`, if it is open.
    fn sender(&self, peer: SocketAddr) -> Option<SendRequest<Full<Bytes>>> {
        let open = self.connection.borrow().clone();
        open.filter(|(at, sender)| *at == peer && !sender.is_closed()).map(|(_, sender)| sender)
    }

    async fn open(&self, peer: SocketAddr) -> Result<(), String> {
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(peer)).await;
        let stream = stream.map_err(|_| format!("no answer after {CONNECT_TIMEOUT:?}"))?;
        let stream = stream.map_err(|e| e.to_string())?;
        stream.set_nodelay(true).map_err(|e| e.to_string())?;
        let mut builder = client::Builder::new(Local);
        builder.timer(TokioTimer::new());
        builder
            .keep_alive_interval(PING_INTERVAL)
            .keep_alive_timeout(PING_TIMEOUT)
            .keep_alive_while_idle(true);
        let handshake = builder.handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(|e| e.to_string())?;
        spawn_local(async move {
            if let Err(e) = connection.await {
                info!("peer: owner={peer} connection ended: {e}");
            }
        });
        *self.connection.borrow_mut() = Some((peer, sender));
        Ok(())
    }
}

fn encode<T: Serialize, E: Serialize>(
    path: &str,
    message: &T,
    extension: Option<&E>,
) -> Result<Request<Full<Bytes>>, String> {
    let body = extension::encode(message, extension).map_err(|e| e.to_string())?;
    Request::post(path).body(Full::new(Bytes::from(body))).map_err(|e| e.to_string())
}

async fn exchange<T: DeserializeOwned>(
    mut sender: SendRequest<Full<Bytes>>,
    request: Request<Full<Bytes>>,
) -> Result<T, String> {
    let response = sender.send_request(request).await.map_err(|e| e.to_string())?;
    let body = Limited::new(response.into_body(), MAX_MESSAGE_BYTES).collect().await;
    let body = body.map_err(|e| e.to_string())?.to_bytes();
    let answer = serde::decode_from_slice(&body, config::standard());
    answer.map(|(answer, _)| answer).map_err(|e| e.to_string())
}

/// Serves requests of the other entries.
pub async fn serve(shared: Rc<Shared>, listener: Listener) {
    loop {
        let stream = listener.accept().await;
        let shared = Rc::clone(&shared);
        spawn_local(async move {
            let service = service_fn(move |request| answer(Rc::clone(&shared), request));
            let mut builder = server::Builder::new(Local);
            builder
                .max_concurrent_streams(MAX_STREAMS)
                .initial_connection_window_size(RECEIVE_BYTES);
            if let Err(e) = builder.serve_connection(TokioIo::new(stream), service).await {
                log::debug!("peer: connection of another entry ended: {e}");
            }
        });
    }
}

async fn answer(
    shared: Rc<Shared>,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let asks_status = request.uri().path() == STATUS_PATH;
    let reservation = shared.intake.begin_relayed_body();
    let body = request.into_body();
    let body = match intake::read(body, reservation, MAX_MESSAGE_BYTES, MESSAGE_TIMEOUT).await {
        Ok(body) => body,
        Err(e) if e.is_temporary() && !asks_status => {
            return Ok(reply(&Answer::overloaded(e.to_string())));
        }
        Err(e) => return Ok(plain(StatusCode::BAD_REQUEST, e.to_string().into_bytes())),
    };
    if asks_status {
        if let Ok(((), Some(cores))) = extension::decode::<(), f64>(&body) {
            shared.record_peer(cores);
        }
        return Ok(reply(&shared.status()));
    }
    let answer = match extension::decode::<Relay, Key>(&body) {
        Ok((relay, key)) => {
            let body = Bytes::from_owner(RelayedBody { body: relay.body, _message: body });
            shared.decide(Relay { key, body, ..relay }).await
        }
        Err(e) => Answer::Malformed(e.to_string()),
    };
    Ok(reply(&answer))
}

fn reply<T: Serialize>(message: &T) -> Response<Full<Bytes>> {
    match serde::encode_to_vec(message, config::standard()) {
        Ok(body) => plain(StatusCode::OK, body),
        Err(e) => plain(StatusCode::INTERNAL_SERVER_ERROR, e.to_string().into_bytes()),
    }
}

fn plain(status: StatusCode, body: Vec<u8>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    response
}
