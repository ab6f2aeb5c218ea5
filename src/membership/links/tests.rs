//! All nodes must pick the same watchers.

use super::*;

fn fleet(count: u64, domains: u64) -> Vec<Candidate> {
    let numbers = 0..count;
    let candidate = |number| Candidate {
        incarnation: Incarnation(number * 7_919 + 3),
        domain: number % domains,
    };
    numbers.map(candidate).collect()
}

#[test]
fn watchers_know_whom_they_watch() {
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
fn large_fleets_have_few_watchers_and_some_outside_the_domain() {
    let live = fleet(340, 18);
    let settings = Settings::default();
    for of in &live {
        let watchers = watchers(*of, &live, &settings);
        assert_eq!(
            watchers.len(),
            settings.near_watchers + settings.far_watchers
        );
        let far = live
            .iter()
            .filter(|other| watchers.contains(&other.incarnation) && other.domain != of.domain);
        assert_eq!(far.count(), settings.far_watchers);
    }
}
