//! What a copy of a team's bucket missed while its node was frozen.
//!
//! Its refill ends at the capacity, but what the peers admitted out of the same refill is deducted whole
//! when their reports arrive. So those deductions are put back as far as the refill was missed.

use super::Quotas;
use super::bucket::REPORT_RETENTION_MS;
use crate::gateway::catalog::Team;
use crate::gateway::num;
use crate::time::TimeMs;

/// Fraction of the capacity up to which late deductions are put back.
///
/// The copy cannot tell a team at its rate from one that was idle and then spent its burst. With the
/// overdraft this covers the bursts of the first, and exceeds what is left of the second by little.
const RESTORED_FRACTION: f64 = 0.5;

/// A time in which this node was frozen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Pause {
    pub began_at: TimeMs,
    pub ended_at: TimeMs,
}

/// What a copy missed in a pause, and what was deducted since that others did not spend by its grants.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Missed {
    refill: f64,
    deducted: f64,
}

impl Pause {
    /// Returns the time from `from` to the end of the pause; zero after it.
    pub fn rest_s(self, from: TimeMs) -> f64 {
        num::to_f64(self.ended_at.since(from)) / 1_000.0
    }

    /// Returns whether peers may still report what they admitted in the pause.
    pub fn is_recent(self, now: TimeMs) -> bool {
        now.since(self.ended_at) < REPORT_RETENTION_MS
    }
}

impl Missed {
    /// Creates the state at the end of a pause whose refill the copy lacks.
    pub fn new(refill: f64) -> Self {
        Self {
            refill,
            deducted: 0.0,
        }
    }

    /// Records what peers admitted.
    pub fn deduct(&mut self, admitted: f64) {
        self.deducted += admitted;
    }

    /// Records that credit was put back for some of it.
    pub fn release(&mut self, credit: f64) {
        self.deducted = (self.deducted - credit).max(0.0);
    }

    /// Returns by how much the level rises; what is returned is not returned again.
    pub fn take(&mut self, level: f64, capacity: f64) -> f64 {
        let room = (capacity * RESTORED_FRACTION - level).max(0.0);
        let restored = self.deducted.min(self.refill).min(room);
        self.refill -= restored;
        self.deducted = 0.0;
        restored
    }
}

impl Quotas {
    /// Records that this node was frozen until now.
    pub fn thaw(&mut self, began_at: TimeMs, now: TimeMs) {
        self.pause = Some(Pause {
            began_at,
            ended_at: now,
        });
    }

    /// Puts back what was deducted since the end of a pause, as far as its refill was missed.
    ///
    /// Credit that covers reported admissions is to be released before.
    pub fn restore_missed(&mut self, team: &Team, now: TimeMs) {
        if let Some((bucket, parameters)) = self.refilled(team, now) {
            bucket.level += (bucket.missed).take(bucket.level, parameters.capacity);
        }
    }
}
