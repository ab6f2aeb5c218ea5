//! The parsed head of a caller's request.

use http::HeaderName;
use thiserror::Error;

/// The routing, team and prompt information in the head of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct RequestHead {
    /// Identifies this attempt of the caller.
    pub id: String,
    /// The host that the caller addresses, in lower case and without a port.
    pub host: String,
    /// Time until the caller's deadline.
    pub time_left_ms: Option<u64>,
    /// The API key of the caller's team.
    pub key: Option<String>,
    /// Set for requests to model engines.
    pub prompt: Option<Prompt>,
    /// Id of the last event that the caller received of a stream to be resumed.
    pub resume_after: Option<u64>,
    /// Id of the request that brought the first event of that stream, if the caller states it.
    pub resumes: Option<String>,
}

/// The token counts of a generation and the parts of its prompt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Prompt {
    pub model: String,
    pub input_tokens: u64,
    pub max_output_tokens: u64,
    /// The caller's estimate.
    pub expected_output_tokens: Option<u64>,
    /// The parts in order; the last one belongs to this request only.
    pub parts: Vec<PromptPart>,
}

/// A part of a prompt; equal ids mean that requests share the part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PromptPart {
    pub id: u64,
    pub tokens: u64,
}

impl Prompt {
    /// Returns the last part that other requests may share, if there is one.
    pub fn shared(&self) -> Option<PromptPart> {
        match self.parts.as_slice() {
            [.., shared, _own] => Some(*shared),
            _ => None,
        }
    }

    /// Returns the parts that other requests may share.
    pub fn shared_parts(&self) -> &[PromptPart] {
        let parts = self.parts.split_last();
        parts.map_or(&[], |(_own, shared)| shared)
    }

    /// Returns the number of tokens in the parts that other requests may share.
    pub fn shared_tokens(&self) -> u64 {
        let shared = self.shared_parts().iter();
        shared.map(|part| part.tokens).sum()
    }

    /// Returns the number of tokens in the part that belongs to this request only.
    pub fn own_tokens(&self) -> u64 {
        self.input_tokens.saturating_sub(self.shared_tokens())
    }
}

/// Why the head of a request is rejected.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub(crate) enum Malformed {
    #[error("the request id header is missing")]
    NoId,
    #[error("the host header is missing")]
    NoHost,
    #[error("expected the token counts as two numbers separated by a comma")]
    Tokens,
    #[error("expected each part of the prompt as a hexadecimal id, a colon and a number of tokens")]
    Parts,
    #[error("the request that a peer forwarded is not valid HTTP")]
    Forwarded,
    #[error("expected a number in the header {0}")]
    Number(HeaderName),
}
