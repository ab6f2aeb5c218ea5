//! Settings of the membership protocol.

/// Settings of the membership protocol; they must be equal on all nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Interval between two heartbeats to the same watcher.
    pub interval_ms: u64,
    /// Number of missed heartbeats after which a node is suspected.
    pub suspect_after_intervals: u64,
    /// Time after which a suspected node is marked as gone.
    pub gone_after_ms: u64,
    /// Time after which a gone node is removed from the view.
    ///
    /// Longer than partitions between regions last: nodes that are still in the view are probed, so
    /// that the regions rejoin after the partition.
    pub forget_after_ms: u64,
    /// Mean interval between two comparisons of the own view with that of another node.
    pub sync_interval_ms: u64,
    /// Fleet size up to which every node watches every other node.
    pub full_mesh_max_nodes: usize,
    /// Number of watchers within a node's own failure domain.
    pub same_domain_watchers: usize,
    /// Number of watchers in other failure domains.
    pub other_domain_watchers: usize,
    /// Intervals between heartbeats to nodes of the own domain that are not watchers.
    pub domain_heartbeat_intervals: u64,
    /// Intervals between heartbeats to nodes of the own region in other domains that are not
    /// watchers.
    pub region_heartbeat_intervals: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            interval_ms: 200,
            suspect_after_intervals: 5,
            gone_after_ms: 30_000,
            forget_after_ms: 2 * 60 * 60 * 1_000,
            sync_interval_ms: 5_000,
            full_mesh_max_nodes: 12,
            same_domain_watchers: 3,
            other_domain_watchers: 2,
            domain_heartbeat_intervals: 5,
            region_heartbeat_intervals: 25,
        }
    }
}

impl Settings {
    /// Returns the duration of `intervals` heartbeat intervals, in milliseconds.
    pub(super) fn intervals_ms(&self, intervals: u64) -> u64 {
        self.interval_ms * intervals
    }

    /// Returns the silence after which a node is suspected, in milliseconds.
    pub(super) fn suspect_after_ms(&self) -> u64 {
        self.intervals_ms(self.suspect_after_intervals)
    }
}
