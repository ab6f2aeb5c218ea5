//! Writes the starts of streams to the platform's store, and reads them when a node starts.
//!
//! One node writes for all, so that the calls do not grow with the nodes. Where the nodes form several groups, the
//! speaker of each collects those of its group. The first event of a stream does not wait for that: a start that is not
//! written yet when all nodes are lost stays unknown, and its stream is refused.

use std::sync::Arc;
use std::time::Duration;

use super::archive::{self, ReadStarts, Start, StreamArchive};
use crate::gateway::clock;
use crate::gateway::log_position::LogPosition;
use crate::gateway::messages::Message;
use crate::gateway::peers::ActingNode;
use crate::gateway::rank;
use crate::gateway::state::{Gateway, Recipients};
use crate::gateway::view_refresh::START_READERS;
use crate::platform::store::{Records, StoreError, Topic};
use crate::time::TimeMs;

/// Interval between two records; a start is written this much late.
const WRITE_INTERVAL_MS: u64 = 250;

/// Interval at which a speaker passes on what it has collected.
const PASS_ON_INTERVAL_MS: u64 = 100;

/// Most starts in one message; each takes some 30 bytes.
const MAX_STARTS_PER_MESSAGE: usize = 1_000;

/// Delay after a record that the store did not take.
const RETRY_DELAY_MS: u64 = 1_000;

/// Interval between two checks whether the records can be read.
const READ_RETRY_INTERVAL_MS: u64 = 200;

/// Uptime after which a node that has not learned of others reads the records itself.
const NO_PEERS_UPTIME_MS: u64 = 1_500;

/// Hands the start of a stream to the speaker of this node's group.
pub(super) fn submit(node: &Gateway, start: Start, now: TimeMs) {
    let reach = node.store_reach(now);
    let speaker = node.peers.lock().speaker(reach, now);
    match speaker {
        ActingNode::Own => accept_to_pass_on(node, &[start]),
        ActingNode::Peer(address) => {
            let message = Message::StreamsToArchive(vec![start]);
            node.send_message(Recipients::Address(address), message);
        }
    }
}

/// Collects starts of this node's group for the node that writes them.
pub(crate) fn accept_to_pass_on(node: &Gateway, starts: &[Start]) {
    let now = clock::now();
    let reach = node.store_reach(now);
    let writer = node.peers.lock().first_node(reach, now);
    if writer == ActingNode::Own {
        accept_to_write(node, starts);
        return;
    }
    let dropped = node.starts_to_pass_on.lock().add(starts);
    report_dropped(dropped);
}

/// Keeps starts that this node is to write to the store.
pub(crate) fn accept_to_write(node: &Gateway, starts: &[Start]) {
    let dropped = node.unwritten_starts.lock().add(starts);
    report_dropped(dropped);
}

fn report_dropped(dropped: usize) {
    if dropped > 0 {
        log::warn!(event = "stream_starts_dropped", dropped; "the starts of streams are not written to the store fast enough; if all nodes are lost, these streams cannot be taken up");
    }
}

/// Passes on to the writer what this node has collected, until the process exits.
pub(crate) async fn pass_starts_on(node: Arc<Gateway>) {
    loop {
        tokio::time::sleep(Duration::from_millis(PASS_ON_INTERVAL_MS)).await;
        let starts = node.starts_to_pass_on.lock().take(MAX_STARTS_PER_MESSAGE);
        if starts.is_empty() {
            continue;
        }
        let now = clock::now();
        let reach = node.store_reach(now);
        let writer = node.peers.lock().first_node(reach, now);
        match writer {
            ActingNode::Own => accept_to_write(&node, &starts),
            ActingNode::Peer(address) => {
                let message = Message::StreamsToWrite(starts);
                node.send_message(Recipients::Address(address), message);
            }
        }
    }
}

/// Writes the starts that this node was handed, until the process exits.
pub(crate) async fn write_starts(node: Arc<Gateway>) {
    loop {
        let starts = node.unwritten_starts.lock().take();
        let is_written = starts.is_empty() || write_record(&node, starts).await;
        let is_behind = node.unwritten_starts.lock().fills_record();
        let delay_ms = match (is_written, is_behind) {
            (false, _) => RETRY_DELAY_MS,
            (true, true) => 0,
            (true, false) => WRITE_INTERVAL_MS,
        };
        trim(&node).await;
        let uptime_ms = node.uptime_ms(clock::now());
        node.stream_archive.lock().remove_expired(uptime_ms);
        tokio::time::sleep(Duration::from_millis(delay_ms)).await;
    }
}

