//! Decides how a node refreshes its view of the upstreams: by reading the store or by asking peers.
//!
//! Reads of the store cost, and all nodes share its bandwidth. One node, the reader, reads for all
//! and distributes the changes. A node that hears nothing asks its peers, and reads the store only
//! if they do not help. When all nodes start at once, a few nodes of each failure domain read
//! everything and the others ask these.

use super::confirmation;

/// Interval at which the reader reads announcements for all nodes.
///
/// A draining upstream gets requests for up to this long plus the delay to the peers; the bound is
/// two seconds or more.
const READER_INTERVAL_MS: u64 = 450;

/// Age of the view beyond which a node asks its peers.
const ASK_PEER_AGE_MS: u64 = 800;

/// Age of the view beyond which the first node of a failure domain reads the store itself.
pub(crate) const SELF_READ_AGE_MS: u64 = 1_000;

/// Added to [`SELF_READ_AGE_MS`] for each node of the failure domain that precedes this one, up to
/// [`STANDBY_READERS`].
///
/// A node that reads distributes the changes. Without the steps, all nodes would read at once when
/// the reader fails, and would keep doing so for as long as the store is unavailable.
const STANDBY_STEP_MS: u64 = 150;

/// Standby readers of a failure domain, which take over first if the reader fails.
///
/// Their reads reach the other nodes. A node behind them reads only if all of them have failed,
/// which takes longer to detect.
const STANDBY_READERS: usize = 4;

/// Added to the age for a node behind the standby readers: once, and for each node between them and
/// it.
const LATE_TAKEOVER_MS: u64 = 200;
const LATE_TAKEOVER_STEP_MS: u64 = 25;

/// Cap on the sum of these steps: the announcement that an upstream drains must reach each node
/// within the shortest bound on it, 2 s for a few nodes and 3 s for many.
const MAX_LATE_STEPS_MS: u64 = 900;

/// Nodes of a failure domain that read everything from the store when all nodes start.
pub(crate) const START_READERS: usize = 2;

/// Uptime after which a node that has not learned of any peers reads as if it were alone.
const NO_PEERS_UPTIME_MS: u64 = 1_500;

/// Uptime after which a node without a view reads the store itself; each node of its failure domain
/// that precedes it adds a step.
const START_READ_UPTIME_MS: u64 = 2_500;
const START_STEP_MS: u64 = 150;

/// Time since the last page of a peer's table within which the next page is still expected.
const PAGE_TIMEOUT_MS: u64 = 1_000;

/// State that decides how a node refreshes its view.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ViewState {
    /// Age of the view, since the last complete read; `None` if there was none.
    pub age_ms: Option<u64>,
    /// Whether this node is the reader for all nodes.
    pub is_reader: bool,
    /// Number of live nodes of the failure domain that precede this one.
    pub rank: usize,
    /// Number of known nodes of the failure domain that precede this one; `None` before this node
    /// has learned of others.
    pub rank_among_known: Option<usize>,
    /// Time since the store last failed to answer; `None` if it has answered since.
    pub failed_ms: Option<u64>,
    /// Uptime of this node.
    pub running_ms: u64,
    /// Whether a peer reported announcements that this node has missed.
    pub is_behind: bool,
    /// Time since the last page of a table came from a peer; `None` if none has.
    pub last_page_ms: Option<u64>,
}

/// Action that refreshes the view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Step {
    Nothing,
    AskPeer,
    ReadStore,
}

/// Returns the action that refreshes the view, if one is due.
#[must_use]
pub(crate) fn next_step(standing: &ViewState) -> Step {
    let is_paused = (standing.failed_ms)
        .is_some_and(|ago_ms| ago_ms < confirmation::retry_delay_ms(standing.rank));
    match standing.age_ms {
        None if is_paused => Step::AskPeer,
        None if reads_at_start(standing) => Step::ReadStore,
        None => Step::AskPeer,
        Some(age_ms) if standing.is_reader && !is_paused && age_ms >= READER_INTERVAL_MS => {
            Step::ReadStore
        }
        Some(age_ms) if !is_paused && age_ms >= max_view_age_ms(standing.rank) => Step::ReadStore,
        Some(_) if standing.is_behind => Step::AskPeer,
        Some(age_ms) if age_ms >= ASK_PEER_AGE_MS => Step::AskPeer,
        Some(_) => Step::Nothing,
    }
}

/// Whether a node without a view reads everything from the store.
fn reads_at_start(standing: &ViewState) -> bool {
    if standing
        .last_page_ms
        .is_some_and(|ago_ms| ago_ms < PAGE_TIMEOUT_MS)
    {
        return false;
    }
    match standing.rank_among_known {
        Some(place) if place < START_READERS => true,
        Some(place) => {
            let place = u64::try_from(place).unwrap_or(u64::MAX);
            let steps_ms = place.saturating_mul(START_STEP_MS);
            standing.running_ms >= START_READ_UPTIME_MS.saturating_add(steps_ms)
        }
        None => standing.running_ms >= NO_PEERS_UPTIME_MS,
    }
}

/// Returns the age in milliseconds beyond which a node reads the store; `rank` is the number of
/// nodes of its failure domain that precede it.
#[must_use]
pub(crate) fn max_view_age_ms(place: usize) -> u64 {
    let count = |places: usize| u64::try_from(places).unwrap_or(u64::MAX);
    let standby_ms = SELF_READ_AGE_MS + count(place.min(STANDBY_READERS)) * STANDBY_STEP_MS;
    match place.checked_sub(STANDBY_READERS) {
        None => standby_ms,
        Some(behind) => {
            let steps_ms = count(behind).saturating_mul(LATE_TAKEOVER_STEP_MS);
            standby_ms + LATE_TAKEOVER_MS + steps_ms.min(MAX_LATE_STEPS_MS)
        }
    }
}

#[cfg(test)]
mod tests;
