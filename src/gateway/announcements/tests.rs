use super::super::upkeep::SILENT_READER_MS;
use super::*;

/// Symptom: requests reach an upstream three seconds after it has said that it leaves.
/// Sequence: the node that reads for all tells its peers; the datagram waits for seconds at a slow
/// link; a peer that gets it goes on without reading the store itself.
/// Cause: news was taken to be as new as its arrival.
#[test]
fn news_that_waited_on_its_way_is_as_old_as_its_reading() {
    let (now, day_now) = (TimeMs(50_000), TimeMs(1_796_256_000_000));
    let told = |ago_ms: u64| read_at(day_now.0 - ago_ms, day_now, now);
    assert_eq!(told(0), now);
    assert_eq!(told(2_500), TimeMs(47_500));
    let is_read_again = now.since(told(2_500)) >= SILENT_READER_MS;
    assert!(is_read_again, "the peer reads the store itself");
}

#[test]
fn a_clock_that_is_ahead_or_far_behind_does_no_harm() {
    let (now, day_now) = (TimeMs(50_000), TimeMs(1_796_256_000_000));
    assert_eq!(read_at(day_now.0 + 3_000, day_now, now), now);
    assert_eq!(
        read_at(0, day_now, now),
        TimeMs(0),
        "never read, and so due"
    );
}
