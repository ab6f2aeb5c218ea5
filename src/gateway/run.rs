//! Starts the tasks of a gateway node and stops them in order.

use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::pin::pin;
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

use super::forwarding::server as forwarding_server;
use super::scheduling;
use super::shutdown::Shutdown;
use super::state::Gateway;
use super::streams;
use super::{
    announcements, caller_listener, clock, configuration_sync, crashes, duties, endpoints, gossip,
    reach_probe,
};
use crate::platform::settings::{self, SettingsError};

/// Interval between two checks whether a stopping node may exit.
const STOP_POLL_INTERVAL_MS: u64 = 100;

/// Interval between two checks whether a node exits although connections are open.
const CLOSE_POLL_INTERVAL_MS: u64 = 50;

/// Interval between two reads of the settings file, which may change without a signal.
const SETTINGS_POLL_INTERVAL_MS: u64 = 2_000;

/// Upper bounds of the buckets of all histograms, in milliseconds.
///
/// Dense from the duration of a non-streaming call to the latency objectives of streams, 150 to
/// 2,000 ms.
const HISTOGRAM_BUCKETS_MS: [f64; 12] = [
    10.0, 25.0, 50.0, 100.0, 150.0, 250.0, 500.0, 800.0, 1_200.0, 2_000.0, 5_000.0, 10_000.0,
];

