//! Starts a node's tasks and stops them in order.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use miette::Diagnostic;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::net::{TcpListener, UdpSocket};
use tokio::signal::unix::{SignalKind, signal};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::assemble::{LogTasks, assemble};
use super::handler::PeerHandler;
use super::{
    Directory, Node, collect_configuration, collect_hosts, collect_load, placement_control,
    stream_moves,
};
use crate::entry::{self, HttpLimits};
use crate::keys::Incarnation;
use crate::membership::{
    Member, MemberLoad, MemberState, Membership, RowTooLarge, Settings as MembershipSettings, View,
};
use crate::options::ServeSettings;
use crate::peers::{FleetKey, KeyError, Server};
use crate::requests::core::Phase;
use crate::requests::suspects;
use crate::time::Clock;

/// Interval between removals of expired records.
const EXPIRE_INTERVAL_MS: u64 = 5_000;

/// Interval between checks for strikes to report to the peers.
///
/// It is well below the time that a suspect waits for reports of other crashes.
const STRIKE_REPORT_INTERVAL_MS: u64 = 100;

/// Interval between reports of demand to the peers.
const DEMAND_REPORT_INTERVAL_MS: u64 = 250;

/// Time for connections to close after the last message on them.
const CONNECTION_CLOSE_TIMEOUT_MS: u64 = 1_000;

/// How long callers may keep using an address that `/v1/entries` no longer lists.
const ENTRIES_TTL_MS: u64 = 5_000;

