//! Tells the story of one request from the log lines of any number of nodes.

use std::collections::BTreeMap;

use serde_json::{Map, Value};
use thiserror::Error;

/// Fields that each line has, which the story shows apart or not at all.
const FRAME: [&str; 6] = ["at_ms", "event", "level", "message", "request_id", "target"];

/// Why there is no story.
#[derive(Clone, Debug, PartialEq, Eq, Error, miette::Diagnostic)]
pub enum NoStory {
    /// No line names the request.
    #[error("none of {lines} lines names the request {id}")]
    #[diagnostic(help(
        "Give the logs of all nodes of that time. Lines of plain successes are left out first when volume is bounded; look for `log_lines_left_out`."
    ))]
    Unknown {
        /// The id.
        id: String,
        /// Lines that were read.
        lines: usize,
    },
}

/// One step of a request's story.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// When, in Unix milliseconds.
    pub at_ms: u64,
    /// What stood before the line, such as the node's name.
    pub source: String,
    /// What happened.
    pub event: String,
    /// What decided, by name.
    pub fields: BTreeMap<String, Value>,
}

/// The story of one request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Story {
    /// In order of time.
    pub steps: Vec<Step>,
    /// Lines that look like records and cannot be read.
    pub torn_lines: usize,
}

/// Collects the lines of a request, in order of time.
///
/// What stands before a record on its line is kept as its source, so that logs that were collected
/// with names before them can be read as they are.
///
/// # Errors
///
/// If no line names the request.
pub fn explain(id: &str, logs: &str) -> Result<Story, NoStory> {
    let mut story = Story::default();
    let mut lines = 0;
    for (source, record) in super::records(logs) {
        lines += 1;
        match serde_json::from_str::<Map<String, Value>>(record) {
            Ok(record) if record.get("request_id").and_then(Value::as_str) == Some(id) => {
                story.steps.push(step(source.trim(), record));
            }
            Ok(_other) => {}
            Err(_torn) => story.torn_lines += 1,
        }
    }
    if story.steps.is_empty() {
        let id = id.to_owned();
        return Err(NoStory::Unknown { id, lines });
    }
    story.steps.sort_by_key(|step| step.at_ms);
    Ok(story)
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
            .filter(|(name, _value)| !FRAME.contains(&name.as_str()))
            .collect(),
    }
}

impl std::fmt::Display for Story {
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
        if self.torn_lines > 0 {
            writeln!(f, "{} lines could not be read", self.torn_lines)?;
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
