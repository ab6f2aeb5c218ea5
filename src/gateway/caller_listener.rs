//! Accepts callers' connections and closes them gracefully.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::GracefulShutdown;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

use super::exchange;
use super::state::Gateway;
use super::unwritten::{CallerSocket, Unwritten, UnwrittenAnswer};

/// Delay after a failed accept, mostly caused by a lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// A connection may stay idle for this multiple of the configured idle timeout.
///
/// Callers reuse connections that have been idle for up to four fifths of the configured timeout.
/// The longer timeout here prevents a connection from being closed while a request is on its way.
const IDLE_TIMEOUT_FACTOR: u64 = 2;

/// Smallest read buffer that the HTTP library accepts.
const MIN_BUFFER_BYTES: usize = 8 * 1024;

/// Serves callers until `end` is cancelled, then lets open connections finish their requests.
pub(crate) async fn serve(listener: TcpListener, node: Arc<Gateway>, end: CancellationToken) {
    let graceful = GracefulShutdown::new();
    loop {
        let accepted = tokio::select! {
            () = end.cancelled() => break,
            accepted = listener.accept() => accepted,
        };
        let socket = match accepted {
            Ok((socket, _from)) => socket,
            Err(error) => {
                log::warn!(error:err = error; "cannot accept a caller's connection; retrying");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        serve_one(socket, &node, &graceful);
    }
    drop(listener);
    graceful.shutdown().await;
}

fn serve_one(socket: TcpStream, node: &Arc<Gateway>, graceful: &GracefulShutdown) {
    if let Err(error) = socket.set_nodelay(true) {
        log::debug!(error:err = error; "cannot set TCP_NODELAY on a caller's connection");
    }
    serve_connection(socket, node, graceful);
}

/// Serves the requests of one connection until it ends or `graceful` shuts down.
pub(super) fn serve_connection<S>(socket: S, node: &Arc<Gateway>, graceful: &GracefulShutdown)
where
    S: AsyncRead + AsyncWrite + Send + Unpin + 'static,
{
    let limits = node.catalog().limits;
    let unwritten = Arc::new(Unwritten::default());
    let socket = CallerSocket::new(socket, Arc::clone(&unwritten));
    let handler_node = Arc::clone(node);
    let service = service_fn(move |request| {
        let node = Arc::clone(&handler_node);
        let answer = UnwrittenAnswer::new(node.track_request(), &unwritten);
        async move { Ok::<_, Infallible>(exchange::answer(node, request, answer).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(
            limits.idle_timeout_ms * IDLE_TIMEOUT_FACTOR,
        ))
        .max_buf_size(limits.max_header_bytes.max(MIN_BUFFER_BYTES))
        .serve_connection(TokioIo::new(socket), service);
    let connection = graceful.watch(connection);
    tokio::spawn(async move {
        if let Err(error) = connection.await {
            log::debug!(error:err = error; "a caller's connection ended with an error");
        }
    });
}
