//! Runs one call to a plain service.

use std::sync::Arc;

use bytes::Bytes;

use super::core::{Core, RETRY_SOON_MS, Right};
use super::links::Links;
use super::outcome::{Doubt, Failure, Reason};
use super::record::Place;
use super::{Outcome, Record, Work};
use crate::document::checked::PoolKind;
use crate::keys::HostKey;
use crate::upstreams::{Delivery, PlainServices, ServiceCall, UpstreamError};

/// What one attempt came to.
enum Attempted {
    End(Outcome),
    /// It provably did not start.
    NotStarted(HostKey),
    /// It may have run; an idempotent call may run again.
    Lost(HostKey),
}

/// Runs a record to its outcome.
pub(super) async fn run<L: Links>(
    core: Arc<Core<L>>,
    record: Arc<Record>,
    right: Right,
) -> Option<Outcome> {
    let mut tried = Vec::new();
    loop {
        if core.clock.now() >= record.call.deadline_ms {
            return Some(past_deadline(&record));
        }
        let Some(host) = super::completion::choose(&core, &record, &tried) else {
            return Some(no_upstream(&record));
        };
        let place = record.begin_attempt(host.key, host.address);
        if let Err(outcome) = core.obtain_right(&record, right).await {
            return Some(outcome);
        }
        // The wait for consent may have outlasted the caller, in a paused process by hours.
        if core.clock.now() >= record.call.deadline_ms {
            record.attempt_not_started(place.attempt);
            return Some(past_deadline(&record));
        }
        core.note_open(place, true);
        let attempted = attempt(&core, &record, place).await;
        core.note_open(place, false);
        match attempted {
            Attempted::End(outcome) => return Some(outcome),
            Attempted::NotStarted(host) => {
                record.attempt_not_started(place.attempt);
                tried.push(host);
            }
            Attempted::Lost(host) if record.call.idempotent => tried.push(host),
            Attempted::Lost(_) => return Some(Outcome::Unknown(Doubt::UpstreamLost)),
        }
    }
}

async fn attempt<L: Links>(core: &Core<L>, record: &Record, place: Place) -> Attempted {
    let Work::Service { path, body, service } = &record.call.work else {
        return Attempted::End(Outcome::Failed(Failure::Upstream));
    };
    let delivery = if record.call.idempotent { Delivery::Repeatable } else { Delivery::AtMostOnce };
    let call = ServiceCall {
        attempt: &record.id.attempt(place.attempt),
        path,
        content_type: None,
        body: Bytes::copy_from_slice(body),
        delivery,
        timeout_ms: timeout_ms(core, service, record),
    };
    match core.services.call(place.address, &call).await {
        Ok(answer) => Attempted::End(Outcome::Answered { status: 200, body: answer.body.to_vec() }),
        Err(error) if error.is_not_started() => {
            if matches!(error, UpstreamError::Unreachable { .. }) {
                core.note_host_failure(place.host);
            }
            Attempted::NotStarted(place.host)
        }
        Err(error) if error.is_lost() => {
            core.note_host_failure(place.host);
            Attempted::Lost(place.host)
        }
        // The service answered that it failed: it ran, and running it again is not ours to decide.
        Err(_) => Attempted::End(Outcome::Failed(Failure::Upstream)),
    }
}

fn timeout_ms<L: Links>(core: &Core<L>, service: &str, record: &Record) -> u64 {
    let left_ms = core.clock.now().until(record.call.deadline_ms).max(1);
    let in_force = core.blackboard.in_force();
    let configured_ms = in_force.and_then(|in_force| {
        let pool = in_force.document.find_pool(service)?;
        match in_force.document.pool(pool).kind {
            PoolKind::Service { timeout_ms, .. } => Some(timeout_ms),
            PoolKind::Engine { .. } => None,
        }
    });
    configured_ms.map_or(left_ms, |timeout_ms| timeout_ms.min(left_ms))
}

/// The end of a request whose deadline has passed.
pub(super) fn past_deadline(record: &Record) -> Outcome {
    match record.is_dispatched() {
        true => Outcome::Failed(Failure::Deadline),
        false => Outcome::not_run(Reason::Deadline, 0),
    }
}

/// The end of a request for which no host is left.
pub(super) fn no_upstream(record: &Record) -> Outcome {
    match record.is_dispatched() {
        true => Outcome::Failed(Failure::RetryBudget),
        false => Outcome::not_run(Reason::NoUpstream, RETRY_SOON_MS),
    }
}
