//! Follows the store: the operators' configuration and the announcements of upstreams.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;

use super::catalog::Confirmation;
use super::clock;
use super::confirm::{self, CONFIRM_WAIT_MS, Questions, Reading, Standing};
use super::contact::StoreReach;
use super::peers::{Message, UpstreamNews};
use super::state::{Gateway, Recipients, UpstreamsView};
use super::upstreams::{Announced, Change};
use crate::platform::store::{CONFIGURATION_KEY, Keyed, Records, StoreError, Topic};
use crate::platform::{documents, upstreams};
use crate::time::TimeMs;

/// The node that reads announcements for all reads this often.
///
/// An upstream that leaves gets work for up to this long and the way to the peers; the bound is
/// two seconds or more.
const READER_INTERVAL_MS: u64 = 450;

/// A node that has heard nothing from the reader for this long reads by itself.
const SILENT_READER_MS: u64 = 1_000;

/// Added to that for each node that comes before this one.
///
/// Whoever reads tells the others. Without the steps all nodes would read at once whenever the
/// reader falls silent, and go on together for as long as the store is away.
const SILENT_READER_STEP_MS: u64 = 100;

/// Longest such addition. News of an upstream that leaves must have reached each node within the
/// shortest bound on it, 2 s for a few nodes and 3 s for many.
const LONGEST_READER_STEPS_MS: u64 = 1_200;

/// Between two looks whether to read announcements.
const LOOK_INTERVAL_MS: u64 = 100;

/// Between two looks whether to read the configuration or to ask a peer.
const CONFIRM_LOOK_INTERVAL_MS: u64 = 200;

/// Follows the configuration for as long as the node runs.
pub(crate) async fn configuration(node: Arc<Gateway>) {
    loop {
        let reading = confirm::reading(&standing(&node, clock::now()));
        let wait_ms = match reading {
            Reading::Nothing => {
                tokio::time::sleep(Duration::from_millis(CONFIRM_LOOK_INTERVAL_MS)).await;
                continue;
            }
            Reading::Now => 0,
            Reading::Waiting => CONFIRM_WAIT_MS,
        };
        let read_to = node.in_force.read().end;
        let read = match read_to {
            0 => newest_configuration(&node).await,
            from => next_configuration(&node, from, wait_ms).await,
        };
        let read = match read {
            Err(StoreError::Deleted { first }) => {
                log::info!(event = "history_lost", topic = "configuration", first; "records were deleted before they were read");
                newest_configuration(&node).await
            }
            read => read,
        };
        node.note_store(read.is_ok(), clock::now());
        if let Err(error) = read {
            log::debug!(error:err = error; "the configuration was not read");
        }
    }
}

/// Asks peers whether the configuration is current, for as long as the node runs.
pub(crate) async fn confirmations(node: Arc<Gateway>) {
    let mut questions = Questions::default();
    loop {
        tokio::time::sleep(Duration::from_millis(CONFIRM_LOOK_INTERVAL_MS)).await;
        let now = clock::now();
        let standing = standing(&node, now);
        let asked = questions.next(&node.peers.lock(), &standing, now);
        if let Some(address) = asked {
            let question = Message::AskConfirmation {
                asked_at: now,
                read_to: node.in_force.read().end,
            };
            node.tell(Recipients::One(address), question);
        }
    }
}

fn standing(node: &Gateway, now: TimeMs) -> Standing {
    let contact = *node.store_contact.lock();
    let place = confirm::place(&node.peers.lock(), contact.reach(now), now);
    let in_force = node.in_force.read();
    let was_confirmed = in_force.current_at > TimeMs(0);
    Standing {
        age_ms: was_confirmed.then(|| now.since(in_force.current_at)),
        place,
        failed_ms: contact.failed_ms(now),
        running_ms: node.running_ms(now),
        is_behind: in_force.is_behind(),
    }
}

async fn newest_configuration(node: &Gateway) -> Result<(), StoreError> {
    let asked_at = clock::now();
    let newest = node.store.newest(Topic::Configuration).await?;
    for item in newest.items {
        take_configuration(node, &item);
    }
    confirmed(node, newest.end, asked_at);
    Ok(())
}

async fn next_configuration(node: &Gateway, from: u64, wait_ms: u64) -> Result<(), StoreError> {
    let asked_at = clock::now();
    let records = node.store.read(Topic::Configuration, from, wait_ms).await?;
    for body in &records.bodies {
        match Keyed::read(body.clone()) {
            Ok(item) => take_configuration(node, &item),
            Err(error) => Topic::Configuration.note_malformed("", &error),
        }
    }
    let next = records.next();
    if next < records.end {
        // More follows: what has been read is taken in, but it was not all.
        confirmed(node, next, TimeMs(0));
        return Ok(());
    }
    // Without a record the store has waited before it answered.
    let waited_ms = if records.bodies.is_empty() {
        wait_ms
    } else {
        0
    };
    confirmed(node, next, asked_at.after(waited_ms).min(clock::now()));
    if !records.bodies.is_empty() {
        hand_over(node);
    }
    Ok(())
}

