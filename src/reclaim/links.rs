//! Time on the links of the hosts under notice.

use super::rates::{duration_ms, float};
use super::view::{Notice, ReclaimView, StreamOnHost};
use crate::keys::HostKey;
use crate::time::TimeMs;

/// One host's outgoing link, as far as it is this node's.
#[derive(Clone, Copy, Debug)]
pub(super) struct SourceLink {
    /// Bytes a second that are this node's part.
    pub(super) bytes_per_second: f64,
    /// When the exports planned so far are through.
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
    /// Gives this node a part of each link by its share of the host's streams.
    ///
    /// Other nodes plan for the same link at the same time without being asked. If each took the
    /// whole of it, exports would take a multiple of the planned time and be cut off by the host's
    /// end; one would see most exports of a wave fail. With parts, the sum fits.
    pub(super) fn new(view: &ReclaimView<'a>, now: TimeMs) -> Self {
        let mut here = vec![0_u32; view.notices.len()];
        for stream in view.streams {
            if let Ok(index) = view
                .notices
                .binary_search_by_key(&stream.host, |notice| notice.host)
            {
                here[index] += 1;
            }
        }
        let links = view.notices.iter().zip(&here);
        let links = links.map(|(notice, here)| SourceLink {
            bytes_per_second: notice.kv_bytes_per_second * share(*here, notice.streams_in_all),
            free_at_ms: now,
        });
        let all = view.notices.iter().zip(&here);
        let all = all.map(|(notice, here)| notice.streams_in_all.max(*here));
        Self {
            notices: view.notices,
            links: links.collect(),
            part: share(here.iter().sum(), all.sum()),
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
