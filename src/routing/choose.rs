//! The choice of one upstream among the candidates.

use miette::Diagnostic;
use rand::Rng;
use rand::rngs::SmallRng;
use thiserror::Error;

use super::chain::BLOCK_TOKENS;
use super::score::{self, PriceRange, expected_prefill_ms, expected_wait_ms};
use super::{Candidate, RouteAsk, Standing};
use crate::keys::{DomainKey, HostKey};
use crate::time::TimeMs;
use crate::upstreams::Delivery;

/// Wait that is suggested when no host serves the request now.
const NO_HOST_RETRY_MS: u64 = 1_000;

/// An upstream that was chosen.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Choice {
    /// The host.
    pub host: HostKey,
    /// Where it listens.
    pub address: std::net::SocketAddr,
    /// Its failure domain.
    pub domain: DomainKey,
    /// Whether the host failed before and this request tries it; see `Health::note_probe`.
    pub probe: bool,
    /// How long the request is expected to wait there.
    pub wait_ms: f64,
    /// How long its prompt is expected to be computed there.
    pub prefill_ms: f64,
    /// Prompt tokens that are expected to be cached there.
    pub cached_tokens: f64,
}

/// No upstream may be given the request; nothing was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error, Diagnostic)]
#[error("no upstream can take the request: {reason}")]
pub struct NoRoute {
    /// What stands in the way.
    pub reason: NoRouteReason,
    /// When it is worth asking again.
    pub retry_after_ms: u64,
}

/// What stands in the way of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum NoRouteReason {
    /// No host is known.
    #[error("no host is known")]
    NoHost,
    /// No host that may take work has the model.
    #[error("no host has the model loaded")]
    ModelNotLoaded,
    /// All that have the model are leaving.
    #[error("all hosts with the model are leaving")]
    AllLeaving,
    /// All that have the model were tried or are failing.
    #[error("all hosts with the model were tried or are failing")]
    AllFailing,
}

impl NoRoute {
    /// Whether waiting may help without anybody changing the configuration.
    #[must_use]
    pub fn is_passing(&self) -> bool {
        self.reason != NoRouteReason::NoHost
    }
}

/// Chooses an upstream.
///
/// # Errors
///
/// If no candidate may be given the request.
pub fn choose(
    view: &[Candidate],
    ask: &RouteAsk<'_>,
    now: TimeMs,
    rng: &mut SmallRng,
) -> Result<Choice, NoRoute> {
    let mut open: Vec<_> = view.iter().filter(|host| may_take(host, ask)).collect();
    if open.is_empty() {
        return Err(no_route(view, now));
    }
    // Hosts of one failure domain fail together, so a retry goes to another one if it can.
    if open.iter().any(|host| !failed_near(host, ask)) {
        open.retain(|host| !failed_near(host, ask));
    }
    let prices = PriceRange::over(open.iter().copied());
    let best = shortlist(&open, ask, rng)
        .into_iter()
        .map(|host| (score::score(host, ask, prices), host))
        .min_by(|left, right| left.0.total_cmp(&right.0))
        .map(|(_, host)| host)
        .ok_or_else(|| no_route(view, now))?;
    Ok(Choice {
        host: best.host,
        address: best.address,
        domain: best.domain,
        probe: best.standing == Standing::Probe,
        wait_ms: expected_wait_ms(best, ask),
        prefill_ms: expected_prefill_ms(best, ask),
        cached_tokens: best.cached_tokens,
    })
}

fn may_take(host: &Candidate, ask: &RouteAsk<'_>) -> bool {
    let standing = match host.standing {
        Standing::Open => true,
        // A request that may run only once is no means to find out whether a host is back.
        Standing::Probe => ask.delivery == Delivery::Repeatable,
        Standing::Failing { .. } | Standing::Leaving => false,
    };
    standing && host.has_model && ask.tried.binary_search(&host.host).is_err()
}

fn failed_near(host: &Candidate, ask: &RouteAsk<'_>) -> bool {
    ask.failed_domains.binary_search(&host.domain).is_ok()
}

/// The few hosts that are compared, in random order so that equal ones share the work.
fn shortlist<'a>(
    open: &[&'a Candidate],
    ask: &RouteAsk<'_>,
    rng: &mut SmallRng,
) -> Vec<&'a Candidate> {
    let policy = &ask.policy;
    let looks =
        policy.cached_looks + policy.affinity_looks + policy.shared_looks + policy.random_looks;
    let mut list = Vec::with_capacity(looks);
    for _ in 0..policy.random_looks {
        list.push(open[rng.random_range(0..open.len())]);
    }
    let affinities = [
        (Some(ask.affinity), policy.affinity_looks),
        (ask.shared_affinity, policy.shared_looks),
    ];
    for (affinity, looks) in affinities {
        let Some(affinity) = affinity else {
            continue;
        };
        list.extend(top(open, looks, |host| affinity_rank(host.host, affinity)));
    }
    let cached = open.iter().copied().filter(|host| host.cached_tokens > 0.0);
    let cached: Vec<_> = cached.collect();
    // What many hosts hold alike says nothing about where to go; chance decides between them.
    let by_cache = top(&cached, policy.cached_looks, |host| {
        (whole_blocks(host.cached_tokens), rng.random::<u32>())
    });
    list.extend(by_cache);
    list
}

/// The `count` hosts with the highest rank.
fn top<'a, R: Ord>(
    hosts: &[&'a Candidate],
    count: usize,
    mut rank: impl FnMut(&Candidate) -> R,
) -> Vec<&'a Candidate> {
    let mut best: Vec<(R, &Candidate)> = Vec::with_capacity(count + 1);
    for host in hosts {
        let rank = rank(host);
        let at = best.partition_point(|(held, _)| *held >= rank);
        if at < count {
            best.insert(at, (rank, host));
            best.truncate(count);
        }
    }
    best.into_iter().map(|(_, host)| host).collect()
}

/// Rendezvous hashing: all nodes rank hosts alike for one affinity without telling each other.
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
    let probe_at_ms = with_model().filter_map(|host| match host.standing {
        Standing::Failing { probe_at_ms } => Some(probe_at_ms),
        _ => None,
    });
    let next_probe_ms = probe_at_ms.min().map(|at| now.until(at).max(1));
    let reason = match view {
        [] => NoRouteReason::NoHost,
        _ if with_model().next().is_none() => NoRouteReason::ModelNotLoaded,
        _ if with_model().all(|host| host.standing == Standing::Leaving) => {
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
