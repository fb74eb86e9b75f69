//! Messages between entries, encoded by `bincode` in length-prefixed frames.
//!
//! A frame's length is checked against [`FRAME_BYTES`] before it is decoded.

use {
    crate::{
        id::{EntryId, Incarnation, Offset, ZoneId},
        slot,
        state::State,
    },
    bytes::{BufMut, Bytes, BytesMut},
    displaydoc::Display,
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, result},
};

/// Longest frame in bytes; a snapshot of the state at full size fits.
pub const FRAME_BYTES: usize = 16 << 20;
/// Bytes of the length before each frame.
const PREFIX_BYTES: usize = 4;

/// Why a frame could not be encoded or decoded.
#[derive(Debug, Display)]
pub enum Error {
    /// frame of {0} bytes is longer than allowed
    Long(usize),
    /// encode frame: {0}
    Encode(bincode::error::EncodeError),
    /// decode frame: {0}
    Decode(bincode::error::DecodeError),
}

impl std::error::Error for Error {}

/// Result of encoding or decoding.
pub type Result<T> = result::Result<T, Error>;

/// One frame on a link.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Frame {
    /// Sender.
    pub from: EntryId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Content.
    pub message: Message,
}

/// Content of a frame.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Message {
    /// Heartbeat.
    Beat(Beat),
    /// Answer to a heartbeat, on the link that brought it.
    Ack {
        /// Number of the heartbeat.
        sequence: u64,
    },
    /// Moves of slots.
    Slot(slot::Message),
    /// Asks for records or a state from an offset.
    Fetch {
        /// First offset that the sender lacks.
        from: Offset,
        /// Where the sender accepts links.
        link: SocketAddr,
    },
    /// A whole state, newer than what was asked for.
    State(Box<State>),
}

/// What a heartbeat tells about its sender.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Beat {
    /// Number of the heartbeat.
    pub sequence: u64,
    /// Availability zone.
    pub zone: ZoneId,
    /// Offset of the next fleet record to apply.
    pub next: Offset,
    /// Version of the declaration in force.
    pub version: Option<Offset>,
    /// Whether it serves callers.
    pub ready: bool,
}

/// Encodes a frame with its length before it.
pub fn encode(frame: &Frame) -> Result<Bytes> {
    let content =
        bincode::serde::encode_to_vec(frame, bincode::config::standard()).map_err(Error::Encode)?;
    if content.len() > FRAME_BYTES {
        return Err(Error::Long(content.len()));
    }
    let mut out = BytesMut::with_capacity(PREFIX_BYTES + content.len());
    out.put_u32(content.len() as u32);
    out.extend_from_slice(&content);
    Ok(out.freeze())
}

/// Takes the first whole frame off a buffer; none if more bytes are needed.
pub fn decode(buffer: &mut BytesMut) -> Result<Option<Frame>> {
    let Some(prefix) = buffer.first_chunk::<PREFIX_BYTES>() else {
        return Ok(None);
    };
    let length = u32::from_be_bytes(*prefix) as usize;
    if length > FRAME_BYTES {
        return Err(Error::Long(length));
    }
    if buffer.len() < PREFIX_BYTES + length {
        return Ok(None);
    }
    let whole = buffer.split_to(PREFIX_BYTES + length);
    let config = bincode::config::standard().with_limit::<FRAME_BYTES>();
    let (frame, _) =
        bincode::serde::decode_from_slice(&whole[PREFIX_BYTES..], config).map_err(Error::Decode)?;
    Ok(Some(frame))
}
