//! Claims of callers' idempotency keys, granted by the order of the log.
//!
//! A caller may send a key to any node, so no single node can refuse a second run. For calls that
//! must not run twice, each request claims its key in the log: the first claim in the log's order
//! wins, and only the winner may run. A later claim takes over only if it names the current winner,
//! whose home has confirmed that the winner did not run and never will.
//!
//! # Append rate
//!
//! Keys are hashed to [`PARTITIONS`] (16) streams. The nodes that see each other choose one claimer
//! per partition ([`choose_claimer`]), to which the others forward their claims. A claimer appends
//! at most once per [`INTERVAL_MS`] (200 ms), and only if a claim is waiting:
//!
//! ```text
//! 16 partitions × 1 claimer × 5 appends/s = 80 appends/s, of the 100 allowed
//! ```
//!
//! This holds for 9 nodes as for 340. Nodes with different views of the membership do not affect
//! the outcome, which the log decides; they only add claimers. A claimer therefore counts the
//! writers that appended to its partition within [`WRITERS_WINDOW_MS`] and appends once per 200 ms
//! × that number ([`interval_ms`]). This keeps the sum at 80/s under any network partition, at the
//! cost of latency on each side (one more second with five sides). During the first window after a
//! split the sum may be higher, bounded by the append budget of each node.
//!
//! A claim takes 103 bytes of a record's payload and 183 bytes in a table (with ids of 52
//! characters and 100,000 to 400,000 rows). At 280 claims/s (an assumed 2% of 14,000 requests/s)
//! the claimer of a partition reads 1.8 KB/s of claims and keeps those of [`CLAIM_TTL_MS`] (15
//! minutes): 15,750 rows or 2.9 MB. [`MAX_HELD_KEYS`] (50,000) bounds a partition at 9.2 MB, and
//! all partitions together at 888 new keys/s; claims beyond that are rejected before they are
//! written.

use std::fmt;

use serde::{Deserialize, Deserializer, Serialize, Serializer};
use sha2::{Digest, Sha256};

use crate::coordination::rendezvous;
use crate::keys::Incarnation;

mod claimer;
mod table;
#[cfg(test)]
mod tests;

pub use claimer::{ClaimError, Claimer};
pub use table::{ClaimTable, Holder};

/// The number of streams that keys are hashed to; a key's first byte modulo this selects one.
pub const PARTITIONS: u8 = 16;
/// The minimum interval between two appends to a partition by all claimers together.
pub const INTERVAL_MS: u64 = 200;
/// Writers that appended within this time share the interval.
pub const WRITERS_WINDOW_MS: u64 = 10_000;
/// The time to live of a claim, by the log's clock. The log should retain records for twice as
/// long.
pub const CLAIM_TTL_MS: u64 = 15 * 60 * 1_000;
/// The time after requesting the claim within which the home may start the call.
///
/// Without this limit a home that is paused between claim and start runs a call whose key has
/// expired and been claimed again: the call runs twice after a pause of a quarter of an hour. The
/// rest of the time to live covers response times and clock differences.
pub const START_WITHIN_MS: u64 = 5 * 60 * 1_000;

/// The maximum difference between this node's clock and the log's.
pub const CLOCK_SKEW_MS: u64 = 60 * 1_000;
/// The maximum number of keys in a partition; further claims are rejected before they are written.
pub const MAX_HELD_KEYS: usize = 50_000;

/// A hash of a caller's idempotency key and its team.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, bincode::Encode, bincode::Decode)]
pub struct ClaimKey(pub u128);

impl ClaimKey {
    /// Hashes `key` of `team`.
    ///
    /// Callers choose keys freely, so the hash must be collision resistant.
    #[must_use]
    pub fn of(team: &str, key: &str) -> Self {
        let mut hash = Sha256::new();
        hash.update((team.len() as u64).to_le_bytes());
        hash.update(team);
        hash.update(key);
        let digest: [u8; 32] = hash.finalize().into();
        let (half, _) = digest.split_at(16);
        Self(
            half.iter()
                .fold(0, |key, byte| key << 8 | u128::from(*byte)),
        )
    }

    /// Returns the sampling seed of a call under this key that specifies none.
    ///
    /// Every resend gets the same seed; with another one it would be a different call.
    #[must_use]
    pub fn seed(self) -> u64 {
        let [_, _, _, _, _, _, _, _, low @ ..] = self.0.to_be_bytes();
        u64::from_be_bytes(low)
    }

    /// Returns the partition of the key.
    #[must_use]
    pub fn partition(self) -> u8 {
        let [top, ..] = self.0.to_be_bytes();
        top % PARTITIONS
    }
}

impl fmt::Debug for ClaimKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "ClaimKey({:032x})", self.0)
    }
}

impl Serialize for ClaimKey {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(&format_args!("{:032x}", self.0))
    }
}

impl<'de> Deserialize<'de> for ClaimKey {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        let key = u128::from_str_radix(&text, 16).map_err(serde::de::Error::custom)?;
        Ok(Self(key))
    }
}

/// The claim of a key by one request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, bincode::Encode, bincode::Decode)]
pub struct Claim {
    /// The key.
    pub key: ClaimKey,
    /// The request id, as text.
    pub id: String,
    /// The current winner, whose home has confirmed that it did not run and never will.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub supersedes: Option<String>,
}

/// The outcome of a claim: whether the request may run the call.
#[derive(Clone, Debug, PartialEq, Eq, bincode::Encode, bincode::Decode)]
pub enum ClaimOutcome {
    /// The request may run if its home starts it within [`START_WITHIN_MS`] of requesting the
    /// claim.
    Won,
    /// Another request holds the key; only that request's home knows its state.
    Lost {
        /// The id of the request that holds the key.
        winner: String,
    },
}

/// Returns the name of the stream of a partition.
#[must_use]
pub fn stream(partition: u8) -> String {
    format!("claims-{partition:02}")
}

/// Chooses the node among `live` that claims `key` on behalf of all nodes.
///
/// A higher `rank` gives the next choice, for when the previous one is unreachable. Nodes that
/// choose differently only cause additional appends.
#[must_use]
pub fn choose_claimer(key: ClaimKey, live: &[Incarnation], rank: usize) -> Option<Incarnation> {
    rendezvous::choose(stream(key.partition()).as_bytes(), live, rank)
}

/// Returns the minimum interval in milliseconds between two appends of one of `writers` claimers.
#[must_use]
pub fn interval_ms(writers: usize) -> u64 {
    INTERVAL_MS.saturating_mul(writers.max(1) as u64)
}
