//! Opens connections to upstreams and records which can be reached.

use std::net::SocketAddr;
use std::sync::Arc;

use super::admission::Plan;
use super::classification::SendError;
use crate::gateway::clock;
use crate::gateway::connections::Connection;
use crate::gateway::reach;
use crate::gateway::reach_probe;
use crate::gateway::state::Gateway;
use crate::gateway::upstreams::UpstreamKey;

/// Returns a connection to an upstream, and records whether a new one could be opened.
pub(super) async fn open_channel(
    node: &Arc<Gateway>,
    plan: &Plan,
    upstream: UpstreamKey,
    address: SocketAddr,
) -> Result<Connection, SendError> {
    let may_repeat = plan.route().is_repeatable();
    let opened = node
        .channels
        .open(upstream, address, may_repeat, clock::now())
        .await;
    let now = clock::now();
    match opened {
        Ok(channel) => {
            if !channel.is_reused {
                node.record_connected(&plan.pool, now);
            }
            Ok(channel)
        }
        Err(error) => {
            record_unreachable(node, plan, upstream);
            Err(SendError::NotRun("unreachable", error.to_string()))
        }
    }
}

/// Whether a connection to an upstream is open or can be opened; one that is opened is kept.
pub(super) async fn is_connected(node: &Arc<Gateway>, plan: &Plan, upstream: UpstreamKey) -> bool {
    if node.channels.has_idle(upstream, clock::now()) {
        return true;
    }
    let address = {
        let upstreams = node.upstreams.lock();
        let upstream = upstreams.get(upstream);
        upstream.map(|upstream| upstream.announcement.address)
    };
    let Some(address) = address else {
        return false;
    };
    match node.channels.open_idle(upstream, address).await {
        Ok(()) => {
            node.record_connected(&plan.pool, clock::now());
            true
        }
        Err(error) => {
            record_unreachable(node, plan, upstream);
            log::debug!(pool = plan.pool.as_str(), error:err = error; "cannot connect to an upstream to which a stream would move");
            false
        }
    }
}

/// Records that no connection to an upstream could be opened, and finds out whether its pool is lost.
fn record_unreachable(node: &Arc<Gateway>, plan: &Plan, upstream: UpstreamKey) {
    let now = clock::now();
    if let Some(upstream) = node.upstreams.lock().get_mut(upstream) {
        upstream.health.record_unreachable(now);
    }
    let change = node.record_unreachable(&plan.pool, upstream, now);
    if change == Some(reach::Change::Suspected) {
        tokio::spawn(reach_probe::examine(Arc::clone(node), plan.pool.clone()));
    }
}
