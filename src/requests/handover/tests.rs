use super::*;

fn estate() -> Estate {
    Estate {
        home: Incarnation(1),
        witness: Incarnation(2),
    }
}

#[test]
fn a_node_that_starts_after_a_hand_over_leaves_the_heir_within_reach() {
    // Symptom: after a rolling restart a caller hears that nobody knows its request.
    // Sequence: a node hands its requests over; others start; one of them is asked for a request.
    // Cause: an order of successors that new nodes mix up.
    let live = || (1..10).map(Incarnation).collect::<Vec<_>>();
    let heir = estate().order(live())[0];
    for started in 100..400 {
        let mut later = live();
        later.push(Incarnation(started));
        let order = estate().order(later);
        assert!(order.iter().position(|node| *node == heir) <= Some(1));
    }
}

#[test]
fn neither_home_nor_witness_succeeds_itself() {
    let order = estate().order((1..5).map(Incarnation).collect());
    assert_eq!(order.len(), 2);
    assert!(order.iter().all(|node| node.0 > 2));
}

#[test]
fn an_estate_is_remembered_while_its_ids_may_start() {
    let estates = Estates::default();
    estates.note(estate(), TimeMs(0));
    estates.expire(TimeMs(ID_VALIDITY_MS + 1));
    assert!(estates.has(estate()));
    estates.expire(TimeMs(KEEP_MS));
    assert!(!estates.has(estate()));
}
