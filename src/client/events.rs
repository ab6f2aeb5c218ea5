//! Incremental parser of server-sent event streams.

use bytes::{Buf, BytesMut};
use thiserror::Error;

/// Maximum length of an event, which bounds the buffer if a node never ends one.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// An event of an event stream.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Event {
    /// Value of the `event` field, such as `token`.
    pub kind: String,
    /// Values of the `data` fields, joined by newlines.
    pub data: String,
}

/// A stream that is not a valid event stream.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum EventError {
    /// An event exceeds the maximum length.
    #[error("an event is longer than {MAX_EVENT_BYTES} bytes")]
    TooLong,
    /// An event is not UTF-8.
    #[error("an event is not UTF-8")]
    NotUtf8,
}

/// Buffers received bytes until they form complete events.
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
    /// Length of the prefix that was searched for the end of an event.
    scanned_bytes: usize,
}

impl Splitter {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next complete event, or `None` if more bytes are needed; skips comments.
    ///
    /// # Errors
    ///
    /// If an event is too long or not UTF-8; the rest of the stream must not be read then.
    pub fn next_event(&mut self) -> Result<Option<Event>, EventError> {
        while let Some((length, separator)) = self.find_end() {
            let text = std::str::from_utf8(&self.buffer[..length]);
            let event = text.map(parse);
            self.buffer.advance(length + separator);
            self.scanned_bytes = 0;
            match event {
                Ok(None) => {}
                Ok(Some(event)) => return Ok(Some(event)),
                Err(_) => return Err(EventError::NotUtf8),
            }
        }
        self.scanned_bytes = self.buffer.len();
        match self.scanned_bytes {
            ..=MAX_EVENT_BYTES => Ok(None),
            _ => Err(EventError::TooLong),
        }
    }

    /// Length of the first complete event and of the line ends after it.
    fn find_end(&self) -> Option<(usize, usize)> {
        // The empty line may start in bytes that an earlier call has scanned.
        let mut from = self.scanned_bytes.saturating_sub(3);
        while let Some(offset) = self.buffer[from..].iter().position(|byte| *byte == b'\n') {
            let newline = from + offset;
            match &self.buffer[newline + 1..] {
                [b'\n', ..] => return Some((newline, 2)),
                [b'\r', b'\n', ..] => return Some((newline, 3)),
                _ => from = newline + 1,
            }
        }
        None
    }
}

/// Parses the lines of an event; `None` if it has no data, such as a comment.
fn parse(text: &str) -> Option<Event> {
    let mut event = Event::default();
    let mut has_data = false;
    for line in text.lines() {
        match line.split_once(':') {
            Some(("event", value)) => value.trim_start().clone_into(&mut event.kind),
            Some(("data", value)) => {
                if has_data {
                    event.data.push('\n');
                }
                event
                    .data
                    .push_str(value.strip_prefix(' ').unwrap_or(value));
                has_data = true;
            }
            _ => {}
        }
    }
    has_data.then_some(event)
}

#[cfg(test)]
mod tests;
