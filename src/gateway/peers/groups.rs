//! The groups into which the known nodes are divided, as this node sees them.

use std::net::SocketAddr;

use super::Peers;
use crate::gateway::messages::Member;
use crate::gateway::upstreams::tag;

impl Peers {
    /// Returns the member records of these incarnations, this node's included, as far as they are known.
    pub fn members(&mut self, incarnations: &[u64]) -> Vec<Member> {
        let found: Vec<usize> = {
            let division = self.division();
            (incarnations.iter())
                .filter_map(|incarnation| division.find(*incarnation))
                .collect()
        };
        let peers = found.into_iter().map(|index| &self.by_name[index].member);
        let own = Some(&self.own).filter(|own| incarnations.contains(&own.incarnation));
        peers.chain(own).cloned().collect()
    }

    /// Returns the number of groups into which the known nodes are divided.
    pub fn group_count(&mut self) -> usize {
        self.division().group_count
    }

    /// Returns the datagram addresses of the other nodes of this node's group, live or silent.
    pub fn group_addresses(&mut self) -> Vec<SocketAddr> {
        let group = self.division().own_group;
        let indices: Vec<usize> = self.division().peers_of(group).collect();
        (indices.into_iter())
            .map(|index| self.by_name[index].member.gossip_address)
            .collect()
    }

    /// Returns the incarnations of a node's group, its own included, sorted; `None` if the node is
    /// unknown.
    pub fn group_of(&mut self, incarnation: u64) -> Option<Vec<u64>> {
        let is_own = incarnation == self.own.incarnation;
        let own_group = self.division().own_group;
        let division = self.division();
        let group = match division.find(incarnation) {
            _ if is_own => own_group,
            Some(index) => division.group_of(index)?,
            None => return None,
        };
        let indices: Vec<usize> = division.peers_of(group).collect();
        let peers = indices.into_iter().map(|index| &self.by_name[index]);
        let own = (group == own_group).then_some(self.own.incarnation);
        let mut group: Vec<u64> = peers
            .map(|peer| peer.member.incarnation)
            .chain(own)
            .collect();
        group.sort_unstable();
        Some(group)
    }

    /// Returns an id of this node's group, which lasts as long as its first node by name hash.
    pub fn group_id(&mut self) -> u64 {
        let group = self.division().own_group;
        let mates: Vec<usize> = self.division().peers_of(group).collect();
        let names = mates
            .into_iter()
            .map(|index| &self.by_name[index].member.name);
        let own = tag(&self.own.name);
        names.map(|name| tag(name)).fold(own, u64::min)
    }
}
