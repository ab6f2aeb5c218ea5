//! A small installation of the operators' platform: nodes as processes, a load, and engines that go.

use std::io;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use teaselline_stand_ins::now_ms;
use teaselline_stand_ins::operators::deployment::{DeploymentSettings, HOST, KEYS, asked};
use teaselline_stand_ins::operators::soak::checks::check_calls;
use teaselline_stand_ins::operators::soak::{Called, Outcome};
use teaselline_stand_ins::operators::{Deployment, Node};
use tokio::task::JoinSet;

const NODES: usize = 3;
const UPSTREAMS: usize = 3;
const CALLERS: usize = 20;

/// Between the start of the load and the first engine that leaves.
const LEAVES_AFTER: Duration = Duration::from_millis(700);

/// What an installation is to do.
#[derive(Clone, Copy, Debug)]
pub struct Ask<'a> {
    /// The program whose nodes are run.
    pub binary: &'a Path,
    /// Calls of the load.
    pub calls: usize,
    /// Seeds the choice of calls.
    pub seed: u64,
    /// Goes on after the load.
    pub keeps: bool,
}

/// Runs it; tells whether a promise was broken.
///
/// # Errors
///
/// If a node cannot be started or does not become ready.
pub async fn run(ask: Ask<'_>) -> io::Result<bool> {
    let mut deployment = Deployment::start(DeploymentSettings {
        binary: ask.binary,
        nodes: NODES,
        upstreams: UPSTREAMS,
        grace_s: 6,
        usage_window_s: 1.0,
        has_quota_window: false,
        is_proxied: false,
        host: None,
    })
    .await?;
    println!("started {NODES} nodes before {UPSTREAMS} engines and {UPSTREAMS} plain upstreams");
    println!(
        "running {} calls; an engine leaves, another one crashes",
        ask.calls
    );
    let called = Arc::new(Mutex::new(Vec::new()));
    let mut callers = JoinSet::new();
    for caller in 0..CALLERS {
        let nodes: Vec<_> = deployment.nodes.iter().map(Node::callers).collect();
        let mut rng = SmallRng::seed_from_u64(ask.seed ^ (caller as u64) << 32);
        let called = Arc::clone(&called);
        let share = ask.calls.div_ceil(CALLERS);
        callers.spawn(async move {
            for number in 0..share {
                let route = ["once", "again", "stream", "stream-on"][rng.random_range(0..4)];
                let asked = asked(&format!("c{caller}-{number}"), route);
                let node = rng.random_range(0..nodes.len());
                let sent_at_ms = now_ms();
                let ended = asked.send(nodes[node]).await;
                called.lock().push(Called {
                    asked,
                    node,
                    sent_at_ms,
                    ended,
                });
            }
        });
    }
    tokio::time::sleep(LEAVES_AFTER).await;
    let mut upstreams = deployment.upstreams.iter();
    if let Some(leaving) = upstreams.find(|upstream| upstream.id() == "pool-0") {
        leaving.drain();
    }
    tokio::time::sleep(LEAVES_AFTER).await;
    (deployment.upstreams).retain(|upstream| upstream.id() != "pool-1");
    callers.join_all().await;
    let mut outcome = Outcome::default();
    let runs = deployment.runs.lock().clone();
    check_calls(&called.lock(), &runs, &mut outcome);
    for (status, count) in &outcome.ended {
        println!("{status:18} {count}");
    }
    for broken in &outcome.broken {
        println!("broken: {broken}");
    }
    if ask.keeps {
        keep(&deployment).await;
    }
    Ok(!outcome.broken.is_empty())
}

async fn keep(deployment: &Deployment) {
    println!("\nthe installation goes on; end it with Ctrl-C");
    for node in &deployment.nodes {
        println!(
            "callers http://{}  metrics http://{}/metrics",
            node.callers(),
            node.metrics()
        );
    }
    let first = deployment.nodes[0].callers();
    println!(
        "curl -N -X POST http://{first}/stream/x -H 'Host: {HOST}' -H 'Authorization: Bearer {}' \\\n     -H 'Request-Attempt-Id: try-1' -H 'Deadline-Ms: 3000'",
        KEYS[0]
    );
    if tokio::signal::ctrl_c().await.is_err() {
        eprintln!("signals cannot be received");
    }
}
