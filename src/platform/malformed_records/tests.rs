use super::*;

#[test]
fn record_is_logged_once_until_its_reason_changes() {
    let mut records = MalformedRecords::default();
    let mut report = |key: &str, reason: &str| records.report(Topic::Upstreams, key, reason);
    assert_eq!(report("a", "nested"), Reporting::Log);
    assert_eq!(report("a", "nested"), Reporting::Known);
    assert_eq!(report("b", "nested"), Reporting::Log);
    assert_eq!(report("a", "cut short"), Reporting::Log);
    assert_eq!(report("a", "cut short"), Reporting::Known);
    let other_topic = records.report(Topic::Nodes, "a", "cut short");
    assert_eq!(other_topic, Reporting::Log);
}

#[test]
fn record_that_was_sound_in_between_is_logged_again() {
    let mut records = MalformedRecords::default();
    records.report(Topic::Upstreams, "a", "nested");
    records.record_sound(Topic::Upstreams, "a");
    let again = records.report(Topic::Upstreams, "a", "nested");
    assert_eq!(again, Reporting::Log);
}

/// Guards against memory and logs that grow with the odd records of another writer.
#[test]
fn records_beyond_the_most_are_left_out_with_one_line() {
    let mut records = MalformedRecords::default();
    for place in 0..MAX_KEYS {
        let logged = records.report(Topic::Upstreams, &place.to_string(), "nested");
        assert_eq!(logged, Reporting::Log);
    }
    for is_first in [true, false] {
        let left_out = records.report(Topic::Upstreams, "more", "nested");
        assert_eq!(left_out, Reporting::LeftOut { is_first });
    }
    assert_eq!(records.by_key.len(), MAX_KEYS);
    records.record_sound(Topic::Upstreams, "0");
    let logged = records.report(Topic::Upstreams, "more", "nested");
    assert_eq!(logged, Reporting::Log);
}
