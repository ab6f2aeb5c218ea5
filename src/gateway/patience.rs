//! Waiting that a pause of this process does not end too early.
//!
//! When this process was paused, its timers fire before it reads what waits in its sockets. An
//! answer that came in time would be taken for missing.

use std::time::Duration;

use tokio::time::Instant;
use tokio::time::error::Elapsed;

use crate::time::TimeMs;

/// Lateness of a timer from which this process counts as having been paused.
const MIN_LATE: Duration = Duration::from_millis(50);

/// Longest time for reading after a pause.
const MAX_READING: Duration = Duration::from_millis(250);

/// Awaits an output until the timeout has passed, and after a pause of this process for some more time.
///
/// # Errors
///
/// If there is no output by then.
pub(crate) async fn within<T>(
    timeout: Duration,
    awaited: impl Future<Output = T>,
) -> Result<T, Elapsed> {
    let started_at = Instant::now();
    tokio::pin!(awaited);
    if let Ok(output) = tokio::time::timeout(timeout, &mut awaited).await {
        return Ok(output);
    }
    let late = started_at.elapsed().saturating_sub(timeout);
    tokio::time::timeout(time_for_reading(late), awaited).await
}

/// Until when what comes behind a time limit is still read, where several outputs are read one after the other.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct LateReading {
    /// Set when the limit was first seen to have passed.
    until: Option<TimeMs>,
}

impl LateReading {
    /// Whether the limit has passed, and with it the time for reading what came during a pause of this process.
    pub fn is_over(&mut self, limit: TimeMs, now: TimeMs) -> bool {
        if now < limit {
            return false;
        }
        let reading = time_for_reading(Duration::from_millis(now.since(limit)));
        let reading_ms = u64::try_from(reading.as_millis()).unwrap_or(0);
        let until = *self.until.get_or_insert(now.after(reading_ms));
        now > until
    }
}

/// Returns how long to read before an output counts as missing, by how late the timer fired.
fn time_for_reading(late: Duration) -> Duration {
    if late < MIN_LATE {
        Duration::ZERO
    } else {
        late.min(MAX_READING)
    }
}

#[cfg(test)]
mod tests;
