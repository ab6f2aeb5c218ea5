//! Recomputations: on which host and when a stream goes on whose cache is not moved.

use super::{Planner, REPLAN_INTERVAL_MS};
use crate::reclaim::decision::Move;
use crate::reclaim::num::duration_ms;
use crate::reclaim::target_capacity::Tier;
use crate::reclaim::view::{Progress, StreamOnHost};
use crate::time::TimeMs;

/// Prefill time up to which a separate request to warm the cache is not worthwhile.
const UNWARMED_START_MAX_MS: u64 = 100;

impl Planner<'_> {
    pub(super) fn recompute_rank(&self, index: usize) -> (u8, u32) {
        let stream = &self.view.streams[index];
        (stream.priority, stream.context_tokens())
    }

    pub(super) fn recompute(&mut self, index: usize) -> Move {
        let stream = &self.view.streams[index];
        let interactive = self.is_interactive(stream);
        let tiers: &[Tier] = match (interactive || !stream.idempotent, self.scarce) {
            (true, _) => &[
                Tier::OwnShare,
                Tier::Contended,
                Tier::MassReclaim,
                Tier::Queued,
            ],
            (false, false) => &[Tier::OwnShare, Tier::Contended],
            (false, true) => &[Tier::OwnShare],
        };
        let warmed_target = match stream.progress {
            Progress::Warmed { target } => self.capacity.available_target(target),
            _ => None,
        };
        let found = warmed_target
            .map(|target_index| (target_index, Tier::Contended))
            .or_else(|| {
                tiers.iter().find_map(|tier| {
                    let target_index = self.best_recompute(stream, *tier)?;
                    Some((target_index, *tier))
                })
            });
        let Some((target_index, tier)) = found else {
            let retry_at_ms = self.now.after(REPLAN_INTERVAL_MS);
            return if stream.idempotent {
                Move::Wait { retry_at_ms }
            } else {
                Move::RunUntilLeave
            };
        };
        self.capacity.reserve(target_index, stream, tier);
        let (warm_at_ms, start_at_ms) =
            self.recompute_times(stream, target_index, warmed_target.is_some());
        let (target, queued) = (
            self.capacity.target(target_index).host,
            tier == Tier::Queued,
        );
        if stream.idempotent {
            Move::Recompute {
                target,
                warm_at_ms,
                start_at_ms,
                queued,
            }
        } else {
            Move::Resume {
                target,
                warm_at_ms,
                start_at_ms,
                queued,
            }
        }
    }

    fn best_recompute(&mut self, stream: &StreamOnHost, tier: Tier) -> Option<usize> {
        let candidates = self.capacity.candidates(stream, tier);
        let cost = candidates.into_iter().map(|target_index| {
            let compute_ms = self.compute_ms(stream, target_index);
            let busy_ms = *self.capacity.compute_ms(target_index);
            let cost = (
                self.capacity.waiting(target_index),
                busy_ms.saturating_add(compute_ms),
            );
            (cost, target_index)
        });
        cost.min_by_key(|(cost, _)| *cost)
            .map(|(_, target_index)| target_index)
    }

    /// Returns when to warm the target's cache, if needed, and when to start the stream there.
    ///
    /// A stream started with a cold cache lags behind its source by the prefill time of its
    /// context, however early it starts, and stalls for that time when the source is gone. The
    /// context is therefore computed in advance while the source streams, and the stream itself
    /// starts just before the end of the source with only the latest tokens left to compute.
    fn recompute_times(
        &mut self,
        stream: &StreamOnHost,
        target_index: usize,
        is_warmed: bool,
    ) -> (Option<TimeMs>, TimeMs) {
        let is_streaming = matches!(
            stream.progress,
            Progress::Running | Progress::Warmed { .. } | Progress::Importing { .. }
        );
        let end_ms = self.view.notice(stream.host).map(|n| self.end_ms(n));
        let left_ms = end_ms.map_or(0, |end_ms| self.now.until(end_ms));
        let switch_in_ms = left_ms.saturating_sub(self.switch_lead_ms(stream));
        let compute_ms = self.compute_ms(stream, target_index);
        let busy_ms = self.capacity.compute_ms(target_index);
        match compute_ms {
            _ if !is_streaming => (None, self.now),
            _ if is_warmed => (None, self.now.after(switch_in_ms)),
            _ if compute_ms > switch_in_ms => (None, self.now),
            _ if compute_ms <= UNWARMED_START_MAX_MS => {
                (None, self.now.after(switch_in_ms - compute_ms))
            }
            _ => {
                // The target computes one context at a time. The last stream placed is warmed
                // first, so that the first, of the highest priority, has the freshest cache.
                *busy_ms = busy_ms.saturating_add(compute_ms);
                let warm_in_ms = switch_in_ms.saturating_sub(*busy_ms);
                (
                    Some(self.now.after(warm_in_ms)),
                    self.now.after(switch_in_ms),
                )
            }
        }
    }

    fn compute_ms(&self, stream: &StreamOnHost, target_index: usize) -> u64 {
        let tokens = stream.tokens_to_compute_on(self.capacity.target(target_index).host);
        let rate = self.capacity.prefill_tokens_per_second(target_index);
        duration_ms(f64::from(tokens), rate)
    }
}
