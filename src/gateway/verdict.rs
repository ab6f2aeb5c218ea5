//! Comparison of a new version of a pool's software with the old one, from concurrent answers of
//! both.
//!
//! A bad version fails a fraction of its answers or is several times slower, sometimes on one route
//! only. Each route is compared separately. The old version's rate of bad answers is the baseline
//! without the change, whatever its cause (a shortage, slow hosts, requests that always fail). A
//! sequential test decides whether the new version's rate equals the baseline or is clearly higher,
//! as soon as the evidence suffices.

use bincode::{Decode, Encode};

use super::num;

/// Smallest harm of a bad version: the fraction of the old version's good answers that fail.
const MIN_HARM_FRACTION: f64 = 0.15;

/// Log likelihood ratio above which a version is bad; a good version reaches it in one of a
/// thousand roll-outs and routes.
const BAD_LOG_LIKELIHOOD_RATIO: f64 = 6.9;

/// Log likelihood ratio below which a version is good; a bad version reaches it once in twenty on
/// one route.
const GOOD_LOG_LIKELIHOOD_RATIO: f64 = -3.0;

/// Old answers below which a route has too little traffic to wait for its new answers.
const MIN_OLD_ANSWERS: u32 = 60;

/// New answers below which a route counts as not observed.
const MIN_NEW_ANSWERS: u32 = 5;

/// An answer that exceeds the old version's baseline latency by more than this factor is bad.
const SLOW_FACTOR: f64 = 2.5;

/// Weight of the newest answer in the moving average of the baseline latency.
const NEWEST_ANSWER_WEIGHT: f64 = 0.02;

/// Number of answers, and of bad answers among them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub(crate) struct Count {
    pub answers: u32,
    pub bad: u32,
}

impl Count {
    fn add(&mut self, other: Self) {
        self.answers += other.answers;
        self.bad += other.bad;
    }
}

/// Counts of both versions on one route.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub(crate) struct Seen {
    /// Tag of the route.
    pub route: u64,
    pub old: Count,
    pub new: Count,
}

/// Adds the counts of one node to a sum, which is sorted by route.
pub(crate) fn add(sum: &mut Vec<Seen>, rows: &[Seen]) {
    for row in rows {
        match sum.binary_search_by_key(&row.route, |seen| seen.route) {
            Ok(place) => {
                sum[place].old.add(row.old);
                sum[place].new.add(row.new);
            }
            Err(place) => sum.insert(place, *row),
        }
    }
}

/// Result of the comparison.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    Bad,
    /// The new version was observed on each route with enough traffic, and is as good as the old
    /// one.
    Good,
    /// The new version is more likely good than bad.
    LikelyGood,
    /// The new version is more likely bad than good, or has too few answers.
    Unknown,
}

/// Returns the verdict for the counts of all nodes.
#[must_use]
pub(crate) fn verdict(sum: &[Seen]) -> Verdict {
    let log_ratios: Vec<f64> = sum.iter().map(log_likelihood_ratio).collect();
    let all: f64 = log_ratios.iter().sum();
    let worst = log_ratios.iter().copied().fold(all, f64::max);
    let is_observed =
        |seen: &Seen| seen.old.answers < MIN_OLD_ANSWERS || seen.new.answers >= MIN_NEW_ANSWERS;
    let new: u32 = sum.iter().map(|seen| seen.new.answers).sum();
    match worst {
        _ if worst >= BAD_LOG_LIKELIHOOD_RATIO => Verdict::Bad,
        _ if new < MIN_NEW_ANSWERS => Verdict::Unknown,
        _ if all <= GOOD_LOG_LIKELIHOOD_RATIO && worst < 1.0 && sum.iter().all(is_observed) => {
            Verdict::Good
        }
        _ if all < 0.0 && worst < BAD_LOG_LIKELIHOOD_RATIO / 2.0 => Verdict::LikelyGood,
        _ => Verdict::Unknown,
    }
}

/// Returns the log likelihood ratio of a route's answers: a bad version against a good one.
fn log_likelihood_ratio(seen: &Seen) -> f64 {
    let bad_fraction = |count: Count, prior_bad: f64, prior_answers: f64| {
        (f64::from(count.bad) + prior_bad) / (f64::from(count.answers) + prior_answers)
    };
    // A prior of one bad answer in fifty applies until the old version has enough answers.
    let bad_rate_if_good = bad_fraction(seen.old, 1.0, 50.0).min(0.9);
    let bad_rate_if_bad = bad_rate_if_good + MIN_HARM_FRACTION * (1.0 - bad_rate_if_good);
    let bad = f64::from(seen.new.bad);
    let good = f64::from(seen.new.answers.saturating_sub(seen.new.bad));
    bad * (bad_rate_if_bad / bad_rate_if_good).ln()
        + good * ((1.0 - bad_rate_if_bad) / (1.0 - bad_rate_if_good)).ln()
}

/// Baseline latency of the old version on one route, relative to the expected latency.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct LatencyBaseline {
    relative_latency: Option<f64>,
}

impl LatencyBaseline {
    /// Updates the baseline with an answer of the old version.
    pub fn record(&mut self, took_ms: u64, expected_ms: f64) {
        let relative_latency = num::to_f64(took_ms) / expected_ms.max(1.0);
        let before = self.relative_latency.unwrap_or(relative_latency);
        self.relative_latency = Some(before + NEWEST_ANSWER_WEIGHT * (relative_latency - before));
    }

    /// Whether an answer is several times slower than the baseline; false before the first
    /// baseline.
    pub fn is_slow(&self, took_ms: u64, expected_ms: f64) -> bool {
        let relative_latency = num::to_f64(took_ms) / expected_ms.max(1.0);
        self.relative_latency
            .is_some_and(|baseline| relative_latency > baseline * SLOW_FACTOR)
    }
}

#[cfg(test)]
mod tests;
