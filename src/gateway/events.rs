//! Splits a byte stream of server-sent events into complete events and checks their ids.

use bytes::{Buf, Bytes, BytesMut};

use crate::event_boundary::EventScanner;

/// Upper bound of one event; model engines send no longer ones.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// A run of complete, consecutive events.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Events {
    pub bytes: Bytes,
    pub first_id: Option<u64>,
    pub last_id: Option<u64>,
}

impl Events {
    /// Returns these events and those that follow them.
    #[must_use]
    pub fn followed_by(self, next: &Self) -> Self {
        let mut bytes = BytesMut::from(&*self.bytes);
        bytes.extend_from_slice(&next.bytes);
        Self {
            bytes: bytes.freeze(),
            first_id: self.first_id.or(next.first_id),
            last_id: next.last_id.or(self.last_id),
        }
    }
}

/// Why a stream is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StreamError {
    /// An event exceeds the maximum length.
    TooLong,
    /// An id is missing between two events.
    MissingEvent,
}

/// Buffers bytes until complete events can be forwarded.
#[derive(Debug, Default)]
pub(crate) struct Splitter {
    pending: BytesMut,
    scanner: EventScanner,
    last_id: Option<u64>,
}

impl Splitter {
    /// Creates a splitter for a stream that resumes after the event `last_id`.
    #[must_use]
    pub fn after(last_id: Option<u64>) -> Self {
        Self {
            last_id,
            ..Self::default()
        }
    }

    /// Returns the id of the last event that was forwarded.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Returns whether part of an event is buffered.
    pub fn is_within_event(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Appends bytes and returns the events that they complete, if any.
    ///
    /// Events that were forwarded before are left out: an upstream that resumes a stream may begin
    /// earlier than it was asked to.
    ///
    /// # Errors
    ///
    /// If an event is too long or an id is missing between two events.
    pub fn push(&mut self, bytes: &Bytes) -> Result<Option<Events>, StreamError> {
        self.pending.extend_from_slice(bytes);
        let mut complete = BytesMut::new();
        let mut first_id = None;
        while let Some(length) = self.scanner.event_length(&self.pending) {
            let event = &self.pending[..length];
            let id = event_id(event);
            let is_known = matches!((id, self.last_id), (Some(id), Some(last)) if id <= last);
            match (id, self.last_id) {
                (Some(id), Some(last)) if id > last + 1 => return Err(StreamError::MissingEvent),
                (Some(id), _) if !is_known => self.last_id = Some(id),
                _ => {}
            }
            if !is_known {
                first_id = first_id.or(id);
                complete.extend_from_slice(event);
            }
            self.pending.advance(length);
        }
        if self.pending.len() > MAX_EVENT_BYTES {
            return Err(StreamError::TooLong);
        }
        Ok((!complete.is_empty()).then(|| Events {
            bytes: complete.freeze(),
            first_id,
            last_id: self.last_id,
        }))
    }
}

/// Returns the number in an event's `id` field, if it has one.
fn event_id(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|byte| *byte == b'\n');
    let id = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(id).ok()?.trim().parse().ok()
}

#[cfg(test)]
mod tests;
