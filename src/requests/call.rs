//! A caller's validated call.

use bincode::{Decode, Encode};

use crate::time::TimeMs;

/// A validated call, as nodes exchange it.
///
/// It holds names rather than keys, because two nodes may have configurations one revision apart.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Call {
    /// Name of the calling team.
    pub team: String,
    /// Whether the call may run more than once.
    pub idempotent: bool,
    /// Name of the latency class.
    pub latency_class: String,
    /// Time at which the caller stops waiting.
    pub deadline_ms: TimeMs,
    /// The work to do.
    pub work: Work,
}

/// The work of a call.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum Work {
    /// A completion by a model.
    Completion {
        /// Name of the model.
        model: String,
        /// The prompt.
        prompt: String,
        /// Maximum number of generated tokens.
        max_tokens: u32,
        /// Sampling seed, with which recomputed tokens are identical.
        seed: u64,
    },
    /// A call to a plain service.
    Service {
        /// Name of the service.
        service: String,
        /// Path below the service, without the leading slash.
        path: String,
        /// The body as received.
        body: Vec<u8>,
    },
}

impl Call {
    /// Drops the prompt or the body.
    pub fn drop_content(&mut self) {
        match &mut self.work {
            Work::Completion { prompt, .. } => *prompt = String::new(),
            Work::Service { body, .. } => *body = Vec::new(),
        }
    }

    /// Returns the approximate size of the call in messages between nodes.
    #[must_use]
    pub fn size_bytes(&self) -> usize {
        match &self.work {
            Work::Completion { prompt, .. } => prompt.len(),
            Work::Service { path, body, .. } => path.len() + body.len(),
        }
    }

    /// Returns a hash of the call that distinguishes a resend from another call under the same id.
    ///
    /// The deadline is excluded, because a node computes it anew for each arrival. Idempotence is
    /// included: otherwise a node that cannot reach the home would run a call again because a
    /// resend is marked as idempotent although the first call was not.
    #[must_use]
    pub fn fingerprint(&self) -> u64 {
        let mut hasher = twox_hash::XxHash3_64::new();
        let mut hash_part = |part: &[u8]| {
            std::hash::Hasher::write_u64(&mut hasher, part.len() as u64);
            std::hash::Hasher::write(&mut hasher, part);
        };
        hash_part(self.team.as_bytes());
        hash_part(&[u8::from(self.idempotent)]);
        match &self.work {
            Work::Completion {
                model,
                prompt,
                max_tokens,
                seed,
            } => {
                hash_part(b"completion");
                hash_part(model.as_bytes());
                hash_part(prompt.as_bytes());
                hash_part(&max_tokens.to_le_bytes());
                hash_part(&seed.to_le_bytes());
            }
            Work::Service {
                service,
                path,
                body,
            } => {
                hash_part(b"service");
                hash_part(service.as_bytes());
                hash_part(path.as_bytes());
                hash_part(body);
            }
        }
        std::hash::Hasher::finish(&hasher)
    }
}
