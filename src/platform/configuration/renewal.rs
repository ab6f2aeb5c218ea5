//! When to repeat the document in force before the log forgets it.

use crate::time::TimeMs;

/// A renewal is due after this part of the retention.
const DUE_AFTER: u64 = 3;
/// Nodes spread their renewals over this part of the retention.
const SPREAD_OVER: u64 = 6;
/// If no renewal is known they spread them over at most this.
const FIRST_SPREAD_MS: u64 = 60_000;

/// What a renewal is decided from.
#[derive(Clone, Copy, Debug)]
pub struct Renewals {
    /// How long at least the log keeps records.
    pub retention_ms: u64,
    /// The newest record from which a node without knowledge can start, by the log's clock.
    pub renewed_at_ms: Option<TimeMs>,
    /// When this node learned the revision in force.
    pub known_since_ms: TimeMs,
    /// This node's draw for the coming renewal, from 0 to 1.
    pub draw: f64,
}

/// When this node should renew, unless another does before.
///
/// Any node may renew. The draws make one of them the first; the others see its record and start
/// counting anew. All are past by half of the retention, which leaves the other half for outages.
#[must_use]
pub fn renewal_due_ms(renewals: Renewals) -> TimeMs {
    let spread_ms = renewals.retention_ms / SPREAD_OVER;
    let Some(renewed_at_ms) = renewals.renewed_at_ms else {
        let spread_ms = spread_ms.min(FIRST_SPREAD_MS);
        return renewals
            .known_since_ms
            .after(part(spread_ms, renewals.draw));
    };
    renewed_at_ms
        .after(renewals.retention_ms / DUE_AFTER)
        .after(part(spread_ms, renewals.draw))
}

#[expect(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a part of a time that is far below 2^52 ms"
)]
fn part(whole_ms: u64, share: f64) -> u64 {
    (whole_ms as f64 * share.clamp(0.0, 1.0)) as u64
}
