//! Keeps the table of upstreams current: reads announcements from the store and sends changes to
//! peers.

mod changes;
mod peer_changes;

use std::sync::Arc;
use std::time::Duration;

use self::changes::{Origin, apply_changes};
pub(crate) use self::peer_changes::apply_peer_changes;
use self::peer_changes::broadcast_changes;
pub(super) use self::peer_changes::{build_messages, read_at, read_at_day_ms};
use super::log_position::LogPosition;
use super::peer_queries::PeerQueries;
use super::recent_changes::{ChangeBatch, MAX_CHANGES_PER_MESSAGE};
use super::snapshot::Snapshot;
use super::state::Gateway;
use super::store_contact::StoreAvailability;
use super::upstreams::{Announcement, Change};
use super::view_refresh::{self, ViewState};
use super::{clock, confirmation, handover, rank};
use crate::platform::store::{KeyedRecord, Records, StoreError, Topic};
use crate::platform::upstreams;
use crate::time::TimeMs;

/// Interval between checks whether to read announcements or to ask a peer.
const LOOK_INTERVAL_MS: u64 = 100;

/// Records applied per batch; a message to peers ends at a batch boundary.
const RECORDS_PER_BATCH: usize = 32;

/// Keeps the table of upstreams current until the node stops.
pub(crate) async fn sync_upstreams(node: Arc<Gateway>) {
    let mut queries = PeerQueries::default();
    loop {
        let now = clock::now();
        match view_refresh::next_step(&view_state(&node, now)) {
            view_refresh::Step::Nothing => queries.reset(),
            // A snapshot transfer is active: each page triggers the request for the next one.
            view_refresh::Step::AskPeer if handover::is_transfer_active(&node, now) => {
                queries.record_progress(now);
            }
            view_refresh::Step::AskPeer => handover::request_missing(&node, &mut queries, now),
            view_refresh::Step::ReadStore => {
                let mut latest = node.latest_read.lock().await;
                *latest = read(&node, NothingNew::IsSent).await.or(*latest);
            }
        }
        tokio::time::sleep(Duration::from_millis(LOOK_INTERVAL_MS)).await;
    }
}

fn view_state(node: &Gateway, now: TimeMs) -> ViewState {
    let contact = *node.store_contact.lock();
    let reach = contact.availability(now);
    let (is_first, rank, rank_among_known) = {
        let peers = node.peers.lock();
        (
            reach != StoreAvailability::Failing && rank::rank(&peers, reach, now) == 0,
            rank::rank_in_domain(&peers, reach, now),
            rank::rank_among_known(&peers),
        )
    };
    let running_ms = node.uptime_ms(now);
    let view = node.upstreams_view.lock();
    ViewState {
        age_ms: view.age_ms(now),
        is_reader: is_first && confirmation::has_started_up(running_ms),
        rank,
        rank_among_known: view.knows_nodes.then_some(rank_among_known),
        failed_ms: contact.failed_ms(now),
        running_ms,
        is_behind: view.is_behind(),
        last_page_ms: (view.last_page_at > TimeMs(0)).then(|| now.since(view.last_page_at)),
    }
}

/// A read of the announcements from the store.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LatestRead {
    /// When it began.
    began_at: TimeMs,
    /// The end of the announcements at that time or later.
    end: LogPosition,
}

/// Whether peers are told of a read that brought nothing new, which shows them that their tables are current.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum NothingNew {
    IsSent,
    IsNotSent,
}

/// Reads all announcements that the store holds now; returns their end, or `None` if the store does not answer.
///
/// The clock of a node that stood still, and a peer's word on the time of its read, do not show that a table is newer
/// than an event; a read that began after the event does. Calls at the same time share one read.
pub(crate) async fn read_to_end(node: &Gateway) -> Option<LogPosition> {
    let called_at = clock::now();
    let mut latest = node.latest_read.lock().await;
    let end = match *latest {
        Some(read) if read.began_at > called_at => read.end,
        _ => {
            let read = read(node, NothingNew::IsNotSent).await?;
            *latest = Some(read);
            read.end
        }
    };
    loop {
        let before = node.upstreams_view.lock().end;
        if before >= end {
            return Some(end);
        }
        read(node, NothingNew::IsNotSent).await?;
        if node.upstreams_view.lock().end == before {
            return None;
        }
    }
}