/// Writes one record; returns whether the store has taken it.
async fn write_record(node: &Gateway, starts: Vec<Start>) -> bool {
    let encoded = match archive::encode(&starts) {
        Ok(encoded) => encoded,
        Err(error) => {
            log::error!(error:err = error; "encoding the starts of streams failed; they are not written to the store");
            return true;
        }
    };
    let appended = node.store.append(Topic::Streams, &encoded, None).await;
    let now = clock::now();
    node.record_store_call(&appended, now);
    let mut unwritten = node.unwritten_starts.lock();
    match appended {
        Ok(position) => {
            unwritten.record_written(position, now);
            true
        }
        Err(error) => {
            log::debug!(error:err = error; "writing the starts of streams failed; retrying");
            let dropped = unwritten.put_back(starts);
            report_dropped(dropped);
            false
        }
    }
}

/// Deletes old records, if this node ranks first of all.
async fn trim(node: &Gateway) {
    let now = clock::now();
    let Some(before) = node.unwritten_starts.lock().due_trim(now) else {
        return;
    };
    let reach = node.store_reach(now);
    if node.peers.lock().first_node(reach, now) != ActingNode::Own {
        return;
    }
    if let Err(error) = node.store.trim(Topic::Streams, before).await {
        log::info!(event = "stream_starts_not_deleted", error:err = error, before:% = before; "deleting old starts of streams failed; the store deletes them later");
    }
}

/// Reads the starts that the store held before this node started, unless other nodes do.
pub(crate) async fn read_archive(node: Arc<Gateway>) {
    loop {
        match reads_archive(&node, clock::now()) {
            None => {}
            Some(false) => {
                *node.stream_archive.lock() = StreamArchive::ReadElsewhere;
                return;
            }
            Some(true) => match read_records(&node).await {
                Ok(records) => {
                    install(&node, records);
                    return;
                }
                Err(error) => {
                    log::debug!(error:err = error; "reading the starts of streams failed; retrying");
                }
            },
        }
        tokio::time::sleep(Duration::from_millis(READ_RETRY_INTERVAL_MS)).await;
    }
}

/// Whether this node is one of those that read the archive; `None` until it has learned of the others.
pub(crate) fn reads_archive(node: &Gateway, now: TimeMs) -> Option<bool> {
    let knows_nodes = node.upstreams_view.lock().knows_nodes;
    if !knows_nodes {
        return (node.uptime_ms(now) >= NO_PEERS_UPTIME_MS).then_some(true);
    }
    let mut peers = node.peers.lock();
    let is_reader = rank::rank_among_known(&peers) < START_READERS;
    Some(is_reader || peers.group_count() == 1)
}

fn install(node: &Gateway, records: ReadStarts) {
    if records.has_records() && node.settings().is_first_start {
        log::warn!(event = "first_start_refuted"; "the settings state that the installation starts for the first time, but the store holds starts of streams; they count as wrong");
    }
    let archive = StreamArchive::of_records(records);
    *node.stream_archive.lock() = archive;
}

async fn read_records(node: &Gateway) -> Result<ReadStarts, StoreError> {
    let mut records = ReadStarts::default();
    let mut from = LogPosition::default();
    loop {
        let read = node.store.read(Topic::Streams, from, 0).await;
        node.record_store_era(clock::now());
        match read {
            Ok(read) => {
                for record in decoded(node, &read) {
                    records.add(record);
                }
                if read.next() >= read.end || read.bodies.is_empty() {
                    return Ok(records);
                }
                from = read.next();
            }
            Err(StoreError::Deleted { first }) if first > from.offset => {
                from = LogPosition {
                    era: node.store.era(),
                    offset: first,
                };
            }
            Err(error) => return Err(error),
        }
    }
}

fn decoded(node: &Gateway, read: &Records) -> Vec<Vec<Start>> {
    let bodies = read.bodies.iter();
    bodies
        .filter_map(|body| match archive::decode(body) {
            Ok(starts) => Some(starts),
            Err(error) => {
                node.store.report_malformed(Topic::Streams, "", &error);
                None
            }
        })
        .collect()
}
