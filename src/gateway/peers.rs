//! The membership table: which nodes there are, which of them are alive, and their groups.

mod division;

use std::net::SocketAddr;

use division::Division;

use super::groups::GroupPosition;
use super::lease::Holder;
use super::messages::{Heartbeat, Member, Status, UnreachedPools};
use super::rank;
use super::relay::ALIVE_INTERVAL_MS;
use super::store_contact::StoreAvailability;
use super::upstreams::tag;
use crate::time::TimeMs;

/// Least silence after which a peer is suspected to be down: five heartbeats of a small fleet.
const MIN_SILENCE_TIMEOUT_MS: u64 = 1_000;

/// Heartbeat intervals of a peer after which it is suspected to be down, for large fleets.
///
/// Heartbeats of a full group are 0.4 s apart, and lists of the live nodes of other groups 0.8 s.
/// A peer that counted as down between two of them would repeatedly drop out of the division of
/// limits and of the election of the node that reads the store for all.
const SILENCE_TIMEOUT_INTERVALS: u64 = 3;

/// Silence after which a peer is removed from the table.
///
/// Until then it counts in the division of limits, since it may still serve callers behind a network
/// partition. It cannot serve longer than its configuration stays fresh, which is some seconds.
pub(crate) const PEER_EXPIRY_MS: u64 = 20_000;

/// Number of nodes that keep the accounts of all nodes, to perform the duties or to take them over.
const ACCOUNT_KEEPERS: usize = 3;

/// Most nodes of a group that pass on the reports of other groups.
const MAX_CARRIERS: usize = 3;

/// Share of the capacity of the strongest node of a group from which a node passes on the reports
/// of other groups. Stronger nodes carry what a weak host's link cannot.
const MIN_CARRIER_SHARE: f64 = 0.5;

/// The state of one peer as of its last heartbeat.
#[derive(Clone, Debug)]
pub(crate) struct Peer {
    pub member: Member,
    /// When the peer was last reported alive, by its heartbeat or by its group; zero if it never was.
    pub last_heartbeat_at: TimeMs,
    /// When the peer was added to the table.
    added_at: TimeMs,
    /// Interval between its heartbeats, or between the reports of its group.
    interval_ms: u64,
    /// Whether its group has reported it silent and not alive since.
    is_suspected: bool,
    /// Sequence number of the last status.
    sequence: u64,
    pub is_ready: bool,
    pub is_stopping: bool,
    pub store: StoreAvailability,
    /// Tags of the pools whose upstreams the peer does not reach.
    unreached: Vec<u64>,
    /// The peer's time of day minus this node's monotonic clock at its last heartbeat; `None`
    /// without a heartbeat, at a peer of another group.
    pub time_of_day_offset_ms: Option<i128>,
    position: GroupPosition,
}

/// A peer that may send a request in place of this node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ForwardTarget {
    pub incarnation: u64,
    pub name: String,
    pub address: SocketAddr,
}

/// All peers of this node, sorted by name.
#[derive(Debug)]
pub(crate) struct Peers {
    own: Member,
    own_position: GroupPosition,
    by_name: Vec<Peer>,
    /// Computed when first needed after a change of the members.
    division: Option<Division>,
}

/// The node that ranks first and acts for the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ActingNode {
    /// This node.
    Own,
    /// The node that receives datagrams on this address.
    Peer(SocketAddr),
}

impl Peers {
    /// Creates the table of a node that knows no peer yet.
    #[must_use]
    pub fn new(own: Member) -> Self {
        Self {
            own_position: GroupPosition::new(&own.failure_domain, &own.name),
            own,
            by_name: Vec::new(),
            division: None,
        }
    }

    /// Returns this node's own member record.
    pub fn own(&self) -> &Member {
        &self.own
    }

    /// Iterates over all peers, live or silent.
    pub fn iter(&self) -> impl Iterator<Item = &Peer> {
        self.by_name.iter()
    }

    /// Iterates over the live peers: those with a recent heartbeat.
    pub fn live(&self, now: TimeMs) -> impl Iterator<Item = &Peer> {
        (self.by_name.iter()).filter(move |peer| is_live(peer, now))
    }

    /// Iterates over the live peers that are not stopping.
    pub fn active(&self, now: TimeMs) -> impl Iterator<Item = &Peer> {
        self.live(now).filter(|peer| !peer.is_stopping)
    }

