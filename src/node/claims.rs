//! Claims callers' idempotency keys, locally or through the node selected for a key.

use std::sync::Arc;

use super::Node;
use super::messages::{Reply, Request};
use crate::coordination::claims::{Claim, choose_claimer};
use crate::requests::core::Phase;
use crate::requests::dependencies::{Peers, Unreachable};
use crate::requests::idempotency_keys::{
    ClaimRequest, ClaimResult, LOG_RETRY_MS, with_silent_claimer,
};
use crate::requests::outcome::{NotRun, Reason};
use crate::requests::{RequestId, TeamTag};

/// Timeout of a claim; shorter than the timeout of a peer's reply.
const CLAIM_TIMEOUT_MS: u64 = 2_000;

/// Timeout of a claim while the log is unavailable.
///
/// The caller gets its retry delay immediately instead of after the timeout of a slow append.
const CLAIM_TIMEOUT_DURING_OUTAGE_MS: u64 = 100;

/// Maximum number of nodes tried in order for one claim.
const MAX_CLAIMERS_TRIED: usize = 3;

impl Node {
    /// Claims a key through the node selected for it, and starts the call if the claim wins.
    pub async fn claim(self: &Arc<Self>, ask: &ClaimRequest) -> ClaimResult {
        let mut live = self.directory.live();
        if live.is_empty() {
            live.push(self.core.own);
        }
        let mut is_uncertain = false;
        let claimers =
            (0..MAX_CLAIMERS_TRIED).map_while(|rank| choose_claimer(ask.key, &live, rank));
        for claimer in claimers {
            if claimer == self.core.own {
                match self.claim_here(ask.clone()).await {
                    Some(claimed) => return with_silent_claimer(claimed, is_uncertain),
                    None => continue,
                }
            }
            let request = Request::Claim(Box::new(ask.clone()));
            match self.core.peers.call(claimer, request).await {
                Ok(Reply::Claimed(claimed)) => return with_silent_claimer(claimed, is_uncertain),
                Ok(_) | Err(Unreachable::Gone) => {}
                Err(Unreachable::Refusing | Unreachable::Silent) => is_uncertain = true,
            }
        }
        let not_run = log_unavailable();
        with_silent_claimer(
            ClaimResult::NotRun(self.mint_here(&ask.call.team), not_run),
            is_uncertain,
        )
    }

    /// Claims a key as the home of the call; `None` if this node is leaving.
    ///
    /// Runs in a separate task, because the connection that carried the call may break: a claim
    /// that is dropped before it completes would hold the key for an id that no node starts or
    /// rules out.
    pub(super) async fn claim_here(self: &Arc<Self>, ask: ClaimRequest) -> Option<ClaimResult> {
        if self.core.phase() != Phase::Serving {
            return None;
        }
        let node = Arc::clone(self);
        let claim = self
            .core
            .tasks
            .spawn(async move { node.claim_now(ask).await });
        claim.await.ok()
    }

    async fn claim_now(&self, ask: ClaimRequest) -> ClaimResult {
        let id = self.mint_own(&ask.call.team);
        let now = self.core.clock.now();
        let claim = Claim {
            key: ask.key,
            id: id.to_string(),
            supersedes: ask.supersedes.map(|holder| holder.to_string()),
        };
        // A key whose holder is known can be answered while the log is unavailable.
        let timeout_ms = match self.log_silent_ms(now) {
            None => CLAIM_TIMEOUT_MS,
            Some(_) => CLAIM_TIMEOUT_DURING_OUTAGE_MS,
        };
        let claimed = self.claimer.claim(claim, now.after(timeout_ms)).await;
        if let Err(error) = &claimed {
            log::info!(id:% = id, error:% = error; "an idempotency key could not be claimed; the call is refused unless it already runs");
        }
        self.core.conclude_claim(id, &ask.call, claimed)
    }

    fn mint_own(&self, team: &str) -> RequestId {
        let own = self.core.own;
        let witness = self.directory.witness(own).unwrap_or(own);
        let now = self.core.clock.now();
        self.core.mint(own, witness, TeamTag::of(team), now)
    }
}

fn log_unavailable() -> NotRun {
    NotRun {
        reason: Reason::LogUnavailable,
        retry_after_ms: LOG_RETRY_MS,
    }
}
