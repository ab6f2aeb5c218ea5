use super::*;

#[test]
fn requests_are_counted_in_the_window_in_which_they_began() {
    let mut book = UsageBook::new(1, 5_000);
    book.count(7, TimeMs(9_999));
    book.count(7, TimeMs(10_000));
    book.count(8, TimeMs(10_001));
    assert_eq!(book.totals(1), [(7, 1)]);
    assert_eq!(book.totals(2), [(7, 1), (8, 1)]);
    assert_eq!(book.end_of(1), TimeMs(10_000));
}

/// Symptom: the usage of a window is too low after the reporting node was killed.
/// Sequence: the node that reports dies; another takes over that saw only its own requests.
/// Cause: counts were told to the reporting node alone.
#[test]
fn every_node_can_report_what_all_counted() {
    let mut first = UsageBook::new(1, 5_000);
    let mut second = UsageBook::new(2, 5_000);
    first.count(7, TimeMs(10_000));
    first.count(7, TimeMs(10_100));
    second.count(7, TimeMs(10_200));
    second.note_peer(1, &first.own_rows());
    assert_eq!(second.totals(2), [(7, 3)]);
}

#[test]
fn a_pulse_that_overtook_another_takes_nothing_back() {
    let mut book = UsageBook::new(2, 5_000);
    let row = |count| Row {
        window: 2,
        team: 7,
        count,
    };
    book.note_peer(1, &[row(5)]);
    book.note_peer(1, &[row(3)]);
    assert_eq!(book.totals(2), [(7, 5)]);
}

#[test]
fn a_restarted_node_counts_beside_its_former_run() {
    let mut book = UsageBook::new(2, 5_000);
    let row = Row {
        window: 2,
        team: 7,
        count: 4,
    };
    book.note_peer(1, &[row]);
    book.note_peer(9, &[row]);
    assert_eq!(book.totals(2), [(7, 8)]);
}

#[test]
fn old_windows_are_forgotten() {
    let mut book = UsageBook::new(1, 5_000);
    for window in 0..100 {
        book.count(7, TimeMs(window * 5_000));
    }
    assert!(book.rows.len() <= 6, "{}", book.rows.len());
}
