//! The configuration in force: routes, pools, teams and their keys.

use bincode::{Decode, Encode};
use bytes::Bytes;

use super::place::Place;
use super::rollout::Order;
use crate::time::TimeMs;

/// A route of the catalog; stands for its place there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct RouteKey(pub usize);

/// A team of the catalog; stands for its place there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct TeamKey(pub usize);

/// One version of the configuration, checked.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Catalog {
    pub version: u64,
    /// Sorted by host, then by prefix.
    pub routes: Vec<Route>,
    /// Sorted by name.
    pub pools: Vec<Pool>,
    /// Sorted by name.
    pub teams: Vec<Team>,
    /// Callers' keys with their teams, sorted by key.
    pub keys: Vec<(String, TeamKey)>,
    pub limits: CallerLimits,
}

/// How often a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Repeat {
    Idempotent,
    AtMostOnce,
}

/// Which requests go to which pool, and within which bounds.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Route {
    pub name: String,
    pub host: String,
    /// Begins and ends with a slash.
    pub path_prefix: String,
    pub repeat: Repeat,
    /// Answers are streams of events.
    pub is_stream: bool,
    /// A stream that broke may go on from the last event received.
    pub is_resumable: bool,
    /// The longest that a caller is kept waiting.
    pub timeout_ms: u64,
    /// An answer, or a stream's first event, is in time within this.
    pub target_ms: u64,
    /// The longest pause between events that is still in time.
    pub gap_target_ms: Option<u64>,
    /// 0 comes first.
    pub priority: u8,
    /// Upstreams that one request may be sent to.
    pub max_upstreams: u32,
    /// Needs no key.
    pub is_public: bool,
    /// Names of pools with their weights, never empty.
    pub targets: Vec<(String, u64)>,
}

/// A group of upstreams that do the same.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Pool {
    pub name: String,
    /// Channels that one upstream accepts from all nodes.
    pub max_channels: usize,
    /// Set if its upstreams are model engines.
    pub engine: Option<Engine>,
    /// Set if upstreams of it can be bought.
    pub scaling: Option<Scaling>,
}

/// What the model engines of a pool can hold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Engine {
    /// Requests that one engine runs at once.
    pub slots: u32,
    /// Tokens that fit into one engine's memory.
    pub cache_tokens: u64,
    /// How fast one engine copies what another has read of a prompt; none if they cannot.
    pub copy_tokens_per_ms: Option<f64>,
}

/// Within which bounds upstreams may be bought, and at which prices.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Scaling {
    /// Fewest upstreams in one failure domain, of both kinds together.
    pub least: u32,
    /// Most upstreams in one failure domain, of both kinds together.
    pub most: u32,
    pub boot_ms: u64,
    /// Price of a reclaimable upstream as a part of the list price; none if there are none.
    pub reclaimable_price: Option<f64>,
    /// Failure domains with their list prices a second, sorted by name.
    pub domain_prices: Vec<(String, f64)>,
}

/// A team and what it may use.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Team {
    pub name: String,
    /// Goes before the route's priority.
    pub priority: Option<u8>,
    /// What counts toward its limit.
    pub unit: Unit,
    /// Units a second; none for no limit.
    pub rate_per_s: Option<f64>,
    /// Units beyond the rate that may be used at once.
    pub burst: f64,
}

/// What a team's limit counts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Unit {
    Requests,
    /// Tokens; a request that names none counts as `plain_tokens`.
    Tokens {
        plain_tokens: u64,
    },
}

/// What callers may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct CallerLimits {
    pub max_header_bytes: usize,
    pub max_body_bytes: usize,
    pub header_timeout_ms: u64,
    pub idle_timeout_ms: u64,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            max_header_bytes: 16 * 1024,
            max_body_bytes: 4 * 1024 * 1024,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}

impl Catalog {
    /// The route of a request: of the host's routes, the one with the longest prefix of the path.
    pub fn route_of(&self, host: &str, path: &str) -> Option<RouteKey> {
        let first = self
            .routes
            .partition_point(|route| route.host.as_str() < host);
        let of_host = self.routes[first..]
            .iter()
            .take_while(|route| route.host == host);
        (of_host.enumerate())
            .filter(|(_place, route)| path.starts_with(&route.path_prefix))
            .max_by_key(|(_place, route)| route.path_prefix.len())
            .map(|(place, _route)| RouteKey(first + place))
    }

