//! Starts a gateway node's parts and ends them in order.

use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use metrics_exporter_prometheus::PrometheusBuilder;
use miette::Diagnostic;
use rand::Rng;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio_util::sync::CancellationToken;

use super::state::Gateway;
use super::stopping::Stop;
use super::{announcements, clock, duties, follow, gossip, inbound, info};
use crate::platform::settings::{self, SettingsError};

/// How long channels may take to end once nothing more is answered on them.
const END_TIMEOUT_MS: u64 = 300;

/// Between two looks whether a stopping node may end.
const LOOK_INTERVAL_MS: u64 = 100;

/// Between two looks at the settings file, which may change without a signal.
const SETTINGS_INTERVAL_MS: u64 = 2_000;

/// Upper ends of the buckets of all histograms, in milliseconds.
///
/// Dense between a plain call and the objectives of streams, which lie at 150 to 2,000 ms.
const BUCKETS_MS: [f64; 12] = [
    10.0, 25.0, 50.0, 100.0, 150.0, 250.0, 500.0, 800.0, 1_200.0, 2_000.0, 5_000.0, 10_000.0,
];

/// Why a node cannot start.
#[derive(Debug, Error, Diagnostic)]
pub enum GatewayError {
    /// The settings cannot be used.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Settings(#[from] SettingsError),
    /// An address cannot be listened on.
    #[error("cannot listen on {address}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Why.
        #[source]
        source: io::Error,
    },
    /// The system does not tell of signals.
    #[error("cannot wait for signals")]
    Signals(#[source] io::Error),
    /// Metrics cannot be collected.
    #[error("cannot collect metrics")]
    Metrics(#[from] metrics_exporter_prometheus::BuildError),
}

/// Runs a node until it is told to stop.
///
/// # Errors
///
/// If the settings cannot be used or an address cannot be listened on.
pub async fn run(settings_file: &Path) -> Result<(), GatewayError> {
    // Before all else: until then a signal ends the process.
    let mut terminate = signal(SignalKind::terminate()).map_err(GatewayError::Signals)?;
    let mut hangup = signal(SignalKind::hangup()).map_err(GatewayError::Signals)?;
    let read = settings::read(settings_file)?;
    let metrics = PrometheusBuilder::new()
        .set_buckets(&BUCKETS_MS)?
        .install_recorder()?;
    let callers = listen(read.caller_listen).await?;
    let readiness = listen(read.readiness_listen).await?;
    let directory = listen(read.directory_listen).await?;
    let metrics_listener = listen(read.metrics_listen).await?;
    let datagrams = gossip::listen(read.gossip_listen).await;
    let datagrams = datagrams.map_err(|source| GatewayError::Listen {
        address: read.gossip_listen,
        source,
    })?;
    let (node, messages) = Gateway::new(read, rand::rng().random());
    log::info!(
        event = "started",
        node = node.settings().name.as_str(),
        incarnation = node.incarnation,
        first_start = node.settings().is_first_start;
        "a node started"
    );
    let end = CancellationToken::new();
    for listener in [readiness, directory, metrics_listener] {
        tokio::spawn(info::serve(listener, Arc::clone(&node), metrics.clone()));
    }
    tokio::spawn(gossip::run(Arc::clone(&node), datagrams, messages));
    tokio::spawn(gossip::discover(Arc::clone(&node)));
    tokio::spawn(follow::configuration(Arc::clone(&node)));
    tokio::spawn(follow::confirmations(Arc::clone(&node)));
    tokio::spawn(announcements::follow(Arc::clone(&node)));
    let duties = tokio::spawn(duties::run(Arc::clone(&node)));
    let inbound = tokio::spawn(inbound::serve(callers, Arc::clone(&node), end.clone()));
    let mut looks = tokio::time::interval(Duration::from_millis(SETTINGS_INTERVAL_MS));
    loop {
        tokio::select! {
            _told = terminate.recv() => break,
            _told = hangup.recv() => reload(&node, settings_file),
            _tick = looks.tick() => {
                reload(&node, settings_file);
                note_readiness(&node);
                // What histograms were given piles up until then; where nobody scrapes, a node would
                // lose some 200 MB a day to it.
                metrics.run_upkeep();
            }
        }
    }
    stop(&node, end).await;
    let ended = tokio::time::timeout(Duration::from_millis(END_TIMEOUT_MS), inbound).await;
    if ended.is_err() {
        log::warn!(event = "requests_cut", in_flight = node.in_flight.load(Ordering::Relaxed); "the grace is over");
    }
    duties.abort();
    log::info!(event = "stopped"; "a node stopped");
    Ok(())
}

async fn listen(address: SocketAddr) -> Result<TcpListener, GatewayError> {
    let listener = TcpListener::bind(address).await;
    listener.map_err(|source| GatewayError::Listen { address, source })
}

/// Leaves the directory, answers what comes, and ends when nothing is left or the grace is over.
async fn stop(node: &Gateway, end: CancellationToken) {
    let in_flight = || node.in_flight.load(Ordering::Relaxed);
    log::info!(event = "stopping", in_flight = in_flight(); "this node was told to stop");
    let stop = Stop {
        told_at: clock::now(),
        grace_ms: node.settings().bounds.grace_ms,
    };
    *node.stop.lock() = Some(stop);
    node.stopping.cancel();
    while !stop.is_over(in_flight(), clock::now()) {
        tokio::time::sleep(Duration::from_millis(LOOK_INTERVAL_MS)).await;
    }
    end.cancel();
}

/// Takes in changed settings; wrong ones leave those before in force.
fn reload(node: &Gateway, settings_file: &Path) {
    match settings::read(settings_file) {
        Ok(read) if read == *node.settings() => {}
        Ok(read) => {
            log::info!(event = "settings_reloaded"; "changed settings are in force");
            *node.settings.write() = Arc::new(read);
        }
        Err(error) => {
            log::error!(event = "settings_rejected", error:err = error; "changed settings cannot be used; those before stay");
        }
    }
}

fn note_readiness(node: &Gateway) {
    let is_ready = node.is_ready(clock::now());
    if node.was_ready.swap(is_ready, Ordering::Relaxed) != is_ready {
        log::info!(event = "readiness_changed", is_ready; "whether this node takes requests has changed");
    }
}
