//! The result of planning: one move per stream.

use super::view::StreamKey;
use crate::keys::HostKey;
use crate::time::TimeMs;

/// The planned action for one stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Move {
    /// Leave the stream on its host, where it finishes before the host leaves.
    Finish,
    /// Export the KV cache, import it on the target and continue the stream there.
    Export {
        /// The host that continues the stream.
        target: HostKey,
        /// When to request the export; immediately if the cache has already been exported.
        start_at_ms: TimeMs,
        /// When to cancel the export and plan again.
        give_up_at_ms: TimeMs,
        /// Whether the source keeps generating from the exported cache during the import.
        ///
        /// The stream then stalls for the export only, and the target recomputes the few tokens
        /// generated during the import.
        is_live: bool,
    },
    /// Recompute the prompt and the generated tokens on the target and continue there.
    ///
    /// The source keeps streaming in the meantime; the caller drops duplicate tokens by position.
    Recompute {
        /// The host that continues the stream.
        target: HostKey,
        /// When to warm the target's prefix cache with a one-token stream whose output is dropped;
        /// `None` if the cache is already warm or the notice is too short.
        warm_at_ms: Option<TimeMs>,
        /// When to start the stream itself on the target, from its latest position.
        start_at_ms: TimeMs,
        /// Whether the target has no free slot, so that the stream queues there by priority.
        queued: bool,
    },
    /// Stop the stream, then recompute prompt and generated tokens on the target and continue.
    ///
    /// Used for a stream that is not idempotent: no two hosts ever generate tokens of it.
    Resume {
        /// The host that continues the stream.
        target: HostKey,
        /// As for [`Move::Recompute`].
        warm_at_ms: Option<TimeMs>,
        /// When to stop the stream on its source and continue it on the target.
        start_at_ms: TimeMs,
        /// As for [`Move::Recompute`].
        queued: bool,
    },
    /// Leave a batch stream on its host and plan again, as no target has capacity for it yet.
    Wait {
        /// When to plan the stream again.
        retry_at_ms: TimeMs,
    },
    /// Read the stream until its host is gone: it is not idempotent and no target can take it.
    RunUntilLeave,
}

/// A stream and its planned action.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StreamMove {
    /// The stream.
    pub stream: StreamKey,
    /// The planned action.
    pub action: Move,
}

/// The moves of all streams on hosts under notice.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReclaimPlan {
    /// One move per stream.
    pub moves: Vec<StreamMove>,
    /// When to plan again even if the view is unchanged; `None` if the plan has no moves.
    pub replan_at_ms: Option<TimeMs>,
}
