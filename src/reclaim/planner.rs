//! The order in which streams are decided, and the decision for each.

use std::cmp::Reverse;

use super::decision::{Move, ReclaimPlan, StreamMove};
use super::links::{SourceLinks, transfer_ms};
use super::rates::{duration_ms, float, whole};
use super::room::{Room, Tier};
use super::view::{Notice, Progress, ReclaimView, Settings, StreamOnHost};
use crate::keys::HostKey;
use crate::time::TimeMs;

/// How often a plan is looked at again, so that a stream slower than estimated is found in time.
const LOOK_AGAIN_MS: u64 = 500;

/// Part of a stream's remaining time that its estimate may be wrong by.
const FINISH_SLACK: f64 = 0.1;

/// Computing that is not worth a request of its own to warm the cache.
const COLD_START_MAX_MS: u64 = 100;

/// Least time that an export may take longer than planned.
const EXPORT_SLACK_MIN_MS: u64 = 100;

/// Time that a target takes a cache in for, from which on the stream goes on at its host meanwhile.
const STAY_MIN_MS: u64 = 100;

/// When an export would be through.
#[derive(Clone, Copy, Debug)]
struct ExportTimes {
    place: usize,
    start_at_ms: TimeMs,
    exported_at_ms: TimeMs,
    done_at_ms: TimeMs,
    /// Whether the stream goes on at its host while the target takes its cache in.
    stays: bool,
}

impl ExportTimes {
    /// How long the stream stands still.
    fn silence_ms(self) -> u64 {
        let until_ms = if self.stays {
            self.exported_at_ms
        } else {
            self.done_at_ms
        };
        until_ms.since(self.start_at_ms)
    }

    /// The same for a stream that stands still until the target has its cache.
    fn without_stay(self, settings: Settings) -> Self {
        let saved_ms = overhead_ms(settings, self.stays) - overhead_ms(settings, false);
        Self {
            done_at_ms: TimeMs(self.done_at_ms.0 - saved_ms),
            stays: false,
            ..self
        }
    }

    fn give_up_at_ms(self) -> TimeMs {
        let needed_ms = self.done_at_ms.since(self.start_at_ms);
        let slack_ms = (needed_ms / 2).max(EXPORT_SLACK_MIN_MS);
        self.done_at_ms.after(slack_ms)
    }
}

/// What an export takes besides the bytes.
fn overhead_ms(settings: Settings, stays: bool) -> u64 {
    let switch_ms = if stays { settings.switch_lead_ms } else { 0 };
    settings.export_overhead_ms + switch_ms
}

/// One plan in the making.
#[derive(Debug)]
pub(super) struct Planner<'a> {
    view: &'a ReclaimView<'a>,
    now: TimeMs,
    links: SourceLinks<'a>,
    room: Room<'a>,
    /// A wave has left less room than the streams need: batch work comes last.
    scarce: bool,
    moves: Vec<Option<Move>>,
}

impl<'a> Planner<'a> {
    pub(super) fn new(view: &'a ReclaimView<'a>, now: TimeMs) -> Self {
        let links = SourceLinks::new(view, now);
        Self {
            room: Room::new(view, &links),
            links,
            view,
            now,
            scarce: false,
            moves: vec![None; view.streams.len()],
        }
    }

    pub(super) fn plan(mut self) -> ReclaimPlan {
        let undecided = self.keep_under_way();
        let mut undecided = self.let_finish(undecided);
        self.scarce = self.room.is_scarce(undecided.len());
        undecided.sort_by_cached_key(|index| Reverse(self.export_rank(*index)));
        undecided.retain(|index| !self.export(*index));
        undecided.sort_by_key(|index| Reverse(self.recompute_rank(*index)));
        for index in undecided {
            let action = self.recompute(index);
            self.moves[index] = Some(action);
        }
        self.finish_plan()
    }

