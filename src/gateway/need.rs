//! The fewest engines of a pool that keep its objectives at what is asked now.
//!
//! Four things bound what an engine can take: the part of its time that goes into reading prompts,
//! the batch in which tokens are made, the wait until a first token, and memory for the prompts in
//! use. Each follows from what is asked and from the learned pace of the engines.

use super::catalog::{Catalog, Engine};
use super::demand::Rates;
use super::num;
use super::pace::Pace;
use crate::time::TimeMs;

/// Requests come in clumps and unevenly over engines; this many times their mean is planned for.
const HEADROOM: f64 = 1.3;

/// Most of an engine's time that goes into reading: beyond, waiting grows faster than load.
const MOST_READING: f64 = 0.6;

/// Most of an engine's slots that are in use on average.
const MOST_SLOTS: f64 = 0.7;

/// Expected times may take up this part of the shortest target; the largest requests, and those
/// that come in a clump, take some times the mean.
const TARGET_PART: f64 = 0.5;

/// Most of an engine's memory that prompts in use may fill.
const MOST_MEMORY: f64 = 0.8;

/// How often a shared part in use lies in memory on average: the hottest lie on two engines.
const COPIES: f64 = 1.3;

/// The highest need of this long counts: a wave of callers lasts for tens of seconds, and a new
/// engine has to boot and has read nothing.
const HOLD_MS: u64 = 20_000;

/// What callers of a pool were promised.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Targets {
    /// The shortest time to a first event.
    pub first_ms: f64,
    /// The shortest pause between two events.
    pub pause_ms: f64,
}

/// The targets of the routes that lead to a pool; none if no stream does.
#[must_use]
pub(crate) fn targets(catalog: &Catalog, pool: &str) -> Option<Targets> {
    let routes = catalog.routes.iter().filter(|route| {
        route.is_stream && route.targets.iter().any(|(target, _weight)| target == pool)
    });
    routes.fold(None, |least: Option<Targets>, route| {
        let first_ms = num::real(route.target_ms);
        let pause_ms = route.gap_target_ms.map_or(f64::INFINITY, num::real);
        Some(
            least.map_or(Targets { first_ms, pause_ms }, |least| Targets {
                first_ms: least.first_ms.min(first_ms),
                pause_ms: least.pause_ms.min(pause_ms),
            }),
        )
    })
}

/// What a pool's engines have to bear.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Load {
    pub rates: Rates,
    /// Tokens of the shared parts in use.
    pub shared_tokens: f64,
}

/// The fewest engines that bear a load, `most` if none do.
#[must_use]
pub(crate) fn least_engines(
    load: &Load,
    pace: &Pace,
    engine: &Engine,
    targets: &Targets,
    most: u32,
) -> u32 {
    let fits = |count: &u32| fits(load, pace, engine, targets, f64::from(*count));
    (1..most).find(fits).unwrap_or(most)
}

fn fits(load: &Load, pace: &Pace, engine: &Engine, targets: &Targets, count: f64) -> bool {
    let rates = load.rates;
    let per_ms = |per_s: f64| per_s * HEADROOM / 1_000.0 / count;
    let reading = per_ms(rates.read_tokens_per_s) / pace.read_tokens_per_ms;
    if reading > MOST_READING {
        return false;
    }
    // In a batch of b requests a pause takes pause + b * growth, and b requests make an event each.
    let events = per_ms(rates.events_per_s);
    let free = 1.0 - reading - events * pace.pause_crowding_ms;
    if free <= 0.0 {
        return false;
    }
    let batch = events * pace.pause_ms / free;
    let pause_ms = (pace.pause_ms + batch * pace.pause_crowding_ms) / (1.0 - reading);
    let read_tokens = rates.read_tokens_per_s / rates.requests_per_s.max(f64::MIN_POSITIVE);
    let read_ms = read_tokens / pace.read_tokens_per_ms / (1.0 - reading);
    let first_ms = pace.first_ms + batch * pace.crowding_ms + read_ms;
    let own_tokens = rates.own_tokens_per_s / rates.requests_per_s.max(f64::MIN_POSITIVE);
    let memory = load.shared_tokens * COPIES / count + batch * own_tokens;
    batch <= f64::from(engine.slots) * MOST_SLOTS
        && pause_ms <= targets.pause_ms * TARGET_PART
        && first_ms <= targets.first_ms * TARGET_PART
        && (engine.cache_tokens == 0 || memory <= num::real(engine.cache_tokens) * MOST_MEMORY)
}

/// The fewest engines, at most `most`, where some that stand name limits, in requests a second from all nodes.
///
/// Such an engine counts for the part that it takes of what each of the fewest would get.
#[must_use]
pub(crate) fn beside_limited(
    least: u32,
    requests_per_s: f64,
    limits_per_s: impl Iterator<Item = f64>,
    most: u32,
) -> u32 {
    let each_per_s = (requests_per_s / f64::from(least.max(1))).max(f64::MIN_POSITIVE);
    let missing = limits_per_s.map(|limit_per_s| (1.0 - limit_per_s / each_per_s).max(0.0));
    let missing = num::whole(missing.sum::<f64>().ceil());
    let missing = u32::try_from(missing).unwrap_or(u32::MAX);
    least.saturating_add(missing).min(most)
}

/// The highest need of the last moments.
#[derive(Clone, Debug, Default)]
pub(crate) struct Peak {
    /// Each lower and later than the one before.
    needs: Vec<(TimeMs, u32)>,
}

impl Peak {
    /// Takes in what is needed now; gives the highest need of the last moments.
    pub fn note(&mut self, need: u32, now: TimeMs) -> u32 {
        self.needs
            .retain(|(at, before)| now.since(*at) < HOLD_MS && *before > need);
        self.needs.push((now, need));
        self.needs[0].1
    }
}

#[cfg(test)]
mod tests;
