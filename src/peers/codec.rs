//! Messages as length-delimited `bincode`, bounded in size.

use bincode::{Decode, Encode};
use bytes::{Buf, BufMut, Bytes, BytesMut};
use thiserror::Error;

/// Largest encoded message.
pub const MAX_MESSAGE_BYTES: usize = 8 * 1024 * 1024;

/// Memory that a message may claim while it is decoded.
///
/// The library counts collections by their size in memory, which is larger than on the wire.
const DECODE_LIMIT_BYTES: usize = 8 * MAX_MESSAGE_BYTES;

/// Size of the length that stands before each frame.
const LENGTH_BYTES: usize = 4;

/// Why a message can't be encoded or decoded.
#[derive(Debug, Error)]
pub enum CodecError {
    /// The message is larger than [`MAX_MESSAGE_BYTES`].
    #[error("a message of {length_bytes} bytes is larger than {MAX_MESSAGE_BYTES}")]
    TooLarge {
        /// Its size.
        length_bytes: usize,
    },
    /// The message can't be encoded.
    #[error("a message can't be encoded")]
    Encode(#[from] bincode::error::EncodeError),
    /// The bytes aren't a message of this type.
    #[error("a message can't be decoded")]
    Decode(#[from] bincode::error::DecodeError),
    /// Bytes follow the message.
    #[error("{extra_bytes} bytes follow a message")]
    Trailing {
        /// How many.
        extra_bytes: usize,
    },
}

fn config() -> impl bincode::config::Config {
    bincode::config::standard().with_limit::<DECODE_LIMIT_BYTES>()
}

/// Encodes a message without a length.
pub(super) fn encode<T: Encode>(message: &T) -> Result<Bytes, CodecError> {
    let encoded = bincode::encode_to_vec(message, config())?;
    check_length(encoded.len())?;
    Ok(encoded.into())
}

/// Decodes a message that fills `bytes`.
pub(super) fn decode<T: Decode<()>>(bytes: &[u8]) -> Result<T, CodecError> {
    let (message, used_bytes) = bincode::decode_from_slice(bytes, config())?;
    match bytes.len() - used_bytes {
        0 => Ok(message),
        extra_bytes => Err(CodecError::Trailing { extra_bytes }),
    }
}

/// Appends a message with its length to `frames`; on an error `frames` is as before.
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

/// Takes the next message off `frames`, if all of it is there.
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
