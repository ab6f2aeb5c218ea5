//! Tests of the progress that a request reports to its witness.

use tokio::sync::oneshot;

use super::{REPORT_INTERVAL_TOKENS, StandbyProgress};

/// Reports the answer up to `end`; returns where the witness replies.
fn report(progress: &mut StandbyProgress, end: u64) -> oneshot::Sender<bool> {
    let (sender, receiver) = oneshot::channel();
    progress.record_sent(end, receiver);
    sender
}

#[test]
fn acknowledged_tokens_are_not_sent_again() {
    let mut progress = StandbyProgress::default();
    assert_eq!(progress.due_from(REPORT_INTERVAL_TOKENS - 1), None);
    assert_eq!(progress.due_from(REPORT_INTERVAL_TOKENS), Some(0));
    report(&mut progress, 70).send(true).unwrap();
    assert_eq!(progress.due_from(70 + REPORT_INTERVAL_TOKENS - 1), None);
    assert_eq!(progress.due_from(70 + REPORT_INTERVAL_TOKENS), Some(70));
}

// Guards against a standby that ignores all later reports for their gap, since one was lost.
#[test]
fn tokens_of_a_lost_report_are_part_of_the_next_one() {
    let mut progress = StandbyProgress::default();
    report(&mut progress, 70).send(true).unwrap();
    assert_eq!(progress.due_from(140), Some(70));
    drop(report(&mut progress, 140));
    assert_eq!(progress.unacknowledged_from(), 70);
    assert_eq!(
        progress.due_from(140 + 2 * REPORT_INTERVAL_TOKENS),
        Some(70)
    );
}

// Guards against a gap at the standby: a report that overtakes a pending one must not rely on it.
#[test]
fn no_report_is_due_while_one_is_pending() {
    let mut progress = StandbyProgress::default();
    let pending = report(&mut progress, 70);
    assert_eq!(progress.due_from(1_000), None);
    assert_eq!(progress.unacknowledged_from(), 0);
    pending.send(true).unwrap();
    assert_eq!(progress.due_from(1_000), Some(70));
}

// Guards against an answer that is sent in full for each 64 tokens while its witness is gone.
#[test]
fn reports_to_a_witness_that_is_gone_become_rare() {
    let mut progress = StandbyProgress::default();
    let (mut reports, mut tokens_sent) = (0, 0);
    for position in 0..100_000 {
        if let Some(from) = progress.due_from(position) {
            reports += 1;
            tokens_sent += position - from;
            drop(report(&mut progress, position));
        }
    }
    assert!((8..=12).contains(&reports), "{reports}");
    assert!(tokens_sent <= 200_000, "{tokens_sent}");
    report(&mut progress, 100_000).send(true).unwrap();
    let next = 100_000 + REPORT_INTERVAL_TOKENS;
    assert_eq!(progress.due_from(next), Some(100_000));
}

// Guards against reports that stay rare after the witness can be reached again.
#[test]
fn lost_report_is_sent_again_once_its_witness_is_reached_again() {
    let mut progress = StandbyProgress::default();
    for end in [70, 300, 900] {
        drop(report(&mut progress, end));
        assert_eq!(progress.unacknowledged_from(), 0);
    }
    report(&mut progress, 2_000).send(false).unwrap();
    assert_eq!(progress.due_from(2_001), Some(0));
    report(&mut progress, 2_001).send(true).unwrap();
    let next = 2_001 + REPORT_INTERVAL_TOKENS;
    assert_eq!(progress.due_from(next - 1), None);
    assert_eq!(progress.due_from(next), Some(2_001));
}
