//! Queries over all upstreams of the table or of one pool.

use super::{Announcement, Upstream, UpstreamKey, UpstreamTable, tag};
use crate::gateway::streams::VersionTag;
use crate::time::TimeMs;

impl UpstreamTable {
    /// Returns the number of a pool's upstreams that accept requests.
    pub fn accepting_count(&self, pool: &str, now: TimeMs) -> usize {
        self.accepting(pool, now).count()
    }

    /// Iterates over a pool's upstreams that accept requests.
    pub fn accepting(
        &self,
        pool: &str,
        now: TimeMs,
    ) -> impl Iterator<Item = (UpstreamKey, &Upstream)> {
        self.iter().filter(move |(_key, upstream)| {
            upstream.announcement.pool == pool && upstream.accepts_requests(now)
        })
    }

    /// Returns the versions of a pool's starts that are known or have departed within `span_ms`, sorted.
    pub fn recent_versions(&self, pool: &str, span_ms: u64, now: TimeMs) -> Vec<VersionTag> {
        let known = (self.iter())
            .filter(|(_key, upstream)| upstream.announcement.pool == pool)
            .map(|(_key, upstream)| upstream.version());
        let departed = self.departed.versions(tag(pool), span_ms, now);
        let mut versions: Vec<VersionTag> = known.chain(departed).collect();
        versions.sort_unstable();
        versions.dedup();
        versions
    }

    /// Returns the announcements of all present upstreams, sorted by id.
    pub fn announcements_by_id(&self) -> impl Iterator<Item = &Announcement> {
        (self.by_id.iter())
            .filter_map(|(_id, key)| self.get(*key))
            .filter(|upstream| !upstream.is_removed)
            .map(|upstream| &upstream.announcement)
    }

    /// Whether an announcement lacks a start time although most of its pool announce one.
    ///
    /// Other writers may leave such a record under any key. Upstreams of one pool run the same
    /// software, so the majority of the pool's other announcements decides whether a start time is
    /// required; a single odd record cannot change that.
    pub fn lacks_start_time(&self, announced: &Announcement) -> bool {
        // Scanning thousands of upstreams for each announcement would use all of a small host's
        // CPU.
        if announced.born_ms.is_some() || self.start_time_count == 0 {
            return false;
        }
        let mut pool_size = 0;
        let mut start_times = 0;
        for (_key, upstream) in self.iter() {
            let is_other = upstream.announcement.id != announced.id;
            if is_other && !upstream.is_removed && upstream.announcement.pool == announced.pool {
                pool_size += 1;
                start_times += u32::from(upstream.announcement.born_ms.is_some());
            }
        }
        start_times * 2 > pool_size
    }
}
