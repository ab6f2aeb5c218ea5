//! Nodes in one process that do not reach the upstreams, and peers that do.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use teaselline_stand_ins::operators::deployment::{asked, document};
use teaselline_stand_ins::operators::upstream::UpstreamSettings;
use teaselline_stand_ins::operators::{Fault, Run, Store, Upstream as StandIn};
use teaselline_stand_ins::proxy::{ProxySettings, TcpProxy};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio_util::sync::{CancellationToken, DropGuard};

use crate::gateway::caller_listener;
use crate::gateway::clock;
use crate::gateway::forwarding::server;
use crate::gateway::log_position::LogPosition;
use crate::gateway::messages::{Heartbeat, Status};
use crate::gateway::reach_probe;
use crate::gateway::state::Gateway;
use crate::gateway::store_contact::StoreAvailability;
use crate::gateway::streams::{Origin, StreamKey, VersionTag};
use crate::gateway::upstreams::{Announcement, Change, Phase, tag};
use crate::platform::{documents, settings};

mod cuts;
mod endings;
mod heads;
mod limits;
mod long_answers;
mod paths;
mod restarts;
mod shortage;
mod silences;
mod stopping;
mod time_limits;
mod unread;

/// Interval at which a node counts as heard; longer than a test.
const HEARTBEAT_INTERVAL_MS: u64 = 600_000;

/// Upstreams of each service.
const UPSTREAMS: usize = 3;

/// Longest wait for an event.
const PATIENCE: Duration = Duration::from_secs(10);

/// How a node reaches an upstream.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Link {
    Works,
    /// New connections are refused.
    Refuses,
    /// New connections are never established.
    Hangs,
}

/// A node without the tasks that read the store and exchange datagrams.
struct TestNode {
    node: Arc<Gateway>,
    callers: SocketAddr,
    /// Ends the tasks that serve callers and peers.
    _end: DropGuard,
    forwarding: tokio::task::JoinHandle<()>,
}

/// The upstreams of both services, and what they ran.
struct Upstreams {
    stand_ins: Vec<StandIn>,
    runs: Arc<Mutex<Vec<Run>>>,
    /// Does not accept the connections that fill its queue.
    hanging: TcpListener,
    _queued: Vec<TcpStream>,
    /// Holds an address without listening on it, so that connections are refused.
    refusing: TcpSocket,
}

impl Upstreams {
    async fn start() -> Self {
        let store = Store::default();
        let runs = Arc::default();
        let start = |service: &str, number: usize| {
            let settings = UpstreamSettings {
                id: format!("{service}-{number}"),
                service: service.to_owned(),
                zone: "zone-0".to_owned(),
                version: "v1".to_owned(),
            };
            StandIn::start(settings, &store, &runs).expect("a port is free")
        };
        let services = ["desk", "pool"].into_iter();
        let stand_ins = services
            .flat_map(|service| (0..UPSTREAMS).map(move |number| (service, number)))
            .map(|(service, number)| start(service, number))
            .collect();
        let (hanging, queued) = hanging_listener().await;
        Self {
            stand_ins,
            runs,
            hanging,
            _queued: queued,
            refusing: refusing_socket(),
        }
    }

    fn set(&self, fault: Fault) {
        for stand_in in &self.stand_ins {
            stand_in.set(fault);
        }
    }

    fn runs_of(&self, request: &str) -> Vec<Run> {
        let runs = self.runs.lock();
        let of_request = runs.iter().filter(|run| run.request == request);
        of_request.cloned().collect()
    }

    /// Writes the upstreams into a node's table.
    fn announce_to(&self, node: &Gateway, link: Link, sequence: u64) {
        self.announce_start_to(node, link, 1, sequence);
    }

    /// Writes the upstreams into a node's table as they started at `born_ms`.
    fn announce_start_to(&self, node: &Gateway, link: Link, born_ms: u64, sequence: u64) {
        for stand_in in &self.stand_ins {
            let address = match link {
                Link::Works => stand_in.address(),
                Link::Refuses => self.refusing.local_addr().expect("it is bound"),
                Link::Hangs => self.hanging.local_addr().expect("it listens"),
            };
            let id = stand_in.id().to_owned();
            let (service, _number) = id.split_once('-').expect("the id names the service");
            let announced = Announcement {
                pool: service.to_owned(),
                id,
                born_ms: Some(born_ms),
                sequence,
                version: "v1".to_owned(),
                address,
                failure_domain: "zone-0".to_owned(),
                slots: 64,
                phase: Phase::Ready,
                is_warming: false,
                is_reclaimable: false,
                leaves_in_ms: None,
            };
            let mut upstreams = node.upstreams.lock();
            upstreams.apply(Change::Present(announced), false, clock::now());
        }
    }
}

