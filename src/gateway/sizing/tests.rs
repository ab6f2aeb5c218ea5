use super::*;

fn scaling() -> Scaling {
    Scaling {
        least: 1,
        most: 10,
        boot_ms: 4_000,
        reclaimable_price: Some(0.15),
        domain_prices: [("a", 1.0), ("b", 0.8), ("c", 1.25), ("d", 0.9)]
            .map(|(domain, price)| (domain.to_owned(), price))
            .to_vec(),
    }
}

fn standing(counts: [(u32, u32); 4]) -> Vec<Standing> {
    let domains = ["a", "b", "c", "d"].into_iter().zip(counts);
    domains
        .map(|(domain, (on_demand, reclaimable))| Standing {
            failure_domain: domain.to_owned(),
            on_demand,
            reclaimable,
        })
        .collect()
}

fn wanted_of(orders: &[Order], domain: &str, is_reclaimable: bool) -> Option<u32> {
    let mut found = orders
        .iter()
        .filter(|order| order.failure_domain == domain && order.is_reclaimable == is_reclaimable);
    found.next().map(|order| order.wanted)
}

#[test]
fn reclaimable_upstreams_come_before_on_demand_ones_go() {
    let there = standing([(5, 0), (5, 0), (4, 0), (4, 0)]);
    let orders = orders("p", &scaling(), &there, &Ordered::default(), TimeMs(1));
    assert_eq!(
        wanted_of(&orders, "a", true),
        Some(5),
        "there is room for five beside five"
    );
    let kept: u32 = ["a", "b", "c", "d"]
        .iter()
        .filter_map(|domain| wanted_of(&orders, domain, false).or(Some(5)))
        .sum();
    assert!(
        kept >= 18,
        "all that is there stays until the others have come: {kept}"
    );
}

#[test]
fn no_domain_gets_more_than_it_may_hold() {
    for on_demand in 0..=10 {
        for reclaimable in 0..=(10 - on_demand) {
            let there = standing([(on_demand, reclaimable), (0, 10), (3, 0), (0, 0)]);
            let wanted = wanted(&scaling(), &there);
            for ((_domain, reclaimable, on_demand), there) in wanted.iter().zip(&there) {
                assert!(reclaimable + on_demand <= 10, "{there:?}");
                assert!(
                    reclaimable + there.on_demand <= 10.max(there.on_demand + there.reclaimable)
                );
            }
        }
    }
}

/// Symptom: with two domains reclaimed and none to be had, answers come late for 15 s.
/// Sequence: the platform takes all reclaimable upstreams of two domains, and has no others.
/// Cause: only reclaimable upstreams were ordered.
#[test]
fn on_demand_upstreams_are_bought_while_too_few_are_left() {
    let there = standing([(0, 10), (0, 0), (0, 0), (0, 0)]);
    let mut ordered = Ordered::default();
    ordered.note_dry(TimeMs(1_000));
    let orders = orders("p", &scaling(), &there, &ordered, TimeMs(1_100));
    let bought: u32 = orders
        .iter()
        .filter(|order| !order.is_reclaimable)
        .map(|order| order.wanted)
        .sum();
    assert_eq!(bought, 8);
    assert_eq!(
        wanted_of(&orders, "b", false),
        Some(8),
        "the cheapest domain gets them"
    );
    assert_eq!(wanted_of(&orders, "b", true), None, "none are to be had");
}

#[test]
fn an_order_is_not_given_again_while_it_is_carried_out() {
    let there = standing([(0, 10), (0, 10), (0, 10), (0, 4)]);
    let mut ordered = Ordered::default();
    let first = orders("p", &scaling(), &there, &ordered, TimeMs(1_000));
    assert_eq!(wanted_of(&first, "d", true), Some(10));
    for order in &first {
        ordered.note(order, TimeMs(1_000));
    }
    assert_eq!(orders("p", &scaling(), &there, &ordered, TimeMs(2_000)), []);
    let again = orders("p", &scaling(), &there, &ordered, TimeMs(9_000));
    assert_eq!(wanted_of(&again, "d", true), Some(10));
}

#[test]
fn pools_without_reclaimable_upstreams_are_served_on_demand() {
    let scaling = Scaling {
        reclaimable_price: None,
        ..scaling()
    };
    let there = standing([(0, 0); 4]);
    let orders = orders("p", &scaling, &there, &Ordered::default(), TimeMs(1));
    assert!(orders.iter().all(|order| !order.is_reclaimable));
    let bought: u32 = orders.iter().map(|order| order.wanted).sum();
    assert_eq!(bought, 40);
}
