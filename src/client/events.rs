//! Splits the bytes of an event stream into events.

use bytes::{Buf, BytesMut};
use thiserror::Error;

/// The longest event that is taken. A node that never ends one would fill the client's memory.
const MOST_EVENT_BYTES: usize = 1 << 20;

/// An event of a stream.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Event {
    /// What it is.
    pub kind: String,
    /// Its data.
    pub data: String,
}

/// A stream that cannot be split into events.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum EventError {
    /// An event does not end.
    #[error("an event is longer than {MOST_EVENT_BYTES} bytes")]
    TooLong,
    /// An event is not UTF-8.
    #[error("an event is not UTF-8")]
    NotUtf8,
}

/// Bytes that have come and are no whole event yet.
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
    scanned_bytes: usize,
}

impl Splitter {
    /// Takes bytes as they come.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// The next whole event; comments are passed over.
    ///
    /// # Errors
    ///
    /// If the stream is no event stream; nothing more can be read from it then.
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
            ..=MOST_EVENT_BYTES => Ok(None),
            _ => Err(EventError::TooLong),
        }
    }

    /// Length of the first event and of the empty line after it.
    fn find_end(&self) -> Option<(usize, usize)> {
        // The empty line may have begun in bytes that have been scanned before.
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
