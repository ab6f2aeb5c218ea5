//! Tests of suspicion, rejection and clearing, and of convergence between nodes.

use proptest::prelude::*;

use super::{
    CORRELATION_WINDOW_MS, Fingerprint, HostLoss, MAX_RECORDS, REJECTED_TTL_MS, SETTLE_DELAY_MS,
    SUSPECT_TTL_MS, StrikeTable, Verdict,
};
use crate::keys::{DomainKey, HostKey};
use crate::time::TimeMs;

const POISON: Fingerprint = Fingerprint(1);
const BENIGN: Fingerprint = Fingerprint(2);
const START: TimeMs = TimeMs(1_000_000);

fn loss(host: u64, domain: u16, at_ms: TimeMs) -> HostLoss {
    HostLoss {
        host: HostKey(host),
        domain: DomainKey(domain),
        at_ms,
    }
}

fn strikes_after(losses: &[HostLoss]) -> StrikeTable {
    let mut strikes = StrikeTable::default();
    for loss in losses {
        strikes.record_loss(*loss, &[POISON], loss.at_ms);
    }
    strikes
}

// A request can crash its host, be moved to the next, crash that one too, and come again under a
// new id. Counting per id, without a record of what ran on a lost host, would let it crash host
// after host.
#[test]
fn one_loss_makes_a_suspect_and_two_reject() {
    let second_ms = START.after(20_000);
    let mut strikes = StrikeTable::default();
    assert_eq!(strikes.verdict(POISON, START), Verdict::Clear);
    strikes.record_loss(loss(1, 0, START), &[BENIGN, POISON], START);
    let suspect = Verdict::Suspect {
        not_before_ms: START.after(SETTLE_DELAY_MS),
    };
    assert_eq!(strikes.verdict(POISON, START), suspect);
    assert_eq!(strikes.verdict(BENIGN, START), suspect);
    strikes.record_passed(BENIGN, START.after(2_000));
    strikes.record_loss(loss(2, 1, second_ms), &[POISON, BENIGN], second_ms);
    assert_eq!(strikes.verdict(POISON, second_ms), Verdict::Rejected);
    assert!(matches!(
        strikes.verdict(BENIGN, second_ms),
        Verdict::Suspect { .. }
    ));
    assert_eq!(
        strikes.lost_hosts(POISON, second_ms),
        [HostKey(1), HostKey(2)]
    );
}

#[test]
fn suspicion_and_rejection_expire() {
    let one = strikes_after(&[loss(1, 0, START)]);
    let end_ms = START.after(SUSPECT_TTL_MS);
    assert_eq!(one.verdict(POISON, end_ms), Verdict::Clear);
    let two = strikes_after(&[loss(1, 0, START), loss(2, 1, START)]);
    assert_eq!(two.verdict(POISON, end_ms), Verdict::Rejected);
    let end_ms = START.after(REJECTED_TTL_MS);
    assert_eq!(two.verdict(POISON, end_ms), Verdict::Clear);
}

// When a switch fails, all hosts behind it are lost within seconds, and popular content ran on
// several of them. Counting these losses one by one would refuse benign requests as failed.
#[test]
fn loss_of_a_failure_domain_implicates_no_request() {
    let losses: Vec<_> = (0..3)
        .map(|host| loss(host, 0, START.after(host * 1_500)))
        .collect();
    let strikes = strikes_after(&losses);
    assert_eq!(strikes.verdict(POISON, START.after(3_000)), Verdict::Clear);
    // Until the window has passed, two losses in one failure domain may be part of a larger one.
    let two = strikes_after(&losses[..2]);
    let verdict = two.verdict(POISON, START.after(2_000));
    assert!(matches!(verdict, Verdict::Suspect { .. }));
    let window_end_ms = START.after(1_500 + CORRELATION_WINDOW_MS);
    assert_eq!(two.verdict(POISON, window_end_ms), Verdict::Rejected);
}

// The notice of a reclaim can arrive after the host is lost. A verdict that used only what was
// known at the time of the loss would refuse the requests that ran on the host.
#[test]
fn late_leave_notice_clears_the_requests() {
    let mut strikes = strikes_after(&[loss(1, 0, START), loss(2, 1, START)]);
    strikes.record_announced_leave(HostKey(1), START.after(4_000));
    let verdict = strikes.verdict(POISON, START.after(4_000));
    assert!(matches!(verdict, Verdict::Suspect { .. }));
    strikes.record_announced_leave(HostKey(2), START.after(5_000));
    assert_eq!(strikes.verdict(POISON, START.after(5_000)), Verdict::Clear);
}

// One node sees the connection close, another detects seconds later that its streams are silent.
// The two reports of one crash must not count as two losses.
#[test]
fn one_loss_reported_by_several_nodes_counts_once() {
    let strikes = strikes_after(&[loss(1, 0, START), loss(1, 0, START.after(7_000))]);
    let verdict = strikes.verdict(POISON, START.after(9_000));
    assert!(matches!(verdict, Verdict::Suspect { .. }));
}

#[test]
fn many_suspects_do_not_evict_rejected_records() {
    let mut strikes = strikes_after(&[loss(1, 0, START), loss(2, 1, START)]);
    let later = START.after(30_000);
    let many: Vec<_> = (100..100 + MAX_RECORDS as u64 + 50)
        .map(Fingerprint)
        .collect();
    strikes.record_loss(loss(3, 2, later), &many, later);
    assert_eq!(strikes.verdict(POISON, later), Verdict::Rejected);
    assert_eq!(strikes.records.len(), MAX_RECORDS);
}

#[test]
fn report_is_forwarded_once() {
    let mut one = strikes_after(&[loss(1, 0, START)]);
    let report = one.take_report();
    assert!(one.take_report().is_empty());
    let mut other = StrikeTable::default();
    other.merge(&report, START);
    assert_eq!(other.verdict(POISON, START), one.verdict(POISON, START));
    assert!(!other.take_report().is_empty(), "new content is forwarded");
    other.merge(&report, START);
    assert!(
        other.take_report().is_empty(),
        "known content is not forwarded"
    );
}

proptest! {
    // Reports reach nodes in any order and more than once; all nodes must reach the same verdicts.
    #[test]
    fn verdicts_do_not_depend_on_report_order(
        losses in proptest::collection::vec((0_u64..6, 0_u16..3, 0_u64..20, 0_u64..4), 1..10),
        order in proptest::collection::vec(any::<proptest::sample::Index>(), 20),
        passed in proptest::option::of(0_u64..400_000),
    ) {
        let reports: Vec<_> = losses.iter().map(|(host, domain, round, fingerprint)| {
            let at_ms = START.after(round * 25_000 + host * 10);
            let host_loss = loss(host * 4 + u64::from(*domain), *domain, at_ms);
            let mut strikes = StrikeTable::default();
            strikes.record_loss(host_loss, &[Fingerprint(*fingerprint)], at_ms);
            if let Some(passed) = passed {
                strikes.record_passed(Fingerprint(*fingerprint), START.after(passed));
            }
            strikes.full_report()
        }).collect();
        let end = START.after(500_000);
        let mut in_order = StrikeTable::default();
        for report in &reports {
            in_order.merge(report, end);
        }
        let mut shuffled = StrikeTable::default();
        for index in &order {
            shuffled.merge(index.get(&reports), end);
        }
        for report in reports.iter().rev() {
            shuffled.merge(report, end);
        }
        for fingerprint in (0..4).map(Fingerprint) {
            prop_assert_eq!(in_order.verdict(fingerprint, end), shuffled.verdict(fingerprint, end));
        }
        prop_assert_eq!(in_order.losses, shuffled.losses);
    }
}
