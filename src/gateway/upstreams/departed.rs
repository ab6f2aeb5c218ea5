//! What a node keeps of the starts of upstreams that have no entry in the table any more.
//!
//! An announcement may lapse, or be brought back by an older read of the store, while its upstream
//! runs on. What the upstream stated before still holds, and so does what requests showed of it. If
//! both were forgotten with the entry, an upstream that leaves or rests would get requests again
//! from all nodes as soon as its announcement is back.

use super::{Announcement, Phase, Upstream, tag};
use crate::gateway::health::Health;
use crate::gateway::limits::send_gate::SendGate;
use crate::gateway::streams::VersionTag;
use crate::time::TimeMs;

/// How long a departed start is remembered. A store that is restored from a backup some seconds old
/// may hold its announcement again.
const RETENTION_MS: u64 = 60_000;

/// Most starts that are remembered.
const MAX_DEPARTED: usize = 8_192;

/// What is known of a start of an upstream without an entry in the table.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Departed {
    /// Tag of its pool; zero if no announcement was read.
    pool: u64,
    version: VersionTag,
    /// Sequence number of the last announcement; zero if none was read.
    sequence: u64,
    /// Whether the last announcement stated that the upstream leaves.
    pub is_leaving: bool,
    /// Whether the upstream has left; otherwise its announcement expired or was never read.
    pub has_left: bool,
    pub health: Health,
    pub send_gate: SendGate,
}

impl From<&Upstream> for Departed {
    fn from(upstream: &Upstream) -> Self {
        Self {
            pool: tag(&upstream.announcement.pool),
            version: upstream.version(),
            sequence: upstream.announcement.sequence,
            is_leaving: upstream.announcement.phase == Phase::Leaving,
            has_left: upstream.grace_until == TimeMs(0),
            health: upstream.health,
            send_gate: upstream.send_gate,
        }
    }
}

impl Departed {
    /// Whether an announcement of this start was written after the last known one.
    pub fn precedes(&self, announced: &Announcement) -> bool {
        self.sequence < announced.sequence
    }
}

/// The departed starts by tag.
#[derive(Debug, Default)]
pub(super) struct DepartedStarts {
    /// Sorted by tag, with the time of each departure.
    by_tag: Vec<(u64, Departed, TimeMs)>,
}

impl DepartedStarts {
    /// Returns what is known of a start, if it has departed.
    pub fn get(&self, tag: u64) -> Option<&Departed> {
        let index = self.find(tag).ok()?;
        Some(&self.by_tag[index].1)
    }

    /// Iterates over the versions of a pool's starts that have departed within `span_ms`.
    pub fn versions(
        &self,
        pool: u64,
        span_ms: u64,
        now: TimeMs,
    ) -> impl Iterator<Item = VersionTag> {
        (self.by_tag.iter())
            .filter(move |(_tag, departed, at)| departed.pool == pool && now.since(*at) < span_ms)
            .map(|(_tag, departed, _at)| departed.version)
    }

    /// Records a start whose entry was evicted.
    pub fn record(&mut self, tag: u64, departed: Departed, now: TimeMs) {
        self.remove_expired(now);
        match self.find(tag) {
            Ok(index) => self.by_tag[index] = (tag, departed, now),
            Err(index) => self.by_tag.insert(index, (tag, departed, now)),
        }
    }

    /// Records that a start without an entry is leaving.
    pub fn record_leaving(&mut self, tag: u64, now: TimeMs) {
        let mut departed = self.get(tag).copied().unwrap_or_default();
        if departed.send_gate.record_leaving() {
            self.record(tag, departed, now);
        }
    }

    /// Removes a start that has an entry again, and returns what is known of it.
    pub fn take(&mut self, tag: u64) -> Option<Departed> {
        let index = self.find(tag).ok()?;
        Some(self.by_tag.remove(index).1)
    }

    /// Removes the starts whose retention is over, and the oldest one if there are too many.
    fn remove_expired(&mut self, now: TimeMs) {
        (self.by_tag).retain(|(_tag, _departed, at)| now.since(*at) < RETENTION_MS);
        if self.by_tag.len() < MAX_DEPARTED {
            return;
        }
        let departures = self.by_tag.iter().enumerate();
        if let Some((oldest, _departed)) = departures.min_by_key(|(_index, entry)| entry.2) {
            self.by_tag.remove(oldest);
        }
    }

    fn find(&self, tag: u64) -> Result<usize, usize> {
        (self.by_tag).binary_search_by_key(&tag, |(known, _departed, _at)| *known)
    }
}
