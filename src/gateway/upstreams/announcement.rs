//! What upstreams announce about themselves in the store, and which of two announcements counts.

use std::net::SocketAddr;

use bincode::{Decode, Encode};

use super::tag;

/// Whether an upstream accepts new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub(crate) enum Phase {
    Ready,
    /// The upstream finishes its running requests and then stops.
    Leaving,
}

/// The announcement that an upstream wrote about itself to the store.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub(crate) struct Announcement {
    /// The same for several starts of an upstream; see [`Announcement::born_ms`].
    pub id: String,
    /// Start time in Unix milliseconds; `None` where upstreams get a new id at each start.
    pub born_ms: Option<u64>,
    /// Number of announcements written since the start.
    pub sequence: u64,
    pub pool: String,
    /// Software version; empty if not announced.
    pub version: String,
    pub address: SocketAddr,
    pub failure_domain: String,
    /// Requests that the upstream runs concurrently.
    pub slots: u32,
    pub phase: Phase,
    /// Whether the upstream is still warming up after its start and therefore slower.
    pub is_warming: bool,
    /// Whether the platform may reclaim the host.
    pub is_reclaimable: bool,
    /// Remaining time when the upstream announced that it leaves, if known.
    pub leaves_in_ms: Option<u64>,
}

/// How an announcement relates to the known one with the same id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Recency {
    /// A later announcement of the same start.
    Newer,
    /// An announcement of another start, which has lost all state of the known one.
    Restarted,
    /// An announcement of an earlier start, or an earlier one of the same start, that arrived late.
    Stale,
}

impl Announcement {
    /// Whether another announcement is equal but for its sequence number.
    pub fn equals_ignoring_sequence(&self, other: &Self) -> bool {
        let renumbered = Self {
            sequence: other.sequence,
            ..self.clone()
        };
        renumbered == *other
    }

    /// Returns a hash that identifies this start of the upstream among nodes.
    pub fn tag(&self) -> u64 {
        match self.born_ms {
            Some(born_ms) => tag(&format!("{}@{born_ms}", self.id)),
            None => tag(&self.id),
        }
    }

    /// Orders a received announcement relative to this one.
    ///
    /// `is_removed` states whether this announcement has been removed from the store.
    pub(super) fn recency(&self, next: &Self, is_removed: bool) -> Recency {
        match (self.born_ms, next.born_ms) {
            (Some(known_ms), Some(born_ms)) if born_ms < known_ms => Recency::Stale,
            (known_ms, born_ms) if known_ms != born_ms => Recency::Restarted,
            // A start keeps its version. An announcement that names another one comes from a later
            // start; streams that the known start began must not go on there.
            _ if next.sequence >= self.sequence && self.version != next.version => {
                Recency::Restarted
            }
            _ if next.sequence >= self.sequence => Recency::Newer,
            // Without a start time, only a sequence number that begins again indicates a restart.
            (None, _) if is_removed => Recency::Restarted,
            _ => Recency::Stale,
        }
    }
}

/// A change of an announcement in the store.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub(crate) enum Change {
    /// The upstream is present with this announcement.
    Present(Announcement),
    /// The announcement was removed.
    Removed {
        /// The id of the upstream.
        id: String,
    },
    /// The announcement was overwritten with a record that describes no upstream.
    Unreadable {
        /// The id of the upstream.
        id: String,
    },
}

impl Change {
    /// Returns the id of the changed upstream.
    pub fn id(&self) -> &str {
        match self {
            Self::Present(announced) => &announced.id,
            Self::Removed { id } | Self::Unreadable { id } => id,
        }
    }
}
