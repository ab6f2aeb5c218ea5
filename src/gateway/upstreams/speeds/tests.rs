//! Plays the requests of whole fleets and what their nodes state of the speed of engines, without a
//! network.

mod fleet;

use self::fleet::{Fleet, Load};
use super::*;
use crate::gateway::messages::{GroupSpeeds, Message};
use crate::gateway::upstreams::tests::announced;
use crate::gateway::upstreams::{Change, UpstreamTable, tag};
use crate::time::TimeMs;

/// Time factors of two clusters of engines and some between them.
const FACTORS: [f64; 10] = [0.4, 0.42, 0.46, 0.55, 0.7, 0.8, 1.0, 1.2, 1.6, 2.0];

/// Rate at which one engine gets requests from all nodes.
const ENGINE_REQUESTS_PER_S: f64 = 3.0;

/// Time in which each engine gets a hundred requests.
const HUNDRED_REQUESTS_MS: u64 = 34_000;

/// The load of a busy pool: 40 engines, 77 nodes of which none sees an engine more than once in 25 s.
fn busy_pool(nodes: usize, lost_share: f64) -> Load {
    Load {
        nodes,
        engines: 40,
        requests_per_s: 40.0 * ENGINE_REQUESTS_PER_S,
        lost_share,
    }
}

/// Returns how many of ten engines have a median of measured by expected time from 0.8 to 1.25.
fn predicted_of_ten(fleet: &mut Fleet) -> usize {
    fleet.measured.clear();
    fleet.run(HUNDRED_REQUESTS_MS);
    let predicted = (0..fleet.load.engines)
        .filter(|engine| (0.8..=1.25).contains(&fleet.median_ratio(*engine)))
        .count();
    predicted * 10 / fleet.load.engines
}

#[test]
fn first_tokens_of_77_nodes_are_predicted_for_each_engine_after_100_requests() {
    let mut fleet = Fleet::start(busy_pool(77, 0.0), &FACTORS);
    fleet.run(HUNDRED_REQUESTS_MS);
    assert!(predicted_of_ten(&mut fleet) >= 9);
}

/// Guards against a lossy network that leaves nodes without the sums of others.
#[test]
fn engines_are_predicted_although_a_fifth_of_the_statements_are_lost() {
    let mut fleet = Fleet::start(busy_pool(77, 0.2), &FACTORS);
    fleet.run(HUNDRED_REQUESTS_MS);
    assert!(predicted_of_ten(&mut fleet) >= 9);
}

/// Guards against the pool's model following the factors, and they it: after minutes it is still that
/// of the mean engine.
#[test]
fn model_of_the_pool_stays_the_mean_engine() {
    let mut fleet = Fleet::start(busy_pool(9, 0.0), &FACTORS);
    fleet.run(6 * HUNDRED_REQUESTS_MS);
    for model in &fleet.models {
        let read_tokens_per_ms = model.pace().read_tokens_per_ms;
        let ratio = read_tokens_per_ms / fleet::READ_TOKENS_PER_MS;
        assert!((0.8..1.25).contains(&ratio), "{read_tokens_per_ms}");
    }
}

#[test]
fn single_node_and_single_group_predict_each_engine() {
    for nodes in [1, 9] {
        let mut fleet = Fleet::start(busy_pool(nodes, 0.0), &FACTORS);
        fleet.run(HUNDRED_REQUESTS_MS);
        assert!(predicted_of_ten(&mut fleet) >= 9, "{nodes} nodes");
    }
}

/// Guards against a spell of half a second being taken for the speed of an engine.
#[test]
fn spell_of_600_ms_leaves_the_factor_within_a_tenth() {
    let mut fleet = Fleet::start(busy_pool(77, 0.0), &[1.0]);
    fleet.run(HUNDRED_REQUESTS_MS);
    let before = fleet.factors(0);
    fleet.slow_down_by = 2.5;
    fleet.run(600);
    fleet.slow_down_by = 1.0;
    fleet.run(3_000);
    for (before, after) in before.iter().zip(fleet.factors(0)) {
        assert!((after / before - 1.0).abs() < 0.1, "{before} to {after}");
    }
}

/// Guards against engines of one speed being told apart by chance.
#[test]
fn equal_engines_have_nearly_equal_factors() {
    let mut fleet = Fleet::start(busy_pool(77, 0.0), &[1.0]);
    fleet.run(2 * HUNDRED_REQUESTS_MS);
    for engine in 0..fleet.load.engines {
        for factor in fleet.factors(engine) {
            assert!((0.85..1.15).contains(&factor), "engine {engine}: {factor}");
        }
    }
}

/// Guards against a restarted engine inheriting the speed of its former start, on other hardware.
#[test]
fn restarted_engine_starts_at_the_pace_of_its_pool() {
    let mut fleet = Fleet::start(busy_pool(9, 0.0), &FACTORS);
    fleet.run(HUNDRED_REQUESTS_MS);
    let table = &mut fleet.tables[0];
    let factor = |table: &UpstreamTable| {
        let key = table.find("e9").expect("engine is known");
        table.get(key).expect("engine is known").speed.factor()
    };
    assert!(factor(table) > 1.6);
    let mut restarted = announced("e9", "engines", "d");
    restarted.born_ms = Some(5);
    table.apply(Change::Present(restarted), false, TimeMs(1));
    assert!((factor(table) - 1.0).abs() < f64::EPSILON);
}

