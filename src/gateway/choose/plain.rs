//! Expected answer times of plain services.

use super::{Choice, Criteria};
use crate::gateway::num;
use crate::gateway::upstreams::{Upstream, UpstreamKey};
use crate::time::TimeMs;

/// Expected time of a plain call until an upstream of the pool has answered once.
const DEFAULT_PLAIN_CALL_MS: f64 = 30.0;

/// Concurrent requests assumed for a plain service that announces no slot count.
const DEFAULT_PLAIN_SLOTS: u32 = 4;

/// Answer times of the plain upstreams of a pool, as this node has measured them.
#[derive(Clone, Copy, Debug)]
pub(super) struct PlainPool {
    /// Answer time of the fastest upstream, divided by its time factor.
    fastest_ms: f64,
    /// Mean over the upstreams; `None` while this node has called less than half of them.
    mean_ms: Option<f64>,
}

impl PlainPool {
    /// Collects what this node and its peers know of the candidates.
    pub fn of(candidates: &[(UpstreamKey, &Upstream)], ask: &Criteria<'_>) -> Self {
        // The answer time of engines is estimated from their `Pace` instead.
        let plain_candidates = candidates.iter().filter(|_candidate| ask.prompt.is_none());
        let answers: Vec<(f64, f64)> = plain_candidates
            .filter_map(|(_key, upstream)| {
                let took_ms = upstream.health.mean_answer_ms()?;
                Some((took_ms, took_ms / upstream.speed.factor()))
            })
            .collect();
        let sum_ms: f64 = answers.iter().map(|(took_ms, _by_factor)| took_ms).sum();
        let fastest_ms = answers.iter().map(|(_took_ms, by_factor)| *by_factor);
        let is_known = !answers.is_empty() && answers.len() * 2 >= candidates.len();
        Self {
            fastest_ms: fastest_ms.reduce(f64::min).unwrap_or(DEFAULT_PLAIN_CALL_MS),
            mean_ms: is_known.then(|| sum_ms / num::to_f64(answers.len() as u64)),
        }
    }

    /// Returns the choice of an upstream with its expected answer time.
    pub fn estimate(&self, key: UpstreamKey, upstream: &Upstream, now: TimeMs) -> Choice {
        let time_factor = upstream.speed.factor();
        let usual_ms = self.fastest_ms * time_factor;
        let took_ms = upstream.health.expected_ms(usual_ms, now);
        let slots = match upstream.announcement.slots {
            0 => DEFAULT_PLAIN_SLOTS,
            slots => slots,
        };
        let running = upstream.running();
        // Answers slow down under load; a request beyond the last slot also queues for one.
        let load_factor = 1.0 + f64::from(running) / f64::from(slots);
        let queue_factor = f64::from((running + 1).saturating_sub(slots)) / f64::from(slots);
        Choice {
            upstream: key,
            expected_ms: took_ms * (load_factor + queue_factor),
            unread_tokens: 0,
            waiting_tokens: 0,
            source: None,
            copied_tokens: 0,
            slots,
            running,
            time_factor,
            pool_expected_ms: self.mean_ms,
        }
    }
}
