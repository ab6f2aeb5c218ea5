//! The messages between nodes and the membership table of a node's peers.
//!
//! Each node sends each peer a heartbeat (`Heartbeat`) several times a second with its liveness, its
//! requests in progress and its admitted totals. Heartbeats hold totals instead of increments, so
//! that a lost one only delays the update. Urgent changes are also sent immediately, as messages of
//! their own.

use std::net::SocketAddr;

use bincode::{Decode, Encode};

use super::active_configuration::{Confirmation, ConfirmationRequest};
use super::demand::Rates;
use super::lease::Holder;
use super::log_position::LogPosition;
use super::pace::Pace;
use super::rollout::{Decision, Observation};
use super::snapshot::Page;
use super::store_contact::StoreAvailability;
use super::strikes::{AgedStrike, Strike};
use super::throttle::LimitReport;
use super::upstreams::{Change, Load, spread_bits, tag};
use super::usage;
use crate::time::TimeMs;

/// Least silence after which a peer is suspected to be down: five heartbeats of a small fleet.
const MIN_SILENCE_TIMEOUT_MS: u64 = 1_000;

/// Heartbeat intervals of a peer after which it is suspected to be down, for large fleets.
///
/// With 87 nodes heartbeats are half a second apart. A peer that counted as down between two of
/// them would repeatedly drop out of the division of limits and of the election of the node that
/// reads the store for all.
const SILENCE_TIMEOUT_INTERVALS: u64 = 3;

/// Silence after which a peer is removed from the table.
///
/// Until then it counts in the division of limits, since it may still serve callers behind a network
/// partition. It cannot serve longer than its configuration stays fresh, which is some seconds.
pub(crate) const PEER_EXPIRY_MS: u64 = 20_000;

/// The identity, addresses and capacity of one node.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub(crate) struct Member {
    pub name: String,
    /// Random number, new at each start of the node.
    pub incarnation: u64,
    /// Address for datagrams of peers.
    pub gossip_address: SocketAddr,
    /// Address on which callers connect.
    pub caller_address: SocketAddr,
    pub failure_domain: String,
    /// Estimated capacity in requests per second, used only to compare nodes.
    pub capacity_per_s: f64,
}

/// A datagram between nodes.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub(crate) enum Message {
    Heartbeat(Box<Heartbeat>),
    Upstreams(UpstreamChanges),
    /// Requests announcements of upstreams.
    QueryUpstreams(AnnouncementsQuery),
    UpstreamsPage(Page),
    /// Asks a peer whether the configuration is current.
    QueryConfirmation(ConfirmationRequest),
    Confirmation(Confirmation),
    /// A decision on a rollout by the node that holds the duties.
    Decided(Decision),
    /// The incarnation of a node and its rollout observations since its start.
    Observed(u64, Vec<Observation>),
    Strike(Strike),
    /// The rate limit that an upstream stated to a node.
    Limit(LimitReport),
    /// Totals that nodes admitted for one team since their starts, by incarnation. Sent between two
    /// heartbeats to the team's collector, which sends them to all nodes.
    Admitted {
        team: u64,
        totals: Vec<(u64, f64)>,
    },
    /// The tag of an upstream that stated in a response that it is leaving.
    Leaving(u64),
}

impl Message {
    /// Returns the store era that the sender knows and its age in milliseconds, if the message has it.
    pub fn era(&self) -> Option<(u64, u64)> {
        match self {
            Self::Heartbeat(pulse) => Some((pulse.era, pulse.era_age_ms)),
            Self::Upstreams(news) => Some((news.to.era, 0)),
            Self::UpstreamsPage(page) => Some((page.end.era, 0)),
            Self::Confirmation(confirmation) => Some((confirmation.end.era, 0)),
            Self::QueryUpstreams(asked) => Some((asked.read_to.era, 0)),
            Self::QueryConfirmation(question) => Some((question.read_to.era, 0)),
            _ => None,
        }
    }
}

/// A request for the announcements of upstreams that a node lacks.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub(crate) struct AnnouncementsQuery {
    /// End of the announcements that the node has read; zero if it has read none.
    pub read_to: LogPosition,
    /// Start of later announcements that the node has; `None` if it lacks all that follow.
    pub until: Option<LogPosition>,
    /// The id after which the requested page of the upstream table begins.
    pub after: Option<String>,
}

