//! One connection's sign of life: what it was last heard to say and who uses it.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{
    AtomicBool, AtomicU64, AtomicUsize,
    Ordering::{Relaxed, SeqCst},
};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use h2::{Ping, PingPong};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use super::keepalive::{Keepalive, Step};
use super::settings::Settings;
use super::traffic::Traffic;

/// The peer has not been heard yet; no later time is as small.
const NEVER: u64 = 0;

/// What the two sides of one connection share about it.
#[derive(Debug)]
pub(super) struct Life {
    start: Instant,
    /// When the peer was last heard; [`NEVER`] if it was not.
    heard_ms: AtomicU64,
    uses: AtomicUsize,
    ask_now: AtomicBool,
    silent: AtomicBool,
    changed: Notify,
    answered: Notify,
    closed: CancellationToken,
}

/// Holds a connection in use; its peer's silence counts meanwhile.
#[derive(Debug)]
pub(super) struct Use {
    life: Arc<Life>,
}

impl Life {
    pub(super) fn new() -> Arc<Self> {
        Arc::new(Self {
            start: Instant::now(),
            heard_ms: AtomicU64::new(NEVER),
            uses: AtomicUsize::new(0),
            ask_now: AtomicBool::new(false),
            silent: AtomicBool::new(false),
            changed: Notify::new(),
            answered: Notify::new(),
            closed: CancellationToken::new(),
        })
    }

    /// Marks the connection as used until the returned value is dropped.
    pub(super) fn take(self: &Arc<Self>) -> Use {
        if self.uses.fetch_add(1, SeqCst) == 0 {
            self.changed.notify_one();
        }
        Use {
            life: Arc::clone(self),
        }
    }

    pub(super) fn close(&self) {
        self.closed.cancel();
    }

    pub(super) fn is_closed(&self) -> bool {
        self.closed.is_cancelled()
    }

    pub(super) async fn closed(&self) {
        self.closed.cancelled().await;
    }

    /// Whether the connection was given up because the peer went silent.
    pub(super) fn is_silent(&self) -> bool {
        self.silent.load(SeqCst)
    }

    /// Waits until the peer has shown that it is alive, unless it was heard lately anyway.
    ///
    /// A request on a connection whose peer died unnoticed would be lost with an unknown outcome.
    /// Asking first turns that into a request that was not sent. The same goes for a new connection:
    /// the system of a paused peer accepts it, but nobody there reads it.
    pub(super) async fn prove(&self, trusted_idle_ms: u64, timeout_ms: u64) -> bool {
        let heard_ms = self.heard_ms.load(Relaxed);
        if heard_ms != NEVER && self.now_ms() <= heard_ms + trusted_idle_ms {
            return !self.is_closed();
        }
        let answered = self.answered.notified();
        tokio::pin!(answered);
        answered.as_mut().enable();
        self.ask_now.store(true, SeqCst);
        self.changed.notify_one();
        tokio::select! {
            () = answered => true,
            () = self.closed() => false,
            () = tokio::time::sleep(Duration::from_millis(timeout_ms)) => false,
        }
    }

    /// Watches the peer and returns when the connection should be closed.
    pub(super) async fn watch(&self, mut ping_pong: PingPong, settings: &Settings) {
        let mut keepalive = Keepalive::new(settings.silence_timeout_ms);
        let mut asked = false;
        loop {
            let used = self.uses.load(SeqCst) > 0;
            let heard_ms = self.heard_ms.load(Relaxed);
            let step = keepalive.step(self.now_ms(), heard_ms, used);
            let (ask, wait_ms) = match step {
                Step::Idle => (false, settings.idle_timeout_ms),
                Step::Wait(wait_ms) => (false, wait_ms),
                Step::Ask(wait_ms) => (true, wait_ms),
                Step::GiveUp => {
                    self.silent.store(true, SeqCst);
                    return;
                }
            };
            if ask | self.ask_now.swap(false, SeqCst) {
                // While an earlier ping is unanswered the library sends no second one, and the
                // answer to the earlier one serves as well.
                asked |= ping_pong.send_ping(Ping::opaque()).is_ok();
            }
            tokio::select! {
                () = self.changed.notified() => {}
                pong = std::future::poll_fn(|cx| ping_pong.poll_pong(cx)), if asked => {
                    asked = false;
                    match pong {
                        Ok(_) => self.answered.notify_waiters(),
                        Err(_) => return,
                    }
                }
                () = tokio::time::sleep(Duration::from_millis(wait_ms)) => {
                    if step == Step::Idle && self.uses.load(SeqCst) == 0 {
                        return;
                    }
                }
            }
        }
    }

    fn now_ms(&self) -> u64 {
        u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX)
    }
}

impl Drop for Use {
    fn drop(&mut self) {
        if self.life.uses.fetch_sub(1, SeqCst) == 1 {
            self.life.changed.notify_one();
        }
    }
}

/// A socket that notes when it was last read and counts bytes.
#[derive(Debug)]
pub(super) struct Metered<T> {
    socket: T,
    life: Arc<Life>,
    traffic: Arc<Traffic>,
}

impl<T> Metered<T> {
    pub(super) fn new(socket: T, life: Arc<Life>, traffic: Arc<Traffic>) -> Self {
        traffic.connections.fetch_add(1, Relaxed);
        Self {
            socket,
            life,
            traffic,
        }
    }

    fn count_sent(&self, written: &Poll<io::Result<usize>>) {
        if let Poll::Ready(Ok(bytes)) = written {
            let counter = &self.traffic.wire_sent_bytes;
            counter.fetch_add(*bytes as u64, Relaxed);
        }
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for Metered<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let read = Pin::new(&mut self.socket).poll_read(cx, buf);
        let bytes = buf.filled().len() - before;
        if bytes > 0 {
            let counter = &self.traffic.wire_received_bytes;
            counter.fetch_add(bytes as u64, Relaxed);
            let now_ms = self.life.now_ms().max(NEVER + 1);
            self.life.heard_ms.store(now_ms, Relaxed);
        }
        read
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for Metered<T> {
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
