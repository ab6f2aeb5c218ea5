//! Orders the purchase, draining and release of hosts.

use super::inventory::{HostCount, PoolInventory};
use super::mix::{Capacity, Mix, cheapest};
use super::order::Order;
use super::purchase::PurchaseId;
use super::view::{Demand, Host, PlacementView, Stage};
use crate::document::checked::Pool;
use crate::keys::{ClassKey, DomainKey};
use crate::time::TimeMs;

/// Time after which a purchase without a response is retried under the same id.
const PURCHASE_RETRY_MS: u64 = 2_000;

/// Upper bound on purchases in flight of one class in one failure domain.
const CONCURRENT_STARTS_MAX: u32 = 32;

/// Divisor of a pool's host count that limits the hosts drained concurrently.
const CONCURRENT_DRAIN_DIVISOR: usize = 10;

/// Tolerance for rounding errors in sums of capacities.
const ROUNDING_TOLERANCE: f64 = 1e-9;

/// Time until every node has stopped sending new work to a drained host.
const DRAIN_PROPAGATION_MS: u64 = 5_000;

/// Time after acquisition of the lease from which a list of purchases is complete.
///
/// The last purchase of the previous holder may still be in flight; by then it has taken effect or
/// failed. Nothing is bought before the purchases have been listed after this time.
const PREDECESSOR_SETTLE_MS: u64 = 2_000;

/// Orders hosts for all pools and returns whether no pool lacks hosts.
pub(super) fn decide(
    view: &PlacementView<'_>,
    inventories: &[PoolInventory<'_>],
    now: TimeMs,
    orders: &mut Vec<Order>,
) -> bool {
    retry_purchases(view, now, orders);
    let mut planner = PurchasePlanner::new(view);
    let mut is_all_served = true;
    for inventory in inventories {
        let target = PoolTarget::of(inventory, now);
        let shortfall = target.shortfall(inventory);
        is_all_served &= shortfall.is_empty();
        planner.buy(inventory, &shortfall, orders);
        drain_surplus(inventory, &target, now, orders);
        let unresponsive = inventory.unresponsive.iter();
        orders.extend(unresponsive.map(|host| Order::GiveBack { host: host.host }));
    }
    is_all_served
}

/// Retries purchases whose responses are overdue.
pub(super) fn retry_purchases(view: &PlacementView<'_>, now: TimeMs, orders: &mut Vec<Order>) {
    let due = view.pending_purchases.iter().filter(|ask| {
        let mut purchases = view.purchases.iter();
        let listed = purchases.any(|purchase| purchase.id == ask.id);
        !listed && now.since(ask.requested_at_ms) >= PURCHASE_RETRY_MS
    });
    orders.extend(due.map(|ask| Order::Buy { purchase: ask.id }));
}

/// Drains and releases hosts bought for an entry that the document no longer contains.
pub(super) fn drain_orphaned_hosts(view: &PlacementView<'_>, now: TimeMs, orders: &mut Vec<Order>) {
    for orphan in view.orphaned_hosts {
        let host = orphan.host;
        let empty_at_ms = (orphan.running == 0).then_some(orphan.load_as_of_ms);
        let drained = orphan
            .draining_since_ms
            .is_some_and(|since_ms| is_drained(view, since_ms, empty_at_ms, now));
        orders.push(if drained {
            Order::GiveBack { host }
        } else {
            Order::Drain { host }
        });
    }
}

/// The target host counts of a pool and the demand that limits draining.
#[derive(Debug)]
struct PoolTarget {
    /// Target counts by failure domain and class, for the demand until a host bought now serves.
    hosts: Vec<HostCount>,
    /// Demands that the serving hosts must cover: to continue a drain, and to begin one.
    demand: Option<(Demand, Demand)>,
}

impl PoolTarget {
    fn of(inventory: &PoolInventory<'_>, now: TimeMs) -> Self {
        let demand = inventory
            .demand
            .lead_time_peak
            .zip(inventory.demand.retention_peak);
        // Hosts bought for the lead time must not be surplus for the longer retention window.
        let demand = demand.map(|(lead, keep)| (lead, lead.larger(&keep)));
        Self {
            hosts: match &demand {
                Some((lead, _)) => counts_by_mix(inventory, lead, now),
                None => counts_by_document(inventory, now),
            },
            demand,
        }
    }

    /// Returns the number of hosts to buy by failure domain and class, where any are missing.
    fn shortfall(&self, inventory: &PoolInventory<'_>) -> Vec<HostCount> {
        let shortfall = self.hosts.iter().map(|target| HostCount {
            hosts: target
                .hosts
                .saturating_sub(inventory.held(target.domain, target.class)),
            ..*target
        });
        shortfall.filter(|row| row.hosts > 0).collect()
    }

    /// Returns the number of held hosts of a class in a failure domain beyond the target.
    fn surplus(&self, domain: DomainKey, class: ClassKey, held: u32) -> u32 {
        let mut rows = self.hosts.iter();
        let target = rows.find(|row| (row.domain, row.class) == (domain, class));
        held.saturating_sub(target.map_or(0, |row| row.hosts))
    }
}

fn counts_by_mix(inventory: &PoolInventory<'_>, demand: &Demand, now: TimeMs) -> Vec<HostCount> {
    let offers = inventory.offers(demand, now);
    let Mix { hosts, .. } = cheapest(&offers, &inventory.need());
    let target = offers.iter().zip(hosts).map(|(offer, hosts)| HostCount {
        domain: offer.domain,
        class: offer.class,
        hosts,
    });
    target.collect()
}

/// Returns the document's counts, filled with the cheapest classes up to their limits.
///
/// The price of a class with held hosts is discounted.
fn counts_by_document(inventory: &PoolInventory<'_>, now: TimeMs) -> Vec<HostCount> {
    let mut offers = inventory.offers(&Demand::default(), now);
    let discount = inventory.view.settings.held_host_discount;
    let price = |offer: &super::mix::Offer| {
        let kept = if offer.held > 0 { 1.0 - discount } else { 1.0 };
        offer.price_per_hour * kept
    };
    offers.sort_by(|a, b| price(a).total_cmp(&price(b)));
    let Pool { hosts, .. } = inventory.pool;
    let target = hosts.iter().flat_map(|(domain, count)| {
        let domain_offers = offers.iter().filter(|offer| offer.domain == *domain);
        let counts = domain_offers.scan(u32::from(*count), |remaining, offer| {
            let hosts = offer.limit.min(*remaining);
            *remaining -= hosts;
            Some(HostCount {
                domain: offer.domain,
                class: offer.class,
                hosts,
            })
        });
        counts.collect::<Vec<_>>()
    });
    target.collect()
}

/// Orders purchases under consecutive ids.
struct PurchasePlanner<'a> {
    view: &'a PlacementView<'a>,
    counter: u32,
    can_buy: bool,
}

