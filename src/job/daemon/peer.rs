//! Requests between entries: HTTP/2 streams with one bincode message each way.

use {
    super::{listener::Listener, shared::Shared},
    crate::job::answer::Answer,
    ::serde::{Deserialize, Serialize},
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

/// Time for opening a connection to another entry.
const CONNECT: Duration = Duration::from_millis(400);
/// Time between two pings of the owner.
const PING: Duration = Duration::from_millis(300);
/// Time for the answer to a ping.
const PING_ANSWER: Duration = Duration::from_millis(500);
/// Longest message.
const MAX_BYTES: usize = 4 << 20;

/// A caller's request, as one entry passes it to the owner.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Ask {
    /// Method.
    pub method: Method,
    /// Host that the caller named.
    pub host: String,
    /// Path.
    pub path: String,
    /// Body.
    pub body: Vec<u8>,
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

/// Spawns the tasks of HTTP/2 connections on this thread.
#[derive(Clone, Copy)]
struct Local;

impl<F: Future<Output = ()> + 'static> hyper::rt::Executor<F> for Local {
    fn execute(&self, future: F) {
        spawn_local(future);
    }
}

/// Connection to the owner.
#[derive(Default)]
pub struct Link {
    open: RefCell<Option<(SocketAddr, SendRequest<Full<Bytes>>)>>,
}

impl Link {
    /// Passes a request to the owner at `peer`; a refusal means that it was not passed on.
    pub async fn pass(&self, peer: SocketAddr, ask: &Ask, limit: Duration) -> Answer {
        let body = match serde::encode_to_vec(ask, config::standard()) {
            Ok(body) => Bytes::from(body),
            Err(e) => return Answer::Malformed(e.to_string()),
        };
        let mut sender = match self.connected(peer).await {
            Ok(sender) => sender,
            Err(why) => {
                let why = format!("connect to the owner at {peer}: {why}");
                return Answer::refused(why, Duration::ZERO);
            }
        };
        let request = match Request::post("/").body(Full::new(body)) {
            Ok(request) => request,
            Err(e) => return Answer::Malformed(e.to_string()),
        };
        match timeout(limit, exchange(&mut sender, request)).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(why)) => self.lost(peer, &why),
            Err(_) => self.lost(peer, &format!("no answer after {limit:?}")),
        }
    }

    /// Opens the connection ahead of the first request; tells whether it is open.
    pub async fn connect(&self, peer: SocketAddr) -> bool {
        match self.connected(peer).await {
            Ok(_) => true,
            Err(why) => {
                warn!("peer: owner={peer} connected=false why={why:?}");
                false
            }
        }
    }

    fn lost(&self, peer: SocketAddr, why: &str) -> Answer {
        warn!("peer: owner={peer} answer=none why={why:?}");
        self.open.borrow_mut().take();
        Answer::Unknown(format!("the owner at {peer}: {why}"))
    }

    async fn connected(&self, peer: SocketAddr) -> Result<SendRequest<Full<Bytes>>, String> {
        let open = self.open.borrow().clone();
        if let Some((_, sender)) = open.filter(|(at, sender)| *at == peer && !sender.is_closed()) {
            return Ok(sender);
        }
        let stream = timeout(CONNECT, TcpStream::connect(peer)).await;
        let stream = stream.map_err(|_| format!("no answer after {CONNECT:?}"))?;
        let stream = stream.map_err(|e| e.to_string())?;
        stream.set_nodelay(true).map_err(|e| e.to_string())?;
        let mut builder = client::Builder::new(Local);
        builder.timer(TokioTimer::new());
        builder
            .keep_alive_interval(PING)
            .keep_alive_timeout(PING_ANSWER)
            .keep_alive_while_idle(true);
        let handshake = builder.handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(|e| e.to_string())?;
        spawn_local(async move {
            if let Err(e) = connection.await {
                info!("peer: owner={peer} connection ended: {e}");
            }
        });
        *self.open.borrow_mut() = Some((peer, sender.clone()));
        Ok(sender)
    }
}

async fn exchange(
    sender: &mut SendRequest<Full<Bytes>>,
    request: Request<Full<Bytes>>,
) -> Result<Answer, String> {
    let response = sender.send_request(request).await.map_err(|e| e.to_string())?;
    let body = Limited::new(response.into_body(), MAX_BYTES).collect().await;
    let body = body.map_err(|e| e.to_string())?.to_bytes();
    let answer = serde::decode_from_slice(&body, config::standard());
    answer.map(|(answer, _)| answer).map_err(|e| e.to_string())
}

/// Serves the other entries.
pub async fn serve(shared: Rc<Shared>, listener: Listener) {
    loop {
        let stream = listener.accept().await;
        let shared = Rc::clone(&shared);
        spawn_local(async move {
            let service = service_fn(move |request| answer(Rc::clone(&shared), request));
            let connection = server::Builder::new(Local);
            if let Err(e) = connection.serve_connection(TokioIo::new(stream), service).await {
                log::debug!("peer: a connection ended: {e}");
            }
        });
    }
}

async fn answer(
    shared: Rc<Shared>,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let body = match Limited::new(request.into_body(), MAX_BYTES).collect().await {
        Ok(body) => body.to_bytes(),
        Err(e) => return Ok(plain(StatusCode::BAD_REQUEST, e.to_string().into_bytes())),
    };
    let ask = serde::decode_from_slice::<Ask, _>(&body, config::standard());
    let answer = match ask {
        Ok((ask, _)) => shared.decide(ask).await,
        Err(e) => Answer::Malformed(e.to_string()),
    };
    Ok(match serde::encode_to_vec(&answer, config::standard()) {
        Ok(body) => plain(StatusCode::OK, body),
        Err(e) => plain(StatusCode::INTERNAL_SERVER_ERROR, e.to_string().into_bytes()),
    })
}

fn plain(status: StatusCode, body: Vec<u8>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    response
}
