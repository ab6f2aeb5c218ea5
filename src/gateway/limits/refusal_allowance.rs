//! Refusals that a brittle upstream may be made to give.
//!
//! A brittle upstream falls over when it has to refuse too many requests in a second for want of
//! room. All nodes together must stay below the number that it states. Each node sends freely to an
//! upstream that seems to have room, and otherwise only as often as its share of that number allows.
//! A send without room is charged at once, since others may follow before its answer arrives. Each
//! refusal is charged as well, since the load of the peers is known some hundred milliseconds late
//! and requests are refused where there seemed to be room.

use crate::gateway::num;
use crate::time::TimeMs;

/// Fraction of the stated number that the nodes use together; the remainder is for nodes that have
/// not heard of it yet, and for tries of several nodes that fall into the same second.
const USED_FRACTION: f64 = 0.5;

/// Fraction of an upstream's slots below which it seems to have room.
const ROOM_FRACTION: f64 = 0.9;

/// Time after a refusal for which an upstream has no room, whatever load is known.
const FULL_AFTER_REFUSAL_MS: u64 = 1_000;

/// What an answer states of its upstream's brittleness.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum StatedBrittleness {
    /// The upstream is not brittle.
    Unstated,
    /// Refusals in a second that it bears; finite, zero or more.
    RefusalsPerS(f64),
}

/// A change of what is known of an upstream's brittleness.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Change {
    Began { refusals_per_s: f64 },
    Ended,
}

/// This node's share of the refusals that one start of an upstream bears.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RefusalAllowance {
    /// Refusals in a second over all nodes, and this node's share; `None` if it is not brittle.
    stated: Option<Share>,
    /// When the newest statement was received.
    stated_at: TimeMs,
    /// Sends to the upstream without room that are left, as of `refilled_at`.
    level: f64,
    refilled_at: TimeMs,
    /// When the upstream last refused a request; zero if it never did.
    refused_at: TimeMs,
}

#[derive(Clone, Copy, Debug)]
struct Share {
    refusals_per_s: f64,
    own_per_s: f64,
}

impl RefusalAllowance {
    /// Records what an answer states; the request was sent at `sent_at`.
    ///
    /// `nodes` share the upstream. `draw` is uniform from 0 to 1 over the nodes: if all began with
    /// the same level, they would all try a full upstream at the same moment.
    ///
    /// An answer without a statement ends the brittleness only if its request was sent after the
    /// newest statement was received, since answers may overtake each other.
    pub fn record_statement(
        &mut self,
        stated: StatedBrittleness,
        nodes: u32,
        draw: f64,
        sent_at: TimeMs,
        now: TimeMs,
    ) -> Option<Change> {
        let before = self.stated.map(|share| share.refusals_per_s);
        match stated {
            StatedBrittleness::RefusalsPerS(refusals_per_s) => {
                self.level = before.map_or(draw, |_before| self.level(now));
                self.refilled_at = now;
                self.stated_at = now;
                let own_per_s = USED_FRACTION * refusals_per_s / f64::from(nodes.max(1));
                self.stated = Some(Share {
                    refusals_per_s,
                    own_per_s,
                });
                (before != Some(refusals_per_s)).then_some(Change::Began { refusals_per_s })
            }
            StatedBrittleness::Unstated if sent_at > self.stated_at => {
                self.stated.take().map(|_share| Change::Ended)
            }
            StatedBrittleness::Unstated => None,
        }
    }

    /// Records that the upstream refused a request for want of room.
    pub fn record_refusal(&mut self, now: TimeMs) {
        self.charge(now);
        self.refused_at = now;
    }

    fn charge(&mut self, now: TimeMs) {
        self.level = self.level(now) - 1.0;
        self.refilled_at = now;
    }

    /// Charges a request that is sent now to an upstream with this many running requests and slots.
    pub fn record_sent(&mut self, running: u32, slots: u32, now: TimeMs) {
        if self.stated.is_some() && !self.has_room(running, slots, now) {
            self.charge(now);
        }
    }

    /// Whether a request may be sent now to an upstream with this many running requests and slots.
    pub fn admits(&self, running: u32, slots: u32, now: TimeMs) -> bool {
        self.stated.is_none() || self.has_room(running, slots, now) || self.level(now) >= 1.0
    }

    fn has_room(&self, running: u32, slots: u32, now: TimeMs) -> bool {
        let was_refused =
            self.refused_at > TimeMs(0) && now.since(self.refused_at) < FULL_AFTER_REFUSAL_MS;
        !was_refused && f64::from(running) < ROOM_FRACTION * f64::from(slots.max(1))
    }

    /// Returns the allowance left. It holds one refusal or the share of a second, whichever is more.
    fn level(&self, now: TimeMs) -> f64 {
        let Some(share) = self.stated else {
            return 0.0;
        };
        let gained = share.own_per_s * num::to_f64(now.since(self.refilled_at)) / 1_000.0;
        (self.level + gained).min(share.own_per_s.max(1.0))
    }
}

#[cfg(test)]
mod tests;
