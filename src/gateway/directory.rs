//! Which nodes a caller is told of.
//!
//! Callers pick one of the addresses at random. Hosts differ: one with an eighth of a core and a
//! link of 10 Mbit/s beside others with half a core would get as many requests as they, and hold
//! them up. So a weaker node is named less often, by what it can bear next to the strongest.

use std::net::SocketAddr;

/// Fewest addresses that a caller gets, so that one lost node does not leave it without any.
const FEWEST_ADDRESSES: usize = 3;

/// A node that takes requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Candidate {
    pub address: SocketAddr,
    /// Whether it stands in the caller's own failure domain.
    pub is_near: bool,
    /// Requests a second that it can bear.
    pub capacity_per_s: f64,
}

/// The addresses for one answer.
///
/// Nodes of the caller's own failure domain, or of all if those are few. `draw` gives a number from
/// 0 to 1 for each node.
#[must_use]
pub(crate) fn addresses(
    candidates: &[Candidate],
    most: usize,
    mut draw: impl FnMut() -> f64,
) -> Vec<SocketAddr> {
    let near = candidates.iter().filter(|candidate| candidate.is_near);
    let is_near_enough = near.count() >= FEWEST_ADDRESSES;
    let mut drawn: Vec<(f64, &Candidate)> = (candidates.iter())
        .filter(|candidate| candidate.is_near || !is_near_enough)
        .map(|candidate| {
            (
                draw() / candidate.capacity_per_s.max(f64::MIN_POSITIVE),
                candidate,
            )
        })
        .collect();
    // Each node is named if its draw lies below its part of the strongest node's capacity; the
    // luckiest are named in any case.
    let strongest = (drawn.iter())
        .map(|(_drawn, candidate)| candidate.capacity_per_s)
        .fold(f64::MIN_POSITIVE, f64::max);
    drawn.sort_by(|(a, _), (b, _)| a.total_cmp(b));
    let named = drawn.iter().enumerate();
    named
        .filter(|(place, (drawn, _candidate))| {
            *place < FEWEST_ADDRESSES || *drawn <= 1.0 / strongest
        })
        .map(|(_place, (_drawn, candidate))| candidate.address)
        .take(most)
        .collect()
}

#[cfg(test)]
mod tests;
