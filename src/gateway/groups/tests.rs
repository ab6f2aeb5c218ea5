use super::*;

/// The positions of nodes that are spread evenly over failure domains.
fn fleet(nodes: usize, domains: usize) -> Vec<GroupPosition> {
    (0..nodes)
        .map(|node| {
            GroupPosition::new(
                &format!("domain-{}", node % domains),
                &format!("node-{node}"),
            )
        })
        .collect()
}

fn sizes(groups: &Groups) -> Vec<usize> {
    groups.ranges.iter().map(ExactSizeIterator::len).collect()
}

#[test]
fn small_fleet_is_one_group() {
    for nodes in [1, 9, 31] {
        assert_eq!(sizes(&Groups::divide(fleet(nodes, 4).into_iter())), [nodes]);
    }
}

/// Guards against messages whose number grows with the fleet. A node exchanges heartbeats with its
/// group and a speaker reports to each other group; their sum is least where both are the root of
/// the number of nodes, and at most twice that at every size.
#[test]
fn largest_group_and_number_of_groups_stay_near_the_root_of_the_nodes() {
    for nodes in [60, 77, 87, 195, 300, 985, 1_970] {
        let groups = Groups::divide(fleet(nodes, 6).into_iter());
        let sizes = sizes(&groups);
        assert_eq!(sizes.iter().sum::<usize>(), nodes);
        let largest = sizes.iter().max().copied().unwrap_or_default();
        let sum = largest + sizes.len();
        assert!(sum * sum <= 16 * nodes, "{nodes}: {sizes:?}");
    }
}

#[test]
fn group_of_a_large_fleet_lies_within_one_failure_domain() {
    let fleet = fleet(985, 6);
    let groups = Groups::divide(fleet.iter().copied());
    for (place, position) in fleet.iter().enumerate() {
        for other in &fleet[..place] {
            if groups.group_of(*position) == groups.group_of(*other) {
                assert_eq!(position.failure_domain, other.failure_domain);
            }
        }
    }
}

/// Guards against a join or a death that makes all nodes lose contact: almost all of them stay in
/// the group that they were in.
#[test]
fn one_node_fewer_moves_few_others() {
    let fleet = fleet(985, 6);
    let before = Groups::divide(fleet.iter().copied());
    let after = Groups::divide(fleet[1..].iter().copied());
    assert!(before.count() > 1, "the nodes form several groups");
    let mates = |groups: &Groups, position: &GroupPosition| {
        let own = groups.group_of(*position);
        (fleet[1..].iter())
            .filter(|other| groups.group_of(**other) == own)
            .copied()
            .collect::<Vec<_>>()
    };
    let moved = (fleet[1..].iter())
        .filter(|position| mates(&before, position) != mates(&after, position))
        .count();
    assert!(moved <= MAX_GROUP_NODES, "{moved} of 984 nodes");
}
