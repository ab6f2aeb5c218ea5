//! Which nodes confirm with the store that the configuration is current, and whom the others ask.
//!
//! A key that was taken away must stop working within seconds, also at a node that the store turns
//! away; so a node answers callers' keys only while its configuration has been confirmed a moment
//! ago. If each node asked the store for that, calls would grow with the nodes. One node of each
//! failure domain asks the store, and the others ask it in datagrams.
//!
//! What a peer confirms is as old as the question plus the age that the peer names, both measured
//! on one clock each. A datagram that waits at a slow link, or a node that is frozen in between,
//! makes the confirmation older and never newer than it is.

use super::questions::QUERY_INTERVAL_MS;

/// A read of a confirming node waits this long for a change; a change ends the wait at once.
///
/// With the way to the peers and their pauses the oldest confirmation stays near 3.5 s, of the 5 s
/// that operators allow a key that was taken away.
pub(crate) const CONFIRM_WAIT_MS: u64 = 2_000;

/// A node asks a peer when its own confirmation is older than this.
///
/// News that a waiting read misses is noticed within this time and one interval, below the
/// shortest bound on a configuration, 2 s.
const ASK_AGE_MS: u64 = 1_000;

/// A node whose peers do not help asks the store itself when its confirmation is older than this.
const READ_AGE_MS: u64 = 3_000;

/// Added for each node of the failure domain that comes before this one.
///
/// When the store is away for all, no node's confirmation gets younger, and without the steps all of
/// a failure domain would ask the store at the same moment and again for as long as it is away.
const READ_STEP_MS: u64 = 200;

/// Pause after a failed read, times the node's place in its failure domain.
const RETRY_MS: u64 = 250;

/// Longest such pause: eight places.
const LONGEST_RETRY_MS: u64 = 2_000;

/// A node that has just started has not heard its peers yet, and would take itself for the one that
/// confirms. Nodes pulse at once when they learn of each other, and all do so within half a second
/// where they start together.
pub(crate) const START_MS: u64 = 1_000;

/// What decides whether a node reads the configuration from the store, or asks a peer.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Standing {
    /// Since the configuration was last confirmed; none if it never was.
    pub age_ms: Option<u64>,
    /// How many nodes of the failure domain come before this one.
    pub place: usize,
    /// Since the store last failed to answer; none if it answered after that.
    pub failed_ms: Option<u64>,
    /// Since this node started.
    pub running_ms: u64,
    /// Whether a peer knows of a newer configuration that it could not hand over.
    pub is_behind: bool,
    /// Whether a peer has a newer version, or the store came back from a copy that this node has not been shown
    /// to be level with.
    pub is_outdated: bool,
}

/// Whether to read the configuration from the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Reading {
    Nothing,
    /// What is there now.
    Now,
    /// What is there now or comes within [`CONFIRM_WAIT_MS`].
    Waiting,
}

/// Decides whether to read the configuration from the store.
#[must_use]
pub(crate) fn reading(standing: &Standing) -> Reading {
    let place = u64::try_from(standing.place).unwrap_or(u64::MAX);
    let pause_ms = pause_ms(standing.place);
    let patient_ms = READ_AGE_MS.saturating_add(place.saturating_mul(READ_STEP_MS));
    match standing.age_ms {
        _ if standing.failed_ms.is_some_and(|ago_ms| ago_ms < pause_ms) => Reading::Nothing,
        None => Reading::Now,
        Some(_) if standing.is_behind => Reading::Now,
        // A store that has just failed may be silent; a wait there would last for all of its time.
        Some(_) if place == 0 && standing.failed_ms.is_some() => Reading::Now,
        Some(_) if place == 0 && hears_peers(standing.running_ms) => Reading::Waiting,
        Some(age_ms) if place == 0 && age_ms >= CONFIRM_WAIT_MS => Reading::Now,
        Some(age_ms) if age_ms >= patient_ms => Reading::Now,
        Some(_) => Reading::Nothing,
    }
}

/// Whether a node has run for long enough to have heard its peers.
#[must_use]
pub(crate) fn hears_peers(running_ms: u64) -> bool {
    running_ms >= START_MS
}

/// How long a node leaves the store alone after a failure, by the number of nodes that come before it.
#[must_use]
pub(crate) fn pause_ms(place: usize) -> u64 {
    let place = u64::try_from(place).unwrap_or(u64::MAX);
    RETRY_MS
        .saturating_mul(place.saturating_add(1))
        .min(LONGEST_RETRY_MS)
}

/// Whether to ask a peer if the configuration is current.
#[must_use]
pub(crate) fn asks(standing: &Standing) -> bool {
    let patient_ms = match standing.place {
        // One that confirms is as old as its wait just before the store's answer comes.
        0 => CONFIRM_WAIT_MS + QUERY_INTERVAL_MS,
        _ => ASK_AGE_MS,
    };
    standing.is_outdated || (standing.age_ms).is_none_or(|age_ms| age_ms >= patient_ms)
}

#[cfg(test)]
mod tests;
