//! Selects the node addresses that a caller gets from the directory.
//!
//! Callers pick one of the addresses at random. Hosts differ: one with an eighth of a core and a
//! link of 10 Mbit/s, next to others with half a core, would get as many requests as they and delay
//! them. So an answer contains a weaker node less often, in proportion to its capacity relative to
//! the strongest node.

use std::net::SocketAddr;

/// Minimum number of addresses per answer, so that a caller can reach another node when one fails.
const MIN_ADDRESSES: usize = 3;

/// A node that accepts requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Candidate {
    pub address: SocketAddr,
    /// Whether the node is in the caller's failure domain.
    pub is_in_caller_domain: bool,
    /// Whether the node reaches upstreams of all pools.
    pub reaches_all_pools: bool,
    /// Requests per second that the node can handle.
    pub capacity_per_s: f64,
}

/// Returns the addresses for one answer.
///
/// Uses nodes of the caller's failure domain, or of all domains if that one has too few. Nodes that
/// do not reach a pool are left out, unless no node reaches all of them. `draw` returns a uniformly
/// distributed number from 0 to 1 for each node.
#[must_use]
pub(crate) fn addresses(
    candidates: &[Candidate],
    max_addresses: usize,
    mut draw: impl FnMut() -> f64,
) -> Vec<SocketAddr> {
    let any_reaches_all = (candidates.iter()).any(|candidate| candidate.reaches_all_pools);
    let candidates: Vec<&Candidate> = (candidates.iter())
        .filter(|candidate| candidate.reaches_all_pools || !any_reaches_all)
        .collect();
    let near = candidates
        .iter()
        .filter(|candidate| candidate.is_in_caller_domain);
    let is_domain_sufficient = near.count() >= MIN_ADDRESSES;
    let mut weighted_draws: Vec<(f64, &Candidate)> = (candidates.iter())
        .filter(|candidate| candidate.is_in_caller_domain || !is_domain_sufficient)
        .map(|candidate| {
            (
                draw() / candidate.capacity_per_s.max(f64::MIN_POSITIVE),
                *candidate,
            )
        })
        .collect();
    // A node is included if its draw lies below its fraction of the strongest node's capacity; the
    // nodes with the lowest weighted draws are always included.
    let strongest = (weighted_draws.iter())
        .map(|(_draw, candidate)| candidate.capacity_per_s)
        .fold(f64::MIN_POSITIVE, f64::max);
    weighted_draws.sort_by(|(a, _), (b, _)| a.total_cmp(b));
    let ranked = weighted_draws.iter().enumerate();
    ranked
        .filter(|(index, (weighted_draw, _candidate))| {
            *index < MIN_ADDRESSES || *weighted_draw <= 1.0 / strongest
        })
        .map(|(_index, (_draw, candidate))| candidate.address)
        .take(max_addresses)
        .collect()
}

#[cfg(test)]
mod tests;
