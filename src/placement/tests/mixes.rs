//! Tests of the mix search, compared with an exhaustive search.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::super::mix::{Capacity, Need, Offer, cheapest};
use crate::keys::{ClassKey, DomainKey};

const HELD_MAX: u32 = 4;

fn offer(domain: u16, class: u16, price_per_hour: f64, capacity: f64) -> Offer {
    Offer {
        domain: DomainKey(domain),
        class: ClassKey(class),
        price_per_hour,
        capacity,
        reclaimable: class != 0,
        held: 0,
        limit: HELD_MAX,
    }
}

fn need(on_demand: f64) -> Need {
    Need {
        after_loss: 1.0,
        on_demand,
        held_host_discount: 0.1,
    }
}

fn cost(offers: &[Offer], hosts: &[u32], need: &Need) -> f64 {
    let costs = offers.iter().zip(hosts).map(|(offer, hosts)| {
        let held = f64::from(offer.held.min(*hosts));
        offer.price_per_hour * (f64::from(*hosts) - held * need.held_host_discount)
    });
    costs.sum()
}

fn meets_need(offers: &[Offer], hosts: &[u32], need: &Need) -> bool {
    let capacity = |(offer, hosts): (&Offer, &u32)| offer.capacity * f64::from(*hosts);
    let by_domain = offers.iter().zip(hosts);
    let by_domain = by_domain.map(|(offer, hosts)| (offer.domain, capacity((offer, hosts))));
    let on_demand = offers
        .iter()
        .zip(hosts)
        .filter(|(offer, _)| !offer.reclaimable);
    let on_demand: f64 = on_demand.map(capacity).sum();
    by_domain.collect::<Capacity>().after_worst_loss() >= need.after_loss - 1e-9
        && on_demand >= need.on_demand - 1e-9
}

/// Returns the cost of the cheapest mix by exhaustive search; `None` if no mix meets the need.
fn best_cost(offers: &[Offer], need: &Need) -> Option<f64> {
    let mut hosts = vec![0; offers.len()];
    let mut best = None;
    loop {
        if meets_need(offers, &hosts, need) {
            let cost = cost(offers, &hosts, need);
            best = Some(best.map_or(cost, |best: f64| best.min(cost)));
        }
        let Some(next) = (0..hosts.len()).find(|index| hosts[*index] < offers[*index].limit) else {
            return best;
        };
        hosts[..next].fill(0);
        hosts[next] += 1;
    }
}

#[test]
fn small_mixes_are_close_to_the_optimal_cost() {
    let mut rng = SmallRng::seed_from_u64(11);
    let mut ratios = Vec::new();
    for _ in 0..200 {
        let mut offers = Vec::new();
        for domain in 0..3 {
            for class in 0..2 {
                let capacity = [0.21, 0.34][usize::from(class)];
                let price = rng.random_range(0.5..2.0) * if class == 0 { 2.0 } else { 1.0 };
                let mut offer = offer(domain, class, price, capacity);
                offer.held = rng.random_range(0..3);
                offer.limit = rng.random_range(1..=HELD_MAX);
                offers.push(offer);
            }
        }
        let need = need([0.0, 0.3][usize::from(rng.random_bool(0.5))]);
        let mix = cheapest(&offers, &need);
        let Some(best) = best_cost(&offers, &need) else {
            assert!(!mix.meets_need);
            continue;
        };
        assert!(meets_need(&offers, &mix.hosts, &need), "{offers:?} {mix:?}");
        assert!(
            offers
                .iter()
                .zip(&mix.hosts)
                .all(|(offer, hosts)| *hosts <= offer.limit)
        );
        ratios.push(cost(&offers, &mix.hosts, &need) / best);
    }
    let count = u32::try_from(ratios.len()).expect("few samples");
    let mean = ratios.iter().sum::<f64>() / f64::from(count);
    let worst = ratios.iter().copied().fold(1.0, f64::max);
    assert!(
        count > 150 && mean <= 1.01 && worst <= 1.1,
        "{count} {mean} {worst}"
    );
}

#[test]
fn need_beyond_the_offers_gets_the_largest_mix() {
    let mut offers = [offer(0, 1, 1.0, 0.4), offer(1, 1, 1.0, 0.4)];
    offers[1].limit = 1;
    let mix = cheapest(&offers, &need(0.0));
    assert!(!mix.meets_need);
    assert_eq!(mix.hosts[1], 1);
    assert!(cheapest(&[], &need(0.0)).hosts.is_empty());
}

#[test]
fn held_host_is_not_replaced_for_a_small_saving() {
    let mut offers = vec![
        offer(0, 1, 1.0, 1.0),
        offer(1, 1, 1.0, 1.0),
        offer(2, 1, 0.95, 1.0),
    ];
    offers[0].held = 1;
    offers[1].held = 1;
    assert_eq!(cheapest(&offers, &need(0.0)).hosts, [1, 1, 0]);
    offers[2].price_per_hour = 0.8;
    assert_eq!(cheapest(&offers, &need(0.0)).hosts.iter().sum::<u32>(), 2);
    assert_eq!(cheapest(&offers, &need(0.0)).hosts[2], 1);
}
