//! Decides when a slow call is hedged, that is, also sent to another host.

use crate::time::TimeMs;
use crate::upstreams::Delivery;

/// Longest expected call that is hedged; a second copy of a longer one costs more than the time
/// saved.
const MAX_HEDGED_CALL_MS: u64 = 2_000;
/// Quantile of the call latency above which a call counts as slow.
const SLOW_QUANTILE: f64 = 0.95;
/// Step of the quantile estimate, as a share of the estimate.
const STEP_SHARE: f64 = 0.05;
/// Samples from which the estimate is used.
const MIN_SAMPLES: u32 = 50;
/// Largest share of its slots that the other host may have in use.
const MAX_OTHER_OCCUPANCY: f64 = 0.8;

/// A call that waits for its answer.
#[derive(Clone, Copy, Debug)]
pub struct HedgeRequest {
    /// Whether the call may run more than once.
    pub delivery: Delivery,
    /// When the call was sent.
    pub sent_ms: TimeMs,
    /// Expected duration of the call.
    pub expected_ms: u64,
    /// The call's deadline.
    pub deadline_ms: TimeMs,
    /// Share of the other host's slots in use.
    pub other_occupancy: f64,
}

/// Returns when to send the call to another host too, or `None` to send no second copy.
///
/// At that time the caller takes one retry from the budget with `RetryBudgets::try_take` and sends
/// the second copy only if one was available; both copies are attempts of one request, and the
/// slower one is cancelled.
#[must_use]
pub fn hedge_at(request: &HedgeRequest, quantile: &LatencyQuantile) -> Option<TimeMs> {
    let slow_ms = quantile.estimate_ms()?;
    let at = request.sent_ms.after(slow_ms);
    let fits_deadline = at.after(request.expected_ms) <= request.deadline_ms;
    let is_short = request.expected_ms <= MAX_HEDGED_CALL_MS;
    let has_spare_slots = request.other_occupancy <= MAX_OTHER_OCCUPANCY;
    (request.delivery == Delivery::Repeatable && fits_deadline && is_short && has_spare_slots)
        .then_some(at)
}

/// A streaming estimate of the latency that 95 in 100 calls stay under, in constant memory.
#[derive(Clone, Copy, Debug, Default)]
pub struct LatencyQuantile {
    estimate_ms: f64,
    samples: u32,
}

impl LatencyQuantile {
    /// Records the duration of a call.
    pub fn record(&mut self, took_ms: u32) {
        let took_ms = f64::from(took_ms);
        self.samples = self.samples.saturating_add(1);
        if self.samples == 1 {
            self.estimate_ms = took_ms;
            return;
        }
        // Steps up and down are in equilibrium where 5 in 100 calls exceed the estimate.
        let step_ms = (self.estimate_ms * STEP_SHARE).max(0.1);
        if took_ms > self.estimate_ms {
            self.estimate_ms += step_ms * SLOW_QUANTILE;
        } else {
            self.estimate_ms -= step_ms * (1.0 - SLOW_QUANTILE);
        }
    }

    /// Returns the estimate in milliseconds, or `None` before `MIN_SAMPLES` samples.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the value is clamped to the range of u32 first"
    )]
    pub fn estimate_ms(&self) -> Option<u64> {
        let estimate_ms = self.estimate_ms.ceil().clamp(1.0, f64::from(u32::MAX)) as u32;
        (self.samples >= MIN_SAMPLES).then_some(u64::from(estimate_ms))
    }
}

#[cfg(test)]
mod tests;
