//! Request admission: checks the route, the team's API key and quota, and reads the body.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::request::Parts;
use http::{HeaderMap, Method, Uri};

use super::attempts::Attempts;
use super::request_log::{Charge, RequestLog};
use crate::gateway::caller_connection::RequestBody;
use crate::gateway::catalog::{Catalog, Route, RouteKey, Team, TeamKey};
use crate::gateway::clock;
use crate::gateway::crashes::subjects::{self, Subjects};
use crate::gateway::forwarding::{self, ForwardedRequest};
use crate::gateway::limits::credit;
use crate::gateway::limits::quota::{self, Admission};
use crate::gateway::refusal::Refusal;
use crate::gateway::request_head::{Malformed, RequestHead};
use crate::gateway::scheduling::demand::Kind;
use crate::gateway::state::Gateway;
use crate::gateway::streams::{self, Origin, VersionTag};
use crate::gateway::upstreams::tag;
use crate::limits::TeamTag;
use crate::platform::headers;
use crate::resources::{self, ArrivalError};
use crate::time::TimeMs;

/// Distance between the urgencies of two adjacent priorities.
const URGENCY_PER_PRIORITY: u8 = 2;
/// The lowest urgency that upstreams accept; 0 is the highest.
const LOWEST_URGENCY: u8 = 9;

/// An admitted request with its route, team, deadline and urgency.
#[derive(Debug)]
pub(super) struct Plan {
    pub head: RequestHead,
    pub method: Method,
    /// Path and query, as the caller sent them.
    pub uri: Uri,
    /// The caller's headers that are forwarded to an upstream.
    pub headers: HeaderMap,
    pub body: Bytes,
    catalog: Arc<Catalog>,
    route: RouteKey,
    team: Option<TeamKey>,
    pub pool: String,
    /// The earlier of the caller's deadline and the route's timeout; a later response is useless.
    pub deadline: TimeMs,
    /// 0 is served first, 9 last.
    pub urgency: u8,
    /// What a crash under the request may be blamed on.
    pub subjects: Subjects,
    /// Hash of the request id, uniform; spreads requests over pools, upstreams and versions.
    pub draw: u64,
    /// What the stream is bound to that the request takes up; `None` if it begins one.
    pub begun: Option<Origin>,
    /// Units that the request consumes from its team's quota.
    charge: f64,
}

impl Plan {
    /// Returns the request's route.
    pub fn route(&self) -> &Route {
        self.catalog.route(self.route)
    }

    /// Returns the request's team, if its route requires an API key.
    pub fn team(&self) -> Option<&Team> {
        self.team.map(|team| self.catalog.team(team))
    }

    /// Returns the requests that are served as often as this one while its pool is short of room.
    pub fn kind(&self) -> Kind {
        Kind {
            team: (self.team()).map_or(TeamTag(0), |team| TeamTag::of(&team.name)),
            urgency: self.urgency,
        }
    }

    /// Returns whether the request may be sent to another upstream after one may have executed it.
    pub fn may_repeat(&self, attempts: &Attempts) -> bool {
        self.route().is_repeatable() && attempts.executions() < self.route().max_upstreams
    }

    /// Returns whether the request may be sent now, also while the node is stopping.
    pub fn may_send(&self, node: &Gateway, now: TimeMs) -> bool {
        node.may_send(self.route(), self.deadline, now)
    }

    /// Binds the request to the pool and version that began its stream.
    fn bind(&mut self, origin: Origin) {
        let mut targets = self.catalog.route(self.route).targets.iter();
        let pool = targets.find(|(target, _weight)| tag(target) == origin.pool);
        if let Some((pool, _weight)) = pool {
            self.pool.clone_from(pool);
        }
        self.begun = Some(origin);
    }

    /// Returns where a stream begins whose first event an upstream of this version sent.
    pub fn origin_at(&self, version: VersionTag) -> Origin {
        Origin {
            pool: tag(&self.pool),
            version,
            team: self.team().map(|team| tag(&team.name)),
        }
    }

    /// Returns the rate at which engines of the pool copy KV cache from each other, in tokens per
    /// millisecond; `None` if they cannot.
    pub fn copy_tokens_per_ms(&self) -> Option<f64> {
        let pool = self.catalog.pool(&self.pool)?;
        pool.engine.and_then(|engine| engine.copy_tokens_per_ms)
    }

