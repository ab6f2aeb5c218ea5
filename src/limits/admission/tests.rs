//! The rules one by one; `tests/limits_fairness.rs` has a fleet of nodes at twice its capacity.

use proptest::prelude::*;

use super::{Limits, Wake};
use crate::keys::PoolKey;
use crate::limits::{Admission, AdmitAsk, RefusalReason, TeamLimit, TeamTag, Ticket};
use crate::time::TimeMs;

const POOL: PoolKey = PoolKey(0);
const INTERACTIVE: u8 = 7;
const BATCH: u8 = 1;

fn limits(capacity: f64, weights: &[f64]) -> Limits {
    let mut limits = Limits::new(POOL);
    let teams: Vec<_> = (0..)
        .zip(weights)
        .map(|(tag, weight)| team(tag, *weight))
        .collect();
    limits.set_teams(&teams, TimeMs(0));
    limits.set_capacity(capacity, TimeMs(0));
    limits
}

fn team(tag: u32, weight: f64) -> TeamLimit {
    TeamLimit {
        tag: TeamTag(tag),
        weight,
        max_waiting: 1_000,
    }
}

fn ask(team: u32, priority: u8, now: TimeMs) -> AdmitAsk {
    AdmitAsk {
        team: TeamTag(team),
        priority,
        cost_ms: 1_000.0,
        patience_ms: 100_000,
        latest_start_ms: now.after(100_000),
    }
}

fn waits(limits: &mut Limits, ask: AdmitAsk) -> Ticket {
    match limits.admit(ask, TimeMs(0)) {
        Admission::Wait { ticket, .. } => ticket,
        other => panic!("expected to wait: {other:?}"),
    }
}

fn started(woken: Vec<Wake>) -> Vec<Ticket> {
    let tickets = woken.into_iter().map(|wake| match wake {
        Wake::Run(ticket) => ticket,
        Wake::Refuse(ticket, _) => panic!("{ticket:?} was refused"),
    });
    tickets.collect()
}

#[test]
fn higher_priority_goes_first_and_then_the_oldest() {
    let mut limits = limits(1.0, &[1.0]);
    let now = TimeMs(0);
    assert!(matches!(
        limits.admit(ask(0, 5, now), now),
        Admission::Run(_)
    ));
    let third = waits(&mut limits, ask(0, 5, now));
    let first = waits(&mut limits, ask(0, 7, now));
    let second = waits(&mut limits, ask(0, 7, now));
    let mut order = Vec::new();
    for _ in 0..3 {
        limits.release(TeamTag(0), 5, 1_000.0);
        order.extend(started(limits.wake(now)));
    }
    assert_eq!(order, [first, second, third]);
}

// Symptom: a colourist waits behind a night's batch of reports. Sequence: batch work fills all
// slots, then an interactive request comes. Cause: batch work was let into the last slot.
#[test]
fn batch_work_leaves_room_and_goes_after_interactive_work() {
    let mut limits = limits(40.0, &[1.0, 1.0]);
    let now = TimeMs(0);
    let batch: Vec<_> = (0..40)
        .map(|_| limits.admit(ask(0, BATCH, now), now))
        .collect();
    let running = batch
        .iter()
        .filter(|a| matches!(a, Admission::Run(_)))
        .count();
    assert_eq!(running, 38);
    for _ in 0..2 {
        let admission = limits.admit(ask(1, INTERACTIVE, now), now);
        assert!(matches!(admission, Admission::Run(_)));
    }
    let interactive = waits(&mut limits, ask(1, INTERACTIVE, now));
    for _ in 0..3 {
        limits.release(TeamTag(0), BATCH, 1_000.0);
    }
    assert_eq!(started(limits.wake(now))[0], interactive);
}

#[test]
fn requests_that_cannot_be_answered_in_time_are_refused_at_once() {
    let mut limits = limits(1.0, &[1.0]);
    let now = TimeMs(0);
    assert!(matches!(
        limits.admit(ask(0, 5, now), now),
        Admission::Run(_)
    ));
    let hasty = AdmitAsk {
        patience_ms: 100,
        ..ask(0, 5, now)
    };
    let Admission::Refuse(refusal) = limits.admit(hasty, now) else {
        panic!("a request that would wait a second has no use for it");
    };
    assert_eq!(refusal.reason, RefusalReason::TooLate);
    assert!(refusal.retry_after_ms >= 900);
    let unknown = limits.admit(ask(9, 5, now), now);
    assert!(matches!(unknown, Admission::Refuse(r) if r.reason == RefusalReason::UnknownTeam));
    limits.set_capacity(0.0, now);
    let nowhere = limits.admit(ask(0, 5, now), now);
    assert!(matches!(nowhere, Admission::Refuse(r) if r.reason == RefusalReason::NoCapacity));
}

