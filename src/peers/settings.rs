//! Limits and timeouts of connections between nodes.

/// Idle time of an accepted connection in units of the asking side's, which knows when it sends and
/// ends its connections first.
const ACCEPTED_IDLE_FACTOR: u64 = 2;

/// Limits and timeouts of connections between nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Timeout for connecting, including the HTTP/2 handshake.
    pub connect_timeout_ms: u64,
    /// Silence of a peer after which its connection takes no further request while streams are open.
    pub silence_timeout_ms: u64,
    /// Silence of a peer after which the open streams of its connection end, once the deadline of
    /// each has passed; at least `silence_timeout_ms`.
    pub loss_timeout_ms: u64,
    /// Silence of a connection after which it is verified by a ping before a request is sent.
    pub verify_after_idle_ms: u64,
    /// Time without streams after which the asking side closes a connection.
    pub idle_timeout_ms: u64,
    /// Maximum number of concurrent streams to one peer and, separately, from all peers.
    pub max_streams: u32,
    /// Maximum number of accepted connections.
    pub max_connections: u32,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            connect_timeout_ms: 1_000,
            silence_timeout_ms: 2_000,
            loss_timeout_ms: 2_000,
            verify_after_idle_ms: 500,
            idle_timeout_ms: 60_000,
            max_streams: 16_384,
            max_connections: 1_024,
        }
    }
}

impl Settings {
    /// Sets the timeout for connecting.
    #[must_use]
    pub fn with_connect_timeout_ms(mut self, connect_timeout_ms: u64) -> Self {
        self.connect_timeout_ms = connect_timeout_ms;
        self
    }

    /// Sets both timeouts of silence: a connection with open streams is closed after it.
    #[must_use]
    pub fn with_silence_timeout_ms(mut self, silence_timeout_ms: u64) -> Self {
        self.silence_timeout_ms = silence_timeout_ms;
        self.loss_timeout_ms = silence_timeout_ms;
        self
    }

    /// Sets the silence after which open streams end, for protocols whose requests have deadlines.
    #[must_use]
    pub fn with_loss_timeout_ms(mut self, loss_timeout_ms: u64) -> Self {
        self.loss_timeout_ms = loss_timeout_ms.max(self.silence_timeout_ms);
        self
    }

    /// Sets the maximum number of concurrent streams.
    #[must_use]
    pub fn with_max_streams(mut self, max_streams: u32) -> Self {
        self.max_streams = max_streams;
        self
    }

    /// Returns the timeouts of the asking side of a connection.
    pub(super) fn asking(&self) -> MonitorTimeouts {
        MonitorTimeouts {
            silence_timeout_ms: self.silence_timeout_ms,
            loss_timeout_ms: self.loss_timeout_ms,
            idle_timeout_ms: self.idle_timeout_ms,
            close_delay_ms: 0,
        }
    }

    /// Returns the timeouts of an accepted connection.
    ///
    /// It takes requests whatever its silence, and those that were sent before the peer has read
    /// that it ends.
    pub(super) fn accepted(&self) -> MonitorTimeouts {
        MonitorTimeouts {
            silence_timeout_ms: self.loss_timeout_ms,
            loss_timeout_ms: self.loss_timeout_ms,
            idle_timeout_ms: self.idle_timeout_ms.saturating_mul(ACCEPTED_IDLE_FACTOR),
            close_delay_ms: self.loss_timeout_ms,
        }
    }
}

/// The timeouts after which one side of a connection acts.
#[derive(Clone, Copy, Debug)]
#[expect(
    clippy::struct_field_names,
    reason = "fields carry their unit as a suffix"
)]
pub(super) struct MonitorTimeouts {
    pub silence_timeout_ms: u64,
    pub loss_timeout_ms: u64,
    /// Time without streams after which the connection takes no further request.
    pub idle_timeout_ms: u64,
    /// Time without streams for which it stays open then.
    pub close_delay_ms: u64,
}
