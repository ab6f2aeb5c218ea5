//! The HTTP/1.1 server under every stand-in, and the few answers that they share.

use std::{
    convert::Infallible,
    io,
    net::SocketAddr,
    sync::{Arc, LazyLock},
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use bytes::Bytes;
use http::{Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::{body::Incoming, service::service_fn};
use hyper_util::rt::TokioIo;
use serde::{Serialize, de::DeserializeOwned};
use tokio::{
    net::{TcpListener, TcpSocket, TcpStream},
    task::{JoinHandle, JoinSet},
};

pub(crate) const BACKLOG: u32 = 4096;
const MAX_BODY_BYTES: usize = 64 << 20;
const ACCEPT_RETRY: Duration = Duration::from_millis(10);

/// The present time in Unix milliseconds, carried on by the monotonic clock.
#[must_use]
pub fn now_ms() -> u64 {
    static START: LazyLock<(Duration, Instant)> = LazyLock::new(|| {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH);
        (unix.unwrap_or_default(), Instant::now())
    });
    let (unix, start) = *START;
    u64::try_from((unix + start.elapsed()).as_millis()).unwrap_or(u64::MAX)
}

/// Waits until `at_ms`.
pub(crate) async fn sleep_until_ms(at_ms: u64) {
    tokio::time::sleep(Duration::from_millis(at_ms.saturating_sub(now_ms()))).await;
}

/// The connection is closed without an answer.
#[derive(Debug, thiserror::Error)]
#[error("the stand-in cuts this connection")]
pub(crate) struct Cut;

/// What a stand-in answers to a request.
pub(crate) type Answer<B = Full<Bytes>> = Result<Response<B>, Cut>;

/// A stand-in's request handler.
pub(crate) trait Handler: Send + Sync + 'static {
    /// The body of its answers.
    type Body: http_body::Body<Data = Bytes, Error = Infallible> + Send + 'static;

    /// Handles one request.
    fn handle(&self, call: Call) -> impl Future<Output = Answer<Self::Body>> + Send;
}

/// A request whose body has arrived whole.
#[derive(Debug)]
pub(crate) struct Call {
    pub head: http::request::Parts,
    pub body: Bytes,
}

impl Call {
    /// Method and path segments, for one `match`.
    pub fn route(&self) -> (&str, Vec<&str>) {
        let path = self.head.uri.path();
        let segments = path.split('/').filter(|segment| !segment.is_empty());
        (self.head.method.as_str(), segments.collect())
    }

    /// A number in the query, zero if absent or malformed.
    pub fn query(&self, name: &str) -> u64 {
        let pairs = self.head.uri.query().unwrap_or_default().split('&');
        pairs
            .filter_map(|pair| pair.split_once('='))
            .find(|(key, _)| *key == name)
            .and_then(|(_, value)| value.parse().ok())
            .unwrap_or(0)
    }

    /// The body as JSON.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, Malformed> {
        serde_json::from_slice(&self.body).map_err(Malformed)
    }
}

/// A body that is not what the call takes.
#[derive(Debug, thiserror::Error)]
#[error("malformed body: {0}")]
pub(crate) struct Malformed(serde_json::Error);

impl Malformed {
    /// The answer to it.
    pub fn answer(&self) -> Response<Full<Bytes>> {
        error(StatusCode::BAD_REQUEST, &self.to_string())
    }
}

/// A JSON answer.
pub(crate) fn json<T: Serialize>(status: StatusCode, value: &T) -> Response<Full<Bytes>> {
    let body = serde_json::to_vec(value).expect("the stand-ins' types have text keys only");
    let mut response = Response::new(Full::from(body));
    *response.status_mut() = status;
    let kind = header::HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    response
}

/// A `200` JSON answer.
pub(crate) fn ok<T: Serialize>(value: &T) -> Response<Full<Bytes>> {
    json(StatusCode::OK, value)
}

/// `{"error": …}` with the given status.
pub(crate) fn error(status: StatusCode, error: &str) -> Response<Full<Bytes>> {
    json(status, &serde_json::json!({ "error": error }))
}

/// An answer without a body.
pub(crate) fn empty(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}

/// A listener with its connections; dropping it cuts them all.
#[derive(Debug)]
pub(crate) struct Server {
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl Server {
    /// Listens on `address`, where port 0 means a free one.
    pub fn start<H: Handler>(address: SocketAddr, handler: Arc<H>) -> io::Result<Self> {
        Self::serve(listen(address)?, handler)
    }

    /// Serves on a listener.
    pub fn serve<H: Handler>(listener: TcpListener, handler: Arc<H>) -> io::Result<Self> {
        let address = listener.local_addr()?;
        let task = tokio::spawn(accept(listener, handler));
        Ok(Self { address, task })
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// A listener with a backlog that thousands of callers at once do not overflow.
pub(crate) fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    bind(address)?.listen(BACKLOG)
}

/// A socket that is bound and doesn't listen yet.
pub(crate) fn bind(address: SocketAddr) -> io::Result<TcpSocket> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    Ok(socket)
}

/// The next connection, without delayed writes.
pub(crate) async fn accept_one(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((socket, _)) if socket.set_nodelay(true).is_ok() => return socket,
            // The caller has gone away meanwhile.
            Ok(_) => {}
            // Out of file descriptors, accepting at once again would spin.
            Err(_) => tokio::time::sleep(ACCEPT_RETRY).await,
        }
    }
}

async fn accept<H: Handler>(listener: TcpListener, handler: Arc<H>) {
    // Aborting this task drops the set, which aborts every connection in it.
    let mut connections = JoinSet::new();
    loop {
        while connections.try_join_next().is_some() {}
        let socket = accept_one(&listener).await;
        let handler = Arc::clone(&handler);
        connections.spawn(async move {
            let serve = service_fn(move |request| respond(Arc::clone(&handler), request));
            let connection = hyper::server::conn::http1::Builder::new()
                .serve_connection(TokioIo::new(socket), serve);
            // A caller that goes away and a cut are both ordinary here.
            drop(connection.await);
        });
    }
}

async fn respond<H: Handler>(handler: Arc<H>, request: Request<Incoming>) -> Answer<H::Body> {
    let (head, body) = request.into_parts();
    // A body cut half way never reaches the handler, so it has no effect.
    let body = Limited::new(body, MAX_BODY_BYTES).collect().await;
    let body = body.map_err(|_fault| Cut)?.to_bytes();
    handler.handle(Call { head, body }).await
}
