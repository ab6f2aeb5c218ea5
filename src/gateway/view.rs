//! Tracks how current this node's table of upstreams is.

use super::log_position::LogPosition;
use super::messages::UpstreamChanges;
use super::snapshot::SnapshotAssembler;
use crate::time::TimeMs;

/// Maximum number of messages buffered behind a gap: some seconds' worth.
const MAX_PENDING_MESSAGES: usize = 64;

/// How current the table of upstreams is, and the state of its synchronisation.
#[derive(Clone, Debug, Default)]
pub(crate) struct UpstreamsView {
    /// Position up to which the announcements have been read; the start of an era if none have
    /// been.
    pub end: LogPosition,
    /// When no announcements existed beyond `end`; zero if never known.
    pub read_at: TimeMs,
    /// The highest position that a peer has read.
    pub known_end: LogPosition,
    /// Whether the table may contain changes beyond `end`, as a table read in pages does.
    ///
    /// Such changes have no effect here when they are read again, but must still be sent to peers.
    /// Otherwise an upstream that leaves would keep getting requests there.
    pub is_ahead: bool,
    /// Messages behind a gap, sorted by start position; applied once the gap is filled.
    pub pending: Vec<UpstreamChanges>,
    /// Pages of the snapshot transfer in progress.
    pub assembler: SnapshotAssembler,
    /// When the last page arrived; zero if none did.
    pub last_page_at: TimeMs,
    /// When the first table was known completely; zero if none was.
    pub first_known_at: TimeMs,
    /// Since when no change can have been missed; zero if none was since the first table.
    pub complete_since: TimeMs,
    /// Position from which on no change can have been missed.
    pub complete_from: LogPosition,
    /// Whether this node has read the list of nodes from the store.
    pub knows_nodes: bool,
}

impl UpstreamsView {
    /// Whether the announcements have ever been read.
    pub fn is_known(&self) -> bool {
        self.read_at > TimeMs(0)
    }

    /// Whether a peer has read announcements that this node has not.
    pub fn is_behind(&self) -> bool {
        self.known_end > self.end
    }

    /// Resets the position after the store was restored from a backup: nothing of the new history
    /// has been read.
    pub fn enter_era(&mut self, era: u64) {
        if era > self.end.era {
            self.end = LogPosition::start_of(era);
            self.known_end = self.known_end.max(self.end);
            self.pending.clear();
            self.assembler = SnapshotAssembler::default();
        }
    }

    /// Records that changes before a position may have been missed, which this node has reached by now.
    fn note_gap(&mut self, end: LogPosition, now: TimeMs) {
        if self.is_known() {
            self.complete_since = now;
        } else {
            self.first_known_at = now;
        }
        self.complete_from = end;
    }

    /// Records that the announcements have been read up to a position.
    pub fn advance_to(&mut self, end: LogPosition, read_at: TimeMs) {
        self.end = self.end.max(end);
        self.read_at = self.read_at.max(read_at);
        self.known_end = self.known_end.max(self.end);
    }

    /// Records that the table was replaced by a snapshot taken at a position.
    ///
    /// The snapshot may be older than changes that peers sent in the meantime and that it
    /// overwrote. Unless reading resumes at its own position, an upstream that left in between
    /// would get requests again.
    pub fn note_snapshot(&mut self, end: LogPosition, read_at: TimeMs, now: TimeMs) {
        if end.era < self.end.era {
            return;
        }
        self.note_gap(end, now);
        self.end = end;
        self.read_at = read_at;
        self.known_end = self.known_end.max(end);
        self.assembler = SnapshotAssembler::default();
        self.is_ahead = true;
    }

    /// Buffers a message until the gap before it is filled.
    ///
    /// While thousands of upstreams come and go, one lost datagram would otherwise make a node
    /// discard all later messages and request them again, on a link that is already saturated.
    pub fn buffer(&mut self, news: UpstreamChanges) {
        let index = self
            .pending
            .partition_point(|buffered| buffered.from < news.from);
        let is_buffered = self
            .pending
            .get(index)
            .is_some_and(|buffered| buffered.from == news.from);
        if !is_buffered && self.pending.len() < MAX_PENDING_MESSAGES {
            self.pending.insert(index, news);
        }
    }

    /// Removes and returns the buffered message that follows `end`, if there is one.
    pub fn next_pending(&mut self) -> Option<UpstreamChanges> {
        let end = self.end;
        self.pending.retain(|buffered| buffered.to > end);
        let first = self.pending.first()?;
        (first.from <= end).then(|| self.pending.remove(0))
    }

    /// Returns the end of the gap in front of the buffered messages; `None` if none are buffered.
    pub fn gap_end(&self) -> Option<LogPosition> {
        self.pending.first().map(|buffered| buffered.from)
    }

    /// Returns the time since this node last read all announcements; `None` if it never did.
    pub fn age_ms(&self, now: TimeMs) -> Option<u64> {
        self.is_known().then(|| now.since(self.read_at))
    }
}

#[cfg(test)]
mod tests;