async fn read(node: &Gateway, nothing_new: NothingNew) -> Option<LatestRead> {
    let began_at = clock::now();
    let from = node.upstreams_view.lock().end;
    let read = read_from(node, from).await;
    node.record_store_call(&read, clock::now());
    match read {
        Ok(end) => {
            let has_news = node.upstreams_view.lock().end > from;
            if !from.is_start() && (has_news || nothing_new == NothingNew::IsSent) {
                broadcast_changes(node, from, clock::now());
            }
            Some(LatestRead { began_at, end })
        }
        Err(error) => {
            log::debug!(error:err = error; "reading the announcements of upstreams failed");
            None
        }
    }
}

/// Reads the announcements from a position on; returns the end of all that the store holds.
async fn read_from(node: &Gateway, from: LogPosition) -> Result<LogPosition, StoreError> {
    let asked_at = clock::now();
    if from.is_start() {
        return read_all(node).await;
    }
    match node.store.read(Topic::Upstreams, from, 0).await {
        Ok(records) => {
            apply_records(node, &records, clock::now());
            let to = records.next();
            let read_at = if to >= records.end {
                asked_at
            } else {
                TimeMs(0)
            };
            record_read(node, to, records.end, read_at);
            Ok(records.end)
        }
        Err(StoreError::Deleted { first }) => {
            log::info!(event = "history_lost", topic = "upstreams", from:% = from, first; "records were deleted from the store before this node read them; reading the whole table");
            read_all(node).await
        }
        Err(error) => Err(error),
    }
}

/// Records that announcements have been read up to `to`, of those up to `end`.
fn record_read(node: &Gateway, to: LogPosition, end: LogPosition, read_at: TimeMs) {
    let mut view = node.upstreams_view.lock();
    view.advance_to(to, read_at);
    view.is_ahead &= to < end;
}

async fn read_all(node: &Gateway) -> Result<LogPosition, StoreError> {
    let asked_at = clock::now();
    let newest = node.store.read_latest(Topic::Upstreams).await?;
    let read = newest.items.iter().map(|item| decode_change(node, item));
    let announced: Vec<Announcement> = (read)
        .filter_map(|change| match change {
            Change::Present(announced) => Some(announced),
            Change::Removed { .. } | Change::Unreadable { .. } => None,
        })
        .collect();
    let end = newest.end;
    let snapshot = Snapshot {
        announced,
        end,
        read_at: asked_at,
    };
    install_snapshot(node, snapshot, clock::now());
    Ok(end)
}

pub(super) fn install_snapshot(node: &Gateway, snapshot: Snapshot, now: TimeMs) {
    let was_away = node.store_was_away(now);
    (node.upstreams.lock()).replace(snapshot.announced, was_away, now);
    (node.upstreams_view.lock()).note_snapshot(snapshot.end, snapshot.read_at, now);
}

/// Applies records and keeps the changes, grouped into steps of one message to peers each.
fn apply_records(node: &Gateway, records: &Records, now: TimeMs) {
    let was_away = node.store_was_away(now);
    let is_ahead = node.upstreams_view.lock().is_ahead;
    let mut step = ChangeBatch {
        from: records.from,
        to: records.from,
        changes: Vec::new(),
    };
    for bodies in records.bodies.chunks(RECORDS_PER_BATCH) {
        if step.changes.len() + bodies.len() > MAX_CHANGES_PER_MESSAGE {
            let next = ChangeBatch {
                from: step.to,
                to: step.to,
                changes: Vec::new(),
            };
            let full = std::mem::replace(&mut step, next);
            node.recent_changes.lock().record(full, now);
        }
        let changes = step.to.following().zip(bodies);
        let changes = changes.filter_map(|(place, body)| decode_record(node, place, body.clone()));
        let changes: Vec<Change> = changes.collect();
        let sent = is_ahead.then(|| changes.clone());
        let effective = apply_changes(node, changes, Origin::Store, was_away, now);
        step.changes.extend(sent.unwrap_or(effective));
        step.to = step.to.after(bodies.len());
    }
    node.recent_changes.lock().record(step, now);
}

fn decode_record(node: &Gateway, place: LogPosition, body: bytes::Bytes) -> Option<Change> {
    match KeyedRecord::read(place, body) {
        Ok(item) => Some(decode_change(node, &item)),
        Err(error) => {
            node.store.report_malformed(Topic::Upstreams, "", &error);
            None
        }
    }
}

/// Decodes the announcement in one record.
fn decode_change(node: &Gateway, item: &KeyedRecord) -> Change {
    let id = item.key.clone();
    let Some(value) = &item.value else {
        return Change::Removed { id };
    };
    match upstreams::parse(&item.key, value) {
        Ok(announced) => Change::Present(announced),
        Err(error) => {
            node.store
                .report_malformed(Topic::Upstreams, &item.key, &error);
            Change::Unreadable { id }
        }
    }
}

#[cfg(test)]
mod tests;
