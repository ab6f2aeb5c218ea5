//! How current this node's view of the upstreams is.

use super::peers::UpstreamNews;
use super::place::Place;
use super::snapshot::Assembly;
use crate::time::TimeMs;

/// Most messages that are kept behind a gap: some seconds' worth.
const MOST_PENDING: usize = 64;

/// How current the view of upstreams is, and what is being done to bring it up to date.
#[derive(Clone, Debug, Default)]
pub(crate) struct UpstreamsView {
    /// Up to where the announcements have been read; the start of an era if none of it was.
    pub end: Place,
    /// When there was nothing beyond that.
    pub read_at: TimeMs,
    /// The furthest that a peer said it has read.
    pub known_end: Place,
    /// Whether the table may hold more than its offset says, as one that was read in pages does.
    ///
    /// What this node then reads behind the offset changes nothing for it, but it does for the peers that
    /// it tells: left out, an upstream that leaves would go on getting work there.
    pub is_ahead: bool,
    /// News behind a gap, in the order of its offsets; taken in when the gap is filled.
    pub pending: Vec<UpstreamNews>,
    /// Pages of a table that is being handed over.
    pub assembly: Assembly,
    /// When the last of them came; zero if none did.
    pub page_at: TimeMs,
    /// Whether this node has learned from the store which other nodes there are.
    pub knows_nodes: bool,
}

impl UpstreamsView {
    /// Whether the announcements have ever been read.
    pub fn is_known(&self) -> bool {
        self.read_at > TimeMs(0)
    }

    /// Whether peers have read announcements that this node has not.
    pub fn is_behind(&self) -> bool {
        self.known_end > self.end
    }

    /// Takes in that the store has come back from a copy: nothing of the new history has been read.
    pub fn enter_era(&mut self, era: u64) {
        if era > self.end.era {
            self.end = Place::start_of(era);
            self.known_end = self.known_end.max(self.end);
            self.pending.clear();
            self.assembly = Assembly::default();
        }
    }

    /// Takes in that the announcements have been read up to a place.
    pub fn reached(&mut self, end: Place, read_at: TimeMs) {
        self.end = self.end.max(end);
        self.read_at = self.read_at.max(read_at);
        self.known_end = self.known_end.max(self.end);
    }

    /// Takes in that the whole table has been read, as it was at an offset.
    ///
    /// It may be older than what peers have told meanwhile, which it has replaced: without reading
    /// on from its own end, an upstream that left in between would get work again.
    pub fn replaced(&mut self, end: Place, read_at: TimeMs) {
        if end.era < self.end.era {
            return;
        }
        self.end = end;
        self.read_at = read_at;
        self.known_end = self.known_end.max(end);
        self.assembly = Assembly::default();
        self.is_ahead = true;
    }

    /// Keeps news for when the gap before it is filled.
    ///
    /// While thousands of upstreams come and go, one lost datagram would otherwise make a node pass over
    /// all that follow it and ask for them again, on a link that is full already.
    pub fn keep(&mut self, news: UpstreamNews) {
        let place = self.pending.partition_point(|kept| kept.from < news.from);
        let is_kept = self
            .pending
            .get(place)
            .is_some_and(|kept| kept.from == news.from);
        if !is_kept && self.pending.len() < MOST_PENDING {
            self.pending.insert(place, news);
        }
    }

    /// The news that follows what has been read, if it has been kept.
    pub fn next_kept(&mut self) -> Option<UpstreamNews> {
        let end = self.end;
        self.pending.retain(|kept| kept.to > end);
        let first = self.pending.first()?;
        (first.from <= end).then(|| self.pending.remove(0))
    }

    /// Where the gap ends that news waits behind; none if none does.
    pub fn gap_end(&self) -> Option<Place> {
        self.pending.first().map(|kept| kept.from)
    }

    /// When this node last read all that there is; none if it never did.
    pub fn age_ms(&self, now: TimeMs) -> Option<u64> {
        self.is_known().then(|| now.since(self.read_at))
    }
}

#[cfg(test)]
mod tests;
