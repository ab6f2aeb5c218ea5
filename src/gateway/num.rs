//! Saturating conversions between integers and floating-point numbers.

/// Returns the nearest integer; zero for negative values and NaN.
#[must_use]
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "such a cast saturates, and not-a-number becomes zero"
)]
pub(crate) fn round_to_u64(value: f64) -> u64 {
    value.round() as u64
}

/// Returns an integer as a floating-point number; exact below 2^53.
#[must_use]
#[expect(
    clippy::cast_precision_loss,
    reason = "counts, tokens and milliseconds stay far below 2^53"
)]
pub(crate) fn to_f64(value: u64) -> f64 {
    value as f64
}
