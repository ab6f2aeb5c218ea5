//! Watcher selection, deterministic for all nodes with the same view.

use twox_hash::XxHash3_64;

use super::settings::Settings;
use crate::keys::Incarnation;

/// The properties of a node that watcher selection uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Candidate {
    pub incarnation: Incarnation,
    /// The hash of the name of its failure domain.
    pub domain_hash: u64,
}

/// Returns the rendezvous hash of a pair; for each `chooser` the highest scores are selected.
///
/// When a node joins or leaves, only the selections that involve it change.
pub(super) fn rendezvous_score(chooser: u64, chosen: Incarnation) -> u64 {
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&chooser.to_be_bytes());
    bytes[8..].copy_from_slice(&chosen.0.to_be_bytes());
    XxHash3_64::oneshot(&bytes)
}

/// Returns the nodes among `live` that watch `of`.
pub(super) fn watchers(of: Candidate, live: &[Candidate], settings: &Settings) -> Vec<Incarnation> {
    let others = live
        .iter()
        .filter(|other| other.incarnation != of.incarnation);
    if live.len() <= settings.full_mesh_max_nodes {
        return others.map(|other| other.incarnation).collect();
    }
    let (same_domain, other_domains): (Vec<Candidate>, Vec<Candidate>) =
        others.partition(|other| other.domain_hash == of.domain_hash);
    let mut watchers = highest_scored(of, same_domain, settings.same_domain_watchers);
    watchers.extend(highest_scored(
        of,
        other_domains,
        settings.other_domain_watchers,
    ));
    watchers
}

/// Returns whether `own` is among the nodes of `live` that watch `of`.
///
/// The scan stops once enough nodes with a higher score are found, because this function runs for
/// every node of the fleet.
pub(super) fn is_watcher(
    own: Candidate,
    of: Candidate,
    live: &[Candidate],
    settings: &Settings,
) -> bool {
    let is_same_domain = own.domain_hash == of.domain_hash;
    let watcher_count = match is_same_domain {
        _ if own.incarnation == of.incarnation => return false,
        _ if live.len() <= settings.full_mesh_max_nodes => return true,
        true => settings.same_domain_watchers,
        false => settings.other_domain_watchers,
    };
    let own_score = rendezvous_score(of.incarnation.0, own.incarnation);
    let higher_scored = live
        .iter()
        .filter(|other| (other.domain_hash == of.domain_hash) == is_same_domain)
        .filter(|other| other.incarnation != of.incarnation)
        .filter(|other| rendezvous_score(of.incarnation.0, other.incarnation) > own_score);
    higher_scored.take(watcher_count).count() < watcher_count
}

fn highest_scored(of: Candidate, mut from: Vec<Candidate>, count: usize) -> Vec<Incarnation> {
    from.sort_by_cached_key(|other| {
        std::cmp::Reverse(rendezvous_score(of.incarnation.0, other.incarnation))
    });
    let chosen = from.iter().take(count);
    chosen.map(|other| other.incarnation).collect()
}

#[cfg(test)]
mod tests;
