//! Applies accepted revisions of the configuration, from the log and from peers.

use std::sync::Arc;
use std::time::Duration;

use tokio_util::sync::CancellationToken;

use super::Node;
use super::messages::{Reply, Request};
use crate::blackboard::ActiveConfiguration;
use crate::coordination::configuration::Snapshot;
use crate::keys::Incarnation;
use crate::membership::Member;
use crate::requests::dependencies::Peers;

/// Interval between requests to a peer for a newer revision.
///
/// The log and the pushes of peers deliver revisions without delay; polling covers the case that
/// both were missed.
const POLL_INTERVAL_MS: u64 = 2_000;

/// Maximum number of other nodes up to which a revision is pushed to all of them.
const MAX_FULL_PUSH_PEERS: usize = 12;

/// Peers to which each node pushes a revision in a larger fleet.
const PUSH_FANOUT: usize = 3;

/// Applies new revisions from the log and from peers, until `shutdown`.
pub(super) async fn apply_revisions(node: Arc<Node>, shutdown: CancellationToken) {
    let mut revision = node.configuration.watch_revision();
    loop {
        if node.activate_newest() {
            push_to_peers(&node);
        }
        tokio::select! {
            () = shutdown.cancelled() => return,
            changed = revision.changed() => if changed.is_err() { return },
        }
    }
}

/// Polls one peer after another for a newer revision, until `shutdown`.
pub(super) async fn poll_peers(node: Arc<Node>, shutdown: CancellationToken) {
    let mut next_peer = 0_usize;
    loop {
        let others = node.directory.others();
        if let Some(member) = next_peer
            .checked_rem(others.len())
            .and_then(|index| others.get(index))
        {
            let newer_than = node.revision();
            let polled = node
                .core
                .peers
                .call(member.incarnation, Request::Newest { newer_than });
            if let Ok(Reply::Newest(Some(snapshot))) = polled.await {
                node.adopt_configuration(&snapshot);
            }
        }
        next_peer = next_peer.wrapping_add(1);
        // A node without a document polls at a shorter interval, because it refuses all callers
        // until it has one.
        let pause_ms = if node.revision() == 0 {
            POLL_INTERVAL_MS / 10
        } else {
            POLL_INTERVAL_MS
        };
        tokio::select! {
            () = shutdown.cancelled() => return,
            () = tokio::time::sleep(Duration::from_millis(pause_ms)) => {}
        }
    }
}

fn push_to_peers(node: &Arc<Node>) {
    let Some(snapshot) = node.configuration.fold().with(|fold| fold.snapshot()) else {
        return;
    };
    for member in push_targets(node.core.own, snapshot.revision, node.directory.others()) {
        let (node, snapshot) = (Arc::clone(node), snapshot.clone());
        tokio::spawn(async move {
            // A peer that missed the push polls later or reads the log.
            drop(
                node.core
                    .peers
                    .call(member.incarnation, Request::Configuration(snapshot))
                    .await,
            );
        });
    }
}

/// Returns the peers to push a revision to: all of a small fleet, else a few per node.
///
/// Each node pushes a revision once, when it first receives it. Pushing to all peers would cost a
/// number of documents quadratic in the size of the fleet. With three targets, which differ from
/// node to node, a revision still reaches nearly all nodes in a few rounds; the others read the log
/// or poll.
fn push_targets(own: Incarnation, revision: u64, mut others: Vec<Member>) -> Vec<Member> {
    if others.len() > MAX_FULL_PUSH_PEERS {
        others.sort_by_cached_key(|member| {
            let pair = [own.0, member.incarnation.0, revision]
                .map(u64::to_be_bytes)
                .concat();
            twox_hash::XxHash3_64::oneshot(&pair)
        });
        others.truncate(PUSH_FANOUT);
    }
    others
}

impl Node {
    /// Returns the revision in force on this node, 0 if there is none.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.core
            .blackboard
            .active_configuration()
            .map_or(0, |in_force| in_force.revision)
    }

    /// Updates the admission gates from the document in force and the hosts that accept work.
    pub(super) fn refresh_gates(&self) {
        if let Some(in_force) = self.core.blackboard.active_configuration() {
            let core = &self.core;
            core.gates.refresh(&in_force, &core.blackboard, core.clock);
        }
    }

    /// Applies a snapshot received from a peer, if it is newer.
    pub(super) fn adopt_configuration(self: &Arc<Self>, snapshot: &Snapshot) {
        if self.configuration.adopt(snapshot) && self.activate_newest() {
            push_to_peers(self);
        }
    }

    /// Puts the newest known revision in force; returns whether it was newer than the previous one.
    fn activate_newest(&self) -> bool {
        let held = self.configuration.fold().with(|fold| {
            fold.held().map(|held| ActiveConfiguration {
                revision: held.snapshot.revision,
                document: Clone::clone(&*held.checked),
                text: held.snapshot.document.clone(),
            })
        });
        let Some(new) = held.filter(|new| new.revision > self.revision()) else {
            return false;
        };
        let revision = new.revision;
        let newer = self.core.blackboard.activate_if_newer(new);
        if newer {
            log::info!(revision = revision; "a new configuration revision is in force");
            metrics::counter!("teaselline_configuration_revision").absolute(revision);
            self.refresh_gates();
            self.revision_changed.notify_one();
        }
        newer
    }
}

#[cfg(test)]
mod tests;
