//! Selects the next upstream of a request, within its deadline and repeat budget.

use super::admission::Plan;
use super::attempts::{Attempts, retry_after_ms};
use crate::gateway::choose::{self, Backpressure, Choice, Criteria};
use crate::gateway::demand::EngineRequest;
use crate::gateway::limits::repeat_budget;
use crate::gateway::num;
use crate::gateway::refusal::Refusal;
use crate::gateway::rollout::{RoutingContext, VersionFilter};
use crate::gateway::settings::NodeSettings;
use crate::gateway::speed::pace::Pace;
use crate::gateway::state::Gateway;
use crate::gateway::streams::VersionTag;
use crate::time::TimeMs;

/// Selects the next upstream and takes a repeat out of the repeat budget if one is needed.
///
/// # Errors
///
/// The refusal to return to the caller if the request may not be sent.
pub(super) fn select_upstream(
    node: &Gateway,
    plan: &Plan,
    attempts: &mut Attempts,
    now: TimeMs,
) -> Result<Choice, Refusal> {
    if now >= plan.deadline || attempts.has_too_many_undelivered() {
        return Err(attempts.final_refusal(plan, now));
    }
    let refusal = || (node.crashes.lock()).refusal_for_now(&plan.subjects, now);
    if !attempts.is_trial()
        && let Some(blame) = refusal()
    {
        return Err(blame.into());
    }
    let settings = node.settings();
    let begun_version = attempts.begun_version();
    if begun_version.is_some_and(|version| !may_resume_at(node, &plan.pool, version, now)) {
        return Err(attempts.version_gone());
    }
    let moment = rollout_context(node, plan, attempts, now);
    let pace = node.pace(&plan.pool, now);
    let choice = {
        let mut rollouts = node.rollouts.lock();
        let rollout = moment.as_ref().zip(rollouts.get_mut(&plan.pool));
        let ask = Criteria {
            versions: match (begun_version, rollout) {
                (Some(version), _) => VersionFilter::Begun(version),
                (None, Some((moment, rollout))) => rollout.versions(moment),
                (None, None) => VersionFilter::Any,
            },
            ..criteria(plan, attempts, &settings, pace)
        };
        let upstreams = node.upstreams.lock();
        let prefixes = node.prefixes.lock();
        let choice = choose::choose(&upstreams, &prefixes, &ask, now);
        if begun_version.is_some() && !choose::is_any_left(&upstreams, &ask, now) {
            return Err(attempts.version_gone());
        }
        choice.ok_or_else(|| choose::backpressure(&upstreams, &ask, now))
    };
    let choice = match choice {
        Ok(choice) => choice,
        Err(Some(Backpressure::Resting { remaining_ms })) if attempts.executions() == 0 => {
            record_unserved_demand(node, plan, attempts, now);
            return Err(Refusal::UpstreamsResting {
                left_ms: remaining_ms,
            });
        }
        Err(Some(Backpressure::Limited { limited_per_s })) if attempts.sends() == 0 => {
            record_unserved_demand(node, plan, attempts, now);
            return Err(Refusal::AtUpstreamLimit { limited_per_s });
        }
        Err(_held_back) => return Err(attempts.final_refusal(plan, now)),
    };
    let left_ms = now.until(plan.deadline);
    let is_first = attempts.sends() == 0;
    let is_new = is_first && attempts.count_once();
    if is_new {
        record_demand(node, plan, choice.unread_tokens, now);
    }
    match is_first {
        true if repeat_budget::is_too_late(left_ms, choice.expected_ms) => {
            let retry_after_ms = retry_after_ms(plan);
            Err(Refusal::Saturated { retry_after_ms })
        }
        true => {
            if is_new {
                let budget = node.repeat_budget();
                let mut repeats = node.repeats.lock();
                repeats
                    .get_or_default(&plan.pool)
                    .record_request(&budget, now);
            }
            Ok(choice)
        }
        false if attempts.use_held_repeat() => Ok(choice),
        false if takes_repeat(node, &plan.pool, now) => Ok(choice),
        false => Err(attempts.final_refusal(plan, now)),
    }
}

