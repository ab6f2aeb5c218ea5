//! Aggregates the log records of any number of nodes into tables of request outcomes.
//!
//! Lost requests are spread over thousands of records on all nodes. Totals by outcome, reason, route
//! and team, and by time span, show which limit or fault caused most of them.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use serde::Deserialize;

/// Grouping key of ended requests: how they ended, and their route and team.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Cause {
    /// Outcome, such as `refused`.
    pub outcome: String,
    /// Reason, such as `over_limit`, or an HTTP status.
    pub reason: String,
    /// Name of the route; empty if none matched.
    pub route: String,
    /// Name of the team; empty if unknown.
    pub team: String,
}

/// Counts of the requests that ended within one time span.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SpanCounts {
    /// Requests that received an upstream's response.
    pub answered: u64,
    /// Requests that were refused without running.
    pub refused: u64,
    /// Requests that ended without a response, or whose response broke off.
    pub failed: u64,
    /// Requests whose caller closed the connection.
    pub left: u64,
    /// The most frequent reason among refused and failed requests, with its count.
    pub top_reason: Option<(String, u64)>,
}

/// Request outcomes aggregated from log records.
#[derive(Clone, Debug, Default)]
pub struct Losses {
    causes: BTreeMap<Cause, Histogram<u64>>,
    /// Counts by outcome and reason, keyed by the span's start in Unix milliseconds.
    spans: BTreeMap<u64, BTreeMap<(String, String), u64>>,
    /// Number of lines with a `{` whose rest does not parse as a record.
    pub malformed_lines: usize,
}

/// The fields of a log record that are aggregated.
#[derive(Debug, Deserialize)]
struct EndedRecord {
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

/// Aggregates the `request_ended` records by cause and by spans of `span_ms`; 0 counts as 1 ms.
#[must_use]
pub fn aggregate(logs: &str, span_ms: u64) -> Losses {
    let mut losses = Losses::default();
    for (_source, record) in super::records(logs) {
        match serde_json::from_str::<EndedRecord>(record) {
            Ok(line) if line.event == "request_ended" => losses.add(line, span_ms.max(1)),
            Ok(_other) => {}
            Err(_malformed) => losses.malformed_lines += 1,
        }
    }
    losses
}

impl Losses {
    fn add(&mut self, line: EndedRecord, span_ms: u64) {
        let start_ms = line.at_ms / span_ms * span_ms;
        let counts = self.spans.entry(start_ms).or_default();
        let end = (line.outcome.clone(), line.reason.clone());
        *counts.entry(end).or_default() += 1;
        let cause = Cause {
            outcome: line.outcome,
            reason: line.reason,
            route: line.route,
            team: line.team,
        };
        let durations = self.causes.entry(cause).or_insert_with(empty_histogram);
        durations.saturating_record(line.took_ms.max(1));
    }

    /// Causes with their number of requests and median duration in ms, most frequent first.
    #[must_use]
    pub fn causes(&self) -> Vec<(&Cause, u64, u64)> {
        let rows = self.causes.iter();
        let mut rows: Vec<(&Cause, u64, u64)> = rows
            .map(|(cause, durations)| (cause, durations.len(), durations.value_at_quantile(0.5)))
            .collect();
        rows.sort_by_key(|(_cause, requests, _median_ms)| std::cmp::Reverse(*requests));
        rows
    }

    /// Counts of each span with its start in Unix milliseconds, sorted by start.
    #[must_use]
    pub fn spans(&self) -> Vec<(u64, SpanCounts)> {
        let spans = self.spans.iter();
        spans
            .map(|(start_ms, ends)| (*start_ms, span_counts(ends)))
            .collect()
    }
}

/// An empty histogram of durations with two significant digits.
fn empty_histogram() -> Histogram<u64> {
    Histogram::new(2).expect("the library accepts 0 to 5 significant digits")
}

/// Totals of one span from its counts by outcome and reason.
fn span_counts(ends: &BTreeMap<(String, String), u64>) -> SpanCounts {
    let mut span = SpanCounts::default();
    for ((outcome, reason), count) in ends {
        match outcome.as_str() {
            "answered" => span.answered += count,
            "caller_left" => span.left += count,
            "refused" => span.refused += count,
            _ => span.failed += count,
        }
        let is_loss = outcome != "answered" && outcome != "caller_left";
        if is_loss
            && span
                .top_reason
                .as_ref()
                .is_none_or(|(_reason, top_count)| count > top_count)
        {
            span.top_reason = Some((reason.clone(), *count));
        }
    }
    span
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
        let spans = self.spans();
        let first_ms = spans.first().map_or(0, |(start_ms, _counts)| *start_ms);
        writeln!(
            f,
            "\n    after ms  answered  refused  failed  left  most for"
        )?;
        for (start_ms, counts) in spans {
            let after_ms = start_ms - first_ms;
            let (reason, count) = counts.top_reason.unwrap_or_default();
            write!(
                f,
                "{after_ms:>12}  {:>8}  {:>7}",
                counts.answered, counts.refused
            )?;
            write!(f, "  {:>6}  {:>4}", counts.failed, counts.left)?;
            match count {
                0 => writeln!(f)?,
                count => writeln!(f, "  {reason} ({count})")?,
            }
        }
        if self.malformed_lines > 0 {
            writeln!(f, "{} lines could not be read", self.malformed_lines)?;
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
