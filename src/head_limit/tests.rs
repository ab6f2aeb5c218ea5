//! Tests of the bound on what comes before the end of a head.

use std::error::Error;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Full};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, DuplexStream, ReadBuf};

use super::{CONNECTION_BUFFER_BYTES, HeadLimitedSender, HeadTooLong, handshake};

/// Bytes that fit into the pipe between the two sides.
const PIPE_BYTES: usize = 256 * 1024;

/// Opens a connection over a pipe; returns its client side and the server's end of the pipe.
async fn connect() -> (HeadLimitedSender, DuplexStream) {
    let (near, far) = tokio::io::duplex(PIPE_BYTES);
    let (sender, connection) = handshake(near).await.expect("the pipe is open");
    tokio::spawn(connection);
    (sender, far)
}

fn request() -> Request<Full<Bytes>> {
    Request::new(Full::new(Bytes::from_static(b"body")))
}

/// Answers one request with `head` repeated and a body of `body_bytes`.
async fn serve(far: &mut DuplexStream, informational: usize, body_bytes: usize) {
    let mut request = [0; 1024];
    let length = far.read(&mut request).await.expect("the pipe is open");
    assert!(length > 0);
    let heads = "HTTP/1.1 103 Early Hints\r\nhint: value\r\n\r\n".repeat(informational);
    let head = format!("{heads}HTTP/1.1 200 OK\r\ncontent-length: {body_bytes}\r\n\r\n");
    let answer = [head.into_bytes(), vec![b'x'; body_bytes]].concat();
    // The other side may have closed the connection.
    drop(far.write_all(&answer).await);
}

/// Guards against informational heads without end.
#[tokio::test]
async fn informational_heads_beyond_the_bound_end_the_connection() {
    let (mut sender, mut far) = connect().await;
    let answered = tokio::join!(sender.send_request(request()), serve(&mut far, 4_000, 10));
    let error = answered.0.expect_err("the heads exceed the bound");
    assert!(HeadTooLong::is_cause_of(&error), "{error:?}");
}

/// Guards against a bound that refuses the informational heads of a sound server.
#[tokio::test]
async fn some_informational_heads_are_skipped() {
    let (mut sender, mut far) = connect().await;
    let answered = tokio::join!(sender.send_request(request()), serve(&mut far, 20, 10));
    let body = answered.0.expect("a response").collect().await;
    assert_eq!(body.expect("a body").to_bytes().len(), 10);
}

/// Guards against a bound that counts the body, or the responses before, toward a head.
#[tokio::test]
async fn bodies_and_earlier_responses_count_toward_no_head() {
    let (mut sender, mut far) = connect().await;
    let body_bytes = CONNECTION_BUFFER_BYTES * 6;
    for _request in 0..5 {
        sender.ready().await.expect("the connection is kept");
        let exchange = async {
            let response = sender.send_request(request()).await.expect("a response");
            response.collect().await.expect("a whole body").to_bytes()
        };
        let answered = tokio::join!(exchange, serve(&mut far, 20, body_bytes));
        assert_eq!(answered.0.len(), body_bytes);
    }
}

/// Latest time after which a request has to end that is given [`REQUEST_TIMEOUT`].
const END_TIMEOUT: Duration = Duration::from_secs(20);

/// Timeout of a request whose response does not end.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(200);

/// A socket that always has bytes to read, after the head of a response.
#[derive(Debug)]
struct AlwaysReady {
    head: &'static [u8],
    filler: &'static [u8],
    is_asked: bool,
    /// Further reads that find nothing between the head and the rest.
    pauses: u32,
    reader: Option<Waker>,
}

