//! Tests of the log rate limits.

use super::*;

#[test]
fn limit_applies_per_kind_and_second() {
    let mut limits = RateLimits::default();
    let admitted = |limits: &mut RateLimits, name: &str, now_ms| {
        (0..500).filter(|_| limits.admit(name, now_ms)).count()
    };
    assert_eq!(admitted(&mut limits, SUCCESS_KIND, 1_000), 60);
    assert_eq!(admitted(&mut limits, "attempt_failed", 1_500), 120);
    assert_eq!(admitted(&mut limits, SUCCESS_KIND, 2_000), 60);
    let dropped = limits.take_dropped_counts();
    assert_eq!(
        dropped,
        [
            (String::from("attempt_failed"), 380),
            (SUCCESS_KIND.to_owned(), 880)
        ]
    );
    assert_eq!(limits.take_dropped_counts(), []);
}
