//! Calls with idempotency keys: how the claiming node concludes a claim, and how the requesting
//! node reacts to its result.
//!
//! A key can be sent to any node and has no home. The node that claims it mints an id with itself
//! as home, and the first claim in the log's order determines which id may run. Everything after
//! that works as for any other id: its home dispatches it, and its witness settles it.

use std::sync::Arc;

use bincode::{Decode, Encode};

use super::core::{Authority, Core, Phase, REFUSAL_RETRY_MS};
use super::dependencies::Dependencies;
use super::outcome::{NotRun, Reason, UnknownReason};
use super::records::Entry;
use super::{Call, Outcome, Record, RequestId, Step};
use crate::coordination::claims::{
    CLAIM_TTL_MS, CLOCK_SKEW_MS, ClaimError, ClaimKey, ClaimOutcome, START_WITHIN_MS,
};
use crate::time::TimeMs;

/// Retry delay suggested to callers while the log is unavailable.
pub const LOG_RETRY_MS: u64 = 2_000;

/// Maximum number of claims of a key, of which each but the first supersedes a holder that did not
/// run.
pub const MAX_CLAIM_ROUNDS: u32 = 3;

/// Request to a node to claim a key.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct ClaimRequest {
    /// The key.
    pub key: ClaimKey,
    /// The call.
    pub call: Call,
    /// The current holder, which did not run and never will.
    pub supersedes: Option<RequestId>,
}

/// Result of a claim.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum ClaimResult {
    /// The claim won, and the call was started under this id.
    Won(RequestId),
    /// Another request holds the key.
    Lost(RequestId),
    /// No call runs under this id, and none ever will.
    NotRun(RequestId, NotRun),
    /// It is unknown whether this id holds the key.
    Unknown(RequestId, UnknownReason),
}

/// What the requesting node does after the holder has answered.
#[derive(Clone, Debug, PartialEq)]
pub enum HolderAction {
    /// The holder's answer is the answer to the caller.
    Answer,
    /// Claim the key to supersede its holder.
    Supersede,
    /// The outcome is unknown.
    Unknown(UnknownReason),
}

/// Returns what to do after the holder of a key, which is another request, has answered.
///
/// Only a holder that certainly never runs may be superseded. If its id is older than the lifetime
/// of a claim, the nodes that knew that it ran may have removed their records and now report it as
/// not run.
#[must_use]
pub fn action_after_lost_claim(
    holder: &RequestId,
    first: &Step,
    round: u32,
    now: TimeMs,
) -> HolderAction {
    let max_trusted_age_ms = CLAIM_TTL_MS + CLOCK_SKEW_MS;
    match first {
        Step::End(Outcome::NotRun(_)) if now.since(holder.issued_at_ms) >= max_trusted_age_ms => {
            HolderAction::Unknown(UnknownReason::RecordExpired)
        }
        Step::End(Outcome::NotRun(_)) if round + 1 < MAX_CLAIM_ROUNDS => HolderAction::Supersede,
        _ => HolderAction::Answer,
    }
}

/// Returns the result of a claim after an earlier claiming node did not answer.
///
/// The earlier node may have won the claim and started the call, so `not_run` could be false.
#[must_use]
pub fn with_silent_claimer(claimed: ClaimResult, has_silent_claimer: bool) -> ClaimResult {
    match claimed {
        ClaimResult::NotRun(id, _) if has_silent_claimer => {
            ClaimResult::Unknown(id, UnknownReason::NoAnswer)
        }
        claimed => claimed,
    }
}

impl<L: Dependencies> Core<L> {
    /// Concludes a claim under `id`, whose home is this node.
    ///
    /// Whenever the claim may be in the log and the call is not started, a record that rules the id
    /// out is inserted first. Without it, a node that loses against the id could start it later,
    /// after its caller was told that it did not run.
    pub fn conclude_claim(
        self: &Arc<Self>,
        id: RequestId,
        call: &Call,
        claimed: Result<ClaimOutcome, ClaimError>,
    ) -> ClaimResult {
        let is_in_time = self.clock.now().since(id.issued_at_ms) < START_WITHIN_MS;
        match claimed {
            Ok(ClaimOutcome::Won) if is_in_time => self.start_claimed(id, call),
            Ok(ClaimOutcome::Won) => self.rule_out(id, call, Reason::IdExpired),
            Ok(ClaimOutcome::Lost { winner }) => match winner.parse() {
                Ok(winner) if self.verifies(&winner, &call.team) => ClaimResult::Lost(winner),
                _ => ClaimResult::Unknown(id, UnknownReason::NoAnswer),
            },
            Err(error) if error.is_not_written() => ClaimResult::NotRun(id, claim_refusal(&error)),
            Err(_) => self.rule_out(id, call, Reason::LogUnavailable),
        }
    }

    fn start_claimed(self: &Arc<Self>, id: RequestId, call: &Call) -> ClaimResult {
        match self.submit(id, call, Authority::Home) {
            // A node that lost against this id may have sent its call first, or a different one. If
            // this node has left, the requesting node finds the successor, which starts the call.
            Entry::New(_) | Entry::Known(_) | Entry::OtherCall | Entry::Closed => {
                ClaimResult::Won(id)
            }
            Entry::Expired => ClaimResult::NotRun(id, not_run(Reason::IdExpired, REFUSAL_RETRY_MS)),
        }
    }

    /// Rules an id out, unless it already runs.
    fn rule_out(&self, id: RequestId, call: &Call, reason: Reason) -> ClaimResult {
        let not_run = not_run(reason, LOG_RETRY_MS);
        let record = Record::new(id, call.clone());
        record.end(Outcome::NotRun(not_run), self.clock.now());
        match self.records.insert_if_absent(record) {
            // Checked after the insertion: a leaving node first changes its phase and then reads
            // the table, so it hands this record over unless it read the table earlier.
            _ if self.phase() == Phase::Left => ClaimResult::Unknown(id, UnknownReason::HomeGone),
            (_, true) => ClaimResult::NotRun(id, not_run),
            // A node that lost against the id has sent the call, which runs.
            (_, false) => ClaimResult::Won(id),
        }
    }
}

fn claim_refusal(error: &ClaimError) -> NotRun {
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
