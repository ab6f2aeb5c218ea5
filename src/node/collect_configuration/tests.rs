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
fn small_fleet_is_pushed_to_completely() {
    assert_eq!(push_targets(Incarnation(0), 7, others(0, 9)).len(), 8);
}

#[test]
fn revision_pushed_to_three_peers_reaches_a_large_fleet() {
    // Guards against pushes that load all links of the fleet or miss a part of it: one node reads
    // the change from the log, and each node that receives it pushes it once.
    let nodes = 340;
    let mut known = BTreeSet::from([0]);
    let mut newest = vec![0];
    let mut rounds = 0;
    while !newest.is_empty() && rounds < 20 {
        rounds += 1;
        let targets = newest
            .iter()
            .flat_map(|own| push_targets(Incarnation(*own), 7, others(*own, nodes)));
        let targets: BTreeSet<_> = targets.map(|member| member.incarnation.0).collect();
        newest = targets
            .into_iter()
            .filter(|number| known.insert(*number))
            .collect();
    }
    // The few nodes that were missed poll a peer within two seconds.
    assert!(
        known.len() > 300,
        "{} of {nodes} after {rounds} rounds",
        known.len()
    );
}
