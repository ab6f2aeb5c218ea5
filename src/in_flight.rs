//! Counts requests in progress.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::Bytes;

/// Guard of a request in progress, which counts until it is dropped.
#[derive(Debug)]
pub(crate) struct InFlight {
    count: Arc<AtomicUsize>,
}

impl InFlight {
    /// Counts a request.
    pub fn new(count: &Arc<AtomicUsize>) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Self {
            count: Arc::clone(count),
        }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.count.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Returns bytes that hold `guard` until the last part of them is dropped, as when it is written to a socket.
pub(crate) fn holding<G: Send + 'static>(bytes: Bytes, guard: G) -> Bytes {
    Bytes::from_owner(HoldingBytes {
        bytes,
        _guard: guard,
    })
}

struct HoldingBytes<G> {
    bytes: Bytes,
    _guard: G,
}

impl<G> AsRef<[u8]> for HoldingBytes<G> {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
