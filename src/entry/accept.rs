//! Accepts callers' connections within limits and shuts them down gracefully.
//!
//! gotham's own accept loop never returns and cannot be shut down; this module has its own loop and
//! uses only gotham's router.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::panic::AssertUnwindSafe;
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
use tokio::sync::Semaphore;
use tokio_util::sync::CancellationToken;

use super::connection::{Connection, builders};
use super::routes::SharedData;
use crate::node::Node;

/// Delay after a failed `accept`, which mostly means that file descriptors are exhausted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

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
    let permits = Arc::new(Semaphore::new(limits.max_connections));
    loop {
        let permit = tokio::select! {
            () = shutdown.cancelled() => break,
            permit = Arc::clone(&permits).acquire_owned() => permit,
        };
        let (socket, peer) = tokio::select! {
            () = shutdown.cancelled() => break,
            accepted = listener.accept() => match accepted {
                Ok(accepted) => accepted,
                Err(error) => {
                    log::warn!(error:% = error; "accepting a connection failed; retrying after a delay");
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                    continue;
                }
            },
        };
        disable_nagle(&socket);
        let service = router_service(Arc::clone(&router), Arc::clone(&node), peer, limits);
        let connection = Connection {
            socket,
            builders: Arc::clone(&builders),
            first_bytes_timeout: Duration::from_millis(limits.header_read_timeout_ms),
            watcher: graceful.watcher(),
            shutdown: shutdown.clone(),
        };
        tokio::spawn(async move {
            connection.serve(service).await;
            drop(permit);
        });
    }
    drop(listener);
    graceful.shutdown().await;
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
    peer: SocketAddr,
    limits: HttpLimits,
) -> impl hyper::service::Service<
    Request<Incoming>,
    Response = Response<Body>,
    Error = Infallible,
    Future = impl Future<Output = Result<Response<Body>, Infallible>> + Send + 'static,
> {
    service_fn(move |request: Request<Incoming>| {
        let mut state = State::from_request(request, peer);
        state.put(SharedData {
            node: Arc::clone(&node),
            limits,
        });
        let router = Arc::clone(&router);
        async move {
            let answered = call_handler(router, AssertUnwindSafe(state)).await;
            Ok(answered.unwrap_or_else(|error| {
                log::error!(error:% = error; "a request handler failed; responding with status 500");
                let mut response = Response::new(Body::default());
                *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
                response
            }))
        }
    })
}
