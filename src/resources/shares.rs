//! How the memory and the descriptors of a host are divided: pure.

/// Descriptors that operators keep for files; sockets share the others.
const FILE_DESCRIPTORS: usize = 200;

/// Callers' requests hold at most this part of the memory.
const MEMORY_PER_REQUESTS: usize = 8;

/// Callers' connections hold at most this part of the memory beside their requests.
const MEMORY_PER_CONNECTIONS: usize = 8;

/// Long answers that callers have not read hold at most this part of the memory.
const MEMORY_PER_UNREAD_ANSWERS: usize = 8;

/// Memory of a connection without a request: its task, its buffers and what the system keeps of it.
const CONNECTION_BYTES: usize = 12 * 1024;

/// Callers' connections take three eighths of the sockets: a request that is served takes a further one to its
/// upstream, and peers, the store and the endpoints need some.
const CALLERS_SHARE: (usize, usize) = (3, 8);

/// Each endpoint takes this part of the sockets.
const ENDPOINTS_PER_SOCKETS: usize = 32;

/// Connections that are accepted whatever the host allows.
const MIN_CONNECTIONS: usize = 8;

/// What a host allows one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct HostLimits {
    pub memory_bytes: usize,
    pub max_descriptors: usize,
}

/// What the callers of one listener may hold together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct CallerShares {
    pub max_connections: usize,
    /// Bytes of requests, whole or in part, beyond those of their connections.
    pub max_bytes: usize,
}

impl HostLimits {
    /// Returns what the callers of the main listener may hold.
    pub fn callers(self) -> CallerShares {
        let (part, of) = CALLERS_SHARE;
        let by_descriptors = self.sockets() / of * part;
        let by_memory = self.memory_bytes / MEMORY_PER_CONNECTIONS / CONNECTION_BYTES;
        CallerShares {
            max_connections: by_descriptors.min(by_memory).max(MIN_CONNECTIONS),
            max_bytes: self.memory_bytes / MEMORY_PER_REQUESTS,
        }
    }

    /// Returns how many bytes long answers may hold that callers have not read.
    pub fn unread_answers_bytes(self) -> usize {
        self.memory_bytes / MEMORY_PER_UNREAD_ANSWERS
    }

    /// Returns what the callers of one endpoint beside the main listener may hold.
    pub fn endpoint(self) -> CallerShares {
        let max_connections = self.sockets() / ENDPOINTS_PER_SOCKETS;
        let max_connections = max_connections.max(MIN_CONNECTIONS);
        CallerShares {
            max_connections,
            max_bytes: max_connections * CONNECTION_BYTES,
        }
    }

    fn sockets(self) -> usize {
        self.max_descriptors.saturating_sub(FILE_DESCRIPTORS)
    }
}

#[cfg(test)]
mod tests;
