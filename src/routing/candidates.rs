//! Builds the list of candidates for a routing decision from the blackboard.

use super::{Availability, Candidate};
use crate::blackboard::{Blackboard, HostRow, HostState, UpstreamRow};
use crate::document::Document;
use crate::document::checked::PoolKind;
use crate::keys::PoolKey;
use crate::time::TimeMs;
use crate::upstreams::Role;

/// Slots assumed for an upstream that reports none, such as a plain service.
const DEFAULT_SLOTS: u32 = 64;

/// What a request requires of its upstream.
#[derive(Clone, Copy, Debug)]
pub enum Requirement<'a> {
    /// An engine that serves a model.
    Model {
        /// The model's name.
        model: &'a str,
        /// The role that matches the request's kind of work.
        role: Role,
    },
    /// A plain service in a pool.
    Service {
        /// The pool.
        pool: PoolKey,
    },
}

/// Returns all hosts of the pools that serve `need`; `cached_tokens` is 0 in each.
#[must_use]
pub fn gather_candidates(
    blackboard: &Blackboard,
    document: &Document,
    need: Requirement<'_>,
    now: TimeMs,
) -> Vec<Candidate> {
    let pools = pools(document, need);
    let mut view = Vec::new();
    blackboard.for_each_host(|row| {
        if pools.binary_search(&row.pool).is_ok() {
            let observed =
                |observed: &mut UpstreamRow| candidate(row, observed, document, need, now);
            view.push(blackboard.upstreams.with(row.key, observed));
        }
    });
    view
}

fn pools(document: &Document, need: Requirement<'_>) -> Vec<PoolKey> {
    let serves = |kind: &PoolKind, pool: PoolKey| match (need, kind) {
        (Requirement::Model { model, .. }, PoolKind::Engine { models, .. }) => document
            .find_model(model)
            .is_some_and(|model| models.binary_search(&model).is_ok()),
        (Requirement::Service { pool: wanted }, PoolKind::Service { .. }) => pool == wanted,
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
    observed: &UpstreamRow,
    document: &Document,
    need: Requirement<'_>,
    now: TimeMs,
) -> Candidate {
    let class = document.host_class(row.class);
    let reported = f64::from(row.load.running) + f64::from(row.load.queued);
    let own = observed
        .unreported_load
        .net_streams_since(row.load.as_of_ms);
    let peers = observed
        .unreported_peer_load
        .net_streams_since(row.load.as_of_ms);
    let unreported = f64::from(own.saturating_add(peers));
    let slots = [row.load.slots, class.slots, DEFAULT_SLOTS];
    let (has_model, is_role_match) = match need {
        Requirement::Model { model, role } => (observed.has_model(model), observed.role == role),
        Requirement::Service { .. } => (true, true),
    };
    Candidate {
        host: row.key,
        address: row.address,
        domain: row.domain,
        availability: match row.state {
            HostState::Leaving { .. } => Availability::Leaving,
            HostState::Live if observed.is_draining(now) => Availability::Leaving,
            HostState::Live => observed.health.availability(now),
        },
        has_model,
        is_role_match,
        streams_ahead: (reported + unreported).max(f64::from(row.own_open_streams)),
        slots: slots.into_iter().find(|slots| *slots > 0).unwrap_or(1),
        prefill_backlog_ms: observed.unreported_load.prefill_backlog_ms(now),
        first_token_excess_ms: observed.unreported_load.first_token_excess_ms(now),
        prefill_tokens_per_second: class.prefill_tokens_per_second,
        cached_tokens: 0.0,
        price_per_hour: class.price_per_hour,
    }
}
