//! Rendezvous hashing: nodes with the same view of the membership assign a task to the same node.
//!
//! Highest-random-weight hashing: each pair of task and node has a weight, and the node with the
//! highest weight is chosen. When a node leaves, only its own tasks move.

use twox_hash::XxHash3_64;

use crate::keys::Incarnation;

#[cfg(test)]
mod tests;

/// Returns the weight of a node for a task.
fn weight(task: &[u8], node: Incarnation) -> u64 {
    XxHash3_64::oneshot_with_seed(node.0, task)
}

/// Returns the node with rank `rank` (from 0) for a task; `None` if there are fewer nodes.
#[must_use]
pub fn choose(task: &[u8], nodes: &[Incarnation], rank: usize) -> Option<Incarnation> {
    let mut by_weight: Vec<(u64, Incarnation)> = nodes
        .iter()
        .map(|node| (weight(task, *node), *node))
        .collect();
    by_weight.sort_unstable_by(|a, b| b.cmp(a));
    by_weight.get(rank).map(|(_, node)| *node)
}

/// Returns the rank of `node` (from 0) for a task; the number of nodes if `node` is absent.
#[must_use]
pub fn rank_of(task: &[u8], nodes: &[Incarnation], node: Incarnation) -> usize {
    if !nodes.contains(&node) {
        return nodes.len();
    }
    let own = (weight(task, node), node);
    let before = nodes
        .iter()
        .filter(|other| (weight(task, **other), **other) > own);
    before.count()
}
