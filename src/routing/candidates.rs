//! Reads the blackboard into the view that a choice is made on.

use super::{Candidate, Standing};
use crate::blackboard::{Blackboard, HostRow, HostState, UpstreamRow};
use crate::document::Document;
use crate::document::checked::PoolKind;
use crate::keys::PoolKey;
use crate::time::TimeMs;
use crate::upstreams::Role;

/// Slots assumed of an upstream that has not reported any, such as a plain service.
const DEFAULT_SLOTS: u32 = 64;

/// What a request needs of its upstream.
#[derive(Clone, Copy, Debug)]
pub enum Need<'a> {
    /// A model engine with a model.
    Model {
        /// The model's name.
        model: &'a str,
        /// The kind of work that the request is.
        role: Role,
    },
    /// A plain service of a pool.
    Service {
        /// The pool.
        pool: PoolKey,
    },
}

/// All hosts that could serve the need, with their standing; `cached_tokens` is left at 0.
#[must_use]
pub fn gather(
    blackboard: &Blackboard,
    document: &Document,
    need: Need<'_>,
    now: TimeMs,
) -> Vec<Candidate> {
    let pools = pools(document, need);
    let mut view = Vec::new();
    blackboard.visit_hosts(|row| {
        if pools.binary_search(&row.pool).is_ok() {
            let learnt = |learnt: &mut UpstreamRow| candidate(row, learnt, document, need, now);
            view.push(blackboard.upstreams.with(row.key, learnt));
        }
    });
    view
}

fn pools(document: &Document, need: Need<'_>) -> Vec<PoolKey> {
    let serves = |kind: &PoolKind, pool: PoolKey| match (need, kind) {
        (Need::Model { model, .. }, PoolKind::Engine { models, .. }) => document
            .find_model(model)
            .is_some_and(|model| models.binary_search(&model).is_ok()),
        (Need::Service { pool: wanted }, PoolKind::Service { .. }) => pool == wanted,
        _ => false,
    };
    let pools = document.pools.iter().enumerate();
    pools
        .map(|(index, pool)| (PoolKey::from(index), pool))
        .filter(|(key, pool)| serves(&pool.kind, *key))
        .map(|(key, _)| key)
        .collect()
}

fn candidate(
    row: &HostRow,
    learnt: &UpstreamRow,
    document: &Document,
    need: Need<'_>,
    now: TimeMs,
) -> Candidate {
    let class = document.host_class(row.class);
    let reported = f64::from(row.load.running) + f64::from(row.load.queued);
    let own = learnt.sent.balance_since(row.load.as_of_ms);
    let peers = learnt.sent_by_peers.balance_since(row.load.as_of_ms);
    let since = f64::from(own.saturating_add(peers));
    let slots = [row.load.slots, class.slots, DEFAULT_SLOTS];
    let (has_model, in_role) = match need {
        Need::Model { model, role } => (learnt.has_model(model), learnt.role == role),
        Need::Service { .. } => (true, true),
    };
    Candidate {
        host: row.key,
        address: row.address,
        domain: row.domain,
        standing: match row.state {
            HostState::Leaving { .. } => Standing::Leaving,
            HostState::Live if learnt.is_drained(now) => Standing::Leaving,
            HostState::Live => learnt.health.standing(now),
        },
        has_model,
        in_role,
        streams_ahead: (reported + since).max(f64::from(row.open_here)),
        slots: slots.into_iter().find(|slots| *slots > 0).unwrap_or(1),
        prefill_backlog_ms: learnt.sent.prefill_backlog_ms(now),
        excess_ms: learnt.sent.excess_ms(now),
        prefill_tokens_per_second: class.prefill_tokens_per_second,
        cached_tokens: 0.0,
        price_per_hour: class.price_per_hour,
    }
}
