use super::*;
use crate::gateway::log_position::tests::at;

fn news(from: u64, to: u64) -> UpstreamChanges {
    UpstreamChanges {
        from: at(from),
        to: at(to),
        changes: Vec::new(),
        read_at_day_ms: None,
        store_was_away: false,
        is_relayed: false,
    }
}

/// Guards against nodes on small links that fall ever further behind while thousands of upstreams
/// come and go.
///
/// One message of many is lost. A node that discards all later messages and requests them again
/// fills its link and loses the next ones.
#[test]
fn messages_behind_a_gap_are_buffered_and_applied_once_it_is_filled() {
    let mut view = UpstreamsView::default();
    view.advance_to(at(10), TimeMs(1));
    for (from, to) in [(30, 40), (20, 30), (20, 30), (40, 50)] {
        view.buffer(news(from, to));
    }
    assert_eq!(
        view.gap_end(),
        Some(at(20)),
        "only messages before the buffered ones are missing"
    );
    assert_eq!(view.next_pending(), None);
    view.advance_to(at(20), TimeMs(2));
    let mut reached = Vec::new();
    while let Some(pending) = view.next_pending() {
        view.advance_to(pending.to, TimeMs(2));
        reached.push(pending.to);
    }
    assert_eq!(reached, [30, 40, 50].map(at));
    assert_eq!(view.gap_end(), None);
}

#[test]
fn snapshot_discards_the_buffered_messages_it_covers() {
    let mut view = UpstreamsView::default();
    view.advance_to(at(10), TimeMs(1));
    view.buffer(news(20, 30));
    view.buffer(news(60, 70));
    view.note_snapshot(at(50), TimeMs(3), TimeMs(3));
    assert_eq!(view.next_pending(), None);
    assert_eq!(view.gap_end(), Some(at(60)));
}

/// Guards against resuming at a position of a history that the store no longer has.
#[test]
fn new_era_resets_position_and_buffer() {
    let mut view = UpstreamsView::default();
    view.advance_to(at(60), TimeMs(1));
    view.buffer(news(70, 80));
    view.enter_era(2);
    assert_eq!((view.end, view.gap_end()), (LogPosition::start_of(2), None));
    assert!(view.is_known(), "the previous table is still in use");
    view.advance_to(at(90), TimeMs(2));
    assert_eq!(view.end, LogPosition::start_of(2));
    view.advance_to(LogPosition { era: 2, offset: 30 }, TimeMs(3));
    assert_eq!(view.end, LogPosition { era: 2, offset: 30 });
}

/// Guards against a view that counts as complete although records were deleted before this node read them.
#[test]
fn table_read_anew_is_complete_only_from_then_on() {
    let mut view = UpstreamsView::default();
    view.note_snapshot(at(5), TimeMs(1_000), TimeMs(1_000));
    assert_eq!(
        view.complete_since,
        TimeMs(0),
        "the first read leaves no gap"
    );
    assert_eq!(
        (view.first_known_at, view.complete_from),
        (TimeMs(1_000), at(5))
    );
    view.note_snapshot(at(9), TimeMs(4_000), TimeMs(4_300));
    assert_eq!(
        (view.complete_since, view.complete_from),
        (TimeMs(4_300), at(9)),
        "a peer's word on the time of its read does not count"
    );
}
