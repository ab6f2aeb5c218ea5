//! The configuration in force, made of the log's stream `configuration`.
//!
//! A change names the revision that it was made from and is accepted only if that is the current
//! one when the log reaches it; its offset is the new revision. Of racing operators one wins, on
//! every node the same.

use serde::{Deserialize, Serialize};

use crate::time::TimeMs;

mod fold;
mod keeper;
pub mod renewal;
#[cfg(test)]
mod tests;

pub use fold::{ChangeOutcome, Checker, Configuration, Held};
pub use keeper::{ConfigurationKeeper, ConfigurationTask, NewChange, SubmitError};

/// The stream that holds the configuration.
pub const STREAM: &str = "configuration";

/// A change of the document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Names the change, so that its operator finds its outcome; a repeated append keeps it.
    pub change_id: String,
    /// The revision that it was made from; 0 if there was none.
    pub base_revision: u64,
    /// Who made it.
    pub operator: String,
    /// The new document, as its operator wrote it.
    pub document: String,
}

/// The whole configuration as some node had it.
///
/// Taken from a renewal in the log or from a peer, it stands for all records up to `as_of`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, bincode::Encode, bincode::Decode)]
pub struct Snapshot {
    /// The revision in force: the offset of the accepted change.
    pub revision: u64,
    /// The offset up to which the node had read when this was the revision in force.
    pub as_of: u64,
    /// The revision that the change was made from.
    pub base_revision: u64,
    /// Who made the change.
    pub operator: String,
    /// The change's id.
    pub change_id: String,
    /// When the log took the change.
    pub accepted_at_ms: TimeMs,
    /// The document, as its operator wrote it.
    pub document: String,
}

/// What a record of the stream says.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Entry {
    /// An operator changes the document.
    Change(Change),
    /// A node repeats the document in force before the log forgets it.
    Renewal(Snapshot),
}
