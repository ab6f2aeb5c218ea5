//! Wires the parts of one node together and runs it.

mod assemble;
mod audit;
pub mod change;
mod claims;
mod collect_configuration;
mod collect_hosts;
mod collect_load;
pub mod directory;
mod handler;
pub mod hosts;
pub mod links;
pub mod messages;
mod moves;
pub mod placement_control;
mod run;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use parking_lot::Mutex;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::sync::Notify;

pub use directory::Directory;
use hosts::HostBook;
pub use links::{NodeLinks, NodePeers};
use placement_control::PlacementBook;
pub use run::{RunError, Started, run, start};

use crate::audit::Recorder;
use crate::coordination::budget::AppendBudget;
use crate::coordination::claims::Claimer;
use crate::coordination::cloud::HttpCloud;
use crate::coordination::configuration::ConfigurationClient;
use crate::coordination::leases::Leases;
use crate::coordination::log::HttpLog;
use crate::coordination::weights::HttpWeightStore;
use crate::document::Document;
use crate::keys::Incarnation;
use crate::options::Secret;
use crate::peers::FleetKey;
use crate::requests::core::Phase;
use crate::requests::{Core, RequestId, TeamTag};
use crate::time::TimeMs;

/// Silence of the log that operators are told about; a long poll may rightly last half of it.
const LOG_SILENT_MS: u64 = 15_000;

/// Checks a document's text, for the configuration's fold.
pub type CheckDocument = fn(&str) -> Option<Document>;

/// The parts of one running node.
#[derive(Debug)]
pub struct Node {
    /// The request core.
    pub core: Arc<Core<NodeLinks>>,
    /// The nodes that this one knows.
    pub directory: Arc<Directory>,
    /// The configuration, as the log and the peers tell it.
    pub configuration: Arc<ConfigurationClient<HttpLog, CheckDocument>>,
    /// The platform's log.
    pub log: Arc<HttpLog>,
    /// How often this node may append to the log, in all its roles.
    pub budget: Arc<AppendBudget>,
    /// Claims callers' idempotency keys.
    pub claimer: Claimer<HttpLog>,
    /// Takes entries of the audit trail.
    pub audit: Recorder,
    /// The platform's host list and cloud API.
    pub cloud: Arc<HttpCloud>,
    /// What the platform said about hosts.
    pub hosts: Mutex<HostBook>,
    /// The weight store.
    pub weights: Arc<HttpWeightStore>,
    /// The leases, of which placement takes one for each failure domain.
    pub leases: Arc<Leases>,
    /// What is known for the placement of hosts and models.
    pub placement: Mutex<PlacementBook>,
    /// Wakes what depends on the document.
    pub revision_changed: Notify,
    /// Wakes what depends on notices.
    pub notices_changed: Notify,
    /// Wakes what depends on which nodes there are.
    pub members_changed: Notify,
    /// Callers whose answers are followed from this node.
    pub callers: AtomicUsize,
    /// The fleet's key.
    pub key: FleetKey,
    /// The fleet's secret, with which the first document is applied.
    pub fleet_secret: Secret,
    /// The name of this node in its settings.
    pub name: String,
    /// Reads the metrics.
    pub metrics: metrics_exporter_prometheus::PrometheusHandle,
}

/// Counts one caller whose answer is followed from this node, while it is held.
///
/// A planned stop waits until none is held: it would cut the answers short otherwise.
#[derive(Debug)]
pub struct OpenCaller(Arc<Node>);

impl Drop for OpenCaller {
    fn drop(&mut self) {
        self.0.callers.fetch_sub(1, Ordering::AcqRel);
    }
}

impl Node {
    /// Counts a caller until the result is dropped.
    #[must_use]
    pub fn open_caller(self: &Arc<Self>) -> OpenCaller {
        self.callers.fetch_add(1, Ordering::AcqRel);
        OpenCaller(Arc::clone(self))
    }

    /// The addresses that callers should use, best first.
    #[must_use]
    pub fn entries(&self) -> Vec<SocketAddr> {
        self.directory
            .entries(self.core.clock.now(), &mut SmallRng::from_os_rng())
    }

    /// For how long the log has been out of reach, if it is.
    #[must_use]
    pub fn log_silent_ms(&self, now: TimeMs) -> Option<u64> {
        self.configuration
            .fold()
            .staleness_ms(now)
            .filter(|stale_ms| *stale_ms > LOG_SILENT_MS)
    }

    /// The name of a node, or its incarnation if it is not known any more.
    #[must_use]
    pub fn name_of(&self, node: Incarnation) -> String {
        let member = self.directory.get(node);
        member.map_or_else(|| node.to_string(), |member| member.name)
    }

    /// Callers whose answers are followed from this node.
    #[must_use]
    pub fn open_callers(&self) -> usize {
        self.callers.load(Ordering::Relaxed)
    }

    /// Mints an id whose home is this node, or another one if this node is leaving.
    #[must_use]
    pub fn mint_here(&self, team: &str) -> RequestId {
        let home = match self.core.phase() {
            Phase::Serving => self.core.own,
            Phase::Leaving | Phase::Left => self.directory.any_live().unwrap_or(self.core.own),
        };
        let witness = self.directory.witness(home).unwrap_or(home);
        self.core
            .mint(home, witness, TeamTag::of(team), self.core.clock.now())
    }
}
