//! Admission of requests to one incarnation of an upstream, checked before each send.
//!
//! The state comes from the upstream's own answers. A request waits for a channel after its
//! upstream was chosen, so that the upstream may state a limit, a backoff or its shutdown in the
//! meantime; the check before the send applies these too.

use super::backoff::RequestedBackoff;
use super::refusal_allowance::RefusalAllowance;
use super::throttle::Throttle;
use crate::time::TimeMs;

/// Limits that one incarnation of an upstream imposes on this node.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct SendGate {
    /// Rate limit for all nodes and this node's share.
    pub throttle: Throttle,
    /// Backoff that the upstream has requested.
    pub backoff: RequestedBackoff,
    /// Refusals that the upstream may still be made to give, if it is brittle.
    pub refusals: RefusalAllowance,
    /// Whether the upstream has announced its shutdown. The same incarnation does not return.
    is_leaving: bool,
}

/// Reason why an upstream gets no requests from this node now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Closed {
    /// The upstream has announced its shutdown, or its announcement was removed.
    Leaving,
    /// The upstream requested a backoff, or is in the slow start after one.
    Resting,
    /// This node's share of the upstream's limit is used up.
    AtLimit,
    /// The upstream is brittle, has no room, and must not be made to refuse more.
    Full,
    /// The upstream is no longer known.
    Gone,
}

impl Closed {
    /// Returns the reason as it appears in logs and metrics.
    pub fn reason(self) -> &'static str {
        match self {
            Self::Leaving => "upstream_leaving",
            Self::Resting => "upstream_resting",
            Self::AtLimit => "upstream_not_taking",
            Self::Full => "upstream_full",
            Self::Gone => "upstream_gone",
        }
    }
}

impl SendGate {
    /// Records that the upstream announces its shutdown; returns whether that is new.
    pub fn record_leaving(&mut self) -> bool {
        !std::mem::replace(&mut self.is_leaving, true)
    }

    /// Whether the upstream has announced its shutdown.
    pub fn is_leaving(&self) -> bool {
        self.is_leaving
    }

    /// Returns the reason why the upstream accepts no request now; `None` if it accepts one.
    pub fn closed_reason(&self, now: TimeMs) -> Option<Closed> {
        match self {
            _ if self.is_leaving => Some(Closed::Leaving),
            _ if self.backoff.remaining_ms(now).is_some() => Some(Closed::Resting),
            _ if !self.throttle.can_send(now) => Some(Closed::AtLimit),
            _ => None,
        }
    }

    /// Returns the requests a second that the upstream accepts until a replacement could start.
    ///
    /// The result is zero if the backoff outlasts `boot_ms`, and `None` without a limit.
    pub fn min_limit_per_s(&self, boot_ms: u64, now: TimeMs) -> Option<f64> {
        let outlasts_boot = self
            .backoff
            .remaining_ms(now)
            .is_some_and(|left_ms| left_ms > boot_ms);
        if outlasts_boot {
            Some(0.0)
        } else {
            self.throttle.limit_per_s()
        }
    }

    /// Admits one request of any kind; called directly before the send.
    ///
    /// # Errors
    ///
    /// Returns the reason if the upstream accepts no request now.
    pub fn admit(&mut self, now: TimeMs) -> Result<(), Closed> {
        if let Some(closed) = self.closed_reason(now) {
            return Err(closed);
        }
        self.throttle.try_take(now);
        self.backoff.record_sent(now);
        Ok(())
    }

    /// Reverts [`Self::admit`] for a request that was not sent.
    pub fn cancel(&mut self, now: TimeMs) {
        self.throttle.refund(now);
        self.backoff.revert_sent();
    }
}

#[cfg(test)]
mod tests;
