//! The membership table: which nodes there are, which of them are alive, and their groups.

mod division;
mod groups;
mod roles;

use std::net::SocketAddr;

use division::Division;

use super::groups::GroupPosition;
use super::messages::{Heartbeat, Member, Status, UnreachedPools};
use super::relay::ALIVE_INTERVAL_MS;
use super::store_contact::StoreAvailability;
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
