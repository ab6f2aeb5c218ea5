//! Chooses a move for each stream, in order of urgency and benefit.

use std::cmp::Reverse;

use super::decision::{Move, ReclaimPlan, StreamMove};
use super::links::{SourceLinks, transfer_ms};
use super::num::{ceil_to_u64, duration_ms, to_f64};
use super::target_capacity::{TargetCapacity, Tier};
use super::view::{Notice, Progress, ReclaimView, Settings, StreamOnHost};
use crate::keys::HostKey;
use crate::time::TimeMs;

/// Longest interval between plans, so that a stream slower than estimated is detected in time.
const REPLAN_INTERVAL_MS: u64 = 500;

/// Safety margin on a stream's estimated remaining time, as a fraction.
const FINISH_ESTIMATE_MARGIN: f64 = 0.1;

/// Prefill time up to which a separate request to warm the cache is not worthwhile.
const UNWARMED_START_MAX_MS: u64 = 100;

/// Shortest slack that an export or import gets beyond its planned duration.
const EXPORT_TIMEOUT_SLACK_MIN_MS: u64 = 100;

/// Import time, including the wait for the target's link, from which live migration is worthwhile.
///
/// In a live migration the stream keeps generating on its source during the import.
const LIVE_MIGRATION_MIN_MS: u64 = 100;

/// Steps of a stop that wait for processor time on a busy node: the order reaches the task of the
/// stream, the task calls the engine, and it reads the engine's reply and the end of the stream.
const STOP_STEPS: u64 = 4;

/// The schedule of one export and import.
#[derive(Clone, Copy, Debug)]
struct ExportTimes {
    target_index: usize,
    start_at_ms: TimeMs,
    exported_at_ms: TimeMs,
    done_at_ms: TimeMs,
    /// Whether the stream keeps generating on its source during the import.
    is_live: bool,
}

impl ExportTimes {
    /// Returns how long the stream stalls.
    fn stall_ms(self) -> u64 {
        let until_ms = if self.is_live {
            self.exported_at_ms
        } else {
            self.done_at_ms
        };
        until_ms.since(self.start_at_ms)
    }

    /// Returns the schedule for a stream that stalls until the import is complete.
    fn without_live_migration(self, settings: Settings) -> Self {
        let saved_ms = overhead_ms(settings, self.is_live) - overhead_ms(settings, false);
        Self {
            done_at_ms: TimeMs(self.done_at_ms.0 - saved_ms),
            is_live: false,
            ..self
        }
    }

    fn give_up_at_ms(self) -> TimeMs {
        let needed_ms = self.done_at_ms.since(self.start_at_ms);
        let slack_ms = (needed_ms / 2).max(EXPORT_TIMEOUT_SLACK_MIN_MS);
        self.done_at_ms.after(slack_ms)
    }
}

/// Returns the fixed cost of an export and import, excluding the transfer of the bytes.
fn overhead_ms(settings: Settings, is_live: bool) -> u64 {
    let switch_ms = if is_live { settings.switch_lead_ms } else { 0 };
    settings.export_overhead_ms + switch_ms
}

/// The state of one planning run.
#[derive(Debug)]
pub(super) struct Planner<'a> {
    view: &'a ReclaimView<'a>,
    now: TimeMs,
    links: SourceLinks<'a>,
    capacity: TargetCapacity<'a>,
    /// Whether the targets have less capacity than the streams need; batch work is then last.
    scarce: bool,
    moves: Vec<Option<Move>>,
}

impl<'a> Planner<'a> {
    pub(super) fn new(view: &'a ReclaimView<'a>, now: TimeMs) -> Self {
        let links = SourceLinks::new(view, now);
        Self {
            capacity: TargetCapacity::new(view, &links),
            links,
            view,
            now,
            scarce: false,
            moves: vec![None; view.streams.len()],
        }
    }

    pub(super) fn plan(mut self) -> ReclaimPlan {
        let undecided = self.keep_started();
        let mut undecided = self.finish_in_place(undecided);
        self.scarce = self.capacity.is_scarce(undecided.len());
        undecided.sort_by_cached_key(|index| Reverse(self.export_rank(*index)));
        undecided.retain(|index| !self.export(*index));
        undecided.sort_by_key(|index| Reverse(self.recompute_rank(*index)));
        for index in undecided {
            let action = self.recompute(index);
            self.moves[index] = Some(action);
        }
        self.finish_plan()
    }

