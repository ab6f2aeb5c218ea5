//! Validated settings of one gateway node.

use std::net::SocketAddr;

use super::num;
use crate::resources::HostLimits;

/// The settings of one node and of its installation.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct NodeSettings {
    /// The node's name, unique in the installation.
    pub name: String,
    pub failure_domain: String,
    pub region: String,
    /// Pairs of failure domain and region, sorted by domain.
    pub domain_regions: Vec<(String, String)>,
    /// Address on which callers connect.
    pub caller_listen: SocketAddr,
    /// Address of the readiness endpoint that the platform polls.
    pub readiness_listen: SocketAddr,
    /// Address of the directory, which lists ready nodes to callers.
    pub directory_listen: SocketAddr,
    /// Address on which the node receives datagrams of its peers.
    pub gossip_listen: SocketAddr,
    /// Address of the metrics endpoint.
    pub metrics_listen: SocketAddr,
    /// Processor cores that the node may use.
    pub processor_cores: f64,
    /// Bandwidth of the host's network link.
    pub link_mbps: f64,
    /// What the host allows the process.
    pub host: HostLimits,
    /// Whether this is the first start of the whole installation.
    pub is_first_start: bool,
    pub store_address: SocketAddr,
    pub cloud_address: Option<SocketAddr>,
    pub bounds: Bounds,
}

/// Approximate processor time of one request: a request with 30 events takes some 3 ms on the
/// smaller hosts (0.008 cores at 7 requests a second).
const REQUEST_PROCESSOR_S: f64 = 0.003;

/// Approximate network traffic of one request: 17 KB in and out again, and the events.
const REQUEST_MEGABITS: f64 = 0.3;

impl NodeSettings {
    /// Returns the estimated capacity in requests per second, used only to compare hosts.
    pub fn capacity_per_s(&self) -> f64 {
        let processor_limit_per_s = self.processor_cores / REQUEST_PROCESSOR_S;
        let link_limit_per_s = self.link_mbps / REQUEST_MEGABITS;
        processor_limit_per_s.min(link_limit_per_s)
    }
}

/// The window over which team quotas are evaluated, and the tolerated excess.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct LimitWindow {
    pub window_ms: u64,
    /// Tolerated excess as a fraction of the usage that a window allows.
    pub overshoot: f64,
    /// Additional tolerated excess, in units of the quota.
    pub slack: f64,
}

impl LimitWindow {
    /// Returns the tolerated excess of a window, in units of the quota.
    pub fn tolerance(&self, rate_per_s: f64, burst: f64) -> f64 {
        let window_s = num::to_f64(self.window_ms) / 1_000.0;
        self.overshoot * (rate_per_s * window_s + burst) + self.slack
    }

    /// Returns the most that may be used in a window, tolerance included, in units of the quota.
    pub fn allowance(&self, rate_per_s: f64, burst: f64) -> f64 {
        let window_s = num::to_f64(self.window_ms) / 1_000.0;
        rate_per_s * window_s + burst + self.tolerance(rate_per_s, burst)
    }
}

/// The operators' bounds on the behaviour of the system.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Bounds {
    /// A leaving upstream gets no new requests later than this after the store shows that it leaves.
    pub drain_ms: u64,
    /// Time between the stop signal and the kill.
    pub grace_ms: u64,
    /// A revoked API key is accepted for at most this long.
    pub revoke_ms: u64,
    /// Repeats that each request of a pool adds to the repeat budget.
    pub retry_ratio: f64,
    /// Window over which repeats are counted.
    pub retry_window_ms: u64,
    /// Repeats per window beyond the ratio, over all nodes.
    pub retry_slack: f64,
    /// Fraction of a pool's requests that a faulty version may receive during its rollout.
    pub exposure_share: f64,
    /// How team quotas are evaluated, if the operators specify it.
    pub limit_window: Option<LimitWindow>,
    /// A lease is valid for this long after its holder requested it.
    pub lease_ms: u64,
    /// Length of a usage window.
    pub usage_window_ms: u64,
    /// Usage must be reported within this time after the end of its window.
    pub usage_late_ms: u64,
    /// Upper bound of the lifetime of a directory answer.
    pub directory_ttl_max_ms: u64,
    /// A host must be in contact again within this time after a disturbance.
    pub contact_ms: u64,
}