/// Changes of upstreams, read from the store between two offsets.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub(crate) struct UpstreamChanges {
    pub from: LogPosition,
    pub to: LogPosition,
    pub changes: Vec<Change>,
    /// When the log had been read to its end, as the fleet's median time of day in Unix
    /// milliseconds; `None` while further records are known to follow.
    pub read_at_day_ms: Option<u64>,
    /// Whether the recipient relays the changes to the peers in its failure domain.
    pub is_relayed: bool,
    /// Whether the store was unavailable until just now, so that removals may be expired records.
    ///
    /// Most nodes do not read the store themselves and have not noticed the outage. Without this
    /// flag they would drop all live upstreams that could not announce themselves meanwhile, all at
    /// once.
    pub store_was_away: bool,
}

/// The heartbeat of a node: its full state for its peers, sent several times a second.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub(crate) struct Heartbeat {
    pub member: Member,
    /// A random live member, which spreads the membership to all nodes.
    pub introduced: Option<Member>,
    /// Whether the node accepts requests.
    pub is_ready: bool,
    /// Whether the node is stopping.
    pub is_stopping: bool,
    /// Whether the store answers the node.
    pub store: StoreAvailability,
    /// The store's era.
    pub era: u64,
    /// Time since the era became known.
    pub era_age_ms: u64,
    /// The version of the node's configuration.
    pub configuration_version: u64,
    /// The node's time of day, in Unix milliseconds.
    pub time_of_day_ms: u64,
    /// Time until the node's next heartbeat.
    pub interval_ms: u64,
    /// The load that the node puts on each upstream, by the upstream's tag.
    pub loads: Vec<(u64, Load)>,
    /// Requests that began to execute, by usage window and team.
    pub usage: Vec<usage::UsageRow>,
    /// Quota units that the node admitted since its start, by the team's tag.
    pub admitted: Vec<(u64, f64)>,
    /// Measured engine speeds by the pool's tag; most heartbeats omit them.
    pub paces: Vec<(u64, Pace)>,
    /// Demand on engines at this node, by pool.
    pub demand: Vec<Rates>,
    /// If the node holds the duties: the end of the lease log and its fencing token.
    pub lease: Option<(LogPosition, LogPosition)>,
    /// The node's rollout observations.
    pub observed: Vec<Observation>,
    /// The rollout decisions, if the node holds the duties.
    pub decided: Vec<Decision>,
    /// Upstreams that crashed under requests that are now blocked.
    pub strikes: Vec<AgedStrike>,
    /// Rate limits that upstreams stated recently.
    pub limits: Vec<LimitReport>,
    /// Upstreams that stated in responses, but not in their announcements, that they are leaving.
    pub leaving: Vec<u64>,
}

/// The state of one peer as of its last heartbeat.
#[derive(Clone, Debug)]
pub(crate) struct Peer {
    pub member: Member,
    /// When the last heartbeat arrived; zero if none has.
    pub last_heartbeat_at: TimeMs,
    /// When the peer was added to the table.
    added_at: TimeMs,
    /// Interval between its heartbeats.
    interval_ms: u64,
    pub is_ready: bool,
    pub is_stopping: bool,
    pub store: StoreAvailability,
    /// The peer's time of day minus this node's monotonic clock at the last heartbeat.
    pub time_of_day_offset_ms: i128,
}

/// The membership table: all peers of this node, sorted by name.
#[derive(Debug)]
pub(crate) struct Peers {
    own: Member,
    peers: Vec<Peer>,
}

impl Peers {
    /// Creates the table of a node that knows no peer yet.
    #[must_use]
    pub fn new(own: Member) -> Self {
        Self {
            own,
            peers: Vec::new(),
        }
    }

    /// Returns this node's own member record.
    pub fn own(&self) -> &Member {
        &self.own
    }

    /// Iterates over all peers, live or silent.
    pub fn iter(&self) -> impl Iterator<Item = &Peer> {
        self.peers.iter()
    }

    /// Iterates over the live peers: those with a recent heartbeat.
    pub fn live(&self, now: TimeMs) -> impl Iterator<Item = &Peer> {
        (self.peers.iter()).filter(move |peer| is_live(peer, now))
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
        let found = (self.peers).binary_search_by(|peer| peer.member.name.cmp(&member.name));
        match found {
            // A live peer's own heartbeats are newer than the records of others about it.
            Ok(index) if is_live(&self.peers[index], now) => {}
            Ok(index) if self.peers[index].member == member => {}
            Ok(index) => self.peers[index] = Peer::new(member, now),
            Err(index) => self.peers.insert(index, Peer::new(member, now)),
        }
    }

