//! Who is suspected, who is refused, who is spared, and that nodes come to agree.

use proptest::prelude::*;

use super::{
    CONVICTED_FOR_MS, CORRELATED_WITHIN_MS, Death, Fingerprint, RECORDS_KEPT, SETTLE_MS,
    SUSPECT_FOR_MS, Strikes, Verdict,
};
use crate::keys::{DomainKey, HostKey};
use crate::time::TimeMs;

const KILLER: Fingerprint = Fingerprint(1);
const INNOCENT: Fingerprint = Fingerprint(2);
const START: TimeMs = TimeMs(1_000_000);

fn death(host: u64, domain: u16, at_ms: TimeMs) -> Death {
    Death {
        host: HostKey(host),
        domain: DomainKey(domain),
        at_ms,
    }
}

fn after_deaths(deaths: &[Death]) -> Strikes {
    let mut strikes = Strikes::default();
    for death in deaths {
        strikes.note_death(*death, &[KILLER], death.at_ms);
    }
    strikes
}

// Symptom: one request takes down host after host. Sequence: it crashes its host, is moved to the
// next, crashes that one too, and comes again under a new id. Cause: a retry that looks only at the
// request's id, and no memory of what was running when a host died.
#[test]
fn two_deaths_convict_and_one_suspects() {
    let second_ms = START.after(20_000);
    let mut strikes = Strikes::default();
    assert_eq!(strikes.verdict(KILLER, START), Verdict::Clear);
    strikes.note_death(death(1, 0, START), &[INNOCENT, KILLER], START);
    let suspect = Verdict::Suspect {
        not_before_ms: START.after(SETTLE_MS),
    };
    assert_eq!(strikes.verdict(KILLER, START), suspect);
    assert_eq!(strikes.verdict(INNOCENT, START), suspect);
    strikes.note_passed(INNOCENT, START.after(2_000));
    strikes.note_death(death(2, 1, second_ms), &[KILLER, INNOCENT], second_ms);
    assert_eq!(strikes.verdict(KILLER, second_ms), Verdict::Convicted);
    assert!(matches!(
        strikes.verdict(INNOCENT, second_ms),
        Verdict::Suspect { .. }
    ));
    assert_eq!(
        strikes.died_with(KILLER, second_ms),
        [HostKey(1), HostKey(2)]
    );
}

#[test]
fn suspicion_and_conviction_end() {
    let one = after_deaths(&[death(1, 0, START)]);
    let end_ms = START.after(SUSPECT_FOR_MS);
    assert_eq!(one.verdict(KILLER, end_ms), Verdict::Clear);
    let two = after_deaths(&[death(1, 0, START), death(2, 1, START)]);
    assert_eq!(two.verdict(KILLER, end_ms), Verdict::Convicted);
    let end_ms = START.after(CONVICTED_FOR_MS);
    assert_eq!(two.verdict(KILLER, end_ms), Verdict::Clear);
}

// Symptom: after the loss of a failure domain, sound requests are refused as "failed". Sequence: a
// switch goes, all hosts behind it are gone within seconds; popular content ran on several of them.
// Cause: deaths with a common cause outside of the requests were counted one by one.
#[test]
fn a_lost_failure_domain_accuses_nobody() {
    let deaths: Vec<_> = (0..3)
        .map(|host| death(host, 0, START.after(host * 1_500)))
        .collect();
    let strikes = after_deaths(&deaths);
    assert_eq!(strikes.verdict(KILLER, START.after(3_000)), Verdict::Clear);
    // Until the window has passed, two deaths in one failure domain may still be part of a loss.
    let two = after_deaths(&deaths[..2]);
    let undecided = two.verdict(KILLER, START.after(2_000));
    assert!(matches!(undecided, Verdict::Suspect { .. }));
    let decided_ms = START.after(1_500 + CORRELATED_WITHIN_MS);
    assert_eq!(two.verdict(KILLER, decided_ms), Verdict::Convicted);
}

// Symptom: requests on a reclaimed host are refused. Sequence: the host dies, the notice of its
// reclaim arrives only after that. Cause: the death was judged by what was known at its time.
#[test]
fn a_notice_that_comes_late_clears_the_requests() {
    let mut strikes = after_deaths(&[death(1, 0, START), death(2, 1, START)]);
    strikes.note_announced(HostKey(1), START.after(4_000));
    let verdict = strikes.verdict(KILLER, START.after(4_000));
    assert!(matches!(verdict, Verdict::Suspect { .. }));
    strikes.note_announced(HostKey(2), START.after(5_000));
    assert_eq!(strikes.verdict(KILLER, START.after(5_000)), Verdict::Clear);
}

// Symptom: one crash counts twice. Sequence: one node sees the connection close, another notices
// seconds later that its streams are silent. Cause: two reports of one death taken for two deaths.
#[test]
fn reports_of_one_death_by_several_nodes_count_once() {
    let strikes = after_deaths(&[death(1, 0, START), death(1, 0, START.after(7_000))]);
    let verdict = strikes.verdict(KILLER, START.after(9_000));
    assert!(matches!(verdict, Verdict::Suspect { .. }));
}

#[test]
fn a_flood_of_suspicions_does_not_push_out_the_convicted() {
    let mut strikes = after_deaths(&[death(1, 0, START), death(2, 1, START)]);
    let later = START.after(30_000);
    let many: Vec<_> = (100..100 + RECORDS_KEPT as u64 + 50)
        .map(Fingerprint)
        .collect();
    strikes.note_death(death(3, 2, later), &many, later);
    assert_eq!(strikes.verdict(KILLER, later), Verdict::Convicted);
    assert_eq!(strikes.records.len(), RECORDS_KEPT);
}

#[test]
fn a_report_is_passed_on_once_and_not_for_ever() {
    let mut one = after_deaths(&[death(1, 0, START)]);
    let report = one.take_report();
    assert!(one.take_report().is_empty());
    let mut other = Strikes::default();
    other.merge(&report, START);
    assert_eq!(other.verdict(KILLER, START), one.verdict(KILLER, START));
    assert!(!other.take_report().is_empty(), "news are passed on");
    other.merge(&report, START);
    assert!(other.take_report().is_empty(), "known things are not");
}

proptest! {
    // Reports reach nodes in any order and more than once; all must come to the same verdicts.
    #[test]
    fn nodes_agree_whatever_the_order(
        deaths in proptest::collection::vec((0_u64..6, 0_u16..3, 0_u64..20, 0_u64..4), 1..10),
        order in proptest::collection::vec(any::<proptest::sample::Index>(), 20),
        passed in proptest::option::of(0_u64..400_000),
    ) {
        let reports: Vec<_> = deaths.iter().map(|(host, domain, round, fingerprint)| {
            let at_ms = START.after(round * 25_000 + host * 10);
            let host_death = death(host * 4 + u64::from(*domain), *domain, at_ms);
            let mut strikes = Strikes::default();
            strikes.note_death(host_death, &[Fingerprint(*fingerprint)], at_ms);
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
        prop_assert_eq!(in_order.deaths, shuffled.deaths);
    }
}