/// Takes in that the store's records have been read up to an offset.
fn confirmed(node: &Gateway, end: u64, current_at: TimeMs) {
    let mut in_force = node.in_force.write();
    in_force.confirm(end, current_at);
    if current_at > TimeMs(0) {
        // What a peer claimed beyond the store's own end does not exist.
        in_force.known_end = in_force.end;
    }
}

/// Hands what has just been read to the peers of this failure domain, which do not wait for it at
/// the store; one that misses it finds out when it asks.
fn hand_over(node: &Gateway) {
    let never_read = 0;
    let confirmation = {
        let in_force = node.in_force.read();
        in_force.confirmation(TimeMs(0), never_read, clock::now())
    };
    if let Some(confirmation) = confirmation {
        node.tell(Recipients::Neighbours, Message::Confirmation(confirmation));
    }
}

/// Takes in what a peer says of the configuration.
pub(crate) fn take_confirmation(node: &Gateway, confirmation: &Confirmation, now: TimeMs) {
    if let Some(document) = &confirmation.document {
        take_document(node, document);
    }
    node.in_force.write().confirmed_by_peer(confirmation, now);
}

fn take_configuration(node: &Gateway, item: &Keyed) {
    let text = (item.value.as_ref()).filter(|_text| item.key == CONFIGURATION_KEY);
    if let Some(text) = text {
        take_document(node, text);
    }
}

/// Puts a configuration in force if it is newer; versions never go back.
fn take_document(node: &Gateway, text: &[u8]) {
    match documents::parse(text) {
        Ok(catalog) => {
            let mut in_force = node.in_force.write();
            let before = in_force.catalog.version;
            if catalog.version > before {
                log::info!(
                    event = "configuration_changed",
                    before,
                    version = catalog.version,
                    routes = catalog.routes.len(),
                    teams = catalog.teams.len();
                    "a configuration is in force"
                );
                in_force.catalog = Arc::new(catalog);
                in_force.document = Bytes::copy_from_slice(text);
            }
        }
        Err(error) => {
            Topic::Configuration.note_malformed(CONFIGURATION_KEY, &error);
            log::error!(event = "configuration_rejected", error:err = error; "a configuration cannot be read; the one before stays");
        }
    }
}

/// Follows the announcements of upstreams for as long as the node runs.
pub(crate) async fn upstreams(node: Arc<Gateway>) {
    loop {
        if is_read_due(&node, clock::now()) {
            let read = read_upstreams(&node).await;
            node.note_store(read.is_ok(), clock::now());
            if let Err(error) = read {
                log::debug!(error:err = error; "the upstreams were not read");
            }
        }
        tokio::time::sleep(Duration::from_millis(LOOK_INTERVAL_MS)).await;
    }
}

/// Whether this node should read announcements now.
///
/// One node reads for all and passes on what it read, since each read costs; the others read only
/// if they hear nothing from it.
fn is_read_due(node: &Gateway, now: TimeMs) -> bool {
    let age_ms = now.since(node.upstreams_view.lock().read_at);
    let contact = *node.store_contact.lock();
    let (is_first, before) = {
        let peers = node.peers.lock();
        let is_first = peers.is_first(contact.reach(now) == StoreReach::Answering, now);
        (is_first, peers.before(now))
    };
    let is_reader = is_first && confirm::hears_peers(node.running_ms(now));
    let pause_ms = confirm::pause_ms(before);
    let is_paused = (contact.failed_ms(now)).is_some_and(|ago_ms| ago_ms < pause_ms);
    !is_paused && age_ms >= patience_ms(is_reader, before)
}

/// How old the view of upstreams may become before a node reads announcements, by the number of
/// nodes that come before it.
fn patience_ms(is_reader: bool, before: usize) -> u64 {
    if is_reader {
        return READER_INTERVAL_MS;
    }
    let before = u64::try_from(before).unwrap_or(u64::MAX);
    let steps_ms = before.saturating_mul(SILENT_READER_STEP_MS);
    SILENT_READER_MS + steps_ms.min(LONGEST_READER_STEPS_MS)
}

async fn read_upstreams(node: &Gateway) -> Result<(), StoreError> {
    let from = node.upstreams_view.lock().end;
    let asked_at = clock::now();
    if from == 0 {
        return newest_upstreams(node).await;
    }
    match node.store.read(Topic::Upstreams, from, 0).await {
        Ok(records) => {
            let changes = changes(&records);
            let now = clock::now();
            let changes = take_changes(node, changes, node.store_was_away(now), now);
            let to = records.next();
            let read_at = if to >= records.end {
                asked_at
            } else {
                TimeMs(0)
            };
            note_reading(node, from, to, changes, read_at);
            tell_recent(node, read_at);
            Ok(())
        }
        Err(StoreError::Deleted { first }) => {
            log::info!(event = "history_lost", topic = "upstreams", first; "records were deleted before they were read");
            newest_upstreams(node).await
        }
        Err(error) => Err(error),
    }
}

