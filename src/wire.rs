//! Messages between entries, encoded with `bincode` in length-prefixed frames.
//!
//! A frame's length is checked against [`MAX_FRAME_BYTES`] before it is decoded.

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

/// Longest frame in bytes; a snapshot of the largest state fits.
pub const MAX_FRAME_BYTES: usize = 16 << 20;
/// Size in bytes of the length prefix of each frame.
const LENGTH_BYTES: usize = 4;

/// Why a frame could not be encoded or decoded.
#[derive(Debug, Display)]
pub enum Error {
    /// frame of {0} bytes is longer than allowed
    TooLong(usize),
    /// encode frame: {0}
    Encode(bincode::error::EncodeError),
    /// decode frame: {0}
    Decode(bincode::error::DecodeError),
}

impl std::error::Error for Error {}

/// Result of encoding or decoding a frame.
pub type Result<T> = result::Result<T, Error>;

/// A frame on a link.
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
    #[serde(rename = "Beat")]
    Heartbeat(Heartbeat),
    /// Answer to a heartbeat, on the link on which it arrived.
    Ack {
        /// Number of the heartbeat.
        sequence: u64,
    },
    /// Message of the slot protocol.
    Slot(slot::Message),
    /// Request for a state that includes records from an offset on.
    Fetch {
        /// First offset that the sender lacks.
        from: Offset,
        /// Address at which the sender accepts links.
        link: SocketAddr,
    },
    /// Complete state, newer than the requested offset.
    State(Box<State>),
}

/// Content of a heartbeat: the status of its sender.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Number of the heartbeat.
    pub sequence: u64,
    /// Availability zone.
    pub zone: ZoneId,
    /// Offset of the next fleet record to apply.
    pub next: Offset,
    /// Version of the declaration in force.
    pub version: Option<Offset>,
    /// Whether the sender serves callers.
    pub ready: bool,
}

/// Encodes a frame with its length prefix.
pub fn encode(frame: &Frame) -> Result<Bytes> {
    let content =
        bincode::serde::encode_to_vec(frame, bincode::config::standard()).map_err(Error::Encode)?;
    if content.len() > MAX_FRAME_BYTES {
        return Err(Error::TooLong(content.len()));
    }
    let mut out = BytesMut::with_capacity(LENGTH_BYTES + content.len());
    out.put_u32(content.len() as u32);
    out.extend_from_slice(&content);
    Ok(out.freeze())
}

/// Removes the first complete frame from a buffer; `None` if more bytes are needed.
pub fn decode(buffer: &mut BytesMut) -> Result<Option<Frame>> {
    let Some(prefix) = buffer.first_chunk::<LENGTH_BYTES>() else {
        return Ok(None);
    };
    let length = u32::from_be_bytes(*prefix) as usize;
    if length > MAX_FRAME_BYTES {
        return Err(Error::TooLong(length));
    }
    if buffer.len() < LENGTH_BYTES + length {
        return Ok(None);
    }
    let whole = buffer.split_to(LENGTH_BYTES + length);
    let config = bincode::config::standard().with_limit::<MAX_FRAME_BYTES>();
    let (frame, _) =
        bincode::serde::decode_from_slice(&whole[LENGTH_BYTES..], config).map_err(Error::Decode)?;
    Ok(Some(frame))
}
