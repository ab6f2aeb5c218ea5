//! Reads the body of a caller's request within the account of callers.

use std::sync::Arc;

use bytes::Bytes;
use http_body::Body;
use http_body_util::BodyExt;
use thiserror::Error;

use super::account::{Evicted, Place};
use crate::fair_body::FairBody;
use crate::in_flight;
use crate::time::TimeMs;

/// Size of the blocks into which a body is gathered; a shorter one has a block of its length.
///
/// Blocks of one size are used again at once, where buffers that grow leave gaps of all sizes.
const BLOCK_BYTES: usize = 16 * 1024;

/// First block of a body of unknown length.
const FIRST_BLOCK_BYTES: usize = 4 * 1024;

/// What the HTTP library's buffer may hold beside a body that does not arrive at once.
const READ_BUFFER_BYTES: usize = 16 * 1024;

/// Why a body was not read to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(crate) enum ArrivalError {
    /// The body exceeds the limit.
    #[error("the body is too long")]
    TooLong,
    /// The connection broke, or the body is not valid HTTP.
    #[error("the body broke off")]
    Broken,
    /// Others need its memory.
    #[error(transparent)]
    Evicted(#[from] Evicted),
}

/// Bytes that a place is charged with until they are dropped.
#[derive(Debug)]
struct HeldBytes {
    place: Arc<Place>,
    bytes: usize,
}

impl HeldBytes {
    async fn grow(&mut self, bytes: usize) -> Result<(), Evicted> {
        self.place.reserve(bytes).await?;
        self.bytes += bytes;
        Ok(())
    }

    fn shrink_to(&mut self, bytes: usize) {
        self.place.release(self.bytes.saturating_sub(bytes));
        self.bytes = self.bytes.min(bytes);
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.place.release(self.bytes);
    }
}

/// Reads a body to its end; the place is charged with it until the last part of it is dropped.
///
/// Nothing waits for the request's answer after `deadline`.
///
/// The bytes are copied, since those of the HTTP library are parts of larger buffers.
///
/// # Errors
///
/// If the body is longer than `max_bytes`, breaks off, or has to go for others.
pub(crate) async fn read_body<B>(
    body: B,
    place: &Arc<Place>,
    max_bytes: usize,
    deadline: TimeMs,
) -> Result<Bytes, ArrivalError>
where
    B: Body<Data = Bytes> + Unpin,
{
    let announced_bytes = announced_bytes(&body);
    if announced_bytes.is_some_and(|length| length > max_bytes) {
        return Err(ArrivalError::TooLong);
    }
    let mut body = FairBody::new(body);
    let mut arriving = ArrivingBody::new(place, announced_bytes, max_bytes);
    loop {
        let frame = tokio::select! {
            biased;
            () = place.evicted() => return Err(Evicted.into()),
            frame = body.frame() => frame,
        };
        let Some(frame) = frame else { break };
        let frame = frame.map_err(|_broken| ArrivalError::Broken)?;
        if let Ok(data) = frame.into_data() {
            arriving.push(&data).await?;
        }
    }
    arriving.finish(deadline).await
}

/// Returns the whole body of a request, with which the place is charged until the last part of it is dropped.
///
/// # Errors
///
/// If there is no room for it.
pub(crate) fn hold_whole(body: Vec<u8>, place: Place, deadline: TimeMs) -> Result<Bytes, Evicted> {
    place.add(body.capacity())?;
    place.serve(deadline)?;
    let held = HeldBytes {
        bytes: body.capacity(),
        place: Arc::new(place),
    };
    Ok(in_flight::holding(Bytes::from(body), held))
}

/// Returns the length that the head of a request states.
fn announced_bytes(body: &impl Body) -> Option<usize> {
    let length = body.size_hint().exact();
    length.map(|length| usize::try_from(length).unwrap_or(usize::MAX))
}

/// The part of a body that has arrived.
#[derive(Debug)]
struct ArrivingBody {
    blocks: Vec<Vec<u8>>,
    length: usize,
    announced_bytes: Option<usize>,
    max_bytes: usize,
    held: HeldBytes,
}

impl ArrivingBody {
    fn new(place: &Arc<Place>, announced_bytes: Option<usize>, max_bytes: usize) -> Self {
        Self {
            blocks: Vec::new(),
            length: 0,
            announced_bytes,
            max_bytes,
            held: HeldBytes {
                place: Arc::clone(place),
                bytes: 0,
            },
        }
    }

    async fn push(&mut self, data: &[u8]) -> Result<(), ArrivalError> {
        let most_bytes = self.announced_bytes.unwrap_or(self.max_bytes);
        if data.len() > most_bytes - self.length {
            return Err(ArrivalError::TooLong);
        }
        let mut rest = data;
        while !rest.is_empty() {
            let block = self.block().await?;
            let (within, beyond) = rest.split_at(rest.len().min(block.capacity() - block.len()));
            block.extend_from_slice(within);
            self.length += within.len();
            rest = beyond;
        }
        Ok(())
    }

    /// Returns a block with room.
    async fn block(&mut self) -> Result<&mut Vec<u8>, ArrivalError> {
        let last = self.blocks.last();
        if last.is_none_or(|last| last.len() == last.capacity()) {
            match self.announced_bytes {
                Some(length) if self.length > 0 => self.grow_to(length).await?,
                _ => self.add_block().await?,
            }
        }
        let last = self.blocks.len() - 1;
        Ok(&mut self.blocks[last])
    }

    async fn add_block(&mut self) -> Result<(), ArrivalError> {
        let (block_bytes, buffer_bytes) = match (self.length, self.announced_bytes) {
            (0, Some(length)) if length <= BLOCK_BYTES => (length, 0),
            (0, None) => (FIRST_BLOCK_BYTES, READ_BUFFER_BYTES),
            (0, Some(_longer)) => (BLOCK_BYTES, READ_BUFFER_BYTES),
            _ => (BLOCK_BYTES, 0),
        };
        self.held.grow(block_bytes + buffer_bytes).await?;
        self.blocks.push(Vec::with_capacity(block_bytes));
        Ok(())
    }

    /// Moves what has arrived into one block of this length.
    async fn grow_to(&mut self, length: usize) -> Result<(), ArrivalError> {
        self.held.grow(length).await?;
        let mut whole = Vec::with_capacity(length);
        for block in self.blocks.drain(..) {
            whole.extend_from_slice(&block);
        }
        self.blocks.push(whole);
        Ok(())
    }

    /// Returns the body as a whole, for which it is copied once more if it has several blocks.
    async fn finish(mut self, deadline: TimeMs) -> Result<Bytes, ArrivalError> {
        if self.blocks.len() > 1 {
            self.grow_to(self.length).await?;
        }
        let whole = self.blocks.pop().unwrap_or_default();
        self.held.shrink_to(whole.capacity());
        self.held.place.serve(deadline)?;
        Ok(in_flight::holding(Bytes::from(whole), self.held))
    }
}

#[cfg(test)]
mod tests;
