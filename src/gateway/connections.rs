//! Pools connections to upstreams: opens them, keeps idle ones, and reuses them.

use std::net::SocketAddr;
use std::time::Duration;

use parking_lot::Mutex;
use thiserror::Error;
use tokio::net::TcpStream;

use super::clock;
use super::upstreams::UpstreamKey;
use crate::head_limit::{self, HeadLimitedSender};
use crate::time::TimeMs;

/// Timeout of a new connection. The network delay is a few milliseconds one way and the handshake
/// takes one; an upstream that has not answered by then is unreachable or refuses connections.
const CONNECT_TIMEOUT_MS: u64 = 400;

/// Time for which a new connection has to stay open to show that its upstream runs.
const ACCEPTED_FOR: Duration = Duration::from_millis(50);

/// Idle time of a connection whose upstream states no idle timeout.
const DEFAULT_IDLE_MS: u64 = 3_000;

/// Margin before the upstream's idle timeout at which a connection is closed, so that no request is
/// sent while the upstream closes it.
const IDLE_MARGIN_MS: u64 = 700;

/// Longest idle time of a connection reused for a request that may run only once: if the upstream
/// has reset the connection in the meantime, it is unknown whether the request ran.
const MAX_ONCE_IDLE_MS: u64 = 1_500;

/// Idle connections kept to one upstream.
const MAX_IDLE_PER_UPSTREAM: usize = 24;

