//! The server: accepts connections of peers and passes their requests to a handler.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use h2::server::SendResponse;
use h2::{Reason, RecvStream};
use http::{Request, Response, StatusCode};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, mpsc};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::credentials::{self, Credentials};
use super::key::{FleetKey, Tag};
use super::liveness::{Liveness, MeteredSocket, UseGuard};
use super::sending::{Sending, send_items};
use super::settings::Settings;
use super::traffic::{KindTraffic, Traffic};
use super::{Protocol, codec};
use crate::in_flight::InFlight;
use crate::keys::Incarnation;
use crate::time::Clock;

/// Flow-control window of one stream towards this node.
const STREAM_WINDOW_BYTES: u32 = 256 * 1024;

/// Flow-control window of a whole connection towards this node.
const CONNECTION_WINDOW_BYTES: u32 = 16 * 1024 * 1024;

/// Maximum number of streams that a peer may cancel before this node accepts them.
///
/// The default limit of `h2` protects against untrusted clients. A busy peer that loses its callers
/// cancels hundreds of streams at once, which would exceed that limit and fail all its other
/// streams.
const MAX_CANCELLED_STREAMS: usize = 16_384;

/// Frames of refused or cancelled requests after which a connection is closed, with all other answers on it. A peer of a busy node
/// causes some for as long as its connection lasts; a host that sends nothing else is cut off.
const MAX_REFUSED_STREAMS: usize = 1_048_576;

/// Delay before the next accept after an error, such as the exhaustion of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Maximum size of a request's header list.
const MAX_HEADER_BYTES: u32 = 4 * 1024;

/// A handler of requests of peers.
pub trait Handler: Send + Sync + 'static {
    /// The protocol of the requests and replies.
    type Protocol: Protocol;

    /// Handles one request of the node `from`.
    ///
    /// The future is dropped when the caller cancels the request or disconnects.
    fn handle(
        &self,
        from: Incarnation,
        request: <Self::Protocol as Protocol>::Request,
    ) -> impl Future<Output = HandlerResponse<Self::Protocol>> + Send;
}

/// The result of a handler.
pub enum HandlerResponse<P: Protocol> {
    /// A reply without items.
    Reply(P::Reply),
    /// A reply and a channel of items, which ends when its sender is dropped.
    ///
    /// The channel is closed when the caller disconnects, which its sender can detect.
    Stream(P::Reply, mpsc::Receiver<P::Item>),
}

impl<P: Protocol> fmt::Debug for HandlerResponse<P> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Reply(_) => "Reply",
            Self::Stream(..) => "Stream",
        })
    }
}

/// A server that answers the requests of peers.
#[derive(Clone, Debug)]
pub struct Server {
    key: FleetKey,
    clock: Clock,
    settings: Settings,
    traffic: Arc<Traffic>,
    advertised_address: Option<SocketAddr>,
    request_count: Arc<AtomicUsize>,
}

/// Serves peers on `listener` until `shutdown`, with default settings.
pub async fn serve<H: Handler>(
    listener: TcpListener,
    key: FleetKey,
    handler: Arc<H>,
    shutdown: CancellationToken,
) {
    Server::new(key).serve(listener, handler, shutdown).await;
}

impl Server {
    /// Creates a server for peers that hold `key`.
    #[must_use]
    pub fn new(key: FleetKey) -> Self {
        Self {
            key,
            clock: Clock::new(),
            settings: Settings::default(),
            traffic: Arc::default(),
            advertised_address: None,
            request_count: Arc::default(),
        }
    }

    /// Sets limits and timeouts.
    #[must_use]
    pub fn with_settings(mut self, settings: Settings) -> Self {
        self.settings = settings;
        self
    }

    /// Sets the clock that the send times of requests are compared with.
    #[must_use]
    pub fn with_clock(mut self, clock: Clock) -> Self {
        self.clock = clock;
        self
    }

    /// Sets the counters of messages and bytes.
    #[must_use]
    pub fn with_traffic(mut self, traffic: Arc<Traffic>) -> Self {
        self.traffic = traffic;
        self
    }

    /// Sets the address that peers call, if it differs from the socket's local address.
    #[must_use]
    pub fn with_advertised_address(mut self, address: SocketAddr) -> Self {
        self.advertised_address = Some(address);
        self
    }

    /// Sets the count of requests in progress, which includes those whose answers are not yet written.
    #[must_use]
    pub fn with_request_count(mut self, request_count: Arc<AtomicUsize>) -> Self {
        self.request_count = request_count;
        self
    }

