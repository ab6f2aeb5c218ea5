//! `GET` and `DELETE /v1/requests/{id}`: read, resume and cancel a request, from any node.

use std::sync::Arc;

use gotham::helpers::http::Body;
use http::header::ACCEPT;
use http::{HeaderMap, Response, StatusCode};
use serde::Serialize;

use super::completions::{respond_stream, respond_whole};
use super::refusal::{Refusal, json};
use super::routes::RequestContext;
use super::{authorize, parsing};
use crate::requests::{RequestFollower, RequestId};

#[derive(Serialize)]
struct Cancelling {
    id: String,
    outcome: &'static str,
}

/// Reads a request's answer from a position on, as events or as a whole.
pub(super) async fn read(context: RequestContext) -> Response<Body> {
    match check(&context) {
        Ok((id, from)) => {
            let caller = context.node.track_caller();
            let mut follow = RequestFollower::new(Arc::clone(&context.node.core), id, None, from);
            if wants_events(&context.headers) || from > 0 {
                respond_stream(follow, caller).await
            } else {
                respond_whole(&mut follow).await
            }
        }
        Err(refusal) => refusal.response_to_named(),
    }
}

/// Cancels a request.
pub(super) async fn cancel(context: RequestContext) -> Response<Body> {
    let (id, _from) = match check(&context) {
        Ok(checked) => checked,
        Err(refusal) => return refusal.response_to_named(),
    };
    let is_found = context.node.core.cancel(id).await;
    if is_found {
        let cancelling = Cancelling {
            id: id.to_string(),
            outcome: "cancelling",
        };
        json(StatusCode::ACCEPTED, &cancelling)
    } else {
        Refusal::NoSuchRequest.response_to_named()
    }
}

/// Returns the id and the position, if the id was issued to the team.
fn check(context: &RequestContext) -> Result<(RequestId, u64), Refusal> {
    let in_force = context
        .node
        .core
        .blackboard
        .active_configuration()
        .ok_or(Refusal::NotConfigured)?;
    let team = authorize::team(&in_force.document, &context.headers)?;
    let segments = context.segments();
    let id = segments.last().and_then(|id| id.parse::<RequestId>().ok());
    match id {
        Some(id) if context.node.core.verifies(&id, &team.name) => {
            let from = parsing::next_position(&context.headers, context.parameter("from"))?;
            Ok((id, from))
        }
        // The response for another team's id equals that for an unknown id.
        _ => Err(Refusal::NoSuchRequest),
    }
}

fn wants_events(headers: &HeaderMap) -> bool {
    let accept = headers.get(ACCEPT).and_then(|accept| accept.to_str().ok());
    accept.is_some_and(|accept| accept.contains("text/event-stream"))
}
