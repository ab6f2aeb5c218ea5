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
        .map(|_| u32::from(repeats.take(budget, now)))
        .sum()
}

/// Symptom: while all upstreams of a pool fail, more repeats than requests arrive there.
/// Sequence: each node sends each failed request again, up to what it thinks is allowed.
/// Cause: the fixed part of the budget was used by each node in full.
#[test]
fn all_nodes_together_stay_within_the_fixed_part() {
    let nodes = 9;
    let total: u32 = (0..nodes)
        .map(|_| drain(&mut Repeats::default(), &budget(nodes), TimeMs(20_000)))
        .sum();
    assert!(total <= 50, "{total}");
    assert!(total >= 27, "{total}");
}

#[test]
fn requests_pay_for_repeats() {
    let mut repeats = Repeats::default();
    for step in 0..100 {
        repeats.note_request(&budget(1_000), TimeMs(20_000 + step));
    }
    assert_eq!(drain(&mut repeats, &budget(1_000), TimeMs(20_200)), 15);
}

#[test]
fn what_was_used_comes_back_when_the_window_has_passed() {
    let mut repeats = Repeats::default();
    let budget = budget(1);
    let first = drain(&mut repeats, &budget, TimeMs(20_000));
    assert!(first > 0);
    assert_eq!(drain(&mut repeats, &budget, TimeMs(29_000)), 0);
    assert_eq!(drain(&mut repeats, &budget, TimeMs(31_000)), first);
}

#[test]
fn a_repeat_that_would_come_late_is_not_worth_it() {
    assert!(is_too_late(100, 150.0));
    assert!(!is_too_late(200, 150.0));
}
