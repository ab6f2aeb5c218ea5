//! Schedules KV cache transfers on the outgoing links of hosts under notice.

use super::num::{duration_ms, hash_pair, to_f64};
use super::view::{Notice, ReclaimView, StreamOnHost};
use crate::keys::HostKey;
use crate::time::TimeMs;

/// Factor by which the staggered start times are stretched beyond the estimated export time.
///
/// A node knows only the sizes of its own streams. The spare time absorbs part of the delay when
/// an export of another node takes longer than estimated.
const STAGGER_STRETCH_FACTOR: f64 = 1.3;

/// One host's outgoing link, as available to this node.
#[derive(Clone, Copy, Debug)]
pub(super) struct SourceLink {
    /// Bandwidth of the link.
    pub(super) bytes_per_second: f64,
    /// When this node's planned exports are complete; initially its staggered start time.
    pub(super) free_at_ms: TimeMs,
}

/// The outgoing links of the hosts under notice, in the order of the notices.
#[derive(Debug)]
pub(super) struct SourceLinks<'a> {
    notices: &'a [Notice],
    links: Vec<SourceLink>,
    /// This node's fraction of all streams that have to move, from 0 to 1.
    pub(super) node_share: f64,
}

impl<'a> SourceLinks<'a> {
    /// Sets this node's staggered start time on each link.
    ///
    /// Other nodes plan for the same links at the same time, without coordination. If all nodes
    /// exported at once, each stream would stall until the link had transferred the caches of all
    /// nodes, so stalls would grow with the number of nodes. With staggered exports each stream
    /// stalls for its own transfer only.
    pub(super) fn new(view: &ReclaimView<'a>, now: TimeMs) -> Self {
        let mut local = vec![NodeStreams::default(); view.notices.len()];
        for stream in view.streams {
            if let Ok(index) = view
                .notices
                .binary_search_by_key(&stream.host, |notice| notice.host)
            {
                local[index].streams += 1;
                local[index].kv_bytes += stream.kv_bytes;
            }
        }
        let links = view.notices.iter().zip(&local);
        let links = links.map(|(notice, local)| SourceLink {
            bytes_per_second: notice.kv_bytes_per_second,
            free_at_ms: now.max(
                notice
                    .received_at_ms
                    .after(stagger_delay_ms(view, notice, *local)),
            ),
        });
        let total = view.notices.iter().zip(&local);
        let total = total.map(|(notice, local)| notice.total_streams.max(local.streams));
        Self {
            notices: view.notices,
            links: links.collect(),
            node_share: share_of(local.iter().map(|local| local.streams).sum(), total.sum()),
        }
    }

    /// Returns the link of a host; `None` if the host is not under notice.
    pub(super) fn link_mut(&mut self, host: HostKey) -> Option<&mut SourceLink> {
        let found = self
            .notices
            .binary_search_by_key(&host, |notice| notice.host);
        found.ok().map(|index| &mut self.links[index])
    }
}

/// This node's streams on one host.
#[derive(Clone, Copy, Debug, Default)]
struct NodeStreams {
    streams: u32,
    kv_bytes: u64,
}

/// Returns how long after the notice this node starts to export over a host's link.
///
/// The start times of all nodes spread over the time that all exports take, assuming that the
/// streams of other nodes are as large as this node's. The order of the nodes differs from host to
/// host, so that no node is last on every link.
fn stagger_delay_ms(view: &ReclaimView<'_>, notice: &Notice, local: NodeStreams) -> u64 {
    let others = notice.total_streams.saturating_sub(local.streams);
    if local.streams == 0 || others == 0 {
        return 0;
    }
    let mean_bytes = to_f64(local.kv_bytes) / f64::from(local.streams);
    let others_ms = duration_ms(
        mean_bytes * f64::from(others) * STAGGER_STRETCH_FACTOR,
        notice.kv_bytes_per_second,
    );
    let own_ms = duration_ms(to_f64(local.kv_bytes), notice.kv_bytes_per_second);
    let notice_ms = notice.received_at_ms.until(notice.leave_at_ms);
    let latest_ms = others_ms.min(notice_ms.saturating_sub(own_ms));
    let nodes = u64::from(view.nodes.max(1));
    let position = (u64::from(view.node_rank) + hash_pair(notice.host.0, 0) % nodes) % nodes;
    latest_ms * position / nodes.saturating_sub(1).max(1)
}

/// Returns the transfer time of a stream's cache, including its growth until `start_at_ms`.
pub(super) fn transfer_ms(
    stream: &StreamOnHost,
    now: TimeMs,
    start_at_ms: TimeMs,
    bytes_per_second: f64,
) -> u64 {
    let context = f64::from(stream.context_tokens().max(1));
    let grown = stream.tokens_per_second * to_f64(now.until(start_at_ms)) / 1_000.0;
    let grown = grown.clamp(0.0, f64::from(stream.remaining_tokens_max));
    let bytes = to_f64(stream.kv_bytes) * (1.0 + grown / context);
    duration_ms(bytes, bytes_per_second)
}

fn share_of(local: u32, total: u32) -> f64 {
    if local == 0 {
        0.0
    } else {
        f64::from(local) / f64::from(total.max(local))
    }
}
