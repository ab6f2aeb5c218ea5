//! Selects the upstream for a request.
//!
//! A request to a model engine goes to the engine that caches the shared prefix of its prompt,
//! unless queueing there takes longer than a prefill elsewhere. A request to a plain service goes
//! to the upstream with the shortest expected answer time at its current load. All nodes prefer the
//! same engine for a prefix without coordination, by rendezvous hashing of prefix and upstream. An
//! engine that lacks a prefix copies it from one that has it.

mod plain;

use self::plain::{estimate_plain, fastest_answer_ms};
use super::num;
use super::prefixes::Prefixes;
use super::request_head::Prompt;
use super::rollout::VersionFilter;
use super::sources::{self, Source};
use super::speed::pace::Pace;
use super::upstreams::{Upstream, UpstreamKey, UpstreamTable, spread_bits};
use crate::time::TimeMs;

/// Cost of copying a token in the score, as a multiple of its prefill time.
///
/// A copy costs about two thirds of a prefill and occupies memory on a second engine. At 0.4,
/// prefixes were copied for small latency gains: the payoff after costs over three heavy days of 22
/// upstreams, three seeds each, was 0.503 of the full payoff, against 0.517.
const COPY_COST_FACTOR: f64 = 1.5;

/// Expected share of a prefix missing at its first and its second preferred engine, if this node
/// has not sent the prefix there itself.
///
/// On all nodes, requests that exceed the capacity of the first engine go to the second. If each
/// node chose by load alone, many engines would prefill the same prefix.
const PREFERRED_MISSING_SHARE: [f64; 2] = [0.3, 0.6];

/// Penalty of an upstream all of whose recent requests failed; it scales with the failure share.
const FAILURE_PENALTY_MS: f64 = 3_000.0;

/// Penalty of a call into another failure domain, in addition to the network delay.
const OTHER_DOMAIN_PENALTY_MS: f64 = 2.0;

/// Score bonus of an upstream whose stated rate limit is due for a probe. Without the bonus, the
/// upstream would get no request, and so no probe, while others are equally good.
const LIMIT_PROBE_BONUS_MS: f64 = 1_000.0;

/// The request and the constraints on the choice of its upstream.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Criteria<'a> {
    pub pool: &'a str,
    pub prompt: Option<&'a Prompt>,
    /// The failure domain of this node.
    pub failure_domain: &'a str,
    /// Upstreams that the request has already been sent to.
    pub excluded: &'a [UpstreamKey],
    /// Versions of the pool that may serve the request.
    pub versions: VersionFilter<'a>,
    /// Learned speed of the pool's engines.
    pub pace: Pace,
    /// Rate at which engines of the pool copy cache entries from each other; `None` if they cannot.
    pub copy_tokens_per_ms: Option<f64>,
    /// Whether the request is safe to run more than once.
    pub may_repeat: bool,
    /// Since when an upstream must have given a sign of life to be preferred; `None` if that does not matter.
    pub alive_since: Option<TimeMs>,
    /// Uniformly distributed random number; breaks ties differently on nodes that see equal loads.
    pub draw: u64,
}

/// What is known of whether an upstream would take a request up at once; the best last.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Standing {
    /// It is paused or silent.
    Doubtful,
    /// Nothing speaks against it.
    Unproven,
    /// It has given a sign of life lately, which matters to a request that leaves a silent upstream.
    Alive,
}

/// The chosen upstream with the estimates behind the choice.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Choice {
    pub upstream: UpstreamKey,
    /// Expected time to the first token, or to the answer of a plain call.
    pub expected_ms: f64,
    /// Prompt tokens of this request that the engine has to prefill.
    pub unread_tokens: u64,
    /// Prompt tokens to prefill at the engine before the first token, this request's included.
    pub waiting_tokens: u64,
    /// Engine from which the shared prefix is copied, if it is copied.
    pub source: Option<Source>,
    /// Tokens that are copied instead of prefilled.
    pub copied_tokens: u64,
    /// Requests that the upstream runs concurrently.
    pub slots: u32,
    /// Requests that the upstream runs now.
    pub running: u32,
    /// What speaks for it.
    pub standing: Standing,
    /// Time that the engine takes as a multiple of its pool's mean one, part of `expected_ms`; 1 for a
    /// plain upstream.
    pub time_factor: f64,
    /// Time expected of the pool's mean engine, if what this request takes is a measure of the
    /// engine's speed.
    pub pool_expected_ms: Option<f64>,
    /// The expected time without what is known of the engine's own speed, a copy included.
    ///
    /// Versions are compared by it: a version that is slower must not count as slow engines.
    pub expected_of_pool_ms: f64,
}

