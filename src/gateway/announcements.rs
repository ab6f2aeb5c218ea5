//! Keeps the table of upstreams current: reads announcements from the store and sends changes to
//! peers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use super::log_position::LogPosition;
use super::messages::{Message, UpstreamChanges};
use super::peer_queries::PeerQueries;
use super::recent_changes::{ChangeBatch, MAX_CHANGES_PER_MESSAGE};
use super::snapshot::Snapshot;
use super::state::{Gateway, Recipients};
use super::store_contact::StoreAvailability;
use super::upstreams::{Announcement, Change, Phase, Upstream};
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

/// Sends the changes since a position to the peers of this failure domain, and to one node of each
/// other failure domain, which forwards them to its own.
fn broadcast_changes(node: &Gateway, since: LogPosition, now: TimeMs) {
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
pub(super) fn build_messages(
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
pub(super) fn read_at_day_ms(node: &Gateway, read_at: TimeMs, now: TimeMs) -> Option<u64> {
    let day_ms = node.agreed_time_of_day(now).0;
    (read_at > TimeMs(0)).then(|| day_ms.saturating_sub(now.since(read_at)))
}

/// Converts the time at which a peer read the store to this node's clock.
///
/// A message may wait for seconds at the link of a small host. If it counted as read on arrival,
/// this node would not read the store itself, and upstreams that left in the meantime would keep
/// getting requests. A time of day ahead of this node's counts as now.
#[must_use]
pub(super) fn read_at(read_at_day_ms: u64, day_now: TimeMs, now: TimeMs) -> TimeMs {
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

/// The source of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Origin {
    Store,
    /// A peer, which has read the change from the store and logged it.
    Peer,
}

/// Applies changes; returns those that had an effect.
///
/// `was_away` states that the store has just recovered from an outage, so that a removal may only
/// be an expired announcement.
fn apply_changes(
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

#[cfg(test)]
mod tests;
