//! Collects the host list and the notices of hosts that are about to go.

use std::sync::Arc;
use std::time::Duration;

use tokio_util::sync::CancellationToken;

use super::Node;
use super::hosts::KnownNotice;
use super::messages::{HostNotice, Request};
use crate::blackboard::HostState;
use crate::coordination::cloud::Cloud;
use crate::keys::{HostKey, Incarnation};
use crate::requests::links::{Peers, Unreachable};

/// Between two looks at the host list.
const LIST_INTERVAL_MS: u64 = 1_000;

/// How long the cloud may hold the answer back when there is no notice.
const NOTICE_WAIT_MS: u64 = 1_000;

/// Tries to tell a peer of a notice; with the pauses, as long as notices run at the most.
const TELL_TRIES: u32 = 120;

/// Pause after the cloud or a peer did not answer.
const FAILURE_PAUSE_MS: u64 = 250;

/// Keeps the host table up to date until `shutdown`.
pub(super) async fn collect_list(node: Arc<Node>, shutdown: CancellationToken) {
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
                node.placement.lock().note_list(in_force.revision);
                // Without room for the hosts just found, the first calls would be refused.
                node.refresh_gates();
            }
            (Ok(_), None) => {}
            // Hosts known stay in use: a platform that is down says nothing about them.
            (Err(error), _) => log::info!(error:% = error; "the host list cannot be read"),
        }
        tokio::select! {
            () = shutdown.cancelled() => return,
            () = node.revision_changed.notified() => {}
            () = tokio::time::sleep(Duration::from_millis(LIST_INTERVAL_MS)) => {}
        }
    }
}

/// Takes notices from the cloud and passes new ones on to the peers, until `shutdown`.
///
/// Each node asks the cloud itself and tells the others, so that a node cut off from either still
/// learns of the notice from the other within its two seconds.
pub(super) async fn collect_notices(node: Arc<Node>, shutdown: CancellationToken) {
    let mut from = 0;
    loop {
        let asked = tokio::select! {
            () = shutdown.cancelled() => return,
            asked = node.cloud.notices(from, NOTICE_WAIT_MS) => asked,
        };
        match asked {
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
                let new = node.take_notices(&notices);
                node.record_notices(&new);
                pass_on(&node, &new);
            }
            Err(error) => {
                log::info!(error:% = error; "notices cannot be read");
                tokio::time::sleep(Duration::from_millis(FAILURE_PAUSE_MS)).await;
            }
        }
    }
}

pub(super) fn pass_on(node: &Arc<Node>, notices: &[HostNotice]) {
    if notices.is_empty() {
        return;
    }
    for member in node.directory.others() {
        let (node, notices) = (Arc::clone(node), notices.to_vec());
        tokio::spawn(async move { tell(&node, member.incarnation, &notices).await });
    }
}

/// Tells a peer, again and again until it answers or is gone.
///
/// A connection that breaks just then is otherwise enough for a peer that is cut off from the cloud
/// to go on sending work to hosts that are about to go, and to leave its streams on them.
async fn tell(node: &Node, peer: Incarnation, notices: &[HostNotice]) {
    for _try in 0..TELL_TRIES {
        let request = Request::Notices(notices.to_vec());
        match node.core.peers.call(peer, request).await {
            Ok(_) | Err(Unreachable::Gone) => return,
            Err(Unreachable::Silent) => {
                tokio::time::sleep(Duration::from_millis(FAILURE_PAUSE_MS)).await;
            }
        }
    }
}

impl Node {
    /// Marks the hosts as leaving; gives the notices that were new.
    pub(super) fn take_notices(&self, notices: &[HostNotice]) -> Vec<HostNotice> {
        let mut new = Vec::new();
        for notice in notices {
            let host = HostKey::from_name(&notice.host);
            let known = KnownNotice {
                host,
                leave_at_ms: notice.leave_at_ms,
                noted_at_ms: self.core.clock.now(),
            };
            if self.hosts.lock().note(known) {
                let state = HostState::Leaving {
                    leave_at_ms: notice.leave_at_ms,
                };
                self.core
                    .blackboard
                    .with_host(host, |row| row.state = state);
                self.core
                    .suspicion
                    .record_announced_leave(host, notice.leave_at_ms);
                log::info!(host = notice.host.as_str(), leave_at_ms = notice.leave_at_ms.0; "a host is about to go");
                new.push(notice.clone());
            }
        }
        if !new.is_empty() {
            self.notices_changed.notify_one();
        }
        new
    }
}
