//! Which upstream gets a request.
//!
//! Requests to model engines go where the shared part of their prompt lies, unless waiting there
//! costs more than reading it again elsewhere; requests to plain services go where the fewest
//! wait. All nodes prefer the same engine for a part without asking each other: the one with the
//! highest hash of part and upstream. An engine that lacks a part copies it from one that has it.

use super::call::Prompt;
use super::num;
use super::pace::Pace;
use super::prefixes::Prefixes;
use super::rollout::Versions;
use super::sources::{self, Source};
use super::upstreams::{Upstream, UpstreamKey, UpstreamTable, spread};
use crate::time::TimeMs;

/// How much longer a copied token counts than its reading would take.
///
/// A copy costs some two thirds of reading again and fills a second engine's memory. At 0.4, parts
/// were copied for small gains in time: over three heavy days of 22 upstreams, three seeds each,
/// 0.503 of the payoff owed was left after costs, against 0.517.
const COPY_WEIGHT: f64 = 1.5;

/// Parts of a shared prompt that are expected to be missing at its first and its second engine by
/// preference, if this node has not sent it there itself.
///
/// What does not find room at the first goes to the second on all nodes alike; if each node chose
/// by load alone, one part would be read by many engines.
const PREFERRED_MISSING: [f64; 2] = [0.3, 0.6];

/// Milliseconds that a share of failures of 1 counts for.
const FAILURE_MS: f64 = 3_000.0;

/// A plain call takes about this long until the first answer of any upstream has shown it.
const PLAIN_CALL_MS: f64 = 30.0;

/// Requests that a plain service takes at once, if it does not say.
const PLAIN_SLOTS: u32 = 4;

/// Milliseconds that a call into another failure domain counts for, next to its delay.
const OTHER_DOMAIN_MS: f64 = 2.0;

/// Milliseconds for which an upstream counts less that has to be asked whether it still names a limit: otherwise it
/// might be passed over for as long as the others are as good.
const ASKED_MS: f64 = 1_000.0;

/// What is asked of the choice.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Ask<'a> {
    pub pool: &'a str,
    pub prompt: Option<&'a Prompt>,
    /// The failure domain of this node.
    pub failure_domain: &'a str,
    /// Upstreams that have had the request.
    pub excluded: &'a [UpstreamKey],
    /// Versions that may get it.
    pub versions: Versions<'a>,
    /// How fast engines of the pool are.
    pub pace: Pace,
    /// How fast engines of the pool copy from each other; none if they cannot.
    pub copy_tokens_per_ms: Option<f64>,
    /// Whether the request may run more than once.
    pub may_repeat: bool,
    /// Evenly spread; holds apart nodes that see the same loads.
    pub draw: u64,
}

/// An upstream and what is expected of it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Choice {
    pub upstream: UpstreamKey,
    /// Until the first token or the answer.
    pub expected_ms: f64,
    /// Prompt tokens that it has to read.
    pub unread_tokens: u64,
    /// Prompt tokens that are to be read there before its first token, its own included.
    pub waiting_tokens: u64,
    /// Where it copies the shared part of the prompt from, and the tokens that it lacks.
    pub source: Option<Source>,
    pub copied_tokens: u64,
    /// Requests that it runs at once, and those that are there.
    pub slots: u32,
    pub running: u32,
}

/// The upstream that is expected to answer first, counting what is copied.
///
/// Upstreams that are paused or silent are taken only if there are no others.
#[must_use]
pub(crate) fn choose(
    table: &UpstreamTable,
    prefixes: &Prefixes,
    ask: &Ask<'_>,
    now: TimeMs,
) -> Option<Choice> {
    let candidates = candidates(table, ask, now);
    let is_sound =
        |upstream: &Upstream| !upstream.health.is_paused(now) && !upstream.is_silent(now);
    let any_sound = candidates.iter().any(|(_key, upstream)| is_sound(upstream));
    let preferred = ask.prompt.map(|prompt| preferred(&candidates, prompt));
    let preferred = preferred.unwrap_or_default();
    let sources = sources::of(table, prefixes, ask, now);
    let least_ms = least_ms(&candidates, ask);
    let mut best: Option<(f64, Choice)> = None;
    for (key, upstream) in candidates {
        if any_sound && !is_sound(upstream) {
            continue;
        }
        let choice = match ask.prompt {
            Some(prompt) => {
                let source = sources.iter().find(|source| source.upstream != key);
                let believed = Believed {
                    missing_part: missing(prompt, key, preferred, prefixes, now),
                    copy: ask.copy_tokens_per_ms.zip(source.copied()),
                };
                expect_engine(key, upstream, prompt, believed, &ask.pace)
            }
            None => expect_plain(key, upstream, upstream.health.expected_ms(least_ms, now)),
        };
        let penalty_ms = penalty(upstream, ask, now) + jitter(ask.draw, upstream.tag);
        let copied = num::real(choice.copied_tokens) / ask.pace.read_tokens_per_ms;
        let score = choice.expected_ms + penalty_ms + copied * COPY_WEIGHT;
        if best.is_none_or(|(least, _choice)| score < least) {
            best = Some((score, choice));
        }
    }
    best.map(|(_score, choice)| choice)
}

