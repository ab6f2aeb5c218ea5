//! Exports: which are kept, which streams get one, to which host and when.

use super::Planner;
use crate::keys::HostKey;
use crate::reclaim::decision::Move;
use crate::reclaim::links::transfer_ms;
use crate::reclaim::num::{ceil_to_u64, to_f64};
use crate::reclaim::target_capacity::Tier;
use crate::reclaim::view::{Progress, Settings, StreamOnHost};
use crate::time::TimeMs;

/// Shortest slack that an export or import gets beyond its planned duration.
const EXPORT_TIMEOUT_SLACK_MIN_MS: u64 = 100;

/// Import time, including the wait for the target's link, from which live migration is worthwhile.
///
/// In a live migration the stream keeps generating on its source during the import.
const LIVE_MIGRATION_MIN_MS: u64 = 100;

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

impl Planner<'_> {
    /// Keeps the transfers that earlier plans started and drops those past their deadline.
    ///
    /// Reserves links and target capacity for each kept transfer and returns the indexes of all
    /// other streams on hosts under notice.
    pub(super) fn keep_started(&mut self) -> Vec<usize> {
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

    /// Returns the rank of a stream for exports; a higher rank is planned first.
    ///
    /// Streams that are not idempotent come first, then interactive streams if capacity is scarce,
    /// then streams that save the most computation per byte transferred.
    pub(super) fn export_rank(&self, index: usize) -> (bool, bool, u64, u32) {
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

    /// Plans an export if one fits and returns whether the stream has a move.
    pub(super) fn export(&mut self, index: usize) -> bool {
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
}
