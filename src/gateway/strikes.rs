//! Requests that crash the upstreams that run them.
//!
//! Such a request comes again, at any node, and would take one upstream after the other with it.
//! One notices several upstreams that broke off without an answer on the same path, key and body.
//! Nodes tell each other of each such break, and what broke three upstreams is not sent again.

use std::hash::Hasher;

use bincode::{Decode, Encode};
use twox_hash::XxHash3_64;

use crate::time::TimeMs;

/// Different upstreams that must break off under a request until it is not sent any more.
const UPSTREAMS_UNTIL_BLOCKED: usize = 3;

/// Most breaks that a node tells its peers again and again: those of a few dozen requests.
const MOST_TOLD: usize = 96;

/// How long a break is remembered: a request that kills comes again within seconds.
const REMEMBERED_MS: u64 = 60_000;

/// Most requests that are remembered; each is one that broke an upstream within a minute.
const MOST_REMEMBERED: usize = 1_024;

/// An upstream broke off under a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub(crate) struct Strike {
    /// Stands for the request's content.
    pub content: u64,
    /// The upstream's tag.
    pub upstream: u64,
}

/// A break that a node remembers, for its peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub(crate) struct Remembered {
    pub strike: Strike,
    /// Since the upstream broke off.
    pub age_ms: u64,
}

/// What stands for a request's content: the same for each repeat of it, from any caller attempt.
#[must_use]
pub(crate) fn content(path: &str, key: Option<&str>, body: &[u8]) -> u64 {
    let mut hasher = XxHash3_64::new();
    for part in [path.as_bytes(), key.unwrap_or_default().as_bytes(), body] {
        hasher.write_u64(part.len() as u64);
        hasher.write(part);
    }
    hasher.finish()
}

/// Breaks that are remembered, oldest first.
#[derive(Debug, Default)]
pub(crate) struct Strikes {
    noted: Vec<(Strike, TimeMs)>,
}

impl Strikes {
    /// Takes in a break, of this node or of another; tells whether it is new.
    pub fn note(&mut self, strike: Strike, now: TimeMs) -> bool {
        self.noted
            .retain(|(_strike, at)| now.since(*at) < REMEMBERED_MS);
        if self.noted.iter().any(|(noted, _at)| *noted == strike) {
            return false;
        }
        if self.noted.len() >= MOST_REMEMBERED {
            self.noted.remove(0);
        }
        self.noted.push((strike, now));
        true
    }

    /// Takes in a break that a peer remembers.
    pub fn note_remembered(&mut self, remembered: Remembered, now: TimeMs) {
        if remembered.age_ms < REMEMBERED_MS {
            self.note(
                remembered.strike,
                TimeMs(now.0.saturating_sub(remembered.age_ms)),
            );
        }
    }

    /// The breaks under contents that are not sent any more, the newest last.
    ///
    /// Told once only, they would be unknown to a node that starts later, which would have the request crash
    /// another upstream.
    pub fn of_blocked(&self, now: TimeMs) -> Vec<Remembered> {
        let blocked = self.noted.iter().filter(|(strike, at)| {
            now.since(*at) < REMEMBERED_MS && self.is_blocked(strike.content, now)
        });
        let mut told: Vec<Remembered> = blocked
            .map(|(strike, at)| Remembered {
                strike: *strike,
                age_ms: now.since(*at),
            })
            .collect();
        told.drain(..told.len().saturating_sub(MOST_TOLD));
        told
    }

    /// Takes in that an upstream answered a request of this content.
    pub fn clear(&mut self, content: u64) {
        self.noted.retain(|(strike, _at)| strike.content != content);
    }

    /// Whether a request of this content must not be sent any more.
    pub fn is_blocked(&self, content: u64, now: TimeMs) -> bool {
        self.count(content, now) >= UPSTREAMS_UNTIL_BLOCKED
    }

    /// How many contents are not sent any more.
    pub fn blocked(&self, now: TimeMs) -> usize {
        let mut contents: Vec<u64> = (self.noted.iter())
            .map(|(strike, _at)| strike.content)
            .filter(|content| self.is_blocked(*content, now))
            .collect();
        contents.sort_unstable();
        contents.dedup();
        contents.len()
    }

    /// Upstreams that broke off under this content lately.
    pub fn count(&self, content: u64, now: TimeMs) -> usize {
        (self.noted.iter())
            .filter(|(strike, at)| strike.content == content && now.since(*at) < REMEMBERED_MS)
            .count()
    }
}

#[cfg(test)]
mod tests;
