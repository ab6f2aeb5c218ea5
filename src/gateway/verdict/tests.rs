use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::*;

/// How a version answers on one route: the part of bad answers.
type Parts = [f64; 3];

/// Requests on each route of which one in `NEW_EVERY` goes to the new version.
const ROUTE_REQUESTS: [u32; 3] = [2_000, 800, 400];
const NEW_EVERY: u32 = 12;

/// The verdict after each request of a roll-out; the first that is bad, or the last.
fn rolled_out(old: Parts, new: Parts, seed: u64) -> Verdict {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut sum: Vec<Seen> = Vec::new();
    let all: u32 = ROUTE_REQUESTS.iter().sum();
    for number in 0..all {
        let mut drawn = rng.random_range(0..all);
        let mut route = 0;
        while drawn >= ROUTE_REQUESTS[route] {
            drawn -= ROUTE_REQUESTS[route];
            route += 1;
        }
        let is_new = number % NEW_EVERY == 0;
        let part = if is_new { new[route] } else { old[route] };
        let count = Count {
            answers: 1,
            bad: u32::from(rng.random_bool(part)),
        };
        let mut row = Seen {
            route: route as u64,
            ..Seen::default()
        };
        if is_new {
            row.new = count;
        } else {
            row.old = count;
        }
        add(&mut sum, &[row]);
        if verdict(&sum) == Verdict::Bad {
            return Verdict::Bad;
        }
    }
    verdict(&sum)
}

fn share(old: Parts, new: Parts, wanted: impl Fn(Verdict) -> bool) -> f64 {
    let hits = (0..400_u16).filter(|seed| wanted(rolled_out(old, new, (*seed).into())));
    num::real(hits.count() as u64) / 400.0
}

/// A good version among old ones of which a part fails, as on grey hosts, is not called bad.
#[test]
fn good_versions_are_not_called_bad() {
    for usual in [[0.0; 3], [0.02, 0.14, 0.004], [0.3, 0.3, 0.3]] {
        let false_alarms = share(usual, usual, |verdict| verdict == Verdict::Bad);
        assert!(false_alarms < 0.01, "{usual:?}: {false_alarms}");
    }
}

#[test]
fn good_versions_are_called_good_in_the_end() {
    for usual in [[0.0; 3], [0.02, 0.14, 0.004]] {
        let good = |verdict| matches!(verdict, Verdict::Good | Verdict::LikelyGood);
        let called = share(usual, usual, good);
        assert!(called > 0.97, "{usual:?}: {called}");
    }
}

#[test]
fn bad_versions_are_not_let_through() {
    let usual = [0.02, 0.14, 0.004];
    for harm in [0.25, 0.5, 0.9] {
        let new = usual.map(|part| part + harm * (1.0 - part));
        let caught = share(usual, new, |verdict| verdict == Verdict::Bad);
        assert!(caught > 0.995, "{harm}: {caught}");
    }
}

/// A version that is bad on one route only shows there, however many others answer well.
#[test]
fn a_version_that_is_bad_on_one_route_is_caught() {
    let usual = [0.01; 3];
    for route in 0..3 {
        let mut new = usual;
        new[route] = 0.5;
        let caught = share(usual, new, |verdict| verdict == Verdict::Bad);
        assert!(caught > 0.99, "route {route}: {caught}");
    }
}

#[test]
fn a_version_that_nobody_saw_is_unknown() {
    assert_eq!(verdict(&[]), Verdict::Unknown);
    let only_old = Seen {
        old: Count {
            answers: 900,
            bad: 3,
        },
        ..Seen::default()
    };
    assert_eq!(verdict(&[only_old]), Verdict::Unknown);
}

#[test]
fn an_answer_is_slow_against_what_is_usual_at_the_same_time() {
    let mut usual = Usual::default();
    assert!(!usual.is_slow(5_000, 100.0), "nothing is usual yet");
    for _answer in 0..50 {
        usual.note(120, 100.0);
    }
    assert!(!usual.is_slow(240, 100.0));
    assert!(usual.is_slow(400, 100.0));
    assert!(!usual.is_slow(800, 300.0), "more was expected of this one");
}
