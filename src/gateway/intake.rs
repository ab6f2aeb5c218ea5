//! What one start of an upstream takes of this node, as its own answers say, and the gate before each send.
//!
//! A request waits for a channel after its upstream was chosen; what the upstream says meanwhile holds for it too.

use super::rest::Rest;
use super::throttle::Throttle;
use crate::time::TimeMs;

/// What one start of an upstream takes of this node.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Intake {
    /// Requests a second that it takes from all nodes.
    pub throttle: Throttle,
    /// The rest that it has asked of this node.
    pub rest: Rest,
    /// Whether it has said that it leaves. It does not come back but with another start.
    is_leaving: bool,
}

/// Why an upstream gets nothing of this node now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Closed {
    /// It has said that it leaves, or its announcement is gone.
    Leaving,
    /// It has asked this node for rest, or is being tried after one.
    Resting,
    /// This node's part of the limit that it names is used up.
    AtLimit,
    /// It is not known any more.
    Gone,
}

impl Closed {
    /// The reason as one word for logs and metrics.
    pub fn word(self) -> &'static str {
        match self {
            Self::Leaving => "upstream_leaving",
            Self::Resting => "upstream_resting",
            Self::AtLimit => "upstream_not_taking",
            Self::Gone => "upstream_gone",
        }
    }
}

impl Intake {
    /// Takes in that it says that it leaves; tells whether that is new.
    pub fn note_leaving(&mut self) -> bool {
        !std::mem::replace(&mut self.is_leaving, true)
    }

    /// Whether it has said that it leaves.
    pub fn is_leaving(&self) -> bool {
        self.is_leaving
    }

    /// Why it takes no request now, if it takes none.
    pub fn closed(&self, now: TimeMs) -> Option<Closed> {
        match self {
            _ if self.is_leaving => Some(Closed::Leaving),
            _ if self.rest.left_ms(now).is_some() => Some(Closed::Resting),
            _ if !self.throttle.takes(now) => Some(Closed::AtLimit),
            _ => None,
        }
    }

    /// Requests a second that it takes at least until another upstream could stand in for it; none if it takes all.
    pub fn least_per_s(&self, boot_ms: u64, now: TimeMs) -> Option<f64> {
        let rests_on = self
            .rest
            .left_ms(now)
            .is_some_and(|left_ms| left_ms > boot_ms);
        if rests_on {
            Some(0.0)
        } else {
            self.throttle.limit_per_s()
        }
    }

    /// Lets one request through to it, whatever it is sent for; to be asked just before the send.
    ///
    /// # Errors
    ///
    /// If it takes none now.
    pub fn enter(&mut self, now: TimeMs) -> Result<(), Closed> {
        if let Some(closed) = self.closed(now) {
            return Err(closed);
        }
        self.throttle.take(now);
        self.rest.note_sent(now);
        Ok(())
    }

    /// Takes back that a request was let through: it has not been sent.
    pub fn leave(&mut self, now: TimeMs) {
        self.throttle.give_back(now);
        self.rest.note_unsent();
    }
}

#[cfg(test)]
mod tests;
