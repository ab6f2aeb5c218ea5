//! A clock that counts time while the host is suspended.
//!
//! The usual monotonic clock stands still then. A lease or a freshness measured by it would seem
//! valid after a host wakes up, although all others have gone on; one would notice two holders or
//! a key that works after it was taken away. `CLOCK_BOOTTIME` goes on counting.

use std::time::{SystemTime, UNIX_EPOCH};

use nix::time::{ClockId, clock_gettime};

use crate::time::TimeMs;

/// Milliseconds since the host started, suspension included.
///
/// # Panics
///
/// If the system has no such clock; Linux has had it since 2.6.39.
#[must_use]
pub(crate) fn now() -> TimeMs {
    let spec = clock_gettime(ClockId::CLOCK_BOOTTIME).expect("Linux has CLOCK_BOOTTIME");
    let seconds = u64::try_from(spec.tv_sec()).unwrap_or(0);
    let nanoseconds = u64::try_from(spec.tv_nsec()).unwrap_or(0);
    TimeMs(seconds * 1_000 + nanoseconds / 1_000_000)
}

/// The host's time of day, in Unix milliseconds; it may jump.
#[must_use]
pub(crate) fn time_of_day() -> TimeMs {
    let unix = SystemTime::now().duration_since(UNIX_EPOCH);
    let unix = unix.unwrap_or_default();
    TimeMs(u64::try_from(unix.as_millis()).unwrap_or(u64::MAX))
}
