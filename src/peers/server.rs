//! The answering side: accepts peers' connections and hands their requests to a handler.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
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
use super::link::{Life, Metered};
use super::sending::{send, send_items};
use super::settings::Settings;
use super::traffic::{KindTraffic, Traffic};
use super::{Protocol, codec};
use crate::keys::Incarnation;
use crate::time::Clock;

/// Unread bytes that one stream may have on its way to this node.
const STREAM_WINDOW_BYTES: u32 = 256 * 1024;

/// Unread bytes that all streams of a connection may have on their way to this node.
const CONNECTION_WINDOW_BYTES: u32 = 16 * 1024 * 1024;

/// Streams that callers may cancel before this node looks at them.
///
/// The library's own bound is meant for strangers; peers cancel hundreds at once when a busy node
/// loses its callers, and one would see all their other streams break.
const MAX_CANCELLED_STREAMS: usize = 16_384;

/// How long to wait before accepting again when the system has no more sockets to give.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Largest header list of a request.
const MAX_HEADER_BYTES: u32 = 4 * 1024;

/// What handles requests of peers.
pub trait Handler: Send + Sync + 'static {
    /// The messages that it understands.
    type Protocol: Protocol;

    /// Answers one request.
    ///
    /// The future is dropped when its caller gives up or goes away.
    fn handle(
        &self,
        from: Incarnation,
        request: <Self::Protocol as Protocol>::Request,
    ) -> impl Future<Output = Answer<Self::Protocol>> + Send;
}

/// What a handler answers.
pub enum Answer<P: Protocol> {
    /// A reply and nothing more.
    Reply(P::Reply),
    /// A reply and items, until the sender is dropped.
    ///
    /// When the caller goes away the channel is closed, which the sender can see.
    Stream(P::Reply, mpsc::Receiver<P::Item>),
}

impl<P: Protocol> fmt::Debug for Answer<P> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Reply(_) => "Reply",
            Self::Stream(..) => "Stream",
        })
    }
}

/// How peers are answered.
#[derive(Clone, Debug)]
pub struct Server {
    key: FleetKey,
    clock: Clock,
    settings: Settings,
    traffic: Arc<Traffic>,
    advertised_address: Option<SocketAddr>,
}

/// Answers peers on `listener` until `shutdown`, with default settings.
pub async fn serve<H: Handler>(
    listener: TcpListener,
    key: FleetKey,
    handler: Arc<H>,
    shutdown: CancellationToken,
) {
    Server::new(key).serve(listener, handler, shutdown).await;
}

impl Server {
    /// A server for peers that hold `key`.
    #[must_use]
    pub fn new(key: FleetKey) -> Self {
        Self {
            key,
            clock: Clock::new(),
            settings: Settings::default(),
            traffic: Arc::default(),
            advertised_address: None,
        }
    }

    /// Sets bounds and times.
    #[must_use]
    pub fn with_settings(mut self, settings: Settings) -> Self {
        self.settings = settings;
        self
    }

    /// Sets the clock that requests' times are compared with.
    #[must_use]
    pub fn with_clock(mut self, clock: Clock) -> Self {
        self.clock = clock;
        self
    }

    /// Sets where messages are counted.
    #[must_use]
    pub fn with_traffic(mut self, traffic: Arc<Traffic>) -> Self {
        self.traffic = traffic;
        self
    }

    /// Sets the address that peers call, if it isn't the one that sockets are accepted on.
    #[must_use]
    pub fn with_advertised_address(mut self, address: SocketAddr) -> Self {
        self.advertised_address = Some(address);
        self
    }

