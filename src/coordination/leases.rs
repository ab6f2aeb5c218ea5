//! Leases on named roles, granted by the order and the clock of the log.
//!
//! A role that needs a single actor is protected by a lease in the stream [`STREAM`]. The offset of
//! the record that acquired the lease is its fencing token, so each new holder has a higher one.
//! [`LeaseTable`] computes the current holder of each lease. The holder itself ([`LocalLease`])
//! measures the duration on its own clock, starting before it sent the record, and stops acting
//! [`SAFETY_MARGIN_MS`] before the lease expires. It has therefore stopped before another node can
//! acquire the lease, even after a pause of any length.
//!
//! During an outage of the log no lease can be acquired or renewed: every holder stops within one
//! lease duration.
//!
//! # Append rate
//!
//! A lease of [`DURATION_MS`] (15 s) is renewed after a third of its duration: 0.2 appends/s per
//! lease. Four failure domains with one controller each append 0.8/s, eighteen 3.6/s; renewals by
//! one node that fall into the same interval share a record.

use serde::{Deserialize, Serialize};

use crate::keys::Incarnation;
use crate::time::TimeMs;

mod local_lease;
mod node_leases;
mod table;
#[cfg(test)]
mod tests;

pub use local_lease::{Action, DecisionContext, LocalLease};
pub use node_leases::{Leases, LeasesTask};
pub use table::{Lease, LeaseTable};

/// The log stream of the lease records.
pub const STREAM: &str = "leases";
/// The time after which a lease that is not renewed expires.
pub const DURATION_MS: u64 = 15_000;
/// The upper bound of a lease's duration; a longer duration in a record is reduced to it.
pub const MAX_DURATION_MS: u64 = 60_000;
/// The time before expiry at which a holder stops; covers the drift between two clocks over one
/// duration.
pub const SAFETY_MARGIN_MS: u64 = 3_000;

/// The fencing token of a lease: the offset of the record that acquired it; it grows with each
/// holder.
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
pub struct FencingToken(pub u64);

/// One node's request about a lease, as written to the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseEntry {
    /// The name of the lease.
    pub name: String,
    /// The node that sends the request.
    pub holder: Incarnation,
    /// The sender's sequence number of this request, by which it finds the time of sending.
    pub send: u64,
    /// The operation.
    pub request: LeaseRequest,
}

/// An operation on a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum LeaseRequest {
    /// Acquires the lease if it is free.
    Acquire {
        /// The requested duration.
        duration_ms: u64,
    },
    /// Extends a lease that the sender holds.
    Renew {
        /// The holder's fencing token.
        fencing: FencingToken,
        /// The requested duration, from the time of this record.
        duration_ms: u64,
        /// The expiry that the holder's previous record gave the lease, by the log's clock.
        ends_ms: TimeMs,
    },
    /// Ends a lease that the sender holds.
    Release {
        /// The holder's fencing token.
        fencing: FencingToken,
    },
}
