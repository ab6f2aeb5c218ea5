//! Opens the connection to a peer, verifies that it is alive, and replaces one that is not.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::net::TcpStream;

use super::{Connection, Connections, MAX_CONNECTIONS_TRIED, Slot};
use crate::peers::Protocol;
use crate::peers::error::NotSent;
use crate::peers::liveness::{Liveness, MeteredSocket, UseGuard};
use crate::peers::settings::Settings;

/// Flow-control window of one stream towards this node.
const STREAM_WINDOW_BYTES: u32 = 64 * 1024;

/// Flow-control window of a whole connection towards this node.
///
/// Unread bytes of slowly read streams fill this window, and once it is full all streams of the
/// connection stall. It therefore holds the stream windows of a thousand slow streams.
const CONNECTION_WINDOW_BYTES: u32 = 64 * 1024 * 1024;

/// Overhead of small unread frames above which `h2` closes a connection.
///
/// Tokens arrive in small frames. With a lower limit, slow readers would exceed it, and all streams
/// of the peer would fail at once.
const MAX_SMALL_FRAME_OVERHEAD_BYTES: usize = 256 * 1024 * 1024;

impl<P: Protocol> Connections<P> {
    /// Returns a connection verified to be alive; one that is not is replaced once.
    pub(super) async fn verified_connection(
        &self,
        slot: &Slot,
    ) -> Result<(Connection, UseGuard), NotSent> {
        let Settings {
            verify_after_idle_ms,
            connect_timeout_ms,
            ..
        } = self.settings;
        let mut failure = NotSent::Closing;
        for _ in 0..MAX_CONNECTIONS_TRIED {
            let connection = self.connection(slot).await?;
            let Some(use_guard) = connection.liveness.acquire_for_request() else {
                continue;
            };
            if connection
                .liveness
                .verify(verify_after_idle_ms, connect_timeout_ms)
                .await
            {
                return Ok((connection, use_guard));
            }
            if connection.liveness.is_closed() && !connection.liveness.is_silent() {
                failure = NotSent::Closing;
            } else {
                failure = NotSent::Unresponsive;
            }
            connection.liveness.retire();
        }
        Err(failure)
    }

    async fn connection(&self, slot: &Slot) -> Result<Connection, NotSent> {
        let started_at = Instant::now();
        if let Some(connection) = slot.open_connection() {
            return Ok(connection);
        }
        let mut last_failure = slot.connecting.lock().await;
        if let Some(connection) = slot.open_connection() {
            return Ok(connection);
        }
        match &*last_failure {
            // Another call failed to connect while this one waited for the lock. If each waiting
            // call retried, calls to an unreachable peer would each wait for the connect timeouts
            // of all calls before them.
            Some((at, error)) if *at >= started_at => return Err(error.clone()),
            _ => {}
        }
        match self.connect(slot.address).await {
            Ok(connection) => {
                *slot.connection.lock() = Some(connection.clone());
                Ok(connection)
            }
            Err(error) => {
                *last_failure = Some((Instant::now(), error.clone()));
                Err(error)
            }
        }
    }

    async fn connect(&self, address: SocketAddr) -> Result<Connection, NotSent> {
        let timeout_ms = self.settings.connect_timeout_ms;
        let connecting = self.connect_unbounded(address);
        match tokio::time::timeout(Duration::from_millis(timeout_ms), connecting).await {
            Ok(connected) => connected,
            Err(_) => Err(NotSent::ConnectTimedOut { timeout_ms }),
        }
    }

    async fn connect_unbounded(&self, address: SocketAddr) -> Result<Connection, NotSent> {
        let connect_error = |error: std::io::Error| NotSent::Connect(error.kind());
        let socket = TcpStream::connect(address).await.map_err(connect_error)?;
        socket.set_nodelay(true).map_err(connect_error)?;
        let liveness = Liveness::new();
        let metered_socket =
            MeteredSocket::new(socket, Arc::clone(&liveness), Arc::clone(&self.traffic))
                .reading_goaway();
        let mut builder = h2::client::Builder::new();
        builder
            .initial_window_size(STREAM_WINDOW_BYTES)
            .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
            .data_frame_budget(MAX_SMALL_FRAME_OVERHEAD_BYTES)
            // Counts what arrives for cancelled streams, over all of a connection's time, and then closes it with all
            // streams on it. Replies that come after their caller left are no error of the peer.
            .max_local_error_reset_streams(None)
            .initial_max_send_streams(self.settings.max_streams as usize)
            .enable_push(false);
        let (send_request, mut connection) = builder
            .handshake(metered_socket)
            .await
            .map_err(|error| NotSent::Handshake(Arc::new(error)))?;
        let ping_pong = connection
            .ping_pong()
            .expect("`ping_pong` is taken once per connection");
        let timeouts = self.settings.asking();
        let monitored = Arc::clone(&liveness);
        tokio::spawn(async move {
            let cause = tokio::select! {
                _ = connection => "ended",
                () = monitored.monitor(ping_pong, &timeouts) => monitored.end_cause(),
                () = monitored.closed() => "closed",
            };
            log_end(address, cause, &monitored);
            monitored.close();
        });
        Ok(Connection {
            send_request,
            liveness,
        })
    }
}

/// Logs the end of a connection while streams are open on it.
fn log_end(peer: SocketAddr, cause: &str, liveness: &Liveness) {
    let streams = liveness.uses();
    if streams > 0 {
        log::warn!(event = "peer_connection_ended", peer:% = peer, cause, streams; "a connection to a peer ended while streams were open on it");
    }
}