/// Returns the upstream with the lowest expected time to answer, copies and penalties included.
///
/// An upstream that is paused or silent is chosen only if there are no others, and one without a sign of life since the
/// silence that a request leaves only if none has given one.
#[must_use]
pub(crate) fn choose(
    table: &UpstreamTable,
    prefixes: &Prefixes,
    ask: &Criteria<'_>,
    now: TimeMs,
) -> Option<Choice> {
    let candidates = candidates(table, ask, now);
    let standings = candidates
        .iter()
        .map(|(_key, upstream)| standing(upstream, ask, now));
    let best_standing = standings.max()?;
    let preferred_engines = ask
        .prompt
        .map(|prompt| preferred_engines(&candidates, prompt));
    let preferred_engines = preferred_engines.unwrap_or_default();
    let sources = sources::copy_sources(table, prefixes, ask, now);
    let fastest_answer_ms = fastest_answer_ms(&candidates, ask);
    let mut best: Option<(f64, Choice)> = None;
    for (key, upstream) in candidates {
        if standing(upstream, ask, now) < best_standing {
            continue;
        }
        let mut choice = match ask.prompt {
            Some(prompt) => {
                let mut sources = sources.iter();
                let source = sources
                    .find(|source| source.upstream != key && source.version == upstream.version());
                let estimate = CacheEstimate {
                    missing_share: missing_share(prompt, key, preferred_engines, prefixes, now),
                    copy: ask.copy_tokens_per_ms.zip(source.copied()),
                };
                estimate_engine(key, upstream, prompt, estimate, &ask.pace)
            }
            None => estimate_plain(
                key,
                upstream,
                upstream.health.expected_ms(fastest_answer_ms, now),
            ),
        };
        choice.standing = best_standing;
        let penalty_ms = penalty_ms(upstream, ask, now) + jitter_ms(ask.draw, upstream.tag);
        let pool_read_ms = num::to_f64(choice.copied_tokens) / ask.pace.read_tokens_per_ms;
        let read_ms = pool_read_ms * choice.time_factor;
        let compared_ms = choice.expected_ms - idle_excess_ms(&choice, ask);
        let score = compared_ms + penalty_ms + read_ms * COPY_COST_FACTOR;
        if best.is_none_or(|(lowest, _choice)| score < lowest) {
            best = Some((score, choice));
        }
    }
    best.map(|(_score, choice)| choice)
}

/// Returns what is known of an upstream; `Alive` only for a request that leaves a silent one.
fn standing(upstream: &Upstream, ask: &Criteria<'_>, now: TimeMs) -> Standing {
    let is_alive = (ask.alive_since).is_some_and(|since| upstream.contact.is_heard_since(since));
    match upstream.is_usable(now) {
        true if is_alive => Standing::Alive,
        true => Standing::Unproven,
        false => Standing::Doubtful,
    }
}

/// Backpressure that keeps a pool's upstreams from getting a request that they could serve.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Backpressure {
    /// All upstreams requested a backoff; the first of them accepts requests again after this time.
    Resting { remaining_ms: u64 },
    /// The upstreams state rate limits, which sum up to this many requests a second, and this node
    /// has used its share for now.
    Limited { limited_per_s: f64 },
}