/// Returns a listener whose queue of connections is full, and the connections that fill it.
async fn hanging_listener() -> (TcpListener, Vec<TcpStream>) {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket
        .bind(([127, 0, 0, 1], 0).into())
        .expect("a free port");
    let listener = socket.listen(1).expect("it listens");
    let address = listener.local_addr().expect("it listens");
    let mut queued = Vec::new();
    let timeout = Duration::from_millis(200);
    while let Ok(connected) = tokio::time::timeout(timeout, TcpStream::connect(address)).await {
        queued.push(connected.expect("the queue is not full"));
    }
    (listener, queued)
}

/// Returns a socket that is bound and does not listen. A port that was only free a moment ago may be that of another test.
fn refusing_socket() -> TcpSocket {
    let socket = TcpSocket::new_v4().expect("a socket");
    let address = ([127, 0, 0, 1], 0).into();
    socket.bind(address).expect("a free port");
    socket
}

async fn bind() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a port");
    let address = listener.local_addr().expect("it listens");
    (listener, address)
}

impl TestNode {
    async fn start(name: &str, upstreams: &Upstreams, link: Link) -> Self {
        let (peers, peer_address) = bind().await;
        Self::start_at(name, upstreams, link, peers, peer_address).await
    }

    /// Starts a node that reaches the upstreams and that peers reach through a proxy.
    async fn start_behind_proxy(name: &str, upstreams: &Upstreams) -> (Self, TcpProxy) {
        let (peers, own_address) = bind().await;
        let proxy = TcpProxy::start(ProxySettings::new(own_address)).await;
        let proxy = proxy.expect("a port is free");
        let address = proxy.address();
        let node = Self::start_at(name, upstreams, Link::Works, peers, address).await;
        (node, proxy)
    }

    /// Starts a node whose peers connect to `peer_address`.
    async fn start_at(
        name: &str,
        upstreams: &Upstreams,
        link: Link,
        peers: TcpListener,
        peer_address: SocketAddr,
    ) -> Self {
        let (callers, caller_address) = bind().await;
        let text = format!(
            r#"{{
                "node": "{name}", "ip": "127.0.0.1", "zone": "zone-0", "region": "r",
                "portRange": [7000, 7015], "platform": {{"address": "127.0.0.1:4"}},
                "listen": {{"front": "{caller_address}", "readiness": "127.0.0.1:2",
                    "directory": "127.0.0.1:3"}},
                "bounds": {{"retryBudgetRatio": 0.2, "budgetWindowS": 10, "budgetSlack": 50,
                    "revokeMs": 5000}}
            }}"#
        );
        let mut read = settings::parse(&text).expect("the settings are valid");
        read.gossip_listen = peer_address;
        let incarnation = u64::from(peer_address.port());
        let node = Gateway::new(read, incarnation).0;
        configure(&node);
        upstreams.announce_to(&node, link, 1);
        let end = CancellationToken::new();
        tokio::spawn(caller_listener::serve(
            callers,
            Arc::clone(&node),
            end.clone(),
        ));
        let forwarding = tokio::spawn(server::serve(peers, Arc::clone(&node), end.clone()));
        tokio::spawn(reach_probe::run(Arc::clone(&node)));
        Self {
            node,
            callers: caller_address,
            _end: end.drop_guard(),
            forwarding,
        }
    }

    /// Records a heartbeat of a peer that is ready and states that it reaches all pools.
    fn hear(&self, peer: &Self) {
        let member = peer.node.peers.lock().own().clone();
        let heartbeat = Heartbeat {
            status: Status {
                incarnation: member.incarnation,
                sequence: 1,
                is_ready: true,
                store: StoreAvailability::Answering,
                configuration_version: 1,
                ..Status::default()
            },
            member,
            introduced: None,
            era: 0,
            era_age_ms: 0,
            time_of_day_ms: clock::time_of_day().0,
            interval_ms: HEARTBEAT_INTERVAL_MS,
            usage: Vec::new(),
            paces: Vec::new(),
            demand: Vec::new(),
            speeds: Vec::new(),
        };
        (self.node.peers.lock()).record_heartbeat(&heartbeat, clock::now());
    }

    /// Sends requests until the node has noticed that it does not reach a pool.
    async fn notice(&self, pool: &str, route: &str) {
        let until = tokio::time::Instant::now() + PATIENCE;
        let mut ended = None;
        for number in 0.. {
            if self.node.is_unreached(pool) {
                return;
            }
            let is_in_time = tokio::time::Instant::now() < until;
            assert!(is_in_time, "the loss is noticed: {number} sent, {ended:?}");
            confirm(&self.node);
            let call = asked(&format!("n-{route}-{number}"), route);
            ended = Some(call.send(self.callers).await);
        }
    }
}

