//! Checked settings of one gateway node.

use std::net::SocketAddr;

/// What one node is told of itself and of its surroundings.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct NodeSettings {
    /// Names the node; unique among the nodes of the installation.
    pub name: String,
    pub failure_domain: String,
    pub region: String,
    /// Each failure domain with its region, sorted by domain.
    pub domain_regions: Vec<(String, String)>,
    /// Callers connect here.
    pub caller_listen: SocketAddr,
    /// The platform asks here whether the node is ready.
    pub readiness_listen: SocketAddr,
    /// Callers ask here where to connect.
    pub directory_listen: SocketAddr,
    /// Other nodes send datagrams here.
    pub gossip_listen: SocketAddr,
    /// Metrics are served here.
    pub metrics_listen: SocketAddr,
    /// Cores that this node may use.
    pub processor_cores: f64,
    /// What the host's link carries.
    pub link_mbps: f64,
    /// Whether the whole installation starts for the first time.
    pub is_first_start: bool,
    pub store_address: SocketAddr,
    pub cloud_address: Option<SocketAddr>,
    pub bounds: Bounds,
}

/// Processor time that one request takes, about: a request with 30 events costs some 3 ms on the
/// smaller hosts (0.008 cores at 7 requests a second).
const REQUEST_CORE_S: f64 = 0.003;

/// What one request moves over a host's link, about: 17 KB in and out again, and its events.
const REQUEST_MEGABITS: f64 = 0.3;

impl NodeSettings {
    /// Requests a second that the host can bear, at a guess; compares hosts with each other.
    pub fn capacity_per_s(&self) -> f64 {
        let by_processor = self.processor_cores / REQUEST_CORE_S;
        let by_link = self.link_mbps / REQUEST_MEGABITS;
        by_processor.min(by_link)
    }
}

/// The window over which limits are judged, and by how much they may be exceeded there.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct LimitWindow {
    pub window_ms: u64,
    /// As a part of what may be used in a window.
    pub overshoot: f64,
    /// In units of the limit, beside that.
    pub slack: f64,
}

/// The bounds that the operators hold the system to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Bounds {
    /// An upstream that leaves gets nothing new later than this after the store has said so.
    pub drain_ms: u64,
    /// Between the request to stop and the kill.
    pub grace_ms: u64,
    /// A key that was taken away works no longer than this.
    pub revoke_ms: u64,
    /// Repeats that each request of a pool pays for.
    pub retry_ratio: f64,
    /// Repeats are counted over this window.
    pub retry_window_ms: u64,
    /// Repeats of a window beyond those that requests pay for, over all nodes.
    pub retry_slack: f64,
    /// Part of a pool's requests that a bad version may get while it is rolled out.
    pub exposure_share: f64,
    /// How teams' limits are judged, if the operators say it.
    pub limit_window: Option<LimitWindow>,
    /// A lease is valid this long after its holder asked for it.
    pub lease_ms: u64,
    /// Length of a window of usage.
    pub usage_window_ms: u64,
    /// Usage is due this long after its window's end.
    pub usage_late_ms: u64,
    /// Callers keep an answer of the directory at most this long.
    pub directory_ttl_max_ms: u64,
    /// A host is in contact again this long after a disturbance.
    pub contact_ms: u64,
}