    /// Returns the request's charge to its team's quota if no upstream may have executed it.
    pub fn refund_quota(
        &self,
        node: &Gateway,
        attempts: &Attempts,
        request_log: &mut RequestLog,
        now: TimeMs,
    ) {
        if let Some(team) = self.team()
            && attempts.executions() == 0
        {
            node.quotas.lock().refund(team, self.charge, now);
            request_log.record_refund();
        }
    }
}

/// The head of a request that the configuration allows.
struct Checked {
    head: RequestHead,
    catalog: Arc<Catalog>,
    route: RouteKey,
    team: Option<TeamKey>,
    deadline: TimeMs,
}

/// Checks a request against the configuration and quotas and reads its body.
///
/// # Errors
///
/// The refusal to return to the caller if the request is not admitted.
pub(super) async fn admit(
    node: &Gateway,
    parts: Parts,
    body: RequestBody,
    received_at: TimeMs,
    request_log: &mut RequestLog,
) -> Result<Plan, Refusal> {
    let checked = check(node, &parts, received_at, request_log)?;
    let max_bytes = checked.catalog.limits.max_body_bytes;
    let body = read_body(body, max_bytes, checked.deadline).await?;
    let mut plan = plan(node, parts, checked, body)?;
    if let Some(team) = plan.team() {
        let cost = charge(node, team, &plan.head, request_log).await?;
        let window = node.settings().bounds.limit_window;
        request_log.record_charge(Charge::new(cost, team, window));
        plan.charge = cost;
    }
    match streams::bind(node, &plan.head, plan.route(), plan.team(), &plan.pool).await {
        Ok(None) => {}
        Ok(Some(begun)) => {
            request_log.record_begun(begun);
            plan.bind(begun.origin);
        }
        Err(refusal) => {
            plan.refund_quota(node, &Attempts::default(), request_log, clock::now());
            return Err(refusal);
        }
    }
    Ok(plan)
}

/// Checks a request that a peer forwarded against the configuration.
///
/// The peer has charged the team's quota, and has told it to all nodes. It has promised its caller the time
/// that is left; the route's timeout may differ in the configuration of this node.
///
/// # Errors
///
/// The refusal to return to the peer if the request is not admitted.
pub(super) fn admit_forwarded(
    node: &Gateway,
    request: ForwardedRequest,
    received_at: TimeMs,
    request_log: &mut RequestLog,
) -> Result<Plan, Refusal> {
    let begun = request.begun;
    let deadline = received_at.after(request.time_left_ms);
    let (parts, body) = forwarded_parts(request).ok_or(Malformed::Forwarded)?;
    let place = node.callers.begin(received_at);
    let body = resources::hold_whole(body, place, deadline).map_err(|_full| Refusal::NoMemory)?;
    let checked = Checked {
        deadline,
        ..check(node, &parts, received_at, request_log)?
    };
    let mut plan = plan(node, parts, checked, body)?;
    if let Some(origin) = begun {
        plan.bind(origin);
    }
    Ok(plan)
}

/// Returns the head and the body of a forwarded request; `None` if they are not valid HTTP.
fn forwarded_parts(request: ForwardedRequest) -> Option<(Parts, Vec<u8>)> {
    let (mut parts, ()) = http::Request::new(()).into_parts();
    parts.method = Method::from_bytes(request.method.as_bytes()).ok()?;
    parts.uri = request.uri.parse().ok()?;
    parts.headers = forwarding::decode_headers(&request.headers)?;
    headers::restore_caller_headers(
        &mut parts.headers,
        request.key.as_deref(),
        request.time_left_ms,
    );
    Some((parts, request.body))
}

