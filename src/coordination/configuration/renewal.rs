//! Schedules the renewal of the document in force before the log drops it.

use crate::time::TimeMs;

/// A renewal is due after the retention divided by this.
const DUE_DIVISOR: u64 = 3;
/// Nodes spread their renewals over the retention divided by this.
const SPREAD_DIVISOR: u64 = 6;
/// The time over which nodes spread overdue renewals once they know the revision in force.
const OVERDUE_SPREAD_MS: u64 = 60_000;

/// The inputs of the schedule.
#[derive(Clone, Copy, Debug)]
pub struct RenewalInputs {
    /// The minimum time for which the log retains records.
    pub retention_ms: u64,
    /// The log's time of the newest record from which a new node can start.
    pub renewed_at_ms: Option<TimeMs>,
    /// The time since which this node has known the revision in force and could read the log.
    pub known_since_ms: TimeMs,
    /// This node's jitter for the next renewal, from 0 to 1.
    pub jitter: f64,
}

/// Returns the time at which this node should renew, unless another node does so earlier.
///
/// Any node may renew. The jitter makes one node the first; the others see its record and
/// reschedule. All renewals are due before half of the retention has passed, which leaves the other
/// half for outages. After a longer outage of the log all would be overdue at once, and hundreds of
/// nodes would append the whole document in one burst; the jitter also spreads overdue renewals.
#[must_use]
pub fn renewal_due_ms(inputs: RenewalInputs) -> TimeMs {
    let spread_ms = inputs.retention_ms / SPREAD_DIVISOR;
    let overdue_ms = scaled(spread_ms.min(OVERDUE_SPREAD_MS), inputs.jitter);
    let earliest_ms = inputs.known_since_ms.after(overdue_ms);
    let planned_ms = inputs.renewed_at_ms.map(|renewed_at_ms| {
        renewed_at_ms
            .after(inputs.retention_ms / DUE_DIVISOR)
            .after(scaled(spread_ms, inputs.jitter))
    });
    planned_ms.unwrap_or_default().max(earliest_ms)
}

#[expect(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a part of a time that is far below 2^52 ms"
)]
fn scaled(whole_ms: u64, fraction: f64) -> u64 {
    (whole_ms as f64 * fraction.clamp(0.0, 1.0)) as u64
}
