use super::*;

const ROUTE: u64 = 7;

#[test]
fn longest_duration_of_two_spans_counts() {
    let mut durations = RouteDurations::default();
    let began = TimeMs(1_000_000);
    assert_eq!(durations.longest_ms(ROUTE, began), None);
    durations.record(ROUTE, 3_000, began);
    durations.record(ROUTE, 20, began.after(10));
    durations.record(ROUTE + 1, 9_000, began.after(10));
    assert_eq!(durations.longest_ms(ROUTE, began.after(20)), Some(3_000));
    durations.record(ROUTE, 40, began.after(SPAN_MS));
    let within = began.after(2 * SPAN_MS - 1);
    assert_eq!(durations.longest_ms(ROUTE, within), Some(3_000));
    let behind = began.after(2 * SPAN_MS);
    assert_eq!(durations.longest_ms(ROUTE, behind), Some(40));
}

#[test]
fn durations_before_a_long_pause_are_forgotten() {
    let mut durations = RouteDurations::default();
    let began = TimeMs(1_000_000);
    durations.record(ROUTE, 3_000, began);
    let later = began.after(3 * SPAN_MS);
    assert_eq!(durations.longest_ms(ROUTE, later), None);
}
