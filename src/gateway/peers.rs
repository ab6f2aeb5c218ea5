//! What nodes tell each other in datagrams, and what this node knows of its peers.
//!
//! Each node sends each other a pulse some times a second: that it lives, and what it has running and
//! admitted. Pulses hold whole counts, so that a lost one costs
//! nothing but time. Changes that must not wait are sent at once besides.

use std::net::SocketAddr;

use bincode::{Decode, Encode};

use super::contact::StoreReach;
use super::demand::Rates;
use super::in_force::{Confirmation, Question};
use super::lease::Holder;
use super::pace::Pace;
use super::place::Place;
use super::rollout::{Decided, Observed};
use super::snapshot::Page;
use super::strikes::{Remembered, Strike};
use super::throttle::Told;
use super::upstreams::{Change, Load, spread, tag};
use super::usage;
use crate::time::TimeMs;

/// A peer that has been silent for longer is taken to be away, for few nodes: five pulses.
const LEAST_SILENT_MS: u64 = 1_000;

/// Pulses that a peer may miss before it is taken to be away, for many nodes.
///
/// With 87 nodes pulses are half a second apart. A peer that counted as away between two pulses
/// would be left out of limits and of the choice of who reads for all, again and again.
const SILENT_PULSES: u64 = 3;

/// A peer that has been silent for longer is forgotten.
///
/// It still counts toward the parts of limits until then, since it may serve on unheard; it cannot
/// serve longer than its configuration stays fresh, which is some seconds.
pub(crate) const FORGET_MS: u64 = 20_000;

/// One node's whereabouts.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub(crate) struct Member {
    pub name: String,
    /// New at each start.
    pub incarnation: u64,
    pub gossip: SocketAddr,
    pub callers: SocketAddr,
    pub failure_domain: String,
    /// Requests a second that it can bear; compares nodes with each other.
    pub capacity_per_s: f64,
}

/// A datagram between nodes.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub(crate) enum Message {
    Pulse(Box<Pulse>),
    Upstreams(UpstreamNews),
    /// Asks for announcements of upstreams.
    AskUpstreams(Asked),
    UpstreamsPage(Page),
    /// Asks whether the configuration is current.
    AskConfirmation(Question),
    Confirmation(Confirmation),
    /// What the node with the duties has decided of a roll-out.
    Decided(Decided),
    /// What a node has seen of roll-outs since its start, by its incarnation.
    Observed(u64, Vec<Observed>),
    Strike(Strike),
    /// What an upstream told a node of its limit.
    Limit(Told),
    /// What nodes have admitted of one team since their starts, by incarnation; told between two
    /// pulses to the team's collector, and by it to all.
    Admitted {
        team: u64,
        totals: Vec<(u64, f64)>,
    },
    /// An upstream, by its tag, has said in an answer that it leaves.
    Leaving(u64),
}

impl Message {
    /// The era of the store that its sender knew, and how long it had known of it, if it says so.
    pub fn era(&self) -> Option<(u64, u64)> {
        match self {
            Self::Pulse(pulse) => Some((pulse.era, pulse.era_age_ms)),
            Self::Upstreams(news) => Some((news.to.era, 0)),
            Self::UpstreamsPage(page) => Some((page.end.era, 0)),
            Self::Confirmation(confirmation) => Some((confirmation.end.era, 0)),
            Self::AskUpstreams(asked) => Some((asked.read_to.era, 0)),
            Self::AskConfirmation(question) => Some((question.read_to.era, 0)),
            _ => None,
        }
    }
}

/// What a node that asks for announcements of upstreams lacks.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub(crate) struct Asked {
    /// Up to where it has read them; zero if it has not.
    pub read_to: Place,
    /// It has what lies from here on; none if it lacks all that follows.
    pub until: Option<Place>,
    /// It wants the page of the table behind this id.
    pub after: Option<String>,
}

/// Changes of upstreams, read from one offset up to another.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub(crate) struct UpstreamNews {
    pub from: Place,
    pub to: Place,
    pub changes: Vec<Change>,
    /// When all up to the end had been read, as the time of day that most nodes agree on, in Unix
    /// milliseconds; none while more is known to follow.
    pub read_at_day_ms: Option<u64>,
    /// Whether the one that gets it tells the peers of its failure domain.
    pub is_handed_on: bool,
    /// Whether the store has only just come back, so that removals may be lapses.
    ///
    /// Most nodes do not ask the store themselves and have not noticed that it was away; they would
    /// drop live upstreams that could not announce themselves meanwhile, all of them at once.
    pub store_was_away: bool,
}

