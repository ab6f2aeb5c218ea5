use super::*;

fn news(from: u64, to: u64) -> UpstreamNews {
    UpstreamNews {
        from,
        to,
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
    view.reached(10, TimeMs(1));
    for (from, to) in [(30, 40), (20, 30), (20, 30), (40, 50)] {
        view.keep(news(from, to));
    }
    assert_eq!(view.gap_end(), Some(20), "only what lies before is missing");
    assert_eq!(view.next_kept(), None);
    view.reached(20, TimeMs(2));
    let mut reached = Vec::new();
    while let Some(kept) = view.next_kept() {
        view.reached(kept.to, TimeMs(2));
        reached.push(kept.to);
    }
    assert_eq!(reached, [30, 40, 50]);
    assert_eq!(view.gap_end(), None);
}

#[test]
fn what_a_new_table_holds_already_is_forgotten() {
    let mut view = UpstreamsView::default();
    view.reached(10, TimeMs(1));
    view.keep(news(20, 30));
    view.keep(news(60, 70));
    view.replaced(50, TimeMs(3));
    assert_eq!(view.next_kept(), None);
    assert_eq!(view.gap_end(), Some(60));
}
