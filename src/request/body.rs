//! Bodies that are passed on while they arrive.

pub(crate) use hyper::body::Frame;
use {
    crate::exchange::{Body, BodyError},
    bytes::Bytes,
    http_body_util::{BodyExt, Full, StreamBody, combinators::UnsyncBoxBody},
    hyper::body::{Body as _, Incoming, SizeHint},
    std::{
        pin::Pin,
        result,
        task::{Context, Poll},
        time::Duration,
    },
    tokio::{sync::mpsc, time::timeout},
};

/// Frames that wait between the two sides.
const QUEUE_FRAMES: usize = 4;

/// Frames on their way from one side to the other.
pub(crate) type Sender = mpsc::Sender<result::Result<Frame<Bytes>, BodyError>>;

/// A body fed by a task, with the length that it will have if that is known.
pub(crate) fn channel(size: Option<u64>) -> (Sender, Body) {
    let (sender, receiver) = mpsc::channel(QUEUE_FRAMES);
    let inner = StreamBody::new(Frames(receiver));
    (sender, UnsyncBoxBody::new(Sized { inner, size }))
}

/// Body that passes on the bytes held, then the caller's rest, within the limits.
pub(crate) fn chain(held: Bytes, rest: Body, limit: u64, idle: Duration) -> Body {
    let size = rest.size_hint().exact().map(|rest| rest + held.len() as u64);
    let (sender, body) = channel(size);
    tokio::spawn(async move {
        let mut rest = rest;
        let mut passed = held.len() as u64;
        if sender.send(Ok(Frame::data(held))).await.is_err() {
            return;
        }
        loop {
            let frame = match timeout(idle, rest.frame()).await {
                Err(_) => Err(BodyError::from("the caller's body came too slowly")),
                Ok(None) => return,
                Ok(Some(frame)) => frame,
            };
            passed += frame.as_ref().ok().and_then(|f| f.data_ref()).map_or(0, Bytes::len) as u64;
            let frame = if passed > limit { Err("the body is too long".into()) } else { frame };
            let failed = frame.is_err();
            if sender.send(frame).await.is_err() || failed {
                return;
            }
        }
    });
    body
}

/// A received body of the library's kind as one of ours.
pub(crate) fn boxed(body: Incoming) -> Body {
    UnsyncBoxBody::new(body.map_err(BodyError::from))
}

/// A body that is there already.
pub(crate) fn whole(content: Bytes) -> Body {
    UnsyncBoxBody::new(Full::new(content).map_err(|never| match never {}))
}

struct Frames(mpsc::Receiver<result::Result<Frame<Bytes>, BodyError>>);

impl futures_core::Stream for Frames {
    type Item = result::Result<Frame<Bytes>, BodyError>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        self.0.poll_recv(cx)
    }
}

/// A body of a length known beforehand.
struct Sized<B> {
    inner: B,
    size: Option<u64>,
}

impl<B: hyper::body::Body + Unpin> hyper::body::Body for Sized<B> {
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
