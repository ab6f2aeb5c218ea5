//! The client: one pooled connection per peer, and those before it whose streams are still open.

mod opening;

use std::fmt;
use std::marker::PhantomData;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use h2::SendStream;
use h2::client::{ResponseFuture, SendRequest};
use http::{Method, Request, StatusCode, Uri};
use parking_lot::{Mutex, RwLock};
use tokio::sync::Semaphore;
use tokio::time::timeout_at;

use super::credentials::{self, Credentials};
use super::error::{NotSent, PeerError, Refusal};
use super::items::{Frames, Items, StreamGuard};
use super::key::{FleetKey, Tag};
use super::liveness::{Liveness, UseGuard};
use super::settings::Settings;
use super::traffic::Traffic;
use super::{Protocol, codec};
use crate::keys::Incarnation;
use crate::time::Clock;

/// Connections to one peer that a request tries, the first of which may be about to end.
const MAX_CONNECTIONS_TRIED: usize = 2;

/// A pool of connections to peers, opened on first use and closed when idle.
pub struct Connections<P> {
    key: FleetKey,
    own: Incarnation,
    clock: Clock,
    settings: Settings,
    traffic: Arc<Traffic>,
    /// Sorted by address.
    slots: RwLock<Vec<Arc<Slot>>>,
    protocol: PhantomData<fn() -> P>,
}

/// The pool's entry for one peer.
#[derive(Debug)]
struct Slot {
    address: SocketAddr,
    permits: Arc<Semaphore>,
    connection: Mutex<Option<Connection>>,
    /// Locked while connecting; contains the time and reason of the last failure.
    connecting: tokio::sync::Mutex<Option<(Instant, NotSent)>>,
}

#[derive(Clone, Debug)]
struct Connection {
    send_request: SendRequest<Bytes>,
    liveness: Arc<Liveness>,
}

/// A stream whose request has no body yet.
struct OpenedStream {
    liveness: Arc<Liveness>,
    response: ResponseFuture,
    sending: SendStream<Bytes>,
    tag: Tag,
}

/// A request that may have been sent to the peer.
struct SentRequest {
    response: ResponseFuture,
    tag: Tag,
    guard: StreamGuard,
}

impl<P: Protocol> Connections<P> {
    /// Creates a pool whose requests carry `own` as their sender.
    #[must_use]
    pub fn new(key: FleetKey, own: Incarnation) -> Self {
        Self {
            key,
            own,
            clock: Clock::new(),
            settings: Settings::default(),
            traffic: Arc::default(),
            slots: RwLock::default(),
            protocol: PhantomData,
        }
    }

    /// Sets limits and timeouts.
    #[must_use]
    pub fn with_settings(mut self, settings: Settings) -> Self {
        self.settings = settings;
        self
    }

    /// Sets the clock that supplies the send times of requests.
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

    /// Returns the counters of messages and bytes.
    #[must_use]
    pub fn traffic(&self) -> &Arc<Traffic> {
        &self.traffic
    }

    /// Sends a request and returns its reply.
    ///
    /// # Errors
    ///
    /// Returns a [`PeerError`], whose methods tell whether the request may have been handled.
    pub async fn call(
        &self,
        to: SocketAddr,
        request: P::Request,
        timeout_ms: u64,
    ) -> Result<P::Reply, PeerError> {
        let (reply, _) = self.open(to, request, timeout_ms).await?;
        Ok(reply)
    }

    /// Sends a request and returns its reply and the stream of items that follow it.
    ///
    /// The timeout applies to the reply; items may take any time while the peer is alive.
    ///
    /// # Errors
    ///
    /// Returns a [`PeerError`], whose methods tell whether the request may have been handled.
    pub async fn open(
        &self,
        to: SocketAddr,
        request: P::Request,
        timeout_ms: u64,
    ) -> Result<(P::Reply, Items<P>), PeerError> {
        let deadline = tokio::time::Instant::now() + Duration::from_millis(timeout_ms);
        let sent = match timeout_at(deadline, self.send(to, &request)).await {
            Ok(sent) => sent.map_err(PeerError::NotSent)?,
            // `send` awaits only before it hands the request to `h2`, so nothing was sent.
            Err(_) => return Err(PeerError::NotSent(NotSent::ConnectTimedOut { timeout_ms })),
        };
        drop(request);
        match timeout_at(deadline, self.reply(sent)).await {
            Ok(replied) => replied,
            Err(_) => Err(PeerError::TimedOut { timeout_ms }),
        }
    }

    async fn send(&self, to: SocketAddr, request: &P::Request) -> Result<SentRequest, NotSent> {
        let kind = P::kind(request);
        let body = codec::encode(request).map_err(|error| NotSent::Encode(Arc::new(error)))?;
        let slot = self.slot(to);
        let permit = Arc::clone(&slot.permits).acquire_owned().await;
        let permit = permit.map_err(|_closed| NotSent::TooManyStreams)?;
        let (opened, mut use_guard) = self.open_stream(&slot, kind, &body).await?;
        if let Some(time_left_ms) = P::time_left_ms(request) {
            use_guard.wait_for_ms(time_left_ms);
        }
        let traffic = self.traffic.kind(kind);
        traffic.record_sent(1, body.len());
        let OpenedStream {
            liveness,
            response,
            mut sending,
            tag,
        } = opened;
        // An error here also ends the response, which reports a more specific error.
        let _ = sending.send_data(body, true);
        let guard = StreamGuard {
            liveness,
            traffic,
            stream: response.stream_id().as_u32(),
            _use: use_guard,
            _permit: permit,
        };
        Ok(SentRequest {
            response,
            tag,
            guard,
        })
    }

