//! The budget of repeats that all nodes share, while upstreams refuse requests and nodes restart.

use std::time::Duration;

use nix::sys::signal::Signal;
use teaselline_stand_ins::operators::deployment::asked;
use teaselline_stand_ins::operators::{Deployment, Fault, Node, Upstream};
use tokio::task::JoinSet;

use super::support::{deployment, now_ms};

/// The settings of the stand-ins: repeats allowed per request, repeats allowed in addition, and the
/// window of both.
const BUDGET_RATIO: f64 = 0.2;
const BUDGET_SLACK: f64 = 50.0;
const BUDGET_WINDOW_MS: u64 = 10_000;

/// Interval between two calls.
const CALL_INTERVAL: Duration = Duration::from_millis(40);

/// Longest wait for a node to end after SIGTERM.
const STOP_TIMEOUT: Duration = Duration::from_secs(10);

/// Sends calls to all nodes in turn for a time; returns when each was sent, in Unix milliseconds.
async fn send_calls(deployment: &Deployment, span: Duration) -> Vec<u64> {
    let nodes: Vec<_> = deployment.nodes.iter().map(Node::callers).collect();
    let until = tokio::time::Instant::now() + span;
    let mut sent_at_ms = Vec::new();
    let mut calls = JoinSet::new();
    while tokio::time::Instant::now() < until {
        let number = sent_at_ms.len();
        let node = nodes[number % nodes.len()];
        sent_at_ms.push(now_ms());
        calls.spawn(async move { asked(&format!("r{number}"), "again").send(node).await });
        tokio::time::sleep(CALL_INTERVAL).await;
    }
    calls.join_all().await;
    sent_at_ms
}

/// Returns when each arrival beyond the first of its request reached an upstream, sorted.
fn repeats_at_ms(deployment: &Deployment) -> Vec<u64> {
    let arrived = (deployment.upstreams.iter()).flat_map(Upstream::arrived_requests);
    let mut arrived: Vec<_> = arrived.collect();
    arrived.sort_unstable_by(|a, b| (&a.request, a.at_ms).cmp(&(&b.request, b.at_ms)));
    let mut repeats: Vec<u64> = (arrived.windows(2))
        .filter(|pair| pair[0].request == pair[1].request)
        .map(|pair| pair[1].at_ms)
        .collect();
    repeats.sort_unstable();
    repeats
}

fn count_in_window(times_ms: &[u64], start_ms: u64) -> usize {
    let end = times_ms.partition_point(|at_ms| *at_ms < start_ms + BUDGET_WINDOW_MS);
    end - times_ms.partition_point(|at_ms| *at_ms < start_ms)
}

/// Checks each window: its requests are counted in it, in the one before or half a window before,
/// whichever has most.
fn check_budget(sent_at_ms: &[u64], repeats_at_ms: &[u64]) {
    for start_ms in repeats_at_ms {
        let earlier = [0, BUDGET_WINDOW_MS / 2, BUDGET_WINDOW_MS];
        let requests = earlier.map(|ms| count_in_window(sent_at_ms, start_ms - ms));
        let requests = u32::try_from(requests.into_iter().max().unwrap_or(0)).unwrap_or(u32::MAX);
        let allowed = BUDGET_RATIO * f64::from(requests) + BUDGET_SLACK;
        let repeats = u32::try_from(count_in_window(repeats_at_ms, *start_ms)).unwrap_or(u32::MAX);
        assert!(
            f64::from(repeats) <= allowed,
            "{repeats} repeats in a window, allowed {allowed} for {requests} requests"
        );
    }
}

fn all_upstreams_refuse(deployment: &Deployment) {
    for upstream in &deployment.upstreams {
        upstream.set(Fault::Sheds);
    }
}

/// Guards against a restarted node that spends its share of the repeat budget a second time.
#[tokio::test(flavor = "multi_thread")]
async fn repeats_stay_within_the_budget_while_nodes_are_killed() {
    let deployment = deployment(3, 3).await;
    all_upstreams_refuse(&deployment);
    let kills = async {
        for _ in 0..3 {
            tokio::time::sleep(Duration::from_millis(2_500)).await;
            for node in &deployment.nodes {
                node.restart().expect("the node starts again");
            }
        }
    };
    let (sent, ()) = tokio::join!(send_calls(&deployment, Duration::from_secs(14)), kills);
    check_budget(&sent, &repeats_at_ms(&deployment));
}

/// Guards against the same in a planned restart, which also changes the number of nodes that divide
/// the budget.
#[tokio::test(flavor = "multi_thread")]
async fn repeats_stay_within_the_budget_during_rolling_restarts() {
    let deployment = deployment(3, 3).await;
    all_upstreams_refuse(&deployment);
    let restarts = async {
        for node in deployment.nodes.iter().cycle() {
            tokio::time::sleep(Duration::from_millis(500)).await;
            node.signal(Signal::SIGTERM).expect("the node is running");
            node.wait_for_end(STOP_TIMEOUT).await;
            node.restart().expect("the node starts again");
        }
    };
    let sent = tokio::select! {
        sent = send_calls(&deployment, Duration::from_secs(14)) => sent,
        () = restarts => unreachable!("the restarts go on until the calls end"),
    };
    check_budget(&sent, &repeats_at_ms(&deployment));
}
