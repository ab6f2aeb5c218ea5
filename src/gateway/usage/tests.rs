use super::*;

#[test]
fn request_counts_in_the_window_of_its_start() {
    let mut usage = UsageCounts::new(1, 5_000);
    usage.count(7, TimeMs(9_999));
    usage.count(7, TimeMs(10_000));
    usage.count(8, TimeMs(10_001));
    assert_eq!(usage.totals(1), [(7, 1)]);
    assert_eq!(usage.totals(2), [(7, 1), (8, 1)]);
    assert_eq!(usage.window_end(1), TimeMs(10_000));
}

/// Guards against a usage that is too low after the reporting node was killed: another node takes
/// over and must know the counts of all nodes, not only its own.
#[test]
fn totals_include_counts_of_peers() {
    let mut first = UsageCounts::new(1, 5_000);
    let mut second = UsageCounts::new(2, 5_000);
    first.count(7, TimeMs(10_000));
    first.count(7, TimeMs(10_100));
    second.count(7, TimeMs(10_200));
    second.record_peer(1, &first.own_rows());
    assert_eq!(second.totals(2), [(7, 3)]);
}

#[test]
fn reordered_heartbeat_does_not_lower_a_count() {
    let mut usage = UsageCounts::new(2, 5_000);
    let row = |count| UsageRow {
        window: 2,
        team: 7,
        count,
    };
    usage.record_peer(1, &[row(5)]);
    usage.record_peer(1, &[row(3)]);
    assert_eq!(usage.totals(2), [(7, 5)]);
}

#[test]
fn restarted_node_adds_to_the_counts_of_its_previous_run() {
    let mut usage = UsageCounts::new(2, 5_000);
    let row = UsageRow {
        window: 2,
        team: 7,
        count: 4,
    };
    usage.record_peer(1, &[row]);
    usage.record_peer(9, &[row]);
    assert_eq!(usage.totals(2), [(7, 8)]);
}

#[test]
fn old_windows_are_evicted() {
    let mut usage = UsageCounts::new(1, 5_000);
    for window in 0..100 {
        usage.count(7, TimeMs(window * 5_000));
    }
    assert!(usage.rows.len() <= 6, "{}", usage.rows.len());
}