/// Why upstreams of a pool get no request that they could serve.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum HeldBack {
    /// All of them rest; the first gets requests again after this time.
    Resting { left_ms: u64 },
    /// They name limits, requests a second together, and take no more of this node now.
    Limited { limited_per_s: f64 },
}

/// Why the pool's upstreams get no request of this node now, if their own answers are the reason.
#[must_use]
pub(crate) fn held_back(table: &UpstreamTable, ask: &Ask<'_>, now: TimeMs) -> Option<HeldBack> {
    let (resting, awake): (Vec<_>, Vec<_>) = (table.iter())
        .filter(|(_key, upstream)| is_of_pool(upstream, ask, now))
        .partition(|(_key, upstream)| upstream.intake.rest.left_ms(now).is_some());
    if awake.is_empty() {
        let left_ms = resting
            .iter()
            .filter_map(|(_key, upstream)| upstream.intake.rest.left_ms(now));
        return left_ms.min().map(|left_ms| HeldBack::Resting { left_ms });
    }
    let limits = (awake.iter())
        .filter(|(key, _upstream)| !ask.excluded.contains(key))
        .filter_map(|(_key, upstream)| upstream.intake.throttle.limit_per_s());
    let sum = limits.reduce(|sum, limit_per_s| sum + limit_per_s);
    sum.map(|limited_per_s| HeldBack::Limited { limited_per_s })
}

/// Whether an upstream may get requests like this one, but for what its answers say.
fn is_of_pool(upstream: &Upstream, ask: &Ask<'_>, now: TimeMs) -> bool {
    upstream.announced.pool == ask.pool && upstream.takes_work(now) && is_of_version(upstream, ask)
}

fn is_of_version(upstream: &Upstream, ask: &Ask<'_>) -> bool {
    match ask.versions {
        Versions::Any => true,
        Versions::Without(version) => upstream.announced.version != version,
        Versions::Only(version) | Versions::Few { version, .. } => {
            upstream.announced.version == version
        }
    }
}

/// Upstreams that may get a request.
fn candidates<'a>(
    table: &'a UpstreamTable,
    ask: &Ask<'_>,
    now: TimeMs,
) -> Vec<(UpstreamKey, &'a Upstream)> {
    let mut candidates: Vec<(UpstreamKey, &Upstream)> = (table.iter())
        .filter(|(_key, upstream)| is_of_pool(upstream, ask, now))
        .filter(|(_key, upstream)| upstream.intake.closed(now).is_none())
        .collect();
    if let Versions::Few { most, .. } = ask.versions {
        // The same few on all nodes.
        candidates.sort_unstable_by_key(|(_key, upstream)| spread(upstream.tag));
        candidates.truncate(most);
    }
    candidates.retain(|(key, _upstream)| !ask.excluded.contains(key));
    candidates
}

/// How long the fastest upstream takes for the answer to a plain call.
fn least_ms(candidates: &[(UpstreamKey, &Upstream)], ask: &Ask<'_>) -> f64 {
    // What engines take is expected from their pace.
    let of_plain = candidates.iter().filter(|_candidate| ask.prompt.is_none());
    let took_ms = of_plain.filter_map(|(_key, upstream)| upstream.health.took_ms());
    took_ms.reduce(f64::min).unwrap_or(PLAIN_CALL_MS)
}

