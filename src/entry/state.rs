//! `GET` and `DELETE /v1/requests/{id}`: read, resume and cancel a request, from any node.

use std::sync::Arc;

use gotham::helpers::http::Body;
use http::header::ACCEPT;
use http::{HeaderMap, Response, StatusCode};
use serde::Serialize;

use super::completions::{stream, whole, with_id};
use super::refusal::{Refusal, json};
use super::routes::Asked;
use super::{authorize, bodies};
use crate::requests::{Follow, RequestId};

#[derive(Serialize)]
struct Cancelling {
    id: String,
    outcome: &'static str,
}

/// Reads a request from a position on, as events or whole.
pub(super) async fn read(asked: Asked) -> Response<Body> {
    match check(&asked) {
        Ok((id, from)) => {
            let caller = asked.node.track_caller();
            let mut follow = Follow::new(Arc::clone(&asked.node.core), id, None, from);
            let response = if wants_events(&asked.headers) || from > 0 {
                stream(follow, id, caller).await
            } else {
                whole(&mut follow, id).await
            };
            with_id(response, &id)
        }
        Err(refusal) => refusal.response_to_named(),
    }
}

/// Cancels a request.
pub(super) async fn cancel(asked: Asked) -> Response<Body> {
    let (id, _from) = match check(&asked) {
        Ok(checked) => checked,
        Err(refusal) => return refusal.response_to_named(),
    };
    let found = asked.node.core.cancel(id).await;
    if found {
        let cancelling = Cancelling {
            id: id.to_string(),
            outcome: "cancelling",
        };
        json(StatusCode::ACCEPTED, &cancelling)
    } else {
        Refusal::NoSuchRequest.response_to_named()
    }
}

/// The id and the position, if the id is one of the team's.
fn check(asked: &Asked) -> Result<(RequestId, u64), Refusal> {
    let in_force = asked
        .node
        .core
        .blackboard
        .in_force()
        .ok_or(Refusal::NotConfigured)?;
    let team = authorize::team(&in_force.document, &asked.headers)?;
    let segments = asked.segments();
    let id = segments.last().and_then(|id| id.parse::<RequestId>().ok());
    match id {
        Some(id) if asked.node.core.verifies(&id, &team.name) => {
            let from = bodies::next_position(&asked.headers, asked.parameter("from"))?;
            Ok((id, from))
        }
        // An id of another team is answered as one that never was.
        _ => Err(Refusal::NoSuchRequest),
    }
}

fn wants_events(headers: &HeaderMap) -> bool {
    let accept = headers.get(ACCEPT).and_then(|accept| accept.to_str().ok());
    accept.is_some_and(|accept| accept.contains("text/event-stream"))
}
