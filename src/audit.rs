//! The audit trail of configuration changes, orders to upstreams and purchases of hosts.
//!
//! Each entry holds the actor, the action, its target, the active revision, the fencing token, the
//! time and the outcome. A node buffers entries in memory and appends them in batches to the stream
//! [`STREAM`], from which any node can read the whole trail.
//!
//! Recording never blocks the recorded action. During a long outage of the log the oldest buffered
//! entries are dropped, and an entry of the trail records how many.
//!
//! # Append rate
//!
//! A node appends at most once per [`INTERVAL_MS`] (10 s) and only if it has entries: at most 34/s
//! for 340 nodes that all have entries all the time. The entries of an ordinary day (3,700 changes,
//! 45 failures and 330 restarts, with several orders each) are spread out and need about
//! 0.1 appends/s in total.

use serde::{Deserialize, Serialize};

use crate::coordination::leases::FencingToken;
use crate::keys::Incarnation;
use crate::time::TimeMs;

mod recorder;
#[cfg(test)]
mod tests;
mod trail;

pub use recorder::{Recorder, RecorderTask};
pub use trail::{Trail, read_trail};

/// Name of the log stream that holds the audit trail.
pub const STREAM: &str = "audit";
/// Minimum time between two appends of a node.
pub const INTERVAL_MS: u64 = 10_000;
/// Maximum length of a target or detail; longer texts are truncated.
pub const TEXT_LIMIT_BYTES: usize = 500;

/// The recorded action.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Act {
    /// An operator changed the configuration.
    ChangeConfiguration,
    /// A node appended the configuration again before the log's retention expired.
    RenewConfiguration,
    /// A node acquired a lease.
    TakeLease,
    /// A node released or lost a lease.
    EndLease,
    /// An engine was ordered to load a model or an adapter.
    Load,
    /// An engine was ordered to unload a model.
    Unload,
    /// An engine was ordered to change its role.
    SetRole,
    /// A host was bought.
    BuyHost,
    /// A host was returned to the cloud.
    GiveBackHost,
    /// The streams of a leaving host were moved to other hosts.
    ClearHost,
    /// A request's content was blocked because it crashed upstreams.
    BlockContent,
    /// A request was confined to one host because an upstream crashed while running it.
    QuarantineContent,
    /// A node was shut down gracefully.
    StopNode,
    /// Entries of the trail were dropped before they were written.
    DropEntries,
}

/// The outcome of an action.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The action took effect.
    Done,
    /// The action was refused.
    Refused,
    /// The action failed and had no effect.
    Failed,
    /// The action may or may not have had an effect.
    Unknown,
}

/// The actor of an action.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Actor {
    /// The name of an operator.
    Operator(String),
    /// The name of a node's controller, which is that of its lease or role.
    Controller(String),
}

/// One entry of the audit trail.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Time of the action by the node's clock.
    pub at_ms: TimeMs,
    /// The node that recorded the entry.
    pub node: Incarnation,
    /// The actor.
    pub actor: Actor,
    /// The action.
    pub act: Act,
    /// What the action applied to, such as a host, a lease or a change.
    pub target: String,
    /// The outcome.
    pub outcome: Outcome,
    /// The active configuration revision, or the one that the action created.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub revision: Option<u64>,
    /// The fencing token under which the action was taken.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub fencing: Option<FencingToken>,
    /// Further details, such as the reason for a refusal.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub detail: String,
}

impl Entry {
    /// An entry without revision, fencing token and detail; `target` is truncated.
    #[must_use]
    pub fn new(
        at_ms: TimeMs,
        node: Incarnation,
        actor: Actor,
        act: Act,
        target: &str,
        outcome: Outcome,
    ) -> Self {
        Self {
            at_ms,
            node,
            actor,
            act,
            target: truncated(target),
            outcome,
            revision: None,
            fencing: None,
            detail: String::new(),
        }
    }

    /// Sets the revision.
    #[must_use]
    pub fn revision(mut self, revision: u64) -> Self {
        self.revision = Some(revision);
        self
    }

    /// Sets the fencing token.
    #[must_use]
    pub fn fencing(mut self, fencing: FencingToken) -> Self {
        self.fencing = Some(fencing);
        self
    }

    /// Sets the detail, truncated.
    #[must_use]
    pub fn detail(mut self, detail: &str) -> Self {
        self.detail = truncated(detail);
        self
    }
}

/// Truncates a text at a character boundary, which bounds the size of an entry.
fn truncated(text: &str) -> String {
    let end = text.floor_char_boundary(TEXT_LIMIT_BYTES);
    text[..end].to_owned()
}
