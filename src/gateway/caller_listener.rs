//! Accepts callers' connections and closes them gracefully.

use std::convert::Infallible;
use std::future::poll_fn;
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::task::Poll;
use std::time::Duration;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::server::graceful::GracefulShutdown;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

use super::caller_connection::CallerConnection;
use super::caller_socket::CallerSocket;
use super::caller_timeouts::Phase;
use super::catalog::CallerLimits;
use super::clock;
use super::exchange;
use super::patience;
use super::state::Gateway;
use crate::resources::Accepting;

/// How long a connection whose request was refused for others may take to end.
const EVICTED_TIMEOUT: Duration = Duration::from_secs(2);

/// Smallest read buffer that the HTTP library accepts.
const MIN_BUFFER_BYTES: usize = 8 * 1024;

/// Serves callers until `end` is cancelled, then lets open connections finish their requests.
pub(crate) async fn serve(listener: TcpListener, node: Arc<Gateway>, end: CancellationToken) {
    let graceful = GracefulShutdown::new();
    let mut accepting = Accepting::new(listener);
    loop {
        let (socket, _from) = tokio::select! {
            () = end.cancelled() => break,
            accepted = accepting.next() => accepted,
        };
        serve_one(socket, &node, &graceful);
    }
    drop(accepting);
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
    let Some(place) = node.callers.open(clock::now()) else {
        return;
    };
    let limits = node.catalog().limits;
    let connection = Arc::new(CallerConnection::new(place, clock::now()));
    let socket = CallerSocket::new(socket, Arc::clone(&connection));
    let (handler_node, handler_connection) = (Arc::clone(node), Arc::clone(&connection));
    let service = service_fn(move |request| {
        let node = Arc::clone(&handler_node);
        let answer = handler_connection.begin_answer(node.track_request());
        async move { Ok::<_, Infallible>(exchange::answer(node, request, answer).await) }
    });
    let served = http1::Builder::new()
        .header_read_timeout(None)
        .max_buf_size(limits.max_header_bytes.max(MIN_BUFFER_BYTES))
        .serve_connection(TokioIo::new(socket), service);
    let served = graceful.watch(served);
    let node = Arc::clone(node);
    tokio::spawn(async move {
        if let Err(error) = run(served, &connection, &node).await {
            log::debug!(error:err = error; "a caller's connection ended with an error");
        }
    });
}

/// How a phase of a connection ended.
enum PhaseEnd {
    NextPhase,
    ConnectionEnded(Result<(), hyper::Error>),
    TimedOut,
    /// Others need its place.
    Evicted,
    /// Others need the memory of its answer, which its caller does not read.
    GivenUp,
}

/// Runs a connection until it ends or its caller takes longer than the limits allow.
async fn run(
    served: impl Future<Output = Result<(), hyper::Error>>,
    connection: &CallerConnection,
    node: &Gateway,
) -> Result<(), hyper::Error> {
    let mut served = pin!(served);
    let mut limits_at_request = node.catalog().limits;
    loop {
        let phase = connection.phase();
        match run_phase(served.as_mut(), connection, phase, limits_at_request, node).await {
            PhaseEnd::NextPhase if phase.is_idle() => limits_at_request = node.catalog().limits,
            PhaseEnd::NextPhase => {}
            PhaseEnd::ConnectionEnded(ended) => return ended,
            PhaseEnd::Evicted if phase.is_answered() => {
                return end_within(EVICTED_TIMEOUT, served).await;
            }
            PhaseEnd::GivenUp => {
                log::debug!("closed a caller's connection whose answer is not read");
                return Ok(());
            }
            PhaseEnd::Evicted => {
                log::debug!("closed a caller's connection for others");
                return Ok(());
            }
            PhaseEnd::TimedOut => {
                log::debug!(
                    "closed a caller's connection that was idle or whose request did not arrive in time"
                );
                return Ok(());
            }
        }
    }
}

/// Runs a connection until its phase changes.
async fn run_phase(
    mut served: Pin<&mut impl Future<Output = Result<(), hyper::Error>>>,
    connection: &CallerConnection,
    phase: Phase,
    limits_at_request: CallerLimits,
    node: &Gateway,
) -> PhaseEnd {
    loop {
        let end = or_evicted(connection, phase_end(served.as_mut(), connection, phase));
        let Some(closes_at) = phase.closes_at(limits_at_request, node.catalog().limits) else {
            return end.await;
        };
        let left_ms = clock::now().until(closes_at);
        if left_ms == 0 {
            return PhaseEnd::TimedOut;
        }
        // The limits may change while the connection waits, and are then read again.
        if let Ok(end) = patience::within(Duration::from_millis(left_ms), end).await {
            return end;
        }
    }
}

/// Awaits the end of a phase, or that the connection has to be closed for others.
async fn or_evicted(
    connection: &CallerConnection,
    end: impl Future<Output = PhaseEnd>,
) -> PhaseEnd {
    tokio::select! {
        biased;
        end = end => end,
        () = connection.given_up() => PhaseEnd::GivenUp,
        () = connection.evicted() => PhaseEnd::Evicted,
    }
}

/// Runs a connection whose request has been refused until it ends, or the time is over.
async fn end_within(
    timeout: Duration,
    served: impl Future<Output = Result<(), hyper::Error>>,
) -> Result<(), hyper::Error> {
    tokio::time::timeout(timeout, served)
        .await
        .unwrap_or(Ok(()))
}

/// Polls a connection until it ends or is no longer in `phase`.
async fn phase_end(
    mut served: Pin<&mut impl Future<Output = Result<(), hyper::Error>>>,
    connection: &CallerConnection,
    phase: Phase,
) -> PhaseEnd {
    poll_fn(|cx| match served.as_mut().poll(cx) {
        Poll::Ready(ended) => Poll::Ready(PhaseEnd::ConnectionEnded(ended)),
        Poll::Pending if connection.phase() != phase => Poll::Ready(PhaseEnd::NextPhase),
        Poll::Pending => Poll::Pending,
    })
    .await
}
