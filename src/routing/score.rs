//! What it costs to send a request to a candidate, in milliseconds of waiting or their worth.

use super::{Candidate, RouteAsk};
use crate::document::checked::Measure;

/// What the deployment favours.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Weights {
    /// Of money, from 0 to 1.
    pub cost: f64,
    /// Of tokens computed again, from 0 to 1.
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

/// How much each part of the cost counts, and how many hosts are compared.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RoutePolicy {
    /// Worth of one millisecond over the target for the first token.
    ///
    /// Within the target price and cache decide; beyond it, hardly anything but time does.
    pub late_weight: f64,
    /// Worth of the dearest host's price above the cheapest's, as a share of the target.
    pub price_share_of_target: f64,
    /// Worth of a millisecond of computing tokens that are not cached, beside the wait.
    pub recompute_weight: f64,
    /// Worth of a millisecond of computing the part that only this prompt has, beside the former.
    ///
    /// That part belongs to a conversation that will grow. Computed on another host, it leaves a
    /// copy that nobody uses and that takes the room of another; a shared part computed there
    /// serves others too. Bramas (2019, doi:10.7717/peerj-cs.190) weighs data to be written above
    /// data only read for this reason.
    pub extended_weight: f64,
    /// Worth of a full host against an empty one, as a share of the target.
    ///
    /// Streams that run together slow each other's tokens even where none waits.
    pub crowding_share_of_target: f64,
    /// Added for a host that serves another kind of work first, as a share of the target.
    pub out_of_role_share_of_target: f64,
    /// Hosts with most of the prompt cached that are compared.
    pub cached_looks: usize,
    /// Hosts that the request's affinity names that are compared.
    pub affinity_looks: usize,
    /// Hosts that the affinity of its shared part names that are compared.
    pub shared_looks: usize,
    /// Hosts drawn at random that are compared.
    ///
    /// Nodes decide on the same late load reports. Were each to compare all hosts, all would choose
    /// the one that was idle two seconds ago; a few random ones each keep their choices apart.
    pub random_looks: usize,
}

impl Default for RoutePolicy {
    fn default() -> Self {
        Self {
            late_weight: 8.0,
            price_share_of_target: 0.25,
            recompute_weight: 1.0,
            extended_weight: 1.0,
            crowding_share_of_target: 0.1,
            out_of_role_share_of_target: 1.0,
            cached_looks: 2,
            affinity_looks: 2,
            shared_looks: 2,
            random_looks: 2,
        }
    }
}

/// The lowest and the highest price among the hosts that may be chosen.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PriceRange {
    /// The lowest.
    pub lowest: f64,
    /// The highest.
    pub highest: f64,
}

impl PriceRange {
    /// The range over these hosts.
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

    /// Where a price lies in the range, from 0 to 1.
    fn place(&self, price_per_hour: f64) -> f64 {
        let width = self.highest - self.lowest;
        if width > 0.0 {
            (price_per_hour - self.lowest) / width
        } else {
            0.0
        }
    }
}

/// How long the request would wait before its prompt is computed.
#[must_use]
pub fn expected_wait_ms(candidate: &Candidate, ask: &RouteAsk<'_>) -> f64 {
    let slots = f64::from(candidate.slots.max(1));
    let must_end = (candidate.streams_ahead + 1.0 - slots).max(0.0);
    let queued_ms = must_end * ask.service_ms / slots + candidate.prefill_backlog_ms;
    queued_ms.max(candidate.excess_ms)
}

/// How long computing the prompt tokens that are not cached would take.
#[must_use]
pub fn expected_prefill_ms(candidate: &Candidate, ask: &RouteAsk<'_>) -> f64 {
    let uncached_tokens = (tokens(ask.prompt_tokens) - candidate.cached_tokens).max(0.0);
    uncached_tokens * 1_000.0 / candidate.prefill_tokens_per_second.max(1.0)
}

/// How long of that goes to the part of the prompt that no others share.
fn extended_prefill_ms(candidate: &Candidate, ask: &RouteAsk<'_>) -> f64 {
    let known_tokens = candidate.cached_tokens.max(tokens(ask.shared_tokens));
    let uncached_tokens = (tokens(ask.prompt_tokens) - known_tokens).max(0.0);
    uncached_tokens * 1_000.0 / candidate.prefill_tokens_per_second.max(1.0)
}

/// The cost of a candidate; lower is better.
#[must_use]
pub fn score(candidate: &Candidate, ask: &RouteAsk<'_>, prices: PriceRange) -> f64 {
    let target_ms = tokens(ask.first_token_ms);
    let prefill_ms = expected_prefill_ms(candidate, ask);
    let first_token_ms = expected_wait_ms(candidate, ask) + prefill_ms;
    let late_ms = (first_token_ms - target_ms).max(0.0);
    let filled = candidate.streams_ahead / f64::from(candidate.slots.max(1));
    let price = prices.place(candidate.price_per_hour);
    let role = if candidate.in_role { 0.0 } else { 1.0 };
    let policy = &ask.policy;
    first_token_ms
        + policy.late_weight * late_ms
        + policy.recompute_weight * ask.weights.recomputed_tokens * prefill_ms
        + policy.extended_weight * extended_prefill_ms(candidate, ask)
        + target_ms
            * (policy.price_share_of_target * ask.weights.cost * price
                + policy.crowding_share_of_target * filled.min(1.0)
                + policy.out_of_role_share_of_target * role)
}

pub(super) fn tokens(count: u64) -> f64 {
    // Prompts and targets lie far below 2^32.
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}
