//! Chooses nodes for a task so that all who see the same nodes choose alike.
//!
//! Highest-random-weight hashing: each pair of task and node has a weight, and the heaviest node
//! is chosen. When a node leaves, only its own tasks move.

use twox_hash::XxHash3_64;

use crate::keys::Incarnation;

#[cfg(test)]
mod tests;

/// The weight of a node for a task.
fn weight(task: &[u8], node: Incarnation) -> u64 {
    XxHash3_64::oneshot_with_seed(node.0, task)
}

/// The node that comes at place `rank` (from 0) for a task.
#[must_use]
pub fn choose(task: &[u8], nodes: &[Incarnation], rank: usize) -> Option<Incarnation> {
    let mut weighed: Vec<(u64, Incarnation)> = nodes
        .iter()
        .map(|node| (weight(task, *node), *node))
        .collect();
    weighed.sort_unstable_by(|a, b| b.cmp(a));
    weighed.get(rank).map(|(_, node)| *node)
}

/// The place of `node` (from 0) for a task; the number of nodes if it is not among them.
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
