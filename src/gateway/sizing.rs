//! Plans how many upstreams a pool has, of which kind and in which failure domains.
//!
//! Reclaimable upstreams cost a small share of the list price, but the platform reclaims all of one
//! failure domain at once, at times two domains within seconds, and may have no replacements
//! anywhere for a while. So the plan keeps enough of them that the remaining domain alone meets the
//! need. While domains are being reclaimed, the next one may be lost before replacements have
//! booted: on-demand upstreams are bought so that the need is met after that loss, too, and
//! released when the reclaimable ones are back. The need follows from the load; until it is known,
//! the number of upstreams at the nodes' start is used instead.

use super::catalog::Scaling;
use super::num;
use crate::time::TimeMs;

/// Cap on the on-demand upstreams of all domains, less the reclaimable ones there, as a share of
/// the pool's maximum.
///
/// With half of the domains reclaimed, half of the upstreams remain. If even the maximum number of
/// engines cannot keep up, additional on-demand engines cost more than they earn.
const MAX_ON_DEMAND_SHARE: f64 = 0.45;

/// Failure domains that may be reclaimed before replacements are available; reclaimable upstreams
/// are the cheaper insurance against that.
const TOLERATED_DOMAIN_LOSSES: u32 = 3;

/// Cap, per domain, on the reclaimable upstreams planned beyond the initial number while the need
/// is unknown.
///
/// Twice the initial number is planned, since half of the failure domains may be reclaimed before
/// the need is known. With hundreds of initial upstreams, an excessive estimate is expensive, and
/// starting the upstreams keeps all nodes busy.
const MAX_SPARE_PER_DOMAIN: u32 = 16;

/// Share of the need that on-demand upstreams cover as insurance against the next loss: they cost
/// some five times as much as reclaimable ones, and the need includes headroom for bursts.
const INSURED_NEED_SHARE: f64 = 0.7;

/// Time after a reclaim, or after an order that could not be filled, during which further reclaims
/// are expected, whether the need is known or not: all domains may be reclaimed within 10 s of each
/// other.
const AT_RISK_MS: u64 = 15_000;

/// Time beyond the boot time after which an order is repeated if upstreams are missing.
const REORDER_GRACE_MS: u64 = 3_000;

/// Time without further orders of reclaimable upstreams after the platform had none.
const UNAVAILABLE_PAUSE_MS: u64 = 2_000;

/// Share of a domain's reclaimable upstreams that is released at once, and the interval between
/// releases.
///
/// The cache of an engine is lost with it, and its prefixes have to be prefilled or copied
/// elsewhere; after a large release, the remaining engines would have so much to prefill that more
/// of them are needed than before.
const RELEASE_SHARE: f64 = 0.125;
const RELEASE_INTERVAL_MS: u64 = 1_000;

/// Target number of upstreams of one kind in one failure domain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Order {
    pub pool: String,
    pub failure_domain: String,
    pub wanted: u32,
    pub is_reclaimable: bool,
}

/// Current upstreams of one pool in one failure domain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct DomainUpstreams {
    pub failure_domain: String,
    /// On-demand upstreams that accept requests.
    pub on_demand: u32,
    /// Reclaimable upstreams that accept requests.
    pub reclaimable: u32,
    /// Reclaimable upstreams that are being reclaimed.
    pub reclaimed: u32,
}

/// Number of upstreams that sustain the load, as far as it is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Need {
    /// Computed from the load.
    Known(u32),
    /// Not known yet; the number of upstreams when this node started.
    Initial(u32),
    Unknown,
}

/// Order history and availability of one pool.
#[derive(Clone, Debug, Default)]
pub(crate) struct OrderHistory {
    /// Sorted by domain and kind.
    orders: Vec<PlacedOrder>,
    unavailable_until: TimeMs,
    at_risk_until: TimeMs,
    /// Whether running upstreams may not have announced themselves yet.
    is_discovering: bool,
    /// Largest number of upstreams seen during the initial announcements.
    initial_count: u32,
}

