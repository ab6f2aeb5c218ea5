//! The datagrams that nodes exchange.
//!
//! A node sends a heartbeat several times a second to each node of its group (`groups`). One node
//! of the group, the speaker, reports the statuses of the group to one node of each other group,
//! which passes them on to its own group (`relay`). Both state totals instead of increments, so
//! that a lost datagram only delays the update. Urgent changes are also sent immediately, as
//! messages of their own.

use std::net::SocketAddr;

use bincode::{Decode, Encode};

use super::active_configuration::{Confirmation, ConfirmationRequest};
use super::crashes::subjects::Subject;
use super::crashes::{AgedBlock, AgedSound, Crash};
use super::demand::Rates;
use super::fragments::Fragment;
use super::limits::credit::{CreditAsk, CreditGrant};
use super::limits::quota::AdmittedTotal;
use super::limits::throttle::LimitReport;
use super::log_position::LogPosition;
use super::rollout::{Decision, Observation};
use super::scheduling::demand::DemandReport;
use super::snapshot::Page;
use super::speed::pace::Pace;
use super::speed::sums::SpeedRow;
use super::store_contact::StoreAvailability;
use super::streams::{Answer, Origin, Query, Start, StreamKey};
use super::upstreams::{Change, Load};
use super::usage::UsageRow;

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
    /// Report of another group's speaker, which the recipient passes on to its own group.
    GroupReport(GroupReport),
    /// Reports of other groups, passed on by a node of the recipient's group.
    GroupReports(Vec<GroupReport>),
    /// Totals that nodes admitted of one team since their starts, by incarnation. Sent to the team's
    /// collector, which sends them to all nodes if the team spends fast.
    Admitted(Vec<(u64, AdmittedTotal)>),
    /// Usage and demand by node, for the nodes that may have to perform the duties.
    Accounts(Vec<Account>),
    /// Requests the member records of nodes that the sender does not know, by incarnation.
    QueryMembers(Vec<u64>),
    Members(Vec<Member>),
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
    /// An upstream crashed under a request of the sender.
    Crash(Crash),
    /// Parts of prompts under which answers went on though upstreams crashed under them.
    Sound(Vec<AgedSound>),
    /// The rate limit that an upstream stated to a node.
    Limit(LimitReport),
    /// The tag of an upstream that stated in a response that it is leaving.
    Leaving(u64),
    /// Where streams began, for the peers that keep it.
    StreamsBegan(Vec<(StreamKey, Origin)>),
    /// Asks a peer where a stream began.
    QueryStream(Query),
    /// The answer to that.
    StreamStated(Answer),
    /// The pools that a node does not reach, after a change.
    Unreached(UnreachedPools),
    /// A part of a message that exceeds a datagram.
    Fragment(Fragment),
    /// A message that the recipient applies and sends to the other nodes of its group.
    Forward(Box<Message>),
    /// Asks the owner of a team's limit for credit.
    CreditAsk(CreditAsk),
    /// The owner's answer to that.
    CreditGrant(CreditGrant),
    /// The speed of upstreams as another group measured it.
    GroupSpeeds(GroupSpeeds),
    /// What callers ask of a pool that is short of room, at one node or the nodes of one group.
    Demand(DemandReport),
    /// Where streams began, for the speaker of the sender's group, which passes it on.
    StreamsToArchive(Vec<Start>),
    /// Where streams began, for the node that writes it to the store.
    StreamsToWrite(Vec<Start>),
    /// Blocked parts that a request of the sender tests.
    Trials(Vec<Subject>),
    /// An upstream that had fallen silent under a request of the sender has crashed.
    DarkCrash(Crash),
}

impl Message {
    /// Returns the store era that the sender knows and its age in milliseconds, if the message has it.
    pub fn era(&self) -> Option<(u64, u64)> {
        match self {
            Self::Heartbeat(heartbeat) => Some((heartbeat.era, heartbeat.era_age_ms)),
            Self::Upstreams(news) => Some((news.to.era, 0)),
            Self::UpstreamsPage(page) => Some((page.end.era, 0)),
            Self::Confirmation(confirmation) => Some((confirmation.end.era, 0)),
            Self::QueryUpstreams(asked) => Some((asked.read_to.era, 0)),
            Self::QueryConfirmation(question) => Some((question.read_to.era, 0)),
            Self::Forward(message) => message.era(),
            _ => None,
        }
    }

    /// Returns the kind of the message, as a metric label.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Heartbeat(_) => "heartbeat",
            Self::GroupReport(_) => "group_report",
            Self::GroupReports(_) => "group_reports",
            Self::Admitted(_) => "admitted",
            Self::Accounts(_) => "accounts",
            Self::QueryMembers(_) => "query_members",
            Self::Members(_) => "members",
            Self::Upstreams(_) => "upstreams",
            Self::QueryUpstreams(_) => "query_upstreams",
            Self::UpstreamsPage(_) => "upstreams_page",
            Self::QueryConfirmation(_) => "query_confirmation",
            Self::Confirmation(_) => "confirmation",
            Self::Decided(_) => "decided",
            Self::Observed(..) => "observed",
            Self::Crash(_) => "crash",
            Self::DarkCrash(_) => "dark_crash",
            Self::Sound(_) => "sound",
            Self::Trials(_) => "trials",
            Self::Limit(_) => "limit",
            Self::Leaving(_) => "leaving",
            Self::StreamsBegan(_) => "streams_began",
            Self::QueryStream(_) => "query_stream",
            Self::StreamStated(_) => "stream_stated",
            Self::Unreached(_) => "unreached",
            Self::Fragment(_) => "fragment",
            Self::Forward(_) => "forward",
            Self::CreditAsk(_) => "credit_ask",
            Self::CreditGrant(_) => "credit_grant",
            Self::GroupSpeeds(_) => "group_speeds",
            Self::Demand(_) => "demand",
            Self::StreamsToArchive(_) => "streams_to_archive",
            Self::StreamsToWrite(_) => "streams_to_write",
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

/// The heartbeat of a node, sent to the nodes of its group several times a second.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub(crate) struct Heartbeat {
    pub member: Member,
    /// A random live member, which spreads the membership to nodes that missed it.
    pub introduced: Option<Member>,
    pub status: Status,
    /// The store's era.
    pub era: u64,
    /// Time since the era became known.
    pub era_age_ms: u64,
    /// The node's time of day, in Unix milliseconds.
    pub time_of_day_ms: u64,
    /// Time until the node's next heartbeat.
    pub interval_ms: u64,
    /// Requests that began to execute, by usage window and team.
    pub usage: Vec<UsageRow>,
    /// Measured engine speeds by the pool's tag; most heartbeats omit them.
    pub paces: Vec<(u64, Pace)>,
    /// Demand on engines at this node, by pool.
    pub demand: Vec<Rates>,
    /// Measured times of upstreams with news; most heartbeats omit them.
    pub speeds: Vec<SpeedRow>,
}

