use super::*;

/// Guards against a crowd that fills the log.
#[test]
fn one_line_stands_for_all_events_since_the_last_one() {
    let start = Instant::now();
    let mut pace = LogPace::default();
    assert_eq!(pace.record(1, start), Some(1));
    assert_eq!(pace.record(500, start + INTERVAL / 2), None);
    assert_eq!(pace.record(0, start + INTERVAL), Some(500));
    assert_eq!(pace.record(0, start + 3 * INTERVAL), None);
}
