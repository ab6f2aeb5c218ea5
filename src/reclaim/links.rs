//! Time on the links of the hosts under notice.

use super::rates::{duration_ms, float, mix};
use super::view::{Notice, ReclaimView, StreamOnHost};
use crate::keys::HostKey;
use crate::time::TimeMs;

/// How much longer all turns on a link take than its exports, where there is time for it.
///
/// Nodes know only the sizes of their own streams. With some time to spare, an export that is
/// longer than a turn delays the next ones by less.
const TURNS_STRETCH: f64 = 1.3;

/// One host's outgoing link, as far as it is this node's.
#[derive(Clone, Copy, Debug)]
pub(super) struct SourceLink {
    /// Bytes a second.
    pub(super) bytes_per_second: f64,
    /// When the exports planned so far are through, or this node's turn comes.
    pub(super) free_at_ms: TimeMs,
}

/// The outgoing links of the hosts under notice, in the order of the notices.
#[derive(Debug)]
pub(super) struct SourceLinks<'a> {
    notices: &'a [Notice],
    links: Vec<SourceLink>,
    /// This node's part of all streams that have to move.
    pub(super) part: f64,
}

impl<'a> SourceLinks<'a> {
    /// Gives this node its turn on each link.
    ///
    /// Other nodes plan for the same link at the same time without being asked. If all exported at
    /// once, each of their streams would stand still until the link has carried those of all; one
    /// would see silences that grow with the number of nodes. One after another, each stands still
    /// for its own transfer.
    pub(super) fn new(view: &ReclaimView<'a>, now: TimeMs) -> Self {
        let mut here = vec![Here::default(); view.notices.len()];
        for stream in view.streams {
            if let Ok(index) = view
                .notices
                .binary_search_by_key(&stream.host, |notice| notice.host)
            {
                here[index].streams += 1;
                here[index].kv_bytes += stream.kv_bytes;
            }
        }
        let links = view.notices.iter().zip(&here);
        let links = links.map(|(notice, here)| SourceLink {
            bytes_per_second: notice.kv_bytes_per_second,
            free_at_ms: now.max(notice.noted_at_ms.after(turn_ms(view, notice, *here))),
        });
        let in_all = view.notices.iter().zip(&here);
        let in_all = in_all.map(|(notice, here)| notice.streams_in_all.max(here.streams));
        Self {
            notices: view.notices,
            links: links.collect(),
            part: share(here.iter().map(|here| here.streams).sum(), in_all.sum()),
        }
    }

    /// The link of a host under notice.
    pub(super) fn of(&mut self, host: HostKey) -> Option<&mut SourceLink> {
        let found = self
            .notices
            .binary_search_by_key(&host, |notice| notice.host);
        found.ok().map(|index| &mut self.links[index])
    }
}

/// This node's streams on one host.
#[derive(Clone, Copy, Debug, Default)]
struct Here {
    streams: u32,
    kv_bytes: u64,
}

/// When this node's turn on a host's link comes, counted from the notice.
///
/// The turns of all nodes together take as long as the exports of all their streams would, if those
/// of the others are as large as this node's. Nodes take them in an order that differs from host to
/// host, so that none is the last on all.
fn turn_ms(view: &ReclaimView<'_>, notice: &Notice, here: Here) -> u64 {
    let others = notice.streams_in_all.saturating_sub(here.streams);
    if here.streams == 0 || others == 0 {
        return 0;
    }
    let mean_bytes = float(here.kv_bytes) / f64::from(here.streams);
    let of_others_ms = duration_ms(
        mean_bytes * f64::from(others) * TURNS_STRETCH,
        notice.kv_bytes_per_second,
    );
    let own_ms = duration_ms(float(here.kv_bytes), notice.kv_bytes_per_second);
    let notice_ms = notice.noted_at_ms.until(notice.leave_at_ms);
    let latest_ms = of_others_ms.min(notice_ms.saturating_sub(own_ms));
    let nodes = u64::from(view.nodes.max(1));
    let place = (u64::from(view.node_rank) + mix(notice.host.0, 0) % nodes) % nodes;
    latest_ms * place / nodes.saturating_sub(1).max(1)
}

/// How long a stream's cache takes at a rate, once it has grown until `start_at_ms`.
pub(super) fn transfer_ms(
    stream: &StreamOnHost,
    now: TimeMs,
    start_at_ms: TimeMs,
    bytes_per_second: f64,
) -> u64 {
    let context = f64::from(stream.context_tokens().max(1));
    let grown = stream.tokens_per_second * float(now.until(start_at_ms)) / 1_000.0;
    let grown = grown.clamp(0.0, f64::from(stream.remaining_tokens_max));
    let bytes = float(stream.kv_bytes) * (1.0 + grown / context);
    duration_ms(bytes, bytes_per_second)
}

fn share(here: u32, in_all: u32) -> f64 {
    if here == 0 {
        0.0
    } else {
        f64::from(here) / f64::from(in_all.max(here))
    }
}
