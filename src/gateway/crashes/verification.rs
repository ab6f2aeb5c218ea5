//! Verifies that an upstream whose connection broke under a request has crashed.
//!
//! Connections break for other reasons as well: a faulty upstream resets one and runs on. Without a
//! check the parts of such requests would be blamed. An upstream that has crashed accepts no
//! connection for some time.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use super::subjects::Subjects;
use super::{Crash, reports};
use crate::gateway::clock;
use crate::gateway::state::Gateway;
use crate::gateway::upstreams::UpstreamKey;
use crate::time::TimeMs;

/// Time from the break to the check. A process that ends closes its listener and its connections in
/// any order.
const SETTLE: Duration = Duration::from_millis(20);

/// A request whose connection broke, and the upstream that ran it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Broken {
    pub subjects: Subjects,
    pub key: UpstreamKey,
    /// Tag of the incarnation that ran it.
    pub upstream: u64,
    /// Tag of the upstream's address.
    pub address: u64,
    /// Tag of the upstream's failure domain.
    pub domain: u64,
    pub sent_at: TimeMs,
}

impl Broken {
    /// Returns the crash as of now, with all that the request may be blamed for.
    pub fn crash(&self, now: TimeMs) -> Crash {
        Crash {
            subjects: self.subjects,
            upstream: self.upstream,
            address: self.address,
            domain: self.domain,
            ran_ms: now.since(self.sent_at),
        }
    }
}

/// Records a break as a crash; the parts of its prompt are blamed only if the upstream no longer
/// accepts connections.
pub(crate) fn record_break(node: &Arc<Gateway>, broken: Broken, now: TimeMs) {
    let address = {
        let upstreams = node.upstreams.lock();
        upstreams
            .get(broken.key)
            .map(|upstream| upstream.announcement.address)
    };
    let has_parts = broken.subjects.parts().next().is_some();
    match address {
        Some(address) if has_parts => {
            tokio::spawn(verify(Arc::clone(node), broken, address));
        }
        _ => reports::record_crash(node, broken.crash(now), now),
    }
}

async fn verify(node: Arc<Gateway>, mut broken: Broken, address: SocketAddr) {
    tokio::time::sleep(SETTLE).await;
    if node.channels.accepts(broken.key, address).await {
        log::debug!(event = "upstream_runs_on", address:% = address; "an upstream whose connection broke accepts connections; no part of the prompt is blamed");
        broken.subjects = broken.subjects.without_parts();
    }
    let now = clock::now();
    reports::record_crash(&node, broken.crash(now), now);
}
