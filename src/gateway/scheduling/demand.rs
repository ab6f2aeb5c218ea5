//! Measures what callers ask of a pool, by kind of request, over all nodes.

use bincode::{Decode, Encode};

use crate::limits::TeamTag;
use crate::time::TimeMs;

/// Time constant of the exponential decay of the counted work.
const DECAY_MS: f64 = 4_000.0;

/// Lower bound of the time over which work is averaged after the first request.
const MIN_AVERAGING_MS: f64 = 250.0;

/// Most kinds that one node reports; the kinds with the least demand are omitted.
const MAX_REPORTED_KINDS: usize = 64;

/// Demand below which a kind is neither reported nor kept, in tokens a second.
const MIN_TOKENS_PER_S: f64 = 1.0;

/// Validity of a report; a node whose reports are older counts as not heard.
const REPORT_TTL_MS: u64 = 1_500;

/// Requests that are served equally often: those of one team and urgency.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub(crate) struct Kind {
    pub team: TeamTag,
    /// 0 is served first.
    pub urgency: u8,
}

/// The demand of one kind.
#[derive(Clone, Copy, Debug, PartialEq, Encode, Decode)]
pub(crate) struct KindDemand {
    pub kind: Kind,
    /// Prompt tokens to prefill that callers ask for.
    pub tokens_per_s: f32,
}

/// The nodes that a report covers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub(crate) enum Source {
    /// One node of the recipient's group, by its incarnation.
    Node(u64),
    /// All nodes of another group, by the group's id.
    Group(u64),
}

/// The demand on one pool at the nodes of one source.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub(crate) struct DemandReport {
    pub source: Source,
    /// Hash of the pool's name.
    pub pool: u64,
    /// Number of nodes that the report covers.
    pub nodes: u32,
    /// Sorted by kind.
    pub kinds: Vec<KindDemand>,
}

#[derive(Clone, Copy, Debug)]
struct Decayed {
    kind: Kind,
    tokens: f64,
    as_of: TimeMs,
}

impl Decayed {
    fn at(&self, now: TimeMs) -> f64 {
        self.tokens * (-duration_ms(now.since(self.as_of)) / DECAY_MS).exp()
    }
}

/// The demand on one pool at this node.
#[derive(Clone, Debug, Default)]
pub(crate) struct OwnDemand {
    /// Sorted by kind.
    kinds: Vec<Decayed>,
    counting_since: Option<TimeMs>,
}

impl OwnDemand {
    /// Counts a request, whether it is served or not.
    pub fn record(&mut self, kind: Kind, tokens: f64, now: TimeMs) {
        self.counting_since.get_or_insert(now);
        match self.kinds.binary_search_by_key(&kind, |entry| entry.kind) {
            Ok(index) => {
                let entry = &mut self.kinds[index];
                entry.tokens = entry.at(now) + tokens;
                entry.as_of = now;
            }
            Err(index) => {
                let entry = Decayed {
                    kind,
                    tokens,
                    as_of: now,
                };
                self.kinds.insert(index, entry);
            }
        }
    }

    /// Forgets kinds without recent requests.
    pub fn remove_idle(&mut self, now: TimeMs) {
        self.kinds
            .retain(|entry| entry.at(now) * 1_000.0 / DECAY_MS >= MIN_TOKENS_PER_S);
    }

    /// Returns the demand of the kinds that ask for the most, sorted by kind.
    pub fn kinds(&self, now: TimeMs) -> Vec<KindDemand> {
        let counted_ms = self
            .counting_since
            .map_or(0.0, |since| duration_ms(now.since(since)));
        let averaged_ms = DECAY_MS * (1.0 - (-counted_ms / DECAY_MS).exp());
        let per_s = 1_000.0 / averaged_ms.max(MIN_AVERAGING_MS);
        let rates = self.kinds.iter().map(|entry| KindDemand {
            kind: entry.kind,
            tokens_per_s: to_f32(entry.at(now) * per_s),
        });
        let mut kinds: Vec<KindDemand> = rates
            .filter(|demand| f64::from(demand.tokens_per_s) >= MIN_TOKENS_PER_S)
            .collect();
        kinds.sort_by(|left, right| right.tokens_per_s.total_cmp(&left.tokens_per_s));
        kinds.truncate(MAX_REPORTED_KINDS);
        kinds.sort_by_key(|demand| demand.kind);
        kinds
    }
}

