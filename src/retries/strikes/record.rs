//! Strike records as nodes exchange them.

use std::fmt;

use bincode::{Decode, Encode};

use crate::keys::{DomainKey, HostKey};
use crate::time::TimeMs;

/// Identifies the content of a request: its model and prompt.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct Fingerprint(pub u64);

impl Fingerprint {
    /// Returns the fingerprint of a request.
    ///
    /// `fleet_seed` is derived from the fleet's key. Without it, a caller could search for a prompt
    /// with the fingerprint of another caller's prompt and get that one refused.
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

/// The loss of a host without notice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct HostLoss {
    /// The host.
    pub host: HostKey,
    /// The failure domain of the host.
    pub domain: DomainKey,
    /// When the loss was detected.
    pub at_ms: TimeMs,
}

/// The losses recorded for one fingerprint.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct StrikeRecord {
    /// The content of the request.
    pub fingerprint: Fingerprint,
    /// Hosts lost while the request ran on them, sorted by host and time.
    pub losses: Vec<HostLoss>,
    /// Losses up to this time do not count: the request has run past their point elsewhere.
    pub cleared_until_ms: TimeMs,
}

/// A strike report that nodes exchange.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct StrikeReport {
    /// Records that are new or have changed.
    pub records: Vec<StrikeRecord>,
    /// Host losses, to detect a common cause.
    pub losses: Vec<HostLoss>,
    /// Hosts whose leave was announced; losses up to the given time are covered.
    pub announced_leaves: Vec<(HostKey, TimeMs)>,
}

impl StrikeReport {
    /// Returns whether the report is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty() && self.losses.is_empty() && self.announced_leaves.is_empty()
    }
}
