//! Which node acts for others: speakers, carriers of reports, collectors, and peers that take requests.

use std::net::SocketAddr;

use super::{ActingNode, ForwardTarget, Peer, Peers, is_live};
use crate::gateway::lease::Holder;
use crate::gateway::messages::Member;
use crate::gateway::rank;
use crate::gateway::store_contact::StoreAvailability;
use crate::gateway::upstreams::tag;
use crate::time::TimeMs;

/// Most nodes of a group that pass on the reports of other groups.
const MAX_CARRIERS: usize = 3;

/// Share of the capacity of the strongest node of a group from which a node passes on the reports
/// of other groups. Stronger nodes carry what a weak host's link cannot.
const MIN_CARRIER_SHARE: f64 = 0.5;

/// Number of nodes that keep the accounts of all nodes, to perform the duties or to take them over.
const ACCOUNT_KEEPERS: usize = 3;

impl Peers {
    /// Selects a ready peer that reaches a pool, in proportion to the peers' capacity; `None` if no
    /// such peer is left besides those `tried`.
    ///
    /// `draw` is uniform from 0 to 1.
    pub fn forward_target(
        &self,
        pool: u64,
        tried: &[u64],
        draw: f64,
        now: TimeMs,
    ) -> Option<ForwardTarget> {
        let eligible: Vec<&Member> = (self.active(now))
            .filter(|peer| peer.is_ready && !peer.unreached.contains(&pool))
            .map(|peer| &peer.member)
            .filter(|member| !tried.contains(&member.incarnation))
            .collect();
        let capacity_per_s: f64 = eligible.iter().map(|member| member.capacity_per_s).sum();
        let mut left_per_s = draw * capacity_per_s;
        let selected = eligible.iter().find(|member| {
            left_per_s -= member.capacity_per_s;
            left_per_s <= 0.0
        });
        let member = selected.or(eligible.last())?;
        Some(ForwardTarget {
            incarnation: member.incarnation,
            name: member.name.clone(),
            address: member.gossip_address,
        })
    }

    /// Whether this node reports on its group to the others: it ranks first in the group.
    pub fn is_speaker(&mut self, own_reach: StoreAvailability, now: TimeMs) -> bool {
        self.speaker(own_reach, now) == ActingNode::Own
    }

    /// Returns the node that ranks first in this node's group.
    pub fn speaker(&mut self, own_reach: StoreAvailability, now: TimeMs) -> ActingNode {
        let group = self.division().own_group;
        let mates: Vec<usize> = self.division().peers_of(group).collect();
        let live = (mates.into_iter())
            .map(|index| &self.by_name[index])
            .filter(|peer| is_live(peer, now) && !peer.is_stopping);
        self.first_ranked(live, own_reach)
    }

    /// Returns the node that ranks first of all.
    pub fn first_node(&self, own_reach: StoreAvailability, now: TimeMs) -> ActingNode {
        self.first_ranked(self.active(now), own_reach)
    }

