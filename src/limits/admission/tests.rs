//! Tests of the single rules; `tests/limits_fairness.rs` runs a fleet of nodes at twice its
//! capacity.

use proptest::prelude::*;

use super::{AdmissionState, WaitEnd};
use crate::keys::PoolKey;
use crate::limits::{Admission, AdmissionRequest, RefusalReason, TeamLimit, TeamTag, Ticket};
use crate::time::TimeMs;

const POOL: PoolKey = PoolKey(0);
const INTERACTIVE: u8 = 7;
const BATCH: u8 = 1;

fn limits(capacity: f64, weights: &[f64]) -> AdmissionState {
    let mut limits = AdmissionState::new(POOL);
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

fn request(team: u32, priority: u8, now: TimeMs) -> AdmissionRequest {
    AdmissionRequest {
        team: TeamTag(team),
        priority,
        expected_hold_ms: 1_000.0,
        max_wait_ms: 100_000,
        latest_start_ms: now.after(100_000),
    }
}

fn expect_wait(limits: &mut AdmissionState, request: AdmissionRequest) -> Ticket {
    match limits.admit(request, TimeMs(0)) {
        Admission::Wait { ticket, .. } => ticket,
        other => panic!("expected the request to wait, got {other:?}"),
    }
}

fn started(woken: Vec<WaitEnd>) -> Vec<Ticket> {
    let tickets = woken.into_iter().map(|wake| match wake {
        WaitEnd::Run(ticket) => ticket,
        WaitEnd::Refuse(ticket, _) => panic!("{ticket:?} was refused"),
    });
    tickets.collect()
}

#[test]
fn higher_priority_starts_first_then_the_oldest() {
    let mut limits = limits(1.0, &[1.0]);
    let now = TimeMs(0);
    assert!(matches!(
        limits.admit(request(0, 5, now), now),
        Admission::Run(_)
    ));
    let third = expect_wait(&mut limits, request(0, 5, now));
    let first = expect_wait(&mut limits, request(0, 7, now));
    let second = expect_wait(&mut limits, request(0, 7, now));
    let mut order = Vec::new();
    for _ in 0..3 {
        limits.release(TeamTag(0), 5, 1_000.0);
        order.extend(started(limits.admit_waiting(now)));
    }
    assert_eq!(order, [first, second, third]);
}

// Batch requests that take every slot would make interactive requests wait until one of them ends.
#[test]
fn batch_requests_leave_headroom_and_start_after_interactive_ones() {
    let mut limits = limits(40.0, &[1.0, 1.0]);
    let now = TimeMs(0);
    let batch: Vec<_> = (0..40)
        .map(|_| limits.admit(request(0, BATCH, now), now))
        .collect();
    let running = batch
        .iter()
        .filter(|a| matches!(a, Admission::Run(_)))
        .count();
    assert_eq!(running, 38);
    for _ in 0..2 {
        let admission = limits.admit(request(1, INTERACTIVE, now), now);
        assert!(matches!(admission, Admission::Run(_)));
    }
    let interactive = expect_wait(&mut limits, request(1, INTERACTIVE, now));
    for _ in 0..3 {
        limits.release(TeamTag(0), BATCH, 1_000.0);
    }
    assert_eq!(started(limits.admit_waiting(now))[0], interactive);
}

#[test]
fn requests_that_cannot_meet_their_target_are_refused_on_arrival() {
    let mut limits = limits(1.0, &[1.0]);
    let now = TimeMs(0);
    assert!(matches!(
        limits.admit(request(0, 5, now), now),
        Admission::Run(_)
    ));
    let impatient = AdmissionRequest {
        max_wait_ms: 100,
        ..request(0, 5, now)
    };
    let Admission::Refuse(refusal) = limits.admit(impatient, now) else {
        panic!("expected a refusal: the wait of one second exceeds the limit of 100 ms");
    };
    assert_eq!(refusal.reason, RefusalReason::TooLate);
    assert!(refusal.retry_after_ms >= 900);
    let unknown = limits.admit(request(9, 5, now), now);
    assert!(matches!(unknown, Admission::Refuse(r) if r.reason == RefusalReason::UnknownTeam));
    limits.set_capacity(0.0, now);
    let without_capacity = limits.admit(request(0, 5, now), now);
    assert!(
        matches!(without_capacity, Admission::Refuse(r) if r.reason == RefusalReason::NoCapacity)
    );
}

#[test]
fn waiting_request_is_refused_after_its_latest_start() {
    let mut limits = limits(1.0, &[1.0]);
    let now = TimeMs(0);
    assert!(matches!(
        limits.admit(request(0, 5, now), now),
        Admission::Run(_)
    ));
    let late = AdmissionRequest {
        latest_start_ms: TimeMs(1_500),
        ..request(0, 5, now)
    };
    let ticket = expect_wait(&mut limits, late);
    assert!(limits.admit_waiting(TimeMs(1_500)).is_empty());
    let woken = limits.admit_waiting(TimeMs(1_501));
    assert!(matches!(woken[..], [WaitEnd::Refuse(refused, _)] if refused == ticket));
}

#[test]
fn team_queue_is_bounded_by_max_waiting() {
    let mut limits = limits(1.0, &[1.0]);
    let now = TimeMs(0);
    let few = TeamLimit {
        max_waiting: 3,
        ..team(0, 1.0)
    };
    limits.set_teams(&[few], now);
    let admissions: Vec<_> = (0..6)
        .map(|_| limits.admit(request(0, 5, now), now))
        .collect();
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
fn removing_a_team_frees_its_slots() {
    let mut limits = limits(1.0, &[1.0, 1.0]);
    let now = TimeMs(0);
    assert!(matches!(
        limits.admit(request(0, 5, now), now),
        Admission::Run(_)
    ));
    let ticket = expect_wait(&mut limits, request(0, 5, now));
    let woken = limits.set_teams(&[team(1, 1.0)], now);
    assert!(matches!(woken[..], [WaitEnd::Refuse(refused, _)] if refused == ticket));
    assert!(matches!(
        limits.admit(request(1, 5, now), now),
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
    Advance {
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
    let advance = (0_u64..3_000).prop_map(|ms| Step::Advance { ms });
    let step = prop_oneof![4 => admit, 2 => Just(Step::Release), 1 => advance];
    proptest::collection::vec(step, 1..120)
}

proptest! {
    // Each request starts or is refused exactly once, and the running requests never exceed the
    // capacity.
    #[test]
    fn each_request_is_admitted_or_refused_exactly_once(
        steps in steps(),
        capacity in 1.0_f64..12.0,
    ) {
        let mut limits = limits(capacity, &[1.0, 2.0, 3.0]);
        let mut now = TimeMs(1_000);
        let mut waiting = std::collections::BTreeSet::new();
        let mut running = Vec::new();
        let mut requests = std::collections::BTreeMap::new();
        // At the end, all running requests are released and all waiting ones expire.
        let end = std::iter::repeat_n(Step::Release, 120).chain([Step::Advance { ms: 60_000 }]);
        for step in steps.into_iter().chain(end) {
            match step {
                Step::Admit { team, priority, patience_ms } => {
                    let request = AdmissionRequest {
                        max_wait_ms: patience_ms,
                        latest_start_ms: now.after(patience_ms),
                        ..request(team, priority, now)
                    };
                    match limits.admit(request, now) {
                        Admission::Run(_) => running.push(request),
                        Admission::Wait { ticket, .. } => {
                            requests.insert(ticket, request);
                            prop_assert!(waiting.insert(ticket));
                        }
                        Admission::Refuse(_) => {}
                    }
                }
                Step::Release => {
                    if let Some(request) = running.pop() {
                        limits.release(request.team, request.priority, 1_000.0);
                    }
                }
                Step::Advance { ms } => now = now.after(ms),
            }
            for wake in limits.admit_waiting(now) {
                let (WaitEnd::Run(ticket) | WaitEnd::Refuse(ticket, _)) = wake;
                prop_assert!(waiting.remove(&ticket), "{:?} left the queue twice", ticket);
                if matches!(wake, WaitEnd::Run(_)) {
                    running.push(requests[&ticket]);
                }
            }
            let counts = [running.len(), waiting.len()].map(|count| u32::try_from(count).unwrap());
            prop_assert!(f64::from(counts[0]) <= capacity.ceil());
            prop_assert_eq!(limits.counts(), (counts[0], counts[1]));
        }
        prop_assert!(waiting.is_empty());
    }
}
