//! Computes the fewest engines with which a pool meets its latency targets at the current load.
//!
//! Four quantities limit an engine: the share of its time spent on prefill, the decode batch, the
//! time to first token, and the cache memory of active prompts. Each follows from the load and the
//! learned speed of the engines.

use super::pace::Pace;
use crate::gateway::catalog::{Catalog, Engine};
use crate::gateway::demand::Rates;
use crate::gateway::num;
use crate::time::TimeMs;

/// Planned load as a multiple of the mean: requests arrive in bursts and unevenly over engines.
const HEADROOM: f64 = 1.3;

/// Largest share of an engine's time spent on prefill; beyond it, queueing grows faster than load.
const MAX_PREFILL_SHARE: f64 = 0.6;

/// Largest mean share of an engine's slots in use.
const MAX_SLOT_SHARE: f64 = 0.7;

/// Largest share of the shortest latency target that a mean time may take up: the largest requests,
/// and those of a burst, take a multiple of the mean.
const MAX_TARGET_SHARE: f64 = 0.5;

/// Largest share of an engine's cache that active prompts may fill.
const MAX_CACHE_SHARE: f64 = 0.8;

/// Mean number of engines that cache an active shared prefix: the most popular are on two engines.
const MEAN_COPIES: f64 = 1.3;

/// Window of [`Peak`]: a wave of requests lasts for tens of seconds, and a new engine has to boot
/// and starts with an empty cache.
const PEAK_WINDOW_MS: u64 = 20_000;

/// Mean time factor of the current engines from which on they count as slower: below it, the factors
/// are as likely noise.
const MIN_SLOWER: f64 = 1.02;

/// Latency targets of a pool.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Targets {
    /// Shortest target of the time to the first event.
    pub first_ms: f64,
    /// Shortest target of the gap between two events.
    pub pause_ms: f64,
}

/// Returns the shortest targets of the streaming routes that lead to a pool; `None` if there are
/// none.
#[must_use]
pub(crate) fn targets(catalog: &Catalog, pool: &str) -> Option<Targets> {
    let routes = catalog.routes.iter().filter(|route| {
        route.is_stream && route.targets.iter().any(|(target, _weight)| target == pool)
    });
    routes.fold(None, |least: Option<Targets>, route| {
        let first_ms = num::to_f64(route.target_ms);
        let pause_ms = route.gap_target_ms.map_or(f64::INFINITY, num::to_f64);
        Some(
            least.map_or(Targets { first_ms, pause_ms }, |least| Targets {
                first_ms: least.first_ms.min(first_ms),
                pause_ms: least.pause_ms.min(pause_ms),
            }),
        )
    })
}

/// Load of a pool.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Load {
    pub rates: Rates,
    /// Tokens of the active shared prefixes.
    pub shared_tokens: f64,
}

/// Returns the fewest engines that sustain a load within the targets, `most` if none do.
#[must_use]
pub(crate) fn min_engines(
    load: &Load,
    pace: &Pace,
    engine: &Engine,
    targets: &Targets,
    most: u32,
) -> u32 {
    let meets_targets = |count: &u32| meets_targets(load, pace, engine, targets, f64::from(*count));
    (1..most).find(meets_targets).unwrap_or(most)
}

fn meets_targets(load: &Load, pace: &Pace, engine: &Engine, targets: &Targets, count: f64) -> bool {
    let rates = load.rates;
    let per_ms = |per_s: f64| per_s * HEADROOM / 1_000.0 / count;
    let prefill_share = per_ms(rates.read_tokens_per_s) / pace.read_tokens_per_ms;
    if prefill_share > MAX_PREFILL_SHARE {
        return false;
    }
    // In a batch of b requests a gap takes pause + b * growth, and each of the b requests produces
    // one event per gap.
    let events = per_ms(rates.events_per_s);
    let free_share = 1.0 - prefill_share - events * pace.pause_crowding_ms;
    if free_share <= 0.0 {
        return false;
    }
    let batch = events * pace.pause_ms / free_share;
    let pause_ms = (pace.pause_ms + batch * pace.pause_crowding_ms) / (1.0 - prefill_share);
    let read_tokens = rates.read_tokens_per_s / rates.requests_per_s.max(f64::MIN_POSITIVE);
    let read_ms = read_tokens / pace.read_tokens_per_ms / (1.0 - prefill_share);
    let first_ms = pace.first_ms + batch * pace.crowding_ms + read_ms;
    let own_tokens = rates.own_tokens_per_s / rates.requests_per_s.max(f64::MIN_POSITIVE);
    let cache_tokens = load.shared_tokens * MEAN_COPIES / count + batch * own_tokens;
    batch <= f64::from(engine.slots) * MAX_SLOT_SHARE
        && pause_ms <= targets.pause_ms * MAX_TARGET_SHARE
        && first_ms <= targets.first_ms * MAX_TARGET_SHARE
        && (engine.cache_tokens == 0
            || cache_tokens <= num::to_f64(engine.cache_tokens) * MAX_CACHE_SHARE)
}

/// Returns the number of engines needed, at most `most`, if some of the current engines state a
/// rate limit, in requests a second from all nodes.
///
/// Without limits, `least` engines suffice. An engine with a limit counts as the fraction of an
/// engine's even share of the load that the limit allows.
#[must_use]
pub(crate) fn min_engines_with_limits(
    least: u32,
    requests_per_s: f64,
    limits_per_s: impl Iterator<Item = f64>,
    most: u32,
) -> u32 {
    let share_per_s = (requests_per_s / f64::from(least.max(1))).max(f64::MIN_POSITIVE);
    let missing = limits_per_s.map(|limit_per_s| (1.0 - limit_per_s / share_per_s).max(0.0));
    let missing = num::round_to_u64(missing.sum::<f64>().ceil());
    let missing = u32::try_from(missing).unwrap_or(u32::MAX);
    least.saturating_add(missing).min(most)
}

/// Returns the number of engines needed, at most `most`, if the current engines take these multiples
/// of the time of the pool's mean engine.
///
/// `least` mean engines suffice. Engines that are ordered or released count as the current ones do
/// on average. Faster engines do not reduce the need: they have no more cache memory or slots.
#[must_use]
pub(crate) fn min_engines_with_speeds(
    least: u32,
    time_factors: impl Iterator<Item = f64>,
    most: u32,
) -> u32 {
    let (count, speed) = time_factors.fold((0.0, 0.0), |(count, speed), time_factor| {
        (count + 1.0, speed + 1.0 / time_factor)
    });
    let mean_factor = if count > 0.0 { count / speed } else { 1.0 };
    if mean_factor < MIN_SLOWER {
        return least;
    }
    let needed = num::round_to_u64((f64::from(least) * mean_factor).ceil());
    let needed = u32::try_from(needed).unwrap_or(u32::MAX);
    needed.min(most).max(least)
}

/// Tracks the highest need of the last `PEAK_WINDOW_MS`.
#[derive(Clone, Debug, Default)]
pub(crate) struct Peak {
    /// Candidates for the maximum: each is lower and later than the one before.
    needs: Vec<(TimeMs, u32)>,
}

impl Peak {
    /// Records the current need and returns the highest of the window.
    pub fn record(&mut self, need: u32, now: TimeMs) -> u32 {
        self.needs
            .retain(|(at, before)| now.since(*at) < PEAK_WINDOW_MS && *before > need);
        self.needs.push((now, need));
        self.needs[0].1
    }
}

#[cfg(test)]
mod tests;
