//! The configuration in force, computed from the log's stream `configuration`.
//!
//! A change names its base revision and is accepted only if that is the current revision when the
//! log reaches the change; its offset becomes the new revision. If several operators submit changes
//! at the same time, the same one is accepted on every node.

use serde::{Deserialize, Serialize};

use crate::time::TimeMs;

mod client;
mod fold;
pub mod renewal;
#[cfg(test)]
mod tests;

pub use client::{ConfigurationClient, ConfigurationTask, NewChange, SubmitError};
pub use fold::{ChangeOutcome, Checker, Configuration, HeldRevision};

/// The log stream of the configuration.
pub const STREAM: &str = "configuration";

/// A change of the configuration document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The id by which the operator finds the outcome; a repeated append keeps it.
    pub change_id: String,
    /// The revision on which the change is based; 0 if there was none.
    pub base_revision: u64,
    /// The operator who made the change.
    pub operator: String,
    /// The new document, as the operator wrote it.
    pub document: String,
}

/// The whole configuration as known to one node.
///
/// A snapshot comes from a renewal in the log or from a peer, and replaces all records up to
/// `as_of`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, bincode::Encode, bincode::Decode)]
pub struct Snapshot {
    /// The revision in force: the offset of the accepted change.
    pub revision: u64,
    /// The offset up to which the node had read the stream.
    pub as_of: u64,
    /// The revision on which the change was based.
    pub base_revision: u64,
    /// The operator who made the change.
    pub operator: String,
    /// The id of the change.
    pub change_id: String,
    /// The time at which the log appended the change.
    pub accepted_at_ms: TimeMs,
    /// The document, as the operator wrote it.
    pub document: String,
}

/// The content of a record of the stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Entry {
    /// A change of the document by an operator.
    Change(Change),
    /// A copy of the document in force, appended by a node before the log drops the original.
    Renewal(Snapshot),
}
