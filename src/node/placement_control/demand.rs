//! What each pool is to be ready for: the document's counts, or more if the demand asks for it.

use crate::blackboard::{HostRow, HostState};
use crate::document::Document;
use crate::document::checked::{Pool, PoolKind};
use crate::keys::{ClassKey, DomainKey, PoolKey};
use crate::placement::{Demand, Forecast, PoolDemand, Refusal, Settings};
use crate::time::TimeMs;

/// Between two samples of the demand.
const SAMPLE_MS: u64 = 10_000;

/// How long the demand of a pool is watched before anything is bought for it.
///
/// One sample in a burst would buy hosts that nobody needs when they have started.
const WATCH_MS: u64 = 60_000;

/// How long a host takes from the decision to buy it until it serves.
const LEAD_MS: u64 = 300_000;

/// How far back and ahead nothing that was or will be needed is given up.
const KEEP_MS: u64 = 3_600_000;

/// The demand of one pool, by its name, as its key may change with the document.
#[derive(Debug)]
struct Watched {
    pool: String,
    since_ms: TimeMs,
    forecast: Forecast,
}

/// The demand of all pools, as this node has seen it.
#[derive(Debug, Default)]
pub(super) struct Demands {
    /// Sorted by pool.
    watched: Vec<Watched>,
    sampled_at_ms: Option<TimeMs>,
}

impl Demands {
    /// Takes a sample if it is time.
    pub(super) fn observe(
        &mut self,
        document: &Document,
        hosts: &[HostRow],
        waiting: u32,
        now: TimeMs,
    ) {
        let is_due = |at_ms: TimeMs| now.since(at_ms) >= SAMPLE_MS;
        if !self.sampled_at_ms.is_none_or(is_due) {
            return;
        }
        self.sampled_at_ms = Some(now);
        let names = &document.pools;
        self.watched.retain(|row| {
            names
                .binary_search_by(|pool| pool.name.cmp(&row.pool))
                .is_ok()
        });
        let demands = sample(document, hosts, waiting);
        for (pool, demand) in names.iter().zip(demands) {
            let found = self
                .watched
                .binary_search_by(|row| row.pool.cmp(&pool.name));
            let index = found.unwrap_or_else(|index| {
                let new = Watched {
                    pool: pool.name.clone(),
                    since_ms: now,
                    forecast: Forecast::default(),
                };
                self.watched.insert(index, new);
                index
            });
            self.watched[index].forecast.observe(demand, now);
        }
    }

    /// What each pool is to be ready for.
    pub(super) fn pools(
        &self,
        document: &Document,
        refusals: &[Refusal],
        settings: &Settings,
        now: TimeMs,
    ) -> Vec<PoolDemand> {
        let pools = document.pools.iter().enumerate();
        let demands = pools.map(|(index, pool)| {
            let seen = self.peaks(&pool.name, now);
            demand_of(document, index.into(), seen, refusals, settings, now)
        });
        demands.collect()
    }

    fn peaks(&self, pool: &str, now: TimeMs) -> Option<(Demand, Demand)> {
        let found = self
            .watched
            .binary_search_by(|row| row.pool.as_str().cmp(pool));
        let row = &self.watched[found.ok()?];
        let is_known = now.since(row.since_ms) >= WATCH_MS;
        let lead = row.forecast.peak(0, LEAD_MS, now).filter(|_| is_known)?;
        Some((lead, row.forecast.peak(KEEP_MS, KEEP_MS, now)?))
    }
}

/// What a pool is to be ready for.
///
/// The document's counts are the floor: what the operator asked for is held. Where the demand needs
/// more than they serve after the loss of a failure domain, or a failure domain has no host to sell
/// for its count, the cheapest mix over all failure domains that serves as much is held instead.
pub(super) fn demand_of(
    document: &Document,
    key: PoolKey,
    seen: Option<(Demand, Demand)>,
    refusals: &[Refusal],
    settings: &Settings,
    now: TimeMs,
) -> PoolDemand {
    let pool = document.pool(key);
    let floor = floor(document, pool, settings);
    let exceeds = |demand: &Demand| {
        demand.streams > floor.streams || demand.tokens_per_second > floor.tokens_per_second
    };
    let raised = seen.filter(|(_, keep)| exceeds(keep));
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

/// What the document's counts serve after the loss of the failure domain that holds most.
fn floor(document: &Document, pool: &Pool, settings: &Settings) -> Demand {
    let counts = pool.hosts.iter().map(|(_, count)| u32::from(*count));
    let most = match pool.hosts.len() {
        0 | 1 => 0,
        _ => counts.clone().max().unwrap_or(0),
    };
    let hosts = f64::from(counts.sum::<u32>() - most) * settings.utilisation_max;
    let classes = pool.host_classes.iter();
    let classes = classes.map(|class| document.host_class(*class));
    let least = |value: fn(&crate::document::checked::HostClass) -> f64| {
        classes.clone().map(value).reduce(f64::min).unwrap_or(0.0)
    };
    Demand {
        streams: hosts * least(|class| f64::from(class.slots)),
        tokens_per_second: hosts * least(|class| class.tokens_per_second),
        prefill_tokens_per_second: 0.0,
    }
}

/// Whether some failure domain of the pool refuses starts of each class that the pool may use.
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

/// The work of each pool now, by its hosts' reports and by what waits at the nodes.
fn sample(document: &Document, hosts: &[HostRow], waiting: u32) -> Vec<Demand> {
    let mut demands = vec![Demand::default(); document.pools.len()];
    for row in hosts {
        if let Some(demand) = demands.get_mut(row.pool.index()) {
            demand.streams += f64::from(row.load.running) + f64::from(row.load.queued);
            demand.tokens_per_second += row.load.tokens_per_second;
        }
    }
    // What waits is not told by pool; it is shared out as the work that runs.
    let all: f64 = demands.iter().map(|demand| demand.streams).sum();
    if all > 0.0 {
        for demand in &mut demands {
            demand.streams += f64::from(waiting) * demand.streams / all;
        }
    }
    demands
}

/// Whether a pool's hosts report their load.
pub(super) fn reports_load(pool: &Pool) -> bool {
    matches!(pool.kind, PoolKind::Engine { .. })
}

/// Whether a host is under notice.
pub(super) fn is_leaving(row: &HostRow) -> bool {
    matches!(row.state, HostState::Leaving { .. })
}

#[cfg(test)]
mod tests;
