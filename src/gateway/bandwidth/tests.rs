use super::*;

#[test]
fn responses_are_limited_in_proportion_to_the_link() {
    let answers = |link_mbps: f64| {
        let mut allowance = BandwidthLimiter::for_link(link_mbps);
        (0..1_000u64)
            .filter(|ms| allowance.try_take(16_000, TimeMs(50_000 + ms)))
            .count()
    };
    // 0.4 of a link of 1.25 MB a second carries 31 pages of 16 kB in a second; the burst adds four.
    assert!((30..=36).contains(&answers(10.0)));
    assert!((620..=690).contains(&answers(200.0)));
}

#[test]
fn response_larger_than_the_burst_is_sent_eventually() {
    let mut allowance = BandwidthLimiter::for_link(1.0);
    assert!(allowance.try_take(30_000, TimeMs(10)));
    assert!(!allowance.try_take(30_000, TimeMs(20)));
    assert!(allowance.try_take(30_000, TimeMs(1_020)));
}
