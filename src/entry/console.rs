//! Serves the operators' console.

use std::sync::Arc;

use gotham::helpers::http::Body;
use http::header::HeaderName;
use http::{HeaderMap, HeaderValue, Method, Response, StatusCode};

use super::parsing;
use super::refusal::full_body;
use super::routes::RequestContext;
use super::time::utc;
use crate::audit::{self, Actor};
use crate::blackboard::{ActiveConfiguration, HostState};
use crate::console::live::{LiveLease, LiveNode, LiveUpstream};
use crate::console::{
    LiveView, Proposal, ProposalOutcome, Reply, Request, Response as Page, Route, TrailRow, View,
    outcome_response, respond, session,
};
use crate::node::Node;
use crate::node::change::{self, ChangeError};

/// Maximum rows of the audit trail page.
const MAX_TRAIL_ROWS: usize = 500;

/// `GET /console…`
pub(super) async fn read(context: RequestContext) -> Response<Body> {
    serve(Method::GET, context).await
}

/// `POST /console…`
pub(super) async fn post(context: RequestContext) -> Response<Body> {
    serve(Method::POST, context).await
}

async fn serve(method: Method, context: RequestContext) -> Response<Body> {
    let Some(route) = Route::from_request(&method, context.uri.path()) else {
        let mut response = Response::new(Body::default());
        *response.status_mut() = StatusCode::NOT_FOUND;
        return response;
    };
    let body = match parsing::read(context.body, context.limits).await {
        Ok(body) => body,
        Err(refusal) => return refusal.response(),
    };
    let node = context.node;
    let request = Request {
        route,
        headers: &context.headers,
        body: &body,
    };
    let mut data = PageData::of(&node, route);
    if route == Route::Trail && is_operator(&node, &data, &context.headers) {
        data.trail = trail(&node).await;
    }
    let reply = respond(request, data.view(), &node.key, node.core.clock.now());
    let page = match reply {
        Reply::Page(page) => page,
        Reply::Propose(proposal) => propose(&node, &proposal).await,
    };
    response(&page)
}

async fn propose(node: &Arc<Node>, proposal: &Proposal) -> Page {
    let proposed = node
        .propose(change::Proposal {
            base_revision: proposal.base_revision,
            operator: proposal.session.operator.clone(),
            document: proposal.text.clone(),
        })
        .await;
    let verdict = match proposed {
        Ok(revision) => ProposalOutcome::Accepted { revision },
        Err(ChangeError::Stale { .. }) => ProposalOutcome::Stale,
        Err(ChangeError::Faults(faults)) => ProposalOutcome::Invalid(faults),
        Err(ChangeError::NotWritten(_)) => ProposalOutcome::NotAccepted,
        Err(ChangeError::Unknown(_)) => ProposalOutcome::Unknown,
    };
    outcome_response(
        proposal,
        verdict,
        PageData::of(node, Route::Document).view(),
    )
}

/// Data for a page, read from the node.
struct PageData {
    in_force: Option<Arc<ActiveConfiguration>>,
    live: LiveView,
    trail: Vec<TrailRow>,
}

impl PageData {
    fn of(node: &Node, route: Route) -> Self {
        Self {
            in_force: node.core.blackboard.active_configuration(),
            live: match route {
                Route::Live => live(node),
                _ => LiveView::default(),
            },
            trail: Vec::new(),
        }
    }

    fn view(&self) -> View<'_> {
        View {
            active_configuration: self.in_force.as_deref(),
            live: &self.live,
            trail: &self.trail,
        }
    }
}

/// Returns whether the request has an operator's session; the log is read only for operators.
fn is_operator(node: &Node, data: &PageData, headers: &HeaderMap) -> bool {
    let document = data.in_force.as_ref().map(|in_force| &in_force.document);
    session::authenticate(headers, document, &node.key, node.core.clock.now()).is_some()
}

