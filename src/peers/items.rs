//! Messages out of a response's body, one after another.

use std::fmt;
use std::marker::PhantomData;
use std::sync::Arc;

use bincode::Decode;
use bytes::{Bytes, BytesMut};
use h2::RecvStream;

use super::Protocol;
use super::codec;
use super::error::PeerError;
use super::link::{Life, Use};
use super::traffic::KindTraffic;

/// What keeps a stream counted among those open to its peer.
#[derive(Debug)]
pub(super) struct Held {
    pub life: Arc<Life>,
    pub traffic: Arc<KindTraffic>,
    pub _use: Use,
    pub _permit: tokio::sync::OwnedSemaphorePermit,
}

impl Held {
    /// Tells a peer that went silent from a stream that broke for another reason.
    pub(super) fn error(&self, error: h2::Error) -> PeerError {
        if self.life.is_silent() {
            PeerError::Silent
        } else {
            PeerError::from(error)
        }
    }
}

/// Frames of a response's body.
#[derive(Debug)]
pub(super) struct Frames {
    body: RecvStream,
    unread: BytesMut,
    held: Held,
}

impl Frames {
    pub(super) fn new(body: RecvStream, held: Held) -> Self {
        Self {
            body,
            unread: BytesMut::new(),
            held,
        }
    }

    /// The next message; none at the proper end of the stream.
    pub(super) async fn next<T: Decode<()>>(&mut self) -> Option<Result<T, PeerError>> {
        loop {
            match codec::decode_frame(&mut self.unread) {
                Ok(Some(message)) => {
                    self.held.traffic.received(1, 0);
                    return Some(Ok(message));
                }
                Ok(None) => {}
                Err(error) => return Some(Err(PeerError::Malformed(error))),
            }
            match self.body.data().await {
                Some(Ok(chunk)) => self.take(&chunk),
                Some(Err(error)) => return Some(Err(self.held.error(error))),
                None if self.unread.is_empty() => return None,
                None => return Some(Err(PeerError::EndedEarly)),
            }
        }
    }

    fn take(&mut self, chunk: &Bytes) {
        self.held.traffic.received(0, chunk.len());
        self.unread.extend_from_slice(chunk);
        // This fails only for a stream that has ended, where no window is needed any more.
        let _ = self.body.flow_control().release_capacity(chunk.len());
    }
}

/// What a peer sends after its reply.
///
/// Dropping it cancels the stream, and the peer's handler with it.
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

    /// The next item; none after the last one or after an error.
    ///
    /// No item is lost when the returned future is dropped before it is ready.
    ///
    /// # Errors
    ///
    /// If the stream breaks, the peer goes silent or sends something unreadable.
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
