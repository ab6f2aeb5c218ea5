//! What a plan is made from.

use crate::keys::{DomainKey, HostKey, Incarnation, ModelKey};
use crate::time::TimeMs;

/// A stream of this node, by its position in the caller's table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StreamKey(pub u32);

/// A host that the platform takes away.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Notice {
    /// The host.
    pub host: HostKey,
    /// Its failure domain.
    pub domain: DomainKey,
    /// When this node first heard of it; nodes hear of it at about the same time.
    pub noted_at_ms: TimeMs,
    /// When it is gone.
    pub leave_at_ms: TimeMs,
    /// Link over which KV caches leave it, shared by the streams of all nodes.
    pub kv_bytes_per_second: f64,
    /// Streams of all nodes on it, by its newest load report.
    pub streams_in_all: u32,
    /// Streams waiting on it, by the same report.
    pub queued: u32,
}

/// A host that holds part of a stream's tokens in its prefix cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CachedOn {
    /// The host.
    pub host: HostKey,
    /// Tokens of the prompt that it need not compute again.
    pub tokens: u32,
}

/// How far an earlier plan for the stream has been carried out.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Progress {
    /// Nothing was started; the stream runs on its host.
    #[default]
    Running,
    /// Its KV cache is on the way.
    Exporting {
        /// Where it goes.
        target: HostKey,
        /// When the export was asked for.
        started_at_ms: TimeMs,
    },
    /// Its KV cache was exported, but no target has taken it in.
    Exported,
    /// Its KV cache was exported and is on its way in; meanwhile it goes on at its host.
    Carrying {
        /// Where it goes.
        target: HostKey,
        /// When the target was asked to take it in.
        started_at_ms: TimeMs,
    },
    /// The export failed; the stream may stand still.
    ExportFailed,
    /// A target has begun to compute its tokens into the prefix cache.
    Warmed {
        /// Where the stream will go on.
        target: HostKey,
    },
}

/// A stream of this node on a host under notice.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StreamOnHost {
    /// The stream.
    pub stream: StreamKey,
    /// The host that runs it.
    pub host: HostKey,
    /// The model that it asks for.
    pub model: ModelKey,
    /// Length of its prompt.
    pub prompt_tokens: u32,
    /// Tokens generated so far.
    pub generated_tokens: u32,
    /// Tokens that it may still generate.
    pub remaining_tokens_max: u32,
    /// Estimate of the tokens that it generates a second.
    pub tokens_per_second: f64,
    /// 0 to 9, higher goes first.
    pub priority: u8,
    /// Whether it may be run a second time.
    pub idempotent: bool,
    /// Size of its KV cache.
    pub kv_bytes: u64,
    /// The host, other than its own, that has most of its prompt cached.
    pub cached_on: Option<CachedOn>,
    /// How far an earlier plan has been carried out.
    pub progress: Progress,
}

impl StreamOnHost {
    /// Tokens that its KV cache holds.
    #[must_use]
    pub fn context_tokens(&self) -> u32 {
        self.prompt_tokens.saturating_add(self.generated_tokens)
    }

    /// Tokens that `host` would have to compute to go on from the present position.
    #[must_use]
    pub fn tokens_to_compute_on(&self, host: HostKey) -> u32 {
        let cached = self.cached_on.filter(|cached| cached.host == host);
        self.context_tokens()
            .saturating_sub(cached.map_or(0, |cached| cached.tokens))
    }
}

/// A host that may take streams over.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// The host.
    pub host: HostKey,
    /// Its failure domain.
    pub domain: DomainKey,
    /// Models loaded on it, in key order.
    pub models: Vec<ModelKey>,
    /// Streams that it could start at once.
    pub free_slots: u32,
    /// Streams waiting on it.
    pub queued: u32,
    /// KV cache not in use.
    pub kv_tokens_free: u64,
    /// Link over which KV caches reach it.
    pub kv_bytes_per_second: f64,
    /// Prompt tokens that it computes a second when nothing is cached.
    pub prefill_tokens_per_second: f64,
}

/// What a deployment may tune.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Streams of this priority and above are interactive, those below are batch.
    pub interactive_priority_min: u8,
    /// How long before `leave_at_ms` a host is taken to be gone.
    pub leave_margin_ms: u64,
    /// What one export and import takes besides the bytes.
    pub export_overhead_ms: u64,
    /// How long an interactive stream may stand still for an export.
    pub silence_max_ms: u64,
    /// How long before the end a warmed stream goes on elsewhere, for its first token to be in time.
    pub switch_lead_ms: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            interactive_priority_min: 5,
            leave_margin_ms: 200,
            export_overhead_ms: 20,
            silence_max_ms: 900,
            switch_lead_ms: 150,
        }
    }
}

/// What a plan is made from.
#[derive(Clone, Copy, Debug)]
pub struct ReclaimView<'a> {
    /// This node; it makes its draws differ from those of other nodes.
    pub node: Incarnation,
    /// This node's place among the live nodes in the order of incarnations, from 0; it decides
    /// which part of scarce room is this node's, and when its turn is on a link. Nodes that count
    /// differently only share worse.
    pub node_rank: u32,
    /// The live nodes, this one included.
    pub nodes: u32,
    /// Hosts under notice, sorted by host; kept until none of this node's streams is left on them.
    pub notices: &'a [Notice],
    /// Streams of this node; those on hosts without notice are passed over.
    pub streams: &'a [StreamOnHost],
    /// Hosts that may take streams over, sorted by host; those under notice are passed over.
    pub targets: &'a [Target],
    /// What the deployment has tuned.
    pub settings: Settings,
}

impl ReclaimView<'_> {
    /// The notice of a host, if it has one.
    #[must_use]
    pub fn notice(&self, host: HostKey) -> Option<&Notice> {
        let found = self
            .notices
            .binary_search_by_key(&host, |notice| notice.host);
        found.ok().map(|index| &self.notices[index])
    }
}
