//! Polls each upstream for its state, which routing and placement use.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use tokio_util::sync::CancellationToken;

use super::placement_state::ReportedState;
use crate::document::checked::PoolKind;
use crate::keys::HostKey;
use crate::node::Node;
use crate::upstreams::{Engines, PlainServices};

/// Interval between polling rounds.
const POLL_INTERVAL_MS: u64 = 1_000;

/// Upstreams polled concurrently.
const MAX_CONCURRENT_POLLS: usize = 16;

/// An upstream to poll.
#[derive(Clone, Copy, Debug)]
struct PollTarget {
    host: HostKey,
    address: SocketAddr,
    is_engine: bool,
}

/// Polls all upstreams in rounds, until `shutdown`.
pub(in crate::node) async fn collect_states(node: Arc<Node>, shutdown: CancellationToken) {
    loop {
        tokio::select! {
            () = shutdown.cancelled() => return,
            () = poll_all(&node) => {}
        }
        tokio::select! {
            () = shutdown.cancelled() => return,
            () = tokio::time::sleep(Duration::from_millis(POLL_INTERVAL_MS)) => {}
        }
    }
}

async fn poll_all(node: &Node) {
    let mut poll_targets = poll_targets(node);
    poll_targets.sort_unstable_by_key(|target| target.host);
    let hosts: Vec<_> = poll_targets.iter().map(|target| target.host).collect();
    node.placement.lock().retain(&hosts);
    let answers = futures::stream::iter(poll_targets)
        .map(|target| async move { (target, poll(node, target).await) })
        .buffer_unordered(MAX_CONCURRENT_POLLS);
    tokio::pin!(answers);
    while let Some((target, answer)) = answers.next().await {
        if let Some(reported) = answer.as_ref().filter(|_| target.is_engine) {
            update_routing(node, target.host, reported);
        }
        let now = node.core.clock.now();
        node.placement.lock().record_poll(target.host, answer, now);
    }
}

fn poll_targets(node: &Node) -> Vec<PollTarget> {
    let Some(in_force) = node.core.blackboard.active_configuration() else {
        return Vec::new();
    };
    let mut poll_targets = Vec::new();
    node.core.blackboard.for_each_host(|row| {
        if let Some(pool) = in_force.document.pools.get(row.pool.index()) {
            poll_targets.push(PollTarget {
                host: row.key,
                address: row.address,
                is_engine: matches!(pool.kind, PoolKind::Engine { .. }),
            });
        }
    });
    poll_targets
}

async fn poll(node: &Node, target: PollTarget) -> Option<ReportedState> {
    if !target.is_engine {
        // A service that is alive but refuses new calls counts as answering.
        let health = node.core.services.health(target.address).await;
        return health.ok().map(|_takes_calls| ReportedState::default());
    }
    let state = node.core.engines.state(target.address).await.ok()?;
    Some(ReportedState {
        models: state.models,
        loading: state.loading,
        role: state.role,
    })
}

fn update_routing(node: &Node, host: HostKey, reported: &ReportedState) {
    let mut models: Vec<_> = reported
        .models
        .iter()
        .map(|loaded| loaded.model.clone())
        .collect();
    models.sort_unstable();
    models.dedup();
    node.core.blackboard.upstreams.with(host, |row| {
        row.models = Some(models);
        row.role = reported.role;
    });
}
