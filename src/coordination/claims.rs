//! Claims of callers' idempotency keys, decided by the log's order.
//!
//! A caller may send a key to any node, so a key has no home that could refuse a second run. For
//! calls that must not run twice each request claims its key in the log: the first claim in the
//! log's order wins, and the winner's id is the only one that may run. A later claim takes over
//! only if it names the current winner, whose home has said that it did not run and never will.
//!
//! # Appends a second
//!
//! Keys fall into [`PARTITIONS`] (16) streams by hash. The nodes that see each other choose one
//! claimer for each partition ([`choose_claimer`]), to which others pass their claims. A claimer
//! appends at most once per [`INTERVAL_MS`] (200 ms) and only if a claim waits:
//!
//! ```text
//! 16 partitions × 1 claimer × 5 appends/s = 80 appends/s, of the 100 allowed
//! ```
//!
//! with 9 nodes as with 340. Nodes that disagree about who is there do no harm to the outcome,
//! which the log decides; they add appenders. A claimer therefore counts the writers that its
//! partition saw within [`WRITERS_WINDOW_MS`] and appends once per 200 ms × that number
//! ([`interval_ms`]), which keeps the sum at 80/s in a fleet parted into any number of islands, at
//! the price of latency there (a second more with five). For the first window after a split the
//! sum may be higher; each node's own budget bounds that.
//!
//! A claim takes 103 bytes of a record's payload and 183 bytes in a table (measured with ids of 52
//! characters, 100,000 to 400,000 rows). At 280 claims/s (2% of 14,000 requests/s, an assumption) a
//! partition's claimer reads 1.8 KB/s of claims and holds those of [`CLAIM_TTL_MS`] (15 minutes),
//! 15,750 rows or 2.9 MB. [`MOST_HELD`] (50,000) bounds a partition at 9.2 MB, and all together at
//! 888 new keys/s; claims beyond that are refused before they are written.

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

/// Streams that keys are spread over; the shift below fits it.
pub const PARTITIONS: u8 = 16;
/// The least time between two appends to a partition by all claimers together.
pub const INTERVAL_MS: u64 = 200;
/// Writers that appended within this time share the interval.
pub const WRITERS_WINDOW_MS: u64 = 10_000;
/// How long a claim holds, by the log's clock. The log should keep records for twice as long.
pub const CLAIM_TTL_MS: u64 = 15 * 60 * 1_000;
/// How long after it asked for the claim a home may still start the call.
///
/// A home that was paused between its claim and its start would otherwise run a call whose key has
/// expired and been claimed anew; one would notice a doubled call after a pause of a quarter of an
/// hour. The rest of the time to live covers answers and clocks.
pub const START_WITHIN_MS: u64 = 5 * 60 * 1_000;

/// How far this node's clock and the log's may be apart.
pub const CLOCK_SKEW_MS: u64 = 60 * 1_000;
/// Keys that a partition holds at most; further claims are refused before they are written.
pub const MOST_HELD: usize = 50_000;

/// A caller's idempotency key together with its team.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, bincode::Encode, bincode::Decode)]
pub struct ClaimKey(pub u128);

impl ClaimKey {
    /// The key that `team` calls `key`.
    ///
    /// Callers choose keys freely, so the hash must be one for which nobody finds two that match.
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

    /// The seed of a call under this key that gives none.
    ///
    /// The same for every resend, which would be another call otherwise.
    #[must_use]
    pub fn seed(self) -> u64 {
        let [_, _, _, _, _, _, _, _, low @ ..] = self.0.to_be_bytes();
        u64::from_be_bytes(low)
    }

    /// The partition that holds the key.
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

/// One request's claim of a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, bincode::Encode, bincode::Decode)]
pub struct Claim {
    /// The key.
    pub key: ClaimKey,
    /// The request's id, as text.
    pub id: String,
    /// The winner so far, whose home has said that it did not run and never will.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub supersedes: Option<String>,
}

/// Who may run the call.
#[derive(Clone, Debug, PartialEq, Eq, bincode::Encode, bincode::Decode)]
pub enum ClaimOutcome {
    /// The request that claimed, if its home starts it within [`START_WITHIN_MS`] of asking.
    Won,
    /// Another one; only its home can tell what became of it.
    Lost {
        /// The id of the request that holds the key.
        winner: String,
    },
}

/// The stream that holds a partition.
#[must_use]
pub fn stream(partition: u8) -> String {
    format!("claims-{partition:02}")
}

/// The node that claims a key for all, among those that are `live`.
///
/// A higher `rank` gives the next choice, for when the first one cannot be reached. Two nodes that
/// choose differently only cause more appends.
#[must_use]
pub fn choose_claimer(key: ClaimKey, live: &[Incarnation], rank: usize) -> Option<Incarnation> {
    rendezvous::choose(stream(key.partition()).as_bytes(), live, rank)
}

/// The least time between two appends of one of `writers` claimers of a partition.
#[must_use]
pub fn interval_ms(writers: usize) -> u64 {
    INTERVAL_MS.saturating_mul(writers.max(1) as u64)
}
