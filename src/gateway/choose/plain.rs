//! Expected answer times of plain services, as this node has measured them.

use super::{Choice, Criteria, Standing};
use crate::gateway::upstreams::{Upstream, UpstreamKey};

/// Expected time of a plain call until an upstream of the pool has answered once.
const DEFAULT_PLAIN_CALL_MS: f64 = 30.0;

/// Concurrent requests assumed for a plain service that announces no slot count.
const DEFAULT_PLAIN_SLOTS: u32 = 4;

/// Returns the mean answer time of the fastest upstream for a plain call, in milliseconds.
pub(super) fn fastest_answer_ms(
    candidates: &[(UpstreamKey, &Upstream)],
    ask: &Criteria<'_>,
) -> f64 {
    // The answer time of engines is estimated from their `Pace` instead.
    let plain_candidates = candidates.iter().filter(|_candidate| ask.prompt.is_none());
    let took_ms = plain_candidates.filter_map(|(_key, upstream)| upstream.health.mean_answer_ms());
    took_ms.reduce(f64::min).unwrap_or(DEFAULT_PLAIN_CALL_MS)
}

/// Returns the choice of an upstream that takes this time when it is idle.
pub(super) fn estimate_plain(key: UpstreamKey, upstream: &Upstream, took_ms: f64) -> Choice {
    let slots = match upstream.announcement.slots {
        0 => DEFAULT_PLAIN_SLOTS,
        slots => slots,
    };
    let running = upstream.running();
    // Answers slow down under load; a request beyond the last slot also queues for one.
    let load_factor = 1.0 + f64::from(running) / f64::from(slots);
    let queue_factor = f64::from((running + 1).saturating_sub(slots)) / f64::from(slots);
    let expected_ms = took_ms * (load_factor + queue_factor);
    Choice {
        upstream: key,
        expected_ms,
        unread_tokens: 0,
        waiting_tokens: 0,
        source: None,
        copied_tokens: 0,
        slots,
        running,
        standing: Standing::Unproven,
        time_factor: 1.0,
        pool_expected_ms: None,
        expected_of_pool_ms: expected_ms,
    }
}
