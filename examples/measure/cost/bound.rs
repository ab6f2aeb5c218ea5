//! A cost that no policy can go below, with the day known in advance.
//!
//! At each step hosts may be bought and given back at once and in parts, no start is refused and
//! none is reclaimed. What remains is a linear program: the cheapest capacity that serves the step's
//! load after the loss of any one failure domain, with the on-demand part. For a bound `m` on one
//! failure domain's capacity, and a price `lambda` on what the on-demand part lacks, taking the
//! cheapest capacity first is optimal; the cost is convex in `m`, and any `lambda` gives a bound.

use teaselline::document::Document;
use teaselline::placement::Settings;
use teaselline::placement::mix::{self, Need};

use super::day::{Day, minutes};

const SEARCH_STEPS: u32 = 30;

/// The cost of the best mixes of whole hosts that are found, step by step, as if hosts could be
/// bought and given back at once. It shows what of the distance to the bound is rounding.
pub fn cost_of_whole_hosts(document: &Document, day: &Day) -> f64 {
    let settings = Settings::default();
    let need = Need {
        after_loss: 1.0,
        on_demand: settings.on_demand_share_min,
        held_host_discount: 0.0,
    };
    let costs = minutes().map(|at| {
        let offers = day.prices(at).iter().map(|price| {
            let class = document.host_class(price.class);
            let slots = f64::from(class.slots) * settings.utilisation_max;
            mix::Offer {
                domain: price.domain,
                class: price.class,
                price_per_hour: price.price_per_hour,
                capacity: slots / day.streams(at),
                reclaimable: class.reclaimable,
                held: 0,
                limit: u32::MAX,
            }
        });
        let offers: Vec<mix::Offer> = offers.collect();
        let hosts = mix::cheapest(&offers, &need).hosts;
        let paid = offers.iter().zip(hosts);
        let paid = paid.map(|(offer, hosts)| offer.price_per_hour * f64::from(hosts));
        paid.sum::<f64>() / 60.0
    });
    costs.sum()
}

struct Offer {
    domain: usize,
    on_demand: bool,
    price_per_stream: f64,
}

/// The bound for the day that counts.
pub fn cost(document: &Document, day: &Day) -> f64 {
    let costs = minutes().map(|at| {
        let offers: Vec<Offer> = day
            .prices(at)
            .iter()
            .map(|price| {
                let class = document.host_class(price.class);
                Offer {
                    domain: price.domain.index(),
                    on_demand: !class.reclaimable,
                    price_per_stream: price.price_per_hour / f64::from(class.slots),
                }
            })
            .collect();
        let settings = Settings::default();
        let streams = day.streams(at) / settings.utilisation_max;
        let on_demand = streams * settings.on_demand_share_min;
        per_hour(&offers, document.failure_domains.len(), streams, on_demand) / 60.0
    });
    costs.sum()
}

fn per_hour(offers: &[Offer], domains: usize, streams: f64, on_demand: f64) -> f64 {
    let others = f64::from(u32::try_from(domains - 1).expect("few failure domains"));
    least(streams / others, streams, |bound| {
        let dearest = offers
            .iter()
            .map(|o| o.price_per_stream)
            .fold(0.0, f64::max);
        -least(0.0, dearest, |lambda| {
            -relaxed(offers, domains, streams + bound, on_demand, bound, lambda)
        })
    })
}

/// The cost where each stream of capacity that the on-demand part lacks costs `lambda`.
fn relaxed(
    offers: &[Offer],
    domains: usize,
    total: f64,
    on_demand: f64,
    bound: f64,
    lambda: f64,
) -> f64 {
    let price = |offer: &Offer| offer.price_per_stream - if offer.on_demand { lambda } else { 0.0 };
    let mut cheapest: Vec<&Offer> = offers.iter().collect();
    cheapest.sort_by(|a, b| price(a).total_cmp(&price(b)));
    let mut room = vec![bound; domains];
    let mut lacking = total;
    let mut cost = lambda * on_demand;
    for offer in cheapest {
        let taken = if price(offer) < 0.0 {
            room[offer.domain]
        } else {
            room[offer.domain].min(lacking)
        };
        room[offer.domain] -= taken;
        lacking = (lacking - taken).max(0.0);
        cost += taken * price(offer);
    }
    cost
}

/// The least value of a convex function between two ends, by golden section.
fn least(mut low: f64, mut high: f64, value: impl Fn(f64) -> f64) -> f64 {
    const STEP: f64 = 0.618_033_988_749_895;
    let mut left = high - (high - low) * STEP;
    let mut right = low + (high - low) * STEP;
    let (mut at_left, mut at_right) = (value(left), value(right));
    let mut best = value(low).min(value(high));
    for _ in 0..SEARCH_STEPS {
        best = best.min(at_left).min(at_right);
        if at_left < at_right {
            (high, right, at_right) = (right, left, at_left);
            left = high - (high - low) * STEP;
            at_left = value(left);
        } else {
            (low, left, at_left) = (left, right, at_right);
            right = low + (high - low) * STEP;
            at_right = value(right);
        }
    }
    best
}
