//! Finds engines from which another engine can copy the shared prefix of a prompt.
//!
//! After half of the engines have been reclaimed, prefilling all their shared prefixes again takes
//! a third of a day's total prefill work and most of the remaining engines' capacity for ten
//! seconds. A copy over the engines' network links takes a fifteenth of the time. A draining engine
//! can still serve as the source of a copy.

use std::hash::Hasher;
use std::net::SocketAddr;

use twox_hash::XxHash3_64;

use super::choose::Criteria;
use super::prefixes::Prefixes;
use super::streams::VersionTag;
use super::upstreams::{Upstream, UpstreamKey, UpstreamTable, tag};
use crate::time::TimeMs;

/// Time until the first byte of a copy; deployed engines need 8 ms.
const COPY_SETUP_MS: f64 = 8.0;

/// Duration of a copy between failure domains, as a multiple of one within a domain.
const CROSS_DOMAIN_FACTOR: f64 = 2.0;

/// Shared prefixes of fewer tokens are prefilled: a copy costs as much as it saves.
const MIN_COPIED_TOKENS: u64 = 1_000;

/// An engine that may have a prefix in its cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Source {
    pub upstream: UpstreamKey,
    pub address: SocketAddr,
    /// Hash of its failure domain; see [`failure_domain_hash`].
    pub failure_domain: u64,
    /// Only engines of the same version read what it has cached.
    pub version: VersionTag,
}

/// Returns the engines from which the prompt's shared prefix can be copied, the most likely first.
///
/// Engines that this node sent the prefix to come first, then the two engines that all nodes prefer
/// for it. Draining engines are included.
#[must_use]
pub(crate) fn copy_sources(
    table: &UpstreamTable,
    prefixes: &Prefixes,
    ask: &Criteria<'_>,
    now: TimeMs,
) -> Vec<Source> {
    let shared = ask.prompt.and_then(|prompt| {
        let is_copyable = prompt.shared_tokens() >= MIN_COPIED_TOKENS;
        prompt.shared().filter(|_part| is_copyable)
    });
    let (Some(prefix), Some(_rate)) = (shared, ask.copy_tokens_per_ms) else {
        return Vec::new();
    };
    let can_export = |key: &UpstreamKey, upstream: &Upstream| {
        upstream.announcement.pool == ask.pool
            && !upstream.is_removed
            && !upstream.health.is_paused(now)
            && !upstream.is_unresponsive(now)
            && !ask.excluded.contains(key)
    };
    let exporters = table
        .iter()
        .filter(|(key, upstream)| can_export(key, upstream));
    let preferred = rendezvous_top_two(exporters, prefix.id)
        .into_iter()
        .flatten();
    let recorded = prefixes.holders(prefix.id, now);
    recorded
        .chain(preferred)
        .filter_map(|key| table.get(key).map(|upstream| (key, upstream)))
        .filter(|(key, upstream)| can_export(key, upstream))
        .map(|(key, upstream)| Source {
            upstream: key,
            address: upstream.announcement.address,
            failure_domain: failure_domain_hash(upstream),
            version: upstream.version(),
        })
        .collect()
}

/// Returns the expected duration of a copy, in milliseconds.
#[must_use]
pub(crate) fn copy_ms(tokens: f64, tokens_per_ms: f64, is_same_domain: bool) -> f64 {
    let domain_factor = if is_same_domain {
        1.0
    } else {
        CROSS_DOMAIN_FACTOR
    };
    COPY_SETUP_MS + tokens / tokens_per_ms * domain_factor
}

/// Returns a hash that identifies an upstream's failure domain.
#[must_use]
pub(crate) fn failure_domain_hash(upstream: &Upstream) -> u64 {
    tag(&upstream.announcement.failure_domain)
}

/// Returns the two upstreams with the highest rendezvous hash for a prefix, the same on all nodes.
#[must_use]
pub(crate) fn rendezvous_top_two<'a>(
    upstreams: impl Iterator<Item = (UpstreamKey, &'a Upstream)>,
    prefix: u64,
) -> [Option<UpstreamKey>; 2] {
    let mut ranked = [(0, None); 2];
    for (key, upstream) in upstreams {
        let mut hasher = XxHash3_64::new();
        hasher.write_u64(prefix);
        hasher.write_u64(upstream.tag);
        let hash = hasher.finish();
        match hash {
            _ if hash > ranked[0].0 => ranked = [(hash, Some(key)), ranked[0]],
            _ if hash > ranked[1].0 => ranked[1] = (hash, Some(key)),
            _ => {}
        }
    }
    ranked.map(|(_hash, key)| key)
}

#[cfg(test)]
mod tests;
