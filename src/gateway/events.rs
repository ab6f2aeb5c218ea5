//! Cuts a stream of bytes into whole events and reads their ids.

use bytes::{Bytes, BytesMut};

/// Most bytes of one event; a longer one is not an event of a model engine.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Whole events that follow each other.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Events {
    pub bytes: Bytes,
    pub first_id: Option<u64>,
    pub last_id: Option<u64>,
}

/// What is wrong with a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Flaw {
    /// An event is too long.
    TooLong,
    /// The ids do not follow each other.
    OutOfOrder,
}

/// Collects bytes until whole events can be passed on.
#[derive(Debug, Default)]
pub(crate) struct Splitter {
    pending: BytesMut,
    last_id: Option<u64>,
}

impl Splitter {
    /// A splitter for a stream that goes on behind an event.
    #[must_use]
    pub fn after(last_id: Option<u64>) -> Self {
        Self {
            pending: BytesMut::new(),
            last_id,
        }
    }

    /// The last event that has been passed on.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Whether part of an event is left over.
    pub fn is_within_event(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Takes in bytes; gives the events that are whole now.
    ///
    /// Events that have been passed on before are left out: an upstream that goes on with a
    /// stream may begin earlier than it was asked to.
    ///
    /// # Errors
    ///
    /// If an event is too long, or one is missing between two ids.
    pub fn push(&mut self, bytes: &Bytes) -> Result<Option<Events>, Flaw> {
        self.pending.extend_from_slice(bytes);
        let mut passed = BytesMut::new();
        let mut first_id = None;
        while let Some(length) = event_length(&self.pending) {
            let event = self.pending.split_to(length);
            let id = event_id(&event);
            match (id, self.last_id) {
                (Some(id), Some(last)) if id <= last => continue,
                (Some(id), Some(last)) if id > last + 1 => return Err(Flaw::OutOfOrder),
                (Some(id), _) => self.last_id = Some(id),
                (None, _) => {}
            }
            first_id = first_id.or(id);
            passed.extend_from_slice(&event);
        }
        if self.pending.len() > MAX_EVENT_BYTES {
            return Err(Flaw::TooLong);
        }
        Ok((!passed.is_empty()).then(|| Events {
            bytes: passed.freeze(),
            first_id,
            last_id: self.last_id,
        }))
    }
}

/// Length of the first whole event with its empty line, if there is one.
fn event_length(bytes: &[u8]) -> Option<usize> {
    let mut line_start = 0;
    for (place, byte) in bytes.iter().enumerate() {
        if *byte != b'\n' {
            continue;
        }
        let line = &bytes[line_start..place];
        if (line.is_empty() || line == b"\r") && place > 0 {
            return Some(place + 1);
        }
        line_start = place + 1;
    }
    None
}

/// The number in an event's `id` field.
fn event_id(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|byte| *byte == b'\n');
    let id = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(id).ok()?.trim().parse().ok()
}

#[cfg(test)]
mod tests;
