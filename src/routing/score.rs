//! Scores a candidate by its cost for a request, in milliseconds of wait or their equivalent.

use super::{Candidate, RouteRequest};
use crate::document::checked::Measure;

/// Weights of cost and cache reuse, from the deployment's configuration.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Weights {
    /// Weight of the price, from 0 to 1.
    pub cost: f64,
    /// Weight of recomputed tokens, from 0 to 1.
    pub recomputed_tokens: f64,
}

impl From<Measure> for Weights {
    fn from(measure: Measure) -> Self {
        Self {
            cost: measure.cost_weight,
            recomputed_tokens: measure.recomputed_tokens_weight,
        }
    }
}

/// Weights of the parts of the score, and the number of hosts that are compared.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RoutePolicy {
    /// Cost of each millisecond by which the first token misses its target.
    ///
    /// Within the target, price and cache decide; beyond it, time dominates.
    pub lateness_weight: f64,
    /// Cost of the most expensive host relative to the cheapest one, as a share of the target.
    pub price_share_of_target: f64,
    /// Cost of each millisecond of prefill of tokens that are not cached, in addition to the wait.
    pub recompute_weight: f64,
    /// Cost of each millisecond of prefill of the part that only this prompt has, in addition to
    /// `recompute_weight`.
    ///
    /// That part belongs to a conversation that will grow. Computed on another host, it leaves an
    /// unused copy that occupies cache space; a shared part computed there serves other requests
    /// too. Bramas (2019, doi:10.7717/peerj-cs.190) weighs data to be written above data that is
    /// only read for this reason.
    pub unique_prefill_weight: f64,
    /// Cost of a fully occupied host relative to an empty one, as a share of the target.
    ///
    /// Concurrent streams slow each other's tokens even when none is queued.
    pub occupancy_share_of_target: f64,
    /// Cost of a host whose role prefers another kind of work, as a share of the target.
    pub role_mismatch_share_of_target: f64,
    /// Number of compared hosts that have most of the prompt cached.
    pub cached_candidates: usize,
    /// Number of compared hosts that rank highest for the request's affinity.
    pub affinity_candidates: usize,
    /// Number of compared hosts that rank highest for the affinity of the shared prefix.
    pub shared_prefix_candidates: usize,
    /// Number of compared hosts that are drawn at random.
    ///
    /// All nodes decide on the same late load reports. If each compared all hosts, all would choose
    /// the host that was idle two seconds ago; a few random hosts per decision spread the choices.
    pub random_candidates: usize,
}

impl Default for RoutePolicy {
    fn default() -> Self {
        Self {
            lateness_weight: 8.0,
            price_share_of_target: 0.25,
            recompute_weight: 1.0,
            unique_prefill_weight: 1.0,
            occupancy_share_of_target: 0.1,
            role_mismatch_share_of_target: 1.0,
            cached_candidates: 2,
            affinity_candidates: 2,
            shared_prefix_candidates: 2,
            random_candidates: 2,
        }
    }
}

/// The price range of the hosts that can be chosen.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PriceRange {
    /// The lowest price per hour.
    pub lowest: f64,
    /// The highest price per hour.
    pub highest: f64,
}

impl PriceRange {
    /// Returns the price range of the candidates.
    #[must_use]
    pub fn over<'a>(candidates: impl Iterator<Item = &'a Candidate>) -> Self {
        let start = Self {
            lowest: f64::INFINITY,
            highest: f64::NEG_INFINITY,
        };
        candidates.fold(start, |range, candidate| Self {
            lowest: range.lowest.min(candidate.price_per_hour),
            highest: range.highest.max(candidate.price_per_hour),
        })
    }

    /// Returns the relative position of a price in the range, from 0 to 1.
    fn position(&self, price_per_hour: f64) -> f64 {
        let width = self.highest - self.lowest;
        if width > 0.0 {
            (price_per_hour - self.lowest) / width
        } else {
            0.0
        }
    }
}

/// Returns the expected wait before the prompt is computed, in milliseconds.
#[must_use]
pub fn expected_wait_ms(candidate: &Candidate, request: &RouteRequest<'_>) -> f64 {
    let slots = f64::from(candidate.slots.max(1));
    let streams_to_finish = (candidate.streams_ahead + 1.0 - slots).max(0.0);
    let queued_ms = streams_to_finish * request.service_ms / slots + candidate.prefill_backlog_ms;
    queued_ms.max(candidate.first_token_excess_ms)
}

/// Returns the expected prefill time of the prompt tokens that are not cached, in milliseconds.
#[must_use]
pub fn expected_prefill_ms(candidate: &Candidate, request: &RouteRequest<'_>) -> f64 {
    let uncached_tokens = (tokens(request.prompt_tokens) - candidate.cached_tokens).max(0.0);
    uncached_tokens * 1_000.0 / candidate.prefill_tokens_per_second.max(1.0)
}

/// Returns the part of the expected prefill time for tokens that no other prompt shares.
fn unique_prefill_ms(candidate: &Candidate, request: &RouteRequest<'_>) -> f64 {
    let covered_tokens = candidate.cached_tokens.max(tokens(request.shared_tokens));
    let uncached_tokens = (tokens(request.prompt_tokens) - covered_tokens).max(0.0);
    uncached_tokens * 1_000.0 / candidate.prefill_tokens_per_second.max(1.0)
}

/// Returns the cost of a candidate; lower is better.
#[must_use]
pub fn score(candidate: &Candidate, request: &RouteRequest<'_>, prices: PriceRange) -> f64 {
    let target_ms = tokens(request.first_token_ms);
    let prefill_ms = expected_prefill_ms(candidate, request);
    let first_token_ms = expected_wait_ms(candidate, request) + prefill_ms;
    let late_ms = (first_token_ms - target_ms).max(0.0);
    let occupancy = candidate.streams_ahead / f64::from(candidate.slots.max(1));
    let price = prices.position(candidate.price_per_hour);
    let role_mismatch = if candidate.is_role_match { 0.0 } else { 1.0 };
    let policy = &request.policy;
    first_token_ms
        + policy.lateness_weight * late_ms
        + policy.recompute_weight * request.weights.recomputed_tokens * prefill_ms
        + policy.unique_prefill_weight * unique_prefill_ms(candidate, request)
        + target_ms
            * (policy.price_share_of_target * request.weights.cost * price
                + policy.occupancy_share_of_target * occupancy.min(1.0)
                + policy.role_mismatch_share_of_target * role_mismatch)
}

pub(super) fn tokens(count: u64) -> f64 {
    // Prompts and targets are far below 2^32; larger values saturate.
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}
