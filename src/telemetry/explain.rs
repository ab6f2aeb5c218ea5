//! Assembles the timeline of one request from the log records of any number of nodes.

use std::collections::BTreeMap;

use serde_json::{Map, Value};
use thiserror::Error;

/// Fields that every record has; the timeline prints them in a step's first line or omits them.
const COMMON_FIELDS: [&str; 6] = ["at_ms", "event", "level", "message", "request_id", "target"];

/// Why no timeline was assembled.
#[derive(Clone, Debug, PartialEq, Eq, Error, miette::Diagnostic)]
pub enum ExplainError {
    /// No record has the request's id.
    #[error("none of {lines} log records has the request id {id}")]
    #[diagnostic(help(
        "Give the logs of all nodes for the time of the request. Records of successful requests are dropped first when the rate limit applies; look for `log_lines_left_out`."
    ))]
    UnknownRequest {
        /// The id that was searched for.
        id: String,
        /// Number of records that were read.
        lines: usize,
    },
}

/// One event in the processing of a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// Time of the event, in Unix milliseconds.
    pub at_ms: u64,
    /// Text before the record on its line, such as the node's name.
    pub source: String,
    /// Name of the event.
    pub event: String,
    /// Other fields of the record, by name.
    pub fields: BTreeMap<String, Value>,
}

/// The events of one request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestTimeline {
    /// Events, sorted by time.
    pub steps: Vec<Step>,
    /// Number of lines with a `{` whose rest is not a JSON object.
    pub malformed_lines: usize,
}

/// Returns the events of the request `id`, sorted by time.
///
/// Text before a record on its line is kept as the step's source, so output of log collectors that
/// prefix each line with a node name is accepted unchanged.
///
/// # Errors
///
/// [`ExplainError::UnknownRequest`] if no record has this request id.
pub fn explain(id: &str, logs: &str) -> Result<RequestTimeline, ExplainError> {
    let mut timeline = RequestTimeline::default();
    let mut lines = 0;
    for (source, record) in super::records(logs) {
        lines += 1;
        match serde_json::from_str::<Map<String, Value>>(record) {
            Ok(record) if record.get("request_id").and_then(Value::as_str) == Some(id) => {
                timeline.steps.push(step(source.trim(), record));
            }
            Ok(_other) => {}
            Err(_malformed) => timeline.malformed_lines += 1,
        }
    }
    if timeline.steps.is_empty() {
        let id = id.to_owned();
        return Err(ExplainError::UnknownRequest { id, lines });
    }
    timeline.steps.sort_by_key(|step| step.at_ms);
    Ok(timeline)
}

fn step(source: &str, record: Map<String, Value>) -> Step {
    let text = |name: &str| {
        record
            .get(name)
            .and_then(Value::as_str)
            .unwrap_or_default()
            .to_owned()
    };
    Step {
        at_ms: record.get("at_ms").and_then(Value::as_u64).unwrap_or(0),
        source: source.to_owned(),
        event: text("event"),
        fields: record
            .into_iter()
            .filter(|(name, _value)| !COMMON_FIELDS.contains(&name.as_str()))
            .collect(),
    }
}

impl std::fmt::Display for RequestTimeline {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let first_ms = self.steps.first().map_or(0, |step| step.at_ms);
        for step in &self.steps {
            write!(f, "{:>7} ms  {}", step.at_ms - first_ms, step.event)?;
            if !step.source.is_empty() {
                write!(f, "  ({})", step.source)?;
            }
            writeln!(f)?;
            for (name, value) in &step.fields {
                writeln!(f, "            {name}: {value}")?;
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
