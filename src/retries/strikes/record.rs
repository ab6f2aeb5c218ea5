//! What is held against requests, as nodes tell each other.

use std::fmt;

use bincode::{Decode, Encode};

use crate::keys::{DomainKey, HostKey};
use crate::time::TimeMs;

/// Names the content of a request: its model and prompt.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct Fingerprint(pub u64);

impl Fingerprint {
    /// The fingerprint of a request.
    ///
    /// `fleet_seed` comes from the fleet's key. Without it a caller could search for a prompt that
    /// has the fingerprint of another caller's and get that one refused.
    #[must_use]
    pub fn of(fleet_seed: u64, model: &str, prompt: &str) -> Self {
        let model = twox_hash::XxHash3_64::oneshot_with_seed(fleet_seed, model.as_bytes());
        let prompt = prompt.as_bytes();
        Self(twox_hash::XxHash3_64::oneshot_with_seed(model, prompt))
    }
}

impl fmt::Debug for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Fingerprint({:016x})", self.0)
    }
}

/// A host that died without notice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Death {
    /// The host.
    pub host: HostKey,
    /// Its failure domain.
    pub domain: DomainKey,
    /// When the death was noticed.
    pub at_ms: TimeMs,
}

/// What is held against one fingerprint.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct StrikeRecord {
    /// The request's content.
    pub fingerprint: Fingerprint,
    /// Deaths that it was present at, sorted by host and time.
    pub deaths: Vec<Death>,
    /// Deaths up to this time are forgiven: the request has run past them elsewhere.
    pub forgiven_ms: TimeMs,
}

/// What nodes tell each other about strikes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct StrikeReport {
    /// Records that are new or have changed.
    pub records: Vec<StrikeRecord>,
    /// Deaths of hosts, for recognising a common cause.
    pub deaths: Vec<Death>,
    /// Hosts whose death turned out to have been announced, and until when.
    pub announced: Vec<(HostKey, TimeMs)>,
}

impl StrikeReport {
    /// Whether there is nothing to tell.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty() && self.deaths.is_empty() && self.announced.is_empty()
    }
}
