//! Accepts callers' connections within limits and shuts them down gracefully.
//!
//! gotham's own accept loop never returns and cannot be shut down; this module has its own loop and
//! uses only gotham's router.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::panic::AssertUnwindSafe;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use gotham::helpers::http::Body;
use gotham::router::Router;
use gotham::service::call_handler;
use gotham::state::State;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::server::graceful::GracefulShutdown;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

use super::caller::Caller;
use super::connection::{Connection, builders};
use super::routes::SharedData;
use crate::node::Node;
use crate::resources::{Accepting, CallerAccount, CallerShares, HostLimits};

/// How long a connection that is closed for others may take for the response to a request that was refused.
const EVICTED_TIMEOUT: Duration = Duration::from_millis(500);

/// Limits of the callers' interface.
#[derive(Clone, Copy, Debug)]
pub struct HttpLimits {
    /// Maximum number of concurrent connections.
    pub max_connections: usize,
    /// Maximum size of a request body.
    pub max_body_bytes: usize,
    /// Maximum size of a request's headers.
    pub max_header_bytes: usize,
    /// Timeout for receiving the headers of a request.
    pub header_read_timeout_ms: u64,
    /// Timeout for receiving the body of a request.
    pub body_read_timeout_ms: u64,
    /// Memory of the host that the process may use.
    pub memory_bytes: usize,
    /// Descriptors that the process may have open.
    pub max_descriptors: usize,
}

impl HttpLimits {
    /// Returns what callers may hold together.
    fn shares(&self) -> CallerShares {
        let host = HostLimits {
            memory_bytes: self.memory_bytes,
            max_descriptors: self.max_descriptors,
        };
        let shares = host.callers();
        CallerShares {
            max_connections: shares.max_connections.min(self.max_connections),
            ..shares
        }
    }
}

/// Serves callers until `shutdown`, then lets open connections finish their requests.
pub async fn serve(
    listener: TcpListener,
    node: Arc<Node>,
    limits: HttpLimits,
    shutdown: CancellationToken,
) {
    let router = Arc::new(super::routes::router());
    let builders = Arc::new(builders(limits));
    let graceful = GracefulShutdown::new();
    let account = CallerAccount::new(limits.shares());
    let mut accepting = Accepting::new(listener);
    loop {
        let (socket, peer) = tokio::select! {
            () = shutdown.cancelled() => break,
            accepted = accepting.next() => accepted,
        };
        let Some(caller) = Caller::accept(&account, node.core.clock) else {
            continue;
        };
        disable_nagle(&socket);
        let service = router_service(
            Arc::clone(&router),
            Arc::clone(&node),
            Arc::clone(&caller),
            peer,
            limits,
        );
        let connection = Connection {
            socket,
            builders: Arc::clone(&builders),
            first_bytes_timeout: Duration::from_millis(limits.header_read_timeout_ms),
            unread_body: caller.unread_body(),
            watcher: graceful.watcher(),
            shutdown: shutdown.clone(),
        };
        tokio::spawn(until_evicted(caller, connection.serve(service)));
    }
    drop(accepting);
    graceful.shutdown().await;
}

/// Serves a connection until it ends, or has to be closed for others.
///
/// A request of it that is refused for others gets some time for its response.
async fn until_evicted(caller: Arc<Caller>, served: impl Future<Output = ()>) {
    let mut served = pin!(served);
    tokio::select! {
        () = served.as_mut() => return,
        () = caller.evicted() => {}
    }
    // It has ended or is closed with the time.
    drop(tokio::time::timeout(EVICTED_TIMEOUT, served).await);
}

/// Disables Nagle's algorithm, because tokens are small and must be sent without delay.
fn disable_nagle(socket: &TcpStream) {
    if let Err(error) = socket.set_nodelay(true) {
        log::debug!(error:% = error; "TCP_NODELAY could not be set; small packets may be delayed");
    }
}

fn router_service(
    router: Arc<Router>,
    node: Arc<Node>,
    caller: Arc<Caller>,
    peer: SocketAddr,
    limits: HttpLimits,
) -> impl hyper::service::Service<
    Request<Incoming>,
    Response = Response<Body>,
    Error = Infallible,
    Future = impl Future<Output = Result<Response<Body>, Infallible>> + Send + 'static,
> {
    service_fn(move |request: Request<Incoming>| {
        let open = caller.begin(&request);
        let mut state = State::from_request(request, peer);
        state.put(SharedData {
            node: Arc::clone(&node),
            limits,
            arrival: open.arrival(),
        });
        let router = Arc::clone(&router);
        async move {
            let answered = call_handler(router, AssertUnwindSafe(state)).await;
            Ok(open.held_by(answered.unwrap_or_else(|error| {
                log::error!(error:% = error; "a request handler failed; responding with status 500");
                let mut response = Response::new(Body::default());
                *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
                response
            })))
        }
    })
}
