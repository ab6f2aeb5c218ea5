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
            reclaimed: 0,
        })
        .collect()
}

fn wanted_of(orders: &[Order], domain: &str, is_reclaimable: bool) -> Option<u32> {
    let mut found = orders
        .iter()
        .filter(|order| order.failure_domain == domain && order.is_reclaimable == is_reclaimable);
    found.next().map(|order| order.wanted)
}

/// What is wanted where nothing boots.
fn wanted_of_need(
    scaling: &Scaling,
    standing: &[Standing],
    need: Need,
    is_at_risk: bool,
) -> Vec<(String, u32, u32)> {
    let bought: Vec<u32> = standing.iter().map(|there| there.on_demand).collect();
    wanted(scaling, standing, &bought, need, is_at_risk)
}

#[test]
fn reclaimable_upstreams_come_before_on_demand_ones_go() {
    let there = standing([(5, 0), (5, 0), (4, 0), (4, 0)]);
    let orders = orders(
        "p",
        &scaling(),
        &there,
        None,
        &Ordered::default(),
        TimeMs(1),
    );
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
            let wanted = wanted_of_need(&scaling(), &there, Need::Unknown, false);
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
    let orders = orders("p", &scaling(), &there, None, &ordered, TimeMs(1_100));
    let bought: u32 = orders
        .iter()
        .filter(|order| !order.is_reclaimable)
        .map(|order| order.wanted)
        .sum();
    assert_eq!(bought, 18, "the last domain may go next");
    assert_eq!(
        wanted_of(&orders, "b", false),
        Some(10),
        "the cheapest domain gets as many as it may hold"
    );
    assert_eq!(
        wanted_of(&orders, "d", false),
        Some(8),
        "the next cheapest the others"
    );
    let calm = wanted_of_need(&scaling(), &there, Need::Unknown, false);
    let bought: Vec<u32> = (calm.iter())
        .map(|(_domain, _count, on_demand)| *on_demand)
        .collect();
    assert_eq!(
        bought,
        [0, 8, 0, 0],
        "those that are missing, in the cheapest domain"
    );
    assert_eq!(wanted_of(&orders, "b", true), None, "none are to be had");
}

#[test]
fn an_order_is_not_given_again_while_it_is_carried_out() {
    let there = standing([(0, 10), (0, 10), (0, 10), (0, 4)]);
    let mut ordered = Ordered::default();
    let first = orders("p", &scaling(), &there, None, &ordered, TimeMs(1_000));
    assert_eq!(wanted_of(&first, "d", true), Some(10));
    for order in &first {
        ordered.note(order, TimeMs(1_000));
    }
    assert_eq!(
        orders("p", &scaling(), &there, None, &ordered, TimeMs(2_000)),
        []
    );
    let again = orders("p", &scaling(), &there, None, &ordered, TimeMs(9_000));
    assert_eq!(wanted_of(&again, "d", true), Some(10));
}

#[test]
fn pools_without_reclaimable_upstreams_are_served_on_demand() {
    let scaling = Scaling {
        reclaimable_price: None,
        ..scaling()
    };
    let there = standing([(0, 0); 4]);
    let orders = orders("p", &scaling, &there, None, &Ordered::default(), TimeMs(1));
    assert!(orders.iter().all(|order| !order.is_reclaimable));
    let bought: u32 = orders.iter().map(|order| order.wanted).sum();
    assert_eq!(bought, 40);
}

/// Symptom: a third to a half of what a deployment earns goes into upstreams that do nothing.
/// Sequence: a pool that may have ten upstreams in each domain is asked for what three can bear.
/// Cause: as many as allowed were ordered, whatever was asked.
#[test]
fn as_many_are_kept_as_are_needed_in_the_last_domain() {
    let there = standing([(0, 10), (0, 10), (0, 10), (0, 10)]);
    let wanted = wanted_of_need(&scaling(), &there, Need::Known(3), false);
    let reclaimable: u32 = wanted
        .iter()
        .map(|(_domain, count, _on_demand)| count)
        .sum();
    assert_eq!(reclaimable, 12, "of 40 that are allowed");
    assert!(
        wanted
            .iter()
            .all(|(_domain, _count, on_demand)| *on_demand == 0)
    );
}

