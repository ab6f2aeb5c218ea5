//! Times and numbers of the membership protocol.

/// Times and numbers of the membership protocol; they must be the same on all nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Time between two heartbeats to a watcher.
    pub interval_ms: u64,
    /// Heartbeats missed before a node is suspected.
    pub suspect_after: u64,
    /// Time under suspicion after which a node counts as gone.
    pub gone_after_ms: u64,
    /// Time after which a node that is gone is forgotten.
    ///
    /// Longer than regions lose each other, so that they find each other again.
    pub forget_after_ms: u64,
    /// Time between two comparisons of the own view with that of another node.
    pub sync_interval_ms: u64,
    /// Up to this many nodes, all watch all.
    pub full_mesh_up_to: usize,
    /// Watchers within a node's own failure domain.
    pub near_watchers: usize,
    /// Watchers in other failure domains.
    pub far_watchers: usize,
    /// Intervals between heartbeats to nodes of the own domain that are no watchers.
    pub domain_intervals: u64,
    /// Intervals between heartbeats to nodes of the own region in other domains.
    pub region_intervals: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            interval_ms: 200,
            suspect_after: 5,
            gone_after_ms: 30_000,
            forget_after_ms: 2 * 60 * 60 * 1_000,
            sync_interval_ms: 5_000,
            full_mesh_up_to: 12,
            near_watchers: 3,
            far_watchers: 2,
            domain_intervals: 5,
            region_intervals: 25,
        }
    }
}

impl Settings {
    /// Silence of this many intervals.
    pub(super) fn intervals_ms(&self, intervals: u64) -> u64 {
        self.interval_ms * intervals
    }

    /// Silence after which a node is suspected.
    pub(super) fn suspect_after_ms(&self) -> u64 {
        self.intervals_ms(self.suspect_after)
    }
}
