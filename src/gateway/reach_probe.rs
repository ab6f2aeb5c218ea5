//! Finds out when this node reaches the upstreams of a pool again.
//!
//! While a pool is unreached, callers' requests are not sent to it, so that no request shows when
//! the link heals.

use std::sync::Arc;
use std::time::Duration;

use rand::seq::IteratorRandom;

use super::clock;
use super::state::Gateway;

/// Interval between two attempts to connect to an upstream of an unreached pool.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);

/// Interval between two such attempts while it is open whether a pool is lost.
const EXAMINATION_INTERVAL: Duration = Duration::from_millis(100);

/// Connects to the upstreams of unreached pools until the process exits.
pub(crate) async fn run(node: Arc<Gateway>) {
    loop {
        tokio::time::sleep(PROBE_INTERVAL).await;
        for pool in node.unreached_pools() {
            tokio::spawn(probe(Arc::clone(&node), pool));
        }
    }
}

/// Finds out whether a pool is lost, after a first failure: connects to its upstreams until one
/// accepts a connection or the pool counts as lost.
pub(crate) async fn examine(node: Arc<Gateway>, pool: String) {
    while node.is_suspected(&pool) {
        probe(Arc::clone(&node), pool.clone()).await;
        tokio::time::sleep(EXAMINATION_INTERVAL).await;
    }
}

/// Connects to one upstream of a pool, if possible to one that has not failed; a connection that
/// opens is kept for requests.
async fn probe(node: Arc<Gateway>, pool: String) {
    let upstream = {
        let upstreams = node.upstreams.lock();
        let reach = node.reach.lock();
        let has_failed = |key| reach.get(&pool).is_some_and(|reach| reach.has_failed(key));
        let accepting = || upstreams.accepting(&pool, clock::now());
        let untried = accepting().filter(|(key, _upstream)| !has_failed(*key));
        let chosen = untried.choose(&mut rand::rng());
        let chosen = chosen.or_else(|| accepting().choose(&mut rand::rng()));
        chosen.map(|(key, upstream)| (key, upstream.announcement.address))
    };
    let Some((key, address)) = upstream else {
        return;
    };
    match node.channels.open_idle(key, address).await {
        Ok(()) => node.record_connected(&pool, clock::now()),
        Err(error) => {
            node.record_unreachable(&pool, key, clock::now());
            log::debug!(pool = pool.as_str(), error:err = error; "cannot connect to an upstream of a pool that may be unreached");
        }
    }
}
