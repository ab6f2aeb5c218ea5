//! Follows the announcements of upstreams: reads them from the store, and tells peers what changed.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use super::contact::StoreReach;
use super::peers::{Message, UpstreamNews};
use super::place::Place;
use super::questions::Questions;
use super::recent::{MESSAGE_CHANGES, Step};
use super::snapshot::Whole;
use super::state::{Gateway, Recipients};
use super::upkeep::{self, Standing};
use super::upstreams::{Announced, Change};
use super::{clock, confirm, handover, rank};
use crate::platform::store::{Keyed, Records, StoreError, Topic};
use crate::platform::upstreams;
use crate::time::TimeMs;

/// Between two looks whether to read announcements or to ask a peer.
const LOOK_INTERVAL_MS: u64 = 100;

/// Records that are taken in at once; a message to peers ends with the last of them.
const RECORDS_AT_ONCE: usize = 32;

/// Follows the announcements of upstreams for as long as the node runs.
pub(crate) async fn follow(node: Arc<Gateway>) {
    let mut questions = Questions::default();
    loop {
        let now = clock::now();
        match upkeep::next_step(&standing(&node, now)) {
            upkeep::Step::Nothing => questions.note_settled(),
            // The next page is asked for as soon as one has come.
            upkeep::Step::AskPeer if handover::is_handed_over(&node, now) => {
                questions.note_progress(now);
            }
            upkeep::Step::AskPeer => handover::ask(&node, &mut questions, now),
            upkeep::Step::ReadStore => {
                let read = read(&node).await;
                node.note_store(&read, clock::now());
                if let Err(error) = read {
                    log::debug!(error:err = error; "the upstreams were not read");
                }
            }
        }
        tokio::time::sleep(Duration::from_millis(LOOK_INTERVAL_MS)).await;
    }
}

fn standing(node: &Gateway, now: TimeMs) -> Standing {
    let contact = *node.store_contact.lock();
    let reach = contact.reach(now);
    let (is_first, place, place_among_known) = {
        let peers = node.peers.lock();
        (
            reach != StoreReach::Failing && rank::place(&peers, reach, now) == 0,
            rank::place_in_domain(&peers, reach, now),
            rank::place_among_known(&peers),
        )
    };
    let running_ms = node.running_ms(now);
    let view = node.upstreams_view.lock();
    Standing {
        age_ms: view.age_ms(now),
        is_reader: is_first && confirm::hears_peers(running_ms),
        place,
        place_among_known: view.knows_nodes.then_some(place_among_known),
        failed_ms: contact.failed_ms(now),
        running_ms,
        is_behind: view.is_behind(),
        page_ms: (view.page_at > TimeMs(0)).then(|| now.since(view.page_at)),
    }
}

async fn read(node: &Gateway) -> Result<(), StoreError> {
    let from = node.upstreams_view.lock().end;
    let asked_at = clock::now();
    if from.is_start() {
        return read_all(node).await;
    }
    match node.store.read(Topic::Upstreams, from, 0).await {
        Ok(records) => {
            take_records(node, &records, clock::now());
            let to = records.next();
            let read_at = if to >= records.end {
                asked_at
            } else {
                TimeMs(0)
            };
            note_read(node, to, records.end, read_at);
            tell(node, from, clock::now());
            Ok(())
        }
        Err(StoreError::Deleted { first }) => {
            log::info!(event = "history_lost", topic = "upstreams", from:% = from, first; "records were deleted before they were read");
            read_all(node).await
        }
        Err(error) => Err(error),
    }
}

/// Takes in that records have been read up to a place, of those up to the end.
fn note_read(node: &Gateway, to: Place, end: Place, read_at: TimeMs) {
    let mut view = node.upstreams_view.lock();
    view.reached(to, read_at);
    view.is_ahead &= to < end;
}

async fn read_all(node: &Gateway) -> Result<(), StoreError> {
    let asked_at = clock::now();
    let newest = node.store.newest(Topic::Upstreams).await?;
    let read = newest.items.iter().map(announced);
    let announced: Vec<Announced> = (read)
        .filter_map(|change| match change {
            Change::Present(announced) => Some(announced),
            Change::Removed { .. } | Change::Unreadable { .. } => None,
        })
        .collect();
    let whole = Whole {
        announced,
        end: newest.end,
        read_at: asked_at,
    };
    replace(node, whole, clock::now());
    Ok(())
}

pub(super) fn replace(node: &Gateway, whole: Whole, now: TimeMs) {
    let was_away = node.store_was_away(now);
    (node.upstreams.lock()).replace(whole.announced, was_away, now);
    (node.upstreams_view.lock()).replaced(whole.end, whole.read_at);
}

/// Takes in records in the steps in which peers are told of them.
fn take_records(node: &Gateway, records: &Records, now: TimeMs) {
    let was_away = node.store_was_away(now);
    let is_ahead = node.upstreams_view.lock().is_ahead;
    let mut step = Step {
        from: records.from,
        to: records.from,
        changes: Vec::new(),
    };
    for bodies in records.bodies.chunks(RECORDS_AT_ONCE) {
        if step.changes.len() + bodies.len() > MESSAGE_CHANGES {
            let next = Step {
                from: step.to,
                to: step.to,
                changes: Vec::new(),
            };
            let full = std::mem::replace(&mut step, next);
            node.recent.lock().note(full, now);
        }
        let changes = step.to.following().zip(bodies);
        let changes = changes.filter_map(|(place, body)| change(place, body.clone()));
        let changes: Vec<Change> = changes.collect();
        let told = is_ahead.then(|| changes.clone());
        let real = take_changes(node, changes, Origin::Store, was_away, now);
        step.changes.extend(told.unwrap_or(real));
        step.to = step.to.after(bodies.len());
    }
    node.recent.lock().note(step, now);
}

