//! Bounds and times of connections between nodes.

/// Bounds and times of connections between nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// How long connecting and setting up may take.
    pub connect_timeout_ms: u64,
    /// A peer that is silent for so long while streams are open is given up.
    pub silence_timeout_ms: u64,
    /// A connection that has been silent for longer proves that it is alive before it is used.
    pub trusted_idle_ms: u64,
    /// A connection without streams is closed after this.
    pub idle_timeout_ms: u64,
    /// Streams open at once to one peer, and from all peers.
    pub max_streams: u32,
    /// Connections accepted at once.
    pub max_connections: u32,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            connect_timeout_ms: 1_000,
            silence_timeout_ms: 2_000,
            trusted_idle_ms: 500,
            idle_timeout_ms: 60_000,
            max_streams: 16_384,
            max_connections: 1_024,
        }
    }
}

impl Settings {
    /// Sets how long connecting and setting up may take.
    #[must_use]
    pub fn with_connect_timeout_ms(mut self, connect_timeout_ms: u64) -> Self {
        self.connect_timeout_ms = connect_timeout_ms;
        self
    }

    /// Sets after how much silence a peer with open streams is given up.
    #[must_use]
    pub fn with_silence_timeout_ms(mut self, silence_timeout_ms: u64) -> Self {
        self.silence_timeout_ms = silence_timeout_ms;
        self
    }

    /// Sets how many streams may be open at once.
    #[must_use]
    pub fn with_max_streams(mut self, max_streams: u32) -> Self {
        self.max_streams = max_streams;
        self
    }
}
