//! Handles calls that carry an `Idempotency-Key` of their caller.
//!
//! Keys matter for calls that must not run twice. An idempotent call may run again by definition,
//! so its key is ignored and causes no writes to the log.

use std::sync::Arc;

use http::HeaderMap;

use super::parsing::{self, IDEMPOTENCY_KEY};
use super::refusal::Refusal;
use crate::coordination::claims::ClaimKey;
use crate::node::{Node, NodeDependencies};
use crate::requests::idempotency_keys::{
    ClaimRequest, ClaimResult, HolderAction, action_after_lost_claim,
};
use crate::requests::{Call, Outcome, RequestFollower, RequestId};

/// Maximum size of a key.
const MAX_KEY_BYTES: usize = 256;

/// Returns the key of a non-idempotent call, if it has one.
pub(super) fn key(
    headers: &HeaderMap,
    team: &str,
    idempotent: bool,
) -> Result<Option<ClaimKey>, Refusal> {
    match parsing::text(headers, IDEMPOTENCY_KEY)? {
        Some(key) if key.is_empty() || key.len() > MAX_KEY_BYTES => Err(Refusal::InvalidHeader),
        Some(key) if !idempotent => Ok(Some(ClaimKey::of(team, key))),
        Some(_) | None => Ok(None),
    }
}

/// Follows the request that holds the key, and starts the call if the key is new.
pub(super) async fn follow(
    node: &Arc<Node>,
    key: ClaimKey,
    call: Call,
) -> RequestFollower<NodeDependencies> {
    let follow = |id| RequestFollower::new(Arc::clone(&node.core), id, Some(call.clone()), 0);
    let ended_as = |id: RequestId, outcome| follow(id).with_outcome(outcome);
    let mut ask = ClaimRequest {
        key,
        call: call.clone(),
        supersedes: None,
    };
    let mut round = 0;
    loop {
        let holder = match node.claim(&ask).await {
            ClaimResult::Won(id) => return follow(id),
            ClaimResult::NotRun(id, not_run) => return ended_as(id, Outcome::NotRun(not_run)),
            ClaimResult::Unknown(id, doubt) => return ended_as(id, Outcome::Unknown(doubt)),
            ClaimResult::Lost(holder) => holder,
        };
        let mut following = follow(holder);
        let first = following.peek().await;
        match action_after_lost_claim(&holder, first, round, node.core.clock.now()) {
            HolderAction::Answer => return following,
            HolderAction::Unknown(doubt) => return ended_as(holder, Outcome::Unknown(doubt)),
            HolderAction::Supersede => ask.supersedes = Some(holder),
        }
        round += 1;
    }
}
