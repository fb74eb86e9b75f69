//! Connection that is given up if its peer does not read what is sent.

use {
    hyper::rt::{Read, ReadBufCursor, Write},
    hyper_util::rt::TokioIo,
    std::{
        io::{self, ErrorKind, IoSlice},
        pin::Pin,
        task::{Context, Poll},
        time::Duration,
    },
    tokio::{
        net::TcpStream,
        time::{Sleep, sleep},
    },
};

/// Connection whose writes fail after a time without progress.
pub struct Stream {
    inner: TokioIo<TcpStream>,
    write_timeout: Duration,
    /// Ends when the write in progress fails; `None` while writes progress.
    stalled: Option<Pin<Box<Sleep>>>,
}

impl Stream {
    /// Wraps a connection.
    pub fn new(stream: TcpStream, write_timeout: Duration) -> Self {
        Self { inner: TokioIo::new(stream), write_timeout, stalled: None }
    }

    /// Fails a write once it has made no progress for the timeout.
    fn check<T>(
        &mut self,
        cx: &mut Context<'_>,
        written: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if written.is_ready() {
            self.stalled = None;
            return written;
        }
        let write_timeout = self.write_timeout;
        let stalled = self.stalled.get_or_insert_with(|| Box::pin(sleep(write_timeout)));
        stalled.as_mut().poll(cx).map(|()| {
            let why = format!("the peer has read nothing for {write_timeout:?}");
            Err(io::Error::new(ErrorKind::TimedOut, why))
        })
    }
}

impl Read for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_read(cx, buffer)
    }
}

impl Write for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.inner).poll_write(cx, bytes);
        self.check(cx, written)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.inner).poll_write_vectored(cx, slices);
        self.check(cx, written)
    }
}
