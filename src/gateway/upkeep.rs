//! How a node keeps its view of the upstreams current: by reading the store, or by asking peers.
//!
//! Each read of the store costs, and all nodes share its bandwidth. One node reads for all and hands
//! on what it read; a node that hears nothing asks its peers, and reads the store only if they do not
//! help. At a start of all a few nodes of each failure domain read everything; the others ask them.

use super::confirm;

/// The node that reads announcements for all reads this often.
///
/// An upstream that leaves gets work for up to this long and the way to the peers; the bound is
/// two seconds or more.
const READER_INTERVAL_MS: u64 = 450;

/// A node whose view is older than this asks its peers.
const ASK_AGE_MS: u64 = 800;

/// A node whose view is older than this reads by itself.
pub(crate) const SILENT_READER_MS: u64 = 1_000;

/// Added to that for each node of its failure domain that comes before this one, up to
/// [`NEXT_READERS`].
///
/// Whoever reads tells the others. Without the steps all nodes would read at once whenever the
/// reader falls silent, and go on together for as long as the store is away.
const SILENT_READER_STEP_MS: u64 = 150;

/// Nodes of a failure domain that may come to read in place of the one that fell silent.
///
/// What they read reaches the others. One of those reads only if all of these are gone, which takes
/// it longer to notice.
const NEXT_READERS: usize = 4;

/// Added for all of them, and for each node of the failure domain behind them.
const LATE_READER_MS: u64 = 200;
const LATE_READER_STEP_MS: u64 = 25;

/// Longest such addition beyond the first readers: news of an upstream that leaves must have reached
/// each node within the shortest bound on it, 2 s for a few nodes and 3 s for many.
const LONGEST_LATE_STEPS_MS: u64 = 900;

/// Nodes of a failure domain that read everything from the store at a start.
const START_READERS: usize = 2;

/// A node that could not learn of the others by then reads as if it were alone.
const ALONE_MS: u64 = 1_500;

/// A node that has no view this long after its start reads the store itself, and each node of its
/// failure domain that comes before it adds a step.
const START_PATIENCE_MS: u64 = 2_500;
const START_STEP_MS: u64 = 150;

/// A node to which pages still come waits for the next this long.
const PAGE_PATIENCE_MS: u64 = 1_000;

/// What decides how a node keeps its view current.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Standing {
    /// Since all announcements had been read; none if that never was.
    pub age_ms: Option<u64>,
    /// Whether this node reads for all.
    pub is_reader: bool,
    /// How many nodes of the failure domain come before this one.
    pub place: usize,
    /// How many would if all that are known were heard; none before this node has learned of others.
    pub place_among_known: Option<usize>,
    /// Since the store last failed to answer; none if it answered after that.
    pub failed_ms: Option<u64>,
    /// Since this node started.
    pub running_ms: u64,
    /// Whether a peer told of announcements that this node has missed.
    pub is_behind: bool,
    /// Since the last page of a table came from a peer; none if none has.
    pub page_ms: Option<u64>,
}

/// What to do about the view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Step {
    Nothing,
    AskPeer,
    ReadStore,
}

/// Decides what to do about the view.
#[must_use]
pub(crate) fn next_step(standing: &Standing) -> Step {
    let is_paused =
        (standing.failed_ms).is_some_and(|ago_ms| ago_ms < confirm::pause_ms(standing.place));
    match standing.age_ms {
        None if is_paused => Step::AskPeer,
        None if reads_at_start(standing) => Step::ReadStore,
        None => Step::AskPeer,
        Some(age_ms) if standing.is_reader && !is_paused && age_ms >= READER_INTERVAL_MS => {
            Step::ReadStore
        }
        Some(age_ms) if !is_paused && age_ms >= patience_ms(standing.place) => Step::ReadStore,
        Some(_) if standing.is_behind => Step::AskPeer,
        Some(age_ms) if age_ms >= ASK_AGE_MS => Step::AskPeer,
        Some(_) => Step::Nothing,
    }
}

/// Whether a node that has no view yet reads everything from the store.
fn reads_at_start(standing: &Standing) -> bool {
    if standing
        .page_ms
        .is_some_and(|ago_ms| ago_ms < PAGE_PATIENCE_MS)
    {
        return false;
    }
    match standing.place_among_known {
        Some(place) if place < START_READERS => true,
        Some(place) => {
            let place = u64::try_from(place).unwrap_or(u64::MAX);
            let steps_ms = place.saturating_mul(START_STEP_MS);
            standing.running_ms >= START_PATIENCE_MS.saturating_add(steps_ms)
        }
        None => standing.running_ms >= ALONE_MS,
    }
}

/// How old the view may become before a node reads the store, by the number of nodes of its failure
/// domain that come before it.
#[must_use]
pub(crate) fn patience_ms(place: usize) -> u64 {
    let count = |places: usize| u64::try_from(places).unwrap_or(u64::MAX);
    let early_ms = SILENT_READER_MS + count(place.min(NEXT_READERS)) * SILENT_READER_STEP_MS;
    match place.checked_sub(NEXT_READERS) {
        None => early_ms,
        Some(behind) => {
            let steps_ms = count(behind).saturating_mul(LATE_READER_STEP_MS);
            early_ms + LATE_READER_MS + steps_ms.min(LONGEST_LATE_STEPS_MS)
        }
    }
}

#[cfg(test)]
mod tests;