    /// Answers peers on `listener` until `shutdown`, then finishes the open streams.
    ///
    /// Streams without an end must be ended by their handler; a caller that can't wait for that
    /// drops the returned future and with it all connections.
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
        // Dropping this future must end the connections' tasks, too.
        let abandoned = CancellationToken::new();
        let _abandon = abandoned.clone().drop_guard();
        let connections = TaskTracker::new();
        loop {
            let accepted = tokio::select! {
                () = shutdown.cancelled() => break,
                accepted = listener.accept() => accepted,
            };
            let socket = match accepted {
                Ok((socket, _)) => socket,
                Err(error) => {
                    log::warn!(cause:err = error; "a peer's connection is not accepted");
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                    continue;
                }
            };
            let Ok(permit) = Arc::clone(&shared.connections).try_acquire_owned() else {
                metrics::counter!("teaselline_peer_connections_refused_total").increment(1);
                continue;
            };
            let connection = Arc::clone(&shared).connection(socket, shutdown.clone());
            let abandoned = abandoned.clone();
            connections.spawn(async move {
                let _permit = permit;
                abandoned.run_until_cancelled(connection).await;
            });
        }
        drop(listener);
        connections.close();
        connections.wait().await;
    }
}

/// What all connections share.
struct Shared<H> {
    server: Server,
    handler: Arc<H>,
    streams: Arc<Semaphore>,
    connections: Arc<Semaphore>,
}

/// A request that passed the checks.
struct Received<R> {
    from: Incarnation,
    request: R,
    traffic: Arc<KindTraffic>,
}

impl<H: Handler> Shared<H> {
    async fn connection(self: Arc<Self>, socket: TcpStream, shutdown: CancellationToken) {
        let settings = self.server.settings;
        let Ok(local) = socket.local_addr() else {
            return;
        };
        let receiver = self.server.advertised_address.unwrap_or(local);
        // Without this, replies would wait for acknowledgements; with it, only speed is at stake.
        let _ = socket.set_nodelay(true);
        let life = Life::new();
        let traffic = Arc::clone(&self.server.traffic);
        let metered = Metered::new(socket, Arc::clone(&life), traffic);
        let mut builder = h2::server::Builder::new();
        builder
            .initial_window_size(STREAM_WINDOW_BYTES)
            .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
            .max_concurrent_streams(settings.max_streams)
            .max_pending_accept_reset_streams(MAX_CANCELLED_STREAMS)
            .max_header_list_size(MAX_HEADER_BYTES);
        let connect_timeout = Duration::from_millis(settings.connect_timeout_ms);
        let shaken = tokio::time::timeout(connect_timeout, builder.handshake(metered)).await;
        let Ok(Ok(mut connection)) = shaken else {
            return;
        };
        let ping_pong = connection.ping_pong().expect("it is taken only here");
        let watch = life.watch(ping_pong, &settings);
        tokio::pin!(watch);
        let mut draining = false;
        loop {
            let (request, respond) = tokio::select! {
                accepted = connection.accept() => match accepted {
                    Some(Ok(stream)) => stream,
                    Some(Err(_)) | None => break,
                },
                () = &mut watch => break,
                () = shutdown.cancelled(), if !draining => {
                    draining = true;
                    connection.graceful_shutdown();
                    continue;
                }
            };
            let shared = Arc::clone(&self);
            let used = life.take();
            // The task ends with its connection, since the stream then counts as reset.
            tokio::spawn(async move {
                let _used = used;
                shared.stream(receiver, request, respond).await;
            });
        }
    }

    /// Answers one request, unless its caller goes away first.
    async fn stream(
        &self,
        receiver: SocketAddr,
        request: Request<RecvStream>,
        mut respond: SendResponse<Bytes>,
    ) {
        let (head, body) = request.into_parts();
        let now = self.server.clock.now();
        let checked = Credentials::check(&head, &self.server.key, receiver, now);
        let (credentials, tag) = match checked {
            Ok(checked) => checked,
            Err(error) => {
                // Strangers can cause this as often as they like, so it is counted, not warned of.
                metrics::counter!("teaselline_peer_credentials_refused_total").increment(1);
                log::debug!(cause:err = error; "a request with wrong credentials is refused");
                refuse(&mut respond, StatusCode::UNAUTHORIZED, None);
                return;
            }
        };
        let proof = Some((&self.server.key, &tag));
        let Ok(_permit) = self.streams.try_acquire() else {
            refuse(&mut respond, StatusCode::SERVICE_UNAVAILABLE, proof);
            return;
        };
        let answered = tokio::select! {
            biased;
            _ = std::future::poll_fn(|cx| respond.poll_reset(cx)) => return,
            answered = self.answer(credentials, body) => answered,
        };
        match answered {
            Ok((answer, traffic)) => self.reply(answer, &traffic, &tag, &mut respond).await,
            Err(status) => refuse(&mut respond, status, proof),
        }
    }

