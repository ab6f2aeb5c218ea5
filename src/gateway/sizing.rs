//! How many upstreams to have, of which kind and in which failure domains.
//!
//! Reclaimable upstreams cost a small part of the list price, and the platform takes all of one
//! failure domain at once, at times two domains within seconds, with none to be had anywhere for
//! a while. So all domains get enough of them that half of the domains serve the load, and
//! on-demand upstreams are bought only while the others are too few.

use super::catalog::Scaling;
use super::duties::Order;
use crate::time::TimeMs;

/// Reclaimable upstreams wanted in each domain, as a part of the most allowed there.
const RECLAIMABLE_PART: f64 = 1.0;

/// Fewest upstreams wanted over all domains, as a part of the reclaimable ones wanted.
///
/// With half of the domains reclaimed, half is left.
const FLOOR_PART: f64 = 0.45;

/// An order is given again if upstreams are missing for this long beyond their boot.
const REPEAT_MS: u64 = 3_000;

/// None is ordered of a kind for this long after the platform had none.
const DRY_MS: u64 = 2_000;

/// Upstreams of one pool in one failure domain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Standing {
    pub failure_domain: String,
    /// On-demand upstreams that take work.
    pub on_demand: u32,
    /// Reclaimable upstreams that take work.
    pub reclaimable: u32,
}

/// What has been ordered of one pool.
#[derive(Clone, Debug, Default)]
pub(crate) struct Ordered {
    /// Sorted by domain and kind.
    orders: Vec<Given>,
    dry_until: TimeMs,
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
    }

    fn find(&self, failure_domain: &str, is_reclaimable: bool) -> Result<usize, usize> {
        self.orders.binary_search_by(|given| {
            (given.failure_domain.as_str(), given.is_reclaimable)
                .cmp(&(failure_domain, is_reclaimable))
        })
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
#[must_use]
pub(crate) fn orders(
    pool: &str,
    scaling: &Scaling,
    standing: &[Standing],
    ordered: &Ordered,
    now: TimeMs,
) -> Vec<Order> {
    let wanted = wanted(scaling, standing);
    let mut orders = Vec::new();
    for (place, (domain, reclaimable, on_demand)) in wanted.into_iter().enumerate() {
        let there = &standing[place];
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
            if !is_dry && ordered.is_due(&order, there, scaling.boot_ms, now) {
                orders.push(order);
            }
        }
    }
    orders
}

/// For each domain, how many reclaimable and how many on-demand upstreams are wanted.
fn wanted(scaling: &Scaling, standing: &[Standing]) -> Vec<(String, u32, u32)> {
    let has_reclaimable = scaling.reclaimable_price.is_some();
    let part = f64::from(scaling.most) * RECLAIMABLE_PART;
    let each = u32::try_from(super::num::whole(part.ceil())).unwrap_or(scaling.most);
    let each = each.clamp(scaling.least.max(1), scaling.most.max(1));
    let all = each * u32::try_from(standing.len()).unwrap_or(u32::MAX);
    let floor = super::num::whole(f64::from(all) * FLOOR_PART);
    let floor = u32::try_from(floor).unwrap_or(all);
    let reclaimable_there: u32 = standing.iter().map(|domain| domain.reclaimable).sum();
    // Until enough reclaimable upstreams are there, on-demand ones make up for them.
    let mut missing = if has_reclaimable {
        floor.saturating_sub(reclaimable_there)
    } else {
        all
    };
    let mut by_price: Vec<usize> = (0..standing.len()).collect();
    by_price.sort_by(|a, b| {
        let price = |place: &usize| price(scaling, &standing[*place].failure_domain);
        price(a).total_cmp(&price(b))
    });
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
    (standing.iter().zip(on_demand))
        .map(|(domain, on_demand)| {
            let room = scaling.most.saturating_sub(domain.on_demand.max(on_demand));
            let reclaimable = if has_reclaimable {
                each.min(room.max(domain.reclaimable))
            } else {
                0
            };
            (domain.failure_domain.clone(), reclaimable, on_demand)
        })
        .collect()
}

fn price(scaling: &Scaling, failure_domain: &str) -> f64 {
    let found = (scaling.domain_prices)
        .binary_search_by(|(domain, _price)| domain.as_str().cmp(failure_domain));
    found.map_or(1.0, |place| scaling.domain_prices[place].1)
}

#[cfg(test)]
mod tests;