    fn first_ranked<'a>(
        &self,
        peers: impl Iterator<Item = &'a Peer>,
        own_reach: StoreAvailability,
    ) -> ActingNode {
        let first = peers.min_by(|a, b| rank::cmp_rank((a.store, &a.member), (b.store, &b.member)));
        match first {
            Some(peer)
                if rank::cmp_rank((peer.store, &peer.member), (own_reach, &self.own)).is_le() =>
            {
                ActingNode::Peer(peer.member.gossip_address)
            }
            _ => ActingNode::Own,
        }
    }

    /// Returns the address of one node of each other group, which passes on this group's reports.
    pub fn carriers(&mut self, now: TimeMs) -> Vec<SocketAddr> {
        let own_group = self.division().own_group;
        let groups: Vec<Vec<usize>> = {
            let division = self.division();
            (0..division.group_count)
                .filter(|group| *group != own_group)
                .map(|group| division.peers_of(group).collect())
                .collect()
        };
        let own_tag = tag(&self.own.name);
        (groups.iter())
            .filter_map(|group| self.carrier(group, own_tag, now))
            .collect()
    }

    /// Returns the carrier of a group for the reports of one speaker.
    ///
    /// Among a few strong nodes of the group each speaker selects one by hash, so that they share
    /// the work. A group of which no node has been heard yet is tried at any of its known nodes.
    fn carrier(&self, group: &[usize], speaker: u64, now: TimeMs) -> Option<SocketAddr> {
        let is_active = |peer: &Peer| is_live(peer, now) && !peer.is_stopping;
        let any_active = group.iter().any(|index| is_active(&self.by_name[*index]));
        let mut eligible: Vec<&Peer> = (group.iter())
            .map(|index| &self.by_name[*index])
            .filter(|peer| !any_active || is_active(peer))
            .collect();
        eligible.sort_unstable_by(|a, b| rank::cmp_election(&a.member, &b.member));
        let strongest = eligible.first()?.member.capacity_per_s;
        (eligible.iter().take(MAX_CARRIERS))
            .filter(|peer| peer.member.capacity_per_s >= strongest * MIN_CARRIER_SHARE)
            .min_by_key(|peer| peer.position.rank_for(speaker))
            .map(|peer| peer.member.gossip_address)
    }

    /// Returns the addresses of the nodes that keep the accounts of all nodes: the holder of the
    /// duties and those that are elected next.
    pub fn account_keepers(&self, holder: Option<&Holder>, now: TimeMs) -> Vec<SocketAddr> {
        let mut eligible: Vec<&Peer> = (self.active(now))
            .filter(|peer| peer.store != StoreAvailability::Failing)
            .collect();
        // As in the election, nodes that the store answers come first.
        eligible.sort_by(|a, b| {
            let is_answered = |peer: &Peer| peer.store == StoreAvailability::Answering;
            (is_answered(b).cmp(&is_answered(a)))
                .then_with(|| rank::cmp_election(&a.member, &b.member))
        });
        let is_holder = |peer: &&&Peer| {
            holder.is_some_and(|holder| holder.incarnation == peer.member.incarnation)
        };
        let holder = eligible.iter().skip(ACCOUNT_KEEPERS).find(is_holder);
        (eligible.iter().take(ACCOUNT_KEEPERS).chain(holder))
            .map(|peer| peer.member.gossip_address)
            .collect()
    }

    /// Returns whether this node is elected, as the first eligible one, to do a task for all.
    ///
    /// `can` says whether this node is eligible; a peer is eligible if the store answers it.
    pub fn is_elected(&self, can: bool, now: TimeMs) -> bool {
        let mut eligible =
            (self.active(now)).filter(|peer| peer.store == StoreAvailability::Answering);
        can && eligible.all(|peer| rank::cmp_election(&self.own, &peer.member).is_lt())
    }

    /// Returns the address of the peer that collects the admitted totals of a team; `None` if this
    /// node does.
    ///
    /// Nodes with the same live peers select the same one of the strong nodes, by rendezvous hashing.
    pub fn quota_collector(&self, team: u64, now: TimeMs) -> Option<SocketAddr> {
        let active = || self.active(now).map(|peer| (&peer.member, peer.position));
        let strongest = (active().map(|(member, _position)| member.capacity_per_s))
            .fold(self.own.capacity_per_s, f64::max);
        let is_strong = |member: &Member| member.capacity_per_s >= strongest * MIN_CARRIER_SHARE;
        let first = active()
            .filter(|(member, _position)| is_strong(member))
            .map(|(member, position)| (position.rank_for(team), member.gossip_address))
            .min()?;
        let own_rank = self.own_position.rank_for(team);
        let is_own = is_strong(&self.own) && own_rank < first.0;
        (!is_own).then_some(first.1)
    }

    /// Returns whether the incarnation that holds the duties is live and not stopping.
    pub fn is_alive(&self, holder: &Holder, now: TimeMs) -> bool {
        self.active(now)
            .any(|peer| peer.member.incarnation == holder.incarnation)
    }
}
