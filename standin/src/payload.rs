//! Body of a response, which can be truncated to simulate a broken connection.

use {
    bytes::Bytes,
    hyper::body::{Body, Frame, SizeHint},
    std::{
        io::{Error, ErrorKind},
        pin::Pin,
        task::{Context, Poll},
    },
};

/// Body of a response.
#[derive(Debug, Default)]
pub struct Payload {
    data: Option<Bytes>,
    missing_bytes: u64,
    flushed: bool,
}

impl Payload {
    /// Sends all of `data`.
    pub fn complete(data: impl Into<Bytes>) -> Self {
        Self { data: Some(data.into()), missing_bytes: 0, flushed: false }
    }

    /// Announces the length of all of `data`, sends the first half and breaks the connection.
    pub fn truncated(data: impl Into<Bytes>) -> Self {
        let data = data.into();
        let half = data.len() / 2;
        let missing_bytes = (data.len() - half) as u64;
        Self { data: Some(data.slice(..half)), missing_bytes, flushed: false }
    }
}

impl Body for Payload {
    type Data = Bytes;
    type Error = Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        if let Some(data) = self.data.take().filter(|d| !d.is_empty()) {
            return Poll::Ready(Some(Ok(Frame::data(data))));
        }
        if self.missing_bytes > 0 {
            if !self.flushed {
                // Returning `Pending` once makes the server flush the first half before the error.
                self.flushed = true;
                context.waker().wake_by_ref();
                return Poll::Pending;
            }
            return Poll::Ready(Some(Err(Error::from(ErrorKind::ConnectionReset))));
        }
        Poll::Ready(None)
    }

    fn is_end_stream(&self) -> bool {
        self.missing_bytes == 0 && self.data.as_ref().is_none_or(Bytes::is_empty)
    }

    fn size_hint(&self) -> SizeHint {
        let data_bytes = self.data.as_ref().map_or(0, |d| d.len() as u64);
        SizeHint::with_exact(data_bytes + self.missing_bytes)
    }
}
