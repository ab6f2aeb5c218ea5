//! The configuration in force: routes, pools, teams and their keys.

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

#[cfg(test)]
pub(super) mod tests;
