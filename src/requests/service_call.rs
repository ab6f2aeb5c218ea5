//! Runs one call to a plain service, with retries.

use std::sync::Arc;

use bytes::Bytes;

use super::core::{Authority, Core};
use super::dependencies::Dependencies;
use super::dispatch::{
    FailedAttempt, Tried, deadline_outcome, delivery, denied_outcome, no_route_outcome,
    prompt_blocks,
};
use super::outcome::{Failure, UnknownReason};
use super::record::Place;
use super::{Outcome, Record, Work};
use crate::document::checked::PoolKind;
use crate::retries::RetryDecision;
use crate::time::TimeMs;
use crate::upstreams::{PlainServices, ServiceCall, UpstreamError};

/// Result of one attempt.
enum AttemptResult {
    End(Outcome),
    /// The attempt gave no result; the error says whether it may have run.
    Failed(UpstreamError),
}

/// Runs a record to its outcome.
pub(super) async fn run<L: Dependencies>(
    core: Arc<Core<L>>,
    record: Arc<Record>,
    authority: Authority,
) -> Option<Outcome> {
    // The home that left may still be waiting for the answer; this node must not start a second
    // run.
    let may_run = record.is_dispatched() && !record.call.idempotent;
    if may_run || authority == Authority::Reader {
        return Some(Outcome::Unknown(UnknownReason::HomeGone));
    }
    let blocks = prompt_blocks(&record);
    let mut tried = Tried::default();
    let mut failures = 0;
    loop {
        if core.clock.now() >= record.call.deadline_ms {
            return Some(deadline_outcome(&record));
        }
        let choice = match core.choose(&record, &core.view(&record, &blocks), &tried) {
            Ok(choice) => choice,
            Err(no_route) => return Some(no_route_outcome(&record, no_route)),
        };
        let place = record.begin_attempt(choice.host, choice.address);
        if let Err(outcome) = core.obtain_consent(&record, authority).await {
            record.attempt_not_started(place.attempt);
            return Some(outcome);
        }
        core.record_open(place, 0.0, core.clock.now());
        let result = attempt(&core, &record, place).await;
        core.record_close(place, core.clock.now());
        let error = match result {
            AttemptResult::End(outcome) => return Some(outcome),
            AttemptResult::Failed(error) => error,
        };
        if error.is_not_started() {
            record.attempt_not_started(place.attempt);
        } else {
            record.close_attempt(place.attempt);
        }
        failures += 1;
        let failed = FailedAttempt {
            error,
            host: choice.host,
            count: failures,
        };
        match core.may_retry(&record, &failed) {
            RetryDecision::Now => {}
            RetryDecision::At(at) => sleep_until(&core, at).await,
            RetryDecision::No(reason) => return Some(denied_outcome(&record, reason)),
        }
        tried.record(choice.host, Some(choice.domain));
    }
}

async fn attempt<L: Dependencies>(core: &Core<L>, record: &Record, place: Place) -> AttemptResult {
    let Work::Service {
        path,
        body,
        service,
    } = &record.call.work
    else {
        return AttemptResult::End(Outcome::Failed(Failure::Upstream));
    };
    let call = ServiceCall {
        attempt: &record.id.attempt(place.attempt),
        path: &format!("/{path}"),
        content_type: None,
        body: Bytes::copy_from_slice(body),
        delivery: delivery(record),
        timeout_ms: timeout_ms(core, service, record),
    };
    let response = core.services.call(place.address, &call).await;
    match response {
        Ok(answer) => {
            core.record_answer(place);
            core.record_success(record, place.host);
            AttemptResult::End(Outcome::Answered {
                status: 200,
                body: answer.body.to_vec(),
            })
        }
        Err(error) => {
            core.record_failure(place, &error, core.clock.now());
            match error {
                error if error.is_not_started() || error.is_lost() => AttemptResult::Failed(error),
                // The service reported a failure: the call ran, and it must not run again.
                _ => AttemptResult::End(Outcome::Failed(Failure::Upstream)),
            }
        }
    }
}

fn timeout_ms<L: Dependencies>(core: &Core<L>, service: &str, record: &Record) -> u64 {
    let left_ms = core.clock.now().until(record.call.deadline_ms).max(1);
    let in_force = core.blackboard.active_configuration();
    let configured_ms = in_force.and_then(|in_force| {
        let pool = in_force.document.find_pool(service)?;
        match in_force.document.pool(pool).kind {
            PoolKind::Service { timeout_ms, .. } => Some(timeout_ms),
            PoolKind::Engine { .. } => None,
        }
    });
    configured_ms.map_or(left_ms, |timeout_ms| timeout_ms.min(left_ms))
}

async fn sleep_until<L: Dependencies>(core: &Core<L>, at_ms: TimeMs) {
    let pause_ms = core.clock.now().until(at_ms);
    tokio::time::sleep(std::time::Duration::from_millis(pause_ms)).await;
}
