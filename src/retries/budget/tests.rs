//! Tests of the retries that budgets allow and deny.

use http::StatusCode;

use super::{RetryBudget, RetryDecision, RetryDenial, RetryPolicy, RetryPurpose, RetryRequest};
use crate::time::TimeMs;
use crate::upstreams::{Delivery, LostCause, NotRunReason, UpstreamError};

const LOST: UpstreamError = UpstreamError::Lost(LostCause::Truncated);
const NOT_RUN: UpstreamError = UpstreamError::NotRun(NotRunReason::Draining);

fn retry_request(error: &UpstreamError) -> RetryRequest<'_> {
    RetryRequest {
        error,
        delivery: Delivery::Repeatable,
        attempts: 1,
        purpose: RetryPurpose::Repeat,
        deadline_ms: TimeMs(1_000_000),
        expected_ms: 1_000,
    }
}

// Unbounded retries multiply the load when there is least capacity: if half of the pool fails and
// each failed request is sent again up to three times, the healthy half gets twice its load and
// fails too.
#[test]
fn retries_add_at_most_a_tenth_while_half_the_pool_fails() {
    let policy = RetryPolicy::default();
    let mut budget = RetryBudget::new(TimeMs(0));
    let (requests, mut attempts) = (20_000_u64, 0_u64);
    for request in 0..requests {
        let now = TimeMs(request * 5);
        attempts += 1;
        let mut failed = request % 2 == 0;
        let mut tried = 1;
        while failed {
            let retry = RetryRequest {
                attempts: tried,
                deadline_ms: now.after(2_000),
                ..retry_request(&LOST)
            };
            match budget.may_retry(&policy, &retry, now) {
                RetryDecision::No(_) => break,
                RetryDecision::Now | RetryDecision::At(_) => {
                    attempts += 1;
                    tried += 1;
                    failed = attempts.is_multiple_of(2);
                }
            }
        }
        if !failed {
            budget.record_success(&policy, now);
        }
    }
    assert!(attempts > requests, "the budget allows some retries");
    assert!(
        attempts * 10 <= requests * 11,
        "{attempts} attempts for {requests} requests"
    );
}

// A request whose connection breaks may have run. Sending it to another host could run a
// non-idempotent request, such as a payment, twice.
#[test]
fn non_idempotent_request_is_retried_only_if_it_did_not_start() {
    let policy = RetryPolicy::default();
    let mut budget = RetryBudget::new(TimeMs(0));
    let rejected = UpstreamError::Rejected {
        status: StatusCode::BAD_GATEWAY,
    };
    for error in [&LOST, &rejected] {
        let once = RetryRequest {
            delivery: Delivery::AtMostOnce,
            purpose: RetryPurpose::Resume,
            ..retry_request(error)
        };
        let retry = budget.may_retry(&policy, &once, TimeMs(0));
        assert_eq!(retry, RetryDecision::No(RetryDenial::MayHaveRun));
    }
    let once = RetryRequest {
        delivery: Delivery::AtMostOnce,
        ..retry_request(&NOT_RUN)
    };
    assert_eq!(
        budget.may_retry(&policy, &once, TimeMs(0)),
        RetryDecision::Now
    );
}

#[test]
fn empty_budget_reserves_one_delayed_retry_and_denies_the_rest() {
    let policy = RetryPolicy::default();
    let mut budget = RetryBudget::new(TimeMs(0));
    let retry_request = retry_request(&NOT_RUN);
    assert_eq!(
        budget.may_retry(&policy, &retry_request, TimeMs(0)),
        RetryDecision::Now
    );
    let waits = budget.may_retry(&policy, &retry_request, TimeMs(0));
    assert_eq!(waits, RetryDecision::At(TimeMs(10_000)));
    let denied = budget.may_retry(&policy, &retry_request, TimeMs(0));
    assert_eq!(denied, RetryDecision::No(RetryDenial::BudgetExhausted));
}

#[test]
fn retry_that_cannot_end_by_the_deadline_is_denied() {
    let policy = RetryPolicy::default();
    let mut budget = RetryBudget::new(TimeMs(0));
    let late = RetryRequest {
        deadline_ms: TimeMs(999),
        ..retry_request(&NOT_RUN)
    };
    let retry = budget.may_retry(&policy, &late, TimeMs(0));
    assert_eq!(retry, RetryDecision::No(RetryDenial::DeadlineNear));
    assert_eq!(
        budget.may_retry(&policy, &retry_request(&LOST), TimeMs(0)),
        RetryDecision::Now
    );
}

// The loss of a failure domain can break forty streams at once, while the budget pays for the first
// ten. Streams in progress must resume regardless, because their callers hold partial answers.
#[test]
fn streams_in_progress_are_retried_beyond_the_budget() {
    let policy = RetryPolicy::default();
    let mut budget = RetryBudget::new(TimeMs(0));
    let stream = RetryRequest {
        purpose: RetryPurpose::Resume,
        ..retry_request(&LOST)
    };
    for _ in 0..40 {
        assert_eq!(
            budget.may_retry(&policy, &stream, TimeMs(0)),
            RetryDecision::Now
        );
    }
    let last = RetryRequest {
        attempts: policy.max_attempts,
        ..stream
    };
    let denied = budget.may_retry(&policy, &last, TimeMs(0));
    assert_eq!(denied, RetryDecision::No(RetryDenial::AttemptsExhausted));
}

// Guards against accepted streams that fail although other hosts run: a failure domain is reclaimed
// before its streams have a token here, and the budget is spent after the first ten of them.
#[test]
fn attempts_on_reclaimed_hosts_are_replaced_whatever_the_budget_holds() {
    let policy = RetryPolicy::default();
    let mut budget = RetryBudget::new(TimeMs(0));
    let replace = RetryRequest {
        purpose: RetryPurpose::Replace,
        attempts: policy.max_attempts,
        ..retry_request(&LOST)
    };
    for _ in 0..400 {
        assert_eq!(
            budget.may_retry(&policy, &replace, TimeMs(0)),
            RetryDecision::Now
        );
    }
    let repeat = retry_request(&NOT_RUN);
    let charged_to_nobody = budget.may_retry(&policy, &repeat, TimeMs(0));
    assert_eq!(charged_to_nobody, RetryDecision::Now);
}

// Guards against a second run of a call that must not run twice, where its host was reclaimed.
#[test]
fn non_idempotent_attempt_on_a_reclaimed_host_is_not_replaced() {
    let policy = RetryPolicy::default();
    let mut budget = RetryBudget::new(TimeMs(0));
    let once = RetryRequest {
        delivery: Delivery::AtMostOnce,
        purpose: RetryPurpose::Replace,
        ..retry_request(&LOST)
    };
    let denied = budget.may_retry(&policy, &once, TimeMs(0));
    assert_eq!(denied, RetryDecision::No(RetryDenial::MayHaveRun));
}

// Guards against a payment that is made twice: its connection broke, and its team was removed from the
// configuration, or its host from the platform's list, while it ran.
#[test]
fn unknown_team_or_host_permits_no_second_run() {
    let once = RetryRequest {
        delivery: Delivery::AtMostOnce,
        ..retry_request(&LOST)
    };
    let denied = RetryDecision::No(RetryDenial::MayHaveRun);
    assert_eq!(once.decide_without_budget(), denied);
    let not_started = RetryRequest {
        error: &NOT_RUN,
        ..once
    };
    assert_eq!(not_started.decide_without_budget(), RetryDecision::Now);
    let repeatable = retry_request(&LOST);
    assert_eq!(repeatable.decide_without_budget(), RetryDecision::Now);
}
