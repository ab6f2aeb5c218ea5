//! Constructs the components of a node.

use std::sync::{Arc, OnceLock};

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use parking_lot::Mutex;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::sync::Notify;

use super::dependencies::{NodeDependencies, NodePeers};
use super::{CheckDocument, Directory, Node};
use crate::audit::{self, Recorder, RecorderTask};
use crate::blackboard::Blackboard;
use crate::coordination::budget::AppendBudget;
use crate::coordination::claims::Claimer;
use crate::coordination::cloud::HttpCloud;
use crate::coordination::configuration::{ConfigurationClient, ConfigurationTask};
use crate::coordination::http::JsonClient;
use crate::coordination::leases::{Leases, LeasesTask};
use crate::coordination::log::HttpLog;
use crate::coordination::weight_store::HttpWeightStore;
use crate::coordination::writer::Appender;
use crate::document::Document;
use crate::keys::Incarnation;
use crate::options::ServeSettings;
use crate::peers::{Connections, FleetKey};
use crate::requests::Core;
use crate::requests::core::Parts;
use crate::requests::id::IdKey;
use crate::requests::suspects;
use crate::time::Clock;
use crate::upstreams::{CallTimeouts, EngineClient, ServiceClient};

/// Log appends per second that one node may make.
///
/// The claims of the whole fleet need 80 appends per second, and one node may have to make them
/// all.
const APPENDS_PER_SECOND: f64 = 100.0;

/// Log appends that one node may make in a burst.
const APPENDS_BURST: f64 = 100.0;

/// Tasks that write to the log; constructed together with the node.
pub(super) struct LogTasks {
    pub(super) configuration: ConfigurationTask<HttpLog, CheckDocument>,
    pub(super) audit: RecorderTask<HttpLog>,
    pub(super) leases: LeasesTask<HttpLog>,
}

/// Constructs a node and its tasks that write to the log.
pub(super) fn assemble(
    settings: &ServeSettings,
    own: Incarnation,
    clock: Clock,
    key: &FleetKey,
    directory: &Arc<Directory>,
    rng: &mut SmallRng,
) -> (Node, LogTasks) {
    let connections = Connections::new(key.clone(), own).with_clock(clock);
    let core = Core::<NodeDependencies>::new(Parts {
        own,
        clock,
        blackboard: Arc::new(Blackboard::default()),
        engines: EngineClient::new(CallTimeouts::default()),
        services: ServiceClient::new(CallTimeouts::default()),
        peers: Arc::new(NodePeers::new(connections, Arc::clone(directory))),
        id_key: IdKey::derive(settings.fleet_key.expose_bytes()),
        fleet_seed: suspects::fleet_seed(settings.fleet_key.expose_bytes()),
    });
    let check: CheckDocument = |text| Document::parse(text).ok();
    let log = Arc::new(HttpLog::new(JsonClient::new(settings.log_url.clone())));
    let budget = Arc::new(AppendBudget::new(
        APPENDS_PER_SECOND,
        APPENDS_BURST,
        clock.now(),
    ));
    let (configuration, configuration_task) = ConfigurationClient::new(
        Arc::clone(&log),
        own,
        clock,
        Arc::clone(&budget),
        settings.log_retention_ms,
        check,
        SmallRng::from_rng(rng),
    );
    let appender = Appender::new(
        Arc::clone(&log),
        audit::STREAM,
        format!("{own}/audit"),
        clock,
        SmallRng::from_rng(rng),
    );
    let (audit, audit_task) = Recorder::new(own, appender, Arc::clone(&budget));
    let claimer = Claimer::new(
        Arc::clone(&log),
        own,
        clock,
        Arc::clone(&budget),
        SmallRng::from_rng(rng),
    );
    let (leases, leases_task) = Leases::new(
        Arc::clone(&log),
        own,
        clock,
        Arc::clone(&budget),
        SmallRng::from_rng(rng),
    );
    let node = Node {
        core: Arc::new(core),
        directory: Arc::clone(directory),
        configuration,
        log,
        budget,
        audit,
        claimer: claimer.retention_ms(settings.log_retention_ms.unwrap_or_default()),
        cloud: Arc::new(HttpCloud::new(JsonClient::new(settings.cloud_url.clone()))),
        weights: Arc::new(HttpWeightStore::new(JsonClient::new(
            settings.weights_url.clone(),
        ))),
        leases,
        placement: Mutex::default(),
        hosts: Mutex::default(),
        revision_changed: Notify::new(),
        notices_changed: Notify::new(),
        members_changed: Notify::new(),
        callers: std::sync::atomic::AtomicUsize::new(0),
        key: key.clone(),
        fleet_secret: settings.fleet_key.clone(),
        name: settings.name.clone(),
        metrics: metrics(),
    };
    let tasks = LogTasks {
        configuration: configuration_task,
        audit: audit_task,
        leases: leases_task,
    };
    (node, tasks)
}

/// Returns the process's metrics recorder, which all nodes in the process share.
fn metrics() -> PrometheusHandle {
    static HANDLE: OnceLock<PrometheusHandle> = OnceLock::new();
    let install = || {
        let recorder = PrometheusBuilder::new().build_recorder();
        let handle = recorder.handle();
        // A program that embeds the node may have installed another recorder.
        if metrics::set_global_recorder(recorder).is_err() {
            log::info!(
                "a metrics recorder is already installed; this node's recorder stays unused"
            );
        }
        handle
    };
    HANDLE.get_or_init(install).clone()
}
