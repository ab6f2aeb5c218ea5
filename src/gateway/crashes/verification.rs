//! Verifies that an upstream whose connection broke under a request has crashed.
//!
//! Connections break for other reasons as well: a faulty upstream resets one and runs on. Without a
//! check sound requests and the parts of their prompts would be blamed, and refused for as long as
//! they come. An upstream that has crashed accepts no connection for some time.

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

/// Time in which an upstream that has restarted at once announces its new start, and nodes read that.
const RESTART_NEWS: Duration = Duration::from_millis(1_500);

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

/// Records a break as a crash, unless the upstream still accepts connections.
pub(crate) fn record_break(node: &Arc<Gateway>, broken: Broken, now: TimeMs) {
    match running_address(node, broken.key) {
        Some(address) => {
            tokio::spawn(verify(Arc::clone(node), broken, address));
        }
        None => reports::record_crash(node, broken.crash(now), now),
    }
}

/// Records an answer that ended with its connection. Where a crash may have cut it, which matters
/// only under suspicion, it speaks for its parts if the upstream still accepts connections.
pub(crate) fn record_unframed_answer(node: &Arc<Gateway>, answered: Broken, now: TimeMs) {
    if !node.crashes.lock().is_suspected(&answered.subjects) {
        reports::record_answer(node, &answered.subjects, now);
        return;
    }
    let Some(address) = running_address(node, answered.key) else {
        return;
    };
    let node = Arc::clone(node);
    tokio::spawn(async move {
        if runs(&node, answered.key, address).await {
            reports::record_answer(&node, &answered.subjects, now);
        }
    });
}

async fn verify(node: Arc<Gateway>, broken: Broken, address: SocketAddr) {
    if runs(&node, broken.key, address).await && !restarts_soon(&node, broken.key).await {
        log::debug!(event = "upstream_runs_on", address:% = address; "an upstream whose connection broke accepts connections; its request is not blamed");
        return;
    }
    let now = clock::now();
    reports::record_crash(&node, broken.crash(now), now);
}

/// Waits for the news of a restart, which may come after its address accepts connections again.
async fn restarts_soon(node: &Gateway, upstream: UpstreamKey) -> bool {
    let restarted = {
        let upstreams = node.upstreams.lock();
        upstreams
            .get(upstream)
            .map(|upstream| upstream.restarted.clone())
    };
    match restarted {
        Some(restarted) => tokio::time::timeout(RESTART_NEWS, restarted.cancelled())
            .await
            .is_ok(),
        None => true,
    }
}

/// Returns the address of a start of an upstream; `None` if that start is known to have ended.
fn running_address(node: &Gateway, upstream: UpstreamKey) -> Option<SocketAddr> {
    let upstreams = node.upstreams.lock();
    let upstream = upstreams.get(upstream)?;
    let has_restarted = upstream.restarted.is_cancelled();
    (!has_restarted).then_some(upstream.announcement.address)
}

/// Whether a start of an upstream still accepts connections.
async fn runs(node: &Gateway, upstream: UpstreamKey, address: SocketAddr) -> bool {
    tokio::time::sleep(SETTLE).await;
    node.channels.accepts(upstream, address).await && running_address(node, upstream).is_some()
}