/// The error that prevents a node from starting.
#[derive(Debug, Error, Diagnostic)]
pub enum GatewayError {
    /// The settings are invalid or unreadable.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Settings(#[from] SettingsError),
    /// The node cannot listen on an address.
    #[error("cannot listen on {address}")]
    Listen {
        /// The address to listen on.
        address: SocketAddr,
        /// The error of the operating system.
        #[source]
        source: io::Error,
    },
    /// Signal handlers cannot be installed.
    #[error("cannot install signal handlers")]
    Signals(#[source] io::Error),
    /// The metrics recorder cannot be installed.
    #[error("cannot install the metrics recorder")]
    Metrics(#[from] metrics_exporter_prometheus::BuildError),
}

/// Runs a node until the process receives SIGTERM.
///
/// With `order_when_short`, requests are put in one order while a pool of engines is short of room.
///
/// # Errors
///
/// If the settings are invalid, an address cannot be listened on, or signal handlers or the metrics
/// recorder cannot be installed.
pub async fn run(settings_file: &Path, order_when_short: bool) -> Result<(), GatewayError> {
    // Handlers come first: until they are installed a signal ends the process.
    let mut terminate = signal(SignalKind::terminate()).map_err(GatewayError::Signals)?;
    let mut hangup = signal(SignalKind::hangup()).map_err(GatewayError::Signals)?;
    let read = settings::read(settings_file)?;
    let metrics = PrometheusBuilder::new()
        .set_buckets(&HISTOGRAM_BUCKETS_MS)?
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
    // Peers know this address; datagrams use the same port.
    let forwarded = listen(read.gossip_listen).await?;
    let (node, messages) = Gateway::new(read, rand::rng().random());
    log::info!(
        event = "started",
        node = node.settings().name.as_str(),
        incarnation = node.incarnation,
        first_start = node.settings().is_first_start;
        "the node started"
    );
    let end = CancellationToken::new();
    for listener in [readiness, directory, metrics_listener] {
        tokio::spawn(endpoints::serve(
            listener,
            Arc::clone(&node),
            metrics.clone(),
        ));
    }
    tokio::spawn(gossip::run(Arc::clone(&node), datagrams, messages));
    tokio::spawn(gossip::discover(Arc::clone(&node)));
    tokio::spawn(configuration_sync::sync_configuration(Arc::clone(&node)));
    tokio::spawn(configuration_sync::request_confirmations(Arc::clone(&node)));
    tokio::spawn(announcements::sync_upstreams(Arc::clone(&node)));
    tokio::spawn(streams::read_archive(Arc::clone(&node)));
    tokio::spawn(streams::pass_starts_on(Arc::clone(&node)));
    tokio::spawn(streams::write_starts(Arc::clone(&node)));
    tokio::spawn(crashes::archiving::keep_blocks(Arc::clone(&node)));
    tokio::spawn(reach_probe::run(Arc::clone(&node)));
    if order_when_short {
        node.scheduling.lock().switch_on();
        tokio::spawn(scheduling::gate::run(Arc::clone(&node)));
    }
    let forwarded = tokio::spawn(forwarding_server::serve(
        forwarded,
        Arc::clone(&node),
        end.clone(),
    ));
    let duties = tokio::spawn(duties::run(Arc::clone(&node)));
    let inbound = tokio::spawn(caller_listener::serve(
        callers,
        Arc::clone(&node),
        end.clone(),
    ));
    let mut settings_poll = tokio::time::interval(Duration::from_millis(SETTINGS_POLL_INTERVAL_MS));
    loop {
        tokio::select! {
            _signal = terminate.recv() => break,
            _signal = hangup.recv() => reload(&node, settings_file),
            _tick = settings_poll.tick() => {
                reload(&node, settings_file);
                log_readiness_change(&node);
                // Histogram samples accumulate until the next upkeep; without scrapes a node would
                // use some 200 MB more memory a day.
                metrics.run_upkeep();
            }
        }
    }
    let stop = stop(&node, end).await;
    // Answers for peers' callers are sent whole as well before the process exits.
    let closed = futures::future::join(inbound, forwarded);
    close_connections(&node, stop, closed).await;
    duties.abort();
    log::info!(event = "stopped"; "the node stopped");
    Ok(())
}

async fn listen(address: SocketAddr) -> Result<TcpListener, GatewayError> {
    let listener = TcpListener::bind(address).await;
    listener.map_err(|source| GatewayError::Listen { address, source })
}

/// Withdraws the node from the directory and serves requests until none is left or the grace
/// period ends.
async fn stop(node: &Arc<Gateway>, end: CancellationToken) -> Shutdown {
    let in_flight = || node.in_flight.load(Ordering::Relaxed);
    log::info!(event = "stopping", in_flight = in_flight(); "the node received a stop signal; it serves requests until none is left or the grace period ends");
    let stop = Shutdown {
        requested_at: clock::now(),
        grace_ms: node.settings().bounds.grace_ms,
    };
    *node.stop.lock() = Some(stop);
    node.stopping.cancel();
    tokio::spawn(request_last_answers(Arc::clone(node), stop));
    streams::hand_over(node, clock::now());
    while !stop.is_complete(in_flight(), clock::now()) {
        let wait_ms = STOP_POLL_INTERVAL_MS.min(stop.left_ms(clock::now()));
        tokio::time::sleep(Duration::from_millis(wait_ms)).await;
    }
    end.cancel();
    stop
}

/// Has the requests that are still under way answered shortly before the exit.
async fn request_last_answers(node: Arc<Gateway>, stop: Shutdown) {
    let left_ms = stop.answers_left_ms(clock::now());
    tokio::time::sleep(Duration::from_millis(left_ms)).await;
    let in_flight = node.in_flight.load(Ordering::Relaxed);
    log::info!(event = "last_answers", in_flight; "the node exits soon; callers whose requests are under way are told whether these may have run");
    node.last_answers.cancel();
}

/// Waits until all connections have closed, or the requests on them have ended or the grace period.
async fn close_connections(node: &Gateway, stop: Shutdown, closed: impl Future) {
    let closing_since = clock::now();
    let poll_interval = Duration::from_millis(CLOSE_POLL_INTERVAL_MS);
    let mut closed = pin!(closed);
    while tokio::time::timeout(poll_interval, &mut closed)
        .await
        .is_err()
    {
        let in_flight = node.in_flight.load(Ordering::Relaxed);
        if !stop.ends_connections(in_flight, closing_since, clock::now()) {
            continue;
        }
        if in_flight > 0 {
            log::warn!(event = "requests_cut", in_flight; "the grace period ended; requests in progress are cut off");
        }
        return;
    }
}

/// Applies changed settings; invalid ones are rejected and the previous settings stay in force.
fn reload(node: &Gateway, settings_file: &Path) {
    match settings::read(settings_file) {
        Ok(read) if read == *node.settings() => {}
        Ok(read) => {
            log::info!(event = "settings_reloaded"; "applied changed settings");
            node.callers.set_shares(read.host.callers());
            (node.answer_memory).set_max_unread_bytes(read.host.unread_answers_bytes());
            *node.settings.write() = Arc::new(read);
        }
        Err(error) => {
            log::error!(event = "settings_rejected", error:err = error; "rejected changed settings; the previous ones stay in force");
        }
    }
}

fn log_readiness_change(node: &Gateway) {
    let is_ready = node.is_ready(clock::now());
    if node.was_ready.swap(is_ready, Ordering::Relaxed) != is_ready {
        log::info!(event = "readiness_changed", is_ready; "the readiness of this node changed");
    }
}
