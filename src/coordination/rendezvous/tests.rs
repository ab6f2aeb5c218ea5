use super::{choose, rank_of};
use crate::keys::Incarnation;

fn nodes(count: u64) -> Vec<Incarnation> {
    (0..count).map(Incarnation).collect()
}

#[test]
fn rank_of_a_chosen_node_is_the_requested_rank() {
    let nodes = nodes(9);
    for rank in 0..9 {
        let chosen = choose(b"claims-03", &nodes, rank).expect("there are nine nodes");
        assert_eq!(rank_of(b"claims-03", &nodes, chosen), rank);
    }
    assert_eq!(rank_of(b"claims-03", &nodes, Incarnation(99)), 9);
    assert_eq!(choose(b"claims-03", &nodes, 9), None);
}

#[test]
fn removal_of_a_node_moves_only_its_tasks() {
    let before = nodes(20);
    let after: Vec<Incarnation> = before.iter().copied().filter(|node| node.0 != 7).collect();
    for task in 0_u32..200 {
        let task = task.to_le_bytes();
        let chosen = choose(&task, &before, 0).expect("there are nodes");
        if chosen != Incarnation(7) {
            assert_eq!(choose(&task, &after, 0), Some(chosen));
        }
    }
}
