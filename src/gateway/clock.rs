//! A monotonic clock that also counts time while the host is suspended.
//!
//! `CLOCK_MONOTONIC` stops during suspension. After a resume, a lease or a configuration whose age
//! is measured by it would still seem valid although it has expired for all other hosts: two nodes
//! would hold the same lease, or a revoked API key would be accepted. `CLOCK_BOOTTIME` counts
//! through suspension.

use std::time::{SystemTime, UNIX_EPOCH};

use nix::time::{ClockId, clock_gettime};

use crate::time::TimeMs;

/// Returns the milliseconds since the host started, suspension included.
///
/// # Panics
///
/// If the system lacks `CLOCK_BOOTTIME`; Linux has it since 2.6.39.
#[must_use]
pub(crate) fn now() -> TimeMs {
    let spec = clock_gettime(ClockId::CLOCK_BOOTTIME).expect("Linux has CLOCK_BOOTTIME");
    let seconds = u64::try_from(spec.tv_sec()).unwrap_or(0);
    let nanoseconds = u64::try_from(spec.tv_nsec()).unwrap_or(0);
    TimeMs(seconds * 1_000 + nanoseconds / 1_000_000)
}

/// Returns the host's time of day, in Unix milliseconds; it may jump.
#[must_use]
pub(crate) fn time_of_day() -> TimeMs {
    let unix = SystemTime::now().duration_since(UNIX_EPOCH);
    let unix = unix.unwrap_or_default();
    TimeMs(u64::try_from(unix.as_millis()).unwrap_or(u64::MAX))
}
