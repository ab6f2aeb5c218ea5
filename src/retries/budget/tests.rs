//! What budgets allow while a pool fails, and what they never allow.

use http::StatusCode;

use super::{Denied, Retry, RetryAsk, RetryBudget, RetryPolicy};
use crate::time::TimeMs;
use crate::upstreams::{Delivery, LostCause, NotRunReason, UpstreamError};

const LOST: UpstreamError = UpstreamError::Lost(LostCause::Truncated);
const NOT_RUN: UpstreamError = UpstreamError::NotRun(NotRunReason::Draining);

fn ask(error: &UpstreamError) -> RetryAsk<'_> {
    RetryAsk {
        error,
        delivery: Delivery::Repeatable,
        attempts: 1,
        in_progress: false,
        deadline_ms: TimeMs(1_000_000),
        expected_ms: 1_000,
    }
}

// Symptom: upstreams that come back are pushed over again at once. Sequence: half of the pool
// fails, each failed request is sent again up to three times, so the healthy half gets twice its
// load and fails too. Cause: retries that nothing bounds multiply the load when there is least room.
#[test]
fn attempts_stay_within_a_tenth_above_requests_while_half_the_pool_fails() {
    let policy = RetryPolicy::default();
    let mut budget = RetryBudget::new(TimeMs(0));
    let (requests, mut attempts) = (20_000_u64, 0_u64);
    for request in 0..requests {
        let now = TimeMs(request * 5);
        attempts += 1;
        let mut failed = request % 2 == 0;
        let mut tried = 1;
        while failed {
            let retry = RetryAsk {
                attempts: tried,
                deadline_ms: now.after(2_000),
                ..ask(&LOST)
            };
            match budget.may_retry(&policy, &retry, now) {
                Retry::No(_) => break,
                Retry::Now | Retry::At(_) => {
                    attempts += 1;
                    tried += 1;
                    failed = attempts.is_multiple_of(2);
                }
            }
        }
        if !failed {
            budget.note_success(&policy, now);
        }
    }
    assert!(attempts > requests, "the budget allows some retries");
    assert!(attempts * 10 <= requests * 11, "{attempts} for {requests}");
}

// Symptom: a brewery is paid twice. Sequence: a claim is sent, its connection breaks, the claim is
// sent to another host. Cause: a request that may have run was taken for one that had not.
#[test]
fn a_non_idempotent_request_is_repeated_only_if_it_provably_did_not_start() {
    let policy = RetryPolicy::default();
    let mut budget = RetryBudget::new(TimeMs(0));
    let rejected = UpstreamError::Rejected {
        status: StatusCode::BAD_GATEWAY,
    };
    for error in [&LOST, &rejected] {
        let once = RetryAsk {
            delivery: Delivery::AtMostOnce,
            in_progress: true,
            ..ask(error)
        };
        let retry = budget.may_retry(&policy, &once, TimeMs(0));
        assert_eq!(retry, Retry::No(Denied::MayHaveRun));
    }
    let once = RetryAsk {
        delivery: Delivery::AtMostOnce,
        ..ask(&NOT_RUN)
    };
    assert_eq!(budget.may_retry(&policy, &once, TimeMs(0)), Retry::Now);
}

#[test]
fn a_spent_budget_sets_one_retry_aside_for_the_floor_and_denies_the_rest() {
    let policy = RetryPolicy::default();
    let mut budget = RetryBudget::new(TimeMs(0));
    let ask = ask(&NOT_RUN);
    assert_eq!(budget.may_retry(&policy, &ask, TimeMs(0)), Retry::Now);
    let waits = budget.may_retry(&policy, &ask, TimeMs(0));
    assert_eq!(waits, Retry::At(TimeMs(10_000)));
    let denied = budget.may_retry(&policy, &ask, TimeMs(0));
    assert_eq!(denied, Retry::No(Denied::BudgetSpent));
}

#[test]
fn no_attempt_is_made_that_cannot_end_by_the_deadline() {
    let policy = RetryPolicy::default();
    let mut budget = RetryBudget::new(TimeMs(0));
    let late = RetryAsk {
        deadline_ms: TimeMs(999),
        ..ask(&NOT_RUN)
    };
    let retry = budget.may_retry(&policy, &late, TimeMs(0));
    assert_eq!(retry, Retry::No(Denied::DeadlineNear));
    assert_eq!(
        budget.may_retry(&policy, &ask(&LOST), TimeMs(0)),
        Retry::Now
    );
}

// Symptom: half-finished reports are given up when a failure domain is lost. Sequence: forty
// streams lose their hosts at once, the budget pays for the first ten. Cause: a stream that goes on
// from its position was treated like a request that never got anywhere.
#[test]
fn streams_in_progress_go_on_when_many_are_lost_at_once() {
    let policy = RetryPolicy::default();
    let mut budget = RetryBudget::new(TimeMs(0));
    let stream = RetryAsk {
        in_progress: true,
        ..ask(&LOST)
    };
    for _ in 0..40 {
        assert_eq!(budget.may_retry(&policy, &stream, TimeMs(0)), Retry::Now);
    }
    let last = RetryAsk {
        attempts: policy.attempts,
        ..stream
    };
    let denied = budget.may_retry(&policy, &last, TimeMs(0));
    assert_eq!(denied, Retry::No(Denied::AttemptsSpent));
}
