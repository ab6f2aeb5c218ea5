//! Detection and blocking of requests that crash the upstreams that run them.
//!
//! Such a request is retried on any node and would crash one upstream after another. It is
//! identified by several upstreams that fail without an answer to the same path, key and body. Each
//! node sends its strikes to its peers, and content that has crashed three upstreams is no longer
//! sent.

use std::hash::Hasher;

use bincode::{Decode, Encode};
use twox_hash::XxHash3_64;

use crate::time::TimeMs;

/// Number of different upstreams that must fail under a request before it is blocked.
const STRIKES_TO_BLOCK: usize = 3;

/// Most strikes that a node repeatedly reports to its peers: those of a few dozen requests.
const MAX_REPORTED_STRIKES: usize = 96;

/// Time for which a strike counts. A request that crashes upstreams is retried within seconds.
const STRIKE_TTL_MS: u64 = 60_000;

/// Most strikes that are kept; each is a request that made an upstream fail in the last minute.
const MAX_STRIKES: usize = 1_024;

/// Failure of one upstream, without an answer, under a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub(crate) struct Strike {
    /// Hash of the request's content.
    pub content: u64,
    /// The upstream's tag.
    pub upstream: u64,
}

/// Strike with its age, for peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub(crate) struct AgedStrike {
    pub strike: Strike,
    /// Time since the upstream failed.
    pub age_ms: u64,
}

/// Returns the hash of a request's content, which is the same for each retry by any caller.
#[must_use]
pub(crate) fn content_hash(path: &str, key: Option<&str>, body: &[u8]) -> u64 {
    let mut hasher = XxHash3_64::new();
    for part in [path.as_bytes(), key.unwrap_or_default().as_bytes(), body] {
        hasher.write_u64(part.len() as u64);
        hasher.write(part);
    }
    hasher.finish()
}

/// Recent strikes, oldest first.
#[derive(Debug, Default)]
pub(crate) struct Strikes {
    recorded: Vec<(Strike, TimeMs)>,
}

impl Strikes {
    /// Records a strike of this node or of a peer; returns whether it is new.
    pub fn record(&mut self, strike: Strike, now: TimeMs) -> bool {
        self.recorded
            .retain(|(_strike, at)| now.since(*at) < STRIKE_TTL_MS);
        if self
            .recorded
            .iter()
            .any(|(recorded, _at)| *recorded == strike)
        {
            return false;
        }
        if self.recorded.len() >= MAX_STRIKES {
            self.recorded.remove(0);
        }
        self.recorded.push((strike, now));
        true
    }

    /// Records a strike that a peer reports with its age.
    pub fn record_aged(&mut self, remembered: AgedStrike, now: TimeMs) {
        if remembered.age_ms < STRIKE_TTL_MS {
            self.record(
                remembered.strike,
                TimeMs(now.0.saturating_sub(remembered.age_ms)),
            );
        }
    }

    /// Returns the strikes of blocked contents, the newest last.
    ///
    /// They are reported repeatedly: a node that starts after a single report would let the request
    /// crash another upstream.
    pub fn blocked_strikes(&self, now: TimeMs) -> Vec<AgedStrike> {
        let blocked = self.recorded.iter().filter(|(strike, at)| {
            now.since(*at) < STRIKE_TTL_MS && self.is_blocked(strike.content, now)
        });
        let mut reported: Vec<AgedStrike> = blocked
            .map(|(strike, at)| AgedStrike {
                strike: *strike,
                age_ms: now.since(*at),
            })
            .collect();
        reported.drain(..reported.len().saturating_sub(MAX_REPORTED_STRIKES));
        reported
    }

    /// Removes the strikes of a content that an upstream has answered.
    pub fn clear(&mut self, content: u64) {
        self.recorded
            .retain(|(strike, _at)| strike.content != content);
    }

    /// Whether requests with this content are blocked.
    pub fn is_blocked(&self, content: u64, now: TimeMs) -> bool {
        self.strike_count(content, now) >= STRIKES_TO_BLOCK
    }

    /// Returns the number of blocked contents.
    pub fn blocked_contents(&self, now: TimeMs) -> usize {
        let mut contents: Vec<u64> = (self.recorded.iter())
            .map(|(strike, _at)| strike.content)
            .filter(|content| self.is_blocked(*content, now))
            .collect();
        contents.sort_unstable();
        contents.dedup();
        contents.len()
    }

    /// Returns the number of upstreams that recently failed under this content.
    pub fn strike_count(&self, content: u64, now: TimeMs) -> usize {
        (self.recorded.iter())
            .filter(|(strike, at)| strike.content == content && now.since(*at) < STRIKE_TTL_MS)
            .count()
    }
}

#[cfg(test)]
mod tests;
