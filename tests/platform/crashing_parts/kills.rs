//! Requests that crash upstreams, while all nodes are killed at once.

use std::time::Duration;

use nix::sys::signal::Signal;
use teaselline_stand_ins::operators::deployment::asked;
use teaselline_stand_ins::operators::upstream::{BadPart, Crash};
use teaselline_stand_ins::operators::{Asked, Deployment, Upstream};

use super::play::CONTACT_MS;
use crate::support::{deployment, eventually, send};

/// Interval between two retries of the request.
const RETRY_INTERVAL: Duration = Duration::from_millis(300);

/// Retries after each kill.
const RETRIES: usize = 8;

/// Retries after the third crash that may reach upstreams, over all kills.
const MAX_LATE: usize = 3;

/// A retry of one request: the same path, caller and body.
fn retry(number: usize) -> Asked {
    Asked {
        extra: String::from("Model: m\r\nToken-Count: 200,80\r\nPrompt-Prefix: b0:100,c0:100\r\n"),
        body: String::from("the body"),
        ..asked(&format!("killer-{number}"), "once")
    }
}

fn crashes(deployment: &Deployment) -> usize {
    let times = deployment.upstreams.iter().map(Upstream::crashed_at_ms);
    times.flatten().count()
}

async fn kill_all_and_restart(deployment: &Deployment) {
    for node in &deployment.nodes {
        node.signal(Signal::SIGKILL).expect("the node runs");
    }
    tokio::time::sleep(Duration::from_millis(900)).await;
    for node in &deployment.nodes {
        node.restart().expect("the node starts");
    }
    for place in 0..deployment.nodes.len() {
        assert!(deployment.wait_until_ready(place).await, "node {place}");
    }
    tokio::time::sleep(Duration::from_millis(CONTACT_MS)).await;
}

/// Guards against a request that crashes three more upstreams after each kill of all nodes.
#[tokio::test(flavor = "multi_thread")]
async fn request_that_crashed_three_upstreams_is_refused_after_all_nodes_were_killed() {
    let deployment = deployment(3, 6).await;
    for upstream in &deployment.upstreams {
        upstream.crash_on(&[BadPart::new("b0")], Crash::default());
    }
    let mut number = 0;
    let mut retry_next = async || {
        let node = number % deployment.nodes.len();
        let ended = send(&deployment, node, &retry(number)).await;
        number += 1;
        tokio::time::sleep(RETRY_INTERVAL).await;
        ended.status()
    };
    eventually("the request is refused", async || {
        retry_next().await == Some(500) && crashes(&deployment) >= 3
    })
    .await;
    let before = crashes(&deployment);
    for _kill in 0..2 {
        kill_all_and_restart(&deployment).await;
        for _retry in 0..RETRIES {
            retry_next().await;
        }
    }
    let late = crashes(&deployment) - before;
    assert!(late <= MAX_LATE, "{late} retries crashed upstreams");
}
