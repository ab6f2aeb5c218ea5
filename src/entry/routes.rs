//! Routes of the callers' and operators' interface.

use std::sync::Arc;

use gotham::handler::HandlerResult;
use gotham::helpers::http::Body;
use gotham::router::Router;
use gotham::router::builder::{DefineSingleRoute, DrawRoutes, build_simple_router};
use gotham::state::{FromState, State, StateData};
use http::{HeaderMap, Response, Uri};

use super::accept::HttpLimits;
use super::caller::Arrival;
use super::parsing::RequestBody;
use super::{audit, completions, console, entries, operators, services, state};
use crate::node::Node;

/// Data that gotham's state carries to each handler.
#[derive(Clone, Debug)]
pub(super) struct SharedData {
    pub node: Arc<Node>,
    pub limits: HttpLimits,
    pub arrival: Arrival,
}

impl StateData for SharedData {}

/// One request and what a handler needs to process it.
#[derive(Debug)]
pub(super) struct RequestContext {
    pub node: Arc<Node>,
    pub limits: HttpLimits,
    pub headers: HeaderMap,
    pub uri: Uri,
    pub body: RequestBody,
}

impl RequestContext {
    /// Returns the non-empty segments of the path.
    pub fn segments(&self) -> Vec<&str> {
        self.uri
            .path()
            .split('/')
            .filter(|segment| !segment.is_empty())
            .collect()
    }

    /// Returns a query parameter, decoded.
    pub fn parameter(&self, name: &str) -> Option<String> {
        let query = self.uri.query().unwrap_or_default();
        let mut pairs = url::form_urlencoded::parse(query.as_bytes());
        pairs
            .find(|(key, _)| key == name)
            .map(|(_, value)| value.into_owned())
    }
}

/// Returns the router for callers' and operators' endpoints.
#[must_use]
pub fn router() -> Router {
    build_simple_router(|route| {
        route
            .get("/v1/entries")
            .to_async(|state| handle(state, entries::entries));
        route
            .post("/v1/completions")
            .to_async(|state| handle(state, completions::complete));
        route
            .post("/v1/services/*")
            .to_async(|state| handle(state, services::call));
        route
            .get("/v1/requests/:id")
            .to_async(|state| handle(state, state::read));
        route
            .delete("/v1/requests/:id")
            .to_async(|state| handle(state, state::cancel));
        route
            .get("/v1/configuration")
            .to_async(|state| handle(state, operators::configuration));
        route
            .post("/v1/configuration")
            .to_async(|state| handle(state, operators::change));
        route
            .get("/v1/status")
            .to_async(|state| handle(state, operators::status));
        route
            .get("/v1/audit")
            .to_async(|state| handle(state, audit::trail));
        route
            .get("/console")
            .to_async(|state| handle(state, console::read));
        route
            .get("/console/*")
            .to_async(|state| handle(state, console::read));
        route
            .post("/console/*")
            .to_async(|state| handle(state, console::post));
        route
            .get("/metrics")
            .to_async(|state| handle(state, operators::metrics));
        route
            .get("/healthz")
            .to_async(|state| handle(state, operators::health));
        route
            .get("/readyz")
            .to_async(|state| handle(state, operators::ready));
    })
}

/// Runs a handler on the parts of a request that it needs.
///
/// gotham's state is not held across the handler's await points.
async fn handle<F, R>(mut state: State, handler: F) -> HandlerResult
where
    F: FnOnce(RequestContext) -> R,
    R: Future<Output = Response<Body>>,
{
    let shared = SharedData::take_from(&mut state);
    let body = Body::take_from(&mut state);
    let context = RequestContext {
        node: shared.node,
        limits: shared.limits,
        headers: HeaderMap::take_from(&mut state),
        uri: Uri::take_from(&mut state),
        body: RequestBody::new(body, shared.arrival),
    };
    let response = handler(context).await;
    Ok((state, response))
}