    /// Serves peers on `listener` until `shutdown`, then waits for the open streams to complete.
    ///
    /// The handler must end unbounded streams. Dropping the returned future closes all connections
    /// without waiting.
    pub async fn serve<H: Handler>(
        self,
        listener: TcpListener,
        handler: Arc<H>,
        shutdown: CancellationToken,
    ) {
        let shared = Arc::new(Shared {
            streams: Arc::new(Semaphore::new(self.settings.max_streams as usize)),
            connections: Arc::new(Semaphore::new(self.settings.max_connections as usize)),
            server: self,
            handler,
        });
        // Cancels the tasks of the connections when this future is dropped.
        let cancelled = CancellationToken::new();
        let _cancel_on_drop = cancelled.clone().drop_guard();
        let connections = TaskTracker::new();
        loop {
            let accepted = tokio::select! {
                () = shutdown.cancelled() => break,
                accepted = listener.accept() => accepted,
            };
            let socket = match accepted {
                Ok((socket, _)) => socket,
                Err(error) => {
                    log::warn!(cause:err = error; "accepting a peer connection failed; retrying after a delay");
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                    continue;
                }
            };
            let Ok(permit) = Arc::clone(&shared.connections).try_acquire_owned() else {
                metrics::counter!("teaselline_peer_connections_refused_total").increment(1);
                continue;
            };
            let connection = Arc::clone(&shared).serve_connection(socket, shutdown.clone());
            let cancelled = cancelled.clone();
            connections.spawn(async move {
                let _permit = permit;
                cancelled.run_until_cancelled(connection).await;
            });
        }
        drop(listener);
        connections.close();
        connections.wait().await;
    }
}

/// The state shared by all connections.
struct Shared<H> {
    server: Server,
    handler: Arc<H>,
    streams: Arc<Semaphore>,
    connections: Arc<Semaphore>,
}

/// An authenticated and decoded request.
struct ReceivedRequest<R> {
    from: Incarnation,
    request: R,
    traffic: Arc<KindTraffic>,
}

impl<H: Handler> Shared<H> {
    async fn serve_connection(self: Arc<Self>, socket: TcpStream, shutdown: CancellationToken) {
        let settings = self.server.settings;
        let Ok(local) = socket.local_addr() else {
            return;
        };
        let Ok(peer) = socket.peer_addr() else {
            return;
        };
        let receiver = self.server.advertised_address.unwrap_or(local);
        // Without `TCP_NODELAY` replies are delayed by pending acknowledgements. A failure to set
        // it affects latency only, so it is ignored.
        let _ = socket.set_nodelay(true);
        let liveness = Liveness::new();
        let traffic = Arc::clone(&self.server.traffic);
        let metered_socket = MeteredSocket::new(socket, Arc::clone(&liveness), traffic);
        let connect_timeout = Duration::from_millis(settings.connect_timeout_ms);
        let handshake = h2_builder(&settings).handshake(metered_socket);
        let handshake = tokio::time::timeout(connect_timeout, handshake).await;
        let Ok(Ok(mut connection)) = handshake else {
            return;
        };
        let ping_pong = connection
            .ping_pong()
            .expect("`ping_pong` is taken once per connection");
        let timeouts = settings.accepted();
        let monitor = liveness.monitor(ping_pong, &timeouts);
        tokio::pin!(monitor);
        let retired = async {
            tokio::select! {
                () = liveness.retired() => {}
                () = shutdown.cancelled() => liveness.retire(),
            }
        };
        tokio::pin!(retired);
        let mut is_draining = false;
        loop {
            let (request, respond) = tokio::select! {
                accepted = connection.accept() => match accepted {
                    Some(Ok(stream)) => stream,
                    Some(Err(_)) | None => break,
                },
                () = &mut monitor => {
                    log_end(peer, &liveness);
                    break;
                }
                () = &mut retired, if !is_draining => {
                    is_draining = true;
                    // Answers what the peer sends before it reads that the connection ends.
                    connection.graceful_shutdown();
                    continue;
                }
            };
            let shared = Arc::clone(&self);
            let mut use_guard = liveness.acquire();
            // The task ends with the connection, because `h2` then reports the stream as reset.
            tokio::spawn(async move {
                let handling = shared.handle_stream(receiver, request, respond, &mut use_guard);
                handling.await;
            });
        }
    }

    /// Handles one request, unless its caller resets the stream first.
    async fn handle_stream(
        &self,
        receiver: SocketAddr,
        request: Request<RecvStream>,
        mut respond: SendResponse<Bytes>,
        use_guard: &mut UseGuard,
    ) {
        let (head, body) = request.into_parts();
        let now = self.server.clock.now();
        let checked = Credentials::check(&head, &self.server.key, receiver, now);
        let (credentials, tag) = match checked {
            Ok(checked) => checked,
            Err(error) => {
                // Any host that can connect can cause this error at any rate; it is therefore
                // counted and logged at debug level only.
                metrics::counter!("teaselline_peer_credentials_refused_total").increment(1);
                log::debug!(cause:err = error; "request with invalid credentials refused");
                refuse(&mut respond, StatusCode::UNAUTHORIZED, None);
                return;
            }
        };
        let proof = Some((&self.server.key, &tag));
        let Ok(_permit) = self.streams.try_acquire() else {
            refuse(&mut respond, StatusCode::SERVICE_UNAVAILABLE, proof);
            return;
        };
        let in_flight = Arc::new(InFlight::new(&self.server.request_count));
        let answered = tokio::select! {
            biased;
            _ = std::future::poll_fn(|cx| respond.poll_reset(cx)) => return,
            answered = self.answer(credentials, body, use_guard) => answered,
        };
        match answered {
            Ok((answer, traffic)) => {
                self.send_reply(answer, &traffic, &tag, &mut respond, &in_flight)
                    .await;
            }
            Err(status) => refuse(&mut respond, status, proof),
        }
    }

