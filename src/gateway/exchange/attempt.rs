//! Sends a request to one upstream after the other, as far as it may be.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;

use super::admit::Plan;
use super::arrived::{Arrived, keep};
use super::running::Running;
use super::story::{Inputs, Story};
use super::trial::{Trial, retry_after_ms};
use crate::gateway::budget;
use crate::gateway::call::Prompt;
use crate::gateway::channels::Channel;
use crate::gateway::choose::{self, Ask, Choice, HeldBack};
use crate::gateway::clock;
use crate::gateway::demand::Asked;
use crate::gateway::health::Outcome;
use crate::gateway::patience;
use crate::gateway::refusal::Refusal;
use crate::gateway::rest::StatedRest;
use crate::gateway::rollout::{Moment, Versions};
use crate::gateway::state::Gateway;
use crate::platform::headers::{self, Added, AnswerHead};
use crate::time::TimeMs;

/// How one send ended before an answer that counts.
enum Vain {
    /// The upstream did not get the request, or said that it did not run it.
    NotRun(&'static str, String),
    /// It may have run the request.
    MayHaveRun(&'static str, String),
}

/// Sends a request until an upstream answers it.
///
/// With `resume_after`, the upstream is asked to go on behind that event.
pub(super) async fn send(
    node: &Arc<Gateway>,
    plan: &Plan,
    trial: &mut Trial,
    resume_after: Option<u64>,
    story: &mut Story,
) -> Result<Arrived, Refusal> {
    loop {
        let now = clock::now();
        let choice = next(node, plan, trial, now)?;
        let sent = send_once(node, plan, trial, &choice, resume_after, story).await;
        let now = clock::now();
        let (reason, detail) = match sent {
            Ok(arrived) => return Ok(arrived),
            Err(Vain::NotRun(reason, detail)) => {
                trial.note_vain();
                (reason, detail)
            }
            Err(Vain::MayHaveRun(reason, detail)) => {
                trial.note_run();
                (reason, detail)
            }
        };
        trial.exclude(choice.upstream);
        story.attempt_failed(reason, &detail, now);
        if trial.runs() > 0 && !plan.may_repeat(trial) {
            return Err(trial.unanswered(plan, now));
        }
    }
}

/// The upstream that gets the request next, if it may be sent at all.
fn next(node: &Gateway, plan: &Plan, trial: &mut Trial, now: TimeMs) -> Result<Choice, Refusal> {
    if now >= plan.limit_at || trial.is_vain() {
        return Err(trial.unanswered(plan, now));
    }
    if node.strikes.lock().is_blocked(plan.content, now) {
        return Err(Refusal::Breaking);
    }
    let settings = node.settings();
    let moment = rollout_moment(node, plan, trial, now);
    let pace = node.pace(&plan.pool, now);
    let choice = {
        let mut rollouts = node.rollouts.lock();
        let rollout = moment.as_ref().zip(rollouts.of_mut(&plan.pool));
        let ask = Ask {
            pool: &plan.pool,
            prompt: plan.head.prompt.as_ref(),
            failure_domain: &settings.failure_domain,
            excluded: trial.excluded(),
            versions: rollout.map_or(Versions::Any, |(moment, rollout)| rollout.versions(moment)),
            pace,
            copy_tokens_per_ms: plan.copy_tokens_per_ms(),
            may_repeat: plan.route().may_repeat(),
            draw: plan.draw,
        };
        let upstreams = node.upstreams.lock();
        let prefixes = node.prefixes.lock();
        let choice = choose::choose(&upstreams, &prefixes, &ask, now);
        choice.ok_or_else(|| choose::held_back(&upstreams, &ask, now))
    };
    let choice = match choice {
        Ok(choice) => choice,
        Err(Some(HeldBack::Resting { left_ms })) if trial.runs() == 0 => {
            note_unserved(node, plan, trial, now);
            return Err(Refusal::UpstreamsResting { left_ms });
        }
        Err(Some(HeldBack::Limited { limited_per_s })) if trial.sends() == 0 => {
            note_unserved(node, plan, trial, now);
            return Err(Refusal::AtUpstreamLimit { limited_per_s });
        }
        Err(_held_back) => return Err(trial.unanswered(plan, now)),
    };
    let left_ms = now.until(plan.limit_at);
    let is_first = trial.sends() == 0;
    let is_new = is_first && trial.take_count();
    if is_new {
        note_demand(node, plan, choice.unread_tokens, now);
    }
    match is_first {
        true if budget::is_too_late(left_ms, choice.expected_ms) => {
            let retry_after_ms = retry_after_ms(plan);
            Err(Refusal::Saturated { retry_after_ms })
        }
        true => {
            if is_new {
                let budget = node.repeat_budget();
                let mut repeats = node.repeats.lock();
                repeats.of(&plan.pool).note_request(&budget, now);
            }
            Ok(choice)
        }
        false => {
            let budget = node.repeat_budget();
            if node.repeats.lock().of(&plan.pool).take(&budget, now) {
                Ok(choice)
            } else {
                Err(trial.unanswered(plan, now))
            }
        }
    }
}

/// Counts a request that no upstream takes now toward what is asked.
fn note_unserved(node: &Gateway, plan: &Plan, trial: &mut Trial, now: TimeMs) {
    if let Some(prompt) = &plan.head.prompt
        && trial.take_count()
    {
        note_demand(node, plan, prompt.own_tokens(), now);
    }
}

/// What decides which versions a request may go to; none while nothing is rolled out in its pool.
fn rollout_moment(node: &Gateway, plan: &Plan, trial: &Trial, now: TimeMs) -> Option<Moment> {
    let target = {
        let mut rollouts = node.rollouts.lock();
        rollouts.of_mut(&plan.pool)?.order.target.clone()
    };
    let audience = node.peers.lock().audience(now);
    let settings = node.settings();
    let is_fresh = (node.in_force.read()).is_fresh(settings.bounds.revoke_ms, now);
    Some(Moment {
        exposure_share: settings.bounds.exposure_share,
        is_in_touch: is_fresh && audience.hears_most(),
        standing: node.standing_by_version(&plan.pool, &target, now),
        day_ms: node.time_of_day(now).0,
        draw: plan.draw,
        is_first: trial.sends() == 0,
    })
}

/// Counts a request to an engine toward what is asked of its pool, also if it is refused.
fn note_demand(node: &Gateway, plan: &Plan, unread_tokens: u64, now: TimeMs) {
    let Some(prompt) = &plan.head.prompt else {
        return;
    };
    let asked = Asked {
        unread_tokens,
        own_tokens: prompt.own_tokens(),
        shared: prompt.shared().map(|part| (part.id, part.tokens)),
    };
    (node.demands.lock()).note_request(&plan.pool, &asked, now);
}

async fn send_once(
    node: &Arc<Gateway>,
    plan: &Plan,
    trial: &mut Trial,
    choice: &Choice,
    resume_after: Option<u64>,
    story: &mut Story,
) -> Result<Arrived, Vain> {
    let key = choice.upstream;
    let target = {
        let upstreams = node.upstreams.lock();
        let upstream = upstreams.get(key);
        upstream.map(|upstream| (upstream.announced.address, upstream.announced.id.clone()))
    };
    let Some((address, id)) = target else {
        return Err(Vain::NotRun("upstream_gone", String::new()));
    };
    let now = clock::now();
    let Some(mut running) = Running::new(node, plan, choice, now) else {
        return Err(Vain::NotRun("upstream_gone", String::new()));
    };
    count_send(trial, resume_after, running.limit_per_s.is_some());
    story.sent(
        &id,
        Inputs {
            expected_ms: choice.expected_ms,
            running: choice.running,
            slots: choice.slots,
            unread_tokens: choice.unread_tokens,
            copied_tokens: choice.copied_tokens,
            limit_per_s: running.limit_per_s,
            upstreams_age_ms: now.since(node.upstreams_view.lock().read_at),
            configuration_age_ms: now.since(node.in_force.read().current_at),
        },
    );
    let may_repeat = plan.route().may_repeat();
    // A kept channel may turn out to be closed; a new one is opened then.
    let mut sent = None;
    while sent.is_none() {
        let opened = node
            .channels
            .open(key, address, may_repeat, clock::now())
            .await;
        let mut channel = opened.map_err(|error| {
            if let Some(upstream) = node.upstreams.lock().get_mut(key) {
                upstream.health.note_unreachable(clock::now());
            }
            Vain::NotRun("unreachable", error.to_string())
        })?;
        running.sent_at = clock::now();
        let request = request(plan, &id, choice, resume_after, running.sent_at);
        let Some(request) = request else {
            return Err(Vain::NotRun("unsendable", String::new()));
        };
        let patience = Duration::from_millis(patience(plan, trial, running.sent_at));
        if let Err(closed) = running.enter(running.sent_at) {
            let Channel { sender, .. } = channel;
            (node.channels).keep(key, sender, None, running.sent_at);
            return Err(Vain::NotRun(closed.word(), String::new()));
        }
        let answer = channel.sender.try_send_request(request);
        let answer = tokio::time::timeout(patience, answer);
        let Some(answered) = running.unless_restarted(answer).await else {
            trial.note_send();
            return Err(Vain::MayHaveRun("upstream_restarted", String::new()));
        };
        match answered {
            Ok(Ok(response)) => sent = Some((channel.sender, response)),
            Ok(Err(mut error)) if error.message().is_some() => {
                drop(error.take_message());
                running.leave(clock::now());
                if !channel.is_reused {
                    return Err(Vain::NotRun(
                        "channel_closed",
                        error.into_error().to_string(),
                    ));
                }
            }
            Ok(Err(error)) => {
                trial.note_send();
                running.note_broken(plan.content, clock::now());
                return Err(Vain::MayHaveRun("broken", error.into_error().to_string()));
            }
            Err(_elapsed) => {
                trial.note_send();
                running.note(Outcome::Broken, clock::now());
                return Err(Vain::MayHaveRun("silent", String::new()));
            }
        }
    }
    trial.note_send();
    if let Some(part) = plan.head.prompt.as_ref().and_then(Prompt::shared) {
        node.prefixes.lock().note(part.id, key, clock::now());
    }
    let Some((sender, response)) = sent else {
        return Err(Vain::NotRun("channel_closed", String::new()));
    };
    judge(node, plan, running, sender, response)
}

/// Counts a send by what it is for, apart for upstreams that have named a limit.
fn count_send(trial: &Trial, resume_after: Option<u64>, is_limited: bool) {
    let kind = match (trial.sends(), resume_after) {
        (0, _) => "first",
        (_, None) => "repeat",
        (_, Some(_)) => "resumption",
    };
    let limited = if is_limited { "yes" } else { "no" };
    metrics::counter!("teaselline_sends_total", "kind" => kind, "limited" => limited).increment(1);
}

/// Checks that an answer is the request's own and says that it ran.
fn judge(
    node: &Arc<Gateway>,
    plan: &Plan,
    running: Running,
    sender: SendRequest<Full<Bytes>>,
    response: Response<Incoming>,
) -> Result<Arrived, Vain> {
    let now = clock::now();
    let answer = headers::read_answer(response.headers());
    let status = response.status();
    // Where an address has been given to another upstream, that one answers.
    if status != StatusCode::MISDIRECTED_REQUEST {
        note_statements(plan, &running, status, &answer, now);
    }
    let is_own = answer.is_of(&plan.head.id);
    match status {
        StatusCode::MISDIRECTED_REQUEST => {
            running.note(Outcome::Refused, now);
            Err(Vain::NotRun("other_upstream", status.to_string()))
        }
        _ if answer.is_not_run => {
            let outcome = match answer.asked_rest_ms(status) {
                Some(_rest_ms) => Outcome::Resting,
                None => Outcome::Refused,
            };
            running.note(outcome, now);
            keep(node, &running, sender, &answer);
            Err(Vain::NotRun("not_run", status.to_string()))
        }
        // An answer to an earlier request of the channel: this one's may follow, or may not.
        _ if !is_own => {
            running.note(Outcome::Broken, now);
            Err(Vain::MayHaveRun("other_answer", status.to_string()))
        }
        _ if status.is_success() && (!answer.is_sealed || answer.is_encoded) => {
            running.note(Outcome::Broken, now);
            Err(Vain::MayHaveRun("unproved_answer", status.to_string()))
        }
        _ => {
            if answer.asked_rest_ms(status).is_none() {
                running.note_taken();
            }
            Ok(Arrived {
                response,
                answer,
                running,
                sender,
            })
        }
    }
}

/// Takes in what an answer says of its upstream beyond the request.
fn note_statements(
    plan: &Plan,
    running: &Running,
    status: StatusCode,
    answer: &AnswerHead,
    now: TimeMs,
) {
    if let Some(stated) = answer.limit_for(&plan.head.id) {
        running.note_limit(stated, now);
    }
    if answer.leaves {
        running.note_leaving();
    }
    if let Some(rest_ms) = answer.asked_rest_ms(status) {
        running.note_rest(rest_ms, now);
    }
    match answer.rest {
        StatedRest::ForMs(rest_ms) if status != StatusCode::SERVICE_UNAVAILABLE => {
            log::debug!(event = "upstream_rest_passed_over", status = status.as_u16(), rest_ms; "an answer other than 503 names a time to come back");
        }
        _ => {}
    }
}

fn patience(plan: &Plan, trial: &Trial, now: TimeMs) -> u64 {
    let is_last = trial.runs() + 1 >= plan.route().max_upstreams;
    patience::until_head_ms(plan.route(), is_last, now.until(plan.limit_at))
}

fn request(
    plan: &Plan,
    upstream_id: &str,
    choice: &Choice,
    resume_after: Option<u64>,
    now: TimeMs,
) -> Option<Request<Full<Bytes>>> {
    let mut request = Request::new(Full::new(plan.body.clone()));
    *request.method_mut() = plan.method.clone();
    *request.uri_mut() = plan.uri.clone();
    *request.headers_mut() = plan.headers.clone();
    let added = Added {
        upstream_id,
        time_left_ms: now.until(plan.limit_at),
        team: plan.team().map(|team| team.name.as_str()),
        urgency: plan.head.prompt.is_some().then_some(plan.urgency),
        resume_after,
        copy_from: choice.source.map(|source| source.address),
    };
    headers::add(request.headers_mut(), &added);
    (added.time_left_ms > 0).then_some(request)
}