    /// Keeps the transfers that earlier plans started and drops those past their deadline.
    ///
    /// Reserves links and target capacity for each kept transfer and returns the indexes of all
    /// other streams on hosts under notice.
    fn keep_started(&mut self) -> Vec<usize> {
        let noticed = (0..self.view.streams.len())
            .filter(|index| self.view.notice(self.view.streams[*index].host).is_some());
        let mut undecided = Vec::new();
        for index in noticed.collect::<Vec<_>>() {
            let stream = &self.view.streams[index];
            let kept = match stream.progress {
                Progress::Exporting {
                    target,
                    started_at_ms,
                } => self.keep_export(stream, target, started_at_ms),
                Progress::Importing {
                    target,
                    started_at_ms,
                } => self.keep_import(stream, target, started_at_ms),
                _ => None,
            };
            match kept {
                Some(action) => self.moves[index] = Some(action),
                None => undecided.push(index),
            }
        }
        undecided
    }

    /// Keeps an export before its deadline; returns `None` past it.
    ///
    /// A stream stalls while its export hangs, without a deadline until the host is gone. After
    /// the deadline the export is cancelled and the stream is recomputed elsewhere immediately.
    fn keep_export(
        &mut self,
        stream: &StreamOnHost,
        target: HostKey,
        started_at_ms: TimeMs,
    ) -> Option<Move> {
        let notice = *self.view.notice(stream.host)?;
        let target_index = self.capacity.available_target(target)?;
        let times = self.export_times(stream, target_index, started_at_ms, started_at_ms)?;
        let give_up_at_ms =
            (times.give_up_at_ms()).min(self.migration_deadline_ms(stream, &notice));
        if self.now >= give_up_at_ms {
            return None;
        }
        self.reserve_links(stream, times);
        self.capacity.reserve(target_index, stream, Tier::Contended);
        Some(Move::Export {
            target,
            start_at_ms: started_at_ms,
            give_up_at_ms,
            is_live: times.is_live,
        })
    }

    /// Keeps an import before its deadline; returns `None` past it.
    fn keep_import(
        &mut self,
        stream: &StreamOnHost,
        target: HostKey,
        started_at_ms: TimeMs,
    ) -> Option<Move> {
        let notice = *self.view.notice(stream.host)?;
        let target_index = self.capacity.available_target(target)?;
        let rate = self.capacity.import_bytes_per_second(target_index);
        let import_ms = transfer_ms(stream, started_at_ms, started_at_ms, rate);
        let done_at_ms = started_at_ms
            .after(import_ms)
            .after(overhead_ms(self.view.settings, true));
        let slack_ms = (import_ms / 2).max(EXPORT_TIMEOUT_SLACK_MIN_MS);
        let give_up_at_ms =
            (done_at_ms.after(slack_ms)).min(self.migration_deadline_ms(stream, &notice));
        if self.now >= give_up_at_ms {
            return None;
        }
        let link_free_at_ms = self.capacity.link_free_at_ms(target_index);
        *link_free_at_ms = (*link_free_at_ms).max(done_at_ms);
        self.capacity.reserve(target_index, stream, Tier::Contended);
        Some(Move::Export {
            target,
            start_at_ms: started_at_ms,
            give_up_at_ms,
            is_live: true,
        })
    }

    /// Returns the latest time up to which a transfer of an earlier plan is kept.
    ///
    /// A stream that is not idempotent has to be stopped before its host is gone. If its import is
    /// late while the stream still runs on the source, the stream ends as `unknown` with the host;
    /// on a busy machine this affected one of 100 such streams. Stopped before this deadline, it is
    /// recomputed on another host.
    fn migration_deadline_ms(&self, stream: &StreamOnHost, notice: &Notice) -> TimeMs {
        if stream.idempotent {
            return notice.leave_at_ms;
        }
        let lead_ms = self.switch_lead_ms(stream);
        TimeMs(self.end_ms(notice).0.saturating_sub(lead_ms))
    }