    /// The route with this key.
    pub fn route(&self, key: RouteKey) -> &Route {
        &self.routes[key.0]
    }

    /// The team that holds a key.
    pub fn team_of(&self, key: &str) -> Option<TeamKey> {
        let found = self
            .keys
            .binary_search_by(|(held, _team)| held.as_str().cmp(key));
        found.ok().map(|place| self.keys[place].1)
    }

    /// The team with this key.
    pub fn team(&self, key: TeamKey) -> &Team {
        &self.teams[key.0]
    }

    /// The pool with this name.
    pub fn pool(&self, name: &str) -> Option<&Pool> {
        let found = self
            .pools
            .binary_search_by(|pool| pool.name.as_str().cmp(name));
        found.ok().map(|place| &self.pools[place])
    }

    /// Whether callers need keys at all.
    pub fn has_teams(&self) -> bool {
        !self.teams.is_empty()
    }
}

impl Route {
    /// Whether a request may run a second time, from its start or from where it broke off.
    pub fn may_repeat(&self) -> bool {
        self.repeat == Repeat::Idempotent || self.is_resumable
    }

    /// The pool for a request, by the weights; `draw` is evenly spread over all values.
    pub fn target(&self, draw: u64) -> &str {
        let total: u64 = self.targets.iter().map(|(_pool, weight)| weight).sum();
        let mut rest = draw % total.max(1);
        for (pool, weight) in &self.targets {
            match rest.checked_sub(*weight) {
                Some(left) => rest = left,
                None => return pool,
            }
        }
        &self.targets[0].0
    }
}

/// The catalog in force and how current it is known to be.
#[derive(Clone, Debug, Default)]
pub(crate) struct InForce {
    pub catalog: std::sync::Arc<Catalog>,
    /// The text that the catalog was made of, for peers that missed it.
    pub document: Bytes,
    /// Up to where the operators' records have been taken in; the start of an era if none of it was.
    pub end: Place,
    /// The store held nothing beyond that at this time; zero if never asked.
    pub current_at: TimeMs,
    /// Up to where records are known to exist, from peers.
    pub known_end: Place,
    /// The newest version that a peer has named.
    pub peer_version: u64,
    /// Until then what the store says is not enough to go by, unless a peer has been heard.
    pub settles_at: TimeMs,
    pub has_heard_peer: bool,
}

/// What a node asks a peer about the configuration.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub(crate) struct Question {
    /// On the clock of the one that asks; zero if nobody does.
    pub asked_at: TimeMs,
    /// Up to where it has taken in the operators' records.
    pub read_to: Place,
    /// The version that it has.
    pub version: u64,
}

/// What a node says of its configuration when a peer asks.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub(crate) struct Confirmation {
    /// When it was asked, on the clock of the one that asked; zero if it was not.
    pub asked_at: TimeMs,
    /// Up to where it has taken in the operators' records.
    pub end: Place,
    /// The version that it has. The store may have lost what that was read from.
    pub version: u64,
    /// How long ago the store held nothing beyond that.
    pub age_ms: u64,
    /// Its configuration, if the one that asked has not read as far and a datagram holds it.
    pub document: Option<Vec<u8>>,
    /// The roll-outs that were ordered, with the document.
    pub orders: Vec<Order>,
}

impl Confirmation {
    /// Adds the orders of roll-outs, if the one that asked has not read as far.
    #[must_use]
    pub fn with_orders(self, orders: Vec<Order>) -> Self {
        let orders = if self.document.is_some() {
            orders
        } else {
            Vec::new()
        };
        Self { orders, ..self }
    }
}

impl InForce {
    /// One that goes by the store alone only from a time on.
    ///
    /// A node that has just started may read a copy from which a version is missing that its peers have, and serve a
    /// key that was taken away in it.
    #[must_use]
    pub fn settling_until(settles_at: TimeMs) -> Self {
        Self {
            settles_at,
            ..Self::default()
        }
    }

    /// Whether there is a configuration.
    pub fn is_known(&self) -> bool {
        self.catalog.version > 0
    }

    /// Whether a peer knows of records that this node has not taken in.
    pub fn is_behind(&self) -> bool {
        self.known_end > self.end
    }

    /// Whether a peer has a newer version, or none of the store's present history has been taken in.
    pub fn is_outdated(&self) -> bool {
        self.is_known() && (self.end.is_start() || self.peer_version > self.catalog.version)
    }

