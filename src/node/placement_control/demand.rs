//! Calculates the demand that each pool must be able to serve.
//!
//! This is at least the document's host counts, or more if the observed demand requires it.

use crate::blackboard::{HostRow, HostState};
use crate::document::Document;
use crate::document::checked::{Pool, PoolKind};
use crate::keys::{ClassKey, DomainKey, PoolKey};
use crate::placement::{Demand, Forecast, PoolDemand, Refusal, Settings};
use crate::time::TimeMs;

/// Interval between samples of the demand.
const SAMPLE_INTERVAL_MS: u64 = 10_000;

/// How long the demand of a pool is observed before hosts are bought for it.
///
/// A single sample during a burst would buy hosts that are no longer needed once they have started.
const MIN_OBSERVATION_MS: u64 = 60_000;

/// Time from the decision to buy a host until it serves.
const HOST_LEAD_TIME_MS: u64 = 300_000;

/// Hosts needed for the peak demand within this time before or after now are not given back.
const RETENTION_WINDOW_MS: u64 = 3_600_000;

/// Demand history of one pool, by name because its key may change with the document.
#[derive(Debug)]
struct PoolHistory {
    pool: String,
    since_ms: TimeMs,
    forecast: Forecast,
}

/// Demand history of all pools as observed by this node.
#[derive(Debug, Default)]
pub(super) struct DemandHistory {
    /// Sorted by pool.
    histories: Vec<PoolHistory>,
    sampled_at_ms: Option<TimeMs>,
}

impl DemandHistory {
    /// Takes a sample if the interval has passed.
    pub(super) fn observe(
        &mut self,
        document: &Document,
        hosts: &[HostRow],
        waiting: u32,
        now: TimeMs,
    ) {
        let is_due = |at_ms: TimeMs| now.since(at_ms) >= SAMPLE_INTERVAL_MS;
        if !self.sampled_at_ms.is_none_or(is_due) {
            return;
        }
        self.sampled_at_ms = Some(now);
        let names = &document.pools;
        self.histories.retain(|row| {
            names
                .binary_search_by(|pool| pool.name.cmp(&row.pool))
                .is_ok()
        });
        let demands = sample(document, hosts, waiting);
        for (pool, demand) in names.iter().zip(demands) {
            let found = self
                .histories
                .binary_search_by(|row| row.pool.cmp(&pool.name));
            let index = found.unwrap_or_else(|index| {
                let new = PoolHistory {
                    pool: pool.name.clone(),
                    since_ms: now,
                    forecast: Forecast::default(),
                };
                self.histories.insert(index, new);
                index
            });
            self.histories[index].forecast.observe(demand, now);
        }
    }

    /// Returns the demand that each pool must be able to serve.
    pub(super) fn pools(
        &self,
        document: &Document,
        refusals: &[Refusal],
        settings: &Settings,
        now: TimeMs,
    ) -> Vec<PoolDemand> {
        let pools = document.pools.iter().enumerate();
        let demands = pools.map(|(index, pool)| {
            let peaks = self.peaks(&pool.name, now);
            demand_of(document, index.into(), peaks, refusals, settings, now)
        });
        demands.collect()
    }

    fn peaks(&self, pool: &str, now: TimeMs) -> Option<(Demand, Demand)> {
        let found = self
            .histories
            .binary_search_by(|row| row.pool.as_str().cmp(pool));
        let row = &self.histories[found.ok()?];
        let is_known = now.since(row.since_ms) >= MIN_OBSERVATION_MS;
        let lead = row
            .forecast
            .peak(0, HOST_LEAD_TIME_MS, now)
            .filter(|_| is_known)?;
        Some((
            lead,
            row.forecast
                .peak(RETENTION_WINDOW_MS, RETENTION_WINDOW_MS, now)?,
        ))
    }
}

