//! Log output, metrics of control traffic and analysis of log records.

pub mod charges;
pub mod control;
pub mod explain;
mod limits;
mod logging;
pub mod losses;
mod queue;

pub use logging::{Output, init_logging};

/// The lines that hold a `{`, each split before it into its prefix and the JSON record.
fn records(logs: &str) -> impl Iterator<Item = (&str, &str)> {
    logs.lines()
        .filter_map(|line| Some(line.split_at(line.find('{')?)))
}