/// Symptom: for ten seconds nearly all requests are late or refused.
/// Sequence: four domains are reclaimed one after the other within ten seconds, none are to be had;
/// on-demand upstreams boot for four seconds, a notice is under three.
/// Cause: on-demand upstreams were ordered only when too few were left.
#[test]
fn the_next_reclaim_is_insured_against_while_domains_go() {
    let there = standing([(0, 3), (0, 0), (0, 0), (0, 3)]);
    let bought = |is_at_risk| -> u32 {
        let wanted = wanted_of_need(&scaling(), &there, Need::Known(8), is_at_risk);
        wanted
            .iter()
            .map(|(_domain, _count, on_demand)| on_demand)
            .sum()
    };
    assert_eq!(bought(false), 0, "six are there");
    assert_eq!(bought(true), 3, "three are left if the next domain goes");
    let unknown: u32 = (wanted_of_need(&scaling(), &there, Need::Unknown, true).iter())
        .map(|(_domain, _count, on_demand)| on_demand)
        .sum();
    assert_eq!(unknown, 15, "of 18 before the need is known");
    let mut ordered = Ordered::default();
    let mut going = there.clone();
    going[1].reclaimed = 2;
    ordered.note_standing(&going, TimeMs(1_000));
    let orders = orders("p", &scaling(), &there, Some(8), &ordered, TimeMs(2_000));
    assert!(
        orders
            .iter()
            .any(|order| !order.is_reclaimable && order.wanted > 0)
    );
}

#[test]
fn odd_bounds_and_prices_give_orders_within_them() {
    for (least, most) in [(0, 0), (5, 2), (1, 1), (0, 40)] {
        for reclaimable_price in [None, Some(0.0), Some(-1.0), Some(f64::NAN)] {
            let scaling = Scaling {
                least,
                most,
                boot_ms: 0,
                reclaimable_price,
                domain_prices: vec![("a".to_owned(), f64::NAN), ("b".to_owned(), -3.0)],
            };
            for need in [
                Need::Unknown,
                Need::AsStood(0),
                Need::AsStood(u32::MAX),
                Need::Known(0),
                Need::Known(7),
                Need::Known(u32::MAX),
            ] {
                for is_at_risk in [false, true] {
                    let there = standing([(0, 3), (9, 0), (0, 0), (0, 0)]);
                    for (_domain, reclaimable, on_demand) in
                        wanted_of_need(&scaling, &there, need, is_at_risk)
                    {
                        assert!(reclaimable <= most.max(3) && on_demand <= most.max(9));
                    }
                }
            }
        }
    }
    assert_eq!(wanted_of_need(&scaling(), &[], Need::Known(3), true), []);
}

/// Symptom: a calm day is served worse than a busy one: 0.36 of the payoff owed in the seconds after a
/// second domain has gone, 0.84 before.
/// Sequence: the platform takes one domain and has no others; the need becomes known and is low, so
/// that two thirds of what is left are let go; the next domain goes.
/// Cause: upstreams were let go although none could be bought back.
#[test]
fn nothing_reclaimable_is_let_go_while_none_can_be_had() {
    let there = standing([(0, 10), (0, 10), (0, 10), (0, 0)]);
    let mut ordered = Ordered::default();
    ordered.note_dry(TimeMs(1_000));
    let at_risk = orders("p", &scaling(), &there, Some(2), &ordered, TimeMs(4_000));
    for domain in ["a", "b", "c"] {
        let wanted = wanted_of(&at_risk, domain, true);
        assert!(wanted.is_none_or(|wanted| wanted >= 10), "{at_risk:?}");
    }
    let calm = TimeMs(1_000 + AT_RISK_MS);
    let calm = orders("p", &scaling(), &there, Some(2), &ordered, calm);
    assert!(wanted_of(&calm, "a", true).is_some_and(|wanted| wanted < 10));
}

/// Symptom: requests wait for engines to read for seconds after most engines have been let go.
/// Sequence: the need becomes known and is a sixth of what stands; all others go at once.
/// Cause: what an engine has read goes with it, and the engines that stay have to read all of it.
#[test]
fn upstreams_are_let_go_little_by_little() {
    let mut counts = [10; 4];
    let mut ordered = Ordered::default();
    let mut least_by_second = Vec::new();
    for now_ms in (1_000..20_000).step_by(250) {
        let there = standing(counts.map(|count| (0, count)));
        let now = TimeMs(now_ms);
        let orders = orders("p", &scaling(), &there, Some(2), &ordered, now);
        for order in orders.iter().filter(|order| order.is_reclaimable) {
            ordered.note(order, now);
            let place = usize::from(order.failure_domain.as_bytes()[0] - b'a');
            assert!(counts[place] - order.wanted <= 1, "{order:?}");
            counts[place] = order.wanted;
        }
        if now_ms % 1_000 == 0 {
            least_by_second.push(counts[0]);
        }
    }
    assert_eq!(least_by_second[..4], [9, 8, 7, 6]);
    assert_eq!(counts, [2; 4], "they do go");
}

