//! The calling side: one pooled connection per peer.

use std::fmt;
use std::marker::PhantomData;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use h2::client::{ResponseFuture, SendRequest};
use http::{Method, Request, StatusCode, Uri};
use parking_lot::{Mutex, RwLock};
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::time::timeout_at;

use super::credentials::{self, Credentials};
use super::error::{NotSent, PeerError, Refusal};
use super::items::{Frames, Held, Items};
use super::key::{FleetKey, Tag};
use super::link::{Life, Metered, Use};
use super::settings::Settings;
use super::traffic::Traffic;
use super::{Protocol, codec};
use crate::keys::Incarnation;
use crate::time::Clock;

/// Unread bytes that one stream may have on its way to this node.
const STREAM_WINDOW_BYTES: u32 = 64 * 1024;

/// Unread bytes that all streams of a connection may have on their way to this node.
///
/// Streams whose readers are slow fill this window. If it were full, readers that keep up would get
/// nothing either; it therefore holds a thousand slow streams.
const CONNECTION_WINDOW_BYTES: u32 = 64 * 1024 * 1024;

/// Overhead of small unread frames that a connection may carry before `h2` closes it.
///
/// Tokens come in small frames, so that slow readers would otherwise use the allowance up and one
/// would see all streams from a peer break at once.
const SMALL_FRAMES_BUDGET_BYTES: usize = 256 * 1024 * 1024;

/// Connections to peers, made when first needed and kept while used.
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

/// The place of one peer's connection.
#[derive(Debug)]
struct Slot {
    address: SocketAddr,
    permits: Arc<Semaphore>,
    link: Mutex<Option<Link>>,
    /// Held while connecting, with when that last failed.
    connecting: tokio::sync::Mutex<Option<(Instant, NotSent)>>,
}

#[derive(Clone, Debug)]
struct Link {
    requests: SendRequest<Bytes>,
    life: Arc<Life>,
}

/// A request that may have left this node.
struct Sent {
    response: ResponseFuture,
    tag: Tag,
    held: Held,
}

impl<P: Protocol> Connections<P> {
    /// A pool of connections on which this node shows itself as `own`.
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

    /// Sets bounds and times.
    #[must_use]
    pub fn with_settings(mut self, settings: Settings) -> Self {
        self.settings = settings;
        self
    }

    /// Sets the clock that requests are stamped by.
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

    /// The counts of messages.
    #[must_use]
    pub fn traffic(&self) -> &Arc<Traffic> {
        &self.traffic
    }

    /// Sends a request and waits for its reply.
    ///
    /// # Errors
    ///
    /// See [`PeerError`]; its questions tell whether the request may have been handled.
    pub async fn call(
        &self,
        to: SocketAddr,
        request: P::Request,
        timeout_ms: u64,
    ) -> Result<P::Reply, PeerError> {
        let (reply, _) = self.open(to, request, timeout_ms).await?;
        Ok(reply)
    }

    /// Sends a request and waits for its reply, which items may follow.
    ///
    /// The timeout is for the reply; items may take any time while their peer is alive.
    ///
    /// # Errors
    ///
    /// See [`PeerError`]; its questions tell whether the request may have been handled.
    pub async fn open(
        &self,
        to: SocketAddr,
        request: P::Request,
        timeout_ms: u64,
    ) -> Result<(P::Reply, Items<P>), PeerError> {
        let deadline = tokio::time::Instant::now() + Duration::from_millis(timeout_ms);
        let sent = match timeout_at(deadline, self.send(to, &request)).await {
            Ok(sent) => sent.map_err(PeerError::NotSent)?,
            // Sending itself does not wait, so it has not begun.
            Err(_) => return Err(PeerError::NotSent(NotSent::ConnectTimedOut { timeout_ms })),
        };
        drop(request);
        match timeout_at(deadline, self.reply(sent)).await {
            Ok(replied) => replied,
            Err(_) => Err(PeerError::TimedOut { timeout_ms }),
        }
    }

    async fn send(&self, to: SocketAddr, request: &P::Request) -> Result<Sent, NotSent> {
        let kind = P::kind(request);
        let body = codec::encode(request).map_err(|error| NotSent::Encode(Arc::new(error)))?;
        let slot = self.slot(to);
        let permit = Arc::clone(&slot.permits).acquire_owned().await;
        let permit = permit.map_err(|_closed| NotSent::TooManyStreams)?;
        let (mut link, used) = self.proven_link(&slot).await?;
        let (request, tag) = self.signed(to, kind, &body);
        let (response, mut sending) = link
            .requests
            .send_request(request, false)
            .map_err(|_unsent| NotSent::Closing)?;
        let traffic = self.traffic.kind(kind);
        traffic.sent(1, body.len());
        // A failure here also ends the response, which tells more about it.
        let _ = sending.send_data(body, true);
        let held = Held {
            life: link.life,
            traffic,
            _use: used,
            _permit: permit,
        };
        Ok(Sent {
            response,
            tag,
            held,
        })
    }

