//! Tracks the load on the engines of each pool, over all nodes.
//!
//! Each node counts the requests that it sends and the events that come back, and sends its rates
//! to its peers with each heartbeat, so that any node that orders upstreams knows the load of all
//! nodes.

use bincode::{Decode, Encode};
use rustc_hash::FxHashMap;

use super::num;
use super::peers::PEER_EXPIRY_MS;
use super::pool_map::PoolMap;
use super::upstreams::tag;
use crate::time::TimeMs;

/// Averaging window of the rates: requests arrive in bursts, and a heartbeat may be late.
const RATE_WINDOW_MS: u64 = 3_000;

/// Length of a counting bucket.
const BUCKET_MS: u64 = 500;

/// Validity of a peer's rates; after this time the node is considered gone or partitioned. The rates
/// of other groups arrive once a second.
const PEER_RATES_TTL_MS: u64 = 2_000;

/// A shared prefix counts as active for one to two of these windows after a request used it.
const PREFIX_WINDOW_MS: u64 = 20_000;

/// Prefixes counted in a window; a site has some hundred to a few thousand in use.
const MAX_PREFIXES: usize = 8_192;

/// Load of a pool.
#[derive(Clone, Copy, Debug, Default, PartialEq, Encode, Decode)]
pub(crate) struct Rates {
    /// Hash of the pool's name.
    pub pool: u64,
    /// Prompt tokens that engines are expected to prefill.
    pub read_tokens_per_s: f64,
    /// Stream events.
    pub events_per_s: f64,
    pub requests_per_s: f64,
    /// Cache tokens that requests occupy in addition to shared prefixes, summed over the requests
    /// of a second.
    pub own_tokens_per_s: f64,
}

impl Rates {
    fn add(&mut self, other: &Self) {
        self.read_tokens_per_s += other.read_tokens_per_s;
        self.events_per_s += other.events_per_s;
        self.requests_per_s += other.requests_per_s;
        self.own_tokens_per_s += other.own_tokens_per_s;
    }

    fn scaled(self, factor: f64) -> Self {
        Self {
            pool: self.pool,
            read_tokens_per_s: self.read_tokens_per_s * factor,
            events_per_s: self.events_per_s * factor,
            requests_per_s: self.requests_per_s * factor,
            own_tokens_per_s: self.own_tokens_per_s * factor,
        }
    }
}

/// A shared prefix and the number of requests that used it.
#[derive(Clone, Copy, Debug)]
struct PrefixUse {
    tokens: u64,
    request_count: u32,
}

/// Shared prefixes of one window.
#[derive(Clone, Debug, Default)]
struct PrefixSample {
    // A map, because prefixes are many and come and go with sessions.
    uses: FxHashMap<u64, PrefixUse>,
}

impl PrefixSample {
    fn record(&mut self, prefix: u64, tokens: u64) {
        if self.uses.len() >= MAX_PREFIXES && !self.uses.contains_key(&prefix) {
            return;
        }
        let prefix_use = self.uses.entry(prefix).or_insert(PrefixUse {
            tokens,
            request_count: 0,
        });
        prefix_use.request_count += 1;
    }

    /// Returns the estimated tokens of all active prefixes on all nodes, from those seen on this
    /// node.
    ///
    /// A node sees only a share of the requests. The number of prefixes it missed is estimated from
    /// how many it saw once and twice (the estimator of Chao, 1984).
    fn tokens(&self) -> f64 {
        let seen_tokens: u64 = self.uses.values().map(|prefix_use| prefix_use.tokens).sum();
        let seen_times = |request_count| {
            self.uses
                .values()
                .filter(|prefix_use| prefix_use.request_count == request_count)
                .count()
        };
        let (once, twice) = (
            num::to_f64(seen_times(1) as u64),
            num::to_f64(seen_times(2) as u64),
        );
        let missed = once * (once - 1.0).max(0.0) / (2.0 * (twice + 1.0));
        let count = num::to_f64(self.uses.len().max(1) as u64);
        num::to_f64(seen_tokens) * (1.0 + missed / count)
    }
}

/// Load that this node put on one pool.
#[derive(Clone, Debug, Default)]
struct PoolLoad {
    /// Counts of each bucket with its start time, oldest first; totals, not rates.
    buckets: Vec<(u64, Rates)>,
    prefixes: PrefixSample,
    previous_prefixes: PrefixSample,
    prefixes_since: TimeMs,
}

impl PoolLoad {
    fn bucket(&mut self, now: TimeMs) -> &mut Rates {
        let start = now.0 / BUCKET_MS * BUCKET_MS;
        self.buckets
            .retain(|(at, _counts)| at + RATE_WINDOW_MS >= start);
        if self.buckets.last().is_none_or(|(at, _counts)| *at != start) {
            self.buckets.push((start, Rates::default()));
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last].1
    }

