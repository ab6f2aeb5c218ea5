//! Tests of the latest deadline.

use super::*;

/// Guards against a lost peer that is kept because a stream with a late deadline was open before, or dropped although one of
/// two streams with the same deadline is still open.
#[test]
fn latest_deadline_is_that_of_the_open_streams() {
    let mut deadlines = Deadlines::default();
    assert_eq!(deadlines.latest_ms(), 0);
    for deadline_ms in [30, 90, 10, 90, 60] {
        deadlines.insert(deadline_ms);
    }
    assert_eq!(deadlines.latest_ms(), 90);
    deadlines.remove(90);
    assert_eq!(deadlines.latest_ms(), 90);
    deadlines.remove(90);
    assert_eq!(deadlines.latest_ms(), 60);
    for deadline_ms in [10, 30, 60] {
        deadlines.remove(deadline_ms);
    }
    assert_eq!(deadlines.latest_ms(), 0);
}
