//! What is asked of the engines of each pool, by all nodes.
//!
//! Each node counts what it sends and what comes back, and tells its peers with each pulse, so that
//! whichever node orders upstreams knows what the fleet is asked for.

use bincode::{Decode, Encode};
use rustc_hash::FxHashMap;

use super::by_pool::ByPool;
use super::num;
use super::peers::FORGET_MS;
use super::upstreams::tag;
use crate::time::TimeMs;

/// Rates are means over this span: requests come in clumps, and a pulse may be late.
const SPAN_MS: u64 = 3_000;

/// Counts are kept in steps of this length.
const STEP_MS: u64 = 500;

/// What a peer said counts for this long; then the node is gone or cut off. With 195 nodes pulses
/// are 1.2 s apart.
const HEARD_MS: u64 = 2_000;

/// Shared parts count as in use for one to two of these spans after a request named them.
const PARTS_SPAN_MS: u64 = 20_000;

/// Parts counted in a span; a site has some hundred to a few thousand in use.
const MOST_PARTS: usize = 8_192;

/// What is asked of a pool.
#[derive(Clone, Copy, Debug, Default, PartialEq, Encode, Decode)]
pub(crate) struct Rates {
    /// Names the pool.
    pub pool: u64,
    /// Prompt tokens that engines are believed to have to read.
    pub read_tokens_per_s: f64,
    /// Events of streams.
    pub events_per_s: f64,
    pub requests_per_s: f64,
    /// Tokens that requests take in memory beside shared parts, each second's together.
    pub own_tokens_per_s: f64,
}

impl Rates {
    fn add(&mut self, other: &Self) {
        self.read_tokens_per_s += other.read_tokens_per_s;
        self.events_per_s += other.events_per_s;
        self.requests_per_s += other.requests_per_s;
        self.own_tokens_per_s += other.own_tokens_per_s;
    }

    fn times(self, factor: f64) -> Self {
        Self {
            pool: self.pool,
            read_tokens_per_s: self.read_tokens_per_s * factor,
            events_per_s: self.events_per_s * factor,
            requests_per_s: self.requests_per_s * factor,
            own_tokens_per_s: self.own_tokens_per_s * factor,
        }
    }
}

/// A shared part that requests named, and how many did.
#[derive(Clone, Copy, Debug)]
struct Named {
    tokens: u64,
    times: u32,
}

/// Shared parts of one span.
#[derive(Clone, Debug, Default)]
struct Parts {
    // A map: parts are many and come and go with sessions.
    named: FxHashMap<u64, Named>,
}

impl Parts {
    fn note(&mut self, part: u64, tokens: u64) {
        if self.named.len() >= MOST_PARTS && !self.named.contains_key(&part) {
            return;
        }
        let named = self.named.entry(part).or_insert(Named { tokens, times: 0 });
        named.times += 1;
    }

    /// Tokens of all parts in use on all nodes, estimated from those that this node has seen.
    ///
    /// A node sees its part of the requests only. How many parts it missed shows in how many it saw
    /// once and twice (the estimator of Chao, 1984).
    fn tokens(&self) -> f64 {
        let seen: u64 = self.named.values().map(|named| named.tokens).sum();
        let with = |times| {
            self.named
                .values()
                .filter(|named| named.times == times)
                .count()
        };
        let (once, twice) = (num::real(with(1) as u64), num::real(with(2) as u64));
        let missed = once * (once - 1.0).max(0.0) / (2.0 * (twice + 1.0));
        let count = num::real(self.named.len().max(1) as u64);
        num::real(seen) * (1.0 + missed / count)
    }
}

/// What this node was asked of one pool.
#[derive(Clone, Debug, Default)]
struct PoolDemand {
    /// What was counted in each step by its start, oldest first; not yet divided by any time.
    steps: Vec<(u64, Rates)>,
    parts: Parts,
    parts_before: Parts,
    parts_since: TimeMs,
}

impl PoolDemand {
    fn step(&mut self, now: TimeMs) -> &mut Rates {
        let start = now.0 / STEP_MS * STEP_MS;
        self.steps.retain(|(at, _counts)| at + SPAN_MS >= start);
        if self.steps.last().is_none_or(|(at, _counts)| *at != start) {
            self.steps.push((start, Rates::default()));
        }
        let last = self.steps.len() - 1;
        &mut self.steps[last].1
    }