    async fn answer(
        &self,
        credentials: Credentials,
        body: RecvStream,
        use_guard: &mut UseGuard,
    ) -> Result<(HandlerResponse<H::Protocol>, Arc<KindTraffic>), StatusCode> {
        let received = self.receive(credentials, body).await?;
        let time_left_ms = <H::Protocol as Protocol>::time_left_ms(&received.request);
        if let Some(time_left_ms) = time_left_ms {
            use_guard.wait_for_ms(time_left_ms);
        }
        let answer = self.handler.handle(received.from, received.request).await;
        Ok((answer, received.traffic))
    }

    async fn receive(
        &self,
        credentials: Credentials,
        body: RecvStream,
    ) -> Result<ReceivedRequest<<H::Protocol as Protocol>::Request>, StatusCode> {
        let body = read_body(body).await?;
        if !credentials.matches_body(&body) {
            return Err(StatusCode::FORBIDDEN);
        }
        let request = codec::decode(&body).map_err(|error| {
            log::warn!(from:% = credentials.from, cause:err = error; "decoding a request failed; the request is refused");
            StatusCode::BAD_REQUEST
        })?;
        let kind = <H::Protocol as Protocol>::kind(&request);
        let traffic = self.server.traffic.kind(kind);
        traffic.record_received(1, body.len());
        Ok(ReceivedRequest {
            from: credentials.from,
            request,
            traffic,
        })
    }

    async fn send_reply(
        &self,
        answer: HandlerResponse<H::Protocol>,
        traffic: &KindTraffic,
        tag: &Tag,
        respond: &mut SendResponse<Bytes>,
        in_flight: &Arc<InFlight>,
    ) {
        let (reply, items) = match answer {
            HandlerResponse::Reply(reply) => (reply, None),
            HandlerResponse::Stream(reply, items) => (reply, Some(items)),
        };
        let mut frames = BytesMut::new();
        if let Err(error) = codec::encode_frame(&reply, &mut frames) {
            log::error!(kind = traffic.kind, cause:err = error; "encoding a reply failed; the stream is reset");
            respond.send_reset(Reason::INTERNAL_ERROR);
            return;
        }
        let head = response_head(StatusCode::OK, Some((&self.server.key, tag)));
        // From here on an error means that the caller has disconnected, so it is not reported.
        let Ok(stream) = respond.send_response(head, false) else {
            return;
        };
        let mut sending = Sending::new(stream, in_flight);
        traffic.record_sent(1, frames.len());
        let sent = (sending.send(frames.split().freeze(), items.is_none())).await;
        match items {
            Some(items) if sent.is_ok() => send_items(&mut sending, items, frames, traffic).await,
            _ => {}
        }
    }
}

fn h2_builder(settings: &Settings) -> h2::server::Builder {
    let mut builder = h2::server::Builder::new();
    builder
        .initial_window_size(STREAM_WINDOW_BYTES)
        .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
        .max_concurrent_streams(settings.max_streams)
        .max_pending_accept_reset_streams(MAX_CANCELLED_STREAMS)
        // Counts over all of a connection's time what arrives for requests that were refused or cancelled.
        .max_local_error_reset_streams(Some(MAX_REFUSED_STREAMS))
        .max_header_list_size(MAX_HEADER_BYTES);
    builder
}

/// Logs that the monitor ended a connection while streams are open on it.
fn log_end(peer: SocketAddr, liveness: &Liveness) {
    let streams = liveness.uses();
    if streams > 0 {
        let cause = liveness.end_cause();
        log::warn!(event = "peer_connection_ended", peer:% = peer, cause, streams; "a connection of a peer ended while streams were open on it");
    }
}

/// Reads a request's body; fails if it is larger than a message may be.
async fn read_body(mut body: RecvStream) -> Result<Bytes, StatusCode> {
    let mut whole = BytesMut::new();
    while let Some(chunk) = body.data().await {
        let chunk = chunk.map_err(|_broken| StatusCode::BAD_REQUEST)?;
        if whole.len() + chunk.len() > codec::MAX_MESSAGE_BYTES {
            return Err(StatusCode::PAYLOAD_TOO_LARGE);
        }
        whole.extend_from_slice(&chunk);
        // This fails only for a stream that has ended, which needs no flow-control window.
        let _ = body.flow_control().release_capacity(chunk.len());
    }
    Ok(whole.freeze())
}

fn refuse(respond: &mut SendResponse<Bytes>, status: StatusCode, proof: Option<(&FleetKey, &Tag)>) {
    // This fails only if the caller has disconnected.
    let _ = respond.send_response(response_head(status, proof), true);
}

fn response_head(status: StatusCode, proof: Option<(&FleetKey, &Tag)>) -> Response<()> {
    let mut head = Response::new(());
    *head.status_mut() = status;
    if let Some((key, tag)) = proof {
        credentials::authenticate_reply(key, tag, head.headers_mut());
    }
    head
}