    /// Adds a member that the store or another node named.
    pub fn add_member(&mut self, member: Member, now: TimeMs) {
        if member.name == self.own.name {
            return;
        }
        let found = (self.by_name).binary_search_by(|peer| peer.member.name.cmp(&member.name));
        match found {
            // A live peer's own heartbeats are newer than the records of others about it.
            Ok(index) if is_live(&self.by_name[index], now) => {}
            Ok(index) if self.by_name[index].member == member => {}
            Ok(index) => {
                self.by_name[index] = Peer::new(member, now);
                self.division = None;
            }
            Err(index) => {
                self.by_name.insert(index, Peer::new(member, now));
                self.division = None;
            }
        }
    }

    /// Updates a peer from its heartbeat.
    pub fn record_heartbeat(&mut self, heartbeat: &Heartbeat, now: TimeMs) {
        let member = &heartbeat.member;
        if member.name == self.own.name {
            return;
        }
        let found = (self.by_name).binary_search_by(|peer| peer.member.name.cmp(&member.name));
        let index = found.unwrap_or_else(|index| {
            log::info!(peer = member.name.as_str(); "received a heartbeat of an unknown peer; it is added to the members");
            self.by_name.insert(index, Peer::new(member.clone(), now));
            self.division = None;
            index
        });
        let peer = &mut self.by_name[index];
        if peer.member != *member {
            let is_restarted = peer.member.incarnation != member.incarnation;
            peer.sequence = if is_restarted { 0 } else { peer.sequence };
            peer.member = member.clone();
            self.division = None;
        }
        let peer = &mut self.by_name[index];
        peer.record_alive(heartbeat.interval_ms, now);
        if heartbeat.status.sequence >= peer.sequence {
            peer.record_status(&heartbeat.status);
        }
        peer.time_of_day_offset_ms = Some(i128::from(heartbeat.time_of_day_ms) - i128::from(now.0));
    }

    /// Records a status that a peer's group reported; returns whether it is newer than the known one.
    pub fn record_status(&mut self, status: &Status) -> bool {
        let Some(index) = self.division().find(status.incarnation) else {
            return false;
        };
        let peer = &mut self.by_name[index];
        let is_newer = status.sequence > peer.sequence;
        if is_newer {
            peer.record_status(status);
        }
        is_newer
    }

    /// Records a peer's change of the pools that it reaches, unless a newer one is known.
    pub fn record_unreached(&mut self, unreached: &UnreachedPools) {
        let Some(index) = self.division().find(unreached.incarnation) else {
            return;
        };
        let peer = &mut self.by_name[index];
        if unreached.sequence > peer.sequence {
            peer.sequence = unreached.sequence;
            peer.unreached.clone_from(&unreached.pools);
        }
    }

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

    /// Returns the name of the peer with this incarnation.
    pub fn name_of(&mut self, incarnation: u64) -> Option<&str> {
        let index = self.division().find(incarnation)?;
        Some(self.by_name[index].member.name.as_str())
    }

    /// Returns the incarnations of all known nodes, this one's included, sorted.
    pub fn incarnations(&self) -> Vec<u64> {
        let own = std::iter::once(self.own.incarnation);
        let mut all: Vec<u64> = (self.iter().map(|peer| peer.member.incarnation))
            .chain(own)
            .collect();
        all.sort_unstable();
        all
    }

    /// Returns the incarnations of the peers without a recent heartbeat.
    pub fn silent_incarnations(&self, now: TimeMs) -> Vec<u64> {
        (self.by_name.iter())
            .filter(|peer| !is_live(peer, now))
            .map(|peer| peer.member.incarnation)
            .collect()
    }

    /// Records the peers that their group reported alive; returns the unknown ones.
    pub fn record_alive(&mut self, alive: &[u64], now: TimeMs) -> Vec<u64> {
        let mut unknown = Vec::new();
        for incarnation in alive {
            match self.division().find(*incarnation) {
                Some(index) => self.by_name[index].record_alive(ALIVE_INTERVAL_MS, now),
                None if *incarnation == self.own.incarnation => {}
                None => unknown.push(*incarnation),
            }
        }
        unknown
    }

    /// Records the peers that their group suspects to be down. This node's own evidence that a peer
    /// of its group is alive goes before it.
    pub fn record_silent(&mut self, silent: &[u64]) {
        let own_group = self.division().own_group;
        for incarnation in silent {
            let division = self.division();
            let Some(index) = division.find(*incarnation) else {
                continue;
            };
            let is_mate = division.is_in_group(index, own_group);
            self.by_name[index].is_suspected |= !is_mate;
        }
    }

    fn division(&mut self) -> &Division {
        let (own, peers) = (self.own_position, &self.by_name);
        self.division
            .get_or_insert_with(|| Division::new(own, peers))
    }

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

    /// Removes the peers that have been silent for too long.
    pub fn remove_expired(&mut self, now: TimeMs) {
        let count = self.by_name.len();
        self.by_name.retain(|peer| {
            let since = peer.last_heartbeat_at.max(peer.added_at);
            now.since(since) < PEER_EXPIRY_MS
        });
        if self.by_name.len() != count {
            self.division = None;
        }
    }

