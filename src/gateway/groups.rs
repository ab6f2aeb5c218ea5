//! Divides the nodes into groups of bounded size, which exchange heartbeats directly.
//!
//! A set of nodes that is larger than a group is divided by failure domain, and a failure domain by
//! the bits of a hash of the nodes' names. All nodes with the same members compute the same groups
//! without coordination, and a node that joins or leaves moves others only where a group reaches the
//! bound. A small fleet is one group.

use std::ops::Range;

use super::upstreams::{spread_bits, tag};

/// Largest group. A node sends each heartbeat to all nodes of its group.
const MAX_GROUP_NODES: usize = 32;

/// The position of a node in the order by which the nodes are divided.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct GroupPosition {
    failure_domain: u64,
    node: u64,
}

impl GroupPosition {
    /// Returns the position of the node with this name.
    #[must_use]
    pub fn new(failure_domain: &str, node: &str) -> Self {
        Self {
            failure_domain: tag(failure_domain),
            node: spread_bits(tag(node)),
        }
    }

    /// Returns whether two nodes are in the same failure domain.
    pub fn is_same_domain(self, other: Self) -> bool {
        self.failure_domain == other.failure_domain
    }

    /// Returns the hash of its failure domain.
    pub fn domain(self) -> u64 {
        self.failure_domain
    }

    /// Returns the rank of the node for a key in rendezvous hashing.
    pub fn rank_for(self, key: u64) -> u64 {
        spread_bits(self.node ^ key)
    }
}

/// The division of the nodes into groups.
#[derive(Clone, Debug, Default)]
pub(crate) struct Groups {
    /// Positions of all nodes, sorted.
    sorted: Vec<GroupPosition>,
    /// Ranges of `sorted` that form one group each, in ascending order.
    ranges: Vec<Range<usize>>,
}

impl Groups {
    /// Divides the nodes at these positions.
    #[must_use]
    pub fn divide(positions: impl Iterator<Item = GroupPosition>) -> Self {
        let mut sorted: Vec<GroupPosition> = positions.collect();
        sorted.sort_unstable();
        let mut ranges = Vec::new();
        if sorted.len() <= MAX_GROUP_NODES {
            ranges.push(0..sorted.len());
        } else {
            let mut start = 0;
            for domain in sorted.chunk_by(|a, b| a.failure_domain == b.failure_domain) {
                let end = start + domain.len();
                split_by_hash(&sorted, start..end, 0, &mut ranges);
                start = end;
            }
        }
        Self { sorted, ranges }
    }

    /// Returns the number of groups.
    pub fn count(&self) -> usize {
        self.ranges.len()
    }

    /// Returns the index of the group of the node at a position.
    pub fn group_of(&self, position: GroupPosition) -> usize {
        let place = self.sorted.partition_point(|other| *other < position);
        let group = self.ranges.partition_point(|range| range.end <= place);
        group.min(self.ranges.len().saturating_sub(1))
    }
}

/// Splits a range by the bits of the nodes' hashes, from the highest, until each part fits a group.
fn split_by_hash(
    sorted: &[GroupPosition],
    range: Range<usize>,
    bit: u32,
    ranges: &mut Vec<Range<usize>>,
) {
    if range.len() <= MAX_GROUP_NODES || bit == u64::BITS {
        ranges.push(range);
        return;
    }
    let is_upper = |position: &GroupPosition| position.node << bit >> (u64::BITS - 1) == 1;
    let lower_count = sorted[range.clone()].partition_point(|position| !is_upper(position));
    let middle = range.start + lower_count;
    for half in [range.start..middle, middle..range.end] {
        if !half.is_empty() {
            split_by_hash(sorted, half, bit + 1, ranges);
        }
    }
}

#[cfg(test)]
mod tests;
