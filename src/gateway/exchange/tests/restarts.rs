//! Upstreams whose restart a node hears of before it has read all that they had sent.

use teaselline_stand_ins::operators::Asked;
use teaselline_stand_ins::proxy::Direction;

use super::*;

/// How late the last bytes arrive behind the news of the restart. A node that gets no processor time reads datagrams of its peers and
/// connections of its upstreams in any order.
const LATE: Duration = Duration::from_millis(200);

/// A node and its path to the only upstream of a pool that it knows.
struct Path {
    node: TestNode,
    proxy: TcpProxy,
    id: String,
}

impl Path {
    async fn start(upstreams: &Upstreams, pool: &str) -> Self {
        let node = TestNode::start("node", upstreams, Link::Refuses).await;
        for stand_in in &upstreams.stand_ins {
            let id = stand_in.id().to_owned();
            let mut table = node.node.upstreams.lock();
            table.apply(Change::Removed { id }, false, clock::now());
        }
        let of_pool = |stand_in: &&StandIn| stand_in.id().starts_with(pool);
        let stand_in = (upstreams.stand_ins.iter()).find(of_pool);
        let stand_in = stand_in.expect("the pool has upstreams");
        let proxy = TcpProxy::start(ProxySettings::new(stand_in.address())).await;
        let path = Self {
            node,
            proxy: proxy.expect("a port is free"),
            id: stand_in.id().to_owned(),
        };
        path.announce_start(pool, 2);
        path
    }

    /// Writes the upstream into the node's table as it started at `born_ms`.
    fn announce_start(&self, pool: &str, born_ms: u64) {
        let announced = Announcement {
            pool: pool.to_owned(),
            id: self.id.clone(),
            born_ms: Some(born_ms),
            sequence: 1,
            version: "v1".to_owned(),
            address: self.proxy.address(),
            failure_domain: "zone-0".to_owned(),
            slots: 64,
            phase: Phase::Ready,
            is_warming: false,
            is_reclaimable: false,
            leaves_in_ms: None,
        };
        let mut upstreams = self.node.node.upstreams.lock();
        upstreams.apply(Change::Present(announced), false, clock::now());
    }

    fn set_silent(&self, silent: bool) {
        self.proxy.change(|knobs| {
            knobs.to_caller = Direction {
                silent,
                ..Direction::default()
            };
        });
    }
}

/// Guards against answers of requests that may run only once, which are thrown away because the node hears of their upstream's
/// restart before it has read them.
#[tokio::test(flavor = "multi_thread")]
async fn answer_on_its_way_arrives_although_its_upstream_has_restarted() {
    for (route, pool) in [("once", "desk"), ("stream", "pool")] {
        let upstreams = Upstreams::start().await;
        let path = Path::start(&upstreams, pool).await;
        let callers = path.node.callers;
        let id = format!("restarted-{route}");
        path.set_silent(true);
        let call = asked(&id, route);
        let request = tokio::spawn(async move { call.send(callers).await });
        eventually(|| !upstreams.runs_of(&id).is_empty()).await;
        // The upstream sends its whole answer meanwhile.
        tokio::time::sleep(Duration::from_secs(1)).await;
        path.announce_start(pool, 3);
        tokio::time::sleep(LATE).await;
        path.set_silent(false);
        let ended = request.await.expect("the request ends");
        assert_eq!(ended.status(), Some(200), "{route}: {ended:?}");
        assert!(ended.body().contains(&id), "{route}: {ended:?}");
    }
}

/// Guards against a caller who waits until its deadline for a request that a crash behind a partition has ended.
#[tokio::test(flavor = "multi_thread")]
async fn request_whose_upstream_restarted_behind_a_partition_ends_soon() {
    let upstreams = Upstreams::start().await;
    let path = Path::start(&upstreams, "desk").await;
    let callers = path.node.callers;
    path.set_silent(true);
    let call = Asked {
        deadline_ms: 8_000,
        ..asked("lost", "once")
    };
    let request = tokio::spawn(async move { call.send(callers).await });
    eventually(|| !upstreams.runs_of("lost").is_empty()).await;
    path.announce_start("desk", 3);
    let ended = tokio::time::timeout(Duration::from_millis(1_500), request).await;
    let ended = ended.expect("the request ends soon");
    let ended = ended.expect("the call does not panic");
    assert_eq!(ended.status(), Some(502), "{ended:?}");
}
