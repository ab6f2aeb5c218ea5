//! Membership of a small fleet under packet loss, pauses, partitions, leaves and restarts.

use rand::SeedableRng;
use rand::rngs::SmallRng;
use teaselline::membership::{Event, MemberLoad, MemberState};
use teaselline::time::TimeMs;

use super::network::Network;

/// Returns a network of nine nodes in four failure domains after they have agreed on membership.
fn fleet(seed: u64) -> Network {
    let mut network = Network::of(seed, 9, 4);
    network.run_until(5_000, Network::agrees);
    network
}

#[test]
fn crashed_node_is_suspected_and_later_removed() {
    // Guards against sending callers to a crashed node: the process ends without a leave message,
    // and no node detects its missing heartbeats.
    for seed in 0..20 {
        let mut network = fleet(seed);
        network.kill(4);
        let others: Vec<usize> = network.running().collect();
        let suspected_ms = network.run_until(2_000, |network| {
            others
                .iter()
                .all(|other| network.sees(*other, 4, MemberState::Suspected))
        });
        assert!(
            suspected_ms <= 1_600,
            "suspected after {suspected_ms} ms with seed {seed}"
        );
        network.run(31_000);
        assert!(
            others
                .iter()
                .all(|other| network.sees(*other, 4, MemberState::Gone))
        );
        assert!(network.agrees());
    }
}

#[test]
fn packet_loss_and_delay_cause_no_suspicion() {
    for seed in 0..10 {
        let mut network = fleet(seed);
        network.loss = 0.05;
        network.delay_ms = (1, 150);
        let start = network.now;
        network.run(60_000);
        assert_eq!(network.suspicions(start, |_| true), 0, "seed {seed}");
    }
}

#[test]
fn resumed_node_suspects_no_other_node() {
    // Guards against a brief suspicion of all nodes after a pause of one: the first tick of the
    // resumed node comes before it has read its socket, and it takes the time of its own pause for
    // missing heartbeats of the others.
    for seed in 0..4 {
        for pause_ms in [500, 1_300, 10_000, 60_000] {
            let mut network = fleet(seed);
            network.pause(4, pause_ms);
            network.run(pause_ms + 20_000);
            let events = &network.nodes[4].events;
            let suspected = events
                .iter()
                .filter(|(_, event)| matches!(event, Event::Suspected(_)))
                .count();
            assert_eq!(suspected, 0, "seed {seed}, {pause_ms} ms");
            assert!(
                network.agrees(),
                "seed {seed}, {pause_ms} ms: the views differ"
            );
        }
    }
}

#[test]
fn nodes_with_one_broken_link_are_not_suspected() {
    // Guards against repeated suspicion of a node that all nodes but one reach: one link between two
    // nodes drops all packets, in one direction or both, and the watcher suspects its peer without
    // an indirect probe through other nodes.
    for both in [false, true] {
        let mut network = fleet(3);
        let (a, b) = (network.nodes[4].address, network.nodes[0].address);
        network.cut = vec![(a, b)];
        network.cut.extend(both.then_some((b, a)));
        let start = network.now;
        network.run(60_000);
        assert_eq!(
            network.suspicions(start, |_| true),
            0,
            "both directions: {both}"
        );
    }
}

#[test]
fn isolated_node_lists_all_nodes() {
    // Guards against an isolated node that returns an empty list, or only itself, to callers: the
    // network drops all its packets, and it suspects all others and omits them.
    let mut network = fleet(5);
    network.set_group(4, 1);
    network.run(5_000);
    let mut rng = SmallRng::seed_from_u64(1);
    let node = &network.nodes[4];
    assert!(node.view.is_isolated(network.now));
    let entries = node.view.entries(network.now, &mut rng, 20);
    assert_eq!(entries.len(), 9);
    assert_eq!(
        entries[8].incarnation, node.incarnation,
        "the isolated node is not the last entry"
    );
    let others = network.nodes[0].view.entries(network.now, &mut rng, 20);
    assert_eq!(others.len(), 8, "the other nodes list the isolated node");
}

#[test]
fn reconnected_node_spreads_no_suspicion() {
    // Guards against nodes that briefly omit each other from their lists: one node is cut off for a
    // second or two, suspects all others meanwhile, and spreads these suspicions once reconnected.
    for cut_ms in [1_300, 1_500, 1_700, 1_900, 2_300, 3_100, 20_000] {
        let mut network = fleet(6);
        network.set_group(4, 1);
        network.run(cut_ms);
        network.set_group(4, 0);
        let healed = network.now;
        network.run(10_000);
        assert!(network.agrees(), "cut off for {cut_ms} ms");
        let of_others = |event: &Event| *event != Event::Suspected(network.nodes[4].incarnation);
        assert_eq!(
            network.suspicions(healed, of_others),
            0,
            "cut off for {cut_ms} ms"
        );
    }
}