impl<'a> PurchasePlanner<'a> {
    /// Permits purchases only once all purchases of earlier lease holders are listed.
    fn new(view: &'a PlacementView<'a>) -> Self {
        let list_complete_from_ms = view.lease.since_ms.after(PREDECESSOR_SETTLE_MS);
        Self {
            view,
            counter: view.purchases_requested,
            can_buy: view
                .purchases_listed_at_ms
                .is_some_and(|listed_at_ms| listed_at_ms >= list_complete_from_ms),
        }
    }

    fn buy(
        &mut self,
        inventory: &PoolInventory<'_>,
        shortfall: &[HostCount],
        orders: &mut Vec<Order>,
    ) {
        for row in shortfall.iter().filter(|_| self.can_buy) {
            let starts = row.hosts.min(self.available_starts(row.domain, row.class));
            for _ in 0..starts {
                let purchase = PurchaseId {
                    pool: inventory.key(),
                    class: row.class,
                    domain: row.domain,
                    fencing: self.view.lease.fencing,
                    counter: self.counter,
                };
                orders.push(Order::Buy { purchase });
                // The controller of another failure domain has its own lease and counter.
                self.counter += u32::from(self.view.domains.binary_search(&row.domain).is_ok());
            }
        }
    }

    /// Returns how many more purchases may be requested, given those without a response.
    fn available_starts(&self, domain: DomainKey, class: ClassKey) -> u32 {
        let asks = self.view.pending_purchases.iter();
        let open = asks.filter(|ask| (ask.id.domain, ask.id.class) == (domain, class));
        let open = u32::try_from(open.count()).unwrap_or(u32::MAX);
        CONCURRENT_STARTS_MAX.saturating_sub(open)
    }
}

/// Drains surplus hosts and releases drained ones.
///
/// A host is drained only if the other serving hosts cover the demand without it. A migration to
/// other classes thus waits until the new hosts serve, and capacity does not dip.
fn drain_surplus(
    inventory: &PoolInventory<'_>,
    target: &PoolTarget,
    now: TimeMs,
    orders: &mut Vec<Order>,
) {
    let mut serving = ServingCapacity::new(inventory, target);
    let draining = inventory.hosts.iter();
    let draining = draining.filter(|host| matches!(host.stage, Stage::Draining { .. }));
    let concurrent_max = inventory.hosts.len().div_ceil(CONCURRENT_DRAIN_DIVISOR);
    let mut remaining = concurrent_max.saturating_sub(draining.count());
    for host in surplus_hosts(inventory, target) {
        match host.stage {
            // The mix changes with each refusal and each fluctuation of demand. A starting host may
            // be surplus in this mix and needed in the next. If it were released for that, hardly
            // any host would complete its start during a mass reclaim.
            Stage::Starting { .. } if serving.covers_retention() => {
                orders.push(Order::GiveBack { host: host.host });
            }
            Stage::Draining { since_ms } if serving.covers_lead_time() => {
                let empty_at_ms = (host.running == 0).then_some(host.load_as_of_ms);
                orders.push(if is_drained(inventory.view, since_ms, empty_at_ms, now) {
                    Order::GiveBack { host: host.host }
                } else {
                    Order::Drain { host: host.host }
                });
            }
            Stage::Live if remaining > 0 && serving.try_remove(host) => {
                remaining -= 1;
                orders.push(Order::Drain { host: host.host });
            }
            _ => {}
        }
    }
}

