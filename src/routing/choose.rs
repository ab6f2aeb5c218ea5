//! Chooses one upstream among the candidates.

use miette::Diagnostic;
use rand::Rng;
use rand::rngs::SmallRng;
use thiserror::Error;

use super::chain::BLOCK_TOKENS;
use super::score::{self, PriceRange, expected_prefill_ms, expected_wait_ms};
use super::{Availability, Candidate, RouteRequest};
use crate::keys::{DomainKey, HostKey};
use crate::time::TimeMs;
use crate::upstreams::Delivery;

/// Suggested retry delay when no host can take the request and none is in backoff.
const NO_HOST_RETRY_MS: u64 = 1_000;

/// The chosen upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Choice {
    /// The host.
    pub host: HostKey,
    /// The address that the host listens on.
    pub address: std::net::SocketAddr,
    /// The failure domain of the host.
    pub domain: DomainKey,
    /// Whether the request probes a host whose last call failed; the caller records it with
    /// `note_probe`.
    pub is_probe: bool,
    /// Expected queueing time on the host.
    pub wait_ms: f64,
    /// Expected prefill time on the host.
    pub prefill_ms: f64,
    /// Expected number of prompt tokens in the host's cache.
    pub cached_tokens: f64,
}

/// The error when no upstream can take the request; nothing was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error, Diagnostic)]
#[error("no upstream can take the request: {reason}")]
pub struct NoRoute {
    /// Why no upstream can take the request.
    pub reason: NoRouteReason,
    /// Suggested delay before the next attempt.
    pub retry_after_ms: u64,
}

/// Why no upstream can take a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum NoRouteReason {
    /// No host is known.
    #[error("no host is known")]
    NoHost,
    /// No known host has the model loaded.
    #[error("no host has the model loaded")]
    ModelNotLoaded,
    /// All hosts with the model are leaving.
    #[error("all hosts with the model are leaving")]
    AllLeaving,
    /// All hosts with the model were tried or are failing.
    #[error("all hosts with the model were tried or are failing")]
    AllFailing,
}

impl NoRoute {
    /// Returns whether a retry can succeed without a change of configuration.
    #[must_use]
    pub fn is_transient(&self) -> bool {
        self.reason != NoRouteReason::NoHost
    }
}

/// Chooses the upstream with the lowest score among a short list of candidates.
///
/// # Errors
///
/// Returns [`NoRoute`] if no candidate can take the request.
pub fn choose(
    view: &[Candidate],
    request: &RouteRequest<'_>,
    now: TimeMs,
    rng: &mut SmallRng,
) -> Result<Choice, NoRoute> {
    let mut open: Vec<_> = view
        .iter()
        .filter(|host| is_eligible_for(host, request))
        .collect();
    if open.is_empty() {
        return Err(no_route(view, now));
    }
    // Hosts in one failure domain tend to fail together, so a retry prefers another domain.
    if open.iter().any(|host| !is_in_failed_domain(host, request)) {
        open.retain(|host| !is_in_failed_domain(host, request));
    }
    let prices = PriceRange::over(open.iter().copied());
    let best = shortlist(&open, request, rng)
        .into_iter()
        .map(|host| (score::score(host, request, prices), host))
        .min_by(|left, right| left.0.total_cmp(&right.0))
        .map(|(_, host)| host)
        .ok_or_else(|| no_route(view, now))?;
    Ok(Choice {
        host: best.host,
        address: best.address,
        domain: best.domain,
        is_probe: best.availability == Availability::Probe,
        wait_ms: expected_wait_ms(best, request),
        prefill_ms: expected_prefill_ms(best, request),
        cached_tokens: best.cached_tokens,
    })
}

fn is_eligible_for(host: &Candidate, request: &RouteRequest<'_>) -> bool {
    let standing = match host.availability {
        Availability::Open => true,
        // A probe may fail after the request has started, so a request that must run at most once
        // is not used as one.
        Availability::Probe => request.delivery == Delivery::Repeatable,
        Availability::Failing { .. } | Availability::Leaving => false,
    };
    standing && host.has_model && request.tried.binary_search(&host.host).is_err()
}

