//! Liveness of one connection: when it was last read and whether it is in use.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{
    AtomicBool, AtomicU32, AtomicU64, AtomicUsize,
    Ordering::{Relaxed, SeqCst},
};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use h2::{Ping, PingPong};
use parking_lot::Mutex;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use super::deadlines::Deadlines;
use super::goaway::GoAwayScan;
use super::keepalive::{Action, Keepalive};
use super::settings::MonitorTimeouts;
use super::traffic::Traffic;

/// The last read time before the first read; smaller than that of any read.
const NEVER: u64 = 0;

/// The liveness state of a connection, shared by its socket, its users and its monitor.
#[derive(Debug)]
pub(super) struct Liveness {
    start: Instant,
    /// When bytes were last received; [`NEVER`] before the first ones.
    last_read_ms: AtomicU64,
    use_count: AtomicUsize,
    deadlines: Mutex<Deadlines>,
    ping_requested: AtomicBool,
    is_silent: AtomicBool,
    retired: CancellationToken,
    /// Last stream that the peer may have read; all may have been while it has named none.
    last_stream: AtomicU32,
    state_changed: Notify,
    pong_received: Notify,
    closed: CancellationToken,
}

/// Marks a connection as used until dropped; the silence timeout applies meanwhile.
#[derive(Debug)]
pub(super) struct UseGuard {
    liveness: Arc<Liveness>,
    /// When the caller of the stream stops to wait, if the protocol says so.
    deadline_ms: Option<u64>,
}

impl Liveness {
    pub(super) fn new() -> Arc<Self> {
        Arc::new(Self {
            start: Instant::now(),
            last_read_ms: AtomicU64::new(NEVER),
            use_count: AtomicUsize::new(0),
            deadlines: Mutex::default(),
            ping_requested: AtomicBool::new(false),
            is_silent: AtomicBool::new(false),
            retired: CancellationToken::new(),
            last_stream: AtomicU32::new(u32::MAX),
            state_changed: Notify::new(),
            pong_received: Notify::new(),
            closed: CancellationToken::new(),
        })
    }

    /// Marks the connection as used until the returned guard is dropped.
    pub(super) fn acquire(self: &Arc<Self>) -> UseGuard {
        if self.use_count.fetch_add(1, SeqCst) == 0 {
            self.state_changed.notify_one();
        }
        UseGuard {
            liveness: Arc::clone(self),
            deadline_ms: None,
        }
    }

    /// Marks the connection as used for a further request; `None` if it takes none.
    ///
    /// The monitor retires a connection before it looks whether it is used. A use that finds the
    /// connection in service is therefore seen before the connection is closed.
    pub(super) fn acquire_for_request(self: &Arc<Self>) -> Option<UseGuard> {
        let use_guard = self.acquire();
        self.takes_requests().then_some(use_guard)
    }

    pub(super) fn close(&self) {
        self.closed.cancel();
    }

    /// Returns the number of users, which is that of the open streams.
    pub(super) fn uses(&self) -> usize {
        self.use_count.load(SeqCst)
    }

    pub(super) fn is_closed(&self) -> bool {
        self.closed.is_cancelled()
    }

    pub(super) async fn closed(&self) {
        self.closed.cancelled().await;
    }

    /// Keeps the connection only for its open streams.
    ///
    /// A path that is silent may deliver what is on its way. Closing the connection would end all
    /// streams on it because of one request that found it silent.
    pub(super) fn retire(&self) {
        if !self.is_retired() {
            self.retired.cancel();
            self.state_changed.notify_one();
        }
    }

    fn is_retired(&self) -> bool {
        self.retired.is_cancelled()
    }

    /// Waits until the connection takes no further request.
    pub(super) async fn retired(&self) {
        self.retired.cancelled().await;
    }

    /// Records that the peer ends the connection and has read no stream above this one.
    fn record_goaway(&self, last_stream: u32) {
        self.last_stream.fetch_min(last_stream, SeqCst);
        self.retire();
    }

    /// Returns whether the peer has said that it has not read this stream and will not.
    pub(super) fn is_unread(&self, stream: u32) -> bool {
        stream > self.last_stream.load(SeqCst)
    }

    /// Returns whether the connection takes further requests.
    pub(super) fn takes_requests(&self) -> bool {
        !self.is_closed() && !self.is_retired()
    }

    /// Returns whether the connection was closed because the peer stopped responding.
    pub(super) fn is_silent(&self) -> bool {
        self.is_silent.load(SeqCst)
    }