#[derive(Clone, Debug)]
struct PlacedOrder {
    failure_domain: String,
    is_reclaimable: bool,
    wanted: u32,
    placed_at: TimeMs,
}

impl OrderHistory {
    /// Records an accepted order.
    pub fn record_order(&mut self, order: &Order, now: TimeMs) {
        let placed = PlacedOrder {
            failure_domain: order.failure_domain.clone(),
            is_reclaimable: order.is_reclaimable,
            wanted: order.wanted,
            placed_at: now,
        };
        let found = self.find(&order.failure_domain, order.is_reclaimable);
        match found {
            Ok(index) => self.orders[index] = placed,
            Err(index) => self.orders.insert(index, placed),
        }
    }

    /// Records that the platform has no reclaimable upstreams.
    pub fn record_unavailable(&mut self, now: TimeMs) {
        self.unavailable_until = now.after(UNAVAILABLE_PAUSE_MS);
        self.at_risk_until = now.after(AT_RISK_MS);
    }

    /// Sets whether running upstreams may not have announced themselves yet.
    pub fn set_discovering(&mut self, is_discovering: bool) {
        self.is_discovering = is_discovering;
    }

    /// Records the current upstreams, and whether some are being reclaimed.
    pub fn record_current(&mut self, current: &[DomainUpstreams], now: TimeMs) {
        if self.is_discovering || self.initial_count == 0 {
            // Reclaimable upstreams that this node has ordered replace initial ones and do not add
            // to them.
            let is_first = self.orders.is_empty();
            let counts = current
                .iter()
                .map(|domain| domain.on_demand + if is_first { domain.reclaimable } else { 0 });
            self.initial_count = self.initial_count.max(counts.sum());
        }
        if current.iter().any(|domain| domain.reclaimed > 0) {
            self.at_risk_until = now.after(AT_RISK_MS);
        }
    }

    fn find(&self, failure_domain: &str, is_reclaimable: bool) -> Result<usize, usize> {
        self.orders.binary_search_by(|placed| {
            (placed.failure_domain.as_str(), placed.is_reclaimable)
                .cmp(&(failure_domain, is_reclaimable))
        })
    }

    /// Whether an order for this domain and kind was accepted within the release interval.
    fn was_ordered_recently(&self, order: &Order, now: TimeMs) -> bool {
        let found = self.find(&order.failure_domain, order.is_reclaimable);
        found.is_ok_and(|index| now.since(self.orders[index].placed_at) < RELEASE_INTERVAL_MS)
    }

    /// Returns the need: the known one, else the initial number of upstreams.
    fn need(&self, known: Option<u32>) -> Need {
        match known {
            Some(need) => Need::Known(need),
            None if self.initial_count > 0 => Need::Initial(self.initial_count),
            None => Need::Unknown,
        }
    }

    /// Returns the on-demand upstreams of a domain, including ordered ones that may still be
    /// booting.
    fn provisioned(&self, domain: &DomainUpstreams, boot_ms: u64, now: TimeMs) -> u32 {
        let booting = match self.find(&domain.failure_domain, false) {
            Ok(index) if now.since(self.orders[index].placed_at) <= boot_ms + REORDER_GRACE_MS => {
                self.orders[index].wanted
            }
            _ => 0,
        };
        domain.on_demand.max(booting)
    }

    /// Whether an order is due, with `current` upstreams of its kind in its domain.
    fn is_due(&self, order: &Order, current: u32, boot_ms: u64, now: TimeMs) -> bool {
        match self.find(&order.failure_domain, order.is_reclaimable) {
            Err(_never) => current != order.wanted,
            Ok(index) => {
                let placed = &self.orders[index];
                let is_overdue = now.since(placed.placed_at) > boot_ms + REORDER_GRACE_MS;
                placed.wanted != order.wanted || (current < order.wanted && is_overdue)
            }
        }
    }
}

