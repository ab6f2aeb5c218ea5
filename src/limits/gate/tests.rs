//! Slots are handed on, and none is lost.

use std::sync::Arc;

use super::Gate;
use crate::keys::PoolKey;
use crate::limits::{AdmitAsk, RefusalReason, TeamLimit, TeamTag};
use crate::time::Clock;

const TEAM: TeamTag = TeamTag(1);
const LONG_MS: u64 = 60_000;

fn gate(clock: Clock) -> Arc<Gate> {
    let gate = Gate::new(PoolKey(0), clock);
    gate.set_teams(&[TeamLimit {
        tag: TEAM,
        weight: 1.0,
        max_waiting: 10,
    }]);
    gate.set_capacity(1.0);
    gate
}

fn ask(clock: Clock, patience_ms: u64) -> AdmitAsk {
    AdmitAsk {
        team: TEAM,
        priority: 5,
        cost_ms: 10.0,
        patience_ms,
        latest_start_ms: clock.now().after(patience_ms),
    }
}

#[tokio::test]
async fn a_slot_goes_to_the_next_in_the_queue() {
    let clock = Clock::new();
    let gate = gate(clock);
    let first = gate.enter(ask(clock, LONG_MS)).await.unwrap();
    let waits = tokio::spawn({
        let gate = Arc::clone(&gate);
        async move { gate.enter(ask(clock, LONG_MS)).await }
    });
    while gate.counts() != (1, 1) {
        tokio::task::yield_now().await;
    }
    drop(first);
    let second = waits.await.unwrap().unwrap();
    assert_eq!(gate.counts(), (1, 0));
    drop(second);
    assert_eq!(gate.counts(), (0, 0));
}

// Symptom: a node answers fewer and fewer requests until it is restarted. Sequence: a caller closes
// its connection in the moment in which its request is let through. Cause: the slot was handed to a
// request that nobody runs.
#[tokio::test]
async fn a_caller_that_goes_away_gives_its_slot_back() {
    let clock = Clock::new();
    let gate = gate(clock);
    let first = gate.enter(ask(clock, LONG_MS)).await.unwrap();
    let mut waits = Box::pin(gate.enter(ask(clock, LONG_MS)));
    assert!(futures::poll!(&mut waits).is_pending());
    assert_eq!(gate.counts(), (1, 1));
    drop(first);
    assert_eq!(gate.counts(), (1, 0), "the slot was handed on");
    drop(waits);
    assert_eq!(gate.counts(), (0, 0), "and given back");
    let mut waits = Box::pin(gate.enter(ask(clock, LONG_MS)));
    assert!(futures::poll!(&mut waits).is_ready());
}

#[tokio::test]
async fn a_request_that_cannot_start_in_time_is_refused() {
    let clock = Clock::new();
    let gate = gate(clock);
    let _first = gate.enter(ask(clock, LONG_MS)).await.unwrap();
    let mut hopeless = ask(clock, LONG_MS);
    hopeless.patience_ms = 1;
    let refusal = gate.enter(hopeless).await.unwrap_err();
    assert_eq!(refusal.reason, RefusalReason::TooLate);
    let mut late = ask(clock, LONG_MS);
    late.latest_start_ms = clock.now().after(50);
    let refusal = gate.enter(late).await.unwrap_err();
    assert_eq!(refusal.reason, RefusalReason::TooLate);
    assert_eq!(gate.counts(), (1, 0));
}
