//! `POST /v1/completions`: a model request, answered as a whole or as a stream.

use std::sync::Arc;

use gotham::helpers::http::Body;
use http::{HeaderValue, Response, StatusCode};
use serde::{Deserialize, Serialize};

use super::parsing::{self, REQUEST_ID};
use super::refusal::{self, Refusal};
use super::routes::RequestContext;
use super::{authorize, keyed, sse};
use crate::coordination::claims::ClaimKey;
use crate::document::Document;
use crate::document::checked::Team;
use crate::node::{CallerGuard, Node, NodeDependencies};
use crate::requests::substitute::may_substitute;
use crate::requests::{Call, Outcome, RequestFollower, RequestId, Step, Work};
use crate::time::TimeMs;

/// Header that distinguishes a service's answer, whatever its status, from this node's responses.
const OUTCOME_HEADER: &str = "outcome";

/// Maximum tokens that a request may ask for.
const MAX_TOKENS_LIMIT: u32 = 1_000_000;

/// Maximum tokens of a request that does not state them.
const DEFAULT_MAX_TOKENS: u32 = 256;

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawCompletion {
    model: String,
    prompt: String,
    #[serde(default)]
    max_tokens: Option<u32>,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    latency_class: Option<String>,
    #[serde(default)]
    seed: Option<u64>,
}

#[derive(Serialize)]
struct WholeAnswer<'a> {
    id: String,
    outcome: &'a str,
    text: String,
    tokens: u64,
    finish: &'a str,
}

#[derive(Serialize)]
struct Running<'a> {
    id: String,
    outcome: &'a str,
    retry_after_ms: u64,
}

/// A call with its request id.
#[derive(Debug)]
pub(super) struct IdentifiedCall {
    pub id: RequestId,
    pub call: Call,
    /// The caller's own key; another id may hold it and run instead of `id`.
    pub key: Option<ClaimKey>,
}

impl IdentifiedCall {
    /// Follows the call under its id, or under the id that holds its key.
    ///
    /// If no node knows the state of an idempotent call's id, the call runs on this node under a
    /// new id, because the home of the original id may have refused that id as not run.
    pub async fn follow(self, node: &Arc<Node>) -> RequestFollower<NodeDependencies> {
        if let Some(key) = self.key {
            return keyed::follow(node, key, self.call).await;
        }
        let core = &node.core;
        let follow = |id, call| RequestFollower::new(Arc::clone(core), id, Some(call), 0);
        if !self.call.idempotent || core.is_home(&self.id) {
            return follow(self.id, self.call);
        }
        let mut under_own_id = follow(self.id, self.call.clone());
        let first = under_own_id.peek().await;
        if !may_substitute(&self.call, first, core.phase(), core.clock.now()) {
            return under_own_id;
        }
        let substitute = node.mint_here(&self.call.team);
        log::info!(id:% = self.id, substitute:% = substitute; "no node answers for an idempotent call; it runs here under a substitute id");
        metrics::counter!("teaselline_substitutes_total").increment(1);
        follow(substitute, self.call).in_place_of(self.id)
    }
}

/// Handles the request.
pub(super) async fn complete(context: RequestContext) -> Response<Body> {
    let node = Arc::clone(&context.node);
    let is_named = parsing::is_named(&context.headers);
    match check(context).await {
        Ok((identified, is_streamed)) => {
            let caller = node.track_caller();
            let mut follow = identified.follow(&node).await;
            if is_streamed {
                respond_stream(follow, caller).await
            } else {
                respond_whole(&mut follow).await
            }
        }
        Err(refusal) if is_named => refusal.response_to_named(),
        Err(refusal) => refusal.response(),
    }
}

async fn check(context: RequestContext) -> Result<(IdentifiedCall, bool), Refusal> {
    let in_force = context
        .node
        .core
        .blackboard
        .active_configuration()
        .ok_or(Refusal::NotConfigured)?;
    let document = &in_force.document;
    let team = authorize::team(document, &context.headers)?;
    let idempotent = parsing::idempotent(&context.headers)?.unwrap_or(true);
    let given = parsing::request_id(&context.headers)?;
    let body = parsing::read(context.body, context.limits).await?;
    let raw: RawCompletion =
        serde_json::from_slice(&body).map_err(|_malformed| Refusal::BodyMalformed)?;
    let max_tokens = raw.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS);
    if raw.prompt.is_empty() || !(1..=MAX_TOKENS_LIMIT).contains(&max_tokens) {
        return Err(Refusal::OutOfRange);
    }
    document
        .find_model(&raw.model)
        .ok_or(Refusal::NoSuchTarget)?;
    let key = keyed::key(&context.headers, &team.name, idempotent)?;
    let id = identify(&context.node, given, &team.name)?;
    let now = context.node.core.clock.now();
    let (latency_class, deadline_ms) = deadline(document, team, raw.latency_class.as_deref(), now)?;
    let work = Work::Completion {
        model: raw.model,
        prompt: raw.prompt,
        max_tokens,
        seed: raw
            .seed
            .unwrap_or_else(|| key.map_or_else(|| id.seed(), ClaimKey::seed)),
    };
    let team = team.name.clone();
    let call = Call {
        team,
        idempotent,
        latency_class,
        deadline_ms,
        work,
    };
    Ok((IdentifiedCall { id, call, key }, raw.stream))
}

