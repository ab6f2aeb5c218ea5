use super::*;

#[test]
fn timestamps_are_formatted_as_utc() {
    // Output of `date -u -d @SECONDS`.
    let known = [
        (0, "1970-01-01 00:00:00"),
        (951_782_399, "2000-02-28 23:59:59"),
        (951_782_400, "2000-02-29 00:00:00"),
        (1_796_241_332, "2026-12-02 19:55:32"),
        (4_107_542_400, "2100-03-01 00:00:00"),
    ];
    for (seconds, text) in known {
        assert_eq!(utc(TimeMs(seconds * 1_000 + 999)), text);
    }
}
