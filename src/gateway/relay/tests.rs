mod fleet;

use super::*;

fn status(incarnation: u64, sequence: u64, version: u64) -> Status {
    Status {
        incarnation,
        sequence,
        configuration_version: version,
        ..Status::default()
    }
}

fn reported(report: &GroupReport) -> Vec<u64> {
    let statuses = report.statuses.iter();
    statuses.map(|status| status.incarnation).collect()
}

/// Guards against reports that grow with what the nodes know instead of with what happens: a status
/// that did not change is not reported again until its repetition is due.
#[test]
fn unchanged_status_is_reported_only_when_its_repetition_is_due() {
    let mut relay = Relay::default();
    let start = 10_000;
    let mut reported_at = Vec::new();
    for tick in 0..=35 {
        let now = TimeMs(start + tick * REPORT_INTERVAL_MS);
        relay.record(&status(7, tick + 1, 1), now);
        if !relay.take_report(now).statuses.is_empty() {
            reported_at.push(now.0 - start);
        }
    }
    assert_eq!(reported_at, [0, 3_000, 6_000]);
}

#[test]
fn changed_status_is_in_the_next_report() {
    let mut relay = Relay::default();
    relay.record(&status(7, 1, 1), TimeMs(10_000));
    relay.take_report(TimeMs(10_000));
    relay.record(&status(7, 2, 2), TimeMs(10_200));
    assert_eq!(reported(&relay.take_report(TimeMs(10_400))), [7]);
}

/// Guards against a late heartbeat that replaces a newer status.
#[test]
fn older_status_is_ignored() {
    let mut relay = Relay::default();
    relay.record(&status(7, 2, 2), TimeMs(10_000));
    relay.record(&status(7, 1, 1), TimeMs(10_010));
    assert_eq!(
        relay.take_report(TimeMs(10_100)).statuses,
        [status(7, 2, 2)]
    );
}

/// Guards against requests that are sent to a dead node for seconds: the other groups learn of its
/// silence from its own group.
#[test]
fn silent_node_is_reported_until_all_have_removed_it() {
    let mut relay = Relay::default();
    relay.record(&status(7, 1, 1), TimeMs(10_000));
    let mut silent_at = |now_ms: u64| {
        relay.record(&status(8, now_ms, 1), TimeMs(now_ms));
        relay.remove_silent(TimeMs(now_ms));
        relay.take_report(TimeMs(now_ms)).silent
    };
    assert_eq!(silent_at(10_900), [] as [u64; 0]);
    assert_eq!(silent_at(11_000), [7]);
    assert_eq!(silent_at(14_900), [7]);
    assert_eq!(silent_at(15_000), [] as [u64; 0]);
}

/// Guards against limits and blocks that seem new again at each hop.
#[test]
fn reported_block_has_aged_since_it_was_heard() {
    use crate::gateway::crashes::AgedBlock;
    let mut blocking = status(7, 1, 1);
    blocking.blocks = vec![AgedBlock {
        subject: 1,
        age_ms: 300,
        idle_ms: 200,
    }];
    let mut relay = Relay::default();
    relay.record(&blocking, TimeMs(10_000));
    let report = relay.take_report(TimeMs(10_250));
    assert_eq!(report.statuses[0].blocks[0].age_ms, 550);
    assert_eq!(report.statuses[0].blocks[0].idle_ms, 450);
}

/// Guards against a group that all others stop using because its speaker was frozen: it hears nobody
/// at the moment at which it goes on.
#[test]
fn node_that_hears_less_than_half_of_its_group_reports_nobody_silent() {
    let mut relay = Relay::default();
    for incarnation in 1..=9 {
        relay.record(&status(incarnation, 1, 1), TimeMs(10_000));
    }
    relay.record(&status(1, 2, 1), TimeMs(13_000));
    assert_eq!(relay.take_report(TimeMs(13_000)).silent, [] as [u64; 0]);
    for incarnation in 2..=5 {
        relay.record(&status(incarnation, 2, 1), TimeMs(13_100));
    }
    assert_eq!(relay.take_report(TimeMs(13_200)).silent, [6, 7, 8, 9]);
}
