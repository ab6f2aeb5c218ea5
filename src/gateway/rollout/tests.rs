use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::super::rollouts::Rollouts;
use super::*;
use crate::gateway::log_position::tests::at;

const DURATION_MS: u64 = 20_000;
const DAY: u64 = 1_796_256_000_000;
const SHARE: f64 = 0.1;
const ROUTE: u64 = 5;

fn order(offset: u64) -> Order {
    Order {
        pool: "pool".to_owned(),
        target: "v2".to_owned(),
        duration_ms: DURATION_MS,
        place: at(offset),
    }
}

fn standing(old: usize, new: usize) -> Standing {
    Standing {
        old,
        new,
        old_running: 0,
    }
}

fn moment(day_ms: u64, draw: u64) -> RoutingContext {
    RoutingContext {
        exposure_share: SHARE,
        is_in_contact: true,
        standing: standing(8, 8),
        day_ms,
        draw,
        is_first: true,
    }
}

/// Result of a simulated roll-out.
struct Simulated {
    requests: u32,
    exposed: u32,
    /// Time at which the duty holder decided to roll back or to stop the old version.
    ended_ms: Option<u64>,
    stage: Stage,
    /// Requests that were sent to the new version later than 5 s after its 50th bad answer.
    sent_late: u32,
    /// Most requests to the new version within one second.
    max_requests_in_a_second: u32,
}

/// Simulates a roll-out on `nodes` nodes, which together receive `per_s` requests a second.
///
/// Counts and decisions each take `report_delay_ms` to reach the peers.
fn simulate(
    nodes: usize,
    per_s: u64,
    report_delay_ms: u64,
    bad_from_ms: u64,
    bad: f64,
    seed: u64,
) -> Simulated {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut fleet: Vec<Rollouts> = (0..nodes).map(|_node| Rollouts::default()).collect();
    for node in &mut fleet {
        node.add_order(order(7), DAY);
    }
    let mut simulated = Simulated {
        requests: 0,
        exposed: 0,
        ended_ms: None,
        stage: Stage::Observing,
        sent_late: 0,
        max_requests_in_a_second: 0,
    };
    let mut reports: Vec<(u64, usize, Vec<Observation>)> = Vec::new();
    let mut decided: Vec<(u64, Decision)> = Vec::new();
    let (mut bad_answers, mut fiftieth_ms) = (0, None);
    let mut requests_in_second = 0;
    for step in 0..(DURATION_MS * per_s / 1_000) {
        let passed_ms = step * 1_000 / per_s;
        let day_ms = DAY + passed_ms;
        if passed_ms % 1_000 < 1_000 / per_s.max(1) {
            requests_in_second = 0;
        }
        while reports
            .first()
            .is_some_and(|(at, _node, _observed)| *at <= passed_ms)
        {
            let (_at, from, observed) = reports.remove(0);
            for (place, node) in fleet.iter_mut().enumerate() {
                if place != from {
                    node.record_observations(from as u64, observed.clone());
                }
            }
        }
        while decided
            .first()
            .is_some_and(|(at, _decided)| *at <= passed_ms)
        {
            let (_at, decision) = decided.remove(0);
            for node in &mut fleet {
                node.apply_decision(&decision);
            }
        }
        let node = rng.random_range(0..nodes);
        simulated.requests += 1;
        let draw = rng.random();
        let rollout = fleet[node].get_mut("pool").expect("it is ordered");
        let versions = rollout.versions(&moment(day_ms, draw));
        let is_new = matches!(versions, VersionFilter::Only(_) | VersionFilter::Few { .. });
        let is_bad = is_new && passed_ms >= bad_from_ms && rng.random_bool(bad);
        if is_new {
            simulated.exposed += 1;
            requests_in_second += 1;
            simulated.max_requests_in_a_second =
                simulated.max_requests_in_a_second.max(requests_in_second);
            simulated.sent_late +=
                u32::from(fiftieth_ms.is_some_and(|at: u64| passed_ms > at + 5_000));
        }
        if is_bad {
            bad_answers += 1;
            fiftieth_ms = fiftieth_ms.or((bad_answers == 50).then_some(passed_ms));
        }
        let answer = Answer {
            route: ROUTE,
            is_new,
            took_ms: (!is_bad).then_some(100),
            expected_ms: 100.0,
        };
        let is_urgent = rollout.record(&answer);
        if is_urgent || rng.random_range(0..8) == 0 {
            reports.push((
                passed_ms + report_delay_ms,
                node,
                fleet[node].observations(None),
            ));
        }
        if step % (per_s / 4).max(1) == 0 {
            let holder = fleet[0].get_mut("pool").expect("it is ordered");
            let standing = standing(8, 8);
            if let Some(stage) = holder.next_stage(standing, day_ms) {
                let decision = Decision {
                    stage,
                    since_day_ms: day_ms,
                    ..holder.decided
                };
                fleet[0].apply_decision(&decision);
                decided.push((passed_ms + report_delay_ms, decision));
                simulated.stage = stage;
                if stage.is_end() {
                    simulated.ended_ms = Some(passed_ms);
                }
            }
        }
    }
    simulated
}

