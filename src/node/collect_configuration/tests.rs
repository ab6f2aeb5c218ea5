use std::collections::BTreeSet;

use super::*;
use crate::membership::{MemberLoad, MemberState};

fn member(number: u64) -> Member {
    let address = ([127, 0, 0, 1], 1).into();
    Member {
        incarnation: Incarnation(number),
        name: format!("entry-{number}"),
        caller_address: address,
        peer_address: address,
        heartbeat_address: address,
        domain_name: "d".to_owned(),
        region: "r".to_owned(),
        state: MemberState::Alive,
        load: MemberLoad::default(),
        version: 0,
    }
}

fn others(own: u64, nodes: u64) -> Vec<Member> {
    (0..nodes)
        .filter(|number| *number != own)
        .map(member)
        .collect()
}

#[test]
fn a_small_fleet_is_told_whole() {
    assert_eq!(chosen(Incarnation(0), 7, others(0, 9)).len(), 8);
}

#[test]
fn a_revision_handed_to_three_reaches_a_large_fleet() {
    // Symptom: a change takes the whole fleet's links, or does not reach part of it.
    // Sequence: one node reads the change from the log; each that learns of it hands it on once.
    // Cause: all told by all, or all handing on to the same few.
    let nodes = 340;
    let mut known = BTreeSet::from([0]);
    let mut newest = vec![0];
    let mut rounds = 0;
    while !newest.is_empty() && rounds < 20 {
        rounds += 1;
        let told = newest
            .iter()
            .flat_map(|own| chosen(Incarnation(*own), 7, others(*own, nodes)));
        let told: BTreeSet<_> = told.map(|member| member.incarnation.0).collect();
        newest = told
            .into_iter()
            .filter(|number| known.insert(*number))
            .collect();
    }
    // The few that are missed ask a peer within two seconds.
    assert!(
        known.len() > 300,
        "{} of {nodes} after {rounds} rounds",
        known.len()
    );
}
