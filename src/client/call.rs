//! A caller's request and its encoding for HTTP.

use bytes::Bytes;

use super::wire::Completion;

/// A request of a caller.
#[derive(Clone, Debug)]
pub struct Call {
    /// Content of the request.
    pub content: CallContent,
    /// Whether the call may run more than once; the document decides if `None`.
    pub idempotent: Option<bool>,
    /// Idempotency key chosen by the caller.
    pub idempotency_key: Option<String>,
}

impl Call {
    /// A call without idempotency key; the document decides whether it may run more than once.
    #[must_use]
    pub fn new(content: CallContent) -> Self {
        Self {
            content,
            idempotent: None,
            idempotency_key: None,
        }
    }

    /// Sets whether the call may run more than once.
    #[must_use]
    pub fn with_idempotent(mut self, idempotent: bool) -> Self {
        self.idempotent = Some(idempotent);
        self
    }

    /// Sets the idempotency key.
    #[must_use]
    pub fn with_idempotency_key(mut self, key: impl Into<String>) -> Self {
        self.idempotency_key = Some(key.into());
        self
    }
}

/// Content of a call.
#[derive(Clone, Debug)]
pub enum CallContent {
    /// A completion by a model.
    Completion {
        /// The model's name.
        model: String,
        /// The prompt.
        prompt: String,
        /// Maximum number of tokens in the response.
        max_tokens: u32,
        /// The latency class; the team's default if `None`.
        latency_class: Option<String>,
    },
    /// A call to a plain service.
    Service {
        /// The service's name.
        name: String,
        /// Path relative to the service.
        path: String,
        /// Request body.
        body: Bytes,
    },
}

/// A call encoded for HTTP, so that retries reuse the path and body.
pub(super) struct EncodedCall<'a> {
    /// Path of the URL.
    pub path: String,
    /// Encoded request body.
    pub body: Bytes,
    /// The call that was encoded.
    pub call: &'a Call,
}

impl<'a> EncodedCall<'a> {
    /// Encodes the path and body of a call.
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
            // Serializing strings and numbers to JSON cannot fail.
            Bytes::from(serde_json::to_vec(&completion).unwrap_or_default())
        }
        CallContent::Service { body, .. } => body.clone(),
    }
}
