//! Formats timestamps for display.

use crate::time::TimeMs;

const SECONDS_PER_DAY: u64 = 86_400;

/// Formats a timestamp as UTC, such as `2026-12-02 19:55:32`.
///
/// The date is calculated as in Howard Hinnant's `civil_from_days`
/// (<https://howardhinnant.github.io/date_algorithms.html>), for days from 1970 on.
pub(super) fn utc(at: TimeMs) -> String {
    let seconds = at.0 / 1_000;
    let (days, second) = (seconds / SECONDS_PER_DAY, seconds % SECONDS_PER_DAY);
    // Years begin in March in this calculation, so that the leap day is the last day of a year.
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