    async fn answer(
        &self,
        credentials: Credentials,
        body: RecvStream,
    ) -> Result<(Answer<H::Protocol>, Arc<KindTraffic>), StatusCode> {
        let received = self.receive(credentials, body).await?;
        let answer = self.handler.handle(received.from, received.request).await;
        Ok((answer, received.traffic))
    }

    async fn receive(
        &self,
        credentials: Credentials,
        body: RecvStream,
    ) -> Result<Received<<H::Protocol as Protocol>::Request>, StatusCode> {
        let body = read(body).await?;
        if !credentials.fits(&body) {
            return Err(StatusCode::FORBIDDEN);
        }
        let request = codec::decode(&body).map_err(|error| {
            log::warn!(from:% = credentials.from, cause:err = error; "a request can't be read");
            StatusCode::BAD_REQUEST
        })?;
        let kind = <H::Protocol as Protocol>::kind(&request);
        let traffic = self.server.traffic.kind(kind);
        traffic.received(1, body.len());
        Ok(Received {
            from: credentials.from,
            request,
            traffic,
        })
    }

    async fn reply(
        &self,
        answer: Answer<H::Protocol>,
        traffic: &KindTraffic,
        tag: &Tag,
        respond: &mut SendResponse<Bytes>,
    ) {
        let (reply, items) = match answer {
            Answer::Reply(reply) => (reply, None),
            Answer::Stream(reply, items) => (reply, Some(items)),
        };
        let mut frames = BytesMut::new();
        if let Err(error) = codec::encode_frame(&reply, &mut frames) {
            log::error!(kind = traffic.kind, cause:err = error; "a reply can't be encoded");
            respond.send_reset(Reason::INTERNAL_ERROR);
            return;
        }
        let head = head(StatusCode::OK, Some((&self.server.key, tag)));
        // Errors from here on mean that the caller is gone; nobody is left to tell.
        let Ok(mut sending) = respond.send_response(head, false) else {
            return;
        };
        traffic.sent(1, frames.len());
        let sent = send(&mut sending, frames.split().freeze(), items.is_none()).await;
        match items {
            Some(items) if sent.is_ok() => send_items(&mut sending, items, frames, traffic).await,
            _ => {}
        }
    }
}

/// Reads a request's body, which must have the size of a message.
async fn read(mut body: RecvStream) -> Result<Bytes, StatusCode> {
    let mut whole = BytesMut::new();
    while let Some(chunk) = body.data().await {
        let chunk = chunk.map_err(|_broken| StatusCode::BAD_REQUEST)?;
        if whole.len() + chunk.len() > codec::MAX_MESSAGE_BYTES {
            return Err(StatusCode::PAYLOAD_TOO_LARGE);
        }
        whole.extend_from_slice(&chunk);
        // This fails only for a stream that has ended, where no window is needed any more.
        let _ = body.flow_control().release_capacity(chunk.len());
    }
    Ok(whole.freeze())
}

fn refuse(respond: &mut SendResponse<Bytes>, status: StatusCode, proof: Option<(&FleetKey, &Tag)>) {
    // It fails only if the caller is gone.
    let _ = respond.send_response(head(status, proof), true);
}

fn head(status: StatusCode, proof: Option<(&FleetKey, &Tag)>) -> Response<()> {
    let mut head = Response::new(());
    *head.status_mut() = status;
    if let Some((key, tag)) = proof {
        credentials::prove_reply(key, tag, head.headers_mut());
    }
    head
}
