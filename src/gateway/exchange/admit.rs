//! Whether a request may run at all: its route, its team's key and limit, its body.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::request::Parts;
use http::{HeaderMap, Method, Uri};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;

use super::story::Story;
use super::trial::Trial;
use crate::gateway::call::CallHead;
use crate::gateway::catalog::{Catalog, Route, RouteKey, Team, TeamKey};
use crate::gateway::clock;
use crate::gateway::quota::{self, Admission};
use crate::gateway::refusal::Refusal;
use crate::gateway::state::Gateway;
use crate::gateway::strikes;
use crate::gateway::upstreams::tag;
use crate::platform::headers;
use crate::time::TimeMs;

/// Urgencies from the first to the last that upstreams know.
const URGENCY_STEP: u8 = 2;
const LAST_URGENCY: u8 = 9;

/// A request that may run, and within which bounds.
#[derive(Debug)]
pub(super) struct Plan {
    pub head: CallHead,
    pub method: Method,
    /// Path and query, as the caller sent them.
    pub uri: Uri,
    /// The caller's headers that go on to an upstream.
    pub headers: HeaderMap,
    pub body: Bytes,
    catalog: Arc<Catalog>,
    route: RouteKey,
    team: Option<TeamKey>,
    pub pool: String,
    /// The caller or the operators want no answer after this.
    pub limit_at: TimeMs,
    /// 0 comes first, 9 last.
    pub urgency: u8,
    /// Stands for path, key and body.
    pub content: u64,
    /// Evenly spread over requests.
    pub draw: u64,
    /// What it takes out of its team's limit.
    charge: f64,
}

impl Plan {
    /// The request's route.
    pub fn route(&self) -> &Route {
        self.catalog.route(self.route)
    }

    /// The request's team.
    pub fn team(&self) -> Option<&Team> {
        self.team.map(|team| self.catalog.team(team))
    }

    /// Whether the request may be sent to one more upstream after it may have run.
    pub fn may_repeat(&self, trial: &Trial) -> bool {
        self.route().may_repeat() && trial.runs() < self.route().max_upstreams
    }

    /// How fast engines of the request's pool copy from each other, if they can.
    pub fn copy_tokens_per_ms(&self) -> Option<f64> {
        let pool = self.catalog.pool(&self.pool)?;
        pool.engine.and_then(|engine| engine.copy_tokens_per_ms)
    }

    /// Gives back what the request took out of its team's limit, if it has not run.
    pub fn settle(&self, node: &Gateway, trial: &Trial, now: TimeMs) {
        if let Some(team) = self.team()
            && trial.runs() == 0
        {
            node.quotas.lock().give_back(team, self.charge, now);
        }
    }
}

/// Checks a request and reads its body.
pub(super) async fn admit(
    node: &Gateway,
    parts: Parts,
    body: Incoming,
    received_at: TimeMs,
    story: &mut Story,
) -> Result<Plan, Refusal> {
    let head = headers::read_call(&parts.headers)?;
    story.identify(&head.id);
    let settings = node.settings();
    let in_force = node.in_force.read().clone();
    if !in_force.is_known() {
        return Err(Refusal::NoConfiguration);
    }
    let is_fresh = in_force.is_fresh(settings.bounds.revoke_ms, received_at);
    let configuration_age_ms = received_at.since(in_force.current_at);
    let catalog = in_force.catalog;
    let path = parts.uri.path();
    let route = catalog.route_of(&head.host, path);
    let (route, team) = match route.map(|key| (key, catalog.route(key))) {
        // Routes and keys that were added meanwhile are not known here.
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
    let label = node.route_labels.lock().of(&found.name);
    story.routed(found, label, team_name);
    story.configured(catalog.version, configuration_age_ms);
    let left_ms = head.time_left_ms.unwrap_or(found.timeout_ms);
    let limit_at = received_at.after(left_ms.min(found.timeout_ms));
    if !node.accepts(found.is_stream, clock::now()) {
        return Err(Refusal::Stopping);
    }
    let body = read_body(body, catalog.limits.max_body_bytes, limit_at).await?;
    let content = strikes::content(path, head.key.as_deref(), &body);
    let now = clock::now();
    if node.strikes.lock().is_blocked(content, now) {
        return Err(Refusal::Breaking);
    }
    let charge = match team {
        Some(team) => charge(node, catalog.team(team), &head, now)?,
        None => 0.0,
    };
    let priority = team.and_then(|team| catalog.team(team).priority);
    let priority = priority.unwrap_or(found.priority);
    let draw = tag(&head.id);
    let uri = parts
        .uri
        .path_and_query()
        .cloned()
        .map_or(parts.uri, Uri::from);
    Ok(Plan {
        headers: headers::forwardable(&parts.headers, catalog.has_teams()),
        method: parts.method,
        uri,
        body,
        pool: found.target(draw).to_owned(),
        limit_at,
        urgency: priority
            .saturating_mul(URGENCY_STEP)
            .saturating_add(1)
            .min(LAST_URGENCY),
        content,
        draw,
        charge,
        head,
        route,
        team,
        catalog,
    })
}

fn charge(node: &Gateway, team: &Team, head: &CallHead, now: TimeMs) -> Result<f64, Refusal> {
    let tokens = head.prompt.as_ref();
    let tokens = tokens.map(|prompt| prompt.input_tokens + prompt.max_output_tokens);
    let cost = quota::cost(team.unit, tokens);
    let audience = node.peers.lock().audience(now);
    match node.quotas.lock().admit(team, cost, audience, now) {
        Admission::Admitted => Ok(cost),
        Admission::Over(shortfall) => Err(Refusal::OverLimit(shortfall)),
    }
}

async fn read_body(body: Incoming, max_bytes: usize, limit_at: TimeMs) -> Result<Bytes, Refusal> {
    let left = Duration::from_millis(clock::now().until(limit_at));
    let whole = Limited::new(body, max_bytes).collect();
    match tokio::time::timeout(left, whole).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(Refusal::BodyTooLong { max_bytes }),
        Ok(Err(_broken)) => Err(Refusal::BodyBroken),
        Err(_elapsed) => Err(Refusal::BodyTimeout),
    }
}
