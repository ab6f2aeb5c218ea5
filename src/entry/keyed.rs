//! Answers calls that carry their caller's own `Idempotency-Key`.
//!
//! Keys matter for calls that must not run twice. An idempotent call may run again by its nature, so
//! its key is not looked at, and costs the log nothing.

use std::sync::Arc;

use http::HeaderMap;

use super::bodies::{self, IDEMPOTENCY_KEY};
use super::refusal::Refusal;
use crate::coordination::claims::ClaimKey;
use crate::node::{Node, NodeLinks};
use crate::requests::keyed::{ClaimRequest, ClaimResult, HolderAction, action_after_lost_claim};
use crate::requests::{Call, Outcome, RequestFollower, RequestId};

/// The longest key.
const MOST_KEY_BYTES: usize = 256;

/// The key of a call, if it has one that matters.
pub(super) fn key(
    headers: &HeaderMap,
    team: &str,
    idempotent: bool,
) -> Result<Option<ClaimKey>, Refusal> {
    match bodies::text(headers, IDEMPOTENCY_KEY)? {
        Some(key) if key.is_empty() || key.len() > MOST_KEY_BYTES => Err(Refusal::Header),
        Some(key) if !idempotent => Ok(Some(ClaimKey::of(team, key))),
        Some(_) | None => Ok(None),
    }
}

/// Follows the request that holds the key, which is started if it is new.
pub(super) async fn follow(
    node: &Arc<Node>,
    key: ClaimKey,
    call: Call,
) -> (RequestId, RequestFollower<NodeLinks>) {
    let follow = |id| RequestFollower::new(Arc::clone(&node.core), id, Some(call.clone()), 0);
    let said = |id, outcome| (id, follow(id).with_outcome(outcome));
    let mut ask = ClaimRequest {
        key,
        call: call.clone(),
        supersedes: None,
    };
    let mut round = 0;
    loop {
        let holder = match node.claim(&ask).await {
            ClaimResult::Won(id) => return (id, follow(id)),
            ClaimResult::NotRun(id, not_run) => return said(id, Outcome::NotRun(not_run)),
            ClaimResult::Unknown(id, doubt) => return said(id, Outcome::Unknown(doubt)),
            ClaimResult::Lost(holder) => holder,
        };
        let mut following = follow(holder);
        let first = following.peek().await;
        match action_after_lost_claim(&holder, first, round, node.core.clock.now()) {
            HolderAction::Answer => return (holder, following),
            HolderAction::Unknown(doubt) => return said(holder, Outcome::Unknown(doubt)),
            HolderAction::Supersede => ask.supersedes = Some(holder),
        }
        round += 1;
    }
}
