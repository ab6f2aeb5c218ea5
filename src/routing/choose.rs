//! The choice of one upstream among the candidates.

use miette::Diagnostic;
use rand::Rng;
use rand::rngs::SmallRng;
use thiserror::Error;

use super::score::{PriceRange, expected_prefill_ms, expected_wait_ms, score};
use super::{Candidate, RouteAsk, Standing};
use crate::keys::{DomainKey, HostKey};
use crate::time::TimeMs;
use crate::upstreams::Delivery;

/// Hosts with most of the prompt cached that are looked at.
const CACHED_LOOKS: usize = 2;
/// Hosts that the request's affinity names that are looked at.
const AFFINITY_LOOKS: usize = 2;
/// Hosts drawn at random that are looked at.
///
/// Nodes decide on the same late load reports. Were each to look at all hosts, all would choose the
/// one that was idle two seconds ago; a few random ones each keep their choices apart.
const RANDOM_LOOKS: usize = 2;
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
        .map(|host| (score(host, ask, prices), host))
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
    let mut list = Vec::with_capacity(CACHED_LOOKS + AFFINITY_LOOKS + RANDOM_LOOKS);
    for _ in 0..RANDOM_LOOKS {
        list.push(open[rng.random_range(0..open.len())]);
    }
    let by_affinity = top(open, AFFINITY_LOOKS, |host| {
        affinity_rank(host.host, ask.affinity)
    });
    list.extend(by_affinity);
    let cached = open.iter().copied().filter(|host| host.cached_tokens > 0.0);
    let cached: Vec<_> = cached.collect();
    list.extend(top(&cached, CACHED_LOOKS, |host| {
        OrderedTokens(host.cached_tokens)
    }));
    list
}

/// The `count` hosts with the highest rank.
fn top<'a, R: Ord>(
    hosts: &[&'a Candidate],
    count: usize,
    rank: impl Fn(&Candidate) -> R,
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

#[derive(PartialEq)]
struct OrderedTokens(f64);

impl Eq for OrderedTokens {}

impl PartialOrd for OrderedTokens {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for OrderedTokens {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.0.total_cmp(&other.0)
    }
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
