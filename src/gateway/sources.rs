//! From which engine another one can copy the shared part of a prompt.
//!
//! After half of the engines have been reclaimed, reading all their shared parts again took a third
//! of all reading of a day and most of what the others could do for ten seconds. A copy over the
//! engines' links takes a fifteenth of the time. An engine that is leaving can still be copied from.

use std::hash::Hasher;
use std::net::SocketAddr;

use twox_hash::XxHash3_64;

use super::choose::Ask;
use super::prefixes::Prefixes;
use super::upstreams::{Upstream, UpstreamKey, UpstreamTable, tag};
use crate::time::TimeMs;

/// Before the first byte of a copy; the engines in use need 8 ms.
const COPY_SETUP_MS: f64 = 8.0;

/// A copy between failure domains takes this many times as long.
const FAR_COPY: f64 = 2.0;

/// Shared parts below this many tokens are read: copying costs as much as it saves.
const LEAST_COPIED_TOKENS: u64 = 1_000;

/// An engine that may have a part in memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Source {
    pub upstream: UpstreamKey,
    pub address: SocketAddr,
    /// Names its failure domain; see [`domain`].
    pub failure_domain: u64,
}

/// Engines from which the shared part of a prompt can be copied, the likeliest first.
///
/// Those that this node has sent the part come first, then the two that all nodes prefer for it,
/// counting those that are leaving.
#[must_use]
pub(crate) fn of(
    table: &UpstreamTable,
    prefixes: &Prefixes,
    ask: &Ask<'_>,
    now: TimeMs,
) -> Vec<Source> {
    let shared = ask.prompt.and_then(|prompt| {
        let is_worth_it = prompt.shared_tokens() >= LEAST_COPIED_TOKENS;
        prompt.shared().filter(|_part| is_worth_it)
    });
    let (Some(part), Some(_rate)) = (shared, ask.copy_tokens_per_ms) else {
        return Vec::new();
    };
    let can_give = |key: &UpstreamKey, upstream: &Upstream| {
        upstream.announced.pool == ask.pool
            && !upstream.is_removed
            && !upstream.health.is_paused(now)
            && !upstream.is_silent(now)
            && !ask.excluded.contains(key)
    };
    let standing = table
        .iter()
        .filter(|(key, upstream)| can_give(key, upstream));
    let preferred = first_two(standing, part.id).into_iter().flatten();
    let noted = prefixes.holders(part.id, now);
    noted
        .chain(preferred)
        .filter_map(|key| table.get(key).map(|upstream| (key, upstream)))
        .filter(|(key, upstream)| can_give(key, upstream))
        .map(|(key, upstream)| Source {
            upstream: key,
            address: upstream.announced.address,
            failure_domain: domain(upstream),
        })
        .collect()
}

/// How long a copy takes.
#[must_use]
pub(crate) fn copy_ms(tokens: f64, tokens_per_ms: f64, is_near: bool) -> f64 {
    let distance = if is_near { 1.0 } else { FAR_COPY };
    COPY_SETUP_MS + tokens / tokens_per_ms * distance
}

/// A short name for an upstream's failure domain.
#[must_use]
pub(crate) fn domain(upstream: &Upstream) -> u64 {
    tag(&upstream.announced.failure_domain)
}

/// The two upstreams with the highest hash of a part and themselves, the same on all nodes.
#[must_use]
pub(crate) fn first_two<'a>(
    upstreams: impl Iterator<Item = (UpstreamKey, &'a Upstream)>,
    part: u64,
) -> [Option<UpstreamKey>; 2] {
    let mut ranked = [(0, None); 2];
    for (key, upstream) in upstreams {
        let mut hasher = XxHash3_64::new();
        hasher.write_u64(part);
        hasher.write_u64(upstream.tag);
        let rank = hasher.finish();
        match rank {
            _ if rank > ranked[0].0 => ranked = [(rank, Some(key)), ranked[0]],
            _ if rank > ranked[1].0 => ranked[1] = (rank, Some(key)),
            _ => {}
        }
    }
    ranked.map(|(_rank, key)| key)
}

#[cfg(test)]
mod tests;
