//! `POST /v1/services/{name}/{path}`: a call to a plain service.

use std::sync::Arc;

use gotham::helpers::http::Body;
use http::Response;

use super::completions::{Identified, deadline, identify, whole, with_id};
use super::refusal::Refusal;
use super::routes::Asked;
use super::{authorize, bodies, keyed};
use crate::document::checked::PoolKind;
use crate::requests::{Call, Work};

/// Segments before the path below the service: `v1`, `services` and its name.
const PATH_FROM: usize = 3;

/// Answers the call.
pub(super) async fn call(asked: Asked) -> Response<Body> {
    let node = Arc::clone(&asked.node);
    let named = bodies::is_named(&asked.headers);
    match check(asked).await {
        Ok(identified) => {
            let _caller = node.track_caller();
            let (id, mut follow) = identified.follow(&node).await;
            with_id(whole(&mut follow, id).await, &id)
        }
        Err(refusal) if named => refusal.response_to_named(),
        Err(refusal) => refusal.response(),
    }
}

async fn check(asked: Asked) -> Result<Identified, Refusal> {
    let in_force = asked
        .node
        .core
        .blackboard
        .in_force()
        .ok_or(Refusal::NotConfigured)?;
    let document = &in_force.document;
    let team = authorize::team(document, &asked.headers)?;
    let given = bodies::request_id(&asked.headers)?;
    let said = bodies::idempotent(&asked.headers)?;
    let segments = asked.segments();
    let service = (*segments.get(PATH_FROM - 1).ok_or(Refusal::NoSuchTarget)?).to_owned();
    let path = segments.get(PATH_FROM..).unwrap_or_default().join("/");
    let pool = document.find_pool(&service).ok_or(Refusal::NoSuchTarget)?;
    let PoolKind::Service {
        idempotent: configured,
        ..
    } = document.pool(pool).kind
    else {
        return Err(Refusal::NoSuchTarget);
    };
    // A caller may mark a call non-idempotent; it cannot unmark what the operators have marked.
    let idempotent = configured && said.unwrap_or(true);
    let body = bodies::read(asked.body, asked.bounds.max_body_bytes)
        .await?
        .to_vec();
    let key = keyed::key(&asked.headers, &team.name, idempotent)?;
    let id = identify(&asked.node, given, &team.name)?;
    let now = asked.node.core.clock.now();
    let (latency_class, deadline_ms) = deadline(document, team, None, now)?;
    let work = Work::Service {
        service,
        path,
        body,
    };
    let team = team.name.clone();
    Ok(Identified {
        id,
        call: Call {
            team,
            idempotent,
            latency_class,
            deadline_ms,
            work,
        },
        key,
    })
}
