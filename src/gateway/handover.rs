//! Exchanges announcements between nodes: requests missing ones from peers and answers their
//! requests.

use std::net::SocketAddr;

use super::announcements::{build_messages, install_snapshot, read_at, read_at_day_ms};
use super::messages::{AnnouncementsQuery, Message};
use super::peer_queries::{PeerQueries, QUERY_INTERVAL_MS};
use super::snapshot::{self, AddedPage, Page, SnapshotAssembler};
use super::state::{Gateway, Recipients};
use super::upstreams::{Announcement, Change};
use crate::time::TimeMs;

/// Time without a next page after which a snapshot transfer starts again.
const TRANSFER_TIMEOUT_MS: u64 = 2_000;

/// Maximum number of messages in answer to one request; a peer that needs more asks again from
/// their end.
const MAX_ANSWER_MESSAGES: usize = 8;

/// Approximate size of one change in a message.
const CHANGE_BYTES: usize = 130;

/// Approximate size of a message without its changes.
const MESSAGE_BYTES: usize = 64;

/// Whether a snapshot transfer from a peer is in progress.
pub(super) fn is_transfer_active(node: &Gateway, now: TimeMs) -> bool {
    let view = node.upstreams_view.lock();
    view.assembler.has_started() && now.since(view.last_page_at) < QUERY_INTERVAL_MS
}

/// Requests missing announcements from a peer.
pub(super) fn request_missing(node: &Gateway, queries: &mut PeerQueries, now: TimeMs) {
    {
        let mut view = node.upstreams_view.lock();
        // A transfer that began long ago would be outdated on completion.
        if now.since(view.last_page_at) >= TRANSFER_TIMEOUT_MS {
            view.assembler = SnapshotAssembler::default();
        }
    }
    let asked = queries.next_peer(&node.peers.lock(), now);
    if let Some(address) = asked {
        send_request(node, address);
    }
}

pub(super) fn send_request(node: &Gateway, address: SocketAddr) {
    let request = {
        let view = node.upstreams_view.lock();
        Message::QueryUpstreams(AnnouncementsQuery {
            read_to: view.end,
            until: view.gap_end(),
            after: view.assembler.after(),
        })
    };
    node.send_message(Recipients::Address(address), request);
}

/// Answers a peer's request for announcements.
pub(crate) fn answer_request(
    node: &Gateway,
    asked: &AnnouncementsQuery,
    from: SocketAddr,
    now: TimeMs,
) {
    let AnnouncementsQuery { read_to, until, .. } = *asked;
    let after = asked.after.as_deref();
    let end = node.upstreams_view.lock().end;
    // A node without a table cannot answer, and a peer that has read further needs no answer.
    if end.is_start() || read_to > end {
        return;
    }
    let steps = match read_to {
        _ if read_to.is_start() || read_to.era < end.era => None,
        _ if after.is_some() => None,
        _ if read_to == end => Some(Vec::new()),
        _ => node.recent_changes.lock().since(read_to),
    };
    let messages: Vec<Message> = match steps {
        Some(mut steps) => {
            steps.retain(|step| until.is_none_or(|until| step.from < until));
            steps.truncate(MAX_ANSWER_MESSAGES);
            let news = build_messages(node, steps, now).into_iter();
            news.map(Message::Upstreams).collect()
        }
        None => vec![Message::UpstreamsPage(page(node, after, now))],
    };
    for message in messages {
        if !node
            .answer_bandwidth
            .lock()
            .try_take(estimated_bytes(&message), now)
        {
            log::debug!(peer:% = from; "the budget for answers is used up; the request of the peer for announcements is not answered");
            return;
        }
        node.send_message(Recipients::Address(from), message);
    }
}

/// Estimates the size of a message.
fn estimated_bytes(message: &Message) -> usize {
    let rows = match message {
        Message::Upstreams(news) => news.changes.len(),
        Message::UpstreamsPage(page) => page.announced.len(),
        _ => 0,
    };
    MESSAGE_BYTES + rows * CHANGE_BYTES
}

fn page(node: &Gateway, after: Option<&str>, now: TimeMs) -> Page {
    let (announced, is_last) = {
        let table = node.upstreams.lock();
        snapshot::page(table.announcements_by_id(), after)
    };
    let (end, read_at) = {
        let view = node.upstreams_view.lock();
        (view.end, view.read_at)
    };
    Page {
        after: after.map(str::to_owned),
        announced,
        is_last,
        end,
        read_at_day_ms: read_at_day_ms(node, read_at, now),
    }
}

/// Adds a page of a peer's table, and requests the next one from the same peer.
pub(crate) fn apply_page(node: &Gateway, page: Page, from: SocketAddr, now: TimeMs) {
    let read_at = (page.read_at_day_ms)
        .map(|day_ms| read_at(day_ms, node.agreed_time_of_day(now), now))
        .unwrap_or_default();
    let (is_first_table, is_known) = {
        let view = node.upstreams_view.lock();
        (view.end.is_start(), view.is_known())
    };
    if is_first_table && !is_known {
        apply_first_page(node, &page.announced, now);
    }
    let added = {
        let mut view = node.upstreams_view.lock();
        let is_wanted = is_first_table || view.is_behind();
        let added = if is_wanted {
            view.assembler.add(page, read_at)
        } else {
            AddedPage::NotNext
        };
        if added != AddedPage::NotNext {
            view.last_page_at = now;
        }
        added
    };
    match added {
        AddedPage::NotNext => {}
        AddedPage::Next => send_request(node, from),
        AddedPage::Complete(snapshot) => {
            log::info!(
                event = "upstreams_handed_over",
                upstreams = snapshot.announced.len(),
                end:% = snapshot.end,
                age_ms = now.since(snapshot.read_at),
                peer:% = from;
                "received the table of upstreams from a peer"
            );
            install_snapshot(node, snapshot, now);
            // Changes that were announced during the transfer are still missing.
            send_request(node, from);
        }
    }
}

/// Applies a page of the first table, so that its upstreams can be used during the transfer.
fn apply_first_page(node: &Gateway, announced: &[Announcement], now: TimeMs) {
    let mut table = node.upstreams.lock();
    for announced in announced {
        table.apply(Change::Present(announced.clone()), false, now);
    }
}
