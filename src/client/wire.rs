//! The JSON that nodes and their clients exchange, as a client reads and writes it.

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Names the request that a call belongs to.
pub const REQUEST_ID: &str = "request-id";
/// Says whether a call may be repeated.
pub const IDEMPOTENT: &str = "idempotent";
/// Carries a caller's own key.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Carries the position of the last token that the caller has.
pub const LAST_EVENT_ID: &str = "last-event-id";
/// Says how a request ended, beside an answer that is not JSON of the node's own.
pub const OUTCOME: &str = "outcome";

/// The answer of `GET /v1/entries`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
pub struct Entries {
    /// Nodes to use, best first.
    pub entries: Vec<EntryAddress>,
    /// How long the list may be kept.
    pub ttl_ms: u64,
    /// Ids for requests to come, as many as were asked for.
    #[serde(default)]
    pub ids: Vec<String>,
}

/// A node to use.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct EntryAddress {
    /// Its IP address and port.
    pub address: String,
}

/// The body of `POST /v1/completions`.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct Completion {
    /// The model's name.
    pub model: String,
    /// The prompt.
    pub prompt: String,
    /// The most tokens.
    pub max_tokens: u32,
    /// Whether tokens come as events.
    pub stream: bool,
    /// The latency class, if not the team's own.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub latency_class: Option<String>,
}

/// The data of a `token` event.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct TokenData {
    /// Its position in the answer.
    pub position: u64,
    /// Its text.
    pub token: String,
}

/// The data of a `done` event.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct DoneData {
    /// Tokens of the answer.
    pub tokens: u64,
    /// Why it ended: `stop` or `length`.
    pub finish: String,
}

/// How a request ended without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalOutcome {
    /// It did not run and never will under this id.
    NotRun,
    /// It may have run; it is never run again.
    Unknown,
    /// It ran and failed.
    Failed,
    /// It was cancelled.
    Cancelled,
}

/// A refusal, as the body of an answer or the data of an `error` event.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct Refusal {
    /// How it ended.
    pub outcome: RefusalOutcome,
    /// Why.
    #[serde(default)]
    pub reason: Option<String>,
    /// Why, in the words of an upstream.
    #[serde(default)]
    pub error: Option<String>,
    /// When to come back.
    #[serde(default)]
    pub retry_after_ms: Option<u64>,
}

impl Refusal {
    /// The reason given, for people.
    #[must_use]
    pub fn shown_reason(&self) -> &str {
        let given = self.reason.as_deref().or(self.error.as_deref());
        given.unwrap_or("no reason given")
    }
}

/// The answer of `GET /v1/configuration`.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct Configuration {
    /// The revision in force; 0 if there is none.
    pub revision: u64,
    /// The document as its operator wrote it.
    pub document: Value,
}

/// The body of `POST /v1/configuration`.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct Change {
    /// The revision that the document changes.
    pub base_revision: u64,
    /// The document.
    pub document: Value,
}

/// The answer to a change that is in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct Accepted {
    /// Its revision.
    pub revision: u64,
}

/// The answer to a change whose base has been replaced.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct Stale {
    /// The revision in force.
    pub in_force: u64,
}

/// The answer to a change with an invalid document.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct Invalid {
    /// What is wrong.
    pub faults: Vec<InvalidFault>,
}

/// One thing that a node finds wrong with a document.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct InvalidFault {
    /// Where.
    pub path: String,
    /// What.
    pub message: String,
}

/// The answer to a change while the log cannot be reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct LogUnavailable {
    /// Whether the change may have been accepted.
    pub outcome: RefusalOutcome,
}
