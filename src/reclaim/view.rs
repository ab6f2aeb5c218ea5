//! The input of planning: notices, streams, targets and settings.

use crate::keys::{DomainKey, HostKey, Incarnation, ModelKey};
use crate::time::TimeMs;

/// Identifies a stream of this node by its position in the caller's table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StreamKey(pub u32);

/// A reclaim notice for a host.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Notice {
    /// The host.
    pub host: HostKey,
    /// Its failure domain.
    pub domain: DomainKey,
    /// When this node first received the notice; all nodes receive it at about the same time.
    pub received_at_ms: TimeMs,
    /// When the host is reclaimed.
    pub leave_at_ms: TimeMs,
    /// Bandwidth of the link for KV cache exports, shared by the streams of all nodes.
    pub kv_bytes_per_second: f64,
    /// Streams of all nodes on the host, from its latest load report.
    pub total_streams: u32,
    /// Streams queued on the host, from the same report.
    pub queued: u32,
}

/// A host with part of a stream's prompt in its prefix cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CachedOn {
    /// The host.
    pub host: HostKey,
    /// Prompt tokens in the cache, which the host does not need to compute again.
    pub tokens: u32,
}

/// How far an earlier plan for a stream has been executed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Progress {
    /// No move has started; the stream runs on its host.
    #[default]
    Running,
    /// The KV cache is being exported.
    Exporting {
        /// The host that will import the cache.
        target: HostKey,
        /// When the export was requested.
        started_at_ms: TimeMs,
    },
    /// The KV cache has been exported, but no target has imported it.
    Exported,
    /// The target is importing the exported KV cache while the stream continues on its host.
    Importing {
        /// The host that imports the cache.
        target: HostKey,
        /// When the import was requested.
        started_at_ms: TimeMs,
    },
    /// The export failed; the stream may be stalled.
    ExportFailed,
    /// A target has started to compute the stream's tokens into its prefix cache.
    Warmed {
        /// The host that will continue the stream.
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
    /// The requested model.
    pub model: ModelKey,
    /// Length of the prompt.
    pub prompt_tokens: u32,
    /// Tokens generated so far.
    pub generated_tokens: u32,
    /// Upper bound on the tokens still to be generated.
    pub remaining_tokens_max: u32,
    /// Estimated generation rate.
    pub tokens_per_second: f64,
    /// Priority from 0 to 9; streams of higher priority are placed first.
    pub priority: u8,
    /// Whether the request may be executed more than once.
    pub idempotent: bool,
    /// Size of the KV cache.
    pub kv_bytes: u64,
    /// The other host that has most of the prompt in its prefix cache.
    pub cached_on: Option<CachedOn>,
    /// How far an earlier plan has been executed.
    pub progress: Progress,
}

impl StreamOnHost {
    /// Returns the number of tokens in the KV cache.
    #[must_use]
    pub fn context_tokens(&self) -> u32 {
        self.prompt_tokens.saturating_add(self.generated_tokens)
    }

    /// Returns how many tokens `host` has to compute to continue from the current position.
    #[must_use]
    pub fn tokens_to_compute_on(&self, host: HostKey) -> u32 {
        let cached = self.cached_on.filter(|cached| cached.host == host);
        self.context_tokens()
            .saturating_sub(cached.map_or(0, |cached| cached.tokens))
    }
}

/// A host that may take over streams.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// The host.
    pub host: HostKey,
    /// Its failure domain.
    pub domain: DomainKey,
    /// Models loaded on it, in key order.
    pub models: Vec<ModelKey>,
    /// Streams that the host can start immediately.
    pub free_slots: u32,
    /// Streams queued on the host.
    pub queued: u32,
    /// Free KV cache capacity.
    pub kv_tokens_free: u64,
    /// Bandwidth of the link for KV cache imports.
    pub kv_bytes_per_second: f64,
    /// Prefill rate for prompt tokens that are not cached.
    pub prefill_tokens_per_second: f64,
}

/// Planner parameters of a deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// The lowest interactive priority; streams of lower priority are batch work.
    pub interactive_priority_min: u8,
    /// How long before `leave_at_ms` the planner treats a host as gone.
    pub leave_margin_ms: u64,
    /// Fixed cost of one export and import, in addition to the transfer of the bytes.
    pub export_overhead_ms: u64,
    /// The longest stall that an export may cause to an interactive stream.
    pub stall_max_ms: u64,
    /// How long before the end of the source a warmed stream starts on its target, so that the
    /// first token arrives in time.
    pub switch_lead_ms: u64,
    /// How long each step of a stop waits on this node at present, because the node is busy.
    pub step_delay_ms: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            interactive_priority_min: 5,
            leave_margin_ms: 200,
            export_overhead_ms: 20,
            stall_max_ms: 900,
            switch_lead_ms: 150,
            step_delay_ms: 0,
        }
    }
}

/// A snapshot of the state that a plan is computed from.
#[derive(Clone, Copy, Debug)]
pub struct ReclaimView<'a> {
    /// This node; seeds the draws of targets, so that nodes draw different ones.
    pub node: Incarnation,
    /// This node's rank among the live nodes, ordered by incarnation, from 0.
    ///
    /// It determines this node's share of scarce capacity and its start time on each link. Nodes
    /// with different membership views divide capacity less evenly; their plans remain valid.
    pub node_rank: u32,
    /// Number of live nodes, including this one.
    pub nodes: u32,
    /// Notices sorted by host; each is kept until this node has no stream left on the host.
    pub notices: &'a [Notice],
    /// Streams of this node; streams on hosts without notice are ignored.
    pub streams: &'a [StreamOnHost],
    /// Hosts that may take over streams, sorted by host; hosts under notice are ignored.
    pub targets: &'a [Target],
    /// Planner parameters.
    pub settings: Settings,
}

impl ReclaimView<'_> {
    /// Returns the notice of a host, if there is one.
    #[must_use]
    pub fn notice(&self, host: HostKey) -> Option<&Notice> {
        let found = self
            .notices
            .binary_search_by_key(&host, |notice| notice.host);
        found.ok().map(|index| &self.notices[index])
    }
}
