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
