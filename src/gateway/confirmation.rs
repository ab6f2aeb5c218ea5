//! Decides which nodes confirm the configuration with the store, and which ask a peer.
//!
//! A revoked API key must stop working within seconds, also at a node to which the store is
//! unavailable; so a node accepts keys only while its configuration has been confirmed recently. If
//! each node asked the store for that, the number of calls would grow with the number of nodes.
//! Instead one node of each failure domain asks the store, and the others ask that node in
//! datagrams.
//!
//! The age of a peer's confirmation is the time since the request plus the age that the peer
//! states, each taken from one clock. A datagram delayed at a slow link, or a node frozen in
//! between, makes the confirmation older, never newer than it is.

use super::peer_queries::QUERY_INTERVAL_MS;

/// Long-poll time of a confirming node's read; the store answers earlier if a record arrives.
///
/// Together with the transfer to the peers and their query intervals, the oldest confirmation stays
/// near 3.5 s, of the 5 s that operators allow for a revoked key.
pub(crate) const LONG_POLL_MS: u64 = 2_000;

/// Age of the confirmation from which a node asks a peer.
///
/// A change that a long poll misses is noticed within this time plus one query interval, below the
/// shortest bound on a configuration, 2 s.
const PEER_QUERY_AGE_MS: u64 = 1_000;

/// Age of the confirmation from which a node without helpful peers reads the store itself.
const STORE_READ_AGE_MS: u64 = 3_000;

/// Added to [`STORE_READ_AGE_MS`] for each node of the failure domain that ranks before this one.
///
/// When the store is unavailable to all nodes, every confirmation ages. Without the steps all nodes
/// of a failure domain would read the store at the same moment, and again throughout the outage.
const STORE_READ_STEP_MS: u64 = 200;

/// Delay after a failed read, multiplied by one plus the node's rank in its failure domain.
const RETRY_DELAY_MS: u64 = 250;

/// Maximum of that delay, reached from the eighth node on.
const MAX_RETRY_DELAY_MS: u64 = 2_000;

/// Startup period in which a node does not act as the confirming node.
///
/// It has not received heartbeats of its peers yet, and would rank itself first. Nodes send a
/// heartbeat at once when they learn of each other, within half a second where they start together.
pub(crate) const STARTUP_MS: u64 = 1_000;

/// Nodes of a failure domain that read their first configuration from the store; the others ask
/// peers for it.
///
/// If all nodes read it when they start together, the bytes read would grow with the nodes.
const START_READERS: usize = 2;

/// Uptime from which a node reads its first configuration from the store if no peer has sent it.
const START_READ_UPTIME_MS: u64 = 1_500;

/// Added to [`START_READ_UPTIME_MS`] for each node of the failure domain that ranks before this one,
/// and the bound on the sum.
const START_READ_STEP_MS: u64 = 50;
const MAX_START_READ_STEPS_MS: u64 = 2_000;

/// The inputs of the decisions whether to read the store and whether to ask a peer.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ConfirmationState {
    /// Time since the configuration was last confirmed; `None` if it never was.
    pub age_ms: Option<u64>,
    /// Number of nodes of the failure domain that rank before this one.
    pub rank: usize,
    /// Number of known nodes of the failure domain that rank before this one; `None` before this
    /// node has learned of others.
    pub rank_among_known: Option<usize>,
    /// Time since the store last failed to answer; `None` if it answered after that.
    pub failed_ms: Option<u64>,
    /// Time since this node started.
    pub running_ms: u64,
    /// Whether a peer has reported newer records that it could not send.
    pub is_behind: bool,
    /// Whether a peer has a newer version, or the store was restored from a backup and this node
    /// has read nothing of its new era.
    pub is_outdated: bool,
}

/// How to read the configuration from the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StoreRead {
    Skip,
    /// Read the present records.
    Immediate,
    /// Wait up to [`LONG_POLL_MS`] for new records.
    LongPoll,
}

/// Decides how to read the configuration from the store.
#[must_use]
pub(crate) fn next_read(state: &ConfirmationState) -> StoreRead {
    let rank = u64::try_from(state.rank).unwrap_or(u64::MAX);
    let pause_ms = retry_delay_ms(state.rank);
    let due_ms = STORE_READ_AGE_MS.saturating_add(rank.saturating_mul(STORE_READ_STEP_MS));
    match state.age_ms {
        _ if state.failed_ms.is_some_and(|ago_ms| ago_ms < pause_ms) => StoreRead::Skip,
        None if waits_for_peers(state) => StoreRead::Skip,
        None => StoreRead::Immediate,
        Some(_) if state.is_behind => StoreRead::Immediate,
        // A store that has just failed may not answer; a long poll would then block for all of its
        // time.
        Some(_) if rank == 0 && state.failed_ms.is_some() => StoreRead::Immediate,
        Some(_) if rank == 0 && has_started_up(state.running_ms) => StoreRead::LongPoll,
        Some(age_ms) if rank == 0 && age_ms >= LONG_POLL_MS => StoreRead::Immediate,
        Some(age_ms) if age_ms >= due_ms => StoreRead::Immediate,
        Some(_) => StoreRead::Skip,
    }
}

/// Whether a node without a configuration leaves it to its peers to send one.
fn waits_for_peers(state: &ConfirmationState) -> bool {
    match state.rank_among_known {
        Some(rank) if rank < START_READERS => false,
        rank => {
            let rank = u64::try_from(rank.unwrap_or_default()).unwrap_or(u64::MAX);
            let steps_ms = (rank.saturating_mul(START_READ_STEP_MS)).min(MAX_START_READ_STEPS_MS);
            state.running_ms < START_READ_UPTIME_MS + steps_ms
        }
    }
}

/// Whether the startup period is over, in which a node may not have heard its peers.
#[must_use]
pub(crate) fn has_started_up(running_ms: u64) -> bool {
    running_ms >= STARTUP_MS
}

/// Returns the delay before the next read after a failure, by the number of nodes that rank before
/// this one.
#[must_use]
pub(crate) fn retry_delay_ms(rank: usize) -> u64 {
    let rank = u64::try_from(rank).unwrap_or(u64::MAX);
    RETRY_DELAY_MS
        .saturating_mul(rank.saturating_add(1))
        .min(MAX_RETRY_DELAY_MS)
}

/// Whether to ask a peer to confirm the configuration.
#[must_use]
pub(crate) fn should_ask_peer(state: &ConfirmationState) -> bool {
    let due_ms = match state.rank {
        // On the confirming node, the confirmation reaches this age just before the long poll
        // returns.
        0 => LONG_POLL_MS + QUERY_INTERVAL_MS,
        _ => PEER_QUERY_AGE_MS,
    };
    state.is_outdated || (state.age_ms).is_none_or(|age_ms| age_ms >= due_ms)
}

#[cfg(test)]
mod tests;
