//! The attempts made for one request, and the refusal that ends it if no further one is made.

use super::admission::Plan;
use crate::gateway::refusal::Refusal;
use crate::gateway::streams::{Origin, VersionTag};
use crate::gateway::upstreams::UpstreamKey;
use crate::time::TimeMs;

/// Upstreams that may fail to accept a request before it is given up.
///
/// Each costs up to a connect timeout; after 4 the remaining ones are as unlikely to accept it.
const MAX_UNDELIVERED: usize = 4;

/// The same for a request that a peer forwarded: this node may be cut off as well, and the peer asks
/// another one.
const MAX_UNDELIVERED_FORWARDED: usize = 2;

/// `Retry-After` of a pool that refused a non-streaming call: a slot is free again within a few
/// tens of milliseconds.
const PLAIN_RETRY_MS: u64 = 80;

/// `Retry-After` of a pool of model engines that refused a request.
const ENGINE_RETRY_MS: u64 = 400;

/// Whether a request has asked if its pool has room for it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum RoomCheck {
    #[default]
    Due,
    Done,
}

/// Whether a repeat has been taken out of the budget and not been sent yet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum RepeatInHand {
    #[default]
    None,
    Taken,
}

/// Whether a request that no upstream has run yet tests the block of a part.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Trial {
    #[default]
    None,
    Begun,
}

/// The attempts made for one request.
#[derive(Debug, Default)]
pub(super) struct Attempts {
    /// Upstreams that must not receive the request again.
    excluded: Vec<UpstreamKey>,
    /// Upstreams that received the request, executed or not.
    sends: u32,
    /// Upstreams that may have executed the request.
    executions: u32,
    /// Upstreams that were unreachable or did not accept the request.
    undelivered: usize,
    /// Whether the request has been counted as one of its pool's requests.
    is_counted: bool,
    /// Whether the request has to ask if its pool has room for it.
    room_check: RoomCheck,
    /// Whether this node has to send the request itself.
    is_kept_here: bool,
    /// Whether a peer forwarded the request.
    is_forwarded: bool,
    /// The version that sent the first event of the stream; `None` until one has.
    begun_version: Option<VersionTag>,
    /// Since when an upstream must have given a sign of life to be preferred; set once the request has left a silent one.
    alive_since: Option<TimeMs>,
    /// Whether a repeat has been taken out of the budget and not been sent yet.
    repeat: RepeatInHand,
    trial: Trial,
}

impl Attempts {
    /// Returns the attempts for a request that a peer forwarded; `is_counted` states whether the peer
    /// has counted it as one of its pool's requests.
    pub fn of_forwarded(is_counted: bool) -> Self {
        Self {
            is_counted,
            is_kept_here: true,
            is_forwarded: true,
            ..Self::default()
        }
    }

    /// Records that no peer can send the request in place of this node.
    pub fn keep_here(&mut self) {
        self.is_kept_here = true;
    }

    /// Whether a peer may be asked to send the request: no upstream has received it.
    pub fn may_forward(&self) -> bool {
        !self.is_kept_here && self.sends == 0
    }

    /// Whether the request has been counted as one of its pool's requests.
    pub fn is_counted(&self) -> bool {
        self.is_counted
    }

    /// Returns the number of upstreams that may have executed the request.
    pub fn executions(&self) -> u32 {
        self.executions
    }

    /// Returns true on the first call only: the request has to be counted as one of its pool's.
    ///
    /// If the first upstream is unreachable, the next send is again the first one. A request that
    /// was counted for each of them would earn repeat budget several times and raise the measured
    /// demand, so that too many engines are ordered while some are unreachable.
    pub fn count_once(&mut self) -> bool {
        !std::mem::replace(&mut self.is_counted, true)
    }

    /// Returns true on the first call only, unless an upstream has received the request: it has to
    /// ask whether it may start.
    pub fn start_once(&mut self) -> bool {
        let before = std::mem::replace(&mut self.room_check, RoomCheck::Done);
        before == RoomCheck::Due && self.sends == 0
    }

    /// Records that an upstream may have executed the request.
    pub fn record_execution(&mut self) {
        self.executions += 1;
        self.trial = Trial::None;
    }

