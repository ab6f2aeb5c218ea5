//! `POST /v1/completions`: a model request, whole or streamed.

use std::sync::Arc;

use gotham::helpers::http::Body;
use http::{HeaderValue, Response, StatusCode};
use serde::{Deserialize, Serialize};

use super::bodies::{self, REQUEST_ID};
use super::refusal::{self, Refusal};
use super::routes::Asked;
use super::{authorize, keyed, sse};
use crate::coordination::claims::ClaimKey;
use crate::document::Document;
use crate::document::checked::Team;
use crate::node::{CallerGuard, Node, NodeLinks};
use crate::requests::core::Phase;
use crate::requests::outcome::Doubt;
use crate::requests::{Call, Follow, Outcome, RequestId, Step, Work};
use crate::time::TimeMs;

/// Tells a service's answer, whatever its status, from what this node says.
const OUTCOME: &str = "outcome";

/// Most tokens that one request may ask for.
const MAX_TOKENS: u32 = 1_000_000;

/// Tokens of a request that does not say.
const DEFAULT_TOKENS: u32 = 256;

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

/// A call with the id under which it runs.
#[derive(Debug)]
pub(super) struct Identified {
    pub id: RequestId,
    pub call: Call,
    /// The caller's own key, under which another id may run.
    pub key: Option<ClaimKey>,
}

impl Identified {
    /// Follows the call under its id, or under the one that holds its key.
    ///
    /// An idempotent call of whose id nobody can say anything runs here, under an id of this node's:
    /// under its own, its home may have refused it as not run.
    pub async fn follow(self, node: &Arc<Node>) -> (RequestId, Follow<NodeLinks>) {
        if let Some(key) = self.key {
            return keyed::follow(node, key, self.call).await;
        }
        let follow = |id, call| Follow::new(Arc::clone(&node.core), id, Some(call), 0);
        if !self.call.idempotent || node.core.is_home(&self.id) {
            return (self.id, follow(self.id, self.call));
        }
        let mut under_own_id = follow(self.id, self.call.clone());
        let nobody = Step::End(Outcome::Unknown(Doubt::NobodyAnswers));
        if *under_own_id.peek().await != nobody || node.core.phase() != Phase::Serving {
            return (self.id, under_own_id);
        }
        let id = node.mint_here(&self.call.team);
        (id, follow(id, self.call))
    }
}

/// Answers the call.
pub(super) async fn complete(asked: Asked) -> Response<Body> {
    let node = Arc::clone(&asked.node);
    let named = bodies::is_named(&asked.headers);
    match check(asked).await {
        Ok((identified, streamed)) => {
            let caller = node.track_caller();
            let (id, mut follow) = identified.follow(&node).await;
            let response = if streamed {
                stream(follow, id, caller).await
            } else {
                whole(&mut follow, id).await
            };
            with_id(response, &id)
        }
        Err(refusal) if named => refusal.response_to_named(),
        Err(refusal) => refusal.response(),
    }
}

async fn check(asked: Asked) -> Result<(Identified, bool), Refusal> {
    let in_force = asked
        .node
        .core
        .blackboard
        .in_force()
        .ok_or(Refusal::NotConfigured)?;
    let document = &in_force.document;
    let team = authorize::team(document, &asked.headers)?;
    let idempotent = bodies::idempotent(&asked.headers)?.unwrap_or(true);
    let given = bodies::request_id(&asked.headers)?;
    let body = bodies::read(asked.body, asked.bounds.max_body_bytes).await?;
    let raw: RawCompletion =
        serde_json::from_slice(&body).map_err(|_malformed| Refusal::BodyMalformed)?;
    let max_tokens = raw.max_tokens.unwrap_or(DEFAULT_TOKENS);
    if raw.prompt.is_empty() || !(1..=MAX_TOKENS).contains(&max_tokens) {
        return Err(Refusal::OutOfRange);
    }
    document
        .find_model(&raw.model)
        .ok_or(Refusal::NoSuchTarget)?;
    let key = keyed::key(&asked.headers, &team.name, idempotent)?;
    let id = identify(&asked.node, given, &team.name)?;
    let now = asked.node.core.clock.now();
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
    Ok((Identified { id, call, key }, raw.stream))
}

/// The latency class of a call and the time at which it is given up.
pub(super) fn deadline(
    document: &Document,
    team: &Team,
    named: Option<&str>,
    now: TimeMs,
) -> Result<(String, TimeMs), Refusal> {
    let key = match named {
        Some(name) => document
            .find_latency_class(name)
            .ok_or(Refusal::NoSuchTarget)?,
        None => team.default_latency_class,
    };
    let class = document.latency_class(key);
    Ok((class.name.clone(), now.after(class.deadline_ms)))
}

/// The caller's id if it is one of the team's, or a new one.
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

/// Streams a request, with the status of its first step.
pub(super) async fn stream(
    mut follow: Follow<NodeLinks>,
    id: RequestId,
    caller: CallerGuard,
) -> Response<Body> {
    match follow.next().await {
        Step::NoSuchRequest => Refusal::NoSuchRequest.response_to_named(),
        Step::OtherCall => Refusal::OtherCall.response_to_named(),
        Step::End(outcome) if !outcome.is_answer() => refusal::outcome(&id, &outcome),
        Step::Elsewhere => running(id),
        first => sse::stream(first, follow, id, caller),
    }
}

/// Asks the caller to look for the answer at another node, since this one ends.
fn running(id: RequestId) -> Response<Body> {
    let running = Running {
        id: id.to_string(),
        outcome: "running",
        retry_after_ms: 0,
    };
    refusal::json(StatusCode::ACCEPTED, &running)
}

/// Waits for the whole answer of a request.
pub(super) async fn whole(follow: &mut Follow<NodeLinks>, id: RequestId) -> Response<Body> {
    let (text, last) = follow.whole().await;
    match last {
        Step::End(outcome) => ended(id, &text, &outcome),
        Step::NoSuchRequest => Refusal::NoSuchRequest.response_to_named(),
        Step::OtherCall | Step::Tokens(_) => Refusal::OtherCall.response_to_named(),
        Step::Elsewhere => running(id),
    }
}

/// The response for a request that has ended.
pub(super) fn ended(id: RequestId, text: &str, outcome: &Outcome) -> Response<Body> {
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
            let mut response = Response::new(refusal::whole(body.clone()));
            *response.status_mut() = StatusCode::from_u16(*status).unwrap_or(StatusCode::OK);
            // A service's own 404 or 503 could be taken for a refusal of ours otherwise.
            response
                .headers_mut()
                .insert(OUTCOME, HeaderValue::from_static(outcome.name()));
            response
        }
        other => refusal::outcome(&id, other),
    }
}

/// Names the request in its response, for a caller that has to ask again.
pub(super) fn with_id(mut response: Response<Body>, id: &RequestId) -> Response<Body> {
    if let Ok(value) = HeaderValue::from_str(&id.to_string()) {
        response.headers_mut().insert(REQUEST_ID, value);
    }
    response
}
