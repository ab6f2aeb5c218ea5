//! Which hosts to buy, drain and give back.

use super::mix::{Capacity, Mix, cheapest};
use super::order::Order;
use super::purchase::PurchaseId;
use super::stock::{Held, Stock};
use super::view::{Demand, Host, PlacementView, Stage};
use crate::document::checked::Pool;
use crate::keys::{ClassKey, DomainKey};
use crate::time::TimeMs;

/// After this a purchase without an answer is asked for again, by the same name.
const ASK_AGAIN_MS: u64 = 2_000;

/// Starts of one class in one failure domain that are asked for at once.
const STARTS_AT_ONCE: u32 = 32;

/// Part of a pool's hosts that are drained at once, as one in so many.
const DRAINING_DIVISOR: usize = 10;

/// What summing up parts may leave short of the whole.
const ROUNDING: f64 = 1e-9;

/// How long after the order every node knows that a host takes no new work.
const DRAIN_KNOWN_MS: u64 = 5_000;

/// How long after it was taken the lease buys nothing new, unless the purchases were listed later.
///
/// A predecessor's last purchase may still be on its way; it has taken effect or failed by then.
const PREDECESSOR_MS: u64 = 2_000;

/// Orders hosts for all pools; tells whether each pool has what it is meant to have.
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

/// Asks again for purchases whose answers were lost.
pub(super) fn repeat(view: &PlacementView<'_>, now: TimeMs, orders: &mut Vec<Order>) {
    let due = view.asks.iter().filter(|ask| {
        let mut purchases = view.purchases.iter();
        let listed = purchases.any(|purchase| purchase.id == ask.id);
        !listed && now.since(ask.asked_at_ms) >= ASK_AGAIN_MS
    });
    orders.extend(due.map(|ask| Order::Buy { purchase: ask.id }));
}

/// Drains and gives back hosts that were bought for something the document no longer has.
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

/// How many hosts a pool is meant to hold.
#[derive(Debug)]
struct Wanted {
    /// By failure domain and class, to be ready until a host bought now serves.
    hosts: Vec<Held>,
    /// What the hosts that serve must be able to serve: that goes on drains, and that begins one.
    demand: Option<(Demand, Demand)>,
}

impl Wanted {
    fn of(stock: &Stock<'_>, now: TimeMs) -> Self {
        let demand = stock.demand.lead.zip(stock.demand.keep);
        // What is bought for the shorter view must not be surplus by the longer one.
        let demand = demand.map(|(lead, keep)| (lead, lead.larger(&keep)));
        Self {
            hosts: match &demand {
                Some((lead, _)) => by_mix(stock, lead, now),
                None => by_document(stock, now),
            },
            demand,
        }
    }

    /// What has to be bought.
    fn lacking(&self, stock: &Stock<'_>) -> Vec<Held> {
        let lacking = self.hosts.iter().map(|wanted| Held {
            hosts: wanted
                .hosts
                .saturating_sub(stock.held(wanted.domain, wanted.class)),
            ..*wanted
        });
        lacking.filter(|row| row.hosts > 0).collect()
    }

    /// Hosts of a class in a failure domain that the mix does not have.
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

/// The document's counts, each of the cheapest class that can be started, after those held.
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

/// Names purchases one after the other.
struct Buyer<'a> {
    view: &'a PlacementView<'a>,
    counter: u32,
    may_buy: bool,
}

impl<'a> Buyer<'a> {
    /// Buys only once it is known what earlier holders of the lease bought.
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
                // Another failure domain's controller has its own lease and counts on its own.
                self.counter += u32::from(self.view.domains.binary_search(&row.domain).is_ok());
            }
        }
    }

    /// Starts worth asking for now, less those not answered yet.
    fn starts_at_once(&self, domain: DomainKey, class: ClassKey) -> u32 {
        let asks = self.view.asks.iter();
        let open = asks.filter(|ask| (ask.id.domain, ask.id.class) == (domain, class));
        let open = u32::try_from(open.count()).unwrap_or(u32::MAX);
        STARTS_AT_ONCE.saturating_sub(open)
    }
}

/// Drains surplus hosts and gives back those that are empty.
///
/// A host is drained only while the others that serve now are enough without it. So a move to
/// other classes first waits for the new hosts to serve, and callers notice no dip.
fn drain(stock: &Stock<'_>, wanted: &Wanted, now: TimeMs, orders: &mut Vec<Order>) {
    let mut serving = Serving::new(stock, wanted);
    let draining = stock.hosts.iter();
    let draining = draining.filter(|host| matches!(host.stage, Stage::Draining { .. }));
    let at_once = stock.hosts.len().div_ceil(DRAINING_DIVISOR);
    let mut left = at_once.saturating_sub(draining.count());
    for host in surplus_hosts(stock, wanted) {
        match host.stage {
            // The mix changes with each refusal and each swing of the demand. A host that starts
            // may be surplus by this mix and needed by the next; given back for that, hardly one
            // would come to serve during a wave.
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

/// The hosts that are not in the mix, those to go first in front: drained ones, then by price.
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

/// What the hosts that serve now can do.
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

    /// Whether hosts that drain already are not needed after all.
    fn is_enough_for_lead(&self) -> bool {
        self.is_enough(&self.for_lead)
    }

    /// Whether more than what serves is not needed for longer.
    fn is_enough_for_keep(&self) -> bool {
        self.is_enough(&self.for_keep)
    }

    /// Takes a host out if the others are enough for longer; tells whether they are.
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
        // Without a forecast hosts are counted.
        let parts = self.demand.map_or((1.0, 1.0), |(lead, keep)| {
            let part_of = |demand| self.stock.capacity_of(host, demand);
            (part_of(&lead), part_of(&keep))
        });
        self.for_lead.add(host.domain, sign * parts.0);
        self.for_keep.add(host.domain, sign * parts.1);
    }

    /// Whether the demand is served, after a loss too where the pool has several failure domains.
    fn is_enough(&self, capacity: &Capacity) -> bool {
        let (served, needed) = match self.demand {
            None => (capacity.total(), self.meant()),
            Some(_) if self.stock.pool.hosts.len() > 1 => (capacity.after_worst_loss(), 1.0),
            Some(_) => (capacity.total(), 1.0),
        };
        served >= needed - ROUNDING
    }

    /// Hosts that the document means the pool to have.
    fn meant(&self) -> f64 {
        let hosts = self.stock.pool.hosts.iter();
        hosts.map(|(_, count)| f64::from(*count)).sum()
    }
}

/// Hosts that are drained already go first, then those that do not serve yet.
fn drain_rank(stage: Stage) -> u8 {
    match stage {
        Stage::Draining { .. } => 0,
        Stage::Starting { .. } => 1,
        Stage::Live | Stage::Leaving | Stage::GivenBack => 2,
    }
}

/// Whether a host may be given back.
///
/// A report from before every node knew of the drain may show an empty host that work is still on
/// its way to; the platform would cut it. Only a later report counts.
fn is_drained(
    view: &PlacementView<'_>,
    since_ms: TimeMs,
    empty_at_ms: Option<TimeMs>,
    now: TimeMs,
) -> bool {
    let empty = empty_at_ms.is_some_and(|at_ms| at_ms >= since_ms.after(DRAIN_KNOWN_MS));
    empty || now.since(since_ms) >= view.settings.drain_max_ms
}
