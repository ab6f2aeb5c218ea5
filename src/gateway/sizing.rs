//! How many upstreams to have, of which kind and in which failure domains.
//!
//! Reclaimable upstreams cost a small part of the list price, and the platform takes all of one
//! failure domain at once, at times two domains within seconds, with none to be had anywhere for
//! a while. So there are enough of them that what is needed is left in the last domain.
//! While domains are being reclaimed the next one may go sooner than others boot: on-demand
//! upstreams are bought so that what is needed outlives that, too, and let go when the others are
//! back. What is needed follows from the load; until that is known, all that are allowed are taken.

use super::catalog::Scaling;
use super::num;
use crate::time::TimeMs;

/// Most on-demand upstreams over all domains, less the reclaimable ones there, as a part of all that
/// are allowed; all of them while the need is not known.
///
/// With half of the domains reclaimed, half is left. Engines that cannot keep up with all that are
/// allowed do not earn what more on-demand ones cost: on a day with engines of half the pace, 0.093
/// of the payoff owed was left without this bound, 0.151 with it (three seeds).
const INSURED_PART: f64 = 0.45;

/// Failure domains that may be reclaimed before others can be had.
///
/// Reclaimable upstreams are the cheaper insurance: on six days of 24 upstreams, three seeds each,
/// 0.560 of the payoff owed was left when two domains were planned for, 0.574 with three.
const LOST_DOMAINS: u32 = 3;

/// On-demand upstreams cover this part of the need: they cost some five times as much as
/// reclaimable ones, and what is needed has room for clumps of requests in it.
///
/// Over the same days 0.560 was left with this part, 0.556 with all of it.
const ON_DEMAND_PART: f64 = 0.7;

/// After a reclaim, or an order for which there were none, others are expected for this long: four
/// domains went within 10 s of each other on the worst of the days seen, with none to be had for 14 s.
///
/// It counts before the need is known as well: on a day on which three domains go within the first
/// fourteen seconds, 0.421 of the payoff owed was left without it, 0.506 with it (three seeds).
const AT_RISK_MS: u64 = 15_000;

/// An order is given again if upstreams are missing for this long beyond their boot.
const REPEAT_MS: u64 = 3_000;

/// None is ordered of a kind for this long after the platform had none.
const DRY_MS: u64 = 2_000;

/// Part of the reclaimable upstreams of a domain that is let go at once, and the pause until the next.
///
/// What an engine has read goes with it, and has to be read or copied elsewhere. On a calm day of 195
/// nodes, 110 of 156 engines were let go at once on a need of 23; the others had so much to read that
/// the need was 156 nine seconds later.
const RELEASED_PART: f64 = 0.125;
const RELEASE_PAUSE_MS: u64 = 1_000;

/// A number of upstreams of one kind that is wanted in one failure domain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Order {
    pub pool: String,
    pub failure_domain: String,
    pub wanted: u32,
    pub is_reclaimable: bool,
}

/// Upstreams of one pool in one failure domain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Standing {
    pub failure_domain: String,
    /// On-demand upstreams that take work.
    pub on_demand: u32,
    /// Reclaimable upstreams that take work.
    pub reclaimable: u32,
    /// Reclaimable upstreams that leave.
    pub reclaimed: u32,
}

/// What has been ordered of one pool.
#[derive(Clone, Debug, Default)]
pub(crate) struct Ordered {
    /// Sorted by domain and kind.
    orders: Vec<Given>,
    dry_until: TimeMs,
    at_risk_until: TimeMs,
    /// Whether upstreams that stand may not have announced themselves yet.
    is_arriving: bool,
}

#[derive(Clone, Debug)]
struct Given {
    failure_domain: String,
    is_reclaimable: bool,
    wanted: u32,
    at: TimeMs,
}

impl Ordered {
    /// Notes an order that was accepted.
    pub fn note(&mut self, order: &Order, now: TimeMs) {
        let given = Given {
            failure_domain: order.failure_domain.clone(),
            is_reclaimable: order.is_reclaimable,
            wanted: order.wanted,
            at: now,
        };
        let found = self.find(&order.failure_domain, order.is_reclaimable);
        match found {
            Ok(place) => self.orders[place] = given,
            Err(place) => self.orders.insert(place, given),
        }
    }