    /// Records that the request tests the block of a part.
    pub fn begin_trial(&mut self) {
        self.trial = Trial::Begun;
    }

    /// Whether the request tests the block of a part, and no upstream has run it yet.
    pub fn is_trial(&self) -> bool {
        self.trial == Trial::Begun
    }

    /// Records the version that sent the first event of the stream: only it may send further ones.
    pub fn bind(&mut self, version: VersionTag) {
        self.begun_version = Some(version);
    }

    /// Binds the request to the version that began the stream that it takes up, if it takes one up.
    pub fn bind_to(&mut self, begun: Option<Origin>) {
        self.begun_version = begun.map(|origin| origin.version);
    }

    /// Returns the only version that may receive the request; `None` while it may be any.
    pub fn begun_version(&self) -> Option<VersionTag> {
        self.begun_version
    }

    /// Prefers upstreams that have given a sign of life since then: the request leaves a silent one.
    pub fn prefer_alive(&mut self, since: TimeMs) {
        self.alive_since = Some(since);
    }

    /// Ends that preference: the upstream that the request was sent to has gone on.
    pub fn forget_silence(&mut self) {
        self.alive_since = None;
    }

    /// Records that a repeat of this request has been taken out of the budget and not been sent yet.
    pub fn hold_repeat(&mut self) {
        self.repeat = RepeatInHand::Taken;
    }

    /// Returns whether a repeat has been taken out of the budget before; the next one has to be taken anew.
    pub fn use_held_repeat(&mut self) -> bool {
        std::mem::take(&mut self.repeat) == RepeatInHand::Taken
    }

    /// Returns since when an upstream must have given a sign of life to be preferred, if the request has left a silent one.
    pub fn alive_since(&self) -> Option<TimeMs> {
        self.alive_since
    }

    /// Excludes an upstream from further attempts.
    pub fn exclude(&mut self, upstream: UpstreamKey) {
        self.excluded.push(upstream);
    }

    /// Returns the upstreams that must not receive the request again.
    pub fn excluded(&self) -> &[UpstreamKey] {
        &self.excluded
    }

    /// Returns the number of upstreams that received the request, executed or not.
    pub fn sends(&self) -> u32 {
        self.sends
    }

    /// Records that an upstream received the request.
    pub fn record_send(&mut self) {
        self.sends += 1;
    }

    /// Records that an upstream was unreachable or did not accept the request.
    pub fn record_undelivered(&mut self) {
        self.undelivered += 1;
    }

    /// Whether the request is given up if one more upstream does not accept it.
    pub fn is_nearly_undeliverable(&self) -> bool {
        self.undelivered + 1 >= MAX_UNDELIVERED
    }

    /// Returns whether so many upstreams did not accept the request that it is given up.
    pub fn has_too_many_undelivered(&self) -> bool {
        let max_undelivered = if self.is_forwarded {
            MAX_UNDELIVERED_FORWARDED
        } else {
            MAX_UNDELIVERED
        };
        self.undelivered >= max_undelivered
    }

    /// Returns the refusal for a stream of whose version no upstream is left.
    pub fn version_gone(&self) -> Refusal {
        Refusal::StreamVersionGone {
            may_have_run: self.executions > 0,
        }
    }

    /// Returns the refusal for a request that this node does not send any more because it stops.
    pub fn stopped(&self) -> Refusal {
        match self.executions {
            0 => Refusal::Stopping,
            _ => Refusal::NoAnswer,
        }
    }

    /// Returns the refusal for a request that is not sent again.
    pub fn final_refusal(&self, plan: &Plan, now: TimeMs) -> Refusal {
        let is_late = now >= plan.deadline;
        match self.executions {
            0 if is_late => Refusal::NotSentInTime,
            0 => Refusal::NoUpstream {
                retry_after_ms: retry_after_ms(plan),
            },
            _ if is_late => Refusal::AnswerTimeout,
            _ => Refusal::NoAnswer,
        }
    }
}

/// Returns the `Retry-After` of a request that its pool does not accept, in milliseconds.
pub(super) fn retry_after_ms(plan: &Plan) -> u64 {
    match plan.head.prompt {
        Some(_) => ENGINE_RETRY_MS,
        None => PLAIN_RETRY_MS,
    }
}

#[cfg(test)]
mod tests;
