//! Logs and metrics.
