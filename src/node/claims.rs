//! Claims callers' idempotency keys, here and at the node that is chosen for a key.

use std::sync::Arc;

use super::Node;
use super::messages::{Reply, Request};
use crate::coordination::claims::{Claim, choose_claimer};
use crate::requests::core::Phase;
use crate::requests::keyed::{ClaimRequest, ClaimResult, LOG_RETRY_MS, with_silent_claimer};
use crate::requests::links::{Peers, Unreachable};
use crate::requests::outcome::{NotRun, Reason};
use crate::requests::{RequestId, TeamTag};

/// How long a claim may take; less than a peer waits for a reply.
const CLAIM_WITHIN_MS: u64 = 2_000;

/// How long a claim may take while the log has been out of reach for a while.
///
/// Its caller is told at once when to come back, rather than after the time of a slow append.
const CLAIM_WITHOUT_LOG_MS: u64 = 100;

/// Nodes that are asked to claim a key, one after another.
const CLAIMERS_TRIED: usize = 3;

impl Node {
    /// Claims a key through the node that is chosen for it, and starts the call if it wins.
    pub async fn claim(self: &Arc<Self>, ask: &ClaimRequest) -> ClaimResult {
        let mut live = self.directory.live();
        if live.is_empty() {
            live.push(self.core.own);
        }
        let mut doubtful = false;
        let claimers = (0..CLAIMERS_TRIED).map_while(|rank| choose_claimer(ask.key, &live, rank));
        for claimer in claimers {
            if claimer == self.core.own {
                match self.claim_here(ask.clone()).await {
                    Some(claimed) => return with_silent_claimer(claimed, doubtful),
                    None => continue,
                }
            }
            let request = Request::Claim(Box::new(ask.clone()));
            match self.core.peers.call(claimer, request).await {
                Ok(Reply::Claimed(claimed)) => return with_silent_claimer(claimed, doubtful),
                Ok(_) | Err(Unreachable::Gone) => {}
                Err(Unreachable::Silent) => doubtful = true,
            }
        }
        let refused = log_unavailable();
        with_silent_claimer(
            ClaimResult::NotRun(self.mint_here(&ask.call.team), refused),
            doubtful,
        )
    }

    /// Claims a key as the home of the call; nothing if this node leaves.
    ///
    /// In a task of its own: the connection that brought the call may break, and a claim that is
    /// dropped midway would hold the key for an id that nobody starts or rules out.
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
        // A key that is known to be held is answered also without the log.
        let within_ms = match self.log_silent_ms(now) {
            None => CLAIM_WITHIN_MS,
            Some(_) => CLAIM_WITHOUT_LOG_MS,
        };
        let claimed = self.claimer.claim(claim, now.after(within_ms)).await;
        if let Err(error) = &claimed {
            log::info!(id:% = id, error:% = error; "a key has not been claimed");
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