    /// Notes that there are no reclaimable upstreams to be had.
    pub fn note_dry(&mut self, now: TimeMs) {
        self.dry_until = now.after(DRY_MS);
        self.at_risk_until = now.after(AT_RISK_MS);
    }

    /// Takes in whether upstreams that stand may not have announced themselves yet.
    pub fn note_arriving(&mut self, is_arriving: bool) {
        self.is_arriving = is_arriving;
    }

    /// Takes in whether upstreams are being reclaimed.
    pub fn note_standing(&mut self, standing: &[Standing], now: TimeMs) {
        if standing.iter().any(|domain| domain.reclaimed > 0) {
            self.at_risk_until = now.after(AT_RISK_MS);
        }
    }

    fn find(&self, failure_domain: &str, is_reclaimable: bool) -> Result<usize, usize> {
        self.orders.binary_search_by(|given| {
            (given.failure_domain.as_str(), given.is_reclaimable)
                .cmp(&(failure_domain, is_reclaimable))
        })
    }

    /// Whether upstreams of this domain and kind were ordered, or let go, a moment ago.
    fn is_releasing(&self, order: &Order, now: TimeMs) -> bool {
        let found = self.find(&order.failure_domain, order.is_reclaimable);
        found.is_ok_and(|place| now.since(self.orders[place].at) < RELEASE_PAUSE_MS)
    }

    /// Whether an order has to be given for this number, with so many there.
    fn is_due(&self, order: &Order, standing: u32, boot_ms: u64, now: TimeMs) -> bool {
        match self.find(&order.failure_domain, order.is_reclaimable) {
            Err(_never) => standing != order.wanted,
            Ok(place) => {
                let given = &self.orders[place];
                let is_overdue = now.since(given.at) > boot_ms + REPEAT_MS;
                given.wanted != order.wanted || (standing < order.wanted && is_overdue)
            }
        }
    }
}

/// The orders to give now.
///
/// `need` is the fewest upstreams that bear the load, if that is known.
#[must_use]
pub(crate) fn orders(
    pool: &str,
    scaling: &Scaling,
    standing: &[Standing],
    need: Option<u32>,
    ordered: &Ordered,
    now: TimeMs,
) -> Vec<Order> {
    let is_at_risk = now < ordered.at_risk_until;
    let wanted = wanted(scaling, standing, need, is_at_risk);
    let mut orders = Vec::new();
    for (place, (domain, reclaimable, on_demand)) in wanted.into_iter().enumerate() {
        let there = &standing[place];
        let least = there.reclaimable.saturating_sub(step(there.reclaimable));
        let reclaimable = reclaimable.max(least);
        for (is_reclaimable, wanted, there) in [
            (true, reclaimable, there.reclaimable),
            (false, on_demand, there.on_demand),
        ] {
            let order = Order {
                pool: pool.to_owned(),
                failure_domain: domain.clone(),
                wanted,
                is_reclaimable,
            };
            let is_dry = is_reclaimable && there < wanted && now < ordered.dry_until;
            // While none can be had, or the next domain may go, what is let go cannot be bought back.
            let is_kept = is_at_risk || ordered.is_releasing(&order, now);
            let is_kept = is_kept && is_reclaimable && there > wanted;
            // What looks missing may only be late; reclaimable ones are wanted in any case.
            let is_early = ordered.is_arriving && !is_reclaimable && there <= wanted;
            if !is_dry
                && !is_kept
                && !is_early
                && ordered.is_due(&order, there, scaling.boot_ms, now)
            {
                orders.push(order);
            }
        }
    }
    orders
}

/// How many of so many reclaimable upstreams are let go at once, at least one.
fn step(there: u32) -> u32 {
    part(there, RELEASED_PART).max(1)
}

