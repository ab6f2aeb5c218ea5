//! Hands announcements over between nodes: asks peers for what this node lacks, and answers theirs.

use std::net::SocketAddr;

use super::announcements::{news, read_at, read_at_day_ms, replace};
use super::peers::{Asked, Message};
use super::questions::{ASK_INTERVAL_MS, Questions};
use super::snapshot::{self, Assembly, Page, Taken};
use super::state::{Gateway, Recipients};
use super::upstreams::{Announced, Change};
use crate::time::TimeMs;

/// A table whose next page has not come for this long is begun anew.
const ASSEMBLY_MS: u64 = 2_000;

/// Messages in answer to one question; whoever needs more asks again from where they end.
const ANSWER_MESSAGES: usize = 8;

/// About what one change takes in a message.
const CHANGE_BYTES: usize = 130;

/// What a message takes beside its changes.
const MESSAGE_BYTES: usize = 64;

/// Whether a peer is handing over its table right now.
pub(super) fn is_handed_over(node: &Gateway, now: TimeMs) -> bool {
    let view = node.upstreams_view.lock();
    view.assembly.is_begun() && now.since(view.page_at) < ASK_INTERVAL_MS
}

/// Asks a peer for what this node lacks.
pub(super) fn ask(node: &Gateway, questions: &mut Questions, now: TimeMs) {
    {
        let mut view = node.upstreams_view.lock();
        // What was begun long ago would be old when it is whole.
        if now.since(view.page_at) >= ASSEMBLY_MS {
            view.assembly = Assembly::default();
        }
    }
    let asked = questions.next(&node.peers.lock(), now);
    if let Some(address) = asked {
        ask_one(node, address);
    }
}

pub(super) fn ask_one(node: &Gateway, address: SocketAddr) {
    let question = {
        let view = node.upstreams_view.lock();
        Message::AskUpstreams(Asked {
            read_to: view.end,
            until: view.gap_end(),
            after: view.assembly.after(),
        })
    };
    node.tell(Recipients::One(address), question);
}

/// Answers a peer that asks for announcements.
pub(crate) fn answer(node: &Gateway, asked: &Asked, from: SocketAddr, now: TimeMs) {
    let Asked { read_to, until, .. } = *asked;
    let after = asked.after.as_deref();
    let end = node.upstreams_view.lock().end;
    // A peer that has read further is of no help to itself here; a node without a table to nobody.
    if end.is_start() || read_to > end {
        return;
    }
    let steps = match read_to {
        _ if read_to.is_start() || read_to.era < end.era => None,
        _ if after.is_some() => None,
        _ if read_to == end => Some(Vec::new()),
        _ => node.recent.lock().since(read_to),
    };
    let messages: Vec<Message> = match steps {
        Some(mut steps) => {
            steps.retain(|step| until.is_none_or(|until| step.from < until));
            steps.truncate(ANSWER_MESSAGES);
            let news = news(node, steps, now).into_iter();
            news.map(Message::Upstreams).collect()
        }
        None => vec![Message::UpstreamsPage(page(node, after, now))],
    };
    for message in messages {
        if !node.answers.lock().take(about_bytes(&message), now) {
            log::debug!(peer:% = from; "a peer that asks for announcements is not answered now");
            return;
        }
        node.tell(Recipients::One(from), message);
    }
}

/// About what a message takes.
fn about_bytes(message: &Message) -> usize {
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
        snapshot::page(table.announced_by_id(), after)
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

/// Takes in a page of a peer's table, and asks the same peer for the next.
pub(crate) fn take_page(node: &Gateway, page: Page, from: SocketAddr, now: TimeMs) {
    let read_at = (page.read_at_day_ms)
        .map(|day_ms| read_at(day_ms, node.time_of_day(now), now))
        .unwrap_or_default();
    let (is_first_table, is_known) = {
        let view = node.upstreams_view.lock();
        (view.end.is_start(), view.is_known())
    };
    if is_first_table && !is_known {
        take_first(node, &page.announced, now);
    }
    let taken = {
        let mut view = node.upstreams_view.lock();
        let is_wanted = is_first_table || view.is_behind();
        let taken = if is_wanted {
            view.assembly.take(page, read_at)
        } else {
            Taken::NotNext
        };
        if taken != Taken::NotNext {
            view.page_at = now;
        }
        taken
    };
    match taken {
        Taken::NotNext => {}
        Taken::Next => ask_one(node, from),
        Taken::Whole(whole) => {
            log::info!(
                event = "upstreams_handed_over",
                upstreams = whole.announced.len(),
                end:% = whole.end,
                age_ms = now.since(whole.read_at),
                peer:% = from;
                "a peer handed over the announcements of upstreams"
            );
            replace(node, whole, now);
            // What was announced while the pages came is still missing.
            ask_one(node, from);
        }
    }
}

/// Serves from a part of the first table while the rest comes.
fn take_first(node: &Gateway, announced: &[Announced], now: TimeMs) {
    let mut table = node.upstreams.lock();
    for announced in announced {
        table.apply(Change::Present(announced.clone()), false, now);
    }
}
