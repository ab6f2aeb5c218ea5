//! Endpoints for operators: configuration, status, metrics and health.

use std::sync::Arc;

use gotham::helpers::http::Body;
use http::header::CONTENT_TYPE;
use http::{HeaderMap, HeaderValue, Response, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

use super::refusal::{Refusal, full_body, json};
use super::routes::RequestContext;
use super::{authorize, parsing};
use crate::blackboard::{ActiveConfiguration, HostState};
use crate::membership::Member;
use crate::node::Node;
use crate::node::change::{ChangeError, Proposal};
use crate::requests::core::Phase;

/// Operator name recorded for a document that was applied with the fleet key.
const FLEET_KEY_OPERATOR: &str = "fleet key";

#[derive(Serialize)]
struct InForceBody<'a> {
    revision: u64,
    document: &'a RawValue,
}

#[derive(Deserialize)]
struct ChangeBody<'a> {
    base_revision: u64,
    #[serde(borrow)]
    document: &'a RawValue,
}

#[derive(Serialize)]
struct Accepted {
    revision: u64,
}

#[derive(Serialize)]
struct FaultBody {
    path: String,
    message: String,
}

#[derive(Serialize)]
struct Faults {
    faults: Vec<FaultBody>,
}

#[derive(Serialize)]
struct Stale {
    error: &'static str,
    in_force: u64,
}

#[derive(Serialize)]
struct Unavailable {
    error: &'static str,
    outcome: &'static str,
}

/// `GET /v1/configuration`: the document in force, for operators.
pub(super) async fn configuration(context: RequestContext) -> Response<Body> {
    let Some(in_force) = context.node.core.blackboard.active_configuration() else {
        return Refusal::NotConfigured.response();
    };
    if let Err(refusal) = authorize::operator(&in_force.document, &context.headers) {
        return refusal.response();
    }
    match serde_json::from_str::<&RawValue>(&in_force.text) {
        Ok(document) => json(
            StatusCode::OK,
            &InForceBody {
                revision: in_force.revision,
                document,
            },
        ),
        Err(_) => json(
            StatusCode::INTERNAL_SERVER_ERROR,
            &"the document is not JSON",
        ),
    }
}

/// Returns the name of the operator who sends the request.
///
/// The first document names the operators; until it is applied, the holder of the fleet key acts as
/// operator.
pub(super) fn operator_or_fleet_key(
    node: &Node,
    in_force: Option<&ActiveConfiguration>,
    headers: &HeaderMap,
) -> Result<String, Refusal> {
    match in_force {
        Some(in_force) => {
            let operator = authorize::operator(&in_force.document, headers)?;
            Ok(operator.name.clone())
        }
        None if authorize::has_fleet_key(&node.fleet_secret, headers) => {
            Ok(FLEET_KEY_OPERATOR.to_owned())
        }
        None => Err(Refusal::NoToken),
    }
}

/// `POST /v1/configuration`: proposes a document on top of a revision.
pub(super) async fn change(context: RequestContext) -> Response<Body> {
    let node = Arc::clone(&context.node);
    let in_force = node.core.blackboard.active_configuration();
    let operator = match operator_or_fleet_key(&node, in_force.as_deref(), &context.headers) {
        Ok(operator) => operator,
        Err(refusal) => return refusal.response(),
    };
    let body = match parsing::read(context.body, context.limits).await {
        Ok(body) => body,
        Err(refusal) => return refusal.response(),
    };
    let Ok(ChangeBody {
        base_revision,
        document,
    }) = serde_json::from_slice(&body)
    else {
        return Refusal::BodyMalformed.response();
    };
    let document = document.get().to_owned();
    match node
        .propose(Proposal {
            base_revision,
            operator,
            document,
        })
        .await
    {
        Ok(revision) => json(StatusCode::OK, &Accepted { revision }),
        Err(error) => change_error(&error),
    }
}

fn change_error(error: &ChangeError) -> Response<Body> {
    match error {
        ChangeError::Faults(faults) => {
            let faults = faults.faults.iter().map(|fault| FaultBody {
                path: fault.path.to_string(),
                message: fault.kind.to_string(),
            });
            json(
                StatusCode::UNPROCESSABLE_ENTITY,
                &Faults {
                    faults: faults.collect(),
                },
            )
        }
        ChangeError::Stale { in_force } => json(
            StatusCode::CONFLICT,
            &Stale {
                error: "stale_base",
                in_force: *in_force,
            },
        ),
        ChangeError::NotWritten(_) => unavailable("not_run"),
        ChangeError::Unknown(_) => unavailable("unknown"),
    }
}

fn unavailable(outcome: &'static str) -> Response<Body> {
    json(
        StatusCode::SERVICE_UNAVAILABLE,
        &Unavailable {
            error: "log_unavailable",
            outcome,
        },
    )
}