/// Guards against a bad version that receives half of a pool's requests at once.
///
/// Its upstreams start beside the old ones, and would receive as many requests if versions were not
/// distinguished.
#[test]
fn bad_version_stays_below_its_bound_despite_delayed_reports() {
    for (nodes, report_delay_ms) in [(1, 0), (9, 300), (60, 800), (195, 2_500)] {
        for bad in [0.2, 0.5, 1.0] {
            for seed in 0..5 {
                let simulated = simulate(nodes, 300, report_delay_ms, 0, bad, seed);
                let allowed = f64::from(simulated.requests) * SHARE + 50.0;
                assert!(
                    f64::from(simulated.exposed) <= allowed,
                    "{nodes} nodes, {bad}"
                );
                assert_eq!(
                    simulated.stage,
                    Stage::RolledBack,
                    "{nodes} nodes, {bad}, {seed}"
                );
                assert_eq!(simulated.sent_late, 0, "{nodes} nodes, {bad}, {seed}");
            }
        }
    }
}

#[test]
fn version_that_turns_bad_late_is_rolled_back() {
    for bad_from_ms in [3_000, 6_000, 8_000] {
        for seed in 0..10 {
            let simulated = simulate(60, 300, 500, bad_from_ms, 0.6, seed);
            let allowed = f64::from(simulated.requests) * SHARE + 50.0;
            assert_eq!(simulated.stage, Stage::RolledBack, "{bad_from_ms} {seed}");
            assert!(
                f64::from(simulated.exposed) <= allowed,
                "{bad_from_ms} {seed}"
            );
        }
    }
}

#[test]
fn good_version_takes_over_within_the_time_limit() {
    for nodes in [1, 9, 60, 195] {
        for seed in 0..10 {
            let simulated = simulate(nodes, 300, 500, 0, 0.0, seed);
            assert_eq!(simulated.stage, Stage::Succeeded, "{nodes} {seed}");
            let ended_ms = simulated.ended_ms.expect("the roll-out ended");
            assert!(ended_ms < DURATION_MS * 95 / 100, "{ended_ms}");
        }
    }
}

#[test]
fn isolated_node_sends_nothing_to_the_new_version() {
    let mut rollouts = Rollouts::default();
    rollouts.add_order(order(7), DAY);
    let rollout = rollouts.get_mut("pool").expect("it is ordered");
    for number in 0..2_000 {
        let cut_off = RoutingContext {
            is_in_contact: false,
            ..moment(DAY + number * 5, number)
        };
        assert_eq!(rollout.versions(&cut_off), VersionFilter::Without("v2"));
    }
}

/// Guards against a version that fails only under load and is judged good.
///
/// If its few requests were spread over all of its upstreams, none of them would be under load.
#[test]
fn observed_upstreams_receive_their_eventual_load() {
    let mut rollouts = Rollouts::default();
    rollouts.add_order(order(7), DAY);
    let rollout = rollouts.get_mut("pool").expect("it is ordered");
    let mut rng = SmallRng::seed_from_u64(3);
    // 100 requests a second over eight upstreams are 12.5 for each.
    let mut requests_in_waves = 0;
    for step in 0..2_000 {
        let day_ms = DAY + step * 10;
        let at = moment(day_ms, rng.random());
        if let VersionFilter::Few { most, .. } = rollout.versions(&at) {
            assert_eq!(most, 1);
            requests_in_waves += u32::from((day_ms / 1_000).is_multiple_of(4) && step >= 400);
        }
    }
    let waves = 4.0;
    let per_s = f64::from(requests_in_waves) / waves;
    assert!(per_s >= 10.0, "{per_s} in the first second of a wave");
}

#[test]
fn older_orders_and_decisions_are_ignored() {
    let mut rollouts = Rollouts::default();
    assert!(rollouts.add_order(order(7), DAY));
    assert!(
        !rollouts.add_order(order(7), DAY + 9),
        "the order is a duplicate"
    );
    let decided = |order, stage| Decision {
        pool: tag("pool"),
        order,
        stage,
        began_day_ms: DAY,
        since_day_ms: DAY,
    };
    assert!(rollouts.apply_decision(&decided(at(7), Stage::RolledBack)));
    assert!(
        !rollouts.apply_decision(&decided(at(7), Stage::Succeeded)),
        "the roll-out has ended"
    );
    assert!(
        !rollouts.apply_decision(&decided(at(3), Stage::Succeeded)),
        "the decision is for another order"
    );
    assert!(
        rollouts.add_order(order(20), DAY + 99),
        "a newer order starts a roll-out"
    );
    assert!(rollouts.is_running("pool"));
    assert!(
        !rollouts.add_order(order(7), DAY + 100),
        "the order is superseded"
    );
}

#[test]
fn late_starting_node_follows_the_status_that_operators_were_sent() {
    for (stage, versions) in [
        (Stage::Succeeded, VersionFilter::Only("v2")),
        (Stage::RolledBack, VersionFilter::Without("v2")),
    ] {
        let mut rollouts = Rollouts::default();
        rollouts.record_end("pool", 7, stage);
        rollouts.add_order(order(7), DAY);
        let rollout = rollouts.get_mut("pool").expect("it is ordered");
        assert_eq!(rollout.versions(&moment(DAY, 1)), versions);
    }
}