/// Why a node cannot start or continue.
#[derive(Debug, thiserror::Error, Diagnostic)]
pub enum RunError {
    /// Binding a listener to an address failed.
    #[error("cannot bind a listener to {address}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The cause.
        #[source]
        source: io::Error,
    },
    /// The fleet key is invalid.
    #[error("the fleet key is invalid")]
    Key(#[from] KeyError),
    /// The node's own membership row does not fit into a datagram.
    #[error(
        "the node's name, failure domain and region exceed the size of a heartbeat datagram; shorten them"
    )]
    Row(#[from] RowTooLarge),
    /// Installing a signal handler failed.
    #[error("cannot install signal handlers")]
    Signals(#[source] io::Error),
}

/// A running node.
#[derive(Debug)]
pub struct RunningNode {
    /// The node's components.
    pub node: Arc<Node>,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Address for connections of peers.
    pub peer_address: SocketAddr,
    /// Address for heartbeats.
    pub heartbeat_address: SocketAddr,
    membership: Arc<Membership>,
    shutdown: CancellationToken,
    callers_shutdown: CancellationToken,
    tasks: TaskTracker,
    drain_timeout_ms: u64,
}

/// Runs a node until a signal requests its stop, then stops it gracefully.
///
/// # Errors
///
/// If the node cannot start.
pub async fn run(settings: ServeSettings) -> Result<(), RunError> {
    let mut terminate = signal(SignalKind::terminate()).map_err(RunError::Signals)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(RunError::Signals)?;
    let started = start(settings).await?;
    log::info!(
        callers:% = started.caller_address,
        peers:% = started.peer_address,
        heartbeats:% = started.heartbeat_address,
        incarnation:% = started.node.core.own;
        "the node runs"
    );
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    started.stop().await;
    Ok(())
}

/// Starts a node.
///
/// # Errors
///
/// If a setting is invalid or a listener cannot be bound.
pub async fn start(settings: ServeSettings) -> Result<RunningNode, RunError> {
    let clock = Clock::new();
    let mut rng = SmallRng::from_os_rng();
    let own = Incarnation(rng.random());
    let callers = listen(settings.listen).await?;
    let peers = listen(settings.peer_listen).await?;
    let heartbeats = UdpSocket::bind(settings.heartbeat_listen)
        .await
        .map_err(|source| RunError::Listen {
            address: settings.heartbeat_listen,
            source,
        })?;
    let settings = with_bound_ports(settings, &callers, &peers, &heartbeats);
    let key = FleetKey::try_from(settings.fleet_key.expose_bytes())?;
    let member = member(own, &settings);
    let view = View::new(
        member,
        settings.seeds.clone(),
        key.clone(),
        MembershipSettings::default(),
    )?;
    let membership = Arc::new(Membership::new(view, clock));
    let directory = Arc::new(Directory::new(Arc::clone(&membership)));
    let (node, log_tasks) = assemble(&settings, own, clock, &key, &directory, &mut rng);
    let node = Arc::new(node);
    let started = RunningNode {
        caller_address: settings.advertise,
        peer_address: settings.peer_advertise,
        heartbeat_address: settings.heartbeat_advertise,
        membership,
        shutdown: CancellationToken::new(),
        callers_shutdown: CancellationToken::new(),
        tasks: TaskTracker::new(),
        drain_timeout_ms: settings.drain_timeout_ms,
        node,
    };
    started.spawn_membership(heartbeats);
    started.spawn_peer_server(peers, key, settings.peer_advertise);
    started.spawn_collectors();
    started.spawn_log_tasks(log_tasks);
    started.spawn_callers(callers, limits(&settings));
    Ok(started)
}

impl RunningNode {
    /// Stops gracefully: requests finish, or are handed over if they cannot finish in time.
    pub async fn stop(&self) {
        log::info!("the node is leaving");
        self.node.record_stop();
        let core = &self.node.core;
        core.advance(Phase::Leaving);
        self.membership.leave();
        self.node.directory.refresh();
        let now = core.clock.now();
        let until_ms = now.after(self.drain_timeout_ms);
        // Callers may keep using this address until their copy of the entry list expires.
        let grace_ms = ENTRIES_TTL_MS.min(self.drain_timeout_ms / 2);
        tokio::time::sleep(std::time::Duration::from_millis(grace_ms)).await;
        core.leave(until_ms).await;
        self.callers_shutdown.cancel();
        self.finish_callers(until_ms).await;
        core.shutdown_token.cancel();
        self.shutdown.cancel();
        self.tasks.close();
        // A caller that does not read would keep its connection, and the node, open indefinitely.
        let limit = std::time::Duration::from_millis(CONNECTION_CLOSE_TIMEOUT_MS);
        if tokio::time::timeout(limit, self.tasks.wait())
            .await
            .is_err()
        {
            log::warn!("connections did not close in time; stopping without waiting for them");
        }
    }

    /// Stops immediately, like a crash; for tests.
    pub fn abort(&self) {
        self.node.core.shutdown_token.cancel();
        self.callers_shutdown.cancel();
        self.shutdown.cancel();
    }

    /// Waits until all answers to callers are complete or the drain timeout expires.
    async fn finish_callers(&self, until_ms: crate::time::TimeMs) {
        let remaining_ms = self.node.core.clock.now().until(until_ms).max(1_000);
        let limit = std::time::Duration::from_millis(remaining_ms);
        let served = async {
            while self.node.open_callers() > 0 {
                tokio::time::sleep(std::time::Duration::from_millis(50)).await;
            }
        };
        if tokio::time::timeout(limit, served).await.is_err() {
            log::warn!(open = self.node.open_callers(); "drain timeout expired; open callers have to resume at another node");
        }
    }

    fn spawn_membership(&self, socket: UdpSocket) {
        let (node, membership) = (Arc::clone(&self.node), Arc::clone(&self.membership));
        let shutdown = self.shutdown.clone();
        self.tasks.spawn(async move {
            let load = || MemberLoad {
                open_streams: u32::try_from(node.open_callers()).unwrap_or(u32::MAX),
                waiting: node.core.gates.counts().1,
                cpu_permille: 0,
            };
            let on_event = |event| {
                log::info!(event:? = event; "membership changed");
                node.members_changed.notify_one();
            };
            if let Err(error) = membership.run(socket, load, on_event, shutdown).await {
                log::error!(error:% = error; "the membership task failed; the node sends no more heartbeats");
            }
        });
        let (node, shutdown) = (Arc::clone(&self.node), self.shutdown.clone());
        self.tasks.spawn(async move {
            loop {
                tokio::select! {
                    () = shutdown.cancelled() => return,
                    () = node.members_changed.notified() => node.directory.refresh(),
                }
            }
        });
    }

    fn spawn_peer_server(&self, listener: TcpListener, key: FleetKey, advertised: SocketAddr) {
        let server = Server::new(key)
            .with_clock(self.node.core.clock)
            .with_advertised_address(advertised);
        let handler = Arc::new(PeerHandler(Arc::clone(&self.node)));
        let shutdown = self.shutdown.clone();
        self.tasks
            .spawn(async move { server.serve(listener, handler, shutdown).await });
    }

    fn spawn_collectors(&self) {
        let node = &self.node;
        let token = || self.shutdown.clone();
        self.tasks
            .spawn(collect_hosts::poll_host_list(Arc::clone(node), token()));
        self.tasks
            .spawn(collect_hosts::poll_notices(Arc::clone(node), token()));
        self.tasks
            .spawn(collect_load::collect(Arc::clone(node), token()));
        self.tasks.spawn(collect_configuration::apply_revisions(
            Arc::clone(node),
            token(),
        ));
        self.tasks
            .spawn(collect_configuration::poll_peers(Arc::clone(node), token()));
        self.tasks
            .spawn(stream_moves::control(Arc::clone(node), token()));
        self.tasks.spawn(expire(Arc::clone(node), token()));
        self.tasks.spawn(report_strikes(Arc::clone(node), token()));
        self.tasks.spawn(update_shares(Arc::clone(node), token()));
        let states = placement_control::collect_states(Arc::clone(node), token());
        self.tasks.spawn(states);
        let placement = placement_control::control(Arc::clone(node), token());
        self.tasks.spawn(placement);
    }

    fn spawn_log_tasks(&self, tasks: LogTasks) {
        let shutdown = self.shutdown.clone();
        self.tasks.spawn(async move {
            tokio::select! {
                () = shutdown.cancelled() => {}
                () = tasks.configuration.run() => {}
            }
        });
        let shutdown = self.shutdown.clone();
        self.tasks.spawn(async move {
            tokio::select! {
                () = shutdown.cancelled() => {}
                () = tasks.leases.run() => {}
            }
        });
        self.tasks.spawn(tasks.audit.run(self.shutdown.clone()));
    }

    fn spawn_callers(&self, listener: TcpListener, limits: HttpLimits) {
        let node = Arc::clone(&self.node);
        let shutdown = self.callers_shutdown.clone();
        self.tasks
            .spawn(entry::serve(listener, node, limits, shutdown));
    }
}

/// Updates the admission gates from hosts and demand, and reports this node's demand to the peers.
async fn update_shares(node: Arc<Node>, shutdown: CancellationToken) {
    loop {
        node.refresh_gates();
        node.core.broadcast_demand().await;
        tokio::select! {
            () = shutdown.cancelled() => return,
            () = tokio::time::sleep(std::time::Duration::from_millis(DEMAND_REPORT_INTERVAL_MS)) => {}
        }
    }
}

/// Reports new strikes of requests that crash upstreams to the peers, until `shutdown`.
async fn report_strikes(node: Arc<Node>, shutdown: CancellationToken) {
    loop {
        suspects::broadcast_strikes(&node.core).await;
        node.record_measures();
        tokio::select! {
            () = shutdown.cancelled() => return,
            () = tokio::time::sleep(std::time::Duration::from_millis(STRIKE_REPORT_INTERVAL_MS)) => {}
        }
    }
}

async fn expire(node: Arc<Node>, shutdown: CancellationToken) {
    loop {
        let now = node.core.clock.now();
        node.core.expire(now);
        node.claimer.stop_idle_partitions(now);
        tokio::select! {
            () = shutdown.cancelled() => return,
            () = tokio::time::sleep(std::time::Duration::from_millis(EXPIRE_INTERVAL_MS)) => {}
        }
    }
}

fn member(own: Incarnation, settings: &ServeSettings) -> Member {
    Member {
        incarnation: own,
        name: settings.name.clone(),
        caller_address: settings.advertise,
        peer_address: settings.peer_advertise,
        heartbeat_address: settings.heartbeat_advertise,
        domain_name: settings.failure_domain.clone(),
        region: settings.region.clone(),
        state: MemberState::Alive,
        load: MemberLoad::default(),
        version: 0,
    }
}

/// Replaces port 0 by the ports that the system assigned.
fn with_bound_ports(
    settings: ServeSettings,
    callers: &TcpListener,
    peers: &TcpListener,
    heartbeats: &UdpSocket,
) -> ServeSettings {
    let bound = (
        callers.local_addr(),
        peers.local_addr(),
        heartbeats.local_addr(),
    );
    match bound {
        (Ok(callers), Ok(peers), Ok(heartbeats)) => settings.with_bound(callers, peers, heartbeats),
        _ => settings,
    }
}

async fn listen(address: SocketAddr) -> Result<TcpListener, RunError> {
    let bound = TcpListener::bind(address).await;
    bound.map_err(|source| RunError::Listen { address, source })
}

fn limits(settings: &ServeSettings) -> HttpLimits {
    HttpLimits {
        max_connections: settings.max_connections,
        max_body_bytes: settings.max_body_bytes,
        max_header_bytes: settings.max_header_bytes,
        header_read_timeout_ms: settings.header_read_timeout_ms,
        body_read_timeout_ms: settings.body_read_timeout_ms,
        memory_bytes: settings.memory_mb.saturating_mul(1024 * 1024),
        max_descriptors: settings.max_descriptors,
    }
}
