//! Calls under callers' idempotency keys: what a home does with a claim, and what its asker does.
//!
//! A key that is sent to any node has no home. The node that claims it mints an id of which it is
//! the home itself, and the claim that comes first in the log's order says which id may run. All
//! that follows is as for any other id: its home dispatches it, its witness settles it.

use std::sync::Arc;

use bincode::{Decode, Encode};

use super::core::{Core, Phase, RETRY_SOON_MS, Right};
use super::links::Links;
use super::outcome::{Doubt, NotRun, Reason};
use super::records::Entry;
use super::{Call, Outcome, Record, RequestId, Step};
use crate::coordination::claims::{
    CLAIM_TTL_MS, CLOCK_SKEW_MS, ClaimError, ClaimKey, ClaimOutcome, START_WITHIN_MS,
};
use crate::time::TimeMs;

/// When a caller may come back while the log is out.
pub const LOG_RETRY_MS: u64 = 2_000;

/// How often a key is claimed anew after its holder turned out not to run.
pub const CLAIM_ROUNDS: u32 = 3;

/// What a node asks of the one that claims for it.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct ClaimAsk {
    /// The key.
    pub key: ClaimKey,
    /// The call.
    pub call: Call,
    /// The holder so far, of which it is known that it did not run and never will.
    pub supersedes: Option<RequestId>,
}

/// What a node says after it claimed a key.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum Claimed {
    /// The claim won, and the call has been started under this id.
    Won(RequestId),
    /// Another request holds the key.
    Lost(RequestId),
    /// Nothing runs under this id, and nothing ever will.
    NotRun(RequestId, NotRun),
    /// It cannot be told whether this id holds the key.
    Unknown(RequestId, Doubt),
}

/// What the asker does next.
#[derive(Clone, Debug, PartialEq)]
pub enum Next {
    /// What it has is the answer.
    Answer,
    /// Claim the key in the place of its holder.
    Supersede,
    /// Nothing can be said any more.
    Say(Doubt),
}

/// What to do after the holder of a key, which another request became, was asked.
///
/// Only a holder that certainly never runs may be superseded. An id older than any claim that holds
/// may have been forgotten by those who knew that it ran; they would now call it not run.
#[must_use]
pub fn after_lost(holder: &RequestId, first: &Step, round: u32, now: TimeMs) -> Next {
    let trusted_ms = CLAIM_TTL_MS + CLOCK_SKEW_MS;
    match first {
        Step::End(Outcome::NotRun(_)) if now.since(holder.issued_at_ms) >= trusted_ms => {
            Next::Say(Doubt::RecordExpired)
        }
        Step::End(Outcome::NotRun(_)) if round + 1 < CLAIM_ROUNDS => Next::Supersede,
        _ => Next::Answer,
    }
}

/// What is said after one claimer answered and an earlier one did not.
///
/// The silent one may have won and started the call, so `not_run` would be a lie.
#[must_use]
pub fn with_doubt(claimed: Claimed, doubtful: bool) -> Claimed {
    match claimed {
        Claimed::NotRun(id, _) if doubtful => Claimed::Unknown(id, Doubt::NobodyAnswers),
        claimed => claimed,
    }
}

impl<L: Links> Core<L> {
    /// Acts on what came of a claim under `id`, whose home this node is.
    ///
    /// Whenever the claim may be in the log and the call is not started, a record that says so is
    /// put in first. Without it the id could run later, for somebody who loses against it, after
    /// its caller was told that it did not; one would notice a call that ran and was refused.
    pub fn conclude_claim(
        self: &Arc<Self>,
        id: RequestId,
        call: &Call,
        claimed: Result<ClaimOutcome, ClaimError>,
    ) -> Claimed {
        let in_time = self.clock.now().since(id.issued_at_ms) < START_WITHIN_MS;
        match claimed {
            Ok(ClaimOutcome::Won) if in_time => self.start_claimed(id, call),
            Ok(ClaimOutcome::Won) => self.rule_out(id, call, Reason::IdExpired),
            Ok(ClaimOutcome::Lost { winner }) => match winner.parse() {
                Ok(winner) if self.verifies(&winner, &call.team) => Claimed::Lost(winner),
                _ => Claimed::Unknown(id, Doubt::NobodyAnswers),
            },
            Err(error) if error.is_not_taken() => Claimed::NotRun(id, refusal(&error)),
            Err(_) => self.rule_out(id, call, Reason::LogUnavailable),
        }
    }

    fn start_claimed(self: &Arc<Self>, id: RequestId, call: &Call) -> Claimed {
        match self.enter(id, call, Right::Home) {
            // Whoever lost against this id may have brought its call first, or another one. If this
            // node has left, the asker finds the heir, who starts the call.
            Entry::New(_) | Entry::Known(_) | Entry::OtherCall | Entry::Closed => Claimed::Won(id),
            Entry::Expired => Claimed::NotRun(id, not_run(Reason::IdExpired, RETRY_SOON_MS)),
        }
    }

    /// Makes sure that an id never runs, unless it does already.
    fn rule_out(&self, id: RequestId, call: &Call, reason: Reason) -> Claimed {
        let never = not_run(reason, LOG_RETRY_MS);
        let record = Record::new(id, call.clone());
        record.end(Outcome::NotRun(never), self.clock.now());
        match self.records.adopt(record) {
            // Asked after it is in the table: a node that leaves looks there once it has said so,
            // and hands the record over unless it looked before.
            _ if self.phase() == Phase::Left => Claimed::Unknown(id, Doubt::HomeGone),
            (_, true) => Claimed::NotRun(id, never),
            // Whoever lost against it has brought its call, and it runs.
            (_, false) => Claimed::Won(id),
        }
    }
}

fn refusal(error: &ClaimError) -> NotRun {
    let reason = match error {
        ClaimError::Full { .. } => Reason::Overloaded,
        _ => Reason::LogUnavailable,
    };
    not_run(reason, error.retry_after_ms().unwrap_or(LOG_RETRY_MS))
}

fn not_run(reason: Reason, retry_after_ms: u64) -> NotRun {
    NotRun {
        reason,
        retry_after_ms,
    }
}

#[cfg(test)]
mod tests;
