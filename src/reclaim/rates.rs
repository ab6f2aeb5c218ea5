//! Durations from amounts and rates.

/// Whole milliseconds that `amount` takes at `per_second`, rounded up.
///
/// A rate of zero or less gives `u64::MAX`: it is never done.
#[must_use]
pub(crate) fn duration_ms(amount: f64, per_second: f64) -> u64 {
    if per_second > 0.0 {
        whole(amount / per_second * 1_000.0)
    } else if amount > 0.0 {
        u64::MAX
    } else {
        0
    }
}

/// A whole amount that is at least `amount`; zero for negative ones and NaN.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a float cast saturates, and a negative amount counts as none"
)]
#[must_use]
pub(crate) fn whole(amount: f64) -> u64 {
    amount.ceil() as u64
}

/// The float nearest to a count of bytes or tokens.
#[expect(
    clippy::cast_precision_loss,
    reason = "an estimate needs no more than 52 bits"
)]
#[must_use]
pub(crate) fn float(count: u64) -> f64 {
    count as f64
}

/// A well-mixed hash of two words (the finalizer of `SplitMix64`).
#[must_use]
pub(crate) fn mix(a: u64, b: u64) -> u64 {
    let mut z = a ^ b.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}