async fn newest_upstreams(node: &Gateway) -> Result<(), StoreError> {
    let asked_at = clock::now();
    let newest = node.store.newest(Topic::Upstreams).await?;
    let read = newest.items.iter().map(announced);
    let announced: Vec<Announced> = (read)
        .filter_map(|change| match change {
            Change::Present(announced) => Some(announced),
            Change::Removed { .. } | Change::Unreadable { .. } => None,
        })
        .collect();
    let now = clock::now();
    let was_away = node.store_was_away(now);
    node.upstreams.lock().replace(announced, was_away, now);
    // The snapshot may be older than what peers have told meanwhile, which it has just replaced:
    // without reading on from its own end, an upstream that left in between would get work again.
    *node.upstreams_view.lock() = UpstreamsView {
        end: newest.end,
        read_at: asked_at,
    };
    Ok(())
}

/// Takes in that announcements have been read from one offset up to another.
pub(crate) fn note_reading(
    node: &Gateway,
    from: u64,
    to: u64,
    changes: Vec<Change>,
    read_at: TimeMs,
) {
    node.recent.lock().note(from, to, changes, clock::now());
    reached(node, to, read_at);
}

/// Tells the peers what has changed in the last moments.
fn tell_recent(node: &Gateway, read_at: TimeMs) {
    let now = clock::now();
    let read_at_day_ms = (node.time_of_day(now).0).saturating_sub(now.since(read_at));
    let recent = node.recent.lock().all();
    if let Some((from, to, changes)) = recent {
        let news = UpstreamNews {
            from,
            to,
            changes,
            read_at_day_ms,
            store_was_away: node.store_was_away(now),
        };
        node.tell_peers(Message::Upstreams(news));
    }
}

/// When a peer asked the store for what it tells, on this node's clock.
///
/// News may wait for seconds at the link of a small host. Taken for as old as its way is short, it
/// would keep this node from reading the store itself, and upstreams that left meanwhile would go on
/// getting work. A time of day that is ahead of this node's counts as now.
#[must_use]
pub(crate) fn read_at(read_at_day_ms: u64, day_now: TimeMs, now: TimeMs) -> TimeMs {
    let age_ms = day_now.0.saturating_sub(read_at_day_ms);
    TimeMs(now.0.saturating_sub(age_ms))
}

fn reached(node: &Gateway, end: u64, read_at: TimeMs) {
    let mut view = node.upstreams_view.lock();
    *view = UpstreamsView {
        end: view.end.max(end),
        read_at: view.read_at.max(read_at),
    };
}

fn changes(records: &Records) -> Vec<Change> {
    let items = (records.bodies.iter()).filter_map(|body| match Keyed::read(body.clone()) {
        Ok(item) => Some(item),
        Err(error) => {
            Topic::Upstreams.note_malformed("", &error);
            None
        }
    });
    items.map(|item| announced(&item)).collect()
}

/// What one record says of its upstream.
fn announced(item: &Keyed) -> Change {
    let id = item.key.clone();
    let Some(value) = &item.value else {
        return Change::Removed { id };
    };
    match upstreams::parse(&item.key, value) {
        Ok(announced) => Change::Present(announced),
        Err(error) => {
            Topic::Upstreams.note_malformed(&item.key, &error);
            Change::Unreadable { id }
        }
    }
}

/// Takes in changes; gives those that changed anything.
///
/// `was_away` says that the store has only just come back, so that removals may be lapses.
pub(crate) fn take_changes(
    node: &Gateway,
    changes: Vec<Change>,
    was_away: bool,
    now: TimeMs,
) -> Vec<Change> {
    let mut table = node.upstreams.lock();
    let mut real = Vec::new();
    for change in changes {
        let change = match change {
            Change::Present(announced) if table.is_foreign(&announced) => {
                let reason = "it does not say when it started, as its pool does";
                Topic::Upstreams.note_malformed(&announced.id, &reason);
                Change::Unreadable { id: announced.id }
            }
            change => change,
        };
        let is_known = table.is_known(&change);
        if !is_known {
            log_change(&change);
            real.push(change.clone());
        }
        // A record that differs in its number only counts toward the order of those to come.
        if !is_known || matches!(change, Change::Present(_)) {
            table.apply(change, was_away, now);
        }
    }
    real
}

fn log_change(change: &Change) {
    match change {
        Change::Present(announced) => log::info!(
            event = "upstream_changed",
            upstream = announced.id.as_str(),
            pool = announced.pool.as_str(),
            failure_domain = announced.failure_domain.as_str(),
            phase:? = announced.phase,
            reclaimable = announced.is_reclaimable,
            leaves_in_ms:? = announced.leaves_in_ms,
            born_ms:? = announced.born_ms;
            "an upstream announced a change"
        ),
        Change::Removed { id } | Change::Unreadable { id } => {
            log::info!(event = "upstream_removed", upstream = id.as_str(); "an upstream's announcement is gone");
        }
    }
}

#[cfg(test)]
mod tests;