    fn rates(&self, now: TimeMs) -> Rates {
        let mut sum = Rates::default();
        for (at, counts) in &self.steps {
            if at + SPAN_MS > now.0 {
                sum.add(counts);
            }
        }
        sum.times(1_000.0 / num::real(SPAN_MS))
    }

    fn note_part(&mut self, part: u64, tokens: u64, now: TimeMs) {
        if now.since(self.parts_since) >= PARTS_SPAN_MS {
            self.parts_before = std::mem::take(&mut self.parts);
            self.parts_since = now;
        }
        self.parts.note(part, tokens);
    }
}

/// One request to an engine, as sizing sees it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Asked {
    /// Prompt tokens that its engine is believed to have to read.
    pub unread_tokens: u64,
    /// Tokens that it takes in memory beside what others share.
    pub own_tokens: u64,
    /// The shared part of its prompt with its tokens.
    pub shared: Option<(u64, u64)>,
}

/// What is asked of all pools.
#[derive(Debug, Default)]
pub(crate) struct Demands {
    own: ByPool<PoolDemand>,
    /// What peers said last, sorted by incarnation.
    peers: Vec<(u64, TimeMs, Vec<Rates>)>,
}

impl Demands {
    /// Takes in a request to an engine.
    pub fn note_request(&mut self, pool: &str, asked: &Asked, now: TimeMs) {
        let demand = self.own.of(pool);
        let step = demand.step(now);
        step.requests_per_s += 1.0;
        step.read_tokens_per_s += num::real(asked.unread_tokens);
        step.own_tokens_per_s += num::real(asked.own_tokens);
        if let Some((part, tokens)) = asked.shared {
            demand.note_part(part, tokens, now);
        }
    }

    /// Takes in events of a stream.
    pub fn note_events(&mut self, pool: &str, events: u64, now: TimeMs) {
        self.own.of(pool).step(now).events_per_s += num::real(events);
    }

    /// This node's own rates, for its peers.
    pub fn own_rates(&self, now: TimeMs) -> Vec<Rates> {
        let rows = self.own.iter().map(|(pool, demand)| Rates {
            pool: tag(pool),
            ..demand.rates(now)
        });
        rows.filter(|rates| rates.requests_per_s + rates.events_per_s > 0.0)
            .collect()
    }

    /// Takes in what a peer was asked.
    pub fn note_peer(&mut self, incarnation: u64, rates: Vec<Rates>, now: TimeMs) {
        self.peers
            .retain(|(_peer, at, _rates)| now.since(*at) < FORGET_MS);
        let found = (self.peers).binary_search_by_key(&incarnation, |(peer, _at, _rates)| *peer);
        match found {
            Ok(place) => self.peers[place] = (incarnation, now, rates),
            Err(place) => self.peers.insert(place, (incarnation, now, rates)),
        }
    }

    /// What all nodes are asked of a pool, of which so many are known; those that have not been heard
    /// a moment ago are taken to be like the others.
    ///
    /// Counted by what has been heard here, and not by who counts as alive: with rare pulses a node
    /// is alive for longer than what it said counts, and one lost pulse would hide what it is asked.
    pub fn fleet(&self, pool: &str, known_nodes: u32, now: TimeMs) -> Rates {
        let own = self.own.get(pool).map(|demand| demand.rates(now));
        let pool = tag(pool);
        let mut sum = Rates {
            pool,
            ..own.unwrap_or_default()
        };
        let mut heard_nodes = 1.0;
        for (_peer, at, rates) in &self.peers {
            if now.since(*at) < HEARD_MS {
                heard_nodes += 1.0;
                (rates.iter().filter(|rates| rates.pool == pool)).for_each(|rates| sum.add(rates));
            }
        }
        let unheard = f64::from(known_nodes) / heard_nodes;
        sum.times(unheard.max(1.0))
    }

    /// Tokens of the shared parts of prompts that are in use in a pool.
    pub fn shared_tokens(&self, pool: &str) -> f64 {
        self.own.get(pool).map_or(0.0, |demand| {
            demand.parts.tokens().max(demand.parts_before.tokens())
        })
    }
}

#[cfg(test)]
mod tests;
