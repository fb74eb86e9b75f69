//! Links for control messages between entries: one `h2` connection for each direction, with frames
//! encoded by `bincode`.
//!
//! The connecting entry opens one stream and sends its frames in the request's body; the other one
//! acknowledges each heartbeat with a frame in the response's body. A connection on which a
//! heartbeat stays unanswered for [`HEARTBEAT_TIMEOUT`] is closed and replaced, since a connection
//! can stay dead indefinitely while new ones to the same address work. Messages are dropped while
//! the peer can't be reached; their senders repeat the ones that must arrive.

use {
    crate::{
        body,
        event::{Contact, Event},
        exchange::Body,
        id::{EntryId, Incarnation},
        relay,
        server::{self, Server},
        traffic::Traffic,
        wire::{self, Frame, Message},
    },
    bytes::BytesMut,
    crossbeam::channel::Sender,
    displaydoc::Display,
    h2::{RecvStream, SendStream, client},
    http_body_util::BodyExt,
    hyper::{Request, Response, body::Incoming, server::conn::http2::Builder, service::service_fn},
    hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer},
    log::debug,
    std::{
        collections::HashMap, convert::Infallible, io::ErrorKind, net::SocketAddr, result,
        sync::Arc, time::Duration,
    },
    tokio::{
        net::{TcpListener, TcpStream},
        sync::mpsc,
        time::{Instant, sleep, timeout},
    },
};

/// Timeout for opening a connection.
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time without an answer to a heartbeat after which a connection is closed.
pub const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(1500);
/// Delay before reconnecting or accepting again after a failure.
const RETRY_DELAY: Duration = Duration::from_millis(300);
/// Maximum number of messages queued for a link; further ones are dropped.
const QUEUE_MESSAGES: usize = 1024;
/// Time without a message after which a link is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Why a link failed.
#[derive(Debug, Display)]
pub enum Error {
    /// {step} with {peer}: {source}
    Http {
        /// What was attempted.
        step: &'static str,
        /// Address of the other entry.
        peer: SocketAddr,
        /// Cause.
        source: h2::Error,
    },
    /// {step} with {peer}: {source}
    Frame {
        /// What was attempted.
        step: &'static str,
        /// Address of the other entry.
        peer: SocketAddr,
        /// Cause.
        source: wire::Error,
    },
    /// {step} with {peer}: no answer
    NoAnswer {
        /// What was attempted.
        step: &'static str,
        /// Address of the other entry.
        peer: SocketAddr,
    },
}

impl std::error::Error for Error {}

/// Result of a link operation.
pub type Result<T> = result::Result<T, Error>;

/// This entry's identity and channels, shared by its links.
pub struct Local {
    /// Id of this entry.
    pub id: EntryId,
    /// Incarnation of this entry.
    pub incarnation: Incarnation,
    /// Engine's event channel, which gets received messages and the state of links.
    pub events: Sender<Event>,
    /// Counters of the entry's control traffic.
    pub traffic: Arc<Traffic>,
}

impl Local {
    fn frame(&self, message: Message) -> Frame {
        Frame { from: self.id.clone(), incarnation: self.incarnation, message }
    }

    fn report(&self, event: Event) {
        // The receiver is closed only while the whole process ends.
        let _ = self.events.send(event);
    }
}

/// Outgoing links, opened by the first message to a peer.
pub struct Links {
    local: Arc<Local>,
    open: HashMap<SocketAddr, mpsc::Sender<Message>>,
}

impl Links {
    /// Creates a set without open links.
    pub fn new(local: Arc<Local>) -> Self {
        Self { local, open: HashMap::new() }
    }

    /// Queues a message for a peer; drops it if the queue is full.
    pub fn send(&mut self, peer: SocketAddr, message: Message) {
        let link = match self.open.get(&peer).filter(|link| !link.is_closed()) {
            Some(link) => link,
            None => {
                let (sender, receiver) = mpsc::channel(QUEUE_MESSAGES);
                tokio::spawn(maintain(self.local.clone(), peer, receiver));
                self.open.entry(peer).insert_entry(sender).into_mut()
            }
        };
        if link.try_send(message).is_err() {
            debug!("link: Dropped a message to {peer}: its queue is full or its link is closing.");
        }
    }
}