    /// Takes in that the store has come back from a copy.
    ///
    /// Nothing of the new history has been read. What was in force stays, and what was confirmed was true when it was.
    pub fn enter_era(&mut self, era: u64) {
        self.end = self.end.max(Place::start_of(era));
        self.known_end = self.known_end.max(self.end);
    }

    /// Takes in the version that a peer has.
    pub fn note_peer_version(&mut self, version: u64) {
        self.has_heard_peer = true;
        self.peer_version = self.peer_version.max(version);
    }

    /// Takes in that records have been taken in up to a place, beyond which there was nothing at a time.
    ///
    /// What was confirmed of an older era says nothing of this one.
    pub fn confirm(&mut self, end: Place, current_at: TimeMs) {
        if end.era < self.end.era {
            return;
        }
        self.end = self.end.max(end);
        self.current_at = self.current_at.max(current_at);
    }

    /// Takes in that the store was asked at a time and its records have been taken in up to a place; zero if more
    /// follows.
    pub fn confirmed_by_store(&mut self, end: Place, current_at: TimeMs) {
        // A copy may lack a version that a peer has and could not hand over.
        let is_level = self.peer_version <= self.catalog.version;
        self.confirm(end, if is_level { current_at } else { TimeMs(0) });
        if current_at > TimeMs(0) && end.era >= self.end.era {
            // What a peer claimed beyond the store's own end does not exist.
            self.known_end = self.end;
        }
    }

    /// What to ask a peer.
    pub fn question(&self, asked_at: TimeMs) -> Question {
        Question {
            asked_at,
            read_to: self.end,
            version: self.catalog.version,
        }
    }

    /// Takes in what a peer confirms; its document, if any, has been taken in before.
    ///
    /// All that this node knows is current if the peer had read no further and has no newer version. The time is that
    /// of this node's question less the age that the peer named, since a datagram may have waited anywhere.
    pub fn confirmed_by_peer(&mut self, confirmation: &Confirmation, now: TimeMs) {
        self.note_peer_version(confirmation.version);
        let is_level = confirmation.end <= self.end && confirmation.version <= self.catalog.version;
        let is_whole = confirmation.document.is_some() || is_level;
        let current_at = (confirmation.asked_at.0).saturating_sub(confirmation.age_ms);
        match is_whole {
            _ if confirmation.asked_at > now => {}
            true => self.confirm(confirmation.end, TimeMs(current_at)),
            false => self.known_end = self.known_end.max(confirmation.end),
        }
    }

    /// What to answer a peer; nothing if this node knows nothing, or nothing of the store's present history.
    pub fn confirmation(&self, question: &Question, now: TimeMs) -> Option<Confirmation> {
        if !self.is_known() || self.current_at == TimeMs(0) || self.end.is_start() {
            return None;
        }
        let is_newer = question.read_to < self.end || question.version < self.catalog.version;
        let is_handed_over = is_newer && self.document.len() <= LARGEST_DOCUMENT_BYTES;
        Some(Confirmation {
            asked_at: question.asked_at,
            end: self.end,
            version: self.catalog.version,
            age_ms: now.since(self.current_at),
            document: is_handed_over.then(|| self.document.to_vec()),
            orders: Vec::new(),
        })
    }

    /// Whether a key that is accepted now cannot have been taken away for longer than allowed.
    pub fn is_fresh(&self, revoke_ms: u64, now: TimeMs) -> bool {
        let allowed_ms = revoke_ms.saturating_sub(FRESHNESS_MARGIN_MS);
        let is_level = self.has_heard_peer && self.peer_version <= self.catalog.version;
        let is_settled = now >= self.settles_at || is_level;
        is_settled && self.current_at > TimeMs(0) && now.since(self.current_at) < allowed_ms
    }
}

/// Largest configuration that is handed to a peer: with what stands beside it, it fits into one
/// datagram of 65,000 bytes. A peer reads a larger one from the store.
const LARGEST_DOCUMENT_BYTES: usize = 60_000;

/// Kept of the bound on revoked keys for the way of a request to its upstream.
///
/// A request that is accepted at the last moment still has to be read and sent; links and
/// scheduling take tens of milliseconds on a small host.
const FRESHNESS_MARGIN_MS: u64 = 300;

#[cfg(test)]
pub(super) mod tests;