/// For each domain, how many reclaimable and how many on-demand upstreams are wanted.
fn wanted(
    scaling: &Scaling,
    standing: &[Standing],
    need: Option<u32>,
    is_at_risk: bool,
) -> Vec<(String, u32, u32)> {
    let by_price = by_price(scaling, standing);
    let reclaimable = match scaling.reclaimable_price {
        Some(_price) => reclaimable(scaling, &by_price, need),
        None => vec![0; standing.len()],
    };
    // Until enough reclaimable upstreams are there, on-demand ones make up for them.
    let mut missing = missing(scaling, standing, need, is_at_risk);
    let mut on_demand = vec![0; standing.len()];
    // Those that are there go on before others are bought.
    for place in &by_price {
        let kept = standing[*place].on_demand.min(missing);
        on_demand[*place] = kept;
        missing -= kept;
    }
    for place in &by_price {
        let there = standing[*place].reclaimable + on_demand[*place];
        let bought = scaling.most.saturating_sub(there).min(missing);
        on_demand[*place] += bought;
        missing -= bought;
    }
    (standing.iter().zip(on_demand).zip(reclaimable))
        .map(|((domain, on_demand), reclaimable)| {
            let room = scaling.most.saturating_sub(domain.on_demand.max(on_demand));
            let reclaimable = reclaimable.min(room.max(domain.reclaimable));
            (domain.failure_domain.clone(), reclaimable, on_demand)
        })
        .collect()
}

/// The places of domains, the cheapest first.
fn by_price(scaling: &Scaling, standing: &[Standing]) -> Vec<usize> {
    let mut by_price: Vec<usize> = (0..standing.len()).collect();
    by_price.sort_by(|a, b| {
        let price = |place: &usize| price(scaling, &standing[*place].failure_domain);
        price(a).total_cmp(&price(b))
    });
    by_price
}

/// Reclaimable upstreams wanted in each domain.
///
/// Evenly spread, so that what is needed is left without the domains that may be lost; those that
/// do not go into all domains alike go into the cheapest.
fn reclaimable(scaling: &Scaling, by_price: &[usize], need: Option<u32>) -> Vec<u32> {
    let domains = u32::try_from(by_price.len()).unwrap_or(u32::MAX).max(1);
    let most = scaling.most.max(1);
    let least = scaling.least.clamp(1, most);
    let Some(need) = need else {
        return vec![most; by_price.len()];
    };
    let left = domains.saturating_sub(LOST_DOMAINS).max(1);
    let all = (need.saturating_mul(domains).div_ceil(left)).clamp(least * domains, most * domains);
    let (each, beyond) = (all / domains, all % domains);
    let mut wanted = vec![each; by_price.len()];
    for place in by_price.iter().take(beyond as usize) {
        wanted[*place] += 1;
    }
    wanted
}

/// On-demand upstreams wanted over all domains.
fn missing(scaling: &Scaling, standing: &[Standing], need: Option<u32>, is_at_risk: bool) -> u32 {
    let domains = u32::try_from(standing.len()).unwrap_or(u32::MAX);
    let all = scaling.most.max(1).saturating_mul(domains);
    let counts = standing.iter().map(|domain| domain.reclaimable);
    let there: u32 = counts.clone().sum();
    let next_loss = if is_at_risk {
        counts.max().unwrap_or(0)
    } else {
        0
    };
    match need {
        _ if scaling.reclaimable_price.is_none() => need.unwrap_or(all),
        Some(need) => part(need, ON_DEMAND_PART)
            .min(part(all, INSURED_PART))
            .saturating_sub(there - next_loss),
        None => part(all, INSURED_PART).saturating_sub(there - next_loss),
    }
}

/// A part of a count, to the nearest whole one.
fn part(count: u32, part: f64) -> u32 {
    u32::try_from(num::whole(f64::from(count) * part)).unwrap_or(count)
}

fn price(scaling: &Scaling, failure_domain: &str) -> f64 {
    let found = (scaling.domain_prices)
        .binary_search_by(|(domain, _price)| domain.as_str().cmp(failure_domain));
    found.map_or(1.0, |place| scaling.domain_prices[place].1)
}

#[cfg(test)]
mod tests;