/// Keeps a link open while there are messages for it; reconnects after failures.
async fn maintain(local: Arc<Local>, peer: SocketAddr, mut messages: mpsc::Receiver<Message>) {
    loop {
        let contact = match timeout(CONNECT_TIMEOUT, TcpStream::connect(peer)).await {
            Ok(Ok(socket)) => match send_all(&local, peer, socket, &mut messages).await {
                Ok(()) => return,
                Err(error) => {
                    debug!("link: {error}.");
                    Contact::TimedOut
                }
            },
            Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => Contact::Refused,
            _ => Contact::TimedOut,
        };
        local.report(Event::LinkAttempted { peer, contact });
        sleep(RETRY_DELAY).await;
        // The queued messages are out of date by now.
        while messages.try_recv().is_ok() {}
    }
}

/// Sends messages until none has been queued for [`IDLE_TIMEOUT`]; fails if the connection does.
async fn send_all(
    local: &Local,
    peer: SocketAddr,
    socket: TcpStream,
    messages: &mut mpsc::Receiver<Message>,
) -> Result<()> {
    // TCP_NODELAY only reduces latency; the connection works without it.
    let _ = socket.set_nodelay(true);
    let http = |step| move |source| Error::Http { step, peer, source };
    let handshake = timeout(CONNECT_TIMEOUT, client::handshake(socket)).await;
    let (sender, connection) = handshake
        .map_err(|_| Error::NoAnswer { step: "open link", peer })?
        .map_err(http("open link"))?;
    let _connection = AbortOnDrop(tokio::spawn(async move {
        // A connection error also fails the stream's own calls, which report it.
        let _ = connection.await;
    }));
    let mut sender = sender.ready().await.map_err(http("open stream"))?;
    let (answer, mut stream) =
        sender.send_request(Request::new(()), false).map_err(http("open stream"))?;
    let answer = timeout(HEARTBEAT_TIMEOUT, answer).await;
    let mut answers = answer
        .map_err(|_| Error::NoAnswer { step: "open stream", peer })?
        .map_err(http("open stream"))?
        .into_body();
    let mut buffer = BytesMut::new();
    let mut unanswered: Option<Instant> = None;
    loop {
        let limit = unanswered
            .map_or_else(|| Instant::now() + IDLE_TIMEOUT, |since| since + HEARTBEAT_TIMEOUT);
        tokio::select! {
            message = messages.recv() => {
                let Some(message) = message else { return Ok(()) };
                if matches!(message, Message::Heartbeat(_)) {
                    unanswered.get_or_insert_with(Instant::now);
                }
                send(local, peer, &mut stream, message)?;
            }
            frames = receive(local, peer, &mut answers, &mut buffer) => {
                let Some(frames) = frames? else {
                    return Err(Error::NoAnswer { step: "read answers", peer });
                };
                for frame in frames {
                    unanswered = None;
                    let contact = Contact::Answered { id: frame.from, incarnation: frame.incarnation };
                    local.report(Event::LinkAttempted { peer, contact });
                }
            }
            _ = tokio::time::sleep_until(limit) => {
                if unanswered.is_none() {
                    return Ok(());
                }
                return Err(Error::NoAnswer { step: "await answer to heartbeat", peer });
            }
        }
    }
}