    async fn reply(&self, sent: Sent) -> Result<(P::Reply, Items<P>), PeerError> {
        let Sent {
            response,
            tag,
            held,
        } = sent;
        let response = match response.await {
            Ok(response) => response,
            Err(error) => return Err(held.error(error)),
        };
        let status = response.status();
        let proved = credentials::reply_is_proved(&self.key, &tag, response.headers());
        match status {
            StatusCode::UNAUTHORIZED => return Err(PeerError::Refused(Refusal::Credentials)),
            _ if !proved => return Err(PeerError::Unproved),
            StatusCode::SERVICE_UNAVAILABLE => {
                return Err(PeerError::Refused(Refusal::Overloaded));
            }
            StatusCode::OK => {}
            _ => return Err(PeerError::Refused(Refusal::Unreadable)),
        }
        let mut frames = Frames::new(response.into_body(), held);
        match frames.next().await {
            Some(Ok(reply)) => Ok((reply, Items::new(frames))),
            Some(Err(error)) => Err(error),
            None => Err(PeerError::EndedEarly),
        }
    }

    fn signed(&self, to: SocketAddr, kind: &str, body: &[u8]) -> (Request<()>, Tag) {
        let path = format!("/{kind}");
        let credentials = Credentials {
            from: self.own,
            to,
            sent_ms: self.clock.now(),
            body: credentials::digest(body),
        };
        let tag = credentials.tag(&self.key, &path);
        let uri = Uri::builder()
            .scheme("http")
            .authority(to.to_string())
            .path_and_query(path)
            .build()
            .expect("an address and a kind make a URI");
        let mut head = Request::new(());
        *head.method_mut() = Method::POST;
        *head.uri_mut() = uri;
        credentials.write(&tag, head.headers_mut());
        (head, tag)
    }

    /// A link that was alive just now; an old one that isn't is replaced once.
    async fn proven_link(&self, slot: &Slot) -> Result<(Link, Use), NotSent> {
        let Settings {
            trusted_idle_ms,
            connect_timeout_ms,
            ..
        } = self.settings;
        for _ in 0..2 {
            let link = self.link(slot).await?;
            let used = link.life.take();
            if link.life.prove(trusted_idle_ms, connect_timeout_ms).await {
                return Ok((link, used));
            }
            link.life.close();
        }
        Err(NotSent::Dead)
    }

    async fn link(&self, slot: &Slot) -> Result<Link, NotSent> {
        let began = Instant::now();
        if let Some(link) = slot.live() {
            return Ok(link);
        }
        let mut failed = slot.connecting.lock().await;
        if let Some(link) = slot.live() {
            return Ok(link);
        }
        match &*failed {
            // Another call failed while this one waited. If each tried again in turn, calls to a
            // peer that is cut off would queue up for a connect timeout each.
            Some((at, error)) if *at >= began => return Err(error.clone()),
            _ => {}
        }
        match self.connect(slot.address).await {
            Ok(link) => {
                *slot.link.lock() = Some(link.clone());
                Ok(link)
            }
            Err(error) => {
                *failed = Some((Instant::now(), error.clone()));
                Err(error)
            }
        }
    }

    async fn connect(&self, address: SocketAddr) -> Result<Link, NotSent> {
        let timeout_ms = self.settings.connect_timeout_ms;
        let connecting = self.connect_unbounded(address);
        match tokio::time::timeout(Duration::from_millis(timeout_ms), connecting).await {
            Ok(connected) => connected,
            Err(_) => Err(NotSent::ConnectTimedOut { timeout_ms }),
        }
    }

    async fn connect_unbounded(&self, address: SocketAddr) -> Result<Link, NotSent> {
        let connect_error = |error: std::io::Error| NotSent::Connect(error.kind());
        let socket = TcpStream::connect(address).await.map_err(connect_error)?;
        socket.set_nodelay(true).map_err(connect_error)?;
        let life = Life::new();
        let metered = Metered::new(socket, Arc::clone(&life), Arc::clone(&self.traffic));
        let mut builder = h2::client::Builder::new();
        builder
            .initial_window_size(STREAM_WINDOW_BYTES)
            .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
            .data_frame_budget(SMALL_FRAMES_BUDGET_BYTES)
            .initial_max_send_streams(self.settings.max_streams as usize)
            .enable_push(false);
        let (requests, mut connection) = builder
            .handshake(metered)
            .await
            .map_err(|error| NotSent::Handshake(Arc::new(error)))?;
        let ping_pong = connection.ping_pong().expect("it is taken only here");
        let settings = self.settings;
        let watched = Arc::clone(&life);
        tokio::spawn(async move {
            tokio::select! {
                _ = connection => {}
                () = watched.watch(ping_pong, &settings) => {}
                () = watched.closed() => {}
            }
            watched.close();
        });
        Ok(Link { requests, life })
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
            link: Mutex::new(None),
            connecting: tokio::sync::Mutex::new(None),
        }
    }

    fn live(&self) -> Option<Link> {
        let link = self.link.lock();
        link.as_ref().filter(|link| !link.life.is_closed()).cloned()
    }

    /// Whether a call holds this slot or its connection stands.
    fn is_used(self: &Arc<Self>) -> bool {
        Arc::strong_count(self) > 1 || self.live().is_some()
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
            if let Some(link) = &*slot.link.lock() {
                link.life.close();
            }
        }
    }
}
