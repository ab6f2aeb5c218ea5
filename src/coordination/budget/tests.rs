use super::{AppendBudget, Urgency};
use crate::time::TimeMs;

/// Symptom: a lease lapses while its holder is well. The audit trail had used up the node's
/// appends. Cause: both draw from one budget; the urgent ones need a part of their own.
#[test]
fn deferrable_appends_leave_room_for_urgent_ones() {
    let budget = AppendBudget::new(1.0, 4.0, TimeMs(0));
    let take = |urgency| budget.take(urgency, TimeMs(0));
    assert_eq!(take(Urgency::Deferrable), Ok(()));
    assert_eq!(take(Urgency::Deferrable), Ok(()));
    assert_eq!(take(Urgency::Deferrable), Err(1_000));
    assert_eq!(take(Urgency::Urgent), Ok(()));
    assert_eq!(take(Urgency::Urgent), Ok(()));
    assert_eq!(take(Urgency::Urgent), Err(1_000));
}

#[test]
fn the_rate_bounds_the_long_run() {
    let budget = AppendBudget::new(10.0, 20.0, TimeMs(0));
    let taken = (0..60_000)
        .filter(|now_ms| budget.take(Urgency::Urgent, TimeMs(*now_ms)).is_ok())
        .count();
    assert!((615..=620).contains(&taken), "{taken} appends in a minute");
}
