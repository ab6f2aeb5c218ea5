//! The groups of the known nodes, with the places of the peers in the membership table.

use super::Peer;
use crate::gateway::groups::{GroupPosition, Groups};

/// The groups of the known nodes.
#[derive(Debug)]
pub(super) struct Division {
    /// This node's group.
    pub own_group: usize,
    pub group_count: usize,
    /// Group and index of each peer, sorted.
    by_group: Vec<(usize, usize)>,
    /// Incarnation and index of each peer, sorted.
    by_incarnation: Vec<(u64, usize)>,
}

impl Division {
    /// Divides the peers and this node.
    pub fn new(own_position: GroupPosition, peers: &[Peer]) -> Self {
        let positions = peers.iter().map(|peer| peer.position);
        let groups = Groups::divide(positions.chain([own_position]));
        let mut by_group: Vec<(usize, usize)> = (peers.iter().enumerate())
            .map(|(index, peer)| (groups.group_of(peer.position), index))
            .collect();
        by_group.sort_unstable();
        let mut by_incarnation: Vec<(u64, usize)> = (peers.iter().enumerate())
            .map(|(index, peer)| (peer.member.incarnation, index))
            .collect();
        by_incarnation.sort_unstable();
        Self {
            own_group: groups.group_of(own_position),
            group_count: groups.count(),
            by_group,
            by_incarnation,
        }
    }

    /// Returns whether the peer at an index belongs to a group.
    pub fn is_in_group(&self, index: usize, group: usize) -> bool {
        self.by_group.binary_search(&(group, index)).is_ok()
    }

    /// Returns the group of the peer at an index.
    pub fn group_of(&self, index: usize) -> Option<usize> {
        let found = (self.by_group.iter()).find(|(_group, other)| *other == index);
        found.map(|(group, _index)| *group)
    }

    /// Returns the indices of the peers in a group.
    pub fn peers_of(&self, group: usize) -> impl Iterator<Item = usize> {
        let first = self
            .by_group
            .partition_point(|(other, _index)| *other < group);
        (self.by_group[first..].iter())
            .take_while(move |(other, _index)| *other == group)
            .map(|(_group, index)| *index)
    }

    /// Returns the index of the peer with this incarnation.
    pub fn find(&self, incarnation: u64) -> Option<usize> {
        let found =
            (self.by_incarnation).binary_search_by_key(&incarnation, |(peer, _index)| *peer);
        found.ok().map(|place| self.by_incarnation[place].1)
    }
}
