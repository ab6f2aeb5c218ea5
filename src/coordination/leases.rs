//! Leases on names, decided by the log's order and clock.
//!
//! A role that needs a single actor is taken by a lease in the stream [`STREAM`]. The offset of the
//! record that acquired it is its fencing number, so each new holder has a higher one. The table
//! ([`LeaseTable`]) says who holds what; the holder itself ([`Tenure`]) measures its time on its own
//! clock from before it sent the record, and stops a while before the lease ends, so that it has
//! stopped when another acquires, however long it was paused.
//!
//! While the log is out nobody can acquire or renew: a holder stops within the lease's duration.
//!
//! # Appends a second
//!
//! A lease of [`DURATION_MS`] (15 s) is renewed after a third of it: 0.2 appends/s for each lease.
//! Four failure domains with one controller each take 0.8/s, eighteen 3.6/s; renewals of one node
//! that fall into one interval share a record.

use serde::{Deserialize, Serialize};

use crate::keys::Incarnation;
use crate::time::TimeMs;

mod keeper;
mod table;
mod tenure;
#[cfg(test)]
mod tests;

pub use keeper::{Leases, LeasesTask};
pub use table::{Lease, LeaseTable};
pub use tenure::{Action, Tenure, View};

/// The stream that holds the leases.
pub const STREAM: &str = "leases";
/// How long a lease holds if it is not renewed.
pub const DURATION_MS: u64 = 15_000;
/// No lease holds longer, whatever its record says.
pub const MOST_DURATION_MS: u64 = 60_000;
/// How long before its end a holder stops; covers the drift of two clocks over one duration.
pub const SAFETY_MS: u64 = 3_000;

/// The offset of the record that acquired a lease; a later holder has a higher one.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    bincode::Encode,
    bincode::Decode,
)]
#[serde(transparent)]
pub struct Fencing(pub u64);

/// What a node says about a lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseEntry {
    /// The name that the lease is on.
    pub name: String,
    /// Who speaks.
    pub holder: Incarnation,
    /// The speaker's number for what it sent, by which it knows when that was.
    pub send: u64,
    /// What it wants.
    pub request: LeaseRequest,
}

/// What a node wants with a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum LeaseRequest {
    /// To take it, if it is free.
    Acquire {
        /// For how long.
        duration_ms: u64,
    },
    /// To keep it.
    Renew {
        /// The holder's fencing number.
        fencing: Fencing,
        /// For how long from this record on.
        duration_ms: u64,
        /// The end that the holder's last record gave the lease, by the log's clock.
        ends_ms: TimeMs,
    },
    /// To give it up.
    Release {
        /// The holder's fencing number.
        fencing: Fencing,
    },
}
