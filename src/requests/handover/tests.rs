use super::*;

fn group() -> RequestGroup {
    RequestGroup {
        home: Incarnation(1),
        witness: Incarnation(2),
    }
}

#[test]
fn started_node_lowers_the_rank_of_a_successor_by_at_most_one() {
    // Guards against new nodes that change the order of successors: after a rolling restart, a node
    // that has just started would not find the successor that holds a request, and the caller would
    // be told that no node knows it.
    let live = || (1..10).map(Incarnation).collect::<Vec<_>>();
    let successor = group().order(live())[0];
    for started in 100..400 {
        let mut later = live();
        later.push(Incarnation(started));
        let order = group().order(later);
        assert!(order.iter().position(|node| *node == successor) <= Some(1));
    }
}

#[test]
fn home_and_witness_are_no_successors() {
    let order = group().order((1..5).map(Incarnation).collect());
    assert_eq!(order.len(), 2);
    assert!(order.iter().all(|node| node.0 > 2));
}

#[test]
fn group_is_kept_while_its_ids_may_start() {
    let taken_over_groups = TakenOverGroups::default();
    taken_over_groups.insert(group(), TimeMs(0));
    taken_over_groups.expire(TimeMs(ID_VALIDITY_MS + 1));
    assert!(taken_over_groups.contains(group()));
    taken_over_groups.expire(TimeMs(GROUP_TTL_MS));
    assert!(!taken_over_groups.contains(group()));
}