    /// Returns why the monitor ended the connection, for logs.
    pub(super) fn end_cause(&self) -> &'static str {
        if self.is_silent() {
            "silent"
        } else {
            "unused_or_failed"
        }
    }

    /// Returns whether the peer is alive, waiting at most `timeout_ms` for the pong of a ping.
    ///
    /// No ping is sent if bytes were received within the last `verify_after_idle_ms`.
    ///
    /// A request on a connection whose peer failed undetected would be lost with an unknown
    /// outcome; a ping before the request turns that into a request that was not sent. New
    /// connections are verified, too: the operating system of a paused peer accepts a connection
    /// whose bytes the peer does not read.
    pub(super) async fn verify(&self, verify_after_idle_ms: u64, timeout_ms: u64) -> bool {
        let last_read_ms = self.last_read_ms.load(Relaxed);
        if last_read_ms != NEVER && self.now_ms() <= last_read_ms + verify_after_idle_ms {
            return !self.is_closed();
        }
        let pong_received = self.pong_received.notified();
        tokio::pin!(pong_received);
        pong_received.as_mut().enable();
        self.ping_requested.store(true, SeqCst);
        self.state_changed.notify_one();
        tokio::select! {
            () = pong_received => true,
            () = self.closed() => false,
            () = tokio::time::sleep(Duration::from_millis(timeout_ms)) => false,
        }
    }

    /// Monitors the peer; returns when the connection should be closed.
    ///
    /// A connection is retired before it is closed for want of streams. What is sent on it meanwhile
    /// keeps it open.
    pub(super) async fn monitor(&self, mut ping_pong: PingPong, timeouts: &MonitorTimeouts) {
        let mut keepalive = Keepalive::new(timeouts.silence_timeout_ms, timeouts.loss_timeout_ms);
        let mut is_ping_pending = false;
        loop {
            let is_retired = self.is_retired();
            let is_used = self.uses() > 0;
            let last_read_ms = self.last_read_ms.load(Relaxed);
            let deadline_ms = self.deadlines.lock().latest_ms();
            let action = keepalive.check(self.now_ms(), last_read_ms, is_used, deadline_ms);
            let (should_ping, wait_ms) = match action {
                Action::Idle if is_retired => (false, timeouts.close_delay_ms),
                Action::Idle => (false, timeouts.idle_timeout_ms),
                Action::Wait(wait_ms) => (false, wait_ms),
                Action::Ping(wait_ms) => (true, wait_ms),
                Action::Retire(wait_ms) => {
                    self.retire();
                    (false, wait_ms)
                }
                Action::Close => {
                    self.is_silent.store(true, SeqCst);
                    return;
                }
            };
            if should_ping | self.ping_requested.swap(false, SeqCst) {
                // `h2` sends no second ping while an earlier one is unanswered; the pong for the
                // earlier one suffices.
                is_ping_pending |= ping_pong.send_ping(Ping::opaque()).is_ok();
            }
            tokio::select! {
                () = self.state_changed.notified() => {}
                pong = std::future::poll_fn(|cx| ping_pong.poll_pong(cx)), if is_ping_pending => {
                    is_ping_pending = false;
                    match pong {
                        Ok(_) => self.pong_received.notify_waiters(),
                        Err(_) => return,
                    }
                }
                () = tokio::time::sleep(Duration::from_millis(wait_ms)) => {
                    match action {
                        Action::Idle if self.uses() > 0 => {}
                        Action::Idle if is_retired => return,
                        Action::Idle => self.retire(),
                        _ => {}
                    }
                }
            }
        }
    }

    fn now_ms(&self) -> u64 {
        u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX)
    }
}

impl UseGuard {
    /// Keeps the connection, however silent, for as long as the caller waits for the stream.
    pub(super) fn wait_for_ms(&mut self, time_left_ms: u64) {
        let deadline_ms = self.liveness.now_ms().saturating_add(time_left_ms);
        self.remove_deadline();
        self.liveness.deadlines.lock().insert(deadline_ms);
        self.deadline_ms = Some(deadline_ms);
    }

    fn remove_deadline(&mut self) {
        if let Some(deadline_ms) = self.deadline_ms.take() {
            self.liveness.deadlines.lock().remove(deadline_ms);
        }
    }
}

impl Drop for UseGuard {
    fn drop(&mut self) {
        self.remove_deadline();
        if self.liveness.use_count.fetch_sub(1, SeqCst) == 1 {
            self.liveness.state_changed.notify_one();
        }
    }
}

/// A socket that records the time of the last read and counts bytes.
#[derive(Debug)]
pub(super) struct MeteredSocket<T> {
    socket: T,
    liveness: Arc<Liveness>,
    traffic: Arc<Traffic>,
    /// Reads the frames of an accepting side; those of an asking side begin with a preface.
    goaway: Option<GoAwayScan>,
    sent_bytes_metric: metrics::Counter,
    received_bytes_metric: metrics::Counter,
}

impl<T> MeteredSocket<T> {
    pub(super) fn new(socket: T, liveness: Arc<Liveness>, traffic: Arc<Traffic>) -> Self {
        traffic.connections.fetch_add(1, Relaxed);
        Self {
            socket,
            liveness,
            traffic,
            goaway: None,
            sent_bytes_metric: metrics::counter!("teaselline_peer_wire_sent_bytes_total"),
            received_bytes_metric: metrics::counter!("teaselline_peer_wire_received_bytes_total"),
        }
    }

    /// Reads from the peer's frames which streams it says it has not read.
    pub(super) fn reading_goaway(mut self) -> Self {
        self.goaway = Some(GoAwayScan::default());
        self
    }

    fn count_received(&mut self, received: &[u8]) {
        let bytes = received.len() as u64;
        self.traffic.wire_received_bytes.fetch_add(bytes, Relaxed);
        self.received_bytes_metric.increment(bytes);
        let now_ms = self.liveness.now_ms().max(NEVER + 1);
        self.liveness.last_read_ms.store(now_ms, Relaxed);
        let goaway = self.goaway.as_mut();
        if let Some(last_stream) = goaway.and_then(|scan| scan.read(received)) {
            self.liveness.record_goaway(last_stream);
        }
    }

    fn count_sent(&self, written: &Poll<io::Result<usize>>) {
        if let Poll::Ready(Ok(bytes)) = written {
            let counter = &self.traffic.wire_sent_bytes;
            counter.fetch_add(*bytes as u64, Relaxed);
            self.sent_bytes_metric.increment(*bytes as u64);
        }
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for MeteredSocket<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let read = Pin::new(&mut self.socket).poll_read(cx, buf);
        let received = &buf.filled()[before..];
        if !received.is_empty() {
            self.count_received(received);
        }
        read
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for MeteredSocket<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.socket).poll_write(cx, buf);
        self.count_sent(&written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.socket).poll_write_vectored(cx, bufs);
        self.count_sent(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.socket.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_shutdown(cx)
    }
}

#[cfg(test)]
mod tests;
