//! Chooses a move for each stream, in order of urgency and benefit.

mod exports;
mod recomputes;

use std::cmp::Reverse;

use super::decision::{Move, ReclaimPlan, StreamMove};
use super::links::SourceLinks;
use super::num::duration_ms;
use super::target_capacity::TargetCapacity;
use super::view::{Notice, Progress, ReclaimView, StreamOnHost};
use crate::time::TimeMs;

/// Longest interval between plans, so that a stream slower than estimated is detected in time.
const REPLAN_INTERVAL_MS: u64 = 500;

/// Safety margin on a stream's estimated remaining time, as a fraction.
const FINISH_ESTIMATE_MARGIN: f64 = 0.1;

/// Steps of a stop that wait for processor time on a busy node: the order reaches the task of the
/// stream, the task calls the engine, and it reads the engine's reply and the end of the stream.
const STOP_STEPS: u64 = 4;

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
