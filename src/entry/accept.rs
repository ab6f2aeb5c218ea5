//! Accepts callers' connections within bounds and ends them gracefully.
//!
//! gotham's own loop never returns and cannot be shut down, so the loop is ours and the router is
//! gotham's.

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
use super::routes::Shared;
use crate::node::Node;

/// Pause after the system refused a connection, most often for want of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Bounds of the callers' interface.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Connections at once.
    pub max_connections: usize,
    /// Size of one request's body.
    pub max_body_bytes: usize,
    /// Size of one request's headers.
    pub max_header_bytes: usize,
    /// Time for the headers of one request.
    pub header_read_timeout_ms: u64,
}

/// Serves callers until `shutdown`, then lets open connections finish their requests.
pub async fn serve(
    listener: TcpListener,
    node: Arc<Node>,
    bounds: Bounds,
    shutdown: CancellationToken,
) {
    let router = Arc::new(super::routes::router());
    let builders = Arc::new(builders(bounds));
    let graceful = GracefulShutdown::new();
    let permits = Arc::new(Semaphore::new(bounds.max_connections));
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
                    log::warn!(error:% = error; "a connection was not accepted");
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                    continue;
                }
            },
        };
        prepare(&socket);
        let answer = answer(Arc::clone(&router), Arc::clone(&node), peer, bounds);
        let connection = Connection {
            socket,
            builders: Arc::clone(&builders),
            patience: Duration::from_millis(bounds.header_read_timeout_ms),
            watcher: graceful.watcher(),
            shutdown: shutdown.clone(),
        };
        tokio::spawn(async move {
            connection.serve(answer).await;
            drop(permit);
        });
    }
    drop(listener);
    graceful.shutdown().await;
}

/// Tokens are small and must leave at once.
fn prepare(socket: &TcpStream) {
    if let Err(error) = socket.set_nodelay(true) {
        log::debug!(error:% = error; "a socket keeps its delay");
    }
}

fn answer(
    router: Arc<Router>,
    node: Arc<Node>,
    peer: SocketAddr,
    bounds: Bounds,
) -> impl hyper::service::Service<
    Request<Incoming>,
    Response = Response<Body>,
    Error = Infallible,
    Future = impl Future<Output = Result<Response<Body>, Infallible>> + Send + 'static,
> {
    service_fn(move |request: Request<Incoming>| {
        let mut state = State::from_request(request, peer);
        state.put(Shared {
            node: Arc::clone(&node),
            bounds,
        });
        let router = Arc::clone(&router);
        async move {
            let answered = call_handler(router, AssertUnwindSafe(state)).await;
            Ok(answered.unwrap_or_else(|error| {
                log::error!(error:% = error; "a handler failed");
                let mut response = Response::new(Body::default());
                *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
                response
            }))
        }
    })
}