/// Returns the backpressure that the pool's upstreams exert on this node, if there is any.
#[must_use]
pub(crate) fn backpressure(
    table: &UpstreamTable,
    ask: &Criteria<'_>,
    now: TimeMs,
) -> Option<Backpressure> {
    let (backing_off, not_backing_off): (Vec<_>, Vec<_>) = (table.iter())
        .filter(|(_key, upstream)| serves_pool(upstream, ask, now))
        .partition(|(_key, upstream)| upstream.send_gate.backoff.remaining_ms(now).is_some());
    if not_backing_off.is_empty() {
        let remaining_ms = backing_off
            .iter()
            .filter_map(|(_key, upstream)| upstream.send_gate.backoff.remaining_ms(now));
        return remaining_ms
            .min()
            .map(|remaining_ms| Backpressure::Resting { remaining_ms });
    }
    let limits = (not_backing_off.iter())
        .filter(|(key, _upstream)| !ask.excluded.contains(key))
        .filter_map(|(_key, upstream)| upstream.send_gate.throttle.limit_per_s());
    let sum = limits.reduce(|sum, limit_per_s| sum + limit_per_s);
    sum.map(|limited_per_s| Backpressure::Limited { limited_per_s })
}

/// Whether an upstream is left that serves the pool and version of the request and has not received it, regardless of
/// its backpressure.
#[must_use]
pub(crate) fn is_any_left(table: &UpstreamTable, ask: &Criteria<'_>, now: TimeMs) -> bool {
    (table.iter())
        .any(|(key, upstream)| serves_pool(upstream, ask, now) && !ask.excluded.contains(&key))
}

/// Whether an upstream serves the pool and version of the request, regardless of its backpressure.
fn serves_pool(upstream: &Upstream, ask: &Criteria<'_>, now: TimeMs) -> bool {
    upstream.announcement.pool == ask.pool
        && upstream.accepts_requests(now)
        && matches_version(upstream, ask)
}

fn matches_version(upstream: &Upstream, ask: &Criteria<'_>) -> bool {
    match ask.versions {
        VersionFilter::Any => true,
        VersionFilter::Begun(version) => upstream.version() == version,
        VersionFilter::Without(version) => upstream.announcement.version != version,
        VersionFilter::Only(version) | VersionFilter::Few { version, .. } => {
            upstream.announcement.version == version
        }
    }
}

/// Returns the upstreams that may get the request.
fn candidates<'a>(
    table: &'a UpstreamTable,
    ask: &Criteria<'_>,
    now: TimeMs,
) -> Vec<(UpstreamKey, &'a Upstream)> {
    let mut candidates: Vec<(UpstreamKey, &Upstream)> = (table.iter())
        .filter(|(_key, upstream)| serves_pool(upstream, ask, now))
        .filter(|(_key, upstream)| upstream.closed_reason(now).is_none())
        .collect();
    if let VersionFilter::Few { most, .. } = ask.versions {
        // Sorted by hash, so that all nodes select the same canary upstreams.
        candidates.sort_unstable_by_key(|(_key, upstream)| spread_bits(upstream.tag));
        candidates.truncate(most);
    }
    candidates.retain(|(key, _upstream)| !ask.excluded.contains(key));
    candidates
}

/// Returns the two preferred upstreams of the prompt's shared prefix, in order, the same on all
/// nodes.
fn preferred_engines(
    candidates: &[(UpstreamKey, &Upstream)],
    prompt: &Prompt,
) -> [Option<UpstreamKey>; 2] {
    match prompt.shared() {
        Some(part) => sources::rendezvous_top_two(candidates.iter().copied(), part.id),
        None => [None; 2],
    }
}

/// Estimated cache state of one engine for the shared prefix of a prompt.
#[derive(Clone, Copy, Debug)]
struct CacheEstimate {
    /// Share of the prefix that the engine lacks, from 0 to 1.
    missing_share: f64,
    /// Copy rate in tokens per millisecond, and the engine to copy from.
    copy: Option<(f64, Source)>,
}

fn missing_share(
    prompt: &Prompt,
    key: UpstreamKey,
    preferred_engines: [Option<UpstreamKey>; 2],
    prefixes: &Prefixes,
    now: TimeMs,
) -> f64 {
    match prompt.shared() {
        Some(part) if prefixes.holds(part.id, key, now) => 0.0,
        Some(_part) if preferred_engines[0] == Some(key) => PREFERRED_MISSING_SHARE[0],
        Some(_part) if preferred_engines[1] == Some(key) => PREFERRED_MISSING_SHARE[1],
        _ => 1.0,
    }
}

