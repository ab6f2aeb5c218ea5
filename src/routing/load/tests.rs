//! Tests of the streams and prefill work since a load report.

use super::{BUCKET_MS, BUCKETS, UnreportedLoad};
use crate::time::TimeMs;

#[test]
fn only_streams_after_the_report_are_counted() {
    let mut sent = UnreportedLoad::default();
    sent.record_open(0.0, TimeMs(10_000));
    sent.record_open(0.0, TimeMs(11_000));
    sent.record_open(0.0, TimeMs(12_000));
    sent.record_close(TimeMs(12_500));
    assert_eq!(sent.net_streams_since(TimeMs(9_000)), 2);
    assert_eq!(sent.net_streams_since(TimeMs(10_500)), 1);
    assert_eq!(sent.net_streams_since(TimeMs(12_600)), 0);
}

#[test]
fn streams_older_than_the_ring_are_dropped() {
    let mut sent = UnreportedLoad::default();
    sent.record_open(0.0, TimeMs(0));
    let later = TimeMs(BUCKET_MS * BUCKETS as u64);
    sent.record_open(0.0, later);
    assert_eq!(sent.net_streams_since(TimeMs(0)), 1);
}

#[test]
fn prefill_backlog_shrinks_with_time() {
    let mut sent = UnreportedLoad::default();
    sent.record_open(300.0, TimeMs(1_000));
    sent.record_open(300.0, TimeMs(1_100));
    assert!((sent.prefill_backlog_ms(TimeMs(1_100)) - 500.0).abs() < 1e-6);
    assert!((sent.prefill_backlog_ms(TimeMs(1_500)) - 100.0).abs() < 1e-6);
    assert!(sent.prefill_backlog_ms(TimeMs(5_000)).abs() < 1e-6);
}
