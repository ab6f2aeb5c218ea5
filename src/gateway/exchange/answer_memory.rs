//! The memory that whole answers of upstreams take up while they are read.
//!
//! A faulty upstream may send a body without end. One answer may be long, but many long ones at once
//! would exceed the memory of a small host, so that they share a budget of the node.

use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::{Bytes, BytesMut};
use http_body::Body;
use http_body_util::BodyExt;

/// Largest body of one answer.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// Part of each answer that is read whatever the others hold, so that short answers are not lost
/// beside long ones.
const EXEMPT_BYTES: usize = 64 * 1024;

/// Bytes that all answers of the node may hold beyond their exempt parts.
const SHARED_BYTES: usize = 24 * 1024 * 1024;

/// The bytes that the answers of one node hold beyond their exempt parts.
#[derive(Debug, Default)]
pub(crate) struct AnswerMemory {
    held_bytes: AtomicUsize,
}

/// Why a body was not read to its end.
#[derive(Debug, thiserror::Error)]
pub(crate) enum UnreadBody {
    /// The body exceeds the bound of one answer.
    #[error("the body is longer than {MAX_ANSWER_BYTES} bytes")]
    TooLong,
    /// The answers that are being read take up all memory meant for them.
    #[error("the answers that are being read hold {SHARED_BYTES} bytes")]
    NoMemory,
    /// The connection broke, or the body is not valid HTTP.
    #[error(transparent)]
    Broken(hyper::Error),
}

impl UnreadBody {
    /// Returns the reason as it is logged.
    pub fn reason(&self) -> &'static str {
        match self {
            Self::TooLong => "body_too_long",
            Self::NoMemory => "body_no_memory",
            Self::Broken(_error) => "body_broken",
        }
    }
}

impl AnswerMemory {
    /// Reads a body to its end.
    ///
    /// # Errors
    ///
    /// If the body is too long for itself or beside the others, or breaks.
    pub async fn collect<B>(&self, body: B) -> Result<Bytes, UnreadBody>
    where
        B: Body<Data = Bytes, Error = hyper::Error> + Unpin,
    {
        let mut body = body;
        let mut held = Held {
            memory: self,
            bytes: 0,
        };
        // One growing buffer would hold twice what is counted while it is copied.
        let mut parts: Vec<Bytes> = Vec::new();
        let mut length = 0;
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(UnreadBody::Broken)?;
            let Ok(data) = frame.into_data() else {
                continue;
            };
            length += data.len();
            held.grow_to(length)?;
            // The data is a slice of a larger buffer, which it would keep.
            parts.push(Bytes::copy_from_slice(&data));
        }
        Ok(joined(parts, length))
    }
}

fn joined(mut parts: Vec<Bytes>, length: usize) -> Bytes {
    if parts.len() == 1 {
        return parts.swap_remove(0);
    }
    let mut whole = BytesMut::with_capacity(length);
    for part in parts {
        whole.extend_from_slice(&part);
    }
    whole.freeze()
}

/// What one answer holds of the shared memory; dropping it gives it back.
#[derive(Debug)]
struct Held<'a> {
    memory: &'a AnswerMemory,
    bytes: usize,
}

impl Held<'_> {
    fn grow_to(&mut self, answer_bytes: usize) -> Result<(), UnreadBody> {
        if answer_bytes > MAX_ANSWER_BYTES {
            return Err(UnreadBody::TooLong);
        }
        let wanted = answer_bytes.saturating_sub(EXEMPT_BYTES);
        let more = wanted - self.bytes;
        let before = self.memory.held_bytes.fetch_add(more, Ordering::Relaxed);
        self.bytes = wanted;
        match before + more {
            held if held > SHARED_BYTES && more > 0 => Err(UnreadBody::NoMemory),
            _ => Ok(()),
        }
    }
}

impl Drop for Held<'_> {
    fn drop(&mut self) {
        (self.memory.held_bytes).fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

#[cfg(test)]
mod tests;
