//! Orders upstreams through the platform, for the node that has the duties.

use super::by_pool::ByPool;
use super::catalog::{Catalog, Pool};
use super::clock;
use super::need::{self, Peak};
use super::sizing::{self, Order, Ordered, Standing};
use super::state::Gateway;
use crate::platform::cloud::{Cloud, Holder, Verdict};
use crate::time::TimeMs;

/// No order is given for this long after a node's start.
///
/// Upstreams that start together with the nodes announce themselves within a heartbeat or two of
/// 1,200 ms. Counted before, they look missing, and on-demand ones are bought in their place.
const SETTLED_AFTER_MS: u64 = 2_500;

/// No on-demand upstream is bought either while upstreams keep announcing themselves: one that stands
/// has done so within a heartbeat of the one before it, and news takes up to 300 ms more.
///
/// Reclaimable ones do not wait for it: they are wanted in any case, and have to boot.
const QUIET_MS: u64 = 1_500;

/// The longest wait for that; upstreams that come one by one are no reason to buy none.
const LONGEST_SETTLING_MS: u64 = 6_000;

/// How giving orders ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Ended {
    /// All that were due have been given, or there are none to be had.
    Given,
    /// Some were not; they are due again at the next look.
    NotGiven,
    /// Another node has acted with a higher token.
    Fenced,
}

/// What is remembered between two looks.
#[derive(Debug, Default)]
pub(super) struct Memory {
    arrival: Arrival,
    pools: ByPool<PoolMemory>,
}

/// How upstreams become known after a node's start.
#[derive(Clone, Copy, Debug, Default)]
struct Arrival {
    /// When this node first looked.
    first_look_at: Option<TimeMs>,
    /// Most upstreams that were known at once, and since when.
    known: usize,
    grew_at: TimeMs,
    /// Whether those that stand had the time to say so.
    is_settled: bool,
    /// Whether no more came for a while.
    is_over: bool,
}

impl Arrival {
    /// Takes in how many upstreams are known.
    fn note(&mut self, known: usize, now: TimeMs) {
        let first = *self.first_look_at.get_or_insert(now);
        if known > self.known {
            self.known = known;
            self.grew_at = now;
        }
        let is_quiet = now.since(self.grew_at) >= QUIET_MS;
        let waited_ms = now.since(first);
        self.is_settled |= waited_ms >= SETTLED_AFTER_MS;
        self.is_over |= waited_ms >= LONGEST_SETTLING_MS || (self.is_settled && is_quiet);
    }
}

/// What is remembered of one pool.
#[derive(Debug, Default)]
struct PoolMemory {
    ordered: Ordered,
    peak: Peak,
    /// The fewest upstreams that bear what was asked lately, if that is known.
    need: Option<u32>,
}

impl Memory {
    /// Works out what is needed of each pool.
    ///
    /// All nodes do so, whether they have the duties or not: the next holder of the lease must know
    /// what was needed in the last moments, else it lets go what the one before kept for a wave.
    pub fn note_needs(&mut self, node: &Gateway, now: TimeMs) {
        let catalog = node.catalog();
        self.arrival.note(node.upstreams.lock().iter().count(), now);
        for pool in catalog.pools.iter().filter(|pool| pool.scaling.is_some()) {
            let least = least_engines(node, &catalog, pool, now);
            let memory = self.pools.of(&pool.name);
            memory.need = least.map(|least| memory.peak.note(least, now));
        }
    }
}

/// Orders upstreams where too few or too many are there.
pub(super) async fn order_upstreams(node: &Gateway, cloud: &Cloud, memory: &mut Memory) -> Ended {
    if !memory.arrival.is_settled {
        return Ended::NotGiven;
    }
    let is_arriving = !memory.arrival.is_over;
    let catalog = node.catalog();
    for pool in &catalog.pools {
        let Some(scaling) = &pool.scaling else {
            continue;
        };
        let now = clock::now();
        let standing = standing(node, &pool.name, now);
        let PoolMemory { ordered, need, .. } = memory.pools.of(&pool.name);
        let need = *need;
        ordered.note_arriving(is_arriving);
        ordered.note_standing(&standing, now);
        let orders = sizing::orders(&pool.name, scaling, &standing, need, ordered, now);
        // While two versions stand, what the new one lacks looks like too many of the old; upstreams that
        // were let go would be missing whichever version stays.
        let is_rolled_out = node.rollouts.lock().is_running(&pool.name);
        let orders = orders
            .into_iter()
            .filter(|order| !is_rolled_out || !lets_go(order, &standing));
        for order in orders {
            match give_order(node, cloud, &order, need, ordered).await {
                Ended::Given => {}
                ended => return ended,
            }
        }
    }
    Ended::Given
}

