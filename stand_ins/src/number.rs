//! Conversions between counts and rates.

/// A count as a number to calculate with.
#[expect(
    clippy::cast_precision_loss,
    reason = "counts here stay far below 2^52"
)]
pub(crate) fn float(count: u64) -> f64 {
    count as f64
}

/// The whole part; negative numbers give 0.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the cast saturates, which is what is wanted"
)]
pub(crate) fn whole(number: f64) -> u64 {
    number as u64
}
