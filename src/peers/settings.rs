//! Limits and timeouts of connections between nodes.

/// Limits and timeouts of connections between nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Timeout for connecting, including the HTTP/2 handshake.
    pub connect_timeout_ms: u64,
    /// Silence of a peer after which its connection takes no further request while streams are open.
    pub silence_timeout_ms: u64,
    /// Silence of a peer after which the open streams of its connection end; at least
    /// `silence_timeout_ms`.
    pub loss_timeout_ms: u64,
    /// Silence of a connection after which it is verified by a ping before a request is sent.
    pub verify_after_idle_ms: u64,
    /// Time without streams after which a connection is closed.
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

    /// Returns the settings for an accepted connection, which takes requests for as long as it is open.
    pub(super) fn for_accepted(self) -> Self {
        Self {
            silence_timeout_ms: self.loss_timeout_ms,
            ..self
        }
    }
}