/// Returns the surplus hosts in release order: draining, starting, then other hosts.
///
/// Hosts of the same rank are sorted by descending price.
fn surplus_hosts<'a>(inventory: &PoolInventory<'a>, target: &PoolTarget) -> Vec<&'a Host> {
    let mut hosts = inventory.hosts.clone();
    hosts.sort_by_key(|host| {
        let rank = drain_rank(host.stage);
        (host.domain, host.class, rank, host.running, host.host)
    });
    let by_offer = hosts.chunk_by(|a, b| (a.domain, a.class) == (b.domain, b.class));
    let surplus = by_offer.flat_map(|hosts| {
        let (domain, class) = (hosts[0].domain, hosts[0].class);
        let surplus = target.surplus(domain, class, inventory.held(domain, class));
        let surplus = usize::try_from(surplus).unwrap_or(usize::MAX);
        hosts.iter().copied().take(surplus)
    });
    let mut surplus: Vec<&Host> = surplus.collect();
    let price = |host: &Host| inventory.view.price_per_hour(host.class, host.domain);
    surplus.sort_by(|a, b| {
        let rank = drain_rank(a.stage).cmp(&drain_rank(b.stage));
        rank.then(price(b).total_cmp(&price(a)))
    });
    surplus
}

/// The capacity of the serving hosts, relative to the demand.
struct ServingCapacity<'a, 'b> {
    inventory: &'a PoolInventory<'b>,
    demand: Option<(Demand, Demand)>,
    lead_time_capacity: Capacity,
    retention_capacity: Capacity,
}

impl<'a, 'b> ServingCapacity<'a, 'b> {
    fn new(inventory: &'a PoolInventory<'b>, target: &PoolTarget) -> Self {
        let mut serving = Self {
            inventory,
            demand: target.demand,
            lead_time_capacity: Capacity::default(),
            retention_capacity: Capacity::default(),
        };
        for host in inventory.hosts.iter().filter(|host| inventory.serves(host)) {
            serving.add(host, 1.0);
        }
        serving
    }

    /// Whether the serving hosts cover the lead time demand, so that drains may continue.
    fn covers_lead_time(&self) -> bool {
        self.covers_demand(&self.lead_time_capacity)
    }

    /// Whether the serving hosts cover the retention demand, so that further hosts may be released.
    fn covers_retention(&self) -> bool {
        self.covers_demand(&self.retention_capacity)
    }

    /// Removes a host if the others cover the retention demand, and returns whether they do.
    fn try_remove(&mut self, host: &Host) -> bool {
        if !self.inventory.serves(host) {
            return self.covers_retention();
        }
        self.add(host, -1.0);
        let is_covered = self.covers_retention();
        if !is_covered {
            self.add(host, 1.0);
        }
        is_covered
    }

    fn add(&mut self, host: &Host, sign: f64) {
        // Without a forecast, capacity is counted in hosts.
        let shares = self.demand.map_or((1.0, 1.0), |(lead, keep)| {
            let share_of = |demand| self.inventory.capacity_of(host, demand);
            (share_of(&lead), share_of(&keep))
        });
        self.lead_time_capacity.add(host.domain, sign * shares.0);
        self.retention_capacity.add(host.domain, sign * shares.1);
    }

    /// Whether the capacity covers the demand.
    ///
    /// In a pool of several failure domains it must cover the demand after the loss of the largest.
    fn covers_demand(&self, capacity: &Capacity) -> bool {
        let (served, needed) = match self.demand {
            None => (capacity.total(), self.configured_hosts()),
            Some(_) if self.inventory.pool.hosts.len() > 1 => (capacity.after_worst_loss(), 1.0),
            Some(_) => (capacity.total(), 1.0),
        };
        served >= needed - ROUNDING_TOLERANCE
    }

    /// Returns the number of hosts that the document specifies for the pool.
    fn configured_hosts(&self) -> f64 {
        let hosts = self.inventory.pool.hosts.iter();
        hosts.map(|(_, count)| f64::from(*count)).sum()
    }
}

/// Returns the rank for release: draining hosts come first, then starting ones.
fn drain_rank(stage: Stage) -> u8 {
    match stage {
        Stage::Draining { .. } => 0,
        Stage::Starting { .. } => 1,
        Stage::Live | Stage::Leaving | Stage::GivenBack => 2,
    }
}

/// Whether a draining host may be released: it is empty or its drain has timed out.
///
/// Until every node knows of the drain, a host that reports no streams may still receive work,
/// which the platform would abort on release. Only a later report proves that the host is empty.
fn is_drained(
    view: &PlacementView<'_>,
    since_ms: TimeMs,
    empty_at_ms: Option<TimeMs>,
    now: TimeMs,
) -> bool {
    let empty = empty_at_ms.is_some_and(|at_ms| at_ms >= since_ms.after(DRAIN_PROPAGATION_MS));
    empty || now.since(since_ms) >= view.settings.drain_max_ms
}
