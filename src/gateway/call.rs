//! A caller's request: what it says of itself.

use http::HeaderName;
use thiserror::Error;

/// What a request says of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct CallHead {
    /// Names this attempt of the caller.
    pub id: String,
    /// In lower case, without a port.
    pub host: String,
    /// How long the caller goes on waiting.
    pub time_left_ms: Option<u64>,
    /// What it proves its team with.
    pub key: Option<String>,
    /// Set for requests to model engines.
    pub prompt: Option<Prompt>,
    /// The last event of a broken stream that the caller has.
    pub resume_after: Option<u64>,
}

/// The size of a generation and the parts of its prompt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Prompt {
    pub model: String,
    pub input_tokens: u64,
    pub max_output_tokens: u64,
    /// The caller's guess.
    pub expected_output_tokens: Option<u64>,
    /// In order; the last is the request's own.
    pub parts: Vec<Part>,
}

/// A part of a prompt, which requests may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Part {
    pub id: u64,
    pub tokens: u64,
}

impl Prompt {
    /// The last part that other requests may share.
    pub fn shared(&self) -> Option<Part> {
        match self.parts.as_slice() {
            [.., shared, _own] => Some(*shared),
            _ => None,
        }
    }

    /// Tokens of the parts that other requests may share.
    pub fn shared_tokens(&self) -> u64 {
        let shared = self
            .parts
            .split_last()
            .map_or(&[][..], |(_own, shared)| shared);
        shared.iter().map(|part| part.tokens).sum()
    }

    /// Tokens of the request's own part.
    pub fn own_tokens(&self) -> u64 {
        self.input_tokens.saturating_sub(self.shared_tokens())
    }
}

/// What is wrong with a request's head.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub(crate) enum Malformed {
    #[error("the request has no id")]
    NoId,
    #[error("the request has no host")]
    NoHost,
    #[error("the token counts are not two whole numbers")]
    Tokens,
    #[error("the prompt's parts are not pairs of a hexadecimal id and a number of tokens")]
    Parts,
    #[error("the header {0} is not a whole number")]
    Number(HeaderName),
}
