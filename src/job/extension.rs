//! Messages with an optional extension behind them.
//!
//! An extension follows the bytes of its message. A reader that does not know it ignores it, and a
//! message without one is encoded as it was before the extension existed. Entries of two releases
//! can therefore work together while one replaces the other.

use {
    ::serde::{Serialize, de::DeserializeOwned},
    bincode::{
        config,
        error::{DecodeError, EncodeError},
        serde,
    },
};

/// Encodes a message and its extension.
pub fn encode<M: Serialize, E: Serialize>(
    message: &M,
    extension: Option<&E>,
) -> Result<Vec<u8>, EncodeError> {
    let mut bytes = serde::encode_to_vec(message, config::standard())?;
    if let Some(extension) = extension {
        bytes.extend(serde::encode_to_vec(extension, config::standard())?);
    }
    Ok(bytes)
}

/// Encodes a message and two extensions of different releases, the older one first.
pub fn encode_all<M: Serialize, E: Serialize, F: Serialize>(
    message: &M,
    first: &E,
    second: &F,
) -> Result<Vec<u8>, EncodeError> {
    let mut bytes = encode(message, Some(first))?;
    bytes.extend(serde::encode_to_vec(second, config::standard())?);
    Ok(bytes)
}

/// Decodes a message and its extension, if there is one.
pub fn decode<M: DeserializeOwned, E: DeserializeOwned>(
    bytes: &[u8],
) -> Result<(M, Option<E>), DecodeError> {
    let (message, extension, _) = decode_all::<M, E, ()>(bytes)?;
    Ok((message, extension))
}

/// Decodes a message and its two extensions, as far as they are there.
pub fn decode_all<M, E, F>(bytes: &[u8]) -> Result<(M, Option<E>, Option<F>), DecodeError>
where
    M: DeserializeOwned,
    E: DeserializeOwned,
    F: DeserializeOwned,
{
    let (message, length) = serde::decode_from_slice(bytes, config::standard())?;
    let (first, rest) = decode_part(bytes.get(length..).unwrap_or_default())?;
    let (second, _) = decode_part(rest)?;
    Ok((message, first, second))
}

/// Decodes one extension, and returns it with the bytes behind it.
fn decode_part<E: DeserializeOwned>(bytes: &[u8]) -> Result<(Option<E>, &[u8]), DecodeError> {
    if bytes.is_empty() {
        return Ok((None, bytes));
    }
    let (extension, length) = serde::decode_from_slice(bytes, config::standard())?;
    Ok((Some(extension), bytes.get(length..).unwrap_or_default()))
}
