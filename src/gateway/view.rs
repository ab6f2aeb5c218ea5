//! How current this node's view of the upstreams is.

use super::snapshot::Assembly;
use crate::time::TimeMs;

/// How current the view of upstreams is, and what is being done to bring it up to date.
#[derive(Clone, Debug, Default)]
pub(crate) struct UpstreamsView {
    /// Up to where the announcements have been read; zero if never.
    pub end: u64,
    /// When there was nothing beyond that.
    pub read_at: TimeMs,
    /// The furthest that a peer said it has read.
    pub known_end: u64,
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

    /// Takes in that the announcements have been read up to an offset.
    pub fn reached(&mut self, end: u64, read_at: TimeMs) {
        self.end = self.end.max(end);
        self.read_at = self.read_at.max(read_at);
        self.known_end = self.known_end.max(self.end);
    }

    /// Takes in that the whole table has been read, as it was at an offset.
    ///
    /// It may be older than what peers have told meanwhile, which it has replaced: without reading
    /// on from its own end, an upstream that left in between would get work again.
    pub fn replaced(&mut self, end: u64, read_at: TimeMs) {
        self.end = end;
        self.read_at = read_at;
        self.known_end = self.known_end.max(end);
        self.assembly = Assembly::default();
    }

    /// When this node last read all that there is; none if it never did.
    pub fn age_ms(&self, now: TimeMs) -> Option<u64> {
        self.is_known().then(|| now.since(self.read_at))
    }
}