/// The part of a heartbeat that the nodes of all groups need.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub(crate) struct Status {
    /// Incarnation of the node.
    pub incarnation: u64,
    /// Grows with each heartbeat of the node, so that a status that arrives late is recognised.
    pub sequence: u64,
    /// Whether the node accepts requests.
    pub is_ready: bool,
    /// Whether the node is stopping.
    pub is_stopping: bool,
    /// Whether the store answers the node.
    pub store: StoreAvailability,
    /// The version of the node's configuration.
    pub configuration_version: u64,
    /// The load that the node puts on each upstream, by the upstream's tag.
    pub loads: Vec<(u64, Load)>,
    /// Quota units that the node admitted, of teams with recent requests.
    pub admitted: Vec<AdmittedTotal>,
    /// If the node holds the duties: the end of the lease log and its fencing token.
    pub lease: Option<(LogPosition, LogPosition)>,
    /// The node's rollout observations.
    pub observed: Vec<Observation>,
    /// The rollout decisions, if the node holds the duties.
    pub decided: Vec<Decision>,
    /// Contents and parts of prompts that are blocked since upstreams crashed under them.
    pub blocks: Vec<AgedBlock>,
    /// Rate limits that upstreams stated recently.
    pub limits: Vec<LimitReport>,
    /// Upstreams that stated in responses, but not in their announcements, that they are leaving.
    pub leaving: Vec<u64>,
    /// Tags of the pools whose upstreams the node does not reach.
    pub unreached: Vec<u64>,
}

/// The pools that a node does not reach.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub(crate) struct UnreachedPools {
    /// Incarnation of the node.
    pub incarnation: u64,
    /// See [`Status::sequence`].
    pub sequence: u64,
    /// Tags of the pools.
    pub pools: Vec<u64>,
}

impl Status {
    /// Returns the status as of `later_ms` after it was built.
    #[must_use]
    pub fn aged(mut self, later_ms: u64) -> Self {
        for block in &mut self.blocks {
            block.age_ms += later_ms;
            block.idle_ms += later_ms;
        }
        for limit in &mut self.limits {
            limit.age_ms += later_ms;
        }
        self
    }

    /// Whether two statuses differ in more than their sequence numbers and the age of what they
    /// report.
    pub fn is_changed_from(&self, other: &Self) -> bool {
        let blocks = |status: &Self| {
            let mut blocks: Vec<u64> = status.blocks.iter().map(|block| block.subject).collect();
            blocks.sort_unstable();
            blocks
        };
        // A new round of reports alone is no news: it travels with the next admissions.
        let admitted = |status: &Self| {
            let totals = (status.admitted.iter()).map(|one| (one.team, one.base, one.total));
            totals.collect::<Vec<_>>()
        };
        let limits = |status: &Self| {
            let limits = (status.limits.iter()).map(|limit| (limit.upstream, limit.limit_per_s));
            limits.collect::<Vec<_>>()
        };
        (self.is_ready, self.is_stopping, self.store)
            != (other.is_ready, other.is_stopping, other.store)
            || self.configuration_version != other.configuration_version
            || self.loads != other.loads
            || self.lease != other.lease
            || self.observed != other.observed
            || self.decided != other.decided
            || self.leaving != other.leaving
            || self.unreached != other.unreached
            || blocks(self) != blocks(other)
            || limits(self) != limits(other)
            || admitted(self) != admitted(other)
    }
}

/// What the speaker of a group reports on the group to the other groups.
///
/// It names nodes by their incarnations and repeats their statuses unchanged, so that a report that
/// arrives late or from two speakers has no further effect.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub(crate) struct GroupReport {
    /// Incarnations of the nodes that the speaker hears; empty in most reports.
    pub alive: Vec<u64>,
    /// Incarnations of the nodes that are suspected to be down.
    pub silent: Vec<u64>,
    /// Statuses that changed, and others after some time.
    pub statuses: Vec<Status>,
}

/// Measured times of upstreams, summed over the nodes of the speaker's group.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub(crate) struct GroupSpeeds {
    /// Incarnation of the speaker.
    pub speaker: u64,
    /// See [`Status::sequence`].
    pub sequence: u64,
    pub rows: Vec<SpeedRow>,
}

/// The usage and demand at one node.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub(crate) struct Account {
    pub incarnation: u64,
    pub usage: Vec<UsageRow>,
    pub demand: Vec<Rates>,
}
