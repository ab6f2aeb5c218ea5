//! What a plan says.

use super::view::StreamKey;
use crate::keys::HostKey;
use crate::time::TimeMs;

/// What to do with one stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Move {
    /// Nothing: it ends before its host leaves.
    Finish,
    /// Export its KV cache, import it on the target and go on there.
    Export {
        /// Where it goes on.
        target: HostKey,
        /// When to ask for the export; at once if the cache was exported before.
        start_at_ms: TimeMs,
        /// When to give the export up and plan again.
        give_up_at_ms: TimeMs,
    },
    /// Compute prompt and tokens so far on the target and go on there.
    ///
    /// The source keeps streaming meanwhile; the caller drops tokens that it has by position.
    Recompute {
        /// Where it goes on.
        target: HostKey,
        /// When to compute its tokens into the target's prefix cache, by a stream of one token
        /// whose output is dropped; `None` if that was done or there is no time for it.
        warm_at_ms: Option<TimeMs>,
        /// When to start the stream itself on the target, with the newest position.
        start_at_ms: TimeMs,
        /// Whether the target has no room yet, so that the stream will wait there by priority.
        queued: bool,
    },
    /// Leave it where it is and plan again: batch work for which there is no room yet.
    Wait {
        /// When to plan it again.
        again_at_ms: TimeMs,
    },
    /// Read what comes until the host is gone: it may not run twice and no export fits.
    RunOut,
}

/// The move of one stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StreamMove {
    /// The stream.
    pub stream: StreamKey,
    /// What to do with it.
    pub action: Move,
}

/// What to do with the streams on hosts under notice.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReclaimPlan {
    /// One move per stream.
    pub moves: Vec<StreamMove>,
    /// When to plan again even if nothing changes; `None` if no stream is on such a host.
    pub look_again_at_ms: Option<TimeMs>,
}