fn configure(node: &Gateway) {
    configure_with(node, |_document| {});
}

/// Activates the document after a change of it.
fn configure_with(node: &Gateway, change: impl FnOnce(&mut serde_json::Value)) {
    let mut document = document(1);
    change(&mut document);
    let document = document.to_string();
    let catalog = documents::parse(document.as_bytes()).expect("the document is valid");
    let mut in_force = node.in_force.write();
    in_force.catalog = Arc::new(catalog);
    in_force.record_peer_version(1);
    drop(in_force);
    confirm(node);
}

/// Confirms the configuration, as the store would.
fn confirm(node: &Gateway) {
    let end = LogPosition::default().after(1);
    node.in_force.write().confirm(end, clock::now());
}

/// Two nodes: one with this link to the upstreams, and one that reaches them.
async fn cut_and_whole(upstreams: &Upstreams, link: Link) -> (TestNode, TestNode) {
    let cut = TestNode::start("cut", upstreams, link).await;
    let whole = TestNode::start("whole", upstreams, Link::Works).await;
    cut.hear(&whole);
    whole.hear(&cut);
    (cut, whole)
}

/// Guards against callers of a node that reaches no upstream, who are refused or wait in vain while
/// its peers serve the same requests.
#[tokio::test(flavor = "multi_thread")]
async fn requests_at_a_node_without_reach_are_answered_through_a_peer() {
    for link in [Link::Refuses, Link::Hangs] {
        let upstreams = Upstreams::start().await;
        let (cut, _whole) = cut_and_whole(&upstreams, link).await;
        for (pool, route) in [("desk", "again"), ("pool", "stream-on")] {
            cut.notice(pool, route).await;
        }
        for route in ["once", "again", "stream", "stream-on"] {
            let id = format!("r-{route}");
            let ended = asked(&id, route).send(cut.callers).await;
            assert_eq!(ended.status(), Some(200), "{route}: {ended:?}");
            assert!(ended.body().contains(&id), "{ended:?}");
            let runs = upstreams.runs_of(&id);
            assert_eq!(runs.len(), 1, "{runs:?}");
            assert_eq!(runs[0].team.as_deref(), Some("archive"));
        }
    }
}

/// Guards against the first requests after a cut, which would fail until the node has noticed it.
#[tokio::test(flavor = "multi_thread")]
async fn request_whose_upstreams_are_unreachable_is_handed_on_before_it_fails() {
    let upstreams = Upstreams::start().await;
    let (cut, _whole) = cut_and_whole(&upstreams, Link::Refuses).await;
    for route in ["once", "stream"] {
        let ended = asked(&format!("f-{route}"), route).send(cut.callers).await;
        assert_eq!(ended.status(), Some(200), "{ended:?}");
    }
}

/// Guards against a request that runs twice because the peer that ran it is lost before its answer.
#[tokio::test(flavor = "multi_thread")]
async fn request_is_not_sent_again_after_the_peer_that_has_it_is_lost() {
    let upstreams = Upstreams::start().await;
    let (cut, whole) = cut_and_whole(&upstreams, Link::Refuses).await;
    let third = TestNode::start("third", &upstreams, Link::Works).await;
    cut.notice("desk", "again").await;
    upstreams.set(Fault::Silent);
    let callers = cut.callers;
    let request = tokio::spawn(async move { asked("lost-1", "once").send(callers).await });
    eventually(|| upstreams.runs_of("lost-1").len() == 1).await;
    cut.hear(&third);
    whole.forwarding.abort();
    let ended = request.await.expect("the request ends");
    assert!(
        !ended.says_not_run(),
        "the request has run, and the answer denies it: {ended:?}"
    );
    assert_eq!(upstreams.runs_of("lost-1").len(), 1);
}

