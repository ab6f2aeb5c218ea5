//! Numeric conversions, durations from rates, and hashing.

/// Returns how many milliseconds `amount` takes at `per_second`, rounded up.
///
/// A positive amount at a rate of zero or less gives `u64::MAX`, as it never completes.
#[must_use]
pub(crate) fn duration_ms(amount: f64, per_second: f64) -> u64 {
    if per_second > 0.0 {
        ceil_to_u64(amount / per_second * 1_000.0)
    } else if amount > 0.0 {
        u64::MAX
    } else {
        0
    }
}

/// Rounds up to an integer; returns zero for negative amounts and NaN.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a float cast saturates, and a negative amount counts as none"
)]
#[must_use]
pub(crate) fn ceil_to_u64(amount: f64) -> u64 {
    amount.ceil() as u64
}

/// Converts a count of bytes or tokens to the nearest float.
#[expect(
    clippy::cast_precision_loss,
    reason = "estimates need no more than 52 bits"
)]
#[must_use]
pub(crate) fn to_f64(count: u64) -> f64 {
    count as f64
}

/// Hashes two words with the finalizer of `SplitMix64`.
#[must_use]
pub(crate) fn hash_pair(a: u64, b: u64) -> u64 {
    let mut z = a ^ b.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}
