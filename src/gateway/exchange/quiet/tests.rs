use super::*;

/// Guards against a silence that comments put off for good.
#[test]
fn silence_lasts_over_what_is_no_event() {
    let mut quiet = Quiet::new(1_000, TimeMs(0));
    for now in (100..900).step_by(100) {
        quiet = quiet.paused(TimeMs(now)).resumed(TimeMs(now));
    }
    assert_eq!((quiet.since, quiet.wait_ms(TimeMs(900))), (TimeMs(0), 100));
    assert_eq!(quiet.wait_ms(TimeMs(1_000)), 0);
}

/// Guards against an upstream that is left because a caller reads slowly.
#[test]
fn time_for_writing_to_the_caller_is_no_silence() {
    let quiet = Quiet::new(1_000, TimeMs(0));
    let quiet = quiet.paused(TimeMs(100)).resumed(TimeMs(5_100));
    let found = (quiet.since, quiet.wait_ms(TimeMs(5_100)));
    assert_eq!(found, (TimeMs(5_000), 900));
}

/// Guards against a look for something better at each piece that comes.
#[test]
fn something_better_is_looked_for_at_intervals() {
    let mut quiet = Quiet::new(1_000, TimeMs(0));
    quiet.record_asked(TimeMs(1_000));
    assert_eq!(quiet.wait_ms(TimeMs(1_001)), ASK_AGAIN_MS - 1);
    let endless = Quiet::new(u64::MAX, TimeMs(5));
    assert!(endless.wait_ms(TimeMs(1_000_000)) > 1_000_000);
}