/// Returns the newest entries of the audit trail, newest first.
async fn trail(node: &Node) -> Vec<TrailRow> {
    match audit::read_trail(&*node.log, MAX_TRAIL_ROWS).await {
        Ok(trail) => trail.entries().rev().map(trail_row).collect(),
        Err(error) => {
            log::info!(error:% = error; "the audit trail cannot be read; the page shows a notice instead");
            let unreadable = TrailRow {
                action: String::from("The trail cannot be read while the log is out of reach."),
                ..TrailRow::default()
            };
            vec![unreadable]
        }
    }
}

fn trail_row(entry: &audit::Entry) -> TrailRow {
    let who = match &entry.actor {
        Actor::Operator(name) => name.clone(),
        Actor::Controller(role) => format!("{role} of node {}", entry.node),
    };
    TrailRow {
        at: utc(entry.at_ms),
        actor: who,
        action: format!("{} {}", words(&entry.act), entry.target),
        revision: entry.revision.map(|it| it.to_string()).unwrap_or_default(),
        fencing_token: entry.fencing.map(|it| it.0.to_string()).unwrap_or_default(),
        outcome: [words(&entry.outcome), entry.detail.clone()].join(" "),
    }
}

/// Returns the serialized name of an act or outcome with spaces for underscores.
fn words(name: &impl serde::Serialize) -> String {
    let name = serde_json::to_value(name).unwrap_or_default();
    name.as_str().unwrap_or_default().replace('_', " ")
}

fn live(node: &Node) -> LiveView {
    let now_ms = node.core.clock.now();
    let nodes = node.directory.members().into_iter().map(|member| LiveNode {
        name: member.name,
        address: member.caller_address.to_string(),
        failure_domain: member.domain_name,
        state: format!("{:?}", member.state).to_lowercase(),
        open_streams: member.load.open_streams,
    });
    LiveView {
        now_ms,
        node: node.name.clone(),
        revision: node.revision(),
        log_silent_ms: node.log_silent_ms(now_ms),
        nodes: nodes.collect(),
        upstreams: upstreams(node),
        leases: leases(node),
        ..LiveView::default()
    }
}

fn leases(node: &Node) -> Vec<LiveLease> {
    let leases = node.leases.list().into_iter().map(|lease| LiveLease {
        holder: lease
            .holder
            .map_or_else(|| "uncertain".to_owned(), |holder| node.name_of(holder)),
        name: lease.name,
        fencing: lease.fencing.0,
        ends_at_ms: lease.ends_ms,
    });
    leases.collect()
}

fn upstreams(node: &Node) -> Vec<LiveUpstream> {
    let Some(in_force) = node.core.blackboard.active_configuration() else {
        return Vec::new();
    };
    let document = &in_force.document;
    let now = node.core.clock.now();
    let mut rows = Vec::new();
    node.core.blackboard.for_each_host(|row| {
        // After a new revision the rows have old keys until they are resolved again; these may be
        // out of range.
        let resolved = (
            document.pools.get(row.pool.index()),
            document.failure_domains.get(row.domain.index()),
            document.host_classes.get(row.class.index()),
        );
        let (Some(pool), Some(domain), Some(class)) = resolved else {
            return;
        };
        let availability = node
            .core
            .blackboard
            .upstreams
            .with(row.key, |row| row.health.availability(now));
        rows.push(LiveUpstream {
            host: row.name.clone(),
            pool: pool.name.clone(),
            failure_domain: domain.name.clone(),
            host_class: class.name.clone(),
            leave_at_ms: match row.state {
                HostState::Live => None,
                HostState::Leaving { leave_at_ms } => Some(leave_at_ms),
            },
            is_failing: matches!(availability, crate::routing::Availability::Failing { .. }),
            running: row.load.running,
            queued: row.load.queued,
            slots: if row.load.slots > 0 {
                row.load.slots
            } else {
                class.slots
            },
        });
    });
    rows.sort_unstable_by(|a, b| a.host.cmp(&b.host));
    rows
}

fn response(page: &Page) -> Response<Body> {
    let mut response = Response::new(full_body(page.body.clone()));
    *response.status_mut() = page.status;
    let fields = response.headers_mut();
    for (name, value) in page.headers() {
        if let Ok(value) = HeaderValue::from_str(value) {
            fields.insert(HeaderName::from_static(name), value);
        }
    }
    response
}
