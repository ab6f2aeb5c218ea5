//! Discovers the members of the fleet in the store.

use std::sync::Arc;
use std::time::Duration;

use rand::Rng;

use super::MAX_DATAGRAM_BYTES;
use super::statements::build_heartbeat;
use crate::gateway::clock;
use crate::gateway::log_position::LogPosition;
use crate::gateway::messages::{Member, Message};
use crate::gateway::num;
use crate::gateway::state::{Gateway, Recipients};
use crate::platform::rollouts;
use crate::platform::store::Topic;

/// Interval between two reads of the member records in the store.
const DISCOVERY_INTERVAL_MS: u64 = 1_000;

/// Writes this node's member record to the store and reads the records of the others.
///
/// One read after the own record is written is enough: of two nodes that start at the same time, the
/// later one reads the earlier one's record and sends it a heartbeat.
pub(crate) async fn discover(node: Arc<Gateway>) {
    // A store that is restored from a copy may have lost this node's record, so the record is written
    // again in each era.
    let mut written_in_era = None;
    let mut has_read_members = false;
    loop {
        let (era, _age_ms) = node.era(clock::now());
        if written_in_era != Some(era) {
            written_in_era = write_member(&node).await.map(|place| place.era);
        }
        let is_written = written_in_era.is_some();
        let is_alone = node.peers.lock().live(clock::now()).next().is_none();
        if (is_written && !has_read_members) || is_alone {
            let has_read = read_members(&node).await;
            node.upstreams_view.lock().knows_nodes |= has_read;
            has_read_members |= has_read && is_written;
            // Without this message the others would learn of this node from its next heartbeat, up
            // to a second later.
            let heartbeat = build_heartbeat(&node, clock::now());
            node.send_message(Recipients::Group, Message::Heartbeat(Box::new(heartbeat)));
        }
        let delay_ms = num::to_f64(DISCOVERY_INTERVAL_MS) * rand::rng().random_range(0.8..1.2);
        tokio::time::sleep(Duration::from_millis(num::round_to_u64(delay_ms))).await;
    }
}

/// Writes this node's member record; returns its place in the store, or `None` on failure.
async fn write_member(node: &Gateway) -> Option<LogPosition> {
    let member = node.peers.lock().own().clone();
    let encoded = match bincode::encode_to_vec(&member, bincode::config::standard()) {
        Ok(encoded) => encoded,
        Err(error) => {
            log::error!(error:err = error; "cannot encode this node's member record");
            return None;
        }
    };
    let written = node.store.put(Topic::Nodes, &member.name, &encoded).await;
    if let Err(error) = &written {
        log::debug!(error:% = error; "cannot write this node's member record to the store; retrying");
    }
    node.record_store_era(clock::now());
    written.ok()
}

/// Adds the members and rollout results in the store; returns whether the read succeeded.
async fn read_members(node: &Gateway) -> bool {
    let newest = match node.store.read_latest(Topic::Nodes).await {
        Ok(newest) => newest,
        Err(error) => {
            log::debug!(error:err = error; "cannot read the member records from the store; retrying");
            return false;
        }
    };
    let now = clock::now();
    for item in newest.items {
        let Some(value) = item.value else { continue };
        if let Some(pool) = rollouts::pool_from_key(&item.key) {
            if let Some((order, stage)) = rollouts::decode_final_status(&value) {
                node.rollouts.lock().record_end(pool, order, stage);
            }
            continue;
        }
        let config = bincode::config::standard().with_limit::<MAX_DATAGRAM_BYTES>();
        match bincode::decode_from_slice::<Member, _>(&value, config) {
            // A record of another writer may decode as a member by chance. A node writes its record
            // under its own name, without trailing bytes.
            Ok((member, length)) if member.name == item.key && length == value.len() => {
                node.peers.lock().add_member(member, now);
            }
            Ok(_other) => {
                let reason = "it is not the record of the node that its key names";
                node.store
                    .report_malformed(Topic::Nodes, &item.key, &reason);
            }
            Err(error) => node.store.report_malformed(Topic::Nodes, &item.key, &error),
        }
    }
    true
}