impl AsyncRead for AlwaysReady {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if !self.is_asked {
            self.reader = Some(cx.waker().clone());
            return Poll::Pending;
        }
        let head = std::mem::take(&mut self.head);
        if head.is_empty() && self.pauses > 0 {
            self.pauses -= 1;
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        let piece = if head.is_empty() { self.filler } else { head };
        let length = piece.len().min(buf.remaining());
        buf.put_slice(&piece[..length]);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for AlwaysReady {
    fn poll_write(
        mut self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.is_asked = true;
        if let Some(reader) = self.reader.take() {
            reader.wake();
        }
        Poll::Ready(Ok(buf.len()))
    }

    fn poll_flush(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}

/// Whether a request on a thread of its own ends by its timeout while a socket has always bytes to read.
fn ends_by_its_timeout(head: &'static [u8], filler: &'static [u8]) -> bool {
    let (ended, has_ended) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .build();
        let exchange = async {
            let socket = AlwaysReady {
                head,
                filler,
                is_asked: false,
                pauses: 10,
                reader: None,
            };
            let (mut sender, connection) = handshake(socket).await.expect("the socket is open");
            tokio::spawn(connection);
            let response = sender.send_request(request()).await;
            response.expect("a response").collect().await.is_ok()
        };
        let exchange = async { tokio::time::timeout(REQUEST_TIMEOUT, exchange).await };
        let is_timed_out = runtime.expect("a runtime").block_on(exchange).is_err();
        let received = ended.send(is_timed_out);
        assert!(received.is_ok(), "the request ended after the test");
    });
    has_ended.recv_timeout(END_TIMEOUT) == Ok(true)
}

/// Guards against framing without end that keeps the thread, so that no timeout ends the request.
#[test]
fn endless_framing_lets_timers_run() {
    const HEAD: &[u8] = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    const SPACES: &[u8] = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4";
    assert!(ends_by_its_timeout(HEAD, &[b'0'; 4096]), "zeros");
    assert!(ends_by_its_timeout(HEAD, b"0"), "single zeros");
    assert!(ends_by_its_timeout(SPACES, &[b' '; 4096]), "spaces");
}

/// Whether an error was caused by a head that was too long.
pub(crate) fn is_head_too_long(error: &(dyn Error + 'static)) -> bool {
    let causes = std::iter::successors(Some(error), |error| (*error).source());
    causes
        .filter_map(|error| error.downcast_ref::<hyper::Error>())
        .any(HeadTooLong::is_cause_of)
}

/// A server on threads of its own, which end with their connections.
#[derive(Debug)]
pub(crate) struct StandIn {
    address: SocketAddr,
    connections: Arc<AtomicUsize>,
}

impl StandIn {
    /// Starts a server that sends these bytes for each request; it reads a request's body after its answer.
    pub fn answering(answer: Vec<u8>) -> Self {
        Self::start(move |socket| socket.write_all(&answer))
    }

    fn start(answer: impl Fn(&mut TcpStream) -> io::Result<()> + Send + Sync + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let connections = Arc::new(AtomicUsize::new(0));
        let accepted = Arc::clone(&connections);
        let answer = Arc::new(answer);
        std::thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                accepted.fetch_add(1, Ordering::Relaxed);
                let answer = Arc::clone(&answer);
                std::thread::spawn(move || serve_all(socket, &*answer));
            }
        });
        Self {
            address,
            connections,
        }
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns how many connections were opened.
    pub fn connections(&self) -> usize {
        self.connections.load(Ordering::Relaxed)
    }

    /// Returns a request to the server.
    pub fn request(&self) -> Request<Full<Bytes>> {
        let request = Request::builder().uri(format!("http://{}/", self.address));
        request.body(Full::default()).expect("a request")
    }
}

/// Answers each request on a connection; bytes without the beginning of one are the rest of the one before.
fn serve_all(mut socket: TcpStream, answer: &impl Fn(&mut TcpStream) -> io::Result<()>) {
    let mut request = vec![0; 64 * 1024];
    while let Ok(length @ 1..) = socket.read(&mut request) {
        if request[..length].starts_with(b"GET ") && answer(&mut socket).is_err() {
            return;
        }
    }
}

/// Starts a server that answers each request by informational heads without end.
pub(crate) fn endless_informational_heads() -> StandIn {
    let heads = "HTTP/1.1 103 Early Hints\r\nfiller: filler\r\n\r\n".repeat(1500);
    StandIn::start(move |socket| {
        loop {
            socket.write_all(heads.as_bytes())?;
        }
    })
}