fn estimate_engine(
    key: UpstreamKey,
    upstream: &Upstream,
    prompt: &Prompt,
    estimate: CacheEstimate,
    pace: &Pace,
) -> Choice {
    let missing_tokens = estimate.missing_share * num::to_f64(prompt.shared_tokens());
    let copy = estimate.copy.filter(|_copy| missing_tokens > 0.0);
    let (copied_tokens, copy_ms) = match copy {
        Some((tokens_per_ms, source)) => {
            let is_same_domain = source.failure_domain == sources::failure_domain_hash(upstream);
            let copy_ms = sources::copy_ms(missing_tokens, tokens_per_ms, is_same_domain);
            (missing_tokens, copy_ms)
        }
        None => (0.0, 0.0),
    };
    let unread_tokens = num::to_f64(prompt.own_tokens()) + missing_tokens - copied_tokens;
    let running = upstream.running();
    let slots = upstream.announcement.slots.max(1);
    let waiting_tokens = num::to_f64(upstream.unread_tokens()) + unread_tokens;
    let queued = f64::from((running + 1).saturating_sub(slots));
    let queue_ms = pace.held_ms * queued / f64::from(slots);
    let read_ms = waiting_tokens / pace.read_tokens_per_ms;
    let batch_ms = pace.crowding_ms * f64::from(running);
    let pool_expected_ms = pace.first_ms + batch_ms + read_ms + queue_ms;
    let time_factor = upstream.speed.distinct_factor();
    // The pool's model learns from the same requests.
    let is_sample = pace.is_learned && copied_tokens <= 0.0 && running * 2 < slots;
    Choice {
        upstream: key,
        expected_ms: pool_expected_ms * time_factor + copy_ms,
        unread_tokens: num::round_to_u64(unread_tokens),
        waiting_tokens: num::round_to_u64(waiting_tokens),
        source: copy.map(|(_tokens_per_ms, source)| source),
        copied_tokens: num::round_to_u64(copied_tokens),
        slots,
        running,
        standing: Standing::Unproven,
        time_factor,
        pool_expected_ms: is_sample.then_some(pool_expected_ms),
        expected_of_pool_ms: pool_expected_ms + copy_ms,
    }
}

/// Returns by how much the idle part of the expected time differs from that of the pool's mean engine.
///
/// It is left out of the comparison of engines: it delays no other request, and would fill the fast
/// engines beyond their share.
fn idle_excess_ms(choice: &Choice, ask: &Criteria<'_>) -> f64 {
    let crowding_ms = ask.pace.crowding_ms * f64::from(choice.running);
    match ask.prompt {
        Some(_prompt) => (choice.time_factor - 1.0) * (ask.pace.first_ms + crowding_ms),
        None => 0.0,
    }
}

fn penalty_ms(upstream: &Upstream, ask: &Criteria<'_>, now: TimeMs) -> f64 {
    let failures_ms = FAILURE_PENALTY_MS * upstream.health.failure_share(now);
    let is_probe_due = ask.may_repeat && upstream.send_gate.throttle.needs_probe(now);
    let probe_bonus_ms = if is_probe_due {
        LIMIT_PROBE_BONUS_MS
    } else {
        0.0
    };
    let is_same_domain = upstream.announcement.failure_domain == ask.failure_domain;
    let domain_penalty_ms = if is_same_domain {
        0.0
    } else {
        OTHER_DOMAIN_PENALTY_MS
    };
    failures_ms + domain_penalty_ms - probe_bonus_ms
}

/// Returns up to two milliseconds of jitter, so that nodes do not take equal upstreams in the same
/// order.
fn jitter_ms(draw: u64, tag: u64) -> f64 {
    num::to_f64(spread_bits(draw ^ tag) >> 54) / 512.0
}

#[cfg(test)]
mod tests;
