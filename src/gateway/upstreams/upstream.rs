//! One start of an upstream: its announcement, load, health and whether it accepts requests.

use bincode::{Decode, Encode};
use tokio_util::sync::CancellationToken;

use super::announcement::{Announcement, Phase};
use super::contact::Contact;
use crate::gateway::health::Health;
use crate::gateway::limits::send_gate::{Closed, SendGate};
use crate::gateway::num;
use crate::gateway::speed::relative::RelativeSpeed;
use crate::gateway::streams::VersionTag;
use crate::time::TimeMs;

/// Multiple of the usual response time after which an upstream without a response is unresponsive.
const UNRESPONSIVE_AFTER_RESPONSE_TIMES: f64 = 6.0;

/// Lower bound on that time: an ordinary call takes up to 220 ms.
const MIN_UNRESPONSIVE_MS: u64 = 300;

/// The same for an upstream whose usual response time is not known yet.
const INITIAL_UNRESPONSIVE_MS: u64 = 1_500;

/// The load that one node puts on one upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub(crate) struct Load {
    /// Requests that were sent and have not ended.
    pub running: u32,
    /// Prompt tokens of running requests that have not returned a first token.
    pub unread_tokens: u64,
}

/// One start of an upstream.
#[derive(Clone, Debug)]
pub(crate) struct Upstream {
    pub announcement: Announcement,
    /// See [`Announcement::tag`].
    pub tag: u64,
    /// Cancelled once a restart is detected: the requests that this start ran are lost.
    pub restarted: CancellationToken,
    /// Whether the announcement is gone. The entry is kept until this node's requests there end.
    pub is_removed: bool,
    /// Until this time a removed upstream still accepts requests.
    ///
    /// Set for removals by a store that has just recovered from an outage: the announcement may
    /// have expired because the upstream could not renew it.
    pub grace_until: TimeMs,
    pub own_load: Load,
    pub peer_load: Load,
    /// When this node began to wait for a response; `None` if no response is outstanding.
    pub awaiting_since: Option<TimeMs>,
    /// When it last gave a sign of life.
    pub contact: Contact,
    pub health: Health,
    /// Whether the upstream admits this node's requests, as stated in its responses.
    pub send_gate: SendGate,
    /// How much longer than its pool's mean upstream it takes.
    pub speed: RelativeSpeed,
}

impl Upstream {
    /// Returns its software version.
    pub fn version(&self) -> VersionTag {
        VersionTag::of(&self.announcement.version)
    }

    /// Whether the upstream may get new requests.
    pub fn accepts_requests(&self, now: TimeMs) -> bool {
        match self.announcement.phase {
            Phase::Leaving => false,
            Phase::Ready if self.send_gate.is_leaving() => false,
            Phase::Ready if self.is_removed => now < self.grace_until,
            Phase::Ready => true,
        }
    }

    /// Admits one request of any kind. Must be called just before the request is sent.
    ///
    /// # Errors
    ///
    /// Returns the reason if the upstream accepts no request of this node now.
    pub fn admit(&mut self, now: TimeMs) -> Result<(), Closed> {
        // The load includes the request itself.
        let others = self.running().saturating_sub(1);
        let slots = self.announcement.slots;
        if !self.accepts_requests(now) {
            return Err(Closed::Leaving);
        }
        if !self.send_gate.refusals.admits(others, slots, now) {
            return Err(Closed::Full);
        }
        self.send_gate.admit(now)?;
        self.send_gate.refusals.record_sent(others, slots, now);
        Ok(())
    }

    /// Returns the reason why the upstream admits no request now; `None` if it admits one.
    pub fn closed_reason(&self, now: TimeMs) -> Option<Closed> {
        let slots = self.announcement.slots;
        let is_full = !(self.send_gate.refusals).admits(self.running(), slots, now);
        let closed = self.send_gate.closed_reason(now);
        closed.or(is_full.then_some(Closed::Full))
    }

    /// Whether the platform is reclaiming the host of the upstream.
    pub fn is_being_reclaimed(&self) -> bool {
        self.announcement.is_reclaimable && self.announcement.leaves_in_ms.is_some()
    }

    /// Whether the upstream has not responded for longer than it usually needs.
    ///
    /// An upstream that becomes unreachable fails no request at first: requests wait there until
    /// they time out, and each of them is lost. Detecting outstanding responses that are overdue
    /// limits this loss.
    pub fn is_unresponsive(&self, now: TimeMs) -> bool {
        let allowed_ms = match self.health.mean_answer_ms() {
            Some(took_ms) => num::round_to_u64(took_ms * UNRESPONSIVE_AFTER_RESPONSE_TIMES)
                .max(MIN_UNRESPONSIVE_MS),
            None => INITIAL_UNRESPONSIVE_MS,
        };
        (self.awaiting_since).is_some_and(|since| now.since(since) > allowed_ms)
    }

    /// Whether it is expected to take a request up at once: it is neither paused nor silent.
    pub fn is_usable(&self, now: TimeMs) -> bool {
        let is_kept_waiting = self.own_load.running > 0 && self.contact.is_silent();
        !self.health.is_paused(now) && !self.is_unresponsive(now) && !is_kept_waiting
    }

    /// Records that a request was sent.
    pub fn record_sent(&mut self, now: TimeMs) {
        self.awaiting_since.get_or_insert(now);
    }

    /// Records any response from the upstream.
    pub fn record_response(&mut self, now: TimeMs) {
        self.awaiting_since = (self.own_load.running > 1).then_some(now);
    }

    /// Returns the running requests of all nodes.
    pub fn running(&self) -> u32 {
        self.own_load.running + self.peer_load.running
    }

    /// Returns the unprocessed prompt tokens of all nodes.
    pub fn unread_tokens(&self) -> u64 {
        self.own_load.unread_tokens + self.peer_load.unread_tokens
    }
}