    fn rates(&self, now: TimeMs) -> Rates {
        let mut sum = Rates::default();
        for (at, counts) in &self.buckets {
            if at + RATE_WINDOW_MS > now.0 {
                sum.add(counts);
            }
        }
        sum.scaled(1_000.0 / num::to_f64(RATE_WINDOW_MS))
    }

    fn record_prefix(&mut self, prefix: u64, tokens: u64, now: TimeMs) {
        if now.since(self.prefixes_since) >= PREFIX_WINDOW_MS {
            self.previous_prefixes = std::mem::take(&mut self.prefixes);
            self.prefixes_since = now;
        }
        self.prefixes.record(prefix, tokens);
    }
}

/// Properties of a request to an engine that count for sizing.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EngineRequest {
    /// Prompt tokens that the engine is expected to prefill.
    pub unread_tokens: u64,
    /// Cache tokens that the request occupies in addition to the shared prefix.
    pub own_tokens: u64,
    /// Id of the shared prefix of the prompt, and its tokens.
    pub shared: Option<(u64, u64)>,
}

/// Load on all pools.
#[derive(Debug, Default)]
pub(crate) struct DemandTracker {
    own: PoolMap<PoolLoad>,
    /// Last rates of each peer, sorted by incarnation.
    peers: Vec<(u64, TimeMs, Vec<Rates>)>,
}

impl DemandTracker {
    /// Counts a request to an engine.
    pub fn record_request(&mut self, pool: &str, asked: &EngineRequest, now: TimeMs) {
        let load = self.own.get_or_default(pool);
        let bucket = load.bucket(now);
        bucket.requests_per_s += 1.0;
        bucket.read_tokens_per_s += num::to_f64(asked.unread_tokens);
        bucket.own_tokens_per_s += num::to_f64(asked.own_tokens);
        if let Some((prefix, tokens)) = asked.shared {
            load.record_prefix(prefix, tokens, now);
        }
    }

    /// Counts events of a stream.
    pub fn record_events(&mut self, pool: &str, events: u64, now: TimeMs) {
        self.own.get_or_default(pool).bucket(now).events_per_s += num::to_f64(events);
    }

    /// Returns this node's rates, for its peers.
    pub fn own_rates(&self, now: TimeMs) -> Vec<Rates> {
        let rows = self.own.iter().map(|(pool, load)| Rates {
            pool: tag(pool),
            ..load.rates(now)
        });
        rows.filter(|rates| rates.requests_per_s + rates.events_per_s > 0.0)
            .collect()
    }

    /// Stores a peer's rates.
    pub fn record_peer(&mut self, incarnation: u64, rates: Vec<Rates>, now: TimeMs) {
        self.peers
            .retain(|(_peer, at, _rates)| now.since(*at) < PEER_EXPIRY_MS);
        let found = (self.peers).binary_search_by_key(&incarnation, |(peer, _at, _rates)| *peer);
        match found {
            Ok(index) => self.peers[index] = (incarnation, now, rates),
            Err(index) => self.peers.insert(index, (incarnation, now, rates)),
        }
    }

    /// Returns the rates that a peer last reported; nothing if they are no longer valid.
    pub fn current_rates_of(&self, incarnation: u64, now: TimeMs) -> &[Rates] {
        let found = (self.peers).binary_search_by_key(&incarnation, |(peer, _at, _rates)| *peer);
        match found.map(|index| &self.peers[index]) {
            Ok((_peer, at, rates)) if now.since(*at) < PEER_RATES_TTL_MS => rates,
            _ => &[],
        }
    }

    /// Returns the load of all nodes on a pool, extrapolated from the nodes with current rates to
    /// all `known_nodes`.
    ///
    /// The extrapolation uses the number of nodes whose rates arrived recently, and not the number
    /// of live nodes: a node counts as alive for longer than its rates are valid, and a lost datagram
    /// would hide its load. Nodes that do not keep the accounts of all know the rates of their group.
    pub fn fleet(&self, pool: &str, known_nodes: u32, now: TimeMs) -> Rates {
        let own = self.own.get(pool).map(|load| load.rates(now));
        let pool = tag(pool);
        let mut sum = Rates {
            pool,
            ..own.unwrap_or_default()
        };
        let mut current_nodes = 1.0;
        for (_peer, at, rates) in &self.peers {
            if now.since(*at) < PEER_RATES_TTL_MS {
                current_nodes += 1.0;
                (rates.iter().filter(|rates| rates.pool == pool)).for_each(|rates| sum.add(rates));
            }
        }
        let extrapolation = f64::from(known_nodes) / current_nodes;
        sum.scaled(extrapolation.max(1.0))
    }

    /// Returns the tokens of the active shared prefixes of a pool.
    pub fn shared_tokens(&self, pool: &str) -> f64 {
        self.own.get(pool).map_or(0.0, |load| {
            load.prefixes.tokens().max(load.previous_prefixes.tokens())
        })
    }
}

#[cfg(test)]
mod tests;
