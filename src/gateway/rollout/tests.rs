use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::super::rollouts::Rollouts;
use super::*;
use crate::gateway::place::tests::at;

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

fn moment(day_ms: u64, draw: u64) -> Moment {
    Moment {
        exposure_share: SHARE,
        is_in_touch: true,
        standing: standing(8, 8),
        day_ms,
        draw,
        is_first: true,
    }
}

/// What a fleet of nodes with a bad or a good version does, without a network.
struct Played {
    requests: u32,
    exposed: u32,
    /// When the holder decided to roll back or to stop the old version.
    ended_ms: Option<u64>,
    stage: Stage,
    /// Requests that were sent to the new version later than 5 s after its 50th bad answer.
    late: u32,
    /// Most requests of one second that one of the new version's upstreams got.
    busiest: u32,
}

/// Plays a roll-out on `nodes` nodes that together get `per_s` requests a second; news takes
/// `news_ms`, and what is decided as long again.
fn play(nodes: usize, per_s: u64, news_ms: u64, bad_from_ms: u64, bad: f64, seed: u64) -> Played {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut fleet: Vec<Rollouts> = (0..nodes).map(|_node| Rollouts::default()).collect();
    for node in &mut fleet {
        node.order(order(7), DAY);
    }
    let mut played = Played {
        requests: 0,
        exposed: 0,
        ended_ms: None,
        stage: Stage::Observing,
        late: 0,
        busiest: 0,
    };
    let mut told: Vec<(u64, usize, Vec<Observed>)> = Vec::new();
    let mut decided: Vec<(u64, Decided)> = Vec::new();
    let (mut bad_answers, mut fiftieth_ms) = (0, None);
    let mut of_second = 0;
    for step in 0..(DURATION_MS * per_s / 1_000) {
        let passed_ms = step * 1_000 / per_s;
        let day_ms = DAY + passed_ms;
        if passed_ms % 1_000 < 1_000 / per_s.max(1) {
            of_second = 0;
        }
        while told
            .first()
            .is_some_and(|(at, _node, _observed)| *at <= passed_ms)
        {
            let (_at, from, observed) = told.remove(0);
            for (place, node) in fleet.iter_mut().enumerate() {
                if place != from {
                    node.note_observed(from as u64, observed.clone());
                }
            }
        }
        while decided
            .first()
            .is_some_and(|(at, _decided)| *at <= passed_ms)
        {
            let (_at, decision) = decided.remove(0);
            for node in &mut fleet {
                node.note_decided(&decision);
            }
        }
        let node = rng.random_range(0..nodes);
        played.requests += 1;
        let draw = rng.random();
        let rollout = fleet[node].of_mut("pool").expect("it is ordered");
        let versions = rollout.versions(&moment(day_ms, draw));
        let is_new = matches!(versions, Versions::Only(_) | Versions::Few { .. });
        let is_bad = is_new && passed_ms >= bad_from_ms && rng.random_bool(bad);
        if is_new {
            played.exposed += 1;
            of_second += 1;
            played.busiest = played.busiest.max(of_second);
            played.late += u32::from(fiftieth_ms.is_some_and(|at: u64| passed_ms > at + 5_000));
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
        let is_urgent = rollout.note(&answer);
        if is_urgent || rng.random_range(0..8) == 0 {
            told.push((passed_ms + news_ms, node, fleet[node].observed(None)));
        }
        if step % (per_s / 4).max(1) == 0 {
            let holder = fleet[0].of_mut("pool").expect("it is ordered");
            let standing = standing(8, 8);
            if let Some(stage) = holder.next_stage(standing, day_ms) {
                let decision = Decided {
                    stage,
                    since_day_ms: day_ms,
                    ..holder.decided
                };
                fleet[0].note_decided(&decision);
                decided.push((passed_ms + news_ms, decision));
                played.stage = stage;
                if stage.is_end() {
                    played.ended_ms = Some(passed_ms);
                }
            }
        }
    }
    played
}

/// Symptom: a version that fails gets half of a pool's requests at once.
/// Sequence: its upstreams are started beside the old ones and take work like any others.
/// Cause: nothing told versions apart.
#[test]
fn a_bad_version_gets_no_more_than_its_part_however_late_news_is() {
    for (nodes, news_ms) in [(1, 0), (9, 300), (60, 800), (195, 2_500)] {
        for bad in [0.2, 0.5, 1.0] {
            for seed in 0..5 {
                let played = play(nodes, 300, news_ms, 0, bad, seed);
                let allowed = f64::from(played.requests) * SHARE + 50.0;
                assert!(f64::from(played.exposed) <= allowed, "{nodes} nodes, {bad}");
                assert_eq!(
                    played.stage,
                    Stage::RolledBack,
                    "{nodes} nodes, {bad}, {seed}"
                );
                assert_eq!(played.late, 0, "{nodes} nodes, {bad}, {seed}");
            }
        }
    }
}

#[test]
fn a_version_that_turns_bad_late_is_rolled_back() {
    for bad_from_ms in [3_000, 6_000, 8_000] {
        for seed in 0..10 {
            let played = play(60, 300, 500, bad_from_ms, 0.6, seed);
            let allowed = f64::from(played.requests) * SHARE + 50.0;
            assert_eq!(played.stage, Stage::RolledBack, "{bad_from_ms} {seed}");
            assert!(f64::from(played.exposed) <= allowed, "{bad_from_ms} {seed}");
        }
    }
}

#[test]
fn a_good_version_takes_over_in_time() {
    for nodes in [1, 9, 60, 195] {
        for seed in 0..10 {
            let played = play(nodes, 300, 500, 0, 0.0, seed);
            assert_eq!(played.stage, Stage::Succeeded, "{nodes} {seed}");
            let ended_ms = played.ended_ms.expect("it ended");
            assert!(ended_ms < DURATION_MS * 95 / 100, "{ended_ms}");
        }
    }
}

#[test]
fn a_node_that_hears_nobody_sends_the_new_version_nothing() {
    let mut rollouts = Rollouts::default();
    rollouts.order(order(7), DAY);
    let rollout = rollouts.of_mut("pool").expect("it is ordered");
    for number in 0..2_000 {
        let cut_off = Moment {
            is_in_touch: false,
            ..moment(DAY + number * 5, number)
        };
        assert_eq!(rollout.versions(&cut_off), Versions::Without("v2"));
    }
}

/// Symptom: a version that fails under load only is called good.
/// Cause: what it got was spread over all of its upstreams, which had nothing to do.
#[test]
fn the_few_upstreams_that_are_tried_bear_what_they_will_have_to() {
    let mut rollouts = Rollouts::default();
    rollouts.order(order(7), DAY);
    let rollout = rollouts.of_mut("pool").expect("it is ordered");
    let mut rng = SmallRng::seed_from_u64(3);
    // 100 requests a second over eight upstreams are 12.5 for each.
    let mut of_wave = 0;
    for step in 0..2_000 {
        let day_ms = DAY + step * 10;
        let at = moment(day_ms, rng.random());
        if let Versions::Few { most, .. } = rollout.versions(&at) {
            assert_eq!(most, 1);
            of_wave += u32::from((day_ms / 1_000).is_multiple_of(4) && step >= 400);
        }
    }
    let waves = 4.0;
    let per_s = f64::from(of_wave) / waves;
    assert!(per_s >= 10.0, "{per_s} in the first second of a wave");
}

#[test]
fn orders_and_decisions_of_before_change_nothing() {
    let mut rollouts = Rollouts::default();
    assert!(rollouts.order(order(7), DAY));
    assert!(!rollouts.order(order(7), DAY + 9), "told twice");
    let decided = |order, stage| Decided {
        pool: tag("pool"),
        order,
        stage,
        began_day_ms: DAY,
        since_day_ms: DAY,
    };
    assert!(rollouts.note_decided(&decided(at(7), Stage::RolledBack)));
    assert!(
        !rollouts.note_decided(&decided(at(7), Stage::Succeeded)),
        "it has ended"
    );
    assert!(
        !rollouts.note_decided(&decided(at(3), Stage::Succeeded)),
        "another order"
    );
    assert!(rollouts.order(order(20), DAY + 99), "it begins anew");
    assert!(rollouts.is_running("pool"));
    assert!(!rollouts.order(order(7), DAY + 100), "superseded");
}

#[test]
fn a_node_that_starts_later_goes_by_what_the_operators_were_told() {
    for (stage, versions) in [
        (Stage::Succeeded, Versions::Only("v2")),
        (Stage::RolledBack, Versions::Without("v2")),
    ] {
        let mut rollouts = Rollouts::default();
        rollouts.note_ended("pool", 7, stage);
        rollouts.order(order(7), DAY);
        let rollout = rollouts.of_mut("pool").expect("it is ordered");
        assert_eq!(rollout.versions(&moment(DAY, 1)), versions);
    }
}

#[test]
fn a_target_that_runs_already_has_succeeded_and_one_that_never_comes_is_rolled_back() {
    let rollout = Rollout::new(order(7), DAY);
    assert_eq!(
        rollout.next_stage(standing(0, 8), DAY),
        Some(Stage::Succeeded)
    );
    let late = DAY + DURATION_MS * 7 / 10;
    assert_eq!(
        rollout.next_stage(standing(8, 0), late),
        Some(Stage::RolledBack)
    );
}

/// Symptom: nothing is served although upstreams stand.
/// Sequence: a roll-out succeeds; later the pool's upstreams are replaced by ones of a third version,
/// without an order.
/// Cause: only the version of the last roll-out was used, for good.
#[test]
fn a_roll_out_that_has_succeeded_binds_nobody_for_good() {
    let mut rollouts = Rollouts::default();
    rollouts.note_ended("pool", 7, Stage::Succeeded);
    rollouts.order(order(7), DAY);
    let rollout = rollouts.of_mut("pool").expect("it is ordered");
    let none_left = Moment {
        standing: standing(8, 0),
        ..moment(DAY, 1)
    };
    assert_eq!(rollout.versions(&none_left), Versions::Any);
    let later = moment(DAY + STOPPED_MS, 1);
    assert_eq!(rollout.versions(&later), Versions::Any);
}

/// A version that was found bad gets requests again: its order is written again after the store came back from a copy.
#[test]
fn an_order_that_is_written_again_in_a_later_era_does_not_begin_anew() {
    let mut rollouts = Rollouts::default();
    rollouts.order(order(7), DAY);
    let decided = Decided {
        pool: tag("pool"),
        order: at(7),
        stage: Stage::RolledBack,
        began_day_ms: DAY,
        since_day_ms: DAY,
    };
    rollouts.note_decided(&decided);
    let again = Order {
        place: Place { era: 1, offset: 3 },
        ..order(7)
    };
    assert!(!rollouts.order(again.clone(), DAY + 50));
    let rollout = rollouts.of_mut("pool").expect("it is known");
    assert_eq!(
        rollout.versions(&moment(DAY + 50, 1)),
        Versions::Without("v2")
    );
    assert_eq!(
        rollout.decided.order, again.place,
        "told under its new place"
    );
    let another = Order {
        place: Place { era: 1, offset: 9 },
        ..order(7)
    };
    assert!(rollouts.order(another, DAY + 99), "it is ordered once more");
}
