//! Exchanges the speed of upstreams: a node's own in its heartbeats, a group's by its speaker.

use tokio::net::UdpSocket;

use super::transport::send_to;
use super::{PACES_INTERVAL_MS, Timer};
use crate::gateway::messages::{GroupSpeeds, Heartbeat, Message};
use crate::gateway::speed::relative::{Scope, Sender};
use crate::gateway::speed::sums::SpeedRow;
use crate::gateway::state::Gateway;
use crate::time::TimeMs;

/// Lets what is known of speeds age, and states those of this group to the others if this node is
/// its speaker.
pub(super) async fn send_if_due(
    node: &Gateway,
    socket: &UdpSocket,
    timer: &mut Timer,
    now: TimeMs,
) {
    let elapsed_ms = now.since(timer.sent_at);
    let is_first = timer.sent_at == TimeMs(0);
    if !timer.try_start(PACES_INTERVAL_MS, now) || is_first {
        return;
    }
    age(node, elapsed_ms);
    let reach = node.store_reach(now);
    let (carriers, group) = {
        let mut peers = node.peers.lock();
        if peers.group_count() == 1 || !peers.is_speaker(reach, now) {
            return;
        }
        (peers.carriers(now), peers.group_of(node.incarnation))
    };
    let group = group.unwrap_or_default();
    let rows = (node.upstreams.lock()).take_speed_rows(Scope::Group, &group);
    if rows.is_empty() {
        return;
    }
    let stated = Message::GroupSpeeds(GroupSpeeds {
        speaker: node.incarnation,
        sequence: node.next_status_sequence(),
        rows,
    });
    send_to(socket, &Message::Forward(Box::new(stated)), &carriers).await;
}

fn age(node: &Gateway, elapsed_ms: u64) {
    let members = node.peers.lock().incarnations();
    let changes = node.upstreams.lock().age_speeds(elapsed_ms, &members);
    for change in changes {
        log::info!(
            event = "upstream_speed_learned",
            upstream = change.upstream.as_str(),
            pool = change.pool.as_str(),
            standing = change.standing.as_str(),
            upstream_speed = change.factor;
            "an upstream takes much longer or shorter than its pool's mean one, or no longer does"
        );
    }
}

/// Applies what a node of this group states of its own requests.
pub(super) fn apply_own(node: &Gateway, heartbeat: &Heartbeat) {
    let status = &heartbeat.status;
    if !heartbeat.speeds.is_empty() {
        let stated = (status.incarnation, status.sequence);
        apply(node, Scope::Node, stated, &heartbeat.speeds);
    }
}

/// Applies what the speaker of another group states of its group's requests.
pub(super) fn apply_of_group(node: &Gateway, stated: &GroupSpeeds) {
    let sender = (stated.speaker, stated.sequence);
    apply(node, Scope::Group, sender, &stated.rows);
}

fn apply(node: &Gateway, scope: Scope, (incarnation, sequence): (u64, u64), rows: &[SpeedRow]) {
    let Some(group) = node.peers.lock().group_of(incarnation) else {
        log::debug!(incarnation, rows = rows.len(); "ignored the speeds that an unknown node stated");
        return;
    };
    // The nodes of this group state their own requests; their sum would count them twice.
    if scope == Scope::Group && group.binary_search(&node.incarnation).is_ok() {
        return;
    }
    let sender = Sender {
        incarnation,
        scope,
        sequence,
        group: &group,
    };
    let dropped_count = (node.upstreams.lock()).apply_speed_rows(&sender, rows);
    if dropped_count > 0 {
        log::warn!(event = "speed_rows_dropped", incarnation, dropped = dropped_count as u64; "a peer stated speeds that no node computes; they are not used");
    }
}

#[cfg(test)]
mod tests;
