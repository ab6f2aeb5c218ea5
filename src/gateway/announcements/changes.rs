//! Applies changes of announcements to the table of upstreams and logs them.

use crate::gateway::state::Gateway;
use crate::gateway::upstreams::{Change, Phase, Upstream};
use crate::platform::store::Topic;
use crate::time::TimeMs;

/// The source of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Origin {
    Store,
    /// A peer, which has read the change from the store and logged it.
    Peer,
}

/// Applies changes; returns those that had an effect.
///
/// `was_away` states that the store has just recovered from an outage, so that a removal may only
/// be an expired announcement.
pub(super) fn apply_changes(
    node: &Gateway,
    changes: Vec<Change>,
    origin: Origin,
    was_away: bool,
    now: TimeMs,
) -> Vec<Change> {
    let mut table = node.upstreams.lock();
    let mut effective = Vec::new();
    for change in changes {
        let change = match change {
            Change::Present(announced) if table.lacks_start_time(&announced) => {
                let reason = "it does not say when it started, as its pool does";
                node.store
                    .report_malformed(Topic::Upstreams, &announced.id, &reason);
                Change::Unreadable { id: announced.id }
            }
            change => change,
        };
        if !matches!(change, Change::Unreadable { .. }) {
            node.store.record_sound(Topic::Upstreams, change.id());
        }
        let is_known = table.is_known(&change);
        if !is_known {
            log_change(&change, origin);
            effective.push(change.clone());
        }
        // An announcement with only a new sequence number is still applied: later ones are ordered
        // by that number.
        if !is_known || matches!(change, Change::Present(_)) {
            let key = table.apply(change, was_away, now);
            if let Some(upstream) = key.and_then(|key| table.get(key))
                && !is_known
            {
                log_contradiction(upstream);
            }
        }
    }
    effective
}

/// Logs an announcement of an upstream that had stated in its answers that it is leaving.
fn log_contradiction(upstream: &Upstream) {
    if upstream.send_gate.is_leaving() && upstream.announcement.phase == Phase::Ready {
        let id = upstream.announcement.id.as_str();
        let is_removed = upstream.is_removed;
        log::info!(event = "upstream_leaving_kept", upstream = id, is_removed; "the announcement changed of an upstream that had stated that it is leaving; it still gets no requests");
    }
}

/// Logs a change at info level only on the node that read it from the store, since every other node
/// would repeat the line.
fn log_change(change: &Change, origin: Origin) {
    let level = match origin {
        Origin::Store => log::Level::Info,
        Origin::Peer => log::Level::Debug,
    };
    match change {
        Change::Present(announced) => log::log!(
            level,
            event = "upstream_changed",
            upstream = announced.id.as_str(),
            pool = announced.pool.as_str(),
            version = announced.version.as_str(),
            failure_domain = announced.failure_domain.as_str(),
            phase:? = announced.phase,
            reclaimable = announced.is_reclaimable,
            leaves_in_ms:? = announced.leaves_in_ms,
            born_ms:? = announced.born_ms;
            "an upstream announced a change"
        ),
        Change::Removed { id } | Change::Unreadable { id } => {
            log::log!(level, event = "upstream_removed", upstream = id.as_str(); "an upstream's announcement is gone");
        }
    }
}
