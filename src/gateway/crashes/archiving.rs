//! Writes what is blocked to the platform's store, and reads it when a node starts.
//!
//! Nodes tell each other of blocks, so that one node writes for all. A node that starts alone, or with
//! all others, knows none from its peers: few nodes read the record, and tell the others.

use std::sync::Arc;
use std::time::Duration;

use super::archive::{StoredBlocks, StoredState};
use crate::gateway::clock;
use crate::gateway::peers::ActingNode;
use crate::gateway::state::Gateway;
use crate::gateway::streams;
use crate::platform::store::{StoreError, Topic};
use crate::time::TimeMs;

/// Key of the record with all blocks.
const KEY: &str = "blocks";

/// Interval between two checks whether to write; a block is written this much late.
const WRITE_CHECK_INTERVAL_MS: u64 = 250;

/// Delay after a record that the store did not take.
const RETRY_DELAY_MS: u64 = 1_000;

/// Interval between two checks whether the record can be read.
const READ_RETRY_INTERVAL_MS: u64 = 200;

/// Keeps the record in the store current until the process exits.
pub(crate) async fn keep_blocks(node: Arc<Gateway>) {
    let mut state = StoredState::default();
    // A record that was written before the stored one is read would drop what that one holds.
    read_blocks(&node, &mut state).await;
    loop {
        let is_written = write_if_due(&node, &mut state).await;
        let delay_ms = if is_written {
            WRITE_CHECK_INTERVAL_MS
        } else {
            RETRY_DELAY_MS
        };
        tokio::time::sleep(Duration::from_millis(delay_ms)).await;
    }
}

/// Reads the blocks that the store held before this node started, unless other nodes do.
async fn read_blocks(node: &Gateway, state: &mut StoredState) {
    loop {
        match streams::reads_archive(node, clock::now()) {
            None => {}
            Some(false) => return,
            Some(true) => match restore(node, state).await {
                Ok(()) => return,
                Err(error) => {
                    log::debug!(error:err = error; "reading the blocked contents failed; retrying");
                }
            },
        }
        tokio::time::sleep(Duration::from_millis(READ_RETRY_INTERVAL_MS)).await;
    }
}

async fn restore(node: &Gateway, state: &mut StoredState) -> Result<(), StoreError> {
    let newest = node.store.read_latest(Topic::Blocks).await?;
    let now = clock::now();
    node.record_store_era(now);
    let record = newest.items.iter().find(|item| item.key == KEY);
    let Some(value) = record.and_then(|item| item.value.as_deref()) else {
        state.record(Vec::new(), newest.end.era, now);
        return Ok(());
    };
    let stored = match StoredBlocks::decode(value) {
        Ok(stored) => stored,
        Err(error) => {
            node.store.report_malformed(Topic::Blocks, KEY, &error);
            return Ok(());
        }
    };
    let day_ms = node.agreed_time_of_day(now).0;
    let restored = node.crashes.lock().restore(&stored, day_ms, now);
    state.record(stored.subjects(), newest.end.era, now);
    if restored > 0 {
        log::info!(event = "blocks_restored", blocks = restored; "read from the store which contents and parts are blocked");
    }
    Ok(())
}

/// Writes the record if it differs from what is blocked; returns false if the store did not take it.
async fn write_if_due(node: &Gateway, state: &mut StoredState) -> bool {
    let now = clock::now();
    if !is_writer(node, now) {
        state.record_other_writer();
        return true;
    }
    let day_ms = node.agreed_time_of_day(now).0;
    let blocks = node.crashes.lock().to_store(day_ms, now);
    let subjects = blocks.subjects();
    if !state.is_due(&subjects, node.store.era(), now) {
        return true;
    }
    let encoded = match blocks.encode() {
        Ok(encoded) => encoded,
        Err(error) => {
            log::error!(error:err = error; "encoding the blocked contents failed; they are not written to the store");
            return false;
        }
    };
    let written = node.store.put(Topic::Blocks, KEY, &encoded).await;
    node.record_store_call(&written, clock::now());
    match written {
        Ok(position) => {
            state.record(subjects, position.era, now);
            true
        }
        Err(error) => {
            log::debug!(error:err = error; "writing the blocked contents failed; retrying");
            false
        }
    }
}

fn is_writer(node: &Gateway, now: TimeMs) -> bool {
    let reach = node.store_reach(now);
    node.peers.lock().first_node(reach, now) == ActingNode::Own
}
