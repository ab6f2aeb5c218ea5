//! Sums the log lines of any number of nodes into a table of what requests were lost to.
//!
//! A day's loss is spread over thousands of lines on all nodes; one sees what binds only in their
//! sums: by outcome, reason, route and team, and by the seconds in which it happened.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use serde::Deserialize;

/// Requests of one kind that ended in one way.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Cause {
    /// Such as `refused`.
    pub outcome: String,
    /// Such as `over_limit`, or a status.
    pub reason: String,
    /// The route's name, empty if none matched.
    pub route: String,
    /// The team's name, empty if it is not known.
    pub team: String,
}

/// What ended within one span of time.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Moment {
    /// With an upstream's answer.
    pub answered: u64,
    /// Not run.
    pub refused: u64,
    /// Without an answer, or broken off.
    pub failed: u64,
    /// Left by their callers.
    pub left: u64,
    /// The reason that most of those refused or failed had, with their number.
    pub most: Option<(String, u64)>,
}

/// The sums of some logs.
#[derive(Clone, Debug, Default)]
pub struct Losses {
    causes: BTreeMap<Cause, Histogram<u64>>,
    /// By the start of the span, in Unix milliseconds.
    moments: BTreeMap<u64, BTreeMap<(String, String), u64>>,
    /// Lines that look like records and cannot be read.
    pub torn_lines: usize,
}

/// The fields of a line that count.
#[derive(Debug, Deserialize)]
struct Line {
    at_ms: u64,
    #[serde(default)]
    event: String,
    #[serde(default)]
    outcome: String,
    #[serde(default)]
    reason: String,
    #[serde(default)]
    route: String,
    #[serde(default)]
    team: String,
    #[serde(default)]
    took_ms: u64,
}

/// Sums up log lines, by spans of `span_ms`, which must not be 0.
#[must_use]
pub fn sum(logs: &str, span_ms: u64) -> Losses {
    let mut losses = Losses::default();
    for (_source, record) in super::records(logs) {
        match serde_json::from_str::<Line>(record) {
            Ok(line) if line.event == "request_ended" => losses.take(line, span_ms.max(1)),
            Ok(_other) => {}
            Err(_torn) => losses.torn_lines += 1,
        }
    }
    losses
}

impl Losses {
    fn take(&mut self, line: Line, span_ms: u64) {
        let start_ms = line.at_ms / span_ms * span_ms;
        let ends = self.moments.entry(start_ms).or_default();
        let end = (line.outcome.clone(), line.reason.clone());
        *ends.entry(end).or_default() += 1;
        let cause = Cause {
            outcome: line.outcome,
            reason: line.reason,
            route: line.route,
            team: line.team,
        };
        let times = self.causes.entry(cause).or_insert_with(empty);
        times.saturating_record(line.took_ms.max(1));
    }

    /// Causes with their requests and the median time to their end in ms, the most frequent first.
    #[must_use]
    pub fn causes(&self) -> Vec<(&Cause, u64, u64)> {
        let rows = self.causes.iter();
        let mut rows: Vec<(&Cause, u64, u64)> = rows
            .map(|(cause, times)| (cause, times.len(), times.value_at_quantile(0.5)))
            .collect();
        rows.sort_by_key(|(_cause, requests, _median_ms)| std::cmp::Reverse(*requests));
        rows
    }

    /// What ended in each span, by its start in Unix milliseconds.
    #[must_use]
    pub fn moments(&self) -> Vec<(u64, Moment)> {
        let spans = self.moments.iter();
        spans
            .map(|(start_ms, ends)| (*start_ms, moment(ends)))
            .collect()
    }
}

/// A histogram of times that keeps two digits.
fn empty() -> Histogram<u64> {
    Histogram::new(2).expect("two digits are within what the library allows")
}

fn moment(ends: &BTreeMap<(String, String), u64>) -> Moment {
    let mut moment = Moment::default();
    for ((outcome, reason), count) in ends {
        match outcome.as_str() {
            "answered" => moment.answered += count,
            "caller_left" => moment.left += count,
            "refused" => moment.refused += count,
            _ => moment.failed += count,
        }
        let is_loss = outcome != "answered" && outcome != "caller_left";
        if is_loss
            && moment
                .most
                .as_ref()
                .is_none_or(|(_reason, most)| count > most)
        {
            moment.most = Some((reason.clone(), *count));
        }
    }
    moment
}

impl std::fmt::Display for Losses {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        writeln!(
            f,
            "requests  median ms  outcome      reason                route            team"
        )?;
        for (cause, requests, median_ms) in self.causes() {
            writeln!(
                f,
                "{requests:>8}  {median_ms:>9}  {:<11}  {:<20}  {:<15}  {}",
                cause.outcome, cause.reason, cause.route, cause.team
            )?;
        }
        let moments = self.moments();
        let first_ms = moments.first().map_or(0, |(start_ms, _moment)| *start_ms);
        writeln!(
            f,
            "\n    after ms  answered  refused  failed  left  most for"
        )?;
        for (start_ms, moment) in moments {
            let after_ms = start_ms - first_ms;
            let (reason, count) = moment.most.unwrap_or_default();
            write!(
                f,
                "{after_ms:>12}  {:>8}  {:>7}",
                moment.answered, moment.refused
            )?;
            write!(f, "  {:>6}  {:>4}", moment.failed, moment.left)?;
            match count {
                0 => writeln!(f)?,
                count => writeln!(f, "  {reason} ({count})")?,
            }
        }
        if self.torn_lines > 0 {
            writeln!(f, "{} lines could not be read", self.torn_lines)?;
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
