use std::sync::Arc;

use super::*;
use crate::gateway::peers::tests::{heartbeat, member};
use crate::gateway::upstreams::tests::announced;
use crate::gateway::upstreams::{Change, UpstreamTable};

const NOW: TimeMs = TimeMs(10_000);

/// Nodes of each of the two groups, in failure domains of their own.
const GROUP_NODES: u64 = 20;

/// A node with one upstream and the members of two groups; its own group has even incarnations.
fn node() -> Arc<Gateway> {
    let text = r#"{
        "node": "a", "ip": "127.0.0.1", "zone": "d", "region": "r", "portRange": [7000, 7015],
        "listen": {"front": "127.0.0.1:1", "readiness": "127.0.0.1:2", "directory": "127.0.0.1:3"},
        "platform": {"address": "127.0.0.1:4"}
    }"#;
    let settings = crate::platform::settings::parse(text).expect("the settings are valid");
    let node = Gateway::new(settings, 0).0;
    for incarnation in 1..2 * GROUP_NODES {
        let mut mate = member(&format!("n{incarnation}"), incarnation);
        if incarnation % 2 == 1 {
            "other".clone_into(&mut mate.failure_domain);
        }
        node.peers.lock().add_member(mate, NOW);
    }
    let engine = announced("e", "engines", "d");
    (node.upstreams.lock()).apply(Change::Present(engine), false, NOW);
    node
}

fn row() -> SpeedRow {
    SpeedRow {
        upstream: announced("e", "engines", "d").tag(),
        weight: 100.0,
        expected_ms: 10_000.0,
        took_ms: 20_000.0,
    }
}

fn factor(table: &UpstreamTable) -> f64 {
    let key = table.find("e").expect("the upstream is known");
    let upstream = table.get(key).expect("the upstream is known");
    upstream.speed.factor()
}

fn group_speeds(speaker: u64) -> GroupSpeeds {
    GroupSpeeds {
        speaker,
        sequence: 1,
        rows: vec![row()],
    }
}

#[test]
fn speeds_of_another_group_are_used() {
    let node = node();
    apply_of_group(&node, &group_speeds(3));
    assert!(factor(&node.upstreams.lock()) > 1.8);
}

/// Guards against counting the requests of this node's group twice, from its nodes and its speaker.
#[test]
fn speeds_of_the_own_group_are_left_to_its_nodes() {
    let node = node();
    apply_of_group(&node, &group_speeds(2));
    assert!((factor(&node.upstreams.lock()) - 1.0).abs() < f64::EPSILON);
}

/// Guards against senders that are no members filling the table.
#[test]
fn speeds_of_an_unknown_node_are_ignored() {
    let node = node();
    apply_of_group(&node, &group_speeds(999));
    assert!((factor(&node.upstreams.lock()) - 1.0).abs() < f64::EPSILON);
}

/// Guards against counting a group's requests twice, from its speaker and from that speaker before it
/// restarted.
#[test]
fn speeds_of_a_speaker_that_restarted_are_dropped() {
    let node = node();
    apply_of_group(&node, &group_speeds(3));
    age(&node, 2_000);
    assert!(factor(&node.upstreams.lock()) > 1.8);
    let mut restarted = heartbeat("n3", 0);
    restarted.member = member("n3", 1_003);
    restarted.status.incarnation = 1_003;
    node.peers.lock().record_heartbeat(&restarted, NOW);
    age(&node, 2_000);
    assert!((factor(&node.upstreams.lock()) - 1.0).abs() < f64::EPSILON);
}

#[test]
fn speeds_in_a_heartbeat_are_used() {
    let node = node();
    let mut stated = heartbeat("n2", 0);
    stated.status.incarnation = 2;
    stated.speeds = vec![row()];
    apply_own(&node, &stated);
    assert!(factor(&node.upstreams.lock()) > 1.8);
}

/// Guards against a later field of the heartbeat or the last kind of message being lost on the wire.
#[test]
fn speeds_survive_their_encoding() {
    let mut stated = heartbeat("n2", 0);
    stated.speeds = vec![row()];
    let messages = [
        Message::Heartbeat(Box::new(stated)),
        Message::Forward(Box::new(Message::GroupSpeeds(group_speeds(3)))),
    ];
    for message in messages {
        let config = bincode::config::standard();
        let encoded = bincode::encode_to_vec(&message, config).expect("message can be encoded");
        let decoded = bincode::decode_from_slice::<Message, _>(&encoded, config);
        assert_eq!(decoded.expect("message can be decoded").0, message);
    }
}