    /// Opens a stream for a request; on another connection if the first one is about to end.
    async fn open_stream(
        &self,
        slot: &Slot,
        kind: &str,
        body: &[u8],
    ) -> Result<(OpenedStream, UseGuard), NotSent> {
        for _ in 0..MAX_CONNECTIONS_TRIED {
            let (mut connection, use_guard) = self.verified_connection(slot).await?;
            let (request, tag) = self.signed_head(slot.address, kind, body);
            match connection.send_request.send_request(request, false) {
                Ok((response, sending)) => {
                    let opened = OpenedStream {
                        liveness: connection.liveness,
                        response,
                        sending,
                        tag,
                    };
                    return Ok((opened, use_guard));
                }
                Err(_unsent) => connection.liveness.retire(),
            }
        }
        Err(NotSent::Closing)
    }

    async fn reply(&self, sent: SentRequest) -> Result<(P::Reply, Items<P>), PeerError> {
        let SentRequest {
            response,
            tag,
            guard,
        } = sent;
        let response = match response.await {
            Ok(response) => response,
            Err(error) => return Err(guard.unanswered_error(error)),
        };
        let status = response.status();
        let is_authenticated =
            credentials::is_reply_authenticated(&self.key, &tag, response.headers());
        match status {
            StatusCode::UNAUTHORIZED => return Err(PeerError::Refused(Refusal::Credentials)),
            _ if !is_authenticated => return Err(PeerError::Unauthenticated),
            StatusCode::SERVICE_UNAVAILABLE => {
                return Err(PeerError::Refused(Refusal::Overloaded));
            }
            StatusCode::OK => {}
            _ => return Err(PeerError::Refused(Refusal::Unreadable)),
        }
        let mut frames = Frames::new(response.into_body(), guard);
        match frames.next().await {
            Some(Ok(reply)) => Ok((reply, Items::new(frames))),
            Some(Err(error)) => Err(error),
            None => Err(PeerError::EndedEarly),
        }
    }

    fn signed_head(&self, to: SocketAddr, kind: &str, body: &[u8]) -> (Request<()>, Tag) {
        let path = format!("/{kind}");
        let credentials = Credentials {
            from: self.own,
            to,
            sent_ms: self.clock.now(),
            body: credentials::body_hash(body),
        };
        let tag = credentials.tag(&self.key, &path);
        let uri = Uri::builder()
            .scheme("http")
            .authority(to.to_string())
            .path_and_query(path)
            .build()
            .expect("an address and a kind form a valid URI");
        let mut head = Request::new(());
        *head.method_mut() = Method::POST;
        *head.uri_mut() = uri;
        credentials.write(&tag, head.headers_mut());
        (head, tag)
    }

    fn slot(&self, address: SocketAddr) -> Arc<Slot> {
        let find = |slots: &[Arc<Slot>]| slots.binary_search_by_key(&address, |slot| slot.address);
        {
            let slots = self.slots.read();
            if let Ok(index) = find(&slots) {
                return Arc::clone(&slots[index]);
            }
        }
        let mut slots = self.slots.write();
        slots.retain(|slot| slot.address == address || slot.is_used());
        match find(&slots) {
            Ok(index) => Arc::clone(&slots[index]),
            Err(index) => {
                let new = Arc::new(Slot::new(address, self.settings.max_streams));
                slots.insert(index, Arc::clone(&new));
                new
            }
        }
    }
}

impl Slot {
    fn new(address: SocketAddr, max_streams: u32) -> Self {
        Self {
            address,
            permits: Arc::new(Semaphore::new(max_streams as usize)),
            connection: Mutex::new(None),
            connecting: tokio::sync::Mutex::new(None),
        }
    }

    fn open_connection(&self) -> Option<Connection> {
        let connection = self.connection.lock();
        connection
            .as_ref()
            .filter(|connection| connection.liveness.takes_requests())
            .cloned()
    }

    /// Returns whether a call holds this slot or its connection is open.
    fn is_used(self: &Arc<Self>) -> bool {
        Arc::strong_count(self) > 1 || self.open_connection().is_some()
    }
}

impl<P> fmt::Debug for Connections<P> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut connections = f.debug_struct("Connections");
        connections.field("own", &self.own);
        connections.field("peers", &self.slots.read().len());
        connections.finish_non_exhaustive()
    }
}

impl<P> Drop for Connections<P> {
    fn drop(&mut self) {
        for slot in self.slots.get_mut().iter() {
            if let Some(connection) = &*slot.connection.lock() {
                connection.liveness.close();
            }
        }
    }
}
