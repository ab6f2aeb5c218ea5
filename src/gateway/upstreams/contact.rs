//! When an upstream last gave a sign of life to this node.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use crate::time::TimeMs;

/// When this node last received anything of one start of an upstream, shared by the requests that it runs.
#[derive(Clone, Debug, Default)]
pub(crate) struct Contact {
    heard_at_ms: Arc<AtomicU64>,
    silent_at_ms: Arc<AtomicU64>,
}

impl Contact {
    /// Records that the upstream has sent something.
    pub fn record_heard(&self, now: TimeMs) {
        self.heard_at_ms.fetch_max(now.0, Ordering::Relaxed);
    }

    /// Records that a request has waited in vain for the upstream for as long as it usually takes.
    pub fn record_silent(&self, now: TimeMs) {
        self.silent_at_ms.fetch_max(now.0, Ordering::Relaxed);
    }

    /// Whether the upstream has sent something after `since`.
    pub fn is_heard_since(&self, since: TimeMs) -> bool {
        self.heard_at_ms.load(Ordering::Relaxed) > since.0
    }

    /// Whether a request waited in vain, and nothing has come since.
    pub fn is_silent(&self) -> bool {
        self.silent_at_ms.load(Ordering::Relaxed) > self.heard_at_ms.load(Ordering::Relaxed)
    }
}

#[cfg(test)]
mod tests;
