//! Forecasts the demand of a pool from its recent level and its daily profile.
//!
//! The current level is extrapolated along the profile of past days. A node without a full day of
//! samples, for example after the lease has moved, extrapolates the current trend instead.

use std::collections::VecDeque;

use super::view::Demand;
use crate::reclaim::num::to_f64;
use crate::time::TimeMs;

const DAY_MS: u64 = 24 * 3_600_000;

/// Length of one interval of the daily profile.
const INTERVAL_MS: u64 = 900_000;

/// Number of intervals in a day.
const INTERVALS_PER_DAY: usize = 96;

/// Weight of the latest day in the daily profile.
const LATEST_DAY_WEIGHT: f64 = 0.5;

/// Retention of samples, which bounds the window of level, trend and spread.
const SAMPLE_RETENTION_MS: u64 = 1_800_000;

/// Length of the averaging window of the current level.
const LEVEL_WINDOW_MS: u64 = 120_000;

/// Upper bound of the growth factor extrapolated from a trend.
const TREND_GROWTH_MAX: f64 = 1.5;

/// Step between the points of the forecast horizon that are evaluated.
const HORIZON_STEP_MS: u64 = 300_000;

/// The 95th percentile of a normal distribution, as a multiple of its median absolute deviation.
const P95_PER_MEDIAN_DEVIATION: f64 = 1.645 / 0.6745;

/// Least margin above the forecast, as a fraction of the level.
const MARGIN_MIN: f64 = 0.02;

#[derive(Clone, Copy, Debug)]
struct Sample {
    at_ms: TimeMs,
    demand: Demand,
}

#[derive(Clone, Copy, Debug, Default)]
struct DayInterval {
    /// Weighted mean of the streams on earlier days; `None` before the first day is complete.
    earlier_mean: Option<f64>,
    /// Sum of the samples of `day`.
    sum: f64,
    /// Number of samples of `day`.
    count: f64,
    /// The day of the samples, counted from the epoch.
    day: u64,
}

/// Demand forecast from recent samples and a daily profile.
#[derive(Clone, Debug)]
pub struct Forecast {
    intervals: Vec<DayInterval>,
    recent: VecDeque<Sample>,
}

impl Default for Forecast {
    fn default() -> Self {
        Self {
            intervals: vec![DayInterval::default(); INTERVALS_PER_DAY],
            recent: VecDeque::new(),
        }
    }
}

impl Forecast {
    /// Records a sample; one sample per minute is sufficient.
    pub fn observe(&mut self, demand: Demand, now: TimeMs) {
        self.recent.push_back(Sample { at_ms: now, demand });
        while self
            .recent
            .front()
            .is_some_and(|sample| now.since(sample.at_ms) > SAMPLE_RETENTION_MS)
        {
            self.recent.pop_front();
        }
        self.intervals[interval_at(now)].observe(demand.streams, now.0 / DAY_MS);
    }

    /// Returns the peak demand from `back_ms` ago until `ahead_ms` from now.
    ///
    /// The peak is the 95th percentile: 95 in 100 samples are expected not to exceed it. Returns
    /// `None` without a sample in the averaging window of the current level.
    #[must_use]
    pub fn peak(&self, back_ms: u64, ahead_ms: u64, now: TimeMs) -> Option<Demand> {
        let level = self.level(LEVEL_WINDOW_MS, now)?;
        let steps = (0..=ahead_ms.div_ceil(HORIZON_STEP_MS))
            .map(|step| (step * HORIZON_STEP_MS).min(ahead_ms));
        let growth = steps.map(|ms| self.growth(level.streams, ms, now));
        let growth = growth.fold(1.0, f64::max);
        let ahead = level.scaled(growth * (1.0 + self.spread(ahead_ms, now)));
        let window = LEVEL_WINDOW_MS.min(back_ms);
        let lookbacks_ms =
            (0..=back_ms / LEVEL_WINDOW_MS.max(1)).map(|step| step * LEVEL_WINDOW_MS);
        let past = lookbacks_ms
            .filter_map(|ago_ms| self.level(window.max(1), TimeMs(now.0.saturating_sub(ago_ms))));
        Some(past.fold(ahead, |peak, demand| peak.larger(&demand)))
    }

    fn level(&self, window_ms: u64, until_ms: TimeMs) -> Option<Demand> {
        let recent = self.recent.iter();
        let in_window = recent
            .filter(|sample| sample.at_ms <= until_ms && until_ms.since(sample.at_ms) < window_ms);
        let (sum, count) = in_window.fold((Demand::default(), 0.0), |(sum, count), sample| {
            (sum.plus(&sample.demand), count + 1.0)
        });
        (count > 0.0).then(|| sum.scaled(1.0 / count))
    }