/// What a node says of itself some times a second.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub(crate) struct Pulse {
    pub member: Member,
    /// Another member, so that all come to know each other.
    pub also: Option<Member>,
    /// Whether it takes requests.
    pub is_ready: bool,
    /// Whether it is about to end.
    pub is_stopping: bool,
    /// Whether the store answers it.
    pub store: StoreReach,
    /// The store's era, and how long the node has known of it.
    pub era: u64,
    pub era_age_ms: u64,
    /// The version of its configuration.
    pub configuration_version: u64,
    /// Its time of day, in Unix milliseconds.
    pub time_of_day_ms: u64,
    /// How long until its next pulse.
    pub interval_ms: u64,
    /// Requests it has running, by upstream.
    pub loads: Vec<(u64, Load)>,
    /// Requests it saw begin, by window and team.
    pub usage: Vec<usage::Row>,
    /// What it admitted since its start, by team.
    pub admitted: Vec<(u64, f64)>,
    /// How fast it has learned that engines are, by pool; not in each pulse.
    pub paces: Vec<(u64, Pace)>,
    /// What it is asked of engines, by pool.
    pub demand: Vec<Rates>,
    /// If it has the duties: where their log ends, and its fencing token.
    pub lease: Option<(Place, Place)>,
    /// What it has seen of roll-outs.
    pub observed: Vec<Observed>,
    /// What was decided of roll-outs, if it has the duties.
    pub decided: Vec<Decided>,
    /// Upstreams that broke off under requests which are not sent any more.
    pub strikes: Vec<Remembered>,
    /// What upstreams have told it of their limits a moment ago.
    pub limits: Vec<Told>,
    /// Upstreams that have said in answers, and not in their announcements, that they leave.
    pub leaving: Vec<u64>,
}

/// What is known of one peer.
#[derive(Clone, Debug)]
pub(crate) struct Peer {
    pub member: Member,
    /// When its last pulse came; zero if none has.
    pub heard_at: TimeMs,
    /// When it was first told of.
    known_since: TimeMs,
    /// Between two of its pulses.
    interval_ms: u64,
    pub is_ready: bool,
    pub is_stopping: bool,
    pub store: StoreReach,
    /// Its time of day less this node's running time.
    pub day_offset_ms: i128,
}

/// All peers, sorted by name.
#[derive(Debug)]
pub(crate) struct Peers {
    own: Member,
    peers: Vec<Peer>,
}

impl Peers {
    /// A node that knows no other yet.
    #[must_use]
    pub fn new(own: Member) -> Self {
        Self {
            own,
            peers: Vec::new(),
        }
    }

    /// This node's own whereabouts.
    pub fn own(&self) -> &Member {
        &self.own
    }

    /// All peers, heard or not.
    pub fn iter(&self) -> impl Iterator<Item = &Peer> {
        self.peers.iter()
    }

    /// Peers that have been heard a moment ago.
    pub fn heard(&self, now: TimeMs) -> impl Iterator<Item = &Peer> {
        (self.peers.iter()).filter(move |peer| is_heard(peer, now))
    }

    /// Of these, the peers that are not about to end.
    pub fn staying(&self, now: TimeMs) -> impl Iterator<Item = &Peer> {
        self.heard(now).filter(|peer| !peer.is_stopping)
    }

    /// Takes in that a node exists, from the store or from another node.
    pub fn introduce(&mut self, member: Member, now: TimeMs) {
        if member.name == self.own.name {
            return;
        }
        let found = (self.peers).binary_search_by(|peer| peer.member.name.cmp(&member.name));
        match found {
            // What a peer says of itself is newer than what others say of it.
            Ok(place) if is_heard(&self.peers[place], now) => {}
            Ok(place) if self.peers[place].member == member => {}
            Ok(place) => self.peers[place] = Peer::new(member, now),
            Err(place) => self.peers.insert(place, Peer::new(member, now)),
        }
    }

