//! Tests that all nodes select the same watchers.

use super::*;

fn fleet(count: u64, domains: u64) -> Vec<Candidate> {
    let numbers = 0..count;
    let candidate = |number| Candidate {
        incarnation: Incarnation(number * 7_919 + 3),
        domain_hash: number % domains,
    };
    numbers.map(candidate).collect()
}

#[test]
fn watchers_and_is_watcher_agree_for_every_pair() {
    for live in [
        fleet(9, 4),
        fleet(12, 4),
        fleet(13, 4),
        fleet(340, 18),
        fleet(40, 1),
    ] {
        let settings = Settings::default();
        for of in &live {
            let watchers = watchers(*of, &live, &settings);
            for own in &live {
                assert_eq!(
                    watchers.contains(&own.incarnation),
                    is_watcher(*own, *of, &live, &settings),
                );
            }
        }
    }
}

#[test]
fn large_fleet_has_bounded_watchers_inside_and_outside_the_domain() {
    let live = fleet(340, 18);
    let settings = Settings::default();
    for of in &live {
        let watchers = watchers(*of, &live, &settings);
        assert_eq!(
            watchers.len(),
            settings.same_domain_watchers + settings.other_domain_watchers
        );
        let other_domains = live.iter().filter(|other| {
            watchers.contains(&other.incarnation) && other.domain_hash != of.domain_hash
        });
        assert_eq!(other_domains.count(), settings.other_domain_watchers);
    }
}