    /// Returns how long before the end of its host a stream starts on its target at the latest.
    ///
    /// A stream that is not idempotent has to be stopped first. A busy node takes longer to do so,
    /// and a stop that is not confirmed when the host is gone leaves the stream `unknown`.
    fn switch_lead_ms(&self, stream: &StreamOnHost) -> u64 {
        let settings = self.view.settings;
        if stream.idempotent {
            settings.switch_lead_ms
        } else {
            settings.switch_lead_ms + STOP_STEPS * settings.step_delay_ms
        }
    }

    fn finish_in_place(&mut self, undecided: Vec<usize>) -> Vec<usize> {
        let (finish, others) = undecided
            .into_iter()
            .partition(|index| self.finishes_in_time(&self.view.streams[*index]));
        for index in finish {
            self.moves[index] = Some(Move::Finish);
        }
        others
    }

    fn finishes_in_time(&self, stream: &StreamOnHost) -> bool {
        let runs = matches!(
            stream.progress,
            Progress::Running | Progress::Warmed { .. } | Progress::Importing { .. }
        );
        let Some(notice) = self.view.notice(stream.host) else {
            return false;
        };
        let remaining = f64::from(stream.remaining_tokens_max) * (1.0 + FINISH_ESTIMATE_MARGIN);
        let needed_ms = duration_ms(remaining, stream.tokens_per_second);
        // If a stream that is not idempotent falls behind the estimate, it must still be stopped.
        let end_ms = self
            .end_ms(notice)
            .min(self.migration_deadline_ms(stream, notice));
        runs && needed_ms < self.now.until(end_ms)
    }

    /// Returns the rank of a stream for exports; a higher rank is planned first.
    ///
    /// Streams that are not idempotent come first, then interactive streams if capacity is scarce,
    /// then streams that save the most computation per byte transferred.
    fn export_rank(&self, index: usize) -> (bool, bool, u64, u32) {
        let stream = &self.view.streams[index];
        let elsewhere = stream.cached_on.map_or(stream.host, |cached| cached.host);
        let saved_tokens = stream.tokens_to_compute_on(elsewhere);
        let megabytes = to_f64(stream.kv_bytes.max(1)) / 1e6;
        (
            !stream.idempotent,
            !self.scarce || self.is_interactive(stream),
            ceil_to_u64(f64::from(saved_tokens) / megabytes * 1e3),
            saved_tokens,
        )
    }

    fn recompute_rank(&self, index: usize) -> (u8, u32) {
        let stream = &self.view.streams[index];
        (stream.priority, stream.context_tokens())
    }

    /// Plans an export if one fits and returns whether the stream has a move.
    fn export(&mut self, index: usize) -> bool {
        let stream = &self.view.streams[index];
        let tiers: &[Tier] = match stream.idempotent {
            true if self.scarce && !self.is_interactive(stream) => &[Tier::OwnShare],
            true => &[Tier::OwnShare, Tier::Contended],
            false => &[
                Tier::OwnShare,
                Tier::Contended,
                Tier::MassReclaim,
                Tier::Queued,
            ],
        };
        let found = tiers
            .iter()
            .find_map(|tier| Some((self.best_export(stream, *tier)?, *tier)));
        self.moves[index] = match found {
            Some((times, tier)) => {
                self.reserve_links(stream, times);
                self.capacity.reserve(times.target_index, stream, tier);
                Some(Move::Export {
                    target: self.capacity.target(times.target_index).host,
                    start_at_ms: times.start_at_ms,
                    give_up_at_ms: times.give_up_at_ms(),
                    is_live: times.is_live,
                })
            }
            None => None,
        };
        self.moves[index].is_some()
    }

    fn best_export(&mut self, stream: &StreamOnHost, tier: Tier) -> Option<ExportTimes> {
        let has_failed = matches!(
            stream.progress,
            Progress::ExportFailed | Progress::Exporting { .. } | Progress::Importing { .. }
        );
        if has_failed {
            return None;
        }
        let end_ms = self.end_ms(self.view.notice(stream.host)?);
        let free_at_ms = match stream.progress {
            Progress::Exported => self.now,
            _ => self.links.link_mut(stream.host)?.free_at_ms,
        };
        let stall_max_ms = if self.is_interactive(stream) {
            self.view.settings.stall_max_ms
        } else {
            u64::MAX
        };
        let candidates = self.capacity.candidates(stream, tier).into_iter();
        let timed = candidates.filter_map(|target_index| {
            let live = self.export_times(stream, target_index, self.now, free_at_ms)?;
            Some([live.without_live_migration(self.view.settings), live])
        });
        let fitting = timed
            .flatten()
            .filter(|times| times.done_at_ms <= end_ms && times.stall_ms() <= stall_max_ms);
        fitting.min_by_key(|times| (times.stall_ms(), times.done_at_ms))
    }

