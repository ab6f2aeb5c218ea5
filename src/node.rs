//! Assembles the components of one node and runs them.

mod assemble;
mod audit;
pub mod change;
mod claims;
mod collect_configuration;
mod collect_hosts;
mod collect_load;
pub mod dependencies;
pub mod directory;
mod handler;
pub mod hosts;
mod lateness;
pub mod messages;
pub mod placement_control;
mod run;
mod stream_moves;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use parking_lot::Mutex;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::sync::Notify;

pub use dependencies::{NodeDependencies, NodePeers};
pub use directory::Directory;
use hosts::HostTracker;
use placement_control::PlacementState;
pub use run::{RunError, RunningNode, run, start};

use crate::audit::Recorder;
use crate::coordination::budget::AppendBudget;
use crate::coordination::claims::Claimer;
use crate::coordination::cloud::HttpCloud;
use crate::coordination::configuration::ConfigurationClient;
use crate::coordination::leases::Leases;
use crate::coordination::log::HttpLog;
use crate::coordination::weight_store::HttpWeightStore;
use crate::document::Document;
use crate::keys::Incarnation;
use crate::options::Secret;
use crate::peers::FleetKey;
use crate::requests::core::Phase;
use crate::requests::{Core, RequestId, TeamTag};
use crate::time::TimeMs;

/// Log outage after which operators are informed.
///
/// A long poll of the log can take up to half of this time without a fault.
const LOG_OUTAGE_THRESHOLD_MS: u64 = 15_000;

/// Parses and validates a document's text; `None` if it has faults.
pub type CheckDocument = fn(&str) -> Option<Document>;

/// The components of one running node.
#[derive(Debug)]
pub struct Node {
    /// The request core.
    pub core: Arc<Core<NodeDependencies>>,
    /// The known nodes of the fleet.
    pub directory: Arc<Directory>,
    /// The configuration, as received from the log and from peers.
    pub configuration: Arc<ConfigurationClient<HttpLog, CheckDocument>>,
    /// The platform's log.
    pub log: Arc<HttpLog>,
    /// Rate limit of this node's appends to the log, shared by all its writers.
    pub budget: Arc<AppendBudget>,
    /// Claims callers' idempotency keys.
    pub claimer: Claimer<HttpLog>,
    /// Writes entries to the audit trail.
    pub audit: Recorder,
    /// The platform's host list and cloud API.
    pub cloud: Arc<HttpCloud>,
    /// Termination notices and removals of hosts that the platform has reported.
    pub hosts: Mutex<HostTracker>,
    /// The weight store.
    pub weights: Arc<HttpWeightStore>,
    /// The leases; placement acquires one for each failure domain.
    pub leases: Arc<Leases>,
    /// Input for the placement of hosts and models.
    pub placement: Mutex<PlacementState>,
    /// Notified when a new revision of the document is in force.
    pub revision_changed: Notify,
    /// Notified when a new termination notice arrives.
    pub notices_changed: Notify,
    /// Notified when a node joins, leaves or is suspected.
    pub members_changed: Notify,
    /// Number of callers to whom this node is sending an answer.
    pub callers: AtomicUsize,
    /// The fleet's key.
    pub key: FleetKey,
    /// The fleet's secret, which authorizes the change that applies the first document.
    pub fleet_secret: Secret,
    /// The name of this node in its settings.
    pub name: String,
    /// Renders the metrics.
    pub metrics: metrics_exporter_prometheus::PrometheusHandle,
}

/// Counts one caller to whom this node is sending an answer, until it is dropped.
///
/// A graceful shutdown waits until no guard is left; otherwise it would truncate answers.
#[derive(Debug)]
pub struct CallerGuard(Arc<Node>);

impl Drop for CallerGuard {
    fn drop(&mut self) {
        self.0.callers.fetch_sub(1, Ordering::AcqRel);
    }
}

impl Node {
    /// Counts a caller until the returned guard is dropped.
    #[must_use]
    pub fn track_caller(self: &Arc<Self>) -> CallerGuard {
        self.callers.fetch_add(1, Ordering::AcqRel);
        CallerGuard(Arc::clone(self))
    }

    /// Returns the addresses that callers should use, best first.
    #[must_use]
    pub fn entries(&self) -> Vec<SocketAddr> {
        self.directory
            .entries(self.core.clock.now(), &mut SmallRng::from_os_rng())
    }

    /// Returns how long the log has been unavailable, if it is longer than the threshold.
    #[must_use]
    pub fn log_silent_ms(&self, now: TimeMs) -> Option<u64> {
        self.configuration
            .fold()
            .staleness_ms(now)
            .filter(|stale_ms| *stale_ms > LOG_OUTAGE_THRESHOLD_MS)
    }

    /// Returns the name of a node, or its incarnation if the node is no longer known.
    #[must_use]
    pub fn name_of(&self, node: Incarnation) -> String {
        let member = self.directory.get(node);
        member.map_or_else(|| node.to_string(), |member| member.name)
    }

    /// Number of callers to whom this node is sending an answer.
    #[must_use]
    pub fn open_callers(&self) -> usize {
        self.callers.load(Ordering::Relaxed)
    }

    /// Creates a request id whose home is this node, or another live node if this one is leaving.
    #[must_use]
    pub fn mint_here(&self, team: &str) -> RequestId {
        let home = match self.core.phase() {
            Phase::Serving => self.core.own,
            Phase::Leaving | Phase::Left => self.directory.any_live_peer().unwrap_or(self.core.own),
        };
        let witness = self.directory.witness(home).unwrap_or(home);
        self.core
            .mint(home, witness, TeamTag::of(team), self.core.clock.now())
    }
}