/// Returns a call's latency class and the deadline that follows from it.
pub(super) fn deadline(
    document: &Document,
    team: &Team,
    class_name: Option<&str>,
    now: TimeMs,
) -> Result<(String, TimeMs), Refusal> {
    let key = match class_name {
        Some(name) => document
            .find_latency_class(name)
            .ok_or(Refusal::NoSuchTarget)?,
        None => team.default_latency_class,
    };
    let class = document.latency_class(key);
    Ok((class.name.clone(), now.after(class.deadline_ms)))
}

/// Returns the caller's id if it was issued to the team, or a new id if the caller sent none.
pub(super) fn identify(
    node: &Node,
    given: Option<RequestId>,
    team: &str,
) -> Result<RequestId, Refusal> {
    match given {
        Some(id) if node.core.verifies(&id, team) => Ok(id),
        Some(_) => Err(Refusal::NoSuchRequest),
        None => Ok(node.mint_here(team)),
    }
}

/// Responds with a request's answer as a stream; the first step decides the status.
pub(super) async fn respond_stream(
    mut follow: RequestFollower<NodeDependencies>,
    caller: CallerGuard,
) -> Response<Body> {
    let first = follow.next().await;
    let id = follow.id_of(&first);
    let response = match first {
        Step::NoSuchRequest => Refusal::NoSuchRequest.response_to_named(),
        Step::OtherCall => Refusal::OtherCall.response_to_named(),
        Step::End(outcome) if !outcome.is_answer() => refusal::outcome(&id, &outcome),
        Step::Elsewhere => running(id),
        first => sse::stream(first, follow, caller),
    };
    with_id(response, &id)
}

/// Tells the caller to request the answer from another node, because this one is stopping.
fn running(id: RequestId) -> Response<Body> {
    let running = Running {
        id: id.to_string(),
        outcome: "running",
        retry_after_ms: 0,
    };
    refusal::json(StatusCode::ACCEPTED, &running)
}

/// Responds with the whole answer of a request once it has ended.
pub(super) async fn respond_whole(
    follow: &mut RequestFollower<NodeDependencies>,
) -> Response<Body> {
    let (text, last) = follow.read_to_end().await;
    let id = follow.id_of(&last);
    let response = match last {
        Step::End(outcome) => ended(id, &text, &outcome),
        Step::NoSuchRequest => Refusal::NoSuchRequest.response_to_named(),
        Step::OtherCall | Step::Tokens(_) => Refusal::OtherCall.response_to_named(),
        Step::Elsewhere => running(id),
    };
    with_id(response, &id)
}

/// Returns the response for a request that has ended.
fn ended(id: RequestId, text: &str, outcome: &Outcome) -> Response<Body> {
    match outcome {
        Outcome::Completed { tokens, finish } => {
            let answer = WholeAnswer {
                id: id.to_string(),
                outcome: outcome.name(),
                text: text.to_owned(),
                tokens: *tokens,
                finish: refusal::finish(*finish),
            };
            refusal::json(StatusCode::OK, &answer)
        }
        Outcome::Answered { status, body } => {
            let mut response = Response::new(refusal::full_body(body.clone()));
            *response.status_mut() = StatusCode::from_u16(*status).unwrap_or(StatusCode::OK);
            // Without this header a service's own 404 or 503 could be taken for a refusal by this
            // node.
            response
                .headers_mut()
                .insert(OUTCOME_HEADER, HeaderValue::from_static(outcome.name()));
            response
        }
        other => refusal::outcome(&id, other),
    }
}

/// Adds the request id to a response, for a caller that has to ask again.
fn with_id(mut response: Response<Body>, id: &RequestId) -> Response<Body> {
    if let Ok(value) = HeaderValue::from_str(&id.to_string()) {
        response.headers_mut().insert(REQUEST_ID, value);
    }
    response
}