#[derive(Serialize)]
struct Status {
    name: String,
    incarnation: String,
    phase: &'static str,
    revision: u64,
    log_stale_ms: Option<u64>,
    requests: usize,
    witnessed: usize,
    nodes: Vec<Member>,
    upstreams: Vec<HostStatus>,
    leases: Vec<LeaseStatus>,
}

#[derive(Serialize)]
struct LeaseStatus {
    name: String,
    holder: Option<String>,
    fencing: u64,
    ends_at_ms: u64,
}

#[derive(Serialize)]
struct HostStatus {
    host: String,
    address: String,
    failure_domain: String,
    host_class: String,
    pool: String,
    state: &'static str,
    leave_at_ms: Option<u64>,
    running: u32,
    queued: u32,
    open_here: u32,
}

/// `GET /v1/status`: this node's view of the fleet, for operators.
pub(super) async fn status(context: RequestContext) -> Response<Body> {
    let node = &context.node;
    let in_force = node.core.blackboard.active_configuration();
    if let Err(refusal) = operator_or_fleet_key(node, in_force.as_deref(), &context.headers) {
        return refusal.response();
    }
    let now = node.core.clock.now();
    let status = Status {
        name: node.name.clone(),
        incarnation: node.core.own.to_string(),
        phase: phase(node.core.phase()),
        revision: node.revision(),
        log_stale_ms: node.configuration.fold().staleness_ms(now),
        requests: node.core.records.len(),
        witnessed: node.core.witness.len(),
        nodes: node.directory.members(),
        upstreams: hosts(node),
        leases: leases(node),
    };
    json(StatusCode::OK, &status)
}

fn leases(node: &Node) -> Vec<LeaseStatus> {
    let leases = node.leases.list().into_iter().map(|lease| LeaseStatus {
        holder: lease.holder.map(|holder| node.name_of(holder)),
        name: lease.name,
        fencing: lease.fencing.0,
        ends_at_ms: lease.ends_ms.0,
    });
    leases.collect()
}

fn phase(phase: Phase) -> &'static str {
    match phase {
        Phase::Serving => "serving",
        Phase::Leaving => "leaving",
        Phase::Left => "left",
    }
}

fn hosts(node: &Node) -> Vec<HostStatus> {
    let Some(in_force) = node.core.blackboard.active_configuration() else {
        return Vec::new();
    };
    let document = &in_force.document;
    let mut hosts = Vec::new();
    node.core.blackboard.for_each_host(|row| {
        let (state, leave_at_ms) = match row.state {
            HostState::Live => ("live", None),
            HostState::Leaving { leave_at_ms } => ("leaving", Some(leave_at_ms.0)),
        };
        // After a new revision the rows have old keys until they are resolved again; these may be
        // out of range.
        let name = |name: Option<&str>| name.unwrap_or_default().to_owned();
        hosts.push(HostStatus {
            host: row.name.clone(),
            address: row.address.to_string(),
            failure_domain: name(
                document
                    .failure_domains
                    .get(row.domain.index())
                    .map(|found| found.name.as_str()),
            ),
            host_class: name(
                document
                    .host_classes
                    .get(row.class.index())
                    .map(|found| found.name.as_str()),
            ),
            pool: name(
                document
                    .pools
                    .get(row.pool.index())
                    .map(|found| found.name.as_str()),
            ),
            state,
            leave_at_ms,
            running: row.load.running,
            queued: row.load.queued,
            open_here: row.own_open_streams,
        });
    });
    hosts.sort_unstable_by(|a, b| a.host.cmp(&b.host));
    hosts
}

/// `GET /metrics`: the metrics in the Prometheus text format.
pub(super) async fn metrics(context: RequestContext) -> Response<Body> {
    let mut response = Response::new(full_body(context.node.metrics.render()));
    let kind = HeaderValue::from_static("text/plain; version=0.0.4");
    response.headers_mut().insert(CONTENT_TYPE, kind);
    response
}

/// `GET /healthz`: whether the process responds.
pub(super) async fn health(_context: RequestContext) -> Response<Body> {
    json(StatusCode::OK, &"ok")
}

/// `GET /readyz`: whether the node accepts requests.
pub(super) async fn ready(context: RequestContext) -> Response<Body> {
    let node = &context.node;
    match (
        node.core.blackboard.active_configuration(),
        node.core.phase(),
    ) {
        (None, _) => json(StatusCode::SERVICE_UNAVAILABLE, &"no configuration"),
        (Some(_), Phase::Serving) => json(StatusCode::OK, &"ready"),
        (Some(_), Phase::Leaving | Phase::Left) => {
            json(StatusCode::SERVICE_UNAVAILABLE, &"leaving")
        }
    }
}
