//! Waits for the head of a response, and leaves a silent upstream only for something better.

use std::sync::Arc;
use std::time::Duration;

use super::admission::Plan;
use super::alternatives::{Remaining, Stays, Waiting};
use super::attempts::Attempts;
use super::request_log::RequestLog;
use super::selection;
use super::silence::{self, Silence};
use super::upstream_request::UpstreamRequest;
use crate::gateway::attempt_timeouts;
use crate::gateway::clock;
use crate::gateway::patience;
use crate::gateway::state::Gateway;

/// Awaits the answer to a request that has been sent; returns `None` once it is given up for a better upstream, for its
/// caller to send it again, or at its deadline.
pub(super) async fn await_head<T>(
    node: &Arc<Gateway>,
    plan: &Plan,
    attempts: &mut Attempts,
    pending: &UpstreamRequest,
    answer: impl Future<Output = T>,
    request_log: &RequestLog,
) -> Option<T> {
    let is_last = attempts.executions() + 1 >= plan.route().max_upstreams;
    let left_ms = pending.sent_at.until(plan.deadline);
    let timeout_ms = attempt_timeouts::response_head_timeout_ms(plan.route(), is_last, left_ms);
    let last_ms = attempt_timeouts::response_head_timeout_ms(plan.route(), true, left_ms);
    let silence = Silence {
        give_up_after_ms: (!plan.route().is_stream).then_some(last_ms),
        ..Silence::new(plan.route(), pending.sent_at, timeout_ms)
    };
    let mut answer = std::pin::pin!(answer);
    let mut stays = Stays::default();
    let mut wait_ms = timeout_ms;
    loop {
        let wait = Duration::from_millis(wait_ms);
        if let Ok(answered) = patience::within(wait, &mut answer).await {
            return Some(answered);
        }
        let now = clock::now();
        let left_ms = now.until(plan.deadline);
        if left_ms == 0 {
            return None;
        }
        let waiting = Waiting {
            node,
            plan,
            attempts,
            remaining: if is_last {
                Remaining::NoAttempt
            } else {
                Remaining::Attempts
            },
        };
        let leaves = waiting.leaves(pending, &silence, &mut stays, request_log);
        match leaves {
            // A plain call that is not sent again is given up for its caller to send it again.
            Some(_choice) if !plan.route().is_stream => return None,
            Some(_choice) if selection::takes_repeat(node, &plan.pool, now) => {
                attempts.hold_repeat();
                return None;
            }
            _ => {}
        }
        wait_ms = silence::ASK_AGAIN_MS.min(left_ms);
    }
}
