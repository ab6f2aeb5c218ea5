use super::*;

fn budget(nodes: u32) -> RepeatBudget {
    RepeatBudget {
        ratio: 0.2,
        window_ms: 10_000,
        slack: 50.0,
        nodes,
    }
}

fn drain(repeats: &mut Repeats, budget: &RepeatBudget, now: TimeMs) -> u32 {
    (0..1_000)
        .map(|_| u32::from(repeats.try_take(budget, now)))
        .sum()
}

/// Guards against more repeats than requests while all upstreams of a pool fail.
///
/// Each node repeats its failed requests up to its own budget. If each node used the fixed part of
/// the budget in full, the fleet would exceed it by the number of nodes.
#[test]
fn fleet_stays_within_the_fixed_part_of_the_budget() {
    let nodes = 9;
    let total: u32 = (0..nodes)
        .map(|_| drain(&mut Repeats::default(), &budget(nodes), TimeMs(20_000)))
        .sum();
    assert!(total <= 50, "{total}");
    assert!(total >= 27, "{total}");
}

#[test]
fn repeats_are_limited_to_a_ratio_of_requests() {
    let mut repeats = Repeats::default();
    for step in 0..100 {
        repeats.record_request(&budget(1_000), TimeMs(20_000 + step));
    }
    assert_eq!(drain(&mut repeats, &budget(1_000), TimeMs(20_200)), 15);
}

#[test]
fn budget_is_restored_after_the_window() {
    let mut repeats = Repeats::default();
    let budget = budget(1);
    let first = drain(&mut repeats, &budget, TimeMs(20_000));
    assert!(first > 0);
    assert_eq!(drain(&mut repeats, &budget, TimeMs(29_000)), 0);
    assert_eq!(drain(&mut repeats, &budget, TimeMs(31_000)), first);
}

#[test]
fn repeat_is_too_late_if_the_expected_time_exceeds_the_deadline() {
    assert!(is_too_late(100, 150.0));
    assert!(!is_too_late(200, 150.0));
}
