//! Encoding of messages as length-delimited `bincode` with a size limit.

use bincode::{Decode, Encode};
use bytes::{Buf, BufMut, Bytes, BytesMut};
use thiserror::Error;

/// Maximum size of an encoded message.
pub const MAX_MESSAGE_BYTES: usize = 8 * 1024 * 1024;

/// Memory limit for decoding a message.
///
/// `bincode` counts collections by their size in memory, which exceeds their encoded size.
const DECODE_LIMIT_BYTES: usize = 8 * MAX_MESSAGE_BYTES;

/// Size of the length prefix of a frame.
const LENGTH_BYTES: usize = 4;

/// The reason why encoding or decoding a message failed.
#[derive(Debug, Error)]
pub enum CodecError {
    /// The message is larger than [`MAX_MESSAGE_BYTES`].
    #[error("the message has {length_bytes} bytes; at most {MAX_MESSAGE_BYTES} are allowed")]
    TooLarge {
        /// The size of the message.
        length_bytes: usize,
    },
    /// Encoding the message failed.
    #[error("encoding the message failed")]
    Encode(#[from] bincode::error::EncodeError),
    /// The bytes are not a message of the expected type.
    #[error("decoding the message failed")]
    Decode(#[from] bincode::error::DecodeError),
    /// The message is followed by excess bytes.
    #[error("the message is followed by {extra_bytes} excess bytes")]
    Trailing {
        /// The number of excess bytes.
        extra_bytes: usize,
    },
}

fn config() -> impl bincode::config::Config {
    bincode::config::standard().with_limit::<DECODE_LIMIT_BYTES>()
}

/// Encodes a message without a length prefix.
pub(super) fn encode<T: Encode>(message: &T) -> Result<Bytes, CodecError> {
    let encoded = bincode::encode_to_vec(message, config())?;
    check_length(encoded.len())?;
    Ok(encoded.into())
}

/// Decodes a message that must occupy all of `bytes`.
pub(super) fn decode<T: Decode<()>>(bytes: &[u8]) -> Result<T, CodecError> {
    let (message, used_bytes) = bincode::decode_from_slice(bytes, config())?;
    match bytes.len() - used_bytes {
        0 => Ok(message),
        extra_bytes => Err(CodecError::Trailing { extra_bytes }),
    }
}

/// Appends a message with its length prefix to `frames`, which an error leaves unchanged.
pub(super) fn encode_frame<T: Encode>(
    message: &T,
    frames: &mut BytesMut,
) -> Result<(), CodecError> {
    let start = frames.len();
    frames.put_u32(0);
    let appended = append(message, frames, start + LENGTH_BYTES);
    match appended {
        Ok(length) => frames[start..start + LENGTH_BYTES].copy_from_slice(&length.to_be_bytes()),
        Err(_) => frames.truncate(start),
    }
    appended.map(drop)
}

fn append<T: Encode>(message: &T, frames: &mut BytesMut, start: usize) -> Result<u32, CodecError> {
    bincode::encode_into_std_write(message, &mut frames.writer(), config())?;
    check_length(frames.len() - start)
}

/// Removes the next message from `frames`; returns `None` while it is incomplete.
pub(super) fn decode_frame<T: Decode<()>>(frames: &mut BytesMut) -> Result<Option<T>, CodecError> {
    let Some(length) = frames.first_chunk::<LENGTH_BYTES>() else {
        return Ok(None);
    };
    let length_bytes = u32::from_be_bytes(*length) as usize;
    check_length(length_bytes)?;
    let Some(message) = frames.get(LENGTH_BYTES..LENGTH_BYTES + length_bytes) else {
        return Ok(None);
    };
    let message = decode(message)?;
    frames.advance(LENGTH_BYTES + length_bytes);
    Ok(Some(message))
}

fn check_length(length_bytes: usize) -> Result<u32, CodecError> {
    match u32::try_from(length_bytes) {
        Ok(length) if length_bytes <= MAX_MESSAGE_BYTES => Ok(length),
        _ => Err(CodecError::TooLarge { length_bytes }),
    }
}

#[cfg(test)]
mod tests;
