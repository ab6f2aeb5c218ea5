//! Brings accepted revisions into force, from the log and from peers.

use std::sync::Arc;
use std::time::Duration;

use tokio_util::sync::CancellationToken;

use super::Node;
use super::messages::{Reply, Request};
use crate::blackboard::ActiveConfiguration;
use crate::coordination::configuration::Snapshot;
use crate::keys::Incarnation;
use crate::membership::Member;
use crate::requests::links::Peers;

/// Between two questions to a peer for a newer revision.
///
/// The log and the peers' pushes bring revisions at once; asking repairs what both have missed.
const ASK_INTERVAL_MS: u64 = 2_000;

/// Up to so many other nodes, a revision is handed to all of them.
const SMALL_FLEET: usize = 12;

/// Nodes of a larger fleet to which each node hands a revision.
const HANDED_TO: usize = 3;

/// Puts in force what the log or a peer brings, until `shutdown`.
pub(super) async fn follow(node: Arc<Node>, shutdown: CancellationToken) {
    let mut revision = node.configuration.watch_revision();
    loop {
        if node.bring_into_force() {
            push(&node);
        }
        tokio::select! {
            () = shutdown.cancelled() => return,
            changed = revision.changed() => if changed.is_err() { return },
        }
    }
}

/// Asks peers in turn for a newer revision, until `shutdown`.
pub(super) async fn ask_peers(node: Arc<Node>, shutdown: CancellationToken) {
    let mut turn = 0_usize;
    loop {
        let others = node.directory.others();
        if let Some(member) = turn
            .checked_rem(others.len())
            .and_then(|index| others.get(index))
        {
            let than = node.revision();
            let asked = node
                .core
                .peers
                .call(member.incarnation, Request::Newest { than });
            if let Ok(Reply::Newest(Some(snapshot))) = asked.await {
                node.adopt_configuration(&snapshot);
            }
        }
        turn = turn.wrapping_add(1);
        // A node without a document asks often: it refuses all callers until it has one.
        let pause_ms = if node.revision() == 0 {
            ASK_INTERVAL_MS / 10
        } else {
            ASK_INTERVAL_MS
        };
        tokio::select! {
            () = shutdown.cancelled() => return,
            () = tokio::time::sleep(Duration::from_millis(pause_ms)) => {}
        }
    }
}

fn push(node: &Arc<Node>) {
    let Some(snapshot) = node.configuration.fold().with(|fold| fold.snapshot()) else {
        return;
    };
    for member in chosen(node.core.own, snapshot.revision, node.directory.others()) {
        let (node, snapshot) = (Arc::clone(node), snapshot.clone());
        tokio::spawn(async move {
            // A peer that does not answer asks later, or reads the log.
            drop(
                node.core
                    .peers
                    .call(member.incarnation, Request::Configuration(snapshot))
                    .await,
            );
        });
    }
}

/// The peers to hand a revision to: all of a small fleet, else a few that differ from node to node.
///
/// Each node that learns of a revision hands it on once. Were each to tell all, a change would cost
/// the square of the fleet in documents; told to three, it still reaches all in a few rounds, and
/// nodes that are missed read the log or ask.
fn chosen(own: Incarnation, revision: u64, mut others: Vec<Member>) -> Vec<Member> {
    if others.len() > SMALL_FLEET {
        others.sort_by_cached_key(|member| {
            let pair = [own.0, member.incarnation.0, revision]
                .map(u64::to_be_bytes)
                .concat();
            twox_hash::XxHash3_64::oneshot(&pair)
        });
        others.truncate(HANDED_TO);
    }
    others
}

impl Node {
    /// The revision in force on this node, 0 if there is none.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.core
            .blackboard
            .active_configuration()
            .map_or(0, |in_force| in_force.revision)
    }

    /// Fits the gates to the document in force and to the hosts that take work.
    pub(super) fn refresh_gates(&self) {
        if let Some(in_force) = self.core.blackboard.active_configuration() {
            let core = &self.core;
            core.gates.refresh(&in_force, &core.blackboard, core.clock);
        }
    }

    /// Takes a snapshot that a peer hands over.
    pub(super) fn adopt_configuration(self: &Arc<Self>, snapshot: &Snapshot) {
        if self.configuration.adopt(snapshot) && self.bring_into_force() {
            push(self);
        }
    }

    /// Puts the newest revision held in force; tells whether it was newer.
    fn bring_into_force(&self) -> bool {
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
            log::info!(revision = revision; "a configuration is in force");
            metrics::counter!("teaselline_configuration_revision").absolute(revision);
            self.refresh_gates();
            self.revision_changed.notify_one();
        }
        newer
    }
}

#[cfg(test)]
mod tests;