/// Returns the orders that are due at `now`.
///
/// `need` is the fewest upstreams that sustain the load, if it is known.
#[must_use]
pub(crate) fn plan_orders(
    pool: &str,
    scaling: &Scaling,
    current: &[DomainUpstreams],
    need: Option<u32>,
    history: &OrderHistory,
    now: TimeMs,
) -> Vec<Order> {
    let is_at_risk = now < history.at_risk_until;
    let provisioned: Vec<u32> = (current.iter())
        .map(|domain| history.provisioned(domain, scaling.startup_ms, now))
        .collect();
    let wanted = wanted_per_domain(
        scaling,
        current,
        &provisioned,
        history.need(need),
        is_at_risk,
    );
    let mut orders = Vec::new();
    for (index, (domain, reclaimable, on_demand)) in wanted.into_iter().enumerate() {
        let upstreams = &current[index];
        let least = upstreams
            .reclaimable
            .saturating_sub(release_step(upstreams.reclaimable));
        let reclaimable = reclaimable.max(least);
        for (is_reclaimable, wanted, count) in [
            (true, reclaimable, upstreams.reclaimable),
            (false, on_demand, upstreams.on_demand),
        ] {
            let order = Order {
                pool: pool.to_owned(),
                failure_domain: domain.clone(),
                wanted,
                is_reclaimable,
            };
            let is_unavailable =
                is_reclaimable && count < wanted && now < history.unavailable_until;
            // While replacements are unavailable or another reclaim is likely, a released upstream
            // cannot be bought back.
            let is_kept = is_at_risk || history.was_ordered_recently(&order, now);
            let is_kept = is_kept && is_reclaimable && count > wanted;
            // Missing upstreams may not have announced themselves yet; reclaimable ones are needed
            // in any case.
            let is_early = history.is_discovering && !is_reclaimable && count <= wanted;
            if !is_unavailable
                && !is_kept
                && !is_early
                && history.is_due(&order, count, scaling.startup_ms, now)
            {
                orders.push(order);
            }
        }
    }
    orders
}

/// Returns how many of `count` reclaimable upstreams are released at once, at least one.
fn release_step(count: u32) -> u32 {
    share_of(count, RELEASE_SHARE).max(1)
}

/// Returns the reclaimable and the on-demand upstreams wanted for each domain.
///
/// `provisioned` are the on-demand upstreams of each domain, including those that are booting.
fn wanted_per_domain(
    scaling: &Scaling,
    current: &[DomainUpstreams],
    provisioned: &[u32],
    need: Need,
    is_at_risk: bool,
) -> Vec<(String, u32, u32)> {
    let by_price = by_price(scaling, current);
    let reclaimable = match scaling.reclaimable_price {
        Some(_price) => reclaimable_per_domain(scaling, &by_price, need),
        None => vec![0; current.len()],
    };
    // On-demand upstreams make up for missing reclaimable ones.
    let mut missing = on_demand_total(scaling, current, need, is_at_risk);
    let mut on_demand = vec![0; current.len()];
    // Running and booting on-demand upstreams are kept before others are bought: if they were
    // released because a cheaper domain has capacity again, too few would remain while the
    // replacements boot.
    for index in &by_price {
        let kept = provisioned[*index].min(missing);
        on_demand[*index] = kept;
        missing -= kept;
    }
    for index in &by_price {
        let planned = current[*index].reclaimable + on_demand[*index];
        let added = scaling.max_upstreams.saturating_sub(planned).min(missing);
        on_demand[*index] += added;
        missing -= added;
    }
    (current.iter().zip(on_demand).zip(reclaimable))
        .map(|((domain, on_demand), reclaimable)| {
            let room = scaling
                .max_upstreams
                .saturating_sub(domain.on_demand.max(on_demand));
            let reclaimable = reclaimable.min(room.max(domain.reclaimable));
            (domain.failure_domain.clone(), reclaimable, on_demand)
        })
        .collect()
}

