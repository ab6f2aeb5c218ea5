use super::*;

#[test]
fn a_small_link_answers_few_and_a_large_one_many() {
    let answers = |link_mbps: f64| {
        let mut allowance = Allowance::of_link(link_mbps);
        (0..1_000u64)
            .filter(|ms| allowance.take(16_000, TimeMs(50_000 + ms)))
            .count()
    };
    // 0.4 of a link of 1.25 MB a second are 31 pages of 16 kB in a second, and the burst four more.
    assert!((30..=36).contains(&answers(10.0)));
    assert!((620..=690).contains(&answers(200.0)));
}

#[test]
fn an_answer_larger_than_the_burst_is_given_some_time() {
    let mut allowance = Allowance::of_link(1.0);
    assert!(allowance.take(30_000, TimeMs(10)));
    assert!(!allowance.take(30_000, TimeMs(20)));
    assert!(allowance.take(30_000, TimeMs(1_020)));
}
