//! Decides whether a request leaves a silent upstream.
//!
//! A silent upstream may be lost, or it may stand still for a moment and go on. Nothing tells the two apart, so that a
//! request leaves only for something better: to wait costs it nothing that it has.

use crate::gateway::attempt_timeouts;
use crate::gateway::catalog::Route;
use crate::gateway::choose::Standing;
use crate::time::TimeMs;

/// Interval at which a request that waits for a silent upstream looks for something better.
pub(super) const ASK_AGAIN_MS: u64 = 100;

/// A silence and the times that matter to it, all from its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Silence {
    pub since: TimeMs,
    /// When the request leaves for an upstream that has given a sign of life in the meantime.
    pub alive_after_ms: u64,
    /// When it leaves for one that has given none, against which nothing speaks.
    pub unproven_after_ms: u64,
    /// When it is given up, so that its caller can send it again in time; `None` if its caller would gain nothing.
    pub give_up_after_ms: Option<u64>,
}

impl Silence {
    /// Returns the silence of a request that began to wait at `since` and usually waits for `timeout_ms`.
    pub fn new(route: &Route, since: TimeMs, timeout_ms: u64) -> Self {
        Self {
            since,
            alive_after_ms: timeout_ms,
            unproven_after_ms: attempt_timeouts::unproven_timeout_ms(route, timeout_ms),
            give_up_after_ms: None,
        }
    }
}

/// Returns since when another upstream must have given a sign of life to count as alive: the second half of a silence.
///
/// What came before may have been sent at the start of a pause that both upstreams share.
pub(super) fn proof_since(silent_since: TimeMs, now: TimeMs) -> TimeMs {
    silent_since.after(now.since(silent_since) / 2)
}

/// What a request that waits for a silent upstream would find elsewhere.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Alternative {
    /// The best other upstream that would get it; `None` if there is none.
    pub standing: Option<Standing>,
    /// Why this node may not send it to another upstream, if it may not.
    pub obstacle: Option<&'static str>,
}

/// What becomes of a request that waits for a silent upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Decision {
    /// It waits, for the reason that is logged.
    Wait(&'static str),
    /// It is sent to another upstream, or given up for its caller to send it again.
    Leave,
}

/// Decides what becomes of a request that waits for a silent upstream.
pub(super) fn decide(silence: &Silence, alternative: Alternative, now: TimeMs) -> Decision {
    let lasted_ms = now.since(silence.since);
    let is_given_up = (silence.give_up_after_ms).is_some_and(|after_ms| lasted_ms >= after_ms);
    match (alternative.standing, alternative.obstacle) {
        (None, _) => Decision::Wait("no_upstream"),
        (Some(Standing::Doubtful), _) => Decision::Wait("all_doubtful"),
        (Some(_), _) if is_given_up => Decision::Leave,
        (Some(_), Some(obstacle)) => Decision::Wait(obstacle),
        (Some(Standing::Alive), None) if lasted_ms >= silence.alive_after_ms => Decision::Leave,
        (Some(_), None) if lasted_ms >= silence.unproven_after_ms => Decision::Leave,
        (Some(_), None) => Decision::Wait("unproven"),
    }
}

#[cfg(test)]
mod tests;
