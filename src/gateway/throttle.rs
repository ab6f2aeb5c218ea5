//! Upstreams that have named a limit: how many requests a second each takes from all nodes together.

use crate::time::TimeMs;

/// What an answer says of a limit of its upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum StatedLimit {
    /// It names none.
    Unnamed,
    /// Requests a second from all nodes; finite, zero or more.
    PerS(f64),
    /// It names something that is no such number.
    Unreadable,
}

/// How what is known of an upstream's limit has changed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Change {
    /// It names a limit, or another one than before, in requests a second.
    Named(f64),
    /// It no longer names one.
    Ended,
}

/// The limits that upstreams have named.
#[derive(Debug, Default)]
pub(crate) struct Throttles {
    /// Sorted by upstream.
    known: Vec<Throttle>,
}

/// What one start of an upstream has said of its limit.
#[derive(Clone, Copy, Debug)]
struct Throttle {
    /// The upstream's tag.
    upstream: u64,
    /// Requests a second from all nodes; none once it no longer names a limit.
    limit_per_s: Option<f64>,
    /// The latest time at which it is known to have said so.
    said_at: TimeMs,
}

impl Throttles {
    /// Takes in what an answer says; tells what it changes.
    ///
    /// An answer that names no limit ends one only if it was asked for after the limit was last named:
    /// answers overtake each other.
    pub fn note_answer(
        &mut self,
        upstream: u64,
        stated: StatedLimit,
        sent_at: TimeMs,
        now: TimeMs,
    ) -> Option<Change> {
        let found = self.find(upstream);
        match (stated, found) {
            (StatedLimit::PerS(limit_per_s), Err(place)) => {
                let throttle = Throttle {
                    upstream,
                    limit_per_s: Some(limit_per_s),
                    said_at: now,
                };
                self.known.insert(place, throttle);
                Some(Change::Named(limit_per_s))
            }
            (StatedLimit::PerS(limit_per_s), Ok(place)) => {
                let throttle = &mut self.known[place];
                let before = throttle.limit_per_s.replace(limit_per_s);
                throttle.said_at = now;
                (before != Some(limit_per_s)).then_some(Change::Named(limit_per_s))
            }
            (StatedLimit::Unnamed, Ok(place)) if sent_at > self.known[place].said_at => {
                let throttle = &mut self.known[place];
                throttle.said_at = sent_at;
                throttle.limit_per_s.take().map(|_before| Change::Ended)
            }
            // What cannot be read does not say that there is none any more.
            (StatedLimit::Unnamed | StatedLimit::Unreadable, _) => None,
        }
    }

    /// The limit that an upstream names, in requests a second.
    pub fn limit_per_s(&self, upstream: u64) -> Option<f64> {
        let place = self.find(upstream).ok()?;
        self.known[place].limit_per_s
    }

    /// Forgets upstreams that are gone.
    pub fn forget_gone(&mut self, is_known: impl Fn(u64) -> bool) {
        self.known.retain(|throttle| is_known(throttle.upstream));
    }

    fn find(&self, upstream: u64) -> Result<usize, usize> {
        self.known
            .binary_search_by_key(&upstream, |throttle| throttle.upstream)
    }
}

#[cfg(test)]
mod tests;
