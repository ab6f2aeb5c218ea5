//! Splits bytes into server-sent events and decodes those of an engine.

use std::borrow::Cow;
use std::sync::Arc;

use bytes::{Buf, BytesMut};
use serde::Deserialize;
use thiserror::Error;

use super::wire::{EngineEvent, Finish};

/// Largest event taken.
///
/// An upstream that never ends an event would otherwise fill the node's memory.
pub const EVENT_LIMIT_BYTES: usize = 256 * 1024;

/// An event that cannot be decoded.
#[derive(Debug, Error)]
pub enum DecodeError {
    /// The event does not end within the limit.
    #[error("an event exceeds {EVENT_LIMIT_BYTES} bytes")]
    TooLarge,
    /// The event's data are not what its kind promises.
    #[error("an event does not follow the protocol")]
    Data(#[from] serde_json::Error),
}

/// Decodes the events of one stream from the bytes as they come.
#[derive(Debug)]
pub struct Decoder {
    attempt: Arc<str>,
    buffer: BytesMut,
    // Bytes at the front of `buffer` that hold no end of an event.
    scanned: usize,
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
    /// Decodes events of `attempt`; those of other attempts pass with the name that they carry.
    #[must_use]
    pub fn new(attempt: Arc<str>) -> Self {
        Self {
            attempt,
            buffer: BytesMut::new(),
            scanned: 0,
        }
    }

    /// Takes in bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// The next whole event; `None` if more bytes are needed.
    ///
    /// Events of a kind that the protocol does not name, and comments, are skipped.
    ///
    /// # Errors
    ///
    /// If an event is too large or its data cannot be decoded.
    pub fn next_event(&mut self) -> Result<Option<EngineEvent>, DecodeError> {
        while let Some((length, separator)) = find_end(&self.buffer, self.scanned) {
            let decoded = decode(&self.attempt, &self.buffer[..length]);
            self.buffer.advance(length + separator);
            self.scanned = 0;
            if let Some(event) = decoded? {
                return Ok(Some(event));
            }
        }
        self.scanned = self.buffer.len();
        if self.scanned > EVENT_LIMIT_BYTES {
            return Err(DecodeError::TooLarge);
        }
        Ok(None)
    }
}

/// Where the first event ends and how long its separator is.
fn find_end(buffer: &[u8], scanned: usize) -> Option<(usize, usize)> {
    // The separator may have begun in the bytes scanned before.
    let mut from = scanned.saturating_sub(3);
    while let Some(offset) = buffer[from..].iter().position(|byte| *byte == b'\n') {
        let newline = from + offset;
        match &buffer[newline + 1..] {
            [b'\n', ..] => return Some((newline, 2)),
            [b'\r', b'\n', ..] => return Some((newline, 3)),
            _ => from = newline + 1,
        }
    }
    None
}

fn decode(own: &Arc<str>, event: &[u8]) -> Result<Option<EngineEvent>, DecodeError> {
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
                attempt: name(own, &raw.attempt),
                position: raw.position,
                text: raw.token.into_owned(),
            })
        }
        b"done" => {
            let raw: DoneData<'_> = serde_json::from_slice(&data)?;
            Some(EngineEvent::Done {
                attempt: name(own, &raw.attempt),
                tokens: raw.tokens,
                cached_prompt_tokens: raw.cached_prompt_tokens,
                computed_prompt_tokens: raw.computed_prompt_tokens,
                finish: raw.finish,
            })
        }
        b"error" => {
            let raw: ErrorData<'_> = serde_json::from_slice(&data)?;
            Some(EngineEvent::Error {
                attempt: name(own, &raw.attempt),
                message: raw.error.into_owned(),
            })
        }
        _ => None,
    })
}

/// The value of a line that starts with `name`, without the one space that may follow the colon.
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

/// Shares the stream's own name rather than allocating it again for each token.
fn name(own: &Arc<str>, carried: &str) -> Arc<str> {
    if **own == *carried {
        Arc::clone(own)
    } else {
        Arc::from(carried)
    }
}

#[cfg(test)]
mod tests;