    /// Returns the number of known nodes, this one included.
    ///
    /// Peers without a heartbeat count too: a node that has just started has heard from few of the
    /// others and would otherwise claim the whole of a shared budget. So do stopping peers, which
    /// still spend their share on the requests that they finish.
    pub fn known_nodes(&self) -> u32 {
        u32::try_from(self.by_name.len() + 1).unwrap_or(u32::MAX)
    }

    /// Returns how many nodes have ever sent a heartbeat and how many are live, this one included.
    ///
    /// Stopping peers are not counted.
    pub fn visibility(&self, now: TimeMs) -> super::limits::quota::FleetVisibility {
        let serving = self.by_name.iter().filter(|peer| !peer.is_stopping);
        let known = serving
            .filter(|peer| peer.last_heartbeat_at > TimeMs(0))
            .count();
        let heard = self.active(now).count();
        super::limits::quota::FleetVisibility {
            known: u32::try_from(known + 1).unwrap_or(u32::MAX),
            heard: u32::try_from(heard + 1).unwrap_or(u32::MAX),
        }
    }

    /// Returns whether this node is elected, as the first eligible one, to do a task for all.
    ///
    /// `can` says whether this node is eligible; a peer is eligible if the store answers it.
    pub fn is_elected(&self, can: bool, now: TimeMs) -> bool {
        let mut eligible =
            (self.active(now)).filter(|peer| peer.store == StoreAvailability::Answering);
        can && eligible.all(|peer| rank::cmp_election(&self.own, &peer.member).is_lt())
    }

    /// Returns whether a peer is in this node's failure domain.
    pub fn is_neighbour(&self, peer: &Peer) -> bool {
        peer.position.is_same_domain(self.own_position)
    }

    /// Returns the datagram addresses of the live peers in this node's failure domain.
    pub fn same_domain_addresses(&self, now: TimeMs) -> Vec<SocketAddr> {
        (self.live(now))
            .filter(|peer| self.is_neighbour(peer))
            .map(|peer| peer.member.gossip_address)
            .collect()
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

    /// Returns the fleet's median time of day, in Unix milliseconds.
    ///
    /// Usage is counted by true time, but the time of day of single hosts may jump by seconds. The
    /// median jumps only if half of the nodes jump together.
    pub fn agreed_time_of_day(&self, own_time_of_day: TimeMs, now: TimeMs) -> TimeMs {
        let mut offsets: Vec<i128> = self
            .live(now)
            .filter_map(|peer| peer.time_of_day_offset_ms)
            .collect();
        offsets.push(i128::from(own_time_of_day.0) - i128::from(now.0));
        offsets.sort_unstable();
        let offset = offsets[offsets.len() / 2];
        TimeMs(u64::try_from(i128::from(now.0) + offset).unwrap_or(0))
    }
}

fn is_live(peer: &Peer, now: TimeMs) -> bool {
    let silence_timeout_ms =
        MIN_SILENCE_TIMEOUT_MS.max(peer.interval_ms * SILENCE_TIMEOUT_INTERVALS);
    let is_heard = peer.last_heartbeat_at > TimeMs(0) && !peer.is_suspected;
    is_heard && now.since(peer.last_heartbeat_at) < silence_timeout_ms
}

impl Peer {
    fn new(member: Member, now: TimeMs) -> Self {
        let position = GroupPosition::new(&member.failure_domain, &member.name);
        Self {
            member,
            last_heartbeat_at: TimeMs(0),
            added_at: now,
            interval_ms: 0,
            is_suspected: false,
            sequence: 0,
            is_ready: false,
            is_stopping: false,
            store: StoreAvailability::NotCalled,
            unreached: Vec::new(),
            time_of_day_offset_ms: None,
            position,
        }
    }

    fn record_alive(&mut self, interval_ms: u64, now: TimeMs) {
        self.last_heartbeat_at = now;
        self.interval_ms = interval_ms;
        self.is_suspected = false;
    }

    fn record_status(&mut self, status: &Status) {
        self.sequence = status.sequence;
        self.is_ready = status.is_ready;
        self.is_stopping = status.is_stopping;
        self.store = status.store;
        self.unreached.clone_from(&status.unreached);
    }

    /// Returns its position in the order by which nodes are divided and selected.
    pub fn position(&self) -> GroupPosition {
        self.position
    }

    /// Whether the peer reaches the upstreams of all pools.
    pub fn reaches_all_pools(&self) -> bool {
        self.unreached.is_empty()
    }
}

#[cfg(test)]
pub(super) mod tests;