    /// Holds room and links for what earlier plans have begun, and gives up what took too long.
    fn keep_under_way(&mut self) -> Vec<usize> {
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
                Progress::Carrying {
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

    /// Keeps an export that can still succeed.
    ///
    /// An export that hangs holds the stream still; one would see a silence up to the host's end.
    /// Past its time it is given up, and the stream is computed elsewhere at once.
    fn keep_export(
        &mut self,
        stream: &StreamOnHost,
        target: HostKey,
        started_at_ms: TimeMs,
    ) -> Option<Move> {
        let notice = *self.view.notice(stream.host)?;
        let place = self.room.find(target)?;
        let times = self.export_times(stream, place, started_at_ms, started_at_ms)?;
        let give_up_at_ms = (times.give_up_at_ms()).min(self.kept_until_ms(stream, &notice));
        if self.now >= give_up_at_ms {
            return None;
        }
        self.occupy(stream, times);
        self.room.book(place, stream, Tier::Contended);
        Some(Move::Export {
            target,
            start_at_ms: started_at_ms,
            give_up_at_ms,
            stays: times.stays,
        })
    }

    /// Keeps an import that can still end in time.
    fn keep_import(
        &mut self,
        stream: &StreamOnHost,
        target: HostKey,
        started_at_ms: TimeMs,
    ) -> Option<Move> {
        let notice = *self.view.notice(stream.host)?;
        let place = self.room.find(target)?;
        let rate = self.room.import_bytes_per_second(place);
        let import_ms = transfer_ms(stream, started_at_ms, started_at_ms, rate);
        let done_at_ms = started_at_ms
            .after(import_ms)
            .after(overhead_ms(self.view.settings, true));
        let slack_ms = (import_ms / 2).max(EXPORT_SLACK_MIN_MS);
        let give_up_at_ms = (done_at_ms.after(slack_ms)).min(self.kept_until_ms(stream, &notice));
        if self.now >= give_up_at_ms {
            return None;
        }
        let link_free_at_ms = self.room.link_free_at_ms(place);
        *link_free_at_ms = (*link_free_at_ms).max(done_at_ms);
        self.room.book(place, stream, Tier::Contended);
        Some(Move::Export {
            target,
            start_at_ms: started_at_ms,
            give_up_at_ms,
            stays: true,
        })
    }

    /// Until when what an earlier plan has begun is kept.
    ///
    /// A stream that may not run twice has to be stopped before its host is gone: one that goes on
    /// there while a target takes its cache in, and is late, ends as `unknown` with the host (one of
    /// 100 such streams on a busy machine). In time to be stopped, it goes on elsewhere without.
    fn kept_until_ms(&self, stream: &StreamOnHost, notice: &Notice) -> TimeMs {
        if stream.idempotent {
            return notice.leave_at_ms;
        }
        let lead_ms = self.view.settings.switch_lead_ms;
        TimeMs(self.end_ms(notice).0.saturating_sub(lead_ms))
    }

    fn let_finish(&mut self, undecided: Vec<usize>) -> Vec<usize> {
        let (finish, others) = undecided
            .into_iter()
            .partition(|index| self.ends_in_time(&self.view.streams[*index]));
        for index in finish {
            self.moves[index] = Some(Move::Finish);
        }
        others
    }

    fn ends_in_time(&self, stream: &StreamOnHost) -> bool {
        let runs = matches!(
            stream.progress,
            Progress::Running | Progress::Warmed { .. } | Progress::Carrying { .. }
        );
        let Some(notice) = self.view.notice(stream.host) else {
            return false;
        };
        let remaining = f64::from(stream.remaining_tokens_max) * (1.0 + FINISH_SLACK);
        let needed_ms = duration_ms(remaining, stream.tokens_per_second);
        runs && needed_ms < self.now.until(self.end_ms(notice))
    }

    /// Streams that may not run twice first, then by computing saved per byte moved.
    fn export_rank(&self, index: usize) -> (bool, bool, u64, u32) {
        let stream = &self.view.streams[index];
        let elsewhere = stream.cached_on.map_or(stream.host, |cached| cached.host);
        let saved_tokens = stream.tokens_to_compute_on(elsewhere);
        let megabytes = float(stream.kv_bytes.max(1)) / 1e6;
        (
            !stream.idempotent,
            !self.scarce || self.is_interactive(stream),
            whole(f64::from(saved_tokens) / megabytes * 1e3),
            saved_tokens,
        )
    }

    fn recompute_rank(&self, index: usize) -> (u8, u32) {
        let stream = &self.view.streams[index];
        (stream.priority, stream.context_tokens())
    }

    /// Plans an export if one fits; tells whether the stream is decided.
    fn export(&mut self, index: usize) -> bool {
        let stream = &self.view.streams[index];
        let tiers: &[Tier] = match stream.idempotent {
            true if self.scarce && !self.is_interactive(stream) => &[Tier::Part],
            true => &[Tier::Part, Tier::Contended],
            false => &[Tier::Part, Tier::Contended, Tier::InWave, Tier::Queued],
        };
        let found = tiers
            .iter()
            .find_map(|tier| Some((self.best_export(stream, *tier)?, *tier)));
        self.moves[index] = match found {
            Some((times, tier)) => {
                self.occupy(stream, times);
                self.room.book(times.place, stream, tier);
                Some(Move::Export {
                    target: self.room.target(times.place).host,
                    start_at_ms: times.start_at_ms,
                    give_up_at_ms: times.give_up_at_ms(),
                    stays: times.stays,
                })
            }
            None => None,
        };
        self.moves[index].is_some()
    }

    fn best_export(&mut self, stream: &StreamOnHost, tier: Tier) -> Option<ExportTimes> {
        let has_failed = matches!(
            stream.progress,
            Progress::ExportFailed | Progress::Exporting { .. } | Progress::Carrying { .. }
        );
        if has_failed {
            return None;
        }
        let end_ms = self.end_ms(self.view.notice(stream.host)?);
        let free_at_ms = match stream.progress {
            Progress::Exported => self.now,
            _ => self.links.of(stream.host)?.free_at_ms,
        };
        let silence_max_ms = if self.is_interactive(stream) {
            self.view.settings.silence_max_ms
        } else {
            u64::MAX
        };
        let candidates = self.room.candidates(stream, tier).into_iter();
        let timed = candidates.filter_map(|place| {
            let staying = self.export_times(stream, place, self.now, free_at_ms)?;
            Some([staying.without_stay(self.view.settings), staying])
        });
        let fitting = timed
            .flatten()
            .filter(|times| times.done_at_ms <= end_ms && times.silence_ms() <= silence_max_ms);
        fitting.min_by_key(|times| (times.silence_ms(), times.done_at_ms))
    }

    /// The times of an export whose cache has its present size at `sized_at_ms`.
    fn export_times(
        &mut self,
        stream: &StreamOnHost,
        place: usize,
        sized_at_ms: TimeMs,
        start_at_ms: TimeMs,
    ) -> Option<ExportTimes> {
        let bytes_per_second = self.links.of(stream.host)?.bytes_per_second;
        let queued = self.view.notice(stream.host)?.queued;
        let export_ms = match stream.progress {
            Progress::Exported => 0,
            _ => transfer_ms(stream, sized_at_ms, start_at_ms, bytes_per_second),
        };
        let exported_at_ms = start_at_ms.after(export_ms);
        let import_rate = self.room.import_bytes_per_second(place);
        let import_ms = transfer_ms(stream, sized_at_ms, start_at_ms, import_rate);
        let import_at_ms = exported_at_ms.max(*self.room.link_free_at_ms(place));
        let carried_ms = exported_at_ms.until(import_at_ms.after(import_ms));
        // Where streams wait, one of them takes the slot that the export leaves free.
        let stays = queued == 0 && export_ms > 0 && carried_ms >= STAY_MIN_MS;
        Some(ExportTimes {
            place,
            start_at_ms,
            exported_at_ms,
            done_at_ms: import_at_ms
                .after(import_ms)
                .after(overhead_ms(self.view.settings, stays)),
            stays,
        })
    }

    fn occupy(&mut self, stream: &StreamOnHost, times: ExportTimes) {
        if let Some(link) = self.links.of(stream.host) {
            link.free_at_ms = link.free_at_ms.max(times.exported_at_ms);
        }
        let import_free_at_ms = self.room.link_free_at_ms(times.place);
        *import_free_at_ms = (*import_free_at_ms).max(times.done_at_ms);
    }

    fn recompute(&mut self, index: usize) -> Move {
        let stream = &self.view.streams[index];
        let interactive = self.is_interactive(stream);
        let tiers: &[Tier] = match (interactive || !stream.idempotent, self.scarce) {
            (true, _) => &[Tier::Part, Tier::Contended, Tier::InWave, Tier::Queued],
            (false, false) => &[Tier::Part, Tier::Contended],
            (false, true) => &[Tier::Part],
        };
        let held = match stream.progress {
            Progress::Warmed { target } => self.room.find(target),
            _ => None,
        };
        let found = held.map(|place| (place, Tier::Contended)).or_else(|| {
            tiers.iter().find_map(|tier| {
                let place = self.best_recompute(stream, *tier)?;
                Some((place, *tier))
            })
        });
        let Some((place, tier)) = found else {
            let again_at_ms = self.now.after(LOOK_AGAIN_MS);
            return if stream.idempotent {
                Move::Wait { again_at_ms }
            } else {
                Move::RunOut
            };
        };
        self.room.book(place, stream, tier);
        let (warm_at_ms, start_at_ms) = self.recompute_times(stream, place, held.is_some());
        let (target, queued) = (self.room.target(place).host, tier == Tier::Queued);
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
        let candidates = self.room.candidates(stream, tier);
        let cost = candidates.into_iter().map(|place| {
            let compute_ms = self.compute_ms(stream, place);
            let busy_ms = *self.room.compute_ms(place);
            let cost = (self.room.waiting(place), busy_ms.saturating_add(compute_ms));
            (cost, place)
        });
        cost.min_by_key(|(cost, _)| *cost).map(|(_, place)| place)
    }

    /// When to warm the target's cache, if at all, and when to start the stream there.
    ///
    /// A stream started cold on a target lags behind the source by the time that its context takes
    /// to compute, however early it starts, and stands still for as long when the source goes. So
    /// the context is computed ahead, while the source streams, and the stream itself starts just
    /// before the end with only the newest tokens left to compute.
    fn recompute_times(
        &mut self,
        stream: &StreamOnHost,
        place: usize,
        warmed: bool,
    ) -> (Option<TimeMs>, TimeMs) {
        let streams = matches!(
            stream.progress,
            Progress::Running | Progress::Warmed { .. } | Progress::Carrying { .. }
        );
        let end_ms = self.view.notice(stream.host).map(|n| self.end_ms(n));
        let left_ms = end_ms.map_or(0, |end_ms| self.now.until(end_ms));
        let switch_in_ms = left_ms.saturating_sub(self.view.settings.switch_lead_ms);
        let compute_ms = self.compute_ms(stream, place);
        let busy_ms = self.room.compute_ms(place);
        match compute_ms {
            _ if !streams => (None, self.now),
            _ if warmed => (None, self.now.after(switch_in_ms)),
            _ if compute_ms > switch_in_ms => (None, self.now),
            _ if compute_ms <= COLD_START_MAX_MS => {
                (None, self.now.after(switch_in_ms - compute_ms))
            }
            _ => {
                // The target computes one context after the other; the last to be placed is
                // computed first, so that the first, of the highest priority, is the freshest.
                *busy_ms = busy_ms.saturating_add(compute_ms);
                let warm_in_ms = switch_in_ms.saturating_sub(*busy_ms);
                (
                    Some(self.now.after(warm_in_ms)),
                    self.now.after(switch_in_ms),
                )
            }
        }
    }

    fn compute_ms(&self, stream: &StreamOnHost, place: usize) -> u64 {
        let tokens = stream.tokens_to_compute_on(self.room.target(place).host);
        let rate = self.room.prefill_tokens_per_second(place);
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
        let latest_ms = self.now.after(LOOK_AGAIN_MS);
        let look_again_at_ms = next_ms.map_or(latest_ms, |time| time.min(latest_ms));
        ReclaimPlan {
            look_again_at_ms: (!moves.is_empty()).then_some(look_again_at_ms),
            moves,
        }
    }
}

fn times_of(action: Move) -> [Option<TimeMs>; 2] {
    match action {
        Move::Finish | Move::RunOut => [None, None],
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
        Move::Wait { again_at_ms } => [Some(again_at_ms), None],
    }
}
