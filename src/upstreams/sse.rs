//! Decodes an engine's server-sent events from a byte stream.

use std::borrow::Cow;
use std::sync::Arc;

use bytes::{Buf, BytesMut};
use serde::Deserialize;
use thiserror::Error;

use super::wire::{EngineEvent, Finish};
use crate::event_boundary::EventScanner;

/// Largest accepted event.
///
/// Without the limit, an upstream that never terminates an event would exhaust the node's memory.
pub const EVENT_LIMIT_BYTES: usize = 256 * 1024;

/// An event that cannot be decoded.
#[derive(Debug, Error)]
pub enum DecodeError {
    /// The event exceeds [`EVENT_LIMIT_BYTES`].
    #[error("an event exceeds {EVENT_LIMIT_BYTES} bytes")]
    TooLarge,
    /// The data of the event do not match its type.
    #[error("an event does not follow the protocol")]
    Data(#[from] serde_json::Error),
}

/// Incremental decoder for the events of one stream.
#[derive(Debug)]
pub struct Decoder {
    attempt: Arc<str>,
    buffer: BytesMut,
    scanner: EventScanner,
}

#[derive(Deserialize)]
struct TokenData<'a> {
    #[serde(borrow)]
    attempt: Cow<'a, str>,
    position: u64,
    #[serde(borrow)]
    token: Cow<'a, str>,
}

#[derive(Deserialize)]
struct DoneData<'a> {
    #[serde(borrow)]
    attempt: Cow<'a, str>,
    tokens: u64,
    #[serde(default)]
    cached_prompt_tokens: u64,
    #[serde(default)]
    computed_prompt_tokens: u64,
    finish: Finish,
}

#[derive(Deserialize)]
struct ErrorData<'a> {
    #[serde(borrow)]
    attempt: Cow<'a, str>,
    #[serde(borrow)]
    error: Cow<'a, str>,
}

impl Decoder {
    /// Creates a decoder for `attempt`; events of other attempts keep their own attempt id.
    #[must_use]
    pub fn new(attempt: Arc<str>) -> Self {
        Self {
            attempt,
            buffer: BytesMut::new(),
            scanner: EventScanner::default(),
        }
    }

    /// Appends received bytes to the buffer.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next complete event, or `None` if more bytes are needed.
    ///
    /// Comments and events of unknown types are skipped.
    ///
    /// # Errors
    ///
    /// If an event is too large or its data cannot be decoded.
    pub fn next_event(&mut self) -> Result<Option<EngineEvent>, DecodeError> {
        while let Some(length) = self.scanner.event_length(&self.buffer) {
            let decoded = decode(&self.attempt, &self.buffer[..length]);
            self.buffer.advance(length);
            if let Some(event) = decoded? {
                return Ok(Some(event));
            }
        }
        if self.buffer.len() > EVENT_LIMIT_BYTES {
            return Err(DecodeError::TooLarge);
        }
        Ok(None)
    }
}

fn decode(stream_attempt: &Arc<str>, event: &[u8]) -> Result<Option<EngineEvent>, DecodeError> {
    let mut kind: &[u8] = b"message";
    let mut data = Cow::Borrowed(&[][..]);
    for line in event.split(|byte| *byte == b'\n') {
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        if let Some(value) = field(line, b"data:") {
            add_line(&mut data, value);
        } else if let Some(value) = field(line, b"event:") {
            kind = value;
        }
    }
    Ok(match kind {
        b"token" => {
            let raw: TokenData<'_> = serde_json::from_slice(&data)?;
            Some(EngineEvent::Token {
                attempt: attempt_id(stream_attempt, &raw.attempt),
                position: raw.position,
                text: raw.token.into_owned(),
            })
        }
        b"done" => {
            let raw: DoneData<'_> = serde_json::from_slice(&data)?;
            Some(EngineEvent::Done {
                attempt: attempt_id(stream_attempt, &raw.attempt),
                tokens: raw.tokens,
                cached_prompt_tokens: raw.cached_prompt_tokens,
                computed_prompt_tokens: raw.computed_prompt_tokens,
                finish: raw.finish,
            })
        }
        b"error" => {
            let raw: ErrorData<'_> = serde_json::from_slice(&data)?;
            Some(EngineEvent::Error {
                attempt: attempt_id(stream_attempt, &raw.attempt),
                message: raw.error.into_owned(),
            })
        }
        _ => None,
    })
}

/// Returns the value of a line that starts with `name`, without an optional space after the colon.
fn field<'a>(line: &'a [u8], name: &[u8]) -> Option<&'a [u8]> {
    let value = line.strip_prefix(name)?;
    Some(value.strip_prefix(b" ").unwrap_or(value))
}

fn add_line<'a>(data: &mut Cow<'a, [u8]>, line: &'a [u8]) {
    if data.is_empty() {
        *data = Cow::Borrowed(line);
    } else {
        let data = data.to_mut();
        data.push(b'\n');
        data.extend_from_slice(line);
    }
}

/// Returns the event's attempt id, sharing the stream's id to avoid an allocation for each token.
fn attempt_id(stream_attempt: &Arc<str>, received: &str) -> Arc<str> {
    if **stream_attempt == *received {
        Arc::clone(stream_attempt)
    } else {
        Arc::from(received)
    }
}

#[cfg(test)]
mod tests;
