//! What a caller asks, and how it is sent.

use bytes::Bytes;

use super::wire::Completion;

/// One call of a caller.
#[derive(Clone, Debug)]
pub struct Call {
    /// What is asked.
    pub content: CallContent,
    /// Whether it may run more than once; the document decides if none.
    pub idempotent: Option<bool>,
    /// The caller's own key.
    pub idempotency_key: Option<String>,
}

impl Call {
    /// A call about which the document decides whether it may run more than once.
    #[must_use]
    pub fn new(content: CallContent) -> Self {
        Self {
            content,
            idempotent: None,
            idempotency_key: None,
        }
    }

    /// Says whether it may run more than once.
    #[must_use]
    pub fn with_idempotent(mut self, idempotent: bool) -> Self {
        self.idempotent = Some(idempotent);
        self
    }

    /// Gives it a key of the caller's own.
    #[must_use]
    pub fn with_idempotency_key(mut self, key: impl Into<String>) -> Self {
        self.idempotency_key = Some(key.into());
        self
    }
}

/// What is asked.
#[derive(Clone, Debug)]
pub enum CallContent {
    /// Tokens of a model.
    Completion {
        /// The model's name.
        model: String,
        /// The prompt.
        prompt: String,
        /// The most tokens.
        max_tokens: u32,
        /// The latency class, if not the team's own.
        latency_class: Option<String>,
    },
    /// An answer of a plain service.
    Service {
        /// The service's name.
        name: String,
        /// The path under it.
        path: String,
        /// The body.
        body: Bytes,
    },
}

/// A call as it is sent, over and over if need be.
pub(super) struct Sending<'a> {
    /// The path of its URL.
    pub path: String,
    /// Its body.
    pub body: Bytes,
    /// The call.
    pub call: &'a Call,
}

impl<'a> Sending<'a> {
    /// The call as it is sent.
    pub fn new(call: &'a Call) -> Self {
        Self {
            path: path(&call.content),
            body: body(&call.content),
            call,
        }
    }
}

fn path(content: &CallContent) -> String {
    match content {
        CallContent::Completion { .. } => String::from("/v1/completions"),
        CallContent::Service { name, path, .. } => {
            format!("/v1/services/{name}/{}", path.trim_start_matches('/'))
        }
    }
}

fn body(content: &CallContent) -> Bytes {
    match content {
        CallContent::Completion {
            model,
            prompt,
            max_tokens,
            latency_class,
        } => {
            let completion = Completion {
                model: model.clone(),
                prompt: prompt.clone(),
                max_tokens: *max_tokens,
                stream: true,
                latency_class: latency_class.clone(),
            };
            // Texts and numbers always become JSON.
            Bytes::from(serde_json::to_vec(&completion).unwrap_or_default())
        }
        CallContent::Service { body, .. } => body.clone(),
    }
}
