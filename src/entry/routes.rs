//! Names the calls of the callers' and operators' interface.

use std::sync::Arc;

use gotham::handler::HandlerResult;
use gotham::helpers::http::Body;
use gotham::router::Router;
use gotham::router::builder::{DefineSingleRoute, DrawRoutes, build_simple_router};
use gotham::state::{FromState, State, StateData};
use http::{HeaderMap, Response, Uri};

use super::accept::Bounds;
use super::{audit, completions, console, entries, operators, services, state};
use crate::node::Node;

/// What each handler finds in its state.
#[derive(Clone, Debug)]
pub(super) struct Shared {
    pub node: Arc<Node>,
    pub bounds: Bounds,
}

impl StateData for Shared {}

/// What a handler needs of one request.
#[derive(Debug)]
pub(super) struct Asked {
    pub node: Arc<Node>,
    pub bounds: Bounds,
    pub headers: HeaderMap,
    pub uri: Uri,
    pub body: Body,
}

impl Asked {
    /// The path's segments.
    pub fn segments(&self) -> Vec<&str> {
        self.uri
            .path()
            .split('/')
            .filter(|segment| !segment.is_empty())
            .collect()
    }

    /// A parameter of the query.
    pub fn parameter(&self, name: &str) -> Option<String> {
        let query = self.uri.query().unwrap_or_default();
        let mut pairs = url::form_urlencoded::parse(query.as_bytes());
        pairs
            .find(|(key, _)| key == name)
            .map(|(_, value)| value.into_owned())
    }
}

/// The router of both interfaces.
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

/// Runs a handler on what it needs, without holding gotham's state over its pauses.
async fn handle<F, R>(mut state: State, handler: F) -> HandlerResult
where
    F: FnOnce(Asked) -> R,
    R: Future<Output = Response<Body>>,
{
    let shared = Shared::take_from(&mut state);
    let asked = Asked {
        node: shared.node,
        bounds: shared.bounds,
        headers: HeaderMap::take_from(&mut state),
        uri: Uri::take_from(&mut state),
        body: Body::take_from(&mut state),
    };
    let response = handler(asked).await;
    Ok((state, response))
}
