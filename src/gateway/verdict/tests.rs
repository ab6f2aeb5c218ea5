use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::*;

/// Rate of bad answers of a version, by route.
type BadRates = [f64; 3];

/// Requests on each route; one in `NEW_EVERY` goes to the new version.
const ROUTE_REQUESTS: [u32; 3] = [2_000, 800, 400];
const NEW_EVERY: u32 = 12;

/// Simulates a roll-out; returns the first bad verdict, or the last verdict.
fn simulate(old: BadRates, new: BadRates, seed: u64) -> Verdict {
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
        let bad_rate = if is_new { new[route] } else { old[route] };
        let count = Count {
            answers: 1,
            bad: u32::from(rng.random_bool(bad_rate)),
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

fn share_of_verdicts(old: BadRates, new: BadRates, is_match: impl Fn(Verdict) -> bool) -> f64 {
    let matches = (0..400_u16).filter(|seed| is_match(simulate(old, new, (*seed).into())));
    num::to_f64(matches.count() as u64) / 400.0
}

/// Guards against a good version that is called bad because a part of its answers fails like those
/// of the old one, as on degraded hosts.
#[test]
fn good_versions_are_not_judged_bad() {
    for baseline in [[0.0; 3], [0.02, 0.14, 0.004], [0.3, 0.3, 0.3]] {
        let false_alarms = share_of_verdicts(baseline, baseline, |verdict| verdict == Verdict::Bad);
        assert!(false_alarms < 0.01, "{baseline:?}: {false_alarms}");
    }
}

#[test]
fn good_versions_are_judged_good_at_the_end() {
    for baseline in [[0.0; 3], [0.02, 0.14, 0.004]] {
        let good = |verdict| matches!(verdict, Verdict::Good | Verdict::LikelyGood);
        let judged_good = share_of_verdicts(baseline, baseline, good);
        assert!(judged_good > 0.97, "{baseline:?}: {judged_good}");
    }
}

#[test]
fn bad_versions_are_judged_bad() {
    let baseline = [0.02, 0.14, 0.004];
    for harm in [0.25, 0.5, 0.9] {
        let new = baseline.map(|bad_rate| bad_rate + harm * (1.0 - bad_rate));
        let judged_bad = share_of_verdicts(baseline, new, |verdict| verdict == Verdict::Bad);
        assert!(judged_bad > 0.995, "{harm}: {judged_bad}");
    }
}

/// Guards against a fault on one route that is hidden by the good answers on the other routes.
#[test]
fn version_that_is_bad_on_one_route_is_judged_bad() {
    let baseline = [0.01; 3];
    for route in 0..3 {
        let mut new = baseline;
        new[route] = 0.5;
        let judged_bad = share_of_verdicts(baseline, new, |verdict| verdict == Verdict::Bad);
        assert!(judged_bad > 0.99, "route {route}: {judged_bad}");
    }
}

#[test]
fn version_without_answers_is_unknown() {
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
fn answer_is_slow_relative_to_the_baseline_and_the_expected_latency() {
    let mut baseline = LatencyBaseline::default();
    assert!(!baseline.is_slow(5_000, 100.0), "there is no baseline yet");
    for _answer in 0..50 {
        baseline.record(120, 100.0);
    }
    assert!(!baseline.is_slow(240, 100.0));
    assert!(baseline.is_slow(400, 100.0));
    assert!(
        !baseline.is_slow(800, 300.0),
        "the expected latency is higher"
    );
}
