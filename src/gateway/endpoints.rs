//! HTTP endpoints for readiness, the directory of ready nodes and metrics.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::panic::AssertUnwindSafe;
use std::sync::Arc;
use std::time::Duration;

use gotham::helpers::http::Body;
use gotham::helpers::http::response::create_response;
use gotham::router::Router;
use gotham::router::builder::{DefineSingleRoute, DrawRoutes, build_simple_router};
use gotham::service::call_handler;
use gotham::state::{FromState, State, StateData};
use http::{Response, StatusCode, Uri};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use metrics_exporter_prometheus::PrometheusHandle;
use rand::Rng;
use tokio::net::{TcpListener, TcpStream};

use super::clock;
use super::directory::{self, Candidate};
use super::gauges;
use super::state::Gateway;
use crate::platform::directory::{
    FAILURE_DOMAIN_PARAMETER, MAX_ADDRESSES, METRICS_PATH, READY_PATH, RESOLVE_PATH,
    encode_addresses,
};
use crate::resources::{Accepting, CallerAccount, Place};
use crate::time::TimeMs;

/// How long callers cache an answer of the directory.
///
/// Short, because callers connect to a node that has left until their entry expires, and some keep
/// an entry for three times its lifetime.
const DIRECTORY_TTL_MS: u64 = 2_000;

/// Longest time until the head of a request has arrived, since the connection or the last answer.
const HEAD_TIMEOUT: Duration = Duration::from_secs(30);

/// Longest head of a request, the least that the HTTP library allows.
const MAX_HEAD_BYTES: usize = 8 * 1024;

/// The state that all handlers share.
#[derive(Clone, Debug)]
struct HandlerState {
    node: Arc<Gateway>,
    metrics: PrometheusHandle,
}

impl StateData for HandlerState {}

/// Serves the endpoints on one listener until the process exits.
pub(crate) async fn serve(listener: TcpListener, node: Arc<Gateway>, metrics: PrometheusHandle) {
    let router = Arc::new(router());
    let shared = HandlerState { node, metrics };
    let callers = CallerAccount::new(shared.node.settings().host.endpoint());
    let mut accepting = Accepting::new(listener);
    loop {
        let (socket, from) = accepting.next().await;
        callers.set_shares(shared.node.settings().host.endpoint());
        if let Some(place) = callers.open(clock::now()) {
            serve_one(socket, from, place, &router, &shared);
        }
    }
}

fn serve_one(
    socket: TcpStream,
    from: SocketAddr,
    place: Place,
    router: &Arc<Router>,
    shared: &HandlerState,
) {
    let router = Arc::clone(router);
    let shared = shared.clone();
    let place = Arc::new(place);
    let request_place = Arc::clone(&place);
    let service = service_fn(move |request| {
        let mut state = State::from_request(request, from);
        state.put(shared.clone());
        let router = Arc::clone(&router);
        let place = Arc::clone(&request_place);
        async move {
            let answered = call_handler(router, AssertUnwindSafe(state)).await;
            place.keep(clock::now());
            Ok::<_, Infallible>(answered.unwrap_or_else(|error| {
                log::error!(error:% = error; "an endpoint handler failed; the response is a 500");
                let mut response = Response::new(Body::default());
                *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
                response
            }))
        }
    });
    tokio::spawn(async move {
        let served = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(HEAD_TIMEOUT)
            .max_buf_size(MAX_HEAD_BYTES)
            .serve_connection(TokioIo::new(socket), service);
        let ended = tokio::select! {
            ended = served => ended,
            () = place.evicted() => Ok(()),
        };
        if let Err(error) = ended {
            log::debug!(error:err = error; "a connection to the node's endpoints ended with an error");
        }
    });
}

fn router() -> Router {
    build_simple_router(|route| {
        route.get(READY_PATH).to(ready);
        route.get(RESOLVE_PATH).to(resolve);
        route.get(METRICS_PATH).to(metrics);
    })
}

fn ready(state: State) -> (State, Response<Body>) {
    let is_ready = HandlerState::borrow_from(&state)
        .node
        .is_ready(clock::now());
    let status = if is_ready {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    };
    let response = create_response(&state, status, mime::TEXT_PLAIN, "");
    (state, response)
}

fn resolve(state: State) -> (State, Response<Body>) {
    let node = Arc::clone(&HandlerState::borrow_from(&state).node);
    let uri = Uri::borrow_from(&state);
    let failure_domain = query_parameter(uri.query().unwrap_or_default(), FAILURE_DOMAIN_PARAMETER);
    let ready = ready_addresses(&node, &failure_domain, clock::now());
    let ttl_ms = DIRECTORY_TTL_MS.min(node.settings().bounds.directory_ttl_max_ms);
    let response = match encode_addresses(&ready, ttl_ms) {
        Ok(body) if !ready.is_empty() => {
            create_response(&state, StatusCode::OK, mime::APPLICATION_JSON, body)
        }
        Ok(_none) => create_response(
            &state,
            StatusCode::SERVICE_UNAVAILABLE,
            mime::TEXT_PLAIN,
            "",
        ),
        Err(error) => {
            log::error!(error:err = error; "cannot encode the addresses of ready nodes; the response is a 500");
            create_response(
                &state,
                StatusCode::INTERNAL_SERVER_ERROR,
                mime::TEXT_PLAIN,
                "",
            )
        }
    };
    (state, response)
}

/// Returns the first value of a query parameter, or an empty string.
fn query_parameter(query: &str, name: &str) -> String {
    let pairs = url::form_urlencoded::parse(query.as_bytes());
    let mut values = pairs.filter(|(given, _value)| given == name);
    values
        .next()
        .map(|(_name, value)| value.into_owned())
        .unwrap_or_default()
}

/// Returns the addresses of nodes that accept requests, for a caller in `failure_domain`.
fn ready_addresses(node: &Gateway, failure_domain: &str, now: TimeMs) -> Vec<SocketAddr> {
    let own_reaches_all = node.unreached_pools().is_empty();
    let peers = node.peers.lock();
    let ready = peers.active(now).filter(|peer| peer.is_ready);
    let own = (node.is_ready(now)).then(|| (peers.own(), own_reaches_all));
    let candidates: Vec<Candidate> = ready
        .map(|peer| (&peer.member, peer.reaches_all_pools()))
        .chain(own)
        .map(|(member, reaches_all_pools)| Candidate {
            address: member.caller_address,
            is_in_caller_domain: member.failure_domain == failure_domain,
            reaches_all_pools,
            capacity_per_s: member.capacity_per_s,
        })
        .collect();
    drop(peers);
    let mut rng = rand::rng();
    directory::addresses(&candidates, MAX_ADDRESSES, || rng.random())
}

fn metrics(state: State) -> (State, Response<Body>) {
    let shared = HandlerState::borrow_from(&state);
    gauges::publish(&shared.node, clock::now());
    let text = shared.metrics.render();
    let response = create_response(&state, StatusCode::OK, mime::TEXT_PLAIN, text);
    (state, response)
}
