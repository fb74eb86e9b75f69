//! One exchange with an endpoint.
//!
//! Every exchange has a connection of its own, closed afterwards: a connection that was given up
//! can't deliver a late answer to another request, and one that went silent is not met again. The
//! endpoint repeats the attempt's id; an answer with another id is dropped.

use {
    crate::{
        body,
        event::End,
        id::AttemptId,
        record::Answer,
        request::{ATTEMPT_HEADER, Class, LEAVING_HEADER, OUTCOME_HEADER},
    },
    bytes::{Bytes, BytesMut},
    http_body_util::{BodyExt, combinators::UnsyncBoxBody},
    hyper::{
        HeaderMap, Method, Request, Response, StatusCode, Uri,
        body::{Body as _, Incoming},
        client::conn::http1,
        header::{CONNECTION, HOST, HeaderName, TRANSFER_ENCODING},
    },
    hyper_util::rt::TokioIo,
    std::{net::SocketAddr, result, time::Duration},
    tokio::{
        net::TcpStream,
        task::JoinHandle,
        time::{Instant, timeout, timeout_at},
    },
};

/// Time allowed for opening a connection to an endpoint.
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time allowed for a probe.
pub const PROBE_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest answer read whole before any of it is passed on.
pub const HELD_BYTES: usize = 256 * 1024;
/// Longest answer to an order that is kept for its repetitions.
pub const KEPT_BYTES: usize = 4 * 1024;
/// Status that an endpoint answers with if it has no free slot.
const BUSY: StatusCode = StatusCode::SERVICE_UNAVAILABLE;

/// A boxed error of a body.
pub type BodyError = Box<dyn std::error::Error + Send + Sync>;
/// Body of a request or an answer.
pub type Body = UnsyncBoxBody<Bytes, BodyError>;

/// What an exchange needs.
pub struct Call {
    /// Endpoint's address.
    pub address: SocketAddr,
    /// The attempt.
    pub attempt: AttemptId,
    /// Kind of the request.
    pub class: Class,
    /// When to give up.
    pub until: Instant,
    /// Longest time without progress of an answer's body.
    pub idle: Duration,
    /// The request to send.
    pub request: Request<Body>,
}

/// Answer to pass on to the caller.
pub struct Reply {
    /// Head, and the part of the body that was read already.
    pub head: Response<Bytes>,
    /// Rest of the body.
    pub rest: Option<Body>,
    /// How the exchange ends once the rest has been passed on.
    pub end: End,
    /// Keeps the connection open while the rest is read; none if others use it too.
    pub connection: Option<Connection>,
}

/// A connection that is closed when this is dropped.
pub struct Connection(JoinHandle<()>);

