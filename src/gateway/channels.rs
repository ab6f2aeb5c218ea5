//! Channels to upstreams: opened, kept while idle, and handed out again.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use thiserror::Error;
use tokio::net::TcpStream;

use super::upstreams::UpstreamKey;
use crate::time::TimeMs;

/// Time for a new channel. One way takes a few milliseconds at most and the handshake one; an
/// upstream that does not answer by then is dark or turns channels away.
const CONNECT_TIMEOUT_MS: u64 = 400;

/// How long a channel is kept whose upstream does not say when it closes idle ones.
const UNSTATED_IDLE_MS: u64 = 3_000;

/// A channel is given up this long before its upstream would close it, so that no request crosses
/// the close on the way.
const IDLE_MARGIN_MS: u64 = 700;

/// A request that may run only once takes a kept channel only if it was in use this recently: a
/// channel that has been reset in the meantime would leave it unknown whether the request ran.
const RECENT_MS: u64 = 1_500;

/// Idle channels kept to one upstream.
const KEPT_TO_ONE: usize = 24;

/// Why no channel could be opened; nothing was sent.
#[derive(Debug, Error)]
pub(crate) enum OpenError {
    #[error("the upstream does not accept channels")]
    Refused(#[source] std::io::Error),
    #[error("no channel was opened within {timeout_ms} ms")]
    Timeout { timeout_ms: u64 },
    #[error("the channel failed at its start")]
    Handshake(#[source] hyper::Error),
}

/// A channel that carries one request at a time.
#[derive(Debug)]
pub(crate) struct Channel {
    pub sender: SendRequest<Full<Bytes>>,
    /// Whether it has carried a request before.
    pub is_reused: bool,
}

#[derive(Debug)]
struct Idle {
    channel: Channel,
    since: TimeMs,
    until: TimeMs,
}

/// Idle channels by upstream.
#[derive(Debug, Default)]
pub(crate) struct Channels {
    /// Sorted by upstream; each list holds the most recently used last.
    idle: Mutex<Vec<(UpstreamKey, Vec<Idle>)>>,
}

impl Channels {
    /// A channel to an upstream: a kept one, or a new one.
    ///
    /// # Errors
    ///
    /// If none is kept and none can be opened.
    pub async fn open(
        &self,
        upstream: UpstreamKey,
        address: SocketAddr,
        may_repeat: bool,
        now: TimeMs,
    ) -> Result<Channel, OpenError> {
        match self.take(upstream, may_repeat, now) {
            Some(channel) => Ok(channel),
            None => connect(address).await,
        }
    }

    fn take(&self, upstream: UpstreamKey, may_repeat: bool, now: TimeMs) -> Option<Channel> {
        let mut idle = self.idle.lock();
        let place = idle
            .binary_search_by_key(&upstream, |(key, _kept)| *key)
            .ok()?;
        let kept = &mut idle[place].1;
        kept.retain(|idle| !idle.channel.sender.is_closed() && now < idle.until);
        let newest = kept.iter().rposition(|idle| {
            idle.channel.sender.is_ready() && (may_repeat || now.since(idle.since) < RECENT_MS)
        })?;
        Some(kept.remove(newest).channel)
    }

    /// Keeps a channel whose answer has been read to its end.
    pub fn keep(
        &self,
        upstream: UpstreamKey,
        sender: SendRequest<Full<Bytes>>,
        idle_timeout_ms: Option<u64>,
        now: TimeMs,
    ) {
        let keep_ms = match idle_timeout_ms {
            Some(timeout_ms) => timeout_ms.saturating_sub(IDLE_MARGIN_MS),
            None => UNSTATED_IDLE_MS,
        };
        let mut idle = self.idle.lock();
        let found = idle.binary_search_by_key(&upstream, |(key, _kept)| *key);
        let place = found.unwrap_or_else(|place| {
            idle.insert(place, (upstream, Vec::new()));
            place
        });
        let kept = &mut idle[place].1;
        if kept.len() >= KEPT_TO_ONE {
            kept.remove(0);
        }
        kept.push(Idle {
            channel: Channel {
                sender,
                is_reused: true,
            },
            since: now,
            until: now.after(keep_ms),
        });
    }

    /// Closes channels that have been idle for too long, and those to other upstreams than these.
    pub fn close_idle(&self, is_known: impl Fn(UpstreamKey) -> bool, now: TimeMs) {
        let mut idle = self.idle.lock();
        for (_key, kept) in idle.iter_mut() {
            kept.retain(|idle| !idle.channel.sender.is_closed() && now < idle.until);
        }
        idle.retain(|(key, kept)| !kept.is_empty() && is_known(*key));
    }
}

async fn connect(address: SocketAddr) -> Result<Channel, OpenError> {
    let timeout = Duration::from_millis(CONNECT_TIMEOUT_MS);
    let socket = match tokio::time::timeout(timeout, TcpStream::connect(address)).await {
        Ok(Ok(socket)) => socket,
        Ok(Err(error)) => return Err(OpenError::Refused(error)),
        Err(_elapsed) => {
            return Err(OpenError::Timeout {
                timeout_ms: CONNECT_TIMEOUT_MS,
            });
        }
    };
    if let Err(error) = socket.set_nodelay(true) {
        log::debug!(error:err = error; "a socket keeps its delay");
    }
    let handshake = http1::handshake(TokioIo::new(socket)).await;
    let (sender, connection) = handshake.map_err(OpenError::Handshake)?;
    tokio::spawn(async move {
        if let Err(error) = connection.await {
            log::debug!(error:err = error; "a channel to an upstream ended");
        }
    });
    Ok(Channel {
        sender,
        is_reused: false,
    })
}