#[derive(Clone, Debug)]
struct Heard {
    received_at: TimeMs,
    report: DemandReport,
}

/// The newest report of each other node and group on one pool.
#[derive(Clone, Debug, Default)]
pub(crate) struct PeerDemand {
    /// Sorted by source.
    heard: Vec<Heard>,
}

impl PeerDemand {
    /// Stores a report in place of the previous one from the same source.
    ///
    /// Kinds whose demand is no rate are dropped: one of them would make the whole division void.
    pub fn record(&mut self, mut report: DemandReport, now: TimeMs) {
        (report.kinds).retain(|demand| (0.0..f32::INFINITY).contains(&demand.tokens_per_s));
        let received = Heard {
            received_at: now,
            report,
        };
        let source = received.report.source;
        let found = (self.heard).binary_search_by_key(&source, |heard| heard.report.source);
        match found {
            Ok(index) => self.heard[index] = received,
            Err(index) => self.heard.insert(index, received),
        }
    }

    /// Drops reports that are no longer valid.
    pub fn remove_expired(&mut self, now: TimeMs) {
        self.heard
            .retain(|heard| now.since(heard.received_at) < REPORT_TTL_MS);
    }

    /// Returns the number of nodes that the valid reports cover.
    pub fn node_count(&self) -> u32 {
        let nodes = self.heard.iter().map(|heard| heard.report.nodes);
        nodes.fold(0, u32::saturating_add)
    }

    /// Returns the demand that the valid reports state, by report.
    fn kinds(&self) -> impl Iterator<Item = &KindDemand> {
        self.heard.iter().flat_map(|heard| &heard.report.kinds)
    }

    /// Returns the demand of the nodes of this group other than this one, by report, and their
    /// number.
    pub fn of_group(&self) -> (u32, impl Iterator<Item = &KindDemand>) {
        let of_group = || {
            let heard = self.heard.iter().map(|heard| &heard.report);
            heard.filter(|report| matches!(report.source, Source::Node(_)))
        };
        let nodes = of_group().map(|report| report.nodes);
        let nodes = nodes.fold(0, u32::saturating_add);
        (nodes, of_group().flat_map(|report| &report.kinds))
    }
}

/// Returns the demand of all nodes, sorted by kind, extrapolated to nodes whose reports are missing.
#[must_use]
pub(crate) fn fleet_demand(
    own: &[KindDemand],
    peers: &PeerDemand,
    known_nodes: u32,
) -> Vec<KindDemand> {
    let reporting_nodes = f64::from(peers.node_count()) + 1.0;
    let extrapolation = (f64::from(known_nodes) / reporting_nodes).max(1.0);
    let mut sum = sum_by_kind(own.iter().chain(peers.kinds()));
    for demand in &mut sum {
        demand.tokens_per_s = to_f32(f64::from(demand.tokens_per_s) * extrapolation);
    }
    sum
}

/// Returns the sum of several nodes' demand, sorted by kind.
#[must_use]
pub(crate) fn sum_by_kind<'a>(parts: impl Iterator<Item = &'a KindDemand>) -> Vec<KindDemand> {
    let mut kinds: Vec<KindDemand> = parts.copied().collect();
    kinds.sort_by_key(|demand| demand.kind);
    let mut sum: Vec<KindDemand> = Vec::with_capacity(kinds.len());
    for demand in kinds {
        match sum.last_mut() {
            Some(last) if last.kind == demand.kind => last.tokens_per_s += demand.tokens_per_s,
            _ => sum.push(demand),
        }
    }
    sum
}

/// Returns the demand of these kinds together, in tokens a second.
#[must_use]
pub(crate) fn total(kinds: &[KindDemand]) -> f64 {
    let rates = kinds.iter().map(|demand| f64::from(demand.tokens_per_s));
    rates.sum()
}

fn duration_ms(duration_ms: u64) -> f64 {
    crate::gateway::num::to_f64(duration_ms)
}

#[expect(
    clippy::cast_possible_truncation,
    reason = "a rate needs no more digits than f32 has"
)]
fn to_f32(value: f64) -> f32 {
    value as f32
}