/// Returns what a request asks of its next upstream, apart from the version.
pub(super) fn criteria<'a>(
    plan: &'a Plan,
    attempts: &'a Attempts,
    settings: &'a NodeSettings,
    pace: Pace,
) -> Criteria<'a> {
    Criteria {
        pool: &plan.pool,
        prompt: plan.head.prompt.as_ref(),
        failure_domain: &settings.failure_domain,
        excluded: attempts.excluded(),
        versions: VersionFilter::Any,
        pace,
        copy_tokens_per_ms: plan.copy_tokens_per_ms(),
        may_repeat: plan.route().is_repeatable(),
        alive_since: attempts.alive_since(),
        draw: plan.draw,
    }
}

/// Whether a roll-out lets a stream go on at the version that began it.
fn may_resume_at(node: &Gateway, pool: &str, version: VersionTag, now: TimeMs) -> bool {
    let day_ms = node.agreed_time_of_day(now).0;
    let mut rollouts = node.rollouts.lock();
    (rollouts.get_mut(pool)).is_none_or(|rollout| rollout.admits_resumption(version, day_ms))
}

/// Takes one repeat out of the pool's repeat budget; returns whether one was left.
pub(super) fn takes_repeat(node: &Gateway, pool: &str, now: TimeMs) -> bool {
    let budget = node.repeat_budget();
    let is_taken = (node.repeats.lock())
        .get_or_default(pool)
        .try_take(&budget, now);
    let outcome = if is_taken { "sent" } else { "over_budget" };
    metrics::counter!("teaselline_repeats_total", "pool" => pool.to_owned(), "outcome" => outcome)
        .increment(1);
    if !is_taken {
        log::debug!(event = "repeat_over_budget", pool, nodes = budget.nodes, uptime_ms = node.uptime_ms(now); "a failed request is not sent to another upstream: the repeat budget is used up");
    }
    is_taken
}

/// Counts a request that no upstream accepts at present toward the demand on its pool.
fn record_unserved_demand(node: &Gateway, plan: &Plan, attempts: &mut Attempts, now: TimeMs) {
    if let Some(prompt) = &plan.head.prompt
        && attempts.count_once()
    {
        record_demand(node, plan, prompt.own_tokens(), now);
    }
}

/// Collects the inputs that decide which versions may receive a request.
///
/// Returns `None` while no rollout runs in the request's pool.
pub(super) fn rollout_context(
    node: &Gateway,
    plan: &Plan,
    attempts: &Attempts,
    now: TimeMs,
) -> Option<RoutingContext> {
    let target = {
        let mut rollouts = node.rollouts.lock();
        rollouts.get_mut(&plan.pool)?.order.target.clone()
    };
    let audience = node.peers.lock().visibility(now);
    let settings = node.settings();
    let is_fresh = (node.in_force.read()).is_fresh(settings.bounds.revoke_ms, now);
    Some(RoutingContext {
        exposure_share: settings.bounds.exposure_share,
        is_in_contact: is_fresh && audience.sees_half(),
        standing: node.availability_by_version(&plan.pool, &target, now),
        day_ms: node.agreed_time_of_day(now).0,
        draw: plan.draw,
        is_first: attempts.sends() == 0,
    })
}

/// Counts a request to an engine toward the demand on its pool, even if it is refused.
fn record_demand(node: &Gateway, plan: &Plan, unread_tokens: u64, now: TimeMs) {
    let Some(prompt) = &plan.head.prompt else {
        return;
    };
    let demand = EngineRequest {
        unread_tokens,
        own_tokens: prompt.own_tokens(),
        shared: prompt.shared().map(|part| (part.id, part.tokens)),
    };
    (node.demands.lock()).record_request(&plan.pool, &demand, now);
    let tokens = num::to_f64(unread_tokens);
    (node.scheduling.lock()).record_demand(&plan.pool, plan.kind(), tokens, now);
}
