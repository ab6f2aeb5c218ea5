//! Orders upstreams from the platform, on the node that holds the lease.

use super::catalog::{Catalog, Pool};
use super::clock;
use super::pool_map::PoolMap;
use super::sizing::{self, DomainUpstreams, Order, OrderHistory};
use super::speed::need::{self, Peak};
use super::state::Gateway;
use crate::platform::cloud::{CallOutcome, Cloud, LeaseHolder};
use crate::time::TimeMs;

/// Time after a node's first round during which no order is placed.
///
/// Upstreams that start together with the nodes announce themselves within one or two heartbeats of
/// 1,200 ms. If they were counted earlier, they would look missing and on-demand ones would be
/// bought instead.
const MIN_DISCOVERY_MS: u64 = 2_500;

/// Time without a new announcement after which the initial announcements count as complete; no
/// on-demand upstream is bought before. A running upstream announces itself within a heartbeat of
/// the one before it, and propagation takes up to 300 ms more.
///
/// Reclaimable upstreams are ordered without this delay: they are needed in any case, and have to
/// boot.
const DISCOVERY_QUIET_MS: u64 = 1_500;

/// Cap on that delay; a slow trickle of new upstreams must not block purchases.
const MAX_DISCOVERY_MS: u64 = 6_000;

/// Result of placing orders.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum OrderOutcome {
    /// All due orders were placed, or the platform has no upstreams for them.
    Placed,
    /// Some orders failed; they are due again in the next round.
    Incomplete,
    /// Another node has acted with a higher fencing token.
    Fenced,
}

/// State kept between two rounds.
#[derive(Debug, Default)]
pub(super) struct ScalingState {
    discovery: Discovery,
    pools: PoolMap<PoolState>,
}

/// Progress of the initial announcements after a node's start.
#[derive(Clone, Copy, Debug, Default)]
struct Discovery {
    /// Time of the first round.
    started_at: Option<TimeMs>,
    /// Largest number of upstreams known at once, and the time of its last increase.
    known: usize,
    increased_at: TimeMs,
    /// Whether running upstreams had time to announce themselves, so that orders may be placed.
    is_settled: bool,
    /// Whether the initial announcements are complete, so that on-demand upstreams may be bought.
    is_complete: bool,
}

impl Discovery {
    /// Records how many upstreams are known.
    fn record(&mut self, known: usize, now: TimeMs) {
        let first = *self.started_at.get_or_insert(now);
        if known > self.known {
            self.known = known;
            self.increased_at = now;
        }
        let is_quiet = now.since(self.increased_at) >= DISCOVERY_QUIET_MS;
        let waited_ms = now.since(first);
        self.is_settled |= waited_ms >= MIN_DISCOVERY_MS;
        self.is_complete |= waited_ms >= MAX_DISCOVERY_MS || (self.is_settled && is_quiet);
    }
}

/// State of one pool.
#[derive(Debug, Default)]
struct PoolState {
    history: OrderHistory,
    peak: Peak,
    /// The fewest upstreams that sustain the recent peak load, if it is known.
    need: Option<u32>,
}

impl ScalingState {
    /// Computes the need of each pool.
    ///
    /// All nodes do so, with or without the lease: the next lease holder must know the recent peak,
    /// else it releases upstreams that the previous holder kept for a burst.
    pub fn update_needs(&mut self, node: &Gateway, now: TimeMs) {
        let catalog = node.catalog();
        self.discovery
            .record(node.upstreams.lock().iter().count(), now);
        for pool in catalog.pools.iter().filter(|pool| pool.scaling.is_some()) {
            let least = required_engines(node, &catalog, pool, now);
            let memory = self.pools.get_or_default(&pool.name);
            memory.need = least.map(|least| memory.peak.record(least, now));
        }
    }
}

/// Places the orders that are due in each pool.
pub(super) async fn order_upstreams(
    node: &Gateway,
    cloud: &Cloud,
    memory: &mut ScalingState,
) -> OrderOutcome {
    if !memory.discovery.is_settled {
        return OrderOutcome::Incomplete;
    }
    let is_discovering = !memory.discovery.is_complete;
    let catalog = node.catalog();
    for pool in &catalog.pools {
        let Some(scaling) = &pool.scaling else {
            continue;
        };
        let now = clock::now();
        let current = upstreams_by_domain(node, &pool.name, now);
        let PoolState { history, need, .. } = memory.pools.get_or_default(&pool.name);
        let need = *need;
        history.set_discovering(is_discovering);
        history.record_current(&current, now);
        let orders = sizing::plan_orders(&pool.name, scaling, &current, need, history, now);
        // During a rollout, upstreams that the new version still lacks look like a surplus of the
        // old one; if they were released, they would be missing whichever version remains.
        let is_rolled_out = node.rollouts.lock().is_running(&pool.name);
        let orders = orders
            .into_iter()
            .filter(|order| !is_rolled_out || !is_release(order, &current));
        for order in orders {
            match place_order(node, cloud, &order, need, history).await {
                OrderOutcome::Placed => {}
                ended => return ended,
            }
        }
    }
    OrderOutcome::Placed
}