/// Guards against requests that nodes hand to each other in a circle because each believes that the
/// other one reaches the upstreams.
#[tokio::test(flavor = "multi_thread")]
async fn nodes_that_all_lack_reach_refuse_a_request_once_asked() {
    let upstreams = Upstreams::start().await;
    let first = TestNode::start("first", &upstreams, Link::Refuses).await;
    let second = TestNode::start("second", &upstreams, Link::Refuses).await;
    first.hear(&second);
    second.hear(&first);
    let ended = asked("circle", "once").send(first.callers).await;
    assert_eq!(ended.status(), Some(503), "{ended:?}");
    assert!(upstreams.runs_of("circle").is_empty());
}

/// Guards against an upstream that works on for a caller who has left the node that handed its
/// request on.
#[tokio::test(flavor = "multi_thread")]
async fn work_for_a_caller_that_left_ends_at_the_upstream_of_the_peer() {
    let upstreams = Upstreams::start().await;
    let (cut, _whole) = cut_and_whole(&upstreams, Link::Refuses).await;
    cut.notice("desk", "again").await;
    upstreams.set(Fault::Silent);
    let callers = cut.callers;
    let request = tokio::spawn(async move { asked("left-1", "again").send(callers).await });
    eventually(|| !upstreams.runs_of("left-1").is_empty()).await;
    request.abort();
    eventually(|| upstreams.runs_of("left-1")[0].left_at_ms.is_some()).await;
}

/// Guards against a team that is charged by both nodes for one request.
#[tokio::test(flavor = "multi_thread")]
async fn forwarded_request_is_charged_to_its_team_once() {
    let upstreams = Upstreams::start().await;
    let (cut, whole) = cut_and_whole(&upstreams, Link::Refuses).await;
    cut.notice("desk", "again").await;
    let charged = |node: &TestNode| -> f64 {
        let totals = node.node.quotas.lock().recent_totals(clock::now());
        totals.iter().map(|admitted| admitted.total).sum()
    };
    let before = (charged(&cut), charged(&whole));
    let ended = asked("charged", "once").send(cut.callers).await;
    assert_eq!(ended.status(), Some(200), "{ended:?}");
    let after = (charged(&cut), charged(&whole));
    assert!(
        (after.0 - before.0 - 1.0).abs() < 1e-9,
        "{before:?} {after:?}"
    );
    assert!((after.1 - before.1).abs() < 1e-9, "{before:?} {after:?}");
}

/// Guards against a node that goes on handing its requests to peers after its link has healed.
#[tokio::test(flavor = "multi_thread")]
async fn node_serves_its_requests_itself_after_its_link_heals() {
    let upstreams = Upstreams::start().await;
    let (cut, whole) = cut_and_whole(&upstreams, Link::Refuses).await;
    cut.notice("desk", "again").await;
    upstreams.announce_to(&cut.node, Link::Works, 2);
    eventually(|| !cut.node.is_unreached("desk")).await;
    whole.forwarding.abort();
    tokio::time::sleep(Duration::from_millis(1_200)).await;
    let ended = asked("healed", "once").send(cut.callers).await;
    assert_eq!(ended.status(), Some(200), "{ended:?}");
}

/// Guards against a peer that chooses the version anew for a stream that it sends in place of another node.
#[tokio::test(flavor = "multi_thread")]
async fn forwarded_resumption_stays_bound_to_the_version_that_began_its_stream() {
    let upstreams = Upstreams::start().await;
    let (cut, _whole) = cut_and_whole(&upstreams, Link::Refuses).await;
    cut.notice("pool", "stream-on").await;
    for (version, status) in [("v1", 200), ("v0", 503)] {
        let begun = format!("begun-{version}");
        let origin = Origin {
            pool: tag("pool"),
            version: VersionTag::of(version),
            team: Some(tag("archive")),
        };
        let key = StreamKey::of(&begun);
        (cut.node.stream_origins.lock()).record(key, origin, clock::now());
        let id = format!("up-{version}");
        let mut call = asked(&id, "stream-on");
        call.extra = format!("Resumes: {begun}\r\nLast-Event-Id: 3\r\n");
        let ended = call.send(cut.callers).await;
        assert_eq!(ended.status(), Some(status), "{version}: {ended:?}");
        assert_eq!(upstreams.runs_of(&id).len(), usize::from(status == 200));
    }
}

async fn eventually(mut holds: impl FnMut() -> bool) {
    let until = tokio::time::Instant::now() + PATIENCE;
    while !holds() {
        assert!(tokio::time::Instant::now() < until, "it holds in time");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}
