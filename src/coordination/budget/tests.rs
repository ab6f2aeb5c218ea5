use super::{AppendBudget, Urgency};
use crate::time::TimeMs;

/// Guards against a healthy holder that loses its lease because the audit trail has used up the
/// node's appends: both draw from one budget, so a part is reserved for urgent appends.
#[test]
fn deferrable_appends_leave_room_for_urgent_ones() {
    let budget = AppendBudget::new(1.0, 4.0, TimeMs(0));
    let take = |urgency| budget.try_take(urgency, TimeMs(0));
    assert_eq!(take(Urgency::Deferrable), Ok(()));
    assert_eq!(take(Urgency::Deferrable), Ok(()));
    assert_eq!(take(Urgency::Deferrable), Err(1_000));
    assert_eq!(take(Urgency::Urgent), Ok(()));
    assert_eq!(take(Urgency::Urgent), Ok(()));
    assert_eq!(take(Urgency::Urgent), Err(1_000));
}

#[test]
fn rate_bounds_appends_over_a_minute() {
    let budget = AppendBudget::new(10.0, 20.0, TimeMs(0));
    let taken = (0..60_000)
        .filter(|now_ms| budget.try_take(Urgency::Urgent, TimeMs(*now_ms)).is_ok())
        .count();
    assert!((615..=620).contains(&taken), "{taken} appends in a minute");
}
