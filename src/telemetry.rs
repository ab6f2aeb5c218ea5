//! Logs and metrics.

pub mod control;
pub mod explain;
mod limits;
mod logging;
pub mod losses;
mod queue;

pub use logging::{Output, init_logging};