/// Whether an order lets upstreams go.
fn lets_go(order: &Order, standing: &[Standing]) -> bool {
    let there = standing
        .iter()
        .find(|there| there.failure_domain == order.failure_domain);
    there.is_some_and(|there| {
        let count = if order.is_reclaimable {
            there.reclaimable
        } else {
            there.on_demand
        };
        order.wanted < count
    })
}

/// Gives one order.
async fn give_order(
    node: &Gateway,
    cloud: &Cloud,
    order: &Order,
    need: Option<u32>,
    ordered: &mut Ordered,
) -> Ended {
    let Some(token) = node.lease.lock().token(clock::now()) else {
        return Ended::NotGiven;
    };
    let fencing_token = token.number();
    let holder = Holder {
        node: &node.settings().name,
        fencing_token,
    };
    let given = cloud.order(holder, order).await;
    let now = clock::now();
    log::info!(
        event = "upstreams_ordered",
        pool = order.pool.as_str(),
        failure_domain = order.failure_domain.as_str(),
        wanted = order.wanted,
        reclaimable = order.is_reclaimable,
        need,
        fencing_token,
        verdict:? = given;
        "upstreams were ordered"
    );
    match given {
        Ok(Verdict::Accepted) => ordered.note(order, now),
        Ok(Verdict::Unavailable) => ordered.note_dry(now),
        Ok(Verdict::Fenced) => return Ended::Fenced,
        // It is given again at the next look, or it takes effect late, which does no harm: it
        // names a number and not a difference.
        Ok(Verdict::Refused(_)) | Err(_) => return Ended::NotGiven,
    }
    Ended::Given
}

/// Upstreams of a pool by failure domain, for all domains that are known.
fn standing(node: &Gateway, pool: &str, now: TimeMs) -> Vec<Standing> {
    let settings = node.settings();
    let mut standing: Vec<Standing> = (settings.domain_regions.iter())
        .map(|(failure_domain, _region)| Standing {
            failure_domain: failure_domain.clone(),
            on_demand: 0,
            reclaimable: 0,
            reclaimed: 0,
        })
        .collect();
    for (_key, upstream) in node.upstreams.lock().iter() {
        if upstream.announced.pool != pool {
            continue;
        }
        let domain = &upstream.announced.failure_domain;
        let found = standing.binary_search_by(|standing| standing.failure_domain.cmp(domain));
        let Ok(place) = found else { continue };
        let counts = &mut standing[place];
        match upstream.takes_work(now) {
            true if upstream.announced.is_reclaimable => counts.reclaimable += 1,
            true => counts.on_demand += 1,
            false => counts.reclaimed += u32::from(upstream.is_reclaimed()),
        }
    }
    standing
}

/// The fewest engines that bear what is asked of a pool, if that is known.
fn least_engines(node: &Gateway, catalog: &Catalog, pool: &Pool, now: TimeMs) -> Option<u32> {
    let (engine, scaling) = pool.engine.zip(pool.scaling.as_ref())?;
    let targets = need::targets(catalog, &pool.name)?;
    let pace = node.fleet_pace(&pool.name, now)?;
    let known_nodes = node.peers.lock().audience(now).known;
    let load = {
        let demands = node.demands.lock();
        need::Load {
            rates: demands.fleet(&pool.name, known_nodes, now),
            shared_tokens: demands.shared_tokens(&pool.name),
        }
    };
    let domains = u32::try_from(node.settings().domain_regions.len()).unwrap_or(u32::MAX);
    let most = scaling.most.saturating_mul(domains).max(1);
    let least = need::least_engines(&load, &pace, &engine, &targets, most);
    let least = {
        let upstreams = node.upstreams.lock();
        let limits_per_s = (upstreams.iter())
            .filter(|(_key, upstream)| upstream.announced.pool == pool.name)
            .filter(|(_key, upstream)| upstream.takes_work(now))
            .filter_map(|(_key, upstream)| upstream.intake.least_per_s(scaling.boot_ms, now));
        need::beside_limited(least, load.rates.requests_per_s, limits_per_s, most)
    };
    log::debug!(event = "need_worked_out", pool = pool.name.as_str(), least, load:? = load, pace:? = pace; "what is asked of a pool");
    Some(least)
}

#[cfg(test)]
mod tests;
