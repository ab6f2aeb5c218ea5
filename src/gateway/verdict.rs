//! Whether a new version of a pool's software is as good as the old one, by what both answer at the
//! same time.
//!
//! A bad version fails a part of its answers or is several times slower, at times on one route only.
//! Each route is compared by itself: the old version's part of bad answers is what there is without the
//! change, whatever its cause (a shortage, slow hosts, requests that fail by nature), and a sequential
//! test asks whether the new one's is the same or clearly larger. It answers as soon as it is sure.

use bincode::{Decode, Encode};

use super::num;

/// A bad version is taken to fail at least this part of what the old one answers well.
const LEAST_HARM: f64 = 0.15;

/// Sure that it is bad: a good version seems so on one of a thousand roll-outs and routes.
const BAD_LOG_RATIO: f64 = 6.9;

/// Sure enough that it is good: a bad one seems so once in twenty on one route.
const GOOD_LOG_RATIO: f64 = -3.0;

/// Routes on which the old version has answered fewer than this have too little traffic to wait for.
const SEEN_OLD: u32 = 60;

/// Answers of the new version without which a route counts as not seen.
const SEEN_NEW: u32 = 5;

/// An answer this many times slower than the old version's usual ones is bad.
const SLOW_TIMES: f64 = 2.5;

/// Weight of the newest answer in what is usual.
const NEWEST_WEIGHT: f64 = 0.02;

/// Answers and bad ones among them.
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

/// What was seen on one route.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub(crate) struct Seen {
    /// Names the route.
    pub route: u64,
    pub old: Count,
    pub new: Count,
}

/// Adds what one node has seen to a sum, sorted by route.
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

/// What is to be thought of the new version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    Bad,
    /// Seen on each route, and as good as the old one.
    Good,
    /// More likely good than bad.
    LikelyGood,
    /// More likely bad than good, or not seen at all.
    Unknown,
}

/// The verdict by what all nodes have seen.
#[must_use]
pub(crate) fn verdict(sum: &[Seen]) -> Verdict {
    let ratios: Vec<f64> = sum.iter().map(log_ratio).collect();
    let all: f64 = ratios.iter().sum();
    let worst = ratios.iter().copied().fold(all, f64::max);
    let is_seen = |seen: &Seen| seen.old.answers < SEEN_OLD || seen.new.answers >= SEEN_NEW;
    let new: u32 = sum.iter().map(|seen| seen.new.answers).sum();
    match worst {
        _ if worst >= BAD_LOG_RATIO => Verdict::Bad,
        _ if new < SEEN_NEW => Verdict::Unknown,
        _ if all <= GOOD_LOG_RATIO && worst < 1.0 && sum.iter().all(is_seen) => Verdict::Good,
        _ if all < 0.0 && worst < BAD_LOG_RATIO / 2.0 => Verdict::LikelyGood,
        _ => Verdict::Unknown,
    }
}

/// How much more likely a route's answers are from a bad version than from a good one, as a logarithm.
fn log_ratio(seen: &Seen) -> f64 {
    let part = |count: Count, usual_bad: f64, usual: f64| {
        (f64::from(count.bad) + usual_bad) / (f64::from(count.answers) + usual)
    };
    // Before the old version has answered much, one answer in fifty is taken to be bad.
    let good_part = part(seen.old, 1.0, 50.0).min(0.9);
    let bad_part = good_part + LEAST_HARM * (1.0 - good_part);
    let bad = f64::from(seen.new.bad);
    let well = f64::from(seen.new.answers.saturating_sub(seen.new.bad));
    bad * (bad_part / good_part).ln() + well * ((1.0 - bad_part) / (1.0 - good_part)).ln()
}

/// How long the old version's answers on one route usually take, as times of what was expected.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Usual {
    times: Option<f64>,
}

impl Usual {
    /// Takes in an answer of the old version.
    pub fn note(&mut self, took_ms: u64, expected_ms: f64) {
        let times = num::real(took_ms) / expected_ms.max(1.0);
        let before = self.times.unwrap_or(times);
        self.times = Some(before + NEWEST_WEIGHT * (times - before));
    }

    /// Whether an answer is several times slower than usual; not before anything is usual.
    pub fn is_slow(&self, took_ms: u64, expected_ms: f64) -> bool {
        let times = num::real(took_ms) / expected_ms.max(1.0);
        self.times.is_some_and(|usual| times > usual * SLOW_TIMES)
    }
}

#[cfg(test)]
mod tests;
