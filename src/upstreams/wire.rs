//! Request and response bodies of the engine protocol, specified in `docs/design/protocols.md`.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::Delivery;
use crate::time::TimeMs;

/// Request to start a stream.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct StartStream<'a> {
    /// Unique id of this attempt, in characters that a URI path allows without escaping.
    pub attempt: &'a str,
    /// Name of the model.
    pub model: &'a str,
    /// The caller's prompt.
    pub prompt: &'a str,
    /// Text of the tokens that earlier attempts generated.
    pub prefix: &'a str,
    /// Number of tokens in `prefix`; generation continues from this position.
    pub position: u64,
    /// Maximum number of tokens to generate, counted from position 0.
    pub max_tokens: u64,
    /// Priority from 0 to 9; higher values are served first.
    pub priority: u8,
    /// Random seed, which makes the generation reproducible.
    pub seed: u64,
    /// Handle of an imported KV cache from which generation continues.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub import: Option<&'a str>,
    /// Whether the stream may be started more than once.
    #[serde(skip)]
    pub delivery: Delivery,
}

/// Event that an engine sends on a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EngineEvent {
    /// A token was generated.
    Token {
        /// The attempt that it belongs to.
        attempt: Arc<str>,
        /// Position of the token, counted from the start of the response.
        position: u64,
        /// Text of the token.
        text: String,
    },
    /// The stream has ended.
    Done {
        /// The attempt that it belongs to.
        attempt: Arc<str>,
        /// Number of tokens of the response, including those of earlier attempts.
        tokens: u64,
        /// Number of prompt tokens found in the prefix cache.
        cached_prompt_tokens: u64,
        /// Number of prompt tokens that the engine computed.
        computed_prompt_tokens: u64,
        /// Reason for the end of the stream.
        finish: Finish,
    },
    /// The engine ran the request and failed.
    Error {
        /// The attempt that it belongs to.
        attempt: Arc<str>,
        /// Error message of the engine.
        message: String,
    },
}

/// Reason for the end of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Finish {
    /// The model completed the response.
    Stop,
    /// The response reached `max_tokens`.
    Length,
    /// The stream was cancelled.
    Cancelled,
    /// The stream's KV cache was exported.
    Exported,
}

/// An exported KV cache.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Export {
    /// Handle of the cache at the engine that exported it.
    pub handle: String,
    /// Size of the cache.
    pub bytes: u64,
    /// Number of tokens in the cache.
    pub tokens: u64,
    /// Position of the next token to generate.
    pub position: u64,
}

/// Request to import a KV cache from another engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Import {
    /// Handle of the cache at the source engine.
    pub handle: String,
    /// Address of the engine that exported it.
    pub source: std::net::SocketAddr,
    /// Size of the cache.
    pub bytes: u64,
}

/// An engine's load report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// Time at which the engine measured the load.
    pub as_of_ms: TimeMs,
    /// Number of running streams.
    pub running: u32,
    /// Number of queued streams.
    pub queued: u32,
    /// Maximum number of concurrent streams.
    pub slots: u32,
    /// Current generation rate.
    pub tokens_per_second: f64,
    /// Tokens held in the KV cache.
    pub kv_tokens_used: u64,
    /// Capacity of the KV cache in tokens.
    pub kv_tokens_capacity: u64,
    /// Whether the engine rejects new streams because it is draining.
    #[serde(default)]
    pub leaving: bool,
}

/// A page of cache events.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// Sequence number from which to read the next page.
    pub next: u64,
    /// Events, oldest first; the `sequence` numbers may have gaps.
    pub events: Vec<CacheEvent>,
}

/// Addition or eviction of a prompt block in an engine's prefix cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Sequence number of the event at this engine.
    pub sequence: u64,
    /// Whether the block was stored or evicted.
    pub kind: CacheEventKind,
    /// Identifier of the prompt block.
    #[serde(with = "block_hex")]
    pub block: u64,
    /// Time of the event.
    pub as_of_ms: TimeMs,
}

/// Type of a cache event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum CacheEventKind {
    /// The block was added to the cache.
    Stored,
    /// The block was removed from the cache.
    Evicted,
}

/// A level-triggered order that states the desired state of an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum EngineOrder {
    /// Load a model, unless it is loaded already.
    LoadModel {
        /// The model.
        model: String,
        /// Its version.
        version: String,
    },
    /// Unload a model, unless it is absent already.
    UnloadModel {
        /// The model.
        model: String,
        /// Its version.
        version: String,
    },
    /// Load an adapter, unless it is loaded already.
    LoadAdapter {
        /// Base model of the adapter.
        model: String,
        /// The adapter.
        adapter: String,
    },
    /// Prioritize one kind of work.
    SetRole {
        /// The kind of work.
        role: Role,
    },
}

/// Kind of work that an engine prioritizes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Interactive work, for which a user waits.
    #[default]
    Interactive,
    /// Batch work without a waiting user.
    Batch,
}

/// Models and role of an engine.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineState {
    /// Models loaded.
    pub models: Vec<Loaded>,
    /// Role of the engine.
    pub role: Role,
    /// Highest accepted fencing token; 0 from engines that ignore fencing tokens.
    #[serde(default)]
    pub newest_fencing: u64,
    /// Models being loaded.
    #[serde(default)]
    pub loading: Vec<Loaded>,
}

/// A model at a version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Loaded {
    /// The model.
    pub model: String,
    /// Its version.
    pub version: String,
}

mod block_hex {
    //! Encodes blocks as hexadecimal text, because JSON numbers lose precision above 2^53.

    use std::borrow::Cow;

    use serde::de::Error;
    use serde::{Deserialize, Deserializer, Serializer};

    #[expect(
        clippy::trivially_copy_pass_by_ref,
        reason = "serde's `with` hands over a reference"
    )]
    pub(super) fn serialize<S: Serializer>(block: &u64, to: S) -> Result<S::Ok, S::Error> {
        to.collect_str(&format_args!("{block:016x}"))
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<u64, D::Error> {
        let text = Cow::<'de, str>::deserialize(from)?;
        u64::from_str_radix(&text, 16).map_err(D::Error::custom)
    }
}