    /// Takes in a pulse.
    pub fn note_pulse(&mut self, pulse: &Pulse, now: TimeMs) {
        let member = &pulse.member;
        if member.name == self.own.name {
            return;
        }
        let found = (self.peers).binary_search_by(|peer| peer.member.name.cmp(&member.name));
        let place = found.unwrap_or_else(|place| {
            log::info!(peer = member.name.as_str(); "a peer was heard for the first time");
            self.peers.insert(place, Peer::new(member.clone(), now));
            place
        });
        let peer = &mut self.peers[place];
        peer.member = member.clone();
        peer.heard_at = now;
        peer.interval_ms = pulse.interval_ms;
        peer.is_ready = pulse.is_ready;
        peer.is_stopping = pulse.is_stopping;
        peer.store = pulse.store;
        peer.day_offset_ms = i128::from(pulse.time_of_day_ms) - i128::from(now.0);
    }

    /// Forgets peers that have been silent for long.
    pub fn forget(&mut self, now: TimeMs) {
        self.peers.retain(|peer| {
            let since = peer.heard_at.max(peer.known_since);
            now.since(since) < FORGET_MS
        });
    }

    /// How many nodes there may be: this one and all that it has been told of, but for those about to end.
    ///
    /// A node that has just started has heard few of the others and would take for itself what all share.
    pub fn told_of(&self) -> u32 {
        let others = self.peers.iter().filter(|peer| !peer.is_stopping).count();
        u32::try_from(others + 1).unwrap_or(u32::MAX)
    }

    /// How many nodes there are and how many of them are heard, this one included.
    pub fn audience(&self, now: TimeMs) -> super::quota::Audience {
        let serving = self.peers.iter().filter(|peer| !peer.is_stopping);
        let known = serving.filter(|peer| peer.heard_at > TimeMs(0)).count();
        let heard = self.staying(now).count();
        super::quota::Audience {
            known: u32::try_from(known + 1).unwrap_or(u32::MAX),
            heard: u32::try_from(heard + 1).unwrap_or(u32::MAX),
        }
    }

    /// Whether this node is the first by name of those that could do a task for all.
    ///
    /// `can` tells whether this node could.
    pub fn is_first(&self, can: bool, now: TimeMs) -> bool {
        let first = (self.staying(now))
            .find(|peer| peer.store == StoreReach::Answering)
            .map(|peer| peer.member.name.as_str());
        can && first.is_none_or(|first| self.own.name.as_str() < first)
    }

    /// Where the heard peers of this node's failure domain take datagrams.
    pub fn neighbours(&self, now: TimeMs) -> Vec<SocketAddr> {
        (self.heard(now))
            .filter(|peer| peer.member.failure_domain == self.own.failure_domain)
            .map(|peer| peer.member.gossip)
            .collect()
    }

    /// The peer that collects what nodes admit of a team; none if this node does.
    ///
    /// All nodes that hear the same peers choose the same one.
    pub fn collector(&self, team: u64, now: TimeMs) -> Option<SocketAddr> {
        let rank = |member: &Member| spread(tag(&member.name) ^ team);
        let first = self.staying(now).min_by_key(|peer| rank(&peer.member))?;
        (rank(&first.member) < rank(&self.own)).then_some(first.member.gossip)
    }

    /// Whether the run of a node that holds the duties is heard and not about to end.
    pub fn is_alive(&self, holder: &Holder, now: TimeMs) -> bool {
        self.staying(now)
            .any(|peer| peer.member.incarnation == holder.incarnation)
    }

    /// The time of day that most nodes agree on.
    ///
    /// The time of day of single hosts may jump by seconds; usage is counted by true time. The
    /// median of all nodes follows only if half of them jump together.
    pub fn agreed_time_of_day(&self, own_time_of_day: TimeMs, now: TimeMs) -> TimeMs {
        let mut offsets: Vec<i128> = self.heard(now).map(|peer| peer.day_offset_ms).collect();
        offsets.push(i128::from(own_time_of_day.0) - i128::from(now.0));
        offsets.sort_unstable();
        let offset = offsets[offsets.len() / 2];
        TimeMs(u64::try_from(i128::from(now.0) + offset).unwrap_or(0))
    }
}

fn is_heard(peer: &Peer, now: TimeMs) -> bool {
    let silent_ms = LEAST_SILENT_MS.max(peer.interval_ms * SILENT_PULSES);
    peer.heard_at > TimeMs(0) && now.since(peer.heard_at) < silent_ms
}

impl Peer {
    fn new(member: Member, now: TimeMs) -> Self {
        Self {
            member,
            heard_at: TimeMs(0),
            known_since: now,
            interval_ms: 0,
            is_ready: false,
            is_stopping: false,
            store: StoreReach::Unasked,
            day_offset_ms: 0,
        }
    }
}

#[cfg(test)]
pub(super) mod tests;