/// Symptom: on-demand upstreams are bought beside those that stand, at a start.
/// Sequence: half of them have not announced themselves when the first orders are given.
/// Cause: what had not announced itself counted as missing.
#[test]
fn no_on_demand_upstreams_are_bought_while_upstreams_announce_themselves() {
    let there = standing([(1, 0), (4, 0), (0, 0), (2, 0)]);
    let mut ordered = Ordered::default();
    ordered.note_arriving(true);
    let early = orders("p", &scaling(), &there, None, &ordered, TimeMs(1));
    assert!(early.iter().all(|order| order.is_reclaimable), "{early:?}");
    assert!(
        wanted_of(&early, "a", true).is_some(),
        "those need not wait"
    );
    ordered.note_arriving(false);
    let later = orders("p", &scaling(), &there, None, &ordered, TimeMs(1));
    assert!(later.iter().any(|order| !order.is_reclaimable), "{later:?}");
}

/// Symptom: nothing is served at a start of 300 nodes: thousands of upstreams come and go each second.
/// Sequence: the first orders are given before there is any traffic; all that are allowed are ordered,
/// many times as many as stand, and let go again when the need is known to be a thirtieth.
/// Cause: a need that is not known was taken for the largest that there can be.
#[test]
fn what_stood_bounds_what_is_ordered_until_the_need_is_known() {
    let mut ordered = Ordered::default();
    ordered.note_arriving(true);
    ordered.note_standing(&standing([(1, 0), (2, 0), (0, 0), (1, 0)]), TimeMs(1));
    let all = standing([(2, 0), (2, 0), (1, 0), (1, 0)]);
    ordered.note_standing(&all, TimeMs(2));
    ordered.note_arriving(false);
    let at_start = orders("p", &scaling(), &all, None, &ordered, TimeMs(3));
    let reclaimable = at_start.iter().filter(|order| order.is_reclaimable);
    let reclaimable: u32 = reclaimable.map(|order| order.wanted).sum();
    assert_eq!(reclaimable, 12, "of 40 that are allowed");
    assert!(
        at_start.iter().all(|order| order.is_reclaimable),
        "on-demand ones stay meanwhile"
    );
    let both = standing([(2, 3), (2, 3), (1, 3), (1, 3)]);
    ordered.note_standing(&both, TimeMs(6_000));
    let replaced = orders("p", &scaling(), &both, None, &ordered, TimeMs(6_000));
    let on_demand: Vec<u32> = (replaced.iter())
        .filter(|order| !order.is_reclaimable)
        .map(|order| order.wanted)
        .collect();
    assert_eq!(on_demand, [0; 4], "they go when the others are there");
}

/// Symptom: eight seconds instead of four without engines, after all of them were reclaimed.
/// Sequence: on-demand ones are ordered in one domain and boot for 4 s; just before they stand, a
/// cheaper domain has room again; the order is taken back and given there.
/// Cause: only on-demand upstreams that stood counted as bought.
#[test]
fn what_boots_is_not_taken_back_for_a_cheaper_domain() {
    let mut ordered = Ordered::default();
    ordered.note_dry(TimeMs(1_000));
    let full = [(0, 0), (0, 0), (0, 0), (0, 0)];
    let first = orders(
        "p",
        &scaling(),
        &standing(full),
        Some(8),
        &ordered,
        TimeMs(1_000),
    );
    for order in &first {
        ordered.note(order, TimeMs(1_000));
    }
    assert_eq!(wanted_of(&first, "b", false), Some(8), "the cheapest");
    let dearer = Scaling {
        domain_prices: [("a", 0.5), ("b", 0.8), ("c", 1.25), ("d", 0.9)]
            .map(|(domain, price)| (domain.to_owned(), price))
            .to_vec(),
        ..scaling()
    };
    let again = orders(
        "p",
        &dearer,
        &standing(full),
        Some(8),
        &ordered,
        TimeMs(4_900),
    );
    assert_eq!(
        wanted_of(&again, "b", false),
        None,
        "it stands as ordered: {again:?}"
    );
    assert_eq!(wanted_of(&again, "a", false).unwrap_or(0), 0);
}

/// Symptom: a third of the callers wait past their deadline for twenty seconds.
/// Sequence: all reclaimable upstreams are taken, none can be had; fourteen on-demand ones are
/// bought where twenty are needed.
/// Cause: a part that insures against a loss was bought for a loss that had happened.
#[test]
fn a_loss_that_has_happened_is_made_up_for_wholly() {
    let bought = |counts| {
        let there = standing(counts);
        let wanted = wanted_of_need(&scaling(), &there, Need::Known(16), true);
        wanted
            .iter()
            .map(|(_domain, _count, on_demand)| *on_demand)
            .sum::<u32>()
    };
    assert_eq!(bought([(0, 0); 4]), 16);
    assert_eq!(bought([(0, 4), (0, 0), (0, 0), (0, 0)]), 12);
    assert_eq!(bought([(0, 10), (0, 10), (0, 10), (0, 10)]), 0);
}
