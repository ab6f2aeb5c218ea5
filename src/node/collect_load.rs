//! Polls the engines for load reports and cache events.

use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use tokio_util::sync::CancellationToken;

use super::Node;
use crate::blackboard::LoadReport;
use crate::document::checked::PoolKind;
use crate::keys::HostKey;
use crate::upstreams::{Engines, Load};

/// Interval between polling rounds.
const POLL_INTERVAL_MS: u64 = 500;

/// Engines polled concurrently.
const MAX_CONCURRENT_POLLS: usize = 16;

/// Polls all engines for their load in rounds, until `shutdown`.
pub(super) async fn collect(node: Arc<Node>, shutdown: CancellationToken) {
    loop {
        let engines = engines(&node);
        let reports = futures::stream::iter(engines)
            .map(|(key, address)| {
                let node = Arc::clone(&node);
                async move {
                    collect_cache_events(&node, key, address).await;
                    (key, node.core.engines.load(address).await)
                }
            })
            .buffer_unordered(MAX_CONCURRENT_POLLS);
        tokio::pin!(reports);
        while let Some((key, report)) = reports.next().await {
            if let Ok(load) = report {
                store_report(&node, key, &load);
            }
        }
        tokio::select! {
            () = shutdown.cancelled() => return,
            () = tokio::time::sleep(Duration::from_millis(POLL_INTERVAL_MS)) => {}
        }
    }
}

/// Applies an engine's cache insertions and evictions since the previous poll.
async fn collect_cache_events(node: &Node, key: HostKey, address: std::net::SocketAddr) {
    let from = node
        .core
        .blackboard
        .upstreams
        .with(key, |row| row.next_cache_event);
    if let Ok(page) = node.core.engines.cache_events(address, from).await {
        node.core
            .blackboard
            .upstreams
            .with(key, |row| row.next_cache_event = page.next);
        node.core
            .blackboard
            .prefix_caches
            .apply_events(key, &page.events);
    }
}

fn engines(node: &Node) -> Vec<(HostKey, std::net::SocketAddr)> {
    let Some(in_force) = node.core.blackboard.active_configuration() else {
        return Vec::new();
    };
    let mut engines = Vec::new();
    node.core.blackboard.for_each_host(|row| {
        let pool = in_force.document.pools.get(row.pool.index());
        if pool.is_some_and(|pool| matches!(pool.kind, PoolKind::Engine { .. })) {
            engines.push((row.key, row.address));
        }
    });
    engines
}

fn store_report(node: &Node, key: HostKey, load: &Load) {
    node.core.blackboard.with_host(key, |row| {
        row.load = LoadReport {
            as_of_ms: load.as_of_ms,
            running: load.running,
            queued: load.queued,
            slots: load.slots,
            tokens_per_second: load.tokens_per_second,
            kv_tokens_used: load.kv_tokens_used,
            kv_tokens_capacity: load.kv_tokens_capacity,
        };
    });
}
