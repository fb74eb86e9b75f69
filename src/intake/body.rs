//! Reading of a body into one piece of memory that is reserved before it is used.

use {
    super::{Error, Reservation, Result},
    bytes::{Buf, Bytes},
    http_body_util::BodyExt,
    hyper::body::Body,
    std::{fmt::Display, sync::Arc, time::Duration},
    tokio::{select, time::timeout},
};

/// Smallest memory that is reserved for a body, in bytes.
const MIN_CAPACITY: usize = 1 << 10;

/// Bytes of a body in reserved memory.
pub struct Buffer {
    bytes: Vec<u8>,
    reservation: Reservation,
}

impl Buffer {
    /// Begins empty.
    pub fn new(reservation: Reservation) -> Self {
        Self { bytes: Vec::new(), reservation }
    }

    /// Reserves memory for `length` bytes in all.
    pub fn reserve(&mut self, length: usize) -> Result<()> {
        if length > self.bytes.capacity() {
            self.reservation.reserve(length)?;
            self.bytes.reserve_exact(length - self.bytes.len());
        }
        Ok(())
    }

    /// Appends a piece; the memory grows by doubling, up to `max` bytes.
    pub fn push(&mut self, mut piece: impl Buf, max: usize) -> Result<()> {
        let length = self.bytes.len() + piece.remaining();
        if length > max {
            return Err(Error::TooLong(max));
        }
        if length > self.bytes.capacity() {
            let doubled = (self.bytes.capacity() * 2).clamp(MIN_CAPACITY, max.max(MIN_CAPACITY));
            self.reserve(length.max(doubled))?;
        }
        while piece.has_remaining() {
            let chunk = piece.chunk();
            self.bytes.extend_from_slice(chunk);
            let count = chunk.len();
            piece.advance(count);
        }
        Ok(())
    }

    /// Appends the piece for which no memory could be reserved. Reading has to end with it.
    pub fn push_last(&mut self, piece: &[u8]) {
        self.bytes.extend_from_slice(piece);
    }

    /// Has the bytes read so far never be given up for other bodies.
    pub fn keep(&self) {
        self.reservation.complete();
    }

    /// Number of bytes.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Whether there are no bytes.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Returns once the incomplete body is to be given up for another one.
    pub async fn giving_up(&self) {
        self.reservation.giving_up().await;
    }

    /// The bytes, whose memory stays reserved until nothing refers to them. They are not given up for other
    /// bodies.
    pub fn freeze(self) -> Bytes {
        self.reservation.complete();
        if self.bytes.is_empty() { Bytes::new() } else { Bytes::from_owner(self) }
    }
}

impl AsRef<[u8]> for Buffer {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Reads a whole body of at most `max` bytes within `limit`.
pub async fn read<B>(
    body: B,
    reservation: Reservation,
    max: usize,
    limit: Duration,
) -> Result<Bytes>
where
    B: Body + Unpin,
    B::Error: Display,
{
    let guard = Arc::clone(reservation.guard());
    let read = timeout(limit, read_whole(body, Buffer::new(reservation), max)).await;
    let read = read.unwrap_or(Err(Error::TimedOut(limit)));
    read.inspect_err(|e| guard.count_rejection(e))
}

async fn read_whole<B>(mut body: B, mut buffer: Buffer, max: usize) -> Result<Bytes>
where
    B: Body + Unpin,
    B::Error: Display,
{
    if body.size_hint().lower() > max as u64 {
        return Err(Error::TooLong(max));
    }
    loop {
        // A body that was given up has no memory any more, also if the rest of it is there.
        let frame = select! {
            biased;
            () = buffer.giving_up() => return Err(Error::Displaced),
            frame = body.frame() => frame,
        };
        match frame {
            None => return Ok(buffer.freeze()),
            Some(Err(e)) => return Err(Error::Broken(e.to_string())),
            Some(Ok(frame)) => {
                if let Ok(data) = frame.into_data() {
                    buffer.push(data, max)?;
                }
            }
        }
    }
}