fn is_in_failed_domain(host: &Candidate, request: &RouteRequest<'_>) -> bool {
    request.failed_domains.binary_search(&host.domain).is_ok()
}

/// Returns the few hosts to compare.
///
/// The random candidates come first, so that hosts with equal scores share the requests.
fn shortlist<'a>(
    open: &[&'a Candidate],
    request: &RouteRequest<'_>,
    rng: &mut SmallRng,
) -> Vec<&'a Candidate> {
    let policy = &request.policy;
    let count = policy.cached_candidates
        + policy.affinity_candidates
        + policy.shared_prefix_candidates
        + policy.random_candidates;
    let mut shortlisted = Vec::with_capacity(count);
    for _ in 0..policy.random_candidates {
        shortlisted.push(open[rng.random_range(0..open.len())]);
    }
    let affinities = [
        (Some(request.affinity), policy.affinity_candidates),
        (request.shared_affinity, policy.shared_prefix_candidates),
    ];
    for (affinity, count) in affinities {
        let Some(affinity) = affinity else {
            continue;
        };
        shortlisted.extend(top(open, count, |host| affinity_rank(host.host, affinity)));
    }
    let cached = open.iter().copied().filter(|host| host.cached_tokens > 0.0);
    let cached: Vec<_> = cached.collect();
    // Hosts that hold equally many blocks are ranked at random, so that a prefix cached everywhere
    // does not favour particular hosts.
    let by_cache = top(&cached, policy.cached_candidates, |host| {
        (whole_blocks(host.cached_tokens), rng.random::<u32>())
    });
    shortlisted.extend(by_cache);
    shortlisted
}

/// Returns the `count` hosts with the highest rank.
fn top<'a, R: Ord>(
    hosts: &[&'a Candidate],
    count: usize,
    mut rank: impl FnMut(&Candidate) -> R,
) -> Vec<&'a Candidate> {
    let mut best: Vec<(R, &Candidate)> = Vec::with_capacity(count + 1);
    for host in hosts {
        let rank = rank(host);
        let index = best.partition_point(|(other, _)| *other >= rank);
        if index < count {
            best.insert(index, (rank, host));
            best.truncate(count);
        }
    }
    best.into_iter().map(|(_, host)| host).collect()
}

/// Rendezvous hash: all nodes rank hosts identically for an affinity without communication.
fn affinity_rank(host: HostKey, affinity: u64) -> u64 {
    let mut mixed = host.0 ^ affinity.rotate_left(32);
    mixed = (mixed ^ (mixed >> 32)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed ^ (mixed >> 32)
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the value is clamped to the range of u32 first"
)]
fn whole_blocks(tokens: f64) -> u32 {
    (tokens / score::tokens(BLOCK_TOKENS)).clamp(0.0, f64::from(u32::MAX)) as u32
}

fn no_route(view: &[Candidate], now: TimeMs) -> NoRoute {
    let with_model = || view.iter().filter(|host| host.has_model);
    let probe_at_ms = with_model().filter_map(|host| match host.availability {
        Availability::Failing { probe_at_ms } => Some(probe_at_ms),
        _ => None,
    });
    let next_probe_ms = probe_at_ms.min().map(|at| now.until(at).max(1));
    let reason = match view {
        [] => NoRouteReason::NoHost,
        _ if with_model().next().is_none() => NoRouteReason::ModelNotLoaded,
        _ if with_model().all(|host| host.availability == Availability::Leaving) => {
            NoRouteReason::AllLeaving
        }
        _ => NoRouteReason::AllFailing,
    };
    NoRoute {
        reason,
        retry_after_ms: next_probe_ms.unwrap_or(NO_HOST_RETRY_MS),
    }
}

#[cfg(test)]
mod tests;