/// Task that is aborted when this is dropped.
struct AbortOnDrop(tokio::task::JoinHandle<()>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Encodes and sends a message.
fn send(
    local: &Local,
    peer: SocketAddr,
    stream: &mut SendStream<bytes::Bytes>,
    message: Message,
) -> Result<()> {
    let step = "send message";
    let bytes = wire::encode(&local.frame(message)).map_err(|source| Error::Frame {
        step,
        peer,
        source,
    })?;
    local.traffic.links.add_sent(bytes.len());
    stream.send_data(bytes, false).map_err(|source| Error::Http { step, peer, source })
}

/// Reads the frames that are complete; `None` at the stream's end.
async fn receive(
    local: &Local,
    peer: SocketAddr,
    stream: &mut RecvStream,
    buffer: &mut BytesMut,
) -> Result<Option<Vec<Frame>>> {
    let step = "receive message";
    let Some(data) = stream.data().await else {
        return Ok(None);
    };
    let data = data.map_err(|source| Error::Http { step, peer, source })?;
    local.traffic.links.add_received(data.len());
    // Releasing capacity fails only if the stream has ended, which the next read reports.
    let _ = stream.flow_control().release_capacity(data.len());
    buffer.extend_from_slice(&data);
    let mut frames = Vec::new();
    while let Some(frame) =
        wire::decode(buffer).map_err(|source| Error::Frame { step, peer, source })?
    {
        frames.push(frame);
    }
    Ok(Some(frames))
}

/// Accepts connections of other entries until its task is aborted.
pub async fn listen(listener: TcpListener, local: Arc<Local>, server: Arc<Server>) {
    loop {
        match listener.accept().await {
            Ok((socket, peer)) => {
                let _ = socket.set_nodelay(true);
                let (local, server) = (local.clone(), server.clone());
                tokio::spawn(async move {
                    let service = service_fn(move |request| {
                        let (local, server) = (local.clone(), server.clone());
                        async move { Ok::<_, Infallible>(accept(local, server, peer, request).await) }
                    });
                    let served = Builder::new(TokioExecutor::new())
                        .timer(TokioTimer::new())
                        .keep_alive_interval(IDLE_TIMEOUT)
                        .keep_alive_timeout(HEARTBEAT_TIMEOUT)
                        .max_concurrent_streams(relay::MAX_STREAMS)
                        .initial_stream_window_size(relay::STREAM_BYTES)
                        .initial_connection_window_size(relay::CONNECTION_BYTES)
                        .serve_connection(TokioIo::new(socket), service)
                        .await;
                    if let Err(error) = served {
                        debug!("link: Connection from {peer} failed: {error}.");
                    }
                });
            }
            Err(error) => {
                debug!("link: Failed to accept a connection: {error}.");
                sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Handles a stream: control messages if its path is `/`, otherwise a relayed request.
async fn accept(
    local: Arc<Local>,
    server: Arc<Server>,
    peer: SocketAddr,
    request: Request<Incoming>,
) -> Response<Body> {
    if request.uri().path() != "/" {
        return server::accept_relayed(server, request.map(body::boxed)).await;
    }
    let (answers, body) = body::channel(None);
    tokio::spawn(async move {
        if let Err(error) = receive_all(&local, peer, request.into_body(), answers).await {
            debug!("link: {error}.");
        }
    });
    Response::new(body)
}

/// Passes received messages to the engine and acknowledges heartbeats, until the stream ends.
async fn receive_all(
    local: &Local,
    peer: SocketAddr,
    mut stream: Incoming,
    answers: body::Sender,
) -> Result<()> {
    let step = "receive message";
    let mut buffer = BytesMut::new();
    loop {
        let data = timeout(IDLE_TIMEOUT * 2, stream.frame()).await;
        let data = data.map_err(|_| Error::NoAnswer { step, peer })?;
        let Some(data) = data.and_then(result::Result::ok).and_then(|f| f.into_data().ok()) else {
            return Ok(());
        };
        local.traffic.links.add_received(data.len());
        buffer.extend_from_slice(&data);
        let decode = |buffer: &mut BytesMut| {
            wire::decode(buffer).map_err(|source| Error::Frame { step, peer, source })
        };
        while let Some(Frame { from, incarnation, message }) = decode(&mut buffer)? {
            if let Message::Heartbeat(heartbeat) = &message {
                let ack = local.frame(Message::Ack { sequence: heartbeat.sequence });
                let ack = wire::encode(&ack).map_err(|source| Error::Frame {
                    step: "answer heartbeat",
                    peer,
                    source,
                })?;
                local.traffic.links.add_sent(ack.len());
                if answers.send(Ok(body::Frame::data(ack))).await.is_err() {
                    return Ok(());
                }
            }
            local.report(Event::Message { from, incarnation, message });
        }
    }
}
