//! Whether the store answers this node, as far as the node's own calls show.

use bincode::{Decode, Encode};

use crate::time::TimeMs;

/// Whether the store answers a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub(crate) enum StoreReach {
    /// It answered a moment ago.
    Answering,
    /// Nothing has been asked of it lately.
    Unasked,
    /// It did not answer when it was last asked, a moment ago.
    Failing,
}

/// A store that answered within this time counts as answering: nodes that ask it regularly do so
/// each two seconds or more often, and a slow one takes up to a second.
const ANSWERED_MS: u64 = 3_500;

/// A failure is forgotten after this time. Nodes ask the store only if they have to, so that one
/// that was turned away once would count as cut off for good.
const FAILED_MS: u64 = 10_000;

/// A store that failed for longer than this was away; what lapsed meanwhile may come back.
const AWAY_MS: u64 = 1_500;

/// For this long after the store is back, removals are taken as lapses.
const LAPSES_MS: u64 = 2_500;

/// Whether the store answers this node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct StoreContact {
    pub answered_at: TimeMs,
    /// The first failure since the last answer.
    pub failing_since: Option<TimeMs>,
    /// The last failure; zero if there was none.
    pub failed_at: TimeMs,
    /// When an answer came after failures.
    pub back_at: TimeMs,
    /// The newest reading of the store that a peer told of; zero if none did.
    pub peer_read_at: TimeMs,
}

impl StoreContact {
    /// Whether the store answers, as far as this node knows.
    pub fn reach(&self, now: TimeMs) -> StoreReach {
        match self.failing_since {
            Some(_since) if now.since(self.failed_at) < FAILED_MS => StoreReach::Failing,
            None if self.answered_at > TimeMs(0) && now.since(self.answered_at) < ANSWERED_MS => {
                StoreReach::Answering
            }
            _ => StoreReach::Unasked,
        }
    }

    /// Since the store last failed to answer; none if it answered after that.
    pub fn failed_ms(&self, now: TimeMs) -> Option<u64> {
        (self.failing_since.is_some()).then(|| now.since(self.failed_at))
    }

    /// Takes in that the store has come back from a copy, which may lack what upstreams announced last.
    pub fn note_return(&mut self, now: TimeMs) {
        self.back_at = now;
    }

    /// Takes in whether a call was answered.
    pub fn note(&mut self, answered: bool, now: TimeMs) {
        match (answered, self.failing_since) {
            (true, Some(since)) => {
                log::info!(event = "dependency_regained", dependency = "store", away_ms = now.since(since); "the store answers again");
                // A node that was turned away, and has not asked for a while since, learns nothing of
                // the store now. Taken for its return, the answer made this node tell all others that
                // removals may be lapses, and upstreams that had left went on getting work.
                let was_just_failing = now.since(self.failed_at) < ANSWERED_MS;
                if was_just_failing && now.since(since) > AWAY_MS && !self.peers_read(now) {
                    self.back_at = now;
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

    /// Takes in that a peer has read the store.
    pub fn note_peer_read(&mut self, read_at: TimeMs) {
        self.peer_read_at = self.peer_read_at.max(read_at);
    }

    /// Whether peers have read the store while it did not answer this node.
    ///
    /// A store that turns some nodes away is not away: upstreams announce themselves there all the
    /// while, and what is removed is gone. Taken for lapses, removals would leave upstreams that have
    /// left with new work for longer than they may get it, at all nodes that this one tells.
    fn peers_read(&self, now: TimeMs) -> bool {
        self.peer_read_at > TimeMs(0) && now.since(self.peer_read_at) < AWAY_MS
    }

    /// Whether removals of upstreams may only be lapses while the store was away.
    pub fn was_away(&self, now: TimeMs) -> bool {
        let is_failing = (self.failing_since).is_some_and(|since| now.since(since) > AWAY_MS);
        let is_asked = now.since(self.failed_at) < ANSWERED_MS && !self.peers_read(now);
        let is_back = self.back_at > TimeMs(0) && now.since(self.back_at) < LAPSES_MS;
        (is_failing && is_asked) || is_back
    }
}

#[cfg(test)]
mod tests;
