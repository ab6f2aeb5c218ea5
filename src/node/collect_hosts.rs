//! Polls the cloud for the host list and for termination notices.

use std::sync::Arc;
use std::time::Duration;

use tokio_util::sync::CancellationToken;

use super::Node;
use super::hosts::KnownNotice;
use super::messages::{HostNotice, Request};
use crate::blackboard::HostState;
use crate::coordination::cloud::Cloud;
use crate::keys::{HostKey, Incarnation};
use crate::requests::dependencies::{Peers, Unreachable};

/// Interval between reads of the host list.
const HOST_LIST_INTERVAL_MS: u64 = 1_000;

/// Long-poll timeout of a request for notices.
const NOTICE_LONG_POLL_MS: u64 = 1_000;

/// Attempts to forward a notice to a peer.
///
/// With the delays between them they last as long as the longest notice period.
const MAX_SEND_ATTEMPTS: u32 = 120;

/// Delay after a failed call to the cloud or to a peer.
const RETRY_DELAY_MS: u64 = 250;

/// Keeps the host table up to date until `shutdown`.
pub(super) async fn poll_host_list(node: Arc<Node>, shutdown: CancellationToken) {
    loop {
        match (
            node.cloud.hosts().await,
            node.core.blackboard.active_configuration(),
        ) {
            (Ok(list), Some(in_force)) => {
                let now = node.core.clock.now();
                let blackboard = &node.core.blackboard;
                node.hosts
                    .lock()
                    .apply(blackboard, &in_force.document, &list, now);
                node.placement.lock().record_host_list(in_force.revision);
                // Without capacity for the new hosts, their first requests would be refused.
                node.refresh_gates();
            }
            (Ok(_), None) => {}
            // Known hosts stay in use: an unavailable platform says nothing about their state.
            (Err(error), _) => {
                log::info!(error:% = error; "the host list cannot be read; known hosts stay in use");
            }
        }
        tokio::select! {
            () = shutdown.cancelled() => return,
            () = node.revision_changed.notified() => {}
            () = tokio::time::sleep(Duration::from_millis(HOST_LIST_INTERVAL_MS)) => {}
        }
    }
}

/// Receives notices from the cloud and forwards new ones to the peers, until `shutdown`.
///
/// Each node polls the cloud and forwards to all others, so that a node disconnected from the cloud
/// or from its peers still learns of a notice within two seconds.
pub(super) async fn poll_notices(node: Arc<Node>, shutdown: CancellationToken) {
    let mut from = 0;
    loop {
        let polled = tokio::select! {
            () = shutdown.cancelled() => return,
            polled = node.cloud.notices(from, NOTICE_LONG_POLL_MS) => polled,
        };
        match polled {
            Ok(page) => {
                from = page.next;
                let notices: Vec<_> = page
                    .notices
                    .into_iter()
                    .map(|notice| HostNotice {
                        host: notice.host,
                        leave_at_ms: notice.leave_at_ms,
                    })
                    .collect();
                let new = node.apply_notices(&notices);
                node.record_notices(&new);
                forward_notices(&node, &new);
            }
            Err(error) => {
                log::info!(error:% = error; "notices cannot be read; retrying");
                tokio::time::sleep(Duration::from_millis(RETRY_DELAY_MS)).await;
            }
        }
    }
}

pub(super) fn forward_notices(node: &Arc<Node>, notices: &[HostNotice]) {
    if notices.is_empty() {
        return;
    }
    for member in node.directory.others() {
        let (node, notices) = (Arc::clone(node), notices.to_vec());
        tokio::spawn(async move { send_notices(&node, member.incarnation, &notices).await });
    }
}

/// Sends notices to a peer, with retries until the peer replies or is gone.
///
/// Without retries, one broken connection would be enough for a peer that cannot reach the cloud to
/// keep sending work to hosts under notice and to leave its streams on them.
async fn send_notices(node: &Node, peer: Incarnation, notices: &[HostNotice]) {
    for _attempt in 0..MAX_SEND_ATTEMPTS {
        let request = Request::Notices(notices.to_vec());
        match node.core.peers.call(peer, request).await {
            Ok(_) | Err(Unreachable::Gone) => return,
            Err(Unreachable::Refusing | Unreachable::Silent) => {
                tokio::time::sleep(Duration::from_millis(RETRY_DELAY_MS)).await;
            }
        }
    }
}

impl Node {
    /// Marks the hosts as leaving; returns the notices that were new.
    pub(super) fn apply_notices(&self, notices: &[HostNotice]) -> Vec<HostNotice> {
        let mut new = Vec::new();
        for notice in notices {
            let host = HostKey::from_name(&notice.host);
            let known = KnownNotice {
                host,
                leave_at_ms: notice.leave_at_ms,
                received_at_ms: self.core.clock.now(),
            };
            if self.hosts.lock().record_notice(known) {
                let state = HostState::Leaving {
                    leave_at_ms: notice.leave_at_ms,
                };
                self.core
                    .blackboard
                    .with_host(host, |row| row.state = state);
                self.core
                    .suspicion
                    .record_announced_leave(host, notice.leave_at_ms);
                log::info!(host = notice.host.as_str(), leave_at_ms = notice.leave_at_ms.0; "received a termination notice; the host gets no new requests");
                new.push(notice.clone());
            }
        }
        if !new.is_empty() {
            self.notices_changed.notify_one();
        }
        new
    }
}
