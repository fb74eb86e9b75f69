//! HTTP bodies that are forwarded while they are still arriving.

pub(crate) use hyper::body::Frame;
use {
    crate::{
        exchange::{Body, BodyError},
        intake::{Connection, Pace},
    },
    bytes::Bytes,
    http_body_util::{BodyExt, Full, StreamBody, combinators::UnsyncBoxBody},
    hyper::body::{Body as _, Incoming, SizeHint},
    std::{
        pin::Pin,
        result,
        sync::Arc,
        task::{Context, Poll},
        time::{Duration, Instant},
    },
    tokio::{sync::mpsc, time::timeout},
};

/// Frames buffered between the reading and the writing side.
const QUEUE_FRAMES: usize = 1;

/// Writing side of a [`channel`].
pub(crate) type Sender = mpsc::Sender<result::Result<Frame<Bytes>, BodyError>>;

/// Creates a body that another task writes; `size` is its total length, if known.
pub(crate) fn channel(size: Option<u64>) -> (Sender, Body) {
    let (sender, receiver) = mpsc::channel(QUEUE_FRAMES);
    let inner = StreamBody::new(Receiver(receiver));
    (sender, UnsyncBoxBody::new(WithLength { inner, size }))
}

/// Creates a body of the bytes read so far followed by the rest of the caller's body.
///
/// It fails if the total length exceeds `limit` or if no frame arrives for `idle`.
pub(crate) fn chain(buffered: Bytes, rest: Body, limit: u64, idle: Duration) -> Body {
    let size = rest.size_hint().exact().map(|rest| rest + buffered.len() as u64);
    let (sender, body) = channel(size);
    tokio::spawn(async move {
        let mut rest = rest;
        let mut length = buffered.len() as u64;
        if sender.send(Ok(Frame::data(buffered))).await.is_err() {
            return;
        }
        loop {
            let frame = match timeout(idle, rest.frame()).await {
                Err(_) => Err(BodyError::from("timed out reading the caller's body")),
                Ok(None) => return,
                Ok(Some(frame)) => frame,
            };
            length += frame.as_ref().ok().and_then(|f| f.data_ref()).map_or(0, Bytes::len) as u64;
            let frame =
                if length > limit { Err("the body exceeds the size limit".into()) } else { frame };
            let failed = frame.is_err();
            if sender.send(frame).await.is_err() || failed {
                return;
            }
        }
    });
    body
}

/// Has a caller's body record on its connection by how much the caller is behind.
pub(crate) fn paced(inner: Incoming, caller: Arc<Connection>) -> Body {
    let pace = Pace::new(caller.limits().body_rate);
    UnsyncBoxBody::new(Paced { inner, caller, pace })
}

/// Body of a caller's request that records by how much the caller is behind.
struct Paced {
    inner: Incoming,
    caller: Arc<Connection>,
    pace: Pace,
}

impl hyper::body::Body for Paced {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<result::Result<Frame<Bytes>, BodyError>>> {
        let polled = Pin::new(&mut self.inner).poll_frame(cx);
        let now = Instant::now();
        match &polled {
            Poll::Pending => {
                let since = self.pace.wait(now);
                self.caller.receive(since);
            }
            Poll::Ready(frame) => {
                let data = frame.as_ref().and_then(|frame| frame.as_ref().ok()?.data_ref());
                self.pace.receive(now, data.map_or(0, Bytes::len));
                self.caller.received();
            }
        }
        polled.map(|frame| frame.map(|frame| frame.map_err(BodyError::from)))
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}

/// Converts a body received by `hyper`.
pub(crate) fn boxed(body: Incoming) -> Body {
    UnsyncBoxBody::new(body.map_err(BodyError::from))
}

/// Creates a body from bytes in memory.
pub(crate) fn whole(content: Bytes) -> Body {
    UnsyncBoxBody::new(Full::new(content).map_err(|never| match never {}))
}

/// Has a response's body record on its caller's connection whether the caller is awaited.
pub(crate) fn tracked(inner: Body, caller: Arc<Connection>) -> Body {
    UnsyncBoxBody::new(Tracked { inner, caller })
}

/// Body of a response that records whether its caller is awaited.
struct Tracked {
    inner: Body,
    caller: Arc<Connection>,
}

impl Drop for Tracked {
    fn drop(&mut self) {
        self.caller.wait();
    }
}

impl hyper::body::Body for Tracked {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<result::Result<Frame<Bytes>, BodyError>>> {
        let polled = Pin::new(&mut self.inner).poll_frame(cx);
        // The next part is asked for once the caller has taken enough of this one.
        match polled {
            Poll::Ready(_) => self.caller.send(),
            Poll::Pending => self.caller.handle(),
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}

/// Reading side of a [`channel`].
struct Receiver(mpsc::Receiver<result::Result<Frame<Bytes>, BodyError>>);

impl futures_core::Stream for Receiver {
    type Item = result::Result<Frame<Bytes>, BodyError>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        self.0.poll_recv(cx)
    }
}

/// A body that announces its total length, if known.
struct WithLength<B> {
    inner: B,
    size: Option<u64>,
}

impl<B: hyper::body::Body + Unpin> hyper::body::Body for WithLength<B> {
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
