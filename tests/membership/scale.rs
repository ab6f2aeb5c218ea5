//! Membership traffic and convergence at full size: 340 nodes in 18 failure domains.

use teaselline::membership::{MAX_DATAGRAM_BYTES, MemberState};

use super::network::Network;

const NODES: usize = 340;
const DOMAINS: usize = 18;

/// Maximum membership traffic of a node without faults.
const BUDGET_BYTES_PER_SECOND: u64 = 4_000;

/// Returns the mean and the maximum send rate of the running nodes, in bytes per second.
fn rates(network: &mut Network, duration_ms: u64) -> (u64, u64) {
    let before: Vec<u64> = network.nodes.iter().map(|node| node.sent_bytes).collect();
    network.run(duration_ms);
    let rates: Vec<u64> = network
        .running()
        .map(|index| (network.nodes[index].sent_bytes - before[index]) * 1_000 / duration_ms)
        .collect();
    let mean = rates.iter().sum::<u64>() / rates.len() as u64;
    (mean, rates.into_iter().max().unwrap())
}

#[test]
fn full_fleet_converges_within_its_traffic_budget() {
    let mut network = Network::of(340, NODES, DOMAINS);
    let start = network.now;
    let joined_ms = network.run_until(60_000, Network::agrees);
    let joining = network
        .nodes
        .iter()
        .map(|node| node.sent_bytes)
        .sum::<u64>()
        / NODES as u64;
    network.run(4_000);
    let steady = rates(&mut network, 5_000);
    assert_eq!(network.suspicions(start, |_| true), 0);

    network.kill(200);
    let others: Vec<usize> = network.running().collect();
    let first_ms = network.run_until(3_000, |network| {
        others
            .iter()
            .any(|other| network.sees(*other, 200, MemberState::Suspected))
    });
    let all_ms = first_ms
        + network.run_until(3_000, |network| {
            others
                .iter()
                .all(|other| network.sees(*other, 200, MemberState::Suspected))
        });

    let domain: Vec<usize> = (0..NODES).filter(|index| index % DOMAINS == 5).collect();
    for index in &domain {
        network.kill(*index);
    }
    let domain_ms = network.run_until(5_000, Network::agrees);
    let after = rates(&mut network, 3_000);
    let largest = network
        .nodes
        .iter()
        .map(|node| node.largest_bytes)
        .max()
        .unwrap();
    println!(
        "{{\"experiment\":\"membership\",\"nodes\":{NODES},\"joined_ms\":{joined_ms},\
         \"joining_bytes_per_node\":{joining},\"steady_bytes_per_second_mean\":{},\
         \"steady_bytes_per_second_max\":{},\"one_suspected_ms\":{first_ms},\
         \"all_suspect_ms\":{all_ms},\"domain_suspected_ms\":{domain_ms},\
         \"domain_loss_bytes_per_second_mean\":{},\"domain_loss_bytes_per_second_max\":{},\
         \"largest_datagram_bytes\":{largest}}}",
        steady.0, steady.1, after.0, after.1
    );
    assert!(steady.1 < BUDGET_BYTES_PER_SECOND);
    assert!(largest <= MAX_DATAGRAM_BYTES);
}

#[test]
fn traffic_per_node_stays_within_budget_at_all_fleet_sizes() {
    let sizes = [(2, 2), (9, 4), (12, 4), (13, 4), (60, 6), (120, 9)];
    for (nodes, domains) in sizes {
        let mut network = Network::of(9, nodes, domains);
        network.run_until(30_000, Network::agrees);
        network.run(5_000);
        let (mean, max) = rates(&mut network, 10_000);
        println!(
            "{{\"experiment\":\"membership\",\"nodes\":{nodes},\"domains\":{domains},\
             \"steady_bytes_per_second_mean\":{mean},\"steady_bytes_per_second_max\":{max}}}"
        );
        assert!(
            max < BUDGET_BYTES_PER_SECOND,
            "{max} B/s with {nodes} nodes"
        );
    }
}
