use super::*;
use crate::gateway::place::tests::at;

fn news(from: u64, to: u64) -> UpstreamNews {
    UpstreamNews {
        from: at(from),
        to: at(to),
        changes: Vec::new(),
        read_at_day_ms: None,
        store_was_away: false,
        is_handed_on: false,
    }
}

/// Symptom: nodes on small links fall ever further behind while thousands of upstreams come and go.
/// Sequence: one message of many is lost; the node passes over all that follow it and asks for them
/// again, which fills its link and loses the next ones.
/// Cause: news behind a gap was dropped.
#[test]
fn what_follows_a_lost_message_is_not_asked_for_again() {
    let mut view = UpstreamsView::default();
    view.reached(at(10), TimeMs(1));
    for (from, to) in [(30, 40), (20, 30), (20, 30), (40, 50)] {
        view.keep(news(from, to));
    }
    assert_eq!(
        view.gap_end(),
        Some(at(20)),
        "only what lies before is missing"
    );
    assert_eq!(view.next_kept(), None);
    view.reached(at(20), TimeMs(2));
    let mut reached = Vec::new();
    while let Some(kept) = view.next_kept() {
        view.reached(kept.to, TimeMs(2));
        reached.push(kept.to);
    }
    assert_eq!(reached, [30, 40, 50].map(at));
    assert_eq!(view.gap_end(), None);
}

#[test]
fn what_a_new_table_holds_already_is_forgotten() {
    let mut view = UpstreamsView::default();
    view.reached(at(10), TimeMs(1));
    view.keep(news(20, 30));
    view.keep(news(60, 70));
    view.replaced(at(50), TimeMs(3));
    assert_eq!(view.next_kept(), None);
    assert_eq!(view.gap_end(), Some(at(60)));
}

/// A node goes on behind an offset of a history that is not the store's any more.
#[test]
fn what_was_read_of_an_earlier_era_is_no_reason_to_read_on_from_there() {
    let mut view = UpstreamsView::default();
    view.reached(at(60), TimeMs(1));
    view.keep(news(70, 80));
    view.enter_era(2);
    assert_eq!((view.end, view.gap_end()), (Place::start_of(2), None));
    assert!(view.is_known(), "the table of before is still in use");
    view.reached(at(90), TimeMs(2));
    assert_eq!(view.end, Place::start_of(2));
    view.reached(Place { era: 2, offset: 30 }, TimeMs(3));
    assert_eq!(view.end, Place { era: 2, offset: 30 });
}