/// The two upstreams at which all nodes expect the shared part of a prompt, the first one first.
fn preferred(candidates: &[(UpstreamKey, &Upstream)], prompt: &Prompt) -> [Option<UpstreamKey>; 2] {
    match prompt.shared() {
        Some(part) => sources::first_two(candidates.iter().copied(), part.id),
        None => [None; 2],
    }
}

/// What is believed of one engine and the shared part of a prompt.
#[derive(Clone, Copy, Debug)]
struct Believed {
    /// The part of it that the engine lacks, from 0 to 1.
    missing_part: f64,
    /// How fast and from where it can copy that.
    copy: Option<(f64, Source)>,
}

fn missing(
    prompt: &Prompt,
    key: UpstreamKey,
    preferred: [Option<UpstreamKey>; 2],
    prefixes: &Prefixes,
    now: TimeMs,
) -> f64 {
    match prompt.shared() {
        Some(part) if prefixes.holds(part.id, key, now) => 0.0,
        Some(_part) if preferred[0] == Some(key) => PREFERRED_MISSING[0],
        Some(_part) if preferred[1] == Some(key) => PREFERRED_MISSING[1],
        _ => 1.0,
    }
}

fn expect_engine(
    key: UpstreamKey,
    upstream: &Upstream,
    prompt: &Prompt,
    believed: Believed,
    pace: &Pace,
) -> Choice {
    let missing_tokens = believed.missing_part * num::real(prompt.shared_tokens());
    let copy = believed.copy.filter(|_copy| missing_tokens > 0.0);
    let (copied_tokens, copy_ms) = match copy {
        Some((tokens_per_ms, source)) => {
            let is_near = source.failure_domain == sources::domain(upstream);
            let copy_ms = sources::copy_ms(missing_tokens, tokens_per_ms, is_near);
            (missing_tokens, copy_ms)
        }
        None => (0.0, 0.0),
    };
    let unread_tokens = num::real(prompt.own_tokens()) + missing_tokens - copied_tokens;
    let running = upstream.running();
    let slots = upstream.announced.slots.max(1);
    let waiting_tokens = num::real(upstream.unread_tokens()) + unread_tokens;
    let queued = f64::from((running + 1).saturating_sub(slots));
    let queue_ms = pace.held_ms * queued / f64::from(slots);
    let read_ms = waiting_tokens / pace.read_tokens_per_ms;
    let batch_ms = pace.crowding_ms * f64::from(running);
    Choice {
        upstream: key,
        expected_ms: pace.first_ms + batch_ms + read_ms + copy_ms + queue_ms,
        unread_tokens: num::whole(unread_tokens),
        waiting_tokens: num::whole(waiting_tokens),
        source: copy.map(|(_tokens_per_ms, source)| source),
        copied_tokens: num::whole(copied_tokens),
        slots,
        running,
    }
}

fn expect_plain(key: UpstreamKey, upstream: &Upstream, took_ms: f64) -> Choice {
    let slots = match upstream.announced.slots {
        0 => PLAIN_SLOTS,
        slots => slots,
    };
    let running = upstream.running();
    // Answers slow down while an upstream is busy; a request beyond the last slot waits for one.
    let crowding = 1.0 + f64::from(running) / f64::from(slots);
    let waiting = f64::from((running + 1).saturating_sub(slots)) / f64::from(slots);
    Choice {
        upstream: key,
        expected_ms: took_ms * (crowding + waiting),
        unread_tokens: 0,
        waiting_tokens: 0,
        source: None,
        copied_tokens: 0,
        slots,
        running,
    }
}

fn penalty(upstream: &Upstream, ask: &Ask<'_>, now: TimeMs) -> f64 {
    let failures_ms = FAILURE_MS * upstream.health.failure_share(now);
    let is_asked = ask.may_repeat && upstream.intake.throttle.is_to_be_asked(now);
    let asked_ms = if is_asked { ASKED_MS } else { 0.0 };
    let is_near = upstream.announced.failure_domain == ask.failure_domain;
    let way_ms = if is_near { 0.0 } else { OTHER_DOMAIN_MS };
    failures_ms + way_ms - asked_ms
}

/// Up to two milliseconds, so that equal upstreams are not all taken in the same order.
fn jitter(draw: u64, tag: u64) -> f64 {
    num::real(spread(draw ^ tag) >> 54) / 512.0
}

#[cfg(test)]
mod tests;