    /// Updates a peer from its heartbeat.
    pub fn record_heartbeat(&mut self, pulse: &Heartbeat, now: TimeMs) {
        let member = &pulse.member;
        if member.name == self.own.name {
            return;
        }
        let found = (self.peers).binary_search_by(|peer| peer.member.name.cmp(&member.name));
        let index = found.unwrap_or_else(|index| {
            log::info!(peer = member.name.as_str(); "received a heartbeat of an unknown peer; it is added to the members");
            self.peers.insert(index, Peer::new(member.clone(), now));
            index
        });
        let peer = &mut self.peers[index];
        peer.member = member.clone();
        peer.last_heartbeat_at = now;
        peer.interval_ms = pulse.interval_ms;
        peer.is_ready = pulse.is_ready;
        peer.is_stopping = pulse.is_stopping;
        peer.store = pulse.store;
        peer.time_of_day_offset_ms = i128::from(pulse.time_of_day_ms) - i128::from(now.0);
    }

    /// Removes the peers that have been silent for too long.
    pub fn remove_expired(&mut self, now: TimeMs) {
        self.peers.retain(|peer| {
            let since = peer.last_heartbeat_at.max(peer.added_at);
            now.since(since) < PEER_EXPIRY_MS
        });
    }

    /// Returns the number of known nodes that are not stopping, this one included.
    ///
    /// Peers without a heartbeat count too: a node that has just started has heard from few of the
    /// others and would otherwise claim the whole of a shared budget.
    pub fn known_nodes(&self) -> u32 {
        let others = self.peers.iter().filter(|peer| !peer.is_stopping).count();
        u32::try_from(others + 1).unwrap_or(u32::MAX)
    }

    /// Returns how many nodes have ever sent a heartbeat and how many are live, this one included.
    ///
    /// Stopping peers are not counted.
    pub fn visibility(&self, now: TimeMs) -> super::quota::FleetVisibility {
        let serving = self.peers.iter().filter(|peer| !peer.is_stopping);
        let known = serving
            .filter(|peer| peer.last_heartbeat_at > TimeMs(0))
            .count();
        let heard = self.active(now).count();
        super::quota::FleetVisibility {
            known: u32::try_from(known + 1).unwrap_or(u32::MAX),
            heard: u32::try_from(heard + 1).unwrap_or(u32::MAX),
        }
    }

    /// Returns whether this node is elected, as the first eligible one by name, to do a task for all.
    ///
    /// `can` says whether this node is eligible; a peer is eligible if the store answers it.
    pub fn is_elected(&self, can: bool, now: TimeMs) -> bool {
        let first = (self.active(now))
            .find(|peer| peer.store == StoreAvailability::Answering)
            .map(|peer| peer.member.name.as_str());
        can && first.is_none_or(|first| self.own.name.as_str() < first)
    }

    /// Returns the datagram addresses of the live peers in this node's failure domain.
    pub fn same_domain_addresses(&self, now: TimeMs) -> Vec<SocketAddr> {
        (self.live(now))
            .filter(|peer| peer.member.failure_domain == self.own.failure_domain)
            .map(|peer| peer.member.gossip_address)
            .collect()
    }

    /// Returns the address of the peer that collects the admitted totals of a team; `None` if this
    /// node does.
    ///
    /// Nodes with the same live peers select the same collector by rendezvous hashing.
    pub fn quota_collector(&self, team: u64, now: TimeMs) -> Option<SocketAddr> {
        let rank = |member: &Member| spread_bits(tag(&member.name) ^ team);
        let first = self.active(now).min_by_key(|peer| rank(&peer.member))?;
        (rank(&first.member) < rank(&self.own)).then_some(first.member.gossip_address)
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
            .map(|peer| peer.time_of_day_offset_ms)
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
    peer.last_heartbeat_at > TimeMs(0) && now.since(peer.last_heartbeat_at) < silence_timeout_ms
}

impl Peer {
    fn new(member: Member, now: TimeMs) -> Self {
        Self {
            member,
            last_heartbeat_at: TimeMs(0),
            added_at: now,
            interval_ms: 0,
            is_ready: false,
            is_stopping: false,
            store: StoreAvailability::NotCalled,
            time_of_day_offset_ms: 0,
        }
    }
}

#[cfg(test)]
pub(super) mod tests;
