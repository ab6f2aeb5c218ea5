//! Makes a node's parts and fits them together.

use std::sync::{Arc, OnceLock};

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use parking_lot::Mutex;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::sync::Notify;

use super::links::{NodeLinks, NodePeers};
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
use crate::coordination::weights::HttpWeightStore;
use crate::coordination::writer::Appender;
use crate::document::Document;
use crate::keys::Incarnation;
use crate::options::ServeSettings;
use crate::peers::{Connections, FleetKey};
use crate::requests::Core;
use crate::requests::core::Parts;
use crate::requests::id::IdKey;
use crate::requests::suspicion;
use crate::time::Clock;
use crate::upstreams::{EngineClient, Patience, ServiceClient};

/// What one node may append to the log.
///
/// All claims of the fleet together need 80 appends a second, which one node alone may have to make.
const APPENDS_PER_SECOND: f64 = 100.0;

/// Appends that a node may make at once.
const APPENDS_BURST: f64 = 100.0;

/// Tasks that write to the log, made together with the node.
pub(super) struct LogTasks {
    pub(super) configuration: ConfigurationTask<HttpLog, CheckDocument>,
    pub(super) audit: RecorderTask<HttpLog>,
    pub(super) leases: LeasesTask<HttpLog>,
}

/// Makes a node and the tasks that write to the log for it.
pub(super) fn assemble(
    settings: &ServeSettings,
    own: Incarnation,
    clock: Clock,
    key: &FleetKey,
    directory: &Arc<Directory>,
    rng: &mut SmallRng,
) -> (Node, LogTasks) {
    let connections = Connections::new(key.clone(), own).with_clock(clock);
    let core = Core::<NodeLinks>::new(Parts {
        own,
        clock,
        blackboard: Arc::new(Blackboard::default()),
        engines: EngineClient::new(Patience::default()),
        services: ServiceClient::new(Patience::default()),
        peers: Arc::new(NodePeers::new(connections, Arc::clone(directory))),
        id_key: IdKey::derive(settings.fleet_key.expose_bytes()),
        fleet_seed: suspicion::fleet_seed(settings.fleet_key.expose_bytes()),
    });
    let check: CheckDocument = |text| Document::parse(text).ok();
    let log = Arc::new(HttpLog::new(JsonClient::new(settings.log_url.clone())));
    let budget = Arc::new(AppendBudget::new(
        APPENDS_PER_SECOND,
        APPENDS_BURST,
        clock.now(),
    ));
    let (configuration, keeping) = ConfigurationClient::new(
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
    let (audit, recording) = Recorder::new(own, appender, Arc::clone(&budget));
    let claimer = Claimer::new(
        Arc::clone(&log),
        own,
        clock,
        Arc::clone(&budget),
        SmallRng::from_rng(rng),
    );
    let (leases, leasing) = Leases::new(
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
        configuration: keeping,
        audit: recording,
        leases: leasing,
    };
    (node, tasks)
}

/// The process's metrics; several nodes in one process share them.
fn metrics() -> PrometheusHandle {
    static HANDLE: OnceLock<PrometheusHandle> = OnceLock::new();
    let install = || {
        let recorder = PrometheusBuilder::new().build_recorder();
        let handle = recorder.handle();
        // Another recorder may have been installed by a program that embeds the node.
        if metrics::set_global_recorder(recorder).is_err() {
            log::info!("the process has a metrics recorder already");
        }
        handle
    };
    HANDLE.get_or_init(install).clone()
}