#[test]
fn running_target_succeeds_and_missing_target_is_rolled_back() {
    let rollout = Rollout::new(order(7), DAY);
    assert_eq!(
        rollout.next_stage(standing(0, 8), DAY),
        Some(Stage::Succeeded)
    );
    let late_day_ms = DAY + DURATION_MS * 7 / 10;
    assert_eq!(
        rollout.next_stage(standing(8, 0), late_day_ms),
        Some(Stage::RolledBack)
    );
}

/// Guards against a pool that serves no requests although upstreams are available.
///
/// After a successful roll-out, the pool's upstreams are replaced by upstreams of a third version
/// without an order. The version of the last roll-out must not stay the only one allowed.
#[test]
fn successful_roll_out_stops_restricting_versions() {
    let mut rollouts = Rollouts::default();
    rollouts.record_end("pool", 7, Stage::Succeeded);
    rollouts.add_order(order(7), DAY);
    let rollout = rollouts.get_mut("pool").expect("it is ordered");
    let none_left = RoutingContext {
        standing: standing(8, 0),
        ..moment(DAY, 1)
    };
    assert_eq!(rollout.versions(&none_left), VersionFilter::Any);
    let later = moment(DAY + STOPPED_UPSTREAM_TTL_MS, 1);
    assert_eq!(rollout.versions(&later), VersionFilter::Any);
}

/// Guards against a bad version that receives requests again because its order is written again
/// after the store was restored from a copy.
#[test]
fn order_restored_in_a_later_era_does_not_restart() {
    let mut rollouts = Rollouts::default();
    rollouts.add_order(order(7), DAY);
    let decided = Decision {
        pool: tag("pool"),
        order: at(7),
        stage: Stage::RolledBack,
        began_day_ms: DAY,
        since_day_ms: DAY,
    };
    rollouts.apply_decision(&decided);
    let again = Order {
        place: LogPosition { era: 1, offset: 3 },
        ..order(7)
    };
    assert!(!rollouts.add_order(again.clone(), DAY + 50));
    let rollout = rollouts.get_mut("pool").expect("the roll-out is known");
    assert_eq!(
        rollout.versions(&moment(DAY + 50, 1)),
        VersionFilter::Without("v2")
    );
    assert_eq!(
        rollout.decided.order, again.place,
        "the decision has the new position"
    );
    let another = Order {
        place: LogPosition { era: 1, offset: 9 },
        ..order(7)
    };
    assert!(
        rollouts.add_order(another, DAY + 99),
        "a further order starts a roll-out"
    );
}

/// Guards against begun streams that cross versions, or go to a version that was found bad or has stopped.
#[test]
fn begun_stream_goes_on_at_its_version_until_that_is_rejected_or_stopped() {
    let [old, new] = ["v1", "v2"].map(VersionTag::of);
    let admits = |stage: Stage, version, since_ms| {
        let mut rollout = Rollout::new(order(7), DAY);
        rollout.decided.stage = stage;
        rollout.admits_resumption(version, DAY + since_ms)
    };
    for stage in [Stage::Observing, Stage::Moving] {
        assert!(admits(stage, old, 0));
        assert!(admits(stage, new, 0));
    }
    assert!(admits(Stage::RolledBack, old, 0));
    assert!(!admits(Stage::RolledBack, new, 0));
    assert!(admits(Stage::Succeeded, new, 0));
    assert!(!admits(Stage::Succeeded, old, 0));
    assert!(admits(Stage::Succeeded, old, STOPPED_UPSTREAM_TTL_MS));
}

/// Guards against streams that go on at the new version beside its share of the requests.
#[test]
fn begun_streams_at_the_new_version_are_counted_as_its_requests() {
    let mut rollout = Rollout::new(order(7), DAY);
    for _stream in 0..10 {
        assert!(rollout.admits_resumption(VersionTag::of("v2"), DAY));
    }
    let share = canary_share(&moment(DAY, 0));
    let requests = (0..100_u64).filter(|number| {
        let versions = rollout.versions(&moment(DAY, *number));
        matches!(versions, VersionFilter::Few { .. })
    });
    assert_eq!(
        requests.count(),
        0,
        "{share} of 100 requests are fewer than ten"
    );
}

/// Guards against a bad version that gets streams until the duty holder has decided.
#[test]
fn begun_stream_does_not_go_on_at_a_version_whose_answers_are_bad() {
    let mut rollout = Rollout::new(order(7), DAY);
    for is_new in [false, true] {
        for _answer in 0..200 {
            rollout.record(&Answer {
                route: ROUTE,
                is_new,
                took_ms: (!is_new).then_some(10),
                expected_ms: 10.0,
            });
        }
    }
    assert!(!rollout.admits_resumption(VersionTag::of("v2"), DAY));
    assert!(rollout.admits_resumption(VersionTag::of("v1"), DAY));
}
