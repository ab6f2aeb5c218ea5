//! Bodies that engines take and give, as `docs/design/protocols.md` describes them.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::Delivery;
use crate::time::TimeMs;

/// A stream to start.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct StartStream<'a> {
    /// Names this attempt; unique, of characters that a URI path takes as they are.
    pub attempt: &'a str,
    /// The model.
    pub model: &'a str,
    /// The caller's prompt.
    pub prompt: &'a str,
    /// Text of the tokens that earlier attempts generated.
    pub prefix: &'a str,
    /// How many tokens `prefix` holds; generation goes on from there.
    pub position: u64,
    /// The most tokens to generate, counted from position 0.
    pub max_tokens: u64,
    /// 0 to 9, higher goes first.
    pub priority: u8,
    /// Makes generation repeatable.
    pub seed: u64,
    /// An imported KV cache to go on from.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub import: Option<&'a str>,
    /// Whether starting it twice would do harm.
    #[serde(skip)]
    pub delivery: Delivery,
}

/// What an engine sends on a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EngineEvent {
    /// A token was generated.
    Token {
        /// The attempt that it belongs to.
        attempt: Arc<str>,
        /// Its position, counted from the start of the answer.
        position: u64,
        /// Its text.
        text: String,
    },
    /// The stream is over.
    Done {
        /// The attempt that it belongs to.
        attempt: Arc<str>,
        /// Tokens of the answer, with those of earlier attempts.
        tokens: u64,
        /// Prompt tokens that were found in the prefix cache.
        cached_prompt_tokens: u64,
        /// Prompt tokens that had to be computed.
        computed_prompt_tokens: u64,
        /// Why it is over.
        finish: Finish,
    },
    /// The engine ran the request and failed.
    Error {
        /// The attempt that it belongs to.
        attempt: Arc<str>,
        /// What the engine says.
        message: String,
    },
}

/// Why a stream is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Finish {
    /// The model ended the answer.
    Stop,
    /// The answer reached `max_tokens`.
    Length,
    /// The stream was cancelled.
    Cancelled,
    /// The stream's KV cache was exported.
    Exported,
}

/// An exported KV cache.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Export {
    /// Names it at the engine that exported it.
    pub handle: String,
    /// Its size.
    pub bytes: u64,
    /// Tokens in it.
    pub tokens: u64,
    /// Position of the next token to generate.
    pub position: u64,
}

/// A KV cache to fetch from another engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Import {
    /// Its name at the source.
    pub handle: String,
    /// Address of the engine that exported it.
    pub source: std::net::SocketAddr,
    /// Its size.
    pub bytes: u64,
}

/// An engine's load report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// When the engine measured it.
    pub as_of_ms: TimeMs,
    /// Streams running.
    pub running: u32,
    /// Streams queued.
    pub queued: u32,
    /// Streams that it runs at once.
    pub slots: u32,
    /// Tokens that it generates now.
    pub tokens_per_second: f64,
    /// KV cache in use.
    pub kv_tokens_used: u64,
    /// KV cache in all.
    pub kv_tokens_capacity: u64,
    /// Whether it refuses new streams because it is leaving.
    #[serde(default)]
    pub leaving: bool,
}

/// A page of cache events.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// Where to read on.
    pub next: u64,
    /// The events, oldest first; `sequence` may have gaps.
    pub events: Vec<CacheEvent>,
}

/// A prompt block that an engine began or ceased to cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Its number at this engine.
    pub sequence: u64,
    /// What happened.
    pub kind: CacheEventKind,
    /// The block.
    #[serde(with = "block_hex")]
    pub block: u64,
    /// When it happened.
    pub as_of_ms: TimeMs,
}

/// What happened to a block.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum CacheEventKind {
    /// It is cached now.
    Stored,
    /// It is no longer cached.
    Evicted,
}

/// A level-triggered order: the state wanted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Order {
    /// Have a model loaded.
    LoadModel {
        /// The model.
        model: String,
        /// Its version.
        version: String,
    },
    /// Have a model not loaded.
    UnloadModel {
        /// The model.
        model: String,
        /// Its version.
        version: String,
    },
    /// Have an adapter loaded.
    LoadAdapter {
        /// The model below it.
        model: String,
        /// The adapter.
        adapter: String,
    },
    /// Serve one kind of work first.
    SetRole {
        /// The kind of work.
        role: Role,
    },
}

/// What kind of work an engine serves first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Work that a person waits for.
    #[default]
    Interactive,
    /// Work that may wait.
    Batch,
}

/// What an engine has loaded.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineState {
    /// Models loaded.
    pub models: Vec<Loaded>,
    /// Its role.
    pub role: Role,
    /// The newest fencing number that it has taken; engines that ignore them say 0.
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
    //! Blocks travel as hexadecimal text, because JSON numbers lose bits above 2^53.

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