/// Whether an order releases upstreams.
fn is_release(order: &Order, current: &[DomainUpstreams]) -> bool {
    let domain = current
        .iter()
        .find(|domain| domain.failure_domain == order.failure_domain);
    domain.is_some_and(|domain| {
        let count = if order.is_reclaimable {
            domain.reclaimable
        } else {
            domain.on_demand
        };
        order.wanted < count
    })
}

/// Places one order.
async fn place_order(
    node: &Gateway,
    cloud: &Cloud,
    order: &Order,
    need: Option<u32>,
    history: &mut OrderHistory,
) -> OrderOutcome {
    let Some(token) = node.lease.lock().token(clock::now()) else {
        return OrderOutcome::Incomplete;
    };
    let fencing_token = token.number();
    let holder = LeaseHolder {
        node: &node.settings().name,
        fencing_token,
    };
    let verdict = cloud.order_upstreams(holder, order).await;
    let now = clock::now();
    log::info!(
        event = "upstreams_ordered",
        pool = order.pool.as_str(),
        failure_domain = order.failure_domain.as_str(),
        wanted = order.wanted,
        reclaimable = order.is_reclaimable,
        need,
        fencing_token,
        verdict:? = verdict;
        "placed an order for upstreams"
    );
    match verdict {
        Ok(CallOutcome::Accepted) => history.record_order(order, now),
        Ok(CallOutcome::Unavailable) => history.record_unavailable(now),
        Ok(CallOutcome::Fenced) => return OrderOutcome::Fenced,
        // The order is repeated in the next round. If this one takes effect late, it does no harm,
        // because it states a target number and not a difference.
        Ok(CallOutcome::Refused(_)) | Err(_) => return OrderOutcome::Incomplete,
    }
    OrderOutcome::Placed
}

/// Returns the current upstreams of a pool for each known failure domain.
fn upstreams_by_domain(node: &Gateway, pool: &str, now: TimeMs) -> Vec<DomainUpstreams> {
    let settings = node.settings();
    let mut current: Vec<DomainUpstreams> = (settings.domain_regions.iter())
        .map(|(failure_domain, _region)| DomainUpstreams {
            failure_domain: failure_domain.clone(),
            on_demand: 0,
            reclaimable: 0,
            reclaimed: 0,
        })
        .collect();
    for (_key, upstream) in node.upstreams.lock().iter() {
        if upstream.announcement.pool != pool {
            continue;
        }
        let domain = &upstream.announcement.failure_domain;
        let found = current.binary_search_by(|counts| counts.failure_domain.cmp(domain));
        let Ok(index) = found else { continue };
        let counts = &mut current[index];
        match upstream.accepts_requests(now) {
            true if upstream.announcement.is_reclaimable => counts.reclaimable += 1,
            true => counts.on_demand += 1,
            false => counts.reclaimed += u32::from(upstream.is_being_reclaimed()),
        }
    }
    current
}

/// Returns the fewest engines that sustain the load of a pool; `None` until it is known.
fn required_engines(node: &Gateway, catalog: &Catalog, pool: &Pool, now: TimeMs) -> Option<u32> {
    let (engine, scaling) = pool.engine.zip(pool.scaling.as_ref())?;
    let targets = need::targets(catalog, &pool.name)?;
    let pace = node.fleet_pace(&pool.name, now)?;
    let known_nodes = node.peers.lock().visibility(now).known;
    let load = {
        let demands = node.demands.lock();
        need::Load {
            rates: demands.fleet(&pool.name, known_nodes, now),
            shared_tokens: demands.shared_tokens(&pool.name),
        }
    };
    let domains = u32::try_from(node.settings().domain_regions.len()).unwrap_or(u32::MAX);
    let most = scaling.max_upstreams.saturating_mul(domains).max(1);
    let least = need::min_engines(&load, &pace, &engine, &targets, most);
    let least = {
        let upstreams = node.upstreams.lock();
        let current = || {
            (upstreams.iter().map(|(_key, upstream)| upstream))
                .filter(|upstream| upstream.announcement.pool == pool.name)
                .filter(|upstream| upstream.accepts_requests(now))
        };
        let time_factors = current().map(|upstream| upstream.speed.factor());
        let least = need::min_engines_with_speeds(least, time_factors, most);
        let limits_per_s = current()
            .filter_map(|upstream| upstream.send_gate.min_limit_per_s(scaling.startup_ms, now));
        need::min_engines_with_limits(least, load.rates.requests_per_s, limits_per_s, most)
    };
    log::debug!(event = "need_worked_out", pool = pool.name.as_str(), least, load:? = load, pace:? = pace; "computed the need of a pool from its load");
    Some(least)
}

#[cfg(test)]
mod tests;
