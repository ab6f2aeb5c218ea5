//! Who watches whom, alike on all nodes that see the same members.

use twox_hash::XxHash3_64;

use super::settings::Settings;
use crate::keys::Incarnation;

/// A node as far as it matters here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Candidate {
    pub incarnation: Incarnation,
    /// Stands for its failure domain.
    pub domain: u64,
}

/// How strongly `chosen` is preferred for `chooser`; the strongest are taken.
///
/// Rendezvous hashing: when a node comes or goes, only the choices that involve it change.
pub(super) fn preference(chooser: u64, chosen: Incarnation) -> u64 {
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&chooser.to_be_bytes());
    bytes[8..].copy_from_slice(&chosen.0.to_be_bytes());
    XxHash3_64::oneshot(&bytes)
}

/// The nodes among `live` that watch `of`.
pub(super) fn watchers(of: Candidate, live: &[Candidate], settings: &Settings) -> Vec<Incarnation> {
    let others = live
        .iter()
        .filter(|other| other.incarnation != of.incarnation);
    if live.len() <= settings.full_mesh_up_to {
        return others.map(|other| other.incarnation).collect();
    }
    let (near, far): (Vec<Candidate>, Vec<Candidate>) =
        others.partition(|other| other.domain == of.domain);
    let mut watchers = strongest(of, near, settings.near_watchers);
    watchers.extend(strongest(of, far, settings.far_watchers));
    watchers
}

/// Whether `own` is among the nodes of `live` that watch `of`.
///
/// This stops at the first few that are preferred, since it runs for every node of the fleet.
pub(super) fn is_watcher(
    own: Candidate,
    of: Candidate,
    live: &[Candidate],
    settings: &Settings,
) -> bool {
    let near = own.domain == of.domain;
    let places = match near {
        _ if own.incarnation == of.incarnation => return false,
        _ if live.len() <= settings.full_mesh_up_to => return true,
        true => settings.near_watchers,
        false => settings.far_watchers,
    };
    let own_preference = preference(of.incarnation.0, own.incarnation);
    let preferred = live
        .iter()
        .filter(|other| (other.domain == of.domain) == near)
        .filter(|other| other.incarnation != of.incarnation)
        .filter(|other| preference(of.incarnation.0, other.incarnation) > own_preference);
    preferred.take(places).count() < places
}

fn strongest(of: Candidate, mut from: Vec<Candidate>, count: usize) -> Vec<Incarnation> {
    from.sort_by_cached_key(|other| {
        std::cmp::Reverse(preference(of.incarnation.0, other.incarnation))
    });
    let chosen = from.iter().take(count);
    chosen.map(|other| other.incarnation).collect()
}

#[cfg(test)]
mod tests;
