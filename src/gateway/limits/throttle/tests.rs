use super::*;

mod fleet;

/// An upstream's tag.
const ENGINE: u64 = 7;

/// A node among `peers` peers, all of them in contact.
fn sharers(own: u64, peers: u64) -> Sharers {
    Sharers {
        own: own_tag(own),
        peers: (0..=peers)
            .filter(|peer| *peer != own)
            .map(own_tag)
            .collect(),
        share: 1.0,
        day_ms: 0,
        is_sending: true,
    }
}

fn own_tag(node: u64) -> u64 {
    crate::gateway::upstreams::tag(&format!("node-{node}"))
}

/// A throttle that learned this limit from an answer.
fn limited(limit_per_s: f64) -> Throttle {
    let mut throttle = Throttle::default();
    throttle.record_answer(StatedLimit::PerS(limit_per_s), TimeMs(0), TimeMs(1));
    throttle
}

#[test]
fn limit_is_known_until_an_answer_states_none() {
    let mut throttle = Throttle::default();
    let mut note =
        |stated, sent_at, now| throttle.record_answer(stated, TimeMs(sent_at), TimeMs(now));
    assert_eq!(note(StatedLimit::Unstated, 1, 10), None);
    assert_eq!(
        note(StatedLimit::PerS(2.0), 10, 20),
        Some(Change::Named(2.0))
    );
    assert_eq!(note(StatedLimit::PerS(2.0), 30, 40), None);
    assert_eq!(
        note(StatedLimit::PerS(0.5), 50, 60),
        Some(Change::Named(0.5))
    );
    assert_eq!(note(StatedLimit::Unstated, 70, 80), Some(Change::Ended));
    assert_eq!(throttle.limit_per_s(), None);
    assert!(throttle.can_send(TimeMs(80)));
}

#[test]
fn answer_to_an_older_request_does_not_end_a_limit() {
    let mut throttle = Throttle::default();
    throttle.record_answer(StatedLimit::PerS(2.0), TimeMs(10), TimeMs(50));
    let change = throttle.record_answer(StatedLimit::Unstated, TimeMs(20), TimeMs(60));
    assert_eq!(change, None);
    assert_eq!(throttle.limit_per_s(), Some(2.0));
}

#[test]
fn unreadable_limit_changes_nothing() {
    let mut throttle = Throttle::default();
    let unreadable = StatedLimit::Unreadable;
    assert_eq!(
        throttle.record_answer(unreadable, TimeMs(1), TimeMs(10)),
        None
    );
    throttle.record_answer(StatedLimit::PerS(2.0), TimeMs(10), TimeMs(20));
    assert_eq!(
        throttle.record_answer(unreadable, TimeMs(30), TimeMs(40)),
        None
    );
    assert_eq!(throttle.limit_per_s(), Some(2.0));
}

#[test]
fn older_reports_of_peers_are_ignored() {
    let mut throttle = Throttle::default();
    let report = |limit_per_s, age_ms| LimitReport {
        upstream: ENGINE,
        limit_per_s,
        age_ms,
    };
    let now = TimeMs(10_000);
    assert_eq!(
        throttle.apply_report(&report(Some(2.0), 100), now),
        Some(Change::Named(2.0))
    );
    assert_eq!(throttle.apply_report(&report(None, 500), now), None);
    assert_eq!(throttle.apply_report(&report(Some(9.0), 500), now), None);
    assert_eq!(throttle.limit_per_s(), Some(2.0));
    // A peer's report is not relayed: relayed again and again, it would never expire.
    assert_eq!(throttle.report(ENGINE, now), None);
    assert_eq!(
        throttle.apply_report(&report(None, 0), now),
        Some(Change::Ended)
    );
}

#[test]
fn limit_is_reported_to_peers_with_its_age() {
    let throttle = limited(2.0);
    let told = throttle.report(ENGINE, TimeMs(301)).expect("told");
    assert_eq!((told.limit_per_s, told.age_ms), (Some(2.0), 300));
    assert_eq!(
        throttle.report(ENGINE, TimeMs(REPORT_RETENTION_MS + 1)),
        None
    );
}

#[test]
fn end_of_a_limit_is_reported_for_a_limited_time() {
    let mut throttle = limited(2.0);
    let end = |throttle: &mut Throttle, at_ms| {
        throttle.record_answer(StatedLimit::Unstated, TimeMs(at_ms), TimeMs(at_ms + 1))
    };
    assert_eq!(end(&mut throttle, 100), Some(Change::Ended));
    assert_eq!(end(&mut throttle, 50_000), None);
    let told = throttle.report(ENGINE, TimeMs(51_000)).expect("told");
    assert_eq!((told.limit_per_s, told.age_ms), (None, 1_000));
    end(&mut throttle, 70_000);
    assert_eq!(throttle.report(ENGINE, TimeMs(70_001)), None);
}

#[test]
fn low_limit_is_shared_by_few_nodes_and_high_limit_by_all() {
    for (limit_per_s, senders) in [(0.2, 1), (1.0, 2), (4.5, 5), (50.0, 9)] {
        let mut sum_per_s = 0.0;
        let mut sending = 0;
        for node in 0..9 {
            let mut throttle = limited(limit_per_s);
            throttle.update_share(ENGINE, &sharers(node, 8), TimeMs(2));
            sum_per_s += throttle.rate_per_s;
            sending += usize::from(throttle.rate_per_s > 0.0);
        }
        assert_eq!(sending, senders, "{limit_per_s}");
        assert!((sum_per_s - limit_per_s).abs() < 1e-9, "{limit_per_s}");
    }
}

#[test]
fn upstream_with_a_limit_of_zero_is_still_probed() {
    let mut throttle = limited(0.0);
    throttle.update_share(ENGINE, &sharers(0, 0), TimeMs(1));
    assert!(!throttle.can_send(TimeMs(5_000)));
    assert!(throttle.needs_probe(TimeMs(10_500)));
}

/// Guards against an upstream that stays unused, and whose limit is never seen to end, because its
/// senders receive no requests for it.
#[test]
fn senders_rotate_over_all_nodes() {
    for limit_per_s in [0.0, 0.5, 1.0, 4.0] {
        let mut has_sent = [false; 9];
        let mut throttles = [limited(limit_per_s); 9];
        for step in 0..10_000 {
            let now = TimeMs(step * 200);
            for (node, throttle) in throttles.iter_mut().enumerate() {
                let sharers = Sharers {
                    day_ms: now.0,
                    ..sharers(node as u64, 8)
                };
                throttle.update_share(ENGINE, &sharers, now);
                has_sent[node] |= throttle.try_take(now);
            }
        }
        assert_eq!(has_sent, [true; 9], "{limit_per_s}");
    }
}

#[test]
fn starting_or_stopping_node_sends_nothing_to_limited_upstreams() {
    let mut throttle = limited(10.0);
    let stopping = Sharers {
        is_sending: false,
        ..sharers(0, 0)
    };
    throttle.update_share(ENGINE, &stopping, TimeMs(1));
    assert!(!throttle.can_send(TimeMs(60_000)));
}

#[test]
fn new_sender_starts_without_credit() {
    let mut throttle = limited(1.0);
    throttle.update_share(ENGINE, &sharers(0, 0), TimeMs(9_000));
    assert!(!throttle.try_take(TimeMs(9_100)));
    assert!(throttle.try_take(TimeMs(10_000)));
    assert!(!throttle.try_take(TimeMs(10_100)));
}
