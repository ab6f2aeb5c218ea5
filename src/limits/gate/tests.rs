//! Tests that released slots go to waiting requests and that no slot leaks.

use std::sync::Arc;

use super::Gate;
use crate::keys::PoolKey;
use crate::limits::{AdmissionRequest, RefusalReason, TeamLimit, TeamTag};
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

fn request(clock: Clock, max_wait_ms: u64) -> AdmissionRequest {
    AdmissionRequest {
        team: TEAM,
        priority: 5,
        expected_hold_ms: 10.0,
        max_wait_ms,
        latest_start_ms: clock.now().after(max_wait_ms),
    }
}

#[tokio::test]
async fn released_slot_goes_to_the_next_waiting_request() {
    let clock = Clock::new();
    let gate = gate(clock);
    let first = gate.acquire(request(clock, LONG_MS)).await.unwrap();
    let waiting = tokio::spawn({
        let gate = Arc::clone(&gate);
        async move { gate.acquire(request(clock, LONG_MS)).await }
    });
    while gate.counts() != (1, 1) {
        tokio::task::yield_now().await;
    }
    drop(first);
    let second = waiting.await.unwrap().unwrap();
    assert_eq!(gate.counts(), (1, 0));
    drop(second);
    assert_eq!(gate.counts(), (0, 0));
}

// A caller can disconnect at the moment when its request is granted a slot. Without a release the
// slot leaks, and the node serves fewer and fewer requests until it is restarted.
#[tokio::test]
async fn dropped_waiter_returns_a_slot_granted_to_it() {
    let clock = Clock::new();
    let gate = gate(clock);
    let first = gate.acquire(request(clock, LONG_MS)).await.unwrap();
    let mut waiting = Box::pin(gate.acquire(request(clock, LONG_MS)));
    assert!(futures::poll!(&mut waiting).is_pending());
    assert_eq!(gate.counts(), (1, 1));
    drop(first);
    assert_eq!(
        gate.counts(),
        (1, 0),
        "the slot is granted to the waiting request"
    );
    drop(waiting);
    assert_eq!(gate.counts(), (0, 0), "the slot is released");
    let mut waiting = Box::pin(gate.acquire(request(clock, LONG_MS)));
    assert!(futures::poll!(&mut waiting).is_ready());
}

#[tokio::test]
async fn request_that_cannot_start_in_time_is_refused() {
    let clock = Clock::new();
    let gate = gate(clock);
    let _first = gate.acquire(request(clock, LONG_MS)).await.unwrap();
    let mut impatient = request(clock, LONG_MS);
    impatient.max_wait_ms = 1;
    let refusal = gate.acquire(impatient).await.unwrap_err();
    assert_eq!(refusal.reason, RefusalReason::TooLate);
    let mut late = request(clock, LONG_MS);
    late.latest_start_ms = clock.now().after(50);
    let refusal = gate.acquire(late).await.unwrap_err();
    assert_eq!(refusal.reason, RefusalReason::TooLate);
    assert_eq!(gate.counts(), (1, 0));
}
