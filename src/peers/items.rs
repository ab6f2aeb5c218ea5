//! Decoding of the messages in a response's body.

use std::fmt;
use std::marker::PhantomData;
use std::sync::Arc;

use bincode::Decode;
use bytes::{Bytes, BytesMut};
use h2::RecvStream;

use super::Protocol;
use super::codec;
use super::error::{PeerError, Refusal};
use super::liveness::{Liveness, UseGuard};
use super::traffic::KindTraffic;

/// The resources that an open stream holds until it is dropped.
#[derive(Debug)]
pub(super) struct StreamGuard {
    pub liveness: Arc<Liveness>,
    pub traffic: Arc<KindTraffic>,
    /// The stream's id within its connection.
    pub stream: u32,
    pub _use: UseGuard,
    pub _permit: tokio::sync::OwnedSemaphorePermit,
}

impl StreamGuard {
    /// Converts the error of a stream that has not been answered.
    ///
    /// Only the peer's own word proves that it has not read the request: a connection may end
    /// without it just as well after the request has run.
    pub(super) fn unanswered_error(&self, error: h2::Error) -> PeerError {
        if self.liveness.is_unread(self.stream) {
            PeerError::Refused(Refusal::Unread)
        } else {
            self.error(error)
        }
    }

    /// Converts a stream error to [`PeerError::Silent`] if the peer stopped responding.
    pub(super) fn error(&self, error: h2::Error) -> PeerError {
        if self.liveness.is_silent() {
            PeerError::Silent
        } else {
            PeerError::from(error)
        }
    }
}

/// The messages of a response's body.
#[derive(Debug)]
pub(super) struct Frames {
    body: RecvStream,
    unread: BytesMut,
    guard: StreamGuard,
}

impl Frames {
    pub(super) fn new(body: RecvStream, guard: StreamGuard) -> Self {
        Self {
            body,
            unread: BytesMut::new(),
            guard,
        }
    }

    /// Returns the next message, or `None` at the regular end of the stream.
    pub(super) async fn next<T: Decode<()>>(&mut self) -> Option<Result<T, PeerError>> {
        loop {
            match codec::decode_frame(&mut self.unread) {
                Ok(Some(message)) => {
                    self.guard.traffic.record_received(1, 0);
                    return Some(Ok(message));
                }
                Ok(None) => {}
                Err(error) => return Some(Err(PeerError::Malformed(error))),
            }
            match self.body.data().await {
                Some(Ok(chunk)) => self.take(&chunk),
                Some(Err(error)) => return Some(Err(self.guard.error(error))),
                None if self.unread.is_empty() => return None,
                None => return Some(Err(PeerError::EndedEarly)),
            }
        }
    }

    fn take(&mut self, chunk: &Bytes) {
        self.guard.traffic.record_received(0, chunk.len());
        self.unread.extend_from_slice(chunk);
        // This fails only for a stream that has ended, which needs no flow-control window.
        let _ = self.body.flow_control().release_capacity(chunk.len());
    }
}

/// The stream of items that follow a reply.
///
/// Dropping it cancels the stream and the peer's handler.
pub struct Items<P> {
    frames: Option<Frames>,
    protocol: PhantomData<fn() -> P>,
}

impl<P: Protocol> Items<P> {
    pub(super) fn new(frames: Frames) -> Self {
        Self {
            frames: Some(frames),
            protocol: PhantomData,
        }
    }

    /// Returns the next item, or `None` after the last item or an error.
    ///
    /// The method is cancel-safe: dropping its future before completion loses no item.
    ///
    /// # Errors
    ///
    /// Returns an error if the stream fails, the peer stops responding or a message is invalid.
    pub async fn next(&mut self) -> Option<Result<P::Item, PeerError>> {
        let next = self.frames.as_mut()?.next().await;
        if !matches!(next, Some(Ok(_))) {
            self.frames = None;
        }
        next
    }
}

impl<P> fmt::Debug for Items<P> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut items = f.debug_struct("Items");
        items.field("ended", &self.frames.is_none());
        items.finish_non_exhaustive()
    }
}
