//! Logs and metrics.

pub mod control;
mod logging;

pub use logging::{Output, init_logging};
