//! `POST /v1/services/{name}/{path}`: a call to a plain service.

use std::sync::Arc;

use gotham::helpers::http::Body;
use http::Response;

use super::completions::{IdentifiedCall, deadline, identify, respond_whole};
use super::refusal::Refusal;
use super::routes::RequestContext;
use super::{authorize, keyed, parsing};
use crate::document::checked::PoolKind;
use crate::requests::{Call, Work};

/// Number of path segments before the service's own path: `v1`, `services` and its name.
const SERVICE_PATH_START: usize = 3;

/// Handles the request.
pub(super) async fn call(context: RequestContext) -> Response<Body> {
    let node = Arc::clone(&context.node);
    let is_named = parsing::is_named(&context.headers);
    match check(context).await {
        Ok(identified) => {
            let _caller = node.track_caller();
            let mut follow = identified.follow(&node).await;
            respond_whole(&mut follow).await
        }
        Err(refusal) if is_named => refusal.response_to_named(),
        Err(refusal) => refusal.response(),
    }
}

async fn check(context: RequestContext) -> Result<IdentifiedCall, Refusal> {
    let in_force = context
        .node
        .core
        .blackboard
        .active_configuration()
        .ok_or(Refusal::NotConfigured)?;
    let document = &in_force.document;
    let team = authorize::team(document, &context.headers)?;
    let given = parsing::request_id(&context.headers)?;
    let stated = parsing::idempotent(&context.headers)?;
    let segments = context.segments();
    let service = (*segments
        .get(SERVICE_PATH_START - 1)
        .ok_or(Refusal::NoSuchTarget)?)
    .to_owned();
    let path = segments
        .get(SERVICE_PATH_START..)
        .unwrap_or_default()
        .join("/");
    let pool = document.find_pool(&service).ok_or(Refusal::NoSuchTarget)?;
    let PoolKind::Service {
        idempotent: configured,
        ..
    } = document.pool(pool).kind
    else {
        return Err(Refusal::NoSuchTarget);
    };
    // A caller may mark a call non-idempotent, but cannot make a call idempotent that operators
    // have configured as non-idempotent.
    let idempotent = configured && stated.unwrap_or(true);
    let body = parsing::read(context.body, context.limits).await?.to_vec();
    let key = keyed::key(&context.headers, &team.name, idempotent)?;
    let id = identify(&context.node, given, &team.name)?;
    let now = context.node.core.clock.now();
    let (latency_class, deadline_ms) = deadline(document, team, None, now)?;
    let work = Work::Service {
        service,
        path,
        body,
    };
    let team = team.name.clone();
    Ok(IdentifiedCall {
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