/// Reason that no connection could be opened; no request was sent.
#[derive(Debug, Error)]
pub(crate) enum ConnectError {
    #[error("could not connect to the upstream")]
    Refused(#[source] std::io::Error),
    #[error("no connection was established within {timeout_ms} ms")]
    Timeout { timeout_ms: u64 },
    #[error("the HTTP handshake failed")]
    Handshake(#[source] hyper::Error),
}

/// A connection that carries one request at a time.
#[derive(Debug)]
pub(crate) struct Connection {
    pub sender: HeadLimitedSender,
    /// Whether the connection has carried a request before.
    pub is_reused: bool,
    /// Its idle time, if it was kept idle and has carried no request since.
    idle: Option<IdleTime>,
}

/// The time for which a connection is idle, as its upstream counts it too.
#[derive(Clone, Copy, Debug)]
struct IdleTime {
    since: TimeMs,
    expires_at: TimeMs,
}

#[derive(Debug)]
struct IdleConnection {
    sender: HeadLimitedSender,
    time: IdleTime,
}

/// Idle connections by upstream.
#[derive(Debug, Default)]
pub(crate) struct ConnectionPool {
    /// Sorted by upstream; each list is in order of use, the most recent last.
    idle: Mutex<Vec<(UpstreamKey, Vec<IdleConnection>)>>,
}

impl ConnectionPool {
    /// Returns a connection to an upstream: an idle one, or a new one.
    ///
    /// # Errors
    ///
    /// Fails if no idle connection is available and no new one can be opened.
    pub async fn open(
        &self,
        upstream: UpstreamKey,
        address: SocketAddr,
        may_repeat: bool,
        now: TimeMs,
    ) -> Result<Connection, ConnectError> {
        match self.take_idle(upstream, may_repeat, now) {
            Some(channel) => Ok(channel),
            None => connect(address).await,
        }
    }

    fn take_idle(
        &self,
        upstream: UpstreamKey,
        may_repeat: bool,
        now: TimeMs,
    ) -> Option<Connection> {
        let mut idle = self.idle.lock();
        let index = idle
            .binary_search_by_key(&upstream, |(key, _kept)| *key)
            .ok()?;
        let kept = &mut idle[index].1;
        kept.retain(|idle| !idle.sender.is_closed() && now < idle.time.expires_at);
        let newest = kept.iter().rposition(|idle| {
            idle.sender.is_ready() && (may_repeat || now.since(idle.time.since) < MAX_ONCE_IDLE_MS)
        })?;
        let IdleConnection { sender, time } = kept.remove(newest);
        Some(Connection {
            sender,
            is_reused: true,
            idle: Some(time),
        })
    }

    /// Returns a connection that was opened and has carried no request to the pool.
    ///
    /// Its upstream has counted its idle time on.
    pub fn put_back(&self, upstream: UpstreamKey, connection: Connection, now: TimeMs) {
        let time = connection.idle.unwrap_or_else(|| idle_time(None, now));
        self.keep_until(upstream, connection.sender, time);
    }

    /// Whether an idle connection to an upstream is open.
    pub fn has_idle(&self, upstream: UpstreamKey, now: TimeMs) -> bool {
        let idle = self.idle.lock();
        let found = idle.binary_search_by_key(&upstream, |(key, _kept)| *key);
        found.is_ok_and(|index| {
            let kept = &idle[index].1;
            kept.iter()
                .any(|idle| idle.sender.is_ready() && now < idle.time.expires_at)
        })
    }

    /// Opens a connection to an upstream and keeps it for reuse.
    ///
    /// # Errors
    ///
    /// Fails if no connection can be opened.
    pub async fn open_idle(
        &self,
        upstream: UpstreamKey,
        address: SocketAddr,
    ) -> Result<(), ConnectError> {
        let Connection { sender, .. } = connect(address).await?;
        self.keep(upstream, sender, None, clock::now());
        Ok(())
    }

    /// Returns whether an upstream accepts a connection and leaves it open for a while; the connection
    /// is kept for reuse.
    ///
    /// A proxy before an upstream accepts a connection and closes it once the upstream does not.
    pub async fn accepts(&self, upstream: UpstreamKey, address: SocketAddr) -> bool {
        let Ok(Connection { sender, .. }) = connect(address).await else {
            return false;
        };
        tokio::time::sleep(ACCEPTED_FOR).await;
        let is_open = !sender.is_closed();
        if is_open {
            self.keep(upstream, sender, None, clock::now());
        }
        is_open
    }

    /// Returns a connection to the pool after its response has been read to the end.
    pub fn keep(
        &self,
        upstream: UpstreamKey,
        sender: HeadLimitedSender,
        idle_timeout_ms: Option<u64>,
        now: TimeMs,
    ) {
        self.keep_until(upstream, sender, idle_time(idle_timeout_ms, now));
    }

    fn keep_until(&self, upstream: UpstreamKey, sender: HeadLimitedSender, time: IdleTime) {
        let mut idle = self.idle.lock();
        let found = idle.binary_search_by_key(&upstream, |(key, _kept)| *key);
        let index = found.unwrap_or_else(|index| {
            idle.insert(index, (upstream, Vec::new()));
            index
        });
        let kept = &mut idle[index].1;
        if kept.len() >= MAX_IDLE_PER_UPSTREAM {
            kept.remove(0);
        }
        kept.push(IdleConnection { sender, time });
    }

    /// Closes the idle connections to these upstreams.
    pub fn close_idle_to(&self, is_closed: impl Fn(UpstreamKey) -> bool) {
        self.idle.lock().retain(|(key, _kept)| !is_closed(*key));
    }

    /// Closes connections that exceeded their idle time, and those to upstreams that `is_known`
    /// rejects.
    pub fn close_idle(&self, is_known: impl Fn(UpstreamKey) -> bool, now: TimeMs) {
        let mut idle = self.idle.lock();
        for (_key, kept) in idle.iter_mut() {
            kept.retain(|idle| !idle.sender.is_closed() && now < idle.time.expires_at);
        }
        idle.retain(|(key, kept)| !kept.is_empty() && is_known(*key));
    }
}

/// Returns the idle time of a connection whose response was read to its end at `now`.
fn idle_time(idle_timeout_ms: Option<u64>, now: TimeMs) -> IdleTime {
    let keep_ms = match idle_timeout_ms {
        Some(timeout_ms) => timeout_ms.saturating_sub(IDLE_MARGIN_MS),
        None => DEFAULT_IDLE_MS,
    };
    IdleTime {
        since: now,
        expires_at: now.after(keep_ms),
    }
}

async fn connect(address: SocketAddr) -> Result<Connection, ConnectError> {
    let timeout = Duration::from_millis(CONNECT_TIMEOUT_MS);
    let socket = match tokio::time::timeout(timeout, TcpStream::connect(address)).await {
        Ok(Ok(socket)) => socket,
        Ok(Err(error)) => return Err(ConnectError::Refused(error)),
        Err(_elapsed) => {
            return Err(ConnectError::Timeout {
                timeout_ms: CONNECT_TIMEOUT_MS,
            });
        }
    };
    if let Err(error) = socket.set_nodelay(true) {
        log::debug!(error:err = error; "could not set TCP_NODELAY; small writes may be delayed");
    }
    let handshake = head_limit::handshake(socket).await;
    let (sender, connection) = handshake.map_err(ConnectError::Handshake)?;
    tokio::spawn(async move {
        if let Err(error) = connection.await {
            log::debug!(error:err = error; "a connection to an upstream ended with an error");
        }
    });
    Ok(Connection {
        sender,
        is_reused: false,
        idle: None,
    })
}

#[cfg(test)]
mod tests;
