//! What a caller asks for, checked.

use bincode::{Decode, Encode};

use crate::time::TimeMs;

/// A checked call, as nodes pass it to each other.
///
/// It holds names rather than keys: two nodes may be one revision of the document apart.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Call {
    /// The team that asks.
    pub team: String,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// The latency class, by name.
    pub latency_class: String,
    /// When the caller no longer waits.
    pub deadline_ms: TimeMs,
    /// What is to be done.
    pub work: Work,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum Work {
    /// Tokens from a model.
    Completion {
        /// The model's name.
        model: String,
        /// The prompt.
        prompt: String,
        /// At most so many tokens.
        max_tokens: u32,
        /// Fixes the sampling, so that a token computed again is the same token.
        seed: u64,
    },
    /// A call to a plain service.
    Service {
        /// The service's name.
        service: String,
        /// The path below it, without the leading slash.
        path: String,
        /// The body as it came.
        body: Vec<u8>,
    },
}

impl Call {
    /// Drops what the call asks for, but for its kind.
    pub fn shed(&mut self) {
        match &mut self.work {
            Work::Completion { prompt, .. } => *prompt = String::new(),
            Work::Service { body, .. } => *body = Vec::new(),
        }
    }

    /// Roughly the size of the call between nodes.
    #[must_use]
    pub fn size_bytes(&self) -> usize {
        match &self.work {
            Work::Completion { prompt, .. } => prompt.len(),
            Work::Service { path, body, .. } => path.len() + body.len(),
        }
    }

    /// A hash of what the call asks for, to tell a resend from another call under the same id.
    ///
    /// The deadline is left out, which a node draws anew for each arrival. Whether the call may run
    /// more than once is part of it: a node that cannot reach the home would otherwise run a call
    /// again on the word of a resend that the first call did not give.
    #[must_use]
    pub fn fingerprint(&self) -> u64 {
        let mut hasher = twox_hash::XxHash3_64::new();
        let mut feed = |part: &[u8]| {
            std::hash::Hasher::write_u64(&mut hasher, part.len() as u64);
            std::hash::Hasher::write(&mut hasher, part);
        };
        feed(self.team.as_bytes());
        feed(&[u8::from(self.idempotent)]);
        match &self.work {
            Work::Completion {
                model,
                prompt,
                max_tokens,
                seed,
            } => {
                feed(b"completion");
                feed(model.as_bytes());
                feed(prompt.as_bytes());
                feed(&max_tokens.to_le_bytes());
                feed(&seed.to_le_bytes());
            }
            Work::Service {
                service,
                path,
                body,
            } => {
                feed(b"service");
                feed(service.as_bytes());
                feed(path.as_bytes());
                feed(body);
            }
        }
        std::hash::Hasher::finish(&hasher)
    }
}
