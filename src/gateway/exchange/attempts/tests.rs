use super::*;

/// Guards against a repeat budget that grows while an upstream is unreachable: the first upstream
/// refuses the connection, the request is sent to the next one, and a count for each of these
/// upstreams would earn several requests' worth of repeats.
#[test]
fn request_is_counted_once_with_several_unreachable_upstreams() {
    let mut attempts = Attempts::default();
    let counted = (0..3).filter(|_upstream| {
        let is_first = attempts.sends() == 0 && attempts.count_once();
        attempts.record_undelivered();
        is_first
    });
    assert_eq!(counted.count(), 1);
}
