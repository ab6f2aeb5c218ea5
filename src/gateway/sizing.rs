//! How many upstreams to have, of which kind and in which failure domains.
//!
//! Reclaimable upstreams cost a small part of the list price, and the platform takes all of one
//! failure domain at once, at times two domains within seconds, with none to be had anywhere for
//! a while. So there are enough of them that what is needed is left in the last domain.
//! While domains are being reclaimed the next one may go sooner than others boot: on-demand
//! upstreams are bought so that what is needed outlives that, too, and let go when the others are
//! back. What is needed follows from the load; until that is known, it is taken from how many stood
//! when the nodes started.

use super::catalog::Scaling;
use super::num;
use crate::time::TimeMs;

/// Most on-demand upstreams over all domains, less the reclaimable ones there, as a part of all that
/// are allowed.
///
/// With half of the domains reclaimed, half is left. Engines that cannot keep up with all that are
/// allowed do not earn what more on-demand ones cost.
const INSURED_PART: f64 = 0.45;

/// Failure domains that may be reclaimed before others can be had; reclaimable upstreams are the
/// cheaper insurance against it.
const LOST_DOMAINS: u32 = 3;

/// While the need is not known, twice as many reclaimable upstreams as stood are kept, since half of the
/// failure domains may be reclaimed before it is, but no more than this beyond those that stood in a
/// domain: where hundreds stand, a guess that is wrong is dear, and starting them keeps all nodes busy.
const MOST_SPARE: u32 = 16;

/// On-demand upstreams that insure against the next loss cover this part of the need: they cost some
/// five times as much as reclaimable ones, and what is needed has room for clumps of requests in it.
const ON_DEMAND_PART: f64 = 0.7;

/// After a reclaim, or an order for which there were none, others are expected for this long, whether
/// the need is known or not: all domains may go within 10 s of each other.
const AT_RISK_MS: u64 = 15_000;

/// An order is given again if upstreams are missing for this long beyond their boot.
const REPEAT_MS: u64 = 3_000;

/// None is ordered of a kind for this long after the platform had none.
const DRY_MS: u64 = 2_000;

/// Part of the reclaimable upstreams of a domain that is let go at once, and the pause until the next.
///
/// What an engine has read goes with it, and has to be read or copied elsewhere; the engines that stay
/// would have so much to read that more are needed than before.
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

/// How many upstreams bear the load, as far as that is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Need {
    /// So many.
    Known(u32),
    /// Not known yet; so many stood when this node began to look.
    AsStood(u32),
    Unknown,
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
    /// Most upstreams that stood while they announced themselves.
    stood: u32,
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

    /// Takes in how many upstreams there are, and whether some are being reclaimed.
    pub fn note_standing(&mut self, standing: &[Standing], now: TimeMs) {
        if self.is_arriving || self.stood == 0 {
            // Reclaimable ones that this node has ordered come in the place of those that stood.
            let is_first = self.orders.is_empty();
            let counts = standing
                .iter()
                .map(|there| there.on_demand + if is_first { there.reclaimable } else { 0 });
            self.stood = self.stood.max(counts.sum());
        }
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

    /// What is needed: what is known of it, else as many as stood.
    fn need(&self, known: Option<u32>) -> Need {
        match known {
            Some(need) => Need::Known(need),
            None if self.stood > 0 => Need::AsStood(self.stood),
            None => Need::Unknown,
        }
    }

    /// On-demand upstreams of a domain, those included that were ordered and may still boot.
    fn bought(&self, there: &Standing, boot_ms: u64, now: TimeMs) -> u32 {
        let booting = match self.find(&there.failure_domain, false) {
            Ok(place) if now.since(self.orders[place].at) <= boot_ms + REPEAT_MS => {
                self.orders[place].wanted
            }
            _ => 0,
        };
        there.on_demand.max(booting)
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
    let bought: Vec<u32> = (standing.iter())
        .map(|there| ordered.bought(there, scaling.boot_ms, now))
        .collect();
    let wanted = wanted(scaling, standing, &bought, ordered.need(need), is_at_risk);
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
///
/// `bought` are the on-demand ones of each domain, those included that boot.
fn wanted(
    scaling: &Scaling,
    standing: &[Standing],
    bought: &[u32],
    need: Need,
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
    // Those that are there go on before others are bought, and so do those that boot: let go because
    // a cheaper domain has room again, they would leave too few for as long as the others boot.
    for place in &by_price {
        let kept = bought[*place].min(missing);
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
fn reclaimable(scaling: &Scaling, by_price: &[usize], need: Need) -> Vec<u32> {
    let domains = u32::try_from(by_price.len()).unwrap_or(u32::MAX).max(1);
    let most = scaling.most.max(1);
    let least = scaling.least.clamp(1, most);
    let left = domains.saturating_sub(LOST_DOMAINS).max(1);
    let all = match need {
        Need::Known(need) => need.saturating_mul(domains).div_ceil(left),
        Need::AsStood(stood) => stood.saturating_add(stood.min(MOST_SPARE.saturating_mul(domains))),
        Need::Unknown => return vec![most; by_price.len()],
    };
    let all = all.clamp(least * domains, most * domains);
    let (each, beyond) = (all / domains, all % domains);
    let mut wanted = vec![each; by_price.len()];
    for place in by_price.iter().take(beyond as usize) {
        wanted[*place] += 1;
    }
    wanted
}

/// On-demand upstreams wanted over all domains.
fn missing(scaling: &Scaling, standing: &[Standing], need: Need, is_at_risk: bool) -> u32 {
    let domains = u32::try_from(standing.len()).unwrap_or(u32::MAX);
    let all = scaling.most.max(1).saturating_mul(domains);
    let counts = standing.iter().map(|domain| domain.reclaimable);
    let there: u32 = counts.clone().sum();
    let next_loss = if is_at_risk {
        counts.max().unwrap_or(0)
    } else {
        0
    };
    let left = there - next_loss;
    match need {
        Need::Known(need) if scaling.reclaimable_price.is_none() => need,
        Need::AsStood(stood) if scaling.reclaimable_price.is_none() => stood,
        Need::Unknown if scaling.reclaimable_price.is_none() => all,
        Need::Known(need) if is_at_risk => {
            let insured = part(need, ON_DEMAND_PART).saturating_sub(left);
            // What has been lost is not insured against: all of it is missing.
            insured
                .max(need.saturating_sub(there))
                .min(part(all, INSURED_PART))
        }
        Need::Known(need) => part(need, ON_DEMAND_PART)
            .min(part(all, INSURED_PART))
            .saturating_sub(left),
        Need::AsStood(stood) => stood.min(all).saturating_sub(left),
        Need::Unknown => part(all, INSURED_PART).saturating_sub(left),
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
