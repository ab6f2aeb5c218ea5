//! Logs and metrics.

pub mod control;
mod logging;

pub use logging::init_logging;
