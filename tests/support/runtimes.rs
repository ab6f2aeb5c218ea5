//! Nodes in this process, each in a runtime of its own and with its links led through fault proxies.
//!
//! Taking the runtime away ends a node as a crash does: its sockets close and nothing is said.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::sync::Arc;
use std::time::Duration;

use teaselline::document::Document;
use teaselline::membership::Member;
use teaselline::node::change::Proposal;
use teaselline::node::{self, RunningNode};
use teaselline::options::Secret;
use teaselline_stand_ins::proxy::{Direction, ProxySettings, TcpProxy, UdpProxy};
use teaselline_stand_ins::site::Site;
use tokio::runtime::Runtime;

use crate::deployment::{node_settings, url};

/// Threads of one node.
const THREADS: usize = 2;

/// How often a start is tried; the ports asked of the system may be taken by others meanwhile.
const START_TRIES: u32 = 5;

/// Looks for nodes to be ready, and the pause between two.
const READY_TRIES: u32 = 1_200;
const READY_PAUSE: Duration = Duration::from_millis(25);

/// Nothing arrives.
const SILENT: Direction = Direction {
    delay_ms: 0,
    silent: true,
    drop_probability: 0.0,
    cut_probability: 0.0,
};

/// A node.
#[derive(Debug)]
pub struct RuntimeNode {
    /// The node.
    pub started: Arc<RunningNode>,
    cloud: TcpProxy,
    peers: TcpProxy,
    heartbeats: UdpProxy,
    runtime: Option<Runtime>,
}

impl RuntimeNode {
    /// Starts the `index`th node of a deployment.
    ///
    /// # Errors
    ///
    /// If it cannot be started.
    pub async fn start(
        document: &Document,
        site: &Site,
        index: usize,
        seeds: &[SocketAddr],
        drain_timeout_ms: u64,
    ) -> io::Result<Self> {
        let mut tries = 0;
        loop {
            tries += 1;
            let started = Self::try_start(document, site, index, seeds, drain_timeout_ms).await;
            match started {
                Err(_) if tries < START_TRIES => {}
                started => return started,
            }
        }
    }

    async fn try_start(
        document: &Document,
        site: &Site,
        index: usize,
        seeds: &[SocketAddr],
        drain_timeout_ms: u64,
    ) -> io::Result<Self> {
        let (peer_listen, heartbeat_listen) = (free_tcp_address()?, free_udp_address()?);
        let cloud = TcpProxy::start(ProxySettings::new(site.cloud.address())).await?;
        let peers = TcpProxy::start(ProxySettings::new(peer_listen)).await?;
        let heartbeats = UdpProxy::start(ProxySettings::new(heartbeat_listen)).await?;
        let mut settings = node_settings(document, site, index)
            .with_seeds(seeds)
            .with_drain_timeout_ms(drain_timeout_ms)
            .with_platform(
                url(site.log.address()),
                url(cloud.address()),
                url(site.weights.address()),
            );
        settings.peer_listen = peer_listen;
        settings.heartbeat_listen = heartbeat_listen;
        let advertised = (settings.advertise, peers.address(), heartbeats.address());
        let settings = settings.with_advertised(advertised.0, advertised.1, advertised.2);
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(THREADS)
            .enable_all()
            .build()?;
        let started = runtime.spawn(node::start(settings)).await;
        let started = match started {
            Ok(Ok(started)) => started,
            Ok(Err(error)) => return Err(give_up(runtime, error)),
            Err(error) => return Err(give_up(runtime, error)),
        };
        Ok(Self {
            started: Arc::new(started),
            cloud,
            peers,
            heartbeats,
            runtime: Some(runtime),
        })
    }

    /// Ends it as a crash does.
    pub fn crash(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }

    /// Stops it as planned.
    pub async fn stop(mut self) {
        let started = Arc::clone(&self.started);
        if let Some(runtime) = &self.runtime {
            let stopped = runtime.spawn(async move { started.stop().await });
            stopped.await.expect("a planned stop does not panic");
        }
        self.crash();
    }

    /// Cuts it off from the cloud, or lets it be reached again.
    pub fn cut_cloud(&self, cut: bool) {
        self.cloud.change(|knobs| knobs.refuse = cut);
        if cut {
            self.cloud.cut();
        }
    }

    /// Resets what peers open to it, or lets it be reached again; heartbeats go on.
    pub fn refuse_peers(&self, refuse: bool) {
        self.peers.change(|knobs| knobs.refuse = refuse);
        if refuse {
            self.peers.cut();
        }
    }

    /// Lets nothing of its peers reach it, and nothing of it answer them.
    pub fn silence_peers(&self, silent: bool) {
        let direction = if silent { SILENT } else { Direction::default() };
        self.peers.change(|knobs| {
            knobs.to_target = direction;
            knobs.to_caller = direction;
        });
        self.heartbeats.change(|knobs| {
            knobs.to_target = direction;
            knobs.to_caller = direction;
        });
    }
}

impl Drop for RuntimeNode {
    fn drop(&mut self) {
        self.crash();
    }
}

/// The heartbeat addresses by which a new node finds these.
pub fn seeds(nodes: &[RuntimeNode]) -> Vec<SocketAddr> {
    let addresses = nodes.iter().map(|node| node.started.heartbeat_address);
    addresses.collect()
}

/// Puts the first document in force.
///
/// # Errors
///
/// If it is refused.
pub async fn configure(node: &RuntimeNode, document: &str) -> io::Result<u64> {
    let proposal = Proposal {
        base_revision: 0,
        operator: "kobayashi".to_owned(),
        document: document.to_owned(),
    };
    let proposed = node.started.node.propose(proposal).await;
    proposed.map_err(io::Error::other)
}

/// Waits until each node has the revision, knows all others and this many hosts.
///
/// # Errors
///
/// If it does not come to that.
pub async fn wait_until_ready(
    nodes: &[RuntimeNode],
    revision: u64,
    hosts: usize,
) -> io::Result<()> {
    for _try in 0..READY_TRIES {
        let ready = nodes.iter().all(|node| {
            let node = &node.started.node;
            let mut known = 0;
            node.core.blackboard.for_each_host(|_row| known += 1);
            let live = node.directory.members();
            let live = live.iter().filter(|member| Member::is_live(member)).count();
            node.revision() >= revision && live >= nodes.len() && known >= hosts
        });
        if ready {
            return Ok(());
        }
        tokio::time::sleep(READY_PAUSE).await;
    }
    Err(io::ErrorKind::TimedOut.into())
}

/// The bearer token of the team that calls.
pub fn team_token() -> Secret {
    Secret::new("team-archive-sample")
}

fn give_up(runtime: Runtime, error: impl std::error::Error + Send + Sync + 'static) -> io::Error {
    runtime.shutdown_background();
    io::Error::other(error)
}

fn free_tcp_address() -> io::Result<SocketAddr> {
    TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?.local_addr()
}

fn free_udp_address() -> io::Result<SocketAddr> {
    UdpSocket::bind((Ipv4Addr::LOCALHOST, 0))?.local_addr()
}
