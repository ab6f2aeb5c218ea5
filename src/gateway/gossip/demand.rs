//! Sends what callers ask of pools that are short of room.

use tokio::net::UdpSocket;

use super::transport::send_to;
use super::{Schedule, heartbeat_interval_ms};
use crate::gateway::messages::Message;
use crate::gateway::state::Gateway;
use crate::time::TimeMs;

/// Sends the demand on pools that are short of room: this node's to its group, and the group's to
/// the others if this node is its speaker.
pub(super) async fn send_if_due(
    node: &Gateway,
    socket: &UdpSocket,
    schedule: &mut Schedule,
    now: TimeMs,
) {
    if !(schedule.demand).try_start(heartbeat_interval_ms(node), now) {
        return;
    }
    let own = (node.scheduling.lock()).own_reports(node.incarnation, now);
    if own.is_empty() {
        return;
    }
    let (addresses, carriers, group) = {
        let reach = node.store_reach(now);
        let mut peers = node.peers.lock();
        let speaks = peers.group_count() > 1 && peers.is_speaker(reach, now);
        let carriers = if speaks {
            peers.carriers(now)
        } else {
            Vec::new()
        };
        (peers.group_addresses(), carriers, peers.group_id())
    };
    for report in own {
        send_to(socket, &Message::Demand(report), &addresses).await;
    }
    if carriers.is_empty() {
        return;
    }
    let of_group = (node.scheduling.lock()).group_reports(group, now);
    for report in of_group {
        let message = Message::Forward(Box::new(Message::Demand(report)));
        send_to(socket, &message, &carriers).await;
    }
}
