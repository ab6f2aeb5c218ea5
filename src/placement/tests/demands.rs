//! Tests of the demand forecast.

use super::super::*;

const MINUTE_MS: u64 = 60_000;
const HOUR_MS: u64 = 60 * MINUTE_MS;

fn streams(streams: f64) -> Demand {
    Demand {
        streams,
        ..Demand::default()
    }
}

/// Returns a daily demand curve of 100 at midnight and 300 at noon.
fn daily_curve(at: TimeMs) -> f64 {
    let minutes = u32::try_from(at.0 / MINUTE_MS % 1_440).expect("a day's minutes");
    200.0 - 100.0 * (f64::from(minutes) / 1_440.0 * std::f64::consts::TAU).cos()
}

fn forecast_after(minutes: u64) -> (Forecast, TimeMs) {
    let mut forecast = Forecast::default();
    for minute in 0..=minutes {
        let at = TimeMs(minute * MINUTE_MS);
        forecast.observe(streams(daily_curve(at)), at);
    }
    (forecast, TimeMs(minutes * MINUTE_MS))
}

fn peak(forecast: &Forecast, back_ms: u64, ahead_ms: u64, now: TimeMs) -> f64 {
    let demand = forecast.peak(back_ms, ahead_ms, now);
    demand.expect("samples were observed").streams
}

#[test]
fn forecast_without_samples_is_none() {
    assert_eq!(Forecast::default().peak(0, HOUR_MS, TimeMs(0)), None);
}

#[test]
fn second_day_is_forecast_from_the_profile_of_the_first() {
    let (forecast, now) = forecast_after(24 * 60 + 6 * 60);
    let forecast_streams = peak(&forecast, 0, HOUR_MS, now);
    let actual = daily_curve(now.after(HOUR_MS));
    assert!(
        (1.0..1.08).contains(&(forecast_streams / actual)),
        "{forecast_streams} {actual}"
    );
}

#[test]
fn first_rise_is_forecast_from_its_trend() {
    let (forecast, now) = forecast_after(6 * 60);
    let forecast_streams = peak(&forecast, 0, 30 * MINUTE_MS, now);
    let actual = daily_curve(now.after(30 * MINUTE_MS));
    assert!(
        (0.99..1.15).contains(&(forecast_streams / actual)),
        "{forecast_streams} {actual}"
    );
}

#[test]
fn drop_in_demand_lowers_the_peak_only_after_the_lookback() {
    let (mut forecast, now) = forecast_after(12 * 60);
    let mut at = now;
    for _ in 0..10 {
        at = at.after(MINUTE_MS);
        forecast.observe(streams(50.0), at);
    }
    assert!(peak(&forecast, 20 * MINUTE_MS, 0, at) > 290.0);
    assert!(peak(&forecast, 0, 0, at) < 60.0);
}
