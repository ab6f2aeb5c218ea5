//! Counts of what nodes say to each other.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

use metrics::Counter;
use parking_lot::RwLock;

/// Counts over all connections of a node.
///
/// A recorder for `metrics` must be installed before the first message of a kind.
#[derive(Debug, Default)]
pub struct Traffic {
    /// Bytes written to sockets, with HTTP/2's own.
    pub wire_sent_bytes: AtomicU64,
    /// Bytes read from sockets, with HTTP/2's own.
    pub wire_received_bytes: AtomicU64,
    /// Connections made or accepted.
    pub connections: AtomicU64,
    kinds: RwLock<Vec<Arc<KindTraffic>>>,
}

/// Counts of one kind of request, its replies and items.
#[derive(Debug)]
pub struct KindTraffic {
    /// The kind, as the protocol names it.
    pub kind: &'static str,
    /// Messages sent.
    pub sent_messages: AtomicU64,
    /// Messages received.
    pub received_messages: AtomicU64,
    /// Bytes of messages sent.
    pub sent_bytes: AtomicU64,
    /// Bytes of messages received.
    pub received_bytes: AtomicU64,
    sent_metric: Counter,
    received_metric: Counter,
}

impl Traffic {
    /// The counts of one kind.
    pub fn kind(&self, kind: &'static str) -> Arc<KindTraffic> {
        let find = |kinds: &[Arc<KindTraffic>]| kinds.binary_search_by(|held| held.kind.cmp(kind));
        {
            let kinds = self.kinds.read();
            if let Ok(index) = find(&kinds) {
                return Arc::clone(&kinds[index]);
            }
        }
        let mut kinds = self.kinds.write();
        match find(&kinds) {
            Ok(index) => Arc::clone(&kinds[index]),
            Err(index) => {
                let new = Arc::new(KindTraffic::new(kind));
                kinds.insert(index, Arc::clone(&new));
                new
            }
        }
    }

    /// The counts of all kinds met so far, sorted by kind.
    #[must_use]
    pub fn kinds(&self) -> Vec<Arc<KindTraffic>> {
        self.kinds.read().clone()
    }
}

impl KindTraffic {
    fn new(kind: &'static str) -> Self {
        Self {
            kind,
            sent_messages: AtomicU64::new(0),
            received_messages: AtomicU64::new(0),
            sent_bytes: AtomicU64::new(0),
            received_bytes: AtomicU64::new(0),
            sent_metric: metrics::counter!("teaselline_peer_sent_bytes_total", "kind" => kind),
            received_metric: metrics::counter!(
                "teaselline_peer_received_bytes_total",
                "kind" => kind
            ),
        }
    }

    pub(super) fn sent(&self, messages: usize, bytes: usize) {
        self.sent_messages.fetch_add(messages as u64, Relaxed);
        self.sent_bytes.fetch_add(bytes as u64, Relaxed);
        self.sent_metric.increment(bytes as u64);
    }

    pub(super) fn received(&self, messages: usize, bytes: usize) {
        self.received_messages.fetch_add(messages as u64, Relaxed);
        self.received_bytes.fetch_add(bytes as u64, Relaxed);
        self.received_metric.increment(bytes as u64);
    }
}
