//! Sends changes of announcements to peers and applies those that peers send.

use std::net::SocketAddr;

use super::changes::{Origin, apply_changes};
use crate::gateway::handover;
use crate::gateway::log_position::LogPosition;
use crate::gateway::messages::{Message, UpstreamChanges};
use crate::gateway::recent_changes::ChangeBatch;
use crate::gateway::state::{Gateway, Recipients};
use crate::time::TimeMs;

/// Sends the changes since a position to the peers of this failure domain, and to one node of each
/// other failure domain, which forwards them to its own.
pub(super) fn broadcast_changes(node: &Gateway, since: LogPosition, now: TimeMs) {
    let steps = node.recent_changes.lock().batches_to_send(since, now);
    for news in build_messages(node, steps, now) {
        let handed_on = UpstreamChanges {
            is_relayed: true,
            ..news.clone()
        };
        node.send_message(Recipients::SameDomain, Message::Upstreams(news));
        node.send_message(
            Recipients::OtherDomainLeaders,
            Message::Upstreams(handed_on),
        );
    }
}

/// Builds one message per step, or one message without changes if there are no steps.
pub(in crate::gateway) fn build_messages(
    node: &Gateway,
    mut steps: Vec<ChangeBatch>,
    now: TimeMs,
) -> Vec<UpstreamChanges> {
    let (end, read_at) = {
        let view = node.upstreams_view.lock();
        (view.end, view.read_at)
    };
    if steps.is_empty() {
        steps.push(ChangeBatch {
            from: end,
            to: end,
            changes: Vec::new(),
        });
    }
    let read_at_day_ms = read_at_day_ms(node, read_at, now);
    let store_was_away = node.store_was_away(now);
    let news = steps.into_iter().map(|step| UpstreamChanges {
        from: step.from,
        to: step.to,
        changes: step.changes,
        read_at_day_ms: read_at_day_ms.filter(|_day_ms| step.to >= end),
        store_was_away,
        is_relayed: false,
    });
    news.collect()
}

/// Returns when this node had read all announcements, in Unix milliseconds of the time of day that
/// most nodes agree on; `None` if it never did.
pub(in crate::gateway) fn read_at_day_ms(
    node: &Gateway,
    read_at: TimeMs,
    now: TimeMs,
) -> Option<u64> {
    let day_ms = node.agreed_time_of_day(now).0;
    (read_at > TimeMs(0)).then(|| day_ms.saturating_sub(now.since(read_at)))
}

/// Converts the time at which a peer read the store to this node's clock.
///
/// A message may wait for seconds at the link of a small host. If it counted as read on arrival,
/// this node would not read the store itself, and upstreams that left in the meantime would keep
/// getting requests. A time of day ahead of this node's counts as now.
#[must_use]
pub(in crate::gateway) fn read_at(read_at_day_ms: u64, day_now: TimeMs, now: TimeMs) -> TimeMs {
    let age_ms = day_now.0.saturating_sub(read_at_day_ms);
    TimeMs(now.0.saturating_sub(age_ms))
}

/// Applies a peer's message about changed announcements.
pub(crate) fn apply_peer_changes(
    node: &Gateway,
    news: UpstreamChanges,
    from: SocketAddr,
    now: TimeMs,
) {
    if news.is_relayed {
        let sent = UpstreamChanges {
            is_relayed: false,
            ..news.clone()
        };
        node.send_message(Recipients::SameDomain, Message::Upstreams(sent));
    }
    let (end, has_pending, is_known) = {
        let mut view = node.upstreams_view.lock();
        view.known_end = view.known_end.max(news.to);
        (view.end, !view.pending.is_empty(), view.is_known())
    };
    match end {
        // This node has read beyond the message.
        _ if end > news.to => {}
        // The store was restored from a backup, and the previous table is still in use until the
        // new one is read. Upstreams that leave in the meantime must be removed without that delay.
        _ if end.is_start() && is_known => {
            let changes = news.changes.clone();
            node.upstreams_view.lock().buffer(news);
            apply_changes(node, changes, Origin::Peer, true, now);
        }
        // This node has no table yet to apply the changes to.
        _ if end.is_start() => {}
        _ if end < news.from => {
            node.upstreams_view.lock().buffer(news);
            // The first message behind a gap triggers a request at once; if its answer is lost, the
            // periodic check asks again.
            if !has_pending {
                handover::send_request(node, from);
            }
        }
        _ => {
            apply_next(node, news, now);
            while let Some(pending) = next_pending(node) {
                apply_next(node, pending, now);
            }
        }
    }
}

fn next_pending(node: &Gateway) -> Option<UpstreamChanges> {
    node.upstreams_view.lock().next_pending()
}

/// Applies a message that starts at or before the end of what this node has read.
fn apply_next(node: &Gateway, news: UpstreamChanges, now: TimeMs) {
    let end = node.upstreams_view.lock().end;
    let read_at = (news.read_at_day_ms)
        .map(|day_ms| read_at(day_ms, node.agreed_time_of_day(now), now))
        .unwrap_or_default();
    node.store_contact.lock().record_peer_read(read_at);
    let was_away = news.store_was_away || node.store_was_away(now);
    // The step keeps all changes of the message. A change that this node already knew, because its
    // table was ahead of its position, can still be new to a peer that asks this node.
    let step = ChangeBatch {
        from: end,
        to: news.to,
        changes: news.changes.clone(),
    };
    apply_changes(node, news.changes, Origin::Peer, was_away, now);
    node.recent_changes.lock().record(step, now);
    node.upstreams_view.lock().advance_to(news.to, read_at);
}