#[test]
fn a_request_that_can_no_longer_end_in_time_is_refused_while_it_waits() {
    let mut limits = limits(1.0, &[1.0]);
    let now = TimeMs(0);
    assert!(matches!(
        limits.admit(ask(0, 5, now), now),
        Admission::Run(_)
    ));
    let late = AdmitAsk {
        latest_start_ms: TimeMs(1_500),
        ..ask(0, 5, now)
    };
    let ticket = waits(&mut limits, late);
    assert!(limits.wake(TimeMs(1_500)).is_empty());
    let woken = limits.wake(TimeMs(1_501));
    assert!(matches!(woken[..], [Wake::Refuse(refused, _)] if refused == ticket));
}

#[test]
fn a_team_has_no_more_waiting_than_it_may() {
    let mut limits = limits(1.0, &[1.0]);
    let now = TimeMs(0);
    let few = TeamLimit {
        max_waiting: 3,
        ..team(0, 1.0)
    };
    limits.set_teams(&[few], now);
    let admissions: Vec<_> = (0..6).map(|_| limits.admit(ask(0, 5, now), now)).collect();
    let waiting = admissions
        .iter()
        .filter(|a| matches!(a, Admission::Wait { .. }));
    assert_eq!(waiting.count(), 3);
    assert!(matches!(
        admissions[5],
        Admission::Refuse(refusal) if refusal.reason == RefusalReason::TooManyWaiting
    ));
}

#[test]
fn a_team_that_a_revision_removes_leaves_no_slot_taken() {
    let mut limits = limits(1.0, &[1.0, 1.0]);
    let now = TimeMs(0);
    assert!(matches!(
        limits.admit(ask(0, 5, now), now),
        Admission::Run(_)
    ));
    let ticket = waits(&mut limits, ask(0, 5, now));
    let woken = limits.set_teams(&[team(1, 1.0)], now);
    assert!(matches!(woken[..], [Wake::Refuse(refused, _)] if refused == ticket));
    assert!(matches!(
        limits.admit(ask(1, 5, now), now),
        Admission::Run(_)
    ));
    limits.release(TeamTag(0), 5, 1_000.0);
    assert_eq!(limits.counts(), (1, 0));
}

#[derive(Clone, Debug)]
enum Step {
    Admit {
        team: u32,
        priority: u8,
        patience_ms: u64,
    },
    Release,
    Pass {
        ms: u64,
    },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let admit =
        (0_u32..3, 0_u8..10, 0_u64..5_000).prop_map(|(team, priority, patience_ms)| Step::Admit {
            team,
            priority,
            patience_ms,
        });
    let pass = (0_u64..3_000).prop_map(|ms| Step::Pass { ms });
    let step = prop_oneof![4 => admit, 2 => Just(Step::Release), 1 => pass];
    proptest::collection::vec(step, 1..120)
}

proptest! {
    // Each request starts or is refused, once, and never more run than the node may.
    #[test]
    fn each_request_is_answered_once(steps in steps(), capacity in 1.0_f64..12.0) {
        let mut limits = limits(capacity, &[1.0, 2.0, 3.0]);
        let mut now = TimeMs(1_000);
        let mut waiting = std::collections::BTreeSet::new();
        let mut running = Vec::new();
        let mut asks = std::collections::BTreeMap::new();
        // At the end all are released and enough time passes.
        let end = std::iter::repeat_n(Step::Release, 120).chain([Step::Pass { ms: 60_000 }]);
        for step in steps.into_iter().chain(end) {
            match step {
                Step::Admit { team, priority, patience_ms } => {
                    let ask = AdmitAsk {
                        patience_ms,
                        latest_start_ms: now.after(patience_ms),
                        ..ask(team, priority, now)
                    };
                    match limits.admit(ask, now) {
                        Admission::Run(_) => running.push(ask),
                        Admission::Wait { ticket, .. } => {
                            asks.insert(ticket, ask);
                            prop_assert!(waiting.insert(ticket));
                        }
                        Admission::Refuse(_) => {}
                    }
                }
                Step::Release => {
                    if let Some(ask) = running.pop() {
                        limits.release(ask.team, ask.priority, 1_000.0);
                    }
                }
                Step::Pass { ms } => now = now.after(ms),
            }
            for wake in limits.wake(now) {
                let (Wake::Run(ticket) | Wake::Refuse(ticket, _)) = wake;
                prop_assert!(waiting.remove(&ticket), "{:?} was woken twice", ticket);
                if matches!(wake, Wake::Run(_)) {
                    running.push(asks[&ticket]);
                }
            }
            let counts = [running.len(), waiting.len()].map(|count| u32::try_from(count).unwrap());
            prop_assert!(f64::from(counts[0]) <= capacity.ceil());
            prop_assert_eq!(limits.counts(), (counts[0], counts[1]));
        }
        prop_assert!(waiting.is_empty());
    }
}