    /// Returns the demand in `ahead_ms` as a multiple of the current level.
    ///
    /// The level is an average and therefore represents the middle of its window, so growth is
    /// measured from that time.
    fn growth(&self, level: f64, ahead_ms: u64, now: TimeMs) -> f64 {
        let window_middle = TimeMs(now.0.saturating_sub(LEVEL_WINDOW_MS / 2));
        let then = self.profile(now.after(ahead_ms));
        match (self.profile(window_middle), then) {
            (Some(present), Some(then)) if present > 0.0 => then / present,
            _ => self.trend(level, ahead_ms + LEVEL_WINDOW_MS / 2, now),
        }
    }

    /// Returns the daily profile, interpolated linearly between the middles of its intervals.
    fn profile(&self, at: TimeMs) -> Option<f64> {
        let from_middle_ms = at.0 + DAY_MS - INTERVAL_MS / 2;
        let part = to_f64(from_middle_ms % INTERVAL_MS) / to_f64(INTERVAL_MS);
        let first = interval_at(TimeMs(from_middle_ms));
        let day = at.0 / DAY_MS;
        let low = self.intervals[first].profile(day)?;
        let high = self.intervals[(first + 1) % INTERVALS_PER_DAY].profile(day)?;
        Some(low + (high - low) * part)
    }

    fn trend(&self, level: f64, ahead_ms: u64, now: TimeMs) -> f64 {
        let earlier = self.recent.front();
        let earlier = earlier.filter(|sample| now.since(sample.at_ms) > LEVEL_WINDOW_MS);
        let Some(earlier) = earlier.filter(|_| level > 0.0) else {
            return 1.0;
        };
        let earlier_mean = self.level(LEVEL_WINDOW_MS, earlier.at_ms.after(LEVEL_WINDOW_MS - 1));
        let rise = level - earlier_mean.unwrap_or(earlier.demand).streams;
        let elapsed_ms = to_f64(now.since(earlier.at_ms));
        (1.0 + rise / level * to_f64(ahead_ms) / elapsed_ms).clamp(1.0, TREND_GROWTH_MAX)
    }

    /// Returns the deviation above the expected course in `ahead_ms`, as a fraction of the level.
    ///
    /// Computed from the changes between samples that far apart, less their median, so that a
    /// steady rise adds no spread. Medians keep a single jump from adding spread.
    fn spread(&self, ahead_ms: u64, now: TimeMs) -> f64 {
        let samples: Vec<f64> = self.recent.iter().map(|s| s.demand.streams).collect();
        let elapsed_ms = self
            .recent
            .front()
            .map_or(0, |first| now.since(first.at_ms));
        let lag = lag(samples.len(), ahead_ms, elapsed_ms);
        let level = samples.iter().sum::<f64>() / to_f64(len(&samples).max(1));
        let later = samples.iter().skip(lag);
        let changes: Vec<f64> = later.zip(&samples).map(|(to, from)| to - from).collect();
        let median_change = median(changes.clone());
        let deviations = changes
            .iter()
            .map(|by| (by - median_change).abs())
            .collect();
        if level > 0.0 {
            (median(deviations) * P95_PER_MEDIAN_DEVIATION / level).max(MARGIN_MIN)
        } else {
            MARGIN_MIN
        }
    }
}

impl DayInterval {
    fn observe(&mut self, streams: f64, day: u64) {
        if self.day != day {
            self.earlier_mean = self.profile(day);
            (self.sum, self.count, self.day) = (0.0, 0.0, day);
        }
        self.sum += streams;
        self.count += 1.0;
    }

    /// Returns the weighted mean of the streams on the days before `day`.
    fn profile(&self, day: u64) -> Option<f64> {
        let is_past = self.day != day && self.count > 0.0;
        let newest = is_past.then(|| self.sum / self.count);
        match (newest, self.earlier_mean) {
            (Some(newest), Some(earlier_mean)) => {
                Some(earlier_mean + (newest - earlier_mean) * LATEST_DAY_WEIGHT)
            }
            (newest, earlier_mean) => newest.or(earlier_mean),
        }
    }
}

fn interval_at(time: TimeMs) -> usize {
    usize::try_from(time.0 % DAY_MS / INTERVAL_MS).unwrap_or(0) % INTERVALS_PER_DAY
}

/// Returns how many samples `ahead_ms` spans, limited to half of the available samples.
fn lag(samples: usize, ahead_ms: u64, elapsed_ms: u64) -> usize {
    let steps = u64::try_from(samples.saturating_sub(1)).unwrap_or(u64::MAX);
    let spanned = (steps * ahead_ms).checked_div(elapsed_ms).unwrap_or(0);
    let spanned = spanned.clamp(1, (steps / 2).max(1));
    usize::try_from(spanned).unwrap_or(usize::MAX)
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(0.0)
}

fn len(samples: &[f64]) -> u64 {
    u64::try_from(samples.len()).unwrap_or(u64::MAX)
}