    /// Returns the schedule of an export whose cache has its current size at `sized_at_ms`.
    ///
    /// Returns `None` if the stream's host is not under notice.
    fn export_times(
        &mut self,
        stream: &StreamOnHost,
        target_index: usize,
        sized_at_ms: TimeMs,
        start_at_ms: TimeMs,
    ) -> Option<ExportTimes> {
        let bytes_per_second = self.links.link_mut(stream.host)?.bytes_per_second;
        let queued = self.view.notice(stream.host)?.queued;
        let export_ms = match stream.progress {
            Progress::Exported => 0,
            _ => transfer_ms(stream, sized_at_ms, start_at_ms, bytes_per_second),
        };
        let exported_at_ms = start_at_ms.after(export_ms);
        let import_rate = self.capacity.import_bytes_per_second(target_index);
        let import_ms = transfer_ms(stream, sized_at_ms, start_at_ms, import_rate);
        let import_at_ms = exported_at_ms.max(*self.capacity.link_free_at_ms(target_index));
        let import_total_ms = exported_at_ms.until(import_at_ms.after(import_ms));
        // If streams are queued on the source, one of them takes the slot freed by the export.
        let is_live = queued == 0 && export_ms > 0 && import_total_ms >= LIVE_MIGRATION_MIN_MS;
        Some(ExportTimes {
            target_index,
            start_at_ms,
            exported_at_ms,
            done_at_ms: import_at_ms
                .after(import_ms)
                .after(overhead_ms(self.view.settings, is_live)),
            is_live,
        })
    }

    fn reserve_links(&mut self, stream: &StreamOnHost, times: ExportTimes) {
        if let Some(link) = self.links.link_mut(stream.host) {
            link.free_at_ms = link.free_at_ms.max(times.exported_at_ms);
        }
        let import_free_at_ms = self.capacity.link_free_at_ms(times.target_index);
        *import_free_at_ms = (*import_free_at_ms).max(times.done_at_ms);
    }

    fn recompute(&mut self, index: usize) -> Move {
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

    fn end_ms(&self, notice: &Notice) -> TimeMs {
        let margin_ms = self.view.settings.leave_margin_ms;
        TimeMs(notice.leave_at_ms.0.saturating_sub(margin_ms))
    }

    fn is_interactive(&self, stream: &StreamOnHost) -> bool {
        stream.priority >= self.view.settings.interactive_priority_min
    }

    fn finish_plan(self) -> ReclaimPlan {
        let decided = self.view.streams.iter().zip(&self.moves);
        let moves: Vec<StreamMove> = decided
            .filter_map(|(stream, action)| {
                Some(StreamMove {
                    stream: stream.stream,
                    action: (*action)?,
                })
            })
            .collect();
        let times = moves.iter().flat_map(|decided| times_of(decided.action));
        let next_ms = times.flatten().filter(|time| *time > self.now).min();
        let latest_ms = self.now.after(REPLAN_INTERVAL_MS);
        let look_again_at_ms = next_ms.map_or(latest_ms, |time| time.min(latest_ms));
        ReclaimPlan {
            replan_at_ms: (!moves.is_empty()).then_some(look_again_at_ms),
            moves,
        }
    }
}

fn times_of(action: Move) -> [Option<TimeMs>; 2] {
    match action {
        Move::Finish | Move::RunUntilLeave => [None, None],
        Move::Export {
            start_at_ms,
            give_up_at_ms,
            ..
        } => [Some(start_at_ms), Some(give_up_at_ms)],
        Move::Recompute {
            warm_at_ms,
            start_at_ms,
            ..
        }
        | Move::Resume {
            warm_at_ms,
            start_at_ms,
            ..
        } => [warm_at_ms, Some(start_at_ms)],
        Move::Wait { retry_at_ms } => [Some(retry_at_ms), None],
    }
}