/// Returns the demand that a pool must be able to serve.
///
/// The document's counts are the minimum, since operators asked for them. The pool is sized by
/// demand over all failure domains, in the cheapest mix, in two cases: the demand exceeds the
/// capacity of the counts after the loss of a failure domain, or a failure domain has no hosts to
/// sell for its count.
pub(super) fn demand_of(
    document: &Document,
    key: PoolKey,
    peaks: Option<(Demand, Demand)>,
    refusals: &[Refusal],
    settings: &Settings,
    now: TimeMs,
) -> PoolDemand {
    let pool = document.pool(key);
    let floor = floor(document, pool, settings);
    let exceeds = |demand: &Demand| {
        demand.streams > floor.streams || demand.tokens_per_second > floor.tokens_per_second
    };
    let raised = peaks.filter(|(_, keep)| exceeds(keep));
    let wanted = match raised {
        Some((lead, keep)) => Some((lead.larger(&floor), keep.larger(&floor))),
        None if is_sold_out(pool, refusals, now) => Some((floor, floor)),
        None => None,
    };
    PoolDemand {
        pool: key,
        lead_time_peak: wanted.map(|(lead, _)| lead),
        retention_peak: wanted.map(|(_, keep)| keep),
        batch_share: 0.0,
    }
}

/// Returns the capacity of the document's counts after the loss of the largest failure domain.
fn floor(document: &Document, pool: &Pool, settings: &Settings) -> Demand {
    let counts = pool.hosts.iter().map(|(_, count)| u32::from(*count));
    let largest = match pool.hosts.len() {
        0 | 1 => 0,
        _ => counts.clone().max().unwrap_or(0),
    };
    let hosts = f64::from(counts.sum::<u32>() - largest) * settings.utilisation_max;
    let classes = pool.host_classes.iter();
    let classes = classes.map(|class| document.host_class(*class));
    let min_over_classes = |value: fn(&crate::document::checked::HostClass) -> f64| {
        classes.clone().map(value).reduce(f64::min).unwrap_or(0.0)
    };
    Demand {
        streams: hosts * min_over_classes(|class| f64::from(class.slots)),
        tokens_per_second: hosts * min_over_classes(|class| class.tokens_per_second),
        prefill_tokens_per_second: 0.0,
    }
}

/// Returns whether a failure domain of the pool refuses starts of every class the pool may use.
fn is_sold_out(pool: &Pool, refusals: &[Refusal], now: TimeMs) -> bool {
    let refuses = |class: ClassKey, domain: DomainKey| {
        let found = refusals.binary_search_by_key(&(class, domain), |r| (r.class, r.domain));
        found.is_ok_and(|index| now < refusals[index].retry_at_ms())
    };
    let domains = pool.hosts.iter();
    let mut domains = domains.filter(|(_, count)| *count > 0);
    domains.any(|(domain, _)| {
        let mut classes = pool.host_classes.iter();
        !pool.host_classes.is_empty() && classes.all(|class| refuses(*class, *domain))
    })
}

/// Returns the current load of each pool, from its hosts' reports and the nodes' queues.
fn sample(document: &Document, hosts: &[HostRow], waiting: u32) -> Vec<Demand> {
    let mut demands = vec![Demand::default(); document.pools.len()];
    for row in hosts {
        if let Some(demand) = demands.get_mut(row.pool.index()) {
            demand.streams += f64::from(row.load.running) + f64::from(row.load.queued);
            demand.tokens_per_second += row.load.tokens_per_second;
        }
    }
    // Nodes do not report their queues by pool; the queued requests are split in proportion to the
    // running streams.
    let all: f64 = demands.iter().map(|demand| demand.streams).sum();
    if all > 0.0 {
        for demand in &mut demands {
            demand.streams += f64::from(waiting) * demand.streams / all;
        }
    }
    demands
}

/// Returns whether a pool's hosts report their load.
pub(super) fn reports_load(pool: &Pool) -> bool {
    matches!(pool.kind, PoolKind::Engine { .. })
}

/// Returns whether a host is under notice.
pub(super) fn is_leaving(row: &HostRow) -> bool {
    matches!(row.state, HostState::Leaving { .. })
}

#[cfg(test)]
mod tests;
