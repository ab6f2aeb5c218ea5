//! Writes points in time for people.

use crate::time::TimeMs;

const DAY_SECONDS: u64 = 86_400;

/// The point in time as UTC, such as `2026-12-02 19:55:32`.
///
/// The date is worked out as in Howard Hinnant's `civil_from_days`
/// (<https://howardhinnant.github.io/date_algorithms.html>), for days after 1970.
pub(super) fn utc(at: TimeMs) -> String {
    let seconds = at.0 / 1_000;
    let (days, second) = (seconds / DAY_SECONDS, seconds % DAY_SECONDS);
    // Years begin in March here, so that the leap day is the last one.
    let shifted = days + 719_468;
    let (era, day_of_era) = (shifted / 146_097, shifted % 146_097);
    let year_of_era =
        (day_of_era - day_of_era / 1_460 + day_of_era / 36_524 - day_of_era / 146_096) / 365;
    let day_of_year = day_of_era - (365 * year_of_era + year_of_era / 4 - year_of_era / 100);
    let month_from_march = (5 * day_of_year + 2) / 153;
    let day = day_of_year - (153 * month_from_march + 2) / 5 + 1;
    let month = (month_from_march + 2) % 12 + 1;
    let year = era * 400 + year_of_era + u64::from(month <= 2);
    let (hour, minute, second) = (second / 3_600, second / 60 % 60, second % 60);
    format!("{year:04}-{month:02}-{day:02} {hour:02}:{minute:02}:{second:02}")
}

#[cfg(test)]
mod tests;
