//! JSON bodies and headers of the client API of nodes, from the client's side.

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Header with the id of the request.
pub const REQUEST_ID: &str = "request-id";
/// Header with whether the request may run more than once.
pub const IDEMPOTENT: &str = "idempotent";
/// Header with the idempotency key chosen by the caller.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Header with the position of the last token that the caller received.
pub const LAST_EVENT_ID: &str = "last-event-id";
/// Header with the outcome of a request whose response body was not written by the node.
pub const OUTCOME: &str = "outcome";

/// Response of `GET /v1/entries`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
pub struct Entries {
    /// Recommended nodes, best first.
    pub entries: Vec<EntryAddress>,
    /// Time for which the list is valid.
    pub ttl_ms: u64,
    /// Ids for future requests, as many as were requested.
    #[serde(default)]
    pub ids: Vec<String>,
}

/// A recommended node.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct EntryAddress {
    /// IP address and port of the node.
    pub address: String,
}

/// Request body of `POST /v1/completions`.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct Completion {
    /// The model's name.
    pub model: String,
    /// The prompt.
    pub prompt: String,
    /// Maximum number of tokens in the response.
    pub max_tokens: u32,
    /// Whether the response is an event stream of tokens.
    pub stream: bool,
    /// The latency class; the team's default if `None`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub latency_class: Option<String>,
}

/// Data of a `token` event.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct TokenData {
    /// Position of the token in the response, from 0.
    pub position: u64,
    /// Text of the token.
    pub token: String,
}

/// Data of a `done` event.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct DoneData {
    /// Number of tokens in the whole response.
    pub tokens: u64,
    /// Why the response ended: `stop` or `length`.
    pub finish: String,
}

/// Outcome of a request that has no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalOutcome {
    /// The request did not run and never will under this id.
    NotRun,
    /// The request may have run; it never runs again under this id.
    Unknown,
    /// The request ran and failed.
    Failed,
    /// The request was cancelled.
    Cancelled,
}

/// A refusal, sent as a response body or as the data of an `error` event.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct Refusal {
    /// Outcome of the request.
    pub outcome: RefusalOutcome,
    /// Reason of the node.
    #[serde(default)]
    pub reason: Option<String>,
    /// Error message of an upstream.
    #[serde(default)]
    pub error: Option<String>,
    /// Delay before a retry, in milliseconds.
    #[serde(default)]
    pub retry_after_ms: Option<u64>,
}

impl Refusal {
    /// The reason, the upstream's error message, or a placeholder, for display.
    #[must_use]
    pub fn shown_reason(&self) -> &str {
        let given = self.reason.as_deref().or(self.error.as_deref());
        given.unwrap_or("no reason given")
    }
}

/// Response of `GET /v1/configuration`.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct Configuration {
    /// The active revision; 0 if there is none.
    pub revision: u64,
    /// The document as the operator submitted it.
    pub document: Value,
}

/// Request body of `POST /v1/configuration`.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct Change {
    /// The revision that the document is based on.
    pub base_revision: u64,
    /// The document.
    pub document: Value,
}

/// Response to an accepted change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct Accepted {
    /// Revision created by the change.
    pub revision: u64,
}

/// Response to a change whose base revision is no longer active.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct Stale {
    /// The active revision.
    pub in_force: u64,
}

/// Response to a change with an invalid document.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct Invalid {
    /// Faults of the document.
    pub faults: Vec<InvalidFault>,
}

/// A fault of a document found by a node.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct InvalidFault {
    /// Path of the faulty field.
    pub path: String,
    /// Description of the fault.
    pub message: String,
}

/// Response to a change during an outage of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct LogUnavailable {
    /// Whether the change may have been accepted.
    pub outcome: RefusalOutcome,
}