/// Checks the head of a request against the configuration in force.
fn check(
    node: &Gateway,
    parts: &Parts,
    received_at: TimeMs,
    request_log: &mut RequestLog,
) -> Result<Checked, Refusal> {
    let head = headers::read_request_head(&parts.headers)?;
    request_log.set_head(&head);
    let settings = node.settings();
    let in_force = node.in_force.read().clone();
    if !in_force.is_known() {
        return Err(Refusal::NoConfiguration);
    }
    let is_fresh = in_force.is_fresh(settings.bounds.revoke_ms, received_at);
    let configuration_age_ms = received_at.since(in_force.confirmed_at);
    let catalog = in_force.catalog;
    let route = catalog.route_of(&head.host, parts.uri.path());
    let (route, team) = match route.map(|key| (key, catalog.route(key))) {
        // A stale configuration may lack routes and API keys that were added since.
        _ if !is_fresh && catalog.has_teams() => return Err(Refusal::StaleConfiguration),
        None => return Err(Refusal::NoRoute),
        Some((key, route)) if route.is_public || !catalog.has_teams() => (key, None),
        Some((key, _route)) => {
            let team = head.key.as_deref().and_then(|held| catalog.team_of(held));
            (key, Some(team.ok_or(Refusal::UnknownKey)?))
        }
    };
    let found = catalog.route(route);
    let team_name = team.map(|team| catalog.team(team).name.as_str());
    let label = node.route_labels.lock().label_for(&found.name);
    request_log.set_route(found, label, team_name);
    request_log.set_configuration(catalog.version, configuration_age_ms);
    let left_ms = head.time_left_ms.unwrap_or(found.timeout_ms);
    let deadline = received_at.after(left_ms.min(found.timeout_ms));
    if !node.may_send(found, deadline, clock::now()) {
        return Err(Refusal::Stopping);
    }
    Ok(Checked {
        head,
        catalog,
        route,
        team,
        deadline,
    })
}

/// Plans a request whose body has been read.
fn plan(node: &Gateway, parts: Parts, checked: Checked, body: Bytes) -> Result<Plan, Refusal> {
    let Checked {
        head,
        catalog,
        route,
        team,
        deadline,
    } = checked;
    let found = catalog.route(route);
    let team_tag = team.map_or(0, |team| catalog.team(team).tag);
    let content = subjects::content_hash(parts.uri.path(), head.key.as_deref(), &body);
    let judged = head.prompt.as_ref().into_iter();
    let judged = judged.flat_map(|prompt| subjects::parts(prompt, team_tag, tag(&found.name)));
    let subjects = Subjects::new(content, team_tag, judged);
    if let Some(blame) = (node.crashes.lock()).refusal_for_now(&subjects, clock::now()) {
        return Err(blame.into());
    }
    let priority = team.and_then(|team| catalog.team(team).priority);
    let priority = priority.unwrap_or(found.priority);
    let draw = tag(&head.id);
    let uri = parts
        .uri
        .path_and_query()
        .cloned()
        .map_or(parts.uri, Uri::from);
    Ok(Plan {
        headers: headers::forwardable_headers(&parts.headers, catalog.has_teams()),
        method: parts.method,
        uri,
        body,
        pool: found.target(draw).to_owned(),
        deadline,
        urgency: priority
            .saturating_mul(URGENCY_PER_PRIORITY)
            .saturating_add(1)
            .min(LOWEST_URGENCY),
        subjects,
        draw,
        begun: None,
        charge: 0.0,
        head,
        route,
        team,
        catalog,
    })
}

/// Charges a request to its team's limit; returns the cost.
async fn charge(
    node: &Gateway,
    team: &Team,
    head: &RequestHead,
    request_log: &mut RequestLog,
) -> Result<f64, Refusal> {
    let tokens = head.prompt.as_ref();
    let tokens = tokens.map(|prompt| prompt.input_tokens + prompt.max_output_tokens);
    let cost = quota::cost(team.unit, tokens);
    let decision = credit::admit(node, team, cost, clock::now()).await;
    request_log.record_credit(decision.source, decision.wait_ms);
    match decision.admission {
        Admission::Admitted => Ok(cost),
        Admission::Over(shortfall) => Err(Refusal::OverLimit(shortfall)),
    }
}

async fn read_body(
    body: RequestBody,
    max_bytes: usize,
    deadline: TimeMs,
) -> Result<Bytes, Refusal> {
    let left = Duration::from_millis(clock::now().until(deadline));
    match tokio::time::timeout(left, body.read(max_bytes, deadline)).await {
        Ok(Ok(body)) => Ok(body),
        Ok(Err(ArrivalError::TooLong)) => Err(Refusal::BodyTooLong { max_bytes }),
        Ok(Err(ArrivalError::Broken)) => Err(Refusal::BodyBroken),
        Ok(Err(ArrivalError::Evicted(_evicted))) => Err(Refusal::NoMemory),
        Err(_elapsed) => Err(Refusal::BodyTimeout),
    }
}
