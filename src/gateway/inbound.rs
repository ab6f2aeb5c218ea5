//! Accepts callers' channels and ends them gracefully.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::GracefulShutdown;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

use super::exchange;
use super::state::Gateway;

/// Pause after the system refused a channel, most often for want of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// A channel may stay idle this many times as long as the configuration says.
///
/// Callers use channels that have been idle for up to four fifths of the time that they know; a
/// channel that outlives it cannot be closed while a request is on its way.
const IDLE_PART: u64 = 2;

/// Least buffer that the HTTP library takes.
const LEAST_BUFFER_BYTES: usize = 8 * 1024;

/// Serves callers until `end`, then lets open channels finish what they have.
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
                log::warn!(error:err = error; "a channel was not accepted");
                tokio::time::sleep(ACCEPT_PAUSE).await;
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
        log::debug!(error:err = error; "a socket keeps its delay");
    }
    let limits = node.catalog().limits;
    let answering = Arc::clone(node);
    let service = service_fn(move |request| {
        let node = Arc::clone(&answering);
        async move { Ok::<_, Infallible>(exchange::answer(node, request).await) }
    });
    let channel = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(limits.idle_timeout_ms * IDLE_PART))
        .max_buf_size(limits.max_header_bytes.max(LEAST_BUFFER_BYTES))
        .serve_connection(TokioIo::new(socket), service);
    let channel = graceful.watch(channel);
    tokio::spawn(async move {
        if let Err(error) = channel.await {
            log::debug!(error:err = error; "a caller's channel ended early");
        }
    });
}
