//! An upstream's answer that has begun to come: read to its end, or passed on.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;

use super::admit::Plan;
use super::running::Running;
use super::story::Story;
use super::trial::Trial;
use crate::gateway::clock;
use crate::gateway::health::Outcome;
use crate::gateway::state::Gateway;
use crate::gateway::upstreams::tag;
use crate::platform::headers::AnswerHead;
use crate::time::TimeMs;

/// Largest answer that is not a stream.
const MAX_WHOLE_BYTES: usize = 16 * 1024 * 1024;

/// The head of an upstream's answer, and its body to come.
#[derive(Debug)]
pub(super) struct Arrived {
    pub response: Response<Incoming>,
    pub answer: AnswerHead,
    pub running: Running,
    pub sender: SendRequest<Full<Bytes>>,
}

impl Arrived {
    pub fn status(&self) -> StatusCode {
        self.response.status()
    }

    pub fn headers(&self) -> &HeaderMap {
        self.response.headers()
    }

    /// Takes the body apart from what has to be kept until its end.
    pub fn into_stream(self) -> (Incoming, Remainder) {
        let rest = Remainder {
            running: self.running,
            sender: self.sender,
            answer: self.answer,
        };
        (self.response.into_body(), rest)
    }

    /// Reads the whole body; none if it broke off.
    pub async fn collect(
        self,
        node: &Gateway,
        plan: &Plan,
        trial: &mut Trial,
        story: &mut Story,
    ) -> Option<Bytes> {
        let status = self.status();
        let (body, mut rest) = self.into_stream();
        trial.note_run();
        count_begun(node, plan, begun_at(rest.running.sent_at, clock::now()));
        let left = Duration::from_millis(clock::now().until(plan.limit_at));
        let whole = Limited::new(body, MAX_WHOLE_BYTES).collect();
        let whole = tokio::time::timeout(left, whole);
        let Some(whole) = rest.running.unless_restarted(whole).await else {
            trial.exclude(rest.running.upstream);
            story.attempt_failed("upstream_restarted", "within the body", clock::now());
            return None;
        };
        let now = clock::now();
        rest.running.note_first_token();
        match whole {
            Ok(Ok(body)) => {
                story.first(now);
                rest.ended(node, status, plan, now);
                Some(body.to_bytes())
            }
            Ok(Err(error)) => {
                rest.running.note(Outcome::Broken, now);
                trial.exclude(rest.running.upstream);
                story.attempt_failed("body_broken", &error.to_string(), now);
                None
            }
            Err(_elapsed) => {
                rest.running.note(Outcome::Broken, now);
                story.attempt_failed("body_timeout", "", now);
                None
            }
        }
    }
}

/// What is kept of an answer until its body ends.
#[derive(Debug)]
pub(super) struct Remainder {
    pub running: Running,
    sender: SendRequest<Full<Bytes>>,
    answer: AnswerHead,
}

impl Remainder {
    /// The body was read to its end: the channel can carry another request.
    pub fn ended(self, node: &Gateway, status: StatusCode, plan: &Plan, now: TimeMs) {
        let took_ms = now.since(self.running.sent_at);
        let outcome = match status {
            _ if self.answer.asked_rest_ms(status).is_some() => Outcome::Resting,
            _ if status.is_server_error() => Outcome::Failed,
            _ => Outcome::Good { took_ms },
        };
        // A stream's time to its first event has been noted when that came.
        if !plan.route().is_stream || status.is_server_error() {
            self.running.note(outcome, now);
        }
        if !status.is_server_error() {
            node.strikes.lock().clear(plan.content);
        }
        keep(node, &self.running, self.sender, &self.answer);
    }
}

/// Work of a plain call, on average; what lies between its begin and its answer.
const PLAIN_WORK_MS: u64 = 30;

/// When an upstream probably began with a plain call that it has answered.
fn begun_at(sent_at: TimeMs, answered_at: TimeMs) -> TimeMs {
    TimeMs(answered_at.0.saturating_sub(PLAIN_WORK_MS)).max(sent_at)
}

/// Counts a request that began to run toward its team's usage.
pub(super) fn count_begun(node: &Gateway, plan: &Plan, at: TimeMs) {
    if let Some(team) = plan.team() {
        let now = clock::now();
        let ago_ms = now.since(at);
        let time_of_day = TimeMs(node.time_of_day(now).0.saturating_sub(ago_ms));
        node.usage.lock().count(tag(&team.name), time_of_day);
    }
}

/// Keeps the channel of an answer that has been read to its end, if its upstream does.
pub(super) fn keep(
    node: &Gateway,
    running: &Running,
    sender: SendRequest<Full<Bytes>>,
    answer: &AnswerHead,
) {
    if !answer.closes {
        let idle_timeout_ms = answer.idle_timeout_ms;
        (node.channels).keep(running.upstream, sender, idle_timeout_ms, clock::now());
    }
}
