//! Membership of a small fleet under loss, pauses, partitions, leaves and restarts.

use rand::SeedableRng;
use rand::rngs::SmallRng;
use teaselline::membership::{Event, MemberLoad, MemberState};
use teaselline::time::TimeMs;

use super::network::Network;

/// Nine nodes over four failure domains that know each other.
fn fleet(seed: u64) -> Network {
    let mut network = Network::of(seed, 9, 4);
    network.run_until(5_000, Network::agrees);
    network
}

#[test]
fn a_node_that_dies_is_suspected_soon_and_gone_later() {
    // Symptom: callers are sent to a node that has died.
    // Sequence: a node's process ends without a word.
    // Cause: nobody misses its heartbeats.
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
fn loss_and_delay_alone_cause_no_suspicion() {
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
fn a_paused_node_suspects_nobody_when_it_goes_on() {
    // Symptom: after one node was stopped for a moment, all nodes are suspected for a moment.
    // Sequence: a node is paused for long; its first tick comes before it has read its socket.
    // Cause: it takes the silence of its own pause for the silence of the others.
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
            assert!(network.agrees(), "seed {seed}, {pause_ms} ms: it is back");
        }
    }
}

#[test]
fn two_nodes_that_do_not_reach_each_other_are_not_suspected() {
    // Symptom: a node is suspected again and again though all but one reach it.
    // Sequence: one link between two nodes drops everything, in one direction or in both.
    // Cause: a watcher suspects on its own silence alone, without asking others.
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
fn a_node_that_is_cut_off_names_all() {
    // Symptom: callers of a node that is cut off get an empty list, or only that node.
    // Sequence: the network drops all that one node sends and receives.
    // Cause: that node suspects all others and leaves them out.
    let mut network = fleet(5);
    network.set_group(4, 1);
    network.run(5_000);
    let mut rng = SmallRng::seed_from_u64(1);
    let node = &network.nodes[4];
    assert!(node.view.is_isolated(network.now));
    let entries = node.view.entries(network.now, &mut rng, 20);
    assert_eq!(entries.len(), 9);
    assert_eq!(entries[8].incarnation, node.incarnation, "itself last");
    let others = network.nodes[0].view.entries(network.now, &mut rng, 20);
    assert_eq!(others.len(), 8, "the others leave it out");
}

#[test]
fn a_node_that_is_back_spreads_no_suspicion() {
    // Symptom: for a moment, all nodes leave each other out of their answers.
    // Sequence: one node is cut off for a second or two and comes back.
    // Cause: it has suspected all others meanwhile, and now tells them so.
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
fn two_halves_find_each_other_after_an_hour() {
    // Symptom: after regions had lost each other, they stay two fleets.
    // Sequence: a partition lasts until both sides have given each other up; then it heals.
    // Cause: nobody sends anything to nodes that are gone, and the seeds are of the own side.
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
fn a_leave_is_known_at_once_and_its_end_too() {
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
            "it goes on leaving while it drains"
        );
        network.end(2);
        network.run(10);
        assert!(network.sees(0, 2, MemberState::Gone));
        assert_eq!(network.suspicions(TimeMs(0), |_| true), 0);
    }
}

#[test]
fn a_new_run_takes_the_place_of_the_old_one() {
    // Symptom: for 30 s, requests are sent to a run that has ended, at the address of its successor.
    // Sequence: a process dies and is started again, at the same address or on a new host under the
    // same name.
    // Cause: the old run is suspected like any other instead of being known to have ended.
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
            assert!(network.agrees(), "it stays so, seed {seed}");
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
    assert!(chosen.len() > 1, "the copies of one home are spread");
    let first = view.witness(home, 0).unwrap();
    let index = (0..9)
        .find(|index| network.nodes[*index].incarnation == first)
        .unwrap();
    network.leave(index);
    network.run(100);
    assert_ne!(network.nodes[0].view.witness(home, 0).unwrap(), first);
}

#[test]
fn entries_spread_callers_by_load() {
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
