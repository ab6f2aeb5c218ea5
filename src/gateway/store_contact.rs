//! Tracks the availability of the store to this node, as seen in the node's own calls.

use bincode::{Decode, Encode};

use crate::time::TimeMs;

/// The availability of the store to a node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub(crate) enum StoreAvailability {
    /// The store answered recently.
    Answering,
    /// The store has not been called recently.
    #[default]
    NotCalled,
    /// The last call, a short time ago, failed.
    Failing,
}

/// Time for which an answer counts. Nodes that call the store regularly do so every two seconds or
/// more often, and a slow answer takes up to a second.
const ANSWER_VALIDITY_MS: u64 = 3_500;

/// Time for which a failure counts. Nodes call the store only when necessary, so without this limit
/// a node that was refused once would count as cut off permanently.
const FAILURE_VALIDITY_MS: u64 = 10_000;

/// Duration of failures from which the store counts as having been away; announcements that expired
/// meanwhile may return.
const MIN_OUTAGE_MS: u64 = 1_500;

/// Time after the recovery of the store in which removals may be expired announcements.
const RECOVERY_MS: u64 = 2_500;

/// The recent results of this node's calls to the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct StoreContact {
    pub answered_at: TimeMs,
    /// The first failure since the last answer.
    pub failing_since: Option<TimeMs>,
    /// The last failure; zero if there was none.
    pub failed_at: TimeMs,
    /// When the store recovered from an outage or a restore from a backup; zero if never.
    pub recovered_at: TimeMs,
    /// The latest read of the store that a peer has reported; zero if none has.
    pub peer_read_at: TimeMs,
}

impl StoreContact {
    /// Returns the availability of the store as far as this node knows.
    pub fn availability(&self, now: TimeMs) -> StoreAvailability {
        match self.failing_since {
            Some(_since) if now.since(self.failed_at) < FAILURE_VALIDITY_MS => {
                StoreAvailability::Failing
            }
            None if self.answered_at > TimeMs(0)
                && now.since(self.answered_at) < ANSWER_VALIDITY_MS =>
            {
                StoreAvailability::Answering
            }
            _ => StoreAvailability::NotCalled,
        }
    }

    /// Returns the time since the last failure; `None` if the store answered after it.
    pub fn failed_ms(&self, now: TimeMs) -> Option<u64> {
        (self.failing_since.is_some()).then(|| now.since(self.failed_at))
    }

    /// Records that the store was restored from a backup, which may lack the latest announcements.
    pub fn record_restore(&mut self, now: TimeMs) {
        self.recovered_at = now;
    }

    /// Records whether a call was answered.
    pub fn record(&mut self, answered: bool, now: TimeMs) {
        match (answered, self.failing_since) {
            (true, Some(since)) => {
                log::info!(event = "dependency_regained", dependency = "store", away_ms = now.since(since); "the store answers again");
                // A node that was refused, and has not called the store for a while since, cannot
                // tell when the store recovered. If this answer counted as the recovery, this node
                // would state to all others that removals may be expired announcements, and
                // upstreams that had left would keep getting requests.
                let has_failed_recently = now.since(self.failed_at) < ANSWER_VALIDITY_MS;
                if has_failed_recently
                    && now.since(since) > MIN_OUTAGE_MS
                    && !self.is_read_by_peers(now)
                {
                    self.recovered_at = now;
                }
                self.failing_since = None;
                self.answered_at = now;
            }
            (true, None) => self.answered_at = now,
            (false, None) => {
                log::warn!(event = "dependency_lost", dependency = "store"; "the store does not answer");
                self.failing_since = Some(now);
                self.failed_at = now;
            }
            (false, Some(_since)) => self.failed_at = now,
        }
    }

    /// Records when a peer has read the store.
    pub fn record_peer_read(&mut self, read_at: TimeMs) {
        self.peer_read_at = self.peer_read_at.max(read_at);
    }

    /// Whether peers have read the store while it did not answer this node.
    ///
    /// A store that refuses only some nodes is not away: upstreams keep announcing themselves
    /// there, and removals are real. If removals counted as expired announcements, this node and
    /// all nodes that it sends them to would give upstreams that have left new requests beyond the
    /// bound.
    fn is_read_by_peers(&self, now: TimeMs) -> bool {
        self.peer_read_at > TimeMs(0) && now.since(self.peer_read_at) < MIN_OUTAGE_MS
    }

    /// Whether a removal may only be an announcement that expired while the store was away.
    pub fn was_unavailable(&self, now: TimeMs) -> bool {
        let is_failing = (self.failing_since).is_some_and(|since| now.since(since) > MIN_OUTAGE_MS);
        let is_failure_recent =
            now.since(self.failed_at) < ANSWER_VALIDITY_MS && !self.is_read_by_peers(now);
        let is_recovering =
            self.recovered_at > TimeMs(0) && now.since(self.recovered_at) < RECOVERY_MS;
        (is_failing && is_failure_recent) || is_recovering
    }
}

#[cfg(test)]
mod tests;
