//! Logs and metrics.

pub mod control;
pub mod explain;
mod limits;
mod logging;
pub mod losses;
mod queue;

pub use logging::{Output, init_logging};

/// The lines of logs that look like records: what stands before each, and the record.
fn records(logs: &str) -> impl Iterator<Item = (&str, &str)> {
    logs.lines()
        .filter_map(|line| Some(line.split_at(line.find('{')?)))
}