impl Drop for Connection {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Runs an exchange: a reply to pass on, or how it ended without one.
pub async fn run(call: Call) -> result::Result<Reply, End> {
    let Call { address, attempt, class, until, idle, mut request } = call;
    prepare(request.headers_mut(), address, attempt);
    let connect = timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
    let Ok(Ok(socket)) = connect.await else {
        return Err(End::NotSent);
    };
    // Small requests are sent at once; a socket that refuses the option still works.
    let _ = socket.set_nodelay(true);
    let handshake = http1::handshake(TokioIo::new(socket)).await;
    let (mut sender, connection) = handshake.map_err(|_| End::NotSent)?;
    let connection = Connection(tokio::spawn(async move {
        // Its failure also ends the exchange's own calls, which report it.
        let _ = connection.await;
    }));
    let response = match timeout_at(until, sender.send_request(request)).await {
        Err(_) => return Err(End::TimedOut),
        Ok(Err(_)) => return Err(End::Broken),
        Ok(Ok(response)) => response,
    };
    check(&response, attempt)?;
    let (head, rest) = hold(response, class, until, idle).await?;
    let end = answered(&head, rest.is_none(), class);
    Ok(Reply { head, rest, end, connection: Some(connection) })
}

/// Whether the endpoint answers on a new connection.
///
/// An accepted connection alone proves little: the kernel accepts for a process that is stopped.
pub async fn probe(address: SocketAddr) -> bool {
    let until = Instant::now() + PROBE_TIMEOUT;
    let Ok(Ok(socket)) = timeout_at(until, TcpStream::connect(address)).await else {
        return false;
    };
    let Ok((mut sender, connection)) = http1::handshake::<_, Body>(TokioIo::new(socket)).await
    else {
        return false;
    };
    let _connection = Connection(tokio::spawn(async move {
        // Its failure also ends the request, which reports it.
        let _ = connection.await;
    }));
    let mut request = Request::new(body::whole(Bytes::new()));
    *request.method_mut() = Method::OPTIONS;
    *request.uri_mut() = Uri::from_static("*");
    if let Ok(host) = address.to_string().parse() {
        request.headers_mut().insert(HOST, host);
    }
    matches!(timeout_at(until, sender.send_request(request)).await, Ok(Ok(_)))
}

fn prepare(headers: &mut HeaderMap, address: SocketAddr, attempt: AttemptId) {
    strip(headers);
    for (name, value) in [
        (HOST, address.to_string()),
        (CONNECTION, String::from("close")),
        (HeaderName::from_static(ATTEMPT_HEADER), format!("{attempt:032x}")),
    ] {
        if let Ok(value) = value.parse() {
            headers.insert(name, value);
        }
    }
}

/// Removes the headers that concern one connection only.
pub(crate) fn strip(headers: &mut HeaderMap) {
    headers.remove(CONNECTION);
    headers.remove(TRANSFER_ENCODING);
    headers.remove("keep-alive");
}

fn check(response: &Response<Incoming>, attempt: AttemptId) -> result::Result<(), End> {
    let header = |name: &str| response.headers().get(name).and_then(|v| v.to_str().ok());
    if header(ATTEMPT_HEADER).is_some_and(|found| found != format!("{attempt:032x}")) {
        return Err(End::Mismatched);
    }
    if response.status() == BUSY && header(OUTCOME_HEADER) == Some("not-run") {
        return Err(End::Refused { leaving: header(LEAVING_HEADER).is_some() });
    }
    Ok(())
}

fn answered(head: &Response<Bytes>, whole: bool, class: Class) -> End {
    let leaving = head.headers().contains_key(LEAVING_HEADER);
    let status = head.status().as_u16();
    let kept = (class == Class::Order).then(|| keep(status, whole, head.body()));
    End::Answered { status, leaving, kept }
}

/// Reads a short answer whole, so that a broken one can still be replaced by another try.
///
/// A watch is passed on as it comes.
pub(crate) async fn hold(
    response: Response<Incoming>,
    class: Class,
    until: Instant,
    idle: Duration,
) -> result::Result<(Response<Bytes>, Option<Body>), End> {
    let (mut parts, mut body) = response.into_parts();
    strip(&mut parts.headers);
    parts.headers.remove(ATTEMPT_HEADER);
    let mut held = BytesMut::new();
    let mut whole = body.is_end_stream();
    while class != Class::Watch && !whole && held.len() < HELD_BYTES {
        let wait = until.min(Instant::now() + idle);
        match timeout_at(wait, body.frame()).await {
            Err(_) => return Err(End::TimedOut),
            Ok(Some(Err(_))) => return Err(End::Broken),
            Ok(Some(Ok(frame))) => {
                held.extend_from_slice(frame.data_ref().unwrap_or(&Bytes::new()))
            }
            Ok(None) => whole = true,
        }
    }
    let head = Response::from_parts(parts, held.freeze());
    Ok((head, (!whole).then(|| body::boxed(body))))
}

fn keep(status: u16, whole: bool, held: &Bytes) -> Answer {
    let short = whole && held.len() <= KEPT_BYTES;
    let body = short.then(|| String::from_utf8(held.to_vec()).ok()).flatten();
    Answer { status, body }
}
