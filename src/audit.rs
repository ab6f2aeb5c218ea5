//! The audit trail of changes and orders.
//!
//! Each change of the configuration, each order to an upstream and each deal with the cloud is
//! recorded with who did it, on what, under which revision and fencing number, when, and what came
//! of it. A node keeps its newest entries in memory and appends them in batches to the stream
//! [`STREAM`], from which any node can read the whole trail.
//!
//! Entries never hold up what they describe. When the log is out for long the oldest unsent ones
//! are dropped, and the trail itself says how many.
//!
//! # Appends a second
//!
//! A node appends at most once per [`INTERVAL_MS`] (10 s) and only if there is something: at most
//! 34/s at 340 nodes if all have entries all the time. An ordinary day's entries (3,700 changes, 45
//! failures, 330 restarts, some orders for each) come one by one, about 0.1 appends/s in all.

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

/// The stream that holds the audit trail.
pub const STREAM: &str = "audit";
/// The least time between two appends of a node.
pub const INTERVAL_MS: u64 = 10_000;
/// Longer texts are cut.
pub const TEXT_LIMIT_BYTES: usize = 500;

/// What was done.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Act {
    /// An operator changed the configuration.
    ChangeConfiguration,
    /// A node repeated the configuration for the log.
    RenewConfiguration,
    /// A node took a lease.
    TakeLease,
    /// A node gave a lease up or lost it.
    EndLease,
    /// An engine was ordered to load a model or an adapter.
    Load,
    /// An engine was ordered to unload a model.
    Unload,
    /// An engine was ordered to change its role.
    SetRole,
    /// A host was bought.
    BuyHost,
    /// A host was given back.
    GiveBackHost,
    /// A host's streams were moved, for it leaves.
    ClearHost,
    /// A request's content was refused, for upstreams died of it.
    BlockContent,
    /// A request was let onto one host alone, for an upstream died of it.
    QuarantineContent,
    /// A node was stopped as planned.
    StopNode,
    /// Entries of the trail were lost before they were written.
    DropEntries,
}

/// What came of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// It was done.
    Done,
    /// It was refused.
    Refused,
    /// It failed, and had no effect.
    Failed,
    /// It is not known whether it had an effect.
    Unknown,
}

/// Who did it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Actor {
    /// An operator, by name.
    Operator(String),
    /// A node's controller, by the name of its lease or role.
    Controller(String),
}

/// One entry of the audit trail.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// When, by the node's clock.
    pub at_ms: TimeMs,
    /// The node that did it.
    pub node: Incarnation,
    /// Who did it.
    pub actor: Actor,
    /// What was done.
    pub act: Act,
    /// To what: a host, a lease, a change.
    pub target: String,
    /// What came of it.
    pub outcome: Outcome,
    /// The configuration's revision that it was done under, or that it made.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub revision: Option<u64>,
    /// The fencing number that it was done under.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub fencing: Option<FencingToken>,
    /// What else is to say, such as the reason of a refusal.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub detail: String,
}

impl Entry {
    /// An entry without revision, fencing number and detail.
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
            target: cut(target),
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

    /// Sets the fencing number.
    #[must_use]
    pub fn fencing(mut self, fencing: FencingToken) -> Self {
        self.fencing = Some(fencing);
        self
    }

    /// Sets what else is to say.
    #[must_use]
    pub fn detail(mut self, detail: &str) -> Self {
        self.detail = cut(detail);
        self
    }
}

/// The beginning of a text that is too long; bounds what one entry takes.
fn cut(text: &str) -> String {
    let end = text.floor_char_boundary(TEXT_LIMIT_BYTES);
    text[..end].to_owned()
}