#[test]
fn partitions_merge_after_an_hour() {
    // Guards against regions that stay two fleets after a partition: it lasts until each side has
    // removed the other, then heals. No node sends to removed nodes, and the seeds of a node are on
    // its own side.
    let mut network = fleet(8);
    for index in 4..9 {
        network.set_group(index, 1);
    }
    for node in &mut network.nodes {
        node.view.set_seeds(Vec::new());
    }
    network.run(3_600_000);
    assert!(network.sees(0, 8, MemberState::Gone));
    for index in 4..9 {
        network.set_group(index, 0);
    }
    let healed_ms = network.run_until(30_000, Network::agrees);
    println!("{{\"healed_after_ms\":{healed_ms}}}");
}

#[test]
fn leave_and_end_propagate_immediately() {
    for seed in 0..10 {
        let mut network = fleet(seed);
        network.leave(2);
        network.run(10);
        for index in network.running().collect::<Vec<_>>() {
            assert!(network.sees(index, 2, MemberState::Leaving));
            let mut rng = SmallRng::seed_from_u64(seed);
            let entries = network.nodes[index].view.entries(network.now, &mut rng, 20);
            let leaving = network.nodes[2].incarnation;
            assert!(entries.iter().all(|entry| entry.incarnation != leaving));
        }
        network.run(5_000);
        assert!(
            network.sees(0, 2, MemberState::Leaving),
            "the draining node is not seen as leaving"
        );
        network.end(2);
        network.run(10);
        assert!(network.sees(0, 2, MemberState::Gone));
        assert_eq!(network.suspicions(TimeMs(0), |_| true), 0);
    }
}

#[test]
fn new_incarnation_replaces_the_old_one() {
    // Guards against requests that are sent for 30 s to an ended incarnation, at the address of its
    // successor: a process crashes and restarts at the same address, or on a new host under the same
    // name, and the old incarnation is only suspected instead of removed.
    for seed in 0..10 {
        for (number, address_number) in [(1, 1), (1, 20), (20, 1)] {
            let mut network = fleet(seed);
            network.kill(1);
            let new = network.start_at(number, address_number, 1);
            network.run(1_700);
            assert!(network.agrees(), "seed {seed}");
            for index in network.running().collect::<Vec<_>>() {
                assert!(network.sees(index, 1, MemberState::Gone), "seed {seed}");
                assert!(network.sees(index, new, MemberState::Alive));
            }
            network.run(40_000);
            assert!(network.agrees(), "the views differ again, seed {seed}");
        }
    }
}

#[test]
fn witnesses_are_live_and_in_other_domains() {
    let mut network = fleet(1);
    let view = &network.nodes[0].view;
    let home = network.nodes[3].incarnation;
    let mut chosen = Vec::new();
    for sequence in 0..64 {
        let witness = view.witness(home, sequence).unwrap();
        let witness = view.get(witness).unwrap();
        assert_ne!(witness.domain_name, view.get(home).unwrap().domain_name);
        chosen.push(witness.incarnation);
    }
    chosen.sort_unstable();
    chosen.dedup();
    assert!(
        chosen.len() > 1,
        "all copies of one home have the same witness"
    );
    let first = view.witness(home, 0).unwrap();
    let index = (0..9)
        .find(|index| network.nodes[*index].incarnation == first)
        .unwrap();
    network.leave(index);
    network.run(100);
    assert_ne!(network.nodes[0].view.witness(home, 0).unwrap(), first);
}

#[test]
fn entries_balance_callers_by_load() {
    let mut network = fleet(2);
    let busy = MemberLoad {
        cpu_permille: 900,
        waiting: 16,
        open_streams: 1_000,
    };
    let now = network.now;
    network.nodes[4].view.set_load(now, busy);
    network.run(1_000);
    let mut rng = SmallRng::seed_from_u64(7);
    let mut first = [0; 9];
    for _ in 0..9_000 {
        let entries = network.nodes[0].view.entries(network.now, &mut rng, 3);
        let index = network
            .nodes
            .iter()
            .position(|node| node.incarnation == entries[0].incarnation);
        first[index.unwrap()] += 1;
    }
    println!("first entries by node: {first:?}");
    assert!(
        first[4] < 200,
        "the busy node comes first {} times in 9,000",
        first[4]
    );
}