/// Guards against statements that grow with the nodes or the engines: 985 nodes before 3,000 engines
/// of which all have news, as after a change of the speaker.
#[test]
fn statements_of_985_nodes_before_3000_engines_are_bounded() {
    let mut table = UpstreamTable::default();
    for place in 0..3_000 {
        let engine = announced(&format!("e{place}"), "engines", "d");
        let key = table.apply(Change::Present(engine), false, TimeMs(1));
        let engine = key.and_then(|key| table.get_mut(key));
        engine.expect("engine is new").speed.record(100.0, 120.0);
    }
    let group: Vec<u64> = (0..32).collect();
    let rows = table.take_speed_rows(Scope::Group, &group);
    assert_eq!(rows.len(), MAX_ROWS);
    let stated = GroupSpeeds {
        speaker: u64::MAX,
        sequence: u64::MAX,
        rows,
    };
    let message = Message::Forward(Box::new(Message::GroupSpeeds(stated)));
    let encoded = bincode::encode_to_vec(&message, bincode::config::standard());
    let bytes = encoded.expect("message can be encoded").len();
    assert!(bytes <= 3_000, "{bytes} bytes");
    let next = table.take_speed_rows(Scope::Group, &group);
    assert!(next.iter().all(|row| {
        let Message::Forward(sent) = &message else {
            return false;
        };
        matches!(&**sent, Message::GroupSpeeds(sent) if !sent.rows.contains(row))
    }));
}

/// Guards against bytes that grow with nodes times engines, at the load of a fleet of 985 nodes and
/// at twice its size: a node receives less than 100 kB/s, a twenty-fifth of the smallest link.
///
/// One group is played with its share of the load; the others state as much.
#[test]
fn bytes_of_large_fleets_are_bounded() {
    for (nodes, groups) in [(77, 3), (985, 41), (1_970, 82)] {
        let members = nodes / groups;
        let load = Load {
            nodes: members,
            engines: nodes * 3,
            requests_per_s: 0.57 * num::to_f64(members as u64),
            lost_share: 0.0,
        };
        let mut fleet = Fleet::start(load, &FACTORS);
        fleet.teach_models();
        fleet.run(20_000);
        fleet.received_bytes = 0;
        fleet.stated_bytes = 0;
        fleet.run(10_000);
        let bytes_per_s = (fleet.received_bytes + fleet.stated_bytes * (groups - 1)) / 10;
        println!("{nodes} nodes: {bytes_per_s} bytes/s at a node");
        assert!(fleet.stated_bytes > 0);
        assert!(bytes_per_s < 100_000, "{nodes} nodes: {bytes_per_s}");
    }
}

/// Guards against warnings of faulty peers about rows of sound ones without requests: of an expected
/// time out of bounds, or of a mate that is in another group now.
#[test]
fn rows_without_requests_are_not_stated() {
    let mut table = UpstreamTable::default();
    let engine = announced("e", "engines", "d");
    let row = SpeedRow {
        upstream: engine.tag(),
        weight: 50.0,
        expected_ms: 5_000.0,
        took_ms: 9_000.0,
    };
    let key = table.apply(Change::Present(engine), false, TimeMs(1));
    let engine = key.and_then(|key| table.get_mut(key));
    engine.expect("engine is new").speed.record(1.0e9, 1.0e9);
    let mate = Sender {
        incarnation: 2,
        scope: Scope::Node,
        sequence: 1,
        group: &[1, 2],
    };
    assert_eq!(table.apply_speed_rows(&mate, &[row]), 0);
    assert_eq!(table.take_speed_rows(Scope::Node, &[]), []);
    assert_eq!(table.take_speed_rows(Scope::Group, &[1]), []);
}

#[test]
fn absurd_rows_are_dropped_and_unknown_engines_ignored() {
    let mut table = UpstreamTable::default();
    let engine = announced("e", "engines", "d");
    let known = engine.tag();
    table.apply(Change::Present(engine), false, TimeMs(1));
    let row = |upstream, took_ms| SpeedRow {
        upstream,
        weight: 50.0,
        expected_ms: 5_000.0,
        took_ms,
    };
    let sender = Sender {
        incarnation: 1,
        scope: Scope::Node,
        sequence: 1,
        group: &[1],
    };
    let rows = [
        row(known, f32::NAN),
        row(tag("other"), 9_000.0),
        row(known, 9_000.0),
    ];
    assert_eq!(table.apply_speed_rows(&sender, &rows), 1);
    let key = table.find("e").expect("engine is known");
    let factor = table.get(key).expect("engine is known").speed.factor();
    assert!((1.5..1.8).contains(&factor), "{factor}");
}