/// Returns the indices of the domains, the cheapest first.
fn by_price(scaling: &Scaling, current: &[DomainUpstreams]) -> Vec<usize> {
    let mut by_price: Vec<usize> = (0..current.len()).collect();
    by_price.sort_by(|a, b| {
        let price = |index: &usize| price(scaling, &current[*index].failure_domain);
        price(a).total_cmp(&price(b))
    });
    by_price
}

/// Returns the reclaimable upstreams wanted for each domain.
///
/// They are spread evenly, so that the need is met without the domains that may be lost; the
/// remainder of the division goes to the cheapest domains.
fn reclaimable_per_domain(scaling: &Scaling, by_price: &[usize], need: Need) -> Vec<u32> {
    let domains = u32::try_from(by_price.len()).unwrap_or(u32::MAX).max(1);
    let most = scaling.max_upstreams.max(1);
    let least = scaling.min_upstreams.clamp(1, most);
    let remaining = domains.saturating_sub(TOLERATED_DOMAIN_LOSSES).max(1);
    let all = match need {
        Need::Known(need) => need.saturating_mul(domains).div_ceil(remaining),
        Need::Initial(initial_count) => initial_count
            .saturating_add(initial_count.min(MAX_SPARE_PER_DOMAIN.saturating_mul(domains))),
        Need::Unknown => return vec![most; by_price.len()],
    };
    let all = all.clamp(least * domains, most * domains);
    let (each, beyond) = (all / domains, all % domains);
    let mut wanted = vec![each; by_price.len()];
    for index in by_price.iter().take(beyond as usize) {
        wanted[*index] += 1;
    }
    wanted
}

/// Returns the on-demand upstreams wanted over all domains.
fn on_demand_total(
    scaling: &Scaling,
    current: &[DomainUpstreams],
    need: Need,
    is_at_risk: bool,
) -> u32 {
    let domains = u32::try_from(current.len()).unwrap_or(u32::MAX);
    let all = scaling.max_upstreams.max(1).saturating_mul(domains);
    let counts = current.iter().map(|domain| domain.reclaimable);
    let running: u32 = counts.clone().sum();
    let next_loss = if is_at_risk {
        counts.max().unwrap_or(0)
    } else {
        0
    };
    let remaining = running - next_loss;
    match need {
        Need::Known(need) if scaling.reclaimable_price.is_none() => need,
        Need::Initial(initial_count) if scaling.reclaimable_price.is_none() => initial_count,
        Need::Unknown if scaling.reclaimable_price.is_none() => all,
        Need::Known(need) if is_at_risk => {
            let insured = share_of(need, INSURED_NEED_SHARE).saturating_sub(remaining);
            // Insurance covers a share of the need, but an actual loss is replaced in full.
            insured
                .max(need.saturating_sub(running))
                .min(share_of(all, MAX_ON_DEMAND_SHARE))
        }
        Need::Known(need) => share_of(need, INSURED_NEED_SHARE)
            .min(share_of(all, MAX_ON_DEMAND_SHARE))
            .saturating_sub(remaining),
        Need::Initial(initial_count) => initial_count.min(all).saturating_sub(remaining),
        Need::Unknown => share_of(all, MAX_ON_DEMAND_SHARE).saturating_sub(remaining),
    }
}

/// Returns a share of a count, rounded to the nearest integer.
fn share_of(count: u32, share: f64) -> u32 {
    u32::try_from(num::round_to_u64(f64::from(count) * share)).unwrap_or(count)
}

fn price(scaling: &Scaling, failure_domain: &str) -> f64 {
    let found = (scaling.domain_prices)
        .binary_search_by(|(domain, _price)| domain.as_str().cmp(failure_domain));
    found.map_or(1.0, |index| scaling.domain_prices[index].1)
}

#[cfg(test)]
mod tests;
