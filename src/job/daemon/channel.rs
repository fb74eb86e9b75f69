//! Pool of HTTP/1.1 connections to one server.
//!
//! A connection carries one call at a time and is reused after the answer. If a call gets no answer,
//! its connection is closed together with all idle ones to the server, since whatever has lost the
//! state of that connection may have lost theirs too. Connections are closed by a reset, so that a
//! call that is still on its way is not carried out later.

use {
    crate::job::call::{Call, Reply},
    bytes::Bytes,
    displaydoc::Display,
    http_body_util::{BodyExt, Full},
    hyper::{
        Request,
        client::conn::http1::{Builder, SendRequest},
        header::{CONTENT_TYPE, HOST},
    },
    hyper_util::rt::TokioIo,
    std::{cell::RefCell, net::SocketAddr, time::Duration},
    tokio::{net::TcpStream, sync::Semaphore, task::spawn_local, time::timeout},
};

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);

/// Outcome of a call.
pub type Result<T> = std::result::Result<T, Error>;

/// Why a call has no reply.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Error {
    /// connect to {0}: {1}
    Connect(SocketAddr, String),
    /// send to {0}: {1}
    Send(SocketAddr, String),
    /// receive from {0}: {1}
    Receive(SocketAddr, String),
    /// no answer from {0} after {1:?}
    Timeout(SocketAddr, Duration),
    /// not sent to {0}: the permission for the call ended before
    Forbidden(SocketAddr),
}

impl std::error::Error for Error {}

impl Error {
    /// Returns whether the call certainly did not reach the server.
    pub fn not_sent(&self) -> bool {
        matches!(self, Self::Connect(..) | Self::Forbidden(_))
    }
}

type Sender = SendRequest<Full<Bytes>>;

/// Connections to one server.
pub struct Channel {
    address: SocketAddr,
    idle: RefCell<Vec<Sender>>,
    permits: Semaphore,
}

impl Channel {
    /// Creates a channel to `address` with at most `max_calls` concurrent calls.
    pub fn new(address: SocketAddr, max_calls: usize) -> Self {
        Self { address, idle: RefCell::default(), permits: Semaphore::new(max_calls) }
    }

    /// Sends a call and waits up to `limit` for its complete reply.
    pub async fn call(&self, call: Call, limit: Duration) -> Result<Reply> {
        self.call_if(call, limit, || true).await
    }

    /// Closes the idle connections, so that the next call opens a new one.
    pub fn close_idle(&self) {
        self.idle.borrow_mut().clear();
    }

    /// Like [`Self::call`], for a call that must not be sent once `permitted` returns false. It is
    /// asked immediately before the call is written, since waiting for a connection takes time.
    pub async fn call_if(
        &self,
        call: Call,
        limit: Duration,
        permitted: impl Fn() -> bool,
    ) -> Result<Reply> {
        let Ok(_permit) = self.permits.acquire().await else {
            return Err(Error::Connect(self.address, String::from("the channel is closed")));
        };
        let outcome = timeout(limit, self.exchange(call, permitted)).await;
        let outcome = outcome.unwrap_or(Err(Error::Timeout(self.address, limit)));
        if outcome.is_err() {
            self.close_idle();
        }
        outcome
    }

    /// Sends a call over an idle or a new connection. A call that an idle connection returns unsent is
    /// sent over another one.
    async fn exchange(&self, call: Call, permitted: impl Fn() -> bool) -> Result<Reply> {
        let mut request = self.request(call)?;
        loop {
            let pooled = self.idle.borrow_mut().pop();
            let reused = pooled.is_some();
            let mut sender = match pooled {
                Some(sender) if sender.is_closed() => continue,
                Some(sender) => sender,
                None => self.connect().await?,
            };
            if let Err(e) = sender.ready().await {
                if reused {
                    continue;
                }
                return Err(Error::Connect(self.address, e.to_string()));
            }
            if !permitted() {
                return Err(Error::Forbidden(self.address));
            }
            match sender.try_send_request(request).await {
                Ok(response) => return self.receive(sender, response).await,
                Err(mut e) => match e.take_message() {
                    Some(unsent) if reused => request = unsent,
                    Some(_) => {
                        return Err(Error::Connect(self.address, e.into_error().to_string()));
                    }
                    None => return Err(Error::Send(self.address, e.into_error().to_string())),
                },
            }
        }
    }

    async fn receive(
        &self,
        sender: Sender,
        response: hyper::Response<hyper::body::Incoming>,
    ) -> Result<Reply> {
        let status = response.status().as_u16();
        let body = response.into_body().collect().await;
        let body = body.map_err(|e| Error::Receive(self.address, e.to_string()))?;
        self.idle.borrow_mut().push(sender);
        Ok(Reply { status, body: body.to_bytes().to_vec() })
    }

    fn request(&self, call: Call) -> Result<Request<Full<Bytes>>> {
        let mut builder = Request::builder()
            .method(call.method)
            .uri(call.path.as_str())
            .header(HOST, self.address.to_string());
        if !call.body.is_empty() {
            builder = builder.header(CONTENT_TYPE, "application/json");
        }
        for (name, value) in call.headers {
            builder = builder.header(name, value);
        }
        builder
            .body(Full::new(Bytes::from(call.body)))
            .map_err(|e| Error::Connect(self.address, e.to_string()))
    }

    async fn connect(&self) -> Result<Sender> {
        let failed = |why: String| Error::Connect(self.address, why);
        let stream = match timeout(CONNECT_TIMEOUT, TcpStream::connect(self.address)).await {
            Ok(stream) => stream.map_err(|e| failed(e.to_string()))?,
            Err(_) => return Err(failed(format!("no answer after {CONNECT_TIMEOUT:?}"))),
        };
        stream.set_nodelay(true).map_err(|e| failed(e.to_string()))?;
        stream.set_zero_linger().map_err(|e| failed(e.to_string()))?;
        let io = TokioIo::new(stream);
        let handshake = Builder::new().max_buf_size(1 << 20).handshake(io).await;
        let (sender, connection) = handshake.map_err(|e| failed(e.to_string()))?;
        let address = self.address;
        spawn_local(async move {
            if let Err(e) = connection.await {
                log::debug!("channel: connection to {address} ended: {e}");
            }
        });
        Ok(sender)
    }
}
