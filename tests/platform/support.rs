//! What the tests share.

use std::path::Path;
use std::time::Duration;

use teaselline_stand_ins::operators::deployment::DeploymentSettings;
use teaselline_stand_ins::operators::{Asked, Deployment, Ended};

/// How long something may take to come about on a busy machine.
const PATIENCE: Duration = Duration::from_secs(20);

/// Between two looks.
const LOOK: Duration = Duration::from_millis(30);

/// An installation with these numbers of nodes and of upstreams of each service.
pub async fn deployment(nodes: usize, upstreams: usize) -> Deployment {
    let settings = DeploymentSettings {
        binary: Path::new(env!("CARGO_BIN_EXE_teaselline")),
        nodes,
        upstreams,
        grace_s: 6,
        usage_window_s: 1.0,
        is_proxied: false,
    };
    Deployment::start(settings)
        .await
        .expect("all nodes come to be ready")
}

/// Sends a call to one of the nodes.
pub async fn send(deployment: &Deployment, node: usize, asked: &Asked) -> Ended {
    asked.send(deployment.nodes[node].callers()).await
}

/// Waits until `holds`; fails with `what` if it never does.
pub async fn eventually(what: &str, mut holds: impl AsyncFnMut() -> bool) {
    let until = tokio::time::Instant::now() + PATIENCE;
    while !holds().await {
        assert!(tokio::time::Instant::now() < until, "{what}");
        tokio::time::sleep(LOOK).await;
    }
}
