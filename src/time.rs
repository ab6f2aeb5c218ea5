//! Points in time and the process's clock.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use bincode::{Decode, Encode};

/// A point in time, in Unix milliseconds.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Encode,
    Decode,
    serde::Serialize,
    serde::Deserialize,
)]
#[serde(transparent)]
pub struct TimeMs(pub u64);

impl TimeMs {
    /// Returns the time `duration_ms` later.
    #[must_use]
    pub fn after(self, duration_ms: u64) -> Self {
        Self(self.0.saturating_add(duration_ms))
    }

    /// Returns the milliseconds since `earlier`, or zero if that lies in the future.
    #[must_use]
    pub fn since(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0)
    }

    /// Returns the milliseconds until `later`, or zero if that has passed.
    #[must_use]
    pub fn until(self, later: Self) -> u64 {
        later.since(self)
    }
}

/// The process's clock: the wall-clock time at its start, advanced by the monotonic clock.
///
/// A wall clock that is set back would extend leases and deadlines beyond their granted duration,
/// so that a lease could have two holders. The monotonic clock is never set back.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start_unix_ms: u64,
    start: Instant,
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock {
    /// Creates a clock that starts at the current wall-clock time.
    #[must_use]
    pub fn new() -> Self {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or(Duration::ZERO);
        Self {
            start_unix_ms: millis(unix),
            start: Instant::now(),
        }
    }

    /// Returns the current time.
    #[must_use]
    pub fn now(&self) -> TimeMs {
        TimeMs(
            self.start_unix_ms
                .saturating_add(millis(self.start.elapsed())),
        )
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
