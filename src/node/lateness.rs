//! How late this node acts, measured by the delay of its timers.
//!
//! On a node without enough processor time each step of an exchange waits to be run. A step that has
//! to take effect before a point in time is therefore begun earlier by this delay.

use crate::time::TimeMs;

/// Time after which the estimate is halved.
const HALF_LIFE_MS: f64 = 5_000.0;

/// The largest recent delay of a timer; it decays.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Lateness {
    delay_ms: f64,
    as_of_ms: TimeMs,
}

impl Lateness {
    /// Records that a timer set for `planned_ms` fired at `now`.
    pub fn record(&mut self, planned_ms: TimeMs, now: TimeMs) {
        let observed_ms = millis(planned_ms.until(now));
        self.delay_ms = self.decayed_ms(now).max(observed_ms);
        self.as_of_ms = now;
    }

    /// Returns how late a timer of this node may fire, in milliseconds.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the value is clamped to the range of u32 first"
    )]
    pub fn delay_ms(&self, now: TimeMs) -> u64 {
        u64::from(self.decayed_ms(now).clamp(0.0, f64::from(u32::MAX)) as u32)
    }

    fn decayed_ms(&self, now: TimeMs) -> f64 {
        self.delay_ms * (-millis(self.as_of_ms.until(now)) / HALF_LIFE_MS).exp2()
    }
}

fn millis(duration_ms: u64) -> f64 {
    f64::from(u32::try_from(duration_ms).unwrap_or(u32::MAX))
}

#[cfg(test)]
mod tests;
