//! Sends one attempt to an endpoint and reads its response.
//!
//! Every exchange opens a connection of its own and closes it afterwards: an abandoned connection
//! can't deliver a late response to another request, and a dead connection is not used again. The
//! endpoint repeats the attempt's id; a response with another id is discarded.

use {
    crate::{
        body,
        event::End,
        id::AttemptId,
        intake::Buffer,
        record::Answer,
        request::{ATTEMPT_HEADER, Class, LEAVING_HEADER, OUTCOME_HEADER},
    },
    bytes::Bytes,
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

/// Timeout for opening a connection to an endpoint.
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout for a whole probe, from connecting to the response.
pub const PROBE_TIMEOUT: Duration = Duration::from_secs(1);
/// Size up to which a response is buffered before any of it is passed on.
pub const MAX_BUFFERED_BYTES: usize = 256 * 1024;
/// Longest head of a response, and part of its body that is read at once.
const MAX_FRAME_BYTES: usize = 32 * 1024;
/// Longest response to an order that is stored to answer the caller's retries.
pub const MAX_STORED_BYTES: usize = 4 * 1024;
/// Status of an endpoint's response if it has no free slot.
const BUSY: StatusCode = StatusCode::SERVICE_UNAVAILABLE;

/// Error while reading a body.
pub type BodyError = Box<dyn std::error::Error + Send + Sync>;
/// Body of a request or a response.
pub type Body = UnsyncBoxBody<Bytes, BodyError>;

/// Input of an exchange.
pub struct Call {
    /// Endpoint's address.
    pub address: SocketAddr,
    /// Id of the attempt.
    pub attempt: AttemptId,
    /// Class of the request.
    pub class: Class,
    /// When the attempt times out.
    pub until: Instant,
    /// Timeout between two frames of the response's body.
    pub idle: Duration,
    /// The request to send.
    pub request: Request<Body>,
    /// Memory for the beginning of the response.
    pub buffer: Buffer,
}

/// Response to pass on to the caller.
pub struct Reply {
    /// Head, with the part of the body that has been buffered.
    pub head: Response<Bytes>,
    /// Unread rest of the body; `None` if the whole body has been buffered.
    pub rest: Option<Body>,
    /// How the exchange ends once the rest has been passed on.
    pub end: End,
    /// Keeps the connection open while the rest is read; `None` for a shared relay connection.
    pub connection: Option<Connection>,
}

/// Task that drives a connection; dropping this closes the connection.
pub struct Connection(JoinHandle<()>);

impl Drop for Connection {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Runs an exchange; returns the response to pass on, or why there is none.
pub async fn run(call: Call) -> result::Result<Reply, End> {
    let Call { address, attempt, class, until, idle, mut request, buffer } = call;
    prepare(request.headers_mut(), address, attempt);
    let connect = timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
    let Ok(Ok(socket)) = connect.await else {
        return Err(End::NotSent);
    };
    // TCP_NODELAY sends small requests without delay; the connection works without it.
    let _ = socket.set_nodelay(true);
    let mut builder = http1::Builder::new();
    builder.max_buf_size(MAX_FRAME_BYTES);
    let handshake = builder.handshake(TokioIo::new(socket)).await;
    let (mut sender, connection) = handshake.map_err(|_| End::NotSent)?;
    let connection = Connection(tokio::spawn(async move {
        // A connection error also fails the exchange's own calls, which report it.
        let _ = connection.await;
    }));
    let response = match timeout_at(until, sender.send_request(request)).await {
        Err(_) => return Err(End::TimedOut),
        Ok(Err(_)) => return Err(End::Broken),
        Ok(Ok(response)) => response,
    };
    check_response(&response, attempt)?;
    let (head, rest) = self::buffer(response, class, until, idle, buffer).await?;
    let end = answered_end(&head, rest.is_none(), class);
    Ok(Reply { head, rest, end, connection: Some(connection) })
}

/// Whether the endpoint responds to an HTTP request on a new connection.
///
/// An accepted TCP connection is no proof, since the kernel also accepts connections for a process
/// that is stopped.
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
        // A connection error also fails the request, which reports it.
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

/// Sets the headers of an attempt: the endpoint's address, no keep-alive and the attempt's id.
fn prepare(headers: &mut HeaderMap, address: SocketAddr, attempt: AttemptId) {
    strip_hop_headers(headers);
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

/// Removes the hop-by-hop headers.
pub(crate) fn strip_hop_headers(headers: &mut HeaderMap) {
    headers.remove(CONNECTION);
    headers.remove(TRANSFER_ENCODING);
    headers.remove("keep-alive");
}

/// Fails if the response belongs to another attempt or if the endpoint refused the request.
fn check_response(response: &Response<Incoming>, attempt: AttemptId) -> result::Result<(), End> {
    let header = |name: &str| response.headers().get(name).and_then(|v| v.to_str().ok());
    if header(ATTEMPT_HEADER).is_some_and(|found| found != format!("{attempt:032x}")) {
        return Err(End::Mismatched);
    }
    if response.status() == BUSY && header(OUTCOME_HEADER) == Some("not-run") {
        return Err(End::Refused { leaving: header(LEAVING_HEADER).is_some() });
    }
    Ok(())
}

/// End of an exchange whose response has arrived, with the answer to store for an order.
fn answered_end(head: &Response<Bytes>, whole: bool, class: Class) -> End {
    let leaving = head.headers().contains_key(LEAVING_HEADER);
    let status = head.status().as_u16();
    let kept = (class == Class::Order).then(|| stored_answer(status, whole, head.body()));
    End::Answered { status, leaving, kept }
}

/// Buffers a response up to [`MAX_BUFFERED_BYTES`] while there is memory, so that a request whose response breaks off can
/// still be retried.
///
/// The response to a watch is not buffered: it is passed on as it arrives.
pub(crate) async fn buffer(
    response: Response<Incoming>,
    class: Class,
    until: Instant,
    idle: Duration,
    mut buffered: Buffer,
) -> result::Result<(Response<Bytes>, Option<Body>), End> {
    let (mut parts, mut body) = response.into_parts();
    strip_hop_headers(&mut parts.headers);
    parts.headers.remove(ATTEMPT_HEADER);
    buffered.keep();
    let mut whole = body.is_end_stream();
    while class != Class::Watch && !whole && buffered.len() < MAX_BUFFERED_BYTES {
        let wait = until.min(Instant::now() + idle);
        match timeout_at(wait, body.frame()).await {
            Err(_) => return Err(End::TimedOut),
            Ok(Some(Err(_))) => return Err(End::Broken),
            Ok(Some(Ok(frame))) => {
                let Some(piece) = frame.data_ref() else { continue };
                if buffered.push(piece.clone(), usize::MAX).is_err() {
                    buffered.push_last(piece);
                    whole = body.is_end_stream();
                    break;
                }
            }
            Ok(None) => whole = true,
        }
    }
    let head = Response::from_parts(parts, buffered.freeze());
    Ok((head, (!whole).then(|| body::boxed(body))))
}

/// Answer to store for an order; without the body if that is incomplete, too long or not UTF-8.
fn stored_answer(status: u16, whole: bool, buffered: &Bytes) -> Answer {
    let fits = whole && buffered.len() <= MAX_STORED_BYTES;
    let body = fits.then(|| String::from_utf8(buffered.to_vec()).ok()).flatten();
    Answer { status, body }
}
