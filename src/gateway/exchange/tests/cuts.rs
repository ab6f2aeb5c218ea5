//! Random series in which a node loses and regains its link to the upstreams while the paths to its peers are silent or
//! slow.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::json;
use teaselline_stand_ins::operators::{Asked, Ended};
use teaselline_stand_ins::proxy::Direction;
use tokio::task::JoinSet;

use super::*;

/// Duration of a series.
const SPAN: Duration = Duration::from_secs(8);

/// Longest silence of a path between two nodes.
const MAX_SILENCE_MS: u64 = 3_000;

/// Time that a caller waits, and the timeout of routes.
const DEADLINE_MS: u64 = 12_000;

/// Callers at the node that is cut off, and their pause between two requests.
const CALLERS: usize = 8;
const PAUSE: Duration = Duration::from_millis(30);

/// Interval at which the store confirms the configuration.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(300);

/// A node that loses and regains the upstreams, and peers that reach them, with the paths to the peers.
struct Series {
    rng: SmallRng,
    cut: TestNode,
    peers: Vec<(TestNode, TcpProxy)>,
    /// Sequence number of the last announcements.
    sequence: u64,
}

impl Series {
    async fn start(seed: u64, upstreams: &Upstreams) -> Self {
        let cut = TestNode::start("cut", upstreams, Link::Refuses).await;
        let mut peers = Vec::new();
        for name in ["first", "second"] {
            peers.push(TestNode::start_behind_proxy(name, upstreams).await);
        }
        for node in std::iter::once(&cut).chain(peers.iter().map(|(node, _path)| node)) {
            configure_with(&node.node, |document| {
                for route in document["routes"].as_array_mut().into_iter().flatten() {
                    route["timeoutMs"] = json!(DEADLINE_MS);
                }
            });
        }
        for (peer, _path) in &peers {
            cut.hear(peer);
            peer.hear(&cut);
        }
        Self {
            rng: SmallRng::seed_from_u64(seed),
            cut,
            peers,
            sequence: 1,
        }
    }

    /// Changes the link of the node that is cut off, or a path to a peer.
    async fn change(&mut self, upstreams: &Upstreams) {
        let path = self.rng.random_range(0..self.peers.len());
        match self.rng.random_range(0..4) {
            0 => {
                let links = [Link::Refuses, Link::Hangs, Link::Works];
                let link = links[self.rng.random_range(0..links.len())];
                self.sequence += 1;
                let sequence = self.sequence;
                upstreams.announce_to(&self.cut.node, link, sequence);
            }
            1 => {
                let silence_ms = self.rng.random_range(300..MAX_SILENCE_MS);
                let is_forth = self.rng.random_bool(0.5);
                self.harm(path, is_forth, true, 0);
                tokio::time::sleep(Duration::from_millis(silence_ms)).await;
                self.harm(path, is_forth, false, 0);
            }
            2 => {
                let delay_ms = self.rng.random_range(20..400);
                self.harm(path, false, false, delay_ms);
            }
            _ => self.harm(path, false, false, 0),
        }
    }

    /// Sets what happens on the path to a peer, on the way there or back.
    fn harm(&self, path: usize, is_forth: bool, silent: bool, delay_ms: u64) {
        let direction = Direction {
            silent,
            delay_ms,
            ..Direction::default()
        };
        self.peers[path].1.change(|knobs| {
            if is_forth {
                knobs.to_target = direction;
            } else {
                knobs.to_caller = direction;
            }
        });
    }

    fn nodes(&self) -> Vec<Arc<Gateway>> {
        let peers = self
            .peers
            .iter()
            .map(|(peer, _path)| Arc::clone(&peer.node));
        peers.chain([Arc::clone(&self.cut.node)]).collect()
    }
}

/// Sends requests one after the other until the series is over; returns them with how each ended.
async fn call(
    caller: usize,
    node: SocketAddr,
    mut rng: SmallRng,
    is_over: CancellationToken,
) -> Vec<(String, Ended)> {
    let mut ended = Vec::new();
    for number in 0.. {
        if is_over.is_cancelled() {
            break;
        }
        let route = ["once", "again", "stream", "stream-on"][rng.random_range(0..4)];
        let id = format!("h{caller}-{number}");
        let request = Asked {
            deadline_ms: DEADLINE_MS,
            body: format!("body of {id}"),
            ..asked(&id, route)
        };
        ended.push((id, request.send(node).await));
        tokio::time::sleep(PAUSE).await;
    }
    ended
}

/// Confirms the configuration of nodes until it is dropped.
async fn keep_confirming(nodes: Vec<Arc<Gateway>>) {
    loop {
        for node in &nodes {
            confirm(node);
        }
        tokio::time::sleep(CONFIRM_INTERVAL).await;
    }
}

/// Guards against requests that a peer has run and that get no answer because the path between the nodes was silent or
/// slow for a while.
#[tokio::test(flavor = "multi_thread")]
async fn requests_of_a_node_that_is_cut_off_for_a_while_are_all_answered() {
    for seed in [1, 2] {
        let upstreams = Upstreams::start().await;
        let mut series = Series::start(seed, &upstreams).await;
        let confirming = tokio::spawn(keep_confirming(series.nodes()));
        let is_over = CancellationToken::new();
        let mut callers = JoinSet::new();
        for caller in 0..CALLERS {
            let rng = SmallRng::seed_from_u64(seed << 32 | caller as u64);
            callers.spawn(call(caller, series.cut.callers, rng, is_over.clone()));
        }
        let until = tokio::time::Instant::now() + SPAN;
        while tokio::time::Instant::now() < until {
            series.change(&upstreams).await;
            let pause_ms = series.rng.random_range(50..400);
            tokio::time::sleep(Duration::from_millis(pause_ms)).await;
        }
        for path in 0..series.peers.len() {
            series.harm(path, true, false, 0);
            series.harm(path, false, false, 0);
        }
        is_over.cancel();
        let ended = callers.join_all().await.concat();
        confirming.abort();
        check(seed, &upstreams, &ended);
    }
}

/// Asserts that each request that ran was answered, and that no other one ended without a refusal.
fn check(seed: u64, upstreams: &Upstreams, ended: &[(String, Ended)]) {
    let answered = ended.iter().filter(|(_id, one)| one.status() == Some(200));
    let answered = answered.count();
    println!("seed {seed}: {answered} of {} answered", ended.len());
    for (id, one) in ended {
        let runs = upstreams.runs_of(id);
        let is_kept = match runs.as_slice() {
            [] => one.says_not_run(),
            _ => one.status() == Some(200),
        };
        assert!(is_kept, "seed {seed}, {id}: {one:?}, runs {runs:?}");
    }
    assert!(
        2 * answered > ended.len(),
        "seed {seed}: {answered} answered"
    );
}
