//! Tests of suspicion, rejection and clearing, and of convergence between nodes.

use proptest::prelude::*;

use super::{
    CORRELATION_WINDOW_MS, Death, Fingerprint, MAX_RECORDS, REJECTED_TTL_MS, SETTLE_DELAY_MS,
    SUSPECT_TTL_MS, Strikes, Verdict,
};
use crate::keys::{DomainKey, HostKey};
use crate::time::TimeMs;

const POISON: Fingerprint = Fingerprint(1);
const BENIGN: Fingerprint = Fingerprint(2);
const START: TimeMs = TimeMs(1_000_000);

fn loss(host: u64, domain: u16, at_ms: TimeMs) -> Death {
    Death {
        host: HostKey(host),
        domain: DomainKey(domain),
        at_ms,
    }
}

fn strikes_after(losses: &[Death]) -> Strikes {
    let mut strikes = Strikes::default();
    for loss in losses {
        strikes.note_death(*loss, &[POISON], loss.at_ms);
    }
    strikes
}

// A request can crash its host, be moved to the next, crash that one too, and come again under a
// new id. Counting per id, without a record of what ran on a lost host, would let it crash host
// after host.
#[test]
fn one_loss_makes_a_suspect_and_two_reject() {
    let second_ms = START.after(20_000);
    let mut strikes = Strikes::default();
    assert_eq!(strikes.verdict(POISON, START), Verdict::Clear);
    strikes.note_death(loss(1, 0, START), &[BENIGN, POISON], START);
    let suspect = Verdict::Suspect {
        not_before_ms: START.after(SETTLE_DELAY_MS),
    };
    assert_eq!(strikes.verdict(POISON, START), suspect);
    assert_eq!(strikes.verdict(BENIGN, START), suspect);
    strikes.note_passed(BENIGN, START.after(2_000));
    strikes.note_death(loss(2, 1, second_ms), &[POISON, BENIGN], second_ms);
    assert_eq!(strikes.verdict(POISON, second_ms), Verdict::Convicted);
    assert!(matches!(
        strikes.verdict(BENIGN, second_ms),
        Verdict::Suspect { .. }
    ));
    assert_eq!(
        strikes.died_with(POISON, second_ms),
        [HostKey(1), HostKey(2)]
    );
}

#[test]
fn suspicion_and_rejection_expire() {
    let one = strikes_after(&[loss(1, 0, START)]);
    let end_ms = START.after(SUSPECT_TTL_MS);
    assert_eq!(one.verdict(POISON, end_ms), Verdict::Clear);
    let two = strikes_after(&[loss(1, 0, START), loss(2, 1, START)]);
    assert_eq!(two.verdict(POISON, end_ms), Verdict::Convicted);
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
    assert_eq!(two.verdict(POISON, window_end_ms), Verdict::Convicted);
}

// The notice of a reclaim can arrive after the host is lost. A verdict that used only what was
// known at the time of the loss would refuse the requests that ran on the host.
#[test]
fn late_leave_notice_clears_the_requests() {
    let mut strikes = strikes_after(&[loss(1, 0, START), loss(2, 1, START)]);
    strikes.note_announced(HostKey(1), START.after(4_000));
    let verdict = strikes.verdict(POISON, START.after(4_000));
    assert!(matches!(verdict, Verdict::Suspect { .. }));
    strikes.note_announced(HostKey(2), START.after(5_000));
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
    strikes.note_death(loss(3, 2, later), &many, later);
    assert_eq!(strikes.verdict(POISON, later), Verdict::Convicted);
    assert_eq!(strikes.records.len(), MAX_RECORDS);
}

#[test]
fn report_is_forwarded_once() {
    let mut one = strikes_after(&[loss(1, 0, START)]);
    let report = one.take_report();
    assert!(one.take_report().is_empty());
    let mut other = Strikes::default();
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
            let mut strikes = Strikes::default();
            strikes.note_death(host_loss, &[Fingerprint(*fingerprint)], at_ms);
            if let Some(passed) = passed {
                strikes.note_passed(Fingerprint(*fingerprint), START.after(passed));
            }
            strikes.whole_report()
        }).collect();
        let end = START.after(500_000);
        let mut in_order = Strikes::default();
        for report in &reports {
            in_order.merge(report, end);
        }
        let mut shuffled = Strikes::default();
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
