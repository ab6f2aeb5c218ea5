//! Logs and metrics.

mod logging;

pub use logging::init_logging;
