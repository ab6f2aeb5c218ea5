//! Counters of messages and bytes between nodes.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

use metrics::Counter;
use parking_lot::RwLock;

/// Counters over all connections of a node.
///
/// A recorder for `metrics` must be installed before the first message of a kind.
#[derive(Debug, Default)]
pub struct Traffic {
    /// Bytes written to sockets, including the HTTP/2 overhead.
    pub wire_sent_bytes: AtomicU64,
    /// Bytes read from sockets, including the HTTP/2 overhead.
    pub wire_received_bytes: AtomicU64,
    /// Number of connections opened or accepted.
    pub connections: AtomicU64,
    kinds: RwLock<Vec<Arc<KindTraffic>>>,
}

/// Counters of one kind of request, its replies and items.
#[derive(Debug)]
pub struct KindTraffic {
    /// The name that [`Protocol::kind`](super::Protocol::kind) returns.
    pub kind: &'static str,
    /// Number of messages sent.
    pub sent_messages: AtomicU64,
    /// Number of messages received.
    pub received_messages: AtomicU64,
    /// Encoded bytes of messages sent.
    pub sent_bytes: AtomicU64,
    /// Encoded bytes of messages received.
    pub received_bytes: AtomicU64,
    sent_messages_metric: Counter,
    sent_bytes_metric: Counter,
    received_bytes_metric: Counter,
}

impl Traffic {
    /// Returns the counters of one kind, creating them on first use.
    pub fn kind(&self, kind: &'static str) -> Arc<KindTraffic> {
        let find =
            |kinds: &[Arc<KindTraffic>]| kinds.binary_search_by(|existing| existing.kind.cmp(kind));
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

    /// Returns the counters of all kinds used so far, sorted by kind.
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
            sent_messages_metric: metrics::counter!(
                "teaselline_peer_sent_messages_total",
                "kind" => kind
            ),
            sent_bytes_metric: metrics::counter!("teaselline_peer_sent_bytes_total", "kind" => kind),
            received_bytes_metric: metrics::counter!(
                "teaselline_peer_received_bytes_total",
                "kind" => kind
            ),
        }
    }

    pub(super) fn record_sent(&self, messages: usize, bytes: usize) {
        self.sent_messages.fetch_add(messages as u64, Relaxed);
        self.sent_bytes.fetch_add(bytes as u64, Relaxed);
        self.sent_messages_metric.increment(messages as u64);
        self.sent_bytes_metric.increment(bytes as u64);
    }

    pub(super) fn record_received(&self, messages: usize, bytes: usize) {
        self.received_messages.fetch_add(messages as u64, Relaxed);
        self.received_bytes.fetch_add(bytes as u64, Relaxed);
        self.received_bytes_metric.increment(bytes as u64);
    }
}
