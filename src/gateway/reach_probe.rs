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

/// Connects to the upstreams of unreached pools until the process exits.
pub(crate) async fn run(node: Arc<Gateway>) {
    loop {
        tokio::time::sleep(PROBE_INTERVAL).await;
        for pool in node.unreached_pools() {
            tokio::spawn(probe(Arc::clone(&node), pool));
        }
    }
}

/// Connects to one upstream of a pool; a connection that opens is kept for requests.
async fn probe(node: Arc<Gateway>, pool: String) {
    let upstream = {
        let upstreams = node.upstreams.lock();
        let accepting = upstreams.accepting(&pool, clock::now());
        let chosen = accepting.choose(&mut rand::rng());
        chosen.map(|(key, upstream)| (key, upstream.announcement.address))
    };
    let Some((key, address)) = upstream else {
        return;
    };
    match node.channels.open_idle(key, address).await {
        Ok(()) => node.record_connected(&pool, clock::now()),
        Err(error) => {
            log::debug!(pool = pool.as_str(), error:err = error; "still no connection to an upstream of an unreached pool");
        }
    }
}