fn change(place: Place, body: bytes::Bytes) -> Option<Change> {
    match Keyed::read(place, body) {
        Ok(item) => Some(announced(&item)),
        Err(error) => {
            Topic::Upstreams.note_malformed("", &error);
            None
        }
    }
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

/// Tells the peers what has been read from a place on: the neighbours, and one node of each other
/// failure domain that tells its own.
fn tell(node: &Gateway, since: Place, now: TimeMs) {
    let steps = node.recent.lock().told(since, now);
    for news in news(node, steps, now) {
        let handed_on = UpstreamNews {
            is_handed_on: true,
            ..news.clone()
        };
        node.tell(Recipients::Neighbours, Message::Upstreams(news));
        node.tell(
            Recipients::FirstOfOtherDomains,
            Message::Upstreams(handed_on),
        );
    }
}

/// Messages of steps; one without changes if there are none.
pub(super) fn news(node: &Gateway, mut steps: Vec<Step>, now: TimeMs) -> Vec<UpstreamNews> {
    let (end, read_at) = {
        let view = node.upstreams_view.lock();
        (view.end, view.read_at)
    };
    if steps.is_empty() {
        steps.push(Step {
            from: end,
            to: end,
            changes: Vec::new(),
        });
    }
    let read_at_day_ms = read_at_day_ms(node, read_at, now);
    let store_was_away = node.store_was_away(now);
    let news = steps.into_iter().map(|step| UpstreamNews {
        from: step.from,
        to: step.to,
        changes: step.changes,
        read_at_day_ms: read_at_day_ms.filter(|_day_ms| step.to >= end),
        store_was_away,
        is_handed_on: false,
    });
    news.collect()
}

/// When this node had read all announcements, as the time of day that most nodes agree on.
pub(super) fn read_at_day_ms(node: &Gateway, read_at: TimeMs, now: TimeMs) -> Option<u64> {
    let day_ms = node.time_of_day(now).0;
    (read_at > TimeMs(0)).then(|| day_ms.saturating_sub(now.since(read_at)))
}

/// When a peer asked the store for what it tells, on this node's clock.
///
/// News may wait for seconds at the link of a small host. Taken for as old as its way is short, it
/// would keep this node from reading the store itself, and upstreams that left meanwhile would go on
/// getting work. A time of day that is ahead of this node's counts as now.
#[must_use]
pub(super) fn read_at(read_at_day_ms: u64, day_now: TimeMs, now: TimeMs) -> TimeMs {
    let age_ms = day_now.0.saturating_sub(read_at_day_ms);
    TimeMs(now.0.saturating_sub(age_ms))
}

/// Takes in what a peer has read of the announcements of upstreams.
pub(crate) fn take_news(node: &Gateway, news: UpstreamNews, from: SocketAddr, now: TimeMs) {
    if news.is_handed_on {
        let told = UpstreamNews {
            is_handed_on: false,
            ..news.clone()
        };
        node.tell(Recipients::Neighbours, Message::Upstreams(told));
    }
    let (end, has_pending, is_known) = {
        let mut view = node.upstreams_view.lock();
        view.known_end = view.known_end.max(news.to);
        (view.end, !view.pending.is_empty(), view.is_known())
    };
    match end {
        // This node has read further itself.
        _ if end > news.to => {}
        // The store has come back from a copy, and the table of before is still in use: who leaves must not wait for
        // the new one to come.
        _ if end.is_start() && is_known => {
            let changes = news.changes.clone();
            node.upstreams_view.lock().keep(news);
            take_changes(node, changes, Origin::Peer, true, now);
        }
        // It has no table yet that news could change.
        _ if end.is_start() => {}
        _ if end < news.from => {
            node.upstreams_view.lock().keep(news);
            // The first to notice a gap asks at once; what is lost again is asked for at a look.
            if !has_pending {
                handover::ask_one(node, from);
            }
        }
        _ => {
            follow_on(node, news, now);
            while let Some(kept) = next_kept(node) {
                follow_on(node, kept, now);
            }
        }
    }
}

fn next_kept(node: &Gateway) -> Option<UpstreamNews> {
    node.upstreams_view.lock().next_kept()
}

/// Takes in news that follows what this node has read.
fn follow_on(node: &Gateway, news: UpstreamNews, now: TimeMs) {
    let end = node.upstreams_view.lock().end;
    let read_at = (news.read_at_day_ms)
        .map(|day_ms| read_at(day_ms, node.time_of_day(now), now))
        .unwrap_or_default();
    node.store_contact.lock().note_peer_read(read_at);
    let was_away = news.store_was_away || node.store_was_away(now);
    // Kept as it was told: what this node knew already, from a table that was ahead of its offset, is
    // news to a peer that asks it.
    let step = Step {
        from: end,
        to: news.to,
        changes: news.changes.clone(),
    };
    take_changes(node, news.changes, Origin::Peer, was_away, now);
    node.recent.lock().note(step, now);
    node.upstreams_view.lock().reached(news.to, read_at);
}

/// Where news of a change comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Origin {
    Store,
    /// A peer that has read it, and logged it.
    Peer,
}

/// Takes in changes; gives those that changed anything.
///
/// `was_away` says that the store has only just come back, so that removals may be lapses.
fn take_changes(
    node: &Gateway,
    changes: Vec<Change>,
    origin: Origin,
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
            log_change(&change, origin);
            real.push(change.clone());
        }
        // A record that differs in its number only counts toward the order of those to come.
        if !is_known || matches!(change, Change::Present(_)) {
            table.apply(change, was_away, now);
        }
    }
    real
}

/// Logs a change where it was read; each other node would only repeat it.
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
