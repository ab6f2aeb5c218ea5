//! Orders the purchase, draining and release of hosts.

use super::mix::{Capacity, Mix, cheapest};
use super::order::Order;
use super::purchase::PurchaseId;
use super::stock::{Held, Stock};
use super::view::{Demand, Host, PlacementView, Stage};
use crate::document::checked::Pool;
use crate::keys::{ClassKey, DomainKey};
use crate::time::TimeMs;

/// Time after which a purchase without a response is retried under the same id.
const ASK_AGAIN_MS: u64 = 2_000;

/// Upper bound on unanswered purchases of one class in one failure domain.
const STARTS_AT_ONCE: u32 = 32;

/// Divisor of a pool's host count that limits the hosts drained concurrently.
const DRAINING_DIVISOR: usize = 10;

/// Tolerance for rounding errors in sums of capacities.
const ROUNDING: f64 = 1e-9;

/// Time until every node has stopped sending new work to a drained host.
const DRAIN_KNOWN_MS: u64 = 5_000;

/// Time after acquisition of the lease from which a list of purchases is complete.
///
/// The last purchase of the previous holder may still be in flight; by then it has taken effect or
/// failed. Nothing is bought before the purchases have been listed after this time.
const PREDECESSOR_MS: u64 = 2_000;

/// Orders hosts for all pools and returns whether no pool lacks hosts.
pub(super) fn decide(
    view: &PlacementView<'_>,
    stocks: &[Stock<'_>],
    now: TimeMs,
    orders: &mut Vec<Order>,
) -> bool {
    repeat(view, now, orders);
    let mut buyer = Buyer::new(view);
    let mut all_served = true;
    for stock in stocks {
        let wanted = Wanted::of(stock, now);
        let lacking = wanted.lacking(stock);
        all_served &= lacking.is_empty();
        buyer.buy(stock, &lacking, orders);
        drain(stock, &wanted, now, orders);
        let silent = stock.silent.iter();
        orders.extend(silent.map(|host| Order::GiveBack { host: host.host }));
    }
    all_served
}

/// Retries purchases whose responses are overdue.
pub(super) fn repeat(view: &PlacementView<'_>, now: TimeMs, orders: &mut Vec<Order>) {
    let due = view.asks.iter().filter(|ask| {
        let mut purchases = view.purchases.iter();
        let listed = purchases.any(|purchase| purchase.id == ask.id);
        !listed && now.since(ask.asked_at_ms) >= ASK_AGAIN_MS
    });
    orders.extend(due.map(|ask| Order::Buy { purchase: ask.id }));
}

/// Drains and releases hosts bought for an entry that the document no longer contains.
pub(super) fn drain_strangers(view: &PlacementView<'_>, now: TimeMs, orders: &mut Vec<Order>) {
    for stranger in view.strangers {
        let host = stranger.host;
        let empty_at_ms = (stranger.running == 0).then_some(stranger.load_as_of_ms);
        let drained = stranger
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
struct Wanted {
    /// Target counts by failure domain and class, for the demand until a host bought now serves.
    hosts: Vec<Held>,
    /// Demands that the serving hosts must cover: to continue a drain, and to begin one.
    demand: Option<(Demand, Demand)>,
}

impl Wanted {
    fn of(stock: &Stock<'_>, now: TimeMs) -> Self {
        let demand = stock.demand.lead.zip(stock.demand.keep);
        // Hosts bought for the lead time must not be surplus for the longer retention window.
        let demand = demand.map(|(lead, keep)| (lead, lead.larger(&keep)));
        Self {
            hosts: match &demand {
                Some((lead, _)) => by_mix(stock, lead, now),
                None => by_document(stock, now),
            },
            demand,
        }
    }

    /// Returns the number of hosts to buy by failure domain and class, where any are missing.
    fn lacking(&self, stock: &Stock<'_>) -> Vec<Held> {
        let lacking = self.hosts.iter().map(|wanted| Held {
            hosts: wanted
                .hosts
                .saturating_sub(stock.held(wanted.domain, wanted.class)),
            ..*wanted
        });
        lacking.filter(|row| row.hosts > 0).collect()
    }

    /// Returns the number of held hosts of a class in a failure domain beyond the target.
    fn surplus(&self, domain: DomainKey, class: ClassKey, held: u32) -> u32 {
        let mut rows = self.hosts.iter();
        let wanted = rows.find(|row| (row.domain, row.class) == (domain, class));
        held.saturating_sub(wanted.map_or(0, |row| row.hosts))
    }
}

fn by_mix(stock: &Stock<'_>, demand: &Demand, now: TimeMs) -> Vec<Held> {
    let offers = stock.offers(demand, now);
    let Mix { hosts, .. } = cheapest(&offers, &stock.need());
    let wanted = offers.iter().zip(hosts).map(|(offer, hosts)| Held {
        domain: offer.domain,
        class: offer.class,
        hosts,
    });
    wanted.collect()
}

/// Returns the document's counts, filled with the cheapest classes up to their limits.
///
/// The price of a class with held hosts is discounted.
fn by_document(stock: &Stock<'_>, now: TimeMs) -> Vec<Held> {
    let mut offers = stock.offers(&Demand::default(), now);
    let discount = stock.view.settings.stay_discount;
    let price = |offer: &super::mix::Offer| {
        let kept = if offer.held > 0 { 1.0 - discount } else { 1.0 };
        offer.price_per_hour * kept
    };
    offers.sort_by(|a, b| price(a).total_cmp(&price(b)));
    let Pool { hosts, .. } = stock.pool;
    let wanted = hosts.iter().flat_map(|(domain, count)| {
        let here = offers.iter().filter(|offer| offer.domain == *domain);
        let taken = here.scan(u32::from(*count), |left, offer| {
            let hosts = offer.limit.min(*left);
            *left -= hosts;
            Some(Held {
                domain: offer.domain,
                class: offer.class,
                hosts,
            })
        });
        taken.collect::<Vec<_>>()
    });
    wanted.collect()
}

/// Orders purchases under consecutive ids.
struct Buyer<'a> {
    view: &'a PlacementView<'a>,
    counter: u32,
    may_buy: bool,
}

impl<'a> Buyer<'a> {
    /// Permits purchases only once all purchases of earlier lease holders are listed.
    fn new(view: &'a PlacementView<'a>) -> Self {
        let known_from_ms = view.lease.since_ms.after(PREDECESSOR_MS);
        Self {
            view,
            counter: view.purchases_asked,
            may_buy: view
                .purchases_listed_at_ms
                .is_some_and(|listed_at_ms| listed_at_ms >= known_from_ms),
        }
    }

    fn buy(&mut self, stock: &Stock<'_>, lacking: &[Held], orders: &mut Vec<Order>) {
        for row in lacking.iter().filter(|_| self.may_buy) {
            let starts = row.hosts.min(self.starts_at_once(row.domain, row.class));
            for _ in 0..starts {
                let purchase = PurchaseId {
                    pool: stock.key(),
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
    fn starts_at_once(&self, domain: DomainKey, class: ClassKey) -> u32 {
        let asks = self.view.asks.iter();
        let open = asks.filter(|ask| (ask.id.domain, ask.id.class) == (domain, class));
        let open = u32::try_from(open.count()).unwrap_or(u32::MAX);
        STARTS_AT_ONCE.saturating_sub(open)
    }
}

/// Drains surplus hosts and releases drained ones.
///
/// A host is drained only if the other serving hosts cover the demand without it. A migration to
/// other classes thus waits until the new hosts serve, and capacity does not dip.
fn drain(stock: &Stock<'_>, wanted: &Wanted, now: TimeMs, orders: &mut Vec<Order>) {
    let mut serving = Serving::new(stock, wanted);
    let draining = stock.hosts.iter();
    let draining = draining.filter(|host| matches!(host.stage, Stage::Draining { .. }));
    let at_once = stock.hosts.len().div_ceil(DRAINING_DIVISOR);
    let mut left = at_once.saturating_sub(draining.count());
    for host in surplus_hosts(stock, wanted) {
        match host.stage {
            // The mix changes with each refusal and each fluctuation of demand. A starting host may
            // be surplus in this mix and needed in the next. If it were released for that, hardly
            // any host would complete its start during a mass reclaim.
            Stage::Starting { .. } if serving.is_enough_for_keep() => {
                orders.push(Order::GiveBack { host: host.host });
            }
            Stage::Draining { since_ms } if serving.is_enough_for_lead() => {
                let empty_at_ms = (host.running == 0).then_some(host.load_as_of_ms);
                orders.push(if is_drained(stock.view, since_ms, empty_at_ms, now) {
                    Order::GiveBack { host: host.host }
                } else {
                    Order::Drain { host: host.host }
                });
            }
            Stage::Live if left > 0 && serving.give_up(host) => {
                left -= 1;
                orders.push(Order::Drain { host: host.host });
            }
            _ => {}
        }
    }
}

/// Returns the surplus hosts in release order: draining, then starting, then by descending price.
fn surplus_hosts<'a>(stock: &Stock<'a>, wanted: &Wanted) -> Vec<&'a Host> {
    let mut hosts = stock.hosts.clone();
    hosts.sort_by_key(|host| {
        let rank = drain_rank(host.stage);
        (host.domain, host.class, rank, host.running, host.host)
    });
    let by_offer = hosts.chunk_by(|a, b| (a.domain, a.class) == (b.domain, b.class));
    let surplus = by_offer.flat_map(|hosts| {
        let (domain, class) = (hosts[0].domain, hosts[0].class);
        let surplus = wanted.surplus(domain, class, stock.held(domain, class));
        let surplus = usize::try_from(surplus).unwrap_or(usize::MAX);
        hosts.iter().copied().take(surplus)
    });
    let mut surplus: Vec<&Host> = surplus.collect();
    let price = |host: &Host| stock.view.price_per_hour(host.class, host.domain);
    surplus.sort_by(|a, b| {
        let rank = drain_rank(a.stage).cmp(&drain_rank(b.stage));
        rank.then(price(b).total_cmp(&price(a)))
    });
    surplus
}

/// The capacity of the serving hosts, relative to the demand.
struct Serving<'a, 'b> {
    stock: &'a Stock<'b>,
    demand: Option<(Demand, Demand)>,
    for_lead: Capacity,
    for_keep: Capacity,
}

impl<'a, 'b> Serving<'a, 'b> {
    fn new(stock: &'a Stock<'b>, wanted: &Wanted) -> Self {
        let mut serving = Self {
            stock,
            demand: wanted.demand,
            for_lead: Capacity::default(),
            for_keep: Capacity::default(),
        };
        for host in stock.hosts.iter().filter(|host| stock.serves(host)) {
            serving.add(host, 1.0);
        }
        serving
    }

    /// Whether the serving hosts cover the lead time demand, so that drains may continue.
    fn is_enough_for_lead(&self) -> bool {
        self.is_enough(&self.for_lead)
    }

    /// Whether the serving hosts cover the retention demand, so that further hosts may be released.
    fn is_enough_for_keep(&self) -> bool {
        self.is_enough(&self.for_keep)
    }

    /// Removes a host if the others cover the retention demand, and returns whether they do.
    fn give_up(&mut self, host: &Host) -> bool {
        if !self.stock.serves(host) {
            return self.is_enough_for_keep();
        }
        self.add(host, -1.0);
        let enough = self.is_enough_for_keep();
        if !enough {
            self.add(host, 1.0);
        }
        enough
    }

    fn add(&mut self, host: &Host, sign: f64) {
        // Without a forecast, capacity is measured in hosts.
        let parts = self.demand.map_or((1.0, 1.0), |(lead, keep)| {
            let part_of = |demand| self.stock.capacity_of(host, demand);
            (part_of(&lead), part_of(&keep))
        });
        self.for_lead.add(host.domain, sign * parts.0);
        self.for_keep.add(host.domain, sign * parts.1);
    }

    /// Whether the capacity covers the demand.
    ///
    /// In a pool of several failure domains it must cover the demand after the loss of the largest.
    fn is_enough(&self, capacity: &Capacity) -> bool {
        let (served, needed) = match self.demand {
            None => (capacity.total(), self.meant()),
            Some(_) if self.stock.pool.hosts.len() > 1 => (capacity.after_worst_loss(), 1.0),
            Some(_) => (capacity.total(), 1.0),
        };
        served >= needed - ROUNDING
    }

    /// Returns the number of hosts that the document specifies for the pool.
    fn meant(&self) -> f64 {
        let hosts = self.stock.pool.hosts.iter();
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
    let empty = empty_at_ms.is_some_and(|at_ms| at_ms >= since_ms.after(DRAIN_KNOWN_MS));
    empty || now.since(since_ms) >= view.settings.drain_max_ms
}
