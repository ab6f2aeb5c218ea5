//! Defines the operators' configuration: routes, pools, teams and API keys.

/// The index of a route in a [`Catalog`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct RouteKey(pub usize);

/// The index of a team in a [`Catalog`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct TeamKey(pub usize);

/// One validated version of the operators' configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Catalog {
    pub version: u64,
    /// Sorted by host, then by prefix.
    pub routes: Vec<Route>,
    /// Sorted by name.
    pub pools: Vec<Pool>,
    /// Sorted by name.
    pub teams: Vec<Team>,
    /// API keys with the team that each belongs to, sorted by key.
    pub keys: Vec<(String, TeamKey)>,
    pub limits: CallerLimits,
}

/// How many times the requests of a route may be executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RepeatPolicy {
    Idempotent,
    AtMostOnce,
}

/// Maps requests of one host and path prefix to pools, with their deadlines and limits.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Route {
    pub name: String,
    pub host: String,
    /// Begins and ends with a slash.
    pub path_prefix: String,
    pub repeat: RepeatPolicy,
    /// Whether responses are event streams.
    pub is_stream: bool,
    /// Whether a broken stream can be resumed after the last event received.
    pub is_resumable: bool,
    /// Total time limit of a request.
    pub timeout_ms: u64,
    /// Latency objective for a response, or for the first event of a stream.
    pub target_ms: u64,
    /// Latency objective for the gap between two events of a stream.
    pub gap_target_ms: Option<u64>,
    /// 0 is the highest priority.
    pub priority: u8,
    /// Maximum number of upstreams that one request may be sent to.
    pub max_upstreams: u32,
    /// Whether requests are accepted without an API key.
    pub is_public: bool,
    /// Pool names with their traffic weights; never empty.
    pub targets: Vec<(String, u64)>,
}

/// A group of interchangeable upstreams.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Pool {
    pub name: String,
    /// Maximum number of connections that one upstream accepts from all nodes together.
    pub max_connections: usize,
    /// Capacity of one upstream; `None` unless the upstreams are model engines.
    pub engine: Option<Engine>,
    /// Autoscaling bounds; `None` if no upstreams can be bought for this pool.
    pub scaling: Option<Scaling>,
}

/// Capacity of one model engine of a pool.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Engine {
    /// Requests that one engine runs concurrently.
    pub slots: u32,
    /// Tokens that fit into the KV cache of one engine.
    pub cache_tokens: u64,
    /// Rate at which one engine copies cached prompt tokens from another; `None` if engines cannot
    /// copy.
    pub copy_tokens_per_ms: Option<f64>,
}

/// How many upstreams may be bought for a pool, and their prices.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Scaling {
    /// Minimum number of upstreams in one failure domain, reclaimable and on-demand together.
    pub min_upstreams: u32,
    /// Maximum number of upstreams in one failure domain, reclaimable and on-demand together.
    pub max_upstreams: u32,
    pub startup_ms: u64,
    /// Price of a reclaimable upstream as a fraction of the list price; `None` if the platform
    /// offers none.
    pub reclaimable_price: Option<f64>,
    /// Failure domains with their list prices per second, sorted by name.
    pub domain_prices: Vec<(String, f64)>,
}

/// A team with its priority and rate limit.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Team {
    pub name: String,
    /// Hash of the name, which identifies the team among nodes.
    pub tag: u64,
    /// Takes precedence over the route's priority.
    pub priority: Option<u8>,
    /// The unit in which the limit is counted.
    pub unit: Unit,
    /// Sustained rate in units per second; `None` for no limit.
    pub rate_per_s: Option<f64>,
    /// Burst size in units above the sustained rate.
    pub burst: f64,
}

/// The unit of a team's rate limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Unit {
    Requests,
    /// Tokens; a request that states no token count is charged `default_tokens`.
    Tokens {
        default_tokens: u64,
    },
}

/// Size and time limits on callers' connections.
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
    /// Returns the route of a request: the host's route with the longest matching path prefix.
    pub fn route_of(&self, host: &str, path: &str) -> Option<RouteKey> {
        let first = self
            .routes
            .partition_point(|route| route.host.as_str() < host);
        let host_routes = self.routes[first..]
            .iter()
            .take_while(|route| route.host == host);
        (host_routes.enumerate())
            .filter(|(_index, route)| path.starts_with(&route.path_prefix))
            .max_by_key(|(_index, route)| route.path_prefix.len())
            .map(|(index, _route)| RouteKey(first + index))
    }

    /// Returns the route with this key. Panics if the key is from a larger catalog.
    pub fn route(&self, key: RouteKey) -> &Route {
        &self.routes[key.0]
    }

    /// Returns the team that an API key belongs to.
    pub fn team_of(&self, key: &str) -> Option<TeamKey> {
        let found = self
            .keys
            .binary_search_by(|(known, _team)| known.as_str().cmp(key));
        found.ok().map(|index| self.keys[index].1)
    }

    /// Returns the team with this key. Panics if the key is from a larger catalog.
    pub fn team(&self, key: TeamKey) -> &Team {
        &self.teams[key.0]
    }

    /// Returns the pool with this name.
    pub fn pool(&self, name: &str) -> Option<&Pool> {
        let found = self
            .pools
            .binary_search_by(|pool| pool.name.as_str().cmp(name));
        found.ok().map(|index| &self.pools[index])
    }

    /// Whether any team is configured, so that callers need API keys.
    pub fn has_teams(&self) -> bool {
        !self.teams.is_empty()
    }
}

impl Route {
    /// Whether a request may be retried, from its start or from the point at which it broke off.
    pub fn is_repeatable(&self) -> bool {
        self.repeat == RepeatPolicy::Idempotent || self.is_resumable
    }

    /// Returns the pool for a request in proportion to the weights.
    ///
    /// `draw` must be uniformly distributed over all values of `u64`.
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
