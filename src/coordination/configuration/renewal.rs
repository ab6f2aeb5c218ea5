//! When to repeat the document in force before the log forgets it.

use crate::time::TimeMs;

/// A renewal is due after this part of the retention.
const DUE_AFTER: u64 = 3;
/// Nodes spread their renewals over this part of the retention.
const SPREAD_OVER: u64 = 6;
/// After they have learned the revision in force, nodes spread renewals that are overdue over this.
const OVERDUE_SPREAD_MS: u64 = 60_000;

/// What a renewal is decided from.
#[derive(Clone, Copy, Debug)]
pub struct Renewals {
    /// How long at least the log keeps records.
    pub retention_ms: u64,
    /// The newest record from which a node without knowledge can start, by the log's clock.
    pub renewed_at_ms: Option<TimeMs>,
    /// Since when this node has known the revision in force and could read the log.
    pub known_since_ms: TimeMs,
    /// This node's draw for the coming renewal, from 0 to 1.
    pub draw: f64,
}

/// When this node should renew, unless another does before.
///
/// Any node may renew. The draws make one of them the first; the others see its record and start
/// counting anew. All are past by half of the retention, which leaves the other half for outages.
/// When the log returns after a longer one, all would be due at once, and hundreds of nodes would
/// append the whole document in one burst; the draws spread that, too.
#[must_use]
pub fn renewal_due_ms(renewals: Renewals) -> TimeMs {
    let spread_ms = renewals.retention_ms / SPREAD_OVER;
    let overdue_ms = part(spread_ms.min(OVERDUE_SPREAD_MS), renewals.draw);
    let earliest_ms = renewals.known_since_ms.after(overdue_ms);
    let planned_ms = renewals.renewed_at_ms.map(|renewed_at_ms| {
        renewed_at_ms
            .after(renewals.retention_ms / DUE_AFTER)
            .after(part(spread_ms, renewals.draw))
    });
    planned_ms.unwrap_or_default().max(earliest_ms)
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
